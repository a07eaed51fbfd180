import '@harecross/control';
import { serializeFrames, startNode, type Edge } from '@harecross/data';
import {
  SyncedDatabase,
  HarecrossError,
  type Clock,
  type Host,
  type Kernel,
  type Log,
  type Net,
  type NodeConfig,
  type RandomSource,
  type Role,
} from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import Database from 'better-sqlite3';
import type { Json } from './json.js';
import type { ClientTransport } from './simulated-clients.js';
import { SimDisk } from './sim-disk.js';

/**
 * A small seeded generator (mulberry32).
 * @example
 * seeded(7).next(); // the same number every time
 */
export function seededRandom(seed: number): RandomSource {
  let a = seed >>> 0;
  return {
    next() {
      a = (a + 0x6d2b79f5) >>> 0;
      let t = a;
      t = Math.imul(t ^ (t >>> 15), t | 1);
      t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
      return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
    },
  };
}

/** Machines' clocks begin at some time of the year 2026. */
const EPOCH_MS = 1_790_000_000_000;

interface Ev {
  at: number;
  n: number;
  fn: () => void;
  off: boolean;
}

class Heap {
  private a: Ev[] = [];
  get size(): number {
    return this.a.length;
  }
  get top(): Ev | undefined {
    return this.a[0];
  }
  private less(i: number, j: number): boolean {
    const x = this.a[i]!,
      y = this.a[j]!;
    return x.at < y.at || (x.at === y.at && x.n < y.n);
  }
  push(e: Ev): void {
    const a = this.a;
    a.push(e);
    let i = a.length - 1;
    while (i > 0) {
      const p = (i - 1) >> 1;
      if (!this.less(i, p)) break;
      [a[i], a[p]] = [a[p]!, a[i]!];
      i = p;
    }
  }
  pop(): Ev {
    const a = this.a;
    const top = a[0]!;
    const end = a.pop()!;
    if (a.length) {
      a[0] = end;
      let i = 0;
      for (;;) {
        const l = 2 * i + 1,
          r = l + 1;
        let m = i;
        if (l < a.length && this.less(l, m)) m = l;
        if (r < a.length && this.less(r, m)) m = r;
        if (m === i) break;
        [a[i], a[m]] = [a[m]!, a[i]!];
        i = m;
      }
    }
    return top;
  }
}

/** What frames cost a machine, so that one that is sent too many falls behind. */
export interface MachineCapacity {
  /** The machine's share of a core: a frame that comes or goes takes `FRAME_CORE_MS` of it and more for its length. */
  coreShare: number;
  /** Bytes that its link carries in a millisecond, each way. */
  linkBytesPerMs: number;
}

/**
 * Time of a whole core that a frame takes, sent or received, and that each KiB of it adds. Processes that have just begun, and whose code
 * is not compiled yet, were seen to take 0.65 to 1.2 ms.
 */
const FRAME_CORE_MS = 0.5;
const FRAME_CORE_MS_PER_KIB = 0.1;

/** What a loaded machine is busy with, and for how long yet. */
interface Busy {
  coreUntil: number;
  inUntil: number;
  outUntil: number;
}

export interface SimNode {
  name: string;
  config: NodeConfig;
  skewMs: number;
  /** What lasts: only what was committed is in it. */
  sql?: Database.Database;
  /** With `SimOpts.files`: its files, as the product's own disk code writes them. */
  disk?: SimDisk;
  incarnation: number;
  up: boolean;
  frozen: boolean;
  /** Work put off while frozen. */
  deferredWork: (() => void)[];
  maxExtraDelayMs: number;
  diskMs: number;
  /** Frames cost nothing where left out. */
  capacity?: MachineCapacity;
  busy: Busy;
  /** Frames sent and received, and their bytes, requests and answers; counted while `measure` is set. */
  frames: { n: number; bytes: number };
  /** Syncs that stop the whole loop, for a time between these. */
  syncStallMs?: [number, number];
  /** Rate of its clock (see setRate), and what its wall clock was corrected by while running. */
  rate: number;
  wallStepMs: number;
  handle?: (f: string) => Promise<string>;
  kernel?: Kernel;
  edge?: Edge;
  db?: SyncedDatabase;
  /** When connections of it were last reset. */
  resetAt?: number;
  /** The disk takes no more: the process is expected to notice and end. */
  diskFull?: boolean;
  /** Calls under way at this node; they break when it dies. */
  calls: Set<() => void>;
  streams: Set<() => void>;
}

