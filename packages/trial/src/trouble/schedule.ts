/** Fault schedules: drawn from a seed, printed as one line, and parsed again for a replay. */
import { seededRandom } from '../sim.js';

/** Classes of machines that a fault can affect. */
export const MACHINE_CLASSES = ['core', 'store', 'access'] as const;
export type MachineClass = (typeof MACHINE_CLASSES)[number];

/** All kinds of faults. */
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

/** One fault of a schedule. Times are ms from the start of the part with faults. */
export interface ScheduledFault {
  at: number;
  kind: FaultKind;
  on: MachineClass;
  /** Modifiers of the kind; see `KIND_SPECS`. */
  modifiers: string[];
  count: number;
  durationMs: number;
  /** Seed by which its victims are drawn. */
  victimSeed: number;
}

interface KindSpec {
  on: MachineClass[];
  /** One modifier is drawn from each row; '' means none. */
  how?: string[][];
  most?: number;
  forMs?: [number, number];
}

/** For each kind the modifiers, the machine classes it affects, the largest number of victims or repetitions, and its duration. */
const KIND_SPECS: Record<FaultKind, KindSpec> = {
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

/** All faults of a schedule start within this time. */
const FAULT_PHASE_MS = 26_000;
/** Share of schedules that end with a closing fault. */
const CLOSING_SHARE = 0.4;

const randomElement = <T>(random: { next(): number }, xs: readonly T[]): T =>
  xs[Math.floor(random.next() * xs.length)]!;

function drawFault(kind: FaultKind, at: number, random: { next(): number }): ScheduledFault {
  const spec = KIND_SPECS[kind];
  const [least, most] = spec.forMs ?? [0, 0];
  return {
    at: Math.round(at),
    kind,
    on: randomElement(random, spec.on),
    modifiers: (spec.how ?? []).map((words) => randomElement(random, words)).filter((word) => word !== ''),
    count: 1 + Math.floor(random.next() * (spec.most ?? 1)),
    durationMs: Math.round(least + (most - least) * random.next()),
    victimSeed: Math.floor(random.next() * 2 ** 31),
  };
}

/**
 * Draws `count` faults of random kinds at random times, which may overlap, and in some schedules a closing fault.
 * @example
 * drawSchedule(7, 6)
 */
export function drawSchedule(seed: number, count: number, only?: readonly FaultKind[]): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x7d0b1e);
  const kinds = (only ?? FAULT_KINDS).filter((name) => name !== 'closing');
  const faults = Array.from({ length: count }, () =>
    drawFault(randomElement(random, kinds), FAULT_PHASE_MS * random.next(), random),
  );
  if (random.next() < CLOSING_SHARE) faults.push(drawFault('closing', FAULT_PHASE_MS, random));
  return faults.sort((a, b) => a.at - b.at);
}

/**
 * Prints a schedule as one line, which `parseSchedule` reads.
 * @example
 * formatSchedule(drawSchedule(7, 2)); // 'node_kill@3000:on=core,how=power+leader,count=1,for=900,pick=7; ...'
 */
export function formatSchedule(faults: readonly ScheduledFault[]): string {
  return faults
    .map(
      (fault) =>
        `${fault.kind}@${fault.at}:on=${fault.on},how=${fault.modifiers.join('+') || '-'},count=${fault.count},for=${fault.durationMs},pick=${fault.victimSeed}`,
    )
    .join('; ');
}

/**
 * Parses a line of `formatSchedule`; throws an Error that names the part that is wrong.
 * @example
 * parseSchedule('node_freeze@3000:on=store,how=-,count=1,for=900,pick=7')
 */
export function parseSchedule(line: string): ScheduledFault[] {
  return line.split(';').map((part): ScheduledFault => {
    const match = /^\s*(\w+)@(\d+):on=(\w+),how=([\w+-]+),count=(\d+),for=(\d+),pick=(\d+)\s*$/.exec(part);
    const kind = FAULT_KINDS.find((name) => name === match?.[1]);
    const on = MACHINE_CLASSES.find((name) => name === match?.[3]);
    if (!match || !kind || !on) throw new Error(`not a trouble: '${part.trim()}'`);
    const how = match[4] === '-' ? [] : match[4]!.split('+');
    return {
      kind,
      on,
      modifiers: how,
      at: Number(match[2]),
      count: Number(match[5]),
      durationMs: Number(match[6]),
      victimSeed: Number(match[7]),
    };
  });
}
