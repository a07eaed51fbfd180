import { SHARD, shardOf } from '@harecross/kernel';
import type { Placed } from '@harecross/schema';
import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';
import { solve } from 'yalps';

const strict = { additionalProperties: false };
const ShardSelector = {
  shards: Type.Optional(Type.Array(Type.Integer({ minimum: 0 }), { minItems: 1 })),
  topics: Type.Optional(Type.Array(Type.String({ minLength: 1 }), { minItems: 1 })),
};

/** Contents of the constraint file. A pin or exclusion without `shards` and `topics` applies to all shards. */
export const Constraints = Type.Object(
  {
    copies: Type.Integer({ minimum: 1, maximum: 9 }),
    /** Maximum number of copies of one shard in one domain. */
    perDomain: Type.Optional(Type.Integer({ minimum: 1 })),
    /** Domains in each of which every shard must have a copy. */
    domains: Type.Optional(Type.Array(Type.String())),
    /** Maximum number of copies on a machine, by peer address; `*` applies to all others. */
    capacity: Type.Optional(Type.Record(Type.String(), Type.Integer({ minimum: 0 }))),
    /** Shards that must have a copy on a node. */
    pins: Type.Optional(Type.Array(Type.Object({ node: Type.String(), ...ShardSelector }, strict))),
    /** Shards that must not have a copy on a node. */
    exclude: Type.Optional(Type.Array(Type.Object({ node: Type.String(), ...ShardSelector }, strict))),
  },
  strict,
);
export type Constraints = Static<typeof Constraints>;
const constraintsValidator = Compile(Constraints);

export interface Disk {
  peer: string;
  domain: string;
}
export interface PlacementPlan {
  placement: Placed[];
  /** Number of copies that the plan puts on a machine where they are not now. */
  moved: number;
}
/** `between`: the constraints that cannot be satisfied together, as text. */
export type PlacementResult =
  { tag: 'plan'; plan: PlacementPlan } | { tag: 'conflict'; between: string[] } | { tag: 'wrong'; faults: string[] };

type ShardSelector = { shards?: number[]; topics?: string[] };
const shardsOf = (selector: ShardSelector): number[] =>
  selector.shards || selector.topics
    ? [...new Set([...(selector.shards ?? []), ...(selector.topics ?? []).map(shardOf)])]
    : [...Array(SHARD.shardCount).keys()];

/**
 * One constraint of the file: its text for the operator, and its rows for the solver. A row bounds the number of copies among its cells, each
 * of which is a shard on a machine.
 */
interface SolverConstraint {
  name: string;
  rows: [key: string, bound: { min?: number; max?: number; equal?: number }, cells: [shard: number, peer: string][]][];
}

function toSolverConstraints(c: Constraints, disks: Disk[]): SolverConstraint[] {
  const allShards = [...Array(SHARD.shardCount).keys()];
  const result: SolverConstraint[] = [
    {
      name: `copies: ${c.copies}`,
      rows: allShards.map((s) => [`n${s}`, { equal: c.copies }, disks.map((d) => [s, d.peer])]),
    },
  ];
  const domains = [...new Set(disks.map((d) => d.domain))];
  const cellsInDomain = (s: number, domain: string): [number, string][] =>
    disks.filter((d) => d.domain === domain).map((d) => [s, d.peer]);
  if (c.perDomain !== undefined)
    result.push({
      name: `perDomain: ${c.perDomain}`,
      rows: allShards.flatMap((s) =>
        domains.map(
          (domain) =>
            [`z${s}/${domain}`, { max: c.perDomain }, cellsInDomain(s, domain)] as SolverConstraint['rows'][number],
        ),
      ),
    });
  for (const domain of c.domains ?? [])
    result.push({
      name: `domains: ${domain}`,
      rows: allShards.map((s) => [`in${s}/${domain}`, { min: 1 }, cellsInDomain(s, domain)]),
    });
  for (const d of disks) {
    const max = c.capacity?.[d.peer] ?? c.capacity?.['*'];
    if (max !== undefined)
      result.push({
        name: `capacity: ${d.peer} takes ${max}`,
        rows: [[`c${d.peer}`, { max }, allShards.map((s) => [s, d.peer])]],
      });
  }
  const describe = (selector: ShardSelector): string =>
    selector.shards || selector.topics
      ? [...(selector.shards ?? []).map((s) => `shard ${s}`), ...(selector.topics ?? [])].join(', ')
      : 'all shards';
  for (const [i, pin] of (c.pins ?? []).entries())
    result.push({
      name: `pins/${i}: ${describe(pin)} on ${pin.node}`,
      rows: shardsOf(pin).map((s) => [`p${i}/${s}`, { equal: 1 }, [[s, pin.node]]]),
    });
  for (const [i, exclusion] of (c.exclude ?? []).entries())
    result.push({
      name: `exclude/${i}: ${describe(exclusion)} not on ${exclusion.node}`,
      rows: shardsOf(exclusion).map((s) => [`x${i}/${s}`, { equal: 0 }, [[s, exclusion.node]]]),
    });
  return result;
}

