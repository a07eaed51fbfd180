/** A day's troubles: drawn from a seed, shown, and read back to be replayed. */
import { seededRandom } from '../sim.js';

/** Which machines a trouble strikes. */
export const MACHINE_CLASSES = ['core', 'store', 'access'] as const;
export type MachineClass = (typeof MACHINE_CLASSES)[number];

/** Every kind of trouble. */
export const FAULT_KINDS = [
  'node_kill',
  'node_freeze',
  'node_slow',
  'node_cut',
  'roll_term',
  'hup',
  'reset_conns',
  'clock_step',
  'add_nodes',
  'replace_core',
  'seed_turnover',
  'after_ack_kill',
  'after_ack_wipe',
  'herd_kill',
  'disk_slow',
  'disk_stall',
  'disk_full',
  'core_cut',
  'config_change',
  'config_race',
  'bad_config',
  'ack_lost',
  'retire',
  'closing',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One trouble of a day. Times are ms from the begin of the troubles. */
export interface ScheduledFault {
  at: number;
  kind: FaultKind;
  on: MachineClass;
  /** Words that vary a kind; see `HOWS`. */
  modifiers: string[];
  count: number;
  durationMs: number;
  /** By which its victims are drawn. */
  victimSeed: number;
}

interface Draft {
  on: MachineClass[];
  /** Of each row one word or none; a row that begins with '' may give none. */
  how?: string[][];
  most?: number;
  forMs?: [number, number];
}

/** The words that each kind takes, the classes that it strikes, and how long it lasts. */
const DRAFTS: Record<FaultKind, Draft> = {
  node_kill: {
    on: ['core', 'store', 'access'],
    how: [
      ['', 'power'],
      ['', '', 'leader', 'reader', 'seed'],
      ['', '', 'meet', 'race'],
    ],
    most: 2,
    forMs: [300, 4_000],
  },
  node_freeze: {
    on: ['core', 'store', 'access'],
    how: [['', 'leader']],
    most: 2,
    forMs: [500, 8_000],
  },
  node_slow: { on: ['core', 'store', 'access'], how: [['', 'leader']], most: 2, forMs: [2_000, 6_000] },
  node_cut: { on: ['access'], most: 2, forMs: [2_000, 8_000] },
  roll_term: { on: ['core', 'store', 'access'], how: [['', 'busy', 'remove']], most: 3, forMs: [800, 1_500] },
  hup: { on: ['core', 'store', 'access'], most: 4, forMs: [200, 2_000] },
  reset_conns: { on: ['core', 'store', 'access'], most: 4 },
  clock_step: { on: ['core', 'store', 'access'], how: [['back', 'ahead']], most: 5, forMs: [2_000, 8_000] },
  add_nodes: { on: ['store'], most: 2 },
  replace_core: { on: ['core', 'store'], how: [['', 'planned']], forMs: [500, 2_000] },
  seed_turnover: { on: ['core'] },
  after_ack_kill: {
    on: ['core', 'store'],
    how: [
      ['', 'timed', 'taken'],
      ['', 'kill'],
    ],
    most: 2,
    forMs: [500, 3_000],
  },
  after_ack_wipe: { on: ['core', 'store'], how: [['', 'timed', 'taken']], most: 2, forMs: [500, 3_000] },
  herd_kill: { on: ['core', 'access'], how: [['', 'power', 'taken']], most: 3, forMs: [500, 2_000] },
  disk_slow: { on: ['core', 'store'], most: 2, forMs: [3_000, 6_000] },
  disk_stall: { on: ['core', 'store'], most: 2, forMs: [1_500, 4_000] },
  disk_full: { on: ['core', 'store'], forMs: [2_000, 5_000] },
  core_cut: {
    on: ['core', 'store'],
    how: [
      ['', 'one_way', 'seeds', 'both'],
      ['', 'leader', 'reader', 'seed'],
      ['', '', 'meet', 'race'],
      ['', 'hard'],
    ],
    most: 2,
    forMs: [2_000, 20_000],
  },
  config_change: { on: ['core'], how: [['route', 'timeout', 'idle']] },
  config_race: { on: ['core'], most: 3, forMs: [500, 1_500] },
  bad_config: { on: ['core'], how: [['cut_short', 'old_version', 'same_place', 'no_timeout']], most: 3 },
  ack_lost: { on: ['core'], forMs: [3_000, 8_000] },
  retire: { on: ['store'], how: [['', 'wipe']], forMs: [5_000, 12_000] },
  closing: {
    on: ['core'],
    how: [
      ['power_off_all', 'kill_all', 'wipe_after_ack'],
      ['', 'all'],
      ['', 'timed', 'taken'],
    ],
    forMs: [500, 1_000],
  },
};

/** The troubles of a day begin within this time (ms). */
const DAY_MS = 26_000;
/** The share of days that end with a closing fault. */
const CLOSING_SHARE = 0.4;

const oneOf = <T>(random: { next(): number }, xs: readonly T[]): T => xs[Math.floor(random.next() * xs.length)]!;

function drawTrouble(kind: FaultKind, at: number, random: { next(): number }): ScheduledFault {
  const draft = DRAFTS[kind];
  const [least, most] = draft.forMs ?? [0, 0];
  return {
    at: Math.round(at),
    kind,
    on: oneOf(random, draft.on),
    modifiers: (draft.how ?? []).map((words) => oneOf(random, words)).filter((word) => word !== ''),
    count: 1 + Math.floor(random.next() * (draft.most ?? 1)),
    durationMs: Math.round(least + (most - least) * random.next()),
    victimSeed: Math.floor(random.next() * 2 ** 31),
  };
}

/**
 * So many troubles of any kind at any moment, several at once, and now and then a closing fault.
 * @example
 * drawSchedule(7, 6)
 */
export function drawSchedule(seed: number, count: number, only?: readonly FaultKind[]): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x7d0b1e);
  const names = (only ?? FAULT_KINDS).filter((name) => name !== 'closing');
  const out = Array.from({ length: count }, () => drawTrouble(oneOf(random, names), DAY_MS * random.next(), random));
  if (random.next() < CLOSING_SHARE) out.push(drawTrouble('closing', DAY_MS, random));
  return out.sort((a, b) => a.at - b.at);
}

