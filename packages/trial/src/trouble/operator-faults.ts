/** What operators do: changes, races, bad orders, lost answers, and machines that are emptied and taken away. */
import type { FaultKind, ScheduledFault } from './schedule.js';
import type { ChangeKind } from './platform-operators.js';
import { note, pause, type Play, type TroubleStage } from './fault-context.js';

/** The share of acknowledgements that is lost. */
const LOST_SHARE = 0.7;
/** Operators ask for the state of a retirement this often. */
const STATUS_MS = 500;
/** A store may be emptied while so many others stay. */
const STORES_LEFT_MIN = 3;

const CHANGE_KINDS: readonly ChangeKind[] = ['route', 'timeout', 'idle'];

const configChange: Play = async (s, trouble) => {
  await s.orders.change(CHANGE_KINDS.find((kind) => trouble.modifiers.includes(kind)));
};

/** Pairs of changes that are sent at the same moment. */
const configRace: Play = async (s, trouble) => {
  for (let i = 0; i < trouble.count; i++) {
    await Promise.all([s.orders.change('route'), s.orders.change('timeout')]);
    await pause(s, trouble.durationMs);
  }
};

const badConfig: Play = async (s, trouble) => {
  for (let i = 0; i < trouble.count; i++) {
    await s.orders.bad(trouble.modifiers[0] ?? 'cut_short');
    await pause(s, STATUS_MS);
  }
};

/** Some acknowledgements never arrive, and the same orders come again, to other machines. */
const ackLost: Play = async (s, trouble) => {
  note(s, 'acknowledgements get lost');
  s.orders.lostShare = LOST_SHARE;
  const ends = s.machines.sim.clock.now() + trouble.durationMs;
  while (s.machines.sim.clock.now() < ends) {
    await s.orders.change('route');
    await pause(s, STATUS_MS);
  }
  s.orders.lostShare = 0;
};

async function emptied(s: TroubleStage, disk: string, withinMs: number): Promise<boolean> {
  const { clock } = s.machines.sim;
  const until = clock.now() + withinMs;
  while (clock.now() < until) {
    const status = await s.orders.operator.ask('EmptyStatus', { disk });
    if (status.body?.state === 'emptied') return true;
    await pause(s, STATUS_MS);
  }
  return false;
}

/** A store machine is emptied and taken away; with `wipe` others lose their disks right after. */
const retire: Play = async (s, trouble, random) => {
  const stores = s.machines.ofClass('store').filter((m) => m.isUp());
  if (stores.length <= STORES_LEFT_MIN) {
    // A spare machine comes first, as an operator would see to.
    await s.machines.start(s.machines.add('store'));
    await pause(s, s.machines.deployment.repairMs);
  }
  const leaving = stores[Math.floor(random.next() * stores.length)];
  if (!leaving || leaving.removed) return;
  note(s, 'retire', [leaving]);
  const asked = await s.orders.operator.ask('EmptyDisk', { disk: leaving.name });
  if (asked.status !== 200) {
    note(s, `retirement refused: ${JSON.stringify(asked.body)}`);
    return;
  }
  if (!(await emptied(s, leaving.name, trouble.durationMs + RETIRE_SLACK_MS))) {
    note(s, 'not emptied in time:', [leaving]);
    return;
  }
  note(s, 'emptied and taken away:', [leaving]);
  await s.machines.stop(leaving);
  s.machines.remove(leaving);
  if (trouble.modifiers.includes('wipe')) await wipeOthers(s, trouble, random);
};
/** An emptying may take this much longer than it was asked to, beside other troubles. */
const RETIRE_SLACK_MS = 15_000;

async function wipeOthers(s: TroubleStage, trouble: ScheduledFault, random: Parameters<Play>[2]): Promise<void> {
  const { losses } = s.machines.deployment;
  const victims = await s.tolerance.claim(() => s.machines.ofClass('store'), losses, random);
  if (!victims) return;
  note(s, 'disk lost right after a retirement:', victims.machines);
  for (const m of victims.machines) s.machines.wipe(m);
  await pause(s, trouble.durationMs / 4);
  for (const m of victims.machines) await s.machines.start(m);
  victims.back();
}

export const OPERATOR_KINDS: Partial<Record<FaultKind, Play>> = {
  config_change: configChange,
  config_race: configRace,
  bad_config: badConfig,
  ack_lost: ackLost,
  retire,
};
