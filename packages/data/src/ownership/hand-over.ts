/** Hand-over of a shard between two live nodes: the current owner serves until its replica promises the fence of the next one. */
import type { MembershipTable } from '@harecross/control';
import {
  HarecrossError,
  MEMBERSHIP,
  REQUEST,
  SHARD,
  sleep,
  toErrorDetails,
  type Kernel,
  type RequestContext,
} from '@harecross/kernel';
import { parseFence, type Fence } from '@harecross/state';
import type { ReplicaStore } from '../replication/replica-store.js';
import type { ShardAssignment } from './shard-assignment.js';
import type { ShardElection } from './shard-election.js';
import type { ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** A node asks the owner for permission to take a shard to its disk. Wire format. */
interface YieldRequest {
  shard: number;
  disk: string;
}

/** An owner asks another node to take a shard. `fence` is the owner's, by which a late or repeated request is recognized. Wire format. */
interface TakeShardRequest {
  shard: number;
  fence?: Fence;
}

/** Hands shards over to other nodes, and requests those that are assigned to this node. */
export class HandOver {
  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly replicas: ReplicaStore,
    private readonly shards: ShardTable,
    private readonly assignment: ShardAssignment,
    private readonly election: ShardElection,
  ) {
    kernel.on('Yield', (request: YieldRequest, sender) => this.mayYield(request, sender));
    kernel.on('TakeKey', async (request: TakeShardRequest) => {
      const shard = shards.get(request.shard);
      if (!this.wasTakenSince(shard, request.fence)) await election.run(shard);
      return shard.phase === 'owner';
    });
  }

  /** Asks a node to take a shard that this node still owns under an older placement. */
  offer(shard: ShardState, peer: string): void {
    this.kernel.call(peer, 'TakeKey', this.takeRequest(shard)).catch(() => undefined);
  }

  /** Asks the owner for permission to take a shard, and runs an election if it agrees or can't serve. */
  async request(shard: ShardState, owner: string): Promise<void> {
    const request: YieldRequest = { shard: shard.id, disk: this.replicas.disk };
    try {
      if (await this.kernel.callAnyPath<boolean>(owner, 'Yield', request)) await this.election.run(shard);
    } catch (error) {
      // not_owner: the announcement known here is outdated. After any other error the election runs only if the owner is unreachable or
      // not available. That may be just the link from here to it: the fence decides which of the two owns the shard.
      const { tag } = toErrorDetails(error, 'Yield', owner);
      if (tag === 'not_owner' || tag === 'unreachable' || !this.membership.isAvailable(owner))
        await this.election.run(shard);
    }
  }

  /**
   * Whether this node's replica promised the shard to another node within the last `SHARD.steadyAssignmentMs`, and that node is not known to
   * be unable to serve. Its announcement may still be on the way, and with an election at once the two nodes might keep taking the shard
   * from each other.
   */
  wasRecentlyPromisedToOther(shard: ShardState, now: number): boolean {
    const promised = shard.promisedTo;
    if (!promised || now - promised.at > SHARD.steadyAssignmentMs) return false;
    const member = this.membership.members.get(promised.peer);
    if (member === undefined) return true;
    return member.state === 'live' && (member.condition === 'ready' || member.condition === 'joining');
  }

  /** Hands all owned shards over to other nodes, before this node stops. */
  async handOverAll(): Promise<void> {
    const owned = this.shards.owned();
    if (!owned.length) return;
    const owners = this.assignment.owners({ without: this.replicas.disk });
    await Promise.all(owned.map((shard) => this.handOver(shard, owners.get(shard.id))));
    // Keeps running for this time to redirect callers that still send requests here.
    await sleep(this.kernel.host.clock, SHARD.redirectMs);
  }

  /** Has another node take a shard. This node serves until it is fenced, so that callers wait only for the election. */
  private async handOver(shard: ShardState, assigned: string | undefined): Promise<void> {
    const { clock } = this.kernel.host;
    const until = clock.now() + SHARD.handOverMs;
    const candidates = this.candidates(shard, assigned);
    for (let i = 0; candidates.length && shard.phase === 'owner' && clock.now() < until; i++) {
      const peer = this.assignment.availablePeer(candidates[i % candidates.length]!) ?? '';
      const taken = await this.kernel
        .call<boolean>(peer, 'TakeKey', this.takeRequest(shard), MEMBERSHIP.callTimeoutMs)
        .catch(() => false);
      if (!taken && shard.phase === 'owner') await sleep(clock, REQUEST.ownerRetryMs);
    }
  }

  /** Disks that may take a shard: caught-up replicas first, and the assigned disk first within each group. */
  private candidates(shard: ShardState, assigned: string | undefined): string[] {
    const rank = (disk: string): number => (this.isCaughtUp(shard, disk) ? 0 : 2) + (disk === assigned ? 0 : 1);
    return shard.replicas
      .filter((disk) => disk !== this.replicas.disk && this.assignment.availablePeer(disk) !== undefined)
      .sort((one, other) => rank(one) - rank(other));
  }

  /** Answers whether the sender may take the shard now. This node serves until it is fenced. */
  private mayYield({ shard: id, disk }: YieldRequest, sender: RequestContext): boolean {
    const shard = this.shards.get(id);
    if (shard.phase !== 'owner') throw new HarecrossError({ tag: 'not_owner', step: 'Yield', peer: this.kernel.self });
    if (!shard.replicas.includes(disk) || !this.isCaughtUp(shard, disk)) return false;
    const { clock } = this.kernel.host;
    // A node that joined only recently may leave again soon. That is no reason to keep the shard if this node is leaving or can't serve.
    if (!this.isSteady(sender) && this.membership.isAvailable(this.kernel.self)) return false;
    if ((shard.yieldRefusedUntil.get(disk) ?? 0) > clock.now()) return false;
    const { fence } = shard;
    clock.after(SHARD.yieldTimeoutMs, () => {
      if (shard.phase === 'owner' && shard.fence === fence) this.refuseTemporarily(shard, disk);
    });
    return true;
  }

  /** Whether the sender's process has been live for `SHARD.steadyAssignmentMs`. */
  private isSteady(sender: RequestContext): boolean {
    const member = this.membership.members.get(sender.peer);
    if (member === undefined || member.inst !== sender.instanceId || member.state !== 'live') return false;
    return this.kernel.host.clock.now() - member.liveSince >= SHARD.steadyAssignmentMs;
  }

  /** Refuses requests for a shard from a disk whose node was allowed to take it but did not. */
  private refuseTemporarily(shard: ShardState, disk: string): void {
    const now = this.kernel.host.clock.now();
    for (const [other, until] of shard.yieldRefusedUntil) if (until <= now) shard.yieldRefusedUntil.delete(other);
    shard.yieldRefusedUntil.set(disk, now + SHARD.yieldRefusalMs);
    this.kernel.incrementCounter('key.yielded_in_vain');
  }

  /** Whether a replica lacks no more than one append of the log, so that taking the shard needs no long fetch. */
  private isCaughtUp(shard: ShardState, disk: string): boolean {
    return (shard.matchIndex.get(disk) ?? 0) >= shard.lastIndex() - SHARD.appendEntryLimit;
  }

  /**
   * Whether this or another node has taken the shard since its owner had that fence, so that the request is late or a repeat. A failed
   * attempt of this node does not count. A request without a fence is always carried out.
   */
  private wasTakenSince(shard: ShardState, fence: Fence | undefined): boolean {
    const { promised } = this.replicas.get(shard.id);
    if (fence === undefined || promised <= fence) return false;
    return shard.phase === 'owner' || parseFence(promised).peer !== this.kernel.self;
  }

  private takeRequest(shard: ShardState): TakeShardRequest {
    return { shard: shard.id, fence: shard.fence };
  }
}
