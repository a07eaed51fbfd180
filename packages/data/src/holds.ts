import {
  C,
  Failure,
  Kernel,
  type HoldingInfo,
  faultOf,
  hash,
  loop,
  rank,
  register,
  retryAfter,
  sample,
  shardOf,
  sleep,
} from '@harecross/kernel';
import { awayNow, type Board, type Register } from '@harecross/control';
import { familyOf, urgencyOf, type Frame } from '@harecross/schema';
import { distinctUntilChanged, map } from 'rxjs';
import { interestRow, placeSum, readFanRow, type FanFrame, type FanRow, type InterestItem } from './interest.js';
import type { HeadsAnswer, HistoryAnswer } from './owner.js';
import type { Route } from './route.js';

declare module '@harecross/kernel' {
  interface Faces {
    holds: Holds;
  }
}

/** A message as all its subscribers get it; one object for all, so that who writes it out need do so once. */
export interface Message {
  topic: string;
  sender: string;
  seq: number;
  offset: number;
  body: string;
  bytes: number;
}
/** A frame on its way to a conn. */
export type Outgoing = { t: 'DELIVER'; sub: string; msg: Message } | Exclude<Frame, { t: 'DELIVER' }>;

/** Where a conn's frames go. `write` says whether more may follow at once; `drained` is called when it may. */
export interface Sink {
  write(frames: Outgoing[]): boolean;
  close(): void;
}

const written = new WeakMap<Message, string>();
/**
 * Frames as the lines of the product's own stream, each ended by a newline.
 * @example
 * raw.write(frameLines([{ t: 'GOAWAY', retryAfterMs: 0 }]));
 */
export function frameLines(frames: Outgoing[]): string {
  let out = '';
  for (const f of frames) {
    if (f.t !== 'DELIVER') {
      out += JSON.stringify(f) + '\n';
      continue;
    }
    let line = written.get(f.msg);
    if (line === undefined) {
      const { topic, sender, seq, offset, body } = f.msg;
      line = JSON.stringify({ topic, sender, seq, offset, body }).slice(1);
      written.set(f.msg, line);
    }
    out += `{"t":"DELIVER","sub":"${f.sub}",${line}\n`;
  }
  return out;
}

type ConnState = 'open' | 'closing' | 'closed';
type CloseReason = Extract<Frame, { t: 'CLOSED' }>['reason'];

interface Waiting {
  frame: Outgoing;
  bytes: number;
  over: boolean;
  sub?: Sub;
  gen?: string;
  flushMs: number;
}

interface Sub {
  id: string;
  conn: Conn;
  topic: string;
  next: number;
  /** Where it began. */
  first: number;
  /** Settles when its beginning is known; who subscribes again meanwhile waits for it too. */
  opened: Promise<void>;
  expiresAt: number;
  renewedAt: number;
  live: boolean;
}

class Conn {
  state: ConnState = 'open';
  subs = new Map<string, Sub>();
  buf: Waiting[] = [];
  std = 0;
  over = 0;
  blocked = false;
  /** Frames given to the stream. */
  sent = 0;
  armedAt = Infinity;
  disarm: () => void = () => {};
  /** The relay, and its instance, that was told of this conn. */
  home = '';
  heardAt: number;
  constructor(
    readonly id: string,
    readonly consumer: string,
    readonly pingMs: number,
    readonly sink: Sink,
    readonly at: number,
  ) {
    this.heardAt = at;
  }
}

/** The holds of all our subscribers on one topic; the owner learns only the latest deadline. */
interface TopicHold {
  topic: string;
  shard: number;
  mark: number;
  subs: Set<Sub>;
  gen: string;
  saidUntil: number;
  seen: number;
  pulling: boolean;
  again: boolean;
}

