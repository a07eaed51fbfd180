/**
 * A model of calls between nodes: the real link and server code over a network in virtual time that splits, delays and silences streams of
 * bytes, resets connections, and ends and restarts the processes at both ends. A seed gives one run; rules are checked during it.
 */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import {
  AcceptedConnection,
  AcceptedConnections,
  HarecrossError,
  WRITE_CHUNK_BYTES,
  PeerLink,
  FlushScheduler,
  type ErrorDetails,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
  type RandomSource,
} from '@harecross/kernel';
import { seededRandom } from './sim.js';

const CALLER = '10.0.0.1:7100';
const SERVER = '10.0.0.2:7100';
const BOUNDS: TransportLimits = {
  connectMs: 1_000,
  quietMs: 200,
  maxFrameBytes: 64 * 1024,
  pendingBytesLimit: 1024 * 1024,
  callLimit: 1_000,
  connectionLimit: 100,
  closeMs: 100,
};

export interface CallsPlan {
  calls: number;
  /** Calls are made, and troubles strike, within this time. */
  durationMs: number;
  resets: number;
  silences: number;
  serverRestarts: number;
  callerRestarts: number;
}
export const CALLS_PLAN: CallsPlan = {
  calls: 60,
  durationMs: 4_000,
  resets: 4,
  silences: 4,
  serverRestarts: 2,
  callerRestarts: 1,
};

export interface CallsResult {
  /** Rules that were broken, with what broke them. */
  violations: string[];
  events: number;
  /** Calls by what became of them. */
  outcomes: Map<string, number>;
}

interface Event {
  at: number;
  order: number;
  run: () => void;
  off: boolean;
}

/** Virtual time: what is due runs in order, and promises settle between two events. */
class Time {
  now = 0;
  events = 0;
  private due: Event[] = [];
  private order = 0;

  after(ms: number, run: () => void): () => void {
    const event: Event = { at: this.now + Math.max(0, ms), order: this.order++, run, off: false };
    this.due.push(event);
    return () => {
      event.off = true;
    };
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      this.due = this.due.filter((e) => !e.off);
      const next = this.due.reduce<Event | undefined>(
        (a, b) => (!a || b.at < a.at || (b.at === a.at && b.order < a.order) ? b : a),
        undefined,
      );
      if (!next || next.at > untilMs) return;
      next.off = true;
      this.now = next.at;
      this.events++;
      next.run();
      await new Promise<void>((res) => {
        setImmediate(res);
      });
    }
  }
}

/** One end of a connection, with as much of a socket as the transport uses. */
class End extends EventEmitter {
  writable = true;
  destroyed = false;
  closed = false;
  /** Until then the system takes nothing more than what was written first. */
  stalledUntil = 0;
  private pending = 0;

  constructor(
    private time: Time,
    private carry: (bytes: Buffer) => void,
    private left: () => void,
  ) {
    super();
    this.on('error', () => undefined);
  }

  write(data: string | Buffer, encoding?: unknown, written?: unknown): boolean {
    const told = (typeof encoding === 'function' ? encoding : written) as ((e?: Error) => void) | undefined;
    const gone = this.destroyed;
    if (!gone) this.carry(Buffer.from(data as string));
    this.pending++;
    this.time.after(this.stalledUntil - this.time.now, () => {
      this.pending--;
      told?.(this.destroyed ? new Error('destroyed') : undefined);
    });
    return true;
  }

  get writableLength(): number {
    return this.pending > 0 && this.time.now < this.stalledUntil ? WRITE_CHUNK_BYTES : 0;
  }

  pause(): this {
    return this;
  }

  resume(): this {
    return this;
  }

  end(): this {
    this.writable = false;
    this.left();
    return this;
  }

  destroy(): this {
    if (this.destroyed) return this;
    this.destroyed = true;
    this.writable = false;
    this.left();
    this.time.after(0, () => this.over());
    return this;
  }

  /** Tells once that the connection is closed. */
  over(): void {
    if (this.closed) return;
    this.closed = true;
    this.destroyed = true;
    this.writable = false;
    this.emit('close');
  }
}

/** A stream of bytes each way: in order, in pieces of any size, late by any time; what was written may arrive after its writer left. */
class Connection {
  readonly ends: [End, End];
  private lastAt: [number, number] = [0, 0];
  private silentUntil: [number, number] = [0, 0];
  private broken = false;

  constructor(
    private time: Time,
    private random: RandomSource,
  ) {
    const end = (side: 0 | 1): End =>
      new End(
        time,
        (bytes) => this.carry(side, bytes),
        () => this.leave(side),
      );
    this.ends = [end(0), end(1)];
  }

  private delay(): number {
    return this.random.next() < 0.1 ? 300 * this.random.next() : 10 * this.random.next();
  }

