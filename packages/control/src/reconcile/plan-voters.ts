/** Keeps as many voters as are wanted, on disks that are active: a lost or leaving one is replaced in one step. */
import { REGISTER, rendezvousOrder } from '@harecross/kernel';
import { awaitsSuccessor } from '../placement/placement.js';
import { hasSameUses } from '../value/fleet-queries.js';
import { liveMember, type FleetView, type Step } from './planner.js';
import { isStaying, joinedLater } from './successor.js';
import { isPrimarilyFor, isUsedFor, type DiskRecord, type FleetValue } from '../value/fleet-value.js';

/** Seeds the rendezvous order of candidates. All nodes of a fleet agree on it, also those of earlier versions. */
const VOTER_HASH_KEY = 'seat';

/**
 * The next change of the voters. Each needs a majority of the voters before and of those after, until the next change is agreed; so each
 * is followed at once by one that changes nothing, after which the voters that went are needed no more.
 */
export function planVoters(value: FleetValue, fleet: FleetView): Step | undefined {
  const bad = value.voters.filter((disk) => value.disks.get(disk)?.state !== 'active');
  const goodCount = value.voters.length - bad.length;
  const wanted = votersWanted(value);
  const candidate = goodCount < wanted ? candidateFor(value, fleet) : undefined;
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
  return settle(value) ?? moveToLaterDisk(value, fleet, bad);
}

/**
 * A vote goes to the disk whose machine joined the domain last: where a machine is replaced by plan, the new one comes first, and the old one may
 * then be removed at the moment of the next loss.
 */
function moveToLaterDisk(value: FleetValue, fleet: FleetView, bad: string[]): Step | undefined {
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
        isStaying(fleet, disk),
    )
    .at(-1);
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

function candidateFor(value: FleetValue, fleet: FleetView): DiskRecord | undefined {
  const able = [...value.disks.values()].filter(
    (disk) =>
      disk.state === 'active' &&
      isUsedFor(disk, 'seat') &&
      liveMember(fleet, disk.id) !== undefined &&
      !value.voters.includes(disk.id),
  );
  const votersIn = (domain: string): number =>
    value.voters.filter((disk) => value.disks.get(disk)?.domain === domain && value.disks.get(disk)?.state === 'active')
      .length;
  // Disks that are for nothing else first: voters are asked by every node, and copies have work of their own.
  return rendezvousOrder(VOTER_HASH_KEY, able, (disk) => disk.id).sort(
    (one, other) =>
      Number(isPrimarilyFor(one, 'copies')) - Number(isPrimarilyFor(other, 'copies')) ||
      votersIn(one.domain) - votersIn(other.domain),
  )[0];
}

/** A voter to be given up without another in its place; none while the place of a lost one is kept for it. */
function toDrop(value: FleetValue, fleet: FleetView, bad: string[], wanted: number): string | undefined {
  if (awaitsSuccessor(value, value.voters, value.votersWanted ?? REGISTER.voterCount)) return undefined;
  if (bad.length) return bad[0];
  if (value.voters.length <= wanted) return undefined;
  const live = (disk: string): number => Number(liveMember(fleet, disk) !== undefined);
  return [...value.voters].sort((one, other) => live(one) - live(other))[0];
}

/** Until the next change a majority of the voters before is needed too: that change is made now. */
function settle(value: FleetValue): Step | undefined {
  if (value.voters.join() === value.previousVoters.join()) return undefined;
  return { next: { ...value }, why: 'voters are settled' };
}
