import { SHARD, shardOf } from '@harecross/kernel';
import type { Placed } from '@harecross/schema';
import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';
import { solve } from 'yalps';

const strict = { additionalProperties: false };
const Where = {
  shards: Type.Optional(Type.Array(Type.Integer({ minimum: 0 }), { minItems: 1 })),
  topics: Type.Optional(Type.Array(Type.String({ minLength: 1 }), { minItems: 1 })),
};

/** The constraint file. Without `shards` or `topics` a pin or an exclusion is about all shards. */
export const Constraints = Type.Object(
  {
    copies: Type.Integer({ minimum: 1, maximum: 9 }),
    /** Most copies of one shard in one domain. */
    perDomain: Type.Optional(Type.Integer({ minimum: 1 })),
    /** Domains in which every shard must have a copy. */
    domains: Type.Optional(Type.Array(Type.String())),
    /** Most copies a machine takes, by peer address; `*` for all others. */
    capacity: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 0 }))),
    pins: Type.Optional(Type.Array(Type.Object({ node: Type.String(), ...Where }, strict))),
    exclude: Type.Optional(Type.Array(Type.Object({ node: Type.String(), ...Where }, strict))),
  },
  strict,
);
export type Constraints = Static<typeof Constraints>;
const check = Compile(Constraints);

export interface Disk {
  peer: string;
  domain: string;
}
export interface PlacementPlan {
  placement: Placed[];
  moved: number;
}
export type PlacementResult =
  { tag: 'plan'; plan: PlacementPlan } | { tag: 'conflict'; between: string[] } | { tag: 'wrong'; faults: string[] };

type Where = { shards?: number[]; topics?: string[] };
const shardsOf = (w: Where): number[] =>
  w.shards || w.topics
    ? [...new Set([...(w.shards ?? []), ...(w.topics ?? []).map(shardOf)])]
    : [...Array(SHARD.shardCount).keys()];

/** One constraint of the file: its name for people, and its rows for the solver. */
interface Group {
  name: string;
  rows: [key: string, bound: { min?: number; max?: number; equal?: number }, cells: [shard: number, peer: string][]][];
}

function groupsOf(c: Constraints, disks: Disk[]): Group[] {
  const all = [...Array(SHARD.shardCount).keys()];
  const out: Group[] = [
    {
      name: `copies: ${c.copies}`,
      rows: all.map((s) => [`n${s}`, { equal: c.copies }, disks.map((d) => [s, d.peer])]),
    },
  ];
  const domains = [...new Set(disks.map((d) => d.domain))];
  const inDomain = (s: number, z: string): [number, string][] =>
    disks.filter((d) => d.domain === z).map((d) => [s, d.peer]);
  if (c.perDomain !== undefined)
    out.push({
      name: `perDomain: ${c.perDomain}`,
      rows: all.flatMap((s) =>
        domains.map((z) => [`z${s}/${z}`, { max: c.perDomain }, inDomain(s, z)] as Group['rows'][number]),
      ),
    });
  for (const z of c.domains ?? [])
    out.push({ name: `domains: ${z}`, rows: all.map((s) => [`in${s}/${z}`, { min: 1 }, inDomain(s, z)]) });
  for (const d of disks) {
    const max = c.capacity?.[d.peer] ?? c.capacity?.['*'];
    if (max !== undefined)
      out.push({
        name: `capacity: ${d.peer} takes ${max}`,
        rows: [[`c${d.peer}`, { max }, all.map((s) => [s, d.peer])]],
      });
  }
  const said = (w: Where): string =>
    w.shards || w.topics
      ? [...(w.shards ?? []).map((s) => `shard ${s}`), ...(w.topics ?? [])].join(', ')
      : 'all shards';
  for (const [i, p] of (c.pins ?? []).entries())
    out.push({
      name: `pins/${i}: ${said(p)} on ${p.node}`,
      rows: shardsOf(p).map((s) => [`p${i}/${s}`, { equal: 1 }, [[s, p.node]]]),
    });
  for (const [i, x] of (c.exclude ?? []).entries())
    out.push({
      name: `exclude/${i}: ${said(x)} not on ${x.node}`,
      rows: shardsOf(x).map((s) => [`x${i}/${s}`, { equal: 0 }, [[s, x.node]]]),
    });
  return out;
}

