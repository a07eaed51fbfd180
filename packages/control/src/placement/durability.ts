/** What the fleet promises to bear: how many replicas and voters that takes, and whether its disks have room for them. */
import {
  REGISTER,
  SHARD,
  faultToleranceOf,
  minimumSetSize,
  type DiskUse,
  type FaultTolerance,
  type NodeConfig,
} from '@harecross/kernel';
import { isUsedFor, type DiskRecord, type FleetValue } from '../value/fleet-value.js';
import { replicaDisks, fastDiskIds } from './placement.js';
import { maxPlaceableMembers } from './spread.js';

/** Fewest voters of a fleet: one may be lost. */
const LEAST_VOTERS = 3;

/** The part of the agreed value that says what is to be borne. */
export type Durability = Pick<FleetValue, 'copies' | 'votersWanted' | 'tolerance'>;

/**
 * The replicas and voters by which the fleet bears what the config of a process asks for; the defaults where it asks for nothing.
 * @example
 * durabilityOf({ ...config, losses: 1 }); // { copies: 3, votersWanted: 3, tolerance: { machines: 1, domains: 0, regions: 0 } }
 */
export function durabilityOf(config: NodeConfig): Durability {
  const tolerance = faultToleranceOf(config);
  if (!tolerance) return { copies: SHARD.replicaCount, votersWanted: REGISTER.voterCount };
  const sizeFor = (least: number): number => {
    const size = minimumSetSize(tolerance, config.domains, least);
    if (size === undefined) throw new Error('the config of a process was not checked');
    return size;
  };
  return { copies: sizeFor(1), votersWanted: sizeFor(LEAST_VOTERS), tolerance };
}

/**
 * Why these disks can't bear what is promised, one clear line; undefined where they can, or where nothing was promised.
 * @example
 * shortfallOf(durability, disks); // 'replicas: 3 disks are needed and there is room for 2'
 */
export function shortfallOf(durability: Durability, disks: DiskRecord[]): string | undefined {
  const { tolerance, copies, votersWanted } = durability;
  if (!tolerance) return undefined;
  const forReplicas = usableFor(disks, 'copies');
  return (
    shortfallFor('replicas', copies, replicaDisks(forReplicas, fastDiskIds(forReplicas)), tolerance) ??
    shortfallFor('voters', votersWanted ?? REGISTER.voterCount, usableFor(disks, 'seat'), tolerance)
  );
}

function shortfallFor(what: string, size: number, disks: DiskRecord[], tolerance: FaultTolerance): string | undefined {
  const room = maxPlaceableMembers(size, disks, tolerance);
  if (room >= size) return undefined;
  const { machines, domains, regions } = tolerance;
  const asked = `the loss of ${machines} machines, or ${domains} failure domains, or ${regions} regions`;
  return `${what}: to bear ${asked}, ${size} disks are needed, spread over them, and the ${disks.length} there have room for ${room}`;
}

const usableFor = (disks: DiskRecord[], use: DiskUse): DiskRecord[] => disks.filter((disk) => isUsedFor(disk, use));
