/** The kernel of a node: its services, its phase, its counters, and the calls between nodes. One loop, one thread. */
import { Subject, type Subscription } from 'rxjs';
import { MEMBERSHIP } from './constants.js';
import { toErrorDetails } from './fault.js';
import { periodicTicks } from './concurrency.js';
import type { Host } from './host.js';
import { IndirectCalls } from './indirect-calls.js';
import type { PeerRpc } from './peer-rpcs.js';
import { pluginNamed, type ServiceRegistry } from './plugins.js';
import { RpcEndpoint, type Handler } from './rpc-endpoint.js';

/** What a process does: it starts, serves, drains after a stop signal, and has stopped. */
export type Phase = 'starting' | 'running' | 'draining' | 'stopped';

/** Digits of an instance id's time: ids compare as strings. */
const INSTANCE_DIGITS = 15;
/** The random part of an instance id is a number below this. */
const INSTANCE_RANDOM_RANGE = 1e9;
const INSTANCE_RANDOM_RADIX = 36;

/**
 * The kernel of a node.
 * @example
 * const kernel = new Kernel(host);
 * await kernel.boot(['membership', 'register']);
 * kernel.use('membership').liveMembers();
 */
export class Kernel {
  readonly counters = new Map<string, number>();
  readonly phase$ = new Subject<Phase>();
  /** Fires when our own loop stood still for long, with how long (ms): ownership is in doubt until confirmed. */
  readonly loopResumed$ = new Subject<number>();
  /** Highest revision of the agreed value that we have in force; goes with every frame. */
  rev = 0;
  /** Called with every revision seen on a peer's frame that is above ours. */
  onNewerRevision: (revision: number, peer: string) => Promise<void> = async () => {};
  /** Called with every frame of a peer; its instance is known only on its own requests. */
  onPeerActivity: (peer: string, instanceId?: string) => void = () => {};
  /** Called when a peer surely did not get a request; speeds up suspicion. */
  onUnreachable: (peer: string) => void = () => {};
  /** Called when a whole connection to a peer broke; its process may have ended. */
  onConnectionLost: (peer: string) => void = () => {};
  /** Live members that may carry a call to a peer in our place. */
  intermediariesTo: (peer: string) => string[] = () => [];
  phase: Phase = 'starting';
  /** Our address for calls between nodes. */
  readonly self: string;
  /** Id of this process; later processes at the same address have higher ones. */
  instanceId: string;
  /** When this process began, by our clock. */
  readonly startedAt: number;
  private readonly services = new Map<string, unknown>();
  private readonly subscriptions: Subscription[] = [];
  private readonly stopHooks: (() => void | Promise<void>)[] = [];
  private readonly rpc: RpcEndpoint;
  private readonly indirectCalls: IndirectCalls;
  /** When our loop last came round, and when it last came round after it had stood still. */
  private loopTickedAt = -Infinity;
  private loopResumedAt = -Infinity;

  constructor(readonly host: Host) {
    this.self = host.config.peer;
    this.startedAt = host.clock.now();
    this.instanceId = this.newInstanceId(this.startedAt);
    this.rpc = new RpcEndpoint(this);
    this.indirectCalls = new IndirectCalls(this, this.rpc);
    this.indirectCalls.serve();
  }

  get isRunning(): boolean {
    return this.phase === 'running';
  }

  get isStopped(): boolean {
    return this.phase === 'stopped';
  }

  private newInstanceId(at: number): string {
    const time = String(Math.floor(at)).padStart(INSTANCE_DIGITS, '0');
    const random = Math.floor(this.host.random.next() * INSTANCE_RANDOM_RANGE).toString(INSTANCE_RANDOM_RADIX);
    return `${time}-${random}`;
  }

  /**
   * Others know an earlier process at our address under a later instance id: our machine's clock went back. We take
   * an id above it, or they would go on believing the dead one.
   */
  supersedeInstance(instanceId: string): void {
    if (instanceId < this.instanceId) return;
    this.instanceId = this.newInstanceId(Number(instanceId.split('-')[0]) + 1);
    this.incrementCounter('instance.outlived');
  }

  /** Sets up the services, serves the calls of other nodes, and runs. */
  async boot(names: (keyof ServiceRegistry)[]): Promise<void> {
    for (const name of names) await this.load(name);
    await this.host.net.serve((frame) => this.rpc.handleFrame(frame), {
      connectionLost: (peer) => this.onConnectionLost(peer),
      count: (name) => this.incrementCounter(name),
    });
    this.loopTickedAt = this.host.clock.now();
    this.addSubscription(periodicTicks(this.host.clock, MEMBERSHIP.loopTickMs).subscribe(() => this.loopTicked()));
    this.setPhase('running');
  }

