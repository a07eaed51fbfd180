/** Finds the disk that takes over from another: in a planned replacement the new machine joins before the old one leaves. */
import { REGISTER, SHARD } from '@harecross/kernel';
import { maxPlaceableMembers } from '../placement/spread.js';
import type { MembershipTable } from '../membership/membership-table.js';
import { hasSameUses, isDiskUnused, replicaCountOn } from '../value/fleet-queries.js';
import {
  hasSameRole,
  isSuperseded,
  isUsedFor,
  joinedLater,
  type DiskRecord,
  type FleetValue,
} from '../value/fleet-value.js';

/** The part of the fleet's state that the search for a successor needs beside the agreed value. */
export interface MembershipView {
  membership: MembershipTable;
}

/**
 * The successor of a disk, provided that other disks have room for what it holds: a disk of the same uses whose machine joined the same
 * domain later, or else one that holds nothing and is not superseded, in any domain.
 * @example
 * successorOf(value, fleet, disk)?.id // undefined if no disk can take over: then the machine is taken to be restarting
 */
export function successorOf(value: FleetValue, view: MembershipView, disk: DiskRecord): DiskRecord | undefined {
  if (!hasRoomWithout(value, disk)) return undefined;
  const candidates = [...value.disks.values()].filter(
    (other) => other.id !== disk.id && hasSameUses(other, disk) && canTakeOver(view, other),
  );
  return (
    candidates.find((other) => joinedLater(other, disk) && hasSameRole(other, disk)) ??
    candidates.find((other) => isDiskUnused(value, other.id) && !isSuperseded(other, value.disks.values()))
  );
}

/** Whether a disk is active and its machine is live and not stopping: only such a disk is given a vote or is a successor. */
export function canTakeOver(view: MembershipView, disk: DiskRecord): boolean {
  const member = view.membership.memberOfDisk(disk.id);
  if (member === undefined || !view.membership.isLive(member.peer)) return false;
  return disk.state === 'active' && !isStopping(view, disk);
}

/** Whether the disk's process has announced that it is stopping, or has left. */
export function isStopping(view: MembershipView, disk: DiskRecord): boolean {
  const member = view.membership.memberOfDisk(disk.id);
  return member?.state === 'left' || (member?.state === 'live' && member.condition === 'draining');
}

/**
 * Whether the other active disks have room for the wanted number of replicas, if this disk has any, and for the wanted number of votes, if
 * it has one. A disk whose machine is down or restarting counts: it keeps its replicas and vote until it returns or is replaced.
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
