import { parse, stringify } from 'devalue';
import { Subject, type Subscription } from 'rxjs';
import { ClockOffsets } from './clock-offsets.js';
import { C } from './constants.js';
import { Failure, faultOf, type Fault } from './fault.js';
import { every, sleep, within } from './flow.js';
import { below, retryAfter, type Host } from './host.js';
import { PEER_RPCS, type PeerRpc } from './peer-rpcs.js';

/** Plug-ins add their face here by declaration merging, so that `use` is typed. */
export interface Faces {}

export interface Plugin<K extends keyof Faces = keyof Faces> {
  name: K;
  needs: (keyof Faces)[];
  setup(k: Kernel): Faces[K] | Promise<Faces[K]>;
}

const known = new Map<string, Plugin<never>>();

/**
 * Plug-ins call this when their module loads; a program picks by name which of them it runs.
 * @example
 * register({ name: 'board', needs: [], setup: (k) => new Board(k) });
 */
export function register<K extends keyof Faces>(p: Plugin<K>): void {
  known.set(p.name, p as unknown as Plugin<never>);
}

export type Phase = 'starting' | 'running' | 'draining' | 'stopped';

interface Ask {
  m: string;
  from: string;
  inst: string;
  rev: number;
  now: number;
  body: unknown;
}
type Answer = { rev: number; now: number } & ({ ok: unknown } | { err: Fault });

const ASK = /^(\w+) (\S+) (\S+) (\d+) (-?\d+) /;
const ANSWER = /^(\d+) (-?\d+) ([+-])/;

/** What every frame says stands before its matter, in as few bytes as it can: most frames are small, and bytes between sites cost. */
const packAsk = (a: Ask): string => `${a.m} ${a.from} ${a.inst} ${a.rev} ${Math.round(a.now)} ${textOf(a.body)}`;

/** A body that is already text, for a request that goes to several peers. */
class BodyText {
  readonly text: string;
  constructor(body: unknown) {
    this.text = stringify(body);
  }
}
const textOf = (body: unknown): string => (body instanceof BodyText ? body.text : stringify(body));
/** A peer's ask; throws when the frame is none. */
function readAsk(frame: string): Ask {
  const h = ASK.exec(frame);
  if (!h) throw new Error('not an ask');
  const [all, m, from, inst, rev, now] = h as unknown as [string, string, string, string, string, string];
  return { m, from, inst, rev: Number(rev), now: Number(now), body: parse(frame.slice(all.length)) };
}

const packAnswer = (a: Answer): string =>
  `${a.rev} ${Math.round(a.now)} ${'ok' in a ? `+${stringify(a.ok)}` : `-${stringify(a.err)}`}`;
/** A peer's answer; undefined when the frame is none. */
function readAnswer(raw: string): Answer | undefined {
  const h = ANSWER.exec(raw);
  if (!h) return undefined;
  const [all, rev, now, sign] = h as unknown as [string, string, string, string];
  try {
    const x = parse(raw.slice(all.length)) as unknown;
    const head = { rev: Number(rev), now: Number(now) };
    if (sign === '+') return { ...head, ok: x };
    return typeof (x as Fault | undefined)?.tag === 'string' ? { ...head, err: x as Fault } : undefined;
  } catch {
    return undefined;
  }
}

/** What a handler learns of the sender. `toLocal` turns the sender's clock into ours. */
export interface From {
  peer: string;
  inst: string;
  /** When it sent the request, by our clock: also one that was held up on its way. */
  sentAt: number;
  toLocal: (t: number) => number;
}
/** Answers a request of one method. Each method's handler names the body that its callers send. */
export type Handler<Body = unknown> = (body: Body, from: From) => unknown;

/**
 * The kernel of a node: plug-ins, the peer wire, counters, phases. One loop, one thread.
 * @example
 * const k = new Kernel(host);
 * await k.boot(['board', 'register']);
 * k.use('board').live();
 */
