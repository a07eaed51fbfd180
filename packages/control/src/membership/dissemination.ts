/** Dissemination: each change is forwarded to a few random peers at once, and changes that occur together are batched. */
import { MEMBERSHIP, type Kernel } from '@harecross/kernel';
import { compressList, decompressList, type CompressedList } from './compressed-list.js';
import { Outbox, type Fact } from './outbox.js';

/** Facts that have just changed. Wire format of the `News` call. */
interface NewsRequest {
  items: CompressedList<Fact>;
}

/** The operations of the membership table that dissemination uses. */
export interface DisseminationContext {
  /** Stores the facts that are newer than the known ones, and disseminates those further. */
  receive(facts: Fact[]): void;
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  randomLivePeers(count: number): string[];
  /** Whether a peer can decode compressed lists; nodes of earlier versions cannot. */
  acceptsCompressedLists(peer: string): boolean;
}

/** Forwards facts to a few peers in batches, so that the rate of a node's calls is bounded however many facts change. */
export class Dissemination {
  private readonly outbox: Outbox;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: DisseminationContext,
  ) {
    const gapMs = (): number => context.scaledPeriodMs(0, MEMBERSHIP.disseminationGapPerMemberMs);
    this.outbox = new Outbox(kernel.host.clock, gapMs, (facts) => this.send(facts));
    kernel.on('News', (request: NewsRequest) => {
      context.receive(decompressList(request.items));
      return true;
    });
  }

  /** Queues facts for the next batch. An empty list is sent too, because each call carries this node's revision of the agreed value. */
  add(facts: Fact[]): void {
    this.outbox.add(facts);
  }

  /** Sends the queued facts immediately. */
  flush(): void {
    this.outbox.flush();
  }

  private send(facts: Fact[]): void {
    if (this.kernel.phase === 'stopped') return;
    const peers = this.context.randomLivePeers(MEMBERSHIP.disseminationFanOut);
    this.kernel.incrementCounter('news.out', peers.length);
    const compressed: NewsRequest = { items: compressList(facts) };
    const plain: NewsRequest = { items: facts };
    const compressedPeers = peers.filter((peer) => this.context.acceptsCompressedLists(peer));
    const plainPeers = peers.filter((peer) => !this.context.acceptsCompressedLists(peer));
    const calls = [
      ...this.kernel.callEach(compressedPeers, 'News', compressed),
      ...this.kernel.callEach(plainPeers, 'News', plain),
    ];
    for (const call of calls) call.catch(() => undefined);
  }
}