/** Finds the placement that satisfies the constraints and keeps the most copies where they are; undefined if the solver finds none. */
function solveConstraints(
  constraints: SolverConstraint[],
  disks: Disk[],
  current: Map<number, string[]>,
): PlacementPlan | undefined {
  const variables = new Map<string, Map<string, number>>();
  for (let s = 0; s < SHARD.shardCount; s++)
    for (const d of disks)
      variables.set(`${s} ${d.peer}`, new Map([['kept', current.get(s)?.includes(d.peer) ? 1 : 0]]));
  const bounds = new Map<string, { min?: number; max?: number; equal?: number }>();
  for (const constraint of constraints)
    for (const [key, bound, cells] of constraint.rows) {
      // No machine can satisfy this row, for example because its domain has no disks.
      if (!cells.length && ((bound.min ?? 0) > 0 || (bound.equal ?? 0) > 0)) return undefined;
      bounds.set(key, bound);
      for (const [s, peer] of cells) variables.get(`${s} ${peer}`)?.set(key, 1);
    }
  const solution = solve(
    { direction: 'maximize', objective: 'kept', constraints: bounds, variables, binaries: true },
    { timeout: 20_000, maxIterations: 200_000 },
  );
  if (solution.status !== 'optimal') return undefined;
  const placement: Placed[] = [...Array(SHARD.shardCount).keys()].map((shard) => ({ shard, nodes: [] }));
  for (const [variable, value] of solution.variables) {
    if (value < 0.5) continue;
    const [s, peer] = variable.split(' ') as [string, string];
    placement[Number(s)]!.nodes.push(peer);
  }
  const moved = placement.reduce((n, p) => n + p.nodes.filter((x) => !current.get(p.shard)?.includes(x)).length, 0);
  return { placement, moved };
}

/**
 * Computes a placement that satisfies a constraint file and moves as few copies as possible. If there is none, returns a minimal set of
 * conflicting constraints: without any one of them the others can be satisfied.
 * @example
 * solvePlacement({ copies: 3, perDomain: 1 }, disks, current); // { tag: 'plan', plan: { placement, moved } }
 */
export function solvePlacement(input: unknown, disks: Disk[], current: Map<number, string[]>): PlacementResult {
  if (!constraintsValidator.Check(input))
    return {
      tag: 'wrong',
      faults: (constraintsValidator.Errors(input) as { instancePath: string; message: string }[]).map(
        (e) => `${e.instancePath || '/'}: ${e.message}`,
      ),
    };
  const c = input as Constraints;
  const faults: string[] = [];
  if (c.copies % 2 === 0) faults.push('/copies: must be odd');
  for (const [key, list] of [
    ['pins', c.pins ?? []],
    ['exclude', c.exclude ?? []],
  ] as const)
    list.forEach((entry, i) => {
      if (!disks.some((d) => d.peer === entry.node))
        faults.push(`/${key}/${i}/node: no disk is known at '${entry.node}'`);
      for (const s of entry.shards ?? [])
        if (s >= SHARD.shardCount) faults.push(`/${key}/${i}/shards: there is no shard ${s}`);
    });
  for (const peer of Object.keys(c.capacity ?? {}))
    if (peer !== '*' && !disks.some((d) => d.peer === peer)) faults.push(`/capacity: no disk is known at '${peer}'`);
  if (faults.length) return { tag: 'wrong', faults };
  let constraints = toSolverConstraints(c, disks);
  const plan = solveConstraints(constraints, disks, current);
  if (plan) return { tag: 'plan', plan };
  // Drops each constraint without which there is still no solution; those that remain conflict.
  for (const constraint of Array.from(constraints)) {
    const rest = constraints.filter((other) => other !== constraint);
    if (!solveConstraints(rest, disks, current)) constraints = rest;
  }
  return { tag: 'conflict', between: constraints.map((constraint) => constraint.name) };
}

/**
 * Checks a placement against the constraints by counting, independently of the solver. Returns the violations as text.
 * @example
 * findPlanViolations(constraints, disks, plan.placement); // []
 */
export function findPlanViolations(c: Constraints, disks: Disk[], placement: Placed[]): string[] {
  const violations: string[] = [];
  const domainOf = new Map(disks.map((d) => [d.peer, d.domain]));
  const copiesOn = new Map<string, number>();
  const nodesOf = new Map(placement.map((p) => [p.shard, new Set(p.nodes)]));
  for (let s = 0; s < SHARD.shardCount; s++) {
    const nodes = nodesOf.get(s) ?? new Set<string>();
    if (nodes.size !== c.copies) violations.push(`shard ${s} has ${nodes.size} copies, ${c.copies} are wanted`);
    const copiesIn = new Map<string, number>();
    for (const n of nodes) {
      copiesOn.set(n, (copiesOn.get(n) ?? 0) + 1);
      const domain = domainOf.get(n);
      if (domain === undefined) violations.push(`shard ${s} is on ${n}, where no disk is known`);
      else copiesIn.set(domain, (copiesIn.get(domain) ?? 0) + 1);
    }
    for (const [domain, count] of copiesIn)
      if (c.perDomain !== undefined && count > c.perDomain)
        violations.push(`shard ${s} has ${count} copies in ${domain}`);
    for (const domain of c.domains ?? [])
      if (!copiesIn.has(domain)) violations.push(`shard ${s} has no copy in ${domain}`);
  }
  for (const [n, count] of copiesOn) {
    const max = c.capacity?.[n] ?? c.capacity?.['*'];
    if (max !== undefined && count > max) violations.push(`${n} has ${count} copies and takes ${max}`);
  }
  for (const pin of c.pins ?? [])
    for (const s of shardsOf(pin))
      if (!nodesOf.get(s)?.has(pin.node)) violations.push(`shard ${s} is not on ${pin.node}`);
  for (const exclusion of c.exclude ?? [])
    for (const s of shardsOf(exclusion))
      if (nodesOf.get(s)?.has(exclusion.node)) violations.push(`shard ${s} is on ${exclusion.node}`);
  return violations;
}
