/** Losses of power and of disks: of machines that have just acknowledged something, of all at once, and at the end of a day. */
import type { RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';
import { bringBack } from './machine-faults.js';
import type { FaultKind, ScheduledFault } from './schedule.js';
import { claim, nextWork, note, pause, type Play, type TroubleStage } from './fault-context.js';
import type { LossClaim } from './loss-budget.js';

/** Power goes this long after an acknowledgement, at most. */
const AFTER_ACK_MS = 4;
/** With `timed`: from the sending of a change to the fault. */
const TIMED_MS = { least: 5, most: 400 } as const;
/** After a closing fault the day goes on for this long, in which the fleet must serve again. */
const RECOVERY_MS = 17_000;
/** Repair is given this long before a closing fault is let in. */
const SETTLE_MS = 500;

/** Lets the moment come that the words of a trouble ask for; gives the machine that it points at. */
async function moment(s: TroubleStage, trouble: ScheduledFault, random: RandomSource): Promise<Machine | undefined> {
  if (trouble.modifiers.includes('taken')) return nextWork(s, trouble.on, random);
  const acked = s.orders.nextAck();
  const done = s.orders.change('route');
  if (trouble.modifiers.includes('timed')) {
    await pause(s, TIMED_MS.least + (TIMED_MS.most - TIMED_MS.least) * random.next());
    return undefined;
  }
  const ack = await Promise.race([acked, done.then(() => undefined)]);
  await pause(s, AFTER_ACK_MS * random.next());
  return ack?.machine;
}

/** Victims of a fault that follows an acknowledgement: who gave it, and others by lot. */
async function struck(s: TroubleStage, trouble: ScheduledFault, random: RandomSource): Promise<LossClaim | undefined> {
  const first = await moment(s, trouble, random);
  const preferred = first && s.machines.ofClass(trouble.on).includes(first) && first.isUp() ? [first] : undefined;
  if (!preferred || trouble.count > 1) return claim(s, trouble, random);
  return s.tolerance.claim(() => preferred, 1, random);
}

const afterAckKill: Play = async (s, trouble, random) => {
  const victims = await struck(s, trouble, random);
  if (!victims) return;
  const killed = trouble.modifiers.includes('kill');
  note(s, killed ? 'kill after an acknowledgement' : 'power fails after an acknowledgement', victims.machines);
  for (const m of victims.machines) {
    if (killed) s.machines.kill(m);
    else s.machines.powerOff(m);
  }
  await bringBack(s, victims.machines, trouble.durationMs);
  victims.back();
};

const afterAckWipe: Play = async (s, trouble, random) => {
  const victims = await struck(s, trouble, random);
  if (!victims) return;
  note(s, 'disk lost after an acknowledgement', victims.machines);
  for (const m of victims.machines) s.machines.wipe(m);
  await bringBack(s, victims.machines, trouble.durationMs);
  victims.back();
};

/** All machines that count at once, or many of the others. */
const herdKill: Play = async (s, trouble, random) => {
  if (trouble.on === 'access') {
    const share = Math.ceil(0.6 * s.machines.ofClass('access').length);
    const victims = await claim(s, { ...trouble, count: share }, random);
    if (!victims) return;
    note(s, 'kill at once', victims.machines);
    for (const m of victims.machines) s.machines.kill(m);
    await bringBack(s, victims.machines, trouble.durationMs);
    victims.back();
    return;
  }
  const all = await s.tolerance.claimAll(() => s.machines.counted());
  if (!all) return;
  if (trouble.modifiers.includes('taken')) await nextWork(s, 'store', random);
  const power = trouble.modifiers.includes('power') || trouble.modifiers.includes('taken');
  note(s, power ? 'power fails everywhere that counts' : 'kill all that count', all.machines);
  for (const m of all.machines) {
    if (power) s.machines.powerOff(m);
    else s.machines.kill(m);
  }
  await bringBack(s, all.machines, trouble.durationMs);
  all.back();
};

/** The fault that ends a day: right after an acknowledgement, all lose power, or are killed, or some lose their disks. */
const closing: Play = async (s, trouble, random) => {
  const everyone = trouble.modifiers.includes('power_off_all') || trouble.modifiers.includes('kill_all');
  while (s.tolerance.count() > 0) await pause(s, SETTLE_MS);
  const wiping = !everyone;
  const victims = wiping
    ? await claim(s, { ...trouble, count: s.machines.deployment.losses, on: lot(random) }, random)
    : undefined;
  if (wiping && !victims) return;
  await moment(s, { ...trouble, on: 'store' }, random);
  const others = s.machines.all.filter((m) => !m.removed && m.isUp() && !victims?.machines.includes(m));
  const dark = wiping ? others.filter((m) => m.counted && trouble.modifiers.includes('all')) : others;
  note(s, `closing fault ${trouble.modifiers.join(' ')}: disks lost of`, victims?.machines ?? []);
  for (const m of victims?.machines ?? []) s.machines.wipe(m);
  for (const m of dark) {
    if (trouble.modifiers.includes('kill_all')) s.machines.kill(m);
    else s.machines.powerOff(m);
  }
  s.stage.clientContext.journal.add({ k: 'closing' });
  await bringBack(s, [...dark, ...(victims?.machines ?? [])], trouble.durationMs);
  await pause(s, RECOVERY_MS);
  victims?.back();
};
const lot = (random: RandomSource): 'core' | 'store' => (random.next() < 0.5 ? 'core' : 'store');

export const LOSS_KINDS: Partial<Record<FaultKind, Play>> = {
  after_ack_kill: afterAckKill,
  after_ack_wipe: afterAckWipe,
  herd_kill: herdKill,
  closing,
};
