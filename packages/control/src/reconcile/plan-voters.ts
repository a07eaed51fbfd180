/** Keeps as many voters as are wanted, on disks that are active: a lost or leaving one is replaced in one step. */
import { REGISTER, rendezvousOrder } from '@harecross/kernel';
import { isAwaitingReplacement } from '../placement/placement.js';
import { Spread } from '../placement/spread.js';
import { hasSameUses } from '../value/fleet-queries.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { canTakeOver, joinedLater } from './successor.js';
import { isPrimarilyFor, isUsedFor, type DiskRecord, type FleetValue } from '../value/fleet-value.js';

/** Seeds the rendezvous order of candidates. All nodes of a fleet agree on it, also those of earlier versions. */
const VOTER_HASH_KEY = 'seat';

/**
 * The next change of the voters. Each needs a majority of the voters before and of those after, until the next change is agreed; so each
 * is followed at once by one that changes nothing, after which the voters that went are needed no more.
 */
export function planVoters(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const bad = value.voters.filter((disk) => value.disks.get(disk)?.state !== 'active');
  const goodCount = value.voters.length - bad.length;
  const wanted = votersWanted(value);
  const candidate = goodCount < wanted ? candidatesFor(value, fleet, spreadOf(value))[0] : undefined;
  if (candidate && bad.length > 0 && value.voters.length <= wanted) {
    const gone = bad[0]!;
    const voters = value.voters.map((disk) => (disk === gone ? candidate.id : disk));
    if (majorityLive(fleet, voters))
      return { next: { ...value, voters }, why: `vote of ${gone} goes to ${candidate.id}` };
  } else if (candidate && bad.length === 0) {
    return { next: { ...value, voters: [...value.voters, candidate.id] }, why: `vote for ${candidate.id}` };
  }
  const drop = value.voters.length > wanted || goodCount >= wanted ? toDrop(value, fleet, bad, wanted) : undefined;
  const voters = value.voters.filter((disk) => disk !== drop);
  if (drop !== undefined && majorityLive(fleet, voters))
    return { next: { ...value, voters }, why: `vote of ${drop} is given up` };
  return settle(value) ?? moveToLaterDisk(value, fleet, bad) ?? spreadVoters(value, fleet, bad);
}

/**
 * A vote goes to the disk whose machine joined the domain last: where a machine is replaced by plan, the new one comes first, and the old one may
 * then be removed at the moment of the next loss.
 */
function moveToLaterDisk(value: FleetValue, fleet: FleetView, bad: string[]): PlannedStep | undefined {
  if (bad.length) return undefined;
  for (const voter of value.voters) {
    const later = laterDiskWithoutVote(value, fleet, value.disks.get(voter)!);
    if (!later) continue;
    const voters = value.voters.map((disk) => (disk === voter ? later.id : disk));
    if (majorityLive(fleet, voters)) return { next: { ...value, voters }, why: `vote of ${voter} goes to ${later.id}` };
  }
  return undefined;
}

function laterDiskWithoutVote(value: FleetValue, fleet: FleetView, voter: DiskRecord): DiskRecord | undefined {
  return [...value.disks.values()]
    .filter(
      (disk) =>
        joinedLater(disk, voter) &&
        hasSameUses(disk, voter) &&
        !value.voters.includes(disk.id) &&
        canTakeOver(fleet, disk),
    )
    .at(-1);
}

/** A vote leaves a failure domain or region that has more of them than may be lost with it: the first voters are the seeds, wherever they are. */
function spreadVoters(value: FleetValue, fleet: FleetView, bad: string[]): PlannedStep | undefined {
  if (bad.length) return undefined;
  const crowding = value.voters.filter((voter) => spreadOf(value).exceeds(value.disks.get(voter)!));
  for (const voter of crowding) {
    const spread = spreadOf(value);
    spread.remove(value.disks.get(voter)!);
    const candidate = candidatesFor(value, fleet, spread)[0];
    if (!candidate || !spread.fits(candidate)) continue;
    const voters = value.voters.map((disk) => (disk === voter ? candidate.id : disk));
    if (majorityLive(fleet, voters))
      return { next: { ...value, voters }, why: `vote of ${voter} goes to ${candidate.id}` };
  }
  return undefined;
}

/** How the voters on active disks are spread. */
function spreadOf(value: FleetValue): Spread {
  const spread = new Spread(value.votersWanted ?? REGISTER.voterCount, value.tolerance);
  for (const voter of value.voters) {
    const disk = value.disks.get(voter);
    if (disk?.state === 'active') spread.add(disk);
  }
  return spread;
}

/** Odd, so that one more voter never costs a larger majority without bearing one more loss. */
function votersWanted(value: FleetValue): number {
  const able = [...value.disks.values()].filter((disk) => disk.state === 'active' && isUsedFor(disk, 'seat')).length;
  const wanted = Math.min(value.votersWanted ?? REGISTER.voterCount, able);
  return wanted % 2 === 0 ? Math.max(1, wanted - 1) : wanted;
}

function majorityLive(fleet: FleetView, voters: string[]): boolean {
  return voters.filter((disk) => liveMember(fleet, disk)).length * 2 > voters.length;
}

/** Disks that may become voters, the best first. */
function candidatesFor(value: FleetValue, fleet: FleetView, spread: Spread): DiskRecord[] {
  const able = [...value.disks.values()].filter(
    (disk) => isUsedFor(disk, 'seat') && canTakeOver(fleet, disk) && !value.voters.includes(disk.id),
  );
  // Disks that are for nothing else first: voters are asked by every node, and copies have work of their own.
  return rendezvousOrder(VOTER_HASH_KEY, able, (disk) => disk.id).sort(
    (one, other) =>
      Number(spread.fits(other)) - Number(spread.fits(one)) ||
      Number(isPrimarilyFor(one, 'copies')) - Number(isPrimarilyFor(other, 'copies')) ||
      spread.membersInRegion(one) - spread.membersInRegion(other) ||
      spread.membersInDomain(one) - spread.membersInDomain(other),
  );
}

/** A voter to be given up without another in its place; none while the place of a lost one is kept for it. */
function toDrop(value: FleetValue, fleet: FleetView, bad: string[], wanted: number): string | undefined {
  if (isAwaitingReplacement(value, value.voters, value.votersWanted ?? REGISTER.voterCount)) return undefined;
  if (bad.length) return bad[0];
  if (value.voters.length <= wanted) return undefined;
  const live = (disk: string): number => Number(liveMember(fleet, disk) !== undefined);
  return [...value.voters].sort((one, other) => live(one) - live(other))[0];
}

/** Until the next change a majority of the voters before is needed too: that change is made now. */
function settle(value: FleetValue): PlannedStep | undefined {
  if (value.voters.join() === value.previousVoters.join()) return undefined;
  return { next: { ...value }, why: 'voters are settled' };
}
