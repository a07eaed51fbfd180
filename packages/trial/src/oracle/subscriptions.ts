/** What each subscription was told and got. */
import { idOf, push, type DayRecord, type Line, type Of, type Pub } from './run-record.js';

/** Answers to Subscribe after which nothing may come of it; after the others something may. */
const SURELY_NOT = new Set(['unknown_topic', 'cursor_expired', 'cursor_ahead']);

export function subscriptions(record: DayRecord): void {
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
  for (const s of record.seen) {
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
        if (s.tag === 'cursor_expired') expired(record, s.t, s.consumer, s.topic, s.cursor);
        if (s.tag === 'cursor_ahead')
          record.say('lost', s.t, `${s.consumer} ${s.topic}: told that ${s.cursor}, which it received, does not exist`);
        break;
      case 'sub.ok': {
        const key = `${s.conn}\n${s.topic}\n${s.sub}`;
        // An answer may have got lost, and the frames of that subscription came first: it began with them.
        const start = Math.min(s.next, early.get(key)?.[0]?.offset ?? Infinity);
        const ask = asks.get(`${s.conn}\n${s.topic}`) ?? { t: s.t, cursor: s.cursor, gotAt: 0 };
        const { cursor, gotAt: from } = ask;
        const who = `${s.consumer} ${s.topic} resumed at ${start} after ${cursor}`;
        if (cursor !== undefined && s.next <= cursor) record.say('once', s.t, who);
        if (cursor !== undefined && start > cursor + 1) {
          const between = [...record.accepted(s.topic)].filter((p) => p.offset! > cursor && p.offset! < start);
          const ok = between.length
            ? between.every((p) => record.excused(s.topic, p.firstTry, from, s.t))
            : record.away(s.topic).some((w) => w.from <= s.t && from <= w.to);
          if (!ok) record.say('skipped', s.t, who);
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
        record.lines.push(l);
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
        if (s.reason === 'cursor_expired') expired(record, s.t, s.consumer, s.topic, s.cursor);
        if (
          s.reason === 'topic_removed' &&
          !record.away(s.topic).some((w) => w.from <= s.t && s.t <= w.to + record.bounds.observationDelayMs)
        ) {
          record.say('lost', s.t, `${s.consumer} was told that ${s.topic} was removed, which it never was`);
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
        const p = record.pubs.get(idOf(s));
        const what = `${s.topic} ${s.sender}#${s.seq}`;
        if (!p || p.body !== s.body || p.firstTry > s.t)
          record.say('invented', s.t, `${what} was delivered but never published so`);
        else if (turnedAway(p)) record.say('turned_away', s.t, `${what} was rejected on every try and delivered`);
        const b = shown.get(`${s.topic}\n${s.offset}`);
        if (b && (b.sender !== s.sender || b.seq !== s.seq || b.body !== s.body))
          record.say('lost', s.t, `${s.topic} offset ${s.offset} shown as two messages`);
        shown.set(`${s.topic}\n${s.offset}`, s);
        if (p?.offset !== undefined && p.offset !== s.offset)
          record.say('once', s.t, `${what} accepted at ${p.offset}, delivered at ${s.offset}`);
        if (record.removed(s.topic, s.t))
          record.say('removed_flow', s.t, `${s.consumer} ${s.topic} offset ${s.offset} delivered on a removed family`);
        gotAt.set(`${s.consumer}\n${s.topic}`, s.t);
        const got = `${s.consumer} got ${s.topic} offset ${s.offset}`;
        if (l) {
          if (l.leftAt !== undefined) record.say('left', s.t, `${got} after it had left`);
          l.got.push(s);
        } else if (ended.has(key)) record.say('left', s.t, `${got} after it had left`);
        else if (!asks.has(`${s.conn}\n${s.topic}`)) record.say('unasked', s.t, `${got} on a conn that never asked`);
        else push(early, key, s);
        break;
      }
      default:
        break;
    }
  }
  // Where the answer to Subscribe got lost its frames are still asked for; where another was told of, they are not.
  const toldOf = new Set(record.lines.map((l) => `${l.conn}\n${l.topic}`));
  for (const [key, l] of early)
    if (toldOf.has(key.slice(0, key.lastIndexOf('\n'))))
      record.say(
        'unasked',
        l[0]!.t,
        `${key.replaceAll('\n', ' ')} got ${l.length} messages on a subscription it was never told of`,
      );
}

function expired(record: DayRecord, t: number, consumer: string, topic: string, cursor: number | undefined): void {
  if (cursor === undefined) return;
  const behind = [...record.accepted(topic)].filter((p) => p.offset! > cursor && p.acceptedAt! <= t);
  // A try whose outcome nobody learned may stand behind the cursor, of any age: then the judge can't tell.
  const unsure = [...record.pubs.values()].some(
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
  const fam = record.familyAt(topic, t);
  const what = `${consumer} could not resume ${topic} behind ${cursor}`;
  if (fam && oldest && !record.excused(topic, oldest.firstTry, 0, t) && t - oldest.firstTry < fam.memoryS * 1000) {
    record.say('resume', t, `${what}; the oldest it lacks is ${Math.round(t - oldest.acceptedAt!)} ms old`);
  }
  if (fam && !behind.length && !unsure) record.say('resume', t, `${what} though it lacks nothing`);
}
