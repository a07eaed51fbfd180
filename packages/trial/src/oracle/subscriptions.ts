/** What each subscription was answered and what was delivered to it. */
import {
  messageId,
  appendTo,
  type RunRecord,
  type SubscriptionRecord,
  type EventOfKind,
  type PublishRecord,
} from './run-record.js';

/** Error tags of Subscribe after which nothing may be delivered. After any other error the subscription may exist all the same. */
const REFUSED_TAGS = new Set(['unknown_topic', 'cursor_expired', 'cursor_ahead']);

export function checkSubscriptions(record: RunRecord): void {
  const subscriptions = new Map<string, SubscriptionRecord>();
  /** The first Subscribe for a topic in a client session; a repeated one before the end is the same subscription. */
  const requests = new Map<string, { t: number; cursor?: number; lastReceivedAt: number }>();
  const ended = new Map<string, { t: number; why: string }>();
  const earlyDeliveries = new Map<string, EventOfKind<'deliver'>[]>();
  const shownByOffset = new Map<string, EventOfKind<'deliver'>>();
  const isAlwaysRejected = (publish: PublishRecord): boolean =>
    publish.outcomes.length === publish.attempts && publish.outcomes.every((outcome) => outcome === 'rejected');
  /** When a consumer last received a message of a topic. */
  const lastReceivedAt = new Map<string, number>();
  const subscriptionsByConn = new Map<string, SubscriptionRecord[]>();
  for (const event of record.seen) {
    switch (event.k) {
      case 'sub.ask':
        if (!requests.has(`${event.conn}\n${event.topic}`)) {
          requests.set(`${event.conn}\n${event.topic}`, {
            t: event.t,
            cursor: event.cursor,
            lastReceivedAt: lastReceivedAt.get(`${event.consumer}\n${event.topic}`) ?? 0,
          });
        }
        break;
      case 'unsub.ok':
      case 'sub.fail':
        if (event.k === 'unsub.ok' || REFUSED_TAGS.has(event.tag)) requests.delete(`${event.conn}\n${event.topic}`);
        if (event.k === 'unsub.ok') break;
        if (event.tag === 'cursor_expired')
          checkExpiredCursor(record, event.t, event.consumer, event.topic, event.cursor);
        if (event.tag === 'cursor_ahead')
          record.report(
            'lost',
            event.t,
            `${event.consumer} ${event.topic}: told that ${event.cursor}, which it received, does not exist`,
          );
        break;
      case 'sub.ok': {
        const key = `${event.conn}\n${event.topic}\n${event.sub}`;
        // The first answer may have been lost, and frames of the subscription received before this one: then it began with them.
        const firstOffset = Math.min(event.next, earlyDeliveries.get(key)?.[0]?.offset ?? Infinity);
        const request = requests.get(`${event.conn}\n${event.topic}`) ?? {
          t: event.t,
          cursor: event.cursor,
          lastReceivedAt: 0,
        };
        const { cursor, lastReceivedAt: from } = request;
        const description = `${event.consumer} ${event.topic} resumed at ${firstOffset} after ${cursor}`;
        if (cursor !== undefined && event.next <= cursor) record.report('once', event.t, description);
        if (cursor !== undefined && firstOffset > cursor + 1) {
          const between = [...record.accepted(event.topic)].filter(
            (publish) => publish.offset! > cursor && publish.offset! < firstOffset,
          );
          const excused = between.length
            ? between.every((publish) => record.mayBeMissing(event.topic, publish.firstAttemptAt, from, event.t))
            : record.absences(event.topic).some((absence) => absence.from <= event.t && from <= absence.to);
          if (!excused) record.report('skipped', event.t, description);
        }
        if (subscriptions.has(key)) break; // repeated Subscribe, same subscription
        const subscription: SubscriptionRecord = {
          consumer: event.consumer,
          topic: event.topic,
          conn: event.conn,
          firstOffset,
          requestedAt: request.t,
          acknowledgedAt: event.t,
          cursor,
          deliveries: earlyDeliveries.get(key) ?? [],
        };
        // Answers do not arrive on the stream: LEFT or the end of the session may have been seen before the answer.
        const ending = ended.get(key) ?? ended.get(event.conn);
        if (ending) {
          subscription.endedAt = ending.t;
          subscription.endReason = ending.why;
          if (ended.has(key)) subscription.leftAt = ending.t;
        }
        earlyDeliveries.delete(key);
        subscriptions.set(key, subscription);
        record.lines.push(subscription);
        appendTo(subscriptionsByConn, event.conn, subscription);
        break;
      }
      case 'left': {
        const key = `${event.conn}\n${event.topic}\n${event.sub}`;
        const subscription = subscriptions.get(key);
        ended.set(key, { t: event.t, why: event.reason });
        requests.delete(`${event.conn}\n${event.topic}`);
        if (subscription) {
          subscription.leftAt ??= event.t;
          subscription.endedAt ??= event.t;
          subscription.endReason ??= event.reason;
        }
        if (event.reason === 'cursor_expired')
          checkExpiredCursor(record, event.t, event.consumer, event.topic, event.cursor);
        if (
          event.reason === 'topic_removed' &&
          !record
            .absences(event.topic)
            .some((absence) => absence.from <= event.t && event.t <= absence.to + record.bounds.observationDelayMs)
        ) {
          record.report(
            'lost',
            event.t,
            `${event.consumer} was told that ${event.topic} was removed, which it never was`,
          );
        }
        break;
      }
      case 'conn.end':
        ended.set(event.conn, { t: event.t, why: event.why });
        for (const subscription of subscriptionsByConn.get(event.conn) ?? [])
          if (subscription.endedAt === undefined) {
            subscription.endedAt = event.t;
            subscription.endReason = event.why;
          }
        break;
      case 'deliver': {
        const key = `${event.conn}\n${event.topic}\n${event.sub}`;
        const subscription = subscriptions.get(key);
        const publish = record.publishes.get(messageId(event));
        const what = `${event.topic} ${event.sender}#${event.seq}`;
        if (!publish || publish.body !== event.body || publish.firstAttemptAt > event.t)
          record.report('invented', event.t, `${what} was delivered but never published so`);
        else if (isAlwaysRejected(publish))
          record.report('turned_away', event.t, `${what} was rejected on every try and delivered`);
        const earlier = shownByOffset.get(`${event.topic}\n${event.offset}`);
        if (earlier && (earlier.sender !== event.sender || earlier.seq !== event.seq || earlier.body !== event.body))
          record.report('lost', event.t, `${event.topic} offset ${event.offset} shown as two messages`);
        shownByOffset.set(`${event.topic}\n${event.offset}`, event);
        if (publish?.offset !== undefined && publish.offset !== event.offset)
          record.report('once', event.t, `${what} accepted at ${publish.offset}, delivered at ${event.offset}`);
        if (record.isRemoved(event.topic, event.t))
          record.report(
            'removed_flow',
            event.t,
            `${event.consumer} ${event.topic} offset ${event.offset} delivered on a removed family`,
          );
        lastReceivedAt.set(`${event.consumer}\n${event.topic}`, event.t);
        const got = `${event.consumer} got ${event.topic} offset ${event.offset}`;
        if (subscription) {
          if (subscription.leftAt !== undefined) record.report('left', event.t, `${got} after it had left`);
          subscription.deliveries.push(event);
        } else if (ended.has(key)) record.report('left', event.t, `${got} after it had left`);
        else if (!requests.has(`${event.conn}\n${event.topic}`))
          record.report('unasked', event.t, `${got} on a conn that never asked`);
        else appendTo(earlyDeliveries, key, event);
        break;
      }
      default:
        break;
    }
  }
  // If every answer to Subscribe was lost, deliveries are still legitimate. If the client was told of another subscription to the topic,
  // deliveries on this one are not.
  const announced = new Set(record.lines.map((subscription) => `${subscription.conn}\n${subscription.topic}`));
  for (const [key, deliveries] of earlyDeliveries)
    if (announced.has(key.slice(0, key.lastIndexOf('\n'))))
      record.report(
        'unasked',
        deliveries[0]!.t,
        `${key.replaceAll('\n', ' ')} got ${deliveries.length} messages on a subscription it was never told of`,
      );
}

