import { connect, createServer, type NetConnectOpts, type Server, type Socket } from 'node:net';
import { C } from './constants.js';
import { Failure, type Fault } from './fault.js';
import { addr, type Net, type NetNews } from './host.js';

/** Bounds of the peer transport; the defaults are in constants.ts. */
export interface PeerNetBounds {
  connectMs: number;
  quietMs: number;
  frameBytes: number;
  waitingBytes: number;
  callsN: number;
  connsN: number;
  closeMs: number;
}

/** First line of every connection: who does not say it is no peer. */
const GREETING = 'harecross-peer/1';
/** What a line is longer than its frame at most: the call's number, a space, the newline. */
const OVERHEAD = 24;
/** Bytes of one write at most, about. */
const PIECE = 256 * 1024;
/** A peer for which more than this waits is not read from. */
const UNREAD = 4 * PIECE;
/** The number of a transport ping: answered by the transport itself, so that slow work is told from a dead peer. */
const PING = 0;

/** Cuts a stream of bytes into lines of bounded length. */
class Lines {
  private held: Buffer[] = [];
  private heldBytes = 0;
  constructor(
    public limit: number,
    private line: (s: string) => boolean,
  ) {}

  /** False once a line was too long or refused; the connection is then of no more use. */
  take(d: Buffer): boolean {
    let from = 0;
    for (;;) {
      const to = d.indexOf(10, from);
      const end = to < 0 ? d.length : to;
      if (this.heldBytes + end - from > this.limit) {
        this.held = [];
        return false;
      }
      if (to < 0) {
        if (from < d.length) {
          this.held.push(d.subarray(from));
          this.heldBytes += d.length - from;
        }
        return true;
      }
      let s: string;
      if (this.heldBytes) {
        this.held.push(d.subarray(from, to));
        s = Buffer.concat(this.held).toString('utf8');
        this.held = [];
        this.heldBytes = 0;
      } else s = d.toString('utf8', from, to);
      from = to + 1;
      if (!this.line(s)) return false;
    }
  }
}

/** The number and the frame of a line; undefined when it has none. */
function readLine(s: string): { id: number; frame: string } | undefined {
  const i = s.indexOf(' ');
  const id = i < 1 || i > 16 ? NaN : Number(s.slice(0, i));
  return Number.isSafeInteger(id) && id >= 0 ? { id, frame: s.slice(i + 1) } : undefined;
}

/** Does what was noted during a turn of the loop once, at its end: what was written meanwhile becomes one write. */
class Turn {
  private dirty = new Set<{ flush(): void }>();
  private armed = false;
  note(x: { flush(): void }): void {
    this.dirty.add(x);
    if (this.armed) return;
    this.armed = true;
    setImmediate(() => this.run());
  }
  run(): void {
    this.armed = false;
    const all = [...this.dirty];
    this.dirty.clear();
    for (const x of all) x.flush();
  }
}

/** Writes to a socket, long matter piece by piece, so that its way out can be watched and what follows waits here. */
class Writer {
  private pieces: Buffer[] = [];
  private piecesBytes = 0;
  /** `moved` is called when a batch or a piece has left; a piece that left is a sign that the other side reads. */
  constructor(
    private s: Socket,
    private moved: (piece: boolean) => void,
  ) {}

  /** Bytes that have not left. */
  get waiting(): number {
    return this.s.writableLength + this.piecesBytes;
  }
  /** Whether the next batch may be written. */
  get free(): boolean {
    return !this.pieces.length && this.s.writableLength < PIECE;
  }

  write(out: string, bytes: number): void {
    if (bytes <= 2 * PIECE) {
      this.s.write(out, 'utf8', () => this.moved(false));
      return;
    }
    const b = Buffer.from(out);
    for (let i = 0; i < b.length; i += PIECE) this.pieces.push(b.subarray(i, i + PIECE));
    this.piecesBytes = b.length;
    this.next();
  }

  private next(): void {
    const p = this.pieces.shift();
    if (!p) return;
    this.piecesBytes -= p.length;
    this.s.write(p, () => {
      this.next();
      this.moved(true);
    });
  }
}