/**
 * The relay's side of interest holds (the paper's design). One hold per subscription, renewed by this node from
 * traffic on the conn; it ends at its deadline, on unsubscribe, on close, silence or replacement, and what waits
 * for it goes too. The owner is told deadlines. Extension: each subscription knows the next offset it is owed; a
 * gap, a lost frame, or a new owner is mended from the owner's history.
 * @example
 * const conn = holds.attach('phone-7', 2, sink);
 * await holds.subscribe(conn, 'feed/7', 41);
 */
export class Holds {
  readonly conns = new Map<string, Conn>();
  private topics = new Map<string, TopicHold>();
  private consumers = new Map<string, Conn>();
  private n = 0;
  /** Tells our generations from those of an earlier process here. */
  private readonly genBase: string;
  /** Relays came or went: some conns have another home now. */
  private homesMoved = false;
  /** Leaving: conns are sent elsewhere. */
  private away = false;
  /** When we last could serve by our configuration. */
  private freshAt: number;
  private mostStd = 0;
  private mostOver = 0;
  private rev = 0;
  private dirty = new Set<string>();
  private homes = new Map<string, { conn: string; peer: string; at: number; seenAt: number }>();

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
    private route: Route,
  ) {
    const { clock, rnd } = k.host;
    this.freshAt = clock.now();
    this.genBase = Math.floor(rnd.next() * 2 ** 32).toString(36);
    k.on(
      'Fan',
      (b: { frames: FanRow[] }) => {
        for (const f of b.frames) this.frame(readFanRow(f));
        return true;
      },
      true,
    );
    k.on('CountHolds', (b: { topic: string }) => this.count(b.topic));
    k.on('Home', (b: { conns: { consumer: string; conn: string; age: number }[] }, f) => this.home(b.conns, f.peer));
    k.on('Replace', (b: { conn: string }) => {
      const c = this.conns.get(b.conn);
      if (c) this.close(c, 'replaced');
      return true;
    });
    k.keep(loop(clock, 200, rnd, () => this.tick()));
    k.keep(loop(clock, C.headsMs, rnd, () => this.heads()));
    k.keep(loop(clock, C.homeRenewMs, rnd, async () => this.sayHome([...this.conns.values()])));
    k.keep(
      board.state$.subscribe((m) => {
        if (m.role === 'relay') this.homesMoved = true;
      }),
    );
    // While we slept, consumers may have probed: the silence was ours, not theirs. Deadlines of holds stay.
    k.keep(
      k.thawed$.subscribe((ms) => {
        for (const c of this.conns.values()) c.heardAt += ms;
      }),
    );
    k.keep(route.moved$.subscribe((s) => this.moved(s)));
    k.keep(reg.value$.subscribe(() => this.sweepFamilies()));
    k.keep(
      reg.value$
        .pipe(
          map((v) => awayNow(v, k.self)),
          distinctUntilChanged(),
        )
        .subscribe((away) => {
          if (away) this.sendAway(C.awaySpreadMs);
          else this.away = false;
        }),
    );
    k.onStop(() => this.drain());
  }

  // --- conns ---

  attach(consumer: string, pingS: number | undefined, sink: Sink): string {
    const { clock, rnd } = this.k.host;
    if (this.conns.size >= C.connsN)
      throw new Failure({
        tag: 'overloaded',
        step: 'Attach',
        peer: this.k.self,
        retryAfterMs: retryAfter(rnd, C.retryMs),
      });
    // The consumer may ask for longer silence, but is told the ping by which it is counted.
    const ping = pingS ?? C.pingS;
    const conn = new Conn(`${this.k.self}/${this.k.inst}/${++this.n}`, consumer, ping * 1000, sink, clock.now());
    const old = this.consumers.get(consumer);
    if (old) this.close(old, 'replaced');
    this.conns.set(conn.id, conn);
    this.consumers.set(consumer, conn);
    this.board.say({ weight: this.conns.size });
    this.k.count('conn.open');
    this.put(conn, { t: 'ATTACHED', conn: conn.id, pingS: Math.min(ping, C.pingS) }, true);
    this.sayHome([conn]);
    if (this.away) this.k.host.clock.after(C.flushUrgentMs, () => this.sendOn(conn));
    return conn.id;
  }

  /** The one function that ends a conn. Its holds end at once and what waited for them goes too. */
  close(conn: Conn, reason: CloseReason | 'gone'): void {
    if (conn.state === 'closed') return;
    conn.state = 'closed';
    this.k.count(`conn.closed.${reason}`);
    conn.disarm();
    for (const s of Array.from(conn.subs.values())) this.end(s);
    conn.buf = [];
    this.conns.delete(conn.id);
    if (this.consumers.get(conn.consumer) === conn) this.consumers.delete(conn.consumer);
    this.board.say({ weight: this.conns.size });
    if (reason !== 'gone')
      conn.sink.write([
        { t: 'CLOSED', reason, retryAfterMs: reason === 'replaced' ? 0 : retryAfter(this.k.host.rnd, C.retryMs / 2) },
      ]);
    conn.sink.close();
  }

  gone(id: string): void {
    const c = this.conns.get(id);
    if (c) this.close(c, 'gone');
  }

  drained(id: string): void {
    const c = this.conns.get(id);
    if (!c) return;
    c.blocked = false;
    if (c.buf.length) this.flush(c);
    this.goOn(c);
  }

  /** The conn of an id; also the sign of life that renews its holds. */
  heard(id: string, step: string): Conn {
    const c = this.sign(id);
    if (!c) throw new Failure({ tag: 'unknown_conn', step, peer: this.k.self });
    return c;
  }

  /** A sign of life of a conn, if it is there. */
  sign(id: string): Conn | undefined {
    const c = this.conns.get(id);
    if (!c || c.state !== 'open') return undefined;
    const now = this.k.host.clock.now();
    c.heardAt = now;
    for (const s of c.subs.values()) {
      if (now - s.renewedAt < C.holdRenewMs) continue;
      s.renewedAt = now;
      s.expiresAt = now + C.holdTtlMs;
      this.dirty.add(s.topic);
    }
    return c;
  }

  // --- subscriptions ---

  async subscribe(id: string, topic: string, cursor: number | undefined): Promise<{ sub: string; next: number }> {
    const conn = this.heard(id, 'Subscribe');
    const had = conn.subs.get(topic);
    // Asked again, it is the same subscription with the same beginning: frames behind that may still be on their way.
    if (had) {
      await had.opened;
      return { sub: had.id, next: had.first };
    }
    if (conn.subs.size >= (this.reg.value?.config.limits?.subscriptionsPerConn ?? C.subsPerConnN))
      throw new Failure({
        tag: 'overloaded',
        step: 'Subscribe',
        peer: this.k.self,
        retryAfterMs: retryAfter(this.k.host.rnd, C.retryMs),
      });
    const fam = this.reg.value && familyOf(this.reg.value.config, topic);
    if (!fam) throw new Failure({ tag: 'unknown_topic', step: 'Subscribe', peer: this.k.self, topic });
    const now = this.k.host.clock.now();
    const sub: Sub = {
      id: `${conn.id.slice(conn.id.lastIndexOf('/') + 1)}.${++this.n}`,
      conn,
      topic,
      next: Infinity,
      first: Infinity,
      opened: Promise.resolve(),
      expiresAt: now + C.holdTtlMs,
      renewedAt: now,
      live: true,
    };
    conn.subs.set(topic, sub);
    const h = this.holdOf(topic);
    h.subs.add(sub);
    this.dirty.add(topic);
    void this.sayInterest();
    sub.opened = this.open(sub, h, cursor, fam.patienceMs);
    await sub.opened;
    return { sub: sub.id, next: sub.first };
  }

  /** Finds out from the owner where a subscription begins; ends it when it can't. */
  private async open(sub: Sub, h: TopicHold, cursor: number | undefined, patienceMs: number): Promise<void> {
    const { topic } = sub;
    try {
      let o = await this.route.atOwner<{ head: number; first: number; since: number }>(
        topic,
        'Open',
        () => ({ topic, confirm: cursor === undefined }),
        patienceMs,
      );
      if (cursor !== undefined && cursor > o.head) {
        o = await this.route.atOwner(topic, 'Open', () => ({ topic, confirm: true }), patienceMs);
        if (cursor > o.head)
          throw new Failure({ tag: 'cursor_ahead', step: 'Subscribe', peer: this.k.self, head: o.head });
      }
      const next = cursor === undefined ? o.head + 1 : Math.max(cursor + 1, o.since);
      if (next < o.first)
        throw new Failure({
          tag: 'cursor_expired',
          step: 'Subscribe',
          peer: this.k.self,
          first: o.first,
          head: o.head,
        });
      if (!sub.live) {
        // Its family went meanwhile, or its conn, or the consumer left it.
        const removed = this.reg.value !== undefined && !familyOf(this.reg.value.config, topic);
        throw new Failure(
          removed
            ? { tag: 'unknown_topic', step: 'Subscribe', peer: this.k.self, topic }
            : { tag: 'unknown_conn', step: 'Subscribe', peer: this.k.self },
        );
      }
      sub.first = sub.next = next;
      h.seen = Math.max(h.seen, o.head);
      if (next <= h.seen) this.pull(h);
      this.k.count('subscribe');
    } catch (e) {
      this.end(sub);
      throw e;
    }
  }

  unsubscribe(id: string, topic: string): boolean {
    const conn = this.heard(id, 'Unsubscribe');
    const s = conn.subs.get(topic);
    if (!s) return false;
    this.leave(s, 'unsubscribed');
    return true;
  }

  private leave(s: Sub, reason: Extract<Frame, { t: 'LEFT' }>['reason']): void {
    if (!s.live) return;
    this.end(s);
    this.put(s.conn, { t: 'LEFT', sub: s.id, topic: s.topic, reason }, true);
  }

  /** The one function that ends a hold: what waits for it goes with it. */
  private end(s: Sub): void {
    if (!s.live) return;
    s.live = false;
    s.conn.subs.delete(s.topic);
    const h = this.topics.get(s.topic);
    h?.subs.delete(s);
    this.drop(s.conn, (w) => w.sub === s);
    this.dirty.add(s.topic);
  }

  /** From no hold to one, a generation is issued; frames must carry it. */
  private holdOf(topic: string): TopicHold {
    let h = this.topics.get(topic);
    if (!h || h.subs.size === 0) {
      const gen = `${this.genBase}.${(++this.n).toString(36)}`;
      if (h) {
        h.gen = gen;
        h.saidUntil = 0;
      } else {
        h = {
          topic,
          shard: shardOf(topic),
          mark: hash(topic),
          subs: new Set(),
          gen,
          saidUntil: 0,
          seen: 0,
          pulling: false,
          again: false,
        };
        this.topics.set(topic, h);
      }
    }
    return h;
  }

  private count(topic: string): number {
    const now = this.k.host.clock.now();
    let n = 0;
    for (const s of this.topics.get(topic)?.subs ?? [])
      if (s.expiresAt > now && now - s.conn.heardAt <= C.countFreshMs) n++;
    return n;
  }

  // --- delivery ---

  private frame(f: FanFrame): void {
    const h = this.topics.get(f.topic);
    if (!h) return;
    h.seen = Math.max(h.seen, f.off);
    if (h.gen !== f.gen) {
      this.k.count('frame.old_generation');
      if (h.subs.size) this.pull(h);
      return;
    }
    if (this.offer(h, f)) this.pull(h);
  }

  /** Gives one message to each subscription that is owed it next; says whether some subscription has a gap. */
  private offer(h: TopicHold, f: { off: number; sender: string; seq: number; body: string }, catchUp = false): boolean {
    let gap = false;
    let msg: Message | undefined;
    const flushMs = this.flushMs(h.topic);
    for (const s of Array.from(h.subs)) {
      if (s.next < f.off) gap = true;
      if (s.next !== f.off) continue;
      // More follows once this has gone out; see flush.
      if (catchUp && s.conn.std > C.catchUpBytes) {
        this.arm(s.conn, 0);
        continue;
      }
      s.next++;
      msg ??= {
        topic: h.topic,
        sender: f.sender,
        seq: f.seq,
        offset: f.off,
        body: f.body,
        bytes: Buffer.byteLength(f.body) + C.frameHeadBytes,
      };
      this.push(s.conn, {
        frame: { t: 'DELIVER', sub: s.id, msg },
        bytes: msg.bytes,
        over: false,
        sub: s,
        gen: h.gen,
        flushMs,
      });
    }
    return gap;
  }

  /** How long a frame may wait for company: a small part of the family's aim, so that the aim can be met. */
  private flushMs(topic: string): number {
    const v = this.reg.value;
    const fam = v && familyOf(v.config, topic);
    if (!fam) return C.flushMs;
    const most = urgencyOf(v.config, fam) === 'urgent' ? C.flushUrgentMs : C.flushMs;
    return fam.aimMs === undefined ? most : Math.min(most, fam.aimMs * C.flushShare);
  }

  /** Reads the owner's history from the least offset owed, one reader per topic. */
  private pull(h: TopicHold): void {
    if (h.pulling) {
      h.again = true;
      return;
    }
    h.pulling = true;
    void this.pulls(h).finally(() => {
      h.pulling = false;
      if (h.again) {
        h.again = false;
        if (h.subs.size) this.pull(h);
      }
    });
  }

  private async pulls(h: TopicHold): Promise<void> {
    for (let i = 0; i < 200; i++) {
      h.again = false;
      const waiting = [...h.subs].filter((s) => s.next <= h.seen && s.conn.std <= C.catchUpBytes && !s.conn.blocked);
      if (!waiting.length) return;
      const from = Math.min(...waiting.map((s) => s.next));
      let a: HistoryAnswer;
      try {
        a = await this.route.atOwner<HistoryAnswer>(
          h.topic,
          'History',
          () => ({ topic: h.topic, from }),
          C.ownerTryMs * 2,
        );
      } catch {
        this.k.count('pull.fail');
        return; // tried again with the next heads, within a second
      }
      this.k.count('pull');
      if (a.tag === 'gone') return;
      h.seen = Math.max(h.seen, a.head);
      for (const s of Array.from(h.subs)) {
        if (s.next < a.since) s.next = a.since;
        if (s.next < a.first) this.leave(s, 'cursor_expired');
      }
      if (!a.entries.length) return;
      for (const e of a.entries) this.offer(h, e, true);
    }
  }

  private put(conn: Conn, f: Exclude<Frame, { t: 'DELIVER' }>, urgent: boolean): void {
    this.push(conn, { frame: f, bytes: C.frameHeadBytes, over: false, flushMs: urgent ? C.flushUrgentMs : C.flushMs });
  }

  private push(conn: Conn, w: Waiting): void {
    if (conn.state === 'closed') return;
    w.over = w.bytes > C.oversizedFromBytes;
    if (w.over ? conn.over + w.bytes > C.oversizedLaneBytes : conn.std + w.bytes > C.laneBytes) {
      // A saturated conn is retired; the consumer comes again with its cursor instead of getting a partial stream.
      this.close(conn, 'saturated');
      return;
    }
    if (w.over) conn.over += w.bytes;
    else conn.std += w.bytes;
    this.mostStd = Math.max(this.mostStd, conn.std);
    this.mostOver = Math.max(this.mostOver, conn.over);
    conn.buf.push(w);
    this.arm(conn, w.flushMs);
  }

  private drop(conn: Conn, out: (w: Waiting) => boolean): void {
    const keep: Waiting[] = [];
    for (const w of conn.buf) {
      if (!out(w)) {
        keep.push(w);
        continue;
      }
      if (w.over) conn.over -= w.bytes;
      else conn.std -= w.bytes;
    }
    conn.buf = keep;
  }

  private arm(conn: Conn, ms: number): void {
    const { clock } = this.k.host;
    const at = clock.now() + ms;
    if (conn.blocked || conn.armedAt <= at) return;
    conn.disarm();
    conn.armedAt = at;
    conn.disarm = clock.after(ms, () => {
      conn.armedAt = Infinity;
      this.flush(conn);
    });
  }

  /** The final send: only what still has a live hold, the current generation and a family in force. */
  private flush(conn: Conn): void {
    if (conn.state === 'closed' || conn.blocked || !conn.buf.length) return;
    const now = this.k.host.clock.now();
    const fresh = this.reg.fresh();
    const out: Outgoing[] = [];
    const keep: Waiting[] = [];
    for (const w of conn.buf) {
      const s = w.sub;
      if (s) {
        if (!fresh) {
          keep.push(w);
          continue;
        }
        const ok = s.live && s.expiresAt > now && this.topics.get(s.topic)?.gen === w.gen;
        if (!ok) {
          this.k.count('frame.lapsed');
          if (w.over) conn.over -= w.bytes;
          else conn.std -= w.bytes;
          continue;
        }
        this.k.count('deliver');
      }
      if (w.over) conn.over -= w.bytes;
      else conn.std -= w.bytes;
      out.push(w.frame);
      conn.sent++;
    }
    conn.buf = keep;
    if (keep.length) this.arm(conn, C.flushMs);
    if (out.length && !conn.sink.write(out)) conn.blocked = true;
    else if (out.length) this.goOn(conn);
  }

  /** Catch-up that waited for room in a conn's buffer goes on. */
  private goOn(conn: Conn): void {
    for (const s of conn.subs.values()) {
      const h = this.topics.get(s.topic);
      if (h && s.next <= h.seen) this.pull(h);
    }
  }

  // --- loops ---

  private async tick(): Promise<void> {
    const now = this.k.host.clock.now();
    if (this.reg.fresh()) this.freshAt = now;
    // Cut off for long: nothing reaches our consumers through us, and others may serve them.
    else if (now - this.freshAt > C.unfreshMs && this.conns.size) {
      this.k.host.log.warn('cut off, conns are sent elsewhere', { conns: this.conns.size });
      for (const c of Array.from(this.conns.values())) this.close(c, 'not_ready');
    }
    if (this.homesMoved) {
      this.homesMoved = false;
      this.sayHome([...this.conns.values()].filter((c) => this.homeOf(c.consumer)?.id !== c.home));
    }
    for (const c of Array.from(this.conns.values())) {
      if (now - c.heardAt > C.silencePingsN * c.pingMs) {
        this.close(c, 'silent');
        continue;
      }
      for (const s of Array.from(c.subs.values())) if (s.expiresAt <= now) this.leave(s, 'hold_ended');
    }
    await this.sayInterest();
  }

  /** Tells owners the deadlines that changed. */
  private async sayInterest(): Promise<void> {
    const byOwner = new Map<string, InterestItem[]>();
    for (const t of Array.from(this.dirty)) {
      const h = this.topics.get(t);
      if (!h) {
        this.sayEnded(t, byOwner);
        continue;
      }
      const until = Math.max(0, ...[...h.subs].map((s) => s.expiresAt));
      if (until === h.saidUntil) {
        this.dirty.delete(t);
        if (!h.subs.size) this.topics.delete(t);
        continue;
      }
      const owner = this.route.owner(h.shard);
      if (!owner) continue;
      this.dirty.delete(t);
      h.saidUntil = until;
      const items = byOwner.get(owner) ?? [];
      items.push({ topic: t, rev: ++this.rev, expiresAt: until, gen: h.gen });
      byOwner.set(owner, items);
      if (!h.subs.size && !h.pulling) this.topics.delete(t);
    }
    await Promise.all(
      [...byOwner].map(async ([owner, items]) => {
        this.k.count('interest.said', items.length);
        try {
          await this.k.reach(owner, 'Interest', { items: items.map(interestRow) });
        } catch {
          for (const i of items) {
            const h = this.topics.get(i.topic);
            if (h) {
              h.saidUntil = -1;
              this.dirty.add(i.topic);
            }
          }
        }
      }),
    );
  }

  /** A topic without any hold: its interest has ended, in case the owner believes otherwise. */
  private sayEnded(topic: string, byOwner: Map<string, InterestItem[]>): void {
    this.dirty.delete(topic);
    const owner = this.route.owner(shardOf(topic));
    if (!owner) return;
    const items = byOwner.get(owner) ?? [];
    items.push({ topic, rev: ++this.rev, expiresAt: 0, gen: '' });
    byOwner.set(owner, items);
  }

  private moved(shard: number): void {
    const mine = [...this.topics.values()].filter((h) => h.shard === shard && h.subs.size);
    for (const h of mine) {
      h.saidUntil = -1;
      this.dirty.add(h.topic);
    }
    if (mine.length) {
      void this.sayInterest();
      void this.headsOf(mine);
    }
  }

  private async heads(): Promise<void> {
    const mine = [...this.topics.values()].filter((h) => h.subs.size);
    // What we know to be there and could not read is read again: the owner's sum will not differ from ours.
    for (const h of mine) if ([...h.subs].some((s) => s.next <= h.seen)) this.pull(h);
    await this.headsOf(mine);
  }

  /** One sum a shard goes to its owner; only where the owner's differs are topics told one by one. */
  private async headsOf(hs: TopicHold[]): Promise<void> {
    const byShard = new Map<number, TopicHold[]>();
    for (const h of hs) {
      const l = byShard.get(h.shard);
      if (l) l.push(h);
      else byShard.set(h.shard, [h]);
    }
    const byOwner = new Map<string, [number, number][]>();
    for (const [shard, l] of byShard) {
      const o = this.route.owner(shard);
      if (!o) {
        this.route.seek(shard);
        continue;
      }
      const sums = byOwner.get(o) ?? [];
      sums.push([shard, l.reduce((x, h) => (x + placeSum(h.mark, h.seen)) | 0, 0)]);
      byOwner.set(o, sums);
    }
    await Promise.all(
      [...byOwner].map(async ([o, sums]) => {
        try {
          const r = await this.k.reach<HeadsAnswer>(o, 'Heads', { sums });
          for (const s of r.elsewhere) this.route.seek(s);
          for (const [shard, told] of r.heads) this.compareHeads(byShard.get(shard) ?? [], new Map(told));
        } catch {
          for (const [s] of sums) this.route.seek(s);
        }
      }),
    );
  }

  private compareHeads(mine: TopicHold[], theirs: Map<string, number>): void {
    this.k.count('heads.differ');
    for (const h of mine) {
      const head = theirs.get(h.topic);
      // The owner does not know that we listen: it is told again.
      if (head === undefined) {
        if (h.subs.size) {
          h.saidUntil = -1;
          this.dirty.add(h.topic);
        }
        continue;
      }
      h.seen = Math.max(h.seen, head);
      if ([...h.subs].some((s) => s.next <= h.seen)) this.pull(h);
    }
    // It believes that we listen where we do not.
    for (const t of theirs.keys()) if (!this.topics.get(t)?.subs.size) this.dirty.add(t);
  }

  private sweepFamilies(): void {
    const v = this.reg.value;
    if (!v) return;
    for (const h of Array.from(this.topics.values()))
      if (!familyOf(v.config, h.topic)) for (const s of Array.from(h.subs)) this.leave(s, 'topic_removed');
  }

  // --- homes: which conn of a consumer is the latest ---

  private homeOf(consumer: string): { peer: string; id: string } | undefined {
    const m = rank(
      `home/${consumer}`,
      this.board.live().filter((x) => x.role === 'relay' && x.condition !== 'draining'),
      (x) => x.peer,
    )[0];
    return m && { peer: m.peer, id: `${m.peer}~${m.inst}` };
  }

  private sayHome(conns: Conn[]): void {
    const now = this.k.host.clock.now();
    const by = new Map<string, { consumer: string; conn: string; age: number }[]>();
    for (const c of conns) {
      const home = this.homeOf(c.consumer);
      if (!home) continue;
      c.home = home.id;
      const l = by.get(home.peer) ?? [];
      l.push({ consumer: c.consumer, conn: c.id, age: now - c.at });
      by.set(home.peer, l);
    }
    for (const [home, l] of by) this.k.call(home, 'Home', { conns: l }).catch(() => undefined);
  }

  private home(conns: { consumer: string; conn: string; age: number }[], peer: string): true {
    const now = this.k.host.clock.now();
    for (const c of conns) {
      const at = now - c.age;
      const old = this.homes.get(c.consumer);
      if (old && old.conn !== c.conn && now - old.seenAt < C.homeForgetMs) {
        const [out, from] = old.at <= at ? [old.conn, old.peer] : [c.conn, peer];
        this.k.call(from, 'Replace', { conn: out }).catch(() => undefined);
        if (out === c.conn) continue;
      }
      this.homes.set(c.consumer, { conn: c.conn, peer, at, seenAt: now });
    }
    if (this.homes.size > C.connsN * 2)
      for (const [c, h] of this.homes) if (now - h.seenAt > C.homeForgetMs) this.homes.delete(c);
    return true;
  }

  /**
   * Sends every conn to a relay that can take it, one after another over a time, so that the others are not asked all at once.
   * Conns that come meanwhile are sent on as soon as they have attached.
   */
  private sendAway(spreadMs: number): void {
    this.away = true;
    for (const c of this.conns.values())
      this.k.host.clock.after(this.k.host.rnd.next() * spreadMs, () => this.sendOn(c));
  }

  private sendOn(c: Conn): void {
    if (c.state !== 'open') return;
    this.put(c, { t: 'GOAWAY', to: this.refuge(), retryAfterMs: 0 }, true);
  }

  /** A relay that takes conns: in our domain if there is one, the emptier of two by chance. */
  private refuge(): string | undefined {
    const { rnd, config } = this.k.host;
    const open = this.board
      .live()
      .filter((m) => m.role === 'relay' && m.peer !== this.k.self && m.condition === 'ready');
    const near = open.filter((m) => m.domain === config.domain);
    const two = sample(rnd, near.length ? near : open, 2);
    return two.sort((a, b) => a.weight - b.weight)[0]?.client;
  }

  /** Sends everyone away with times to come back that are spread out, and waits a moment for them to go. */
  private async drain(): Promise<void> {
    const { clock } = this.k.host;
    this.sendAway(C.drainSpreadMs);
    // New conns still come until the callers' platform has seen that we leave.
    const until = clock.now() + C.drainMs;
    while (clock.now() < until) await sleep(clock, 50);
    for (const c of Array.from(this.conns.values())) {
      this.flush(c);
      this.close(c, 'stopping');
    }
    await this.sayInterest().catch((e) => faultOf(e, 'Interest', this.k.self));
  }

  /** Bytes held for the conn that has most of them, in each lane. */
  holdings(): HoldingInfo[] {
    const max = (of: (c: Conn) => number): number => Math.max(0, ...[...this.conns.values()].map(of));
    return [
      { name: 'conn', length: max((c) => c.std), most: this.mostStd, bound: C.laneBytes },
      { name: 'conn.oversized', length: max((c) => c.over), most: this.mostOver, bound: C.oversizedLaneBytes },
    ];
  }

  table(): { topic: string; shard: number; subs: number; gen: string; seen: number }[] {
    return [...this.topics.values()].map((h) => ({
      topic: h.topic,
      shard: h.shard,
      subs: h.subs.size,
      gen: h.gen,
      seen: h.seen,
    }));
  }
}

register({
  name: 'holds',
  needs: ['board', 'register', 'route'],
  setup: (k) => new Holds(k, k.use('board'), k.use('register'), k.use('route')),
});
