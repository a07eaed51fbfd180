/** The calling side of the peer transport: the outbound connection to one peer and its calls in flight. */
import type { Socket } from 'node:net';
import { REQUEST } from './constants.js';
import { HarecrossError, type ErrorDetails } from './fault.js';
import type { NetEvents } from './host.js';
import {
  GREETING,
  LineReader,
  LINE_OVERHEAD_BYTES,
  WRITE_CHUNK_BYTES,
  CONTROL_ID,
  FrameWriter,
  encodeHello,
  decodeHello,
  parseLine,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
  type FlushScheduler,
} from './peer-framing.js';

interface Call {
  /** Assigned when the call is written; until then the id of control lines. */
  id: number;
  frame: string;
  bytes: number;
  cancelTimer: () => void;
  /**
   * The peer process that was connected when the call was queued; undefined if none was known. The call is never sent to another
   * process at the same address.
   */
  instance?: string;
  settled: boolean;
  resolve: (answer: string) => void;
  reject: (error: ErrorDetails) => void;
}
type LinkState = 'closed' | 'connecting' | 'open';

/** The outbound connection to one peer. It is opened on the first call and carries any number of concurrent calls. */
export class PeerLink {
  private state: LinkState = 'closed';
  private socket?: Socket;
  private writer?: FrameWriter;
  /** Calls not written yet, in order. The peer cannot have seen them. */
  private unsent: Call[] = [];
  private unsentBytes = 0;
  /** Calls written and not answered yet. */
  private sent = new Map<number, Call>();
  /** Number of written calls that timed out and may still be answered. */
  private timedOutCount = 0;
  /** Call ids continue across connections, so that none is ever reused. */
  private nextId = CONTROL_ID + 1;
  /** The first call id of this connection. */
  private firstId = CONTROL_ID + 1;
  private greetingSent = false;
  /** Whether the peer has answered our hello. An older version answers without its identity, so `peerInstance` may be undefined. */
  private helloAnswered = false;
  private peerInstance?: string;
  private cancelSilenceTimer?: () => void;
  private activitySeen = false;
  private pingSent = false;
  lastUsedAt = 0;

  constructor(
    private peer: string,
    private limits: TransportLimits,
    private flushScheduler: FlushScheduler,
    private createIdentity: () => PeerIdentity,
    private environment: TransportEnvironment,
    private events: () => NetEvents | undefined,
  ) {}

  call(frame: string, timeoutMs: number): Promise<string> {
    return new Promise((resolve, reject) => {
      const bytes = Buffer.byteLength(frame);
      const fail = (error: ErrorDetails): void => reject(new HarecrossError(error));
      if (bytes > this.limits.maxFrameBytes) {
        fail({ tag: 'too_large', step: 'call', peer: this.peer, limit: this.limits.maxFrameBytes });
        return;
      }
      const pendingBytes = this.unsentBytes + (this.writer?.pendingBytes ?? 0) + bytes;
      if (
        pendingBytes > this.limits.pendingBytesLimit ||
        this.sent.size + this.unsent.length >= this.limits.callLimit
      ) {
        this.events()?.count('peer.link.full');
        fail({ tag: 'overloaded', step: 'call', peer: this.peer, retryAfterMs: REQUEST.retryMs });
        return;
      }
      this.lastUsedAt = this.environment.now();
      const call: Call = {
        id: CONTROL_ID,
        frame,
        bytes,
        settled: false,
        resolve,
        reject: fail,
        // After an event loop delay, data already in the socket buffer is read before the call times out.
        cancelTimer: this.environment.after(timeoutMs, () =>
          this.environment.afterCurrentIteration(() => this.onTimeout(call)),
        ),
        ...(this.state === 'open' && this.peerInstance !== undefined ? { instance: this.peerInstance } : {}),
      };
      this.unsent.push(call);
      this.unsentBytes += bytes;
      switch (this.state) {
        case 'closed':
          this.open();
          break;
        case 'connecting':
          break;
        case 'open':
          this.flushScheduler.schedule(this);
          break;
      }
    });
  }

  /** Resolves a call with its answer or rejects it with an error; does nothing if the call is already settled. */
  private settle(call: Call, outcome: string | ErrorDetails): void {
    if (call.settled) return;
    call.settled = true;
    call.cancelTimer();
    if (typeof outcome === 'string') call.resolve(outcome);
    else call.reject(outcome);
  }

