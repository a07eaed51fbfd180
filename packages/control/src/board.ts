import {
  C,
  Kernel,
  below,
  diskUsesOf,
  every,
  gather,
  hash,
  loop,
  register,
  sample,
  within,
  type DiskUse,
  type Role,
} from '@harecross/kernel';
import type { Store } from '@harecross/state';
import { Subject } from 'rxjs';

export type Condition = 'joining' | 'ready' | 'draining' | 'left' | 'ill';

/** What a member says of itself. Only the member writes it. */
export interface MemberRec {
  peer: string;
  client: string;
  domain: string;
  role: Role;
  /** By which operators call the machine. */
  name: string;
  disk?: string;
  diskUses?: DiskUse[];
  /** How long its disk took when it was opened (ms). */
  diskMs?: number;
  /** Its disk was emptied for an operator, and nobody took that back. */
  emptied?: boolean;
  /** Its replicas are taken by `fenceQuorum`. A member of before that rule does not say so, and no copy is replaced in one step. */
  jointFences?: true;
  inst: string;
  condition: Condition;
  /** Conns held. */
  weight: number;
}

/** What we think of a member. */
export type MemberState = 'live' | 'suspect' | 'dead' | 'left';

export interface Member extends MemberRec {
  state: MemberState;
  seenAt: number;
  liveSince: number;
}

interface Item {
  ver: string;
  val: unknown;
}
/** `quietMs`, for a member's record only: how long the sender has not heard of a member that it doesn't hold for live. */
type Wire = [key: string, ver: string, val: unknown, quietMs?: number];

declare module '@harecross/kernel' {
  interface Faces {
    board: Board;
  }
}

/**
 * The board: a table of small versioned facts, each written by one node or ordered by a fence.
 * News of a change is passed on to a few peers at once; digests mend what got lost. Nodes know each other
 * through partial views that neighbours shuffle. Liveness: any frame of a member is a sign of life; one that was
 * silent is asked directly, then through others, then suspected, and the suspicion is news. A member that hears
 * itself suspected says its record anew, which outdates the suspicion.
 * @example
 * k.use('board').put('key/3', ver, { fence, peer }); // passed on to a few, in time to all
 */
export class Board {
  readonly items = new Map<string, Item>();
  readonly members = new Map<string, Member>();
  readonly changed$ = new Subject<string>();
  readonly state$ = new Subject<Member>();
  private view = new Map<string, number>();
  /** Versions of records that were forgotten, so that who still has them does not bring them back; and since when. */
  private forgotten = new Map<string, { ver: string; at: number }>();
  private probing = new Set<string>();
  private turnOrder: string[] = [];
  /** Sum over all facts, for digests that are equal to be seen as equal at once. */
  private sums: [number, number] = [0, 0];
  private beat = 0;
  /** Members that a former life of this machine knew, from its disk. */
  private kept: string[] = [];
  /** Who called us and is no member yet: some member knows us from before. */
  private callers = new Set<string>();
  private mine: Pick<MemberRec, 'condition' | 'weight' | 'disk' | 'emptied'> = { condition: 'joining', weight: 0 };
  private saidWeight = 0;

  constructor(private k: Kernel) {
    const { clock, rnd } = k.host;
    k.on('Gossip', (b: { sums: [number, number]; digest?: [string, string][] }) => {
      if (b.sums.join() === this.sums.join()) return 'same';
      return b.digest ? this.compare(b.digest) : 'differs';
    });
    k.on('News', (b: { items: Wire[] }) => {
      this.take(b.items);
      return true;
    });
    // What a digest missed is taken, not passed on: it is no news, and the next digests carry it further.
    k.on('Mend', (b: { items: Wire[] }) => {
      for (const item of b.items) this.set(...item);
      return true;
    });
    k.on('Shuffle', (b: { peers: string[] }, f) => {
      const mine = sample(rnd, [...this.view.keys()], C.shuffleN);
      this.mergeView([...b.peers, f.peer]);
      return mine;
    });
    k.on('Ping', () => this.beat);
    k.on('PingFor', (b: { peer: string }) => this.ping(b.peer));
    k.onUnreachable = (p) => this.doubt(p);
    k.onBroken = (p) => this.doubt(p);
    k.helpersTo = (peer) => {
      const m = this.members.get(peer);
      return m && (m.state === 'dead' || m.state === 'left')
        ? []
        : this.live()
            .map((x) => x.peer)
            .filter((p) => p !== peer && p !== k.self);
    };
    k.onHeard = (p, inst) => this.heard(p, inst);
    k.keep(
      k.thawed$.subscribe(() => {
        // We slept, they did not: give everyone a fresh start instead of calling them all dead.
        for (const m of this.members.values()) m.seenAt = clock.now();
      }),
    );
    for (const s of k.host.config.seeds) if (s !== k.self) this.view.set(s, 0);
    if (k.host.db) this.remember(k.use('state'));
    this.sayMine();
    this.join();
    k.keep(loop(clock, C.gossipMs, rnd, () => this.gossip()));
    k.keep(loop(clock, C.shuffleMs, rnd, () => this.shuffle()));
    k.keep(loop(clock, C.probeEveryMs, rnd, () => this.watch()));
    k.onStop(() => {
      this.mine.condition = 'left';
      this.sayMine();
    });
  }

