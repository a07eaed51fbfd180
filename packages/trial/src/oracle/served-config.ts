/** By which configuration nodes serve: what they say of themselves, and what marker topics show. */
import type { FleetConfig } from '@harecross/schema';
import { push, type DayRecord } from './run-record.js';

/** A node that became well this lately may still be joining. */
const JOIN_MS = 3_000;

/** What nodes say of themselves, and those that say nothing though they could. */
export function nodes(record: DayRecord): void {
  const before = new Map<string, { t: number; version: number }[]>();
  for (const s of record.seen) {
    if (s.k !== 'node.says' && s.k !== 'node.silent') continue;
    const due = record.taken.filter((x) => s.asked > x.t + record.bounds.configInForceMs).at(-1);
    const able = record.sky.wasHealthy(s.node, s.asked - JOIN_MS, s.t);
    if (s.k === 'node.silent') {
      if (due && able)
        record.say(
          'config_late',
          s.t,
          `${s.node} is well and says nothing; ${due.version} was taken ${Math.round(s.asked - due.t)} ms before`,
        );
      continue;
    }
    // Answers may overtake one another: only what was told before this was asked.
    const was = Math.max(0, ...(before.get(s.node) ?? []).filter((x) => x.t < s.asked).map((x) => x.version));
    if (s.version !== undefined && s.version < was)
      record.say('fell_back', s.t, `${s.node} said ${s.version} after ${was}`);
    if (s.version !== undefined) push(before, s.node, { t: s.t, version: s.version });
    if (!due) continue;
    const late = `${due.version} was taken ${Math.round(s.asked - due.t)} ms before`;
    if (s.fresh && (s.version ?? 0) < due.version)
      record.say('config_late', s.t, `${s.node} served by ${s.version}; ${late}`);
    else if (!s.fresh && able) record.say('config_late', s.t, `${s.node} is well and does not serve; ${late}`);
  }
}

/** Marker topics: each is in one configuration only, so a visit there shows by which one a node serves. */
export function marks(record: DayRecord): void {
  const markOf = (c: FleetConfig): number | undefined => {
    for (const f of c.families) for (const p of f.topics) if (p.startsWith('mark/')) return Number(p.slice(5));
    return undefined;
  };
  const versionOf = new Map(
    record.taken.flatMap((x) => {
      const m = markOf(x.config);
      return m === undefined ? [] : [[m, x] as const];
    }),
  );
  const shown = new Map<string, { version: number; t: number }[]>();
  for (const s of record.seen) {
    if (s.k !== 'mark') continue;
    const x = versionOf.get(s.mark);
    if (!x) continue;
    const next = record.taken.find((y) => y.version > x.version);
    if (s.seen === 'in') {
      const later = shown.get(s.node)?.find((e) => e.version > x.version && e.t < s.asked);
      const how = `${s.by} on the marker of version ${x.version}`;
      if (later)
        record.say(
          'fell_back',
          s.t,
          `${s.node}: ${how} after version ${later.version} was at work there ${Math.round(s.asked - later.t)} ms before`,
        );
      if (next && s.asked > next.t + record.bounds.configInForceMs)
        record.say(
          'config_late',
          s.t,
          `${s.node}: ${how} ${Math.round(s.asked - next.t)} ms after ${next.version} was taken`,
        );
      const l = shown.get(s.node) ?? [];
      if (!l.some((e) => e.version >= x.version)) {
        l.push({ version: x.version, t: s.t });
        shown.set(s.node, l);
      }
    } else if (
      s.asked > x.t + record.bounds.configInForceMs &&
      s.t < Math.min(next?.submitted ?? Infinity, record.revisedAfter(x))
    ) {
      record.say(
        'config_late',
        s.t,
        `${s.node}: no marker of version ${x.version}, taken ${Math.round(s.asked - x.t)} ms before`,
      );
    }
  }
}
