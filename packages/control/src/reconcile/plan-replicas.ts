/**
 * Brings the replicas of each shard to where they belong. A lost copy is replaced by a new one in one step: with the lost one kept
 * beside the new (three of four needed), one more loss would end the majority.
 */
import { PLACEMENT } from '@harecross/kernel';
import type { ShardOwnerRecord } from './controller.js';
import { isAwaitingReplacement, majoritiesIntersect, targetReplicas, desiredReplicaCount } from '../placement/placement.js';
import { liveMember, type FleetView, type PlannedStep } from './planner.js';
import { isUsedFor, type Placement, type FleetValue } from '../value/fleet-value.js';

/** A shard with what its owner says, and where its copies should be. */
interface ShardView {
  shard: number;
  placement: Placement;
  target: string[];
  /** The owner's record, if an owner has served under this generation: the generation is established. */
  owner: ShardOwnerRecord | undefined;
}

/** The steps of all shards that are due now, in one change. */
export function planReplicas(value: FleetValue, fleet: FleetView): PlannedStep | undefined {
  const active = [...value.disks.values()].filter((disk) => disk.state === 'active' && isUsedFor(disk, 'copies'));
  if (!active.length) return undefined;
  const targets = targetReplicas(value.config, active, value.copies, value.tolerance);
  const planner = new ReplicaPlanner(value, fleet);
  const shards = new Map(value.shards);
  let steps = 0;
  for (const [shard, placement] of value.shards) {
    const record = fleet.membership.get(`key/${shard}`) as ShardOwnerRecord | undefined;
    const owner = record?.gen === placement.gen ? record : undefined;
    const next = planner.next({ shard, placement, target: targets.get(shard)!, owner });
    if (!next) continue;
    shards.set(shard, next);
    steps++;
  }
  return steps ? { next: { ...value, shards }, why: `${steps} copies move` } : undefined;
}

class ReplicaPlanner {
  /** Shards whose copies move though none is lost. */
  private moving = 0;
  /** Whether each machine that has copies is there: what stands empty may be wanted for one that is not. */
  private readonly allLive: boolean;
  /** Whether every machine that has copies takes shards by `fenceQuorum`. */
  private readonly jointFences: boolean;

  constructor(
    private value: FleetValue,
    private fleet: FleetView,
  ) {
    const held = new Set([...value.shards.values()].flatMap((placement) => placement.copies));
    const active = [...held].filter((disk) => value.disks.get(disk)?.state === 'active');
    this.allLive = active.every((disk) => liveMember(fleet, disk));
    this.jointFences = fleet.membership.liveMembers().every((member) => !member.disk || member.jointFences === true);
  }

  next(view: ShardView): Placement | undefined {
    const { placement, target, owner } = view;
    if (!placement.copies.length) return { gen: placement.gen + 1, copies: target };
    const missing = target.filter((disk) => !placement.copies.includes(disk));
    const extra = placement.copies.filter((disk) => !target.includes(disk));
    const lost = extra.find((disk) => this.isLost(disk));
    const urgent = lost ?? extra.find((disk) => this.isLeaving(disk));
    const settled = this.settled(view);
    if (settled && !urgent) return settled;
    const pending = placement.previous !== undefined || placement.retained !== undefined;
    if (!missing.length && !extra.length && !pending) return undefined;
    if (!urgent && ++this.moving > PLACEMENT.movingShardLimit) return undefined;
    // The last step must be established before the next: the majorities of just two generations are heeded.
    if (!owner) return undefined;
    const fresh = missing.filter((disk) => liveMember(this.fleet, disk));
    if (fresh.length && urgent) return this.replace(placement, urgent, fresh);
    if (pending) return undefined;
    if (missing.length) return this.move(view, extra, fresh);
    return extra.length ? this.remove(view, lost ?? extra[0]!) : undefined;
  }

  private isLost(disk: string): boolean {
    return this.value.disks.get(disk)?.state === 'lost';
  }

  /** Whether the disk's process is about to end: unlike one that is emptied it can't wait for the other copies. */
  private isLeaving(disk: string): boolean {
    return this.value.disks.get(disk)?.state === 'leaving';
  }

  /** Whether these copies have the shard's history now, by what its owner says. One whose owner is not there is not known to. */
  private inSync(view: ShardView, disks: string[]): boolean {
    const { owner } = view;
    if (!owner || !this.fleet.membership.isLive(owner.peer)) return false;
    return disks.every((disk) => liveMember(this.fleet, disk) && !owner.behind.includes(disk));
  }

  /** Once all copies have the history, the copies before are needed no more, and a replaced disk may let go of what it kept. */
  private settled(view: ShardView): Placement | undefined {
    const { gen, copies, previous, retained } = view.placement;
    if (!previous && !retained) return undefined;
    return this.inSync(view, copies) ? { gen, copies } : undefined;
  }

  /** One copy in the place of another, in one step. */
  private replace(placement: Placement, gone: string, fresh: string[]): Placement | undefined {
    const { gen, copies, retained } = placement;
    if (!this.jointFences) return { gen: gen + 1, copies: [...copies, fresh[0]!] };
    const kept = this.isLost(gone) ? (retained ?? []) : [...(retained ?? []), gone];
    return this.successor(
      placement,
      copies.map((disk) => (disk === gone ? fresh[0]! : disk)),
      kept,
    );
  }

  /** A step that nothing forces: it is made only while all that stays has the history, and no machine is away that may be lost. */
  private move(view: ShardView, extra: string[], fresh: string[]): Placement | undefined {
    const { placement } = view;
    const leaving = extra.find((disk) => this.value.disks.get(disk)?.state === 'emptying');
    const gone = leaving ?? extra[0];
    if (!fresh.length || (!this.allLive && !leaving)) return undefined;
    if (
      !this.inSync(
        view,
        placement.copies.filter((disk) => disk !== gone),
      )
    )
      return undefined;
    if (gone !== undefined) return this.replace(placement, gone, fresh);
    // Two at once, where there are two: an even number needs a larger majority and bears no more losses.
    const odd = placement.copies.length % 2 === 1;
    const count = odd && this.jointFences ? 2 : 1;
    return this.successor(placement, [...placement.copies, ...fresh.slice(0, count)], placement.retained ?? []);
  }

  /** A copy that is one too many; a lost one's place is kept while there is none to fill it. */
  private remove(view: ShardView, gone: string): Placement | undefined {
    const { shard, placement, target } = view;
    const wanted = desiredReplicaCount(this.value.config, shard, this.value.copies);
    if (isAwaitingReplacement(this.value, placement.copies, wanted) || !this.inSync(view, target)) return undefined;
    return this.successor(
      placement,
      placement.copies.filter((disk) => disk !== gone),
      [],
    );
  }

  private successor(placement: Placement, copies: string[], retained: string[]): Placement {
    const next: Placement = { gen: placement.gen + 1, copies };
    if (!majoritiesIntersect(placement.copies, copies)) next.previous = placement.copies;
    if (retained.length) next.retained = retained;
    return next;
  }
}
