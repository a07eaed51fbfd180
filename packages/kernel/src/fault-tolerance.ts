/** Fault tolerance of a deployment: how many members a replicated set needs for it, and how they must be spread. */
import type { NodeConfig } from './host.js';

/**
 * Failures that may occur at once without loss of data: this many machines with a disk, or this many failure domains, or this many regions,
 * the latter two with all machines in them.
 */
export interface FaultTolerance {
  machines: number;
  domains: number;
  regions: number;
}

/** The maximum number of members of one replicated set in one failure domain, and in one region. */
export interface SpreadLimits {
  perDomain: number;
  perRegion: number;
}

/** A number of disks in the same failure domain. */
export interface Place {
  domain: string;
  region?: string;
  count: number;
}

/** Larger sets are not tried: if this size is not enough, some failure takes a majority whatever the number of members. */
const LARGEST_SET = 31;

/** The fault tolerance that the config of a process asks for; undefined if it asks for none. */
export function faultToleranceOf(config: NodeConfig): FaultTolerance | undefined {
  const { losses, domainLosses, regionLosses } = config;
  if (losses === undefined) return undefined;
  return { machines: losses, domains: domainLosses ?? 0, regions: regionLosses ?? 0 };
}

/**
 * The limits under which a set of this many members keeps its majority after each of the failures.
 * @example
 * spreadLimits(5, { machines: 2, domains: 1, regions: 0 }); // { perDomain: 2, perRegion: Infinity }
 */
export function spreadLimits(size: number, tolerance: FaultTolerance | undefined): SpreadLimits {
  const expendable = Math.floor((size - 1) / 2);
  const each = (losses: number | undefined): number => (losses ? Math.floor(expendable / losses) : Infinity);
  return { perDomain: each(tolerance?.domains), perRegion: each(tolerance?.regions) };
}

/**
 * The maximum number of members of one set that can be placed within the limits.
 * @example
 * maxMembersWithin([{ domain: 'a', count: 4 }, { domain: 'b', count: 1 }], { perDomain: 2, perRegion: Infinity }); // 3
 */
export function maxMembersWithin(places: Iterable<Place>, limits: SpreadLimits): number {
  const byDomain = new Map<string, Place>();
  for (const place of places) {
    const previous = byDomain.get(place.domain);
    byDomain.set(place.domain, { ...place, count: place.count + (previous?.count ?? 0) });
  }
  const byRegion = new Map<string | undefined, number>();
  for (const { region, count } of byDomain.values())
    byRegion.set(region, (byRegion.get(region) ?? 0) + Math.min(count, limits.perDomain));
  let total = 0;
  for (const count of byRegion.values()) total += Math.min(count, limits.perRegion);
  return total;
}

/**
 * The smallest number of members, odd and at least `minimum`, with which a set in these failure domains provides the tolerance; undefined
 * if no number does. `domains` is the region of each failure domain; it is not used where only machines may fail.
 * @example
 * minimumSetSize({ machines: 1, domains: 1, regions: 0 }, { a: 'r', b: 'r', c: 'r' }); // 3
 */
export function minimumSetSize(
  tolerance: FaultTolerance,
  domains: Record<string, string> | undefined,
  minimum = 1,
): number | undefined {
  const places = Object.entries(domains ?? {}).map(([domain, region]) => ({ domain, region, count: Infinity }));
  const smallestMajoritySet = 2 * Math.max(tolerance.machines, tolerance.domains, tolerance.regions) + 1;
  if (!tolerance.domains && !tolerance.regions) return Math.max(smallestMajoritySet, minimum);
  for (let size = Math.max(smallestMajoritySet, minimum); size <= LARGEST_SET; size += 2)
    if (maxMembersWithin(places, spreadLimits(size, tolerance)) >= size) return size;
  return undefined;
}

/**
 * Describes in one line why the fault tolerance that a config asks for cannot be provided; undefined if it can.
 * @example
 * findToleranceError({ losses: 0, domainLosses: 1, domain: 'a', domains: { a: 'r', b: 'r' } });
 * // 'domainLosses: tolerating the loss of 1 failure domain requires at least 3 of them, but there are 2'
 */
export function findToleranceError(config: NodeConfig): string | undefined {
  const { domain, domains, losses, domainLosses = 0, regionLosses = 0 } = config;
  if (!domainLosses && !regionLosses) return undefined;
  const requiring = domainLosses ? 'domainLosses' : 'regionLosses';
  if (losses === undefined) return `losses: missing, but required with ${requiring}`;
  if (!domains) return `domains: missing, but required with ${requiring}`;
  if (domains[domain] === undefined) return `domain: '${domain}' is not among domains`;
  const domainCount = Object.keys(domains).length;
  const regionCount = new Set(Object.values(domains)).size;
  if (domainCount <= 2 * domainLosses) return tooFewPlaces('domainLosses', 'failure domain', domainLosses, domainCount);
  if (regionCount <= 2 * regionLosses) return tooFewPlaces('regionLosses', 'region', regionLosses, regionCount);
  if (minimumSetSize(faultToleranceOf(config)!, domains) !== undefined) return undefined;
  return `domainLosses and regionLosses: no placement over ${domainCount} failure domains in ${regionCount} regions tolerates both`;
}

function tooFewPlaces(field: string, what: string, losses: number, count: number): string {
  const plural = losses === 1 ? '' : 's';
  return `${field}: tolerating the loss of ${losses} ${what}${plural} requires at least ${2 * losses + 1} of them, but there are ${count}`;
}
