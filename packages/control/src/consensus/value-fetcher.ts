/** Fetches the agreed value from peers: once if several peers announce it, and with bounded concurrency. */
import { MEMBERSHIP, REGISTER, withTimeout, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import type { FleetValue } from '../value/fleet-value.js';
import { valueFromAnswer, valueRequest, type ValueAnswer } from './value-transfer.js';

/** The functions of the register that the fetcher uses. */
export interface ValueFetcherContext {
  value(): FleetValue | undefined;
  /** Parses a serialized value. */
  readText(text: string): FleetValue;
  /** Called with a newer value that a peer knows to be chosen. */
  learn(value: FleetValue): void;
}

/** The value fetches of one node. */
export class ValueFetcher {
  /** Running fetches by peer. */
  private readonly inFlight = new Map<string, Promise<void>>();

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly context: ValueFetcherContext,
  ) {}

  /** Fetches the newer value that a peer announced. While another fetch runs, first waits a bounded time for its result. */
  async fetchNewer(revision: number, peer: string): Promise<void> {
    if (this.inFlight.size) {
      const exclusiveMs = this.membership.scaledPeriodMs(
        REGISTER.valueFetchExclusiveMs,
        REGISTER.valueFetchExclusivePerMemberMs,
      );
      await withTimeout(this.kernel.host.clock, exclusiveMs, Promise.race(this.inFlight.values()));
      if (this.kernel.rev >= revision) return;
    }
    // Each fetch may transfer the whole value over this node's shared link; more at once would delay all of them.
    if (this.inFlight.size >= REGISTER.valueFetchConcurrency) await Promise.race(this.inFlight.values());
    else await this.fetchFrom(this.membership.preferPeerWithDisk(peer), revision, peer);
  }

  /** Fetches from `source`, and from the peer that announced the revision if `source` doesn't have it yet. */
  private async fetchFrom(source: string, revision: number, announcer: string): Promise<void> {
    await this.fetch(source);
    if (this.kernel.rev < revision && source !== announcer) await this.fetch(announcer);
  }

  /** Fetches a peer's value, if it has one. Never fails: every frame carries the sender's revision, so the next one triggers a retry. */
  fetch(peer: string): Promise<void> {
    const running = this.inFlight.get(peer);
    if (running) return running;
    const timeoutMs = this.membership.scaledPeriodMs(MEMBERSHIP.callTimeoutMs, REGISTER.fetchPerMemberMs);
    const fetching = this.kernel
      .call<ValueAnswer>(peer, 'RegGet', valueRequest(this.context.value()), timeoutMs)
      .then(
        (answer) => this.learnFrom(answer),
        () => undefined,
      )
      .finally(() => this.inFlight.delete(peer));
    this.inFlight.set(peer, fetching);
    return fetching;
  }

  private learnFrom(answer: ValueAnswer): void {
    const newer = valueFromAnswer(answer, this.context.value(), (text) => this.context.readText(text));
    if (newer) this.context.learn(newer);
  }
}
