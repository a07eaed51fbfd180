/** Calls between nodes: sends requests to peers, and answers theirs by the handlers that the services register. */
import { ClockOffsets } from './clock-offsets.js';
import { MEMBERSHIP, REGISTER, REQUEST } from './constants.js';
import { HarecrossError, toErrorDetails, type ErrorDetails } from './fault.js';
import { sleep, withTimeout } from './concurrency.js';
import { jitteredRetryMs, type Host } from './host.js';
import { PEER_RPCS, type PeerRpc } from './peer-rpcs.js';
import { SerializedBody, decodeAnswer, decodeRequest, encodeAnswer, encodeRequest } from './rpc-envelope.js';

/** What a handler learns of the sender. */
export interface RequestContext {
  peer: string;
  /** Id of the sender's process. */
  instanceId: string;
  /** When it sent the request, by our clock: also one that was held up on its way. */
  sentAt: number;
  /** Turns a time of the sender's clock into ours. */
  toLocal: (time: number) => number;
}

/** Answers a request of one method. Each method's handler names the body that its callers send. */
export type Handler<Body = unknown> = (body: Body, sender: RequestContext) => unknown;

/** What the endpoint needs of its node. */
export interface RpcNode {
  readonly host: Host;
  readonly self: string;
  readonly instanceId: string;
  readonly rev: number;
  readonly isStopped: boolean;
  incrementCounter(name: string): void;
  onNewerRevision(revision: number, peer: string): Promise<void>;
  onPeerActivity(peer: string, instanceId?: string): void;
  onUnreachable(peer: string): void;
}

interface RegisteredHandler {
  handle: Handler;
  /** Whether a request from a peer that knows a newer value waits until we have it too. */
  needsCurrentValue: boolean;
}

type Outcome = { ok: unknown } | { error: ErrorDetails };

/** One node's end of the calls between nodes. */
export class RpcEndpoint {
  private readonly handlers = new Map<string, RegisteredHandler>();
  private readonly offsets = new ClockOffsets();

  constructor(private readonly node: RpcNode) {}

  /** See `Kernel.on`. */
  register(method: PeerRpc, handle: Handler, needsCurrentValue: boolean): void {
    if (!Object.hasOwn(PEER_RPCS, method))
      throw new Error(`${String(method)} is not in the table of RPCs between nodes`);
    if (this.handlers.has(method)) throw new Error(`${method} is served already`);
    this.handlers.set(method, { handle, needsCurrentValue });
  }

  methods(): string[] {
    return [...this.handlers.keys()];
  }

