/**
 * Calls that bypass broken links. A link is considered broken after a call that timed out or could not reach the peer. Further calls to
 * that peer go through another member as an intermediary until the peer answers a direct ping.
 */
import { Subject } from 'rxjs';
import { MEMBERSHIP, REQUEST } from './constants.js';
import { toErrorDetails } from './fault.js';
import { sleep } from './concurrency.js';
import { randomInt, type Host } from './host.js';
import type { PeerRpc } from './peer-rpcs.js';
import type { RpcEndpoint } from './rpc-endpoint.js';

/** A frame that an intermediary forwards to a peer for another node. Wire format. */
interface CarryRequest {
  to: string;
  frame: string;
  timeoutMs: number;
}

/** The parts of a node that indirect calls depend on. */
export interface IndirectCallsNode {
  readonly host: Host;
  readonly self: string;
  readonly isRunning: boolean;
  incrementCounter(name: string): void;
  /** Live members that may forward a call to a peer for us. */
  intermediariesTo(peer: string): string[];
}

/** Tracks the peers to which our direct link is broken and routes calls to them through intermediaries. */
export class IndirectCalls {
  /** Emits a peer when our direct link to it is found broken: calls in flight to it will not be answered. */
  readonly linkBroken$ = new Subject<string>();
  /** Peers to which our direct link is broken, each with the intermediary of the last answered call; undefined if there is none. */
  private readonly intermediaries = new Map<string, string | undefined>();

  constructor(
    private readonly node: IndirectCallsNode,
    private readonly rpc: RpcEndpoint,
  ) {}

  /** Registers the handler that forwards calls for other nodes. */
  serve(): void {
    const forward = (request: CarryRequest): Promise<string> => {
      this.node.incrementCounter('detour.carried');
      return this.node.host.net.call(request.to, request.frame, request.timeoutMs);
    };
    this.rpc.register('Carry', (body) => forward(body as CarryRequest), false);
  }

  /** See `Kernel.callAnyPath`. */
  async call<T>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    if (!this.intermediaries.has(peer)) return this.callDirectly<T>(peer, method, body, timeoutMs);
    const intermediary = this.chooseIntermediary(peer);
    if (intermediary === undefined) return this.rpc.call<T>(peer, method, body, timeoutMs);
    this.node.incrementCounter('detour.sent');
    try {
      const answer = await this.rpc.send<T>(peer, method, body, (frame) => {
        const request: CarryRequest = { to: peer, frame, timeoutMs };
        return this.rpc.call<string>(intermediary, 'Carry', request, timeoutMs);
      });
      this.setIntermediary(peer, intermediary);
      return answer;
    } catch (error) {
      const { tag } = toErrorDetails(error, method, peer);
      if (tag === 'timeout' || tag === 'unreachable' || tag === 'cut') this.setIntermediary(peer, undefined);
      throw error;
    }
  }

  /** Whether our direct link to a peer is not known to be broken. */
  isLinkHealthy(peer: string): boolean {
    return !this.intermediaries.has(peer);
  }

  /**
   * Marks a link as broken, then pings the peer directly until it answers or no intermediary to it is left. All code that detects a
   * broken link calls this method.
   */
  markLinkBroken(peer: string): void {
    if (this.intermediaries.has(peer)) return;
    this.intermediaries.set(peer, undefined);
    this.node.incrementCounter('detour.links');
    this.linkBroken$.next(peer);
    void this.awaitRepair(peer);
  }

  private async callDirectly<T>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    try {
      return await this.rpc.call<T>(peer, method, body, timeoutMs);
    } catch (error) {
      const { tag, peer: failed } = toErrorDetails(error, method, peer);
      const noAnswer = tag === 'timeout' || tag === 'unreachable';
      if (peer !== this.node.self && failed === peer && noAnswer) this.markLinkBroken(peer);
      throw error;
    }
  }

  /** The intermediary of the last answered call if it is still a candidate, otherwise a random candidate. */
  private chooseIntermediary(peer: string): string | undefined {
    const candidates = this.node.intermediariesTo(peer);
    const last = this.intermediaries.get(peer);
    if (last !== undefined && candidates.includes(last)) return last;
    return candidates[randomInt(this.node.host.random, Math.max(1, candidates.length))];
  }

  /** Records the intermediary for a peer, unless the direct link has been restored meanwhile. */
  private setIntermediary(peer: string, intermediary: string | undefined): void {
    if (this.intermediaries.has(peer)) this.intermediaries.set(peer, intermediary);
  }

  private async awaitRepair(peer: string): Promise<void> {
    while (this.node.isRunning && this.node.intermediariesTo(peer).length) {
      try {
        await this.rpc.call(peer, 'Ping', {}, MEMBERSHIP.probeMs);
        break;
      } catch {
        await sleep(this.node.host.clock, REQUEST.linkProbeMs);
      }
    }
    this.intermediaries.delete(peer);
  }
}
