/** What callers wait for, and the bounds of what nodes keep. */
import { push, type DayRecord, type Of } from './run-record.js';

/** A rejection is for when nobody serves the key; finding that out takes no longer. Whether a topic exists two nodes may see differently for a while. */
const REJECT_MS = 1_500;
/** Bounds of a node's holdings, as told to operators in docs/operators.md. */
const HOLDINGS = new Map([
  ['edge', 3_000],
  ['publish', 2_000],
  ['fan', 1_000],
  ['conn', 512 * 1024],
  ['conn.oversized', 2 * 1024 * 1024],
]);

export function waits(record: DayRecord): void {
  const tries = new Map<number, Of<'pub.try'>>();
  const hints = new Map<string, { t: number; ms: number }[]>();
  const silent = new Map<number, Of<'pub.try'>>();
  for (const s of record.seen) {
    if (s.k === 'pub.try') {
      tries.set(s.try, s);
      silent.set(s.try, s);
    }
    if (s.k === 'conn.end' && s.retryMs !== undefined && s.why !== 'replaced')
      push(hints, `${record.nodeOf.get(s.conn)} ${s.why}`, { t: s.t, ms: s.retryMs });
    if (s.k !== 'pub.answer') continue;
    silent.delete(s.try);
    const p = tries.get(s.try)!;
    const what = `${s.topic} ${s.sender}#${s.seq} at ${s.node}`;
    const ms = s.t - p.t;
    const fam = record.familyAt(s.topic, p.t);
    if (record.bounds.timed && fam) {
      const well = record.sky.wasHealthy(s.node, p.t, s.t) && !record.sky.anyPoorLink(p.t, s.t);
      if (s.tag === 'no answer') {
        if (well) record.say('held', s.t, `${what} got no answer in ${Math.round(ms)} ms, and the node was well`);
      } else if (well && ms > fam.patienceMs + record.bounds.observationDelayMs)
        record.say(
          'held',
          s.t,
          `${what} was answered ${s.out} after ${Math.round(ms)} ms; its patience is ${fam.patienceMs} ms`,
        );
      else if (well && s.out === 'rejected' && s.tag !== 'unknown_topic' && ms > REJECT_MS + record.bounds.observationDelayMs)
        record.say('held', s.t, `${what} was rejected (${s.tag}) only after ${Math.round(ms)} ms`);
    }
    if (s.status === 503 || s.status === 504) {
      if (s.retryMs === undefined || s.retryMs <= 0)
        record.say('come_back', s.t, `${what} was answered ${s.status} ${s.tag} without a time to come back`);
      else push(hints, `${s.node} ${s.tag}`, { t: s.t, ms: s.retryMs });
    }
  }
  for (const [who, hs] of hints) {
    // In any second with enough answers, the times to come back are spread.
    for (let i = 0; i < hs.length;) {
      const group = hs.filter((h) => h.t >= hs[i]!.t && h.t < hs[i]!.t + 1_000).map((h) => h.ms);
      const distinct = new Set(group).size;
      const wide = Math.max(...group) - Math.min(...group);
      if (group.length >= 12 && (distinct < group.length / 3 || wide < Math.max(...group) / 4)) {
        record.say(
          'come_back',
          hs[i]!.t,
          `${who}: ${group.length} were told to come back at ${distinct} times, ${wide} ms apart at most`,
        );
      }
      i += Math.max(1, group.length);
    }
  }
}

export function holdings(record: DayRecord): void {
  const accepted = [...record.pubs.values()].filter((p) => p.acceptedAt !== undefined).map((p) => p.acceptedAt!);
  const returns = record.sky.recoveryTimes().sort((a, b) => b - a);
  for (const s of record.seen) {
    if (s.k !== 'node.says') continue;
    for (const h of s.holdings ?? []) {
      const bound = HOLDINGS.get(h.name);
      if (bound === undefined)
        record.say('bounds', s.t, `${s.node} has a holding '${h.name}' that the docs do not know`);
      else if (h.bound > bound || h.most > bound)
        record.say(
          'bounds',
          s.t,
          `${s.node} ${h.name}: ${h.most} held with a bound of ${h.bound}; ${bound} is promised`,
        );
    }
    if (s.kept === undefined) continue;
    const fams = record.taken.filter((x) => x.t <= s.t).at(-1)?.config.families ?? [];
    const keep = Math.max(0, ...fams.map((f) => f.memoryS)) * 1_500 + 15_000 + 15_000;
    // Everything accepted so lately, what is still under way or unknown, and a barrier for each time a key was taken.
    // What a machine finds on its disk begins its life in memory anew, and may come to others so: an age counts from the last return.
    let back = s.t - keep;
    for (const r of returns) if (r <= s.t && r >= back) back = Math.min(back, r - keep);
    const may = accepted.filter((t) => t > back).length * 1.2 + 1_500;
    if (s.kept > may)
      record.say('bounds', s.t, `${s.node} keeps ${s.kept} entries; ${Math.round(may)} were accepted lately enough`);
  }
}