function checkExpiredCursor(
  record: RunRecord,
  t: number,
  consumer: string,
  topic: string,
  cursor: number | undefined,
): void {
  if (cursor === undefined) return;
  const behind = [...record.accepted(topic)].filter((publish) => publish.offset! > cursor && publish.acceptedAt! <= t);
  // An attempt with an unknown outcome may be stored after the cursor, however old: then nothing can be said of the oldest missing message.
  const hasUnknownOutcome = [...record.publishes.values()].some(
    (publish) =>
      publish.topic === topic &&
      publish.offset === undefined &&
      publish.firstAttemptAt <= t &&
      !(publish.outcomes.length === publish.attempts && publish.outcomes.every((outcome) => outcome === 'rejected')),
  );
  const next = behind.find((publish) => publish.offset === cursor + 1);
  // Offsets are assigned in the order of storing, so the oldest missing message has the next offset. It may have been stored as early as
  // its first attempt, so its age counts from there.
  const oldest =
    next ??
    (hasUnknownOutcome
      ? undefined
      : behind.reduce<PublishRecord | undefined>(
          (least, publish) => (!least || publish.offset! < least.offset! ? publish : least),
          undefined,
        ));
  const family = record.familyAt(topic, t);
  const what = `${consumer} could not resume ${topic} behind ${cursor}`;
  if (
    family &&
    oldest &&
    !record.mayBeMissing(topic, oldest.firstAttemptAt, 0, t) &&
    t - oldest.firstAttemptAt < family.memoryS * 1000
  ) {
    record.report('resume', t, `${what}; the oldest it lacks is ${Math.round(t - oldest.acceptedAt!)} ms old`);
  }
  if (family && !behind.length && !hasUnknownOutcome) record.report('resume', t, `${what} though it lacks nothing`);
}
