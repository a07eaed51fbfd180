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
 * A deterministic pseudo-random generator (mulberry32): the same seed yields the same sequence.
 * @example
 * seededRandom(7).next(); // the same number every time
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

/** Node clocks start at this Unix time, in the year 2026. */
const EPOCH_MS = 1_790_000_000_000;

interface ScheduledEvent {
  at: number;
  /** Orders events due at the same time by when they were scheduled. */
  sequence: number;
  fn: () => void;
  /** Cancelled: skipped when it comes due. */
  off: boolean;
}

/** Binary min-heap of scheduled events, ordered by time and then by sequence. */
class EventQueue {
  private events: ScheduledEvent[] = [];
  get size(): number {
    return this.events.length;
  }
  get top(): ScheduledEvent | undefined {
    return this.events[0];
  }
  private less(i: number, j: number): boolean {
    const x = this.events[i]!,
      y = this.events[j]!;
    return x.at < y.at || (x.at === y.at && x.sequence < y.sequence);
  }
  push(event: ScheduledEvent): void {
    const events = this.events;
    events.push(event);
    let i = events.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.less(i, parent)) break;
      [events[i], events[parent]] = [events[parent]!, events[i]!];
      i = parent;
    }
  }
  pop(): ScheduledEvent {
    const events = this.events;
    const top = events[0]!;
    const last = events.pop()!;
    if (events.length) {
      events[0] = last;
      let i = 0;
      for (;;) {
        const left = 2 * i + 1,
          right = left + 1;
        let smallest = i;
        if (left < events.length && this.less(left, smallest)) smallest = left;
        if (right < events.length && this.less(right, smallest)) smallest = right;
        if (smallest === i) break;
        [events[i], events[smallest]] = [events[smallest]!, events[i]!];
        i = smallest;
      }
    }
    return top;
  }
}

/** CPU and bandwidth of a machine: frames queue for both, so that an overloaded machine falls behind. */
export interface MachineCapacity {
  /** Share of a CPU core. Each frame sent or received costs `FRAME_CORE_MS` of core time plus `FRAME_CORE_MS_PER_KIB` for its length. */
  coreShare: number;
  /** Bandwidth in bytes per millisecond, in each direction. */
  linkBytesPerMs: number;
}

/**
 * Core time per frame sent or received, and per KiB of it. Newly started processes, whose code the JIT has not compiled yet, were
 * measured at 0.65 to 1.2 ms per frame.
 */
const FRAME_CORE_MS = 0.5;
const FRAME_CORE_MS_PER_KIB = 0.1;

/** Times until which a machine's core and each direction of its link are occupied. */
interface Occupancy {
  coreUntil: number;
  inUntil: number;
  outUntil: number;
}

export interface SimNode {
  name: string;
  config: NodeConfig;
  skewMs: number;
  /** Durable state: holds only what was committed. */
  sql?: Database.Database;
  /** With `SimOpts.files`: the node's files, written by the production disk code. */
  disk?: SimDisk;
  /** Incremented at each start and end of the process, so that callbacks of an earlier process are ignored. */
  incarnation: number;
  up: boolean;
  frozen: boolean;
  /** Callbacks deferred while frozen. */
  deferredWork: (() => void)[];
  /** Upper bound of the extra random delay added to each timer and message of the node. */
  maxExtraDelayMs: number;
  /** Mean duration of a disk sync; also the time to open the database. */
  diskMs: number;
  /** Without it, frames take no CPU time or bandwidth. */
  capacity?: MachineCapacity;
  busy: Occupancy;
  /** Frames sent and received, both requests and responses, and their bytes; counted while `measureTraffic` is set. */
  frames: { n: number; bytes: number };
  /** If set, each disk sync blocks the event loop for a random time in this range. */
  syncStallMs?: [number, number];
  /** Rate of the node's clock (see setRate), and the total step applied to its wall clock while running. */
  rate: number;
  wallStepMs: number;
  handle?: (f: string) => Promise<string>;
  kernel?: Kernel;
  edge?: Edge;
  db?: SyncedDatabase;
  /** When connections of this node were last reset. */
  resetAt?: number;
  /** The disk is full: the process is expected to detect this and exit. */
  diskFull?: boolean;
  /** Resets each request in flight at this node; called when the process ends. */
  calls: Set<() => void>;
  /** Resets each open client stream. */
  streams: Set<() => void>;
}