export class Kernel {
  readonly counters = new Map<string, number>();
  readonly phase$ = new Subject<Phase>();
  /** Fires when our own loop stood still for long: duties are in doubt until confirmed. */
  readonly thawed$ = new Subject<number>();
  /** A peer to which our own link was just found broken: visits under way there get no answer. */
  readonly broken$ = new Subject<string>();
  /** Highest register revision we have in force; goes with every frame. */
  rev = 0;
  /** Called with every revision seen on a peer's frame that is above ours. */
  onNewer: (rev: number, peer: string) => Promise<void> = async () => {};
  /** Called with every frame of a peer; its instance is known only on its own visits. */
  onHeard: (peer: string, inst?: string) => void = () => {};
  /** Called when a peer surely did not get a visit; speeds up suspicion. */
  onUnreachable: (peer: string) => void = () => {};
  /** Called when a whole connection to a peer broke; its process may have ended. */
  onBroken: (peer: string) => void = () => {};
  /** Live members that may carry a visit to a peer in our place. */
  helpersTo: (peer: string) => string[] = () => [];
  phase: Phase = 'starting';
  readonly self: string;
  inst: string;
  /** When this process began, by our clock. */
  readonly startedAt: number;
  private faces = new Map<string, unknown>();
  private offsets = new ClockOffsets();
  private handlers = new Map<string, { h: Handler; current: boolean }>();
  private subs: Subscription[] = [];
  /** Peers to which our own link is broken, and who carries visits to them; '' until somebody did. */
  private broken = new Map<string, string>();
  private stops: (() => void | Promise<void>)[] = [];
  /** When our loop last came round, and when it last came round after it had stood still. */
  private loopAt = -Infinity;
  private thawedAt = -Infinity;

  constructor(readonly host: Host) {
    this.self = host.config.peer;
    this.startedAt = host.clock.now();
    this.inst = this.instance(this.startedAt);
    this.on('Carry', (b: { to: string; frame: string; timeoutMs: number }) => {
      this.count('detour.carried');
      return this.host.net.call(b.to, b.frame, b.timeoutMs);
    });
  }

  private instance(at: number): string {
    return `${String(Math.floor(at)).padStart(15, '0')}-${Math.floor(this.host.rnd.next() * 1e9).toString(36)}`;
  }

  /**
   * Others know an earlier process at our address under a later instance: our machine's clock went back. We take
   * an instance above it, or they would go on believing the dead one.
   */
  outlive(inst: string): void {
    if (inst < this.inst) return;
    this.inst = this.instance(Number(inst.split('-')[0]) + 1);
    this.count('instance.outlived');
  }

  async boot(names: (keyof Faces)[]): Promise<void> {
    for (const n of names) await this.load(n);
    await this.host.net.serve((f) => this.answer(f), { broken: (p) => this.onBroken(p), count: (n) => this.count(n) });
    this.loopAt = this.host.clock.now();
    this.keep(
      every(this.host.clock, C.loopTickMs).subscribe(() => {
        const now = this.host.clock.now();
        const gapMs = now - this.loopAt;
        this.loopAt = now;
        if (gapMs <= C.frozenMs) return;
        this.thawedAt = now;
        this.count('loop.frozen');
        this.thawed$.next(gapMs);
      }),
    );
    this.become('running');
  }

  /**
   * Whether this process stands still no more only since a moment ago: what it reads now may have waited in a buffer for as long as
   * that took, and who sent it may have gone elsewhere. Asks the steady clock, as the loop itself may not have come round yet.
   */
  wokeJustNow(): boolean {
    const now = this.host.clock.now();
    return now - this.loopAt > C.frozenMs || now - this.thawedAt <= C.wokenMs;
  }

  private async load(n: string): Promise<void> {
    if (this.faces.has(n)) return;
    const p = known.get(n);
    if (!p) throw new Error(`no plug-in ${n}`);
    for (const d of p.needs) await this.load(d);
    this.faces.set(n, await p.setup(this));
  }

  use<K extends keyof Faces>(n: K): Faces[K] {
    const f = this.faces.get(n);
    if (f === undefined) throw new Error(`plug-in ${String(n)} is not loaded`);
    return f as Faces[K];
  }

  has(n: keyof Faces): boolean {
    return this.faces.has(n);
  }

  /** The one function that changes the phase. */
  become(p: Phase): void {
    if (this.phase === p || this.phase === 'stopped') return;
    this.host.log.info(`phase ${this.phase} -> ${p}`);
    this.phase = p;
    this.phase$.next(p);
  }

