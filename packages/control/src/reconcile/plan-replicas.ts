/**
 * Moves the replicas of each shard to their target disks. A lost replica is replaced by a new one in one step: if the lost one stayed
 * beside the new one, three of four replicas would be needed, and one more loss would end the majority.
 */
import { PLACEMENT } from '@harecross/kernel';
import type { ShardOwnerRecord } from './controller.js';
import {
  isAwaitingReplacement,
  majoritiesIntersect,
  targetReplicas,
  desiredReplicaCount,
} from '../placement/placement.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { isUsedFor, type Placement, type FleetValue } from '../value/fleet-value.js';

/** A shard with its owner's record, and the disks on which its replicas should be. */
interface ShardView {
  shard: number;
  placement: Placement;
  target: string[];
  /** The owner's record, if an owner has served under this generation of the placement, which is thereby established. */
  owner: ShardOwnerRecord | undefined;
}

/** The placement changes of all shards that are due now, in one step. */
export function planReplicas(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const active = [...value.disks.values()].filter((disk) => disk.state === 'active' && isUsedFor(disk, 'copies'));
  if (!active.length) return undefined;
  const targets = targetReplicas(value.config, active, value.copies, value.tolerance);
  const planner = new ReplicaPlanner(value, fleet);
  const shards = new Map(value.shards);
  let changed = 0;
  for (const [shard, placement] of value.shards) {
    const record = fleet.membership.get(`key/${shard}`) as ShardOwnerRecord | undefined;
    const owner = record?.gen === placement.gen ? record : undefined;
    const next = planner.next({ shard, placement, target: targets.get(shard)!, owner });
    if (!next) continue;
    shards.set(shard, next);
    changed++;
  }
  return changed ? { next: { ...value, shards }, why: `placements of ${changed} shards change` } : undefined;
}

class ReplicaPlanner {
  /** Shards that change without urgent need, with no replica on a lost or leaving disk. */
  private movingCount = 0;
  /** Whether every active disk with replicas is live: otherwise an empty disk may be needed to replace one that is not. */
  private readonly allDisksLive: boolean;
  /** Whether every live machine with a disk takes shards by the rule of `hasFenceQuorum`. */
  private readonly jointFences: boolean;

  constructor(
    private value: FleetValue,
    private fleet: FleetView,
  ) {
    const disksWithReplicas = new Set([...value.shards.values()].flatMap((placement) => placement.copies));
    const active = [...disksWithReplicas].filter((disk) => value.disks.get(disk)?.state === 'active');
    this.allDisksLive = active.every((disk) => liveMember(fleet, disk));
    this.jointFences = fleet.membership.liveMembers().every((member) => !member.disk || member.jointFences === true);
  }

  /** The next placement of a shard, or undefined while nothing is due or the change has to wait. */
  next(view: ShardView): Placement | undefined {
    const { placement, target, owner } = view;
    if (!placement.copies.length) return { gen: placement.gen + 1, copies: target };
    const missing = target.filter((disk) => !placement.copies.includes(disk));
    const surplus = placement.copies.filter((disk) => !target.includes(disk));
    const lost = surplus.find((disk) => this.isLost(disk));
    const urgent = lost ?? surplus.find((disk) => this.isLeaving(disk));
    const settledPlacement = this.settledPlacement(view);
    if (settledPlacement && !urgent) return settledPlacement;
    const pending = placement.previous !== undefined || placement.retained !== undefined;
    if (!missing.length && !surplus.length && !pending) return undefined;
    if (!urgent && ++this.movingCount > PLACEMENT.movingShardLimit) return undefined;
    // The last step must be established before the next one: only the majorities of two generations are taken into account.
    if (!owner) return undefined;
    const candidates = missing.filter((disk) => liveMember(this.fleet, disk));
    if (candidates.length && urgent) return this.replace(placement, urgent, candidates);
    if (pending) return undefined;
    if (missing.length) return this.move(view, surplus, candidates);
    return surplus.length ? this.remove(view, lost ?? surplus[0]!) : undefined;
  }

