/** Spreads the members of a replicated set over failure domains and regions, so that a majority survives what may be lost at once. */
import { maxMembersWithin, spreadLimits, type FaultTolerance, type SpreadLimits } from '@harecross/kernel';
import type { DiskRecord } from '../value/fleet-value.js';

/**
 * Counts the members of one set by failure domain and region, and finds the best disks for the next member.
 * @example
 * const spread = new Spread(3, value.tolerance);
 * spread.add(disks[0]);
 * spread.leastCrowded(disks.slice(1)); // those in other domains, if there are any
 */
export class Spread {
  private readonly limits: SpreadLimits;
  private readonly countByDomain = new Map<string, number>();
  private readonly countByRegion = new Map<string, number>();

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

  /** Whether one more member on this disk stays within the limits. */
  fits(disk: DiskRecord): boolean {
    return this.membersInDomain(disk) < this.limits.perDomain && this.membersInRegion(disk) < this.limits.perRegion;
  }

  /** Whether the disk's domain or region has more members than may be lost at once. */
  exceeds(disk: DiskRecord): boolean {
    return this.membersInDomain(disk) > this.limits.perDomain || this.membersInRegion(disk) > this.limits.perRegion;
  }

  /** Members in the disk's failure domain. */
  membersInDomain(disk: DiskRecord): number {
    return this.countByDomain.get(disk.domain) ?? 0;
  }

  /** Members in the disk's region; always 0 if the tolerance includes no loss of a region, so that regions are ignored. */
  membersInRegion(disk: DiskRecord): number {
    return this.tolerance?.regions ? (this.countByRegion.get(regionOf(disk)) ?? 0) : 0;
  }

  /** The disks whose region, and then whose domain, has the fewest members; only disks within the limits, if there are any. */
  leastCrowded(disks: DiskRecord[]): DiskRecord[] {
    const fitting = disks.filter((disk) => this.fits(disk));
    const usable = fitting.length ? fitting : disks;
    const minInRegion = Math.min(...usable.map((disk) => this.membersInRegion(disk)));
    const inLeastUsedRegions = usable.filter((disk) => this.membersInRegion(disk) === minInRegion);
    const minInDomain = Math.min(...inLeastUsedRegions.map((disk) => this.membersInDomain(disk)));
    return inLeastUsedRegions.filter((disk) => this.membersInDomain(disk) === minInDomain);
  }

  private count(disk: DiskRecord, delta: number): void {
    this.countByDomain.set(disk.domain, (this.countByDomain.get(disk.domain) ?? 0) + delta);
    this.countByRegion.set(regionOf(disk), (this.countByRegion.get(regionOf(disk)) ?? 0) + delta);
  }
}

const regionOf = (disk: DiskRecord): string => disk.region ?? '';

/**
 * How many members of a set of this size fit on the disks within the spread limits of the tolerance.
 * @example
 * maxPlaceableMembers(3, disks, value.tolerance) >= 3 // whether the disks have room for the whole set
 */
export function maxPlaceableMembers(size: number, disks: DiskRecord[], tolerance: FaultTolerance | undefined): number {
  const places = disks.map(({ domain, region }) => ({ domain, region, count: 1 }));
  return maxMembersWithin(places, spreadLimits(size, tolerance));
}
