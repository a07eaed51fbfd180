/** State of one client's connection to a relay: its subscriptions and its queue of frames to send. */
import type { Frame } from '@harecross/schema';
import type { Outgoing, Sink } from './outgoing.js';

/** Why a session ended: a reason sent to the client, or `gone` when its stream has ended and nothing can be sent. */
export type CloseReason = Extract<Frame, { t: 'CLOSED' }>['reason'] | 'gone';

/** Why a subscription ended, as sent to the client. */
export type LeaveReason = Extract<Frame, { t: 'LEFT' }>['reason'];

type SessionState = 'open' | 'closing' | 'closed';

/** A frame in a session's send queue. */
export interface QueuedFrame {
  frame: Outgoing;
  bytes: number;
  /** Whether it counts against the lane of oversized frames. */
  oversized: boolean;
  /**
   * The subscription that the message is for, and the topic's lease generation when it was queued; undefined for
   * control frames.
   */
  subscription?: Subscription;
  generation?: string;
  /** How long it may be held back so that more frames are sent with it (ms). */
  flushMs: number;
}

/** A client's subscription to one topic, with its interest lease: until `expiresAt` messages are delivered to it. */
export interface Subscription {
  id: string;
  session: Session;
  topic: string;
  /** Offset of the next message to deliver; infinite until the start is known. */
  next: number;
  /** Offset at which it started; infinite until the start is known. */
  first: number;
  /** Settles when the start is known or opening has failed; a repeated Subscribe waits for it too. */
  opened: Promise<void>;
  /** When the lease ends, by the local clock. */
  expiresAt: number;
  renewedAt: number;
  /** False once the lease has ended for any reason. */
  live: boolean;
}

/** One client's session, from the ATTACHED frame to the CLOSED frame. */
export class Session {
  state: SessionState = 'open';
  /** By topic. */
  subscriptions = new Map<string, Subscription>();
  /** Frames to send, oldest first. */
  queue: QueuedFrame[] = [];
  /** Bytes in `queue`, by lane: standard and oversized frames have separate limits. */
  standardBytes = 0;
  oversizedBytes = 0;
  /** Whether the stream's buffer is full; nothing is written until it has drained. */
  blocked = false;
  /** Number of frames written to the stream. */
  sent = 0;
  /** When the next flush is due (infinite: none is scheduled), and the function that cancels it. */
  flushAt = Infinity;
  cancelFlush: () => void = () => {};
  /** The client's home relay, with its process instance, that was last notified of this session. */
  home = '';
  /** When the client was last active. */
  lastActivityAt: number;

  constructor(
    readonly id: string,
    readonly consumer: string,
    readonly pingMs: number,
    readonly sink: Sink,
    readonly openedAt: number,
  ) {
    this.lastActivityAt = openedAt;
  }
}