  /** Changes what we say of ourselves. Small changes of weight wait for a larger one. */
  say(x: Partial<Pick<MemberRec, 'condition' | 'weight' | 'disk' | 'emptied'>>): void {
    const was = this.mine;
    this.mine = { ...was, ...x };
    const step = Math.max(8, this.saidWeight / 5);
    if (
      was.condition === this.mine.condition &&
      was.disk === this.mine.disk &&
      (was.emptied ?? false) === (this.mine.emptied ?? false) &&
      Math.abs(this.mine.weight - this.saidWeight) < step
    )
      return;
    this.sayMine();
  }

  /** Says our record anew; also for who changed our config. */
  sayMine(): void {
    const { config } = this.k.host;
    const rec: MemberRec = {
      peer: this.k.self,
      client: config.client,
      domain: config.domain,
      role: config.role,
      name: config.name ?? this.k.self,
      inst: this.k.inst,
      ...this.mine,
    };
    if (rec.disk !== undefined) {
      rec.diskUses = diskUsesOf(config);
      rec.jointFences = true;
      const ms = this.k.host.db?.openMs;
      if (ms !== undefined) rec.diskMs = Math.round(ms * 10) / 10;
    }
    this.saidWeight = rec.weight;
    this.put(`m/${this.k.self}`, `${this.k.inst}.${String(++this.beat).padStart(10, '0')}`, rec);
  }

  get(key: string): unknown {
    return this.items.get(key)?.val;
  }

  /** Puts a fact and passes the news on. */
  put(key: string, ver: string, val: unknown): void {
    if (this.set(key, ver, val)) this.pass([[key, ver, val]], C.newsFanN);
  }

  live(): Member[] {
    return [...this.members.values()].filter((m) => m.state === 'live');
  }
  isLive(peer: string): boolean {
    return peer === this.k.self || this.members.get(peer)?.state === 'live';
  }
  /** Live and willing to take duties. */
  able(peer: string): boolean {
    const m = this.members.get(peer);
    return m !== undefined && m.state === 'live' && m.condition === 'ready';
  }
  ofDisk(disk: string): Member | undefined {
    for (const m of this.members.values()) if (m.disk === disk && m.state !== 'left' && m.state !== 'dead') return m;
    for (const m of this.members.values()) if (m.disk === disk) return m;
    return undefined;
  }

  /** Keeps the members we know on our disk: the seeds of the next start may all be gone by then. */
  private remember(st: Store): void {
    this.kept = JSON.parse(st.get('members') ?? '[]') as string[];
    let saved = this.kept.join();
    this.k.keep(
      loop(this.k.host.clock, C.rememberMs, this.k.host.rnd, async () => {
        const now = [...this.members.values()]
          .filter((m) => m.state !== 'left' && m.peer !== this.k.self)
          .map((m) => m.peer)
          .sort()
          .slice(0, C.rememberN);
        if (!now.length || now.join() === saved) return;
        await st.db.commit(() => st.set('members', JSON.stringify(now)));
        saved = now.join();
      }),
    );
  }

  /**
   * Addresses to begin from when nobody is known: the seeds, who was a member when we were last here, and who called us.
   * @example
   * board.contacts(); // ['10.0.0.1:7101', '10.0.0.2:7101']
   */
  contacts(): string[] {
    return [...new Set([...this.k.host.config.seeds, ...this.kept, ...this.callers])].filter((p) => p !== this.k.self);
  }