  private isLost(disk: string): boolean {
    return this.value.disks.get(disk)?.state === 'lost';
  }

  /** Whether the disk's process is about to end: unlike a disk that is being emptied, it can't wait for the other replicas to catch up. */
  private isLeaving(disk: string): boolean {
    return this.value.disks.get(disk)?.state === 'leaving';
  }

  /** Whether these replicas have the shard's history now, according to its owner. False while the owner is not live: then it is unknown. */
  private areInSync(view: ShardView, disks: string[]): boolean {
    const { owner } = view;
    if (!owner || !this.fleet.membership.isLive(owner.peer)) return false;
    return disks.every((disk) => liveMember(this.fleet, disk) && !owner.behind.includes(disk));
  }

  /**
   * The placement without `previous` and `retained`, once all replicas have the history: a majority of the previous replicas is then no
   * longer needed, and replaced disks may delete their replicas.
   */
  private settledPlacement(view: ShardView): Placement | undefined {
    const { gen, copies, previous, retained } = view.placement;
    if (!previous && !retained) return undefined;
    return this.areInSync(view, copies) ? { gen, copies } : undefined;
  }

  /** Replaces one replica by another, in one step. */
  private replace(placement: Placement, removed: string, candidates: string[]): Placement | undefined {
    const { gen, copies, retained } = placement;
    if (!this.jointFences) return { gen: gen + 1, copies: [...copies, candidates[0]!] };
    const nowRetained = this.isLost(removed) ? (retained ?? []) : [...(retained ?? []), removed];
    return this.nextPlacement(
      placement,
      copies.map((disk) => (disk === removed ? candidates[0]! : disk)),
      nowRetained,
    );
  }

  /**
   * A change that is not urgent. It is made only while all replicas that stay have the history and, unless a disk is being emptied, while
   * every disk with replicas is live: one that is not may turn out to be lost.
   */
  private move(view: ShardView, surplus: string[], candidates: string[]): Placement | undefined {
    const { placement } = view;
    const emptying = surplus.find((disk) => this.value.disks.get(disk)?.state === 'emptying');
    const removed = emptying ?? surplus[0];
    if (!candidates.length || (!this.allDisksLive && !emptying)) return undefined;
    if (
      !this.areInSync(
        view,
        placement.copies.filter((disk) => disk !== removed),
      )
    )
      return undefined;
    if (removed !== undefined) return this.replace(placement, removed, candidates);
    // Adds two replicas at once if possible: an even number needs a larger majority without tolerating more losses.
    const isOdd = placement.copies.length % 2 === 1;
    const count = isOdd && this.jointFences ? 2 : 1;
    return this.nextPlacement(
      placement,
      [...placement.copies, ...candidates.slice(0, count)],
      placement.retained ?? [],
    );
  }

  /** Removes a surplus replica. A lost replica stays in the placement until there is another disk to replace it. */
  private remove(view: ShardView, removed: string): Placement | undefined {
    const { shard, placement, target } = view;
    const wanted = desiredReplicaCount(this.value.config, shard, this.value.copies);
    if (isAwaitingReplacement(this.value, placement.copies, wanted) || !this.areInSync(view, target)) return undefined;
    return this.nextPlacement(
      placement,
      placement.copies.filter((disk) => disk !== removed),
      [],
    );
  }

  /**
   * The next generation of the placement. It names the replicas before it as `previous` if a majority of them might not share a disk with
   * a majority of the new ones.
   */
  private nextPlacement(placement: Placement, copies: string[], retained: string[]): Placement {
    const next: Placement = { gen: placement.gen + 1, copies };
    if (!majoritiesIntersect(placement.copies, copies)) next.previous = placement.copies;
    if (retained.length) next.retained = retained;
    return next;
  }
}
