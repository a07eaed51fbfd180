import { readFileSync } from 'node:fs';
import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';

const strict = { additionalProperties: false };

/** One quantity against one size, as it was measured. */
export const Series = Type.Object(
  {
    id: Type.String({ pattern: '^[a-z]+(-[a-z]+)*$' }),
    title: Type.String({ minLength: 1 }),
    /** What the size counts, and the unit of the quantity. */
    x: Type.String({ minLength: 1 }),
    y: Type.String({ minLength: 1 }),
    /**
     * `virtual`: real code in the simulator; `loopback`: real processes; `direct`: real functions called in one
     * process.
     */
    way: Type.Union([Type.Literal('virtual'), Type.Literal('loopback'), Type.Literal('direct')]),
    command: Type.String({ minLength: 1 }),
    commit: Type.String({ pattern: '^[0-9a-f]{7,40}$' }),
    /** The machine's load average over a minute, when the part began: what else ran beside it. */
    load: Type.Number({ minimum: 0 }),
    points: Type.Array(Type.Object({ x: Type.Number(), y: Type.Number() }, strict), { minItems: 1 }),
  },
  strict,
);
export type Series = Static<typeof Series>;

/** What became of a fleet in one loss, in virtual time. */
export const Drill = Type.Object(
  {
    id: Type.String({ pattern: '^[a-z]+(-[a-z]+)*$' }),
    title: Type.String({ minLength: 1 }),
    command: Type.String({ minLength: 1 }),
    commit: Type.String({ pattern: '^[0-9a-f]{7,40}$' }),
    nodes: Type.Integer({ minimum: 1 }),
    /** Shares 0..1 of nodes left that may serve, and of shards with an owner that may serve, 15 s after. */
    fresh: Type.Number({ minimum: 0, maximum: 1 }),
    owned: Type.Number({ minimum: 0, maximum: 1 }),
    /** The longest time any shard was without an owner that may serve, ms; what was so at the end counts to the end. */
    gapMs: Type.Number({ minimum: 0 }),
    /** Whether a change of configuration at a node that is left was taken. */
    change: Type.Boolean(),
  },
  strict,
);
export type Drill = Static<typeof Drill>;

export const Measured = Type.Object(
  {
    /** Cores and memory of the machine, and the Node that ran. */
    cores: Type.Integer({ minimum: 1 }),
    memoryGiB: Type.Number({ exclusiveMinimum: 0 }),
    node: Type.String({ minLength: 1 }),
    series: Type.Array(Series),
    drills: Type.Array(Drill),
  },
  strict,
);
export type Measured = Static<typeof Measured>;

const check = Compile(Measured);

/**
 * The measured file; throws an Error with one clear line when it is none.
 * @example
 * readMeasured('docs/capacity.json').series.length
 */
export function readMeasured(file: string): Measured {
  let x: unknown;
  try {
    x = JSON.parse(readFileSync(file, 'utf8'));
  } catch (e) {
    throw new Error(`${file}: ${e instanceof Error ? e.message : String(e)}`);
  }
  if (!check.Check(x)) {
    const e = check.Errors(x)[0] as { instancePath: string; message: string } | undefined;
    throw new Error(`${file}: ${e?.instancePath || '/'}: ${e?.message ?? 'invalid'}`);
  }
  const ids = x.series.map((s) => s.id).concat(x.drills.map((d) => d.id));
  const twice = ids.find((id, i) => ids.indexOf(id) !== i);
  if (twice !== undefined) throw new Error(`${file}: '${twice}' is there twice`);
  return x;
}

/** A line through the points: y = base + slope * x. */
export interface Line {
  base: number;
  slope: number;
  /** Two standard errors of the slope. */
  spread: number;
  /** Share of the variance that the line explains, 0..1. */
  r2: number;
  /** Sizes it was taken at. */
  sizes: number[];
}

/**
 * The least-squares line; throws when the points have fewer than three sizes.
 * @example
 * lineOf(series.points).slope // ms per conn
 */
