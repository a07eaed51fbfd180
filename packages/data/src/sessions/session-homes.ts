/**
 * Ensures one session per client in the fleet: finds the latest of its sessions at all relays and has older ones
 * closed.
 */
import type { MembershipTable } from '@harecross/control';
import { SESSION, rendezvousOrder, type RequestContext, type Kernel } from '@harecross/kernel';
import type { Session } from './session.js';

/** Notice of a session to its client's home relay. Wire format; `age` is in milliseconds. */
interface SessionNotice {
  consumer: string;
  conn: string;
  age: number;
}

/**
 * Each client has a home relay, chosen by rendezvous hashing of the client's name. Relays notify the home relays of
 * their sessions; a home relay that learns of two sessions of one client has the older one closed.
 * @example
 * homes.notifyHomes([session]);
 */
export class SessionHomes {
  /** As home relay: the latest session of each client, with when it was opened (`at`) and last reported (`seenAt`). */
  private latest = new Map<string, { conn: string; peer: string; at: number; seenAt: number }>();
  /** Set when relays joined or left, which gives some clients another home relay. */
  private relaySetChanged = false;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  /** Records that relays joined or left; the next `notifyChangedHomes` notifies the new home relays. */
  relaysChanged(): void {
    this.relaySetChanged = true;
  }

  private homeOf(consumer: string): { peer: string; id: string } | undefined {
    const relays = this.membership.liveMembers().filter((m) => m.role === 'relay' && m.condition !== 'draining');
    const home = rendezvousOrder(`home/${consumer}`, relays, (m) => m.peer)[0];
    return home && { peer: home.peer, id: `${home.peer}~${home.inst}` };
  }

  /** If relays joined or left, notifies the home relays of the sessions whose home has changed. */
  notifyChangedHomes(sessions: Iterable<Session>): void {
    if (!this.relaySetChanged) return;
    this.relaySetChanged = false;
    this.notifyHomes([...sessions].filter((s) => this.homeOf(s.consumer)?.id !== s.home));
  }

  /** Notifies the home relays of these sessions' clients that the sessions are at this relay. */
  notifyHomes(sessions: Iterable<Session>): void {
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

  /**
   * As home relay: handles a relay's notices of its sessions. Of two sessions of one client the one opened last is
   * kept, in whatever order the notices arrive.
   */
  receiveNotices(notices: SessionNotice[], { peer: relay, sentAt }: RequestContext): true {
    const now = this.kernel.host.clock.now();
    for (const notice of notices) {
      const openedAt = sentAt - notice.age;
      const known = this.latest.get(notice.consumer);
      if (known && known.conn !== notice.conn && now - known.seenAt < SESSION.homeEntryTtlMs) {
        const [replaced, holder] = known.at <= openedAt ? [known.conn, known.peer] : [notice.conn, relay];
        this.kernel.call(holder, 'Replace', { conn: replaced }).catch(() => undefined);
        if (replaced === notice.conn) continue;
      }
      this.latest.set(notice.consumer, { conn: notice.conn, peer: relay, at: openedAt, seenAt: now });
    }
    if (this.latest.size > SESSION.connectionLimit * 2) this.evictStale(now);
    return true;
  }

  private evictStale(now: number): void {
    for (const [consumer, { seenAt }] of this.latest)
      if (now - seenAt > SESSION.homeEntryTtlMs) this.latest.delete(consumer);
  }
}
