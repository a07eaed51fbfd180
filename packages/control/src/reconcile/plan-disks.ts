/** Admits disks to the fleet, and marks disks as lost whose machine is missing. */
import { PLACEMENT } from '@harecross/kernel';
import type { Member } from '../membership/member.js';
import { hasSameUses, isDiskUnused, plannedJoinTime } from '../value/fleet-queries.js';
import { liveMember, silenceMs, type FleetView, type PlannedStep } from './planner.js';
import { successorOf } from './successor.js';
import { isSuperseded, type DiskRecord, type DiskState, type FleetValue } from '../value/fleet-value.js';

/** Records disks that joined, came back or were lost, in one step. */
export function planDisks(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const disks = new Map(value.disks);
  const changes: string[] = [];
  admitDisks(value, fleet, disks, changes);
  markLost(value, fleet, disks, changes);
  if (!changes.length) return undefined;
  return { next: { ...value, disks }, why: changes.join(', ') };
}

function admitDisks(value: FleetValue, fleet: FleetView, disks: Map<string, DiskRecord>, changes: string[]): void {
  for (const member of fleet.membership.liveMembers()) {
    if (!member.disk || fleet.now - member.liveSince < PLACEMENT.joinAfterMs) continue;
    if (fleet.wallTime < plannedJoinTime(value, member.peer)) continue;
    const known = disks.get(member.disk);
    if (!known) {
      disks.set(member.disk, {
        id: member.disk,
        peer: member.peer,
        domain: member.domain,
        region: member.region,
        state: stateOnJoining(member),
        uses: member.diskUses,
        name: member.name,
        ms: member.diskMs,
        ...joiningOf(value, fleet, member),
      });
      changes.push(`disk ${member.disk} joins at ${member.peer}`);
      for (const other of value.disks.values()) {
        if (other.peer !== member.peer || other.state === 'lost') continue;
        disks.set(other.id, { ...other, state: 'lost' });
        changes.push(`disk ${other.id} was replaced`);
      }
    } else if (known.peer !== member.peer || known.domain !== member.domain || known.state === 'lost') {
      const state = known.state === 'lost' ? stateOnJoining(member) : known.state;
      disks.set(known.id, { ...known, peer: member.peer, domain: member.domain, region: member.region, state });
      changes.push(`disk ${known.id} is back at ${member.peer}`);
    } else if (known.region !== member.region) {
      disks.set(known.id, { ...known, region: member.region });
      changes.push(`disk ${known.id} is in region ${member.region}`);
    }
  }
}

/** When and how a disk's machine joined: a new disk at an address that had a disk before belongs to the same machine. */
function joiningOf(
  value: FleetValue,
  fleet: FleetView,
  member: Member,
): Pick<DiskRecord, 'machineJoinedRev' | 'addedLater'> {
  const before = [...value.disks.values()].find((disk) => disk.peer === member.peer);
  const machineJoinedRev = before ? before.machineJoinedRev : value.rev;
  const addedLater = before ? before.addedLater : wasAddedLater(fleet, member);
  return addedLater ? { machineJoinedRev, addedLater } : { machineJoinedRev };
}

/** Whether a new machine was added to the running fleet: it says so, or the fleet's first start is over. */
function wasAddedLater(fleet: FleetView, member: Member): boolean {
  if (member.inFirstStart === undefined) return false;
  return !member.inFirstStart || fleet.now - fleet.fleetKnownSince > PLACEMENT.firstStartMs;
}

/** A disk that an operator had emptied stays emptied until the operator cancels that, however long it was away. */
function stateOnJoining(member: Member): DiskState {
  return member.emptied ? 'emptying' : 'active';
}

function markLost(value: FleetValue, fleet: FleetView, disks: Map<string, DiskRecord>, changes: string[]): void {
  for (const disk of value.disks.values()) {
    if (disk.state !== 'active' || disks.get(disk.id)!.state === 'lost') continue;
    const silentMs = silenceMs(fleet, disk);
    if (silentMs === 0) continue;
    const replacement = isDiskUnused(value, disk.id) ? undefined : findReplacement(value, fleet, disk, disks, silentMs);
    if (replacement !== undefined) {
      disks.set(disk.id, { ...disk, state: 'lost' });
      changes.push(`disk ${disk.id} is replaced by ${replacement}`);
    } else if (silentMs > PLACEMENT.replaceAfterMs) {
      disks.set(disk.id, { ...disk, state: 'lost' });
      changes.push(`disk ${disk.id} is lost`);
    }
  }
}

/**
 * The disk that replaces one whose machine is silent: a live spare disk of the same uses that holds nothing, that isn't superseded and that isn't
 * needed for a disk lost earlier, or else the disk's successor. A spare that appeared in the same domain after the machine fell silent was sent in its
 * place, and is used after a shorter silence than one that was there before: the machine may only be restarting.
 */
function findReplacement(
  value: FleetValue,
  fleet: FleetView,
  missing: DiskRecord,
  disks: Map<string, DiskRecord>,
  silentMs: number,
): string | undefined {
  const spares = [...disks.values()].filter(
    (disk) =>
      disk.state === 'active' &&
      hasSameUses(disk, missing) &&
      isDiskUnused(value, disk.id) &&
      !isSuperseded(disk, disks.values()) &&
      fleet.membership.memberOfDisk(disk.id)?.state === 'live',
  );
  const earlierLost = [...disks.values()].filter(
    (disk) => disk.state === 'lost' && hasSameUses(disk, missing) && !isDiskUnused(value, disk.id),
  );
  if (spares.length <= earlierLost.length)
    return silentMs > PLACEMENT.spareAfterMs ? successorOf(value, fleet, missing)?.id : undefined;
  const successor = spares.find((disk) => appearedSinceLastSeen(fleet, disk, missing));
  if (successor && silentMs > PLACEMENT.successorAfterMs) return successor.id;
  return silentMs > PLACEMENT.spareAfterMs ? spares[earlierLost.length]!.id : undefined;
}

/** Whether a disk appeared in the same domain after the other disk's machine was last heard from. */
function appearedSinceLastSeen(fleet: FleetView, spare: DiskRecord, missing: DiskRecord): boolean {
  const member = liveMember(fleet, spare.id);
  const lastSeen = fleet.membership.memberOfDisk(missing.id)?.seenAt;
  return (
    member !== undefined && lastSeen !== undefined && spare.domain === missing.domain && member.liveSince > lastSeen
  );
}
