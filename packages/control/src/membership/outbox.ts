import type { Clock } from '@harecross/kernel';

/**
 * Wire form of a fact of the membership table. `silentMs` is present only in the record of a member that the sender does not consider
 * live: how long the sender has not heard from that member.
 */
export type Fact = [key: string, version: string, value: unknown, silentMs?: number];

/**
 * A queue of facts to send. The first fact is sent at once. Facts that are added within the gap after it are sent as one batch, with
 * only the newest version of each key. This bounds the rate of a node's calls however many facts change.
 * @example
 * const outbox = new Outbox(clock, () => 200, (facts) => send(facts));
 * outbox.add([['m/10.0.0.4:7100', version, record]]);
 */
export class Outbox {
  private pending = new Map<string, Fact>();
  private flushScheduled = false;
  private sentAt = -Infinity;

  constructor(
    private clock: Clock,
    private gapMs: () => number,
    private send: (facts: Fact[]) => void,
  ) {}

  /** Queues facts. An empty list is sent too, because each call carries the sender's revision of the agreed value. */
  add(facts: Fact[]): void {
    for (const fact of facts) {
      const [key, version] = fact;
      const queued = this.pending.get(key);
      if (!queued || queued[1] < version) this.pending.set(key, fact);
    }
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.clock.after(Math.max(0, this.sentAt + this.gapMs() - this.clock.now()), () => this.flush());
  }

  /** Sends the queued facts immediately. */
  flush(): void {
    if (!this.flushScheduled) return;
    this.flushScheduled = false;
    this.sentAt = this.clock.now();
    const facts = [...this.pending.values()];
    this.pending.clear();
    this.send(facts);
  }
}