export interface SimOptions {
  delayMs?: [number, number];
  loss?: number;
  log?: boolean;
  /** Disks are files that the product's own disk code opens and syncs, so that a loss of power can take what was not synced. */
  files?: boolean;
}

/**
 * A fleet of the real code in virtual time. One seed, one run. What is not real: the clock, the net, the random
 * numbers, the time a disk takes, and HTTP.
 * @example
 * const sim = new Sim(7); await sim.start(sim.add('s1', { role: 'store', domain: 'a' })); await sim.run(5_000);
 */
export class Sim {
  now = 0;
  readonly random: RandomSource;
  readonly nodes = new Map<string, SimNode>();
  readonly lines: string[] = [];
  events = 0;
  delayRangeMs: [number, number];
  loss: number;
  /** Consumers whose link takes only so many bytes a second. */
  readonly linkBytesPerS = new Map<string, number>();
  /** Consumers whose stream of now is half-open: nothing on it arrives, and neither side is told. */
  readonly halfOpenConsumers = new Set<string>();
  /** Directed pairs between which nothing arrives. */
  readonly cuts = new Set<string>();
  private heap = new Heap();
  private n = 0;
  private byPeer = new Map<string, SimNode>();
  private byClient = new Map<string, SimNode>();
  /** Peer visits and their bytes, by method; filled when `measure` is set. */
  readonly requestTraffic = new Map<string, { n: number; bytes: number }>();
  /** Bytes of the answers to them. */
  readonly responseBytes = new Map<string, number>();
  measureTraffic = false;
  /** Unexpected errors of node code. */
  readonly errors: string[] = [];
  /** Where the machines' files are, with `files`. */
  private readonly folder?: string;

  constructor(
    readonly seed: number,
    private opts: SimOptions = {},
  ) {
    this.random = seededRandom(seed);
    this.delayRangeMs = opts.delayMs ?? [0.5, 6];
    this.loss = opts.loss ?? 0;
    if (opts.files) this.folder = mkdtempSync(join(tmpdir(), 'harecross-sim-'));
  }

  private at(ms: number, fn: () => void): () => void {
    const e: Ev = { at: this.now + Math.max(0, ms), n: this.n++, fn, off: false };
    this.heap.push(e);
    return () => {
      e.off = true;
    };
  }

  /** The clock of the outside world. */
  readonly clock: Clock = { now: () => this.now, wall: () => this.now, after: (ms, fn) => this.at(ms, fn) };

  /** Runs until the given time. */
  async run(until: number): Promise<void> {
    // What was begun outside of an event goes first.
    await new Promise<void>((r) => setImmediate(r));
    for (;;) {
      const e = this.heap.top;
      if (!e || e.at > until) break;
      this.heap.pop();
      if (e.off) continue;
      this.now = Math.max(this.now, e.at);
      this.events++;
      e.fn();
      await new Promise<void>((r) => setImmediate(r));
    }
    this.now = until;
  }

  add(name: string, x: { role: Role; domain: string; disk?: boolean; skewMs?: number }): SimNode {
    const i = this.nodes.size + 1;
    const peer = `10.0.${i >> 8}.${i & 255}:7100`;
    const config: NodeConfig = {
      role: x.role,
      domain: x.domain,
      peer,
      client: peer.replace('7100', '7000'),
      seeds: [],
      ...(x.disk ? { data: name } : {}),
    };
    const node: SimNode = {
      name,
      config,
      skewMs: x.skewMs ?? 0,
      incarnation: 0,
      up: false,
      frozen: false,
      deferredWork: [],
      maxExtraDelayMs: 0,
      diskMs: 2,
      busy: { coreUntil: 0, inUntil: 0, outUntil: 0 },
      frames: { n: 0, bytes: 0 },
      rate: 1,
      wallStepMs: 0,
      calls: new Set(),
      streams: new Set(),
    };
    this.nodes.set(name, node);
    this.byPeer.set(peer, node);
    this.byClient.set(config.client, node);
    return node;
  }

  get(name: string): SimNode {
    const n = this.nodes.get(name);
    if (!n) throw new Error(`no node ${name}`);
    return n;
  }

