/** Lets disks into the fleet, and declares those lost whose machine is gone. */
import { PLACEMENT } from '@harecross/kernel';
import type { Member } from '../membership/member.js';
import { hasSameUses, isDiskUnused, plannedJoinTime } from '../value/fleet-queries.js';
import { liveMember, silenceMs, type FleetView, type PlannedStep } from './planner.js';
import { successorOf } from './successor.js';
import type { DiskRecord, DiskState, FleetValue } from '../value/fleet-value.js';

/** Disks that joined, came back or were lost, in one step. */
export function planDisks(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const disks = new Map(value.disks);
  const said: string[] = [];
  letIn(value, fleet, disks, said);
  giveUpLost(value, fleet, disks, said);
  if (!said.length) return undefined;
  return { next: { ...value, disks }, why: said.join(', ') };
}

function letIn(value: FleetValue, fleet: FleetView, disks: Map<string, DiskRecord>, said: string[]): void {
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
        machineJoinedRev: machineJoinedRev(value, member.peer),
      });
      said.push(`disk ${member.disk} joins at ${member.peer}`);
      for (const other of value.disks.values()) {
        if (other.peer !== member.peer || other.state === 'lost') continue;
        disks.set(other.id, { ...other, state: 'lost' });
        said.push(`disk ${other.id} was replaced`);
      }
    } else if (known.peer !== member.peer || known.domain !== member.domain || known.state === 'lost') {
      const state = known.state === 'lost' ? stateOnJoining(member) : known.state;
      disks.set(known.id, { ...known, peer: member.peer, domain: member.domain, region: member.region, state });
      said.push(`disk ${known.id} is back at ${member.peer}`);
    } else if (known.region !== member.region) {
      disks.set(known.id, { ...known, region: member.region });
      said.push(`disk ${known.id} is in region ${member.region}`);
    }
  }
}

/** Since which revision a machine is there: a new disk at an address that had one before is of the same machine. */
function machineJoinedRev(value: FleetValue, peer: string): number | undefined {
  const before = [...value.disks.values()].find((disk) => disk.peer === peer);
  return before ? before.machineJoinedRev : value.rev;
}

/** A disk that was emptied for an operator stays so until that is taken back, however long it was away. */
function stateOnJoining(member: Member): DiskState {
  return member.emptied ? 'emptying' : 'active';
}

function giveUpLost(value: FleetValue, fleet: FleetView, disks: Map<string, DiskRecord>, said: string[]): void {
  for (const disk of value.disks.values()) {
    if (disk.state !== 'active' || disks.get(disk.id)!.state === 'lost') continue;
    const silent = silenceMs(fleet, disk);
    if (silent === 0) continue;
    const spare = isDiskUnused(value, disk.id) ? undefined : spareFor(value, fleet, disk, disks, silent);
    if (spare !== undefined) {
      disks.set(disk.id, { ...disk, state: 'lost' });
      said.push(`disk ${disk.id} gives its place to ${spare}`);
    } else if (silent > PLACEMENT.replaceAfterMs) {
      disks.set(disk.id, { ...disk, state: 'lost' });
      said.push(`disk ${disk.id} is lost`);
    }
  }
}

/**
 * A live disk of the same uses that holds nothing and that no lost one waits for. One that came to the same domain after the machine fell
 * silent is its successor and is taken sooner than one that has been there: that machine may only be restarting.
 */
function spareFor(
  value: FleetValue,
  fleet: FleetView,
  gone: DiskRecord,
  disks: Map<string, DiskRecord>,
  silent: number,
): string | undefined {
  const spares = [...disks.values()].filter(
    (disk) =>
      disk.state === 'active' &&
      hasSameUses(disk, gone) &&
      isDiskUnused(value, disk.id) &&
      fleet.membership.memberOfDisk(disk.id)?.state === 'live',
  );
  const waiting = [...disks.values()].filter(
    (disk) => disk.state === 'lost' && hasSameUses(disk, gone) && !isDiskUnused(value, disk.id),
  );
  if (spares.length <= waiting.length)
    return silent > PLACEMENT.spareAfterMs ? successorOf(value, fleet, gone)?.id : undefined;
  const successor = spares.find((disk) => succeeds(fleet, disk, gone));
  if (successor && silent > PLACEMENT.successorAfterMs) return successor.id;
  return silent > PLACEMENT.spareAfterMs ? spares[waiting.length]!.id : undefined;
}

/** Whether a disk came, in the same domain, after the other's machine was last heard of. */
function succeeds(fleet: FleetView, spare: DiskRecord, gone: DiskRecord): boolean {
  const member = liveMember(fleet, spare.id);
  const lastSeen = fleet.membership.memberOfDisk(gone.id)?.seenAt;
  return member !== undefined && lastSeen !== undefined && spare.domain === gone.domain && member.liveSince > lastSeen;
}
