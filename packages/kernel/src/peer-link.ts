/** The calling side of the peer transport: our connection to one peer, and the calls under way on it. */
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
  introduce,
  introduced,
  readLine,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
  type FlushScheduler,
} from './peer-framing.js';

interface Call {
  id: number;
  frame: string;
  bytes: number;
  cancelTimer: () => void;
  /** The process it was meant for: set while a connection to it was open. Another one at its address never gets it. */
  instance?: string;
  over: boolean;
  res: (s: string) => void;
  rej: (f: ErrorDetails) => void;
}
type LinkState = 'closed' | 'connecting' | 'open';

/** Our connection to one peer: opened when there is something to say, with any number of calls under way. */
export class PeerLink {
  private state: LinkState = 'closed';
  private socket?: Socket;
  private writer?: FrameWriter;
  /** Calls not written yet, in order: the peer surely has not seen them. */
  private unsent: Call[] = [];
  private unsentBytes = 0;
  /** Written and not answered. */
  private sent = new Map<number, Call>();
  /** Given up by their callers, and perhaps answered later. */
  private abandoned = 0;
  /** Numbers go on over connections, so that none is ever used twice. */
  private nextId = CONTROL_ID + 1;
  /** The first number of this connection. */
  private firstId = CONTROL_ID + 1;
  private greeted = false;
  /** Whether the other end has answered our introduction, and who it is if it said so. */
  private known = false;
  private peerInstance?: string;
  private cancelWatch?: () => void;
  private heard = false;
  private pinged = false;
  usedAt = 0;

  constructor(
    private peer: string,
    private limits: TransportLimits,
    private turn: FlushScheduler,
    private introduction: () => PeerIdentity,
    private system: TransportEnvironment,
    private news: () => NetEvents | undefined,
  ) {}

  call(frame: string, timeoutMs: number): Promise<string> {
    return new Promise((res, rej) => {
      const bytes = Buffer.byteLength(frame);
      const fail = (f: ErrorDetails): void => rej(new HarecrossError(f));
      if (bytes > this.limits.maxFrameBytes) {
        fail({ tag: 'too_large', step: 'call', peer: this.peer, limit: this.limits.maxFrameBytes });
        return;
      }
      const waiting = this.unsentBytes + (this.writer?.waiting ?? 0) + bytes;
      if (waiting > this.limits.pendingBytesLimit || this.sent.size + this.unsent.length >= this.limits.callLimit) {
        this.news()?.count('peer.link.full');
        fail({ tag: 'overloaded', step: 'call', peer: this.peer, retryAfterMs: REQUEST.retryMs });
        return;
      }
      this.usedAt = this.system.now();
      const c: Call = {
        id: CONTROL_ID,
        frame,
        bytes,
        over: false,
        res,
        rej: fail,
        // What already lies in the socket when our loop comes late is read first.
        cancelTimer: this.system.after(timeoutMs, () => this.system.afterCurrentIteration(() => this.giveUp(c))),
        ...(this.state === 'open' && this.peerInstance !== undefined ? { instance: this.peerInstance } : {}),
      };
      this.unsent.push(c);
      this.unsentBytes += bytes;
      switch (this.state) {
        case 'closed':
          this.open();
          break;
        case 'connecting':
          break;
        case 'open':
          this.turn.note(this);
          break;
      }
    });
  }

  /** Ends a call once, with whatever became of it. */
  private end(c: Call, how: string | ErrorDetails): void {
    if (c.over) return;
    c.over = true;
    c.cancelTimer();
    if (typeof how === 'string') c.res(how);
    else c.rej(how);
  }

  private giveUp(c: Call): void {
    if (c.over) return;
    this.end(c, { tag: 'timeout', step: 'call', peer: this.peer });
    if (c.id !== CONTROL_ID) {
      this.sent.delete(c.id);
      this.abandoned++;
      return;
    }
    this.unsent.splice(this.unsent.indexOf(c), 1);
    this.unsentBytes -= c.bytes;
  }

  private open(): void {
    this.state = 'connecting';
    this.greeted = this.known = this.heard = this.pinged = false;
    this.peerInstance = undefined;
    this.firstId = this.nextId;
    const s = this.system.connect(this.peer);
    this.socket = s;
    this.writer = new FrameWriter(s, (piece) => {
      if (this.socket === s) {
        this.heard ||= piece;
        this.flush();
      }
    });
    let why = 'closed by the peer';
    const cancelLate = this.system.after(this.limits.connectMs, () => this.onDisconnect(s, 'ETIMEDOUT'));
    const lines = new LineReader(this.limits.maxFrameBytes + LINE_OVERHEAD_BYTES, (l) => this.line(l));
    s.on('connect', () => {
      cancelLate();
      if (this.socket !== s) return;
      this.state = 'open';
      this.news()?.count('peer.link.opened');
      this.flush();
    });
    s.on('data', (d) => {
      if (this.socket !== s) return;
      this.heard = true;
      this.pinged = false;
      if (!lines.take(d)) this.onDisconnect(s, 'not a line of a peer');
    });
    s.on('error', (e: Error & { code?: string }) => {
      why = e.code ?? e.message;
    });
    s.on('end', () => this.onDisconnect(s, why));
    s.on('close', () => {
      cancelLate();
      this.onDisconnect(s, why);
    });
  }