  /** A random live peer other than us, or a contact when we know nobody. */
  somePeers(n: number): string[] {
    const { rnd, config } = this.k.host;
    const viewed = [...this.view.keys()].filter((p) => this.members.get(p)?.state === 'live');
    const all = this.live()
      .map((m) => m.peer)
      .filter((p) => p !== this.k.self);
    const base = viewed.length >= n ? viewed : all;
    const got = sample(rnd, base, n);
    const seeds = (got.length < n ? this.contacts() : config.seeds.filter((s) => s !== this.k.self)).filter(
      (s) => !got.includes(s),
    );
    // Now and then a seed that is not live to us: heals a fleet that fell in two.
    if (seeds.length && (got.length < n || rnd.next() < 0.05)) got.push(seeds[below(rnd, seeds.length)]!);
    return got;
  }

  /**
   * A fact as it is sent. How long a member has been silent goes with its record: a node that joins would else hold it for heard of
   * just now, and pass it on as such, so that a fleet in which nodes begin again and again would never forget a machine that is gone.
   */
  private wire(key: string): Wire {
    const i = this.items.get(key)!;
    const m = key.startsWith('m/') ? this.members.get(key.slice(2)) : undefined;
    if (!m || m.state === 'live') return [key, i.ver, i.val];
    return [key, i.ver, i.val, Math.max(0, Math.round(this.k.host.clock.now() - m.seenAt))];
  }

  private set(key: string, ver: string, val: unknown, quietMs = 0): boolean {
    const old = this.items.get(key);
    if (old && old.ver >= ver) return false;
    if (!old && quietMs > C.forgetMs) return false;
    if (key === `m/${this.k.self}` && (val as MemberRec).inst !== this.k.inst) {
      // A record of the process that was here before, from a clock that ran ahead of ours.
      this.k.outlive((val as MemberRec).inst);
      this.sayMine();
      return false;
    }
    const f = this.forgotten.get(key);
    if (f !== undefined) {
      if (f.ver >= ver) return false;
      this.forgotten.delete(key);
    }
    if (old) this.sum(key, old.ver, -1);
    this.sum(key, ver, 1);
    this.items.set(key, { ver, val });
    if (key.startsWith('m/')) this.meet(val as MemberRec, quietMs);
    else if (key.startsWith('s/')) this.suspicion(key.slice(2), ver);
    this.changed$.next(key);
    return true;
  }

  private sum(key: string, ver: string, sign: 1 | -1): void {
    const h = hash(`${key}=${ver}`);
    this.sums = [(this.sums[0] + sign * h) | 0, (this.sums[1] + sign * Math.imul(h, 0x9e3779b1)) | 0];
  }

  /** Someone suspects a member: of us, we know better; of another, it stands unless its record is newer. */
  private suspicion(peer: string, ver: string): void {
    if (peer === this.k.self) {
      if (this.k.phase !== 'stopped') this.sayMine();
      return;
    }
    const m = this.members.get(peer);
    const rec = this.items.get(`m/${peer}`);
    if (m && rec && rec.ver <= ver && m.state === 'live') this.turn(m, 'suspect');
  }

  /** A sign of life. */
  private heard(peer: string, inst?: string): void {
    const m = this.members.get(peer);
    if (!m && this.callers.size < C.viewN) this.callers.add(peer);
    if (!m || m.state === 'left' || (inst !== undefined && inst !== m.inst)) return;
    m.seenAt = this.k.host.clock.now();
    if (m.state !== 'live') this.turn(m, 'live');
  }

  private meet(r: MemberRec, quietMs: number): void {
    const now = this.k.host.clock.now();
    const old = this.members.get(r.peer);
    const seenAt = Math.max(now - quietMs, old?.seenAt ?? -Infinity);
    const m: Member = { ...r, state: old?.state ?? 'dead', seenAt, liveSince: old?.liveSince ?? now };
    this.members.set(r.peer, m);
    const again = old !== undefined && old.inst !== r.inst;
    if (again) m.liveSince = now;
    if (r.peer !== this.k.self && r.condition !== 'left' && !this.view.has(r.peer) && this.view.size < C.viewN)
      this.view.set(r.peer, 0);
    const s = this.items.get(`s/${r.peer}`);
    const rec = this.items.get(`m/${r.peer}`)!;
    let state: MemberState = s && s.ver >= rec.ver ? 'suspect' : 'live';
    if (r.condition === 'left') state = 'left';
    this.turn(m, state, again);
  }

