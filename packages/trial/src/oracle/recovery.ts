/** After the closing fault: whether the fleet serves again, and how soon. */
import type { JournalEvent } from '../journal.js';
import { push, type DayRecord, type Of } from './run-record.js';

export function closing(record: DayRecord): void {
  const c = [...record.seen].reverse().find((s) => s.k === 'closing');
  if (!c) return;
  const domains = new Map<string, string[]>();
  for (const s of record.seen) if (s.k === 'node' && s.role === 'relay') push(domains, s.domain, s.node);
  const from = c.t + 12_000;
  const domainOf = new Map<number | string, string>();
  for (const s of record.seen) {
    if (s.k === 'conn.open') domainOf.set(s.conn, s.domain);
    else if (s.k === 'pub.try') domainOf.set(s.try, s.domain);
  }
  const alive = [...domains]
    .filter(([, ns]) => ns.some((n) => record.sky.wasHealthy(n, from - 3_000, from + 3_500)))
    .map(([d]) => d);
  for (const d of [undefined, ...alive]) {
    const at = (of: number | string): boolean => d === undefined || domainOf.get(of) === d;
    const where = d === undefined ? 'in all' : `in ${d}`;
    for (const what of ['accepted', 'delivered', 'attached'] as const) {
      const before = rate(record, what, c.t - 8_000, c.t, at);
      const after = rate(record, what, from, from + 4_000, at);
      if (before === 0 && d !== undefined) continue;
      if (before === 0 || after < before / 4) {
        record.say(
          'served',
          from,
          `${where}: ${after.toFixed(1)} ${what} 12 s after the closing fault, ${before.toFixed(1)} before it`,
        );
      }
    }
  }
}

/** Publishes accepted or messages delivered each second, or conns attached at the end, of some tries and conns. */
function rate(
  record: DayRecord,
  what: 'accepted' | 'delivered' | 'attached',
  a: number,
  b: number,
  at: (of: number | string) => boolean,
): number {
  if (what === 'attached') {
    const ends = new Map<string, number>();
    const opens: Of<'conn.open'>[] = [];
    for (const s of record.seen) {
      if (s.k === 'conn.end') ends.set(s.conn, s.t);
      else if (s.k === 'conn.open') opens.push(s);
    }
    return opens.filter((o) => at(o.conn) && o.t <= b && (ends.get(o.conn) ?? Infinity) > b).length;
  }
  let n = 0;
  for (const s of record.seen) {
    if (s.t <= a || s.t > b) continue;
    if (
      what === 'accepted' ? s.k === 'pub.answer' && s.out === 'accepted' && at(s.try) : s.k === 'deliver' && at(s.conn)
    )
      n++;
  }
  return (n * 1000) / (b - a);
}

/**
 * How long after the closing fault a quarter and nine tenths of what was accepted and delivered each second were back,
 * over windows of a second; Infinity where they never were.
 * @example
 * recovery(journal.seen); // { accepted: { quarterMs: 900, mostMs: 2100 }, delivered: ... }
 */
export function recoveryTimes(
  seen: readonly JournalEvent[],
): { accepted: { quarterMs: number; mostMs: number }; delivered: { quarterMs: number; mostMs: number } } | undefined {
  const c = [...seen].reverse().find((s) => s.k === 'closing');
  if (!c) return undefined;
  const of = (ok: (s: JournalEvent) => boolean): { quarterMs: number; mostMs: number } => {
    const ts = seen.filter(ok).map((s) => s.t);
    const n = (a: number, b: number): number => ts.filter((t) => t > a && t <= b).length / ((b - a) / 1000);
    const before = n(c.t - 8_000, c.t);
    const first = (share: number): number => {
      for (let t = c.t; t < c.t + 16_000; t += 100) if (n(t, t + 1_000) >= before * share) return t - c.t;
      return Infinity;
    };
    return { quarterMs: first(0.25), mostMs: first(0.9) };
  };
  return { accepted: of((s) => s.k === 'pub.answer' && s.out === 'accepted'), delivered: of((s) => s.k === 'deliver') };
}
