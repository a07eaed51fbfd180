/** Troubles of links and of disks that last for a while. */
import { meet } from './machine-faults.js';
import type { FaultKind } from './schedule.js';
import { claim, note, pause, type Play } from './fault-context.js';

/** From the end of a process to its next start. */
const RESTART_MS = 300;
/** How many times longer a slow disk takes. */
const SLOW_DISK_FACTOR = 30;

/** Machines are cut off from all whose loss counts. */
const nodeCut: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  note(s, 'cut off from all that count:', victims.machines);
  const others = s.machines.all.filter((m) => m.counted && !victims.machines.includes(m));
  const join = s.machines.cut(victims.machines, others);
  await pause(s, trouble.durationMs);
  join();
  note(s, 'joined again:', victims.machines);
  victims.back();
};

/** Counted machines are cut off from the other counted ones. */
const coreCut: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  const oneWay = trouble.modifiers.includes('one_way');
  note(s, `cut off from the core${oneWay ? ', one way' : ''}:`, victims.machines);
  const others = s.machines.all.filter((m) => m.counted && !victims.machines.includes(m));
  const join = s.machines.cut(victims.machines, others, oneWay);
  const cutOff = victims.machines[0]!;
  const meetings: Promise<unknown>[] = meet(s, trouble, cutOff);
  if (trouble.modifiers.includes('seeds')) {
    s.machines.turnOverSeeds(victims.machines.filter((m) => m.type === 'core'));
    await restartOne(s, random);
  }
  if (trouble.modifiers.includes('both')) {
    for (const m of victims.machines) {
      s.machines.kill(m);
      await pause(s, RESTART_MS);
      await s.machines.start(m);
    }
  }
  await pause(s, trouble.durationMs);
  join();
  note(s, 'joined again:', victims.machines);
  victims.back();
  await Promise.all(meetings);
};

/** A machine whose loss does not count is restarted, and must find the fleet by its settings. */
const restartOne: (...args: [Parameters<Play>[0], Parameters<Play>[2]]) => Promise<void> = async (s, random) => {
  const victims = await s.tolerance.claim(() => s.machines.ofClass('access'), 1, random);
  if (!victims) return;
  note(s, 'restart', victims.machines);
  for (const m of victims.machines) {
    s.machines.kill(m);
    await pause(s, RESTART_MS);
    await s.machines.start(m);
  }
  victims.back();
};

const diskSlow: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  note(s, 'slow disks:', victims.machines);
  const nodes = victims.machines.map((m) => m.main);
  for (const n of nodes) n.diskMs *= SLOW_DISK_FACTOR;
  await pause(s, trouble.durationMs);
  for (const n of nodes) n.diskMs /= SLOW_DISK_FACTOR;
  victims.back();
};

/** The next write stops the whole process until the disk answers again. */
const diskStall: Play = async (s, trouble, random) => {
  const victims = await claim(s, trouble, random);
  if (!victims) return;
  note(s, 'disks stall:', victims.machines);
  const { clock } = s.machines.sim;
  const until = clock.now() + trouble.durationMs;
  const nodes = victims.machines.map((m) => m.main);
  for (let left = trouble.durationMs; left > 0; left = until - clock.now()) {
    for (const n of nodes) n.syncStallMs = [left, left];
    await pause(s, Math.min(left, 50));
  }
  for (const n of nodes) n.syncStallMs = undefined;
  victims.back();
};

const diskFull: Play = async (s, trouble, random) => {
  const victims = await claim(s, { ...trouble, count: 1 }, random);
  if (!victims) return;
  note(s, 'disk full:', victims.machines);
  const nodes = victims.machines.map((m) => m.main);
  for (const n of nodes) s.machines.sim.fillDisk(n, true);
  await pause(s, trouble.durationMs);
  for (const n of nodes) s.machines.sim.fillDisk(n, false);
  note(s, 'room again on the disk of', victims.machines);
  victims.back();
};

export const NETWORK_KINDS: Partial<Record<FaultKind, Play>> = {
  node_cut: nodeCut,
  core_cut: coreCut,
  disk_slow: diskSlow,
  disk_stall: diskStall,
  disk_full: diskFull,
};
