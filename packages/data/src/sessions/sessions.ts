/** Client sessions of a relay: opening, closing, subscriptions, keepalive, and moving clients to other relays. */
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
import type { ShardRouter } from '../routing/shard-router.js';
import { SessionHomes } from './session-homes.js';
import { Session, type CloseReason, type Subscription } from './session.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    sessions: Sessions;
  }
}

/** Interval of the checks for expired leases, silent sessions and the node's own read lease (ms). */
const PERIODIC_CHECK_MS = 200;

/** An owner's answer to Open. Wire format. */
interface OpenAnswer {
  /** Offset of the last message. */
  head: number;
  /** Offset of the first message still in the history. */
  first: number;
  /** First offset of the topic's present incarnation. */
  since: number;
}

/**
 * The sessions of a relay's clients. A client has one session in the whole fleet. Each subscription has an interest
 * lease, renewed by any activity of its session. Leases end with the session, and frames queued for them are dropped.
 * @example
 * const id = sessions.attach('phone-7', 2, sink);
 * await sessions.subscribe(id, 'feed/7', 41);
 */
export class Sessions {
  private byId = new Map<string, Session>();
  private byConsumer = new Map<string, Session>();
  private lastId = 0;
  private leases: LeaseTable;
  private delivery: Delivery;
  private homes: SessionHomes;
  private relocation: Relocation;
  /** When this node last held the read lease, without which it must not serve by its configuration. */
  private lastReadLeaseAt: number;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private route: ShardRouter,
  ) {
    this.lastReadLeaseAt = kernel.host.clock.now();
    this.leases = new LeaseTable(kernel, route, () => this.nextId(), {
      behind: (lease) => this.delivery.catchUp(lease),
      ended: (subscription) => this.delivery.dropQueued(subscription),
    });
    this.delivery = new Delivery(kernel, register, route, this.leases, (session) => this.close(session, 'saturated'));
    this.homes = new SessionHomes(kernel, membership);
    this.relocation = new Relocation(kernel, membership, (session, frame) => this.delivery.send(session, frame));
    this.registerPeerHandlers();
    this.startPeriodicTasks();
    this.subscribeToEvents();
    kernel.onStop(() => this.drain());
  }

  private nextId(): number {
    return ++this.lastId;
  }

  private registerPeerHandlers(): void {
    const { kernel } = this;
    kernel.on(
      'Fan',
      (request: { frames: FanRow[] }) => {
        for (const row of request.frames) this.delivery.receive(readFanRow(row));
        return true;
      },
      true,
    );
    kernel.on('CountHolds', (request: { topic: string }) => this.leases.count(request.topic));
    kernel.on('Home', (request: { conns: { consumer: string; conn: string; age: number }[] }, context) =>
      this.homes.receiveNotices(request.conns, context),
    );
    kernel.on('Replace', (request: { conn: string }) => {
      const session = this.byId.get(request.conn);
      if (session) this.close(session, 'replaced');
      return true;
    });
  }

  private startPeriodicTasks(): void {
    const { kernel } = this;
    const { clock, random } = kernel.host;
    kernel.addSubscription(runPeriodically(clock, PERIODIC_CHECK_MS, random, () => this.runPeriodicChecks()));
    kernel.addSubscription(runPeriodically(clock, SESSION.headsMs, random, () => this.leases.checkHeads()));
    kernel.addSubscription(
      runPeriodically(clock, SESSION.homeRenewMs, random, async () => this.homes.notifyHomes(this.byId.values())),
    );
  }

  private subscribeToEvents(): void {
    const { kernel, register } = this;
    kernel.addSubscription(
      this.membership.memberStateChanged$.subscribe((member) => {
        if (member.role === 'relay') this.homes.relaysChanged();
      }),
    );
    // Clients may have sent probes while this process's event loop was stalled, so the stall doesn't count as their
    // silence. Lease deadlines are not extended.
    kernel.addSubscription(
      kernel.loopResumed$.subscribe((ms) => {
        for (const session of this.byId.values()) session.lastActivityAt += ms;
      }),
    );
    kernel.addSubscription(this.route.ownerChanged$.subscribe((shard) => this.leases.ownerChanged(shard)));
    kernel.addSubscription(register.value$.subscribe(() => this.endSubscriptionsToRemovedTopics()));
    kernel.addSubscription(
      register.value$
        .pipe(
          map((value) => isInPlannedRestart(value, kernel.self)),
          distinctUntilChanged(),
        )
        .subscribe((inPlannedRestart) => {
          if (inPlannedRestart) this.relocation.begin(this.byId.values(), SESSION.plannedDrainSpreadMs);
          else this.relocation.end();
        }),
    );
  }

  /** Number of open sessions. */
  get size(): number {
    return this.byId.size;
  }

  get(id: string): Session | undefined {
    return this.byId.get(id);
  }

  /** Opens a session and returns its id. Throws `overloaded` when the relay has reached its session limit. */
  attach(consumer: string, pingS: number | undefined, sink: Sink): string {
    const { clock } = this.kernel.host;
    if (this.byId.size >= SESSION.connectionLimit) throw this.overloaded('Attach');
    // A client may ask for a longer ping interval, and the silence timeout follows it. It is still told at most the
    // default, because listener counts leave out sessions that are silent for longer.
    const pingSeconds = pingS ?? SESSION.pingS;
    const id = `${this.kernel.self}/${this.kernel.instanceId}/${this.nextId()}`;
    const session = new Session(id, consumer, pingSeconds * 1000, sink, clock.now());
    const previous = this.byConsumer.get(consumer);
    if (previous) this.close(previous, 'replaced');
    this.byId.set(id, session);
    this.byConsumer.set(consumer, session);
    this.membership.updateOwnState({ weight: this.byId.size });
    this.kernel.incrementCounter('conn.open');
    this.delivery.send(session, { t: 'ATTACHED', conn: id, pingS: Math.min(pingSeconds, SESSION.pingS) });
    this.homes.notifyHomes([session]);
    this.relocation.sessionOpened(session);
    return id;
  }

  private overloaded(step: string): HarecrossError {
    const retryAfterMs = jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
    return new HarecrossError({ tag: 'overloaded', step, peer: this.kernel.self, retryAfterMs });
  }

  /**
   * Closes a session; every way to end one goes through here. Its leases end at once and its queued frames are dropped.
   */
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

  /** Handles the end of a client's stream. */
  gone(id: string): void {
    const session = this.byId.get(id);
    if (session) this.close(session, 'gone');
  }

  /** Handles a client's stream that accepts data again. */
  drained(id: string): void {
    const session = this.byId.get(id);
    if (session) this.delivery.drained(session);
  }

  /** Like `recordActivity`, but throws `unknown_conn` when the session isn't open. */
  recordActivityOrThrow(id: string, step: string): Session {
    const session = this.recordActivity(id);
    if (!session) throw new HarecrossError({ tag: 'unknown_conn', step, peer: this.kernel.self });
    return session;
  }

  /** Records activity of a session, which renews its leases, and returns the session; undefined when it isn't open. */
  recordActivity(id: string): Session | undefined {
    const session = this.byId.get(id);
    if (!session || session.state !== 'open') return undefined;
    const now = this.kernel.host.clock.now();
    session.lastActivityAt = now;
    this.leases.renew(session, now);
    return session;
  }

  /**
   * Subscribes a session to a topic, starting after the cursor or, without one, after the topic's head. A repeated
   * call returns the existing subscription with its original start, because frames from there on may still be in
   * flight.
   */
  async subscribe(id: string, topic: string, cursor: number | undefined): Promise<{ sub: string; next: number }> {
    const session = this.recordActivityOrThrow(id, 'Subscribe');
    const existing = session.subscriptions.get(topic);
    if (existing) {
      await existing.opened;
      return { sub: existing.id, next: existing.first };
    }
    const limit = this.register.value?.config.limits?.subscriptionsPerConn ?? SESSION.subscriptionsPerConnectionLimit;
    if (session.subscriptions.size >= limit) throw this.overloaded('Subscribe');
    const family = this.register.value && familyOf(this.register.value.config, topic);
    if (!family) throw this.unknownTopicError(topic);
    const subscription = this.createSubscription(session, topic);
    session.subscriptions.set(topic, subscription);
    const lease = this.leases.add(subscription);
    void this.leases.reportToOwners();
    subscription.opened = this.open(subscription, lease, cursor, family.patienceMs);
    await subscription.opened;
    return { sub: subscription.id, next: subscription.first };
  }

  private createSubscription(session: Session, topic: string): Subscription {
    const now = this.kernel.host.clock.now();
    return {
      id: `${session.id.slice(session.id.lastIndexOf('/') + 1)}.${this.nextId()}`,
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

  private unknownTopicError(topic: string): HarecrossError {
    return new HarecrossError({ tag: 'unknown_topic', step: 'Subscribe', peer: this.kernel.self, topic });
  }

  /** Asks the topic's owner where the subscription starts; ends the subscription on failure. */
  private async open(
    subscription: Subscription,
    lease: TopicLease,
    cursor: number | undefined,
    patienceMs: number,
  ): Promise<void> {
    try {
      const { head, first, since } = await this.requestTopicBounds(subscription.topic, cursor, patienceMs);
      const next = cursor === undefined ? head + 1 : Math.max(cursor + 1, since);
      if (next < first)
        throw new HarecrossError({ tag: 'cursor_expired', step: 'Subscribe', peer: this.kernel.self, first, head });
      if (!subscription.live) throw this.endedWhileOpeningError(subscription.topic);
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
   * Asks the topic's owner for the topic's bounds. The owner has to confirm the head with a majority of the copies
   * when the subscription starts there, and when the cursor seems to be ahead of it: an owner that has been replaced
   * without noticing would otherwise answer with an outdated head.
   */
  private async requestTopicBounds(topic: string, cursor: number | undefined, patienceMs: number): Promise<OpenAnswer> {
    const callOwner = (confirm: boolean): Promise<OpenAnswer> =>
      this.route.callOwner<OpenAnswer>(topic, 'Open', () => ({ topic, confirm }), patienceMs);
    const answer = await callOwner(cursor === undefined);
    if (cursor === undefined || cursor <= answer.head) return answer;
    const confirmed = await callOwner(true);
    if (cursor <= confirmed.head) return confirmed;
    throw new HarecrossError({ tag: 'cursor_ahead', step: 'Subscribe', peer: this.kernel.self, head: confirmed.head });
  }

  /**
   * The error for a subscription that ended while it was being opened: its topic's family was removed from the
   * configuration, its session closed, or the client unsubscribed.
   */
  private endedWhileOpeningError(topic: string): HarecrossError {
    const removed = this.register.value !== undefined && !familyOf(this.register.value.config, topic);
    if (removed) return this.unknownTopicError(topic);
    return new HarecrossError({ tag: 'unknown_conn', step: 'Subscribe', peer: this.kernel.self });
  }

  /** Ends a subscription; returns whether it existed. */
  unsubscribe(id: string, topic: string): boolean {
    const subscription = this.recordActivityOrThrow(id, 'Unsubscribe').subscriptions.get(topic);
    if (!subscription) return false;
    this.delivery.endSubscription(subscription, 'unsubscribed');
    return true;
  }

  private async runPeriodicChecks(): Promise<void> {
    const now = this.kernel.host.clock.now();
    if (this.register.hasReadLease()) this.lastReadLeaseAt = now;
    else if (now - this.lastReadLeaseAt > SESSION.readLeaseLostMs) this.closeAllAfterReadLeaseLoss();
    this.homes.notifyChangedHomes(this.byId.values());
    for (const session of Array.from(this.byId.values())) this.endExpired(session, now);
    await this.leases.reportToOwners();
  }

  /**
   * Closes all sessions: without the read lease no message reaches clients through this relay, and others can serve
   * them.
   */
  private closeAllAfterReadLeaseLoss(): void {
    if (!this.byId.size) return;
    this.kernel.host.log.warn('read lease lost for too long; closing all client sessions', { conns: this.byId.size });
    for (const session of Array.from(this.byId.values())) this.close(session, 'not_ready');
  }

  /** Closes a session that has been silent for too long, and ends its leases that are past their deadline. */
  private endExpired(session: Session, now: number): void {
    if (now - session.lastActivityAt > SESSION.missedPingCount * session.pingMs) {
      this.close(session, 'silent');
      return;
    }
    for (const subscription of Array.from(session.subscriptions.values()))
      if (subscription.expiresAt <= now) this.delivery.endSubscription(subscription, 'hold_ended');
  }

  /** Ends subscriptions to topics that match no family of the current configuration. */
  private endSubscriptionsToRemovedTopics(): void {
    const value = this.register.value;
    if (!value) return;
    for (const lease of this.leases.all()) {
      if (familyOf(value.config, lease.topic)) continue;
      for (const subscription of Array.from(lease.subscriptions))
        this.delivery.endSubscription(subscription, 'topic_removed');
    }
  }

  /** Asks all clients to move to other relays, spread over time, and waits for them before closing what is left. */
  private async drain(): Promise<void> {
    const { clock } = this.kernel.host;
    this.relocation.begin(this.byId.values(), SESSION.drainSpreadMs);
    // The platform keeps routing new clients here until its readiness polls have seen that this relay is stopping.
    const deadline = clock.now() + SESSION.drainMs;
    while (clock.now() < deadline) await sleep(clock, 50);
    for (const session of Array.from(this.byId.values())) {
      this.delivery.flush(session);
      this.close(session, 'stopping');
    }
    await this.leases.reportToOwners().catch((e) => toErrorDetails(e, 'Interest', this.kernel.self));
  }

  /** Buffered bytes of the session with the fullest buffer, for each lane. */
  queueInfos(): QueueInfo[] {
    return this.delivery.queueInfos(this.byId.values());
  }

  /** The leases by topic, for operators. */
  listLeases(): ReturnType<LeaseTable['listLeases']> {
    return this.leases.listLeases();
  }
}

registerPlugin({
  name: 'sessions',
  needs: ['membership', 'register', 'route'],
  setup: (k) => new Sessions(k, k.use('membership'), k.use('register'), k.use('route')),
});
