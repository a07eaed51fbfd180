/**
 * Queries on the agreed value that the planners and the operator API share: which disk a name refers to, what a disk still holds, and
 * whether a machine may leave.
 */
import { SHARD } from '@harecross/kernel';
import type { Move } from '@harecross/schema';
import type { MembershipTable } from '../membership/membership-table.js';
import { shortfallOf } from '../placement/durability.js';
import { oddReplicaCount, replicaDisks, fastDiskIds } from '../placement/placement.js';
import { moveKey, isUsedFor, type DiskRecord, type FleetValue } from './fleet-value.js';

/** Finds a disk by its id or by the name of its machine; of several disks with that name, preferably one that is not lost. */
export const findDisk = (v: FleetValue, idOrName: string): DiskRecord | undefined => {
  const named = [...v.disks.values()].filter((d) => d.name === idOrName);
  return v.disks.get(idOrName) ?? named.find((d) => d.state !== 'lost') ?? named[0];
};
export { moveKey } from './fleet-value.js';
/**
 * The number of replicas on a disk, including those it retains until the replicas that replaced them have the history.
 * @example
 * replicaCountOn(value, 'd1k'); // 12
 */
export const replicaCountOn = (v: FleetValue, disk: string): number =>
  [...v.shards.values()].filter((p) => p.copies.includes(disk) || p.retained?.includes(disk)).length;
/** Whether a drain order for a disk, given by its id or machine name, was accepted and not cancelled; also true for a lost disk. */
export const isDrainOrdered = (v: FleetValue, idOrName: string): boolean =>
  [...v.disks.values()].some(
    (d) => (d.id === idOrName || d.name === idOrName) && (d.emptyingTaken ?? d.state === 'emptying'),
  );
/** Whether a disk is no longer needed: it holds no replica and is neither a current nor a previous voter. */
export const isDiskUnused = (v: FleetValue, disk: string): boolean =>
  replicaCountOn(v, disk) === 0 && !v.voters.includes(disk) && !v.previousVoters.includes(disk);
/** Whether two disks have the same uses, so that one may replace the other. */
export const hasSameUses = (one: DiskRecord, other: DiskRecord): boolean =>
  (['seat', 'copies'] as const).every((use) => isUsedFor(one, use) === isUsedFor(other, use));
/** The time before which a machine must not join, because the calendar plans to add it later; 0 if there is no such plan. */
export const plannedJoinTime = (v: FleetValue, peer: string): number =>
  Math.max(
    0,
    ...(v.config.moves ?? [])
      .filter(
        (m) =>
          m.kind === 'add' &&
          m.node === peer &&
          !v.moves.has(moveKey(m)) &&
          ![...v.disks.values()].some((d) => d.peer === peer),
      )
      .map((m) => m.from),
  );

/**
 * Whether a planned restart of this machine is running now.
 * @example
 * isInPlannedRestart(register.value, kernel.self); // true from a restart's `from` to its `until`
 */
export const isInPlannedRestart = (v: FleetValue | undefined, peer: string): boolean =>
  v !== undefined &&
  (v.config.moves ?? []).some(
    (m) => m.kind === 'restart' && m.node === peer && v.moves.get(moveKey(m))?.state === 'running',
  );

/** Why a machine may not leave now: a majority would be lost, or the remaining disks can't hold the replicas. Undefined if it may. */
export function departureBlocker(
  v: FleetValue,
  move: Pick<Move, 'kind'>,
  disk: DiskRecord | undefined,
  membership: MembershipTable,
): string | undefined {
  if (!disk) return undefined;
  const wouldBeLive = (id: string): boolean => {
    const member = membership.memberOfDisk(id);
    return id !== disk.id && member !== undefined && membership.isLive(member.peer);
  };
  const wouldLoseMajority = (disks: string[]): boolean => disks.filter(wouldBeLive).length * 2 <= disks.length;
  if (wouldLoseMajority(v.voters)) return 'the register would lose its majority';
  for (const [shard, placement] of v.shards)
    if (wouldLoseMajority(placement.copies)) return `shard ${shard} would lose its majority`;
  if (move.kind === 'restart') return undefined;
  const activeForReplicas = [...v.disks.values()].filter((d) => d.state === 'active' && isUsedFor(d, 'copies'));
  const eligibleDisks = replicaDisks(activeForReplicas, fastDiskIds(activeForReplicas));
  const replicaCount = oddReplicaCount(v.config.copies ?? v.copies ?? SHARD.replicaCount, eligibleDisks.length);
  const remaining = eligibleDisks.filter((d) => d.id !== disk.id && wouldBeLive(d.id));
  if (remaining.length < replicaCount)
    return `${remaining.length} active live disks would be left for ${replicaCount} copies`;
  const activeDisks = [...v.disks.values()].filter((d) => d.state === 'active');
  // An existing shortfall is not caused by this machine and must not keep it from leaving.
  if (shortfallOf(v, activeDisks) !== undefined) return undefined;
  return shortfallOf(
    v,
    activeDisks.filter((d) => d.id !== disk.id),
  );
}