  /** Runs at the other end, behind all that was sent before. */
  private arrive(side: 0 | 1, run: (other: End) => void): void {
    const at = Math.max(this.lastAt[side], this.silentUntil[side], this.time.now) + this.delay();
    this.lastAt[side] = at;
    this.time.after(at - this.time.now, () => run(this.ends[side === 0 ? 1 : 0]));
  }

  private carry(side: 0 | 1, bytes: Buffer): void {
    for (let from = 0; from < bytes.length;) {
      const size = this.random.next() < 0.5 ? bytes.length : 1 + Math.floor(this.random.next() * bytes.length);
      const piece = bytes.subarray(from, from + size);
      from += piece.length;
      this.arrive(side, (other) => {
        if (!other.destroyed && !this.broken) other.emit('data', piece);
      });
    }
  }

  private leave(side: 0 | 1): void {
    this.arrive(side, (other) => {
      if (other.destroyed) return;
      other.emit('end');
      other.over();
    });
  }

  /** Nothing arrives for a while; then all of it does. */
  silence(side: 0 | 1, ms: number): void {
    this.silentUntil[side] = this.time.now + ms;
    this.ends[side].stalledUntil = this.time.now + ms;
  }

  /** Both ends learn of it, each in its own time; what is under way is lost from a moment in between. */
  reset(): void {
    this.time.after(this.delay(), () => {
      this.broken = true;
    });
    for (const end of this.ends)
      this.time.after(this.delay(), () => {
        if (end.destroyed) return;
        end.emit('error', Object.assign(new Error('reset'), { code: 'ECONNRESET' }));
        end.over();
      });
  }
}

/** What one call was, and what became of it. */
interface Made {
  id: number;
  /** The process it was meant for, where the caller knew one. */
  meantFor: string | undefined;
  runs: string[];
  endings: string[];
  /** Its process ended under it. */
  orphan: boolean;
}

class World {
  readonly time = new Time();
  readonly bad: string[] = [];
  private random: RandomSource;
  private made: Made[] = [];
  private connections: Connection[] = [];
  private callerInstances = 0;
  private serverInstances = 0;
  private serverUp = false;
  private accepted = new AcceptedConnections();
  private serverBatch = new FlushScheduler(this.system());
  private link!: PeerLink;
  /** The process that the caller last heard an answer of on the connection that it has. */
  private heardOf: string | undefined;

  constructor(
    seed: number,
    private plan: CallsPlan,
  ) {
    this.random = seededRandom(seed);
  }

  /** The surroundings of a process; once it has ended nothing of it runs any more. */
  private system(alive: () => boolean = () => true): TransportEnvironment {
    const { time } = this;
    const whileAlive = (fn: () => void) => (): void => {
      if (alive()) fn();
    };
    return {
      connect: () => this.connect(),
      now: () => time.now,
      after: (ms, fn) => time.after(ms, whileAlive(fn)),
      afterCurrentIteration: (fn) => {
        time.after(0, whileAlive(fn));
      },
    };
  }

