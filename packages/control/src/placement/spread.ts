/** Spreads the members of a replicated set over failure domains and regions, so that a majority outlives what may be lost at once. */
import { maxMembersWithin, spreadLimits, type FaultTolerance, type SpreadLimits } from '@harecross/kernel';
import type { DiskRecord } from '../value/fleet-value.js';

/**
 * Where the members of one set are so far, and where the next one fits best.
 * @example
 * const spread = new Spread(3, value.tolerance);
 * spread.add(disks[0]);
 * spread.leastCrowded(disks.slice(1)); // those in other domains, if there are any
 */
export class Spread {
  private readonly limits: SpreadLimits;
  private readonly inDomain = new Map<string, number>();
  private readonly inRegion = new Map<string, number>();

  constructor(
    size: number,
    private readonly tolerance: FaultTolerance | undefined,
  ) {
    this.limits = spreadLimits(size, tolerance);
  }

  add(disk: DiskRecord): void {
    this.count(disk, 1);
  }

  remove(disk: DiskRecord): void {
    this.count(disk, -1);
  }

  /** Whether one more member there keeps the limits. */
  fits(disk: DiskRecord): boolean {
    return this.membersInDomain(disk) < this.limits.perDomain && this.membersInRegion(disk) < this.limits.perRegion;
  }

  /** Whether there are more members in the disk's domain or region than may be lost with it. */
  exceeds(disk: DiskRecord): boolean {
    return this.membersInDomain(disk) > this.limits.perDomain || this.membersInRegion(disk) > this.limits.perRegion;
  }

  /** Members in the disk's failure domain. */
  membersInDomain(disk: DiskRecord): number {
    return this.inDomain.get(disk.domain) ?? 0;
  }

  /** Members in the disk's region; 0 where no region may be lost, so that regions don't matter. */
  membersInRegion(disk: DiskRecord): number {
    return this.tolerance?.regions ? (this.inRegion.get(regionOf(disk)) ?? 0) : 0;
  }

  /** The disks where the next member crowds its region, then its domain, the least; none beyond the limits while another is within. */
  leastCrowded(disks: DiskRecord[]): DiskRecord[] {
    const fitting = disks.filter((disk) => this.fits(disk));
    const able = fitting.length ? fitting : disks;
    const leastInRegion = Math.min(...able.map((disk) => this.membersInRegion(disk)));
    const near = able.filter((disk) => this.membersInRegion(disk) === leastInRegion);
    const leastInDomain = Math.min(...near.map((disk) => this.membersInDomain(disk)));
    return near.filter((disk) => this.membersInDomain(disk) === leastInDomain);
  }

  private count(disk: DiskRecord, by: number): void {
    this.inDomain.set(disk.domain, (this.inDomain.get(disk.domain) ?? 0) + by);
    this.inRegion.set(regionOf(disk), (this.inRegion.get(regionOf(disk)) ?? 0) + by);
  }
}

const regionOf = (disk: DiskRecord): string => disk.region ?? '';

/**
 * How many members of a set of this size the disks have room for, spread as the tolerance asks.
 * @example
 * roomFor(3, disks, value.tolerance) >= 3 // whether the disks bear what is asked of them
 */
export function maxPlaceableMembers(size: number, disks: DiskRecord[], tolerance: FaultTolerance | undefined): number {
  const places = disks.map(({ domain, region }) => ({ domain, region, count: 1 }));
  return maxMembersWithin(places, spreadLimits(size, tolerance));
}
