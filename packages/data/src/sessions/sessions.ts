/** The relay's sessions: opening and closing them, subscriptions, signs of life, and sending clients elsewhere. */
import { isInPlannedRestart, type MembershipTable, type ConsensusRegister } from '@harecross/control';
import {
  REQUEST,
  SESSION,
  HarecrossError,
  toErrorDetails,
  runPeriodically,
  registerPlugin,
  jitteredRetryMs,
  sleep,
  type QueueInfo,
  type Kernel,
} from '@harecross/kernel';
import { familyOf } from '@harecross/schema';
import { distinctUntilChanged, map } from 'rxjs';
import { Delivery } from './delivery.js';
import { readFanRow, type FanRow } from '../interest/interest-table.js';
import { LeaseTable, type TopicLease } from '../interest/lease-table.js';
import type { Sink } from './outgoing.js';
import { Relocation } from './relocation.js';
import type { Route } from '../routing/route.js';
import { SessionHomes } from './session-homes.js';
import { Session, type CloseReason, type Subscription } from './session.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    sessions: Sessions;
  }
}

/** Leases, silent sessions and our own standing are looked at this often (ms). */
const TICK_MS = 200;

/**
 * What an owner answers to Open: its head, the first offset in its history, and the topic's first offset since it is
 * there.
 */
interface OpenAnswer {
  head: number;
  first: number;
  since: number;
}

/**
 * The sessions of a relay's clients. A client has one session in the fleet, and a subscription one lease, renewed by
 * any sign of life of the session; leases end with the session, and what waits for them goes too.
 * @example
 * const session = sessions.attach('phone-7', 2, sink);
 * await sessions.subscribe(session, 'feed/7', 41);
 */
