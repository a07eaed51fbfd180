import { PLACEMENT, SHARD, rendezvousOrder, type FaultTolerance } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { Spread } from './spread.js';
import { isPrimarilyFor, type DiskRecord, type Placement, type FleetValue } from '../value/fleet-value.js';

/**
 * Copies a shard gets: odd, so that one more copy never costs a larger majority without bearing one more loss.
 * @example
 * copiesFor(5, 4); // 3
 */
export function oddReplicaCount(copies: number, disks: number): number {
  const n = Math.min(copies, disks);
  return n > 1 && n % 2 === 0 ? n - 1 : n;
}

/**
 * Copies a shard is meant to have, however few disks there are just now: by the placement made by hand, else as many as everywhere.
 * @example
 * wantedCopies({ families: [], copies: 5 }, 7); // 5
 */
export function desiredReplicaCount(c: FleetConfig, shard: number, copies: number = SHARD.replicaCount): number {
  return c.placement?.find((p) => p.shard === shard)?.nodes.length ?? c.copies ?? copies;
}

/**
 * Disks that answer several times sooner than those made for copies: a majority of copies there makes publishes as quick as they are.
 * @example
 * quickOf(disks) // none, unless the stores' disks are slow
 */
export function fastDiskIds(disks: DiskRecord[]): Set<string> {
  const ms = disks
    .filter((d) => isPrimarilyFor(d, 'copies') && d.ms !== undefined)
    .map((d) => d.ms!)
    .sort((a, b) => a - b);
  const typical = ms[Math.floor(ms.length / 2)];
  return new Set(
    typical === undefined
      ? []
      : disks.filter((d) => d.ms !== undefined && d.ms * PLACEMENT.fastDiskFactor <= typical).map((d) => d.id),
  );
}

/**
 * The disks that take copies: those made for it, and quick ones besides; where there are none made for it, all.
 * @example
 * copyDisks(active, quickOf(active)).length
 */
export function replicaDisks(disks: DiskRecord[], quick: Set<string>): DiskRecord[] {
  const out = disks.filter((d) => isPrimarilyFor(d, 'copies') || quick.has(d.id));
  return out.length ? out : disks;
}

/**
 * Whether any majority of one set shares a disk with any majority of the other.
 * @example
 * majoritiesMeet(['a', 'b', 'c'], ['a', 'b', 'c', 'd']); // true
 * majoritiesMeet(['a', 'b', 'c'], ['b', 'c', 'd']); // false: a, b and c, d
 */
export function majoritiesIntersect(one: string[], other: string[]): boolean {
  const union = new Set([...one, ...other]).size;
  return Math.floor(one.length / 2) + 1 + (Math.floor(other.length / 2) + 1) > union;
}

/**
 * Whether these promises of a fence are enough to take a shard under this placement: a majority of the copies, and where one copy has
 * just been replaced by another, one of two things. Either a majority of the copies before has promised too, so that nobody can serve
 * under the generation before and whatever it accepted is among the promises. Or one of the copies that promised has an entry of this
 * generation: then an owner had that majority already, and its whole history came to that copy before the entry did.
 * `generation` is that of the last entry on the disk.
 * @example
 * fenceQuorum({ gen: 2, copies: ['b', 'c', 'd'], previous: ['a', 'b', 'c'] }, [{ disk: 'c', generation: 1 }, { disk: 'd', generation: 0 }]); // false
 */
export function hasFenceQuorum(placement: Placement, promises: { disk: string; generation: number }[]): boolean {
  const promised = new Set(promises.map((promise) => promise.disk));
  const majorityOf = (set: string[]): boolean => set.filter((disk) => promised.has(disk)).length * 2 > set.length;
  if (!majorityOf(placement.copies)) return false;
  if (!placement.previous || majorityOf(placement.previous)) return true;
  return promises.some((promise) => placement.copies.includes(promise.disk) && promise.generation >= placement.gen);
}

/**
 * The disks on which each shard's copies belong. Rendezvous order, domains taken in turn so that copies spread as the tolerance asks,
 * and within a domain no disk above its share times a slack while another has room.
 * @example
 * matchCopies(disks, 5).get(3); // ['disk-a', 'disk-f', ...]
 */
