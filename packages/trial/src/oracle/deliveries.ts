/** Deliveries: the sequence of offsets, missing and late messages, and what auditors read back from history. */
import { isUrgent } from '@harecross/schema';
import { CALM_MS, SETTLE_MS, messageId, type RunRecord } from './run-record.js';

/** Limits on the time from acceptance to delivery: without faults by urgency, and after a fault. */
const DELIVERY_LIMIT_MS = { urgent: 600, routine: 1_200, fault: 8_000 } as const;

/** Checks that each subscription receives offsets and sequence numbers in order, without repeats and gaps. */
export function checkOffsetOrder(record: RunRecord): void {
  for (const subscription of record.lines) {
    let lastOffset = subscription.firstOffset - 1;
    let lastDeliveredAt = subscription.acknowledgedAt;
    const lastSeqBySender = new Map<string, number>();
    for (const delivery of subscription.deliveries) {
      const description = `${subscription.consumer} ${subscription.topic} offset ${delivery.offset} after ${lastOffset}`;
      if (delivery.offset <= lastOffset)
        record.report(
          delivery.offset === lastOffset ||
            subscription.deliveries.some((other) => other !== delivery && other.offset === delivery.offset)
            ? 'once'
            : 'order',
          delivery.t,
          description,
        );
      else if (delivery.offset > lastOffset + 1) {
        const between = [...record.accepted(subscription.topic)].filter(
          (publish) => publish.offset! > lastOffset && publish.offset! < delivery.offset,
        );
        const excused = between.length
          ? between.every((publish) =>
              record.mayBeMissing(subscription.topic, publish.firstAttemptAt, lastDeliveredAt, delivery.t),
            )
          : record
              .absences(subscription.topic)
              .some((absence) => absence.from <= delivery.t && lastDeliveredAt <= absence.to);
        if (!excused) record.report('skipped', delivery.t, description);
      }
      lastOffset = Math.max(lastOffset, delivery.offset);
      lastDeliveredAt = delivery.t;
      const lastSeq = lastSeqBySender.get(delivery.sender);
      if (lastSeq !== undefined && delivery.seq <= lastSeq)
        record.report(
          'order',
          delivery.t,
          `${subscription.consumer} ${subscription.topic} ${delivery.sender}#${delivery.seq} after #${lastSeq}`,
        );
      lastSeqBySender.set(delivery.sender, delivery.seq);
      if (subscription.cursor !== undefined) continue;
      const publish = record.publishes.get(messageId(delivery));
      if (publish?.acceptedAt !== undefined && publish.acceptedAt < subscription.requestedAt) {
        record.report(
          'unasked',
          delivery.t,
          `${subscription.consumer} asked for ${subscription.topic} from now on and got offset ${delivery.offset}, accepted before`,
        );
      }
    }
  }
}

/** Checks that each subscription received all its messages by the end of the run, and in time. */
export function checkCompleteness(record: RunRecord): void {
  for (const subscription of record.lines) {
    const deliveredAt = new Map(subscription.deliveries.map((delivery) => [delivery.offset, delivery.t]));
    const lastOffset = subscription.deliveries.at(-1)?.offset ?? subscription.firstOffset - 1;
    const node = record.nodeOfConn.get(subscription.conn) ?? '';
    for (const publish of record.accepted(subscription.topic)) {
      const isDue = publish.offset! >= subscription.firstOffset || publish.firstAttemptAt > subscription.acknowledgedAt;
      if (
        !isDue ||
        record.mayBeMissing(
          subscription.topic,
          publish.firstAttemptAt,
          subscription.acknowledgedAt,
          subscription.endedAt ?? record.end,
        )
      )
        continue;
      const receivedAt = deliveredAt.get(publish.offset!);
      const what = `${publish.sender}#${publish.seq}`;
      if (
        receivedAt === undefined &&
        subscription.endedAt === undefined &&
        publish.acceptedAt! <= record.end - SETTLE_MS
      ) {
        if (publish.offset! < subscription.firstOffset)
          record.report(
            'skipped',
            publish.acceptedAt!,
            `${subscription.consumer} ${subscription.topic} began at ${subscription.firstOffset} but ${what}, published later, is at ${publish.offset}`,
          );
        else
          record.report(
            publish.offset! > lastOffset ? 'lost' : 'skipped',
            publish.acceptedAt!,
            `${subscription.consumer} ${subscription.topic} never got offset ${publish.offset} (${what})`,
          );
        continue;
      }
      if (!record.bounds.timed || publish.offset! < subscription.firstOffset) continue;
      // The time limits apply to sessions whose node and link had no fault meanwhile.
      const from = Math.max(publish.acceptedAt!, subscription.acknowledgedAt);
      const config = record.configAt(from);
      const urgent = config !== undefined && isUrgent(config, subscription.topic);
      for (const [limit, ok] of [
        [
          urgent ? DELIVERY_LIMIT_MS.urgent : DELIVERY_LIMIT_MS.routine,
          (to: number) => record.fleetConditions.calm(from - CALM_MS, to),
        ],
        [
          DELIVERY_LIMIT_MS.fault,
          (to: number) =>
            record.fleetConditions.wasHealthy(node, from, to) && record.fleetConditions.shardsAvailable(from, to),
        ],
      ] as const) {
        const to = from + limit + record.bounds.observationDelayMs;
        if ((receivedAt ?? Infinity) <= to || (subscription.endedAt ?? record.end) <= to || to >= record.end) continue;
        if (!ok(to) || record.fleetConditions.hadPoorLink(subscription.consumer, from, to)) continue;
        const how = receivedAt === undefined ? 'not at all' : `after ${Math.round(receivedAt - from)} ms`;
        record.report(
          'late',
          from,
          `${subscription.consumer} ${subscription.topic} offset ${publish.offset} (${what}) came ${how}, ${limit} ms are allowed`,
        );
        break;
      }
    }
  }
}

/** Checks that auditors, which subscribe with a cursor, read back all accepted messages within the retention time, also of topics without listeners. */
export function checkReadBack(record: RunRecord): void {
  const receivedOffsets = new Map<string, Set<number>>();
  for (const event of record.seen) {
    if (event.k !== 'deliver') continue;
    const key = `${event.consumer}\n${event.topic}`;
    const offsets = receivedOffsets.get(key) ?? new Set<number>();
    offsets.add(event.offset);
    receivedOffsets.set(key, offsets);
  }
  for (const event of record.seen) {
    if (event.k !== 'audit') continue;
    const end = record.seen.find(
      (other) => other.k === 'audit.end' && other.consumer === event.consumer && other.t >= event.t,
    )?.t;
    const received = receivedOffsets.get(`${event.consumer}\n${event.topic}`);
    for (const publish of record.accepted(event.topic)) {
      if (
        publish.offset! <= event.cursor ||
        publish.acceptedAt! > event.t ||
        received?.has(publish.offset!) ||
        record.mayBeMissing(event.topic, publish.firstAttemptAt, 0, end ?? record.end)
      )
        continue;
      record.report(
        'lost',
        event.t,
        `${event.consumer} read back ${event.topic} behind ${event.cursor} and had no offset ${publish.offset} (${publish.sender}#${publish.seq})`,
      );
    }
  }
}
