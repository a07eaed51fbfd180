/** Interest leases of a relay's clients by topic, and what the owners of the topics are told of them. */
import { SESSION, hash, shardOf, type Kernel } from '@harecross/kernel';
import { interestRow, positionChecksum, type InterestItem } from './interest-table.js';
import type { HeadsAnswer } from '../ownership/topic-history.js';
import type { Route } from '../routing/route.js';
import type { Session, Subscription } from '../sessions/session.js';

/** The leases of all our subscribers on one topic; the owner learns only the latest deadline. */
export interface TopicLease {
  topic: string;
  shard: number;
  /** Hash of the topic, for the sum by which relay and owner compare what they know. */
  mark: number;
  subscriptions: Set<Subscription>;
  /** Frames of the owner must carry it; a new one is issued when the first subscriber comes. */
  generation: string;
  /** The deadline that the owner was last told; negative when it has to be told again. */
  toldUntil: number;
  /** The highest offset known to be there. */
  head: number;
  /** Whether the owner's history is being read, and whether it is to be read once more after that. */
  reading: boolean;
  readAgain: boolean;
}

/** What the lease table needs of its surroundings. */
interface LeaseEvents {
  /** Some subscriber of the topic is owed what is known to be there. */
  behind(lease: TopicLease): void;
  /** A subscription's lease has ended: nothing more may be sent for it. */
  ended(subscription: Subscription): void;
}

/**
 * The relay's side of interest leases (the paper's design). A subscription's lease is renewed by this node from traffic
 * on its session; it ends at its deadline, on unsubscribe, or with the session. Owners are told one deadline a topic,
 * and compare heads with us so that a lost last frame is found.
 * @example
 * const lease = leases.add(subscription);
 */
export class LeaseTable {
  private topics = new Map<string, TopicLease>();
  /** Topics whose deadline may differ from what the owner was told. */
  private dirty = new Set<string>();
  /** Tells our generations from those of an earlier process here. */
  private readonly generationBase: string;
  /** Rises with every deadline told, so that an owner knows late ones. */
  private revision = 0;

