/** Keeps as many voters as are wanted, on disks that are active: a lost or leaving one is replaced in one step. */
import { C, rank } from '@harecross/kernel';
import { awaitsSuccessor } from './placement.js';
import { liveMember, type FleetView, type Step } from './planner.js';
import { firstFor, usedFor, type DiskRec, type Value } from './value.js';

/**
 * The next change of the voters. Each needs a majority of the voters before and of those after, until the next change is agreed; so each
 * is followed at once by one that changes nothing, after which the voters that went are needed no more.
 */
export function planVoters(value: Value, fleet: FleetView): Step | undefined {
  const bad = value.seats.filter((disk) => value.disks.get(disk)?.state !== 'active');
  const goodCount = value.seats.length - bad.length;
  const wanted = votersWanted(value);
  const candidate = goodCount < wanted ? candidateFor(value, fleet) : undefined;
  if (candidate && bad.length > 0 && value.seats.length <= wanted) {
    const gone = bad[0]!;
    const seats = value.seats.map((disk) => (disk === gone ? candidate.id : disk));
    if (majorityLive(fleet, seats))
      return { next: { ...value, seats }, why: `seat of ${gone} goes to ${candidate.id}` };
  } else if (candidate && bad.length === 0) {
    return { next: { ...value, seats: [...value.seats, candidate.id] }, why: `seat for ${candidate.id}` };
  }
  const drop = value.seats.length > wanted || goodCount >= wanted ? toDrop(value, fleet, bad, wanted) : undefined;
  const seats = value.seats.filter((disk) => disk !== drop);
  if (drop !== undefined && majorityLive(fleet, seats))
    return { next: { ...value, seats }, why: `seat of ${drop} is given up` };
  return settle(value);
}

/** Odd, so that one more voter never costs a larger majority without bearing one more loss. */
function votersWanted(value: Value): number {
  const able = [...value.disks.values()].filter((disk) => disk.state === 'active' && usedFor(disk, 'seat')).length;
  const wanted = Math.min(value.seatsWanted ?? C.seatsN, able);
  return wanted % 2 === 0 ? Math.max(1, wanted - 1) : wanted;
}

function majorityLive(fleet: FleetView, seats: string[]): boolean {
  return seats.filter((disk) => liveMember(fleet, disk)).length * 2 > seats.length;
}

function candidateFor(value: Value, fleet: FleetView): DiskRec | undefined {
  const able = [...value.disks.values()].filter(
    (disk) =>
      disk.state === 'active' &&
      usedFor(disk, 'seat') &&
      liveMember(fleet, disk.id) !== undefined &&
      !value.seats.includes(disk.id),
  );
  const votersIn = (domain: string): number =>
    value.seats.filter((disk) => value.disks.get(disk)?.domain === domain && value.disks.get(disk)?.state === 'active')
      .length;
  // Disks that are for nothing else first: voters are asked by every node, and copies have work of their own.
  return rank('seat', able, (disk) => disk.id).sort(
    (one, other) =>
      Number(firstFor(one, 'copies')) - Number(firstFor(other, 'copies')) ||
      votersIn(one.domain) - votersIn(other.domain),
  )[0];
}

/** A voter to be given up without another in its place; none while the place of a lost one is kept for it. */
function toDrop(value: Value, fleet: FleetView, bad: string[], wanted: number): string | undefined {
  if (awaitsSuccessor(value, value.seats, value.seatsWanted ?? C.seatsN)) return undefined;
  if (bad.length) return bad[0];
  if (value.seats.length <= wanted) return undefined;
  const live = (disk: string): number => Number(liveMember(fleet, disk) !== undefined);
  return [...value.seats].sort((one, other) => live(one) - live(other))[0];
}

/** Until the next change a majority of the voters before is needed too: that change is made now. */
function settle(value: Value): Step | undefined {
  if (value.seats.join() === value.prevSeats.join()) return undefined;
  return { next: { ...value }, why: 'seats are settled' };
}
