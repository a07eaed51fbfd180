/** Begins and ends the moves of the calendar. A move runs once: its state is in the agreed value. */
import type { Move } from '@harecross/schema';
import { departureBlocker, replicaCountOn, isDiskUnused, moveKey } from '../value/fleet-queries.js';
import type { FleetView, PlannedStep } from './planner.js';
import type { DiskRecord, MoveRecord, MoveState, FleetValue } from '../value/fleet-value.js';

/** The first move of the calendar that begins or ends now. */
export function planMoves(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  for (const move of value.config.moves ?? []) {
    const record = value.moves.get(moveKey(move));
    const disk = [...value.disks.values()].find((d) => d.peer === move.node && d.state !== 'lost');
    const step = record ? ends(value, fleet, move, record, disk) : begins(value, fleet, move, disk);
    if (step) return step;
  }
  return undefined;
}

function turn(value: FleetValue, move: Move, state: MoveState, why: string, disk?: DiskRecord): PlannedStep {
  const disks = disk ? new Map(value.disks).set(disk.id, disk) : value.disks;
  return {
    next: { ...value, disks, moves: new Map(value.moves).set(moveKey(move), { state, why }) },
    why: `move ${move.id} (${move.kind} ${move.node}): ${state}${why ? `, ${why}` : ''}`,
  };
}

function begins(value: FleetValue, fleet: FleetView, move: Move, disk: DiskRecord | undefined): PlannedStep | undefined {
  if (fleet.wallTime < move.from) return undefined;
  if (fleet.wallTime >= move.until) return turn(value, move, 'missed', 'its time passed before it could begin');
  if (move.kind === 'add') return turn(value, move, 'running', '');
  // What stands against it is looked at again until its time has passed.
  if (departureBlocker(value, move, disk, fleet.membership)) return undefined;
  if (move.kind === 'restart') return turn(value, move, 'running', '');
  if (!disk) return turn(value, move, 'refused', `${move.node} has no disk`);
  return turn(value, move, 'running', '', { ...disk, state: 'emptying' });
}

function ends(
  value: FleetValue,
  fleet: FleetView,
  move: Move,
  record: MoveRecord,
  disk: DiskRecord | undefined,
): PlannedStep | undefined {
  if (record.state !== 'running' && record.state !== 'late') return undefined;
  const over = fleet.wallTime >= move.until;
  switch (move.kind) {
    case 'empty':
      if (!disk || disk.state !== 'emptying') return turn(value, move, 'refused', 'the emptying was taken back');
      if (isDiskUnused(value, disk.id)) return turn(value, move, 'done', '');
      if (record.state === 'running' && over)
        return turn(value, move, 'late', `${replicaCountOn(value, disk.id)} copies are still there`);
      return undefined;
    case 'restart':
      return over ? turn(value, move, 'done', '') : undefined;
    case 'add': {
      const there = fleet.membership.liveMembers().find((member) => member.peer === move.node);
      const inUse = disk !== undefined && replicaCountOn(value, disk.id) > 0;
      if (there && (!there.disk || inUse)) return turn(value, move, 'done', '');
      return over ? turn(value, move, 'missed', 'the machine did not come') : undefined;
    }
  }
}