interface Call {
  id: number;
  frame: string;
  bytes: number;
  timer: NodeJS.Timeout;
  over: boolean;
  res: (s: string) => void;
  rej: (f: Fault) => void;
}
type LinkState = 'closed' | 'connecting' | 'open';

/** Our connection to one peer: opened when there is something to say, with any number of calls under way. */
class PeerLink {
  private state: LinkState = 'closed';
  private socket?: Socket;
  private writer?: Writer;
  /** Calls not written yet, in order: the peer surely has not seen them. */
  private unsent: Call[] = [];
  private unsentBytes = 0;
  /** Written and not answered. */
  private sent = new Map<number, Call>();
  /** Given up by their callers, and perhaps answered later. */
  private abandoned = 0;
  private nextId = PING + 1;
  private greeted = false;
  private watch?: NodeJS.Timeout;
  private heard = false;
  private pinged = false;
  usedAt = 0;

  constructor(
    private peer: string,
    private b: PeerNetBounds,
    private turn: Turn,
    private news: () => NetNews | undefined,
  ) {}

  call(frame: string, timeoutMs: number): Promise<string> {
    return new Promise((res, rej) => {
      const bytes = Buffer.byteLength(frame);
      const fail = (f: Fault): void => rej(new Failure(f));
      if (bytes > this.b.frameBytes) {
        fail({ tag: 'too_large', step: 'call', peer: this.peer, limit: this.b.frameBytes });
        return;
      }
      const waiting = this.unsentBytes + (this.writer?.waiting ?? 0) + bytes;
      if (waiting > this.b.waitingBytes || this.sent.size + this.unsent.length >= this.b.callsN) {
        this.news()?.count('peer.link.full');
        fail({ tag: 'overloaded', step: 'call', peer: this.peer, retryAfterMs: C.retryMs });
        return;
      }
      this.usedAt = performance.now();
      const c: Call = {
        id: PING,
        frame,
        bytes,
        over: false,
        res,
        rej: fail,
        // What already lies in the socket when our loop comes late is read first.
        timer: setTimeout(() => setImmediate(() => this.giveUp(c)), timeoutMs),
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
  private end(c: Call, how: string | Fault): void {
    if (c.over) return;
    c.over = true;
    clearTimeout(c.timer);
    if (typeof how === 'string') c.res(how);
    else c.rej(how);
  }

  private giveUp(c: Call): void {
    if (c.over) return;
    this.end(c, { tag: 'timeout', step: 'call', peer: this.peer });
    if (c.id !== PING) {
      this.sent.delete(c.id);
      this.abandoned++;
      return;
    }
    this.unsent.splice(this.unsent.indexOf(c), 1);
    this.unsentBytes -= c.bytes;
  }

  private open(): void {
    this.state = 'connecting';
    this.greeted = this.heard = this.pinged = false;
    const s = connect({ ...addr(this.peer), noDelay: true, highWaterMark: PIECE } as NetConnectOpts);
    this.socket = s;
    this.writer = new Writer(s, (piece) => {
      if (this.socket === s) {
        this.heard ||= piece;
        this.flush();
      }
    });
    let why = 'closed by the peer';
    const late = setTimeout(() => this.lost(s, 'ETIMEDOUT'), this.b.connectMs);
    const lines = new Lines(this.b.frameBytes + OVERHEAD, (l) => this.line(l));
    s.on('connect', () => {
      clearTimeout(late);
      if (this.socket !== s) return;
      this.state = 'open';
      this.news()?.count('peer.link.opened');
      this.flush();
    });
    s.on('data', (d) => {
      if (this.socket !== s) return;
      this.heard = true;
      this.pinged = false;
      if (!lines.take(d)) this.lost(s, 'not a line of a peer');
    });
    s.on('error', (e: Error & { code?: string }) => {
      why = e.code ?? e.message;
    });
    s.on('end', () => this.lost(s, why));
    s.on('close', () => {
      clearTimeout(late);
      this.lost(s, why);
    });
  }

  private line(l: string): boolean {
    const r = readLine(l);
    if (!r) return false;
    if (r.id === PING) {
      this.abandoned = 0;
      return true;
    }
    const c = this.sent.get(r.id);
    if (!c) {
      if (r.id >= this.nextId) return false;
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

  flush(): void {
    const w = this.writer;
    if (this.state !== 'open' || !w?.free || !this.unsent.length) return;
    let out = this.greeted ? '' : `${GREETING}\n`;
    this.greeted = true;
    let bytes = 0;
    let n = 0;
    while (n < this.unsent.length && bytes < PIECE) {
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
    if (this.watch) return;
    const due = performance.now() + this.b.quietMs;
    this.heard = false;
    this.watch = setTimeout(() => {
      this.watch = undefined;
      const s = this.socket;
      if (this.state !== 'open' || !s || (!this.sent.size && !this.abandoned)) return;
      const late = performance.now() - due > this.b.quietMs / 2;
      if (!this.heard && !late) {
        if (this.pinged) {
          this.news()?.count('peer.link.silent');
          this.lost(s, 'silent', 'timeout');
          return;
        }
        this.pinged = true;
        // Behind a batch that does not get out it would only wait too.
        if (this.writer!.free) s.write(`${PING} \n`);
      }
      this.watchQuiet();
    }, this.b.quietMs);
  }

  /** The one way a connection ends. Written calls end with `tag`; the others were surely not seen. */
  private lost(s: Socket, detail: string, tag: 'cut' | 'timeout' = 'cut'): void {
    if (this.socket !== s) return;
    const was = this.state;
    this.socket = undefined;
    this.writer = undefined;
    this.state = 'closed';
    if (this.watch) {
      clearTimeout(this.watch);
      this.watch = undefined;
    }
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
        this.news()?.broken(peer);
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
    if (this.watch) {
      clearTimeout(this.watch);
      this.watch = undefined;
    }
    const all = [...this.sent.values(), ...this.unsent];
    this.sent.clear();
    this.unsent = [];
    this.unsentBytes = 0;
    for (const c of all) this.end(c, { tag: 'cut', step: 'call', peer: this.peer, detail: 'closed by us' });
    if (s) await parted(s, this.b.closeMs);
  }
}

/** Ends a socket after what was written to it; destroyed when the other side takes too long. */
function parted(s: Socket, ms: number): Promise<void> {
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

/** A connection that a peer opened to us. */
class Accepted {
  private greeted = false;
  private out: string[] = [];
  private outBytes = 0;
  private writer: Writer;
  private busy = 0;
  private paused = false;
  private lines: Lines;
  private hello: NodeJS.Timeout;

  constructor(
    readonly s: Socket,
    private b: PeerNetBounds,
    private turn: Turn,
    private handle: (frame: string) => Promise<string>,
    private news: () => NetNews | undefined,
  ) {
    this.lines = new Lines(GREETING.length, (l) => this.line(l));
    this.writer = new Writer(s, () => {
      this.flush();
      this.pace();
    });
    this.hello = setTimeout(
      () =>
        setImmediate(() => {
          if (!this.greeted) this.bad();
        }),
      b.connectMs * 2,
    );
    s.on('data', (d) => {
      if (!this.lines.take(d)) this.bad();
    });
    s.on('error', () => undefined);
    s.on('close', () => clearTimeout(this.hello));
  }

  private bad(): void {
    if (this.s.destroyed) return;
    this.news()?.count('peer.link.garbage');
    this.s.destroy();
  }

  private line(l: string): boolean {
    if (!this.greeted) {
      if (l !== GREETING) return false;
      this.greeted = true;
      clearTimeout(this.hello);
      this.lines.limit = this.b.frameBytes + OVERHEAD;
      return true;
    }
    const r = readLine(l);
    if (!r) return false;
    if (r.id === PING) {
      this.say(PING, '');
      return true;
    }
    this.busy++;
    this.handle(r.frame).then(
      (a) => {
        this.busy--;
        this.say(r.id, a);
        this.pace();
      },
      // Not a frame of ours: a peer never sends one.
      () => {
        this.busy--;
        this.bad();
      },
    );
    this.pace();
    return true;
  }

  private say(id: number, frame: string): void {
    if (!this.s.writable) return;
    let bytes = Buffer.byteLength(frame);
    if (bytes > this.b.frameBytes) {
      frame = '';
      bytes = 0;
    }
    if (this.outBytes + this.writer.waiting + bytes > this.b.waitingBytes) {
      // It asks and does not read.
      this.news()?.count('peer.link.unread');
      this.s.destroy();
      return;
    }
    this.out.push(`${id} ${frame}\n`);
    this.outBytes += bytes;
    this.turn.note(this);
  }

  flush(): void {
    if (!this.s.writable || !this.writer.free || !this.out.length) return;
    const out = this.out.join('');
    const bytes = this.outBytes;
    this.out = [];
    this.outBytes = 0;
    this.writer.write(out, bytes);
  }

  /** Reads on only while the peer reads too and not too much of it is in work. */
  private pace(): void {
    const stop = this.busy >= this.b.callsN || this.outBytes + this.writer.waiting > UNREAD;
    if (stop === this.paused || this.s.destroyed) return;
    this.paused = stop;
    if (stop) this.s.pause();
    else this.s.resume();
  }
}

/**
 * Peer frames over TCP: one long connection for each ordered pair of nodes, opened by the caller, with any number of calls under
 * way. A line there is `number frame`, a line back is `number frame`; all that is written in one turn of the loop goes out in one
 * write. `unreachable` is said only of calls that were never written; `cut` of those whose connection broke under them; `timeout`
 * of those that got no answer. Frames must not contain a newline.
 * @example
 * const net = peerNet('127.0.0.1:7101');
 * await net.serve(async (frame) => answer(frame));
 * await net.call('127.0.0.1:7102', frame, 800); // rejects with a Failure: unreachable, cut, timeout, overloaded, too_large
 */
export function peerNet(self: string, bounds: Partial<PeerNetBounds> = {}): Net {
  const b: PeerNetBounds = {
    connectMs: C.connectMs,
    quietMs: C.peerQuietMs,
    frameBytes: C.peerFrameBytes,
    waitingBytes: C.peerWaitingBytes,
    callsN: C.peerCallsN,
    connsN: C.peerConnsN,
    closeMs: C.peerCloseMs,
    ...bounds,
  };
  const links = new Map<string, PeerLink>();
  const accepted = new Set<Accepted>();
  const turn = new Turn();
  let news: NetNews | undefined;
  let server: Server | undefined;
  let closed = false;
  // Links to peers we have nothing to say to any more are given back.
  const idle = setInterval(() => {
    const at = performance.now() - C.peerIdleMs;
    for (const [p, l] of links)
      if (l.idleSince(at)) {
        links.delete(p);
        void l.close();
      }
  }, C.peerIdleMs / 2);
  idle.unref();
  return {
    async serve(handle, n) {
      news = n;
      const srv = createServer(
        { noDelay: true, highWaterMark: PIECE, keepAlive: true, keepAliveInitialDelay: C.peerKeepAliveMs },
        (s) => {
          const a = new Accepted(s, b, turn, handle, () => news);
          accepted.add(a);
          s.on('close', () => accepted.delete(a));
        },
      );
      srv.maxConnections = b.connsN;
      server = srv;
      await new Promise<void>((res, rej) => {
        srv.on('error', rej);
        srv.listen(addr(self), () => {
          srv.off('error', rej);
          res();
        });
      });
      srv.on('error', () => n?.count('peer.server.error'));
    },
    call(peer, frame, timeoutMs) {
      if (closed) return Promise.reject(new Failure({ tag: 'cut', step: 'call', peer, detail: 'closed by us' }));
      let l = links.get(peer);
      if (!l) {
        l = new PeerLink(peer, b, turn, () => news);
        links.set(peer, l);
      }
      return l.call(frame, timeoutMs);
    },
    async close() {
      closed = true;
      clearInterval(idle);
      news = undefined;
      const srv = server;
      const shut =
        srv &&
        new Promise<void>((res) => {
          srv.close(() => res());
        });
      turn.run();
      await Promise.all([
        ...[...links.values()].map((l) => l.close()),
        ...[...accepted].map((a) => parted(a.s, b.closeMs)),
      ]);
      links.clear();
      await shut;
    },
  };
}
