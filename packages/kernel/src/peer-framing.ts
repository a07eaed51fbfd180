/**
 * Framing of the peer transport: a connection carries lines of the form `id frame` in both directions. The id matches an answer to its
 * call; id {@link CONTROL_ID} is reserved for control lines of the transport itself.
 */
import type { Socket } from 'node:net';

/** Limits and timeouts of the peer transport; the defaults are in constants.ts. */
export interface TransportLimits {
  connectMs: number;
  quietMs: number;
  maxFrameBytes: number;
  pendingBytesLimit: number;
  callLimit: number;
  connectionLimit: number;
  closeMs: number;
}

/** The transport's dependencies on sockets, clock and timers, so that tests can run it in virtual time. */
export interface TransportEnvironment {
  connect(peer: string): Socket;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Runs `fn` after `ms` milliseconds; the result cancels the timer. */
  after(ms: number, fn: () => void): () => void;
  /** Runs `fn` at the end of the current event loop iteration, after all available input has been read. */
  afterCurrentIteration(fn: () => void): void;
}

/**
 * The identity of one end of a connection: its address, an id that is unique to its process, and the number of the connection, which
 * increases with each connection that this process opens (0 from the accepting end).
 */
export interface PeerIdentity {
  address: string;
  instance: string;
  connection: number;
}

/** First line of every connection. A connection that starts with anything else is not from a peer and is closed. */
export const GREETING = 'harecross-peer/1';
/** Maximum number of bytes by which a line exceeds its frame: the call id, a space and the newline. */
export const LINE_OVERHEAD_BYTES = 24;
/** Approximate maximum size of one write. */
export const WRITE_CHUNK_BYTES = 256 * 1024;
/** While more than this many bytes are waiting to be sent to a peer, nothing is read from it. */
export const READ_PAUSE_BYTES = 4 * WRITE_CHUNK_BYTES;
/**
 * The id of control lines, which the transport answers without a handler: pings, which tell a slow handler from a dead peer, and the
 * hello of both ends. Peers of earlier versions answer a hello like a ping, with an empty frame.
 */
export const CONTROL_ID = 0;

/** Splits a byte stream into lines of limited length. */
export class LineReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  constructor(
    public maxLineBytes: number,
    private onLine: (line: string) => boolean,
  ) {}

  /** Returns false once a line exceeds the limit or is rejected by `onLine`; the connection must then be closed. */
  push(data: Buffer): boolean {
    let start = 0;
    for (;;) {
      const newline = data.indexOf(10, start);
      const end = newline < 0 ? data.length : newline;
      if (this.bufferedBytes + end - start > this.maxLineBytes) {
        this.chunks = [];
        return false;
      }
      if (newline < 0) {
        if (start < data.length) {
          this.chunks.push(data.subarray(start));
          this.bufferedBytes += data.length - start;
        }
        return true;
      }
      let line: string;
      if (this.bufferedBytes) {
        this.chunks.push(data.subarray(start, newline));
        line = Buffer.concat(this.chunks).toString('utf8');
        this.chunks = [];
        this.bufferedBytes = 0;
      } else line = data.toString('utf8', start, newline);
      start = newline + 1;
      if (!this.onLine(line)) return false;
    }
  }
}

const HELLO = /^hello (\S+) (\S+) (\d{1,15})$/;

/** The frame with which one end of a connection identifies itself to the other. */
export const encodeHello = (self: PeerIdentity): string => `hello ${self.address} ${self.instance} ${self.connection}`;

/**
 * The identity in a hello frame; undefined for a ping.
 * @example
 * decodeHello('hello 10.1.0.4:7100 6f1c 3'); // { address: '10.1.0.4:7100', instance: '6f1c', connection: 3 }
 */
export function decodeHello(frame: string): PeerIdentity | undefined {
  const match = HELLO.exec(frame);
  return match ? { address: match[1]!, instance: match[2]!, connection: Number(match[3]) } : undefined;
}

/** The id and frame of a line; undefined if it does not start with a valid id. */
export function parseLine(line: string): { id: number; frame: string } | undefined {
  const space = line.indexOf(' ');
  const id = space < 1 || space > 16 ? NaN : Number(line.slice(0, space));
  return Number.isSafeInteger(id) && id >= 0 ? { id, frame: line.slice(space + 1) } : undefined;
}

/** Flushes each scheduled connection once at the end of the event loop iteration, so that frames queued meanwhile share one write. */
export class FlushScheduler {
  private scheduled = new Set<{ flush(): void }>();
  private flushPending = false;

  constructor(private environment: TransportEnvironment) {}

  schedule(connection: { flush(): void }): void {
    this.scheduled.add(connection);
    if (this.flushPending) return;
    this.flushPending = true;
    this.environment.afterCurrentIteration(() => this.flushAll());
  }
  flushAll(): void {
    this.flushPending = false;
    const connections = [...this.scheduled];
    this.scheduled.clear();
    for (const connection of connections) connection.flush();
  }
}

/** Writes to a socket, large batches chunk by chunk, so that progress can be observed and later output waits in this process. */
export class FrameWriter {
  private chunks: Buffer[] = [];
  private chunksBytes = 0;
  /**
   * `moved` is called when a small batch (`isChunk` false) or a chunk of a large one (`isChunk` true) has been written. A written
   * chunk shows that the peer is still reading.
   */
  constructor(
    private socket: Socket,
    private onWritten: (isChunk: boolean) => void,
  ) {}

  /** Bytes not yet passed to the operating environment. */
  get pendingBytes(): number {
    return this.socket.writableLength + this.chunksBytes;
  }
  /** Whether the next batch may be written. */
  get isReady(): boolean {
    return !this.chunks.length && this.socket.writableLength < WRITE_CHUNK_BYTES;
  }

  write(output: string, bytes: number): void {
    if (bytes <= 2 * WRITE_CHUNK_BYTES) {
      this.socket.write(output, 'utf8', (error) => {
        // After an error nothing more is written to the socket, so calls still waiting are known to be unsent.
        if (!error) this.onWritten(false);
      });
      return;
    }
    const buffer = Buffer.from(output);
    for (let i = 0; i < buffer.length; i += WRITE_CHUNK_BYTES)
      this.chunks.push(buffer.subarray(i, i + WRITE_CHUNK_BYTES));
    this.chunksBytes = buffer.length;
    this.writeNextChunk();
  }

  private writeNextChunk(): void {
    const chunk = this.chunks.shift();
    if (!chunk) return;
    this.chunksBytes -= chunk.length;
    this.socket.write(chunk, (error) => {
      if (error) return;
      this.writeNextChunk();
      this.onWritten(true);
    });
  }
}
