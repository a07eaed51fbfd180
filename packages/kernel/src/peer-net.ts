/** The peer transport: links to peers and the connections they opened to us, behind one `Net`. */
import { randomUUID } from 'node:crypto';
import { connect, createServer, type NetConnectOpts, type Server } from 'node:net';
import { PROCESS } from './constants.js';
import { HarecrossError } from './fault.js';
import { parseAddress, type Net, type NetEvents } from './host.js';
import { WRITE_CHUNK_BYTES, FlushScheduler, type PeerIdentity, type TransportLimits, type TransportEnvironment } from './peer-framing.js';
import { endSocket, PeerLink } from './peer-link.js';
import { AcceptedConnection } from './peer-server.js';

const realSystem: TransportEnvironment = {
  connect: (peer) => connect({ ...parseAddress(peer), noDelay: true, highWaterMark: WRITE_CHUNK_BYTES } as NetConnectOpts),
  now: () => performance.now(),
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
  afterCurrentIteration: (fn) => {
    setImmediate(fn);
  },
};

/**
 * The connections that peers opened to us. An address has one process at a time, and a process one connection to us at a time: once a
 * later one introduces itself, earlier ones are ended, and what still comes on them is not run. Their calls have been given up. Of one
 * process the number tells which is later; of two, the order in which they came, since the earlier process had ended before.
 */
export class AcceptedConnections {
  /** In the order in which they came. */
  readonly all = new Set<AcceptedConnection>();

  closeSuperseded(connection: AcceptedConnection): void {
    const { peer } = connection;
    if (!peer) return;
    let cameLater = false;
    for (const other of this.all) {
      if (other === connection) {
        cameLater = true;
        continue;
      }
      if (other.peer?.address !== peer.address) continue;
      const sameProcess = other.peer.instance === peer.instance;
      const otherIsLater = sameProcess ? other.peer.connection > peer.connection : cameLater;
      (otherIsLater ? connection : other).supersede();
    }
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
export function peerNet(self: string, bounds: Partial<TransportLimits> = {}): Net {
  const b: TransportLimits = {
    connectMs: PROCESS.connectMs,
    quietMs: PROCESS.peerQuietMs,
    maxFrameBytes: PROCESS.peerFrameBytes,
    pendingBytesLimit: PROCESS.peerWaitingBytes,
    callLimit: PROCESS.peerCallLimit,
    connectionLimit: PROCESS.peerConnectionLimit,
    closeMs: PROCESS.peerCloseMs,
    ...bounds,
  };
  const links = new Map<string, PeerLink>();
  const identity: PeerIdentity = { address: self, instance: randomUUID(), connection: 0 };
  let opened = 0;
  const introduction = (): PeerIdentity => ({ ...identity, connection: ++opened });
  const system = realSystem;
  const accepted = new AcceptedConnections();
  const turn = new FlushScheduler(system);
  let news: NetEvents | undefined;
  let server: Server | undefined;
  let closed = false;
  // Links to peers we have nothing to say to any more are given back.
  const idle = setInterval(() => {
    const at = performance.now() - PROCESS.peerIdleMs;
    for (const [p, l] of links)
      if (l.idleSince(at)) {
        links.delete(p);
        void l.close();
      }
  }, PROCESS.peerIdleMs / 2);
  idle.unref();
  return {
    async serve(handle, n) {
      news = n;
      const srv = createServer(
        { noDelay: true, highWaterMark: WRITE_CHUNK_BYTES, keepAlive: true, keepAliveInitialDelay: PROCESS.peerKeepAliveMs },
        (s) => {
          const a = new AcceptedConnection(
            s,
            b,
            turn,
            identity,
            system,
            (c) => accepted.closeSuperseded(c),
            handle,
            () => news,
          );
          accepted.all.add(a);
          s.on('close', () => accepted.all.delete(a));
        },
      );
      srv.maxConnections = b.connectionLimit;
      server = srv;
      await new Promise<void>((res, rej) => {
        srv.on('error', rej);
        srv.listen(parseAddress(self), () => {
          srv.off('error', rej);
          res();
        });
      });
      srv.on('error', () => n?.count('peer.server.error'));
    },
    call(peer, frame, timeoutMs) {
      if (closed) return Promise.reject(new HarecrossError({ tag: 'cut', step: 'call', peer, detail: 'closed by us' }));
      let l = links.get(peer);
      if (!l) {
        l = new PeerLink(peer, b, turn, introduction, system, () => news);
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
      turn.flushAll();
      await Promise.all([
        ...[...links.values()].map((l) => l.close()),
        ...[...accepted.all].map((a) => endSocket(a.s, b.closeMs)),
      ]);
      links.clear();
      await shut;
    },
  };
}
