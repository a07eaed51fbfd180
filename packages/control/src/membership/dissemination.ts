/** Dissemination: a change is passed on to a few random peers at once, and what changes together is passed on together. */
import { MEMBERSHIP, type Kernel } from '@harecross/kernel';
import { compressList, decompressList, type CompressedList } from './compressed-list.js';
import { Outbox, type Fact } from './outbox.js';

/** Facts that have just changed. Wire format. */
interface NewsRequest {
  items: CompressedList<Fact>;
}

/** What dissemination needs of the membership table. */
export interface DisseminationContext {
  /** Stores what is newer, and passes it on in turn. */
  receive(facts: Fact[]): void;
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  randomLivePeers(count: number): string[];
  /** Whether a peer reads compressed lists. */
  readsCompressedLists(peer: string): boolean;
}

/** Passes facts on to a few peers; the calls of a node are bounded by time, however many facts the fleet has to tell. */
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

  /** Passes facts on soon. An empty list still carries our revision of the agreed value. */
  add(facts: Fact[]): void {
    this.outbox.add(facts);
  }

  /** Sends now what waits. */
  flush(): void {
    this.outbox.flush();
  }

  private send(facts: Fact[]): void {
    if (this.kernel.phase === 'stopped') return;
    const peers = this.context.randomLivePeers(MEMBERSHIP.disseminationFanOut);
    this.kernel.incrementCounter('news.out', peers.length);
    const compressed: NewsRequest = { items: compressList(facts) };
    const plain: NewsRequest = { items: facts };
    const reading = peers.filter((peer) => this.context.readsCompressedLists(peer));
    const others = peers.filter((peer) => !this.context.readsCompressedLists(peer));
    const calls = [
      ...this.kernel.callEach(reading, 'News', compressed),
      ...this.kernel.callEach(others, 'News', plain),
    ];
    for (const call of calls) call.catch(() => undefined);
  }
}
