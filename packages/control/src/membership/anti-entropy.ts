/** Anti-entropy: nodes compare their tables by checksums and digests, and give each other what they lack. */
import { MEMBERSHIP, randomSample, sleep, type Kernel } from '@harecross/kernel';
import { compressList, decompressList, type CompressedList } from './compressed-list.js';
import type { Digest, FactTable } from './fact-table.js';
import type { Fact } from './outbox.js';
import type { TotalSum } from './table-sums.js';

/** `parts` are sums by part; a node of before there were parts sends a whole `digest` in a second call. Wire format. */
interface GossipRequest {
  sums: TotalSum;
  parts?: number[];
  digest?: Digest;
}

interface Comparison {
  newer: Fact[];
  want: string[];
}

/** `parts`: where the tables differ, with what the answering node has there. Wire format. */
type GossipAnswer = 'same' | 'differs' | Comparison | { parts: number[]; digest: CompressedList<Digest[number]> };

/** Gives a peer facts, and asks for those under `want`. Wire format. */
interface MendRequest {
  items: CompressedList<Fact>;
  want?: string[];
}

/** What anti-entropy needs of the membership table. */
export interface AntiEntropyContext {
  readonly table: FactTable;
  /** Stores what is newer, without passing it on; says how many facts were. */
  storeAll(facts: Fact[]): number;
  factsUnder(keys: string[]): Fact[];
  disseminateOwnRecord(): void;
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  isLargeFleet(): boolean;
  memberCount(): number;
  otherLivePeers(): string[];
  contactAddresses(): string[];
  randomPeersOrContacts(count: number): string[];
  /** Peers of an earlier process of this machine that are not members now. */
  rememberedStrangers(): string[];
  ping(peer: string): Promise<boolean>;
  /** Tells how long a peer took to answer a small call (ms). */
  recordAnswerTime(tookMs: number): void;
}

/** Compares this node's table with those of a few peers, each period and more often after the start. */
export class AntiEntropy {
  private comparedAt = -Infinity;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: AntiEntropyContext,
  ) {
    kernel.on('Gossip', (request: GossipRequest) => this.answerGossip(request));
    // What a digest missed is stored, not passed on: it is no news, and the next digests carry it further.
    kernel.on('Mend', (request: MendRequest) => {
      context.storeAll(decompressList(request.items));
      return request.want ? compressList(context.factsUnder(request.want)) : true;
    });
  }

  /** One period's comparisons. */
  async round(): Promise<void> {
    const { clock, random } = this.kernel.host;
    // Who was a member once may not find us: its seeds may be gone, and it may have no disk. Our call introduces us.
    const strangers = randomSample(random, this.context.rememberedStrangers(), MEMBERSHIP.gossipPeerCount);
    for (const peer of strangers) void this.context.ping(peer);
    // While changes are on their way tables differ by them everywhere: comparing would send them all a second time.
    const now = clock.now();
    const gapMs = this.context.scaledPeriodMs(0, MEMBERSHIP.disseminationGapPerMemberMs);
    const changing = now - this.context.table.changedAt < gapMs;
    if (changing && now - this.comparedAt < MEMBERSHIP.gossipWhileBusyMs) return;
    this.comparedAt = now;
    const peers = this.context.randomPeersOrContacts(MEMBERSHIP.gossipPeerCount);
    await Promise.all(peers.map((peer) => this.reconcileWith(peer)));
  }

  /**
   * A node that has just started knows nobody but its contacts, and those may have just started too: it compares often until nobody has
   * anything new for it. In a large fleet it does so less often, and mostly with others than the contacts: these are the same for all
   * that start together.
   */
  async join(): Promise<void> {
    const { clock, random } = this.kernel.host;
    const until = clock.now() + MEMBERSHIP.joinMs;
    let nothingNew = 0;
    let introduced = false;
    while (clock.now() < until && nothingNew < MEMBERSHIP.joinQuietCount && this.kernel.phase !== 'stopped') {
      const pauseMs = this.context.scaledPeriodMs(MEMBERSHIP.joinEveryMs, MEMBERSHIP.joinPerMemberMs);
      await sleep(clock, pauseMs * (0.5 + random.next()));
      const answers = await Promise.all(this.peersToJoinBy().map((peer) => this.reconcileWith(peer)));
      for (const fresh of answers) if (fresh !== undefined) nothingNew = fresh > 0 ? 0 : nothingNew + 1;
      if (introduced || this.context.isLargeFleet() || !this.context.otherLivePeers().length) continue;
      // What we published of ourselves before reached nobody. In a large fleet many may start together: comparing tells the others in time.
      introduced = true;
      this.context.disseminateOwnRecord();
    }
  }

  private peersToJoinBy(): string[] {
    const { random } = this.kernel.host;
    const known = randomSample(random, this.context.otherLivePeers(), 1);
    const asksContact = !known.length || random.next() * this.context.memberCount() < MEMBERSHIP.partialViewSize;
    const contact = asksContact ? randomSample(random, this.context.contactAddresses(), 1) : [];
    return [...new Set([...known, ...contact])];
  }

  /** Compares our table with a peer's and mends both; gives how many facts were new to us, or undefined when it did not answer. */
  private async reconcileWith(peer: string): Promise<number | undefined> {
    const { table } = this.context;
    const { clock } = this.kernel.host;
    try {
      const { total: sums, partSums: parts } = table;
      // Equal tables are the rule, and the sums by part are long: they go along only when ours has just changed.
      const changed = clock.now() - table.changedAt < 2 * MEMBERSHIP.gossipMs;
      const sentAt = clock.now();
      let answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', changed ? { sums, parts } : { sums });
      this.context.recordAnswerTime(clock.now() - sentAt);
      if (answer === 'differs' && !changed)
        answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', { sums, parts });
      // A node of before there were parts.
      if (answer === 'differs')
        answer = await this.kernel.call<GossipAnswer>(peer, 'Gossip', { sums, digest: table.digest() });
      if (answer === 'same' || answer === 'differs') return 0;
      if ('parts' in answer)
        return await this.reconcileParts(peer, new Set(answer.parts), decompressList(answer.digest));
      const fresh = this.context.storeAll(answer.newer);
      if (answer.want.length) await this.kernel.call(peer, 'Mend', { items: this.context.factsUnder(answer.want) });
      return fresh;
    } catch {
      // The next period mends it.
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

  /** Gives a peer what it lacks in the parts that differ, and takes what we lack there. */
  private async reconcileParts(peer: string, parts: Set<number>, theirs: Digest): Promise<number> {
    const { newer, want } = this.compare(theirs, parts);
    if (!newer.length && !want.length) return 0;
    const request: MendRequest = { items: compressList(newer), want };
    const answer = await this.kernel.call<CompressedList<Fact>>(peer, 'Mend', request);
    return this.context.storeAll(decompressList(answer));
  }

  private compare(digest: Digest, parts?: Set<number>): Comparison {
    const { newerHere, newerThere } = this.context.table.compare(digest, parts);
    return { newer: this.context.factsUnder(newerHere), want: newerThere };
  }
}
