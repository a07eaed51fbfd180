/** The serving side of the peer transport: a connection accepted from a peer. */
import type { Socket } from 'node:net';
import type { NetEvents } from './host.js';
import {
  GREETING,
  LineReader,
  LINE_OVERHEAD_BYTES,
  CONTROL_ID,
  READ_PAUSE_BYTES,
  FrameWriter,
  encodeHello,
  decodeHello,
  parseLine,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
  type FlushScheduler,
} from './peer-framing.js';

/** A connection accepted from a peer. */
export class AcceptedConnection {
  private greetingReceived = false;
  private outputQueue: string[] = [];
  private outputBytes = 0;
  private writer: FrameWriter;
  private callsInFlight = 0;
  private paused = false;
  private superseded = false;
  private lineReader: LineReader;
  private cancelGreetingTimer: () => void;
  /** Call ids only increase within one connection; a line that repeats an id is a protocol violation. */
  private lastId = CONTROL_ID;
  /** The process at the other end, once it has sent its hello. */
  peer?: PeerIdentity;

  constructor(
    readonly socket: Socket,
    private limits: TransportLimits,
    private flushScheduler: FlushScheduler,
    private self: PeerIdentity,
    environment: TransportEnvironment,
    private onIdentified: (connection: AcceptedConnection) => void,
    private handle: (frame: string) => Promise<string>,
    private events: () => NetEvents | undefined,
  ) {
    this.lineReader = new LineReader(GREETING.length, (line) => this.onLine(line));
    this.writer = new FrameWriter(socket, () => {
      this.flush();
      this.updateReadPause();
    });
    this.cancelGreetingTimer = environment.after(limits.connectMs * 2, () =>
      environment.afterCurrentIteration(() => {
        if (!this.greetingReceived) this.rejectProtocolViolation();
      }),
    );
    socket.on('data', (data) => {
      if (!this.lineReader.push(data)) this.rejectProtocolViolation();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.cancelGreetingTimer());
  }

  /** Closes the connection because its input is not valid peer traffic. */
  private rejectProtocolViolation(): void {
    if (this.socket.destroyed) return;
    this.events()?.count('peer.link.garbage');
    this.socket.destroy();
  }

  /** Processes one line from the peer. Returns false if the line violates the protocol. */
  private onLine(line: string): boolean {
    if (!this.greetingReceived) {
      if (line !== GREETING) return false;
      this.greetingReceived = true;
      this.cancelGreetingTimer();
      this.lineReader.maxLineBytes = this.limits.maxFrameBytes + LINE_OVERHEAD_BYTES;
      return true;
    }
    const parsed = parseLine(line);
    if (!parsed) return false;
    if (parsed.id === CONTROL_ID) {
      this.onControlFrame(parsed.frame);
      return true;
    }
    if (this.superseded) return true;
    if (parsed.id <= this.lastId) return false;
    this.lastId = parsed.id;
    this.callsInFlight++;
    this.handle(parsed.frame).then(
      (answer) => {
        this.callsInFlight--;
        this.send(parsed.id, answer);
        this.updateReadPause();
      },
      // The handler rejects only a frame that is not a valid request, which no peer sends.
      () => {
        this.callsInFlight--;
        this.rejectProtocolViolation();
      },
    );
    this.updateReadPause();
    return true;
  }

  /** Answers a ping or a hello. */
  private onControlFrame(frame: string): void {
    const peer = decodeHello(frame);
    if (!peer) {
      this.send(CONTROL_ID, '');
      return;
    }
    this.peer = peer;
    this.send(CONTROL_ID, encodeHello(this.self));
    this.onIdentified(this);
  }

  /** Closes the connection because a later one from the same address has replaced it. No further call from it is handled. */
  supersede(): void {
    this.superseded = true;
    this.events()?.count('peer.link.superseded');
    this.socket.destroy();
  }

  private send(id: number, frame: string): void {
    if (!this.socket.writable) return;
    let bytes = Buffer.byteLength(frame);
    if (bytes > this.limits.maxFrameBytes) {
      // An empty frame tells the caller that the answer is too large.
      frame = '';
      bytes = 0;
    }
    if (this.outputBytes + this.writer.pendingBytes + bytes > this.limits.pendingBytesLimit) {
      // The peer keeps sending calls without reading the answers.
      this.events()?.count('peer.link.unread');
      this.socket.destroy();
      return;
    }
    this.outputQueue.push(`${id} ${frame}\n`);
    this.outputBytes += bytes;
    this.flushScheduler.schedule(this);
  }

  flush(): void {
    if (!this.socket.writable || !this.writer.isReady || !this.outputQueue.length) return;
    const output = this.outputQueue.join('');
    const bytes = this.outputBytes;
    this.outputQueue = [];
    this.outputBytes = 0;
    this.writer.write(output, bytes);
  }

  /** Pauses reading while the peer has too many calls in flight or does not read its answers. */
  private updateReadPause(): void {
    const pause =
      this.callsInFlight >= this.limits.callLimit || this.outputBytes + this.writer.pendingBytes > READ_PAUSE_BYTES;
    if (pause === this.paused || this.socket.destroyed) return;
    this.paused = pause;
    if (pause) this.socket.pause();
    else this.socket.resume();
  }
}
