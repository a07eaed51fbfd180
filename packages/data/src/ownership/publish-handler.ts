/** Accepts publishes at a shard's owner: exactly once, in each sender's order, and after a majority of the replicas has synced them. */
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

/** Publishes that one owner processes concurrently. */
const PUBLISH_CONCURRENCY = 512;
/** Phases in which publishes are appended. In `confirming` they follow the barrier, and are committed after it. */
const ACCEPTING: OwnershipPhase[] = ['confirming', 'owner'];

/**
 * A publish from a relay. `after`: sequence number of an earlier publish by the same sender on this topic, which must be stored first.
 * Wire format.
 */
export interface PublishRequest {
  sender: string;
  topic: string;
  seq: number;
  body: string;
  after?: number;
}

/** The offset of an accepted message in its topic. Wire format. */
export interface PublishAnswer {
  offset: number;
}

/** Queues publishes at an owner, with a bound, and processes them. */
export class PublishHandler {
  private readonly queue: BoundedQueue<PublishRequest, PublishAnswer>;
  /** Characters of the bodies of publishes that are not answered yet. */
  private pendingBytes = 0;

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
    private readonly replication: Replication,
  ) {
    this.queue = new BoundedQueue(SHARD.ownerQueueLimit, PUBLISH_CONCURRENCY, (request) => this.publish(request));
    kernel.on('Publish', (request: PublishRequest) => this.enqueue(request), true);
  }

  /** Sets the limit of the queue, for tests. */
  resizeQueue(limit: number): void {
    this.queue.resize(limit);
  }

  queueInfo(): QueueInfo {
    return this.queue.describe('publish');
  }

  private enqueue(request: PublishRequest): Promise<PublishAnswer> {
    const family = this.shards.requireFamily(request.topic, 'Publish');
    const isUrgent = urgencyOf(this.register.value!.config, family) === 'urgent';
    const answer = this.hasRoom(request, isUrgent) ? this.queue.offer(request, isUrgent) : undefined;
    if (answer) return this.countBytes(request, answer);
    throw new HarecrossError({
      tag: 'overloaded',
      step: 'Publish',
      peer: this.kernel.self,
      retryAfterMs: this.retryMs(),
    });
  }

  /** Whether the bodies that only memory holds, in the queue and in the tails of the logs, leave room for one more. */
  private hasRoom({ body }: PublishRequest, isUrgent: boolean): boolean {
    const limit = isUrgent ? SHARD.pendingBytesLimit : SHARD.pendingBytesLimit / 2;
    return Math.max(this.pendingBytes, this.shards.tailBytes()) + body.length <= limit;
  }

  private countBytes({ body }: PublishRequest, answer: Promise<PublishAnswer>): Promise<PublishAnswer> {
    this.pendingBytes += body.length;
    return answer.finally(() => {
      this.pendingBytes -= body.length;
    });
  }

  /**
   * Accepts a publish, or returns the outcome of an earlier one with the same sequence number. Fails with `too_large`, with `stale_seq` (a
   * higher number was stored, so this one never will be), with `outcome_unknown`, and with `not_owner`, `not_ready` or `fenced` if a retry,
   * perhaps at another node, may succeed.
   */
  private async publish(request: PublishRequest): Promise<PublishAnswer> {
    const { topic, sender, seq } = request;
    if (this.shards.ofTopic(topic).phase === 'taking')
      await this.shards.awaitPhase(this.shards.ofTopic(topic), ACCEPTING);
    const family = this.shards.requireFamily(topic, 'Publish');
    let shard = this.shards.requireServing(topic, 'Publish', ACCEPTING);
    const limit = family.limits?.bodyBytes ?? REQUEST.bodyBytes;
    if (Buffer.byteLength(request.body) > limit)
      throw new HarecrossError({ tag: 'too_large', step: 'Publish', peer: this.kernel.self, limit });
    if (request.after !== undefined && shard.outcomeOf(topic, sender, request.after).tag === 'new') {
      this.kernel.incrementCounter('publish.followed');
      await this.awaitPredecessor(shard, request, request.after);
      shard = this.shards.requireServing(topic, 'Publish', ACCEPTING);
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

  /** Answers a publish whose sequence number is not new with the outcome of the earlier one. */
  private async repeat(shard: ShardState, outcome: Exclude<SequenceOutcome, { tag: 'new' }>): Promise<PublishAnswer> {
    const peer = this.kernel.self;
    switch (outcome.tag) {
      case 'stored':
        this.kernel.incrementCounter('publish.again');
        if (outcome.idx > shard.commitIndex) await this.shards.awaitCommit(shard, outcome.idx);
        return { offset: outcome.off };
      case 'passed':
        // The rejection is final only once the higher number is committed, because every later owner has that entry then.
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

  /**
   * Waits until the predecessor of a publish is in the log. Fails with `not_ready` after `SHARD.predecessorWaitMs`, because the relay may
   * have given the predecessor up.
   */
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
