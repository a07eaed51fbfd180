import { PLACEMENT, SHARD, rendezvousOrder, type FaultTolerance } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { Spread, maxPlaceableMembers } from './spread.js';
import {
  isPrimarilyFor,
  isSuperseded,
  type DiskRecord,
  type Placement,
  type FleetValue,
} from '../value/fleet-value.js';

/**
 * How many replicas a shard gets on this many disks. The number is odd: an even number needs a larger majority without tolerating one more
 * loss.
 * @example
 * oddReplicaCount(5, 4); // 3
 */
export function oddReplicaCount(copies: number, disks: number): number {
  const count = Math.min(copies, disks);
  return count > 1 && count % 2 === 0 ? count - 1 : count;
}

/**
 * How many replicas a shard should have, however few disks there are now: as many as its manual placement names, else the general number.
 * @example
 * desiredReplicaCount({ families: [], copies: 5 }, 7); // 5
 */
export function desiredReplicaCount(config: FleetConfig, shard: number, copies: number = SHARD.replicaCount): number {
  return config.placement?.find((placement) => placement.shard === shard)?.nodes.length ?? config.copies ?? copies;
}

/**
 * Ids of the disks that respond at least `PLACEMENT.quickDiskFactor` times faster than the median of the disks meant primarily for replicas.
 * With a majority of a shard's replicas on fast disks, a publish doesn't wait for the slow ones.
 * @example
 * fastDiskIds(disks) // empty, unless the stores' disks are slow
 */
export function fastDiskIds(disks: DiskRecord[]): Set<string> {
  const responseTimes = disks
    .filter((disk) => isPrimarilyFor(disk, 'copies') && disk.ms !== undefined)
    .map((disk) => disk.ms!)
    .sort((a, b) => a - b);
  const medianMs = responseTimes[Math.floor(responseTimes.length / 2)];
  return new Set(
    medianMs === undefined
      ? []
      : disks
          .filter((disk) => disk.ms !== undefined && disk.ms * PLACEMENT.fastDiskFactor <= medianMs)
          .map((disk) => disk.id),
  );
}

/**
 * The disks that take replicas: those meant primarily for replicas, and the fast ones; if there are neither, all.
 * @example
 * replicaDisks(active, fastDiskIds(active)).length
 */
export function replicaDisks(disks: DiskRecord[], fast: Set<string>): DiskRecord[] {
  const selected = disks.filter((disk) => isPrimarilyFor(disk, 'copies') || fast.has(disk.id));
  return selected.length ? selected : disks;
}

/**
 * Whether every majority of one set shares a disk with every majority of the other.
 * @example
 * majoritiesIntersect(['a', 'b', 'c'], ['a', 'b', 'c', 'd']); // true
 * majoritiesIntersect(['a', 'b', 'c'], ['b', 'c', 'd']); // false: a, b and c, d
 */
export function majoritiesIntersect(one: string[], other: string[]): boolean {
  const union = new Set([...one, ...other]).size;
  return Math.floor(one.length / 2) + 1 + (Math.floor(other.length / 2) + 1) > union;
}

/**
 * Whether the disks that promised a fence are enough to become the owner of a shard under this placement. A majority of the replicas is
 * needed, and, if a replica has just been replaced (`previous` is set), one of two further conditions. Either a majority of the previous
 * replicas has promised too: then no owner can serve under the previous generation, and whatever was accepted there is on a disk that
 * promised. Or one of the replicas that promised has an entry of this generation: then an earlier owner had the promises of that
 * majority, and this replica received the whole history before that entry. `generation` is that of the last entry on the disk.
 * @example
 * hasFenceQuorum({ gen: 2, copies: ['b', 'c', 'd'], previous: ['a', 'b', 'c'] }, [{ disk: 'c', generation: 1 }, { disk: 'd', generation: 0 }]); // false
 */
export function hasFenceQuorum(placement: Placement, promises: { disk: string; generation: number }[]): boolean {
  const promised = new Set(promises.map((promise) => promise.disk));
  const isMajorityOf = (set: string[]): boolean => set.filter((disk) => promised.has(disk)).length * 2 > set.length;
  if (!isMajorityOf(placement.copies)) return false;
  if (!placement.previous || isMajorityOf(placement.previous)) return true;
  return promises.some((promise) => placement.copies.includes(promise.disk) && promise.generation >= placement.gen);
}

/**
 * The disks on which each shard's replicas belong. Disks are taken in rendezvous order, spread over regions and domains as the tolerance
 * requires. Among equally spread disks, none gets more than its share times `SHARD.replicaSlack` while another has room.
 * @example
 * assignReplicas(disks, 5).get(3); // ['disk-a', 'disk-f', ...]
 */
