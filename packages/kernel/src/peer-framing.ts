/**
 * Framing of the peer transport: a connection carries lines `number frame`, both ways. The number ties an answer to its call; number
 * {@link CONTROL_ID} belongs to the transport itself.
 */
import type { Socket } from 'node:net';

/** Bounds of the peer transport; the defaults are in constants.ts. */
export interface TransportLimits {
  connectMs: number;
  quietMs: number;
  maxFrameBytes: number;
  pendingBytesLimit: number;
  callLimit: number;
  connectionLimit: number;
  closeMs: number;
}

/** What the transport needs of its surroundings; a model puts others in place. */
export interface TransportEnvironment {
  connect(peer: string): Socket;
  /** Milliseconds of a steady clock. */
  now(): number;
  /** Runs `fn` after so many milliseconds; the result cancels. */
  after(ms: number, fn: () => void): () => void;
  /** Runs `fn` at the end of this turn of the loop, when all that it brought is read. */
  afterCurrentIteration(fn: () => void): void;
}

/**
 * Who one end of a connection is: its address, an id that no other process at that address ever has, and the number of the connection,
 * which rises with each that this process opens (0 from the end that accepted it).
 */
export interface PeerIdentity {
  address: string;
  instance: string;
  connection: number;
}

/** First line of every connection: who does not say it is no peer. */
export const GREETING = 'harecross-peer/1';
/** What a line is longer than its frame at most: the call's number, a space, the newline. */
export const LINE_OVERHEAD_BYTES = 24;
/** Bytes of one write at most, about. */
export const WRITE_CHUNK_BYTES = 256 * 1024;
/** A peer for which more than this waits is not read from. */
export const UNREAD_BYTES = 4 * WRITE_CHUNK_BYTES;
/**
 * The number of the transport's own lines, which it answers by itself: pings, so that slow work is told from a dead peer, and the
 * introduction of both ends. Peers of earlier versions answer an introduction like a ping, with an empty frame.
 */
export const CONTROL_ID = 0;

/** Cuts a stream of bytes into lines of bounded length. */
export class LineReader {
  private chunks: Buffer[] = [];
  private heldBytes = 0;
  constructor(
    public maxLineBytes: number,
    private line: (s: string) => boolean,
  ) {}

  /** False once a line was too long or refused; the connection is then of no more use. */
  take(d: Buffer): boolean {
    let from = 0;
    for (;;) {
      const to = d.indexOf(10, from);
      const end = to < 0 ? d.length : to;
      if (this.heldBytes + end - from > this.maxLineBytes) {
        this.chunks = [];
        return false;
      }
      if (to < 0) {
        if (from < d.length) {
          this.chunks.push(d.subarray(from));
          this.heldBytes += d.length - from;
        }
        return true;
      }
      let s: string;
      if (this.heldBytes) {
        this.chunks.push(d.subarray(from, to));
        s = Buffer.concat(this.chunks).toString('utf8');
        this.chunks = [];
        this.heldBytes = 0;
      } else s = d.toString('utf8', from, to);
      from = to + 1;
      if (!this.line(s)) return false;
    }
  }
}

const INTRODUCTION = /^hello (\S+) (\S+) (\d{1,15})$/;

/** The frame by which one end of a connection tells the other who it is. */
export const introduce = (self: PeerIdentity): string => `hello ${self.address} ${self.instance} ${self.connection}`;

/**
 * Who the other end says it is; undefined for a ping.
 * @example
 * introduced('hello 10.1.0.4:7100 6f1c 3'); // { address: '10.1.0.4:7100', instance: '6f1c', connection: 3 }
 */
export function introduced(frame: string): PeerIdentity | undefined {
  const m = INTRODUCTION.exec(frame);
  return m ? { address: m[1]!, instance: m[2]!, connection: Number(m[3]) } : undefined;
}

/** The number and the frame of a line; undefined when it has none. */
export function readLine(s: string): { id: number; frame: string } | undefined {
  const i = s.indexOf(' ');
  const id = i < 1 || i > 16 ? NaN : Number(s.slice(0, i));
  return Number.isSafeInteger(id) && id >= 0 ? { id, frame: s.slice(i + 1) } : undefined;
}

/** Does what was noted during a turn of the loop once, at its end: what was written meanwhile becomes one write. */
export class FlushScheduler {
  private dirty = new Set<{ flush(): void }>();
  private armed = false;

  constructor(private system: TransportEnvironment) {}

  note(x: { flush(): void }): void {
    this.dirty.add(x);
    if (this.armed) return;
    this.armed = true;
    this.system.afterCurrentIteration(() => this.flushAll());
  }
  flushAll(): void {
    this.armed = false;
    const all = [...this.dirty];
    this.dirty.clear();
    for (const x of all) x.flush();
  }
}

/** Writes to a socket, long matter piece by piece, so that its way out can be watched and what follows waits here. */
export class FrameWriter {
  private pieces: Buffer[] = [];
  private piecesBytes = 0;
  /** `moved` is called when a batch or a piece has left; a piece that left is a sign that the other side reads. */
  constructor(
    private s: Socket,
    private onWritten: (piece: boolean) => void,
  ) {}

  /** Bytes that have not left. */
  get waiting(): number {
    return this.s.writableLength + this.piecesBytes;
  }
  /** Whether the next batch may be written. */
  get free(): boolean {
    return !this.pieces.length && this.s.writableLength < WRITE_CHUNK_BYTES;
  }

  write(out: string, bytes: number): void {
    if (bytes <= 2 * WRITE_CHUNK_BYTES) {
      this.s.write(out, 'utf8', (e) => {
        // A socket that failed takes nothing more: what waits was surely not written.
        if (!e) this.onWritten(false);
      });
      return;
    }
    const b = Buffer.from(out);
    for (let i = 0; i < b.length; i += WRITE_CHUNK_BYTES) this.pieces.push(b.subarray(i, i + WRITE_CHUNK_BYTES));
    this.piecesBytes = b.length;
    this.writeNextChunk();
  }

  private writeNextChunk(): void {
    const p = this.pieces.shift();
    if (!p) return;
    this.piecesBytes -= p.length;
    this.s.write(p, (e) => {
      if (e) return;
      this.writeNextChunk();
      this.onWritten(true);
    });
  }
}
