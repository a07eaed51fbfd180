/** Accepts publishes at the owner of a shard: once, in each sender's order, and only when a majority of the replicas has synced them. */
import { incarnationOf, type ConsensusRegister } from '@harecross/control';
import {
  BoundedQueue,
  HarecrossError,
  REQUEST,
  SHARD,
  assertNever,
  jitteredRetryMs,
  type Kernel,
  type QueueInfo,
} from '@harecross/kernel';
import { urgencyOf } from '@harecross/schema';
import { senderKey } from '@harecross/state';
import type { Replication } from '../replication/replication.js';
import { FORGOTTEN_STEP, type OwnershipPhase, type SequenceOutcome, type ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Publishes that one owner works on at once. */
const PUBLISH_CONCURRENCY = 512;
/** Publishes are appended while the barrier is still on its way; they are committed after it. */
const ACCEPTING: OwnershipPhase[] = ['confirming', 'owner'];

/**
 * A relay's publish. `after` is a number of the same sender and topic that must be stored first: it was sent before this one. Wire
 * format.
 */
export interface PublishRequest {
  sender: string;
  topic: string;
  seq: number;
  body: string;
  after?: number;
}

/** Where an accepted message stands in its topic. Wire format. */
export interface PublishAnswer {
  offset: number;
}

/** The bounded queue of publishes at an owner, and what becomes of each. */
export class PublishHandler {
  private readonly queue: BoundedQueue<PublishRequest, PublishAnswer>;

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
    private readonly replication: Replication,
  ) {
    this.queue = new BoundedQueue(SHARD.ownerQueueLimit, PUBLISH_CONCURRENCY, (request) => this.publish(request));
    kernel.on('Publish', (request: PublishRequest) => this.enqueue(request), true);
  }

  /** Sets the bound of the queue; operators have no need of it, trials do. */
  resizeQueue(limit: number): void {
    this.queue.resize(limit);
  }

  queueInfo(): QueueInfo {
    return this.queue.describe('publish');
  }

  private enqueue(request: PublishRequest): Promise<PublishAnswer> {
    const family = this.shards.family(request.topic, 'Publish');
    const isUrgent = urgencyOf(this.register.value!.config, family) === 'urgent';
    const answer = this.queue.offer(request, isUrgent);
    if (answer) return answer;
    throw new HarecrossError({
      tag: 'overloaded',
      step: 'Publish',
      peer: this.kernel.self,
      retryAfterMs: this.retryMs(),
    });
  }

  /**
   * Accepts a publish, or gives the outcome of one that came before. Fails with `too_large`, `stale_seq` (a higher number was stored: it
   * never will be), `outcome_unknown`, and with `not_owner`, `not_ready` or `fenced` where another node may do better.
   */
  private async publish(request: PublishRequest): Promise<PublishAnswer> {
    const { topic, sender, seq } = request;
    if (this.shards.ofTopic(topic).phase === 'taking')
      await this.shards.awaitPhase(this.shards.ofTopic(topic), ACCEPTING);
    const family = this.shards.family(topic, 'Publish');
    let shard = this.shards.serving(topic, 'Publish', ACCEPTING);
    const limit = family.limits?.bodyBytes ?? REQUEST.bodyBytes;
    if (Buffer.byteLength(request.body) > limit)
      throw new HarecrossError({ tag: 'too_large', step: 'Publish', peer: this.kernel.self, limit });
    if (request.after !== undefined && shard.outcomeOf(topic, sender, request.after).tag === 'new') {
      this.kernel.incrementCounter('publish.followed');
      await this.awaitPredecessor(shard, request, request.after);
      shard = this.shards.serving(topic, 'Publish', ACCEPTING);
    }
    const outcome = shard.outcomeOf(topic, sender, seq);
    return outcome.tag === 'new' ? this.append(shard, request) : this.repeat(shard, outcome);
  }

  private async append(shard: ShardState, request: PublishRequest): Promise<PublishAnswer> {
    const incarnation = incarnationOf(this.register.value!.incarnations, request.topic)!;
    const entry = shard.append(request, incarnation, this.kernel.host.clock.now());
    queueMicrotask(() => this.replication.replicate(shard, false));
    await this.shards.awaitCommit(shard, entry.idx);
    this.kernel.incrementCounter('publish.accepted');
    return { offset: entry.off };
  }

  /** The outcome of a number that came before. */
  private async repeat(shard: ShardState, outcome: Exclude<SequenceOutcome, { tag: 'new' }>): Promise<PublishAnswer> {
    const peer = this.kernel.self;
    switch (outcome.tag) {
      case 'stored':
        this.kernel.incrementCounter('publish.again');
        if (outcome.idx > shard.commitIndex) await this.shards.awaitCommit(shard, outcome.idx);
        return { offset: outcome.off };
      case 'passed':
        // The final no holds only once the higher number is committed: then every later owner knows of it.
        if (outcome.idx > shard.commitIndex) await this.shards.awaitCommit(shard, outcome.idx);
        this.kernel.incrementCounter('publish.stale');
        throw new HarecrossError({ tag: 'stale_seq', step: 'Publish', peer, last: outcome.above });
      case 'forgotten':
        this.kernel.incrementCounter('publish.forgotten');
        throw new HarecrossError({ tag: 'outcome_unknown', step: FORGOTTEN_STEP, peer, retryAfterMs: this.retryMs() });
      default:
        return assertNever(outcome);
    }
  }

  /** Waits until the number that a publish must follow is here; for a moment only, because it may have been given up. */
  private awaitPredecessor(shard: ShardState, request: PublishRequest, after: number): Promise<void> {
    const key = senderKey(request.topic, request.sender);
    return new Promise((resolve, reject) => {
      const waiting = shard.outOfOrder.get(key) ?? [];
      shard.outOfOrder.set(key, waiting);
      const stopWaiting = (): void => {
        waiting.splice(waiting.indexOf(publish), 1);
        if (!waiting.length && shard.outOfOrder.get(key) === waiting) shard.outOfOrder.delete(key);
      };
      const publish = {
        after,
        resume: (): void => {
          cancelTimer();
          stopWaiting();
          resolve();
        },
      };
      const cancelTimer = this.kernel.host.clock.after(SHARD.predecessorWaitMs, () => {
        stopWaiting();
        this.kernel.incrementCounter('publish.early');
        const retryAfterMs = this.retryMs();
        reject(new HarecrossError({ tag: 'not_ready', step: 'follow', peer: this.kernel.self, retryAfterMs }));
      });
      waiting.push(publish);
    });
  }

  private retryMs(): number {
    return jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
  }
}
