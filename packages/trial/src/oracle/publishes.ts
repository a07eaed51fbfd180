/** What publishers were answered for each message, and whether it was stored and delivered. */
import { CALM_MS, messageId, type RunRecord, type PublishRecord } from './run-record.js';

/** The error tag that says that a sequence number was never accepted and never will be. */
const FINAL_TAG = 'stale_seq';
/** How long after its acceptance a repeated sequence number must be answered as accepted again. */
const REPEAT_MS = 10_000;

export function checkPublishes(record: RunRecord): void {
  const attemptedAt = new Map<number, number>();
  for (const event of record.seen) {
    if (event.k === 'pub.try') {
      const id = messageId(event);
      const publish = record.publishes.get(id) ?? {
        topic: event.topic,
        sender: event.sender,
        seq: event.seq,
        body: event.body,
        firstAttemptAt: event.t,
        outcomes: [],
        attempts: 0,
        line: false,
        refused: false,
      };
      publish.attempts++;
      publish.line ||= event.line !== undefined;
      attemptedAt.set(event.try, event.t);
      record.publishes.set(id, publish);
    } else if (event.k === 'pub.answer') {
      const publish = record.publishes.get(messageId(event))!;
      publish.outcomes.push(event.out);
      const what = `${event.topic} ${event.sender}#${event.seq}`;
      if (event.tag === FINAL_TAG) publish.finalRejectionAt ??= event.t;
      if (event.out !== 'accepted') {
        const attempted = attemptedAt.get(event.try)!;
        publish.refused ||= event.tag === 'overloaded' || event.tag === 'unknown_topic';
        // A final rejection after an acceptance is reported by rule `final` below; any other answer is allowed while the fleet has faults.
        if (
          event.tag !== FINAL_TAG &&
          publish.acceptedAt !== undefined &&
          attempted >= publish.acceptedAt &&
          attempted < publish.acceptedAt + REPEAT_MS &&
          record.fleetConditions.calm(attempted - CALM_MS, event.t) &&
          !record.absences(event.topic).length
        )
          record.report(
            'repeat',
            event.t,
            `${what}, accepted at ${Math.round(publish.acceptedAt)}, was answered ${event.tag} when it came again`,
          );
        if (event.tag === FINAL_TAG && publish.line && !publish.refused)
          record.report(
            'overtaken',
            event.t,
            `${what} was on the way before a later one of its sender that was stored`,
          );
        continue;
      }
      if (publish.offset !== undefined && publish.offset !== event.offset)
        record.report('once', event.t, `${what} accepted at ${publish.offset} and at ${event.offset}`);
      publish.offset = event.offset!;
      publish.acceptedAt ??= event.t;
      const byOffset = record.acceptedByOffset.get(event.topic) ?? new Map<number, PublishRecord>();
      const other = byOffset.get(event.offset!);
      if (other && other !== publish)
        record.report(
          'lost',
          event.t,
          `${event.topic} offset ${event.offset} given to ${other.sender}#${other.seq} and ${what}`,
        );
      byOffset.set(event.offset!, publish);
      record.acceptedByOffset.set(event.topic, byOffset);
    }
  }
  const deliveredIds = new Set(record.seen.flatMap((event) => (event.k === 'deliver' ? [messageId(event)] : [])));
  for (const [id, publish] of record.publishes) {
    let outcome = deliveredIds.has(id) ? 'delivered' : undefined;
    if (publish.acceptedAt !== undefined) outcome = 'accepted';
    if (publish.finalRejectionAt !== undefined && outcome)
      record.report(
        'final',
        publish.finalRejectionAt,
        `${publish.topic} ${publish.sender}#${publish.seq} was told that it was never accepted and never will be, and was ${outcome}`,
      );
  }
}

export function checkRemovedFamilies(record: RunRecord): void {
  const seenIds = new Set<string>();
  for (const event of record.seen) {
    if (event.k !== 'pub.answer' || event.out !== 'accepted') continue;
    if (seenIds.has(messageId(event))) continue;
    seenIds.add(messageId(event));
    if (record.isRemoved(event.topic, event.t))
      record.report(
        'removed_flow',
        event.t,
        `${event.topic} ${event.sender}#${event.seq} accepted on a removed family`,
      );
  }
}