  private onTimeout(call: Call): void {
    if (call.settled) return;
    this.settle(call, { tag: 'timeout', step: 'call', peer: this.peer });
    if (call.id !== CONTROL_ID) {
      this.sent.delete(call.id);
      this.timedOutCount++;
      return;
    }
    this.unsent.splice(this.unsent.indexOf(call), 1);
    this.unsentBytes -= call.bytes;
  }

  private open(): void {
    this.state = 'connecting';
    this.greetingSent = this.helloAnswered = this.activitySeen = this.pingSent = false;
    this.peerInstance = undefined;
    this.firstId = this.nextId;
    const socket = this.environment.connect(this.peer);
    this.socket = socket;
    this.writer = new FrameWriter(socket, (isChunk) => {
      if (this.socket === socket) {
        this.activitySeen ||= isChunk;
        this.flush();
      }
    });
    let reason = 'closed by the peer';
    const cancelConnectTimer = this.environment.after(this.limits.connectMs, () =>
      this.onDisconnect(socket, 'ETIMEDOUT'),
    );
    const lineReader = new LineReader(this.limits.maxFrameBytes + LINE_OVERHEAD_BYTES, (line) => this.onLine(line));
    socket.on('connect', () => {
      cancelConnectTimer();
      if (this.socket !== socket) return;
      this.state = 'open';
      this.events()?.count('peer.link.opened');
      this.flush();
    });
    socket.on('data', (data) => {
      if (this.socket !== socket) return;
      this.activitySeen = true;
      this.pingSent = false;
      if (!lineReader.push(data)) this.onDisconnect(socket, 'malformed line');
    });
    socket.on('error', (error: Error & { code?: string }) => {
      reason = error.code ?? error.message;
    });
    socket.on('end', () => this.onDisconnect(socket, reason));
    socket.on('close', () => {
      cancelConnectTimer();
      this.onDisconnect(socket, reason);
    });
  }

  /** Processes one line from the peer. Returns false if the line violates the protocol. */
  private onLine(line: string): boolean {
    const parsed = parseLine(line);
    if (!parsed) return false;
    if (parsed.id === CONTROL_ID) {
      this.timedOutCount = 0;
      this.onHelloAnswered(decodeHello(parsed.frame));
      return true;
    }
    const call = this.sent.get(parsed.id);
    if (!call) {
      // No call with this id was sent on this connection.
      if (parsed.id >= this.nextId || parsed.id < this.firstId) return false;
      this.timedOutCount = Math.max(0, this.timedOutCount - 1);
      return true;
    }
    this.sent.delete(parsed.id);
    // An empty frame means that the answer exceeds the peer's frame size limit.
    this.settle(
      call,
      parsed.frame === ''
        ? { tag: 'cut', step: 'call', peer: this.peer, detail: 'answer exceeds the frame size limit' }
        : parsed.frame,
    );
    return true;
  }

  /**
   * Records the peer's answer to our hello. Unsent calls that were queued for an earlier process at its address are rejected as
   * `unreachable`.
   */
  private onHelloAnswered(peer: PeerIdentity | undefined): void {
    if (this.helloAnswered) return;
    this.helloAnswered = true;
    this.peerInstance = peer?.instance;
    if (peer) {
      const { instance } = peer;
      const stale = this.unsent.filter((call) => call.instance !== undefined && call.instance !== instance);
      this.unsent = this.unsent.filter((call) => !stale.includes(call));
      for (const call of stale) {
        this.unsentBytes -= call.bytes;
        this.events()?.count('peer.link.another_process');
        this.settle(call, {
          tag: 'unreachable',
          step: 'call',
          peer: this.peer,
          detail: 'the address now belongs to another process',
        });
      }
    }
    this.flush();
  }

  /** Whether sending must wait for the hello answer because an unsent call is bound to a specific process. */
  private get mustAwaitHello(): boolean {
    return !this.helloAnswered && this.unsent.some((call) => call.instance !== undefined);
  }