  keep(s: Subscription): void {
    this.subs.push(s);
  }

  /** Run at stop, last added first. */
  onStop(f: () => void | Promise<void>): void {
    this.stops.push(f);
  }

  async stop(): Promise<void> {
    this.become('draining');
    for (const f of [...this.stops].reverse()) {
      try {
        await f();
      } catch (e) {
        this.host.log.warn('stop step failed', { fault: faultOf(e, 'stop', this.self) });
      }
    }
    this.end();
    await this.host.net.close();
    this.host.db?.close();
  }

  /** Ends all loops at once, without goodbye. */
  end(): void {
    for (const s of this.subs) s.unsubscribe();
    this.become('stopped');
  }

  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /**
   * Serves an RPC between nodes. With `current`, a request from a peer that knows a newer value waits until we have it too. Throws for
   * one that the table of RPCs does not have, or that is served already.
   */
  on<Body>(method: PeerRpc, h: Handler<Body>, current = false): void {
    if (!Object.hasOwn(PEER_RPCS, method))
      throw new Error(`${String(method)} is not in the table of RPCs between nodes`);
    if (this.handlers.has(method)) throw new Error(`${method} is served already`);
    this.handlers.set(method, { h: h as Handler, current });
  }

  /** The RPCs between nodes that this node serves. */
  served(): string[] {
    return [...this.handlers.keys()];
  }

  /** A visit to a peer; a visit to ourselves takes the same way without the net. */
  async call<T = unknown>(peer: string, m: PeerRpc, body: unknown, timeoutMs: number = C.callMs): Promise<T> {
    if (peer === this.self) {
      const h = this.handlers.get(m);
      if (!h) throw new Failure({ tag: 'unknown_method', step: m, peer, method: m });
      // The same time limit as on the net: what waits here may wait for others.
      const got = await within(
        this.host.clock,
        timeoutMs,
        (async () => ({
          ok: await h.h(body, { peer, inst: this.inst, sentAt: this.host.clock.now(), toLocal: (t) => t }),
        }))(),
      );
      if (!got) throw new Failure({ tag: 'timeout', step: m, peer });
      return got.ok as T;
    }
    return this.ask(peer, m, body, (frame) => this.host.net.call(peer, frame, timeoutMs));
  }

  /**
   * The same request to several other peers, made into text once.
   * @example
   * await Promise.allSettled(k.callEach(peers, 'News', { items }));
   */
  callEach<T>(peers: string[], m: PeerRpc, body: unknown, timeoutMs: number = C.callMs): Promise<T>[] {
    const text = new BodyText(body);
    return peers.map((peer) => this.ask<T>(peer, m, text, (frame) => this.host.net.call(peer, frame, timeoutMs)));
  }

  /**
   * A visit to a peer, carried by another member while our own link to it is broken. The link counts as broken after a visit
   * that got no answer, and as whole again once a direct ping is answered.
   */
  async reach<T = unknown>(peer: string, m: PeerRpc, body: unknown, timeoutMs: number = C.callMs): Promise<T> {
    const by = this.broken.get(peer);
    if (by === undefined) {
      try {
        return await this.call<T>(peer, m, body, timeoutMs);
      } catch (e) {
        const f = faultOf(e, m, peer);
        if (peer !== this.self && f.peer === peer && (f.tag === 'timeout' || f.tag === 'unreachable'))
          this.breaks(peer);
        throw e;
      }
    }
    const helpers = this.helpersTo(peer);
    const helper = helpers.includes(by) ? by : helpers[below(this.host.rnd, Math.max(1, helpers.length))];
    if (helper === undefined) return this.call<T>(peer, m, body, timeoutMs);
    this.count('detour.sent');
    try {
      const got = await this.ask<T>(peer, m, body, (frame) =>
        this.call<string>(helper, 'Carry', { to: peer, frame, timeoutMs }, timeoutMs),
      );
      if (this.broken.has(peer)) this.broken.set(peer, helper);
      return got;
    } catch (e) {
      const { tag } = faultOf(e, m, peer);
      if (this.broken.has(peer) && (tag === 'timeout' || tag === 'unreachable' || tag === 'cut'))
        this.broken.set(peer, '');
      throw e;
    }
  }

