import { familyOf, isUrgent, type FleetConfig } from '@harecross/schema';
import type { Seen } from './journal.js';
import { Sky } from './weather.js';

/** The rules of the brief's "What must never happen", each a named check; behind the dash what follows from its other sentences. */
export const RULES = [
  'once',
  'order',
  'skipped',
  'turned_away',
  'invented',
  'unasked',
  'left',
  'resume',
  'lost',
  'config_lost',
  'config_late',
  'fell_back',
  'final',
  'repeat',
  'overtaken',
  'removed_flow',
  'invalid_taken',
  'unanswered',
  'read_back',
  'served',
  'counts',
  // -
  'held',
  'come_back',
  'late',
  'bounds',
] as const;
export type Rule = (typeof RULES)[number];
export interface Violation {
  rule: Rule;
  t: number;
  what: string;
}

/** What the judge allows, in ms. The simulator's ways take up to 40 ms; a loaded machine's take longer. */
export interface Bounds {
  /** On top of every bound, for the way of an answer to the observer. */
  wayMs: number;
  /** Whether bounds on how long callers wait are judged: not on real processes of a machine that others use too. */
  timed: boolean;
  /** A configuration is in force everywhere within this time after it was acknowledged. */
  inForceMs: number;
}
const SIM: Bounds = { wayMs: 250, timed: true, inForceMs: 3_000 };

/** After the last fault and the last publish, this is time enough for any repair. */
export const SETTLE_MS = 6_000;
/** A node that became well this lately may still be joining. */
const JOIN_MS = 3_000;
/** A rejection is for when nobody serves the key; finding that out takes no longer. Whether a topic exists two nodes may see differently for a while. */
const REJECT_MS = 1_500;
/** From accepted to the listener: while nothing is wrong, by urgency, and after a fault. */
const REACH_MS = { urgent: 600, routine: 1_200, fault: 8_000 } as const;
/** Nothing counts as wrong any more this long after the last change of the fleet. */
const CALM_MS = 12_000;
/** A count may be partial while a node ails, and this long after the last change of the fleet. */
const PARTIAL_MS = 12_000;
/** Bounds of a node's holdings, as told to operators in docs/operators.md. */
const HOLDINGS = new Map([
  ['edge', 3_000],
  ['publish', 2_000],
  ['fan', 1_000],
  ['conn', 512 * 1024],
  ['conn.oversized', 2 * 1024 * 1024],
]);

/** Answers to Subscribe after which nothing may come of it; after the others something may. */
/** The one answer that a number was never accepted and never will be. */
const FINAL = 'stale_seq';
/** An accepted number may be sent again for so long. */
const REPEAT_MS = 10_000;
const SURELY_NOT = new Set(['unknown_topic', 'cursor_expired', 'cursor_ahead']);

type Of<K extends Seen['k']> = Extract<Seen, { k: K }>;
interface Pub {
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
interface Line {
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
interface Taken {
  version: number;
  t: number;
  submitted: number;
  changeId: string;
  revision?: number;
  document?: unknown;
  config: FleetConfig;
}
/** A time in which a topic's family may have been away, or another one; `to` is when it was surely back. */
interface Away {
  from: number;
  to: number;
}

const idOf = (x: { topic: string; sender: string; seq: number }): string => `${x.topic}\n${x.sender}\n${x.seq}`;
const push = <K, V>(m: Map<K, V[]>, k: K, v: V): void => {
  const l = m.get(k);
  if (l) l.push(v);
  else m.set(k, [v]);
};

/**
 * Judges a journal. It shares no code with what it judges but the meaning of topic patterns.
 * @example
 * const bad = judge(journal.seen); // [] when nothing happened that must never happen
 */
export function judge(seen: readonly Seen[], bounds: Bounds = SIM): Violation[] {
  return new Judge(seen, bounds).all();
}

class Judge {
  private out: Violation[] = [];
  private pubs = new Map<string, Pub>();
  /** Accepted messages of each topic by offset. */
  private byOffset = new Map<string, Map<number, Pub>>();
  private taken: Taken[] = [];
  private submits = new Map<string, Of<'cfg.submit'>>();
  private answers = new Map<string, Of<'cfg.answer'>[]>();
  /** What was told to be in force, by time. */
  private revisions: { t: number; version: number; revision: number }[] = [];
  private lines: Line[] = [];
  private aways = new Map<string, Away[]>();
  private nodeOf = new Map<string, string>();
  private sky: Sky;
  private end: number;

  constructor(
    private seen: readonly Seen[],
    private b: Bounds,
  ) {
    this.sky = new Sky(seen);
    this.end = seen.find((s) => s.k === 'end')?.t ?? Infinity;
    for (const s of seen) if (s.k === 'conn.open') this.nodeOf.set(s.conn, s.node);
  }