  private line(l: string): boolean {
    const r = readLine(l);
    if (!r) return false;
    if (r.id === CONTROL_ID) {
      this.abandoned = 0;
      this.onHelloAnswered(introduced(r.frame));
      return true;
    }
    const c = this.sent.get(r.id);
    if (!c) {
      // Never asked on this connection.
      if (r.id >= this.nextId || r.id < this.firstId) return false;
      this.abandoned = Math.max(0, this.abandoned - 1);
      return true;
    }
    this.sent.delete(r.id);
    // The peer could not put its answer into a frame.
    this.end(
      c,
      r.frame === '' ? { tag: 'cut', step: 'call', peer: this.peer, detail: 'its answer is too large' } : r.frame,
    );
    return true;
  }

  /** The other end has answered our introduction. What was meant for an earlier process at its address was never written: it ends here. */
  private onHelloAnswered(peer: PeerIdentity | undefined): void {
    if (this.known) return;
    this.known = true;
    this.peerInstance = peer?.instance;
    if (peer) {
      const { instance } = peer;
      const stale = this.unsent.filter((c) => c.instance !== undefined && c.instance !== instance);
      this.unsent = this.unsent.filter((c) => !stale.includes(c));
      for (const c of stale) {
        this.unsentBytes -= c.bytes;
        this.news()?.count('peer.link.another_process');
        this.end(c, { tag: 'unreachable', step: 'call', peer: this.peer, detail: 'another process is at its address' });
      }
    }
    this.flush();
  }

  /** Some call is meant for a process, and we do not know yet whether it is the one at the other end. */
  private get mustMeet(): boolean {
    return !this.known && this.unsent.some((c) => c.instance !== undefined);
  }

  flush(): void {
    const w = this.writer;
    if (this.state !== 'open' || !w?.free || !this.unsent.length) return;
    let out = this.greeted ? '' : `${GREETING}\n${CONTROL_ID} ${introduce(this.introduction())}\n`;
    this.greeted = true;
    if (this.mustMeet) {
      if (out) w.write(out, out.length);
      this.watchQuiet();
      return;
    }
    let bytes = 0;
    let n = 0;
    while (n < this.unsent.length && bytes < WRITE_CHUNK_BYTES) {
      const c = this.unsent[n++]!;
      c.id = this.nextId++;
      this.sent.set(c.id, c);
      out += `${c.id} ${c.frame}\n`;
      bytes += c.bytes;
      c.frame = '';
    }
    this.unsent.splice(0, n);
    this.unsentBytes -= bytes;
    w.write(out, bytes);
    this.watchQuiet();
  }

  /**
   * While answers are owed, a connection that was quiet for a while is pinged, and one that stays quiet is left: a machine
   * without power says nothing. Our own late loop is not the peer's silence.
   */
  private watchQuiet(): void {
    if (this.cancelWatch) return;
    const due = this.system.now() + this.limits.quietMs;
    this.heard = false;
    this.cancelWatch = this.system.after(this.limits.quietMs, () => {
      this.cancelWatch = undefined;
      const s = this.socket;
      if (this.state !== 'open' || !s || (!this.sent.size && !this.abandoned && !this.mustMeet)) return;
      const late = this.system.now() - due > this.limits.quietMs / 2;
      if (!this.heard && !late) {
        if (this.pinged) {
          this.news()?.count('peer.link.silent');
          this.onDisconnect(s, 'silent', 'timeout');
          return;
        }
        this.pinged = true;
        // Behind a batch that does not get out it would only wait too.
        if (this.writer!.free) s.write(`${CONTROL_ID} \n`);
      }
      this.watchQuiet();
    });
  }

  /** The one way a connection ends. Written calls end with `tag`; the others were surely not seen. */
  private onDisconnect(s: Socket, detail: string, tag: 'cut' | 'timeout' = 'cut'): void {
    if (this.socket !== s) return;
    const was = this.state;
    this.socket = undefined;
    this.writer = undefined;
    this.state = 'closed';
    this.cancelWatch?.();
    this.cancelWatch = undefined;
    s.destroy();
    const sent = [...this.sent.values()];
    this.sent.clear();
    this.abandoned = 0;
    const { peer } = this;
    for (const c of sent)
      this.end(c, tag === 'timeout' ? { tag, step: 'call', peer } : { tag, step: 'call', peer, detail });
    switch (was) {
      case 'closed':
        break;
      case 'connecting': {
        const all = this.unsent;
        this.unsent = [];
        this.unsentBytes = 0;
        for (const c of all) this.end(c, { tag: 'unreachable', step: 'call', peer, detail });
        break;
      }
      case 'open':
        this.news()?.count('peer.link.lost');
        this.news()?.connectionLost(peer);
        if (this.unsent.length && this.state === 'closed') this.open();
        break;
    }
  }

  /** Nothing under way and not used since then. */
  idleSince(at: number): boolean {
    return this.usedAt < at && !this.sent.size && !this.unsent.length;
  }

  /** Says what was still to be said, and leaves. Calls under way end as cut. */
  async close(): Promise<void> {
    this.flush();
    const s = this.socket;
    this.socket = undefined;
    this.writer = undefined;
    this.state = 'closed';
    this.cancelWatch?.();
    this.cancelWatch = undefined;
    const all = [...this.sent.values(), ...this.unsent];
    this.sent.clear();
    this.unsent = [];
    this.unsentBytes = 0;
    for (const c of all) this.end(c, { tag: 'cut', step: 'call', peer: this.peer, detail: 'closed by us' });
    if (s) await endSocket(s, this.limits.closeMs);
  }
}

/** Ends a socket after what was written to it; destroyed when the other side takes too long. */
export function endSocket(s: Socket, ms: number): Promise<void> {
  return new Promise((res) => {
    if (s.closed || s.destroyed) {
      res();
      return;
    }
    const t = setTimeout(() => s.destroy(), ms);
    s.on('close', () => {
      clearTimeout(t);
      res();
    });
    s.resume();
    s.end();
  });
}