  constructor(
    private kernel: Kernel,
    private route: Route,
    /** Numbers are shared with sessions and subscriptions. */
    private nextNumber: () => number,
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

  /** Takes a new subscription in. The owner is told with the next `tellOwners`. */
  add(subscription: Subscription): TopicLease {
    const lease = this.leaseOf(subscription.topic);
    lease.subscriptions.add(subscription);
    this.dirty.add(subscription.topic);
    return lease;
  }

  /** From no lease to one, a generation is issued; frames must carry it. */
  private leaseOf(topic: string): TopicLease {
    const known = this.topics.get(topic);
    if (known && known.subscriptions.size > 0) return known;
    const generation = `${this.generationBase}.${this.nextNumber().toString(36)}`;
    if (known) {
      known.generation = generation;
      known.toldUntil = 0;
      return known;
    }
    const lease: TopicLease = {
      topic,
      shard: shardOf(topic),
      mark: hash(topic),
      subscriptions: new Set(),
      generation,
      toldUntil: 0,
      head: 0,
      reading: false,
      readAgain: false,
    };
    this.topics.set(topic, lease);
    return lease;
  }

  /** Renews the leases of a session that gave a sign of life, those that are due. */
  renew(session: Session, now: number): void {
    for (const subscription of session.subscriptions.values()) {
      if (now - subscription.renewedAt < SESSION.leaseRenewMs) continue;
      subscription.renewedAt = now;
      subscription.expiresAt = now + SESSION.leaseTtlMs;
      this.dirty.add(subscription.topic);
    }
  }

  /** The one function that ends a lease: what waits for it goes with it. */
  end(subscription: Subscription): void {
    if (!subscription.live) return;
    subscription.live = false;
    subscription.session.subscriptions.delete(subscription.topic);
    this.topics.get(subscription.topic)?.subscriptions.delete(subscription);
    this.events.ended(subscription);
    this.dirty.add(subscription.topic);
  }

  /** How many listen on a topic by what their sessions said lately. */
  count(topic: string): number {
    const now = this.kernel.host.clock.now();
    let listening = 0;
    for (const { expiresAt, session } of this.topics.get(topic)?.subscriptions ?? [])
      if (expiresAt > now && now - session.heardAt <= SESSION.countFreshMs) listening++;
    return listening;
  }

  /** Tells owners the deadlines that changed. */
  async tellOwners(): Promise<void> {
    const byOwner = new Map<string, InterestItem[]>();
    for (const topic of Array.from(this.dirty)) {
      const lease = this.topics.get(topic);
      if (!lease) {
        this.tellEnded(topic, byOwner);
        continue;
      }
      const until = Math.max(0, ...[...lease.subscriptions].map((s) => s.expiresAt));
      if (until === lease.toldUntil) {
        this.dirty.delete(topic);
        if (!lease.subscriptions.size) this.topics.delete(topic);
        continue;
      }
      const owner = this.route.owner(lease.shard);
      if (!owner) continue;
      this.dirty.delete(topic);
      lease.toldUntil = until;
      this.tell(byOwner, owner, topic, until, lease.generation);
      if (!lease.subscriptions.size && !lease.reading) this.topics.delete(topic);
    }
    await Promise.all([...byOwner].map(([owner, items]) => this.sendInterest(owner, items)));
  }

  private tell(byOwner: Map<string, InterestItem[]>, owner: string, topic: string, until: number, gen: string): void {
    const items = byOwner.get(owner) ?? [];
    items.push({ topic, rev: ++this.revision, expiresAt: until, gen });
    byOwner.set(owner, items);
  }

  /** A topic without any lease: its interest has ended, in case the owner believes otherwise. */
  private tellEnded(topic: string, byOwner: Map<string, InterestItem[]>): void {
    this.dirty.delete(topic);
    const owner = this.route.owner(shardOf(topic));
    if (owner) this.tell(byOwner, owner, topic, 0, '');
  }

  private async sendInterest(owner: string, items: InterestItem[]): Promise<void> {
    this.kernel.incrementCounter('interest.said', items.length);
    try {
      await this.kernel.callAnyPath(owner, 'Interest', { items: items.map(interestRow) });
    } catch {
      for (const { topic } of items) {
        const lease = this.topics.get(topic);
        if (lease) this.tellAnew(lease);
      }
    }
  }

  private tellAnew(lease: TopicLease): void {
    lease.toldUntil = -1;
    this.dirty.add(lease.topic);
  }

  /** A shard has another owner: it knows nothing of our interest, and we nothing of what it has. */
  ownerChanged(shard: number): void {
    const mine = this.all().filter((lease) => lease.shard === shard && lease.subscriptions.size);
    if (!mine.length) return;
    for (const lease of mine) this.tellAnew(lease);
    void this.tellOwners();
    void this.compareHeads(mine);
  }

  /** Compares with the owners what is known to be there, of all topics that somebody listens to. */
  async checkHeads(): Promise<void> {
    const mine = this.all().filter((lease) => lease.subscriptions.size);
    // What we know to be there and could not read is read again: the owner's sum will not differ from ours.
    for (const lease of mine) this.catchUpIfBehind(lease);
    await this.compareHeads(mine);
  }

  private catchUpIfBehind(lease: TopicLease): void {
    if ([...lease.subscriptions].some((s) => s.next <= lease.head)) this.events.behind(lease);
  }

  /** One sum a shard goes to its owner; only where the owner's differs are topics told one by one. */
  private async compareHeads(leases: TopicLease[]): Promise<void> {
    const byShard = new Map<number, TopicLease[]>();
    for (const lease of leases) {
      const ofShard = byShard.get(lease.shard);
      if (ofShard) ofShard.push(lease);
      else byShard.set(lease.shard, [lease]);
    }
    const byOwner = new Map<string, [shard: number, sum: number][]>();
    for (const [shard, ofShard] of byShard) {
      const owner = this.route.owner(shard);
      if (!owner) {
        this.route.seek(shard);
        continue;
      }
      const sums = byOwner.get(owner) ?? [];
      sums.push([shard, ofShard.reduce((sum, lease) => (sum + positionChecksum(lease.mark, lease.head)) | 0, 0)]);
      byOwner.set(owner, sums);
    }
    await Promise.all([...byOwner].map(([owner, sums]) => this.askHeads(owner, sums, byShard)));
  }

  private async askHeads(
    owner: string,
    sums: [shard: number, sum: number][],
    byShard: Map<number, TopicLease[]>,
  ): Promise<void> {
    try {
      const answer = await this.kernel.callAnyPath<HeadsAnswer>(owner, 'Heads', { sums });
      for (const shard of answer.elsewhere) this.route.seek(shard);
      for (const [shard, heads] of answer.heads) this.takeHeads(byShard.get(shard) ?? [], new Map(heads));
    } catch {
      for (const [shard] of sums) this.route.seek(shard);
    }
  }

  /** The owner's heads of a shard in which it differs from us. */
  private takeHeads(leases: TopicLease[], heads: Map<string, number>): void {
    this.kernel.incrementCounter('heads.differ');
    for (const lease of leases) {
      const head = heads.get(lease.topic);
      // The owner does not know that we listen: it is told again.
      if (head === undefined) {
        if (lease.subscriptions.size) this.tellAnew(lease);
        continue;
      }
      lease.head = Math.max(lease.head, head);
      this.catchUpIfBehind(lease);
    }
    // It believes that we listen where we do not.
    for (const topic of heads.keys()) if (!this.topics.get(topic)?.subscriptions.size) this.dirty.add(topic);
  }

  /** The leases as an operator sees them. */
  table(): { topic: string; shard: number; subs: number; gen: string; seen: number }[] {
    return this.all().map((lease) => ({
      topic: lease.topic,
      shard: lease.shard,
      subs: lease.subscriptions.size,
      gen: lease.generation,
      seen: lease.head,
    }));
  }
}
