/** Starts and ends the planned moves of the configuration. Each move runs once: its state is stored in the agreed value. */
import type { Move } from '@harecross/schema';
import { departureBlocker, replicaCountOn, isDiskUnused, moveKey } from '../value/fleet-queries.js';
import type { FleetView, PlannedStep } from './planner.js';
import type { DiskRecord, MoveRecord, MoveState, FleetValue } from '../value/fleet-value.js';

/** The first planned move that changes its state now. */
export function planMoves(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  for (const move of value.config.moves ?? []) {
    const record = value.moves.get(moveKey(move));
    const disk = [...value.disks.values()].find(
      (candidate) => candidate.peer === move.node && candidate.state !== 'lost',
    );
    const step = record ? endMove(value, fleet, move, record, disk) : startMove(value, fleet, move, disk);
    if (step) return step;
  }
  return undefined;
}

function setMoveState(value: FleetValue, move: Move, state: MoveState, why: string, disk?: DiskRecord): PlannedStep {
  const disks = disk ? new Map(value.disks).set(disk.id, disk) : value.disks;
  return {
    next: { ...value, disks, moves: new Map(value.moves).set(moveKey(move), { state, why }) },
    why: `move ${move.id} (${move.kind} ${move.node}): ${state}${why ? `, ${why}` : ''}`,
  };
}

function startMove(
  value: FleetValue,
  fleet: FleetView,
  move: Move,
  disk: DiskRecord | undefined,
): PlannedStep | undefined {
  if (fleet.wallTime < move.from) return undefined;
  if (fleet.wallTime >= move.until) return setMoveState(value, move, 'missed', 'its time passed before it could begin');
  if (move.kind === 'add') return setMoveState(value, move, 'running', '');
  // A move that can't start safely is tried again until its time has passed.
  if (departureBlocker(value, move, disk, fleet.membership)) return undefined;
  if (move.kind === 'restart') return setMoveState(value, move, 'running', '');
  if (!disk) return setMoveState(value, move, 'refused', `${move.node} has no disk`);
  return setMoveState(value, move, 'running', '', { ...disk, state: 'emptying' });
}

function endMove(
  value: FleetValue,
  fleet: FleetView,
  move: Move,
  record: MoveRecord,
  disk: DiskRecord | undefined,
): PlannedStep | undefined {
  if (record.state !== 'running' && record.state !== 'late') return undefined;
  const isOver = fleet.wallTime >= move.until;
  switch (move.kind) {
    case 'empty':
      if (!disk || disk.state !== 'emptying')
        return setMoveState(value, move, 'refused', 'the emptying was taken back');
      if (isDiskUnused(value, disk.id)) return setMoveState(value, move, 'done', '');
      if (record.state === 'running' && isOver)
        return setMoveState(value, move, 'late', `${replicaCountOn(value, disk.id)} copies are still there`);
      return undefined;
    case 'restart':
      return isOver ? setMoveState(value, move, 'done', '') : undefined;
    case 'add': {
      const member = fleet.membership.liveMembers().find((candidate) => candidate.peer === move.node);
      const hasReplicas = disk !== undefined && replicaCountOn(value, disk.id) > 0;
      if (member && (!member.disk || hasReplicas)) return setMoveState(value, move, 'done', '');
      return isOver ? setMoveState(value, move, 'missed', 'the machine did not come') : undefined;
    }
  }
}
