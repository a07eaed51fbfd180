/**
 * Questions about the agreed value that the planners and the operators' calls share: which machine a name means, what a disk
 * still holds, and whether a machine may leave.
 */
import { SHARD } from '@harecross/kernel';
import type { Move } from '@harecross/schema';
import type { MembershipTable } from '../membership/membership-table.js';
import { shortfallOf } from '../placement/durability.js';
import { oddReplicaCount, replicaDisks, fastDiskIds } from '../placement/placement.js';
import { moveKey, isUsedFor, type DiskRecord, type FleetValue } from './fleet-value.js';

/** A disk by its id, or by the name of the machine it is in. */
export const findDisk = (v: FleetValue, x: string): DiskRecord | undefined => {
  const there = [...v.disks.values()].filter((d) => d.name === x);
  return v.disks.get(x) ?? there.find((d) => d.state !== 'lost') ?? there[0];
};
export { moveKey } from './fleet-value.js';
/**
 * Copies that a disk still has, those among them that it keeps until the one in its place has the history.
 * @example
 * copiesOn(value, 'd1k'); // 12
 */
export const replicaCountOn = (v: FleetValue, disk: string): number =>
  [...v.shards.values()].filter((p) => p.copies.includes(disk) || p.retained?.includes(disk)).length;
/** Whether an order to empty a disk, or a machine by its name, was taken and not taken back: also of a disk that was there before. */
export const isDrainOrdered = (v: FleetValue, x: string): boolean =>
  [...v.disks.values()].some((d) => (d.id === x || d.name === x) && (d.emptyingTaken ?? d.state === 'emptying'));
/** Whether nothing of the fleet is left on a disk: it is in no majority that is still needed, and has no copy. */
export const isDiskUnused = (v: FleetValue, disk: string): boolean =>
  replicaCountOn(v, disk) === 0 && !v.voters.includes(disk) && !v.previousVoters.includes(disk);
/** Whether two disks are for the same things: one may stand in for the other. */
export const hasSameUses = (one: DiskRecord, other: DiskRecord): boolean =>
  (['seat', 'copies'] as const).every((use) => isUsedFor(one, use) === isUsedFor(other, use));
/** A machine that the calendar adds later is not let in before. */
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
 * Whether the calendar has this machine out for a restart now.
 * @example
 * awayNow(register.value, k.self); // true from a restart's `from` to its `until`
 */
export const isInPlannedRestart = (v: FleetValue | undefined, peer: string): boolean =>
  v !== undefined &&
  (v.config.moves ?? []).some(
    (m) => m.kind === 'restart' && m.node === peer && v.moves.get(moveKey(m))?.state === 'running',
  );

/** What keeps a machine from leaving now: a majority that would break, or copies that would have no place. */
export function departureBlocker(
  v: FleetValue,
  m: Pick<Move, 'kind'>,
  disk: DiskRecord | undefined,
  membership: MembershipTable,
): string | undefined {
  if (!disk) return undefined;
  const live = (d: string): boolean => {
    const x = membership.memberOfDisk(d);
    return d !== disk.id && x !== undefined && membership.isLive(x.peer);
  };
  const short = (set: string[]): boolean => set.filter(live).length * 2 <= set.length;
  if (short(v.voters)) return 'the register would lose its majority';
  for (const [s, p] of v.shards) if (short(p.copies)) return `shard ${s} would lose its majority`;
  if (m.kind === 'restart') return undefined;
  const all = [...v.disks.values()].filter((d) => d.state === 'active' && isUsedFor(d, 'copies'));
  const active = replicaDisks(all, fastDiskIds(all));
  const now = oddReplicaCount(v.config.copies ?? v.copies ?? SHARD.replicaCount, active.length);
  const left = active.filter((d) => d.id !== disk.id && live(d.id));
  if (left.length < now) return `${left.length} active live disks would be left for ${now} copies`;
  const usable = [...v.disks.values()].filter((d) => d.state === 'active');
  // What is short already may be for want of another machine: this one does not make it so.
  if (shortfallOf(v, usable) !== undefined) return undefined;
  return shortfallOf(
    v,
    usable.filter((d) => d.id !== disk.id),
  );
}
