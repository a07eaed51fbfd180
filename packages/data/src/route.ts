import { C, Failure, Kernel, faultOf, register, retryAfter, shardOf, sleep, within, type Fault } from '@harecross/kernel';
import type { Board, KeyRec, Register } from '@harecross/control';
import { familyOf } from '@harecross/schema';
import { readFence, type Fence } from '@harecross/state';
import { Subject } from 'rxjs';

declare module '@harecross/kernel' {
  interface Faces { route: Route }
}

/**
 * Finds the owner of a topic's shard, and passes visits to it while keys change hands.
 * @example
 * await k.use('route').atOwner('pay/7', 'Publish', visit, 2000);
 */
export class Route {
  private hints = new Map<number, { fence: Fence; peer: string }>();
  private asking = new Map<number, Promise<void>>();
  /** A shard whose owner changed, as far as we know. */
  readonly moved$ = new Subject<number>();

  constructor(private k: Kernel, private board: Board, private reg: Register) {
    k.keep(board.changed$.subscribe((key) => {
      if (!key.startsWith('key/')) return;
      const r = board.get(key) as KeyRec;
      this.hint(Number(key.slice(4)), r.fence, r.peer);
    }));
  }

  private hint(shard: number, fence: Fence, peer: string): void {
    const old = this.hints.get(shard);
    if (!peer || (old && old.fence >= fence)) return;
    this.hints.set(shard, { fence, peer });
    this.moved$.next(shard);
  }

  owner(shard: number): string | undefined {
    const h = this.hints.get(shard);
    return h && this.board.isLive(h.peer) ? h.peer : undefined;
  }

  /** Looks for an owner in the background. */
  seek(shard: number): void {
    void this.who(shard);
  }

  /** Asks the shard's copies whom they promised the highest fence. */
  private who(shard: number): Promise<void> {
    let p = this.asking.get(shard);
    if (!p) {
      const disks = this.reg.value?.shards.get(shard)?.copies ?? [];
      p = Promise.all(disks.map(async (d) => {
        const peer = this.reg.peerOf(d);
        if (!peer || !this.board.isLive(peer)) return;
        try {
          const f = await this.k.call<Fence>(peer, 'Who', { shard }, 300);
          this.hint(shard, f, readFence(f).peer);
        } catch { /* others answer */ }
      })).then(() => undefined).finally(() => this.asking.delete(shard));
      this.asking.set(shard, p);
    }
    return p;
  }

  /** A visit at an owner, given up as soon as another is known to have the key: what became of it is then not known. */
  private unlessMoved<T>(shard: number, peer: string, step: string, visit: Promise<T>): Promise<T> {
    return new Promise((res, rej) => {
      const sub = this.moved$.subscribe((s) => {
        if (s !== shard || this.hints.get(shard)?.peer === peer) return;
        this.k.count('route.left');
        // What was answered before the news stands.
        this.k.host.clock.after(C.movedGraceMs, () => rej(new Failure({ tag: 'timeout', step, peer })));
      });
      visit.then(res, rej).finally(() => sub.unsubscribe());
    });
  }

  /**
   * One visit at the owner, tried again while the key changes hands. Gives up, at once, when nobody owns the key
   * or the patience is over. `outcome_unknown` when some try may have been stored.
   */
  async atOwner<T>(topic: string, m: string, body: unknown, patienceMs: number): Promise<T> {
    const { clock, rnd } = this.k.host;
    const shard = shardOf(topic);
    const until = clock.now() + patienceMs;
    let lostSince: number | undefined;
    let perhaps = false;
    for (;;) {
      const left = until - clock.now();
      if (left <= 0) break;
      const peer = this.owner(shard);
      // Nobody owned the key for a while: give up now rather than hold the caller to its deadline.
      if (lostSince !== undefined && clock.now() - lostSince > C.noOwnerMs) break;
      if (!peer) {
        lostSince ??= clock.now();
        await within(clock, left, this.who(shard));
        if (!this.owner(shard)) await sleep(clock, C.ownerRetryMs);
        continue;
      }
      let f: Fault;
      try {
        return await this.unlessMoved(shard, peer, m, this.k.reach<T>(peer, m, body, Math.min(C.ownerTryMs, left)));
      } catch (e) {
        f = faultOf(e, m, peer);
      }
      // Whatever the last try was told, an earlier one may have been stored.
      const end = (): Failure => new Failure(perhaps && m === 'Publish' ? { tag: 'outcome_unknown', step: m, peer, retryAfterMs: retryAfter(rnd, C.retryMs) } : f);
      switch (f.tag) {
        case 'unknown_topic':
          // An owner answers by a configuration that is at least as new as ours. Where ours still has the topic, we do not say that it is
          // gone before we have that one too: another owner, as far behind as we are, would take it back.
          if (!familyOf(this.reg.value!.config, topic)) throw end();
          lostSince ??= clock.now();
          break;
        case 'unreachable':
        case 'not_ready':
          lostSince ??= clock.now();
          break;
        case 'not_owner':
          lostSince ??= clock.now();
          if (f.hint) this.hint(shard, f.hint, readFence(f.hint).peer);
          break;
        case 'timeout':
        case 'cut':
        case 'fenced':
        case 'disk_ill':
        case 'internal':
          lostSince = undefined;
          perhaps = true;
          break;
        case 'stale_seq':
          // Final, also for earlier tries: a higher number is committed, and this one is not in the history.
          throw new Failure(f);
        default:
          throw end();
      }
      if (until - clock.now() <= C.ownerRetryMs) break;
      await sleep(clock, C.ownerRetryMs);
      if (f.tag !== 'unknown_topic') await within(clock, until - clock.now(), this.who(shard));
    }
    const retryAfterMs = retryAfter(rnd, C.retryMs);
    throw new Failure(perhaps
      ? { tag: 'outcome_unknown', step: m, peer: this.k.self, retryAfterMs }
      : { tag: 'not_ready', step: m, peer: this.k.self, retryAfterMs });
  }
}

register({ name: 'route', needs: ['board', 'register'], setup: (k) => new Route(k, k.use('board'), k.use('register')) });
