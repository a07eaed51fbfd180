/** The context in which the actions of scheduled faults run. */
import { randomSample, sleep, type RandomSource } from '@harecross/kernel';
import type { ScenarioContext } from '../scenario.js';
import type { Machine, MachineFleet } from './machine-fleet.js';
import type { PlatformOperators } from './platform-operators.js';
import type { MachineClass, ScheduledFault } from './schedule.js';
import type { LossClaim, LossBudget } from './loss-budget.js';

/** The context of a run with scheduled faults. */
export interface FaultContext {
  scenario: ScenarioContext;
  machines: MachineFleet;
  operators: PlatformOperators;
  lossBudget: LossBudget;
}

/** Injects one fault; resolves when it is over and its victims are back or replaced. */
export type FaultAction = (context: FaultContext, fault: ScheduledFault, random: RandomSource) => Promise<void>;

export const pause = (context: FaultContext, ms: number): Promise<void> => sleep(context.machines.sim.clock, ms);

/** Adds a note on a fault and its victims to the run. */
export function note(context: FaultContext, what: string, machines: readonly Machine[] = []): void {
  context.scenario.note(`${what} ${machines.map((machine) => machine.name).join(' ')}`.trim());
}

/** The machines that the modifiers of a fault name, or all of its class. */
export function candidates(context: FaultContext, fault: ScheduledFault): Machine[] {
  const all = context.machines.ofClass(fault.on);
  const hasModifier = (name: string): boolean => fault.modifiers.includes(name);
  const named: (Machine | undefined)[] = [];
  if (hasModifier('leader')) named.push(context.operators.lastAck?.machine);
  if (hasModifier('reader')) named.push(context.operators.lastRead?.machine);
  if (hasModifier('seed')) named.push(context.machines.listedCoreMachines()[0]);
  const found = named.filter((machine): machine is Machine => machine !== undefined && all.includes(machine));
  return found.length ? found : all;
}

/** Claims the victims of a fault; undefined if no losses were allowed until the timeout. */
export async function claimVictims(
  context: FaultContext,
  fault: ScheduledFault,
  random: RandomSource,
): Promise<LossClaim | undefined> {
  const claimed = await context.lossBudget.claim(() => candidates(context, fault), fault.count, random);
  if (!claimed) note(context, `no turn for ${fault.kind}`);
  return claimed;
}

/**
 * Waits for the next accepted publish of a client; returns a machine of the class that owns shards, or any of the class. Returns undefined
 * if none was accepted for some time.
 */
export async function ownerAfterNextAccept(
  context: FaultContext,
  on: MachineClass,
  random: RandomSource,
): Promise<Machine | undefined> {
  const { seen } = context.scenario.clientContext.journal;
  const from = seen.length;
  const accepted = (): boolean => seen.slice(from).some((x) => x.k === 'pub.answer' && x.out === 'accepted');
  for (let i = 0; i < ACCEPT_POLLS && !accepted(); i++) await pause(context, ACCEPT_POLL_MS);
  const last = seen.slice(from).find((x) => x.k === 'pub.answer' && x.out === 'accepted');
  if (last?.k !== 'pub.answer') return undefined;
  const owners = context.machines
    .ofClass(on)
    .filter(
      (machine) =>
        machine.isUp() &&
        machine.main.kernel?.has('owner') &&
        machine.main.kernel.use('owner').ownedShards().length > 0,
    );
  return randomSample(random, owners, 1)[0] ?? randomSample(random, context.machines.ofClass(on), 1)[0];
}
const ACCEPT_POLL_MS = 3;
const ACCEPT_POLLS = 700;