  all(): Violation[] {
    this.operators();
    this.publishes();
    this.nodes();
    this.marks();
    this.removedAccepts();
    this.subscriptions();
    this.gaps();
    this.owed();
    this.audits();
    this.counts();
    this.waits();
    this.holdings();
    this.closing();
    return this.out.sort((a, b) => a.t - b.t);
  }

  private say(rule: Rule, t: number, what: string): void {
    this.out.push({ rule, t: Math.round(t), what });
  }

  // --- what was published ---

  private publishes(): void {
    const tried = new Map<number, number>();
    for (const s of this.seen) {
      if (s.k === 'pub.try') {
        const id = idOf(s);
        const p = this.pubs.get(id) ?? {
          topic: s.topic,
          sender: s.sender,
          seq: s.seq,
          body: s.body,
          firstTry: s.t,
          outs: [],
          tries: 0,
          line: false,
          refused: false,
        };
        p.tries++;
        p.line ||= s.line !== undefined;
        tried.set(s.try, s.t);
        this.pubs.set(id, p);
      } else if (s.k === 'pub.answer') {
        const p = this.pubs.get(idOf(s))!;
        p.outs.push(s.out);
        const what = `${s.topic} ${s.sender}#${s.seq}`;
        if (s.tag === FINAL) p.finalAt ??= s.t;
        if (s.out !== 'accepted') {
          const asked = tried.get(s.try)!;
          p.refused ||= s.tag === 'overloaded' || s.tag === 'unknown_topic';
          // A final no after a first outcome is judged as one; any other answer will do while something is wrong.
          if (
            s.tag !== FINAL &&
            p.acceptedAt !== undefined &&
            asked >= p.acceptedAt &&
            asked < p.acceptedAt + REPEAT_MS &&
            this.sky.calm(asked - CALM_MS, s.t) &&
            !this.away(s.topic).length
          )
            this.say(
              'repeat',
              s.t,
              `${what}, accepted at ${Math.round(p.acceptedAt)}, was answered ${s.tag} when it came again`,
            );
          if (s.tag === FINAL && p.line && !p.refused)
            this.say('overtaken', s.t, `${what} was on the way before a later one of its sender that was stored`);
          continue;
        }
        if (p.offset !== undefined && p.offset !== s.offset)
          this.say('once', s.t, `${what} accepted at ${p.offset} and at ${s.offset}`);
        p.offset = s.offset!;
        p.acceptedAt ??= s.t;
        const m = this.byOffset.get(s.topic) ?? new Map<number, Pub>();
        const other = m.get(s.offset!);
        if (other && other !== p)
          this.say('lost', s.t, `${s.topic} offset ${s.offset} given to ${other.sender}#${other.seq} and ${what}`);
        m.set(s.offset!, p);
        this.byOffset.set(s.topic, m);
      }
    }
    const shown = new Set(this.seen.flatMap((s) => (s.k === 'deliver' ? [idOf(s)] : [])));
    for (const [id, p] of this.pubs) {
      let how = shown.has(id) ? 'delivered' : undefined;
      if (p.acceptedAt !== undefined) how = 'accepted';
      if (p.finalAt !== undefined && how)
        this.say(
          'final',
          p.finalAt,
          `${p.topic} ${p.sender}#${p.seq} was told that it was never accepted and never will be, and was ${how}`,
        );
    }
  }

  private accepted(topic: string): Iterable<Pub> {
    return this.byOffset.get(topic)?.values() ?? [];
  }

  // --- operators ---

  private operators(): void {
    for (const s of this.seen) {
      if (s.k === 'cfg.submit') {
        if (!this.submits.has(s.changeId)) this.submits.set(s.changeId, s);
      } else if (s.k === 'cfg.answer') push(this.answers, s.changeId, s);
    }
    for (const as of this.answers.values())
      for (const { t, version, revision } of as)
        if (revision !== undefined) this.revisions.push({ t, version: version!, revision });
    this.revisions.sort((a, b) => a.t - b.t);
    for (const [id, sub] of this.submits) {
      const as = this.told(id);
      const a = as[0];
      if (!a) {
        this.say('unanswered', sub.t, `${id} never got an answer`);
        continue;
      }
      if (!sub.valid && as.some((x) => x.out !== 'invalid'))
        this.say('invalid_taken', a.t, `${id} is invalid and was answered ${a.out}`);
      if (sub.valid && as.some((x) => x.out === 'invalid'))
        this.say('unanswered', a.t, `${id} is valid and was called invalid`);
      if (sub.revision !== undefined) this.revised(id, sub, as);
      else
        for (const x of as) {
          if (x.out !== a.out || x.version !== a.version)
            this.say('config_lost', x.t, `${id} was answered ${a.out} ${a.version}, then ${x.out} ${x.version}`);
        }
      if (a.out !== 'taken' || !sub.valid) continue;
      if (sub.expect !== undefined && a.version !== sub.expect + 1)
        this.say('config_lost', a.t, `${id} expected ${sub.expect} and became ${a.version}`);
      const twin = this.taken.find((x) => x.version === a.version);
      if (twin) this.say('config_lost', a.t, `version ${a.version} given to ${twin.changeId} and ${id}`);
      this.taken.push({
        version: a.version!,
        t: a.t,
        submitted: sub.t,
        changeId: id,
        revision: sub.revision,
        document: sub.document,
        config: sub.config as FleetConfig,
      });
    }
    this.taken.sort((a, b) => a.version - b.version);
    const unsure = [...this.submits.keys()].some((id) => !this.told(id).length);
    for (const s of this.seen) {
      if (s.k !== 'cfg.read') continue;
      const least = this.taken.filter((x) => x.t <= s.asked).at(-1)?.version ?? 0;
      if (s.version < least)
        this.say(s.last ? 'read_back' : 'config_lost', s.t, `read version ${s.version}, but ${least} was taken before`);
      const of = this.taken.find((x) => x.version === s.version);
      const differs =
        of &&
        (JSON.stringify([of.config, of.document]) !== JSON.stringify([s.config, s.document]) ||
          (of.revision !== undefined && s.revision !== of.revision));
      if (differs) {
        this.say('read_back', s.t, `version ${s.version} reads differently from what ${of.changeId} sent`);
      }
      if (s.last && !unsure && !of && s.version > 0) this.say('read_back', s.t, `version ${s.version} was never sent`);
    }
  }

