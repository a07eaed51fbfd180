/**
 * Delivery of messages to a relay's sessions: bounded send queues, the check before each send, and catch-up from the
 * owner's history.
 */
import { REQUEST, SESSION, type QueueInfo, type Kernel } from '@harecross/kernel';
import type { ConsensusRegister } from '@harecross/control';
import { familyOf, urgencyOf } from '@harecross/schema';
import type { FanFrame } from '../interest/interest-table.js';
import type { LeaseTable, TopicLease } from '../interest/lease-table.js';
import type { ControlFrame, Message, Outgoing } from './outgoing.js';
import type { HistoryAnswer } from '../ownership/topic-history.js';
import type { ShardRouter } from '../routing/shard-router.js';
import type { LeaveReason, QueuedFrame, Session, Subscription } from './session.js';

/** Pages of history read in one catch-up run; the next comparison of heads with the owner starts another run. */
const HISTORY_PAGE_LIMIT = 200;

/**
 * Delivers every message from a subscription's start on, exactly once and in order. Each subscription tracks the next
 * offset to deliver; what is missing after a gap, a lost frame or a change of owner is read from the owner's history.
 * A message is sent only with a live lease, the current lease generation and a valid read lease on the configuration.
 * @example
 * delivery.take({ topic: 'feed/7', gen, off: 41, sender: 'desk', seq: 7, body: 'hello' });
 */
export class Delivery {
  private peakStandardBytes = 0;
  private peakOversizedBytes = 0;

  constructor(
    private kernel: Kernel,
    private register: ConsensusRegister,
    private route: ShardRouter,
    private leases: LeaseTable,
    /** Called for a session whose client reads more slowly than its messages arrive; closes it. */
    private saturated: (session: Session) => void,
  ) {}

  /** Handles a frame sent by the topic's owner. */
  receive(frame: FanFrame): void {
    const lease = this.leases.get(frame.topic);
    if (!lease) return;
    lease.head = Math.max(lease.head, frame.off);
    if (lease.generation !== frame.gen) {
      this.kernel.incrementCounter('frame.old_generation');
      if (lease.subscriptions.size) this.catchUp(lease);
      return;
    }
    if (this.enqueueForSubscriptions(lease, frame)) this.catchUp(lease);
  }

  /**
   * Queues a message for each subscription that it is the next one for; returns whether any subscription has a gap
   * before it.
   */
  private enqueueForSubscriptions(
    lease: TopicLease,
    entry: { off: number; sender: string; seq: number; body: string },
    catchingUp = false,
  ): boolean {
    let gap = false;
    let message: Message | undefined;
    const flushMs = this.flushMs(lease.topic);
    for (const subscription of Array.from(lease.subscriptions)) {
      if (subscription.next < entry.off) gap = true;
      if (subscription.next !== entry.off) continue;
      const { session } = subscription;
      // Catch-up resumes once the queue has been flushed; see `flush`.
      if (catchingUp && session.standardBytes > SESSION.catchUpBytes) {
        this.scheduleFlush(session, 0);
        continue;
      }
      subscription.next++;
      message ??= {
        topic: lease.topic,
        sender: entry.sender,
        seq: entry.seq,
        offset: entry.off,
        body: entry.body,
        bytes: Buffer.byteLength(entry.body) + SESSION.frameOverheadBytes,
      };
      this.enqueue(session, {
        frame: { t: 'DELIVER', sub: subscription.id, msg: message },
        bytes: message.bytes,
        oversized: false,
        subscription,
        generation: lease.generation,
        flushMs,
      });
    }
    return gap;
  }

  /**
   * How long a frame may be held back for batching: a small share of the family's latency target, so that the target
   * can be met.
   */
  private flushMs(topic: string): number {
    const value = this.register.value;
    const family = value && familyOf(value.config, topic);
    if (!family) return SESSION.flushMs;
    const limit = urgencyOf(value.config, family) === 'urgent' ? SESSION.flushUrgentMs : SESSION.flushMs;
    return family.aimMs === undefined ? limit : Math.min(limit, family.aimMs * SESSION.flushShare);
  }

  /** Reads the owner's history from the lowest offset not yet delivered, with at most one reader per topic. */
  catchUp(lease: TopicLease): void {
    if (lease.reading) {
      lease.readAgain = true;
      return;
    }
    lease.reading = true;
    void this.readHistory(lease).finally(() => {
      lease.reading = false;
      if (!lease.readAgain) return;
      lease.readAgain = false;
      if (lease.subscriptions.size) this.catchUp(lease);
    });
  }

  private async readHistory(lease: TopicLease): Promise<void> {
    const { topic } = lease;
    for (let page = 0; page < HISTORY_PAGE_LIMIT; page++) {
      lease.readAgain = false;
      const behind = [...lease.subscriptions].filter((s) => s.next <= lease.head && hasCatchUpRoom(s.session));
      if (!behind.length) return;
      const from = Math.min(...behind.map((s) => s.next));
      let answer: HistoryAnswer;
      try {
        answer = await this.route.callOwner<HistoryAnswer>(
          topic,
          'History',
          () => ({ topic, from }),
          REQUEST.ownerAttemptMs * 2,
        );
      } catch {
        this.kernel.incrementCounter('pull.fail');
        return; // Retried after the next comparison of heads, within a second.
      }
      this.kernel.incrementCounter('pull');
      if (answer.tag === 'gone') return;
      lease.head = Math.max(lease.head, answer.head);
      for (const subscription of Array.from(lease.subscriptions)) {
        if (subscription.next < answer.since) subscription.next = answer.since;
        if (subscription.next < answer.first) this.endSubscription(subscription, 'cursor_expired');
      }
      if (!answer.entries.length) return;
      for (const entry of answer.entries) this.enqueueForSubscriptions(lease, entry, true);
    }
  }

