import {
  HarecrossError,
  Kernel,
  REQUEST,
  RetryBudget,
  jitteredRetryMs,
  assertRepeatable,
  registerPlugin,
  shardOf,
  toErrorDetails,
  withTimeout,
  type ErrorDetails,
  type RepeatablePeerRpc,
} from '@harecross/kernel';
import { notReadyError, type MembershipTable, type ShardOwnerRecord, type ConsensusRegister } from '@harecross/control';
import { familyOf, urgencyOf } from '@harecross/schema';
import { parseFence, senderKey, type Fence } from '@harecross/state';
import { Subject } from 'rxjs';
import { FORGOTTEN_STEP } from '../ownership/shard-state.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    route: ShardRouter;
  }
}

/** A publish in flight; `abandoned` once an earlier one of the same sender and topic was rejected and its caller will retry it. */
interface InFlightPublish {
  seq: number;
  abandoned: boolean;
  settled: Promise<void>;
}

/**
 * Finds the owner of a topic's shard and sends requests to it, with retries while the shard's ownership changes.
 * @example
 * await k.use('route').publish({ sender: 'desk', topic: 'pay/7', seq: 12, body: 'paid' }, 2_000); // { offset: 41 }
 * await k.use('route').callOwner('pay/7', 'Open', () => ({ topic: 'pay/7', confirm: true }), 2_000);
 */
