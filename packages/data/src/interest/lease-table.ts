/**
 * The relay's side of interest leases: the leases of its clients by topic, and the reports of them to the topics'
 * owners.
 */
import { SESSION, hash, shardOf, type Kernel } from '@harecross/kernel';
import { toInterestRow, positionChecksum, type InterestItem } from './interest-table.js';
import type { HeadsAnswer } from '../ownership/topic-history.js';
import type { ShardRouter } from '../routing/shard-router.js';
import type { Session, Subscription } from '../sessions/session.js';

/** The leases of all of this relay's subscribers of one topic; the owner learns only the latest deadline. */
export interface TopicLease {
  topic: string;
  shard: number;
  /** Hash of the topic, for `positionChecksum`. */
  mark: number;
  subscriptions: Set<Subscription>;
  /** Messages from the owner must carry it. A new one is issued when the topic gets its first subscriber. */
  generation: string;
  /** The deadline last reported to the owner; 0: none, negative: it has to be reported again. */
  reportedDeadline: number;
  /** The highest offset known to exist. */
  head: number;
  /** Whether the owner's history is being read, and whether to read it once more afterwards. */
  reading: boolean;
  readAgain: boolean;
}

/** Callbacks of the lease table. */
interface LeaseEvents {
  /** Messages known to exist have not been delivered to some subscriber of the topic. */
  behind(lease: TopicLease): void;
  /** A subscription's lease has ended: nothing more may be sent for it. */
  ended(subscription: Subscription): void;
}

/**
 * The relay's side of interest leases; docs/paper.md names the published design that they follow. The relay renews a
 * subscription's lease when there is traffic on its session. The lease ends at its deadline, on unsubscribe, or with
 * the session. Owners get one deadline per topic. Relay and owner compare heads, which reveals a lost last message.
 * @example
 * const lease = leases.add(subscription);
 */
export class LeaseTable {
  private topics = new Map<string, TopicLease>();
  /** Topics whose deadline may differ from the reported one. */
  private dirty = new Set<string>();
  /** Random prefix that distinguishes this process's generations from those of an earlier process of the same relay. */
  private readonly generationBase: string;
  /** Rises with every reported deadline, so that an owner can ignore reports that arrive out of order. */
  private revision = 0;

  constructor(
    private kernel: Kernel,
    private route: ShardRouter,
    /** Returns a number that no session, subscription or generation of this process has yet. */
    private nextId: () => number,
    private events: LeaseEvents,
  ) {
    this.generationBase = Math.floor(kernel.host.random.next() * 2 ** 32).toString(36);
  }

  get(topic: string): TopicLease | undefined {
    return this.topics.get(topic);
  }

  all(): TopicLease[] {
    return [...this.topics.values()];
  }

  /** Adds a subscription. The owner learns of it with the next `reportToOwners`. */
  add(subscription: Subscription): TopicLease {
    const lease = this.activateLease(subscription.topic);
    lease.subscriptions.add(subscription);
    this.dirty.add(subscription.topic);
    return lease;
  }

  /** Returns the topic's lease; issues a new generation if it had no subscribers. */
  private activateLease(topic: string): TopicLease {
    const existing = this.topics.get(topic);
    if (existing && existing.subscriptions.size > 0) return existing;
    const generation = `${this.generationBase}.${this.nextId().toString(36)}`;
    if (existing) {
      existing.generation = generation;
      existing.reportedDeadline = 0;
      return existing;
    }
    const lease: TopicLease = {
      topic,
      shard: shardOf(topic),
      mark: hash(topic),
      subscriptions: new Set(),
      generation,
      reportedDeadline: 0,
      head: 0,
      reading: false,
      readAgain: false,
    };
    this.topics.set(topic, lease);
    return lease;
  }

  /** Renews the leases of an active session that are due for renewal. */
  renew(session: Session, now: number): void {
    for (const subscription of session.subscriptions.values()) {
      if (now - subscription.renewedAt < SESSION.leaseRenewMs) continue;
      subscription.renewedAt = now;
      subscription.expiresAt = now + SESSION.leaseTtlMs;
      this.dirty.add(subscription.topic);
    }
  }

  /** Ends a lease; every way to end one goes through here. Its queued frames are dropped. */
  end(subscription: Subscription): void {
    if (!subscription.live) return;
    subscription.live = false;
    subscription.session.subscriptions.delete(subscription.topic);
    this.topics.get(subscription.topic)?.subscriptions.delete(subscription);
    this.events.ended(subscription);
    this.dirty.add(subscription.topic);
  }

  /** Number of a topic's subscribers with a live lease and a recently active session. */
  count(topic: string): number {
    const now = this.kernel.host.clock.now();
    let listeners = 0;
    for (const { expiresAt, session } of this.topics.get(topic)?.subscriptions ?? [])
      if (expiresAt > now && now - session.lastActivityAt <= SESSION.listenerActiveMs) listeners++;
    return listeners;
  }

