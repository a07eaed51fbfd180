/** Faults of links and disks that last for some time. */
import { submitChangesTo } from './machine-faults.js';
import type { FaultKind } from './schedule.js';
import { claimVictims, note, pause, type FaultAction } from './fault-context.js';

/** Time from the end of a process to its next start. */
const RESTART_MS = 300;
/** Factor by which a slow disk takes longer. */
const SLOW_DISK_FACTOR = 30;

/** Cuts machines off from all machines with a disk. */
const nodeCut: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  note(context, 'cut off from all that count:', victims.machines);
  const others = context.machines.all.filter((machine) => machine.counted && !victims.machines.includes(machine));
  const reconnect = context.machines.cut(victims.machines, others);
  await pause(context, fault.durationMs);
  reconnect();
  note(context, 'joined again:', victims.machines);
  victims.back();
};

/** Cuts core or store machines off from the other core and store machines. */
const coreCut: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  const oneWay = fault.modifiers.includes('one_way');
  note(context, `cut off from the core${oneWay ? ', one way' : ''}:`, victims.machines);
  const others = context.machines.all.filter((machine) => machine.counted && !victims.machines.includes(machine));
  const reconnect = context.machines.cut(victims.machines, others, oneWay);
  const cutOff = victims.machines[0]!;
  const submissions: Promise<unknown>[] = submitChangesTo(context, fault, cutOff);
  if (fault.modifiers.includes('seeds')) {
    context.machines.replaceSeeds(victims.machines.filter((machine) => machine.type === 'core'));
    await restartAccessMachine(context, random);
  }
  if (fault.modifiers.includes('both')) {
    for (const machine of victims.machines) {
      context.machines.kill(machine);
      await pause(context, RESTART_MS);
      await context.machines.start(machine);
    }
  }
  await pause(context, fault.durationMs);
  reconnect();
  note(context, 'joined again:', victims.machines);
  victims.back();
  await Promise.all(submissions);
};

/** Restarts an access machine, which must find the fleet by the seeds in its settings. */
const restartAccessMachine: (
  ...args: [Parameters<FaultAction>[0], Parameters<FaultAction>[2]]
) => Promise<void> = async (context, random) => {
  const victims = await context.lossBudget.claim(() => context.machines.ofClass('access'), 1, random);
  if (!victims) return;
  note(context, 'restart', victims.machines);
  for (const machine of victims.machines) {
    context.machines.kill(machine);
    await pause(context, RESTART_MS);
    await context.machines.start(machine);
  }
  victims.back();
};

const diskSlow: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  note(context, 'slow disks:', victims.machines);
  const nodes = victims.machines.map((machine) => machine.main);
  for (const node of nodes) node.diskMs *= SLOW_DISK_FACTOR;
  await pause(context, fault.durationMs);
  for (const node of nodes) node.diskMs /= SLOW_DISK_FACTOR;
  victims.back();
};

/** Blocks the whole process at its next write until the disk responds again. */
const diskStall: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, fault, random);
  if (!victims) return;
  note(context, 'disks stall:', victims.machines);
  const { clock } = context.machines.sim;
  const until = clock.now() + fault.durationMs;
  const nodes = victims.machines.map((machine) => machine.main);
  for (let left = fault.durationMs; left > 0; left = until - clock.now()) {
    for (const node of nodes) node.syncStallMs = [left, left];
    await pause(context, Math.min(left, 50));
  }
  for (const node of nodes) node.syncStallMs = undefined;
  victims.back();
};

const diskFull: FaultAction = async (context, fault, random) => {
  const victims = await claimVictims(context, { ...fault, count: 1 }, random);
  if (!victims) return;
  note(context, 'disk full:', victims.machines);
  const nodes = victims.machines.map((machine) => machine.main);
  for (const node of nodes) context.machines.sim.fillDisk(node, true);
  await pause(context, fault.durationMs);
  for (const node of nodes) context.machines.sim.fillDisk(node, false);
  note(context, 'room again on the disk of', victims.machines);
  victims.back();
};

export const NETWORK_KINDS: Partial<Record<FaultKind, FaultAction>> = {
  node_cut: nodeCut,
  core_cut: coreCut,
  disk_slow: diskSlow,
  disk_stall: diskStall,
  disk_full: diskFull,
};
