/** What a trouble has at hand while it is played. */
import { randomSample, sleep, type RandomSource } from '@harecross/kernel';
import type { ScenarioContext } from '../scenario.js';
import type { Machine, MachineFleet } from './machine-fleet.js';
import type { Orders } from './platform-operators.js';
import type { MachineClass, ScheduledFault } from './schedule.js';
import type { LossClaim, LossBudget } from './loss-budget.js';

/** The stage of a day with drawn troubles. */
export interface TroubleStage {
  stage: ScenarioContext;
  machines: MachineFleet;
  orders: Orders;
  tolerance: LossBudget;
}

/** Plays one trouble to its end, when the fleet is as whole as before it. */
export type Play = (s: TroubleStage, trouble: ScheduledFault, random: RandomSource) => Promise<void>;

export const pause = (s: TroubleStage, ms: number): Promise<void> => sleep(s.machines.sim.clock, ms);

/** Notes what is done, with its victims. */
export function note(s: TroubleStage, what: string, machines: readonly Machine[] = []): void {
  s.stage.note(`${what} ${machines.map((m) => m.name).join(' ')}`.trim());
}

/** The machines that the words of a trouble point at, or all of its class. */
export function targets(s: TroubleStage, trouble: ScheduledFault): Machine[] {
  const all = s.machines.ofClass(trouble.on);
  const word = (name: string): boolean => trouble.modifiers.includes(name);
  const pointed: (Machine | undefined)[] = [];
  if (word('leader')) pointed.push(s.orders.lastAck?.machine);
  if (word('reader')) pointed.push(s.orders.lastRead?.machine);
  if (word('seed')) pointed.push(s.machines.listed()[0]);
  const found = pointed.filter((m): m is Machine => m !== undefined && all.includes(m));
  return found.length ? found : all;
}

/** Claims the victims of a trouble; undefined where its turn never came. */
export async function claim(s: TroubleStage, trouble: ScheduledFault, random: RandomSource): Promise<LossClaim | undefined> {
  const claimed = await s.tolerance.claim(() => targets(s, trouble), trouble.count, random);
  if (!claimed) note(s, `no turn for ${trouble.kind}`);
  return claimed;
}

/** Resolves at the next work of a client that is accepted, with the machine that stored it; or after a while without one. */
export async function nextWork(s: TroubleStage, on: MachineClass, random: RandomSource): Promise<Machine | undefined> {
  const { seen } = s.stage.clientContext.journal;
  const from = seen.length;
  const accepted = (): boolean => seen.slice(from).some((x) => x.k === 'pub.answer' && x.out === 'accepted');
  for (let i = 0; i < WORK_LOOKS && !accepted(); i++) await pause(s, WORK_LOOK_MS);
  const last = seen.slice(from).find((x) => x.k === 'pub.answer' && x.out === 'accepted');
  if (last?.k !== 'pub.answer') return undefined;
  const owners = s.machines
    .ofClass(on)
    .filter((m) => m.isUp() && m.main.kernel?.has('owner') && m.main.kernel.use('owner').ownedShards().length > 0);
  return randomSample(random, owners, 1)[0] ?? randomSample(random, s.machines.ofClass(on), 1)[0];
}
const WORK_LOOK_MS = 3;
const WORK_LOOKS = 700;
