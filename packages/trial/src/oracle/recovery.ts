/** Service after the last fault of a run (`closing`): whether the fleet serves again, and how soon. */
import type { JournalEvent } from '../journal.js';
import { appendTo, type RunRecord, type EventOfKind } from './run-record.js';

export function checkRecovery(record: RunRecord): void {
  const closingFault = [...record.seen].reverse().find((event) => event.k === 'closing');
  if (!closingFault) return;
  const domains = new Map<string, string[]>();
  for (const event of record.seen)
    if (event.k === 'node' && event.role === 'relay') appendTo(domains, event.domain, event.node);
  const from = closingFault.t + 12_000;
  const domainOf = new Map<number | string, string>();
  for (const event of record.seen) {
    if (event.k === 'conn.open') domainOf.set(event.conn, event.domain);
    else if (event.k === 'pub.try') domainOf.set(event.try, event.domain);
  }
  const liveDomains = [...domains]
    .filter(([, nodes]) => nodes.some((node) => record.fleetConditions.wasHealthy(node, from - 3_000, from + 3_500)))
    .map(([domain]) => domain);
  for (const domain of [undefined, ...liveDomains]) {
    const belongs = (id: number | string): boolean => domain === undefined || domainOf.get(id) === domain;
    const where = domain === undefined ? 'in all' : `in ${domain}`;
    for (const what of ['accepted', 'delivered', 'attached'] as const) {
      const before = rate(record, what, closingFault.t - 8_000, closingFault.t, belongs);
      const after = rate(record, what, from, from + 4_000, belongs);
      if (before === 0 && domain !== undefined) continue;
      if (before === 0 || after < before / 4) {
        record.report(
          'served',
          from,
          `${where}: ${after.toFixed(1)} ${what} 12 s after the closing fault, ${before.toFixed(1)} before it`,
        );
      }
    }
  }
}

/** Publishes accepted or messages delivered per second in (from, to], or client sessions open at `to`; only those that `belongs` selects. */
function rate(
  record: RunRecord,
  what: 'accepted' | 'delivered' | 'attached',
  from: number,
  to: number,
  belongs: (id: number | string) => boolean,
): number {
  if (what === 'attached') {
    const ends = new Map<string, number>();
    const opens: EventOfKind<'conn.open'>[] = [];
    for (const event of record.seen) {
      if (event.k === 'conn.end') ends.set(event.conn, event.t);
      else if (event.k === 'conn.open') opens.push(event);
    }
    return opens.filter((open) => belongs(open.conn) && open.t <= to && (ends.get(open.conn) ?? Infinity) > to).length;
  }
  let count = 0;
  for (const event of record.seen) {
    if (event.t <= from || event.t > to) continue;
    if (
      what === 'accepted'
        ? event.k === 'pub.answer' && event.out === 'accepted' && belongs(event.try)
        : event.k === 'deliver' && belongs(event.conn)
    )
      count++;
  }
  return (count * 1000) / (to - from);
}

/**
 * How long after the closing fault the rates of accepted publishes and of deliveries were back at 25 % and 90 % of the rate before it,
 * over windows of one second; Infinity if never.
 * @example
 * recoveryTimes(journal.seen); // { accepted: { quarterMs: 900, mostMs: 2100 }, delivered: ... }
 */
export function recoveryTimes(
  seen: readonly JournalEvent[],
): { accepted: { quarterMs: number; mostMs: number }; delivered: { quarterMs: number; mostMs: number } } | undefined {
  const closingFault = [...seen].reverse().find((event) => event.k === 'closing');
  if (!closingFault) return undefined;
  const measure = (matches: (event: JournalEvent) => boolean): { quarterMs: number; mostMs: number } => {
    const times = seen.filter(matches).map((event) => event.t);
    const perSecond = (a: number, b: number): number => times.filter((t) => t > a && t <= b).length / ((b - a) / 1000);
    const before = perSecond(closingFault.t - 8_000, closingFault.t);
    const reachedAfter = (fraction: number): number => {
      for (let t = closingFault.t; t < closingFault.t + 16_000; t += 100)
        if (perSecond(t, t + 1_000) >= before * fraction) return t - closingFault.t;
      return Infinity;
    };
    return { quarterMs: reachedAfter(0.25), mostMs: reachedAfter(0.9) };
  };
  return {
    accepted: measure((event) => event.k === 'pub.answer' && event.out === 'accepted'),
    delivered: measure((event) => event.k === 'deliver'),
  };
}
