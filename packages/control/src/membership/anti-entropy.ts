/** Anti-entropy: nodes compare their membership tables by checksums and digests, and exchange the facts that differ. */
import { MEMBERSHIP, randomSample, sleep, type Kernel } from '@harecross/kernel';
import { compressList, decompressList, type CompressedList } from './compressed-list.js';
import type { Digest, FactTable } from './fact-table.js';
import type { Fact } from './outbox.js';
import type { TotalSum } from './table-sums.js';

/**
 * `sums` is the checksum of the sender's whole table and `parts` holds one checksum per part. A node of a version without per-part
 * checksums sends a `digest` of its whole table in a second call instead. Wire format.
 */
interface GossipRequest {
  sums: TotalSum;
  parts?: number[];
  digest?: Digest;
}

/** `newer`: facts that the requester lacks; `want`: keys of facts that the answering node lacks. Wire format. */
interface Comparison {
  newer: Fact[];
  want: string[];
}

/** `parts`: the parts in which the tables differ, with the answering node's digest of them. Wire format. */
type GossipAnswer = 'same' | 'differs' | Comparison | { parts: number[]; digest: CompressedList<Digest[number]> };

/** Sends facts to a peer, and requests the facts under the keys in `want`. Wire format. */
interface MendRequest {
  items: CompressedList<Fact>;
  want?: string[];
}

/** The operations of the membership table that anti-entropy uses. */
export interface AntiEntropyContext {
  readonly table: FactTable;
  /** Stores the facts that are newer than the known ones, without forwarding them. Returns how many were stored. */
  storeAll(facts: Fact[]): number;
  wireFactsFor(keys: string[]): Fact[];
  disseminateOwnRecord(): void;
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  isLargeFleet(): boolean;
  memberCount(): number;
  otherLivePeers(): string[];
  contactAddresses(): string[];
  randomPeersOrContacts(count: number): string[];
  /** Peers that were stored by an earlier process of this node and are not members now. */
  rememberedNonMembers(): string[];
  ping(peer: string): Promise<boolean>;
  /** Records how long a peer took to answer a small call (ms). */
  recordAnswerTime(tookMs: number): void;
}

