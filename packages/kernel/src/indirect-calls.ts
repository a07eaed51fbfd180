/**
 * Calls round broken links. A link counts as broken after a call that got no answer; calls to that peer then go through another member,
 * until a direct ping is answered.
 */
import { Subject } from 'rxjs';
import { MEMBERSHIP, REQUEST } from './constants.js';
import { toErrorDetails } from './fault.js';
import { sleep } from './concurrency.js';
import { randomInt, type Host } from './host.js';
import type { PeerRpc } from './peer-rpcs.js';
import type { RpcEndpoint } from './rpc-endpoint.js';

/** A frame that a member carries to a peer for another node. Wire format. */
interface CarryRequest {
  to: string;
  frame: string;
  timeoutMs: number;
}

/** What indirect calls need of their node. */
export interface IndirectCallsNode {
  readonly host: Host;
  readonly self: string;
  readonly isRunning: boolean;
  incrementCounter(name: string): void;
  /** Live members that may carry a call to a peer in our place. */
  intermediariesTo(peer: string): string[];
}

/** Knows to which peers our own link is broken, and finds another way. */
export class IndirectCalls {
  /** A peer to which our own link was just found broken: calls under way there get no answer. */
  readonly linkBroken$ = new Subject<string>();
  /** Peers to which our own link is broken, and who carried the last call there; undefined until somebody did. */
  private readonly carriers = new Map<string, string | undefined>();

  constructor(
    private readonly node: IndirectCallsNode,
    private readonly rpc: RpcEndpoint,
  ) {}

  /** Serves the calls that others have us carry. */
  serve(): void {
    const carry = (request: CarryRequest): Promise<string> => {
      this.node.incrementCounter('detour.carried');
      return this.node.host.net.call(request.to, request.frame, request.timeoutMs);
    };
    this.rpc.register('Carry', (body) => carry(body as CarryRequest), false);
  }

  /** See `Kernel.callAnyPath`. */
  async call<T>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    if (!this.carriers.has(peer)) return this.callDirectly<T>(peer, method, body, timeoutMs);
    const carrier = this.chooseCarrier(peer);
    if (carrier === undefined) return this.rpc.call<T>(peer, method, body, timeoutMs);
    this.node.incrementCounter('detour.sent');
    try {
      const answer = await this.rpc.send<T>(peer, method, body, (frame) => {
        const request: CarryRequest = { to: peer, frame, timeoutMs };
        return this.rpc.call<string>(carrier, 'Carry', request, timeoutMs);
      });
      this.setCarrier(peer, carrier);
      return answer;
    } catch (error) {
      const { tag } = toErrorDetails(error, method, peer);
      if (tag === 'timeout' || tag === 'unreachable' || tag === 'cut') this.setCarrier(peer, undefined);
      throw error;
    }
  }

  /** Whether our own link to a peer is not known to be broken. */
  isLinkHealthy(peer: string): boolean {
    return !this.carriers.has(peer);
  }

  /** The one function that calls a link broken; it is tried directly until it is whole or the peer no longer there. */
  markLinkBroken(peer: string): void {
    if (this.carriers.has(peer)) return;
    this.carriers.set(peer, undefined);
    this.node.incrementCounter('detour.links');
    this.linkBroken$.next(peer);
    void this.awaitRepair(peer);
  }

  private async callDirectly<T>(peer: string, method: PeerRpc, body: unknown, timeoutMs: number): Promise<T> {
    try {
      return await this.rpc.call<T>(peer, method, body, timeoutMs);
    } catch (error) {
      const { tag, peer: failed } = toErrorDetails(error, method, peer);
      const gotNoAnswer = tag === 'timeout' || tag === 'unreachable';
      if (peer !== this.node.self && failed === peer && gotNoAnswer) this.markLinkBroken(peer);
      throw error;
    }
  }

  /** The member that carried the last call, while it may; else one at random. */
  private chooseCarrier(peer: string): string | undefined {
    const candidates = this.node.intermediariesTo(peer);
    const last = this.carriers.get(peer);
    if (last !== undefined && candidates.includes(last)) return last;
    return candidates[randomInt(this.node.host.random, Math.max(1, candidates.length))];
  }

  /** Remembers who carries calls to a peer, unless the link is whole by now. */
  private setCarrier(peer: string, carrier: string | undefined): void {
    if (this.carriers.has(peer)) this.carriers.set(peer, carrier);
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
    this.carriers.delete(peer);
  }
}
