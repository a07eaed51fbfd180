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

/** A publish on its way; `dropped` once one before it was given up and will be sent again by its caller. */
interface Sent {
  seq: number;
  dropped: boolean;
  over: Promise<void>;
}

/**
 * Finds the owner of a topic's shard, and passes visits to it while keys change hands.
 * @example
 * await k.use('route').publish({ sender: 'desk', topic: 'pay/7', seq: 12, body: 'paid' }, 2_000); // { offset: 41 }
 * await k.use('route').atOwner('pay/7', 'Open', visit, 2_000);
 */
export class ShardRouter {
  private hints = new Map<number, { fence: Fence; peer: string }>();
  /** Shards whose copies are asked in the next round. */
  private sought = new Set<number>();
  private soughtAt = -Infinity;
  private seeking = false;
  /** Publishes on their way, by sender and topic. */
  private inFlight = new Map<string, Set<Sent>>();
  /** Publishes that were turned away, by sender and topic, and until when later ones were on their way before that was known. */
  private turned = new Map<string, { seq: number; until: number }>();
  /** When a slow owner was last looked at; older times than `REQUEST.slowAgainMs` are dropped with the next. */
  private doubted = new Map<string, number>();
  private budget: RetryBudget;
  /** A shard whose owner changed, as far as we know. */
  readonly ownerChanged$ = new Subject<number>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
  ) {
    this.budget = new RetryBudget(kernel.host.clock, {
      perS: REQUEST.retriesPerS,
      share: REQUEST.retriesShare,
      burst: REQUEST.retryBurstLimit,
    });
    kernel.addSubscription(
      membership.factChanged$.subscribe((key) => {
        if (!key.startsWith('key/')) return;
        const r = membership.get(key) as ShardOwnerRecord;
        this.learnOwner(Number(key.slice(4)), r.fence, r.peer);
      }),
    );
  }

  private learnOwner(shard: number, fence: Fence, peer: string): void {
    const old = this.hints.get(shard);
    if (!peer || (old && old.fence >= fence)) return;
    this.hints.set(shard, { fence, peer });
    this.ownerChanged$.next(shard);
  }

  ownerOf(shard: number): string | undefined {
    const h = this.hints.get(shard);
    return h && this.membership.isLive(h.peer) ? h.peer : undefined;
  }

  /** Looks for an owner in the background: one round for all shards that are sought in one moment. */
  locateOwner(shard: number): void {
    this.sought.add(shard);
    if (this.seeking) return;
    this.seeking = true;
    const { clock } = this.kernel.host;
    clock.after(Math.max(0, this.soughtAt + REQUEST.ownerRetryMs - clock.now()), () => {
      this.seeking = false;
      this.soughtAt = clock.now();
      this.askReplicas();
    });
  }

  /** Asks the copies of all shards sought whom they promised the highest fence. */
  private askReplicas(): void {
    const byPeer = new Map<string, number[]>();
    for (const shard of this.sought) {
      for (const d of this.register.value?.shards.get(shard)?.copies ?? []) {
        const peer = this.register.peerOf(d);
        if (!peer || !this.membership.isLive(peer)) continue;
        const l = byPeer.get(peer);
        if (l) l.push(shard);
        else byPeer.set(peer, [shard]);
      }
    }
    this.sought.clear();
    for (const [peer, shards] of byPeer) {
      this.kernel.call<Fence[]>(peer, 'Who', { shards }, REQUEST.fenceQueryMs).then(
        (fs) => fs.forEach((f, i) => this.learnOwner(shards[i]!, f, parseFence(f).peer)),
        () => undefined, // others answer
      );
    }
  }

  /** Until a shard is known to have another owner, or for so long. */
  private news(shard: number, ms: number): Promise<void> {
    return new Promise((res) => {
      const over = (): void => {
        cancel();
        sub.unsubscribe();
        res();
      };
      const cancel = this.kernel.host.clock.after(ms, over);
      const sub = this.ownerChanged$.subscribe((s) => {
        if (s === shard) over();
      });
    });
  }

  /** A visit at an owner, given up as soon as another is known to have the key: what became of it is then not known. */
  private unlessMoved<T>(shard: number, peer: string, step: string, visit: Promise<T>): Promise<T> {
    const { clock } = this.kernel.host;
    return new Promise((res, rej) => {
      let left = false;
      const leave = (): void => {
        if (left) return;
        left = true;
        this.kernel.incrementCounter('route.left');
        // What was answered before the news stands.
        clock.after(REQUEST.movedGraceMs, () => rej(new HarecrossError({ tag: 'timeout', step, peer })));
      };
      const sub = this.ownerChanged$.subscribe((s) => {
        if (s === shard && this.hints.get(shard)?.peer !== peer) leave();
      });
      sub.add(
        this.kernel.linkBroken$.subscribe((p) => {
          if (p === peer) leave();
        }),
      );
      const slow = clock.after(REQUEST.slowRequestMs, () => this.doubt(peer));
      visit.then(res, rej).finally(() => {
        slow();
        sub.unsubscribe();
      });
    });
  }

  /** An owner that takes long to answer: others should have its keys soon if it is gone. */
  private doubt(peer: string): void {
    const now = this.kernel.host.clock.now();
    if (peer === this.kernel.self || now - (this.doubted.get(peer) ?? -Infinity) < REQUEST.slowOwnerProbeMs) return;
    for (const [p, at] of this.doubted) if (now - at >= REQUEST.slowOwnerProbeMs) this.doubted.delete(p);
    this.doubted.set(peer, now);
    this.kernel.incrementCounter('route.slow');
    this.membership.probeNow(peer);
  }

  /**
   * A publish at the owner of its topic. Those of one sender on one topic stay in the order of their numbers, though several are on
   * their way and some have to be tried again: each try names the highest number before it that is still on its way, and an owner
   * stores it only behind that one. When one is given up, those behind it are too, so that its caller can bring it again.
   */
  async publish(
    b: { sender: string; topic: string; seq: number; body: string },
    patienceMs: number,
  ): Promise<{ offset: number }> {
    const k = senderKey(b.topic, b.sender);
    const turned = this.turned.get(k);
    if (turned && b.seq <= turned.seq) this.turned.delete(k);
    else if (turned && this.kernel.host.clock.now() < turned.until) throw notReadyError(this.kernel, 'Publish');
    const { clock } = this.kernel.host;
    const until = clock.now() + patienceMs;
    const all = this.inFlight.get(k) ?? new Set();
    this.inFlight.set(k, all);
    let over = (): void => {};
    const mine: Sent = {
      seq: b.seq,
      dropped: false,
      over: new Promise((res) => {
        over = res;
      }),
    };
    all.add(mine);
    try {
      return await this.callOwner<{ offset: number }>(
        b.topic,
        'Publish',
        () => {
          let after: number | undefined;
          for (const s of all) if (s.seq < b.seq && (after === undefined || s.seq > after)) after = s.seq;
          return after === undefined ? b : { ...b, after };
        },
        patienceMs,
        mine,
      );
    } catch (e) {
      const f = toErrorDetails(e, 'Publish', this.kernel.self);
      switch (f.tag) {
        case 'not_ready':
        case 'overloaded':
        case 'outcome_unknown':
          // What is so old that nobody knows of it stands in nobody's way.
          if (f.step === FORGOTTEN_STEP) break;
          this.recordRejection(b);
          // Told in order, so that they come again in order.
          await withTimeout(
            clock,
            Math.max(0, Math.min(REQUEST.inOrderAnswerMs, until - clock.now())),
            Promise.all([...all].filter((s) => s.seq < b.seq).map((s) => s.over)),
          );
          break;
        default:
          break; // it will not come again
      }
      throw e;
    } finally {
      all.delete(mine);
      over();
      if (!all.size && this.inFlight.get(k) === all) this.inFlight.delete(k);
    }
  }

  /** A publish that is not stored, and that its caller will bring again: what is behind it must not overtake it. */
  recordRejection(b: { sender: string; topic: string; seq: number }): void {
    const k = senderKey(b.topic, b.sender);
    for (const s of this.inFlight.get(k) ?? []) if (s.seq > b.seq) s.dropped = true;
    const { clock } = this.kernel.host;
    const x = { seq: Math.min(b.seq, this.turned.get(k)?.seq ?? Infinity), until: clock.now() + REQUEST.inFlightPublishMs };
    this.turned.set(k, x);
    clock.after(REQUEST.inFlightPublishMs, () => {
      if (this.turned.get(k) === x) this.turned.delete(k);
    });
  }

  /**
   * One visit at the owner, tried again while the key changes hands. Gives up, at once, when nobody owns the key
   * or the patience is over. `outcome_unknown` when some try may have been stored.
   */
  async callOwner<T>(
    topic: string,
    m: RepeatablePeerRpc,
    body: () => unknown,
    patienceMs: number,
    sent?: Sent,
  ): Promise<T> {
    assertRepeatable(m);
    const { clock, random } = this.kernel.host;
    const shard = shardOf(topic);
    const until = clock.now() + patienceMs;
    let lostSince: number | undefined;
    let perhaps = false;
    const family = this.register.value && familyOf(this.register.value.config, topic);
    const urgent = family !== undefined && urgencyOf(this.register.value!.config, family) === 'urgent';
    this.budget.recordFirstAttempt();
    const again = (): boolean => {
      const may = this.budget.tryRetry(urgent);
      if (!may) this.kernel.incrementCounter('route.budget');
      return may;
    };
    for (;;) {
      const left = until - clock.now();
      if (left <= 0) break;
      const peer = this.ownerOf(shard);
      // Nobody owned the key for a while: give up now rather than hold the caller to its deadline.
      if (lostSince !== undefined && clock.now() - lostSince > REQUEST.noOwnerMs) break;
      if (sent?.dropped) break;
      if (!peer) {
        lostSince ??= clock.now();
        this.locateOwner(shard);
        await this.news(shard, Math.min(left, REQUEST.ownerRetryMs));
        continue;
      }
      const { fence } = this.hints.get(shard)!;
      let f: ErrorDetails;
      try {
        return await this.unlessMoved(
          shard,
          peer,
          m,
          this.kernel.callAnyPath<T>(peer, m, body(), Math.min(REQUEST.ownerAttemptMs, left)),
        );
      } catch (e) {
        f = toErrorDetails(e, m, peer);
      }
      // Whatever the last try was told, an earlier one may have been stored.
      const end = (): HarecrossError =>
        new HarecrossError(
          perhaps && m === 'Publish'
            ? { tag: 'outcome_unknown', step: m, peer, retryAfterMs: jitteredRetryMs(random, REQUEST.retryMs) }
            : f,
        );
      // An owner answers by a configuration that is at least as new as ours. Where ours still has the topic, we do not say that it is
      // gone before we have that one too: another owner, as far as we are, would take it back.
      const newer = f.tag === 'unknown_topic' && familyOf(this.register.value!.config, topic) !== undefined;
      switch (newer ? 'not_ready' : f.tag) {
        case 'unreachable':
        case 'not_ready':
          lostSince ??= clock.now();
          break;
        case 'not_owner':
          lostSince ??= clock.now();
          if (f.tag === 'not_owner' && f.hint) this.learnOwner(shard, f.hint, parseFence(f.hint).peer);
          break;
        case 'fenced':
          if (f.tag === 'fenced') this.learnOwner(shard, f.fence, parseFence(f.fence).peer);
          lostSince = undefined;
          perhaps = true;
          break;
        case 'timeout':
        case 'cut':
        case 'disk_ill':
        case 'internal':
          lostSince = undefined;
          perhaps = true;
          break;
        case 'stale_seq':
          // Final, also for earlier tries: a higher number is committed, and this one is not in the history.
          throw new HarecrossError(f);
        default:
          throw end();
      }
      if (!again()) break;
      // Another is known to have the key: there at once.
      if (this.hints.get(shard)!.fence !== fence) continue;
      if (until - clock.now() <= REQUEST.ownerRetryMs) break;
      if (!newer) this.locateOwner(shard);
      await this.news(shard, REQUEST.ownerRetryMs);
    }
    const retryAfterMs = jitteredRetryMs(random, REQUEST.retryMs);
    throw new HarecrossError(
      perhaps
        ? { tag: 'outcome_unknown', step: m, peer: this.kernel.self, retryAfterMs }
        : { tag: 'not_ready', step: m, peer: this.kernel.self, retryAfterMs },
    );
  }
}

registerPlugin({
  name: 'route',
  needs: ['membership', 'register'],
  setup: (k) => new ShardRouter(k, k.use('membership'), k.use('register')),
});
