/** Types and queries shared by the controller's planners. */
import type { DiskRecord, FleetValue } from '../value/fleet-value.js';
import type { Member } from '../membership/member.js';
import type { MembershipTable } from '../membership/membership-table.js';

/** The fleet as the controller sees it at one moment. Times are of its steady clock (ms), except `wallTime`. */
export interface FleetView {
  membership: MembershipTable;
  now: number;
  /** Wall-clock time (ms), by which planned moves are scheduled. */
  wallTime: number;
  /** When the controller's process started: a machine that it has never seen has been away for at least that long. */
  startedAt: number;
  /** Since when the controller's disk has known the fleet; -Infinity if an earlier process learned of it. */
  fleetKnownSince: number;
}

/** One change of the agreed value, and its description for the log. */
export interface PlannedStep {
  next: FleetValue;
  why: string;
}

/** Returns the next step of its kind, or undefined while none is due. */
export type Planner = (value: FleetValue, fleet: FleetView) => PlannedStep | undefined;

/** The member that has this disk, if that member is live. */
export function liveMember(fleet: FleetView, disk: string): Member | undefined {
  const member = fleet.membership.memberOfDisk(disk);
  return member && fleet.membership.isLive(member.peer) ? member : undefined;
}

/** How long the disk's machine has not been heard from (ms); 0 while it is live. */
export function silenceMs(fleet: FleetView, disk: DiskRecord): number {
  const member = fleet.membership.memberOfDisk(disk.id);
  if (!member) return fleet.now - fleet.startedAt;
  return member.state === 'live' ? 0 : fleet.now - member.seenAt;
}