export class Sessions {
  private byId = new Map<string, Session>();
  private byConsumer = new Map<string, Session>();
  private lastNumber = 0;
  private leases: LeaseTable;
  private delivery: Delivery;
  private homes: SessionHomes;
  private relocation: Relocation;
  /** When we last could serve by our configuration. */
  private freshAt: number;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private route: Route,
  ) {
    this.freshAt = kernel.host.clock.now();
    this.leases = new LeaseTable(kernel, route, () => this.nextNumber(), {
      behind: (lease) => this.delivery.catchUp(lease),
      ended: (subscription) => this.delivery.drop(subscription),
    });
    this.delivery = new Delivery(kernel, register, route, this.leases, (session) => this.close(session, 'saturated'));
    this.homes = new SessionHomes(kernel, membership);
    this.relocation = new Relocation(kernel, membership, (session, frame) => this.delivery.send(session, frame));
    this.answerPeers();
    this.beginLoops();
    this.watch();
    kernel.onStop(() => this.drain());
  }

  private nextNumber(): number {
    return ++this.lastNumber;
  }

  private answerPeers(): void {
    const { kernel } = this;
    kernel.on(
      'Fan',
      (b: { frames: FanRow[] }) => {
        for (const row of b.frames) this.delivery.take(readFanRow(row));
        return true;
      },
      true,
    );
    kernel.on('CountHolds', (b: { topic: string }) => this.leases.count(b.topic));
    kernel.on('Home', (b: { conns: { consumer: string; conn: string; age: number }[] }, from) =>
      this.homes.hear(b.conns, from),
    );
    kernel.on('Replace', (b: { conn: string }) => {
      const session = this.byId.get(b.conn);
      if (session) this.close(session, 'replaced');
      return true;
    });
  }

  private beginLoops(): void {
    const { kernel } = this;
    const { clock, random } = kernel.host;
    kernel.addSubscription(runPeriodically(clock, TICK_MS, random, () => this.tick()));
    kernel.addSubscription(runPeriodically(clock, SESSION.headsMs, random, () => this.leases.checkHeads()));
    kernel.addSubscription(
      runPeriodically(clock, SESSION.homeRenewMs, random, async () => this.homes.tell(this.byId.values())),
    );
  }

  private watch(): void {
    const { kernel, register: agreed } = this;
    kernel.addSubscription(
      this.membership.memberStateChanged$.subscribe((member) => {
        if (member.role === 'relay') this.homes.relaysChanged();
      }),
    );
    // While we slept, clients may have probed: the silence was ours, not theirs. Deadlines of leases stay.
    kernel.addSubscription(
      kernel.loopResumed$.subscribe((ms) => {
        for (const session of this.byId.values()) session.heardAt += ms;
      }),
    );
    kernel.addSubscription(this.route.moved$.subscribe((shard) => this.leases.ownerChanged(shard)));
    kernel.addSubscription(agreed.value$.subscribe(() => this.endRemovedTopics()));
    kernel.addSubscription(
      agreed.value$
        .pipe(
          map((value) => isInPlannedRestart(value, kernel.self)),
          distinctUntilChanged(),
        )
        .subscribe((away) => {
          if (away) this.relocation.begin(this.byId.values(), SESSION.plannedDrainSpreadMs);
          else this.relocation.end();
        }),
    );
  }

  /** How many sessions there are. */
  get size(): number {
    return this.byId.size;
  }

  get(id: string): Session | undefined {
    return this.byId.get(id);
  }

  /** Opens a session and gives its id. Throws `overloaded` beyond the number that a relay may have. */
  attach(consumer: string, pingS: number | undefined, sink: Sink): string {
    const { clock } = this.kernel.host;
    if (this.byId.size >= SESSION.connectionLimit) throw this.overloaded('Attach');
    // The client may ask for longer silence, but is told the ping by which it is counted.
    const ping = pingS ?? SESSION.pingS;
    const id = `${this.kernel.self}/${this.kernel.instanceId}/${this.nextNumber()}`;
    const session = new Session(id, consumer, ping * 1000, sink, clock.now());
    const older = this.byConsumer.get(consumer);
    if (older) this.close(older, 'replaced');
    this.byId.set(id, session);
    this.byConsumer.set(consumer, session);
    this.membership.updateOwnState({ weight: this.byId.size });
    this.kernel.incrementCounter('conn.open');
    this.delivery.send(session, { t: 'ATTACHED', conn: id, pingS: Math.min(ping, SESSION.pingS) });
    this.homes.tell([session]);
    this.relocation.opened(session);
    return id;
  }

  private overloaded(step: string): HarecrossError {
    const retryAfterMs = jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
    return new HarecrossError({ tag: 'overloaded', step, peer: this.kernel.self, retryAfterMs });
  }

  /** The one function that ends a session. Its leases end at once and what waited for them goes too. */
  close(session: Session, reason: CloseReason): void {
    if (session.state === 'closed') return;
    session.state = 'closed';
    this.kernel.incrementCounter(`conn.closed.${reason}`);
    session.cancelFlush();
    for (const subscription of Array.from(session.subscriptions.values())) this.leases.end(subscription);
    session.queue = [];
    this.byId.delete(session.id);
    if (this.byConsumer.get(session.consumer) === session) this.byConsumer.delete(session.consumer);
    this.membership.updateOwnState({ weight: this.byId.size });
    if (reason !== 'gone') {
      const retryAfterMs = reason === 'replaced' ? 0 : jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs / 2);
      session.sink.write([{ t: 'CLOSED', reason, retryAfterMs }]);
    }
    session.sink.close();
  }

  /** The client's stream has ended. */
  gone(id: string): void {
    const session = this.byId.get(id);
    if (session) this.close(session, 'gone');
  }

  /** The client's stream takes more. */
  drained(id: string): void {
    const session = this.byId.get(id);
    if (session) this.delivery.drained(session);
  }

  /** The session of an id; also the sign of life that renews its leases. Throws `unknown_conn`. */
  recordActivityOrThrow(id: string, step: string): Session {
    const session = this.recordActivity(id);
    if (!session) throw new HarecrossError({ tag: 'unknown_conn', step, peer: this.kernel.self });
    return session;
  }

  /** A sign of life of a session, if it is there. */
  recordActivity(id: string): Session | undefined {
    const session = this.byId.get(id);
    if (!session || session.state !== 'open') return undefined;
    const now = this.kernel.host.clock.now();
    session.heardAt = now;
    this.leases.renew(session, now);
    return session;
  }

  /**
   * Subscribes a session to a topic, behind its cursor or else behind the head. Asked again, it is the same
   * subscription with the same beginning: frames behind that may still be on their way.
   */
  async subscribe(id: string, topic: string, cursor: number | undefined): Promise<{ sub: string; next: number }> {
    const session = this.recordActivityOrThrow(id, 'Subscribe');
    const known = session.subscriptions.get(topic);
    if (known) {
      await known.opened;
      return { sub: known.id, next: known.first };
    }
    const most = this.register.value?.config.limits?.subscriptionsPerConn ?? SESSION.subscriptionsPerConnectionLimit;
    if (session.subscriptions.size >= most) throw this.overloaded('Subscribe');
    const family = this.register.value && familyOf(this.register.value.config, topic);
    if (!family) throw this.unknownTopic(topic);
    const subscription = this.newSubscription(session, topic);
    session.subscriptions.set(topic, subscription);
    const lease = this.leases.add(subscription);
    void this.leases.tellOwners();
    subscription.opened = this.open(subscription, lease, cursor, family.patienceMs);
    await subscription.opened;
    return { sub: subscription.id, next: subscription.first };
  }

  private newSubscription(session: Session, topic: string): Subscription {
    const now = this.kernel.host.clock.now();
    return {
      id: `${session.id.slice(session.id.lastIndexOf('/') + 1)}.${this.nextNumber()}`,
      session,
      topic,
      next: Infinity,
      first: Infinity,
      opened: Promise.resolve(),
      expiresAt: now + SESSION.leaseTtlMs,
      renewedAt: now,
      live: true,
    };
  }

  private unknownTopic(topic: string): HarecrossError {
    return new HarecrossError({ tag: 'unknown_topic', step: 'Subscribe', peer: this.kernel.self, topic });
  }

  /** Finds out from the owner where a subscription begins; ends it when it can't. */
  private async open(
    subscription: Subscription,
    lease: TopicLease,
    cursor: number | undefined,
    patienceMs: number,
  ): Promise<void> {
    try {
      const { head, first, since } = await this.askOwner(subscription.topic, cursor, patienceMs);
      const next = cursor === undefined ? head + 1 : Math.max(cursor + 1, since);
      if (next < first)
        throw new HarecrossError({ tag: 'cursor_expired', step: 'Subscribe', peer: this.kernel.self, first, head });
      if (!subscription.live) throw this.whyEnded(subscription.topic);
      subscription.first = next;
      subscription.next = next;
      lease.head = Math.max(lease.head, head);
      if (next <= lease.head) this.delivery.catchUp(lease);
      this.kernel.incrementCounter('subscribe');
    } catch (e) {
      this.leases.end(subscription);
      throw e;
    }
  }

  /**
   * Asks the owner for its head. It confirms the head where a subscription begins there, and where a cursor seems to be
   * ahead of it.
   */
  private async askOwner(topic: string, cursor: number | undefined, patienceMs: number): Promise<OpenAnswer> {
    const ask = (confirm: boolean): Promise<OpenAnswer> =>
      this.route.atOwner<OpenAnswer>(topic, 'Open', () => ({ topic, confirm }), patienceMs);
    const answer = await ask(cursor === undefined);
    if (cursor === undefined || cursor <= answer.head) return answer;
    const confirmed = await ask(true);
    if (cursor <= confirmed.head) return confirmed;
    throw new HarecrossError({ tag: 'cursor_ahead', step: 'Subscribe', peer: this.kernel.self, head: confirmed.head });
  }

  /**
   * A subscription that ended while it was opened: its family went meanwhile, or its session, or the client left it.
   */
  private whyEnded(topic: string): HarecrossError {
    const removed = this.register.value !== undefined && !familyOf(this.register.value.config, topic);
    if (removed) return this.unknownTopic(topic);
    return new HarecrossError({ tag: 'unknown_conn', step: 'Subscribe', peer: this.kernel.self });
  }

  /** Ends a subscription; says whether there was one. */
  unsubscribe(id: string, topic: string): boolean {
    const subscription = this.recordActivityOrThrow(id, 'Unsubscribe').subscriptions.get(topic);
    if (!subscription) return false;
    this.delivery.leave(subscription, 'unsubscribed');
    return true;
  }

  private async tick(): Promise<void> {
    const now = this.kernel.host.clock.now();
    if (this.register.hasReadLease()) this.freshAt = now;
    else if (now - this.freshAt > SESSION.leaseLostMs) this.closeCutOff();
    this.homes.tellMoved(this.byId.values());
    for (const session of Array.from(this.byId.values())) this.endOverdue(session, now);
    await this.leases.tellOwners();
  }

  /** Cut off for long: nothing reaches our clients through us, and others may serve them. */
  private closeCutOff(): void {
    if (!this.byId.size) return;
    this.kernel.host.log.warn('cut off, conns are sent elsewhere', { conns: this.byId.size });
    for (const session of Array.from(this.byId.values())) this.close(session, 'not_ready');
  }

  /** Ends a silent session, and leases that are past their deadline. */
  private endOverdue(session: Session, now: number): void {
    if (now - session.heardAt > SESSION.silencePingCount * session.pingMs) {
      this.close(session, 'silent');
      return;
    }
    for (const subscription of Array.from(session.subscriptions.values()))
      if (subscription.expiresAt <= now) this.delivery.leave(subscription, 'hold_ended');
  }

  /** Ends subscriptions to topics that the configuration in force has no family for. */
  private endRemovedTopics(): void {
    const value = this.register.value;
    if (!value) return;
    for (const lease of this.leases.all()) {
      if (familyOf(value.config, lease.topic)) continue;
      for (const subscription of Array.from(lease.subscriptions)) this.delivery.leave(subscription, 'topic_removed');
    }
  }

  /** Sends everyone away with times to come back that are spread out, and waits a moment for them to go. */
  private async drain(): Promise<void> {
    const { clock } = this.kernel.host;
    this.relocation.begin(this.byId.values(), SESSION.drainSpreadMs);
    // New sessions still come until the callers' platform has seen that we leave.
    const until = clock.now() + SESSION.drainMs;
    while (clock.now() < until) await sleep(clock, 50);
    for (const session of Array.from(this.byId.values())) {
      this.delivery.flush(session);
      this.close(session, 'stopping');
    }
    await this.leases.tellOwners().catch((e) => toErrorDetails(e, 'Interest', this.kernel.self));
  }

  /** Bytes held for the session that has most of them, in each lane. */
  queueInfos(): QueueInfo[] {
    return this.delivery.queues(this.byId.values());
  }

  /** The leases by topic, as an operator sees them. */
  listLeases(): ReturnType<LeaseTable['table']> {
    return this.leases.table();
  }
}

registerPlugin({
  name: 'sessions',
  needs: ['membership', 'register', 'route'],
  setup: (k) => new Sessions(k, k.use('membership'), k.use('register'), k.use('route')),
});
