/**
 * Delivery of messages to a relay's sessions: their bounded buffers, the final send, and catching up from the owner's
 * history.
 */
import { REQUEST, SESSION, type QueueInfo, type Kernel } from '@harecross/kernel';
import type { ConsensusRegister } from '@harecross/control';
import { familyOf, urgencyOf } from '@harecross/schema';
import type { FanFrame } from '../interest/interest-table.js';
import type { LeaseTable, TopicLease } from '../interest/lease-table.js';
import type { ControlFrame, Message, Outgoing } from './outgoing.js';
import type { HistoryAnswer } from '../ownership/topic-history.js';
import type { Route } from '../routing/route.js';
import type { LeaveReason, QueuedFrame, Session, Subscription } from './session.js';

/** Pages of history that one reader takes before it stops; the next heads begin another. */
const HISTORY_PAGES = 200;

/**
 * Gives each subscription every message from its beginning on, once and in order. A subscription knows the next offset
 * that it is owed; a gap, a lost frame, or a new owner is mended from the owner's history. Nothing is sent without a
 * live lease, the current generation and a configuration that is confirmed.
 * @example
 * delivery.take({ topic: 'feed/7', gen, off: 41, sender: 'desk', seq: 7, body: 'hello' });
 */
export class Delivery {
  private mostStandardBytes = 0;
  private mostOversizedBytes = 0;

  constructor(
    private kernel: Kernel,
    private register: ConsensusRegister,
    private route: Route,
    private leases: LeaseTable,
    /** Ends a session that does not read as fast as its messages come. */
    private saturated: (session: Session) => void,
  ) {}

  /** A frame as the owner sent it. */
  take(frame: FanFrame): void {
    const lease = this.leases.get(frame.topic);
    if (!lease) return;
    lease.head = Math.max(lease.head, frame.off);
    if (lease.generation !== frame.gen) {
      this.kernel.incrementCounter('frame.old_generation');
      if (lease.subscriptions.size) this.catchUp(lease);
      return;
    }
    if (this.offer(lease, frame)) this.catchUp(lease);
  }

  /** Gives one message to each subscription that is owed it next; says whether some subscription has a gap. */
  private offer(
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
      // More follows once this has gone out; see flush.
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
        bytes: Buffer.byteLength(entry.body) + SESSION.frameHeadBytes,
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

  /** How long a frame may wait for company: a small part of the family's aim, so that the aim can be met. */
  private flushMs(topic: string): number {
    const value = this.register.value;
    const family = value && familyOf(value.config, topic);
    if (!family) return SESSION.flushMs;
    const most = urgencyOf(value.config, family) === 'urgent' ? SESSION.flushUrgentMs : SESSION.flushMs;
    return family.aimMs === undefined ? most : Math.min(most, family.aimMs * SESSION.flushShare);
  }

  /** Reads the owner's history from the least offset owed, one reader per topic. */
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
    for (let page = 0; page < HISTORY_PAGES; page++) {
      lease.readAgain = false;
      const behind = [...lease.subscriptions].filter((s) => s.next <= lease.head && hasRoom(s.session));
      if (!behind.length) return;
      const from = Math.min(...behind.map((s) => s.next));
      let answer: HistoryAnswer;
      try {
        answer = await this.route.atOwner<HistoryAnswer>(
          topic,
          'History',
          () => ({ topic, from }),
          REQUEST.ownerTryMs * 2,
        );
      } catch {
        this.kernel.incrementCounter('pull.fail');
        return; // tried again with the next heads, within a second
      }
      this.kernel.incrementCounter('pull');
      if (answer.tag === 'gone') return;
      lease.head = Math.max(lease.head, answer.head);
      for (const subscription of Array.from(lease.subscriptions)) {
        if (subscription.next < answer.since) subscription.next = answer.since;
        if (subscription.next < answer.first) this.leave(subscription, 'cursor_expired');
      }
      if (!answer.entries.length) return;
      for (const entry of answer.entries) this.offer(lease, entry, true);
    }
  }

