/** Hand-over of shards between nodes that both live: the present owner serves until the next one's fence reaches it. */
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

/** A node asks the owner whether it may take a shard with its disk. Wire format. */
interface YieldRequest {
  shard: number;
  disk: string;
}

/** An owner asks another node to take a shard. `fence` is the one that the owner has, so that a repeat is told apart. Wire format. */
interface TakeShardRequest {
  shard: number;
  fence?: Fence;
}

/** Gives shards to nodes that should have them, and asks for those that this node should have. */
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

  /** Asks a node to take a shard that we still own under an older placement. */
  offer(shard: ShardState, peer: string): void {
    this.kernel.call(peer, 'TakeKey', this.takeRequest(shard)).catch(() => undefined);
  }

  /** Asks the owner to let us take a shard, and takes it if we may or if the owner can't serve. */
  async request(shard: ShardState, owner: string): Promise<void> {
    const request: YieldRequest = { shard: shard.id, disk: this.replicas.disk };
    try {
      if (await this.kernel.callAnyPath<boolean>(owner, 'Yield', request)) await this.election.run(shard);
    } catch (error) {
      // not_owner: what we heard of the owner is old. One that calls itself unable is not waited for: it may be our link to it that is
      // broken. We take the shard, the fence decides.
      const { tag } = toErrorDetails(error, 'Yield', owner);
      if (tag === 'not_owner' || tag === 'unreachable' || !this.membership.isAvailable(owner))
        await this.election.run(shard);
    }
  }

  /**
   * Whether our replica promised the shard to another a moment ago whom we don't know to be unable: we may not have heard that it owns
   * it, and who takes a shard back at once from the one that has just taken it starts a quarrel.
   */
  wasJustPromisedAway(shard: ShardState, now: number): boolean {
    const promised = shard.promisedTo;
    if (!promised || now - promised.at > SHARD.steadyAssignmentMs) return false;
    const member = this.membership.members.get(promised.peer);
    if (member === undefined) return true;
    return member.state === 'live' && (member.condition === 'ready' || member.condition === 'joining');
  }

  /** Before a stop: has other nodes take all shards that we own. */
  async giveAll(): Promise<void> {
    const owned = this.shards.owned();
    if (!owned.length) return;
    const owners = this.assignment.owners({ without: this.replicas.disk });
    await Promise.all(owned.map((shard) => this.give(shard, owners.get(shard.id))));
    // Who still comes is told where to go.
    await sleep(this.kernel.host.clock, SHARD.redirectMs);
  }

  /** Has another node take a shard. We serve until its fence reaches us, so that nobody waits longer than the taking itself. */
  private async give(shard: ShardState, assigned: string | undefined): Promise<void> {
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

  /** Disks that may take a shard: those with its history first, and among them the assigned one. */
  private candidates(shard: ShardState, assigned: string | undefined): string[] {
    const rank = (disk: string): number => (this.isCaughtUp(shard, disk) ? 0 : 2) + (disk === assigned ? 0 : 1);
    return shard.replicas
      .filter((disk) => disk !== this.replicas.disk && this.assignment.availablePeer(disk) !== undefined)
      .sort((one, other) => rank(one) - rank(other));
  }

  /** Whether another may take the shard from us now. We serve until its fence reaches us. */
  private mayYield({ shard: id, disk }: YieldRequest, sender: RequestContext): boolean {
    const shard = this.shards.get(id);
    if (shard.phase !== 'owner') throw new HarecrossError({ tag: 'not_owner', step: 'Yield', peer: this.kernel.self });
    if (!shard.replicas.includes(disk) || !this.isCaughtUp(shard, disk)) return false;
    const { clock } = this.kernel.host;
    // Who came back only just may go again; but we are no better if we are leaving or can't serve.
    if (!this.isSteady(sender) && this.membership.isAvailable(this.kernel.self)) return false;
    if ((shard.yieldRefusedUntil.get(disk) ?? 0) > clock.now()) return false;
    const { fence } = shard;
    clock.after(SHARD.yieldTimeoutMs, () => {
      if (shard.phase === 'owner' && shard.fence === fence) this.refuseForAWhile(shard, disk);
    });
    return true;
  }

  private isSteady(sender: RequestContext): boolean {
    const member = this.membership.members.get(sender.peer);
    if (member === undefined || member.inst !== sender.inst || member.state !== 'live') return false;
    return this.kernel.host.clock.now() - member.liveSince >= SHARD.steadyAssignmentMs;
  }

  /** Who asked for a shard and did not take it has to wait before it may ask again. */
  private refuseForAWhile(shard: ShardState, disk: string): void {
    const now = this.kernel.host.clock.now();
    for (const [other, until] of shard.yieldRefusedUntil) if (until <= now) shard.yieldRefusedUntil.delete(other);
    shard.yieldRefusedUntil.set(disk, now + SHARD.yieldRefusalMs);
    this.kernel.incrementCounter('key.yielded_in_vain');
  }

  /** Whether a replica has (nearly) all that we have: taking the shard costs its disk no long fetch. */
  private isCaughtUp(shard: ShardState, disk: string): boolean {
    return (shard.matchIndex.get(disk) ?? 0) >= shard.lastIndex() - SHARD.appendEntryLimit;
  }

  /**
   * Whether this node or another has taken the shard since its owner had that fence: the request came late or twice. An own attempt that
   * came to nothing is none. Requests of nodes that do not tell their fence are carried out.
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
