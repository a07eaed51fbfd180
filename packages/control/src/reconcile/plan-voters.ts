/** Keeps the wanted number of voters on active disks: a lost or leaving voter is replaced in one step. */
import { REGISTER, rendezvousOrder } from '@harecross/kernel';
import { isAwaitingReplacement } from '../placement/placement.js';
import { Spread } from '../placement/spread.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { canTakeOver } from './successor.js';
import {
  hasSameRole,
  isPrimarilyFor,
  isUsedFor,
  joinedLater,
  type DiskRecord,
  type FleetValue,
} from '../value/fleet-value.js';

/** Seed of the rendezvous order of candidates. It must be the same on all nodes of a fleet, including those of earlier versions. */
const VOTER_HASH_KEY = 'seat';

/**
 * The next change of the voters. From a change of voters until the next change of the value, a majority of both the previous and the new
 * voters is needed. Therefore each is followed at once by a change that alters nothing, after which removed voters are no longer needed.
 */
export function planVoters(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const inactive = value.voters.filter((disk) => value.disks.get(disk)?.state !== 'active');
  const activeCount = value.voters.length - inactive.length;
  const wanted = targetVoterCount(value);
  const candidate = activeCount < wanted ? candidatesFor(value, fleet, voterSpread(value))[0] : undefined;
  if (candidate && inactive.length > 0 && value.voters.length <= wanted) {
    const removed = inactive[0]!;
    const voters = value.voters.map((disk) => (disk === removed ? candidate.id : disk));
    if (isMajorityLive(fleet, voters))
      return { next: { ...value, voters }, why: `voter ${removed} is replaced by ${candidate.id}` };
  } else if (candidate && inactive.length === 0) {
    return { next: { ...value, voters: [...value.voters, candidate.id] }, why: `disk ${candidate.id} becomes a voter` };
  }
  const surplus =
    value.voters.length > wanted || activeCount >= wanted ? surplusVoter(value, fleet, inactive, wanted) : undefined;
  const voters = value.voters.filter((disk) => disk !== surplus);
  if (surplus !== undefined && isMajorityLive(fleet, voters))
    return { next: { ...value, voters }, why: `voter ${surplus} is removed` };
  return dropPreviousVoters(value) ?? moveToLaterDisk(value, fleet, inactive) ?? spreadVoters(value, fleet, inactive);
}

/**
 * Moves a vote to the disk whose machine joined the domain last: in a planned replacement the new machine joins first, and the old one may
 * then be removed just when another machine fails.
 */
function moveToLaterDisk(value: FleetValue, fleet: FleetView, inactive: string[]): PlannedStep | undefined {
  if (inactive.length) return undefined;
  for (const voter of value.voters) {
    const later = laterDiskWithoutVote(value, fleet, value.disks.get(voter)!);
    if (!later) continue;
    const voters = value.voters.map((disk) => (disk === voter ? later.id : disk));
    if (isMajorityLive(fleet, voters))
      return { next: { ...value, voters }, why: `voter ${voter} is replaced by ${later.id}` };
  }
  return undefined;
}

function laterDiskWithoutVote(value: FleetValue, fleet: FleetView, voter: DiskRecord): DiskRecord | undefined {
  return [...value.disks.values()]
    .filter(
      (disk) =>
        joinedLater(disk, voter) &&
        hasSameRole(disk, voter) &&
        !value.voters.includes(disk.id) &&
        canTakeOver(fleet, disk),
    )
    .at(-1);
}

/**
 * Moves a vote out of a failure domain or region that has more votes than may be lost at once: the first voters are the seeds, whatever
 * their location.
 */
function spreadVoters(value: FleetValue, fleet: FleetView, inactive: string[]): PlannedStep | undefined {
  if (inactive.length) return undefined;
  const crowded = value.voters.filter((voter) => voterSpread(value).exceeds(value.disks.get(voter)!));
  for (const voter of crowded) {
    const spread = voterSpread(value);
    spread.remove(value.disks.get(voter)!);
    const candidate = candidatesFor(value, fleet, spread)[0];
    if (!candidate || !spread.fits(candidate)) continue;
    const voters = value.voters.map((disk) => (disk === voter ? candidate.id : disk));
    if (isMajorityLive(fleet, voters))
      return { next: { ...value, voters }, why: `voter ${voter} is replaced by ${candidate.id}` };
  }
  return undefined;
}

/** How the voters on active disks are spread over failure domains and regions. */
function voterSpread(value: FleetValue): Spread {
  const spread = new Spread(value.votersWanted ?? REGISTER.voterCount, value.tolerance);
  for (const voter of value.voters) {
    const disk = value.disks.get(voter);
    if (disk?.state === 'active') spread.add(disk);
  }
  return spread;
}

/** The number of voters to have now. It is odd: an even number needs a larger majority without tolerating one more loss. */
function targetVoterCount(value: FleetValue): number {
  const usable = [...value.disks.values()].filter((disk) => disk.state === 'active' && isUsedFor(disk, 'seat')).length;
  const wanted = Math.min(value.votersWanted ?? REGISTER.voterCount, usable);
  return wanted % 2 === 0 ? Math.max(1, wanted - 1) : wanted;
}

function isMajorityLive(fleet: FleetView, voters: string[]): boolean {
  return voters.filter((disk) => liveMember(fleet, disk)).length * 2 > voters.length;
}

/** Disks that may become voters, best first. */
function candidatesFor(value: FleetValue, fleet: FleetView, spread: Spread): DiskRecord[] {
  const usable = [...value.disks.values()].filter(
    (disk) => isUsedFor(disk, 'seat') && canTakeOver(fleet, disk) && !value.voters.includes(disk.id),
  );
  // Prefers disks whose first use isn't replicas: every node sends requests to the voters, and replicas are a load of their own.
  return rendezvousOrder(VOTER_HASH_KEY, usable, (disk) => disk.id).sort(
    (one, other) =>
      Number(spread.fits(other)) - Number(spread.fits(one)) ||
      Number(isPrimarilyFor(one, 'copies')) - Number(isPrimarilyFor(other, 'copies')) ||
      spread.membersInRegion(one) - spread.membersInRegion(other) ||
      spread.membersInDomain(one) - spread.membersInDomain(other),
  );
}

/** A voter to remove without a replacement; undefined while a lost voter is kept until another disk can replace it. */
function surplusVoter(value: FleetValue, fleet: FleetView, inactive: string[], wanted: number): string | undefined {
  if (isAwaitingReplacement(value, value.voters, value.votersWanted ?? REGISTER.voterCount)) return undefined;
  if (inactive.length) return inactive[0];
  if (value.voters.length <= wanted) return undefined;
  const live = (disk: string): number => Number(liveMember(fleet, disk) !== undefined);
  return [...value.voters].sort((one, other) => live(one) - live(other))[0];
}

/** A change that alters nothing, after which a majority of the previous voters is no longer needed too. */
function dropPreviousVoters(value: FleetValue): PlannedStep | undefined {
  if (value.voters.join() === value.previousVoters.join()) return undefined;
  return { next: { ...value }, why: 'previous voters are no longer needed' };
}
