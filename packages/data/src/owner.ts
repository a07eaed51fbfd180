import {
  C,
  Failure,
  Holding,
  Kernel,
  type From,
  type HoldingInfo,
  faultOf,
  gather,
  loop,
  never,
  register,
  retryAfter,
  shardOf,
  sleep,
  within,
} from '@harecross/kernel';
import {
  eraOf,
  fenceQuorum,
  matchOwners,
  notReady,
  type Board,
  type KeyRec,
  type Placement,
  type Register,
} from '@harecross/control';
import { familyOf, urgencyOf, type Family } from '@harecross/schema';
import {
  fold,
  lastFence,
  lastIdx,
  makeFence,
  NO_FENCE,
  readFence,
  senderKey,
  type Entry,
  type Fence,
} from '@harecross/state';
import type { Copies, Fetched, Promised } from './copies.js';
import { Interests, placeSum, readInterestRow, type InterestRow } from './interest.js';
import { FORGOTTEN, Key, type KeyState } from './key.js';
import { Replication } from './replication.js';

declare module '@harecross/kernel' {
  interface Faces {
    owner: Owner;
  }
}

export interface HistoryPage {
  tag: 'page';
  head: number;
  first: number;
  since: number;
  entries: { off: number; sender: string; seq: number; body: string }[];
}
export type HistoryAnswer = HistoryPage | { tag: 'gone' };
/** `heads`: all topics in which the owner knows interest, for the shards where relay and owner differ. */
export interface HeadsAnswer {
  heads: Map<number, [topic: string, head: number][]>;
  elsewhere: number[];
}

/** A relay's publish. `after` is a number of the same sender and topic that must be stored first: it went out before this one. */
export interface Publish {
  sender: string;
  topic: string;
  seq: number;
  body: string;
  after?: number;
}

/** An owner asks another node to take a shard. `fence` is the one that the owner has, so that a repeat is told apart. */
interface TakeKey {
  shard: number;
  fence?: Fence;
}

/**
 * The owner's side of topics: takes keys under a fence, accepts messages once a majority of the copies has them
 * synced, fans frames to relays whose interest has not ended on our own clock, and serves history.
 * @example
 * k.use('owner').owned(); // shards this node serves
 */
