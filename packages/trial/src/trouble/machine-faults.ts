/** Faults of single machines: of processes, clocks and connections. */
import { randomSample, type RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';
import type { FaultKind, ScheduledFault } from './schedule.js';
import { claimVictims, note, pause, candidates, type FaultAction, type FaultContext } from './fault-context.js';

/** Time from the end of a process to its next start. */
const RESTART_MS = 300;
/** Maximum delay that a slowed machine adds to each step. */
const SLOW_EXTRA_MS = 45;
/** Share of a machine's connections that are reset. */
const RESET_SHARE = 0.6;
/** A wall clock jumps by this much. */
const CLOCK_STEP_MS = 2_000;
/** With `hard`: attempts of an operator request that go to the same machine while it is cut off or restarting. */
const REPEATED_TRIES = 6;

/** Submits configuration changes to a machine as it returns, or while it is cut off: one for `meet`, two at once for `race`. */
export function submitChangesTo(context: FaultContext, fault: ScheduledFault, machine: Machine): Promise<unknown>[] {
  const changeCount = fault.modifiers.includes('race') ? 2 : Number(fault.modifiers.includes('meet'));
  const tries = fault.modifiers.includes('hard') ? REPEATED_TRIES : 1;
  return Array.from({ length: changeCount }, () => context.operators.change('route', { machine, tries }));
}

async function startAll(context: FaultContext, machines: readonly Machine[]): Promise<void> {
  await Promise.all(machines.map((machine) => context.machines.start(machine)));
}

const nodeKill: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  const power = fault.modifiers.includes('power');
  note(context, power ? 'power of' : 'kill', victims.machines);
  for (const machine of victims.machines) {
    if (power) context.machines.powerOff(machine);
    else context.machines.kill(machine);
  }
  await pause(context, power ? fault.durationMs : RESTART_MS);
  await startAll(context, victims.machines);
  victims.back();
  await Promise.all(victims.machines.flatMap((machine) => submitChangesTo(context, fault, machine)));
};

const nodeFreeze: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  note(context, 'freeze', victims.machines);
  for (const machine of victims.machines) context.machines.freeze(machine);
  await pause(context, fault.durationMs);
  note(context, 'thaw', victims.machines);
  for (const machine of victims.machines) context.machines.thaw(machine);
  victims.back();
};

const nodeSlow: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  note(context, 'slow', victims.machines);
  const nodes = victims.machines.flatMap((machine) => machine.nodes);
  for (const node of nodes) node.maxExtraDelayMs = SLOW_EXTRA_MS;
  await pause(context, fault.durationMs);
  for (const node of nodes) node.maxExtraDelayMs = 0;
  note(context, 'quick again', victims.machines);
  victims.back();
};

const rollTerm: FaultAction = async (context, fault, random) => {
  const removing = fault.modifiers.includes('remove') && fault.on === 'access';
  for (let i = 0; i < fault.count; i++) {
    const victims = await claimVictims(context, { ...fault, count: 1 }, random);
    if (!victims) return;
    note(context, removing ? 'leaves' : 'stop', victims.machines);
    for (const machine of victims.machines) await context.machines.stop(machine);
    if (removing && context.machines.ofClass('access').length > 2) {
      for (const machine of victims.machines) context.machines.remove(machine);
    } else {
      await pause(context, RESTART_MS);
      await startAll(context, victims.machines);
    }
    victims.back();
    await pause(context, fault.durationMs);
  }
};

/** Reloads unchanged settings. */
const hup: FaultAction = async (context, fault, random) => {
  const machines = randomSample(random, context.machines.ofClass(fault.on), fault.count).filter((machine) =>
    machine.isUp(),
  );
  note(context, 'SIGHUP', machines);
  for (const machine of machines) {
    for (const node of machine.nodes) if (node.up && !node.frozen) node.kernel?.use('membership').publishOwnRecord();
    await pause(context, fault.durationMs / machines.length);
  }
};

const resetConns: FaultAction = async (context, fault, random) => {
  const machines = randomSample(random, context.machines.ofClass(fault.on), fault.count);
  note(context, 'reset connections of', machines);
  for (const node of machines.flatMap((machine) => machine.nodes)) {
    node.resetAt = context.machines.sim.now;
    for (const reset of node.calls) if (random.next() < RESET_SHARE) reset();
    for (const reset of node.streams) if (random.next() < RESET_SHARE) reset();
  }
};

const clockStep: FaultAction = async (context, fault, random) => {
  const nodes = randomSample(random, context.machines.ofClass(fault.on), fault.count).flatMap(
    (machine) => machine.nodes,
  );
  const by = fault.modifiers.includes('back') ? -CLOCK_STEP_MS : CLOCK_STEP_MS;
  context.scenario.note(`the time of day jumps by ${by} ms on ${nodes.map((node) => node.name).join(' ')}`);
  for (const node of nodes) node.wallStepMs += by;
  await pause(context, fault.durationMs);
  for (const node of nodes) node.wallStepMs -= by;
};

const addNodes: FaultAction = async (context, fault) => {
  const added = Array.from({ length: fault.count }, () => context.machines.add(fault.on));
  note(context, 'add', added);
  await startAll(context, added);
};

/** Removes a machine for good and adds an empty one at another address; first the new one if `planned`. */
const replaceCore: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, { ...fault, count: 1 }, random);
  const old = victims?.machines[0];
  if (!victims || !old) return;
  const successor = context.machines.add(old.type, old.zone);
  if (fault.modifiers.includes('planned')) {
    note(context, `${successor.name} comes for`, [old]);
    await context.machines.start(successor);
    await pause(context, fault.durationMs);
    await context.machines.stop(old);
    context.machines.remove(old);
  } else {
    note(context, 'gone for good:', [old]);
    context.machines.remove(old);
    await pause(context, fault.durationMs);
    note(context, `${successor.name} comes for`, [old]);
    await context.machines.start(successor);
  }
  victims.replacedBy(successor);
};

const seedTurnover: FaultAction = async (context, fault, random) => {
  note(context, 'other seeds');
  context.machines.replaceSeeds(randomSample(random, candidates(context, fault), 1));
};

export const MACHINE_KINDS: Partial<Record<FaultKind, FaultAction>> = {
  node_kill: nodeKill,
  node_freeze: nodeFreeze,
  node_slow: nodeSlow,
  roll_term: rollTerm,
  hup,
  reset_conns: resetConns,
  clock_step: clockStep,
  add_nodes: addNodes,
  replace_core: replaceCore,
  seed_turnover: seedTurnover,
};

/** Starts machines again after a delay. */
export async function restartAfter(
  context: FaultContext,
  machines: readonly Machine[],
  afterMs: number,
): Promise<void> {
  await pause(context, afterMs);
  await startAll(context, machines);
}

/** A random sample of these. */
export const draw = <T>(random: RandomSource, xs: readonly T[], count: number): T[] => randomSample(random, xs, count);
