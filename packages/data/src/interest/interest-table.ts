import type { MembershipTable } from '@harecross/control';
import { SESSION, SHARD, type QueueInfo, type Kernel, toErrorDetails, hash, shardOf } from '@harecross/kernel';
import type { Entry } from '@harecross/state';

/** What a relay tells the owner of a topic: a deadline, never who or how many. */
export interface InterestItem {
  topic: string;
  rev: number;
  expiresAt: number;
  gen: string;
}
export interface FanFrame {
  topic: string;
  gen: string;
  off: number;
  sender: string;
  seq: number;
  body: string;
}
/** On the way both are rows: their fields' names would be most of what is sent. */
export type FanRow = [topic: string, gen: string, off: number, sender: string, seq: number, body: string];
export type InterestRow = [topic: string, rev: number, expiresAt: number, gen: string];
const fanRow = (f: FanFrame): FanRow => [f.topic, f.gen, f.off, f.sender, f.seq, f.body];
/**
 * A frame as it came.
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
 * A deadline for the way.
 * @example
 * items.map(interestRow)
 */
export const interestRow = (i: InterestItem): InterestRow => [i.topic, i.rev, Math.round(i.expiresAt), i.gen];
/**
 * A deadline as it came.
 * @example
 * readInterestRow(['pay/7', 3, 0, '']).expiresAt; // 0: it has ended
 */
export const readInterestRow = ([topic, rev, expiresAt, gen]: InterestRow): InterestItem => ({
  topic,
  rev,
  expiresAt,
  gen,
});

/** Listeners of a topic; `partial`: there may be more. Wire format. */
export interface ListenerCount {
  count: number;
  partial: boolean;
}

/** What the owner knows of one relay's interest in one topic. */
interface Interest {
  rev: number;
  deadline: number;
  gen: string;
  shard: number;
  mark: number;
}

/**
 * What a topic and a place in it add to the sum by which a relay and an owner see that they know the same of a shard.
 * @example
 * sum = (sum + placeSum(hash('pay/7'), 41)) | 0
 */
export function positionChecksum(mark: number, off: number): number {
  const x = Math.imul(mark ^ Math.imul(off, 0x9e3779b1), 0x85ebca6b);
  return Math.imul(x ^ (x >>> 15), 0xc2b2ae35);
}

/**
 * What the owner knows of relays' interest, and what follows from it: whom a frame goes to, and who is asked how many
 * listen.
 * @example
 * for (const e of agreed) interests.fan(e);
 */
export class InterestTable {
  private interest = new Map<string, { inst: string; topics: Map<string, Interest> }>();
  private peakQueueLength = 0;
  private fanOutQueues = new Map<string, { frames: FanFrame[]; flying: boolean }>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  countTopicsByRelay(): { relay: string; topics: number }[] {
    return [...this.interest].map(([relay, i]) => ({ relay, topics: i.topics.size }));
  }
  /** Frames held for the relay that has most of them. */
  queueInfo(): QueueInfo {
    const length = Math.max(0, ...[...this.fanOutQueues.values()].map((o) => o.frames.length));
    return { name: 'fan', length, most: this.peakQueueLength, bound: SHARD.fanOutQueueLimit };
  }

  /** Ended interest is kept for a while so that a late older revision is still known to be old. */
  removeExpired(): void {
    const past = this.kernel.host.clock.now() - SESSION.leaseTtlMs;
    for (const [relay, r] of this.interest) {
      for (const [t, i] of r.topics) if (i.deadline < past) r.topics.delete(t);
      if (!r.topics.size && !this.membership.isLive(relay)) {
        this.interest.delete(relay);
        this.fanOutQueues.delete(relay);
      }
    }
  }

  receive(relay: string, inst: string, items: InterestItem[], toLocal: (t: number) => number): true {
    let r = this.interest.get(relay);
    if (r && inst < r.inst) return true;
    if (!r || r.inst !== inst) {
      r = { inst, topics: new Map() };
      this.interest.set(relay, r);
    }
    for (const i of items) {
      const old = r.topics.get(i.topic);
      if (old && old.rev >= i.rev) {
        this.kernel.incrementCounter('interest.stale');
        continue;
      }
      r.topics.set(i.topic, {
        rev: i.rev,
        gen: i.gen,
        shard: old?.shard ?? shardOf(i.topic),
        mark: old?.mark ?? hash(i.topic),
        deadline: i.expiresAt === 0 ? this.kernel.host.clock.now() : toLocal(i.expiresAt) + SESSION.leaseSkewMs,
      });
    }
    return true;
  }

