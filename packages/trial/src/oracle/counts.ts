/** Listener counts: between the least and the most that truly listened. */
import { push, type DayRecord } from './run-record.js';

/** A count may be partial while a node ails, and this long after the last change of the fleet. */
const PARTIAL_MS = 12_000;

/** Between the least and the most that truly listened in the last five seconds. */
export function counts(record: DayRecord): void {
  // Between asking and the answer a subscription may count or not; so may a conn whose check-ins are getting lost.
  const spans = new Map<string, { conn: string; asked: number; from: number; to: number }[]>();
  const lost = new Map<string, number[]>();
  for (const s of record.seen) if (s.k === 'probe.lost') push(lost, s.conn, s.asked);
  for (const l of record.lines)
    push(spans, l.topic, { conn: l.conn, asked: l.asked, from: l.okAt, to: l.endAt ?? Infinity });
  for (const s of record.seen) {
    if (s.k !== 'count') continue;
    const sp = spans.get(s.topic) ?? [];
    // Judged at the moments where the truth can change within the window.
    const w0 = s.asked - 5_000;
    const times = [w0, s.t, ...sp.flatMap((x) => [x.asked, x.from, x.to]).filter((t) => t > w0 && t < s.t)];
    const sure = sp.filter((x) => !lost.get(x.conn)?.some((t) => t > w0 && t < s.t));
    const lo = Math.min(...times.map((t) => sure.filter((x) => x.from <= t && t < x.to).length));
    const hi = Math.max(...times.map((t) => sp.filter((x) => x.asked <= t && t < x.to).length));
    const slack = Math.floor(0.04 * hi);
    const told = `${s.topic}: told ${s.count}${s.partial ? ' (partial)' : ''}, truth of the last 5 s was ${lo}..${hi}`;
    if (s.count > hi + slack || (!s.partial && s.count < lo - slack)) record.say('counts', s.t, told);
    const since = s.asked - record.sky.lastHealthChange(s.asked);
    if (
      s.partial &&
      since < Infinity &&
      since > PARTIAL_MS &&
      record.sky.calm(s.asked - PARTIAL_MS, s.t) &&
      !record.sky.anyUnhealthy(s.asked - PARTIAL_MS, s.t)
    )
      record.say('counts', s.t, `${told}; nothing changed for ${Math.round(since)} ms`);
  }
}