  private work(n: SimNode, life: number, fn: () => void): void {
    if (!n.up || n.incarnation !== life) return;
    if (n.frozen) {
      n.deferredWork.push(() => this.work(n, life, fn));
      return;
    }
    fn();
  }

  /** The way there (or back) takes this long; a lost packet is sent again after 200 ms and more. */
  private way(slow = 0): number {
    let d = this.delayRangeMs[0] + (this.delayRangeMs[1] - this.delayRangeMs[0]) * this.random.next() + slow * this.random.next();
    for (let back = 200; this.random.next() < this.loss && back < 4_000; back *= 2) d += back;
    return d;
  }

  /** When the last frame on each connection arrives: peers have one to each other each way, and what is written to it keeps its order. */
  private arrivals = new Map<string, number>();
  private inOrder(conn: string, way: number): number {
    const at = Math.max(this.now + way, this.arrivals.get(conn) ?? 0);
    this.arrivals.set(conn, at);
    return at - this.now;
  }

  /** Puts a frame through a machine's link and processor; gives how long it takes from now, after what came before it. */
  private through(n: SimNode, bytes: number, direction: 'inUntil' | 'outUntil'): number {
    if (this.measureTraffic) {
      n.frames.n++;
      n.frames.bytes += bytes;
    }
    const { capacity: load, busy } = n;
    if (!load) return 0;
    const core = (FRAME_CORE_MS + (FRAME_CORE_MS_PER_KIB * bytes) / 1024) / load.coreShare;
    busy.coreUntil = Math.max(this.now, busy.coreUntil) + core;
    busy[direction] = Math.max(this.now, busy[direction]) + bytes / load.linkBytesPerMs;
    return Math.max(busy.coreUntil, busy[direction]) - this.now;
  }

