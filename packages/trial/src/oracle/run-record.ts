/** The journal of a run, indexed for the checks; and the violations that they found. */
import { familyOf, type FleetConfig } from '@harecross/schema';
import type { JournalEvent } from '../journal.js';
import { FleetConditions } from '../fleet-conditions.js';
import type { CheckLimits, Rule, Violation } from './rules.js';

/** Time after the last fault and the last publish that suffices for every repair. */
export const SETTLE_MS = 6_000;
/** This long after the last change of the fleet it must work as if nothing had happened. */
export const CALM_MS = 12_000;

export type EventOfKind<K extends JournalEvent['k']> = Extract<JournalEvent, { k: K }>;
export interface PublishRecord {
  topic: string;
  sender: string;
  seq: number;
  body: string;
  firstAttemptAt: number;
  outcomes: string[];
  offset?: number;
  acceptedAt?: number;
  attempts: number;
  /** When the publisher was told that the message was never accepted and never will be. */
  finalRejectionAt?: number;
  /** Sent on a connection with several publishes in progress, on which requests arrive in order. */
  line: boolean;
  /** Whether a node answered `overloaded` or `unknown_topic` to an attempt. */
  refused: boolean;
}
export interface SubscriptionRecord {
  consumer: string;
  topic: string;
  conn: string;
  firstOffset: number;
  requestedAt: number;
  acknowledgedAt: number;
  cursor?: number;
  deliveries: EventOfKind<'deliver'>[];
  endedAt?: number;
  endReason?: string;
  leftAt?: number;
}
export interface AcceptedConfig {
  version: number;
  t: number;
  submittedAt: number;
  changeId: string;
  revision?: number;
  document?: unknown;
  config: FleetConfig;
}
/** A time in which no topic family may have covered a topic; from `to` on one surely did again. */
export interface AbsenceWindow {
  from: number;
  to: number;
}

export const messageId = (x: { topic: string; sender: string; seq: number }): string =>
  `${x.topic}\n${x.sender}\n${x.seq}`;
export const appendTo = <K, V>(map: Map<K, V[]>, key: K, value: V): void => {
  const values = map.get(key);
  if (values) values.push(value);
  else map.set(key, [value]);
};

/**
 * A run under check. The checks of operators, publishes and subscriptions fill in fields that later checks read.
 * @example
 * const record = new RunRecord(journal.seen, bounds); checkPublishes(record); record.violations();
 */
export class RunRecord {
  readonly out: Violation[] = [];
  readonly publishes = new Map<string, PublishRecord>();
  /** Accepted messages of each topic by offset. */
  readonly acceptedByOffset = new Map<string, Map<number, PublishRecord>>();
  /** Configurations acknowledged to operators, by version. */
  readonly taken: AcceptedConfig[] = [];
  readonly submits = new Map<string, EventOfKind<'cfg.submit'>>();
  readonly answers = new Map<string, EventOfKind<'cfg.answer'>[]>();
  /** The revisions that operators were told are in force, by time. */
  readonly revisions: { t: number; version: number; revision: number }[] = [];
  /** All subscriptions that were acknowledged. */
  readonly lines: SubscriptionRecord[] = [];
  readonly absencesByTopic = new Map<string, AbsenceWindow[]>();
  readonly nodeOfConn = new Map<string, string>();
  /** Which nodes and links had faults, by time. */
  readonly fleetConditions: FleetConditions;
  readonly end: number;

  constructor(
    readonly seen: readonly JournalEvent[],
    readonly bounds: CheckLimits,
  ) {
    this.fleetConditions = new FleetConditions(seen);
    this.end = seen.find((event) => event.k === 'end')?.t ?? Infinity;
    for (const event of seen) if (event.k === 'conn.open') this.nodeOfConn.set(event.conn, event.node);
  }

  /** The violations found, by time. */
  violations(): Violation[] {
    return this.out.sort((a, b) => a.t - b.t);
  }

  report(rule: Rule, t: number, what: string): void {
    this.out.push({ rule, t: Math.round(t), what });
  }

  accepted(topic: string): Iterable<PublishRecord> {
    return this.acceptedByOffset.get(topic)?.values() ?? [];
  }

  definiteAnswers(changeId: string): EventOfKind<'cfg.answer'>[] {
    return (this.answers.get(changeId) ?? []).filter((a) => a.out !== 'unanswered');
  }

  /** When a higher revision was first sent. One that was superseded before it was answered may have been in force. */
  firstHigherRevisionAt(x: AcceptedConfig): number {
    const revision = x.revision;
    if (revision === undefined) return Infinity;
    return Math.min(
      Infinity,
      ...[...this.submits.values()]
        .filter((event) => event.valid && event.revision !== undefined && event.revision > revision)
        .map((event) => event.t),
    );
  }

  /** Whether no family surely covered a topic: from `configInForceMs` (3 s in the simulator) after the answer until the next submitted configuration that has it. */
  isRemoved(topic: string, t: number): boolean {
    const last = this.taken
      .filter((x) => x.t + this.bounds.configInForceMs + this.bounds.observationDelayMs < t)
      .at(-1);
    if (!last || familyOf(last.config, topic)) return false;
    return ![...this.submits.values()].some((event) => {
      const answer = this.definiteAnswers(event.changeId)[0];
      // A superseded configuration may have been in force before.
      let version = answer && answer.out !== 'overtaken' ? 0 : Infinity;
      if (answer?.out === 'taken') version = answer.version!;
      return event.valid && event.t <= t && version > last.version && familyOf(event.config as FleetConfig, topic);
    });
  }

  /** The times in which no family may have covered a topic: only then may its messages be missing. */
  absences(topic: string): AbsenceWindow[] {
    const cached = this.absencesByTopic.get(topic);
    if (cached) return cached;
    const windows: AbsenceWindow[] = [];
    let wasPresent = false;
    for (const x of this.taken) {
      // The name of the covering family does not matter: a topic that stays covered keeps all its messages.
      const isPresent = familyOf(x.config, topic) !== undefined;
      const current = windows.at(-1);
      if (!isPresent && wasPresent) windows.push({ from: x.submittedAt, to: Infinity });
      else if (isPresent && current?.to === Infinity) current.to = x.t + this.bounds.configInForceMs;
      wasPresent = isPresent;
    }
    for (const event of this.submits.values()) {
      if (!event.valid || familyOf(event.config as FleetConfig, topic)) continue;
      const answer = this.definiteAnswers(event.changeId)[0];
      if (!answer) windows.push({ from: event.t, to: Infinity });
      else if (answer.out === 'overtaken') windows.push({ from: event.t, to: answer.t + this.bounds.configInForceMs });
    }
    this.absencesByTopic.set(topic, windows);
    return windows;
  }

  /**
   * Whether a message may be missing for a reader: it was first attempted (and stored no earlier than) at `at`, the reader could first see it
   * at `from`, and received a later message at `to`.
   */
  mayBeMissing(topic: string, at: number, from: number, to: number): boolean {
    return this.absences(topic).some((absence) => absence.from <= to && from <= absence.to && at <= absence.to);
  }

  configAt(t: number): FleetConfig | undefined {
    return this.taken.filter((y) => y.t <= t).at(-1)?.config;
  }

  familyAt(topic: string, t: number) {
    const x = this.configAt(t);
    return x && familyOf(x, topic);
  }
}
