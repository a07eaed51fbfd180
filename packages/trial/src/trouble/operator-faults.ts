/** Operator actions: changes, concurrent changes, invalid requests, lost answers, and machines that are drained and removed. */
import type { FaultKind, ScheduledFault } from './schedule.js';
import type { ChangeKind } from './platform-operators.js';
import { note, pause, type FaultAction, type FaultContext } from './fault-context.js';

/** Share of acknowledgements that are lost. */
const LOST_ACK_SHARE = 0.7;
/** Interval at which operators ask for the state of a retirement, and between repeated requests. */
const STATUS_MS = 500;
/** A spare store is added first if at most this many are up. */
const MIN_STORES_LEFT = 3;

const CHANGE_KINDS: readonly ChangeKind[] = ['route', 'timeout', 'idle'];

const configChange: FaultAction = async (context, fault) => {
  await context.operators.change(CHANGE_KINDS.find((kind) => fault.modifiers.includes(kind)));
};

/** Pairs of changes sent at the same moment. */
const configRace: FaultAction = async (context, fault) => {
  for (let i = 0; i < fault.count; i++) {
    await Promise.all([context.operators.change('route'), context.operators.change('timeout')]);
    await pause(context, fault.durationMs);
  }
};

const badConfig: FaultAction = async (context, fault) => {
  for (let i = 0; i < fault.count; i++) {
    await context.operators.submitInvalid(fault.modifiers[0] ?? 'cut_short');
    await pause(context, STATUS_MS);
  }
};

/** Loses a share of the acknowledgements, so operators resend the same requests to other machines. */
const ackLost: FaultAction = async (context, fault) => {
  note(context, 'acknowledgements get lost');
  context.operators.lostAckShare = LOST_ACK_SHARE;
  const ends = context.machines.sim.clock.now() + fault.durationMs;
  while (context.machines.sim.clock.now() < ends) {
    await context.operators.change('route');
    await pause(context, STATUS_MS);
  }
  context.operators.lostAckShare = 0;
};

async function becameEmpty(context: FaultContext, disk: string, withinMs: number): Promise<boolean> {
  const { clock } = context.machines.sim;
  const until = clock.now() + withinMs;
  while (clock.now() < until) {
    const status = await context.operators.operator.ask('EmptyStatus', { disk });
    if (status.body?.state === 'emptied') return true;
    await pause(context, STATUS_MS);
  }
  return false;
}

/** Empties and removes a store machine; with `wipe`, others lose their disks right after. */
const retire: FaultAction = async (context, fault, random) => {
  const stores = context.machines.ofClass('store').filter((machine) => machine.isUp());
  if (stores.length <= MIN_STORES_LEFT) {
    // An operator would add a spare machine first.
    await context.machines.start(context.machines.add('store'));
    await pause(context, context.machines.deployment.repairMs);
  }
  const leaving = stores[Math.floor(random.next() * stores.length)];
  if (!leaving || leaving.removed) return;
  note(context, 'retire', [leaving]);
  const asked = await context.operators.operator.ask('EmptyDisk', { disk: leaving.name });
  if (asked.status !== 200) {
    note(context, `retirement refused: ${JSON.stringify(asked.body)}`);
    return;
  }
  if (!(await becameEmpty(context, leaving.name, fault.durationMs + RETIRE_SLACK_MS))) {
    note(context, 'not emptied in time:', [leaving]);
    return;
  }
  note(context, 'emptied and taken away:', [leaving]);
  await context.machines.stop(leaving);
  context.machines.remove(leaving);
  if (fault.modifiers.includes('wipe')) await wipeOthers(context, fault, random);
};
/** Emptying a disk may take this much longer while other faults are active. */
const RETIRE_SLACK_MS = 15_000;

async function wipeOthers(
  context: FaultContext,
  fault: ScheduledFault,
  random: Parameters<FaultAction>[2],
): Promise<void> {
  const { losses } = context.machines.deployment;
  const victims = await context.lossBudget.claim(() => context.machines.ofClass('store'), losses, random);
  if (!victims) return;
  note(context, 'disk lost right after a retirement:', victims.machines);
  for (const machine of victims.machines) context.machines.wipe(machine);
  await pause(context, fault.durationMs / 4);
  for (const machine of victims.machines) await context.machines.start(machine);
  victims.back();
}

export const OPERATOR_KINDS: Partial<Record<FaultKind, FaultAction>> = {
  config_change: configChange,
  config_race: configRace,
  bad_config: badConfig,
  ack_lost: ackLost,
  retire,
};
