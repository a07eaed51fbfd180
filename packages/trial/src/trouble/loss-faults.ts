/** Power failures and disk losses: of machines that just acknowledged something, of many machines at once, and at the end of a run. */
import type { RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';
import { restartAfter } from './machine-faults.js';
import type { FaultKind, ScheduledFault } from './schedule.js';
import {
  claimVictims,
  ownerAfterNextAccept,
  note,
  pause,
  type FaultAction,
  type FaultContext,
} from './fault-context.js';
import type { LossClaim } from './loss-budget.js';

/** Maximum time from the acknowledgement to the fault. */
const MAX_AFTER_ACK_MS = 4;
/** With `timed`: time from sending a change to the fault. */
const TIMED_DELAY_MS = { least: 5, most: 400 } as const;
/** Time that the run goes on after a closing fault; the fleet must serve again within it. */
const RECOVERY_MS = 17_000;
/** Interval at which a closing fault checks whether all machines are repaired. */
const BUDGET_POLL_MS = 500;

/** Waits for the trigger that the modifiers of a fault name; returns the machine that caused it, if any. */
async function waitForTrigger(
  context: FaultContext,
  fault: ScheduledFault,
  random: RandomSource,
): Promise<Machine | undefined> {
  if (fault.modifiers.includes('taken')) return ownerAfterNextAccept(context, fault.on, random);
  const acked = context.operators.nextAck();
  const done = context.operators.change('route');
  if (fault.modifiers.includes('timed')) {
    await pause(context, TIMED_DELAY_MS.least + (TIMED_DELAY_MS.most - TIMED_DELAY_MS.least) * random.next());
    return undefined;
  }
  const ack = await Promise.race([acked, done.then(() => undefined)]);
  await pause(context, MAX_AFTER_ACK_MS * random.next());
  return ack?.machine;
}

/** Victims of a fault that follows an acknowledgement: the machine that gave it if possible, otherwise random ones. */
async function claimAfterTrigger(
  context: FaultContext,
  fault: ScheduledFault,
  random: RandomSource,
): Promise<LossClaim | undefined> {
  const first = await waitForTrigger(context, fault, random);
  const preferred = first && context.machines.ofClass(fault.on).includes(first) && first.isUp() ? [first] : undefined;
  if (!preferred || fault.count > 1) return claimVictims(context, fault, random);
  return context.lossBudget.claim(() => preferred, 1, random);
}

const afterAckKill: FaultAction = async (context, fault, random) => {
  const victims = await claimAfterTrigger(context, fault, random);
  if (!victims) return;
  const killed = fault.modifiers.includes('kill');
  note(context, killed ? 'kill after an acknowledgement' : 'power fails after an acknowledgement', victims.machines);
  for (const machine of victims.machines) {
    if (killed) context.machines.kill(machine);
    else context.machines.powerOff(machine);
  }
  await restartAfter(context, victims.machines, fault.durationMs);
  victims.back();
};

const afterAckWipe: FaultAction = async (context, fault, random) => {
  const victims = await claimAfterTrigger(context, fault, random);
  if (!victims) return;
  note(context, 'disk lost after an acknowledgement', victims.machines);
  for (const machine of victims.machines) context.machines.wipe(machine);
  await restartAfter(context, victims.machines, fault.durationMs);
  victims.back();
};

/** Kills all machines with a disk at once, or 60 % of the access machines. */
const herdKill: FaultAction = async (context, fault, random) => {
  if (fault.on === 'access') {
    const share = Math.ceil(0.6 * context.machines.ofClass('access').length);
    const victims = await claimVictims(context, { ...fault, count: share }, random);
    if (!victims) return;
    note(context, 'kill at once', victims.machines);
    for (const machine of victims.machines) context.machines.kill(machine);
    await restartAfter(context, victims.machines, fault.durationMs);
    victims.back();
    return;
  }
  const all = await context.lossBudget.claimAll(() => context.machines.counted());
  if (!all) return;
  if (fault.modifiers.includes('taken')) await ownerAfterNextAccept(context, 'store', random);
  const power = fault.modifiers.includes('power') || fault.modifiers.includes('taken');
  note(context, power ? 'power fails everywhere that counts' : 'kill all that count', all.machines);
  for (const machine of all.machines) {
    if (power) context.machines.powerOff(machine);
    else context.machines.kill(machine);
  }
  await restartAfter(context, all.machines, fault.durationMs);
  all.back();
};

/** The last fault of a run, right after an acknowledgement: all machines lose power or are killed, or some lose their disks. */
const closing: FaultAction = async (context, fault, random) => {
  const allMachines = fault.modifiers.includes('power_off_all') || fault.modifiers.includes('kill_all');
  while (context.lossBudget.count() > 0) await pause(context, BUDGET_POLL_MS);
  const wiping = !allMachines;
  const victims = wiping
    ? await claimVictims(
        context,
        { ...fault, count: context.machines.deployment.losses, on: coreOrStore(random) },
        random,
      )
    : undefined;
  if (wiping && !victims) return;
  await waitForTrigger(context, { ...fault, on: 'store' }, random);
  const others = context.machines.all.filter(
    (machine) => !machine.removed && machine.isUp() && !victims?.machines.includes(machine),
  );
  const unpowered = wiping ? others.filter((machine) => machine.counted && fault.modifiers.includes('all')) : others;
  note(context, `closing fault ${fault.modifiers.join(' ')}: disks lost of`, victims?.machines ?? []);
  for (const machine of victims?.machines ?? []) context.machines.wipe(machine);
  for (const machine of unpowered) {
    if (fault.modifiers.includes('kill_all')) context.machines.kill(machine);
    else context.machines.powerOff(machine);
  }
  context.scenario.clientContext.journal.add({ k: 'closing' });
  await restartAfter(context, [...unpowered, ...(victims?.machines ?? [])], fault.durationMs);
  await pause(context, RECOVERY_MS);
  victims?.back();
};
const coreOrStore = (random: RandomSource): 'core' | 'store' => (random.next() < 0.5 ? 'core' : 'store');

export const LOSS_KINDS: Partial<Record<FaultKind, FaultAction>> = {
  after_ack_kill: afterAckKill,
  after_ack_wipe: afterAckWipe,
  herd_kill: herdKill,
  closing,
};