function attempt(groups: Group[], disks: Disk[], now: Map<number, string[]>): PlacementPlan | undefined {
  const vars = new Map<string, Map<string, number>>();
  for (let s = 0; s < SHARD.shardCount; s++)
    for (const d of disks) vars.set(`${s} ${d.peer}`, new Map([['kept', now.get(s)?.includes(d.peer) ? 1 : 0]]));
  const bounds = new Map<string, { min?: number; max?: number; equal?: number }>();
  for (const g of groups)
    for (const [key, bound, cells] of g.rows) {
      // A row that no machine can fill, such as a domain without disks.
      if (!cells.length && ((bound.min ?? 0) > 0 || (bound.equal ?? 0) > 0)) return undefined;
      bounds.set(key, bound);
      for (const [s, p] of cells) vars.get(`${s} ${p}`)?.set(key, 1);
    }
  const r = solve(
    { direction: 'maximize', objective: 'kept', constraints: bounds, variables: vars, binaries: true },
    { timeout: 20_000, maxIterations: 200_000 },
  );
  if (r.status !== 'optimal') return undefined;
  const placement: Placed[] = [...Array(SHARD.shardCount).keys()].map((shard) => ({ shard, nodes: [] }));
  for (const [v, x] of r.variables) {
    if (x < 0.5) continue;
    const [s, peer] = v.split(' ') as [string, string];
    placement[Number(s)]!.nodes.push(peer);
  }
  const moved = placement.reduce((n, p) => n + p.nodes.filter((x) => !now.get(p.shard)?.includes(x)).length, 0);
  return { placement, moved };
}

/**
 * Places copies by a constraint file, moving as few as it can. When there is no way, names a set of constraints
 * that conflict and of which none may be missing for the conflict.
 * @example
 * place({ copies: 3, perDomain: 1 }, disks, now); // { tag: 'plan', plan: { placement, moved } }
 */
export function solvePlacement(x: unknown, disks: Disk[], now: Map<number, string[]>): PlacementResult {
  if (!check.Check(x))
    return {
      tag: 'wrong',
      faults: (check.Errors(x) as { instancePath: string; message: string }[]).map(
        (e) => `${e.instancePath || '/'}: ${e.message}`,
      ),
    };
  const c = x as Constraints;
  const faults: string[] = [];
  if (c.copies % 2 === 0) faults.push('/copies: must be odd');
  for (const [k, list] of [
    ['pins', c.pins ?? []],
    ['exclude', c.exclude ?? []],
  ] as const)
    list.forEach((p, i) => {
      if (!disks.some((d) => d.peer === p.node)) faults.push(`/${k}/${i}/node: no disk is known at '${p.node}'`);
      for (const s of p.shards ?? [])
        if (s >= SHARD.shardCount) faults.push(`/${k}/${i}/shards: there is no shard ${s}`);
    });
  for (const n of Object.keys(c.capacity ?? {}))
    if (n !== '*' && !disks.some((d) => d.peer === n)) faults.push(`/capacity: no disk is known at '${n}'`);
  if (faults.length) return { tag: 'wrong', faults };
  let groups = groupsOf(c, disks);
  const plan = attempt(groups, disks, now);
  if (plan) return { tag: 'plan', plan };
  // Leave out one constraint after the other; what can't be left out is in the conflict.
  for (const g of Array.from(groups)) {
    const rest = groups.filter((o) => o !== g);
    if (!attempt(rest, disks, now)) groups = rest;
  }
  return { tag: 'conflict', between: groups.map((g) => g.name) };
}

/**
 * Checks a plan against its constraints, by counting and without the solver.
 * @example
 * planFaults(constraints, disks, plan.placement); // []
 */
export function findPlanViolations(c: Constraints, disks: Disk[], placement: Placed[]): string[] {
  const out: string[] = [];
  const domain = new Map(disks.map((d) => [d.peer, d.domain]));
  const weight = new Map<string, number>();
  const of = new Map(placement.map((p) => [p.shard, new Set(p.nodes)]));
  for (let s = 0; s < SHARD.shardCount; s++) {
    const nodes = of.get(s) ?? new Set<string>();
    if (nodes.size !== c.copies) out.push(`shard ${s} has ${nodes.size} copies, ${c.copies} are wanted`);
    const per = new Map<string, number>();
    for (const n of nodes) {
      weight.set(n, (weight.get(n) ?? 0) + 1);
      const z = domain.get(n);
      if (z === undefined) out.push(`shard ${s} is on ${n}, where no disk is known`);
      else per.set(z, (per.get(z) ?? 0) + 1);
    }
    for (const [z, n] of per)
      if (c.perDomain !== undefined && n > c.perDomain) out.push(`shard ${s} has ${n} copies in ${z}`);
    for (const z of c.domains ?? []) if (!per.has(z)) out.push(`shard ${s} has no copy in ${z}`);
  }
  for (const [n, w] of weight) {
    const max = c.capacity?.[n] ?? c.capacity?.['*'];
    if (max !== undefined && w > max) out.push(`${n} has ${w} copies and takes ${max}`);
  }
  for (const p of c.pins ?? [])
    for (const s of shardsOf(p)) if (!of.get(s)?.has(p.node)) out.push(`shard ${s} is not on ${p.node}`);
  for (const x of c.exclude ?? [])
    for (const s of shardsOf(x)) if (of.get(s)?.has(x.node)) out.push(`shard ${s} is on ${x.node}`);
  return out;
}
