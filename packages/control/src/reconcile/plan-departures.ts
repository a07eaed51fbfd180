/** Disks whose process is stopping: if a successor exists, their votes and replicas move to other disks before the process ends. */
import { isInPlannedRestart } from '../value/fleet-queries.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { isStopping, successorOf } from './successor.js';
import type { DiskRecord, DiskState, FleetValue } from '../value/fleet-value.js';

/**
 * Marks, in one step, disks that are leaving (`leaving`), that have left (`lost`), and whose process is running again (`active`). A
 * machine without a successor is taken to be restarting, and so is one in a planned restart: both keep their votes and replicas.
 */
export function planDepartures(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const disks = new Map(value.disks);
  const changes: string[] = [];
  for (const disk of value.disks.values()) {
    // Uses the updated states: a disk marked as leaving just now can't be the successor of another.
    const state = stateOf({ ...value, disks }, fleet, disk);
    if (state === disk.state) continue;
    disks.set(disk.id, { ...disk, state });
    changes.push(`disk ${disk.id}: ${disk.state} -> ${state}`);
  }
  if (!changes.length) return undefined;
  return { next: { ...value, disks }, why: changes.join(', ') };
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
