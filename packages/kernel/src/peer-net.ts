/** Implements `Net` over TCP: outbound links to peers and the connections accepted from them. */
import { randomUUID } from 'node:crypto';
import { connect, createServer, type NetConnectOpts, type Server } from 'node:net';
import { PROCESS } from './constants.js';
import { HarecrossError } from './fault.js';
import { parseAddress, type Net, type NetEvents } from './host.js';
import {
  WRITE_CHUNK_BYTES,
  FlushScheduler,
  type PeerIdentity,
  type TransportLimits,
  type TransportEnvironment,
} from './peer-framing.js';
import { closeSocket, PeerLink } from './peer-link.js';
import { AcceptedConnection } from './peer-server.js';

const realEnvironment: TransportEnvironment = {
  connect: (peer) =>
    connect({ ...parseAddress(peer), noDelay: true, highWaterMark: WRITE_CHUNK_BYTES } as NetConnectOpts),
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
 * The connections accepted from peers. An address belongs to one process at a time, and a process has one connection to us at a time:
 * when a later connection sends its hello, earlier ones are closed and no further call from them is handled, since their callers have
 * already failed those calls. Between connections of one process the connection number decides which is later; between two processes
 * the order of acceptance does, since the earlier process had ended before the later one started.
 */
export class AcceptedConnections {
  /** In order of acceptance. */
  readonly all = new Set<AcceptedConnection>();

  /** Compares a connection that has sent its hello with the others from its address, and closes all but the latest. */
  closeSuperseded(connection: AcceptedConnection): void {
    const { peer } = connection;
    if (!peer) return;
    let acceptedLater = false;
    for (const other of this.all) {
      if (other === connection) {
        acceptedLater = true;
        continue;
      }
      if (other.peer?.address !== peer.address) continue;
      const sameProcess = other.peer.instance === peer.instance;
      const otherIsLater = sameProcess ? other.peer.connection > peer.connection : acceptedLater;
      (otherIsLater ? connection : other).supersede();
    }
  }
}

/**
 * Peer frames over TCP. Each ordered pair of nodes has one long-lived connection, opened by the caller, with any number of calls in
 * flight. Calls and answers are lines of the form `id frame`; all lines produced in one event loop iteration go out in one write. A call
 * fails with `unreachable` only if it was never written, with `cut` if its connection broke before the answer arrived, and with
 * `timeout` if no answer arrived in time. Frames must not contain a newline.
 * @example
 * const net = peerNet('127.0.0.1:7101');
 * await net.serve(async (frame) => answer(frame));
 * await net.call('127.0.0.1:7102', frame, 800); // rejects with a HarecrossError: unreachable, cut, timeout, overloaded, too_large
 */
export function peerNet(self: string, overrides: Partial<TransportLimits> = {}): Net {
  const limits: TransportLimits = {
    connectMs: PROCESS.connectMs,
    quietMs: PROCESS.peerQuietMs,
    maxFrameBytes: PROCESS.peerFrameBytes,
    pendingBytesLimit: PROCESS.peerWaitingBytes,
    callLimit: PROCESS.peerCallLimit,
    connectionLimit: PROCESS.peerConnectionLimit,
    closeMs: PROCESS.peerCloseMs,
    ...overrides,
  };
  const links = new Map<string, PeerLink>();
  const identity: PeerIdentity = { address: self, instance: randomUUID(), connection: 0 };
  let openedConnections = 0;
  const createIdentity = (): PeerIdentity => ({ ...identity, connection: ++openedConnections });
  const environment = realEnvironment;
  const connections = new AcceptedConnections();
  const flushScheduler = new FlushScheduler(environment);
  let events: NetEvents | undefined;
  let server: Server | undefined;
  let closed = false;
  // Closes links that have been idle for `peerIdleMs`.
  const idleTimer = setInterval(() => {
    const idleBefore = performance.now() - PROCESS.peerIdleMs;
    for (const [peer, link] of links)
      if (link.isIdleSince(idleBefore)) {
        links.delete(peer);
        void link.close();
      }
  }, PROCESS.peerIdleMs / 2);
  idleTimer.unref();
  return {
    async serve(handle, netEvents) {
      events = netEvents;
      const tcpServer = createServer(
        {
          noDelay: true,
          highWaterMark: WRITE_CHUNK_BYTES,
          keepAlive: true,
          keepAliveInitialDelay: PROCESS.peerKeepAliveMs,
        },
        (socket) => {
          const accepted = new AcceptedConnection(
            socket,
            limits,
            flushScheduler,
            identity,
            environment,
            (identified) => connections.closeSuperseded(identified),
            handle,
            () => events,
          );
          connections.all.add(accepted);
          socket.on('close', () => connections.all.delete(accepted));
        },
      );
      tcpServer.maxConnections = limits.connectionLimit;
      server = tcpServer;
      await new Promise<void>((resolve, reject) => {
        tcpServer.on('error', reject);
        tcpServer.listen(parseAddress(self), () => {
          tcpServer.off('error', reject);
          resolve();
        });
      });
      tcpServer.on('error', () => netEvents?.count('peer.server.error'));
    },
    call(peer, frame, timeoutMs) {
      if (closed)
        return Promise.reject(new HarecrossError({ tag: 'cut', step: 'call', peer, detail: 'closed locally' }));
      let link = links.get(peer);
      if (!link) {
        link = new PeerLink(peer, limits, flushScheduler, createIdentity, environment, () => events);
        links.set(peer, link);
      }
      return link.call(frame, timeoutMs);
    },
    async close() {
      closed = true;
      clearInterval(idleTimer);
      events = undefined;
      const tcpServer = server;
      const serverClosed =
        tcpServer &&
        new Promise<void>((resolve) => {
          tcpServer.close(() => resolve());
        });
      flushScheduler.flushAll();
      await Promise.all([
        ...[...links.values()].map((link) => link.close()),
        ...[...connections.all].map((accepted) => closeSocket(accepted.socket, limits.closeMs)),
      ]);
      links.clear();
      await serverClosed;
    },
  };
}
