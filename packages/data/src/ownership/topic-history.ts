/** Requests of relays to a shard's owner about topics: bounds, messages, heads and listener counts. */
import { notReadyError, type ConsensusRegister } from '@harecross/control';
import { HarecrossError, REQUEST, SESSION, sleep, type Kernel } from '@harecross/kernel';
import { familyOf } from '@harecross/schema';
import type { TopicMessage } from '@harecross/state';
import { positionChecksum, type InterestTable, type ListenerCount } from '../interest/interest-table.js';
import type { Replication } from '../replication/replication.js';
import type { ShardState, TopicState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** A confirmation of ownership times out this long before its caller's request does (ms). */
const CONFIRM_MARGIN_MS = 100;
/** Interval of polling for a majority's answers (ms). */
const CONFIRM_POLL_MS = 4;

/** How much of a topic's history one answer carries. */
const PAGE_LIMITS = { entries: SESSION.historyPageLimit, bytes: SESSION.historyPageBytes } as const;

/** Messages of a topic from an offset on, with the bounds of the topic. Wire format. */
export interface HistoryPage {
  tag: 'page';
  /** Offset of the last message. */
  head: number;
  /** Offset of the first message that is not trimmed; one after `head` if there is none. */
  first: number;
  /** First offset of the topic's current incarnation. */
  since: number;
  entries: TopicMessage[];
}

/** A page, or `gone` if no family has the topic any more. Wire format. */
export type HistoryAnswer = HistoryPage | { tag: 'gone' };

/**
 * Answer of `Heads`. `heads`: for each shard whose checksum differs from the owner's, the heads of all topics in which the owner has a lease
 * of the relay. `elsewhere`: shards that this node does not serve. Wire format.
 */
export interface HeadsAnswer {
  heads: Map<number, [topic: string, head: number][]>;
  elsewhere: number[];
}

/** The bounds of a topic, as in a page. Wire format. */
export type TopicBounds = Pick<HistoryPage, 'head' | 'first' | 'since'>;

/** Requests the bounds of a topic. `confirm`: only after a majority of the replicas has confirmed the ownership. Wire format. */
interface OpenRequest {
  topic: string;
  confirm: boolean;
}

/** Handles these requests. */
export class TopicHistory {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
    private readonly replication: Replication,
    private readonly interests: InterestTable,
  ) {}

  /** Registers the RPC handlers. */
  serve(): void {
    const { kernel } = this;
    kernel.on('Open', (request: OpenRequest) => this.open(request), true);
    kernel.on('History', (request: { topic: string; from: number }) => this.page(request), true);
    kernel.on('Heads', (request: { sums: [number, number][] }, relay) => this.compareHeads(request.sums, relay.peer));
    kernel.on('Count', (request: { topic: string }) => this.countListeners(request.topic), true);
  }

  private async countListeners(topic: string): Promise<ListenerCount> {
    this.shards.requireFamily(topic, 'Count');
    await this.shards.awaitPhase(this.shards.ofTopic(topic), ['owner']);
    return this.interests.countListeners(topic, this.shards.requireServing(topic, 'Count').ownedSince);
  }

  private async open({ topic, confirm }: OpenRequest): Promise<TopicBounds> {
    this.shards.requireFamily(topic, 'Open');
    await this.shards.awaitPhase(this.shards.ofTopic(topic), ['owner']);
    const shard = this.shards.requireServing(topic, 'Open');
    const { fence } = shard;
    if (confirm) await this.confirmOwnership(shard);
    // The ownership may have ended during the confirmation, which clears the topics.
    if (shard.fence !== fence || shard.phase !== 'owner')
      throw new HarecrossError({ tag: 'not_owner', step: 'Open', peer: this.kernel.self });
    this.shards.requireFamily(topic, 'History');
    return boundsOf(shard, topic, this.shards.topic(shard, topic));
  }

  /**
   * Returns once a majority has answered an append that was sent after this call began: until then no other node has owned the shard. Throws
   * `not_owner` otherwise.
   */
  private async confirmOwnership(shard: ShardState): Promise<void> {
    const { clock } = this.kernel.host;
    const askedAt = clock.now();
    const { fence } = shard;
    const until = askedAt + REQUEST.ownerAttemptMs - CONFIRM_MARGIN_MS;
    while (shard.majorityAnsweredAt() < askedAt) {
      if (shard.fence !== fence || shard.phase !== 'owner' || clock.now() > until)
        throw new HarecrossError({ tag: 'not_owner', step: 'confirm', peer: this.kernel.self });
      this.replication.replicate(shard, true);
      await sleep(clock, CONFIRM_POLL_MS);
    }
  }

  private async page({ topic, from }: { topic: string; from: number }): Promise<HistoryAnswer> {
    await this.shards.awaitPhase(this.shards.ofTopic(topic), ['owner']);
    if (!this.register.hasReadLease()) throw notReadyError(this.kernel, 'History');
    if (!familyOf(this.register.value!.config, topic)) return { tag: 'gone' };
    const shard = this.shards.requireServing(topic, 'History');
    this.shards.requireFamily(topic, 'History');
    const state = this.shards.topic(shard, topic);
    const bounds = boundsOf(shard, topic, state);
    const entries = shard.messagesFrom(topic, state, from, PAGE_LIMITS);
    return { tag: 'page', head: bounds.head, first: bounds.first, since: bounds.since, entries };
  }

  /** Compares a relay's checksum of each shard with this node's own, and returns the heads of the shards whose checksums differ. */
  private async compareHeads(sums: [shard: number, sum: number][], relay: string): Promise<HeadsAnswer> {
    // A relay asks as soon as it learns of a new owner, perhaps before the election is complete.
    await Promise.all(sums.map(([id]) => this.shards.awaitPhase(this.shards.find(id), ['owner'])));
    const heads = new Map<number, [topic: string, head: number][]>();
    const elsewhere: number[] = [];
    for (const [id, sum] of sums) {
      const shard = this.shards.find(id);
      if (!shard || shard.phase !== 'owner' || !this.register.hasReadLease()) {
        elsewhere.push(id);
        continue;
      }
      const known = this.headsOf(shard, relay);
      if (known.checksum !== sum) heads.set(id, known.heads);
    }
    return { heads, elsewhere };
  }

  /** The heads of a shard's topics for which a relay has an interest lease, and their checksum. */
  private headsOf(shard: ShardState, relay: string): { heads: [string, number][]; checksum: number } {
    const heads: [string, number][] = [];
    let checksum = 0;
    for (const [topic, mark] of this.interests.liveTopicsIn(relay, shard.id)) {
      if (!familyOf(this.register.value!.config, topic)) continue;
      this.shards.requireFamily(topic, 'History');
      const { head } = this.shards.topic(shard, topic);
      heads.push([topic, head]);
      checksum = (checksum + positionChecksum(mark, head)) | 0;
    }
    return { heads, checksum };
  }
}

function boundsOf(shard: ShardState, name: string, topic: TopicState): TopicBounds {
  return { head: topic.head, first: shard.firstOffset(name, topic), since: topic.since };
}