  /** By revision the highest holds: an answer tells of the one sent or of a higher one, and of nothing lower than what was told before. */
  private revised(id: string, sub: Of<'cfg.submit'>, as: Of<'cfg.answer'>[]): void {
    if (!sub.valid) return;
    for (const x of as) {
      if (x.revision! < sub.revision! || (x.out === 'taken') !== (x.revision === sub.revision))
        this.say('config_lost', x.t, `${id} was answered with revision ${x.revision}`);
      const of = this.submits.get(`revision-${x.revision}`);
      if (!of) this.say('config_lost', x.t, `${id} was answered with revision ${x.revision}, which nobody sent`);
      else if (!of.valid)
        this.say('invalid_taken', x.t, `${id} was answered with revision ${x.revision}, which is invalid`);
      const before = this.revisions.find((y) => y.t < x.asked! && y.revision > x.revision!);
      if (before)
        this.say(
          'config_lost',
          x.t,
          `${id} was answered with revision ${x.revision}; ${before.revision} was told before`,
        );
      const twin = this.revisions.find((y) => (y.version === x.version) !== (y.revision === x.revision));
      if (twin)
        this.say(
          'config_lost',
          x.t,
          `revision ${x.revision} is version ${x.version}, and ${twin.revision} is ${twin.version}`,
        );
    }
  }

  private told(changeId: string): Of<'cfg.answer'>[] {
    return (this.answers.get(changeId) ?? []).filter((a) => a.out !== 'unanswered');
  }

  /** What nodes say of themselves, and those that say nothing though they could. */
  private nodes(): void {
    const before = new Map<string, { t: number; version: number }[]>();
    for (const s of this.seen) {
      if (s.k !== 'node.says' && s.k !== 'node.silent') continue;
      const due = this.taken.filter((x) => s.asked > x.t + this.b.inForceMs).at(-1);
      const able = this.sky.well(s.node, s.asked - JOIN_MS, s.t);
      if (s.k === 'node.silent') {
        if (due && able)
          this.say(
            'config_late',
            s.t,
            `${s.node} is well and says nothing; ${due.version} was taken ${Math.round(s.asked - due.t)} ms before`,
          );
        continue;
      }
      // Answers may overtake one another: only what was told before this was asked.
      const was = Math.max(0, ...(before.get(s.node) ?? []).filter((x) => x.t < s.asked).map((x) => x.version));
      if (s.version !== undefined && s.version < was)
        this.say('fell_back', s.t, `${s.node} said ${s.version} after ${was}`);
      if (s.version !== undefined) push(before, s.node, { t: s.t, version: s.version });
      if (!due) continue;
      const late = `${due.version} was taken ${Math.round(s.asked - due.t)} ms before`;
      if (s.fresh && (s.version ?? 0) < due.version)
        this.say('config_late', s.t, `${s.node} served by ${s.version}; ${late}`);
      else if (!s.fresh && able) this.say('config_late', s.t, `${s.node} is well and does not serve; ${late}`);
    }
  }

