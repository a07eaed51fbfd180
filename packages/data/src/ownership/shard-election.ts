/**
 * Election of a shard's owner. A node takes a shard under a fencing token above all others, with the longest valid history that a quorum
 * of its replicas has, and owns it once a majority has its first entry, the barrier.
 */
import { hasFenceQuorum, type ConsensusRegister, type Placement } from '@harecross/control';
import { SHARD, collectUntil, sleep, toErrorDetails, withTimeout, type Kernel } from '@harecross/kernel';
import { lastFence, lastIdx, makeFence, parseFence, type Fence, type Replica } from '@harecross/state';
import type { FenceAnswer, FetchAnswer, ReplicaStore } from '../replication/replica-store.js';
import type { Replication } from '../replication/replication.js';
import type { OwnershipPhase, ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Rounds in which a node tries to outbid another that takes the same shard. */
const ELECTION_ROUNDS = 4;
/** Pause between two rounds: the least, and how much more at random (ms). */
const ROUND_PAUSE_MS = 20;
const ROUND_PAUSE_SPREAD_MS = 60;
/** Matches no fence: the replica asked gives its whole history. */
const UNKNOWN_FENCE = '?';

/** A request of `Fence`: a shard and the fencing token that is asked for. Wire format. */
interface FenceItem {
  shard: number;
  fence: Fence;
}

/** Fences that are asked of one disk in one moment, in one call. */
interface FenceBatch {
  items: FenceItem[];
  answers: Promise<FenceAnswer[]>;
}

type FencePromise = Extract<FenceAnswer, { ok: true }>;

/** Takes shards for this node. */
export class ShardElection {
  private readonly batches = new Map<string, FenceBatch>();

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
    private readonly replication: Replication,
    private readonly shards: ShardTable,
  ) {}

  /** Tries to take a shard. Its phase tells the outcome: `owner`, or `none` where another was faster or no quorum answered. */
  async run(shard: ShardState): Promise<void> {
    if (shard.phase === 'taking' || shard.phase === 'confirming') return;
    const placement = this.register.value?.shards.get(shard.id);
    if (!placement || !placement.copies.includes(this.replicas.disk)) return;
    if (shard.phase !== 'none') this.shards.setPhase(shard, 'none');
    this.shards.setPhase(shard, 'taking');
    try {
      await this.takeUnder(shard, placement);
    } catch (error) {
      this.kernel.incrementCounter('key.take_failed');
      const details = toErrorDetails(error, 'take', this.kernel.self);
      if (details.tag === 'internal') this.kernel.host.log.warn('take failed', { fault: details });
    } finally {
      const phase = shard.phase as OwnershipPhase;
      if (phase === 'taking' || phase === 'confirming') this.shards.setPhase(shard, 'none');
    }
  }

  private async takeUnder(shard: ShardState, placement: Placement): Promise<void> {
    const { clock, random } = this.kernel.host;
    let highest = parseFence(this.replicas.get(shard.id).promised).number;
    for (let round = 0; round < ELECTION_ROUNDS; round++) {
      const fence = makeFence(placement.gen, highest + 1, `${this.kernel.self}~${this.kernel.instanceId}`);
      const answers = await this.requestFence(shard.id, placement, fence);
      const refusals = answers.flatMap((answer) => (answer.ok ? [] : [parseFence(answer.promised)]));
      for (const refusal of refusals) highest = Math.max(highest, refusal.number);
      if (refusals.some((refusal) => refusal.gen > placement.gen)) return;
      if (this.isQuorum(placement, answers)) {
        const promises = answers.filter((answer) => answer.ok);
        await this.becomeOwner(shard, fence, placement, promises);
        return;
      }
      if (!refusals.length) return;
      highest++;
      await sleep(clock, ROUND_PAUSE_MS + ROUND_PAUSE_SPREAD_MS * random.next());
    }
  }

  /** Asks the replicas, and those of the generation before where they may be needed too, to promise a fence. */
  private requestFence(shardId: number, placement: Placement, fence: Fence): Promise<FenceAnswer[]> {
    const disks = [...new Set([...placement.copies, ...(placement.previous ?? [])])];
    const calls = disks.map((disk) => this.requestFenceFrom(disk, shardId, fence));
    return collectUntil(calls, (answers) => this.isQuorum(placement, answers));
  }

  /** Whether these answers let us take a shard under this placement; our own replica must be among them. */
  private isQuorum(placement: Placement, answers: FenceAnswer[]): boolean {
    const promises = answers
      .filter((answer) => answer.ok)
      .map((answer) => ({ disk: answer.disk, generation: parseFence(answer.lastFence).gen }));
    return promises.some((promise) => promise.disk === this.replicas.disk) && hasFenceQuorum(placement, promises);
  }

  private async requestFenceFrom(disk: string, shardId: number, fence: Fence): Promise<FenceAnswer> {
    let batch = this.batches.get(disk);
    if (!batch) {
      const items: FenceItem[] = [];
      batch = { items, answers: Promise.resolve().then(() => this.sendBatch(disk, items)) };
      this.batches.set(disk, batch);
    }
    const position = batch.items.push({ shard: shardId, fence }) - 1;
    return (await batch.answers)[position]!;
  }

  private sendBatch(disk: string, items: FenceItem[]): Promise<FenceAnswer[]> {
    this.batches.delete(disk);
    const peer = this.register.peerOf(disk);
    if (!peer) return Promise.reject(new Error('no address'));
    return this.kernel.call<FenceAnswer[]>(peer, 'Fence', { disk, items });
  }

  /** Completes our replica's history, writes the barrier and owns the shard once a majority has it. */
  private async becomeOwner(
    shard: ShardState,
    fence: Fence,
    placement: Placement,
    promises: FencePromise[],
  ): Promise<void> {
    if (!(await this.completeHistory(shard, fence, promises))) return;
    const replica = this.replicas.get(shard.id);
    if (replica.promised !== fence) return;
    shard.begin(fence, placement, replica);
    const now = this.kernel.host.clock.now();
    const barrier = shard.appendBarrier(now);
    this.shards.setPhase(shard, 'confirming');
    this.replication.replicate(shard, true);
    await withTimeout(this.kernel.host.clock, SHARD.appendTimeoutMs, this.shards.awaitCommit(shard, barrier));
    const isConfirmed = (shard.phase as OwnershipPhase) === 'confirming' && shard.fence === fence;
    if (!isConfirmed || shard.commitIndex < barrier) return;
    this.shards.setPhase(shard, 'owner');
    this.shards.announce(shard);
  }

  /** Brings our replica to the longest valid history among those that promised; false when a higher fence came meanwhile. */
  private async completeHistory(shard: ShardState, fence: Fence, promises: FencePromise[]): Promise<boolean> {
    const own = this.replicas.get(shard.id);
    const best = promises.reduce((one, other) => (hasLongerHistory(other, one) ? other : one));
    if (best.lastFence === lastFence(own) && best.lastIdx === lastIdx(own)) return true;
    const from = Math.min(lastIdx(own), best.lastIdx);
    const request = { disk: best.disk, shard: shard.id, from, fromFence: fenceBefore(own, from) };
    const peer = this.register.peerOf(best.disk)!;
    const fetched = await this.kernel.call<FetchAnswer>(peer, 'Fetch', request, SHARD.snapshotTimeoutMs);
    return this.replicas.adopt(shard.id, fence, fetched, from);
  }
}

/** Of two histories the one with the higher last fence is valid; under the same fence the longer one has all of the other. */
function hasLongerHistory(one: FencePromise, other: FencePromise): boolean {
  return one.lastFence > other.lastFence || (one.lastFence === other.lastFence && one.lastIdx > other.lastIdx);
}

/** The fence of a replica's entry at an index that it has, or has had. */
function fenceBefore(replica: Replica, index: number): Fence {
  if (index === replica.base.idx) return replica.base.fence;
  if (index > replica.base.idx) return replica.entries[index - replica.base.idx - 1]!.fence;
  return UNKNOWN_FENCE;
}