export function assignReplicas(
  all: DiskRecord[],
  copies: number,
  shardCount: number = SHARD.shardCount,
  tolerance?: FaultTolerance,
): Map<number, string[]> {
  const quick = fastDiskIds(all);
  const disks = replicaDisks(all, quick);
  const n = oddReplicaCount(copies, disks.length);
  const most = Math.floor(n / 2) + 1;
  const cap = Math.ceil(((shardCount * n) / Math.max(1, disks.length)) * SHARD.replicaSlack);
  const weight = new Map<string, number>();
  const out = new Map<number, string[]>();
  for (let s = 0; s < shardCount; s++) {
    const left = rendezvousOrder(`copy/${s}`, disks, (d) => d.id);
    const spread = new Spread(n, tolerance);
    const got: string[] = [];
    while (got.length < n) {
      // The spread over domains goes first: it bears the loss of a site, evenness only saves work.
      const near = spread.leastCrowded(left);
      // A majority on quick disks answers without waiting for the slow ones; the others bear the losses.
      const wantQuick = got.filter((x) => quick.has(x)).length < most;
      const some = near.filter((d) => quick.has(d.id) === wantQuick);
      const pool = some.length ? some : near;
      const d = pool.find((x) => quick.has(x.id) || (weight.get(x.id) ?? 0) < cap) ?? pool[0]!;
      left.splice(left.indexOf(d), 1);
      spread.add(d);
      weight.set(d.id, (weight.get(d.id) ?? 0) + 1);
      got.push(d.id);
    }
    out.set(s, got);
  }
  return out;
}

/**
 * The disk that should own each shard: the first able copy in the shard's rendezvous order that is not above its
 * share times a slack. All nodes that see the same able disks come to the same answer.
 * @example
 * matchOwners(value.shards, (d) => live.has(d)).get(3); // 'disk-f'
 */
export function assignOwners(shards: Map<number, Placement>, able: (disk: string) => boolean): Map<number, string> {
  const disks = new Set([...new Set([...shards.values()].flatMap((p) => p.copies))].filter(able));
  const cap = Math.ceil((shards.size / Math.max(1, disks.size)) * SHARD.ownerSlack);
  const weight = new Map<string, number>();
  const out = new Map<number, string>();
  for (const [s, p] of [...shards].sort((a, b) => a[0] - b[0])) {
    const order = rendezvousOrder(
      `key/${s}`,
      p.copies.filter((d) => disks.has(d)),
    );
    const d = order.find((x) => (weight.get(x) ?? 0) < cap) ?? order[0];
    if (d === undefined) continue;
    weight.set(d, (weight.get(d) ?? 0) + 1);
    out.set(s, d);
  }
  return out;
}

/**
 * Where the copies of each shard belong by the configuration: as placed by hand where all named machines have an
 * active disk; where one is missing, what is left of them and the fleet's own choice to fill up.
 * @example
 * targetsOf(value.config, activeDisks).get(3);
 */
export function targetReplicas(
  c: FleetConfig,
  active: DiskRecord[],
  copies: number = SHARD.replicaCount,
  tolerance?: FaultTolerance,
): Map<number, string[]> {
  const out = assignReplicas(active, c.copies ?? copies, SHARD.shardCount, tolerance);
  const at = new Map(active.map((d) => [d.peer, d.id]));
  for (const p of c.placement ?? []) {
    const found = p.nodes.map((n) => at.get(n)).filter((d) => d !== undefined);
    const fill = rendezvousOrder(`copy/${p.shard}`, active, (d) => d.id)
      .map((d) => d.id)
      .filter((d) => !found.includes(d));
    if (out.has(p.shard)) out.set(p.shard, [...found, ...fill].slice(0, oddReplicaCount(p.nodes.length, active.length)));
  }
  return out;
}

/**
 * Whether a lost disk's place among those that hold something is kept for it: it is given up only once there is another. With
 * fewer disks just now, what is accepted or agreed meanwhile would not outlive the next loss.
 * @example
 * awaitsSuccessor(value, value.seats, 3); // true with three voters of which one is lost
 */
export function isAwaitingReplacement(value: FleetValue, set: string[], wanted: number): boolean {
  const there = set.filter((disk) => value.disks.get(disk)?.state !== 'lost');
  return (
    there.length < set.length && there.length < Math.min(oddReplicaCount(set.length, set.length), oddReplicaCount(wanted, wanted))
  );
}
