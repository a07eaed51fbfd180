/** Checks the journal of a run against every rule, by what clients and operators saw and which faults the fleet had. */
import type { JournalEvent } from './journal.js';
import { checkListenerCounts } from './oracle/counts.js';
import { checkOffsetOrder, checkCompleteness, checkReadBack } from './oracle/deliveries.js';
import { checkNodeReports, checkMarkerTopics } from './oracle/in-force.js';
import { checkOperatorAnswers } from './oracle/operators.js';
import { checkPublishes, checkRemovedFamilies } from './oracle/publishes.js';
import { checkRecovery } from './oracle/recovery.js';
import { checkSubscriptions } from './oracle/subscriptions.js';
import { checkWaits, checkQueueBounds } from './oracle/waits.js';
import { RunRecord } from './oracle/record.js';
import type { Bounds, Violation } from './oracle/rules.js';

export { recovery } from './oracle/recovery.js';
export { SETTLE_MS } from './oracle/record.js';
export { RULES, TIMELESS_RULES, type Bounds, type Rule, type Violation } from './oracle/rules.js';

const SIMULATOR_LIMITS: Bounds = { wayMs: 250, timed: true, inForceMs: 3_000 };

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
export function judge(seen: readonly JournalEvent[], bounds: Bounds = SIMULATOR_LIMITS): Violation[] {
  const record = new RunRecord(seen, bounds);
  for (const check of CHECKS) check(record);
  return record.violations();
}