export interface SimOptions {
  delayMs?: [number, number];
  loss?: number;
  log?: boolean;
  /** Uses real files, opened and synced by the production disk code, so that a power loss can discard unsynced writes. */
  files?: boolean;
}

/**
 * Runs a fleet of production nodes in virtual time, deterministically by seed. Simulated are the clock, the network, the random
 * numbers, the duration of disk operations, and HTTP.
 * @example
 * const sim = new Sim(7); await sim.start(sim.add('s1', { role: 'store', domain: 'a' })); await sim.run(5_000);
 */
export class Sim {
  now = 0;
  readonly random: RandomSource;
  readonly nodes = new Map<string, SimNode>();
  /** Log lines of all nodes. */
  readonly lines: string[] = [];
  /** Number of events processed. */
  events = 0;
  /** Range of the one-way network delay in ms. */
  delayRangeMs: [number, number];
  /** Probability that a packet is lost. */
  loss: number;
  /** Bandwidth limits of consumer links, in bytes per second, by consumer name. */
  readonly linkBytesPerS = new Map<string, number>();
  /** Consumers whose current stream is half-open: nothing sent on it arrives, and neither side is notified. */
  readonly halfOpenConsumers = new Set<string>();
  /** Directed pairs `from>to` of node names between which no message arrives. */
  readonly cuts = new Set<string>();
  private eventQueue = new EventQueue();
  private nextSequence = 0;
  private nodesByPeerAddress = new Map<string, SimNode>();
  private nodesByClientAddress = new Map<string, SimNode>();
  /** Peer requests and their bytes, by method; recorded while `measureTraffic` is set. */
  readonly requestTraffic = new Map<string, { n: number; bytes: number }>();
  /** Bytes of the responses to peer requests, by method. */
  readonly responseBytes = new Map<string, number>();
  /** Length of the longest peer request or response, by method; recorded while `measureTraffic` is set. */
  readonly longestFrames = new Map<string, number>();
  /** Records `requestTraffic`, `responseBytes` and the `frames` of each node. */
  measureTraffic = false;
  /** Unexpected errors raised by node code. */
  readonly errors: string[] = [];
  /** Directory of the nodes' files, with `SimOpts.files`. */
  private readonly directory?: string;

  constructor(
    readonly seed: number,
    private opts: SimOptions = {},
  ) {
    this.random = seededRandom(seed);
    this.delayRangeMs = opts.delayMs ?? [0.5, 6];
    this.loss = opts.loss ?? 0;
    if (opts.files) this.directory = mkdtempSync(join(tmpdir(), 'harecross-sim-'));
  }

  /** Schedules a callback after a delay in virtual time; returns a function that cancels it. */
  private at(ms: number, fn: () => void): () => void {
    const event: ScheduledEvent = { at: this.now + Math.max(0, ms), sequence: this.nextSequence++, fn, off: false };
    this.eventQueue.push(event);
    return () => {
      event.off = true;
    };
  }

  /** True time, as the simulated clients see it. */
  readonly clock: Clock = { now: () => this.now, wall: () => this.now, after: (ms, fn) => this.at(ms, fn) };

  /** Advances virtual time to `until`, running all events due by then. */
  async run(until: number): Promise<void> {
    // Lets promises started outside of an event settle first.
    await new Promise<void>((r) => setImmediate(r));
    for (;;) {
      const event = this.eventQueue.top;
      if (!event || event.at > until) break;
      this.eventQueue.pop();
      if (event.off) continue;
      this.now = Math.max(this.now, event.at);
      this.events++;
      event.fn();
      await new Promise<void>((r) => setImmediate(r));
    }
    this.now = until;
  }