  /** Ends a subscription and tells its client why. */
  leave(subscription: Subscription, reason: LeaveReason): void {
    if (!subscription.live) return;
    this.leases.end(subscription);
    this.send(subscription.session, { t: 'LEFT', sub: subscription.id, topic: subscription.topic, reason });
  }

  /** Queues a control frame, which waits as little as an urgent message. */
  send(session: Session, frame: ControlFrame): void {
    this.enqueue(session, { frame, bytes: SESSION.frameHeadBytes, oversized: false, flushMs: SESSION.flushUrgentMs });
  }

  private enqueue(session: Session, queued: QueuedFrame): void {
    if (session.state === 'closed') return;
    queued.oversized = queued.bytes > SESSION.oversizedFromBytes;
    const full = queued.oversized
      ? session.oversizedBytes + queued.bytes > SESSION.oversizedLaneBytes
      : session.standardBytes + queued.bytes > SESSION.laneBytes;
    if (full) {
      // A saturated session is retired; its client comes again with its cursor instead of getting a partial stream.
      this.saturated(session);
      return;
    }
    if (queued.oversized) session.oversizedBytes += queued.bytes;
    else session.standardBytes += queued.bytes;
    this.mostStandardBytes = Math.max(this.mostStandardBytes, session.standardBytes);
    this.mostOversizedBytes = Math.max(this.mostOversizedBytes, session.oversizedBytes);
    session.queue.push(queued);
    this.scheduleFlush(session, queued.flushMs);
  }

  /** Drops what waits for a subscription whose lease has ended. */
  drop(subscription: Subscription): void {
    const { session } = subscription;
    const kept: QueuedFrame[] = [];
    for (const queued of session.queue) {
      if (queued.subscription === subscription) release(session, queued);
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

  /** The final send: only what still has a live lease, the current generation and a family in force. */
  flush(session: Session): void {
    if (session.state === 'closed' || session.blocked || !session.queue.length) return;
    const now = this.kernel.host.clock.now();
    const confirmed = this.register.hasReadLease();
    const out: Outgoing[] = [];
    const kept: QueuedFrame[] = [];
    for (const queued of session.queue) {
      const { subscription } = queued;
      if (subscription) {
        if (!confirmed) {
          kept.push(queued);
          continue;
        }
        if (!this.maySend(subscription, queued.generation, now)) {
          this.kernel.incrementCounter('frame.lapsed');
          release(session, queued);
          continue;
        }
        this.kernel.incrementCounter('deliver');
      }
      release(session, queued);
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

  /** The session's stream takes more. */
  drained(session: Session): void {
    session.blocked = false;
    if (session.queue.length) this.flush(session);
    this.resume(session);
  }

  /** Catch-up that waited for room in a session's buffer goes on. */
  private resume(session: Session): void {
    for (const subscription of session.subscriptions.values()) {
      const lease = this.leases.get(subscription.topic);
      if (lease && subscription.next <= lease.head) this.catchUp(lease);
    }
  }

  /** Bytes held for the session that has most of them, in each lane. */
  queues(sessions: Iterable<Session>): QueueInfo[] {
    const all = [...sessions];
    return [
      {
        name: 'conn',
        length: Math.max(0, ...all.map((s) => s.standardBytes)),
        most: this.mostStandardBytes,
        bound: SESSION.laneBytes,
      },
      {
        name: 'conn.oversized',
        length: Math.max(0, ...all.map((s) => s.oversizedBytes)),
        most: this.mostOversizedBytes,
        bound: SESSION.oversizedLaneBytes,
      },
    ];
  }
}

/** Whether a session takes part in catching up: beyond this it would fill its buffer by itself. */
function hasRoom(session: Session): boolean {
  return session.standardBytes <= SESSION.catchUpBytes && !session.blocked;
}

/** Takes a frame's bytes off its lane. */
function release(session: Session, queued: QueuedFrame): void {
  if (queued.oversized) session.oversizedBytes -= queued.bytes;
  else session.standardBytes -= queued.bytes;
}
