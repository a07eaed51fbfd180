/** Listener counts: at least the lowest and at most the highest true number of listeners. */
import { appendTo, type RunRecord } from './run-record.js';

/** A count may be marked partial while a node is unhealthy, and for this long after the last change of the fleet. */
const PARTIAL_MS = 12_000;

/** Compares each count with the true numbers of listeners in the five seconds before it. */
export function checkListenerCounts(record: RunRecord): void {
  // Between the Subscribe and its answer a subscription may be counted or not; likewise one of a session whose keepalives get lost.
  const spans = new Map<string, { conn: string; asked: number; from: number; to: number }[]>();
  const lostProbes = new Map<string, number[]>();
  for (const event of record.seen) if (event.k === 'probe.lost') appendTo(lostProbes, event.conn, event.asked);
  for (const subscription of record.lines)
    appendTo(spans, subscription.topic, {
      conn: subscription.conn,
      asked: subscription.requestedAt,
      from: subscription.acknowledgedAt,
      to: subscription.endedAt ?? Infinity,
    });
  for (const event of record.seen) {
    if (event.k !== 'count') continue;
    const topicSpans = spans.get(event.topic) ?? [];
    // The true number changes only at these times within the window.
    const windowStart = event.asked - 5_000;
    const times = [
      windowStart,
      event.t,
      ...topicSpans.flatMap((span) => [span.asked, span.from, span.to]).filter((t) => t > windowStart && t < event.t),
    ];
    const reliableSpans = topicSpans.filter(
      (span) => !lostProbes.get(span.conn)?.some((t) => t > windowStart && t < event.t),
    );
    const least = Math.min(...times.map((t) => reliableSpans.filter((span) => span.from <= t && t < span.to).length));
    const most = Math.max(...times.map((t) => topicSpans.filter((span) => span.asked <= t && t < span.to).length));
    const slack = Math.floor(0.04 * most);
    const description = `${event.topic}: told ${event.count}${event.partial ? ' (partial)' : ''}, truth of the last 5 s was ${least}..${most}`;
    if (event.count > most + slack || (!event.partial && event.count < least - slack))
      record.report('counts', event.t, description);
    const since = event.asked - record.fleetConditions.lastHealthChange(event.asked);
    if (
      event.partial &&
      since < Infinity &&
      since > PARTIAL_MS &&
      record.fleetConditions.calm(event.asked - PARTIAL_MS, event.t) &&
      !record.fleetConditions.anyUnhealthy(event.asked - PARTIAL_MS, event.t)
    )
      record.report('counts', event.t, `${description}; nothing changed for ${Math.round(since)} ms`);
  }
}
