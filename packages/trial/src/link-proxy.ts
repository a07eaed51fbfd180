import { createServer, connect, type Server, type Socket } from 'node:net';
import { parseAddress } from '@harecross/kernel';
import type { RandomSource } from '@harecross/kernel';

interface Pair {
  caller: Socket;
  node: Socket;
  rate?: number;
  dead: boolean;
  stalledTo: number;
}

/**
 * A caller's poor link: a TCP relay in front of a client address, whose connections can be made thin, stall, be reset
 * or die half-open (nothing is passed on any more, and neither side is told).
 * @example
 * const l = await Link.before('127.0.0.1:7004'); l.reset(0.97, random);
 */
export class LinkProxy {
  address = '';
  private pairs = new Set<Pair>();
  private server!: Server;

  static async start(target: string): Promise<LinkProxy> {
    const l = new LinkProxy();
    l.server = createServer({ noDelay: true }, (caller) => l.join(caller, target));
    await new Promise<void>((res, rej) => {
      l.server.on('error', rej);
      l.server.listen(0, '127.0.0.1', res);
    });
    l.address = `127.0.0.1:${(l.server.address() as { port: number }).port}`;
    return l;
  }

  private join(caller: Socket, target: string): void {
    const node = connect({ ...parseAddress(target), noDelay: true });
    const p: Pair = { caller, node, dead: false, stalledTo: 0 };
    this.pairs.add(p);
    const end = (): void => {
      if (p.dead) return;
      this.pairs.delete(p);
      caller.destroy();
      node.destroy();
    };
    const pass = (from: Socket, to: Socket): void => {
      from.on('data', (d) => {
        if (p.dead) {
          from.pause();
          return;
        }
        const ok = to.write(d);
        const wait = Math.max(p.rate === undefined ? 0 : (d.length * 1000) / p.rate, p.stalledTo - performance.now());
        if (wait > 1) {
          from.pause();
          setTimeout(() => {
            if (!p.dead) from.resume();
          }, wait);
        } else if (!ok) {
          from.pause();
          to.once('drain', () => {
            if (!p.dead) from.resume();
          });
        }
      });
    };
    pass(caller, node);
    pass(node, caller);
    for (const s of [caller, node]) {
      s.on('error', end);
      s.on('close', end);
    }
  }

  private some(share: number, random: RandomSource): Pair[] {
    return [...this.pairs].filter((p) => !p.dead && random.next() < share);
  }

  /** Resets a share of the connections, on both sides. */
  reset(share: number, random: RandomSource): number {
    const ps = this.some(share, random);
    for (const p of ps) {
      this.pairs.delete(p);
      p.caller.resetAndDestroy();
      p.node.resetAndDestroy();
    }
    return ps.length;
  }
  /** Nothing more is passed on, and nobody is told. */
  halfOpen(share: number, random: RandomSource): number {
    const ps = this.some(share, random);
    for (const p of ps) {
      p.dead = true;
      p.caller.pause();
      p.node.pause();
    }
    return ps.length;
  }
  /** Nothing is passed on for a while. */
  stall(share: number, random: RandomSource, ms: number): number {
    const ps = this.some(share, random);
    for (const p of ps) p.stalledTo = performance.now() + ms;
    return ps.length;
  }
  /** So many bytes a second, each way. */
  limitRate(share: number, random: RandomSource, rate: number | undefined): number {
    const ps = this.some(share, random);
    for (const p of ps) p.rate = rate;
    return ps.length;
  }

  async close(): Promise<void> {
    for (const p of this.pairs) {
      p.dead = true;
      p.caller.destroy();
      p.node.destroy();
    }
    await new Promise<void>((res) => this.server.close(() => res()));
  }
}
