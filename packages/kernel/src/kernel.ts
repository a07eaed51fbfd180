/** The kernel of a node: its services, lifecycle phase, counters, and RPCs between nodes. One event loop, one thread. */
import { Subject, type Subscription } from 'rxjs';
import { MEMBERSHIP } from './constants.js';
import { toErrorDetails } from './fault.js';
import { periodicTicks } from './concurrency.js';
import type { Host } from './host.js';
import { IndirectCalls } from './indirect-calls.js';
import type { PeerRpc } from './peer-rpcs.js';
import { getPlugin, type ServiceRegistry } from './plugins.js';
import { RpcEndpoint, type Handler } from './rpc-endpoint.js';

/** Lifecycle of a process: it starts, serves, drains after a stop signal, and has stopped. */
export type Phase = 'starting' | 'running' | 'draining' | 'stopped';

/** Digits of the time in an instance id, zero-padded because ids are compared as strings. */
const INSTANCE_DIGITS = 15;
/** Upper bound (exclusive) of the random part of an instance id. */
const INSTANCE_RANDOM_RANGE = 1e9;
const INSTANCE_RANDOM_RADIX = 36;

/**
 * The kernel of a node: loads its plug-ins and connects their services with the network, the disk and the clock of the host.
 * @example
 * const kernel = new Kernel(host);
 * await kernel.boot(['membership', 'register']);
 * kernel.use('membership').liveMembers();
 */
export class Kernel {
  readonly counters = new Map<string, number>();
  readonly phase$ = new Subject<Phase>();
  /** Emits the length (ms) of a stall of the local event loop once it is over: ownership is in doubt until confirmed. */
  readonly loopResumed$ = new Subject<number>();
  /** Highest revision of the register's value in force at this node; sent with every frame. */
  rev = 0;
  /** Called when a peer's frame carries a newer revision than this node has. */
  onNewerRevision: (revision: number, peer: string) => Promise<void> = async () => {};
  /** Called for every frame of a peer. The instance id is known only for the peer's own requests. */
  onPeerActivity: (peer: string, instanceId?: string) => void = () => {};
  /** Called when a request certainly did not reach a peer, so that the peer is suspected sooner. */
  onUnreachable: (peer: string) => void = () => {};
  /** Called when an established connection to a peer broke; the peer's process may have ended. */
  onConnectionLost: (peer: string) => void = () => {};
  /** Live members that may relay a call to a peer on behalf of this node. */
  intermediariesTo: (peer: string) => string[] = () => [];
  phase: Phase = 'starting';
  /** Address of this node for RPCs between nodes. */
  readonly self: string;
  /** Id of this process. Later processes at the same address have greater ids. */
  instanceId: string;
  /** When this process started, by its own clock. */
  readonly startedAt: number;
  private readonly services = new Map<string, unknown>();
  private readonly subscriptions: Subscription[] = [];
  private readonly stopHooks: (() => void | Promise<void>)[] = [];
  private readonly rpc: RpcEndpoint;
  private readonly indirectCalls: IndirectCalls;
  /** When the event loop last ran the watchdog, and when it last did so after a stall. */
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
   * Takes an instance id above the given one of an earlier process at the same address. The earlier id is greater when the machine's
   * clock was set back, and without a new id the other nodes would continue to trust the dead process.
   */
  supersedeInstance(instanceId: string): void {
    if (instanceId < this.instanceId) return;
    this.instanceId = this.newInstanceId(Number(instanceId.split('-')[0]) + 1);
    this.incrementCounter('instance.outlived');
  }

  /** Sets up the services, starts to serve the RPCs of other nodes, and enters the phase `running`. */
  async boot(names: (keyof ServiceRegistry)[]): Promise<void> {
    for (const name of names) await this.load(name);
    await this.host.net.serve((frame) => this.rpc.handleFrame(frame), {
      connectionLost: (peer) => this.onConnectionLost(peer),
      count: (name) => this.incrementCounter(name),
    });
    this.loopTickedAt = this.host.clock.now();
    this.addSubscription(periodicTicks(this.host.clock, MEMBERSHIP.loopTickMs).subscribe(() => this.checkLoopStall()));
    this.setPhase('running');
  }

  private checkLoopStall(): void {
    const now = this.host.clock.now();
    const gapMs = now - this.loopTickedAt;
    this.loopTickedAt = now;
    if (gapMs <= MEMBERSHIP.loopFrozenMs) return;
    this.loopResumedAt = now;
    this.incrementCounter('loop.frozen');
    this.loopResumed$.next(gapMs);
  }

