import { createServer, connect, type Server, type Socket } from 'node:net';
import { parseAddress } from '@harecross/kernel';
import type { RandomSource } from '@harecross/kernel';

/** A proxied connection: the client's socket and the one to the node. */
interface ProxiedConnection {
  client: Socket;
  node: Socket;
  /** Limit in bytes per second, in each direction. */
  rate?: number;
  /** Half-open or closed: nothing is forwarded any more. */
  dead: boolean;
  /** Forwarding pauses until this time. */
  stalledUntil: number;
}

/**
 * A TCP proxy in front of a node's client address that simulates a poor network: its connections can be rate-limited, stalled,
 * reset, or left half-open (nothing is forwarded any more, and neither side is notified).
 * @example
 * const proxy = await LinkProxy.start('127.0.0.1:7004'); proxy.reset(0.97, random);
 */
export class LinkProxy {
  address = '';
  private pairs = new Set<ProxiedConnection>();
  private server!: Server;

  /** Starts a proxy on a free loopback port. */
  static async start(target: string): Promise<LinkProxy> {
    const link = new LinkProxy();
    link.server = createServer({ noDelay: true }, (client) => link.join(client, target));
    await new Promise<void>((res, rej) => {
      link.server.on('error', rej);
      link.server.listen(0, '127.0.0.1', res);
    });
    link.address = `127.0.0.1:${(link.server.address() as { port: number }).port}`;
    return link;
  }

  private join(client: Socket, target: string): void {
    const node = connect({ ...parseAddress(target), noDelay: true });
    const p: ProxiedConnection = { client, node, dead: false, stalledUntil: 0 };
    this.pairs.add(p);
    const end = (): void => {
      if (p.dead) return;
      this.pairs.delete(p);
      client.destroy();
      node.destroy();
    };
    const forward = (from: Socket, to: Socket): void => {
      from.on('data', (d) => {
        if (p.dead) {
          from.pause();
          return;
        }
        const writable = to.write(d);
        const waitMs = Math.max(
          p.rate === undefined ? 0 : (d.length * 1000) / p.rate,
          p.stalledUntil - performance.now(),
        );
        if (waitMs > 1) {
          from.pause();
          setTimeout(() => {
            if (!p.dead) from.resume();
          }, waitMs);
        } else if (!writable) {
          from.pause();
          to.once('drain', () => {
            if (!p.dead) from.resume();
          });
        }
      });
    };
    forward(client, node);
    forward(node, client);
    for (const s of [client, node]) {
      s.on('error', end);
      s.on('close', end);
    }
  }

  /** A random share of the live connections. */
  private sample(share: number, random: RandomSource): ProxiedConnection[] {
    return [...this.pairs].filter((p) => !p.dead && random.next() < share);
  }

  /** Resets a random share of the connections, on both sides; returns how many. */
  reset(share: number, random: RandomSource): number {
    const selected = this.sample(share, random);
    for (const p of selected) {
      this.pairs.delete(p);
      p.client.resetAndDestroy();
      p.node.resetAndDestroy();
    }
    return selected.length;
  }
  /** Stops forwarding on a random share of the connections for good, without notifying either side; returns how many. */
  halfOpen(share: number, random: RandomSource): number {
    const selected = this.sample(share, random);
    for (const p of selected) {
      p.dead = true;
      p.client.pause();
      p.node.pause();
    }
    return selected.length;
  }
  /** Stops forwarding on a random share of the connections for `ms`; returns how many. */
  stall(share: number, random: RandomSource, ms: number): number {
    const selected = this.sample(share, random);
    for (const p of selected) p.stalledUntil = performance.now() + ms;
    return selected.length;
  }
  /** Limits a random share of the connections to `rate` bytes per second in each direction, or lifts the limit; returns how many. */
  limitRate(share: number, random: RandomSource, rate: number | undefined): number {
    const selected = this.sample(share, random);
    for (const p of selected) p.rate = rate;
    return selected.length;
  }

  async close(): Promise<void> {
    for (const p of this.pairs) {
      p.dead = true;
      p.client.destroy();
      p.node.destroy();
    }
    await new Promise<void>((res) => this.server.close(() => res()));
  }
}
