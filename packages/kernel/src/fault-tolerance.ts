/** What a deployment bears: how many holders a replicated set needs for it, and how they must be spread. */
import type { NodeConfig } from './host.js';

/**
 * What may be lost at once with nothing lost: so many machines with a disk, or so many failure domains, or so many regions, each with
 * all the machines in them.
 */
export interface FaultTolerance {
  machines: number;
  domains: number;
  regions: number;
}

/** How many members of one replicated set may lie in one failure domain, and in one region. */
export interface SpreadLimits {
  perDomain: number;
  perRegion: number;
}

/** Disks that are in the same place. */
export interface Place {
  domain: string;
  region?: string;
  count: number;
}

/** Larger sets are not tried: where one is needed, some loss takes a majority however many members there are. */
const LARGEST_SET = 31;

/** The tolerance that a process was told, or undefined where it was told none. */
export function faultToleranceOf(config: NodeConfig): FaultTolerance | undefined {
  const { losses, domainLosses, regionLosses } = config;
  if (losses === undefined) return undefined;
  return { machines: losses, domains: domainLosses ?? 0, regions: regionLosses ?? 0 };
}

/**
 * The limits under which a set of this many members keeps its majority after each of the losses.
 * @example
 * spreadLimits(5, { machines: 2, domains: 1, regions: 0 }); // { perDomain: 2, perRegion: Infinity }
 */
export function spreadLimits(size: number, tolerance: FaultTolerance | undefined): SpreadLimits {
  const expendable = Math.floor((size - 1) / 2);
  const each = (losses: number | undefined): number => (losses ? Math.floor(expendable / losses) : Infinity);
  return { perDomain: each(tolerance?.domains), perRegion: each(tolerance?.regions) };
}

/**
 * How many members of one set the places have room for under the limits.
 * @example
 * roomUnder([{ domain: 'a', count: 4 }, { domain: 'b', count: 1 }], { perDomain: 2, perRegion: Infinity }); // 3
 */
export function maxMembersWithin(places: Iterable<Place>, limits: SpreadLimits): number {
  const byDomain = new Map<string, Place>();
  for (const place of places) {
    const known = byDomain.get(place.domain);
    byDomain.set(place.domain, { ...place, count: place.count + (known?.count ?? 0) });
  }
  const byRegion = new Map<string | undefined, number>();
  for (const { region, count } of byDomain.values())
    byRegion.set(region, (byRegion.get(region) ?? 0) + Math.min(count, limits.perDomain));
  let room = 0;
  for (const count of byRegion.values()) room += Math.min(count, limits.perRegion);
  return room;
}

/**
 * The fewest members, an odd number, with which a set bears the tolerance in these failure domains, `least` or more; undefined where no
 * number does. `domains`: the region of each failure domain; it is not looked at where only machines are to be borne.
 * @example
 * setSizeFor({ machines: 1, domains: 1, regions: 0 }, { a: 'r', b: 'r', c: 'r' }); // 3
 */
export function minimumSetSize(
  tolerance: FaultTolerance,
  domains: Record<string, string> | undefined,
  least = 1,
): number | undefined {
  const places = Object.entries(domains ?? {}).map(([domain, region]) => ({ domain, region, count: Infinity }));
  const fewest = 2 * Math.max(tolerance.machines, tolerance.domains, tolerance.regions) + 1;
  if (!tolerance.domains && !tolerance.regions) return Math.max(fewest, least);
  for (let size = Math.max(fewest, least); size <= LARGEST_SET; size += 2)
    if (maxMembersWithin(places, spreadLimits(size, tolerance)) >= size) return size;
  return undefined;
}

/**
 * Why a process can't be run under the tolerance that its config asks for, one clear line; undefined where it can.
 * @example
 * faultInTolerance({ losses: 0, domainLosses: 1, domain: 'a', domains: { a: 'r', b: 'r' } });
 * // 'domainLosses: the loss of 1 failure domain is borne with 3 of them or more, and there are 2'
 */
export function findToleranceError(config: NodeConfig): string | undefined {
  const { domain, domains, losses, domainLosses = 0, regionLosses = 0 } = config;
  if (!domainLosses && !regionLosses) return undefined;
  const asked = domainLosses ? 'domainLosses' : 'regionLosses';
  if (losses === undefined) return `losses: missing, and needed beside ${asked}`;
  if (!domains) return `domains: missing, and needed for ${asked}`;
  if (domains[domain] === undefined) return `domain: '${domain}' is not among domains`;
  const domainCount = Object.keys(domains).length;
  const regionCount = new Set(Object.values(domains)).size;
  if (domainCount <= 2 * domainLosses) return tooFew('domainLosses', 'failure domain', domainLosses, domainCount);
  if (regionCount <= 2 * regionLosses) return tooFew('regionLosses', 'region', regionLosses, regionCount);
  if (minimumSetSize(faultToleranceOf(config)!, domains) !== undefined) return undefined;
  return `domainLosses and regionLosses: no spread over ${domainCount} failure domains in ${regionCount} regions bears both`;
}

function tooFew(field: string, what: string, losses: number, count: number): string {
  const plural = losses === 1 ? '' : 's';
  return `${field}: the loss of ${losses} ${what}${plural} is borne with ${2 * losses + 1} of them or more, and there are ${count}`;
}