  /** The topics of a shard in which a relay's interest is live, each with its mark. */
  *liveTopicsIn(relay: string, shard: number): Generator<[string, number]> {
    const now = this.kernel.host.clock.now();
    for (const [t, i] of this.interest.get(relay)?.topics ?? [])
      if (i.shard === shard && i.deadline > now) yield [t, i.mark];
  }

  interestedRelays(topic: string): [string, Interest][] {
    const now = this.kernel.host.clock.now();
    const out: [string, Interest][] = [];
    for (const [relay, r] of this.interest) {
      const i = r.topics.get(topic);
      if (!i) continue;
      if (i.deadline > now) out.push([relay, i]);
    }
    return out;
  }

  /**
   * Passes a frame towards every relay with live interest. One call at a time goes to a relay, so that frames
   * arrive in order and gather while it is under way; what does not fit in is mended from history by the relay.
   */
  fanOut(e: Entry): void {
    for (const [relay, i] of this.interestedRelays(e.topic)) {
      let o = this.fanOutQueues.get(relay);
      if (!o) {
        o = { frames: [], flying: false };
        this.fanOutQueues.set(relay, o);
      }
      if (o.frames.length >= SHARD.fanOutQueueLimit) {
        this.kernel.incrementCounter('fan.lost');
        continue;
      }
      o.frames.push({ topic: e.topic, gen: i.gen, off: e.off, sender: e.sender, seq: e.seq, body: e.body });
      this.peakQueueLength = Math.max(this.peakQueueLength, o.frames.length);
      if (!o.flying) queueMicrotask(() => void this.sendTo(relay, o));
    }
  }

  private async sendTo(relay: string, o: { frames: FanFrame[]; flying: boolean }): Promise<void> {
    if (o.flying) return;
    o.flying = true;
    while (o.frames.length) {
      const frames = o.frames.splice(0);
      this.kernel.incrementCounter('fan.frames', frames.length);
      try {
        await this.kernel.callAnyPath(relay, 'Fan', { frames: frames.map(fanRow) });
      } catch {
        this.kernel.incrementCounter('fan.lost', frames.length);
      }
    }
    o.flying = false;
  }

  /**
   * How many listen on a topic, by what the relays answer that may have listeners. `partial` where one of them was silent, or where this
   * process may not know of all relays yet. `ownedSince`: since when this node owns the topic's shard (steady clock, ms).
   */
  async countListeners(topic: string, ownedSince: number): Promise<ListenerCount> {
    const now = this.kernel.host.clock.now();
    // A process that began this lately may not have heard of every relay.
    const isYoung = now - this.kernel.startedAt < SESSION.countAllMs;
    const answers = await Promise.all(
      this.relaysToCount(topic, ownedSince).map((relay) => this.countAtRelay(relay, topic)),
    );
    const counts = answers.filter((answer) => answer !== 'silent');
    return {
      count: counts.reduce((sum, count) => sum + count, 0),
      partial: isYoung || counts.length < answers.length,
    };
  }

  /** The relays that told us of interest, and those that may have listeners of whom they could not tell us. */
  private relaysToCount(topic: string, ownedSince: number): string[] {
    const now = this.kernel.host.clock.now();
    const relays = new Set(this.interestedRelays(topic).map(([relay]) => relay));
    for (const member of this.membership.members.values()) {
      // One that is dead has sent its listeners elsewhere.
      if (member.state === 'dead') relays.delete(member.peer);
      if (member.role !== 'relay') continue;
      // A new owner has not heard of every interest yet; nor may one have told us that was suspected until lately: its loop stood still.
      const since = Math.max(ownedSince, member.liveSince);
      if (member.state === 'suspect' || (member.state === 'live' && now - since < SESSION.countAllMs))
        relays.add(member.peer);
    }
    return [...relays];
  }

  private async countAtRelay(relay: string, topic: string): Promise<number | 'silent'> {
    try {
      return await this.kernel.callAnyPath<number>(relay, 'CountHolds', { topic }, SESSION.countWaitMs);
    } catch (error) {
      // No process there: it has no listeners any more. One that is there and silent, or to which no way leads, makes the answer partial.
      const details = toErrorDetails(error, 'CountHolds', relay);
      return details.tag === 'unreachable' && details.detail !== 'ETIMEDOUT' ? 0 : 'silent';
    }
  }
}
