import { serializeValue } from '@harecross/control';
import { MEMBERSHIP, PLACEMENT, PROCESS, REGISTER, REQUEST, SESSION, SHARD } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { collectionSizes } from '../collection-sizes.js';
import type { SimNode } from '../sim.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** Changes of the configuration in one round; in three of them a family is added under another, in three removed. */
const CHANGES_PER_ROUND = 6;
/** The least length of a round: a replaced machine is in its place again before the next. */
const ROUND_MS = 5_000;
/** Virtual time after which an emptying must be through. */
const EMPTIED_WITHIN_MS = 10_000;

/** How much there is of everything, after some rounds. */
export interface Sizes {
  /** Characters of the agreed value as it is sent and stored. */
  valueChars: number;
  /**
   * Records and bytes by name: parts of the value, rows of a voter's disk, collections in the memory of a store,
   * control node and relay.
   */
  parts: Map<string, number>;
}

export interface LongLife {
  fleet: ControlFleet;
  revision(): number;
  counts: { changes: number; familiesAdded: number; replaced: number; emptied: number };
  /** Some changes, a relay replaced, and a control node replaced or a store emptied and taken away. */
  round(): Promise<void>;
  sizes(): Sizes;
}

/**
 * Nested families that come and go: the outermost is there in every other round, so that spaces lie under one another
 * anew.
 */
function configOf(round: number, step: number): FleetConfig {
  const under = ['space/*', `space/${round % 7}/*`, `space/${round % 7}/${round}/*`];
  const there = step < 3 ? under.slice(0, step + 1) : under.slice(step - 2);
  return {
    families: [...FAMILIES, ...there.map((topic, i) => ({ ...FAMILIES[0]!, name: `s-${i}`, topics: [topic] }))],
  };
}

/** A fleet that lives long: see `round`. The first node of each kind is never replaced. */
export async function longLife(seed: number): Promise<LongLife> {
  const fleet = await startControlFleet(seed, { relays: 2 });
  const counts = { changes: 0, familiesAdded: 0, replaced: 0, emptied: 0 };
  let revision = 1;
  let rounds = 0;

  const change = async (step: number): Promise<void> => {
    revision++;
    // The last one may have begun only just.
    const at = fleet.controls[revision % 2]!;
    const config = configOf(rounds, step);
    const answer = await fleet.ask(at, 'SubmitConfig', { revision, document: { n: revision }, config });
    if (answer.status !== 200) throw new Error(`change ${revision}: ${JSON.stringify(answer)}`);
    counts.changes++;
    if (step < 3) counts.familiesAdded++;
  };
  const replace = async (machines: SimNode[], role: 'control' | 'relay'): Promise<void> => {
    const gone = machines.splice(1, 1)[0]!;
    fleet.sim.loseDisk(gone);
    const empty = fleet.addMachine(role, gone.config.domain);
    void fleet.sim.start(empty);
    machines.push(empty);
    counts.replaced++;
  };
  const emptyOne = async (): Promise<void> => {
    const leaving = fleet.stores.splice(1, 1)[0]!;
    const coming = fleet.addMachine('store', leaving.config.domain);
    void fleet.sim.start(coming);
    fleet.stores.push(coming);
    await fleet.advance(1_500);
    const begun = await fleet.ask(fleet.controls[0]!, 'EmptyDisk', { disk: leaving.name });
    if (begun.status !== 200) throw new Error(`emptying ${leaving.name}: ${JSON.stringify(begun)}`);
    const until = fleet.sim.now + EMPTIED_WITHIN_MS;
    for (;;) {
      const status = await fleet.ask(fleet.controls[0]!, 'EmptyStatus', { disk: leaving.name });
      if (status.body?.state === 'emptied') break;
      if (fleet.sim.now > until) throw new Error(`${leaving.name} not emptied: ${JSON.stringify(status.body)}`);
      await fleet.advance(200);
    }
    fleet.sim.loseDisk(leaving);
    counts.emptied++;
  };

  return {
    fleet,
    counts,
    revision: () => revision,
    round: async () => {
      const until = fleet.sim.now + ROUND_MS;
      await replace(fleet.relays, 'relay');
      if (rounds % 2) await replace(fleet.controls, 'control');
      else await emptyOne();
      for (let step = 0; step < CHANGES_PER_ROUND; step++) await change(step);
      rounds++;
      await fleet.advance(Math.max(0, until - fleet.sim.now));
    },
    sizes: () => sizesOf(fleet),
  };
}

/** The larger of both is kept: which machine has which duty changes from round to round. */
function mergeLargest(into: Map<string, number>, from: Map<string, number>): void {
  for (const [key, size] of from) into.set(key, Math.max(into.get(key) ?? 0, size));
}

function sizesOf(fleet: ControlFleet): Sizes {
  const value = fleet.controls[0]!.kernel!.use('register').value!;
  const parts = new Map<string, number>();
  for (const [name, part] of Object.entries(value))
    if (part instanceof Map || Array.isArray(part))
      parts.set(`value.${name}`, part instanceof Map ? part.size : part.length);
  // The oldest of each kind has gathered most, but duties move.
  for (const node of [...fleet.controls, ...fleet.stores, ...fleet.relays]) {
    const services = Reflect.get(node.kernel!, 'services') as Map<string, object>;
    const roots = {
      kernel: { ...Object.fromEntries(Object.entries(node.kernel!)), services: undefined },
      ...Object.fromEntries(services),
    };
    mergeLargest(parts, new Map([...collectionSizes(roots)].map(([k, n]) => [`${node.config.role}${k}`, n])));
    if (node.sql) mergeLargest(parts, diskSizes(node));
  }
  return { valueChars: serializeValue(value).length, parts };
}

function diskSizes(node: SimNode): Map<string, number> {
  const count = (sql: string): number => Object.values(node.sql!.prepare(sql).get() as Record<string, number>)[0] ?? 0;
  const tables = node.sql!.prepare("select name from sqlite_master where type = 'table'").all() as { name: string }[];
  const rows = tables.map(({ name }): [string, number] => [`disk.${name} rows`, count(`select count(*) from ${name}`)]);
  return new Map([...rows, ['disk.meta chars', count('select sum(length(v)) from meta')]]);
}

const CONSTANT_GROUPS: object[] = [SESSION, SHARD, REQUEST, MEMBERSHIP, REGISTER, PLACEMENT, PROCESS];
type ConstantName =
  | keyof typeof SESSION
  | keyof typeof SHARD
  | keyof typeof REQUEST
  | keyof typeof MEMBERSHIP
  | keyof typeof REGISTER
  | keyof typeof PLACEMENT
  | keyof typeof PROCESS;

/** Sets constants of the product for one test; the returned function restores them. Throws for a name that no group has. */
export function withConstants(overrides: Partial<Record<ConstantName, number>>): () => void {
  const restores = Object.entries(overrides).map(([name, value]) => {
    const group = CONSTANT_GROUPS.find((candidate) => Object.hasOwn(candidate, name));
    if (!group) throw new Error(`no constant ${name}`);
    const before: unknown = Reflect.get(group, name);
    Reflect.set(group, name, value);
    return () => Reflect.set(group, name, before);
  });
  return () => {
    for (const restore of restores) restore();
  };
}
