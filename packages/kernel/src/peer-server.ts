/** The serving side of the peer transport: a connection that a peer opened to us. */
import type { Socket } from 'node:net';
import type { NetEvents } from './host.js';
import {
  GREETING,
  LineReader,
  LINE_OVERHEAD_BYTES,
  CONTROL_ID,
  UNREAD_BYTES,
  FrameWriter,
  introduce,
  introduced,
  readLine,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
  type FlushScheduler,
} from './peer-framing.js';

/** A connection that a peer opened to us. */
export class AcceptedConnection {
  private greeted = false;
  private outputQueue: string[] = [];
  private outBytes = 0;
  private writer: FrameWriter;
  private callsInFlight = 0;
  private paused = false;
  private superseded = false;
  private lineReader: LineReader;
  private cancelHello: () => void;
  /** Numbers of one connection only rise: a line that comes twice is none of a peer's. */
  private lastId = CONTROL_ID;
  /** The process at the other end, once it has introduced itself. */
  peer?: PeerIdentity;

  constructor(
    readonly s: Socket,
    private limits: TransportLimits,
    private turn: FlushScheduler,
    private self: PeerIdentity,
    system: TransportEnvironment,
    private met: (connection: AcceptedConnection) => void,
    private handle: (frame: string) => Promise<string>,
    private news: () => NetEvents | undefined,
  ) {
    this.lineReader = new LineReader(GREETING.length, (l) => this.line(l));
    this.writer = new FrameWriter(s, () => {
      this.flush();
      this.pace();
    });
    this.cancelHello = system.after(limits.connectMs * 2, () =>
      system.afterCurrentIteration(() => {
        if (!this.greeted) this.bad();
      }),
    );
    s.on('data', (d) => {
      if (!this.lineReader.take(d)) this.bad();
    });
    s.on('error', () => undefined);
    s.on('close', () => this.cancelHello());
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
      this.cancelHello();
      this.lineReader.maxLineBytes = this.limits.maxFrameBytes + LINE_OVERHEAD_BYTES;
      return true;
    }
    const r = readLine(l);
    if (!r) return false;
    if (r.id === CONTROL_ID) {
      this.own(r.frame);
      return true;
    }
    if (this.superseded) return true;
    if (r.id <= this.lastId) return false;
    this.lastId = r.id;
    this.callsInFlight++;
    this.handle(r.frame).then(
      (a) => {
        this.callsInFlight--;
        this.say(r.id, a);
        this.pace();
      },
      // Not a frame of ours: a peer never sends one.
      () => {
        this.callsInFlight--;
        this.bad();
      },
    );
    this.pace();
    return true;
  }

  /** A line of the transport itself. */
  private own(frame: string): void {
    const peer = introduced(frame);
    if (!peer) {
      this.say(CONTROL_ID, '');
      return;
    }
    this.peer = peer;
    this.say(CONTROL_ID, introduce(this.self));
    this.met(this);
  }

  /** Another process has taken the address of the one that opened this connection: nothing more of it is run. */
  supersede(): void {
    this.superseded = true;
    this.news()?.count('peer.link.superseded');
    this.s.destroy();
  }

  private say(id: number, frame: string): void {
    if (!this.s.writable) return;
    let bytes = Buffer.byteLength(frame);
    if (bytes > this.limits.maxFrameBytes) {
      frame = '';
      bytes = 0;
    }
    if (this.outBytes + this.writer.waiting + bytes > this.limits.pendingBytesLimit) {
      // It asks and does not read.
      this.news()?.count('peer.link.unread');
      this.s.destroy();
      return;
    }
    this.outputQueue.push(`${id} ${frame}\n`);
    this.outBytes += bytes;
    this.turn.note(this);
  }

  flush(): void {
    if (!this.s.writable || !this.writer.free || !this.outputQueue.length) return;
    const out = this.outputQueue.join('');
    const bytes = this.outBytes;
    this.outputQueue = [];
    this.outBytes = 0;
    this.writer.write(out, bytes);
  }

  /** Reads on only while the peer reads too and not too much of it is in work. */
  private pace(): void {
    const stop = this.callsInFlight >= this.limits.callLimit || this.outBytes + this.writer.waiting > UNREAD_BYTES;
    if (stop === this.paused || this.s.destroyed) return;
    this.paused = stop;
    if (stop) this.s.pause();
    else this.s.resume();
  }
}