  /** Marker topics: each is in one configuration only, so a visit there shows by which one a node serves. */
  private marks(): void {
    const markOf = (c: FleetConfig): number | undefined => {
      for (const f of c.families) for (const p of f.topics) if (p.startsWith('mark/')) return Number(p.slice(5));
      return undefined;
    };
    const versionOf = new Map(
      this.taken.flatMap((x) => {
        const m = markOf(x.config);
        return m === undefined ? [] : [[m, x] as const];
      }),
    );
    const shown = new Map<string, { version: number; t: number }[]>();
    for (const s of this.seen) {
      if (s.k !== 'mark') continue;
      const x = versionOf.get(s.mark);
      if (!x) continue;
      const next = this.taken.find((y) => y.version > x.version);
      if (s.seen === 'in') {
        const later = shown.get(s.node)?.find((e) => e.version > x.version && e.t < s.asked);
        const how = `${s.by} on the marker of version ${x.version}`;
        if (later)
          this.say(
            'fell_back',
            s.t,
            `${s.node}: ${how} after version ${later.version} was at work there ${Math.round(s.asked - later.t)} ms before`,
          );
        if (next && s.asked > next.t + this.b.inForceMs)
          this.say(
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
        s.asked > x.t + this.b.inForceMs &&
        s.t < Math.min(next?.submitted ?? Infinity, this.revisedAfter(x))
      ) {
        this.say(
          'config_late',
          s.t,
          `${s.node}: no marker of version ${x.version}, taken ${Math.round(s.asked - x.t)} ms before`,
        );
      }
    }
  }

  /** When a revision above this one was first sent: one that was overtaken before it was answered may have been in force. */
  private revisedAfter(x: Taken): number {
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
  private removed(topic: string, t: number): boolean {
    const last = this.taken.filter((x) => x.t + this.b.inForceMs + this.b.wayMs < t).at(-1);
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
  private away(topic: string): Away[] {
    const had = this.aways.get(topic);
    if (had) return had;
    const out: Away[] = [];
    let there = false;
    for (const x of this.taken) {
      // Whatever the family that holds it is called: what stays there keeps everything.
      const now = familyOf(x.config, topic) !== undefined;
      const open = out.at(-1);
      if (!now && there) out.push({ from: x.submitted, to: Infinity });
      else if (now && open?.to === Infinity) open.to = x.t + this.b.inForceMs;
      there = now;
    }
    for (const s of this.submits.values()) {
      if (!s.valid || familyOf(s.config as FleetConfig, topic)) continue;
      const a = this.told(s.changeId)[0];
      if (!a) out.push({ from: s.t, to: Infinity });
      else if (a.out === 'overtaken') out.push({ from: s.t, to: a.t + this.b.inForceMs });
    }
    this.aways.set(topic, out);
    return out;
  }

  /** Whether a message first tried at `at` (and stored no earlier) may be missing to someone who could first see it at `from` and got what is behind it at `to`. */
  private excused(topic: string, at: number, from: number, to: number): boolean {
    return this.away(topic).some((w) => w.from <= to && from <= w.to && at <= w.to);
  }

  private configAt(t: number): FleetConfig | undefined {
    return this.taken.filter((y) => y.t <= t).at(-1)?.config;
  }

  private familyAt(topic: string, t: number) {
    const x = this.configAt(t);
    return x && familyOf(x, topic);
  }

  private removedAccepts(): void {
    const first = new Set<string>();
    for (const s of this.seen) {
      if (s.k !== 'pub.answer' || s.out !== 'accepted') continue;
      if (first.has(idOf(s))) continue;
      first.add(idOf(s));
      if (this.removed(s.topic, s.t))
        this.say('removed_flow', s.t, `${s.topic} ${s.sender}#${s.seq} accepted on a removed family`);
    }
  }

  // --- subscriptions ---

  private subscriptions(): void {
    const lines = new Map<string, Line>();
    /** The first asking for a topic on a conn: asked again before it ended, it is the same subscription. */
    const asks = new Map<string, { t: number; cursor?: number; gotAt: number }>();
    const ended = new Map<string, { t: number; why: string }>();
    const early = new Map<string, Of<'deliver'>[]>();
    const shown = new Map<string, Of<'deliver'>>();
    const turnedAway = (p: Pub): boolean => p.outs.length === p.tries && p.outs.every((o) => o === 'rejected');
    /** When a consumer last got something of a topic. */
    const gotAt = new Map<string, number>();
    const byConn = new Map<string, Line[]>();
    for (const s of this.seen) {
      switch (s.k) {
        case 'sub.ask':
          if (!asks.has(`${s.conn}\n${s.topic}`)) {
            asks.set(`${s.conn}\n${s.topic}`, {
              t: s.t,
              cursor: s.cursor,
              gotAt: gotAt.get(`${s.consumer}\n${s.topic}`) ?? 0,
            });
          }
          break;
        case 'unsub.ok':
        case 'sub.fail':
          if (s.k === 'unsub.ok' || SURELY_NOT.has(s.tag)) asks.delete(`${s.conn}\n${s.topic}`);
          if (s.k === 'unsub.ok') break;
          if (s.tag === 'cursor_expired') this.expired(s.t, s.consumer, s.topic, s.cursor);
          if (s.tag === 'cursor_ahead')
            this.say('lost', s.t, `${s.consumer} ${s.topic}: told that ${s.cursor}, which it received, does not exist`);
          break;
        case 'sub.ok': {
          const key = `${s.conn}\n${s.topic}\n${s.sub}`;
          // An answer may have got lost, and the frames of that subscription came first: it began with them.
          const start = Math.min(s.next, early.get(key)?.[0]?.offset ?? Infinity);
          const ask = asks.get(`${s.conn}\n${s.topic}`) ?? { t: s.t, cursor: s.cursor, gotAt: 0 };
          const { cursor, gotAt: from } = ask;
          const who = `${s.consumer} ${s.topic} resumed at ${start} after ${cursor}`;
          if (cursor !== undefined && s.next <= cursor) this.say('once', s.t, who);
          if (cursor !== undefined && start > cursor + 1) {
            const between = [...this.accepted(s.topic)].filter((p) => p.offset! > cursor && p.offset! < start);
            const ok = between.length
              ? between.every((p) => this.excused(s.topic, p.firstTry, from, s.t))
              : this.away(s.topic).some((w) => w.from <= s.t && from <= w.to);
            if (!ok) this.say('skipped', s.t, who);
          }
          if (lines.has(key)) break; // asked twice, one subscription
          const l: Line = {
            consumer: s.consumer,
            topic: s.topic,
            conn: s.conn,
            start,
            asked: ask.t,
            okAt: s.t,
            cursor,
            got: early.get(key) ?? [],
          };
          // The stream and the answers are two ways: LEFT or the conn's end may have been seen before the answer.
          const over = ended.get(key) ?? ended.get(s.conn);
          if (over) {
            l.endAt = over.t;
            l.endWhy = over.why;
            if (ended.has(key)) l.leftAt = over.t;
          }
          early.delete(key);
          lines.set(key, l);
          this.lines.push(l);
          push(byConn, s.conn, l);
          break;
        }
        case 'left': {
          const key = `${s.conn}\n${s.topic}\n${s.sub}`;
          const l = lines.get(key);
          ended.set(key, { t: s.t, why: s.reason });
          asks.delete(`${s.conn}\n${s.topic}`);
          if (l) {
            l.leftAt ??= s.t;
            l.endAt ??= s.t;
            l.endWhy ??= s.reason;
          }
          if (s.reason === 'cursor_expired') this.expired(s.t, s.consumer, s.topic, s.cursor);
          if (
            s.reason === 'topic_removed' &&
            !this.away(s.topic).some((w) => w.from <= s.t && s.t <= w.to + this.b.wayMs)
          ) {
            this.say('lost', s.t, `${s.consumer} was told that ${s.topic} was removed, which it never was`);
          }
          break;
        }
        case 'conn.end':
          ended.set(s.conn, { t: s.t, why: s.why });
          for (const l of byConn.get(s.conn) ?? [])
            if (l.endAt === undefined) {
              l.endAt = s.t;
              l.endWhy = s.why;
            }
          break;
        case 'deliver': {
          const key = `${s.conn}\n${s.topic}\n${s.sub}`;
          const l = lines.get(key);
          const p = this.pubs.get(idOf(s));
          const what = `${s.topic} ${s.sender}#${s.seq}`;
          if (!p || p.body !== s.body || p.firstTry > s.t)
            this.say('invented', s.t, `${what} was delivered but never published so`);
          else if (turnedAway(p)) this.say('turned_away', s.t, `${what} was rejected on every try and delivered`);
          const b = shown.get(`${s.topic}\n${s.offset}`);
          if (b && (b.sender !== s.sender || b.seq !== s.seq || b.body !== s.body))
            this.say('lost', s.t, `${s.topic} offset ${s.offset} shown as two messages`);
          shown.set(`${s.topic}\n${s.offset}`, s);
          if (p?.offset !== undefined && p.offset !== s.offset)
            this.say('once', s.t, `${what} accepted at ${p.offset}, delivered at ${s.offset}`);
          if (this.removed(s.topic, s.t))
            this.say('removed_flow', s.t, `${s.consumer} ${s.topic} offset ${s.offset} delivered on a removed family`);
          gotAt.set(`${s.consumer}\n${s.topic}`, s.t);
          const got = `${s.consumer} got ${s.topic} offset ${s.offset}`;
          if (l) {
            if (l.leftAt !== undefined) this.say('left', s.t, `${got} after it had left`);
            l.got.push(s);
          } else if (ended.has(key)) this.say('left', s.t, `${got} after it had left`);
          else if (!asks.has(`${s.conn}\n${s.topic}`)) this.say('unasked', s.t, `${got} on a conn that never asked`);
          else push(early, key, s);
          break;
        }
        default:
          break;
      }
    }
    // Where the answer to Subscribe got lost its frames are still asked for; where another was told of, they are not.
    const toldOf = new Set(this.lines.map((l) => `${l.conn}\n${l.topic}`));
    for (const [key, l] of early)
      if (toldOf.has(key.slice(0, key.lastIndexOf('\n'))))
        this.say(
          'unasked',
          l[0]!.t,
          `${key.replaceAll('\n', ' ')} got ${l.length} messages on a subscription it was never told of`,
        );
  }

  private expired(t: number, consumer: string, topic: string, cursor: number | undefined): void {
    if (cursor === undefined) return;
    const behind = [...this.accepted(topic)].filter((p) => p.offset! > cursor && p.acceptedAt! <= t);
    // A try whose outcome nobody learned may stand behind the cursor, of any age: then the judge can't tell.
    const unsure = [...this.pubs.values()].some(
      (p) =>
        p.topic === topic &&
        p.offset === undefined &&
        p.firstTry <= t &&
        !(p.outs.length === p.tries && p.outs.every((o) => o === 'rejected')),
    );
    const next = behind.find((p) => p.offset === cursor + 1);
    // Offsets are given as messages are stored, so the oldest it lacks is the next. One first tried long ago may have been stored as long ago.
    const oldest =
      next ??
      (unsure ? undefined : behind.reduce<Pub | undefined>((a, p) => (!a || p.offset! < a.offset! ? p : a), undefined));
    const fam = this.familyAt(topic, t);
    const what = `${consumer} could not resume ${topic} behind ${cursor}`;
    if (fam && oldest && !this.excused(topic, oldest.firstTry, 0, t) && t - oldest.firstTry < fam.memoryS * 1000) {
      this.say('resume', t, `${what}; the oldest it lacks is ${Math.round(t - oldest.acceptedAt!)} ms old`);
    }
    if (fam && !behind.length && !unsure) this.say('resume', t, `${what} though it lacks nothing`);
  }

  /** The run of offsets on each line. */
  private gaps(): void {
    for (const l of this.lines) {
      let prev = l.start - 1;
      let prevAt = l.okAt;
      const seqs = new Map<string, number>();
      for (const d of l.got) {
        const who = `${l.consumer} ${l.topic} offset ${d.offset} after ${prev}`;
        if (d.offset <= prev)
          this.say(
            d.offset === prev || l.got.some((x) => x !== d && x.offset === d.offset) ? 'once' : 'order',
            d.t,
            who,
          );
        else if (d.offset > prev + 1) {
          const between = [...this.accepted(l.topic)].filter((p) => p.offset! > prev && p.offset! < d.offset);
          const ok = between.length
            ? between.every((p) => this.excused(l.topic, p.firstTry, prevAt, d.t))
            : this.away(l.topic).some((w) => w.from <= d.t && prevAt <= w.to);
          if (!ok) this.say('skipped', d.t, who);
        }
        prev = Math.max(prev, d.offset);
        prevAt = d.t;
        const q = seqs.get(d.sender);
        if (q !== undefined && d.seq <= q)
          this.say('order', d.t, `${l.consumer} ${l.topic} ${d.sender}#${d.seq} after #${q}`);
        seqs.set(d.sender, d.seq);
        if (l.cursor !== undefined) continue;
        const p = this.pubs.get(idOf(d));
        if (p?.acceptedAt !== undefined && p.acceptedAt < l.asked) {
          this.say(
            'unasked',
            d.t,
            `${l.consumer} asked for ${l.topic} from now on and got offset ${d.offset}, accepted before`,
          );
        }
      }
    }
  }

  /** What each line owed: by the end of the day, and in time. */
  private owed(): void {
    for (const l of this.lines) {
      const at = new Map(l.got.map((d) => [d.offset, d.t]));
      const last = l.got.at(-1)?.offset ?? l.start - 1;
      const node = this.nodeOf.get(l.conn) ?? '';
      for (const p of this.accepted(l.topic)) {
        const owed = p.offset! >= l.start || p.firstTry > l.okAt;
        if (!owed || this.excused(l.topic, p.firstTry, l.okAt, l.endAt ?? this.end)) continue;
        const got = at.get(p.offset!);
        const what = `${p.sender}#${p.seq}`;
        if (got === undefined && l.endAt === undefined && p.acceptedAt! <= this.end - SETTLE_MS) {
          if (p.offset! < l.start)
            this.say(
              'skipped',
              p.acceptedAt!,
              `${l.consumer} ${l.topic} began at ${l.start} but ${what}, published later, is at ${p.offset}`,
            );
          else
            this.say(
              p.offset! > last ? 'lost' : 'skipped',
              p.acceptedAt!,
              `${l.consumer} ${l.topic} never got offset ${p.offset} (${what})`,
            );
          continue;
        }
        if (!this.b.timed || p.offset! < l.start) continue;
        // In time, to a conn that was well all the while.
        const from = Math.max(p.acceptedAt!, l.okAt);
        const config = this.configAt(from);
        const urgent = config !== undefined && isUrgent(config, l.topic);
        for (const [limit, ok] of [
          [urgent ? REACH_MS.urgent : REACH_MS.routine, (to: number) => this.sky.calm(from - CALM_MS, to)],
          [REACH_MS.fault, (to: number) => this.sky.well(node, from, to) && this.sky.able(from, to)],
        ] as const) {
          const to = from + limit + this.b.wayMs;
          if ((got ?? Infinity) <= to || (l.endAt ?? this.end) <= to || to >= this.end) continue;
          if (!ok(to) || this.sky.poor(l.consumer, from, to)) continue;
          const how = got === undefined ? 'not at all' : `after ${Math.round(got - from)} ms`;
          this.say(
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
  private audits(): void {
    const got = new Map<string, Set<number>>();
    for (const s of this.seen) {
      if (s.k !== 'deliver') continue;
      const key = `${s.consumer}\n${s.topic}`;
      const l = got.get(key) ?? new Set<number>();
      l.add(s.offset);
      got.set(key, l);
    }
    for (const s of this.seen) {
      if (s.k !== 'audit') continue;
      const end = this.seen.find((x) => x.k === 'audit.end' && x.consumer === s.consumer && x.t >= s.t)?.t;
      const have = got.get(`${s.consumer}\n${s.topic}`);
      for (const p of this.accepted(s.topic)) {
        if (
          p.offset! <= s.cursor ||
          p.acceptedAt! > s.t ||
          have?.has(p.offset!) ||
          this.excused(s.topic, p.firstTry, 0, end ?? this.end)
        )
          continue;
        this.say(
          'lost',
          s.t,
          `${s.consumer} read back ${s.topic} behind ${s.cursor} and had no offset ${p.offset} (${p.sender}#${p.seq})`,
        );
      }
    }
  }

  // --- listener counts ---

  /** Between the least and the most that truly listened in the last five seconds. */
  private counts(): void {
    // Between asking and the answer a subscription may count or not; so may a conn whose check-ins are getting lost.
    const spans = new Map<string, { conn: string; asked: number; from: number; to: number }[]>();
    const lost = new Map<string, number[]>();
    for (const s of this.seen) if (s.k === 'probe.lost') push(lost, s.conn, s.asked);
    for (const l of this.lines)
      push(spans, l.topic, { conn: l.conn, asked: l.asked, from: l.okAt, to: l.endAt ?? Infinity });
    for (const s of this.seen) {
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
      if (s.count > hi + slack || (!s.partial && s.count < lo - slack)) this.say('counts', s.t, told);
      const since = s.asked - this.sky.changedAt(s.asked);
      if (
        s.partial &&
        since < Infinity &&
        since > PARTIAL_MS &&
        this.sky.calm(s.asked - PARTIAL_MS, s.t) &&
        !this.sky.ailing(s.asked - PARTIAL_MS, s.t)
      )
        this.say('counts', s.t, `${told}; nothing changed for ${Math.round(since)} ms`);
    }
  }

  // --- what callers wait for ---

  private waits(): void {
    const tries = new Map<number, Of<'pub.try'>>();
    const hints = new Map<string, { t: number; ms: number }[]>();
    const silent = new Map<number, Of<'pub.try'>>();
    for (const s of this.seen) {
      if (s.k === 'pub.try') {
        tries.set(s.try, s);
        silent.set(s.try, s);
      }
      if (s.k === 'conn.end' && s.retryMs !== undefined && s.why !== 'replaced')
        push(hints, `${this.nodeOf.get(s.conn)} ${s.why}`, { t: s.t, ms: s.retryMs });
      if (s.k !== 'pub.answer') continue;
      silent.delete(s.try);
      const p = tries.get(s.try)!;
      const what = `${s.topic} ${s.sender}#${s.seq} at ${s.node}`;
      const ms = s.t - p.t;
      const fam = this.familyAt(s.topic, p.t);
      if (this.b.timed && fam) {
        const well = this.sky.well(s.node, p.t, s.t) && !this.sky.anyPoor(p.t, s.t);
        if (s.tag === 'no answer') {
          if (well) this.say('held', s.t, `${what} got no answer in ${Math.round(ms)} ms, and the node was well`);
        } else if (well && ms > fam.patienceMs + this.b.wayMs)
          this.say(
            'held',
            s.t,
            `${what} was answered ${s.out} after ${Math.round(ms)} ms; its patience is ${fam.patienceMs} ms`,
          );
        else if (well && s.out === 'rejected' && s.tag !== 'unknown_topic' && ms > REJECT_MS + this.b.wayMs)
          this.say('held', s.t, `${what} was rejected (${s.tag}) only after ${Math.round(ms)} ms`);
      }
      if (s.status === 503 || s.status === 504) {
        if (s.retryMs === undefined || s.retryMs <= 0)
          this.say('come_back', s.t, `${what} was answered ${s.status} ${s.tag} without a time to come back`);
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
          this.say(
            'come_back',
            hs[i]!.t,
            `${who}: ${group.length} were told to come back at ${distinct} times, ${wide} ms apart at most`,
          );
        }
        i += Math.max(1, group.length);
      }
    }
  }

  private holdings(): void {
    const accepted = [...this.pubs.values()].filter((p) => p.acceptedAt !== undefined).map((p) => p.acceptedAt!);
    const returns = this.sky.returns().sort((a, b) => b - a);
    for (const s of this.seen) {
      if (s.k !== 'node.says') continue;
      for (const h of s.holdings ?? []) {
        const bound = HOLDINGS.get(h.name);
        if (bound === undefined)
          this.say('bounds', s.t, `${s.node} has a holding '${h.name}' that the docs do not know`);
        else if (h.bound > bound || h.most > bound)
          this.say(
            'bounds',
            s.t,
            `${s.node} ${h.name}: ${h.most} held with a bound of ${h.bound}; ${bound} is promised`,
          );
      }
      if (s.kept === undefined) continue;
      const fams = this.taken.filter((x) => x.t <= s.t).at(-1)?.config.families ?? [];
      const keep = Math.max(0, ...fams.map((f) => f.memoryS)) * 1_500 + 15_000 + 15_000;
      // Everything accepted so lately, what is still under way or unknown, and a barrier for each time a key was taken.
      // What a machine finds on its disk begins its life in memory anew, and may come to others so: an age counts from the last return.
      let back = s.t - keep;
      for (const r of returns) if (r <= s.t && r >= back) back = Math.min(back, r - keep);
      const may = accepted.filter((t) => t > back).length * 1.2 + 1_500;
      if (s.kept > may)
        this.say('bounds', s.t, `${s.node} keeps ${s.kept} entries; ${Math.round(may)} were accepted lately enough`);
    }
  }

  // --- after the closing fault ---

  private closing(): void {
    const c = [...this.seen].reverse().find((s) => s.k === 'closing');
    if (!c) return;
    const domains = new Map<string, string[]>();
    for (const s of this.seen) if (s.k === 'node' && s.role === 'relay') push(domains, s.domain, s.node);
    const from = c.t + 12_000;
    const domainOf = new Map<number | string, string>();
    for (const s of this.seen) {
      if (s.k === 'conn.open') domainOf.set(s.conn, s.domain);
      else if (s.k === 'pub.try') domainOf.set(s.try, s.domain);
    }
    const alive = [...domains]
      .filter(([, ns]) => ns.some((n) => this.sky.well(n, from - 3_000, from + 3_500)))
      .map(([d]) => d);
    for (const d of [undefined, ...alive]) {
      const at = (of: number | string): boolean => d === undefined || domainOf.get(of) === d;
      const where = d === undefined ? 'in all' : `in ${d}`;
      for (const what of ['accepted', 'delivered', 'attached'] as const) {
        const before = this.rate(what, c.t - 8_000, c.t, at);
        const after = this.rate(what, from, from + 4_000, at);
        if (before === 0 && d !== undefined) continue;
        if (before === 0 || after < before / 4) {
          this.say(
            'served',
            from,
            `${where}: ${after.toFixed(1)} ${what} 12 s after the closing fault, ${before.toFixed(1)} before it`,
          );
        }
      }
    }
  }

  /** Publishes accepted or messages delivered each second, or conns attached at the end, of some tries and conns. */
  private rate(
    what: 'accepted' | 'delivered' | 'attached',
    a: number,
    b: number,
    at: (of: number | string) => boolean,
  ): number {
    if (what === 'attached') {
      const ends = new Map<string, number>();
      const opens: Of<'conn.open'>[] = [];
      for (const s of this.seen) {
        if (s.k === 'conn.end') ends.set(s.conn, s.t);
        else if (s.k === 'conn.open') opens.push(s);
      }
      return opens.filter((o) => at(o.conn) && o.t <= b && (ends.get(o.conn) ?? Infinity) > b).length;
    }
    let n = 0;
    for (const s of this.seen) {
      if (s.t <= a || s.t > b) continue;
      if (
        what === 'accepted'
          ? s.k === 'pub.answer' && s.out === 'accepted' && at(s.try)
          : s.k === 'deliver' && at(s.conn)
      )
        n++;
    }
    return (n * 1000) / (b - a);
  }
}

/**
 * How long after the closing fault a quarter and nine tenths of what was accepted and delivered each second were back,
 * over windows of a second; Infinity where they never were.
 * @example
 * recovery(journal.seen); // { accepted: { quarterMs: 900, mostMs: 2100 }, delivered: ... }
 */
export function recovery(
  seen: readonly Seen[],
): { accepted: { quarterMs: number; mostMs: number }; delivered: { quarterMs: number; mostMs: number } } | undefined {
  const c = [...seen].reverse().find((s) => s.k === 'closing');
  if (!c) return undefined;
  const of = (ok: (s: Seen) => boolean): { quarterMs: number; mostMs: number } => {
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
