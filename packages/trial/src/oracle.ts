/** Checks the journal of a run against every rule, by what clients and operators saw and which faults the fleet had. */
import type { JournalEvent } from './journal.js';
import { checkListenerCounts } from './oracle/counts.js';
import { checkOffsetOrder, checkCompleteness, checkReadBack } from './oracle/deliveries.js';
import { checkNodeReports, checkMarkerTopics } from './oracle/served-config.js';
import { checkOperatorAnswers } from './oracle/operators.js';
import { checkPublishes, checkRemovedFamilies } from './oracle/publishes.js';
import { checkRecovery } from './oracle/recovery.js';
import { checkSubscriptions } from './oracle/subscriptions.js';
import { checkWaits, checkQueueBounds } from './oracle/waiting-times.js';
import { RunRecord } from './oracle/run-record.js';
import type { CheckLimits, Violation } from './oracle/rules.js';

export { recoveryTimes } from './oracle/recovery.js';
export { SETTLE_MS } from './oracle/run-record.js';
export { RULES, TIMING_INDEPENDENT_RULES, type CheckLimits, type Rule, type Violation } from './oracle/rules.js';

const SIMULATOR_LIMITS: CheckLimits = { observationDelayMs: 250, timed: true, configInForceMs: 3_000 };

/** Order matters: some checks fill in fields of the record that later ones read. */
const CHECKS: readonly ((record: RunRecord) => void)[] = [
  checkOperatorAnswers,
  checkPublishes,
  checkNodeReports,
  checkMarkerTopics,
  checkRemovedFamilies,
  checkSubscriptions,
  checkOffsetOrder,
  checkCompleteness,
  checkReadBack,
  checkListenerCounts,
  checkWaits,
  checkQueueBounds,
  checkRecovery,
];

/**
 * Returns the violations in a journal. Shares no code with the service under test except the matching of topic patterns.
 * @example
 * const violations = checkJournal(journal.seen); // [] if no rule was broken
 */
export function checkJournal(seen: readonly JournalEvent[], bounds: CheckLimits = SIMULATOR_LIMITS): Violation[] {
  const record = new RunRecord(seen, bounds);
  for (const check of CHECKS) check(record);
  return record.violations();
}
