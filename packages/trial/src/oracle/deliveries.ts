/** What each subscription owed: the run of its offsets, what came late, and what auditors read back. */
import { isUrgent } from '@harecross/schema';
import { CALM_MS, SETTLE_MS, idOf, type DayRecord } from './run-record.js';

/** From accepted to the listener: while nothing is wrong, by urgency, and after a fault. */
const REACH_MS = { urgent: 600, routine: 1_200, fault: 8_000 } as const;

/** The run of offsets on each line. */
export function gaps(record: DayRecord): void {
  for (const l of record.lines) {
    let prev = l.start - 1;
    let prevAt = l.okAt;
    const seqs = new Map<string, number>();
    for (const d of l.got) {
      const who = `${l.consumer} ${l.topic} offset ${d.offset} after ${prev}`;
      if (d.offset <= prev)
        record.say(
          d.offset === prev || l.got.some((x) => x !== d && x.offset === d.offset) ? 'once' : 'order',
          d.t,
          who,
        );
      else if (d.offset > prev + 1) {
        const between = [...record.accepted(l.topic)].filter((p) => p.offset! > prev && p.offset! < d.offset);
        const ok = between.length
          ? between.every((p) => record.excused(l.topic, p.firstTry, prevAt, d.t))
          : record.away(l.topic).some((w) => w.from <= d.t && prevAt <= w.to);
        if (!ok) record.say('skipped', d.t, who);
      }
      prev = Math.max(prev, d.offset);
      prevAt = d.t;
      const q = seqs.get(d.sender);
      if (q !== undefined && d.seq <= q)
        record.say('order', d.t, `${l.consumer} ${l.topic} ${d.sender}#${d.seq} after #${q}`);
      seqs.set(d.sender, d.seq);
      if (l.cursor !== undefined) continue;
      const p = record.pubs.get(idOf(d));
      if (p?.acceptedAt !== undefined && p.acceptedAt < l.asked) {
        record.say(
          'unasked',
          d.t,
          `${l.consumer} asked for ${l.topic} from now on and got offset ${d.offset}, accepted before`,
        );
      }
    }
  }
}

/** What each line owed: by the end of the day, and in time. */
export function owed(record: DayRecord): void {
  for (const l of record.lines) {
    const at = new Map(l.got.map((d) => [d.offset, d.t]));
    const last = l.got.at(-1)?.offset ?? l.start - 1;
    const node = record.nodeOf.get(l.conn) ?? '';
    for (const p of record.accepted(l.topic)) {
      const owed = p.offset! >= l.start || p.firstTry > l.okAt;
      if (!owed || record.excused(l.topic, p.firstTry, l.okAt, l.endAt ?? record.end)) continue;
      const got = at.get(p.offset!);
      const what = `${p.sender}#${p.seq}`;
      if (got === undefined && l.endAt === undefined && p.acceptedAt! <= record.end - SETTLE_MS) {
        if (p.offset! < l.start)
          record.say(
            'skipped',
            p.acceptedAt!,
            `${l.consumer} ${l.topic} began at ${l.start} but ${what}, published later, is at ${p.offset}`,
          );
        else
          record.say(
            p.offset! > last ? 'lost' : 'skipped',
            p.acceptedAt!,
            `${l.consumer} ${l.topic} never got offset ${p.offset} (${what})`,
          );
        continue;
      }
      if (!record.bounds.timed || p.offset! < l.start) continue;
      // In time, to a conn that was well all the while.
      const from = Math.max(p.acceptedAt!, l.okAt);
      const config = record.configAt(from);
      const urgent = config !== undefined && isUrgent(config, l.topic);
      for (const [limit, ok] of [
        [urgent ? REACH_MS.urgent : REACH_MS.routine, (to: number) => record.sky.calm(from - CALM_MS, to)],
        [REACH_MS.fault, (to: number) => record.sky.wasHealthy(node, from, to) && record.sky.shardsAvailable(from, to)],
      ] as const) {
        const to = from + limit + record.bounds.observationDelayMs;
        if ((got ?? Infinity) <= to || (l.endAt ?? record.end) <= to || to >= record.end) continue;
        if (!ok(to) || record.sky.hadPoorLink(l.consumer, from, to)) continue;
        const how = got === undefined ? 'not at all' : `after ${Math.round(got - from)} ms`;
        record.say(
          'late',
          from,
          `${l.consumer} ${l.topic} offset ${p.offset} (${what}) came ${how}, ${limit} ms are allowed`,
        );
        break;
      }
    }
  }
}

/** Auditors read back, with a cursor, what was accepted and is within memory, also where nobody listened. */
export function audits(record: DayRecord): void {
  const got = new Map<string, Set<number>>();
  for (const s of record.seen) {
    if (s.k !== 'deliver') continue;
    const key = `${s.consumer}\n${s.topic}`;
    const l = got.get(key) ?? new Set<number>();
    l.add(s.offset);
    got.set(key, l);
  }
  for (const s of record.seen) {
    if (s.k !== 'audit') continue;
    const end = record.seen.find((x) => x.k === 'audit.end' && x.consumer === s.consumer && x.t >= s.t)?.t;
    const have = got.get(`${s.consumer}\n${s.topic}`);
    for (const p of record.accepted(s.topic)) {
      if (
        p.offset! <= s.cursor ||
        p.acceptedAt! > s.t ||
        have?.has(p.offset!) ||
        record.excused(s.topic, p.firstTry, 0, end ?? record.end)
      )
        continue;
      record.say(
        'lost',
        s.t,
        `${s.consumer} read back ${s.topic} behind ${s.cursor} and had no offset ${p.offset} (${p.sender}#${p.seq})`,
      );
    }
  }
}
