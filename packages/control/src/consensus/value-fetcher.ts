/** Fetches the agreed value from peers: once where several tell of it, and a bounded number of times at once. */
import { MEMBERSHIP, REGISTER, withTimeout, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import type { FleetValue } from '../value/fleet-value.js';
import { valueFromAnswer, valueRequest, type ValueAnswer } from './value-transfer.js';

/** What the fetcher needs of the register. */
export interface ValueFetcherContext {
  value(): FleetValue | undefined;
  /** The value in a text. */
  readText(text: string): FleetValue;
  /** Called with a newer value, which a peer knows to be chosen. */
  learn(value: FleetValue): void;
}

/** The fetches of one node. */
export class ValueFetcher {
  private readonly inFlight = new Map<string, Promise<void>>();

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly context: ValueFetcherContext,
  ) {}

  /** Takes a newer value that a peer has. Who hears of it from several fetches it once, and from the others only if that takes long. */
  async fetchNewer(revision: number, peer: string): Promise<void> {
    if (this.inFlight.size) {
      const exclusiveMs = this.membership.scaledPeriodMs(
        REGISTER.valueFetchExclusiveMs,
        REGISTER.valueFetchExclusivePerMemberMs,
      );
      await withTimeout(this.kernel.host.clock, exclusiveMs, Promise.race(this.inFlight.values()));
      if (this.kernel.rev >= revision) return;
    }
    // Each may bring the whole value, and our link is shared by them: more at once would make all of them late.
    if (this.inFlight.size >= REGISTER.valueFetchConcurrency) await Promise.race(this.inFlight.values());
    else await this.fetchFrom(this.membership.preferPeerWithDisk(peer), revision, peer);
  }

  /** Takes the value from one peer, and from the one that told us of it where that has not got it yet. */
  private async fetchFrom(source: string, revision: number, teller: string): Promise<void> {
    await this.fetch(source);
    if (this.kernel.rev < revision && source !== teller) await this.fetch(teller);
  }

  /** Fetches a peer's value, if it has one; never fails: the next frame tells us again. */
  fetch(peer: string): Promise<void> {
    const underWay = this.inFlight.get(peer);
    if (underWay) return underWay;
    const timeoutMs = this.membership.scaledPeriodMs(MEMBERSHIP.callTimeoutMs, REGISTER.fetchPerMemberMs);
    const fetched = this.kernel
      .call<ValueAnswer>(peer, 'RegGet', valueRequest(this.context.value()), timeoutMs)
      .then(
        (answer) => this.take(answer),
        () => undefined,
      )
      .finally(() => this.inFlight.delete(peer));
    this.inFlight.set(peer, fetched);
    return fetched;
  }

  private take(answer: ValueAnswer): void {
    const newer = valueFromAnswer(answer, this.context.value(), (text) => this.context.readText(text));
    if (newer) this.context.learn(newer);
  }
}
