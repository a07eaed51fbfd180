/** The fault tolerance of a fleet: how many replicas and voters it needs, and whether the disks have room for them. */
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

/** The fewest voters that tolerate the loss of one. */
const MIN_VOTER_COUNT = 3;

/** The part of the agreed value that says how many losses are tolerated, and by how many replicas and voters. */
export type Durability = Pick<FleetValue, 'copies' | 'votersWanted' | 'tolerance'>;

/**
 * The numbers of replicas and voters for the fault tolerance in the config of a process; the defaults where it sets none.
 * @example
 * durabilityOf({ ...config, losses: 1 }); // { copies: 3, votersWanted: 3, tolerance: { machines: 1, domains: 0, regions: 0 } }
 */
export function durabilityOf(config: NodeConfig): Durability {
  const tolerance = faultToleranceOf(config);
  if (!tolerance) return { copies: SHARD.replicaCount, votersWanted: REGISTER.voterCount };
  const sizeFor = (minSize: number): number => {
    const size = minimumSetSize(tolerance, config.domains, minSize);
    if (size === undefined) throw new Error('config was not validated: no set size tolerates the configured losses');
    return size;
  };
  return { copies: sizeFor(1), votersWanted: sizeFor(MIN_VOTER_COUNT), tolerance };
}

/**
 * Why these disks can't provide the fault tolerance, in one line; undefined if they can, or if no tolerance is set.
 * @example
 * shortfallOf(durability, disks); // 'replicas: tolerating the loss of 1 machines, ... requires 3 disks, ... have room for 2'
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
  const losses = `the loss of ${machines} machines, or ${domains} failure domains, or ${regions} regions`;
  return `${what}: tolerating ${losses} requires ${size} disks, spread over them, and the ${disks.length} available have room for ${room}`;
}

const usableFor = (disks: DiskRecord[], use: DiskUse): DiskRecord[] => disks.filter((disk) => isUsedFor(disk, use));
