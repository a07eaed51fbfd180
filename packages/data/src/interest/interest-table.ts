/**
 * The owner's side of interest leases: which relays have subscribers of a topic, fan-out to them, and listener counts.
 */
import type { MembershipTable } from '@harecross/control';
import { SESSION, SHARD, type QueueInfo, type Kernel, toErrorDetails, hash, shardOf } from '@harecross/kernel';
import { takeWithin, type Entry } from '@harecross/state';

/** How much one call to a relay carries. */
const FAN_OUT_LIMITS = { entries: SHARD.fanOutQueueLimit, bytes: SHARD.fanOutBytesLimit } as const;

/** A relay's report of its interest to a topic's owner: only a deadline, never who subscribes or how many. */
export interface InterestItem {
  topic: string;
  /** Rises with every report of the relay's process, so that the owner can ignore outdated ones. */
  rev: number;
  /** Deadline by the relay's clock; 0: the interest has ended. */
  expiresAt: number;
  /** The relay's lease generation for the topic. */
  gen: string;
}
/** A message as the owner sends it to a relay, with the relay's lease generation. */
export interface FanFrame {
  topic: string;
  gen: string;
  off: number;
  sender: string;
  seq: number;
  body: string;
}
/** Wire format of a `FanFrame`: an array, because field names would make up most of the bytes sent. */
export type FanRow = [topic: string, gen: string, off: number, sender: string, seq: number, body: string];
/** Wire format of an `InterestItem`: an array for the same reason. */
export type InterestRow = [topic: string, rev: number, expiresAt: number, gen: string];
const toFanRow = (frame: FanFrame): FanRow => [frame.topic, frame.gen, frame.off, frame.sender, frame.seq, frame.body];
/**
 * Decodes a message frame.
 * @example
 * readFanRow(['pay/7', 'x1.4', 18, 'desk', 7, 'hello']).off; // 18
 */
export const readFanRow = ([topic, gen, off, sender, seq, body]: FanRow): FanFrame => ({
  topic,
  gen,
  off,
  sender,
  seq,
  body,
});
/**
 * Encodes an interest report.
 * @example
 * items.map(toInterestRow);
 */
export const toInterestRow = (item: InterestItem): InterestRow => [
  item.topic,
  item.rev,
  Math.round(item.expiresAt),
  item.gen,
];
/**
 * Decodes an interest report.
 * @example
 * readInterestRow(['pay/7', 3, 0, '']).expiresAt; // 0: the interest has ended
 */
export const readInterestRow = ([topic, rev, expiresAt, gen]: InterestRow): InterestItem => ({
  topic,
  rev,
  expiresAt,
  gen,
});

/** Number of a topic's listeners; `partial` means that there may be more. Wire format. */
export interface ListenerCount {
  count: number;
  partial: boolean;
}

/** One relay's interest in one topic, as known to the topic's owner. */
interface Interest {
  rev: number;
  /** By the owner's clock. */
  deadline: number;
  gen: string;
  shard: number;
  /** Hash of the topic, for `positionChecksum`. */
  mark: number;
}

/**
 * Checksum of a topic's head. A relay and an owner compare the sums over a shard's topics to find out whether they know
 * the same topics and heads.
 * @example
 * sum = (sum + positionChecksum(hash('pay/7'), 41)) | 0;
 */
export function positionChecksum(topicHash: number, offset: number): number {
  const mixed = Math.imul(topicHash ^ Math.imul(offset, 0x9e3779b1), 0x85ebca6b);
  return Math.imul(mixed ^ (mixed >>> 15), 0xc2b2ae35);
}

/**
 * The relays' interest in the topics that this node owns. It determines which relays a message is sent to, and which
 * ones are asked to count listeners.
 * @example
 * for (const entry of committed) interests.fanOut(entry);
 */
export class InterestTable {
  /** By relay; topics of one process instance of it. */
  private interest = new Map<string, { inst: string; topics: Map<string, Interest> }>();
  private peakQueueLength = 0;
  /** Messages to send, by relay. */
  private fanOutQueues = new Map<string, { frames: FanFrame[]; sending: boolean }>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  /** Number of topics per relay, for operators. */
  countTopicsByRelay(): { relay: string; topics: number }[] {
    return [...this.interest].map(([relay, known]) => ({ relay, topics: known.topics.size }));
  }
  /** Length of the longest of the relays' fan-out queues. */
  queueInfo(): QueueInfo {
    const length = Math.max(0, ...[...this.fanOutQueues.values()].map((queue) => queue.frames.length));
    return { name: 'fan', length, most: this.peakQueueLength, bound: SHARD.fanOutQueueLimit };
  }

  /**
   * Removes interest that has been over for the length of a lease. Until then it is kept, so that a report with an
   * older revision that arrives late is still recognized as outdated.
   */
  removeExpired(): void {
    const cutoff = this.kernel.host.clock.now() - SESSION.leaseTtlMs;
    for (const [relay, known] of this.interest) {
      for (const [topic, interest] of known.topics) if (interest.deadline < cutoff) known.topics.delete(topic);
      if (!known.topics.size && !this.membership.isLive(relay)) {
        this.interest.delete(relay);
        this.fanOutQueues.delete(relay);
      }
    }
  }

