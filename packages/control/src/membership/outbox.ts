import type { Clock } from '@harecross/kernel';

/**
 * A fact of the membership table as it is sent. `quietMs`, for a member's record only: how long the sender has not heard of a member
 * that it doesn't hold for live.
 */
export type Fact = [key: string, version: string, value: unknown, quietMs?: number];

/**
 * Facts that wait to be passed on. The first one leaves at once; what comes within the gap after it leaves together, each key once and
 * in its newest version. So a node's calls are bounded by time, however many facts the fleet has to tell.
 * @example
 * const outbox = new Outbox(clock, () => 200, (facts) => send(facts));
 * outbox.add([['m/10.0.0.4:7100', version, record]]);
 */
export class Outbox {
  private waiting = new Map<string, Fact>();
  private armed = false;
  private sentAt = -Infinity;

  constructor(
    private clock: Clock,
    private gapMs: () => number,
    private send: (facts: Fact[]) => void,
  ) {}

  /** An empty list is sent too: every call carries the sender's revision of the agreed value. */
  add(facts: Fact[]): void {
    for (const fact of facts) {
      const [key, version] = fact;
      const had = this.waiting.get(key);
      if (!had || had[1] < version) this.waiting.set(key, fact);
    }
    if (this.armed) return;
    this.armed = true;
    this.clock.after(Math.max(0, this.sentAt + this.gapMs() - this.clock.now()), () => this.flush());
  }

  /** Sends now what waits. */
  flush(): void {
    if (!this.armed) return;
    this.armed = false;
    this.sentAt = this.clock.now();
    const facts = [...this.waiting.values()];
    this.waiting.clear();
    this.send(facts);
  }
}
