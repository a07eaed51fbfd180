/** How long publishers wait, the retry times they are given, and the size limits of queues and history on nodes. */
import { appendTo, type RunRecord, type EventOfKind } from './run-record.js';

/**
 * Limit on the time until a publish is rejected: long enough to find out that no node serves the shard. `unknown_topic` is exempt:
 * two nodes may disagree for a while on whether a topic exists.
 */
const REJECT_MS = 1_500;
/** Size limits of the queues and buffers of a node, as documented in docs/operators.md. */
const DOCUMENTED_BOUNDS = new Map([
  ['edge', 3_000],
  ['publish', 2_000],
  ['fan', 1_000],
  ['conn', 512 * 1024],
  ['conn.oversized', 2 * 1024 * 1024],
]);

export function checkWaits(record: RunRecord): void {
  const attempts = new Map<number, EventOfKind<'pub.try'>>();
  const retryHints = new Map<string, { t: number; ms: number }[]>();
  const unanswered = new Map<number, EventOfKind<'pub.try'>>();
  for (const event of record.seen) {
    if (event.k === 'pub.try') {
      attempts.set(event.try, event);
      unanswered.set(event.try, event);
    }
    if (event.k === 'conn.end' && event.retryMs !== undefined && event.why !== 'replaced')
      appendTo(retryHints, `${record.nodeOfConn.get(event.conn)} ${event.why}`, { t: event.t, ms: event.retryMs });
    if (event.k !== 'pub.answer') continue;
    unanswered.delete(event.try);
    const attempt = attempts.get(event.try)!;
    const what = `${event.topic} ${event.sender}#${event.seq} at ${event.node}`;
    const elapsedMs = event.t - attempt.t;
    const family = record.familyAt(event.topic, attempt.t);
    if (record.bounds.timed && family) {
      const isWell =
        record.fleetConditions.wasHealthy(event.node, attempt.t, event.t) &&
        !record.fleetConditions.anyPoorLink(attempt.t, event.t);
      if (event.tag === 'no answer') {
        if (isWell)
          record.report('held', event.t, `${what} got no answer in ${Math.round(elapsedMs)} ms, and the node was well`);
      } else if (isWell && elapsedMs > family.patienceMs + record.bounds.observationDelayMs)
        record.report(
          'held',
          event.t,
          `${what} was answered ${event.out} after ${Math.round(elapsedMs)} ms; its patience is ${family.patienceMs} ms`,
        );
      else if (
        isWell &&
        event.out === 'rejected' &&
        event.tag !== 'unknown_topic' &&
        elapsedMs > REJECT_MS + record.bounds.observationDelayMs
      )
        record.report('held', event.t, `${what} was rejected (${event.tag}) only after ${Math.round(elapsedMs)} ms`);
    }
    if (event.status === 503 || event.status === 504) {
      if (event.retryMs === undefined || event.retryMs <= 0)
        record.report(
          'come_back',
          event.t,
          `${what} was answered ${event.status} ${event.tag} without a time to come back`,
        );
      else appendTo(retryHints, `${event.node} ${event.tag}`, { t: event.t, ms: event.retryMs });
    }
  }
  for (const [source, hints] of retryHints) {
    // Retry times given within one second must be spread out, so that clients don't return together; judged from 12 answers on.
    for (let i = 0; i < hints.length;) {
      const group = hints
        .filter((hint) => hint.t >= hints[i]!.t && hint.t < hints[i]!.t + 1_000)
        .map((hint) => hint.ms);
      const distinct = new Set(group).size;
      const spreadMs = Math.max(...group) - Math.min(...group);
      if (group.length >= 12 && (distinct < group.length / 3 || spreadMs < Math.max(...group) / 4)) {
        record.report(
          'come_back',
          hints[i]!.t,
          `${source}: ${group.length} were told to come back at ${distinct} times, ${spreadMs} ms apart at most`,
        );
      }
      i += Math.max(1, group.length);
    }
  }
}

export function checkQueueBounds(record: RunRecord): void {
  const accepted = [...record.publishes.values()]
    .filter((publish) => publish.acceptedAt !== undefined)
    .map((publish) => publish.acceptedAt!);
  const returns = record.fleetConditions.recoveryTimes().sort((a, b) => b - a);
  for (const event of record.seen) {
    if (event.k !== 'node.says') continue;
    for (const holding of event.holdings ?? []) {
      const bound = DOCUMENTED_BOUNDS.get(holding.name);
      if (bound === undefined)
        record.report('bounds', event.t, `${event.node} has a holding '${holding.name}' that the docs do not know`);
      else if (holding.bound > bound || holding.most > bound)
        record.report(
          'bounds',
          event.t,
          `${event.node} ${holding.name}: ${holding.most} held with a bound of ${holding.bound}; ${bound} is promised`,
        );
    }
    if (event.kept === undefined) continue;
    const families = record.taken.filter((x) => x.t <= event.t).at(-1)?.config.families ?? [];
    const keepMs = Math.max(0, ...families.map((f) => f.memoryS)) * 1_500 + 15_000 + 15_000;
    // Allows everything accepted within the retention time, plus what is in progress or has an unknown outcome, plus one barrier entry
    // per ownership change. A machine that restarts counts the age of what it loads from its disk from its start, and may copy it to
    // other machines that way: so the age counts from the last return of a machine.
    let countedFrom = event.t - keepMs;
    for (const returnedAt of returns)
      if (returnedAt <= event.t && returnedAt >= countedFrom) countedFrom = Math.min(countedFrom, returnedAt - keepMs);
    const allowed = accepted.filter((t) => t > countedFrom).length * 1.2 + 1_500;
    if (event.kept > allowed)
      record.report(
        'bounds',
        event.t,
        `${event.node} keeps ${event.kept} entries; ${Math.round(allowed)} were accepted lately enough`,
      );
  }
}
