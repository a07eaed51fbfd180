/** State of one client's connection to a relay: its subscriptions and the frames that wait for it. */
import type { Frame } from '@harecross/schema';
import type { Outgoing, Sink } from './outgoing.js';

/** Why a session ended: a reason that the client is told, or `gone` where nobody is there to be told. */
export type CloseReason = Extract<Frame, { t: 'CLOSED' }>['reason'] | 'gone';

/** Why a subscription ended, as the client is told. */
export type LeaveReason = Extract<Frame, { t: 'LEFT' }>['reason'];

type SessionState = 'open' | 'closing' | 'closed';

/** A frame that waits in a session's buffer. */
export interface QueuedFrame {
  frame: Outgoing;
  bytes: number;
  /** Whether it counts against the lane of large frames. */
  oversized: boolean;
  /** Whose message it is, and the generation of the topic's lease at that time; missing for control frames. */
  subscription?: Subscription;
  generation?: string;
  /** How long it may wait for company. */
  flushMs: number;
}

/** A client's subscription to one topic; its lease is the time until which it counts as interested. */
export interface Subscription {
  id: string;
  session: Session;
  topic: string;
  /** The next offset that it is owed; infinite until its beginning is known. */
  next: number;
  /** Where it began. */
  first: number;
  /** Settles when its beginning is known; a client that subscribes again meanwhile waits for it too. */
  opened: Promise<void>;
  /** The lease ends at this time of the local clock. */
  expiresAt: number;
  renewedAt: number;
  /** False once the lease has ended, for whatever reason. */
  live: boolean;
}

/** One client's connection, from ATTACHED to CLOSED. */
export class Session {
  state: SessionState = 'open';
  /** By topic. */
  subscriptions = new Map<string, Subscription>();
  /** Frames that wait to be sent, oldest first. */
  queue: QueuedFrame[] = [];
  /** Bytes of `queue` in each lane. */
  standardBytes = 0;
  oversizedBytes = 0;
  /** Whether the stream takes no more until it has drained. */
  blocked = false;
  /** Frames given to the stream. */
  sent = 0;
  /** When the next flush is due, and what cancels it. */
  flushAt = Infinity;
  cancelFlush: () => void = () => {};
  /** The relay, and its instance, that was last told of this session as its client's home. */
  home = '';
  /** When the client last gave a sign of life. */
  heardAt: number;

  constructor(
    readonly id: string,
    readonly consumer: string,
    readonly pingMs: number,
    readonly sink: Sink,
    readonly openedAt: number,
  ) {
    this.heardAt = openedAt;
  }
}