  /** The one function that changes what we think of a member. */
  private turn(m: Member, s: MemberState, again = false): void {
    if (m.state === s && !again) return;
    // What changes of state a machine goes through; not that it is there at first.
    if (m.state !== s) this.k.host.log.info(`member ${m.peer}: ${m.state} -> ${s}`, { condition: m.condition });
    if (m.state !== 'live' && s === 'live') m.liveSince = this.k.host.clock.now();
    m.state = s;
    this.k.count(`member.${s}`);
    this.state$.next(m);
  }

  private take(items: Wire[]): void {
    const fresh = items.filter((item) => this.set(...item));
    if (fresh.length) this.pass(fresh, C.newsFanN);
  }

  /** Passes news on to a few others. An empty list still carries our revision. */
  pass(items: Wire[], n: number): void {
    if (this.k.phase === 'stopped') return;
    for (const p of sample(
      this.k.host.rnd,
      this.live()
        .map((m) => m.peer)
        .filter((p) => p !== this.k.self),
      n,
    )) {
      this.k.count('news.out');
      this.k.call(p, 'News', { items }).catch(() => undefined);
    }
  }

  private async gossip(): Promise<void> {
    // Who was a member once may not find us: its seeds may be gone, and it may have no disk. Our call tells it of us.
    for (const p of sample(
      this.k.host.rnd,
      this.kept.filter((x) => !this.members.has(x)),
      C.gossipPeersN,
    ))
      void this.ping(p);
    await Promise.all(this.somePeers(C.gossipPeersN).map((p) => this.exchange(p)));
  }

  /** Compares our board with a peer's and mends both; says how many facts were new to us, or nothing when it did not answer. */
  private async exchange(p: string): Promise<number | undefined> {
    try {
      type Answer = 'same' | 'differs' | { newer: Wire[]; want: string[] };
      let r = await this.k.call<Answer>(p, 'Gossip', { sums: this.sums });
      if (r === 'differs')
        r = await this.k.call<Answer>(p, 'Gossip', {
          sums: this.sums,
          digest: [...this.items].map(([k, i]) => [k, i.ver] as [string, string]),
        });
      if (r === 'same' || r === 'differs') return 0;
      const fresh = r.newer.filter((item) => this.set(...item)).length;
      if (r.want.length)
        await this.k.call(p, 'Mend', { items: r.want.filter((w) => this.items.has(w)).map((w) => this.wire(w)) });
      return fresh;
    } catch {
      return undefined; // the next period mends it
    }
  }

  /**
   * A node that has just begun knows nobody but its contacts, and those may have just begun too: it compares often, with a contact and
   * with somebody it knows, until nobody tells it anything new.
   */
  private join(): void {
    const { clock, rnd } = this.k.host;
    const until = clock.now() + C.joinMs;
    let nothingNew = 0;
    const often = every(clock, C.joinEveryMs, rnd).subscribe(() => {
      if (clock.now() > until || nothingNew >= C.joinQuietN) {
        often.unsubscribe();
        return;
      }
      const known = this.live()
        .map((m) => m.peer)
        .filter((p) => p !== this.k.self);
      for (const p of new Set([...sample(rnd, this.contacts(), 1), ...sample(rnd, known, 1)])) {
        void this.exchange(p).then((n) => {
          if (n !== undefined) nothingNew = n > 0 ? 0 : nothingNew + 1;
        });
      }
    });
    this.k.keep(often);
  }

  private compare(digest: [string, string][]): { newer: Wire[]; want: string[] } {
    const theirs = new Map(digest);
    const want: string[] = [];
    for (const [k, v] of theirs) {
      const mine = this.items.get(k)?.ver ?? this.forgotten.get(k)?.ver;
      if (mine === undefined || mine < v) want.push(k);
    }
    const newer: Wire[] = [];
    for (const [k, i] of this.items) {
      const v = theirs.get(k);
      if (v === undefined || v < i.ver) newer.push(this.wire(k));
    }
    return { newer, want };
  }

  private mergeView(peers: string[]): void {
    for (const p of peers) if (p !== this.k.self && !this.view.has(p)) this.view.set(p, 0);
    while (this.view.size > C.viewN) {
      const oldest = [...this.view].sort((a, b) => b[1] - a[1])[0]![0];
      this.view.delete(oldest);
    }
  }