/** Compares this node's table with those of a few peers, once per period and more often after the start. */
export class AntiEntropy {
  private comparedAt = -Infinity;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: AntiEntropyContext,
  ) {
    kernel.on('Gossip', (request: GossipRequest) => this.answerGossip(request));
    // Facts received here are stored but not disseminated: they are not recent changes, and later comparisons spread them further.
    kernel.on('Mend', (request: MendRequest) => {
      context.storeAll(decompressList(request.items));
      return request.want ? compressList(context.wireFactsFor(request.want)) : true;
    });
  }

  /** Runs the comparisons of one period. */
  async round(): Promise<void> {
    const { clock, random } = this.kernel.host;
    // A former member may be unable to find this node: its seeds may be gone, and without a disk it has no stored peers. A ping from
    // this node gives that member an address to contact.
    const nonMembers = randomSample(random, this.context.rememberedNonMembers(), MEMBERSHIP.gossipPeerCount);
    for (const peer of nonMembers) void this.context.ping(peer);
    // While changes are still being disseminated, all tables differ by them, and a comparison would send each of them a second time.
    const now = clock.now();
    const gapMs = this.context.scaledPeriodMs(0, MEMBERSHIP.disseminationGapPerMemberMs);
    const recentlyChanged = now - this.context.table.changedAt < gapMs;
    if (recentlyChanged && now - this.comparedAt < MEMBERSHIP.gossipWhileBusyMs) return;
    this.comparedAt = now;
    const peers = this.context.randomPeersOrContacts(MEMBERSHIP.gossipPeerCount);
    await Promise.all(peers.map((peer) => this.reconcileWith(peer)));
  }

  /**
   * Fills the table after the start. A node that has just started knows only its contact addresses, and those nodes may have just
   * started too, so it compares frequently until several consecutive answers bring nothing new. In a large fleet it compares less
   * often, and mostly with peers other than the contacts, because all nodes that start together have the same contacts.
   */
  async join(): Promise<void> {
    const { clock, random } = this.kernel.host;
    const until = clock.now() + MEMBERSHIP.joinMs;
    let consecutiveUnchanged = 0;
    let ownRecordSent = false;
    while (clock.now() < until && consecutiveUnchanged < MEMBERSHIP.joinQuietCount && this.kernel.phase !== 'stopped') {
      const pauseMs = this.context.scaledPeriodMs(MEMBERSHIP.joinEveryMs, MEMBERSHIP.joinPerMemberMs);
      await sleep(clock, pauseMs * (0.5 + random.next()));
      const answers = await Promise.all(this.joinPeers().map((peer) => this.reconcileWith(peer)));
      for (const newCount of answers)
        if (newCount !== undefined) consecutiveUnchanged = newCount > 0 ? 0 : consecutiveUnchanged + 1;
      if (ownRecordSent || this.context.isLargeFleet() || !this.context.otherLivePeers().length) continue;
      // The record that this node published earlier reached nobody, as no peer was known. It is not disseminated again in a large fleet,
      // where many nodes may start together; there the comparisons spread it.
      ownRecordSent = true;
      this.context.disseminateOwnRecord();
    }
  }

  private joinPeers(): string[] {
    const { random } = this.kernel.host;
    const known = randomSample(random, this.context.otherLivePeers(), 1);
    const asksContact = !known.length || random.next() * this.context.memberCount() < MEMBERSHIP.partialViewSize;
    const contact = asksContact ? randomSample(random, this.context.contactAddresses(), 1) : [];
    return [...new Set([...known, ...contact])];
  }

  /** Reconciles this node's table and a peer's. Returns how many facts were new to this node, or undefined if the peer did not answer. */
  private async reconcileWith(peer: string): Promise<number | undefined> {
    const { table } = this.context;
    const { clock } = this.kernel.host;
    try {
      const { total: sums, partSums: parts } = table;
      // Tables are usually equal and the per-part checksums are long, so they are included only if this table changed recently.
      const changed = clock.now() - table.changedAt < 2 * MEMBERSHIP.gossipMs;
      const sentAt = clock.now();
      let answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', changed ? { sums, parts } : { sums });
      this.context.recordAnswerTime(clock.now() - sentAt);
      if (answer === 'differs' && !changed)
        answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', { sums, parts });
      // The peer runs a version without per-part checksums.
      if (answer === 'differs')
        answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', { sums, digest: table.digest() });
      if (answer === 'same' || answer === 'differs') return 0;
      if ('parts' in answer)
        return await this.reconcileParts(peer, new Set(answer.parts), decompressList(answer.digest));
      const newCount = this.context.storeAll(answer.newer);
      if (answer.want.length) await this.kernel.call(peer, 'Mend', { items: this.context.wireFactsFor(answer.want) });
      return newCount;
    } catch {
      // The next period tries again.
      return undefined;
    }
  }

  private answerGossip(request: GossipRequest): GossipAnswer {
    const { table } = this.context;
    if (table.isSameAs(request.sums)) return 'same';
    if (request.digest) return this.compare(request.digest);
    if (!request.parts) return 'differs';
    const parts = table.differingParts(request.parts);
    return { parts, digest: compressList(table.digest(new Set(parts))) };
  }

  /** Exchanges the facts that differ in these parts. Returns how many were new to this node. */
  private async reconcileParts(peer: string, parts: Set<number>, theirs: Digest): Promise<number> {
    const { newer, want } = this.compare(theirs, parts);
    if (!newer.length && !want.length) return 0;
    const request: MendRequest = { items: compressList(newer), want };
    const answer = await this.kernel.call<CompressedList<Fact>>(peer, 'Mend', request);
    return this.context.storeAll(decompressList(answer));
  }

  private compare(digest: Digest, parts?: Set<number>): Comparison {
    const { newerHere, newerThere } = this.context.table.compare(digest, parts);
    return { newer: this.context.wireFactsFor(newerHere), want: newerThere };
  }
}