  private connect(): Socket {
    const c = new Connection(this.time, this.random);
    const [near, far] = c.ends;
    this.connections.push(c);
    this.time.after(10 * this.random.next(), () => {
      if (near.destroyed) return;
      if (!this.serverUp || far.closed) {
        near.emit('error', Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }));
        near.over();
        return;
      }
      this.accept(far);
      near.emit('connect');
    });
    return near as unknown as Socket;
  }

  private accept(end: End): void {
    const instance = `server-${this.serverInstances}`;
    const { accepted } = this;
    const connection: AcceptedConnection = new AcceptedConnection(
      end as unknown as Socket,
      BOUNDS,
      this.serverBatch,
      { address: SERVER, instance, connection: 0 },
      this.system(),
      (c) => accepted.closeSuperseded(c),
      (frame) => this.serve(frame, instance, connection, accepted),
      () => undefined,
    );
    accepted.all.add(connection);
    end.on('close', () => accepted.all.delete(connection));
  }

  /** The server's handler: notes the run, and answers after a while. */
  private serve(
    frame: string,
    instance: string,
    on: AcceptedConnection,
    accepted: AcceptedConnections,
  ): Promise<string> {
    const call = this.made[Number(frame)]!;
    call.runs.push(instance);
    if (call.runs.length > 1) this.bad.push(`call ${call.id} was run twice: ${call.runs.join(', ')}`);
    if (call.meantFor !== undefined && call.meantFor !== instance)
      this.bad.push(`call ${call.id} was meant for ${call.meantFor} and run by ${instance}`);
    if (call.endings.includes('unreachable')) this.bad.push(`call ${call.id} was unreachable, and run`);
    const later = [...accepted.all].find((c) => isLater(c.peer, on.peer));
    if (later) this.bad.push(`call ${call.id} came on a connection that a later one had replaced`);
    const ms = this.random.next() < 0.2 ? 500 * this.random.next() : 5 * this.random.next();
    return new Promise((res) => {
      this.time.after(ms, () => res(`${frame} ${instance}`));
    });
  }

  private startServer(): void {
    this.serverInstances++;
    this.accepted = new AcceptedConnections();
    this.serverUp = true;
  }

  private restartServer(): void {
    if (!this.serverUp) return;
    this.serverUp = false;
    for (const c of this.connections) c.reset();
    this.time.after(50 * this.random.next(), () => this.startServer());
  }

  private startCaller(): void {
    const identity = { address: CALLER, instance: `caller-${++this.callerInstances}` };
    let opened = 0;
    this.heardOf = undefined;
    const mine = this.callerInstances;
    const system = this.system(() => mine === this.callerInstances);
    this.link = new PeerLink(
      SERVER,
      BOUNDS,
      new FlushScheduler(system),
      () => ({ ...identity, connection: ++opened }),
      system,
      () => ({
        count: () => undefined,
        connectionLost: () => {
          if (mine === this.callerInstances) this.heardOf = undefined;
        },
      }),
    );
  }

  private restartCaller(): void {
    for (const m of this.made) if (!m.endings.length) m.orphan = true;
    // Its system closes the connections, behind what was written to them.
    for (const c of this.connections) {
      c.ends[0].removeAllListeners();
      c.ends[0].destroy();
    }
    this.startCaller();
  }

  private call(): void {
    const made: Made = { id: this.made.length, meantFor: this.heardOf, runs: [], endings: [], orphan: false };
    this.made.push(made);
    const caller = this.callerInstances;
    const timeoutMs = this.random.next() < 0.3 ? 60 * this.random.next() : 2_000;
    this.link.call(String(made.id), timeoutMs).then(
      (answer) => {
        const [id, instance] = answer.split(' ');
        if (Number(id) !== made.id) this.bad.push(`call ${made.id} got the answer of call ${id}`);
        made.endings.push('answered');
        if (caller === this.callerInstances) this.heardOf = instance;
      },
      (e: unknown) => {
        const fault: ErrorDetails | undefined = e instanceof HarecrossError ? e.details : undefined;
        made.endings.push(fault?.tag ?? 'thrown');
        if (fault?.tag === 'unreachable' && made.runs.length)
          this.bad.push(`call ${made.id} was run, and unreachable to its caller`);
      },
    );
  }

  private some(): Connection | undefined {
    const open = this.connections.filter((c) => !c.ends[0].closed);
    return open[Math.floor(this.random.next() * open.length)];
  }

  private schedule(): void {
    const { plan, random, time } = this;
    const often = (n: number, run: () => void): void => {
      for (let i = 0; i < n; i++) time.after(random.next() * plan.durationMs, run);
    };
    // Calls come in bursts, so that some are under way when trouble strikes.
    often(plan.calls / 4, () => {
      for (let i = 0; i < 4; i++) time.after(20 * random.next(), () => this.call());
    });
    often(plan.resets, () => this.some()?.reset());
    often(plan.silences, () => {
      const c = this.some();
      const ms = 1_500 * random.next();
      const ways = random.next();
      if (ways < 0.7) c?.silence(0, ms);
      if (ways > 0.4) c?.silence(1, ms);
    });
    often(plan.serverRestarts, () => this.restartServer());
    often(plan.callerRestarts, () => this.restartCaller());
  }

  async play(): Promise<CallsResult> {
    this.startServer();
    this.startCaller();
    this.schedule();
    await this.time.run(this.plan.durationMs + 10_000);
    const ended = new Map<string, number>();
    for (const m of this.made) {
      if (m.endings.length > 1 || (m.endings.length === 0 && !m.orphan))
        this.bad.push(`call ${m.id} ended ${m.endings.length} times: ${m.endings.join(', ')}`);
      for (const how of m.endings) ended.set(how, (ended.get(how) ?? 0) + 1);
    }
    return { violations: this.bad, events: this.time.events, outcomes: ended };
  }
}

/** Whether one introduction is of a later connection from the same address than another. */
function isLater(a: PeerIdentity | undefined, b: PeerIdentity | undefined): boolean {
  if (!a || !b || a.address !== b.address) return false;
  if (a.instance === b.instance) return a.connection > b.connection;
  return Number(a.instance.split('-')[1]) > Number(b.instance.split('-')[1]);
}

/**
 * One run of the model.
 * @example
 * (await playCalls(7)).bad; // []
 */
export function simulateCalls(seed: number, plan: CallsPlan = CALLS_PLAN): Promise<CallsResult> {
  return new World(seed, plan).play();
}
