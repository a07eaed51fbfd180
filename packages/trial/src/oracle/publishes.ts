/** What publishers were told of each message, and what came of it. */
import { CALM_MS, idOf, type DayRecord, type Pub } from './run-record.js';

/** The one answer that a number was never accepted and never will be. */
const FINAL = 'stale_seq';
/** An accepted number may be sent again for so long. */
const REPEAT_MS = 10_000;

export function publishes(record: DayRecord): void {
  const tried = new Map<number, number>();
  for (const s of record.seen) {
    if (s.k === 'pub.try') {
      const id = idOf(s);
      const p = record.pubs.get(id) ?? {
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
      record.pubs.set(id, p);
    } else if (s.k === 'pub.answer') {
      const p = record.pubs.get(idOf(s))!;
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
          record.sky.calm(asked - CALM_MS, s.t) &&
          !record.away(s.topic).length
        )
          record.say(
            'repeat',
            s.t,
            `${what}, accepted at ${Math.round(p.acceptedAt)}, was answered ${s.tag} when it came again`,
          );
        if (s.tag === FINAL && p.line && !p.refused)
          record.say('overtaken', s.t, `${what} was on the way before a later one of its sender that was stored`);
        continue;
      }
      if (p.offset !== undefined && p.offset !== s.offset)
        record.say('once', s.t, `${what} accepted at ${p.offset} and at ${s.offset}`);
      p.offset = s.offset!;
      p.acceptedAt ??= s.t;
      const m = record.byOffset.get(s.topic) ?? new Map<number, Pub>();
      const other = m.get(s.offset!);
      if (other && other !== p)
        record.say('lost', s.t, `${s.topic} offset ${s.offset} given to ${other.sender}#${other.seq} and ${what}`);
      m.set(s.offset!, p);
      record.byOffset.set(s.topic, m);
    }
  }
  const shown = new Set(record.seen.flatMap((s) => (s.k === 'deliver' ? [idOf(s)] : [])));
  for (const [id, p] of record.pubs) {
    let how = shown.has(id) ? 'delivered' : undefined;
    if (p.acceptedAt !== undefined) how = 'accepted';
    if (p.finalAt !== undefined && how)
      record.say(
        'final',
        p.finalAt,
        `${p.topic} ${p.sender}#${p.seq} was told that it was never accepted and never will be, and was ${how}`,
      );
  }
}

export function removedAccepts(record: DayRecord): void {
  const first = new Set<string>();
  for (const s of record.seen) {
    if (s.k !== 'pub.answer' || s.out !== 'accepted') continue;
    if (first.has(idOf(s))) continue;
    first.add(idOf(s));
    if (record.removed(s.topic, s.t))
      record.say('removed_flow', s.t, `${s.topic} ${s.sender}#${s.seq} accepted on a removed family`);
  }
}
