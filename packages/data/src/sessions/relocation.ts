/** Sends a relay's clients to other relays, before a planned restart or a stop. */
import type { MembershipTable } from '@harecross/control';
import { SESSION, randomSample, type Kernel } from '@harecross/kernel';
import type { ControlFrame } from './outgoing.js';
import type { Session } from './session.js';

/**
 * Tells clients to go, one after another over a time, so that the other relays are not asked all at once.
 * @example
 * relocation.begin(sessions, 3_000);
 */
export class Relocation {
  private underWay = false;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private send: (session: Session, frame: ControlFrame) => void,
  ) {}

  /** Sends all of these away within `spreadMs`. */
  begin(sessions: Iterable<Session>, spreadMs: number): void {
    const { clock, random } = this.kernel.host;
    this.underWay = true;
    for (const session of sessions) clock.after(random.next() * spreadMs, () => this.sendAway(session));
  }

  /** Clients may stay again. */
  end(): void {
    this.underWay = false;
  }

  /** A client that came meanwhile is sent on as soon as it has attached. */
  opened(session: Session): void {
    if (this.underWay) this.kernel.host.clock.after(SESSION.flushUrgentMs, () => this.sendAway(session));
  }

  private sendAway(session: Session): void {
    if (session.state !== 'open') return;
    this.send(session, { t: 'GOAWAY', to: this.otherRelay(), retryAfterMs: 0 });
  }

  /** A relay that takes sessions: in our domain if there is one, the emptier of two by chance. */
  private otherRelay(): string | undefined {
    const { random, config } = this.kernel.host;
    const open = this.membership
      .liveMembers()
      .filter((m) => m.role === 'relay' && m.peer !== this.kernel.self && m.condition === 'ready');
    const near = open.filter((m) => m.domain === config.domain);
    const two = randomSample(random, near.length ? near : open, 2);
    return two.sort((a, b) => a.weight - b.weight)[0]?.client;
  }
}
