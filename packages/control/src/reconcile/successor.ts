/** Finds the disk that is there in the place of another: where a machine is replaced by plan, the new one comes before the old one goes. */
import { REGISTER, SHARD } from '@harecross/kernel';
import { maxPlaceableMembers } from '../placement/spread.js';
import type { MembershipTable } from '../membership/membership-table.js';
import { hasSameUses, isDiskUnused, replicaCountOn } from '../value/fleet-queries.js';
import { isUsedFor, type DiskRecord, type FleetValue } from '../value/fleet-value.js';

/** What of the fleet a successor is looked for in. */
export interface MembershipView {
  membership: MembershipTable;
}

/**
 * The successor of a disk, if what the disk has can go to others: a disk of the same uses whose machine joined the same domain later, or one that
 * holds nothing, in whichever domain.
 * @example
 * successorOf(value, fleet, disk)?.id // undefined where the machine can only be restarting
 */
export function successorOf(value: FleetValue, view: MembershipView, disk: DiskRecord): DiskRecord | undefined {
  if (!hasRoomWithout(value, disk)) return undefined;
  const candidates = [...value.disks.values()].filter(
    (other) => other.id !== disk.id && hasSameUses(other, disk) && canTakeOver(view, other),
  );
  return (
    candidates.find((other) => joinedLater(other, disk)) ?? candidates.find((other) => isDiskUnused(value, other.id))
  );
}

/** Whether a disk's machine joined the same domain after another's did. */
export function joinedLater(one: DiskRecord, other: DiskRecord): boolean {
  return one.domain === other.domain && (one.machineJoinedRev ?? 0) > (other.machineJoinedRev ?? 0);
}

/** Whether a disk is in use and its machine is live and not about to leave. */
export function canTakeOver(view: MembershipView, disk: DiskRecord): boolean {
  const member = view.membership.memberOfDisk(disk.id);
  if (member === undefined || !view.membership.isLive(member.peer)) return false;
  return disk.state === 'active' && !isStopping(view, disk);
}

/** Whether the disk's process has said that it stops, or has stopped. */
export function isStopping(view: MembershipView, disk: DiskRecord): boolean {
  const member = view.membership.memberOfDisk(disk.id);
  return member?.state === 'left' || (member?.state === 'live' && member.condition === 'draining');
}

/**
 * Whether as many disks as replicas and votes are wanted are there without this one, as far as it has replicas or a vote. One whose machine
 * is down or restarting counts: its place is kept for it, or goes to another.
 */
function hasRoomWithout(value: FleetValue, disk: DiskRecord): boolean {
  const others = [...value.disks.values()].filter((other) => other.id !== disk.id && other.state === 'active');
  if (replicaCountOn(value, disk.id) > 0) {
    const wanted = value.config.copies ?? value.copies ?? SHARD.replicaCount;
    const forReplicas = others.filter((other) => hasSameUses(other, disk));
    if (maxPlaceableMembers(wanted, forReplicas, value.tolerance) < wanted) return false;
  }
  if (!value.voters.includes(disk.id)) return true;
  const wanted = Math.min(value.votersWanted ?? REGISTER.voterCount, value.voters.length);
  const forVotes = others.filter((other) => isUsedFor(other, 'seat'));
  return maxPlaceableMembers(wanted, forVotes, value.tolerance) >= wanted;
}