  /**
   * Handles a relay's reports. Reports of a new process instance of the relay replace everything that an earlier one
   * reported; reports of an earlier instance are ignored. `toLocal` converts from the relay's clock to the local clock.
   */
  receive(relay: string, inst: string, items: InterestItem[], toLocal: (time: number) => number): true {
    let known = this.interest.get(relay);
    if (known && inst < known.inst) return true;
    if (!known || known.inst !== inst) {
      known = { inst, topics: new Map() };
      this.interest.set(relay, known);
    }
    for (const item of items) {
      const old = known.topics.get(item.topic);
      if (old && old.rev >= item.rev) {
        this.kernel.incrementCounter('interest.stale');
        continue;
      }
      known.topics.set(item.topic, {
        rev: item.rev,
        gen: item.gen,
        shard: old?.shard ?? shardOf(item.topic),
        mark: old?.mark ?? hash(item.topic),
        deadline: item.expiresAt === 0 ? this.kernel.host.clock.now() : toLocal(item.expiresAt) + SESSION.leaseSkewMs,
      });
    }
    return true;
  }

  /** The topics of a shard in which a relay has live interest, each with its hash. */
  *liveTopicsIn(relay: string, shard: number): Generator<[string, number]> {
    const now = this.kernel.host.clock.now();
    for (const [topic, interest] of this.interest.get(relay)?.topics ?? [])
      if (interest.shard === shard && interest.deadline > now) yield [topic, interest.mark];
  }

  /** The relays with live interest in a topic. */
  interestedRelays(topic: string): [string, Interest][] {
    const now = this.kernel.host.clock.now();
    const relays: [string, Interest][] = [];
    for (const [relay, known] of this.interest) {
      const interest = known.topics.get(topic);
      if (!interest) continue;
      if (interest.deadline > now) relays.push([relay, interest]);
    }
    return relays;
  }

  /**
   * Sends a message to every relay with live interest in its topic. At most one call per relay is in flight, so that
   * messages arrive in order and are batched meanwhile. When a relay's queue is full the message is dropped; the relay
   * then reads it from the history.
   */
  fanOut(entry: Entry): void {
    for (const [relay, interest] of this.interestedRelays(entry.topic)) {
      let queue = this.fanOutQueues.get(relay);
      if (!queue) {
        queue = { frames: [], sending: false };
        this.fanOutQueues.set(relay, queue);
      }
      if (queue.frames.length >= SHARD.fanOutQueueLimit) {
        this.kernel.incrementCounter('fan.lost');
        continue;
      }
      queue.frames.push({
        topic: entry.topic,
        gen: interest.gen,
        off: entry.off,
        sender: entry.sender,
        seq: entry.seq,
        body: entry.body,
      });
      this.peakQueueLength = Math.max(this.peakQueueLength, queue.frames.length);
      if (!queue.sending) queueMicrotask(() => void this.sendQueued(relay, queue));
    }
  }

  private async sendQueued(relay: string, queue: { frames: FanFrame[]; sending: boolean }): Promise<void> {
    if (queue.sending) return;
    queue.sending = true;
    while (queue.frames.length) {
      const frames = queue.frames.splice(0, takeWithin(queue.frames, FAN_OUT_LIMITS).length);
      this.kernel.incrementCounter('fan.frames', frames.length);
      try {
        await this.kernel.callAnyPath(relay, 'Fan', { frames: frames.map(toFanRow) });
      } catch {
        this.kernel.incrementCounter('fan.lost', frames.length);
      }
    }
    queue.sending = false;
  }

  /**
   * Counts a topic's listeners by asking the relays that may have some. The count is `partial` when a relay did not
   * answer, or when this process may not know all relays yet. `ownedSince`: when this node became the owner of the
   * topic's shard (steady clock, ms).
   */
  async countListeners(topic: string, ownedSince: number): Promise<ListenerCount> {
    const now = this.kernel.host.clock.now();
    // A process that started recently may not have learned of every relay yet.
    const startedRecently = now - this.kernel.startedAt < SESSION.countAllRelaysMs;
    const answers = await Promise.all(
      this.relaysToCount(topic, ownedSince).map((relay) => this.countAtRelay(relay, topic)),
    );
    const counts = answers.filter((answer) => answer !== 'silent');
    return {
      count: counts.reduce((sum, count) => sum + count, 0),
      partial: startedRecently || counts.length < answers.length,
    };
  }

  /** The relays that reported interest, and those that may have listeners but may not have been able to report them. */
  private relaysToCount(topic: string, ownedSince: number): string[] {
    const now = this.kernel.host.clock.now();
    const relays = new Set(this.interestedRelays(topic).map(([relay]) => relay));
    for (const member of this.membership.members.values()) {
      // A dead relay has no listeners any more: they have moved to other relays.
      if (member.state === 'dead') relays.delete(member.peer);
      if (member.role !== 'relay') continue;
      // Interest may still be unreported when this node has become the owner only recently, or when the relay was
      // suspected until recently, because its event loop was stalled.
      const since = Math.max(ownedSince, member.liveSince);
      if (member.state === 'suspect' || (member.state === 'live' && now - since < SESSION.countAllRelaysMs))
        relays.add(member.peer);
    }
    return [...relays];
  }

  private async countAtRelay(relay: string, topic: string): Promise<number | 'silent'> {
    try {
      return await this.kernel.callAnyPath<number>(relay, 'CountHolds', { topic }, SESSION.countTimeoutMs);
    } catch (error) {
      // An unreachable relay has no running process and so no listeners any more, except after ETIMEDOUT: a relay that
      // doesn't answer, or that no network path leads to, may still have listeners, so the count is partial.
      const details = toErrorDetails(error, 'CountHolds', relay);
      return details.tag === 'unreachable' && details.detail !== 'ETIMEDOUT' ? 0 : 'silent';
    }
  }
}