  /** Whether our own link to a peer is not known to be broken. */
  whole(peer: string): boolean {
    return !this.broken.has(peer);
  }

  /** The one function that calls a link broken; it is tried directly until it is whole or the peer no longer there. */
  breaks(peer: string): void {
    if (this.broken.has(peer)) return;
    this.broken.set(peer, '');
    this.count('detour.links');
    this.broken$.next(peer);
    void (async () => {
      while (this.phase === 'running' && this.helpersTo(peer).length) {
        try {
          await this.call(peer, 'Ping', {}, C.probeMs);
          break;
        } catch {
          await sleep(this.host.clock, C.linkTryMs);
        }
      }
      this.broken.delete(peer);
    })();
  }

  private async ask<T>(peer: string, m: PeerRpc, body: unknown, send: (frame: string) => Promise<string>): Promise<T> {
    const now = this.host.clock.now();
    this.count('peer.out');
    const ask: Ask = { m, from: this.self, inst: this.inst, rev: this.rev, now, body };
    let raw: string;
    try {
      raw = await send(packAsk(ask));
    } catch (e) {
      const f = faultOf(e, m, peer);
      this.count(`peer.fail.${f.tag}`);
      // On an indirect path it may be the helper that was not there.
      if (f.tag === 'unreachable' && f.peer === peer) this.onUnreachable(peer);
      throw new Failure({ ...f, step: m });
    }
    const a = readAnswer(raw);
    if (!a) throw new Failure({ tag: 'cut', step: m, peer, detail: 'not an answer' });
    this.onHeard(peer);
    if (a.rev > this.rev) void this.onNewer(a.rev, peer);
    if ('err' in a) throw new Failure(a.err);
    return a.ok as T;
  }

  /** Waits, for half of a call, until we have what a peer has; says whether we do. */
  private async catchUp(rev: number, peer: string): Promise<boolean> {
    const { clock } = this.host;
    const until = clock.now() + C.callMs / 2;
    for (;;) {
      await within(clock, until - clock.now(), this.onNewer(rev, peer));
      if (this.rev >= rev) return true;
      if (clock.now() + C.behindRetryMs >= until) return false;
      // The fetch failed, or one that was begun earlier brought less.
      await sleep(clock, C.behindRetryMs);
    }
  }

  private async answer(frame: string): Promise<string> {
    const now = this.host.clock.now();
    this.count('peer.in');
    const a = readAsk(frame);
    const offset = this.offsets.learn(`${a.from} ${a.inst}`, now - a.now, now);
    this.onHeard(a.from, a.inst);
    const out = (x: { ok: unknown } | { err: Fault }): string =>
      packAnswer({ rev: this.rev, now: this.host.clock.now(), ...x });
    const h = this.handlers.get(a.m);
    if (a.rev > this.rev) {
      if (!h?.current) void this.onNewer(a.rev, a.from);
      else if (!(await this.catchUp(a.rev, a.from))) {
        // Who asks knows more than we do: an answer by what we have could take back what its callers were told already.
        this.count('peer.behind');
        return out({
          err: { tag: 'not_ready', step: a.m, peer: this.self, retryAfterMs: retryAfter(this.host.rnd, C.retryMs) },
        });
      }
    }
    if (!h) return out({ err: { tag: 'unknown_method', step: a.m, peer: this.self, method: a.m } });
    if (this.phase === 'stopped') {
      return out({
        err: { tag: 'not_ready', step: a.m, peer: this.self, retryAfterMs: retryAfter(this.host.rnd, C.retryMs) },
      });
    }
    try {
      return out({
        ok: await h.h(a.body, { peer: a.from, inst: a.inst, sentAt: a.now + offset, toLocal: (t) => t + offset }),
      });
    } catch (e) {
      const f = faultOf(e, a.m, this.self);
      if (f.tag === 'internal') {
        this.count('internal');
        this.host.log.warn('handler failed', { fault: f, stack: e instanceof Error ? e.stack : undefined });
      }
      return out({ err: f });
    }
  }
}