  private isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a}>${b}`);
  }
  /** Nothing arrives from a at b (and from b at a). */
  cut(a: string, b: string, both = true): void {
    this.cuts.add(`${a}>${b}`);
    if (both) this.cuts.add(`${b}>${a}`);
  }
  heal(a: string, b: string): void {
    this.cuts.delete(`${a}>${b}`);
    this.cuts.delete(`${b}>${a}`);
  }
  healAll(): void {
    this.cuts.clear();
  }
  /** Whether some machine or way is worse than it should be. */
  isDegraded(): boolean {
    return (
      this.loss > 0 ||
      this.cuts.size > 0 ||
      this.delayRangeMs[1] > 20 ||
      [...this.nodes.values()].some((n) => n.maxExtraDelayMs > 0 || n.diskMs > 10 || n.syncStallMs !== undefined)
    );
  }

  async start(n: SimNode): Promise<void> {
    if (n.up) return;
    const life = ++n.incarnation;
    n.up = true;
    n.frozen = false;
    n.deferredWork = [];
    const random = seededRandom(Math.floor(this.random.next() * 2 ** 32));
    // A wrong rate begins where the clock stands; timers run at it too.
    const clock: Clock = {
      now: () => EPOCH_MS + this.now * n.rate + n.skewMs,
      wall: () => clock.now() + n.wallStepMs,
      after: (ms, fn) => this.at(ms / n.rate + n.maxExtraDelayMs * random.next(), () => this.work(n, life, fn)),
    };
    const net: Net = {
      serve: async (h) => {
        n.handle = h;
      },
      call: (peer, frame, timeoutMs) => this.call(n, life, peer, frame, timeoutMs),
      close: async () => {
        n.handle = undefined;
      },
    };
    const note =
      (kind: string) =>
      (line: string, data?: Record<string, unknown>): void => {
        const s = `${(this.now / 1000).toFixed(3)} ${n.name} ${kind}${line} ${data ? JSON.stringify(data) : ''}`;
        this.lines.push(s);
        if (this.opts.log) process.stdout.write(s + '\n');
        if (data && (data.fault as { tag?: string } | undefined)?.tag === 'internal') this.errors.push(s);
      };
    const host: Host = {
      clock,
      random,
      net,
      config: n.config,
      log: { info: note(''), warn: note('! ') },
      terminate: () => this.kill(n),
    };
    if (n.config.data && n.disk !== undefined && n.diskFull) {
      // The product's programs: a relay goes on without a disk until there is room again, others end.
      if (n.config.role !== 'relay') {
        this.kill(n);
        return;
      }
    } else if (n.config.data) {
      n.db = host.db = this.openDisk(n, this.blocking(n, life, clock, random), random, host.log);
    }
    const { kernel, edge } = await startNode(host);
    n.kernel = kernel;
    n.edge = edge;
  }

  /** A node's clock under which a sync may stop the whole loop: nothing else of it runs meanwhile, and only then is it done. */
  private blocking(n: SimNode, life: number, clock: Clock, random: RandomSource): Clock {
    return {
      ...clock,
      after: (ms, fn) =>
        clock.after(ms, () => {
          const by = n.syncStallMs;
          if (!by) {
            fn();
            return;
          }
          n.frozen = true;
          this.at(by[0] + (by[1] - by[0]) * random.next(), () => {
            if (!n.up || n.incarnation !== life) return;
            n.frozen = false;
            fn();
            this.runFrozen(n);
          });
        }),
    };
  }

  /** Opens a node's disk. */
  private openDisk(n: SimNode, clock: Clock, random: RandomSource, log: Log): SyncedDatabase | undefined {
    const onFault = (e: Error): void => {
      this.lines.push(`${(this.now / 1000).toFixed(3)} ${n.name} disk fault: ${e.message}`);
      if (!n.diskFull) this.errors.push(`${n.name} disk: ${e.message}`);
      this.kill(n);
    };
    const syncMs = (): number => n.diskMs * (0.5 + random.next());
    if (this.folder === undefined) {
      n.sql ??= new Database(':memory:');
      const db = new SyncedDatabase(n.sql, clock, syncMs, onFault, n.config.peer);
      db.openMs = n.diskMs;
      return db;
    }
    n.disk ??= new SimDisk(join(this.folder, n.name), {
      afterSync: (fn) => void this.at(n.diskMs * (0.5 + this.random.next()), fn),
    });
    const db = n.disk.open(clock, log, onFault, n.config.peer);
    db.openMs = n.diskMs;
    n.sql = db.sql;
    return db;
  }

  /** Ends the process at once. In memory what was not synced is lost, so that it serves for a loss of power too; files stay. */
  kill(n: SimNode): void {
    if (!n.up) return;
    n.up = false;
    n.incarnation++;
    n.db?.discardUnsynced();
    n.kernel?.stopLoops();
    n.disk?.endProcess();
    n.handle = undefined;
    n.frozen = false;
    n.deferredWork = [];
    for (const f of Array.from(n.calls)) f();
    n.calls.clear();
    for (const f of Array.from(n.streams)) f();
    n.streams.clear();
  }

  /** The machine loses power: what its disk had not synced may be gone. */
  losePower(n: SimNode): void {
    if (n.up) n.disk?.losePower(this.random);
    this.kill(n);
  }

  /** SIGTERM, and the hard kill 6 s later. Gives whether it left by itself. */
  async stop(n: SimNode): Promise<boolean> {
    const life = n.incarnation;
    let left = false;
    const hard = this.at(6_000, () => {
      if (n.incarnation === life) this.kill(n);
    });
    const k = n.kernel!;
    const sql = n.sql;
    // The process's own bound, as in the program.
    await Promise.race([
      (async () => {
        await (n.disk ? k.stop() : stopButDisk(k));
        left = true;
      })(),
      new Promise<void>((r) => {
        this.at(6_001, r);
      }),
    ]);
    hard();
    if (n.incarnation === life) this.kill(n);
    n.sql = sql;
    return left;
  }

  /** The disk dies with all that is on it; the machine comes back with an empty one, if at all. */
  loseDisk(n: SimNode): void {
    this.kill(n);
    n.disk?.wipe();
    if (n.sql?.open) n.sql.close();
    n.sql = undefined;
  }

  /** No more room on the disk, or room again. */
  fillDisk(n: SimNode, full: boolean): void {
    n.diskFull = full;
    const runsWithout = n.up && n.config.data !== undefined && n.kernel !== undefined && !n.kernel.host.db;
    if (!full && runsWithout) void this.stop(n).then(() => this.start(n));
    if (n.sql?.open)
      n.sql.pragma(`max_page_count = ${full ? Number(n.sql.pragma('page_count', { simple: true })) : 1_073_741_823}`);
  }

  freeze(n: SimNode): void {
    if (n.up) n.frozen = true;
  }
  thaw(n: SimNode): void {
    if (!n.frozen) return;
    n.frozen = false;
    this.runFrozen(n);
  }
  private runFrozen(n: SimNode): void {
    const w = n.deferredWork;
    n.deferredWork = [];
    for (const f of w) this.at(this.random.next(), f);
  }
  /** From now on the node's clock runs at this rate; it goes on from where it stands. */
  setRate(n: SimNode, rate: number): void {
    n.skewMs += this.now * (n.rate - rate);
    n.rate = rate;
  }

  private call(from: SimNode, life: number, peer: string, frame: string, timeoutMs: number): Promise<string> {
    const to = this.byPeer.get(peer);
    let m = '';
    if (this.measureTraffic) {
      m = /^(\w+) /.exec(frame)?.[1] ?? '?';
      const t = this.requestTraffic.get(m) ?? { n: 0, bytes: 0 };
      this.requestTraffic.set(m, { n: t.n + 1, bytes: t.bytes + frame.length });
    }
    return new Promise((res, rej) => {
      let over = false;
      let broken = (): void => {};
      const end = (fn: () => void): void => {
        if (over) return;
        over = true;
        stop();
        to?.calls.delete(broken);
        this.work(from, life, fn);
      };
      const stop = this.at(timeoutMs, () => end(() => rej(new HarecrossError({ tag: 'timeout', step: 'call', peer }))));
      if (!to) {
        this.at(1, () =>
          end(() => rej(new HarecrossError({ tag: 'unreachable', step: 'call', peer, detail: 'no route' }))),
        );
        return;
      }
      const conn = `${from.name}/${life}>${to.name}/${to.incarnation}`;
      const leaves = this.through(from, frame.length, 'outUntil');
      this.at(this.inOrder(conn, leaves + this.way(from.maxExtraDelayMs + to.maxExtraDelayMs)), () => {
        if (this.isCut(from.name, to.name)) return; // silence until the time limit
        if (!to.up || !to.handle) {
          this.at(this.way(), () =>
            end(() => rej(new HarecrossError({ tag: 'unreachable', step: 'call', peer, detail: 'refused' }))),
          );
          return;
        }
        const toLife = to.incarnation;
        broken = () => {
          this.at(this.way(), () => {
            if (!this.isCut(to.name, from.name))
              end(() => rej(new HarecrossError({ tag: 'cut', step: 'call', peer, detail: 'reset' })));
          });
        };
        to.calls.add(broken);
        this.loaded(to, frame.length, () =>
          this.work(to, toLife, () => {
            to.handle!(frame).then(
              (s) => {
                if (m) this.responseBytes.set(m, (this.responseBytes.get(m) ?? 0) + s.length);
                if (!to.up || to.incarnation !== toLife) return;
                const answered = this.through(to, s.length, 'outUntil');
                this.at(this.inOrder(`${conn} back`, answered + this.way(from.maxExtraDelayMs + to.maxExtraDelayMs)), () => {
                  if (!this.isCut(to.name, from.name)) this.loaded(from, s.length, () => end(() => res(s)));
                });
              },
              (e) => {
                this.errors.push(`${to.name} handler: ${e}`);
              },
            );
          }),
        );
      });
    });
  }

  /** Does something with a frame that has arrived, once the machine has come to it; at once where frames cost nothing. */
  private loaded(n: SimNode, bytes: number, fn: () => void): void {
    const ms = this.through(n, bytes, 'inUntil');
    if (ms > 0) this.at(ms, fn);
    else fn();
  }

  /** The outside's way in. `outside` is the name cuts use for it. */
  readonly clientTransport: ClientTransport = {
    nodes: (domain) =>
      [...this.nodes.values()]
        .filter(
          (n) =>
            n.up &&
            !n.frozen &&
            n.config.role === 'relay' &&
            n.edge?.ready() &&
            (domain === undefined || n.config.domain === domain),
        )
        .map((n) => n.config.client),
    visit: (node, method, body, timeoutMs, line) =>
      new Promise((res) => {
        const to = this.byClient.get(node)!;
        const life = to.incarnation;
        let over = false;
        const end = (x: { status: number; body: Json } | undefined): void => {
          if (!over) {
            over = true;
            stop();
            to.calls.delete(broken);
            res(x);
          }
        };
        const broken = (): void => {
          this.at(this.way(), () => end(undefined));
        };
        const stop = this.at(timeoutMs, () => end(undefined));
        const sent = JSON.stringify(body);
        let way = this.way(to.maxExtraDelayMs);
        // What is written to one connection arrives in order.
        if (line) {
          way = Math.max(way, line.at - this.now);
          line.at = this.now + way;
        }
        const back = (w: number): number => (line ? this.inOrder(`${node} ${line.name} back`, w) : w);
        this.at(way, () => {
          if (!to.up || to.incarnation !== life || !to.edge) {
            end(undefined);
            return;
          }
          to.calls.add(broken);
          const taken = (): void => {
            void to.edge!.handle(method, JSON.parse(sent)).then((r) => {
              if (!to.up || to.incarnation !== life) return;
              const raw = JSON.stringify(r.body);
              this.at(back(this.way(to.maxExtraDelayMs)), () => end({ status: r.status, body: JSON.parse(raw) }));
            });
          };
          line?.waiting.push(taken);
          // Work of a node that stood still is done in any order, but a connection is read from its beginning.
          this.work(to, life, () => {
            (line ? line.waiting.shift()! : taken)();
          });
        });
      }),
    attach: (node, body, onFrame, onEnd) => {
      const to = this.byClient.get(node)!;
      const life = to.incarnation;
      let closed = false;
      let id = '';
      let last = 0;
      const ended = (): void => {
        if (closed) return;
        closed = true;
        to.streams.delete(reset);
        onEnd();
      };
      const reset = (): void => {
        this.at(this.way(), ended);
      };
      const name = (body as { consumer?: string }).consumer ?? '';
      this.halfOpenConsumers.delete(name);
      // One stream is one TCP connection: what is written arrives in order.
      const toClient = (fn: () => void): void => {
        const t = Math.max(last, this.now + this.way(to.maxExtraDelayMs));
        last = t;
        this.at(t - this.now, fn);
      };
      this.at(this.way(to.maxExtraDelayMs), () => {
        if (closed) return;
        if (!to.up || to.incarnation !== life || !to.edge) {
          ended();
          return;
        }
        to.streams.add(reset);
        this.work(to, life, () => {
          if (closed) return;
          const rate = this.linkBytesPerS.get(name);
          let backlog = 0;
          const r = to.edge!.attach(body, {
            write: (frames) => {
              const s = serializeFrames(frames);
              if (rate !== undefined) {
                backlog += s.length;
                last = Math.max(last, this.now) + (s.length / rate) * 1000;
                toClient(() => {
                  const was = backlog;
                  backlog -= s.length;
                  if (was > 65_536 && backlog <= 65_536)
                    this.work(to, life, () => {
                      if (id) to.edge!.drained(id);
                    });
                });
              }
              toClient(() => {
                for (const line of s.split('\n'))
                  if (line && !closed && !this.halfOpenConsumers.has(name)) onFrame(JSON.parse(line) as Frame);
              });
              return backlog <= 65_536;
            },
            close: () => {
              // The machine's system still sends what was written before a close, also when the process ends right after it.
              to.streams.delete(reset);
              toClient(ended);
            },
          });
          if ('status' in r) toClient(ended);
          else id = r.id;
        });
      });
      return () => {
        if (closed) return;
        closed = true;
        to.streams.delete(reset);
        // The node sees the close unless it is gone; frozen ones see it later.
        this.at(this.way(), () =>
          this.work(to, life, () => {
            if (id) to.edge!.disconnected(id);
          }),
        );
      };
    },
  };

  /** Resets conns of callers; the callers come back by themselves. */
  resetStreams(share: number): void {
    for (const n of this.nodes.values())
      for (const f of Array.from(n.streams))
        if (this.random.next() < share) {
          n.streams.delete(f);
          f();
        }
  }

  close(): void {
    for (const n of this.nodes.values()) {
      this.kill(n);
      if (n.sql?.open) n.sql.close();
    }
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Stops a kernel but leaves its database open for the next life. */
async function stopButDisk(kernel: Kernel): Promise<void> {
  const db = kernel.host.db;
  (kernel.host as { db?: SyncedDatabase }).db = undefined;
  await kernel.stop();
  (kernel.host as { db?: SyncedDatabase }).db = db;
}