export function lineOf(points: { x: number; y: number }[]): Line {
  const sizes = [...new Set(points.map((p) => p.x))].sort((a, b) => a - b);
  if (sizes.length < 3) throw new Error(`a slope needs three sizes, not ${sizes.length}`);
  const n = points.length;
  const mx = points.reduce((a, p) => a + p.x, 0) / n;
  const my = points.reduce((a, p) => a + p.y, 0) / n;
  const sxx = points.reduce((a, p) => a + (p.x - mx) ** 2, 0);
  const syy = points.reduce((a, p) => a + (p.y - my) ** 2, 0);
  const slope = points.reduce((a, p) => a + (p.x - mx) * (p.y - my), 0) / sxx;
  const base = my - slope * mx;
  const rest = points.reduce((a, p) => a + (p.y - base - slope * p.x) ** 2, 0);
  const spread = n > 2 ? 2 * Math.sqrt(rest / (n - 2) / sxx) : 0;
  return { base, slope, spread, r2: syy === 0 ? 1 : 1 - rest / syy, sizes };
}

/** What a machine has for a trial. */
export interface Machine {
  cores: number;
  memoryBytes: number;
}
/** What is asked of it. */
export interface Demand {
  /** Nodes of the simulated fleet, all in one process. */
  hollow?: number[];
  /** Connections to one real process. */
  conns?: number[];
  /** Real processes at once. */
  processes?: number[];
  /** Shards of a value that is built whole. */
  shards?: number[];
  /** Hollow peers that listen, in one process. */
  peers?: number[];
}

/** Bounds of a trial on one machine, with the reason for each. */
export const BOUNDS = {
  /** A trial stays under this share of the machine's memory: others work there. */
  memoryShare: 0.5,
  /** Real processes at once. */
  processesN: 200,
  /** A simulated node's memory: ten times what `hollow-memory` measured, for what waits while all of them start. */
  hollowBytes: 4 * 1024 * 1024,
  /** A real process's memory. */
  processBytes: 100 * 1024 * 1024,
  /** Real processes a core bears while none of them is late, idle: 0.1 of a core each, a third left over. */
  processesPerCore: 7,
  /** A shard of a whole value, packed and unpacked several times over. */
  shardBytes: 6 * 1024,
  /** A listening peer. */
  peerBytes: 256 * 1024,
  /** What one relay takes (kernel's `connectionLimit`), less those the harness needs itself. */
  connectionLimit: 3_900,
  /** Descriptors of the client side: one a conn. */
  peersN: 2_000,
} as const;

/**
 * Why a trial of these sizes does not fit the machine; undefined when it does.
 * @example
 * misfit({ processes: [900] }, machine); // 'processes 900: at most 200 at once'
 */
export function misfit(d: Demand, m: Machine): string | undefined {
  const room = m.memoryBytes * BOUNDS.memoryShare;
  const gib = (b: number): string => `${(b / 1024 ** 3).toFixed(1)} GiB`;
  const checkOne = (what: string, n: number, bytes: number, least: number, most: number): string | undefined => {
    if (!Number.isInteger(n) || n < least) return `${what} ${n}: must be a whole number of at least ${least}`;
    if (n > most) return `${what} ${n}: at most ${most}`;
    if (n * bytes > room)
      return `${what} ${n}: needs about ${gib(n * bytes)}, half of this machine's memory is ${gib(room)}`;
    return undefined;
  };
  const most = (xs: number[] | undefined, f: (n: number) => string | undefined): string | undefined =>
    xs?.map(f).find((w) => w !== undefined);
  for (const [what, xs] of Object.entries(d) as [string, number[]][])
    if (new Set(xs).size < 3)
      return `${what} ${xs.join(',')}: a slope \
needs three different sizes`;
  return (
    most(d.hollow, (n) => checkOne('hollow', n, BOUNDS.hollowBytes, 12, Infinity)) ??
    most(d.conns, (n) => checkOne('conns', n, 64 * 1024, 1, BOUNDS.connectionLimit)) ??
    most(d.processes, (n) =>
      checkOne('processes', n, BOUNDS.processBytes, 5, Math.min(BOUNDS.processesN, m.cores * BOUNDS.processesPerCore)),
    ) ??
    most(d.shards, (n) => checkOne('shards', n, BOUNDS.shardBytes, 1, Infinity)) ??
    most(d.peers, (n) => checkOne('peers', n, BOUNDS.peerBytes, 1, BOUNDS.peersN))
  );
}

/**
 * Sizes from a flag; throws an Error with one clear line.
 * @example
 * sizesOf('hollow', '60,120,550'); // [60, 120, 550]
 */
export function sizesOf(name: string, text: string): number[] {
  const xs = text.split(',').map((s) => (/^\d+$/.test(s.trim()) ? Number(s) : NaN));
  const bad = xs.findIndex((x) => !Number.isSafeInteger(x) || x < 1);
  if (bad >= 0) throw new Error(`--${name}: '${text.split(',')[bad]}' is no size`);
  return xs;
}
