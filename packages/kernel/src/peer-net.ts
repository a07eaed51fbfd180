/** The peer transport: links to peers and the connections they opened to us, behind one `Net`. */
import { createServer, type Server } from 'node:net';
import { C } from './constants.js';
import { Failure } from './fault.js';
import { addr, type Net, type NetNews } from './host.js';
import { PIECE_BYTES, WriteBatch, type PeerNetBounds } from './peer-framing.js';
import { endSocket, PeerLink } from './peer-link.js';
import { AcceptedConnection } from './peer-server.js';

export type { PeerNetBounds } from './peer-framing.js';

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
  const accepted = new Set<AcceptedConnection>();
  const turn = new WriteBatch();
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
        { noDelay: true, highWaterMark: PIECE_BYTES, keepAlive: true, keepAliveInitialDelay: C.peerKeepAliveMs },
        (s) => {
          const a = new AcceptedConnection(s, b, turn, handle, () => news);
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
        ...[...accepted].map((a) => endSocket(a.s, b.closeMs)),
      ]);
      links.clear();
      await shut;
    },
  };
}
