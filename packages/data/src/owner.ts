import { C, Failure, Holding, Kernel, type HoldingInfo, faultOf, gather, loop, never, register, retryAfter, shardOf, sleep } from '@harecross/kernel';
import { eraOf, matchOwners, notReady, type Board, type KeyRec, type Register } from '@harecross/control';
import { familyOf, urgencyOf, type Family } from '@harecross/schema';
import { fold, lastFence, lastIdx, makeFence, NO_FENCE, readFence, type Entry, type Fence } from '@harecross/state';
import type { Copies, Fetched, Promised } from './copies.js';
import { Interests, type InterestItem } from './interest.js';
import { Key, type KeyState } from './key.js';
import { Replication } from './replication.js';

declare module '@harecross/kernel' {
  interface Faces { owner: Owner }
}

export interface HistoryPage { tag: 'page'; head: number; first: number; since: number; entries: { off: number; sender: string; seq: number; body: string }[] }
export type HistoryAnswer = HistoryPage | { tag: 'gone' };

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
  private holding: Holding<{ sender: string; topic: string; seq: number; body: string }, { offset: number }>;

  constructor(private k: Kernel, private board: Board, private reg: Register, private copies: Copies) {
    const { clock, rnd } = k.host;
    for (let s = 0; s < C.shardsN; s++) this.keys.set(s, new Key(s));
    this.interests = new Interests(k, board);
    this.replication = new Replication(k, board, reg, {
      agreed: (key, e, fan) => this.apply(key, e, fan),
      fenced: (key) => this.turn(key, 'none'),
    });
    this.holding = new Holding(C.ownerHoldingN, 512, (v) => this.publish(v));
    k.on('Publish', (b: { sender: string; topic: string; seq: number; body: string }) => {
      const fam = this.family(b.topic, 'Publish');
      const p = this.holding.offer(b, urgencyOf(this.reg.value!.config, fam) === 'urgent');
      if (!p) throw new Failure({ tag: 'overloaded', step: 'Publish', peer: k.self, retryAfterMs: retryAfter(rnd, C.retryMs) });
      return p;
    }, true);
    k.on('Interest', (b: { items: InterestItem[] }, f) => this.interests.hear(f.peer, f.inst, b.items, f.toLocal));
    k.on('Open', (b: { topic: string; confirm: boolean }) => this.open(b), true);
    k.on('History', (b: { topic: string; from: number }): HistoryAnswer => this.history(b), true);
    k.on('Heads', (b: { topics: string[] }, f) => this.heads(b.topics, f.peer));
    k.on('Count', (b: { topic: string }) => {
      this.family(b.topic, 'Count');
      return this.interests.countListeners(b.topic, this.serving(b.topic, 'Count').takenAt);
    }, true);
    k.on('Yield', (b: { shard: number; disk: string }) => this.yieldTo(b.shard, b.disk));
    k.on('TakeKey', (b: { shard: number }) => { void this.take(this.keys.get(b.shard)!); return true; });
    k.keep(loop(clock, C.keyTickMs, rnd, () => this.tick()));
    k.keep(loop(clock, C.beatMs, rnd, async () => this.replication.beats(this.keys.values())));
    k.keep(loop(clock, C.trimMs, rnd, async () => this.trim()));
    k.keep(k.thawed$.subscribe(() => { for (const key of this.keys.values()) key.ackAt.clear(); }));
    k.onStop(() => this.leave());
  }

  owned(): { shard: number; fence: Fence; last: number; commit: number; behind: string[] }[] {
    return [...this.keys.values()].filter((x) => x.state === 'owner').map((x) => ({ shard: x.shard, fence: x.fence, last: x.last(), commit: x.commit, behind: this.behind(x) }));
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
        if (was === 'taking') key.takenAt = this.k.host.clock.now();
        this.k.count('key.taken');
        this.k.host.log.info(`owner of shard ${key.shard}`, { fence: key.fence });
        break;
      case 'none':
        if (was === 'owner' || was === 'yielding') { this.k.count('key.given'); this.k.host.log.info(`no longer owner of shard ${key.shard}`); }
        for (const w of key.waits.splice(0)) w.rej(new Failure({ tag: 'fenced', step: 'Publish', peer: this.k.self, fence: this.copies.get(key.shard).promised }));
        // Without a fence nothing is sent: a key that is being taken anew must not speak in its old owner's name.
        key.fence = NO_FENCE;
        key.topics.clear();
        key.senders.clear();
        key.log = [];
        break;
      case 'taking':
      case 'yielding':
        break;
    }
  }

  /** Which disk should own each shard now; with `not`, as if that disk were gone. */
  private wanted(not?: string): Map<number, string> {
    return matchOwners(this.reg.value!.shards, (d) => d !== not && this.peerAble(d) !== undefined);
  }

  private peerAble(disk: string): string | undefined {
    const m = this.board.ofDisk(disk);
    if (!m || this.reg.value?.disks.get(disk)?.state !== 'active') return undefined;
    return this.board.able(m.peer) ? m.peer : undefined;
  }

  private async tick(): Promise<void> {
    if (!this.reg.fresh() || this.k.phase !== 'running') return;
    const now = this.k.host.clock.now();
    const v = this.reg.value!;
    const gone: number[] = [];
    const wanted = this.wanted();
    for (const key of this.keys.values()) {
      const p = v.shards.get(key.shard);
      if (!p) continue;
      const here = p.copies.includes(this.copies.disk);
      const rec = this.board.get(`key/${key.shard}`) as KeyRec | undefined;
      if (!here) {
        // Not placed here any more: let go once another owner serves under this placement.
        const c = this.copies.all.get(key.shard);
        if (c && (c.entries.length || c.base.idx) && rec && rec.gen === p.gen && key.state === 'none') gone.push(key.shard);
        if (key.state === 'owner' && rec && rec.gen >= p.gen && rec.peer !== this.k.self) this.turn(key, 'none');
        if (key.state !== 'owner' || key.gen === p.gen) continue;
        // Still the owner under an older placement: the new copies must take the key.
        const next = this.peerAble(wanted.get(key.shard) ?? '');
        if (next) this.k.call(next, 'TakeKey', { shard: key.shard }).catch(() => undefined);
        continue;
      }
      switch (key.state) {
        case 'owner':
          if (key.gen !== p.gen) void this.take(key);
          else this.announce(key);
          break;
        case 'none': {
          if (wanted.get(key.shard) !== this.copies.disk || now - key.triedAt < 600) break;
          key.triedAt = now;
          const holder = rec && rec.peer !== this.k.self && this.board.isLive(rec.peer) && this.board.members.get(rec.peer)?.inst === rec.inst ? rec.peer : undefined;
          void (holder ? this.askFor(key, holder) : this.take(key));
          break;
        }
        case 'taking':
        case 'yielding':
          break;
      }
    }
    if (gone.length) await this.copies.release(gone);
  }

  /** A better matched node asks the present owner to let go. */
  private async askFor(key: Key, holder: string): Promise<void> {
    try {
      if (await this.k.reach<boolean>(holder, 'Yield', { shard: key.shard, disk: this.copies.disk })) await this.take(key);
    } catch (e) {
      // not_owner: the board is behind. A holder that calls itself unable is not waited for: it may be our link to it that is
      // broken. We take the key, the fence decides.
      const { tag } = faultOf(e, 'Yield', holder);
      if (tag === 'not_owner' || tag === 'unreachable' || !this.board.able(holder)) await this.take(key);
    }
  }

  private async yieldTo(shard: number, disk: string): Promise<boolean> {
    const key = this.keys.get(shard)!;
    if (key.state !== 'owner') throw new Failure({ tag: 'not_owner', step: 'Yield', peer: this.k.self });
    if (!key.copies.includes(disk) || (key.match.get(disk) ?? 0) < key.last() - C.appendN) return false;
    if ((key.vain.get(disk) ?? 0) > this.k.host.clock.now()) return false;
    await this.quiesce(key, disk);
    return true;
  }

  /** Stops accepting and waits until what was begun is on a majority. */
  private async quiesce(key: Key, asker?: string): Promise<void> {
    this.turn(key, 'yielding');
    const { clock } = this.k.host;
    const fence = key.fence;
    const until = clock.now() + 600;
    while (key.commit < key.last() && clock.now() < until && key.state === 'yielding') { this.replication.kick(key, false); await sleep(clock, 10); }
    // If nobody takes it, we serve on, and who asked for it in vain has to wait before it may ask again.
    clock.after(C.yieldMs, () => {
      if (key.state !== 'yielding' || key.fence !== fence || this.k.phase !== 'running') return;
      if (asker) key.vain.set(asker, clock.now() + C.yieldVainMs);
      this.k.count('key.yielded_in_vain');
      this.turn(key, 'owner');
    });
  }

  /** Owner of keys whose copies we can't reach, for so long that others should have them: their links may be whole. */
  forlorn(): boolean {
    const now = this.k.host.clock.now();
    return [...this.keys.values()].some((key) => key.state === 'owner' && now - Math.max(key.heardAt(), key.takenAt) > C.forlornMs);
  }

  private async leave(): Promise<void> {
    const mine = [...this.keys.values()].filter((x) => x.state === 'owner');
    const wanted = mine.length ? this.wanted(this.copies.disk) : new Map<number, string>();
    await Promise.all(mine.map(async (key) => {
      await this.quiesce(key);
      const next = this.peerAble(wanted.get(key.shard) ?? '');
      if (next) await this.k.call(next, 'TakeKey', { shard: key.shard }).catch(() => undefined);
    }));
    await sleep(this.k.host.clock, mine.length ? 400 : 0);
  }

  /** Takes the key under a higher fence, with the longest valid history, and completes it to a majority. */
  private async take(key: Key): Promise<void> {
    if (key.state === 'taking') return;
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
        const got = await this.askFence(key.shard, p.copies, fence);
        const ok = got.filter((g) => g.ok);
        for (const g of got) if (!g.ok) top = Math.max(top, readFence(g.promised).n);
        if (got.some((g) => !g.ok && readFence(g.promised).gen > p.gen)) return;
        if (ok.length * 2 <= p.copies.length || !ok.some((g) => g.disk === this.copies.disk)) {
          if (got.some((g) => !g.ok)) { top++; await sleep(clock, 20 + 60 * this.k.host.rnd.next()); continue; }
          return;
        }
        await this.complete(key, fence, p.gen, p.copies, ok as Extract<Promised, { ok: true }>[]);
        return;
      }
    } catch (e) {
      this.k.count('key.take_failed');
      const f = faultOf(e, 'take', this.k.self);
      if (f.tag === 'internal') this.k.host.log.warn('take failed', { fault: f });
    } finally {
      if ((key.state as KeyState) === 'taking') this.turn(key, 'none');
    }
  }

  private async askFence(shard: number, copies: string[], fence: Fence): Promise<Promised[]> {
    const calls = copies.map((disk) => {
      const peer = this.reg.peerOf(disk);
      return peer ? this.k.call<Promised>(peer, 'Fence', { disk, shard, fence }) : Promise.reject(new Error('no address'));
    });
    return gather(calls, (got) => {
      const ok = got.filter((g) => g.ok);
      return ok.length * 2 > copies.length && ok.some((g) => g.disk === this.copies.disk);
    });
  }

  private async complete(key: Key, fence: Fence, gen: number, copies: string[], ok: Extract<Promised, { ok: true }>[]): Promise<void> {
    const mine = this.copies.get(key.shard);
    const best = ok.reduce((a, b) => (b.lastFence > a.lastFence || (b.lastFence === a.lastFence && b.lastIdx > a.lastIdx) ? b : a));
    if (best.lastFence !== lastFence(mine) || best.lastIdx !== lastIdx(mine)) {
      const from = Math.min(lastIdx(mine), best.lastIdx);
      const fromFence = from >= mine.base.idx ? (from === mine.base.idx ? mine.base.fence : mine.entries[from - mine.base.idx - 1]!.fence) : '?';
      const f = await this.k.call<Fetched>(this.reg.peerOf(best.disk)!, 'Fetch', { disk: best.disk, shard: key.shard, from, fromFence }, C.snapshotMs);
      if (!(await this.copies.take(key.shard, fence, f, from))) return;
    }
    const c = this.copies.get(key.shard);
    if (c.promised !== fence) return;
    key.fence = fence;
    key.gen = gen;
    key.copies = copies;
    key.base = { idx: c.base.idx, fence: c.base.fence, topics: new Map([...c.base.topics].map(([t, b]) => [t, { ...b }])), senders: new Map([...c.base.senders].map(([t, b]) => [t, { ...b }])) };
    key.log = [...c.entries];
    key.commit = 0;
    key.trimTo = c.base.idx;
    key.match = new Map();
    key.next = new Map(copies.map((d) => [d, key.last() + 1]));
    key.ackAt = new Map();
    key.flying = new Set();
    key.topics.clear();
    key.senders.clear();
    for (const [t, b] of key.base.topics) key.topics.set(t, { head: b.head, pend: b.head, since: b.since, era: b.era, entries: [] });
    for (const e of key.log) key.note(e);
    const now = this.k.host.clock.now();
    key.log.push({ idx: key.last() + 1, fence, topic: '', off: 0, era: 0, sender: '', seq: 0, body: '', at: now });
    const barrier = key.last();
    this.replication.kick(key, true);
    const until = now + C.appendMs * 2;
    while (key.commit < barrier && key.fence === fence && key.state === 'taking' && this.k.host.clock.now() < until) await sleep(this.k.host.clock, 5);
    if (key.state !== 'taking' || key.fence !== fence || key.commit < barrier) return;
    this.turn(key, 'owner');
    this.announce(key);
  }

  private behind(key: Key): string[] {
    return key.copies.filter((d) => (key.match.get(d) ?? -1) < key.last() - C.appendN);
  }

  private announce(key: Key): void {
    const rec: KeyRec = { fence: key.fence, gen: key.gen, peer: this.k.self, inst: this.k.inst, behind: this.behind(key) };
    const s = JSON.stringify(rec);
    if (s === key.said) return;
    key.said = s;
    this.board.put(`key/${key.shard}`, `${key.fence}/${String(++key.saidN).padStart(8, '0')}`, rec);
  }

  private async trim(): Promise<void> {
    this.interests.trim();
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

  private serving(topic: string, step: string): Key {
    const key = this.keys.get(shardOf(topic))!;
    const doubt = key.state === 'owner' && this.k.host.clock.now() - key.heardAt() > C.doubtMs;
    if (key.state !== 'owner' || doubt) {
      const f = doubt ? NO_FENCE : this.copies.get(key.shard).promised;
      throw new Failure({ tag: 'not_owner', step, peer: this.k.self, hint: f });
    }
    return key;
  }

  private async publish(b: { sender: string; topic: string; seq: number; body: string }): Promise<{ offset: number }> {
    const fam = this.family(b.topic, 'Publish');
    const key = this.serving(b.topic, 'Publish');
    const limit = fam.limits?.bodyBytes ?? C.bodyBytes;
    if (Buffer.byteLength(b.body) > limit) throw new Failure({ tag: 'too_large', step: 'Publish', peer: this.k.self, limit });
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
        throw new Failure({ tag: 'outcome_unknown', step: 'Publish', peer: this.k.self, retryAfterMs: retryAfter(this.k.host.rnd, C.retryMs) });
      case 'new':
        break;
      default:
        return never(was);
    }
    const era = eraOf(this.reg.value!.eras, b.topic)!;
    const t = key.topicOf(b.topic, era);
    const e: Entry = { idx: key.last() + 1, fence: key.fence, topic: b.topic, off: t.pend + 1, era, sender: b.sender, seq: b.seq, body: b.body, at: this.k.host.clock.now() };
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
    const key = this.serving(b.topic, 'Open');
    if (b.confirm) await this.confirm(key);
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
      if (key.fence !== fence || key.state !== 'owner' || clock.now() > until) throw new Failure({ tag: 'not_owner', step: 'confirm', peer: this.k.self });
      this.replication.kick(key, true);
      await sleep(clock, 4);
    }
  }

  private history(b: { topic: string; from: number }): HistoryAnswer {
    if (!this.reg.fresh()) throw notReady(this.k, 'History');
    if (!familyOf(this.reg.value!.config, b.topic)) return { tag: 'gone' };
    const key = this.serving(b.topic, 'History');
    const v = this.view(key, b.topic);
    const from = Math.max(b.from, v.since);
    const i = Math.max(0, from - v.first);
    const entries = v.entries.slice(i, i + C.historyPageN).map((e) => ({ off: e.off, sender: e.sender, seq: e.seq, body: e.body }));
    return { tag: 'page', head: v.head, first: v.first, since: v.since, entries };
  }

  private heads(topics: string[], relay: string): { heads: Map<string, number>; missing: string[] } {
    const heads = new Map<string, number>();
    const missing: string[] = [];
    for (const t of topics) {
      const f = this.reg.fresh() ? familyOf(this.reg.value!.config, t) : undefined;
      const key = this.keys.get(shardOf(t))!;
      if (!f || key.state !== 'owner') continue;
      heads.set(t, this.view(key, t).head);
      if (!this.interests.has(relay, t)) missing.push(t);
    }
    return { heads, missing };
  }

}

register({
  name: 'owner',
  needs: ['board', 'register', 'copies'],
  setup: (k) => new Owner(k, k.use('board'), k.use('register'), k.use('copies')),
});
