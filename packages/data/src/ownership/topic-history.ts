/** What an owner answers relays about its topics: where each begins and ends, its messages, and whether a relay has seen all of them. */
import { notReadyError, type ConsensusRegister } from '@harecross/control';
import { HarecrossError, REQUEST, SESSION, sleep, type Kernel } from '@harecross/kernel';
import { familyOf } from '@harecross/schema';
import { positionChecksum, type InterestTable, type ListenerCount } from '../interest/interest-table.js';
import type { Replication } from '../replication/replication.js';
import type { ShardState, TopicState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** A confirmation gives up this long before its caller does (ms). */
const CONFIRM_MARGIN_MS = 100;
/** Pause between two looks whether a majority has answered (ms). */
const CONFIRM_POLL_MS = 4;

/** Messages of a topic from an offset on, with the topic's bounds. Wire format. */
export interface HistoryPage {
  tag: 'page';
  /** Offset of the last message. */
  head: number;
  /** Offset of the first message that is kept. */
  first: number;
  /** First offset of the topic's present incarnation. */
  since: number;
  entries: { off: number; sender: string; seq: number; body: string }[];
}

/** A page, or `gone` where no family holds the topic any more. Wire format. */
export type HistoryAnswer = HistoryPage | { tag: 'gone' };

/** `heads`: all topics in which the owner knows interest, for the shards where relay and owner differ. Wire format. */
export interface HeadsAnswer {
  heads: Map<number, [topic: string, head: number][]>;
  elsewhere: number[];
}

/** Where a topic begins and ends. Wire format. */
export type TopicBounds = Pick<HistoryPage, 'head' | 'first' | 'since'>;

/** Asks for a topic's bounds; `confirm`: after a majority has confirmed the ownership. Wire format. */
interface OpenRequest {
  topic: string;
  confirm: boolean;
}

/** Serves what relays ask of topics. */
export class TopicHistory {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
    private readonly replication: Replication,
    private readonly interests: InterestTable,
  ) {}

  /** Serves the RPCs of relays. */
  serve(): void {
    const { kernel } = this;
    kernel.on('Open', (request: OpenRequest) => this.open(request), true);
    kernel.on('History', (request: { topic: string; from: number }) => this.page(request), true);
    kernel.on('Heads', (request: { sums: [number, number][] }, relay) => this.compareHeads(request.sums, relay.peer));
    kernel.on('Count', (request: { topic: string }) => this.countListeners(request.topic), true);
  }

  private async countListeners(topic: string): Promise<ListenerCount> {
    this.shards.family(topic, 'Count');
    await this.shards.awaitPhase(this.shards.ofTopic(topic), ['owner']);
    return this.interests.countListeners(topic, this.shards.serving(topic, 'Count').ownedSince);
  }

  private async open({ topic, confirm }: OpenRequest): Promise<TopicBounds> {
    this.shards.family(topic, 'Open');
    await this.shards.awaitPhase(this.shards.ofTopic(topic), ['owner']);
    const shard = this.shards.serving(topic, 'Open');
    const { fence } = shard;
    if (confirm) await this.confirmOwnership(shard);
    // It may have gone meanwhile, and with it all that we know of its topics.
    if (shard.fence !== fence || shard.phase !== 'owner')
      throw new HarecrossError({ tag: 'not_owner', step: 'Open', peer: this.kernel.self });
    this.shards.family(topic, 'History');
    return boundsOf(this.shards.topic(shard, topic));
  }

  /** Returns once a majority has answered an append begun after now: nobody else owned the shard up to now. */
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
    const shard = this.shards.serving(topic, 'History');
    this.shards.family(topic, 'History');
    const state = this.shards.topic(shard, topic);
    const bounds = boundsOf(state);
    const start = Math.max(0, Math.max(from, bounds.since) - bounds.first);
    const entries = state.entries
      .slice(start, start + SESSION.historyPageLimit)
      .map(({ off, sender, seq, body }) => ({ off, sender, seq, body }));
    return { tag: 'page', head: bounds.head, first: bounds.first, since: bounds.since, entries };
  }

  /** Compares what a relay knows of shards with what we do; gives the heads of a shard where the two differ. */
  private async compareHeads(sums: [shard: number, sum: number][], relay: string): Promise<HeadsAnswer> {
    // A relay that hears of a new owner asks at once, and perhaps before it is one.
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

  /** The heads of a shard's topics in which a relay has interest, and their checksum. */
  private headsOf(shard: ShardState, relay: string): { heads: [string, number][]; checksum: number } {
    const heads: [string, number][] = [];
    let checksum = 0;
    for (const [topic, mark] of this.interests.liveTopicsIn(relay, shard.id)) {
      if (!familyOf(this.register.value!.config, topic)) continue;
      this.shards.family(topic, 'History');
      const { head } = this.shards.topic(shard, topic);
      heads.push([topic, head]);
      checksum = (checksum + positionChecksum(mark, head)) | 0;
    }
    return { heads, checksum };
  }
}

function boundsOf(topic: TopicState): TopicBounds {
  return { head: topic.head, first: topic.entries[0]?.off ?? topic.head + 1, since: topic.since };
}