export class ShardRouter {
  private knownOwners = new Map<number, { fence: Fence; peer: string }>();
  /** Shards whose replicas are asked for the owner in the next round. */
  private shardsToLocate = new Set<number>();
  private lastLocateAt = -Infinity;
  private locateScheduled = false;
  /** Publishes in flight, by sender and topic. */
  private inFlight = new Map<string, Set<InFlightPublish>>();
  /**
   * The lowest rejected sequence number by sender and topic. Until `until`, higher numbers may arrive that the sender sent before it
   * knew of the rejection; they are rejected too.
   */
  private rejections = new Map<string, { seq: number; until: number }>();
  /** When a slow owner was last probed; times older than `REQUEST.slowAgainMs` are removed at the next probe. */
  private lastProbeAt = new Map<string, number>();
  private retryBudget: RetryBudget;
  /** Emits a shard when this node learns of a new owner. */
  readonly ownerChanged$ = new Subject<number>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
  ) {
    this.retryBudget = new RetryBudget(kernel.host.clock, {
      perS: REQUEST.retriesPerS,
      share: REQUEST.retriesShare,
      burst: REQUEST.retryBurstLimit,
    });
    kernel.addSubscription(
      membership.factChanged$.subscribe((key) => {
        if (!key.startsWith('key/')) return;
        const record = membership.get(key) as ShardOwnerRecord;
        this.learnOwner(Number(key.slice(4)), record.fence, record.peer);
      }),
    );
  }

  /** Records a shard's owner unless one with the same or a higher fence is known. */
  private learnOwner(shard: number, fence: Fence, peer: string): void {
    const known = this.knownOwners.get(shard);
    if (!peer || (known && known.fence >= fence)) return;
    this.knownOwners.set(shard, { fence, peer });
    this.ownerChanged$.next(shard);
  }

  /** The known owner of a shard, if it is live. */
  ownerOf(shard: number): string | undefined {
    const known = this.knownOwners.get(shard);
    return known && this.membership.isLive(known.peer) ? known.peer : undefined;
  }

  /** Looks for a shard's owner in the background: one round for all shards requested within `REQUEST.ownerRetryMs`. */
  locateOwner(shard: number): void {
    this.shardsToLocate.add(shard);
    if (this.locateScheduled) return;
    this.locateScheduled = true;
    const { clock } = this.kernel.host;
    clock.after(Math.max(0, this.lastLocateAt + REQUEST.ownerRetryMs - clock.now()), () => {
      this.locateScheduled = false;
      this.lastLocateAt = clock.now();
      this.askReplicas();
    });
  }

  /** Asks the replicas of each shard to be located for the highest fence that they promised; the fence names the owner. */
  private askReplicas(): void {
    const byPeer = new Map<string, number[]>();
    for (const shard of this.shardsToLocate) {
      for (const disk of this.register.value?.shards.get(shard)?.copies ?? []) {
        const peer = this.register.peerOf(disk);
        if (!peer || !this.membership.isLive(peer)) continue;
        const peerShards = byPeer.get(peer);
        if (peerShards) peerShards.push(shard);
        else byPeer.set(peer, [shard]);
      }
    }
    this.shardsToLocate.clear();
    for (const [peer, shards] of byPeer) {
      this.kernel.call<Fence[]>(peer, 'Who', { shards }, REQUEST.fenceQueryMs).then(
        (fences) => fences.forEach((fence, i) => this.learnOwner(shards[i]!, fence, parseFence(fence).peer)),
        () => undefined, // the other replicas answer
      );
    }
  }

  /** Resolves when a new owner of the shard becomes known, at the latest after `ms`. */
  private waitForOwnerChange(shard: number, ms: number): Promise<void> {
    return new Promise((res) => {
      const finish = (): void => {
        cancel();
        sub.unsubscribe();
        res();
      };
      const cancel = this.kernel.host.clock.after(ms, finish);
      const sub = this.ownerChanged$.subscribe((s) => {
        if (s === shard) finish();
      });
    });
  }

  /**
   * The result of a call to an owner. Fails with `timeout`, outcome unknown, once another node is known to own the shard or the link to
   * the owner broke.
   */
  private abandonIfOwnerChanged<T>(shard: number, peer: string, step: string, call: Promise<T>): Promise<T> {
    const { clock } = this.kernel.host;
    return new Promise((res, rej) => {
      let abandoned = false;
      const abandon = (): void => {
        if (abandoned) return;
        abandoned = true;
        this.kernel.incrementCounter('route.left');
        // An answer that is already on its way still counts.
        clock.after(REQUEST.movedGraceMs, () => rej(new HarecrossError({ tag: 'timeout', step, peer })));
      };
      const sub = this.ownerChanged$.subscribe((changed) => {
        if (changed === shard && this.knownOwners.get(shard)?.peer !== peer) abandon();
      });
      sub.add(
        this.kernel.linkBroken$.subscribe((brokenPeer) => {
          if (brokenPeer === peer) abandon();
        }),
      );
      const cancelSlowTimer = clock.after(REQUEST.slowRequestMs, () => this.probeSlowOwner(peer));
      call.then(res, rej).finally(() => {
        cancelSlowTimer();
        sub.unsubscribe();
      });
    });
  }

  /** Probes an owner that is slow to answer: if it has failed, other nodes should take over its shards soon. */
  private probeSlowOwner(peer: string): void {
    const now = this.kernel.host.clock.now();
    if (peer === this.kernel.self || now - (this.lastProbeAt.get(peer) ?? -Infinity) < REQUEST.slowOwnerProbeMs) return;
    for (const [p, at] of this.lastProbeAt) if (now - at >= REQUEST.slowOwnerProbeMs) this.lastProbeAt.delete(p);
    this.lastProbeAt.set(peer, now);
    this.kernel.incrementCounter('route.slow');
    this.membership.probeNow(peer);
  }

  /**
   * Publishes a message at the owner of its topic. Messages of one sender on one topic stay in the order of their sequence numbers even
   * when several are in flight and some are retried: each attempt names the highest lower number that is still in flight (`after`), and
   * the owner stores the message only after that one. When one is rejected, the later ones are too, so that the caller can retry it.
   */
  async publish(
    message: { sender: string; topic: string; seq: number; body: string },
    timeoutMs: number,
  ): Promise<{ offset: number }> {
    const key = senderKey(message.topic, message.sender);
    const rejection = this.rejections.get(key);
    if (rejection && message.seq <= rejection.seq) this.rejections.delete(key);
    else if (rejection && this.kernel.host.clock.now() < rejection.until) throw notReadyError(this.kernel, 'Publish');
    const { clock } = this.kernel.host;
    const deadline = clock.now() + timeoutMs;
    const senderPublishes = this.inFlight.get(key) ?? new Set();
    this.inFlight.set(key, senderPublishes);
    let settle = (): void => {};
    const mine: InFlightPublish = {
      seq: message.seq,
      abandoned: false,
      settled: new Promise((res) => {
        settle = res;
      }),
    };
    senderPublishes.add(mine);
    try {
      return await this.callOwner<{ offset: number }>(
        message.topic,
        'Publish',
        () => {
          let after: number | undefined;
          for (const other of senderPublishes)
            if (other.seq < message.seq && (after === undefined || other.seq > after)) after = other.seq;
          return after === undefined ? message : { ...message, after };
        },
        timeoutMs,
        mine,
      );
    } catch (e) {
      const error = toErrorDetails(e, 'Publish', this.kernel.self);
      switch (error.tag) {
        case 'not_ready':
        case 'overloaded':
        case 'outcome_unknown':
          // Too old for any node to know its outcome; later publishes need not wait for it.
          if (error.step === FORGOTTEN_STEP) break;
          this.recordRejection(message);
          // Answered in order, so that the caller retries in order.
          await withTimeout(
            clock,
            Math.max(0, Math.min(REQUEST.inOrderAnswerMs, deadline - clock.now())),
            Promise.all([...senderPublishes].filter((other) => other.seq < message.seq).map((other) => other.settled)),
          );
          break;
        default:
          break; // the caller will not retry it
      }
      throw e;
    } finally {
      senderPublishes.delete(mine);
      settle();
      if (!senderPublishes.size && this.inFlight.get(key) === senderPublishes) this.inFlight.delete(key);
    }
  }

  /** Records a rejected publish that the caller will retry: later ones of the same sender and topic must not overtake it. */
  recordRejection(message: { sender: string; topic: string; seq: number }): void {
    const key = senderKey(message.topic, message.sender);
    for (const other of this.inFlight.get(key) ?? []) if (other.seq > message.seq) other.abandoned = true;
    const { clock } = this.kernel.host;
    const rejection = {
      seq: Math.min(message.seq, this.rejections.get(key)?.seq ?? Infinity),
      until: clock.now() + REQUEST.inFlightPublishMs,
    };
    this.rejections.set(key, rejection);
    clock.after(REQUEST.inFlightPublishMs, () => {
      if (this.rejections.get(key) === rejection) this.rejections.delete(key);
    });
  }

  /**
   * Calls the owner of a topic's shard, with retries while the ownership changes. Gives up once the shard had no owner for
   * `REQUEST.noOwnerMs`, the retry budget is used up or `timeoutMs` is over. Fails with `outcome_unknown` when some attempt may have
   * been stored.
   */
  async callOwner<T>(
    topic: string,
    method: RepeatablePeerRpc,
    body: () => unknown,
    timeoutMs: number,
    inFlight?: InFlightPublish,
  ): Promise<T> {
    assertRepeatable(method);
    const { clock, random } = this.kernel.host;
    const shard = shardOf(topic);
    const deadline = clock.now() + timeoutMs;
    let noOwnerSince: number | undefined;
    let maybeStored = false;
    const family = this.register.value && familyOf(this.register.value.config, topic);
    const urgent = family !== undefined && urgencyOf(this.register.value!.config, family) === 'urgent';
    this.retryBudget.recordFirstAttempt();
    const mayRetry = (): boolean => {
      const allowed = this.retryBudget.tryRetry(urgent);
      if (!allowed) this.kernel.incrementCounter('route.budget');
      return allowed;
    };
    for (;;) {
      const remainingMs = deadline - clock.now();
      if (remainingMs <= 0) break;
      const peer = this.ownerOf(shard);
      // The shard had no owner for a while: fails now instead of keeping the caller waiting until its deadline.
      if (noOwnerSince !== undefined && clock.now() - noOwnerSince > REQUEST.noOwnerMs) break;
      if (inFlight?.abandoned) break;
      if (!peer) {
        noOwnerSince ??= clock.now();
        this.locateOwner(shard);
        await this.waitForOwnerChange(shard, Math.min(remainingMs, REQUEST.ownerRetryMs));
        continue;
      }
      const { fence } = this.knownOwners.get(shard)!;
      let error: ErrorDetails;
      try {
        return await this.abandonIfOwnerChanged(
          shard,
          peer,
          method,
          this.kernel.callAnyPath<T>(peer, method, body(), Math.min(REQUEST.ownerAttemptMs, remainingMs)),
        );
      } catch (e) {
        error = toErrorDetails(e, method, peer);
      }
      // Whatever the last attempt was answered, an earlier one may have been stored.
      const finalError = (): HarecrossError =>
        new HarecrossError(
          maybeStored && method === 'Publish'
            ? { tag: 'outcome_unknown', step: method, peer, retryAfterMs: jitteredRetryMs(random, REQUEST.retryMs) }
            : error,
        );
      // An owner's configuration is at least as new as this node's. While the topic is still in this node's, the answer is not yet
      // `unknown_topic`: an owner that is only as far as this node would contradict it.
      const ownerHasNewerConfig =
        error.tag === 'unknown_topic' && familyOf(this.register.value!.config, topic) !== undefined;
      switch (ownerHasNewerConfig ? 'not_ready' : error.tag) {
        case 'unreachable':
        case 'not_ready':
          noOwnerSince ??= clock.now();
          break;
        case 'not_owner':
          noOwnerSince ??= clock.now();
          if (error.tag === 'not_owner' && error.hint) this.learnOwner(shard, error.hint, parseFence(error.hint).peer);
          break;
        case 'fenced':
          if (error.tag === 'fenced') this.learnOwner(shard, error.fence, parseFence(error.fence).peer);
          noOwnerSince = undefined;
          maybeStored = true;
          break;
        case 'timeout':
        case 'cut':
        case 'disk_ill':
        case 'internal':
          noOwnerSince = undefined;
          maybeStored = true;
          break;
        case 'stale_seq':
          // Final for earlier attempts too: a higher number is committed, and this one is not in the history.
          throw new HarecrossError(error);
        default:
          throw finalError();
      }
      if (!mayRetry()) break;
      // A new owner is already known: retries there without a delay.
      if (this.knownOwners.get(shard)!.fence !== fence) continue;
      if (deadline - clock.now() <= REQUEST.ownerRetryMs) break;
      if (!ownerHasNewerConfig) this.locateOwner(shard);
      await this.waitForOwnerChange(shard, REQUEST.ownerRetryMs);
    }
    const retryAfterMs = jitteredRetryMs(random, REQUEST.retryMs);
    throw new HarecrossError(
      maybeStored
        ? { tag: 'outcome_unknown', step: method, peer: this.kernel.self, retryAfterMs }
        : { tag: 'not_ready', step: method, peer: this.kernel.self, retryAfterMs },
    );
  }
}

registerPlugin({
  name: 'route',
  needs: ['membership', 'register'],
  setup: (k) => new ShardRouter(k, k.use('membership'), k.use('register')),
});
