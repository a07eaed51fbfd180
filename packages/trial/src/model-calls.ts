/**
 * A randomized simulation of calls between nodes: the production client and server code of the transport over a network in virtual time
 * that splits, delays and stalls byte streams, resets connections, and restarts the processes at both ends. Each seed gives one
 * reproducible run, during which the invariants are checked.
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
const LIMITS: TransportLimits = {
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
  /** The period in which calls are made and faults are injected. */
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
  /** Descriptions of the violated invariants. */
  violations: string[];
  events: number;
  /** Number of calls by outcome. */
  outcomes: Map<string, number>;
}

interface ScheduledEvent {
  at: number;
  order: number;
  run: () => void;
  off: boolean;
}

/** Virtual time: runs events in order of their due time and lets promises settle between two events. */
class VirtualTime {
  now = 0;
  events = 0;
  private scheduled: ScheduledEvent[] = [];
  private order = 0;

  after(ms: number, run: () => void): () => void {
    const event: ScheduledEvent = { at: this.now + Math.max(0, ms), order: this.order++, run, off: false };
    this.scheduled.push(event);
    return () => {
      event.off = true;
    };
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      this.scheduled = this.scheduled.filter((e) => !e.off);
      const next = this.scheduled.reduce<ScheduledEvent | undefined>(
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

/** One end of a connection, with the part of the socket interface that the transport uses. */
class SocketEnd extends EventEmitter {
  writable = true;
  destroyed = false;
  closed = false;
  /** Until then writes are not completed, and the socket's buffer counts as full as soon as something was written. */
  stalledUntil = 0;
  private pending = 0;

  constructor(
    private time: VirtualTime,
    private onWrite: (bytes: Buffer) => void,
    private left: () => void,
  ) {
    super();
    this.on('error', () => undefined);
  }

  write(data: string | Buffer, encoding?: unknown, written?: unknown): boolean {
    const onWritten = (typeof encoding === 'function' ? encoding : written) as ((e?: Error) => void) | undefined;
    const wasDestroyed = this.destroyed;
    if (!wasDestroyed) this.onWrite(Buffer.from(data as string));
    this.pending++;
    this.time.after(this.stalledUntil - this.time.now, () => {
      this.pending--;
      onWritten?.(this.destroyed ? new Error('destroyed') : undefined);
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
    this.time.after(0, () => this.emitClose());
    return this;
  }

  /** Emits `close`, at most once. */
  emitClose(): void {
    if (this.closed) return;
    this.closed = true;
    this.destroyed = true;
    this.writable = false;
    this.emit('close');
  }
}

/** A byte stream in each direction: ordered, in chunks of any size, with random delays. Data may arrive after its sender has closed. */
class Connection {
  readonly ends: [SocketEnd, SocketEnd];
  private lastAt: [number, number] = [0, 0];
  private silentUntil: [number, number] = [0, 0];
  private broken = false;

  constructor(
    private time: VirtualTime,
    private random: RandomSource,
  ) {
    const end = (side: 0 | 1): SocketEnd =>
      new SocketEnd(
        time,
        (bytes) => this.transmit(side, bytes),
        () => this.announceEnd(side),
      );
    this.ends = [end(0), end(1)];
  }

  private delay(): number {
    return this.random.next() < 0.1 ? 300 * this.random.next() : 10 * this.random.next();
  }

  /** Runs `run` on the other end after everything sent earlier has arrived. */
  private deliver(side: 0 | 1, run: (other: SocketEnd) => void): void {
    const at = Math.max(this.lastAt[side], this.silentUntil[side], this.time.now) + this.delay();
    this.lastAt[side] = at;
    this.time.after(at - this.time.now, () => run(this.ends[side === 0 ? 1 : 0]));
  }

  private transmit(side: 0 | 1, bytes: Buffer): void {
    for (let from = 0; from < bytes.length;) {
      const size = this.random.next() < 0.5 ? bytes.length : 1 + Math.floor(this.random.next() * bytes.length);
      const piece = bytes.subarray(from, from + size);
      from += piece.length;
      this.deliver(side, (other) => {
        if (!other.destroyed && !this.broken) other.emit('data', piece);
      });
    }
  }

  private announceEnd(side: 0 | 1): void {
    this.deliver(side, (other) => {
      if (other.destroyed) return;
      other.emit('end');
      other.emitClose();
    });
  }

  /** Holds back everything sent from this side for a while; then all of it arrives. */
  silence(side: 0 | 1, ms: number): void {
    this.silentUntil[side] = this.time.now + ms;
    this.ends[side].stalledUntil = this.time.now + ms;
  }

  /** Resets the connection. Each end is notified after its own random delay; data in flight is lost from another random instant on. */
  reset(): void {
    this.time.after(this.delay(), () => {
      this.broken = true;
    });
    for (const end of this.ends)
      this.time.after(this.delay(), () => {
        if (end.destroyed) return;
        end.emit('error', Object.assign(new Error('reset'), { code: 'ECONNRESET' }));
        end.emitClose();
      });
  }
}

/** A call with its executions and its outcome. */
interface CallRecord {
  id: number;
  /** The server instance that the call is for, if the caller knew one. */
  intendedInstance: string | undefined;
  executedBy: string[];
  outcomes: string[];
  /** The calling process was restarted before the call ended. */
  callerRestarted: boolean;
}

class CallsModel {
  readonly time = new VirtualTime();
  readonly violations: string[] = [];
  private random: RandomSource;
  private calls: CallRecord[] = [];
  private connections: Connection[] = [];
  private callerInstances = 0;
  private serverInstances = 0;
  private serverUp = false;
  private accepted = new AcceptedConnections();
  private serverFlushScheduler = new FlushScheduler(this.environment());
  private link!: PeerLink;
  /** The server instance that last answered the caller on its current connection. */
  private lastAnsweringInstance: string | undefined;

  constructor(
    seed: number,
    private plan: CallsPlan,
  ) {
    this.random = seededRandom(seed);
  }

  /** The transport environment of a process. Callbacks of a process that has ended are dropped. */
  private environment(alive: () => boolean = () => true): TransportEnvironment {
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
        near.emitClose();
        return;
      }
      this.accept(far);
      near.emit('connect');
    });
    return near as unknown as Socket;
  }

  private accept(end: SocketEnd): void {
    const instance = `server-${this.serverInstances}`;
    const { accepted } = this;
    const connection: AcceptedConnection = new AcceptedConnection(
      end as unknown as Socket,
      LIMITS,
      this.serverFlushScheduler,
      { address: SERVER, instance, connection: 0 },
      this.environment(),
      (c) => accepted.closeSuperseded(c),
      (frame) => this.serve(frame, instance, connection, accepted),
      () => undefined,
    );
    accepted.all.add(connection);
    end.on('close', () => accepted.all.delete(connection));
  }

  /** The server's handler: records the execution, checks the invariants and answers after a random delay. */
  private serve(
    frame: string,
    instance: string,
    on: AcceptedConnection,
    accepted: AcceptedConnections,
  ): Promise<string> {
    const call = this.calls[Number(frame)]!;
    call.executedBy.push(instance);
    if (call.executedBy.length > 1)
      this.violations.push(`call ${call.id} was run twice: ${call.executedBy.join(', ')}`);
    if (call.intendedInstance !== undefined && call.intendedInstance !== instance)
      this.violations.push(`call ${call.id} was meant for ${call.intendedInstance} and run by ${instance}`);
    if (call.outcomes.includes('unreachable')) this.violations.push(`call ${call.id} was unreachable, and run`);
    const newerConnection = [...accepted.all].find((c) => isLater(c.peer, on.peer));
    if (newerConnection) this.violations.push(`call ${call.id} arrived on a connection that a later one had replaced`);
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
    this.lastAnsweringInstance = undefined;
    const instanceNumber = this.callerInstances;
    const environment = this.environment(() => instanceNumber === this.callerInstances);
    this.link = new PeerLink(
      SERVER,
      LIMITS,
      new FlushScheduler(environment),
      () => ({ ...identity, connection: ++opened }),
      environment,
      () => ({
        count: () => undefined,
        connectionLost: () => {
          if (instanceNumber === this.callerInstances) this.lastAnsweringInstance = undefined;
        },
      }),
    );
  }

  private restartCaller(): void {
    for (const call of this.calls) if (!call.outcomes.length) call.callerRestarted = true;
    // The operating system closes the connections after sending what was written to them.
    for (const c of this.connections) {
      c.ends[0].removeAllListeners();
      c.ends[0].destroy();
    }
    this.startCaller();
  }

  private call(): void {
    const record: CallRecord = {
      id: this.calls.length,
      intendedInstance: this.lastAnsweringInstance,
      executedBy: [],
      outcomes: [],
      callerRestarted: false,
    };
    this.calls.push(record);
    const caller = this.callerInstances;
    const timeoutMs = this.random.next() < 0.3 ? 60 * this.random.next() : 2_000;
    this.link.call(String(record.id), timeoutMs).then(
      (answer) => {
        const [id, instance] = answer.split(' ');
        if (Number(id) !== record.id) this.violations.push(`call ${record.id} got the answer of call ${id}`);
        record.outcomes.push('answered');
        if (caller === this.callerInstances) this.lastAnsweringInstance = instance;
      },
      (e: unknown) => {
        const details: ErrorDetails | undefined = e instanceof HarecrossError ? e.details : undefined;
        record.outcomes.push(details?.tag ?? 'thrown');
        if (details?.tag === 'unreachable' && record.executedBy.length)
          this.violations.push(`call ${record.id} was run, and unreachable to its caller`);
      },
    );
  }

  private randomOpenConnection(): Connection | undefined {
    const open = this.connections.filter((c) => !c.ends[0].closed);
    return open[Math.floor(this.random.next() * open.length)];
  }

  private schedule(): void {
    const { plan, random, time } = this;
    const atRandomTimes = (n: number, run: () => void): void => {
      for (let i = 0; i < n; i++) time.after(random.next() * plan.durationMs, run);
    };
    // Calls are made in bursts, so that some are in flight when a fault is injected.
    atRandomTimes(plan.calls / 4, () => {
      for (let i = 0; i < 4; i++) time.after(20 * random.next(), () => this.call());
    });
    atRandomTimes(plan.resets, () => this.randomOpenConnection()?.reset());
    atRandomTimes(plan.silences, () => {
      const c = this.randomOpenConnection();
      const ms = 1_500 * random.next();
      const directionDraw = random.next();
      if (directionDraw < 0.7) c?.silence(0, ms);
      if (directionDraw > 0.4) c?.silence(1, ms);
    });
    atRandomTimes(plan.serverRestarts, () => this.restartServer());
    atRandomTimes(plan.callerRestarts, () => this.restartCaller());
  }

  async run(): Promise<CallsResult> {
    this.startServer();
    this.startCaller();
    this.schedule();
    await this.time.run(this.plan.durationMs + 10_000);
    const outcomes = new Map<string, number>();
    for (const call of this.calls) {
      if (call.outcomes.length > 1 || (call.outcomes.length === 0 && !call.callerRestarted))
        this.violations.push(`call ${call.id} ended ${call.outcomes.length} times: ${call.outcomes.join(', ')}`);
      for (const outcome of call.outcomes) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    }
    return { violations: this.violations, events: this.time.events, outcomes };
  }
}

/** Whether `a` identifies a later connection from the same address than `b`. */
function isLater(a: PeerIdentity | undefined, b: PeerIdentity | undefined): boolean {
  if (!a || !b || a.address !== b.address) return false;
  if (a.instance === b.instance) return a.connection > b.connection;
  return Number(a.instance.split('-')[1]) > Number(b.instance.split('-')[1]);
}

/**
 * Runs the simulation with one seed.
 * @example
 * (await simulateCalls(7)).violations; // []
 */
export function simulateCalls(seed: number, plan: CallsPlan = CALLS_PLAN): Promise<CallsResult> {
  return new CallsModel(seed, plan).run();
}