  /** Adds a machine with addresses of its own; `start` starts its process. */
  add(name: string, options: { role: Role; domain: string; disk?: boolean; skewMs?: number }): SimNode {
    const i = this.nodes.size + 1;
    const peer = `10.0.${i >> 8}.${i & 255}:7100`;
    const config: NodeConfig = {
      role: options.role,
      domain: options.domain,
      peer,
      client: peer.replace('7100', '7000'),
      seeds: [],
      ...(options.disk ? { data: name } : {}),
    };
    const node: SimNode = {
      name,
      config,
      skewMs: options.skewMs ?? 0,
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
    this.nodesByPeerAddress.set(peer, node);
    this.nodesByClientAddress.set(config.client, node);
    return node;
  }

  get(name: string): SimNode {
    const n = this.nodes.get(name);
    if (!n) throw new Error(`unknown node ${name}`);
    return n;
  }

  /** Runs a callback in a node's process: dropped if that process has ended, deferred while it is frozen. */
  private runOnNode(n: SimNode, incarnation: number, fn: () => void): void {
    if (!n.up || n.incarnation !== incarnation) return;
    if (n.frozen) {
      n.deferredWork.push(() => this.runOnNode(n, incarnation, fn));
      return;
    }
    fn();
  }

  /** Draws a one-way delay. A lost packet is retransmitted after 200 ms, doubled with each further loss. */
  private drawDelayMs(extraMs = 0): number {
    let delayMs =
      this.delayRangeMs[0] +
      (this.delayRangeMs[1] - this.delayRangeMs[0]) * this.random.next() +
      extraMs * this.random.next();
    for (let retransmitMs = 200; this.random.next() < this.loss && retransmitMs < 4_000; retransmitMs *= 2)
      delayMs += retransmitMs;
    return delayMs;
  }

  /** Arrival time of the last frame on each connection. Each pair of peers has one connection per direction, which preserves order. */
  private arrivals = new Map<string, number>();
  /** The delay after which a frame arrives, at the earliest with the frame before it on the connection. */
  private orderedDelayMs(conn: string, delayMs: number): number {
    const arrivesAt = Math.max(this.now + delayMs, this.arrivals.get(conn) ?? 0);
    this.arrivals.set(conn, arrivesAt);
    return arrivesAt - this.now;
  }

  /** Queues a frame on a machine's link and CPU; returns the time until it has passed both, behind earlier frames. */
  private queueFrameMs(n: SimNode, bytes: number, direction: 'inUntil' | 'outUntil'): number {
    if (this.measureTraffic) {
      n.frames.n++;
      n.frames.bytes += bytes;
    }
    const { capacity: load, busy } = n;
    if (!load) return 0;
    const coreMs = (FRAME_CORE_MS + (FRAME_CORE_MS_PER_KIB * bytes) / 1024) / load.coreShare;
    busy.coreUntil = Math.max(this.now, busy.coreUntil) + coreMs;
    busy[direction] = Math.max(this.now, busy[direction]) + bytes / load.linkBytesPerMs;
    return Math.max(busy.coreUntil, busy[direction]) - this.now;
  }

  private isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a}>${b}`);
  }
  /** Drops all messages from a to b and, with `both`, from b to a. */
  cut(a: string, b: string, both = true): void {
    this.cuts.add(`${a}>${b}`);
    if (both) this.cuts.add(`${b}>${a}`);
  }
  /** Removes the cuts between a and b. */
  heal(a: string, b: string): void {
    this.cuts.delete(`${a}>${b}`);
    this.cuts.delete(`${b}>${a}`);
  }
  /** Removes all cuts. */
  healAll(): void {
    this.cuts.clear();
  }
  /** Whether any machine or link is degraded: loss, cuts, high delay, or a slow or stalling disk. */
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
    const incarnation = ++n.incarnation;
    n.up = true;
    n.frozen = false;
    n.deferredWork = [];
    const random = seededRandom(Math.floor(this.random.next() * 2 ** 32));
    // Timers run at the clock's rate too; setRate keeps the clock continuous when it changes.
    const clock: Clock = {
      now: () => EPOCH_MS + this.now * n.rate + n.skewMs,
      wall: () => clock.now() + n.wallStepMs,
      after: (ms, fn) =>
        this.at(ms / n.rate + n.maxExtraDelayMs * random.next(), () => this.runOnNode(n, incarnation, fn)),
    };
    const net: Net = {
      serve: async (h) => {
        n.handle = h;
      },
      call: (peer, frame, timeoutMs) => this.call(n, incarnation, peer, frame, timeoutMs),
      close: async () => {
        n.handle = undefined;
      },
    };
    const logger =
      (prefix: string) =>
      (line: string, data?: Record<string, unknown>): void => {
        const entry = `${(this.now / 1000).toFixed(3)} ${n.name} ${prefix}${line} ${data ? JSON.stringify(data) : ''}`;
        this.lines.push(entry);
        if (this.opts.log) process.stdout.write(entry + '\n');
        if (data && (data.fault as { tag?: string } | undefined)?.tag === 'internal') this.errors.push(entry);
      };
    const host: Host = {
      clock,
      random,
      net,
      config: n.config,
      log: { info: logger(''), warn: logger('! ') },
      terminate: () => this.kill(n),
    };
    if (n.config.data && n.disk !== undefined && n.diskFull) {
      // As in production: a relay runs without its disk until there is space again; other roles exit.
      if (n.config.role !== 'relay') {
        this.kill(n);
        return;
      }
    } else if (n.config.data) {
      n.db = host.db = this.openDisk(n, this.blockingClock(n, incarnation, clock, random), random, host.log);
    }
    const { kernel, edge } = await startNode(host);
    n.kernel = kernel;
    n.edge = edge;
  }

  /** A node's clock for disk syncs that, with `syncStallMs`, freezes the node's event loop until the sync is done. */
  private blockingClock(n: SimNode, incarnation: number, clock: Clock, random: RandomSource): Clock {
    return {
      ...clock,
      after: (ms, fn) =>
        clock.after(ms, () => {
          const range = n.syncStallMs;
          if (!range) {
            fn();
            return;
          }
          n.frozen = true;
          this.at(range[0] + (range[1] - range[0]) * random.next(), () => {
            if (!n.up || n.incarnation !== incarnation) return;
            n.frozen = false;
            fn();
            this.runDeferredWork(n);
          });
        }),
    };
  }

  /** Opens a node's database: in memory, or on a simulated disk with `SimOpts.files`. */
  private openDisk(n: SimNode, clock: Clock, random: RandomSource, log: Log): SyncedDatabase | undefined {
    const onFault = (e: Error): void => {
      this.lines.push(`${(this.now / 1000).toFixed(3)} ${n.name} disk fault: ${e.message}`);
      if (!n.diskFull) this.errors.push(`${n.name} disk: ${e.message}`);
      this.kill(n);
    };
    const syncMs = (): number => n.diskMs * (0.5 + random.next());
    if (this.directory === undefined) {
      n.sql ??= new Database(':memory:');
      const db = new SyncedDatabase(n.sql, clock, syncMs, onFault, n.config.peer);
      db.openMs = n.diskMs;
      return db;
    }
    n.disk ??= new SimDisk(join(this.directory, n.name), {
      afterSync: (fn) => void this.at(n.diskMs * (0.5 + this.random.next()), fn),
    });
    const db = n.disk.open(clock, log, onFault, n.config.peer);
    db.openMs = n.diskMs;
    n.sql = db.sql;
    return db;
  }

  /**
   * Kills the process. An in-memory database loses what was not synced, so that this simulates a power loss too; files keep all
   * writes.
   */
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

  /** Power loss: the process ends, and unsynced writes of its disk may be lost. */
  losePower(n: SimNode): void {
    if (n.up) n.disk?.losePower(this.random);
    this.kill(n);
  }

  /** Sends SIGTERM and kills the process 6 s later. Returns whether it stopped by itself. */
  async stop(n: SimNode): Promise<boolean> {
    const incarnation = n.incarnation;
    let stopped = false;
    const cancelKill = this.at(6_000, () => {
      if (n.incarnation === incarnation) this.kill(n);
    });
    const kernel = n.kernel!;
    const sql = n.sql;
    // Gives up waiting once the process has been killed, as the production program does.
    await Promise.race([
      (async () => {
        await (n.disk ? kernel.stop() : stopKeepingDatabase(kernel));
        stopped = true;
      })(),
      new Promise<void>((r) => {
        this.at(6_001, r);
      }),
    ]);
    cancelKill();
    if (n.incarnation === incarnation) this.kill(n);
    n.sql = sql;
    return stopped;
  }

  /** Kills the process and erases its disk; a later start finds an empty one. */
  loseDisk(n: SimNode): void {
    this.kill(n);
    n.disk?.wipe();
    if (n.sql?.open) n.sql.close();
    n.sql = undefined;
  }

  /** Makes the disk full, or frees space on it again. */
  fillDisk(n: SimNode, full: boolean): void {
    n.diskFull = full;
    const runsWithoutDisk = n.up && n.config.data !== undefined && n.kernel !== undefined && !n.kernel.host.db;
    if (!full && runsWithoutDisk) void this.stop(n).then(() => this.start(n));
    if (n.sql?.open)
      n.sql.pragma(`max_page_count = ${full ? Number(n.sql.pragma('page_count', { simple: true })) : 1_073_741_823}`);
  }

  /** Suspends the process, like SIGSTOP. */
  freeze(n: SimNode): void {
    if (n.up) n.frozen = true;
  }
  /** Resumes a suspended process. */
  thaw(n: SimNode): void {
    if (!n.frozen) return;
    n.frozen = false;
    this.runDeferredWork(n);
  }
  private runDeferredWork(n: SimNode): void {
    const deferred = n.deferredWork;
    n.deferredWork = [];
    for (const fn of deferred) this.at(this.random.next(), fn);
  }
  /** Sets the rate of the node's clock; its current reading does not jump. */
  setRate(n: SimNode, rate: number): void {
    n.skewMs += this.now * (n.rate - rate);
    n.rate = rate;
  }

  private recordLength(method: string, frame: string): void {
    this.longestFrames.set(method, Math.max(this.longestFrames.get(method) ?? 0, frame.length));
  }

  private call(from: SimNode, incarnation: number, peer: string, frame: string, timeoutMs: number): Promise<string> {
    const to = this.nodesByPeerAddress.get(peer);
    let method = '';
    if (this.measureTraffic) {
      method = /^(\w+) /.exec(frame)?.[1] ?? '?';
      const t = this.requestTraffic.get(method) ?? { n: 0, bytes: 0 };
      this.requestTraffic.set(method, { n: t.n + 1, bytes: t.bytes + frame.length });
      this.recordLength(method, frame);
    }
    return new Promise((res, rej) => {
      let settled = false;
      let reset = (): void => {};
      const settle = (fn: () => void): void => {
        if (settled) return;
        settled = true;
        cancelTimeout();
        to?.calls.delete(reset);
        this.runOnNode(from, incarnation, fn);
      };
      const cancelTimeout = this.at(timeoutMs, () =>
        settle(() => rej(new HarecrossError({ tag: 'timeout', step: 'call', peer }))),
      );
      if (!to) {
        this.at(1, () =>
          settle(() => rej(new HarecrossError({ tag: 'unreachable', step: 'call', peer, detail: 'no route' }))),
        );
        return;
      }
      const conn = `${from.name}/${incarnation}>${to.name}/${to.incarnation}`;
      const sendMs = this.queueFrameMs(from, frame.length, 'outUntil');
      this.at(this.orderedDelayMs(conn, sendMs + this.drawDelayMs(from.maxExtraDelayMs + to.maxExtraDelayMs)), () => {
        if (this.isCut(from.name, to.name)) return; // the message is lost; the caller times out
        if (!to.up || !to.handle) {
          this.at(this.drawDelayMs(), () =>
            settle(() => rej(new HarecrossError({ tag: 'unreachable', step: 'call', peer, detail: 'refused' }))),
          );
          return;
        }
        const receiverIncarnation = to.incarnation;
        reset = () => {
          this.at(this.drawDelayMs(), () => {
            if (!this.isCut(to.name, from.name))
              settle(() => rej(new HarecrossError({ tag: 'cut', step: 'call', peer, detail: 'reset' })));
          });
        };
        to.calls.add(reset);
        this.whenReceived(to, frame.length, () =>
          this.runOnNode(to, receiverIncarnation, () => {
            to.handle!(frame).then(
              (s) => {
                if (method) {
                  this.responseBytes.set(method, (this.responseBytes.get(method) ?? 0) + s.length);
                  this.recordLength(method, s);
                }
                if (!to.up || to.incarnation !== receiverIncarnation) return;
                const responseSendMs = this.queueFrameMs(to, s.length, 'outUntil');
                this.at(
                  this.orderedDelayMs(
                    `${conn} back`,
                    responseSendMs + this.drawDelayMs(from.maxExtraDelayMs + to.maxExtraDelayMs),
                  ),
                  () => {
                    if (!this.isCut(to.name, from.name)) this.whenReceived(from, s.length, () => settle(() => res(s)));
                  },
                );
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

  /** Runs a callback once a machine has processed an incoming frame; at once if it has no `capacity`. */
  private whenReceived(n: SimNode, bytes: number, fn: () => void): void {
    const ms = this.queueFrameMs(n, bytes, 'inUntil');
    if (ms > 0) this.at(ms, fn);
    else fn();
  }

  /** How simulated clients reach the fleet. */
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
        const to = this.nodesByClientAddress.get(node)!;
        const incarnation = to.incarnation;
        let settled = false;
        const settle = (response: { status: number; body: Json } | undefined): void => {
          if (!settled) {
            settled = true;
            cancelTimeout();
            to.calls.delete(reset);
            res(response);
          }
        };
        const reset = (): void => {
          this.at(this.drawDelayMs(), () => settle(undefined));
        };
        const cancelTimeout = this.at(timeoutMs, () => settle(undefined));
        const requestJson = JSON.stringify(body);
        let delayMs = this.drawDelayMs(to.maxExtraDelayMs);
        // Requests on one connection arrive in order.
        if (line) {
          delayMs = Math.max(delayMs, line.at - this.now);
          line.at = this.now + delayMs;
        }
        const responseDelayMs = (ms: number): number =>
          line ? this.orderedDelayMs(`${node} ${line.name} back`, ms) : ms;
        this.at(delayMs, () => {
          if (!to.up || to.incarnation !== incarnation || !to.edge) {
            settle(undefined);
            return;
          }
          to.calls.add(reset);
          const handleRequest = (): void => {
            void to.edge!.handle(method, JSON.parse(requestJson)).then((r) => {
              if (!to.up || to.incarnation !== incarnation) return;
              const responseJson = JSON.stringify(r.body);
              this.at(responseDelayMs(this.drawDelayMs(to.maxExtraDelayMs)), () =>
                settle({ status: r.status, body: JSON.parse(responseJson) }),
              );
            });
          };
          line?.waiting.push(handleRequest);
          // Deferred work of a frozen node runs in any order, but the requests of one connection must be read in order.
          this.runOnNode(to, incarnation, () => {
            (line ? line.waiting.shift()! : handleRequest)();
          });
        });
      }),
    attach: (node, body, onFrame, onEnd) => {
      const to = this.nodesByClientAddress.get(node)!;
      const incarnation = to.incarnation;
      let closed = false;
      let id = '';
      let lastArrival = 0;
      const ended = (): void => {
        if (closed) return;
        closed = true;
        to.streams.delete(reset);
        onEnd();
      };
      const reset = (): void => {
        this.at(this.drawDelayMs(), ended);
      };
      const consumer = (body as { consumer?: string }).consumer ?? '';
      this.halfOpenConsumers.delete(consumer);
      // A stream is one TCP connection, so frames arrive in order.
      const toClient = (fn: () => void): void => {
        const arrivesAt = Math.max(lastArrival, this.now + this.drawDelayMs(to.maxExtraDelayMs));
        lastArrival = arrivesAt;
        this.at(arrivesAt - this.now, fn);
      };
      this.at(this.drawDelayMs(to.maxExtraDelayMs), () => {
        if (closed) return;
        if (!to.up || to.incarnation !== incarnation || !to.edge) {
          ended();
          return;
        }
        to.streams.add(reset);
        this.runOnNode(to, incarnation, () => {
          if (closed) return;
          const rate = this.linkBytesPerS.get(consumer);
          let backlog = 0;
          const r = to.edge!.attach(body, {
            write: (frames) => {
              const s = serializeFrames(frames);
              if (rate !== undefined) {
                backlog += s.length;
                lastArrival = Math.max(lastArrival, this.now) + (s.length / rate) * 1000;
                toClient(() => {
                  const backlogBefore = backlog;
                  backlog -= s.length;
                  if (backlogBefore > 65_536 && backlog <= 65_536)
                    this.runOnNode(to, incarnation, () => {
                      if (id) to.edge!.drained(id);
                    });
                });
              }
              toClient(() => {
                for (const line of s.split('\n'))
                  if (line && !closed && !this.halfOpenConsumers.has(consumer)) onFrame(JSON.parse(line) as Frame);
              });
              return backlog <= 65_536;
            },
            close: () => {
              // The operating system still sends what was written before the close, even if the process ends right after it.
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
        // The node is notified of the close unless its process has ended; a frozen node once it resumes.
        this.at(this.drawDelayMs(), () =>
          this.runOnNode(to, incarnation, () => {
            if (id) to.edge!.disconnected(id);
          }),
        );
      };
    },
  };

  /** Resets a random share of the client streams; clients reconnect by themselves. */
  resetStreams(share: number): void {
    for (const n of this.nodes.values())
      for (const f of Array.from(n.streams))
        if (this.random.next() < share) {
          n.streams.delete(f);
          f();
        }
  }

  /** Kills all nodes and removes their files. */
  close(): void {
    for (const n of this.nodes.values()) {
      this.kill(n);
      if (n.sql?.open) n.sql.close();
    }
    if (this.directory !== undefined) rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Stops a kernel but keeps its database open for the next start. */
async function stopKeepingDatabase(kernel: Kernel): Promise<void> {
  const db = kernel.host.db;
  (kernel.host as { db?: SyncedDatabase }).db = undefined;
  await kernel.stop();
  (kernel.host as { db?: SyncedDatabase }).db = db;
}