  /** Ends a subscription and sends the reason to its client. */
  endSubscription(subscription: Subscription, reason: LeaveReason): void {
    if (!subscription.live) return;
    this.leases.end(subscription);
    this.send(subscription.session, { t: 'LEFT', sub: subscription.id, topic: subscription.topic, reason });
  }

  /** Queues a control frame, which is flushed as soon as an urgent message. */
  send(session: Session, frame: ControlFrame): void {
    this.enqueue(session, { frame, bytes: SESSION.frameOverheadBytes, oversized: false, flushMs: SESSION.flushUrgentMs });
  }

  private enqueue(session: Session, queued: QueuedFrame): void {
    if (session.state === 'closed') return;
    queued.oversized = queued.bytes > SESSION.oversizedFromBytes;
    const exceedsLimit = queued.oversized
      ? session.oversizedBytes + queued.bytes > SESSION.oversizedQueueBytes
      : session.standardBytes + queued.bytes > SESSION.standardQueueBytes;
    if (exceedsLimit) {
      // A saturated session is closed: its client attaches again with its cursor instead of getting a stream with gaps.
      this.saturated(session);
      return;
    }
    if (queued.oversized) session.oversizedBytes += queued.bytes;
    else session.standardBytes += queued.bytes;
    this.peakStandardBytes = Math.max(this.peakStandardBytes, session.standardBytes);
    this.peakOversizedBytes = Math.max(this.peakOversizedBytes, session.oversizedBytes);
    session.queue.push(queued);
    this.scheduleFlush(session, queued.flushMs);
  }

  /** Drops the queued frames of a subscription whose lease has ended. */
  dropQueued(subscription: Subscription): void {
    const { session } = subscription;
    const kept: QueuedFrame[] = [];
    for (const queued of session.queue) {
      if (queued.subscription === subscription) releaseBytes(session, queued);
      else kept.push(queued);
    }
    session.queue = kept;
  }

  private scheduleFlush(session: Session, ms: number): void {
    const { clock } = this.kernel.host;
    const at = clock.now() + ms;
    if (session.blocked || session.flushAt <= at) return;
    session.cancelFlush();
    session.flushAt = at;
    session.cancelFlush = clock.after(ms, () => {
      session.flushAt = Infinity;
      this.flush(session);
    });
  }

  /**
   * Writes the queued frames to the stream. Messages are dropped if their subscription's lease has ended, also because
   * no family of the configuration matches the topic any more, or if the topic's lease has a new generation. Without
   * the read lease the configuration may be outdated, so messages stay queued.
   */
  flush(session: Session): void {
    if (session.state === 'closed' || session.blocked || !session.queue.length) return;
    const now = this.kernel.host.clock.now();
    const hasReadLease = this.register.hasReadLease();
    const out: Outgoing[] = [];
    const kept: QueuedFrame[] = [];
    for (const queued of session.queue) {
      const { subscription } = queued;
      if (subscription) {
        if (!hasReadLease) {
          kept.push(queued);
          continue;
        }
        if (!this.maySend(subscription, queued.generation, now)) {
          this.kernel.incrementCounter('frame.lapsed');
          releaseBytes(session, queued);
          continue;
        }
        this.kernel.incrementCounter('deliver');
      }
      releaseBytes(session, queued);
      out.push(queued.frame);
      session.sent++;
    }
    session.queue = kept;
    if (kept.length) this.scheduleFlush(session, SESSION.flushMs);
    if (!out.length) return;
    if (session.sink.write(out)) this.resume(session);
    else session.blocked = true;
  }

  private maySend(subscription: Subscription, generation: string | undefined, now: number): boolean {
    return (
      subscription.live &&
      subscription.expiresAt > now &&
      this.leases.get(subscription.topic)?.generation === generation
    );
  }

  /** Handles a session's stream that accepts data again. */
  drained(session: Session): void {
    session.blocked = false;
    if (session.queue.length) this.flush(session);
    this.resume(session);
  }

  /** Resumes catch-up that was paused because the session's queue was too full. */
  private resume(session: Session): void {
    for (const subscription of session.subscriptions.values()) {
      const lease = this.leases.get(subscription.topic);
      if (lease && subscription.next <= lease.head) this.catchUp(lease);
    }
  }

  /** Buffered bytes of the session with the fullest buffer, for each lane. */
  queueInfos(sessions: Iterable<Session>): QueueInfo[] {
    const all = [...sessions];
    return [
      {
        name: 'conn',
        length: Math.max(0, ...all.map((s) => s.standardBytes)),
        most: this.peakStandardBytes,
        bound: SESSION.standardQueueBytes,
      },
      {
        name: 'conn.oversized',
        length: Math.max(0, ...all.map((s) => s.oversizedBytes)),
        most: this.peakOversizedBytes,
        bound: SESSION.oversizedQueueBytes,
      },
    ];
  }
}

/** Whether a session takes part in catch-up, which pauses at this limit so that it never fills the queue by itself. */
function hasCatchUpRoom(session: Session): boolean {
  return session.standardBytes <= SESSION.catchUpBytes && !session.blocked;
}

/** Subtracts a frame's bytes from its lane. */
function releaseBytes(session: Session, queued: QueuedFrame): void {
  if (queued.oversized) session.oversizedBytes -= queued.bytes;
  else session.standardBytes -= queued.bytes;
}