export class Owner {
  private keys = new Map<number, Key>();
  private interests: Interests;
  private replication: Replication;
  /** When this process could first serve. */
  private freshSince = Infinity;
  private holding: Holding<Publish, { offset: number }>;
  /** Fences that were asked for in one moment go to a disk in one visit. */
  private fences = new Map<string, { items: { shard: number; fence: Fence }[]; answers: Promise<Promised[]> }>();
  /** Whether each member could take duties when we last looked. */
  private ableThen = new Map<string, boolean>();
  private looking = false;
  /** When our own loop last went on after it stood still: until then nobody could answer us. */
  private thawedAt = -Infinity;

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
    private copies: Copies,
  ) {
    const { clock, rnd } = k.host;
    for (let s = 0; s < C.shardsN; s++) this.keys.set(s, new Key(s));
    this.interests = new Interests(k, board);
    this.replication = new Replication(k, board, reg, {
      agreed: (key, e, fan) => this.apply(key, e, fan),
      fenced: (key) => this.turn(key, 'none'),
      caughtUp: (key) => {
        if (key.state === 'owner') this.announce(key);
      },
    });
    this.holding = new Holding(C.ownerHoldingN, 512, (v) => this.publish(v));
    k.on(
      'Publish',
      (b: Publish) => {
        const fam = this.family(b.topic, 'Publish');
        const p = this.holding.offer(b, urgencyOf(this.reg.value!.config, fam) === 'urgent');
        if (!p)
          throw new Failure({
            tag: 'overloaded',
            step: 'Publish',
            peer: k.self,
            retryAfterMs: retryAfter(rnd, C.retryMs),
          });
        return p;
      },
      true,
    );
    k.on('Interest', (b: { items: InterestRow[] }, f) =>
      this.interests.hear(f.peer, f.inst, b.items.map(readInterestRow), f.toLocal),
    );
    k.on('Open', (b: { topic: string; confirm: boolean }) => this.open(b), true);
    k.on('History', (b: { topic: string; from: number }): Promise<HistoryAnswer> => this.history(b), true);
    k.on('Heads', (b: { sums: [number, number][] }, f) => this.heads(b.sums, f.peer));
    k.on(
      'Count',
      async (b: { topic: string }) => {
        this.family(b.topic, 'Count');
        await this.settled(b.topic, ['owner']);
        return this.interests.countListeners(b.topic, this.serving(b.topic, 'Count').takenAt);
      },
      true,
    );
    k.on('Yield', (b: { shard: number; disk: string }, f) => this.yieldTo(b.shard, b.disk, f));
    k.on('TakeKey', async (b: TakeKey) => {
      const key = this.keys.get(b.shard)!;
      if (!this.takenSince(key, b.fence)) await this.take(key);
      return key.state === 'owner';
    });
    k.keep(loop(clock, C.keyTickMs, rnd, () => this.tick()));
    k.keep(
      board.changed$.subscribe((key) => {
        if (key.startsWith('m/')) this.look(key.slice(2));
      }),
    );
    k.keep(board.state$.subscribe((m) => this.look(m.peer)));
    // A new generation is taken when it is heard of: until then the copies that came with it bear no loss.
    k.keep(reg.value$.subscribe(() => this.tickSoon()));
    // Whoever takes a key asks our copy too: we need not wait for an append to be refused.
    k.keep(
      copies.promised$.subscribe((s) => {
        const key = this.keys.get(s)!;
        const by = copies.get(s).promised;
        if (key.fence !== NO_FENCE && by > key.fence) this.turn(key, 'none');
        if (readFence(by).peer !== k.self) key.promisedTo = { peer: readFence(by).peer, at: clock.now() };
      }),
    );
    k.keep(loop(clock, C.beatMs, rnd, async () => this.replication.beats(this.keys.values())));
    k.keep(loop(clock, C.trimMs, rnd, async () => this.trim()));
    k.keep(
      k.thawed$.subscribe(() => {
        this.thawedAt = clock.now();
        for (const key of this.keys.values()) key.ackAt.clear();
      }),
    );
    k.keep(
      reg.fresh$.subscribe(() => {
        this.freshSince = Math.min(this.freshSince, clock.now());
      }),
    );
    k.onStop(() => this.leave());
  }

  owned(): { shard: number; fence: Fence; last: number; commit: number; behind: string[] }[] {
    return [...this.keys.values()]
      .filter((x) => x.state === 'owner')
      .map((x) => ({ shard: x.shard, fence: x.fence, last: x.last(), commit: x.commit, behind: this.behind(x) }));
  }
  /** Sets the bound of publishes held; operators have no need of it, trials do. */
  bound(n: number): void {
    this.holding.resize(n);
  }
  /** Publishes held, and frames held for the relay that has most of them. */
  holdings(): HoldingInfo[] {
    return [this.holding.told('publish'), this.interests.holding()];
  }
  owns(topic: string): boolean {
    return this.keys.get(shardOf(topic))!.state === 'owner';
  }
  interestTable(): { relay: string; topics: number }[] {
    return this.interests.table();
  }

  // --- the key's life ---

  /** The one function that changes a key's state. */
  private turn(key: Key, s: KeyState): void {
    if (key.state === s) return;
    const was = key.state;
    key.state = s;
    switch (s) {
      case 'owner':
        key.takenAt = this.k.host.clock.now();
        this.k.count('key.taken');
        this.k.host.log.info(`owner of shard ${key.shard}`, { fence: key.fence });
        break;
      case 'none':
        if (was === 'owner') {
          this.k.count('key.given');
          this.k.host.log.info(`no longer owner of shard ${key.shard}`);
        }
        for (const w of key.waits.splice(0))
          w.rej(
            new Failure({
              tag: 'fenced',
              step: 'Publish',
              peer: this.k.self,
              fence: this.copies.get(key.shard).promised,
            }),
          );
        // Without a fence nothing is sent: a key that is being taken anew must not speak in its old owner's name.
        key.fence = NO_FENCE;
        key.topics.clear();
        key.senders.clear();
        key.log = [];
        for (const l of Array.from(key.early.values())) for (const x of l) x.go();
        break;
      case 'taking':
      case 'confirming':
        break;
    }
    for (const f of key.turned.splice(0)) f();
  }

  /**
   * Which disk should own each shard now; with `not`, as if that disk were gone. With `coming`, also disks whose machines may be about
   * to serve: a fleet that comes back together shares its keys at once, rather than the first one up having them all.
   */
  private wanted(not?: string, coming = false): Map<number, string> {
    const { shards } = this.reg.value!;
    const out = matchOwners(
      shards,
      (d) => d !== not && (this.peerAble(d) !== undefined || (coming && this.isComing(d))),
    );
    // Where all copies' machines call themselves ill, one of them must do.
    if (out.size < shards.size)
      for (const [s, d] of matchOwners(shards, (x) => x !== not && this.isIll(x))) if (!out.has(s)) out.set(s, d);
    return out;
  }

  private isIll(disk: string): boolean {
    const m = this.board.ofDisk(disk);
    return (
      this.reg.value?.disks.get(disk)?.state === 'active' &&
      m !== undefined &&
      m.state === 'live' &&
      m.condition === 'ill'
    );
  }

  private isComing(disk: string): boolean {
    const m = this.board.ofDisk(disk);
    return (
      this.reg.value?.disks.get(disk)?.state === 'active' && (!m || (m.state === 'live' && m.condition === 'joining'))
    );
  }

  private peerAble(disk: string): string | undefined {
    const m = this.board.ofDisk(disk);
    if (!m || this.reg.value?.disks.get(disk)?.state !== 'active') return undefined;
    return this.board.able(m.peer) ? m.peer : undefined;
  }

  /** Looks at the keys at once when a member became able or unable to have them. */
  private look(peer: string): void {
    const able = this.board.able(peer);
    // A node without a disk never has keys.
    if (this.ableThen.get(peer) === able || this.board.members.get(peer)?.disk === undefined) return;
    this.ableThen.set(peer, able);
    if (!able) {
      for (const key of this.keys.values()) {
        if ((this.board.get(`key/${key.shard}`) as KeyRec | undefined)?.peer === peer) key.triedAt = -Infinity;
      }
    }
    this.tickSoon();
  }

  private tickSoon(): void {
    if (this.looking) return;
    this.looking = true;
    this.k.host.clock.after(0, () => {
      this.looking = false;
      void this.tick();
    });
  }

  private async tick(): Promise<void> {
    if (!this.reg.fresh() || this.k.phase !== 'running') return;
    const now = this.k.host.clock.now();
    const v = this.reg.value!;
    const gone: number[] = [];
    const unknown: Key[] = [];
    const wanted = this.wanted(undefined, now - this.freshSince < C.comingMs);
    for (const key of this.keys.values()) {
      const p = v.shards.get(key.shard);
      if (!p) continue;
      const here = p.copies.includes(this.copies.disk);
      const rec = this.board.get(`key/${key.shard}`) as KeyRec | undefined;
      if (!here) {
        if (key.state === 'none' && this.mayRelease(key.shard, p, rec)) gone.push(key.shard);
        if (key.state === 'owner' && rec && rec.gen >= p.gen && rec.peer !== this.k.self) this.turn(key, 'none');
        if (key.state !== 'owner' || key.gen === p.gen) continue;
        // Still the owner under an older placement: the new copies must take the key.
        const next = this.peerAble(wanted.get(key.shard) ?? '');
        if (next) this.k.call(next, 'TakeKey', this.takeRequest(key)).catch(() => undefined);
        continue;
      }
      switch (key.state) {
        case 'owner':
          key.wantedAt = undefined;
          if (key.gen !== p.gen) void this.take(key);
          else this.announce(key);
          break;
        case 'none': {
          if (wanted.get(key.shard) !== this.copies.disk) {
            key.wantedAt = undefined;
            break;
          }
          const holder =
            rec &&
            rec.peer !== this.k.self &&
            this.board.isLive(rec.peer) &&
            this.board.members.get(rec.peer)?.inst === rec.inst
              ? rec.peer
              : undefined;
          // A holder that serves is asked only once it is sure that the key stays matched to us: each change costs callers a moment.
          if (holder && this.board.able(holder)) {
            key.wantedAt ??= now;
            if (now - key.wantedAt < C.steadyMs) break;
          }
          if (this.justPromised(key, now)) break;
          if (now - key.triedAt < C.takeRetryMs) break;
          key.triedAt = now;
          if (!rec || this.copies.get(key.shard).promised > rec.fence) unknown.push(key);
          // A holder that calls itself unable is not asked; we take the key, the fence decides.
          else void (holder && this.board.able(holder) ? this.askFor(key, holder) : this.take(key));
          break;
        }
        case 'taking':
        case 'confirming':
          break;
      }
    }
    if (unknown.length) void this.findHolders(unknown);
    if (gone.length) await this.copies.release(gone);
  }

  /** Whether a copy that is not placed here any more may go: another owner serves under this placement, and all its copies have the history. */
  private mayRelease(shard: number, placement: Placement, rec: KeyRec | undefined): boolean {
    const copy = this.copies.all.get(shard);
    if (!copy || (!copy.entries.length && !copy.base.idx)) return false;
    if (placement.retained?.includes(this.copies.disk)) return false;
    return rec !== undefined && rec.gen === placement.gen && rec.behind.length === 0;
  }

  /** Who last promised a key to whom, as a majority of its copies knows; one visit to each of them for all keys. */
  private async holders(keys: Key[]): Promise<Map<Key, string>> {
    const byPeer = new Map<string, Key[]>();
    for (const key of keys) {
      for (const d of this.reg.value!.shards.get(key.shard)?.copies ?? []) {
        const peer = this.reg.peerOf(d);
        if (!peer) continue;
        const l = byPeer.get(peer);
        if (l) l.push(key);
        else byPeer.set(peer, [key]);
      }
    }
    const got = new Map<Key, { n: number; top: Fence }>();
    await Promise.all(
      [...byPeer].map(async ([peer, ks]) => {
        const fences = await this.k
          .call<Fence[]>(peer, 'Who', { shards: ks.map((x) => x.shard) }, C.whoMs)
          .catch(() => []);
        fences.forEach((f, i) => {
          const had = got.get(ks[i]!);
          got.set(ks[i]!, { n: (had?.n ?? 0) + 1, top: had && had.top > f ? had.top : f });
        });
      }),
    );
    const out = new Map<Key, string>();
    for (const [key, { n, top }] of got) {
      if (n * 2 > (this.reg.value!.shards.get(key.shard)?.copies.length ?? Infinity)) out.set(key, readFence(top).peer);
    }
    return out;
  }

  /** Keys of which the board knows nothing, or less than our own copy, as after a start: an owner that serves must not lose them for that. */
  private async findHolders(keys: Key[]): Promise<void> {
    for (const [key, holder] of await this.holders(keys)) {
      if (key.state !== 'none') continue;
      const m = this.board.members.get(holder);
      const gone = !holder || holder === this.k.self || (m !== undefined && m.state !== 'live');
      void (gone ? this.take(key) : this.letHave(key, holder));
    }
  }

  /**
   * Whether our copy promised the key to another a moment ago whom we don't know to be unable: the board may not have heard of it yet,
   * and who takes a key back at once from the one that has just taken it starts a quarrel.
   */
  private justPromised(key: Key, now: number): boolean {
    const p = key.promisedTo;
    if (!p || now - p.at > C.steadyMs) return false;
    const m = this.board.members.get(p.peer);
    return m === undefined || (m.state === 'live' && (m.condition === 'ready' || m.condition === 'joining'));
  }

  /** A better matched node asks the present owner whether it may take the key: only once it knows that it can. */
  private async askFor(key: Key, holder: string): Promise<void> {
    if ((await this.holders([key])).size) await this.letHave(key, holder);
  }

  private async letHave(key: Key, holder: string): Promise<void> {
    try {
      if (await this.k.reach<boolean>(holder, 'Yield', { shard: key.shard, disk: this.copies.disk }))
        await this.take(key);
    } catch (e) {
      // not_owner: the board is behind. A holder that calls itself unable is not waited for: it may be our link to it that is
      // broken. We take the key, the fence decides.
      const { tag } = faultOf(e, 'Yield', holder);
      if (tag === 'not_owner' || tag === 'unreachable' || !this.board.able(holder)) await this.take(key);
    }
  }

  /** Whether another may take the key from us now. We serve until its fence reaches us. */
  private yieldTo(shard: number, disk: string, f: From): boolean {
    const key = this.keys.get(shard)!;
    if (key.state !== 'owner') throw new Failure({ tag: 'not_owner', step: 'Yield', peer: this.k.self });
    if (!key.copies.includes(disk) || !this.current(key, disk)) return false;
    const { clock } = this.k.host;
    // Who came back only just may go again; but we are no better if we are leaving or can't serve.
    const m = this.board.members.get(f.peer);
    const steady =
      m !== undefined && m.inst === f.inst && m.state === 'live' && clock.now() - m.liveSince >= C.steadyMs;
    if (!steady && this.board.able(this.k.self)) return false;
    if ((key.vain.get(disk) ?? 0) > clock.now()) return false;
    const fence = key.fence;
    // Who asked for it in vain has to wait before it may ask again.
    clock.after(C.yieldMs, () => {
      if (key.state !== 'owner' || key.fence !== fence) return;
      for (const [d, until] of key.vain) if (until <= clock.now()) key.vain.delete(d);
      key.vain.set(disk, clock.now() + C.yieldVainMs);
      this.k.count('key.yielded_in_vain');
    });
    return true;
  }

  /** Whether a copy has (nearly) all that we have: taking the key costs its disk no long fetch. */
  private current(key: Key, disk: string): boolean {
    return (key.match.get(disk) ?? 0) >= key.last() - C.appendN;
  }

  /** Owner of keys whose copies we can't reach, for so long that others should have them: their links may be whole. */
  forlorn(): boolean {
    const now = this.k.host.clock.now();
    return [...this.keys.values()].some(
      (key) => key.state === 'owner' && now - Math.max(key.heardAt(), key.takenAt, this.thawedAt) > C.forlornMs,
    );
  }

  private async leave(): Promise<void> {
    const mine = [...this.keys.values()].filter((x) => x.state === 'owner');
    if (!mine.length) return;
    const wanted = this.wanted(this.copies.disk);
    await Promise.all(mine.map((key) => this.handOver(key, wanted.get(key.shard))));
    // Who still comes is told where to go.
    await sleep(this.k.host.clock, C.leaveMs);
  }

  /** Has another take a key. We serve until its fence reaches us, so that nobody waits longer than the taking itself. */
  private async handOver(key: Key, first: string | undefined): Promise<void> {
    const { clock } = this.k.host;
    const until = clock.now() + C.handOverMs;
    const able = key.copies.filter((d) => d !== this.copies.disk && this.peerAble(d) !== undefined);
    const rank = (d: string): number => (this.current(key, d) ? 0 : 2) + (d === first ? 0 : 1);
    const next = able.sort((a, b) => rank(a) - rank(b));
    for (let i = 0; next.length && key.state === 'owner' && clock.now() < until; i++) {
      const took = await this.k
        .call<boolean>(this.peerAble(next[i % next.length]!) ?? '', 'TakeKey', this.takeRequest(key), C.callMs)
        .catch(() => false);
      if (!took && key.state === 'owner') await sleep(clock, C.ownerRetryMs);
    }
  }

  /**
   * Whether this node or another has taken the shard since its owner had that fence: the request came late or twice. An own try that
   * came to nothing is none. Requests of nodes that do not tell their fence are carried out.
   */
  private takenSince(key: Key, fence: Fence | undefined): boolean {
    const { promised } = this.copies.get(key.shard);
    if (fence === undefined || promised <= fence) return false;
    return key.state === 'owner' || readFence(promised).peer !== this.k.self;
  }

  private takeRequest(key: Key): TakeKey {
    return { shard: key.shard, fence: key.fence };
  }

  /** Takes the key under a higher fence, with the longest valid history, and completes it to a majority. */
  private async take(key: Key): Promise<void> {
    if (key.state === 'taking' || key.state === 'confirming') return;
    const p = this.reg.value?.shards.get(key.shard);
    if (!p || !p.copies.includes(this.copies.disk)) return;
    const { clock } = this.k.host;
    if (key.state !== 'none') this.turn(key, 'none');
    this.turn(key, 'taking');
    try {
      const n = readFence(this.copies.get(key.shard).promised).n;
      let top = n;
      for (let i = 0; i < 4; i++) {
        const fence = makeFence(p.gen, top + 1, `${this.k.self}~${this.k.inst}`);
        const got = await this.askFence(key.shard, p, fence);
        const ok = got.filter((g) => g.ok);
        for (const g of got) if (!g.ok) top = Math.max(top, readFence(g.promised).n);
        if (got.some((g) => !g.ok && readFence(g.promised).gen > p.gen)) return;
        if (!this.mayTake(p, got)) {
          if (got.some((g) => !g.ok)) {
            top++;
            await sleep(clock, 20 + 60 * this.k.host.rnd.next());
            continue;
          }
          return;
        }
        await this.complete(key, fence, p.gen, p.copies, ok);
        return;
      }
    } catch (e) {
      this.k.count('key.take_failed');
      const f = faultOf(e, 'take', this.k.self);
      if (f.tag === 'internal') this.k.host.log.warn('take failed', { fault: f });
    } finally {
      if ((key.state as KeyState) === 'taking' || (key.state as KeyState) === 'confirming') this.turn(key, 'none');
    }
  }

  /** Asks the copies, and those of the generation before where they may be needed too, to promise a fence. */
  private async askFence(shard: number, placement: Placement, fence: Fence): Promise<Promised[]> {
    const disks = [...new Set([...placement.copies, ...(placement.previous ?? [])])];
    const calls = disks.map((disk) => this.fenceAt(disk, shard, fence));
    return gather(calls, (got) => this.mayTake(placement, got));
  }

  /** Whether these answers let us take a shard under this placement; our own copy must be among them. */
  private mayTake(placement: Placement, got: Promised[]): boolean {
    const promises = got
      .filter((answer) => answer.ok)
      .map((answer) => ({ disk: answer.disk, generation: readFence(answer.lastFence).gen }));
    return promises.some((promise) => promise.disk === this.copies.disk) && fenceQuorum(placement, promises);
  }

  private async fenceAt(disk: string, shard: number, fence: Fence): Promise<Promised> {
    let b = this.fences.get(disk);
    if (!b) {
      const items: { shard: number; fence: Fence }[] = [];
      b = {
        items,
        answers: Promise.resolve().then(() => {
          this.fences.delete(disk);
          const peer = this.reg.peerOf(disk);
          return peer
            ? this.k.call<Promised[]>(peer, 'Fence', { disk, items })
            : Promise.reject(new Error('no address'));
        }),
      };
      this.fences.set(disk, b);
    }
    const i = b.items.push({ shard, fence }) - 1;
    return (await b.answers)[i]!;
  }

  private async complete(
    key: Key,
    fence: Fence,
    gen: number,
    copies: string[],
    ok: Extract<Promised, { ok: true }>[],
  ): Promise<void> {
    const mine = this.copies.get(key.shard);
    const best = ok.reduce((a, b) =>
      b.lastFence > a.lastFence || (b.lastFence === a.lastFence && b.lastIdx > a.lastIdx) ? b : a,
    );
    if (best.lastFence !== lastFence(mine) || best.lastIdx !== lastIdx(mine)) {
      const from = Math.min(lastIdx(mine), best.lastIdx);
      let fromFence = '?';
      if (from === mine.base.idx) fromFence = mine.base.fence;
      else if (from > mine.base.idx) fromFence = mine.entries[from - mine.base.idx - 1]!.fence;
      const f = await this.k.call<Fetched>(
        this.reg.peerOf(best.disk)!,
        'Fetch',
        { disk: best.disk, shard: key.shard, from, fromFence },
        C.snapshotMs,
      );
      if (!(await this.copies.take(key.shard, fence, f, from))) return;
    }
    const c = this.copies.get(key.shard);
    if (c.promised !== fence) return;
    key.fence = fence;
    key.gen = gen;
    key.copies = copies;
    key.base = {
      idx: c.base.idx,
      fence: c.base.fence,
      topics: new Map([...c.base.topics].map(([t, b]) => [t, { ...b }])),
      senders: new Map([...c.base.senders].map(([t, b]) => [t, { ...b }])),
    };
    key.log = [...c.entries];
    key.commit = 0;
    key.trimTo = c.base.idx;
    key.match = new Map();
    key.next = new Map(copies.map((d) => [d, key.last() + 1]));
    key.ackAt = new Map();
    key.flying = new Set();
    key.topics.clear();
    key.senders.clear();
    for (const [t, b] of key.base.topics)
      key.topics.set(t, { head: b.head, pend: b.head, since: b.since, era: b.era, entries: [] });
    for (const e of key.log) key.note(e);
    const now = this.k.host.clock.now();
    key.log.push({ idx: key.last() + 1, fence, topic: '', off: 0, era: 0, sender: '', seq: 0, body: '', at: now });
    const barrier = key.last();
    key.barrier = barrier;
    this.turn(key, 'confirming');
    this.replication.kick(key, true);
    await within(this.k.host.clock, C.appendMs, this.wait(key, barrier));
    if ((key.state as KeyState) !== 'confirming' || key.fence !== fence || key.commit < barrier) return;
    this.turn(key, 'owner');
    this.announce(key);
  }

  /** Copies that lack some of the history that we began with, or much of what came since: they bear no loss. */
  private behind(key: Key): string[] {
    const enough = Math.max(key.barrier, key.last() - C.appendN);
    return key.copies.filter((disk) => (key.match.get(disk) ?? -1) < enough);
  }

  private announce(key: Key): void {
    const rec: KeyRec = {
      fence: key.fence,
      gen: key.gen,
      peer: this.k.self,
      inst: this.k.inst,
      behind: this.behind(key),
    };
    const s = JSON.stringify(rec);
    if (s === key.said) return;
    key.said = s;
    this.board.put(`key/${key.shard}`, `${key.fence}/${String(++key.saidN).padStart(8, '0')}`, rec);
  }

  private async trim(): Promise<void> {
    this.interests.trim();
    for (const peer of this.ableThen.keys()) if (!this.board.members.has(peer)) this.ableThen.delete(peer);
    if (!this.reg.fresh()) return;
    const cfg = this.reg.value!.config;
    const now = this.k.host.clock.now();
    for (const key of this.keys.values()) {
      if (key.state !== 'owner') continue;
      let to = key.trimTo;
      for (const e of key.log) {
        if (e.idx > key.commit) break;
        if (e.topic) {
          const f = familyOf(cfg, e.topic);
          // Also what nobody can read any more stays while its number may be repeated.
          if (now - e.at <= Math.max(C.repeatKeepMs, f ? f.memoryS * 1000 * C.memorySlack + C.memorySlackMs : 0)) break;
        } else if (e.idx === key.commit) break;
        to = e.idx;
      }
      if (to <= key.trimTo) continue;
      key.trimTo = to;
      // Our own log goes with the trim; copies follow with the next append.
      const n = to - key.base.idx;
      for (const e of key.log.splice(0, n)) {
        fold(key.base, e);
        key.forget(e);
      }
      for (const [s, b] of key.base.senders) if (now - b.at > C.dedupeKeepMs) key.base.senders.delete(s);
    }
  }

  /** Takes an entry that a majority holds into what consumers see. */
  private apply(key: Key, e: Entry, fan: boolean): void {
    if (!e.topic) return;
    const t = key.topicOf(e.topic, e.era);
    t.head = e.off;
    if (e.off >= t.since) t.entries.push(e);
    if (fan && this.visible(e)) this.interests.fan(e);
  }

  private visible(e: Entry): boolean {
    const v = this.reg.value;
    return v !== undefined && familyOf(v.config, e.topic) !== undefined && eraOf(v.eras, e.topic) === e.era;
  }

  // --- visits of relays ---

  private family(topic: string, step: string): Family {
    if (!this.reg.fresh() || this.k.phase === 'stopped') throw notReady(this.k, step);
    const f = familyOf(this.reg.value!.config, topic);
    if (!f) throw new Failure({ tag: 'unknown_topic', step, peer: this.k.self, topic });
    return f;
  }

  /** Waits while the topic's key is being taken: who comes early need not come again. */
  private settled(topic: string, enough: KeyState[]): Promise<void> {
    return this.shardSettled(shardOf(topic), enough);
  }

  private async shardSettled(shard: number, enough: KeyState[]): Promise<void> {
    const key = this.keys.get(shard);
    if (!key) return;
    const { clock } = this.k.host;
    const until = clock.now() + C.settleMs;
    while (
      (key.state === 'taking' || key.state === 'confirming') &&
      !enough.includes(key.state) &&
      clock.now() < until
    ) {
      await within(
        clock,
        until - clock.now(),
        new Promise<void>((res) => {
          key.turned.push(res);
        }),
      );
    }
  }

  private serving(topic: string, step: string, enough: KeyState[] = ['owner']): Key {
    const key = this.keys.get(shardOf(topic))!;
    const doubt = key.state === 'owner' && this.k.host.clock.now() - key.heardAt() > C.doubtMs;
    if (!enough.includes(key.state) || doubt) {
      const f = doubt ? NO_FENCE : this.copies.get(key.shard).promised;
      throw new Failure({ tag: 'not_owner', step, peer: this.k.self, hint: f });
    }
    return key;
  }

  /** Waits until the number that a publish must follow is here; for a moment only, because it may have been given up. */
  private follow(key: Key, b: Publish, after: number): Promise<void> {
    const k = senderKey(b.topic, b.sender);
    return new Promise((res, rej) => {
      const l = key.early.get(k) ?? [];
      key.early.set(k, l);
      const x = {
        after,
        go: (): void => {
          cancel();
          over();
          res();
        },
      };
      const over = (): void => {
        l.splice(l.indexOf(x), 1);
        if (!l.length && key.early.get(k) === l) key.early.delete(k);
      };
      const cancel = this.k.host.clock.after(C.followMs, () => {
        over();
        this.k.count('publish.early');
        rej(
          new Failure({
            tag: 'not_ready',
            step: 'follow',
            peer: this.k.self,
            retryAfterMs: retryAfter(this.k.host.rnd, C.retryMs),
          }),
        );
      });
      l.push(x);
    });
  }

  private async publish(b: Publish): Promise<{ offset: number }> {
    const takes: KeyState[] = ['confirming', 'owner'];
    if (this.keys.get(shardOf(b.topic))!.state === 'taking') await this.settled(b.topic, takes);
    const fam = this.family(b.topic, 'Publish');
    let key = this.serving(b.topic, 'Publish', takes);
    const limit = fam.limits?.bodyBytes ?? C.bodyBytes;
    if (Buffer.byteLength(b.body) > limit)
      throw new Failure({ tag: 'too_large', step: 'Publish', peer: this.k.self, limit });
    if (b.after !== undefined && key.outcome(b.topic, b.sender, b.after).tag === 'new') {
      this.k.count('publish.followed');
      await this.follow(key, b, b.after);
      key = this.serving(b.topic, 'Publish', takes);
    }
    const was = key.outcome(b.topic, b.sender, b.seq);
    switch (was.tag) {
      case 'stored':
        this.k.count('publish.again');
        if (was.idx > key.commit) await this.wait(key, was.idx);
        return { offset: was.off };
      case 'passed':
        // The final no holds only once the higher number is committed: then every later owner knows of it.
        if (was.idx > key.commit) await this.wait(key, was.idx);
        this.k.count('publish.stale');
        throw new Failure({ tag: 'stale_seq', step: 'Publish', peer: this.k.self, last: was.above });
      case 'forgotten':
        this.k.count('publish.forgotten');
        throw new Failure({
          tag: 'outcome_unknown',
          step: FORGOTTEN,
          peer: this.k.self,
          retryAfterMs: retryAfter(this.k.host.rnd, C.retryMs),
        });
      case 'new':
        break;
      default:
        return never(was);
    }
    const era = eraOf(this.reg.value!.eras, b.topic)!;
    const t = key.topicOf(b.topic, era);
    const e: Entry = {
      idx: key.last() + 1,
      fence: key.fence,
      topic: b.topic,
      off: t.pend + 1,
      era,
      sender: b.sender,
      seq: b.seq,
      body: b.body,
      at: this.k.host.clock.now(),
    };
    key.log.push(e);
    key.note(e);
    queueMicrotask(() => this.replication.kick(key, false));
    await this.wait(key, e.idx);
    this.k.count('publish.accepted');
    return { offset: e.off };
  }

  private wait(key: Key, idx: number): Promise<void> {
    return new Promise((res, rej) => key.waits.push({ idx, res, rej }));
  }

  private view(key: Key, topic: string): { head: number; first: number; since: number; entries: Entry[] } {
    this.family(topic, 'History');
    const t = key.topicOf(topic, eraOf(this.reg.value!.eras, topic)!);
    const first = t.entries[0]?.off ?? t.head + 1;
    return { head: t.head, first, since: t.since, entries: t.entries };
  }

  private async open(b: { topic: string; confirm: boolean }): Promise<{ head: number; first: number; since: number }> {
    this.family(b.topic, 'Open');
    await this.settled(b.topic, ['owner']);
    const key = this.serving(b.topic, 'Open');
    const { fence } = key;
    if (b.confirm) await this.confirm(key);
    // It may have gone meanwhile, and with it all that we know of its topics.
    if (key.fence !== fence || key.state !== 'owner')
      throw new Failure({ tag: 'not_owner', step: 'Open', peer: this.k.self });
    const { head, first, since } = this.view(key, b.topic);
    return { head, first, since };
  }

  /** A majority answers an append begun after now: nobody else owned the key up to now. */
  private async confirm(key: Key): Promise<void> {
    const { clock } = this.k.host;
    const t0 = clock.now();
    const fence = key.fence;
    const until = t0 + C.ownerTryMs - 100;
    while (key.heardAt() < t0) {
      if (key.fence !== fence || key.state !== 'owner' || clock.now() > until)
        throw new Failure({ tag: 'not_owner', step: 'confirm', peer: this.k.self });
      this.replication.kick(key, true);
      await sleep(clock, 4);
    }
  }

  private async history(b: { topic: string; from: number }): Promise<HistoryAnswer> {
    await this.settled(b.topic, ['owner']);
    if (!this.reg.fresh()) throw notReady(this.k, 'History');
    if (!familyOf(this.reg.value!.config, b.topic)) return { tag: 'gone' };
    const key = this.serving(b.topic, 'History');
    const v = this.view(key, b.topic);
    const from = Math.max(b.from, v.since);
    const i = Math.max(0, from - v.first);
    const entries = v.entries
      .slice(i, i + C.historyPageN)
      .map((e) => ({ off: e.off, sender: e.sender, seq: e.seq, body: e.body }));
    return { tag: 'page', head: v.head, first: v.first, since: v.since, entries };
  }

  /** Compares what a relay knows of shards with what we do; tells the heads of a shard where the two differ. */
  private async heads(sums: [shard: number, sum: number][], relay: string): Promise<HeadsAnswer> {
    // A relay that hears of a new owner asks at once, and perhaps before it is one.
    await Promise.all(sums.map(([shard]) => this.shardSettled(shard, ['owner'])));
    const heads = new Map<number, [topic: string, head: number][]>();
    const elsewhere: number[] = [];
    for (const [shard, sum] of sums) {
      const key = this.keys.get(shard);
      if (!key || key.state !== 'owner' || !this.reg.fresh()) {
        elsewhere.push(shard);
        continue;
      }
      const mine: [string, number][] = [];
      let total = 0;
      for (const [t, mark] of this.interests.liveIn(relay, shard)) {
        if (!familyOf(this.reg.value!.config, t)) continue;
        const { head } = this.view(key, t);
        mine.push([t, head]);
        total = (total + placeSum(mark, head)) | 0;
      }
      if (total !== sum) heads.set(shard, mine);
    }
    return { heads, elsewhere };
  }
}

register({
  name: 'owner',
  needs: ['board', 'register', 'copies'],
  setup: (k) => new Owner(k, k.use('board'), k.use('register'), k.use('copies')),
});