/**
 * A schedule in one line, which `readSchedule` takes back.
 * @example
 * showSchedule(drawSchedule(7, 2)); // 'node_kill@3000:on=core,how=power+leader,count=1,for=900,pick=7; ...'
 */
export function formatSchedule(troubles: readonly ScheduledFault[]): string {
  return troubles
    .map(
      (t) =>
        `${t.kind}@${t.at}:on=${t.on},how=${t.modifiers.join('+') || '-'},count=${t.count},for=${t.durationMs},pick=${t.victimSeed}`,
    )
    .join('; ');
}

/**
 * The schedule that a line of `showSchedule` tells; throws an Error with one clear line.
 * @example
 * readSchedule('node_freeze@3000:on=store,how=-,count=1,for=900,pick=7')
 */
export function parseSchedule(line: string): ScheduledFault[] {
  return line.split(';').map((part) => {
    const m = /^\s*(\w+)@(\d+):on=(\w+),how=([\w+-]+),count=(\d+),for=(\d+),pick=(\d+)\s*$/.exec(part);
    const kind = FAULT_KINDS.find((name) => name === m?.[1]);
    const on = MACHINE_CLASSES.find((name) => name === m?.[3]);
    if (!m || !kind || !on) throw new Error(`not a trouble: '${part.trim()}'`);
    const how = m[4] === '-' ? [] : m[4]!.split('+');
    return { kind, on, how, at: Number(m[2]), count: Number(m[5]), forMs: Number(m[6]), pick: Number(m[7]) };
  });
}