  /** Reports changed deadlines to the topics' owners. */
  async reportToOwners(): Promise<void> {
    const byOwner = new Map<string, InterestItem[]>();
    for (const topic of Array.from(this.dirty)) {
      const lease = this.topics.get(topic);
      if (!lease) {
        this.reportEnded(topic, byOwner);
        continue;
      }
      const deadline = Math.max(0, ...[...lease.subscriptions].map((s) => s.expiresAt));
      if (deadline === lease.reportedDeadline) {
        this.dirty.delete(topic);
        if (!lease.subscriptions.size) this.topics.delete(topic);
        continue;
      }
      const owner = this.route.ownerOf(lease.shard);
      if (!owner) continue;
      this.dirty.delete(topic);
      lease.reportedDeadline = deadline;
      this.addReport(byOwner, owner, topic, deadline, lease.generation);
      if (!lease.subscriptions.size && !lease.reading) this.topics.delete(topic);
    }
    await Promise.all([...byOwner].map(([owner, items]) => this.sendInterest(owner, items)));
  }

  private addReport(
    byOwner: Map<string, InterestItem[]>,
    owner: string,
    topic: string,
    deadline: number,
    generation: string,
  ): void {
    const items = byOwner.get(owner) ?? [];
    items.push({ topic, rev: ++this.revision, expiresAt: deadline, gen: generation });
    byOwner.set(owner, items);
  }

  /** Reports the end of interest in a topic without a lease, because the owner may still assume interest. */
  private reportEnded(topic: string, byOwner: Map<string, InterestItem[]>): void {
    this.dirty.delete(topic);
    const owner = this.route.ownerOf(shardOf(topic));
    if (owner) this.addReport(byOwner, owner, topic, 0, '');
  }

  private async sendInterest(owner: string, items: InterestItem[]): Promise<void> {
    this.kernel.incrementCounter('interest.said', items.length);
    try {
      await this.kernel.callAnyPath(owner, 'Interest', { items: items.map(toInterestRow) });
    } catch {
      for (const { topic } of items) {
        const lease = this.topics.get(topic);
        if (lease) this.scheduleReport(lease);
      }
    }
  }

  private scheduleReport(lease: TopicLease): void {
    lease.reportedDeadline = -1;
    this.dirty.add(lease.topic);
  }

  /** Handles a new owner of a shard: reports this relay's interest to it and compares heads with it. */
  ownerChanged(shard: number): void {
    const leases = this.all().filter((lease) => lease.shard === shard && lease.subscriptions.size);
    if (!leases.length) return;
    for (const lease of leases) this.scheduleReport(lease);
    void this.reportToOwners();
    void this.compareHeads(leases);
  }

  /** Compares the known heads of all topics that have subscribers with those of their owners. */
  async checkHeads(): Promise<void> {
    const leases = this.all().filter((lease) => lease.subscriptions.size);
    // Messages that are known to exist but could not be read are read again here: the comparison doesn't reveal them,
    // because relay and owner know the same head.
    for (const lease of leases) this.catchUpIfBehind(lease);
    await this.compareHeads(leases);
  }

  private catchUpIfBehind(lease: TopicLease): void {
    if ([...lease.subscriptions].some((s) => s.next <= lease.head)) this.events.behind(lease);
  }

  /**
   * Sends owners one checksum per shard; an owner lists the shard's topics and heads only if its own checksum differs.
   */
  private async compareHeads(leases: TopicLease[]): Promise<void> {
    const byShard = new Map<number, TopicLease[]>();
    for (const lease of leases) {
      const ofShard = byShard.get(lease.shard);
      if (ofShard) ofShard.push(lease);
      else byShard.set(lease.shard, [lease]);
    }
    const byOwner = new Map<string, [shard: number, sum: number][]>();
    for (const [shard, ofShard] of byShard) {
      const owner = this.route.ownerOf(shard);
      if (!owner) {
        this.route.locateOwner(shard);
        continue;
      }
      const sums = byOwner.get(owner) ?? [];
      sums.push([shard, ofShard.reduce((sum, lease) => (sum + positionChecksum(lease.mark, lease.head)) | 0, 0)]);
      byOwner.set(owner, sums);
    }
    await Promise.all([...byOwner].map(([owner, sums]) => this.requestHeads(owner, sums, byShard)));
  }

  private async requestHeads(
    owner: string,
    sums: [shard: number, sum: number][],
    byShard: Map<number, TopicLease[]>,
  ): Promise<void> {
    try {
      const answer = await this.kernel.callAnyPath<HeadsAnswer>(owner, 'Heads', { sums });
      for (const shard of answer.elsewhere) this.route.locateOwner(shard);
      for (const [shard, heads] of answer.heads) this.applyHeads(byShard.get(shard) ?? [], new Map(heads));
    } catch {
      for (const [shard] of sums) this.route.locateOwner(shard);
    }
  }

  /** Applies the owner's heads for a shard whose checksum differs. */
  private applyHeads(leases: TopicLease[], heads: Map<string, number>): void {
    this.kernel.incrementCounter('heads.differ');
    for (const lease of leases) {
      const head = heads.get(lease.topic);
      // The owner doesn't know of this relay's interest, so it is reported again.
      if (head === undefined) {
        if (lease.subscriptions.size) this.scheduleReport(lease);
        continue;
      }
      lease.head = Math.max(lease.head, head);
      this.catchUpIfBehind(lease);
    }
    // The owner assumes interest in these topics, but they have no subscribers here.
    for (const topic of heads.keys()) if (!this.topics.get(topic)?.subscriptions.size) this.dirty.add(topic);
  }

  /** The leases, for operators. */
  listLeases(): { topic: string; shard: number; subs: number; gen: string; seen: number }[] {
    return this.all().map((lease) => ({
      topic: lease.topic,
      shard: lease.shard,
      subs: lease.subscriptions.size,
      gen: lease.generation,
      seen: lease.head,
    }));
  }
}