  /**
   * Whether this process has just resumed after a stall. Whatever it reads now may have been buffered for the length of the stall, and
   * its sender may have turned to another node. Compares with the clock, because the watchdog may not have run since the stall.
   */
  resumedRecently(): boolean {
    const now = this.host.clock.now();
    return now - this.loopTickedAt > MEMBERSHIP.loopFrozenMs || now - this.loopResumedAt <= MEMBERSHIP.loopResumedMs;
  }

  private async load(name: string): Promise<void> {
    if (this.services.has(name)) return;
    const plugin = getPlugin(name);
    for (const dependency of plugin.needs) await this.load(dependency);
    this.services.set(name, await plugin.setup(this));
  }

  /** Returns a service of this node. Throws if its plug-in is not loaded. */
  use<K extends keyof ServiceRegistry>(name: K): ServiceRegistry[K] {
    const service = this.services.get(name);
    if (service === undefined) throw new Error(`plug-in ${String(name)} is not loaded`);
    return service as ServiceRegistry[K];
  }

  has(name: keyof ServiceRegistry): boolean {
    return this.services.has(name);
  }

  /** The only function that changes the phase. Has no effect once the phase is `stopped`. */
  setPhase(phase: Phase): void {
    if (this.phase === phase || this.phase === 'stopped') return;
    this.host.log.info(`phase ${this.phase} -> ${phase}`);
    this.phase = phase;
    this.phase$.next(phase);
  }

  /** Registers a subscription that ends when the kernel stops. */
  addSubscription(subscription: Subscription): void {
    this.subscriptions.push(subscription);
  }

  /** Registers a hook to run at the stop, in reverse order of registration. */
  onStop(hook: () => void | Promise<void>): void {
    this.stopHooks.push(hook);
  }

  /** Runs the stop hooks, then closes the network and the database. A hook that fails is logged and does not stop the others. */
  async stop(): Promise<void> {
    this.setPhase('draining');
    for (const hook of [...this.stopHooks].reverse()) {
      try {
        await hook();
      } catch (error) {
        this.host.log.warn('stop hook failed', { fault: toErrorDetails(error, 'stop', this.self) });
      }
    }
    this.stopLoops();
    await this.host.net.close();
    this.host.db?.close();
  }

  /** Ends all periodic work at once, without running the stop hooks or telling other nodes. */
  stopLoops(): void {
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    this.setPhase('stopped');
  }

  incrementCounter(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /**
   * Registers the handler of an RPC between nodes. With `needsCurrentValue`, a request from a peer that knows a newer value of the
   * register waits until this node has it too. Throws for an RPC that is not in the table of RPCs or that already has a handler.
   */
  on<Body>(method: PeerRpc, handler: Handler<Body>, needsCurrentValue = false): void {
    this.rpc.register(method, handler as Handler, needsCurrentValue);
  }

  /** The RPCs between nodes that this node serves. */
  servedMethods(): string[] {
    return this.rpc.methods();
  }

  /** Calls a peer. A call to this node itself takes the same path without the network. */
  call<T = unknown>(
    peer: string,
    method: PeerRpc,
    body: unknown,
    timeoutMs: number = MEMBERSHIP.callTimeoutMs,
  ): Promise<T> {
    return this.rpc.call<T>(peer, method, body, timeoutMs);
  }

  /**
   * Sends the same request to several other peers and serializes it only once.
   * @example
   * await Promise.allSettled(kernel.callEach(peers, 'News', { items }));
   */
  callEach<T>(
    peers: string[],
    method: PeerRpc,
    body: unknown,
    timeoutMs: number = MEMBERSHIP.callTimeoutMs,
  ): Promise<T>[] {
    return this.rpc.callEach<T>(peers, method, body, timeoutMs);
  }

  /** Calls a peer, through another member while the direct link to it is broken. */
  callAnyPath<T = unknown>(
    peer: string,
    method: PeerRpc,
    body: unknown,
    timeoutMs: number = MEMBERSHIP.callTimeoutMs,
  ): Promise<T> {
    return this.indirectCalls.call<T>(peer, method, body, timeoutMs);
  }

  /** Emits a peer when the direct link to it is found broken: calls in progress there will get no answer. */
  get linkBroken$(): Subject<string> {
    return this.indirectCalls.linkBroken$;
  }

  /** Whether the direct link to a peer is not known to be broken. */
  isLinkHealthy(peer: string): boolean {
    return this.indirectCalls.isLinkHealthy(peer);
  }

  /** Marks the direct link to a peer as broken until a direct ping is answered or the peer is gone. */
  markLinkBroken(peer: string): void {
    this.indirectCalls.markLinkBroken(peer);
  }
}
