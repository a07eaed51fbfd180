/** One session a client: which of its sessions, at whatever relay, is the latest. */
import type { MembershipTable } from '@harecross/control';
import { SESSION, rendezvousOrder, type RequestContext, type Kernel } from '@harecross/kernel';
import type { Session } from './session.js';

/** A session as its home is told of it. Names and units as they are sent: `age` in milliseconds. */
interface SessionNotice {
  consumer: string;
  conn: string;
  age: number;
}

/**
 * Each client has a home: the relay that rendezvous hashing gives for its name. Relays tell homes of their sessions; a
 * home that hears of two has the older one closed.
 * @example
 * homes.tell([session]);
 */
export class SessionHomes {
  /** As a home: the latest session of each client. */
  private latest = new Map<string, { conn: string; peer: string; at: number; seenAt: number }>();
  /** Relays came or went: some clients have another home now. */
  private homesMoved = false;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  /** Relays came or went; homes are told with the next `tellMoved`. */
  relaysChanged(): void {
    this.homesMoved = true;
  }

  private homeOf(consumer: string): { peer: string; id: string } | undefined {
    const relays = this.membership.liveMembers().filter((m) => m.role === 'relay' && m.condition !== 'draining');
    const home = rendezvousOrder(`home/${consumer}`, relays, (m) => m.peer)[0];
    return home && { peer: home.peer, id: `${home.peer}~${home.inst}` };
  }

  /** Tells homes of sessions whose home is another one since relays came or went. */
  tellMoved(sessions: Iterable<Session>): void {
    if (!this.homesMoved) return;
    this.homesMoved = false;
    this.tell([...sessions].filter((s) => this.homeOf(s.consumer)?.id !== s.home));
  }

  /** Tells the homes of these sessions' clients that they are here. */
  tell(sessions: Iterable<Session>): void {
    const now = this.kernel.host.clock.now();
    const byHome = new Map<string, SessionNotice[]>();
    for (const session of sessions) {
      const home = this.homeOf(session.consumer);
      if (!home) continue;
      session.home = home.id;
      const notices = byHome.get(home.peer) ?? [];
      notices.push({ consumer: session.consumer, conn: session.id, age: now - session.openedAt });
      byHome.set(home.peer, notices);
    }
    for (const [home, conns] of byHome) this.kernel.call(home, 'Home', { conns }).catch(() => undefined);
  }

  /** As a home: sessions that a relay has. Of two of one client the one opened last stays, in whatever order news of them comes. */
  hear(notices: SessionNotice[], { peer: relay, sentAt }: RequestContext): true {
    const now = this.kernel.host.clock.now();
    for (const notice of notices) {
      const at = sentAt - notice.age;
      const known = this.latest.get(notice.consumer);
      if (known && known.conn !== notice.conn && now - known.seenAt < SESSION.homeForgetMs) {
        const [replaced, holder] = known.at <= at ? [known.conn, known.peer] : [notice.conn, relay];
        this.kernel.call(holder, 'Replace', { conn: replaced }).catch(() => undefined);
        if (replaced === notice.conn) continue;
      }
      this.latest.set(notice.consumer, { conn: notice.conn, peer: relay, at, seenAt: now });
    }
    if (this.latest.size > SESSION.connectionLimit * 2) this.forget(now);
    return true;
  }

  private forget(now: number): void {
    for (const [consumer, { seenAt }] of this.latest)
      if (now - seenAt > SESSION.homeForgetMs) this.latest.delete(consumer);
  }
}
