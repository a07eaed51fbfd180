/**
 * Election of a shard's owner. A candidate has a quorum of replicas promise a fencing token higher than all before, adopts the longest
 * valid history among them, and owns the shard once a majority has its first entry, the barrier.
 */
import { hasFenceQuorum, type ConsensusRegister, type Placement } from '@harecross/control';
import { BoundedQueue, SHARD, collectUntil, sleep, toErrorDetails, withTimeout, type Kernel } from '@harecross/kernel';
import { fenceAt, lastFence, lastIdx, makeFence, outlineOf, parseFence, type Fence } from '@harecross/state';
import type { FenceAnswer, FetchAnswer, FetchRequest, ReplicaStore } from '../replication/replica-store.js';
import type { Replication } from '../replication/replication.js';
import type { OwnershipPhase, ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Maximum rounds of one election. Each round asks for a higher fence than those for which replicas refused the round before. */
const ELECTION_ROUNDS = 4;
/** Pause between two rounds (ms): the minimum, and the range of the random part added to it. */
const ROUND_PAUSE_MS = 20;
const ROUND_PAUSE_SPREAD_MS = 60;
/** Matches no fence, so that a replica of an earlier version returns its whole history. */
const UNKNOWN_FENCE = '?';

/** An item of a `Fence` request: a shard and the fencing token to promise. Wire format. */
interface FenceItem {
  shard: number;
  fence: Fence;
}

/** Fence requests to one disk that were made in the same tick, sent as one call. */
interface FenceBatch {
  items: FenceItem[];
  answers: Promise<FenceAnswer[]>;
}

type FencePromise = Extract<FenceAnswer, { ok: true }>;

/** A part of a shard's history that a candidate lacks. */
interface MissingPart {
  peer: string;
  fence: Fence;
  request: FetchRequest;
}

/** What became of it. */
interface FetchResult {
  /** False if the candidate's replica has promised a higher fence meanwhile. */
  isAdopted: boolean;
  entryCount: number;
}

/** Runs elections in which this node is the candidate. */
export class ShardElection {
  private readonly batches = new Map<string, FenceBatch>();
  /** All that wait are elections under way, of which there is one for each shard at most. */
  private readonly fetches = new BoundedQueue<MissingPart, FetchResult>(Infinity, SHARD.fetchConcurrency, (part) =>
    this.fetch(part),
  );

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
    private readonly replication: Replication,
    private readonly shards: ShardTable,
  ) {}

  /**
   * Tries to become the owner of a shard. Its phase afterwards tells the outcome: `owner`, or `none` when another node won or no quorum
   * promised.
   */
  async run(shard: ShardState): Promise<void> {
    if (shard.phase === 'taking' || shard.phase === 'confirming') return;
    const placement = this.register.value?.shards.get(shard.id);
    if (!placement || !placement.copies.includes(this.replicas.disk)) return;
    if (shard.phase !== 'none') this.shards.setPhase(shard, 'none');
    this.shards.setPhase(shard, 'taking');
    try {
      await this.runRounds(shard, placement);
    } catch (error) {
      this.kernel.incrementCounter('key.take_failed');
      const details = toErrorDetails(error, 'take', this.kernel.self);
      if (details.tag === 'internal') this.kernel.host.log.warn('shard election failed', { fault: details });
    } finally {
      const phase = shard.phase as OwnershipPhase;
      if (phase === 'taking' || phase === 'confirming') this.shards.setPhase(shard, 'none');
    }
  }

  private async runRounds(shard: ShardState, placement: Placement): Promise<void> {
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

  /** Asks the replicas of the placement, and those of the previous one while they may be needed for a quorum, to promise a fence. */
  private requestFence(shardId: number, placement: Placement, fence: Fence): Promise<FenceAnswer[]> {
    const disks = [...new Set([...placement.copies, ...(placement.previous ?? [])])];
    const calls = disks.map((disk) => this.requestFenceFrom(disk, shardId, fence));
    return collectUntil(calls, (answers) => this.isQuorum(placement, answers));
  }

  /** Whether the promises are a fence quorum of the placement and include that of this node's own replica. */
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
    if (!peer) return Promise.reject(new Error('no known address for the disk'));
    return this.kernel.call<FenceAnswer[]>(peer, 'Fence', { disk, items });
  }

  /** Completes this node's replica, appends the barrier and becomes the owner once a majority has it. */
  private async becomeOwner(
    shard: ShardState,
    fence: Fence,
    placement: Placement,
    promises: FencePromise[],
  ): Promise<void> {
    if (!(await this.completeHistory(shard, fence, promises))) return;
    const replica = this.replicas.get(shard.id);
    if (replica.promised !== fence) return;
    shard.beginOwnership(fence, placement, replica);
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

  /**
   * Brings this node's replica to the longest valid history among the promises, part by part; false when it has promised a higher fence
   * meanwhile, or when the other replica does not have that history any more.
   */
  private async completeHistory(shard: ShardState, fence: Fence, promises: FencePromise[]): Promise<boolean> {
    const own = this.replicas.get(shard.id);
    const best = promises.reduce((one, other) => (hasLongerHistory(other, one) ? other : one));
    const peer = this.register.peerOf(best.disk)!;
    while (best.lastFence !== lastFence(own) || best.lastIdx !== lastIdx(own)) {
      const before = lastIdx(own);
      const from = Math.min(before, best.lastIdx);
      const request: FetchRequest = {
        disk: best.disk,
        shard: shard.id,
        from,
        fromFence: fenceAt(own, from) ?? UNKNOWN_FENCE,
        outline: outlineOf(own),
      };
      const { isAdopted, entryCount } = (await this.fetches.offer({ peer, fence, request }))!;
      if (!isAdopted) return false;
      if (!entryCount && lastIdx(own) === before) return false;
    }
    return true;
  }

  private async fetch({ peer, fence, request }: MissingPart): Promise<FetchResult> {
    const fetched = await this.kernel.call<FetchAnswer>(peer, 'Fetch', request, SHARD.snapshotTimeoutMs);
    const isAdopted = await this.replicas.adoptHistory(request.shard, fence, fetched, request.from);
    return { isAdopted, entryCount: fetched.entries.length };
  }
}

/** Of two histories the one with the higher last fence is valid; with the same last fence the longer one contains the other. */
function hasLongerHistory(one: FencePromise, other: FencePromise): boolean {
  return one.lastFence > other.lastFence || (one.lastFence === other.lastFence && one.lastIdx > other.lastIdx);
}
