/** The serving side of the peer transport: a connection that a peer opened to us. */
import type { Socket } from 'node:net';
import type { NetEvents } from './host.js';
import {
  GREETING,
  LineReader,
  LINE_OVERHEAD_BYTES,
  PING,
  UNREAD_BYTES,
  FrameWriter,
  introduce,
  introduced,
  readLine,
  type PeerIdentity,
  type PeerNetBounds,
  type PeerSystem,
  type WriteBatch,
} from './peer-framing.js';

/** A connection that a peer opened to us. */
export class AcceptedConnection {
  private greeted = false;
  private out: string[] = [];
  private outBytes = 0;
  private writer: FrameWriter;
  private busy = 0;
  private paused = false;
  private superseded = false;
  private lines: LineReader;
  private cancelHello: () => void;
  /** Numbers of one connection only rise: a line that comes twice is none of a peer's. */
  private lastId = PING;
  /** The process at the other end, once it has introduced itself. */
  peer?: PeerIdentity;

  constructor(
    readonly s: Socket,
    private bounds: PeerNetBounds,
    private turn: WriteBatch,
    private self: PeerIdentity,
    system: PeerSystem,
    private met: (connection: AcceptedConnection) => void,
    private handle: (frame: string) => Promise<string>,
    private news: () => NetEvents | undefined,
  ) {
    this.lines = new LineReader(GREETING.length, (l) => this.line(l));
    this.writer = new FrameWriter(s, () => {
      this.flush();
      this.pace();
    });
    this.cancelHello = system.after(bounds.connectMs * 2, () =>
      system.soon(() => {
        if (!this.greeted) this.bad();
      }),
    );
    s.on('data', (d) => {
      if (!this.lines.take(d)) this.bad();
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
      this.lines.limit = this.bounds.frameBytes + LINE_OVERHEAD_BYTES;
      return true;
    }
    const r = readLine(l);
    if (!r) return false;
    if (r.id === PING) {
      this.own(r.frame);
      return true;
    }
    if (this.superseded) return true;
    if (r.id <= this.lastId) return false;
    this.lastId = r.id;
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

  /** A line of the transport itself. */
  private own(frame: string): void {
    const peer = introduced(frame);
    if (!peer) {
      this.say(PING, '');
      return;
    }
    this.peer = peer;
    this.say(PING, introduce(this.self));
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
    if (bytes > this.bounds.frameBytes) {
      frame = '';
      bytes = 0;
    }
    if (this.outBytes + this.writer.waiting + bytes > this.bounds.waitingBytes) {
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
    const stop = this.busy >= this.bounds.callsN || this.outBytes + this.writer.waiting > UNREAD_BYTES;
    if (stop === this.paused || this.s.destroyed) return;
    this.paused = stop;
    if (stop) this.s.pause();
    else this.s.resume();
  }
}
