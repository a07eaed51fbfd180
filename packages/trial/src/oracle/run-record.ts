/** What a day's journal tells, in the form in which all checks ask for it; and the violations that they found. */
import { familyOf, type FleetConfig } from '@harecross/schema';
import type { JournalEvent } from '../journal.js';
import { FleetConditions } from '../fleet-conditions.js';
import type { CheckLimits, Rule, Violation } from './rules.js';

/** After the last fault and the last publish, this is time enough for any repair. */
export const SETTLE_MS = 6_000;
/** Nothing counts as wrong any more this long after the last change of the fleet. */
export const CALM_MS = 12_000;

export type Of<K extends JournalEvent['k']> = Extract<JournalEvent, { k: K }>;
export interface Pub {
  topic: string;
  sender: string;
  seq: number;
  body: string;
  firstTry: number;
  outs: string[];
  offset?: number;
  acceptedAt?: number;
  tries: number;
  /** When it was told that it was never accepted and never will be. */
  finalAt?: number;
  /** Sent on a line, with others on the way; `refused` once a node was too full for it. */
  line: boolean;
  refused: boolean;
}
export interface Line {
  consumer: string;
  topic: string;
  conn: string;
  start: number;
  asked: number;
  okAt: number;
  cursor?: number;
  got: Of<'deliver'>[];
  endAt?: number;
  endWhy?: string;
  leftAt?: number;
}
export interface Taken {
  version: number;
  t: number;
  submitted: number;
  changeId: string;
  revision?: number;
  document?: unknown;
  config: FleetConfig;
}
/** A time in which a topic's family may have been away, or another one; `to` is when it was surely back. */
export interface Away {
  from: number;
  to: number;
}

export const idOf = (x: { topic: string; sender: string; seq: number }): string => `${x.topic}\n${x.sender}\n${x.seq}`;
export const push = <K, V>(m: Map<K, V[]>, k: K, v: V): void => {
  const l = m.get(k);
  if (l) l.push(v);
  else m.set(k, [v]);
};

/**
 * A day under judgement. The checks of operators, publishes and subscriptions fill in what later ones ask for.
 * @example
 * const record = new DayRecord(journal.seen, bounds); publishes(record); record.violations();
 */
export class DayRecord {
  readonly out: Violation[] = [];
  readonly pubs = new Map<string, Pub>();
  /** Accepted messages of each topic by offset. */
  readonly byOffset = new Map<string, Map<number, Pub>>();
  readonly taken: Taken[] = [];
  readonly submits = new Map<string, Of<'cfg.submit'>>();
  readonly answers = new Map<string, Of<'cfg.answer'>[]>();
  /** What was told to be in force, by time. */
  readonly revisions: { t: number; version: number; revision: number }[] = [];
  readonly lines: Line[] = [];
  readonly aways = new Map<string, Away[]>();
  readonly nodeOf = new Map<string, string>();
  readonly sky: FleetConditions;
  readonly end: number;

  constructor(
    readonly seen: readonly JournalEvent[],
    readonly bounds: CheckLimits,
  ) {
    this.sky = new FleetConditions(seen);
    this.end = seen.find((s) => s.k === 'end')?.t ?? Infinity;
    for (const s of seen) if (s.k === 'conn.open') this.nodeOf.set(s.conn, s.node);
  }

  /** What was found, by time. */
  violations(): Violation[] {
    return this.out.sort((a, b) => a.t - b.t);
  }

  say(rule: Rule, t: number, what: string): void {
    this.out.push({ rule, t: Math.round(t), what });
  }

  accepted(topic: string): Iterable<Pub> {
    return this.byOffset.get(topic)?.values() ?? [];
  }

  told(changeId: string): Of<'cfg.answer'>[] {
    return (this.answers.get(changeId) ?? []).filter((a) => a.out !== 'unanswered');
  }

  /** When a revision above this one was first sent: one that was overtaken before it was answered may have been in force. */
  revisedAfter(x: Taken): number {
    const of = x.revision;
    if (of === undefined) return Infinity;
    return Math.min(
      Infinity,
      ...[...this.submits.values()]
        .filter((s) => s.valid && s.revision !== undefined && s.revision > of)
        .map((s) => s.t),
    );
  }

  /** Whether the family of a topic was surely not in force: 3 s after the answer, up to the next submit that brings it back. */
  removed(topic: string, t: number): boolean {
    const last = this.taken.filter((x) => x.t + this.bounds.configInForceMs + this.bounds.observationDelayMs < t).at(-1);
    if (!last || familyOf(last.config, topic)) return false;
    return ![...this.submits.values()].some((s) => {
      const a = this.told(s.changeId)[0];
      // One that was overtaken may have been in force before.
      let v = a && a.out !== 'overtaken' ? 0 : Infinity;
      if (a?.out === 'taken') v = a.version!;
      return s.valid && s.t <= t && v > last.version && familyOf(s.config as FleetConfig, topic);
    });
  }

  /** The times in which no family may have held a topic: only then may anything of it be missing. */
  away(topic: string): Away[] {
    const had = this.aways.get(topic);
    if (had) return had;
    const out: Away[] = [];
    let there = false;
    for (const x of this.taken) {
      // Whatever the family that holds it is called: what stays there keeps everything.
      const now = familyOf(x.config, topic) !== undefined;
      const open = out.at(-1);
      if (!now && there) out.push({ from: x.submitted, to: Infinity });
      else if (now && open?.to === Infinity) open.to = x.t + this.bounds.configInForceMs;
      there = now;
    }
    for (const s of this.submits.values()) {
      if (!s.valid || familyOf(s.config as FleetConfig, topic)) continue;
      const a = this.told(s.changeId)[0];
      if (!a) out.push({ from: s.t, to: Infinity });
      else if (a.out === 'overtaken') out.push({ from: s.t, to: a.t + this.bounds.configInForceMs });
    }
    this.aways.set(topic, out);
    return out;
  }

  /** Whether a message first tried at `at` (and stored no earlier) may be missing to someone who could first see it at `from` and got what is behind it at `to`. */
  excused(topic: string, at: number, from: number, to: number): boolean {
    return this.away(topic).some((w) => w.from <= to && from <= w.to && at <= w.to);
  }

  configAt(t: number): FleetConfig | undefined {
    return this.taken.filter((y) => y.t <= t).at(-1)?.config;
  }

  familyAt(topic: string, t: number) {
    const x = this.configAt(t);
    return x && familyOf(x, topic);
  }
}