  flush(): void {
    const writer = this.writer;
    if (this.state !== 'open' || !writer?.isReady || !this.unsent.length) return;
    let output = this.greetingSent ? '' : `${GREETING}\n${CONTROL_ID} ${encodeHello(this.createIdentity())}\n`;
    this.greetingSent = true;
    if (this.mustAwaitHello) {
      if (output) writer.write(output, output.length);
      this.watchForSilence();
      return;
    }
    let bytes = 0;
    let count = 0;
    while (count < this.unsent.length && bytes < WRITE_CHUNK_BYTES) {
      const call = this.unsent[count++]!;
      call.id = this.nextId++;
      this.sent.set(call.id, call);
      output += `${call.id} ${call.frame}\n`;
      bytes += call.bytes;
      call.frame = '';
    }
    this.unsent.splice(0, count);
    this.unsentBytes -= bytes;
    writer.write(output, bytes);
    this.watchForSilence();
  }

  /**
   * While answers are outstanding, pings a connection that has been silent for `quietMs` and closes it after another such interval
   * without activity: a machine that lost power neither answers nor closes its connections. An interval in which our own event loop
   * was delayed does not count as silence.
   */
  private watchForSilence(): void {
    if (this.cancelSilenceTimer) return;
    const due = this.environment.now() + this.limits.quietMs;
    this.activitySeen = false;
    this.cancelSilenceTimer = this.environment.after(this.limits.quietMs, () => {
      this.cancelSilenceTimer = undefined;
      const socket = this.socket;
      if (this.state !== 'open' || !socket || (!this.sent.size && !this.timedOutCount && !this.mustAwaitHello)) return;
      const loopDelayed = this.environment.now() - due > this.limits.quietMs / 2;
      if (!this.activitySeen && !loopDelayed) {
        if (this.pingSent) {
          this.events()?.count('peer.link.silent');
          this.onDisconnect(socket, 'silent', 'timeout');
          return;
        }
        this.pingSent = true;
        // If earlier output is blocked, a ping would only queue behind it.
        if (this.writer!.isReady) socket.write(`${CONTROL_ID} \n`);
      }
      this.watchForSilence();
    });
  }

  /**
   * Handles the loss of the connection, for whatever reason except `close`. Written calls are rejected with `tag`. Unsent calls, which
   * the peer cannot have seen, are rejected as `unreachable` if the connection was never established, else sent on a new connection.
   */
  private onDisconnect(socket: Socket, detail: string, tag: 'cut' | 'timeout' = 'cut'): void {
    if (this.socket !== socket) return;
    const previousState = this.state;
    this.socket = undefined;
    this.writer = undefined;
    this.state = 'closed';
    this.cancelSilenceTimer?.();
    this.cancelSilenceTimer = undefined;
    socket.destroy();
    const sent = [...this.sent.values()];
    this.sent.clear();
    this.timedOutCount = 0;
    const { peer } = this;
    for (const call of sent)
      this.settle(call, tag === 'timeout' ? { tag, step: 'call', peer } : { tag, step: 'call', peer, detail });
    switch (previousState) {
      case 'closed':
        break;
      case 'connecting': {
        const unsent = this.unsent;
        this.unsent = [];
        this.unsentBytes = 0;
        for (const call of unsent) this.settle(call, { tag: 'unreachable', step: 'call', peer, detail });
        break;
      }
      case 'open':
        this.events()?.count('peer.link.lost');
        this.events()?.connectionLost(peer);
        if (this.unsent.length && this.state === 'closed') this.open();
        break;
    }
  }

  /** Whether the link has no pending calls and was last used before `time`. */
  isIdleSince(time: number): boolean {
    return this.lastUsedAt < time && !this.sent.size && !this.unsent.length;
  }

  /** Writes what can still be written, then closes the connection. Pending calls are rejected as `cut`. */
  async close(): Promise<void> {
    this.flush();
    const socket = this.socket;
    this.socket = undefined;
    this.writer = undefined;
    this.state = 'closed';
    this.cancelSilenceTimer?.();
    this.cancelSilenceTimer = undefined;
    const pending = [...this.sent.values(), ...this.unsent];
    this.sent.clear();
    this.unsent = [];
    this.unsentBytes = 0;
    for (const call of pending)
      this.settle(call, { tag: 'cut', step: 'call', peer: this.peer, detail: 'closed locally' });
    if (socket) await closeSocket(socket, this.limits.closeMs);
  }
}

/** Ends a socket after its buffered output is sent, and destroys it if it is not closed within `timeoutMs`. */
export function closeSocket(socket: Socket, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    if (socket.closed || socket.destroyed) {
      resolve();
      return;
    }
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.resume();
    socket.end();
  });
}
