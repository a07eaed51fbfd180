/** Troubles of single machines: their processes, their clocks and their connections. */
import { randomSample, type RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';
import type { FaultKind, ScheduledFault } from './schedule.js';
import { claim, note, pause, targets, type Play, type TroubleStage } from './fault-context.js';

/** From the end of a process to its next start. */
const RESTART_MS = 300;
/** How many times slower a slowed machine runs, at most; and what a slowed one adds to each step (ms). */
const SLOW_STEP_MS = 45;
/** Share of a machine's connections that is reset. */
const RESET_SHARE = 0.6;
/** A wall clock jumps by this much. */
const CLOCK_STEP_MS = 2_000;
/** Tries of an order that meets a machine while it is away or returns. */
const HARD_TRIES = 6;

/** Changes that are sent to a machine as it returns, or while it is cut off. */
export function meet(s: TroubleStage, trouble: ScheduledFault, machine: Machine): Promise<unknown>[] {
  const orders = trouble.modifiers.includes('race') ? 2 : Number(trouble.modifiers.includes('meet'));
  const tries = trouble.modifiers.includes('hard') ? HARD_TRIES : 1;
  return Array.from({ length: orders }, () => s.orders.change('route', { machine, tries }));
}

async function startAll(s: TroubleStage, machines: readonly Machine[]): Promise<void> {
  await Promise.all(machines.map((m) => s.machines.start(m)));
}

const nodeKill: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  const power = trouble.modifiers.includes('power');
  note(s, power ? 'power of' : 'kill', victims.machines);
  for (const m of victims.machines) {
    if (power) s.machines.powerOff(m);
    else s.machines.kill(m);
  }
  await pause(s, power ? trouble.durationMs : RESTART_MS);
  await startAll(s, victims.machines);
  victims.back();
  await Promise.all(victims.machines.flatMap((m) => meet(s, trouble, m)));
};

const nodeFreeze: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  note(s, 'freeze', victims.machines);
  for (const m of victims.machines) s.machines.freeze(m);
  await pause(s, trouble.durationMs);
  note(s, 'thaw', victims.machines);
  for (const m of victims.machines) s.machines.thaw(m);
  victims.back();
};

const nodeSlow: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  note(s, 'slow', victims.machines);
  const nodes = victims.machines.flatMap((m) => m.nodes);
  for (const n of nodes) n.maxExtraDelayMs = SLOW_STEP_MS;
  await pause(s, trouble.durationMs);
  for (const n of nodes) n.maxExtraDelayMs = 0;
  note(s, 'quick again', victims.machines);
  victims.back();
};

const rollTerm: Play = async (s, trouble, random) => {
  const removing = trouble.modifiers.includes('remove') && trouble.on === 'access';
  for (let i = 0; i < trouble.count; i++) {
    const victims = await claim(s, { ...trouble, count: 1 }, random);
    if (!victims) return;
    note(s, removing ? 'leaves' : 'stop', victims.machines);
    for (const m of victims.machines) await s.machines.stop(m);
    if (removing && s.machines.ofClass('access').length > 2) {
      for (const m of victims.machines) s.machines.remove(m);
    } else {
      await pause(s, RESTART_MS);
      await startAll(s, victims.machines);
    }
    victims.back();
    await pause(s, trouble.durationMs);
  }
};

/** The settings are read again, and say what they said. */
const hup: Play = async (s, trouble, random) => {
  const machines = randomSample(random, s.machines.ofClass(trouble.on), trouble.count).filter((m) => m.isUp());
  note(s, 'SIGHUP', machines);
  for (const m of machines) {
    for (const n of m.nodes) if (n.up && !n.frozen) n.kernel?.use('membership').publishOwnRecord();
    await pause(s, trouble.durationMs / machines.length);
  }
};

const resetConns: Play = async (s, trouble, random) => {
  const machines = randomSample(random, s.machines.ofClass(trouble.on), trouble.count);
  note(s, 'reset connections of', machines);
  for (const n of machines.flatMap((m) => m.nodes)) {
    n.resetAt = s.machines.sim.now;
    for (const reset of n.calls) if (random.next() < RESET_SHARE) reset();
    for (const reset of n.streams) if (random.next() < RESET_SHARE) reset();
  }
};

const clockStep: Play = async (s, trouble, random) => {
  const nodes = randomSample(random, s.machines.ofClass(trouble.on), trouble.count).flatMap((m) => m.nodes);
  const by = trouble.modifiers.includes('back') ? -CLOCK_STEP_MS : CLOCK_STEP_MS;
  s.stage.note(`the time of day jumps by ${by} ms on ${nodes.map((n) => n.name).join(' ')}`);
  for (const n of nodes) n.wallStepMs += by;
  await pause(s, trouble.durationMs);
  for (const n of nodes) n.wallStepMs -= by;
};

const addNodes: Play = async (s, trouble) => {
  const added = Array.from({ length: trouble.count }, () => s.machines.add(trouble.on));
  note(s, 'add', added);
  await startAll(s, added);
};

/** One is gone for good, and an empty one comes at another address. */
const replaceCore: Play = async (s, trouble, random) => {
  const victims = await claim(s, { ...trouble, count: 1 }, random);
  const old = victims?.machines[0];
  if (!victims || !old) return;
  const successor = s.machines.add(old.type, old.zone);
  if (trouble.modifiers.includes('planned')) {
    note(s, `${successor.name} comes for`, [old]);
    await s.machines.start(successor);
    await pause(s, trouble.durationMs);
    await s.machines.stop(old);
    s.machines.remove(old);
  } else {
    note(s, 'gone for good:', [old]);
    s.machines.remove(old);
    await pause(s, trouble.durationMs);
    note(s, `${successor.name} comes for`, [old]);
    await s.machines.start(successor);
  }
  victims.replacedBy(successor);
};

const seedTurnover: Play = async (s, trouble, random) => {
  note(s, 'other seeds');
  s.machines.turnOverSeeds(randomSample(random, targets(s, trouble), 1));
};

export const MACHINE_KINDS: Partial<Record<FaultKind, Play>> = {
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

/** Starts machines again after a loss. */
export async function bringBack(s: TroubleStage, machines: readonly Machine[], afterMs: number): Promise<void> {
  await pause(s, afterMs);
  await startAll(s, machines);
}

/** Draws some of these. */
export const draw = <T>(random: RandomSource, xs: readonly T[], count: number): T[] => randomSample(random, xs, count);
