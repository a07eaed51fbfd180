import {
  C,
  Kernel,
  below,
  diskUsesOf,
  gather,
  loop,
  register,
  sample,
  sleep,
  within,
  type DiskUse,
  type Role,
} from '@harecross/kernel';
import type { Store } from '@harecross/state';
import { Subject } from 'rxjs';
import { Outbox, type Fact } from './outbox.js';
import { packed, unpacked, type Packed } from './packed.js';
import { PeerView } from './peer-view.js';
import { TableSums, type TotalSum } from './table-sums.js';

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
  /** Whether it takes packed lists; a node of before there were any does not say so. */
  packs?: boolean;
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
/** Which version of each fact a node has. */
type Digest = [key: string, version: string][];
/** `parts` are sums by part; a node of before there were parts sends a whole `digest` in a second call. */
interface GossipRequest {
  sums: TotalSum;
  parts?: number[];
  digest?: Digest;
}
interface Comparison {
  newer: Fact[];
  want: string[];
}
/** `parts`: where the tables differ, with what the answering node has there. */
type GossipAnswer = 'same' | 'differs' | Comparison | { parts: number[]; digest: Packed<Digest[number]> };

declare module '@harecross/kernel' {
  interface Faces {
    board: Board;
  }
}

/**
 * The board: a table of small versioned facts, each written by one node or ordered by a fence.
 * News of a change is passed on to a few peers at once, and while there is much of it, in batches; digests mend what got lost, by sums
 * over parts of the table, so that only parts that differ are compared. Nodes know each other
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
  private view: PeerView;
  private outbox: Outbox;
  /** Versions of records that were forgotten, so that who still has them does not bring them back; and since when. */
  private forgotten = new Map<string, { ver: string; at: number }>();
  private probing = new Set<string>();
  /** Members in the order in which they are probed, drawn anew after each round, and which of them comes next. */
  private turnOrder: string[] = [];
  private turnAt = 0;
  private sums = new TableSums();
  /** When a fact last changed here. */
  private changedAt = -Infinity;
  private gossipedAt = -Infinity;
  /** How long a ping takes to be answered, smoothed. Slow at first: who starts together with others finds all of them busy. */
  private pingTakesMs = C.pingUsualMs * C.probePatienceX;
  private beat = 0;
  /** Members that a former life of this machine knew, from its disk. */
  private kept: string[] = [];
  /** Who called us and is no member yet: some member knows us from before. */
  private callers = new Set<string>();
  private mine: Pick<MemberRec, 'condition' | 'weight' | 'disk' | 'emptied'> = { condition: 'joining', weight: 0 };
  private saidWeight = 0;
  /** When our record was last said, and whether a change of weight waits for its time. */
  private saidAt = -Infinity;
  private weightWaits = false;

  constructor(private k: Kernel) {
    const { clock, rnd } = k.host;
    this.view = new PeerView(rnd, C.viewN);
    this.outbox = new Outbox(
      clock,
      () => this.paced(0, C.newsGapPerMemberMs),
      (facts) => this.sendNews(facts),
    );
    k.on('Gossip', (b: GossipRequest) => this.answerGossip(b));
    k.on('News', (b: { items: Packed<Fact> }) => {
      this.take(unpacked(b.items));
      return true;
    });
    // What a digest missed is taken, not passed on: it is no news, and the next digests carry it further.
    k.on('Mend', (b: { items: Packed<Fact>; want?: string[] }) => {
      this.setAll(unpacked(b.items));
      return b.want ? packed(this.facts(b.want)) : true;
    });
    k.on('Shuffle', (b: { peers: string[] }, f) => {
      const mine = sample(rnd, this.view.peers(), C.shuffleN);
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
    for (const s of k.host.config.seeds) if (s !== k.self) this.view.offer(s);
    if (k.host.db) this.remember(k.use('state'));
    this.sayMine();
    void this.join();
    k.keep(loop(clock, C.gossipMs, rnd, () => this.gossip()));
    k.keep(loop(clock, C.shuffleMs, rnd, () => this.shuffle()));
    k.keep(loop(clock, C.probeEveryMs, rnd, () => this.watch()));
    k.onStop(() => {
      this.mine.condition = 'left';
      this.sayMine();
      // Nothing is sent any more after the last step of a stop.
      this.outbox.flush();
    });
  }

  /**
   * A period that grows with the fleet, so that what all nodes together ask of one, or tell one, stays bounded.
   * @example
   * board.paced(60, 4); // 60 ms in a fleet of up to 15, 376 ms in one of 94
   */
  paced(leastMs: number, perMemberMs: number): number {
    return Math.max(leastMs, perMemberMs * this.members.size);
  }

  /** Changes what we say of ourselves. Small changes of weight wait for a larger one, and in a large fleet for some time. */
  say(x: Partial<Pick<MemberRec, 'condition' | 'weight' | 'disk' | 'emptied'>>): void {
    const was = this.mine;
    this.mine = { ...was, ...x };
    const same =
      was.condition === this.mine.condition &&
      was.disk === this.mine.disk &&
      (was.emptied ?? false) === (this.mine.emptied ?? false);
    if (!same) this.sayMine();
    else this.sayWeight();
  }

  /** Says our record anew if the weight has changed much, now or when it is time. */
  private sayWeight(): void {
    const step = Math.max(8, this.saidWeight / 5);
    if (this.weightWaits || Math.abs(this.mine.weight - this.saidWeight) < step) return;
    const { clock } = this.k.host;
    const waitMs = this.saidAt + this.paced(0, C.weightGapPerMemberMs) - clock.now();
    if (waitMs <= 0) {
      this.sayMine();
      return;
    }
    this.weightWaits = true;
    clock.after(waitMs, () => {
      this.weightWaits = false;
      if (this.k.phase !== 'stopped') this.sayWeight();
    });
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
      packs: true,
      ...this.mine,
    };
    if (rec.disk !== undefined) {
      rec.diskUses = diskUsesOf(config);
      rec.jointFences = true;
      const ms = this.k.host.db?.openMs;
      if (ms !== undefined) rec.diskMs = Math.round(ms * 10) / 10;
    }
    this.saidWeight = rec.weight;
    this.saidAt = this.k.host.clock.now();
    this.put(`m/${this.k.self}`, `${this.k.inst}.${String(++this.beat).padStart(10, '0')}`, rec);
  }

  get(key: string): unknown {
    return this.items.get(key)?.val;
  }

  /** Puts a fact and passes the news on. */
  put(key: string, ver: string, val: unknown): void {
    if (this.set(key, ver, val)) this.pass([[key, ver, val]]);
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

  /** Whether what each node does at the same moment would be too much for those that all ask. */
  isLarge(): boolean {
    return this.members.size >= C.largeFleetN;
  }

  /**
   * Whom to ask for something long that this peer and others have. In a large fleet a node with a disk: these are few and have wide links,
   * and a node that many had heard of something from would send it to all of them over its own.
   */
  wellLinked(peer: string): string {
    if (!this.isLarge() || this.members.get(peer)?.disk !== undefined) return peer;
    const withDisk = this.live().filter((m) => m.disk !== undefined && m.peer !== this.k.self);
    return sample(this.k.host.rnd, withDisk, 1)[0]?.peer ?? peer;
  }

  /** A random live peer other than us, or a contact when we know nobody. */
  somePeers(n: number): string[] {
    const { rnd, config } = this.k.host;
    const got = this.livePeers(n);
    const seeds = (got.length < n ? this.contacts() : config.seeds.filter((s) => s !== this.k.self)).filter(
      (s) => !got.includes(s),
    );
    // Now and then a seed that is not live to us: heals a fleet that fell in two.
    if (seeds.length && (got.length < n || rnd.next() < 0.05)) got.push(seeds[below(rnd, seeds.length)]!);
    return got;
  }

  /** Random live peers, of our view where it has enough of them: connections stay few. */
  private livePeers(n: number): string[] {
    const viewed = this.view.peers().filter((p) => this.members.get(p)?.state === 'live');
    return sample(this.k.host.rnd, viewed.length >= n ? viewed : this.otherLive(), n);
  }

  private otherLive(): string[] {
    return this.live()
      .map((m) => m.peer)
      .filter((p) => p !== this.k.self);
  }

  /** What we have under these keys. */
  private facts(keys: string[]): Fact[] {
    return keys.filter((key) => this.items.has(key)).map((key) => this.wire(key));
  }

  /**
   * A fact as it is sent. How long a member has been silent goes with its record: a node that joins would else hold it for heard of
   * just now, and pass it on as such, so that a fleet in which nodes begin again and again would never forget a machine that is gone.
   */
  private wire(key: string): Fact {
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
    if (old) this.sums.remove(key, old.ver);
    this.sums.add(key, ver);
    this.changedAt = this.k.host.clock.now();
    this.items.set(key, { ver, val });
    if (key.startsWith('m/')) this.meet(val as MemberRec, quietMs);
    else if (key.startsWith('s/')) this.suspicion(key.slice(2), ver);
    this.changed$.next(key);
    return true;
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
    if (!old && r.peer !== this.k.self && r.condition !== 'left') this.view.offer(r.peer);
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

  private take(items: Fact[]): void {
    const fresh = items.filter((fact) => this.set(...fact));
    if (fresh.length) this.pass(fresh);
  }

  /** Passes news on to a few others, soon. An empty list still carries our revision. */
  pass(items: Fact[]): void {
    this.outbox.add(items);
  }

  private sendNews(items: Fact[]): void {
    if (this.k.phase === 'stopped') return;
    const peers = this.livePeers(C.newsFanN);
    this.k.count('news.out', peers.length);
    const short = packed(items);
    const packs = (p: string): boolean => this.members.get(p)?.packs === true;
    const told = [
      ...this.k.callEach(peers.filter(packs), 'News', { items: short }),
      ...this.k.callEach(
        peers.filter((p) => !packs(p)),
        'News',
        { items },
      ),
    ];
    for (const answer of told) answer.catch(() => undefined);
  }

  private async gossip(): Promise<void> {
    // Who was a member once may not find us: its seeds may be gone, and it may have no disk. Our call tells it of us.
    for (const p of sample(
      this.k.host.rnd,
      this.kept.filter((x) => !this.members.has(x)),
      C.gossipPeersN,
    ))
      void this.ping(p);
    // While news is on its way tables differ by it everywhere: comparing them would send it all a second time.
    const now = this.k.host.clock.now();
    const newsComes = now - this.changedAt < this.paced(0, C.newsGapPerMemberMs);
    if (newsComes && now - this.gossipedAt < C.gossipAnywayMs) return;
    this.gossipedAt = now;
    await Promise.all(this.somePeers(C.gossipPeersN).map((p) => this.exchange(p)));
  }

  /** Compares our board with a peer's and mends both; says how many facts were new to us, or nothing when it did not answer. */
  private async exchange(p: string): Promise<number | undefined> {
    try {
      const { total: sums, parts } = this.sums;
      // Equal tables are the rule, and the sums by part are long: they go along only when ours has just changed.
      const changed = this.k.host.clock.now() - this.changedAt < 2 * C.gossipMs;
      let r = await this.k.call<GossipAnswer>(p, 'Gossip', changed ? { sums, parts } : { sums });
      if (r === 'differs' && !changed) r = await this.k.call<GossipAnswer>(p, 'Gossip', { sums, parts });
      // A node of before there were parts.
      if (r === 'differs') r = await this.k.call<GossipAnswer>(p, 'Gossip', { sums, digest: this.digest() });
      if (r === 'same' || r === 'differs') return 0;
      if ('parts' in r) return await this.mendParts(p, new Set(r.parts), unpacked(r.digest));
      const fresh = this.setAll(r.newer);
      if (r.want.length) await this.k.call(p, 'Mend', { items: this.facts(r.want) });
      return fresh;
    } catch {
      return undefined; // the next period mends it
    }
  }

  private answerGossip(b: GossipRequest): GossipAnswer {
    if (this.sums.isSame(b.sums)) return 'same';
    if (b.digest) return this.compare(b.digest);
    if (!b.parts) return 'differs';
    const parts = this.sums.differing(b.parts);
    return { parts, digest: packed(this.digest(new Set(parts))) };
  }

  /** Gives a peer what it lacks in the parts that differ, and takes what we lack there. */
  private async mendParts(p: string, parts: Set<number>, theirs: Digest): Promise<number> {
    const { newer, want } = this.compare(theirs, parts);
    if (!newer.length && !want.length) return 0;
    return this.setAll(unpacked(await this.k.call<Packed<Fact>>(p, 'Mend', { items: packed(newer), want })));
  }

  private setAll(items: Fact[]): number {
    return items.filter((fact) => this.set(...fact)).length;
  }

  private digest(parts?: Set<number>): Digest {
    const out: Digest = [];
    for (const [key, i] of this.items) if (!parts || parts.has(TableSums.partOf(key))) out.push([key, i.ver]);
    return out;
  }

  /**
   * A node that has just begun knows nobody but its contacts, and those may have just begun too: it compares often until nobody tells it
   * anything new. In a large fleet it does so less often, and mostly with others than the contacts: these are the same for all that
   * begin together.
   */
  private async join(): Promise<void> {
    const { clock, rnd } = this.k.host;
    const until = clock.now() + C.joinMs;
    let nothingNew = 0;
    let introduced = false;
    while (clock.now() < until && nothingNew < C.joinQuietN && this.k.phase !== 'stopped') {
      await sleep(clock, this.paced(C.joinEveryMs, C.joinPerMemberMs) * (0.5 + rnd.next()));
      const known = sample(rnd, this.otherLive(), 1);
      const asksContact = !known.length || rnd.next() * this.members.size < C.viewN;
      const asked = new Set([...known, ...(asksContact ? sample(rnd, this.contacts(), 1) : [])]);
      for (const fresh of await Promise.all([...asked].map((p) => this.exchange(p)))) {
        if (fresh !== undefined) nothingNew = fresh > 0 ? 0 : nothingNew + 1;
      }
      if (introduced || this.isLarge() || !this.otherLive().length) continue;
      // What we said of ourselves before reached nobody. In a large fleet many may begin together: comparing tells the others in time.
      introduced = true;
      this.pass(this.facts([`m/${this.k.self}`]));
    }
  }

  /** What we have and a peer lacks, and the other way round; in these parts only, where they are given. */
  private compare(digest: Digest, parts?: Set<number>): Comparison {
    const theirs = new Map(digest);
    const want: string[] = [];
    for (const [k, v] of theirs) {
      const mine = this.items.get(k)?.ver ?? this.forgotten.get(k)?.ver;
      if (mine === undefined || mine < v) want.push(k);
    }
    const newer: Fact[] = [];
    for (const [k, i] of this.items) {
      if (parts && !parts.has(TableSums.partOf(k))) continue;
      const v = theirs.get(k);
      if (v === undefined || v < i.ver) newer.push(this.wire(k));
    }
    return { newer, want };
  }

  private mergeView(peers: string[]): void {
    this.view.merge(peers.filter((p) => p !== this.k.self));
  }

  private async shuffle(): Promise<void> {
    const oldest = this.view.takeOldest();
    if (oldest === undefined) return;
    try {
      const got = await this.k.call<string[]>(oldest, 'Shuffle', {
        peers: sample(this.k.host.rnd, this.view.peers(), C.shuffleN - 1),
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
    const { clock } = this.k.host;
    const t0 = clock.now();
    try {
      await this.k.call(peer, 'Ping', {}, C.probeMs * this.patience());
      this.learnPing(clock.now() - t0);
      return true;
    } catch {
      return false;
    }
  }

  /** Soon believes that answers have become slow, and only after many quick ones that they are quick. */
  private learnPing(tookMs: number): void {
    const share = tookMs > this.pingTakesMs ? 1 / 2 : 1 / 8;
    this.pingTakesMs += (tookMs - this.pingTakesMs) * share;
  }

  /** By how much the time limits of a probe are longer than usual: while answers come slowly, a late one says nothing of its member. */
  private patience(): number {
    return Math.min(C.probePatienceX, Math.max(1, this.pingTakesMs / C.pingUsualMs));
  }

  /** Asks a member directly, then through others, and suspects it when nobody reaches it. */
  private async probe(m: Member): Promise<void> {
    if (this.probing.has(m.peer)) return;
    this.probing.add(m.peer);
    const { clock, rnd } = this.k.host;
    const t0 = clock.now();
    const patience = this.patience();
    const aloneMs = C.probeAloneMs * patience;
    const helpMs = C.probeHelpMs * patience;
    try {
      const mine = this.ping(m.peer);
      if (await within(clock, aloneMs, mine)) return; // the answer itself was the sign of life
      // Of whom we heard lately: those that we can't reach ourselves would answer nothing, and that is no sign against the member.
      const others = this.live().filter((x) => x.peer !== this.k.self && x.peer !== m.peer);
      const near = others.filter((x) => clock.now() - x.seenAt < C.probeAfterMs && this.k.whole(x.peer));
      const helpers = sample(
        rnd,
        (near.length ? near : others).map((x) => x.peer),
        C.probeHelpersN,
      );
      const tried = helpers.map((h) => this.k.call<boolean>(h, 'PingFor', { peer: m.peer }, helpMs).catch(() => false));
      const got = await within(
        clock,
        helpMs,
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
      if (clock.now() - t0 > aloneMs + helpMs + C.probeLateMs || now.seenAt > t0 || now.state !== 'live') return;
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
      if (this.turnAt >= this.turnOrder.length) {
        this.turnOrder = sample(rnd, [...this.members.keys()], this.members.size);
        this.turnAt = 0;
      }
      const m = this.members.get(this.turnOrder[this.turnAt++]!);
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
      this.sums.remove(key, i.ver);
      this.items.delete(key);
    }
    this.members.delete(peer);
    this.view.delete(peer);
  }
}

register({ name: 'board', needs: [], setup: (k) => new Board(k) });