  /** See `Kernel.call`. */
  async call<T>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    if (peer === this.node.self) return this.callSelf<T>(method, body, timeoutMs);
    return this.send<T>(peer, method, body, (frame) => this.node.host.net.call(peer, frame, timeoutMs));
  }

  /** See `Kernel.callEach`. */
  callEach<T>(peers: string[], method: PeerRpc, body: unknown, timeoutMs: number): Promise<T>[] {
    const serialized = new SerializedBody(body);
    return peers.map((peer) =>
      this.send<T>(peer, method, serialized, (frame) => this.node.host.net.call(peer, frame, timeoutMs)),
    );
  }

  /** A call to ourselves takes the same way without the net, and has the same time limit: what waits here may wait for others. */
  private async callSelf<T>(method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    const { self: peer, instanceId, host } = this.node;
    const handler = this.handlers.get(method);
    if (!handler) throw new HarecrossError({ tag: 'unknown_method', step: method, peer, method });
    const sender: RequestContext = { peer, instanceId: instanceId, sentAt: host.clock.now(), toLocal: (time) => time };
    const answer = (async (): Promise<{ ok: unknown }> => ({ ok: await handler.handle(body, sender) }))();
    const got = await withTimeout(host.clock, timeoutMs, answer);
    if (!got) throw new HarecrossError({ tag: 'timeout', step: method, peer });
    return got.ok as T;
  }

  /** Sends a request to a peer, by a way of its own. */
  async send<T>(
    peer: string,
    method: PeerRpc,
    body: unknown,
    transmit: (frame: string) => Promise<string>,
  ): Promise<T> {
    const { node } = this;
    const sentAt = node.host.clock.now();
    node.incrementCounter('peer.out');
    const { self: sender, instanceId, rev: revision } = node;
    const frame = await this.transmit(peer, method, () =>
      transmit(encodeRequest({ method, sender, instanceId, revision, sentAt, body })),
    );
    const answer = decodeAnswer(frame);
    if (!answer) throw new HarecrossError({ tag: 'cut', step: method, peer, detail: 'not an answer' });
    node.onPeerActivity(peer);
    if (answer.revision > node.rev) void node.onNewerRevision(answer.revision, peer);
    if ('error' in answer) throw new HarecrossError(answer.error);
    return answer.ok as T;
  }

  private async transmit(peer: string, method: PeerRpc, send: () => Promise<string>): Promise<string> {
    try {
      return await send();
    } catch (error) {
      const details = toErrorDetails(error, method, peer);
      this.node.incrementCounter(`peer.fail.${details.tag}`);
      // On an indirect path it may be the intermediary that was not there.
      if (details.tag === 'unreachable' && details.peer === peer) this.node.onUnreachable(peer);
      throw new HarecrossError({ ...details, step: method });
    }
  }

  /** Answers a peer's frame. Rejects when the frame is no request. */
  async handleFrame(frame: string): Promise<string> {
    const { node } = this;
    const now = node.host.clock.now();
    node.incrementCounter('peer.in');
    const request = decodeRequest(frame);
    const offset = this.offsets.learn(`${request.sender} ${request.instanceId}`, now - request.sentAt, now);
    node.onPeerActivity(request.sender, request.instanceId);
    const sender: RequestContext = {
      peer: request.sender,
      instanceId: request.instanceId,
      sentAt: request.sentAt + offset,
      toLocal: (time) => time + offset,
    };
    const outcome = await this.handle(request.method, request.revision, request.body, sender);
    return encodeAnswer({ revision: node.rev, sentAt: node.host.clock.now(), ...outcome });
  }

  private async handle(method: string, revision: number, body: unknown, sender: RequestContext): Promise<Outcome> {
    const { node } = this;
    const handler = this.handlers.get(method);
    if (revision > node.rev) {
      if (!handler?.needsCurrentValue) void node.onNewerRevision(revision, sender.peer);
      else if (!(await this.awaitRevision(revision, sender.peer))) {
        // Who asks knows more than we do: an answer by what we have could take back what its callers were told already.
        node.incrementCounter('peer.behind');
        return { error: this.notReady(method) };
      }
    }
    if (!handler) return { error: { tag: 'unknown_method', step: method, peer: node.self, method } };
    if (node.isStopped) return { error: this.notReady(method) };
    try {
      return { ok: await handler.handle(body, sender) };
    } catch (error) {
      return { error: this.errorOf(method, error) };
    }
  }

  private notReady(step: string): ErrorDetails {
    const retryAfterMs = jitteredRetryMs(this.node.host.random, REQUEST.retryMs);
    return { tag: 'not_ready', step, peer: this.node.self, retryAfterMs };
  }

  private errorOf(method: string, error: unknown): ErrorDetails {
    const details = toErrorDetails(error, method, this.node.self);
    if (details.tag === 'internal') {
      this.node.incrementCounter('internal');
      const stack = error instanceof Error ? error.stack : undefined;
      this.node.host.log.warn('handler failed', { fault: details, stack });
    }
    return details;
  }

  /** Waits, for half of a call, until we have what a peer has; says whether we do. */
  private async awaitRevision(revision: number, peer: string): Promise<boolean> {
    const { clock } = this.node.host;
    const until = clock.now() + MEMBERSHIP.callTimeoutMs / 2;
    for (;;) {
      await withTimeout(clock, until - clock.now(), this.node.onNewerRevision(revision, peer));
      if (this.node.rev >= revision) return true;
      if (clock.now() + REGISTER.laggingRetryMs >= until) return false;
      // The fetch failed, or one that was started earlier brought less.
      await sleep(clock, REGISTER.laggingRetryMs);
    }
  }
}
