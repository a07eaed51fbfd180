/** The judge of a day: every rule, by what callers and operators saw and what was done to the fleet. */
import type { JournalEvent } from './journal.js';
import { counts } from './oracle/counts.js';
import { gaps, owed, audits } from './oracle/deliveries.js';
import { nodes, marks } from './oracle/served-config.js';
import { operators } from './oracle/operators.js';
import { publishes, removedAccepts } from './oracle/publishes.js';
import { closing } from './oracle/recovery.js';
import { subscriptions } from './oracle/subscriptions.js';
import { waits, holdings } from './oracle/waiting-times.js';
import { DayRecord } from './oracle/run-record.js';
import type { CheckLimits, Violation } from './oracle/rules.js';

export { recoveryTimes as recoveryTimes } from './oracle/recovery.js';
export { SETTLE_MS } from './oracle/run-record.js';
export { RULES, TIMING_INDEPENDENT_RULES as TIMING_INDEPENDENT_RULES, type CheckLimits as CheckLimits, type Rule, type Violation } from './oracle/rules.js';

const SIM: CheckLimits = { observationDelayMs: 250, timed: true, configInForceMs: 3_000 };

/** In this order: some fill in what later ones ask for. */
const CHECKS: readonly ((record: DayRecord) => void)[] = [
  operators,
  publishes,
  nodes,
  marks,
  removedAccepts,
  subscriptions,
  gaps,
  owed,
  audits,
  counts,
  waits,
  holdings,
  closing,
];

/**
 * Judges a journal. It shares no code with what it judges but the meaning of topic patterns.
 * @example
 * const bad = judge(journal.seen); // [] when nothing happened that must never happen
 */
export function checkJournal(seen: readonly JournalEvent[], bounds: CheckLimits = SIM): Violation[] {
  const record = new DayRecord(seen, bounds);
  for (const check of CHECKS) check(record);
  return record.violations();
}
