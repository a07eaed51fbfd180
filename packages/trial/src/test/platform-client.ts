import { connect, type Socket } from 'node:net';

/** What came on a connection: a line of fields, and the body of a DELIVER. */
export interface Said {
  fields: string[];
  body?: string;
}

/**
 * Clients come from an address of their own: thousands of them on 127.0.0.1 would take ports there that the OS has just
 * named as free to other tests' processes.
 */
const OURS = '127.0.0.2';

/** A client of the platform's line protocol, written from its pages alone: it shares no code with the listener. */
export class LineClient {
  readonly all: Said[] = [];
  /** Resolves when the connection is closed, by whomever; says whether by a reset. */
  readonly closed: Promise<{ reset: boolean }>;
  over = false;
  /** Bytes that a reader of the pages could not read. */
  unreadable: string | undefined;
  private rest = Buffer.alloc(0);
  private next = 0;
  private waiting: (() => void)[] = [];

  private constructor(
    readonly socket: Socket,
    deaf: boolean,
  ) {
    let reset = false;
    socket.on('error', (e: NodeJS.ErrnoException) => {
      reset = e.code === 'ECONNRESET' || e.code === 'EPIPE';
    });
    this.closed = new Promise((res) =>
      socket.on('close', () => {
        this.over = true;
        this.wake();
        res({ reset });
      }),
    );
    if (!deaf) this.listen();
  }

  /** @example const c = await LineClient.to(8266); // `deaf`: reads nothing until `listen` */
  static to(port: number, x: { host?: string; deaf?: boolean } = {}): Promise<LineClient> {
    return new Promise((res, rej) => {
      const socket = connect({ port, host: x.host ?? '127.0.0.1', localAddress: OURS });
      socket.setNoDelay(true);
      socket.once('error', rej);
      socket.once('connect', () => {
        socket.removeListener('error', rej);
        res(new LineClient(socket, x.deaf === true));
      });
    });
  }

  listen(): void {
    this.socket.on('data', (b) => {
      this.rest = Buffer.concat([this.rest, b]);
      while (this.take());
      this.wake();
    });
  }

  private take(): boolean {
    const end = this.rest.indexOf('\r\n');
    if (end < 0) return false;
    const fields = this.rest.toString('utf8', 0, end).split(' ');
    if (fields[0] !== 'DELIVER') {
      if (!/^(CONFIRM|ACCEPT|TALLY|PROBEACK|REJECT|REDIRECT)$/.test(fields[0]!)) this.unreadable ??= fields.join(' ');
      this.all.push({ fields });
      this.rest = this.rest.subarray(end + 2);
      return true;
    }
    const n = Number(fields[5]);
    if (this.rest.length < end + 2 + n + 2) return false;
    if (this.rest.toString('latin1', end + 2 + n, end + 4 + n) !== '\r\n') this.unreadable ??= fields.join(' ');
    this.all.push({ fields, body: this.rest.toString('utf8', end + 2, end + 2 + n) });
    this.rest = this.rest.subarray(end + 4 + n);
    return true;
  }

  private wake(): void {
    const w = this.waiting;
    this.waiting = [];
    for (const f of w) f();
  }

  send(s: string | Buffer): boolean {
    return this.socket.write(s);
  }

  /** The next of what came, as one string; undefined when the connection closed before. */
  async line(): Promise<string | undefined> {
    for (;;) {
      const s = this.all[this.next];
      if (s) {
        this.next++;
        return s.fields.join(' ') + (s.body === undefined ? '' : ` ${s.body}`);
      }
      if (this.over) return undefined;
      await new Promise<void>((r) => this.waiting.push(r));
    }
  }

  /** Sends a message and gives what comes next. */
  ask(s: string): Promise<string | undefined> {
    this.send(s + '\r\n');
    return this.line();
  }

  /** Waits until enough has come, or the connection has closed. */
  async until(enough: (all: Said[]) => boolean): Promise<void> {
    while (!enough(this.all) && !this.over) await new Promise<void>((r) => this.waiting.push(r));
  }

  /** Leaves with a reset. */
  reset(): void {
    this.socket.resetAndDestroy();
  }
  end(): void {
    this.socket.destroy();
  }
}
