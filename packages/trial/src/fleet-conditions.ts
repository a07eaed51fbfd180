import type { JournalEvent } from './journal.js';

type Weather = Extract<JournalEvent, { k: 'weather' }>;

/** Between two looks of the stage at its fleet; what it did in between is known this late. */
const GRAIN_MS = 150;

/**
 * What the stage did to the fleet, by time. Where a journal tells nothing of it, no node counts as well, so that checks
 * which ask for a well node judge nothing.
 * @example
 * new Sky(seen).well('10.0.0.4:7000', t - 3_000, t);
 */
export class FleetConditions {
  private ws: Weather[] = [];
  private spans = new Map<string, [number, number][]>();

  constructor(seen: readonly JournalEvent[]) {
    const open = new Map<string, number>();
    for (const s of seen) {
      if (s.k !== 'weather') continue;
      this.ws.push(s);
      const now = new Set(s.well);
      for (const [n, from] of Array.from(open)) {
        if (now.has(n)) continue;
        this.spans.set(n, [...(this.spans.get(n) ?? []), [from, s.t]]);
        open.delete(n);
      }
      for (const n of now) if (!open.has(n)) open.set(n, s.t);
    }
    for (const [n, from] of open) this.spans.set(n, [...(this.spans.get(n) ?? []), [from, Infinity]]);
  }

  /** Whether a node was well all the time from a to b. */
  wasHealthy(node: string, a: number, b: number): boolean {
    return this.spans.get(node)?.some(([from, to]) => from <= a - GRAIN_MS && to >= b + GRAIN_MS) ?? false;
  }

  /** The times at which some node was well again. */
  recoveryTimes(): number[] {
    return [...this.spans.values()].flatMap((l) => l.slice(1).map(([from]) => from));
  }

  private over(a: number, b: number): Weather[] {
    let first = -1;
    const out: Weather[] = [];
    this.ws.forEach((w, i) => {
      if (w.t <= a - GRAIN_MS) first = i;
      else if (w.t <= b + GRAIN_MS) out.push(w);
    });
    return first >= 0 ? [this.ws[first]!, ...out] : out;
  }

  /** Whether every shard could be served all the time from a to b. */
  shardsAvailable(a: number, b: number): boolean {
    const ws = this.over(a, b);
    return ws.length > 0 && ws[0]!.t <= a && ws.every((w) => w.able);
  }

  /** Whether nothing was done to the fleet from a to b, and it was neither lossy nor slow. */
  calm(a: number, b: number): boolean {
    const ws = this.over(a, b);
    return ws.length === 1 && ws[0]!.t <= a && !ws[0]!.rough && ws[0]!.able;
  }

  /** Whether some caller's link was thin or dead at some time from a to b. */
  anyPoorLink(a: number, b: number): boolean {
    return this.over(a, b).some((w) => w.poor.length > 0);
  }

  /** Whether a consumer had a thin link at some time from a to b. */
  hadPoorLink(consumer: string, a: number, b: number): boolean {
    return this.over(a, b).some((w) => w.poor.includes(consumer));
  }

  /** Whether some node was up and not well at some time from a to b. */
  anyUnhealthy(a: number, b: number): boolean {
    return this.over(a, b).some((w) => w.ailing.length > 0);
  }

  /** The last time up to t at which the set of well nodes changed. */
  lastHealthChange(t: number): number {
    let last = -Infinity;
    let was = '';
    for (const w of this.ws) {
      if (w.t > t) break;
      const s = w.well.join();
      if (s !== was) {
        was = s;
        last = w.t;
      }
    }
    return last;
  }
}
