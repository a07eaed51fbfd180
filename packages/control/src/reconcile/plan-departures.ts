/** Disks whose process is stopping: what they have goes to others before they are gone, where a successor is there. */
import { isInPlannedRestart } from '../value/fleet-queries.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { isStopping, successorOf } from './successor.js';
import type { DiskRecord, DiskState, FleetValue } from '../value/fleet-value.js';

/**
 * Marks disks that leave, that have left, and that are back after all, in one step. A machine with no successor can only be restarting,
 * and one in a planned restart is: both keep their votes and replicas.
 */
export function planDepartures(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const disks = new Map(value.disks);
  const said: string[] = [];
  for (const disk of value.disks.values()) {
    // One that leaves is none of those that another can leave its things to.
    const state = stateOf({ ...value, disks }, fleet, disk);
    if (state === disk.state) continue;
    disks.set(disk.id, { ...disk, state });
    said.push(`disk ${disk.id}: ${disk.state} -> ${state}`);
  }
  if (!said.length) return undefined;
  return { next: { ...value, disks }, why: said.join(', ') };
}

function stateOf(value: FleetValue, fleet: FleetView, disk: DiskRecord): DiskState {
  if (disk.state === 'active') return isLeaving(value, fleet, disk) ? 'leaving' : 'active';
  if (disk.state !== 'leaving') return disk.state;
  const member = liveMember(fleet, disk.id);
  if (!member) return 'lost';
  return member.condition === 'draining' ? 'leaving' : 'active';
}

function isLeaving(value: FleetValue, fleet: FleetView, disk: DiskRecord): boolean {
  if (!isStopping(fleet, disk) || isInPlannedRestart(value, disk.peer)) return false;
  return successorOf(value, fleet, disk) !== undefined;
}
