import type { JournalEvent } from './journal.js';

type ConditionsEvent = Extract<JournalEvent, { k: 'weather' }>;

/** Upper bound of the interval between two recorded samples of the fleet: a change is recorded at most this late. */
const SAMPLE_INTERVAL_MS = 150;

/**
 * The condition of the fleet over time, from the `weather` events of a journal. In a journal without them no node counts as
 * healthy, so that checks that require a healthy node do not apply.
 * @example
 * new FleetConditions(seen).wasHealthy('10.0.0.4:7000', t - 3_000, t);
 */
export class FleetConditions {
  private samples: ConditionsEvent[] = [];
  /** Intervals during which each node was healthy. */
  private healthySpans = new Map<string, [number, number][]>();

  constructor(seen: readonly JournalEvent[]) {
    const open = new Map<string, number>();
    for (const s of seen) {
      if (s.k !== 'weather') continue;
      this.samples.push(s);
      const now = new Set(s.well);
      for (const [n, from] of Array.from(open)) {
        if (now.has(n)) continue;
        this.healthySpans.set(n, [...(this.healthySpans.get(n) ?? []), [from, s.t]]);
        open.delete(n);
      }
      for (const n of now) if (!open.has(n)) open.set(n, s.t);
    }
    for (const [n, from] of open) this.healthySpans.set(n, [...(this.healthySpans.get(n) ?? []), [from, Infinity]]);
  }

  /** Whether a node was healthy throughout the interval from a to b. */
  wasHealthy(node: string, a: number, b: number): boolean {
    return (
      this.healthySpans
        .get(node)
        ?.some(([from, to]) => from <= a - SAMPLE_INTERVAL_MS && to >= b + SAMPLE_INTERVAL_MS) ?? false
    );
  }

  /** The times at which a node became healthy again. */
  recoveryTimes(): number[] {
    return [...this.healthySpans.values()].flatMap((spans) => spans.slice(1).map(([from]) => from));
  }

  /** The samples that describe the interval from a to b, beginning with the last one before it. */
  private samplesDuring(a: number, b: number): ConditionsEvent[] {
    let lastBefore = -1;
    const out: ConditionsEvent[] = [];
    this.samples.forEach((w, i) => {
      if (w.t <= a - SAMPLE_INTERVAL_MS) lastBefore = i;
      else if (w.t <= b + SAMPLE_INTERVAL_MS) out.push(w);
    });
    return lastBefore >= 0 ? [this.samples[lastBefore]!, ...out] : out;
  }

  /** Whether every shard had a majority of its replicas on healthy nodes throughout the interval from a to b. */
  shardsAvailable(a: number, b: number): boolean {
    const samples = this.samplesDuring(a, b);
    return samples.length > 0 && samples[0]!.t <= a && samples.every((w) => w.able);
  }

  /** Whether the fleet's condition did not change from a to b, all shards were available, and nothing was degraded. */
  calm(a: number, b: number): boolean {
    const samples = this.samplesDuring(a, b);
    return samples.length === 1 && samples[0]!.t <= a && !samples[0]!.rough && samples[0]!.able;
  }

  /** Whether any consumer had a slow or half-open link at some time from a to b. */
  anyPoorLink(a: number, b: number): boolean {
    return this.samplesDuring(a, b).some((w) => w.poor.length > 0);
  }

  /** Whether this consumer had a slow or half-open link at some time from a to b. */
  hadPoorLink(consumer: string, a: number, b: number): boolean {
    return this.samplesDuring(a, b).some((w) => w.poor.includes(consumer));
  }

  /** Whether any node was up but unhealthy at some time from a to b. */
  anyUnhealthy(a: number, b: number): boolean {
    return this.samplesDuring(a, b).some((w) => w.ailing.length > 0);
  }

  /** The last time, up to t, at which the set of healthy nodes changed. */
  lastHealthChange(t: number): number {
    let last = -Infinity;
    let previous = '';
    for (const w of this.samples) {
      if (w.t > t) break;
      const healthy = w.well.join();
      if (healthy !== previous) {
        previous = healthy;
        last = w.t;
      }
    }
    return last;
  }
}
