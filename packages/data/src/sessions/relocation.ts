/** Moves a relay's clients to other relays before a planned restart or a stop. */
import type { MembershipTable } from '@harecross/control';
import { SESSION, randomSample, type Kernel } from '@harecross/kernel';
import type { ControlFrame } from './outgoing.js';
import type { Session } from './session.js';

/**
 * Asks clients to move with GOAWAY frames, spread over time, so that they don't all attach to the other relays at once.
 * @example
 * relocation.begin(sessions, 3_000);
 */
export class Relocation {
  private inProgress = false;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private send: (session: Session, frame: ControlFrame) => void,
  ) {}

  /** Asks all these sessions' clients to move, each at a random time within `spreadMs`. */
  begin(sessions: Iterable<Session>, spreadMs: number): void {
    const { clock, random } = this.kernel.host;
    this.inProgress = true;
    for (const session of sessions) clock.after(random.next() * spreadMs, () => this.sendGoAway(session));
  }

  /** Stops asking new clients to move. */
  end(): void {
    this.inProgress = false;
  }

  /** Asks a client that attaches during relocation to move right after it has attached. */
  sessionOpened(session: Session): void {
    if (this.inProgress) this.kernel.host.clock.after(SESSION.flushUrgentMs, () => this.sendGoAway(session));
  }

  private sendGoAway(session: Session): void {
    if (session.state !== 'open') return;
    this.send(session, { t: 'GOAWAY', to: this.pickTargetRelay(), retryAfterMs: 0 });
  }

  /** Picks a ready relay, if possible in this node's domain: the one with fewer sessions of two chosen at random. */
  private pickTargetRelay(): string | undefined {
    const { random, config } = this.kernel.host;
    const ready = this.membership
      .liveMembers()
      .filter((m) => m.role === 'relay' && m.peer !== this.kernel.self && m.condition === 'ready');
    const sameDomain = ready.filter((m) => m.domain === config.domain);
    const candidates = randomSample(random, sameDomain.length ? sameDomain : ready, 2);
    return candidates.sort((a, b) => a.weight - b.weight)[0]?.client;
  }
}