export function assignReplicas(
  allDisks: DiskRecord[],
  copies: number,
  shardCount: number = SHARD.shardCount,
  tolerance?: FaultTolerance,
): Map<number, string[]> {
  const fast = fastDiskIds(allDisks);
  const disks = replicaDisks(allDisks, fast);
  const replicaCount = oddReplicaCount(copies, disks.length);
  const majorityCount = Math.floor(replicaCount / 2) + 1;
  const maxPerDisk = Math.ceil(((shardCount * replicaCount) / Math.max(1, disks.length)) * SHARD.replicaSlack);
  const load = new Map<string, number>();
  const assignment = new Map<number, string[]>();
  for (let shard = 0; shard < shardCount; shard++) {
    const remaining = rendezvousOrder(`copy/${shard}`, disks, (disk) => disk.id);
    const spread = new Spread(replicaCount, tolerance);
    const chosen: string[] = [];
    while (chosen.length < replicaCount) {
      // Spreading over domains takes precedence over an even load: it tolerates the loss of a site, an even load only saves work.
      const leastCrowded = spread.leastCrowded(remaining);
      // A majority on fast disks acknowledges without waiting for slow ones; the other replicas are there for fault tolerance.
      const needsFast = chosen.filter((candidate) => fast.has(candidate)).length < majorityCount;
      const preferred = leastCrowded.filter((disk) => fast.has(disk.id) === needsFast);
      const candidates = preferred.length ? preferred : leastCrowded;
      const disk =
        candidates.find((candidate) => fast.has(candidate.id) || (load.get(candidate.id) ?? 0) < maxPerDisk) ??
        candidates[0]!;
      remaining.splice(remaining.indexOf(disk), 1);
      spread.add(disk);
      load.set(disk.id, (load.get(disk.id) ?? 0) + 1);
      chosen.push(disk.id);
    }
    assignment.set(shard, chosen);
  }
  return assignment;
}

/**
 * The disk that should own each shard: the first eligible replica in the shard's rendezvous order that has less than its share of shards
 * times `SHARD.ownerSlack`. All nodes that see the same eligible disks get the same result.
 * @example
 * assignOwners(value.shards, (d) => live.has(d)).get(3); // 'disk-f'
 */
export function assignOwners(
  shards: Map<number, Placement>,
  isEligible: (disk: string) => boolean,
): Map<number, string> {
  const disks = new Set([...new Set([...shards.values()].flatMap((placement) => placement.copies))].filter(isEligible));
  const maxPerDisk = Math.ceil((shards.size / Math.max(1, disks.size)) * SHARD.ownerSlack);
  const load = new Map<string, number>();
  const assignment = new Map<number, string>();
  for (const [shard, placement] of [...shards].sort((a, b) => a[0] - b[0])) {
    const order = rendezvousOrder(
      `key/${shard}`,
      placement.copies.filter((disk) => disks.has(disk)),
    );
    const disk = order.find((candidate) => (load.get(candidate) ?? 0) < maxPerDisk) ?? order[0];
    if (disk === undefined) continue;
    load.set(disk, (load.get(disk) ?? 0) + 1);
    assignment.set(shard, disk);
  }
  return assignment;
}

/** The disks that are not superseded; all disks if those can't hold a whole set of replicas. */
function withoutSuperseded(disks: DiskRecord[], copies: number, tolerance: FaultTolerance | undefined): DiskRecord[] {
  const remaining = disks.filter((disk) => !isSuperseded(disk, disks));
  const room = (pool: DiskRecord[]): number => {
    const usable = replicaDisks(pool, fastDiskIds(pool));
    const replicaCount = oddReplicaCount(copies, usable.length);
    return Math.min(replicaCount, maxPlaceableMembers(replicaCount, usable, tolerance));
  };
  return room(remaining) < room(disks) ? disks : remaining;
}

/**
 * The disks on which each shard's replicas belong under the configuration. A manual placement is followed as far as the named machines have
 * an active disk; missing ones are replaced by other disks in rendezvous order.
 * @example
 * targetReplicas(value.config, activeDisks).get(3);
 */
export function targetReplicas(
  config: FleetConfig,
  active: DiskRecord[],
  copies: number = SHARD.replicaCount,
  tolerance?: FaultTolerance,
): Map<number, string[]> {
  const pool = withoutSuperseded(active, config.copies ?? copies, tolerance);
  const targets = assignReplicas(pool, config.copies ?? copies, SHARD.shardCount, tolerance);
  const diskAt = new Map(active.map((disk) => [disk.peer, disk.id]));
  for (const manual of config.placement ?? []) {
    const namedDisks = manual.nodes.map((node) => diskAt.get(node)).filter((disk) => disk !== undefined);
    const fallbacks = rendezvousOrder(`copy/${manual.shard}`, active, (disk) => disk.id)
      .map((disk) => disk.id)
      .filter((disk) => !namedDisks.includes(disk));
    if (targets.has(manual.shard))
      targets.set(
        manual.shard,
        [...namedDisks, ...fallbacks].slice(0, oddReplicaCount(manual.nodes.length, active.length)),
      );
  }
  return targets;
}

/**
 * Whether a lost disk has to stay in a set of replicas or voters until another disk can replace it. If the set shrank now, what is
 * accepted or agreed meanwhile would not survive the next loss.
 * @example
 * isAwaitingReplacement(value, value.voters, 3); // true with three voters of which one is lost
 */
export function isAwaitingReplacement(value: FleetValue, set: string[], wanted: number): boolean {
  const remaining = set.filter((disk) => value.disks.get(disk)?.state !== 'lost');
  return (
    remaining.length < set.length &&
    remaining.length < Math.min(oddReplicaCount(set.length, set.length), oddReplicaCount(wanted, wanted))
  );
}
