/** What the controller's planners have in common: what they see of the fleet, and what they give. */
import type { DiskRecord, FleetValue } from '../value/fleet-value.js';
import type { Member } from '../membership/member.js';
import type { MembershipTable } from '../membership/membership-table.js';

/** The fleet as the controller sees it at one moment. Times are of its own steady clock (ms), `wall` is the calendar's. */
export interface FleetView {
  membership: MembershipTable;
  now: number;
  wallTime: number;
  /** When the controller's process started: who was not seen since then has been away for as long at least. */
  startedAt: number;
}

/** One change of the agreed value, and what the log says of it. */
export interface PlannedStep {
  next: FleetValue;
  why: string;
}

/** Gives the next step of its kind, or nothing while none is due. */
export type Planner = (value: FleetValue, fleet: FleetView) => PlannedStep | undefined;

/** The member that has this disk, if it is live. */
export function liveMember(fleet: FleetView, disk: string): Member | undefined {
  const member = fleet.membership.memberOfDisk(disk);
  return member && fleet.membership.isLive(member.peer) ? member : undefined;
}

/** For how long the disk's machine has not been heard of (ms); 0 while it is live. */
export function silenceMs(fleet: FleetView, disk: DiskRecord): number {
  const member = fleet.membership.memberOfDisk(disk.id);
  if (!member) return fleet.now - fleet.startedAt;
  return member.state === 'live' ? 0 : fleet.now - member.seenAt;
}