  private async shuffle(): Promise<void> {
    for (const [p, age] of this.view) this.view.set(p, age + 1);
    const oldest = [...this.view].sort((a, b) => b[1] - a[1])[0]?.[0];
    if (!oldest) return;
    this.view.delete(oldest);
    try {
      const got = await this.k.call<string[]>(oldest, 'Shuffle', {
        peers: sample(this.k.host.rnd, [...this.view.keys()], C.shuffleN - 1),
      });
      this.mergeView([...got, oldest]);
    } catch {
      /* gone from the view until someone names it again */
    }
  }

  /** A visit surely did not reach this peer, a connection to it broke, or its answer is overdue: ask it once more at once. */
  doubt(peer: string): void {
    const m = this.members.get(peer);
    if (m && m.state === 'live') void this.probe(m);
  }

  private async ping(peer: string): Promise<boolean> {
    return this.k.call(peer, 'Ping', {}, C.probeMs).then(
      () => true,
      () => false,
    );
  }

  /** Asks a member directly, then through others, and suspects it when nobody reaches it. */
  private async probe(m: Member): Promise<void> {
    if (this.probing.has(m.peer)) return;
    this.probing.add(m.peer);
    const { clock, rnd } = this.k.host;
    const t0 = clock.now();
    try {
      const mine = this.ping(m.peer);
      if (await within(clock, C.probeAloneMs, mine)) return; // the answer itself was the sign of life
      // Of whom we heard lately: those that we can't reach ourselves would answer nothing, and that is no sign against the member.
      const others = this.live().filter((x) => x.peer !== this.k.self && x.peer !== m.peer);
      const near = others.filter((x) => clock.now() - x.seenAt < C.probeAfterMs && this.k.whole(x.peer));
      const helpers = sample(
        rnd,
        (near.length ? near : others).map((x) => x.peer),
        C.probeHelpersN,
      );
      const tried = helpers.map((h) =>
        this.k.call<boolean>(h, 'PingFor', { peer: m.peer }, C.probeHelpMs).catch(() => false),
      );
      const got = await within(
        clock,
        C.probeHelpMs,
        gather([mine, ...tried], (xs) => xs.includes(true)),
      );
      const now = this.members.get(m.peer);
      if (!now || now.inst !== m.inst) return;
      if (got?.includes(true)) {
        // Others reach it: if it did not answer us, it is our own link that broke.
        if (now.seenAt < t0) this.k.breaks(m.peer);
        this.heard(m.peer, m.inst);
        return;
      }
      // Stood our own loop still meanwhile? Then the silence was ours.
      if (clock.now() - t0 > C.probeAloneMs + C.probeHelpMs + C.probeLateMs || now.seenAt > t0 || now.state !== 'live')
        return;
      this.turn(now, 'suspect');
      this.put(`s/${m.peer}`, this.items.get(`m/${m.peer}`)!.ver, { by: this.k.self });
    } finally {
      this.probing.delete(m.peer);
    }
  }

  private async watch(): Promise<void> {
    const { clock, rnd } = this.k.host;
    const now = clock.now();
    for (const m of Array.from(this.members.values())) {
      if (m.peer === this.k.self) continue;
      const quiet = now - m.seenAt;
      if (m.state === 'suspect' && quiet > C.deadMs) this.turn(m, 'dead');
      if ((m.state === 'dead' || m.state === 'left') && quiet > C.forgetMs) this.forget(m.peer);
    }
    for (const [key, f] of this.forgotten) if (now - f.at > C.tombstoneMs) this.forgotten.delete(key);
    for (let left = this.members.size; left > 0; left--) {
      if (!this.turnOrder.length) this.turnOrder = sample(rnd, [...this.members.keys()], this.members.size);
      const m = this.members.get(this.turnOrder.pop()!);
      if (!m || m.peer === this.k.self || m.state === 'left' || now - m.seenAt < C.probeAfterMs) continue;
      void this.probe(m);
      return;
    }
  }

  private forget(peer: string): void {
    for (const key of [`m/${peer}`, `s/${peer}`]) {
      const i = this.items.get(key);
      if (!i) continue;
      this.forgotten.set(key, { ver: i.ver, at: this.k.host.clock.now() });
      this.sum(key, i.ver, -1);
      this.items.delete(key);
    }
    this.members.delete(peer);
    this.view.delete(peer);
  }
}

register({ name: 'board', needs: [], setup: (k) => new Board(k) });