  private loopTicked(): void {
    const now = this.host.clock.now();
    const gapMs = now - this.loopTickedAt;
    this.loopTickedAt = now;
    if (gapMs <= MEMBERSHIP.loopFrozenMs) return;
    this.loopResumedAt = now;
    this.incrementCounter('loop.frozen');
    this.loopResumed$.next(gapMs);
  }

  /**
   * Whether this process stands still no more only since a moment ago: what it reads now may have waited in a buffer for as long as
   * that took, and who sent it may have gone elsewhere. Asks the steady clock, as the loop itself may not have come round yet.
   */
  resumedRecently(): boolean {
    const now = this.host.clock.now();
    return now - this.loopTickedAt > MEMBERSHIP.loopFrozenMs || now - this.loopResumedAt <= MEMBERSHIP.loopResumedMs;
  }

  private async load(name: string): Promise<void> {
    if (this.services.has(name)) return;
    const plugin = pluginNamed(name);
    for (const needed of plugin.needs) await this.load(needed);
    this.services.set(name, await plugin.setup(this));
  }

  /** A service of this node. Throws where it was not set up. */
  use<K extends keyof ServiceRegistry>(name: K): ServiceRegistry[K] {
    const service = this.services.get(name);
    if (service === undefined) throw new Error(`plug-in ${String(name)} is not loaded`);
    return service as ServiceRegistry[K];
  }

  has(name: keyof ServiceRegistry): boolean {
    return this.services.has(name);
  }

  /** The one function that changes the phase. */
  setPhase(phase: Phase): void {
    if (this.phase === phase || this.phase === 'stopped') return;
    this.host.log.info(`phase ${this.phase} -> ${phase}`);
    this.phase = phase;
    this.phase$.next(phase);
  }

  /** Has a subscription ended at the stop. */
  addSubscription(subscription: Subscription): void {
    this.subscriptions.push(subscription);
  }

  /** Run at stop, last added first. */
  onStop(hook: () => void | Promise<void>): void {
    this.stopHooks.push(hook);
  }

  /** Runs the stop hooks, and lets go of the net and the disk. */
  async stop(): Promise<void> {
    this.setPhase('draining');
    for (const hook of [...this.stopHooks].reverse()) {
      try {
        await hook();
      } catch (error) {
        this.host.log.warn('stop step failed', { fault: toErrorDetails(error, 'stop', this.self) });
      }
    }
    this.stopLoops();
    await this.host.net.close();
    this.host.db?.close();
  }

  /** Ends all loops at once, without goodbye. */
  stopLoops(): void {
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    this.setPhase('stopped');
  }

  incrementCounter(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /**
   * Serves an RPC between nodes. With `needsCurrentValue`, a request from a peer that knows a newer value waits until we have it too.
   * Throws for one that the table of RPCs does not have, or that is served already.
   */
  on<Body>(method: PeerRpc, handler: Handler<Body>, needsCurrentValue = false): void {
    this.rpc.register(method, handler as Handler, needsCurrentValue);
  }

  /** The RPCs between nodes that this node serves. */
  servedMethods(): string[] {
    return this.rpc.methods();
  }

  /** Calls a peer. A call to ourselves takes the same way without the net. */
  call<T = unknown>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number = MEMBERSHIP.callTimeoutMs): Promise<T> {
    return this.rpc.call<T>(peer, method, body, timeoutMs);
  }

  /**
   * The same request to several other peers, made into text once.
   * @example
   * await Promise.allSettled(kernel.callEach(peers, 'News', { items }));
   */
  callEach<T>(peers: string[], method: PeerRpc, body: unknown, timeoutMs: number = MEMBERSHIP.callTimeoutMs): Promise<T>[] {
    return this.rpc.callEach<T>(peers, method, body, timeoutMs);
  }

  /** Calls a peer, through another member while our own link to it is broken. */
  callAnyPath<T = unknown>(
    peer: string,
    method: PeerRpc,
    body: unknown,
    timeoutMs: number = MEMBERSHIP.callTimeoutMs,
  ): Promise<T> {
    return this.indirectCalls.call<T>(peer, method, body, timeoutMs);
  }

  /** A peer to which our own link was just found broken: calls under way there get no answer. */
  get linkBroken$(): Subject<string> {
    return this.indirectCalls.linkBroken$;
  }

  /** Whether our own link to a peer is not known to be broken. */
  isLinkHealthy(peer: string): boolean {
    return this.indirectCalls.isLinkHealthy(peer);
  }

  /** Calls our own link to a peer broken, until a direct ping is answered or the peer is no longer there. */
  markLinkBroken(peer: string): void {
    this.indirectCalls.markLinkBroken(peer);
  }
}
