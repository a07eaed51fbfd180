/** The rules that no run may break: first the guarantees of the service, then limits that follow from its other requirements. */
export const RULES = [
  'once',
  'order',
  'skipped',
  'turned_away',
  'invented',
  'unasked',
  'left',
  'resume',
  'lost',
  'config_lost',
  'config_late',
  'fell_back',
  'final',
  'repeat',
  'overtaken',
  'removed_flow',
  'invalid_taken',
  'unanswered',
  'read_back',
  'served',
  'counts',
  // Limits on waiting times, retry times, delivery times and queue sizes.
  'held',
  'come_back',
  'late',
  'bounds',
] as const;
export type Rule = (typeof RULES)[number];
/** Rules that do not depend on timing: the only ones checked with real processes on a machine that runs other work too. */
export const TIMING_INDEPENDENT_RULES: readonly Rule[] = [
  'once',
  'order',
  'skipped',
  'turned_away',
  'invented',
  'unasked',
  'left',
  'lost',
  'config_lost',
  'fell_back',
  'invalid_taken',
  'unanswered',
  'read_back',
];
export interface Violation {
  rule: Rule;
  t: number;
  what: string;
}

/** Time limits of the checks, in ms. Network delay in the simulator is up to 40 ms; on a loaded machine answers take longer. */
export interface CheckLimits {
  /** Added to every limit, for the time an answer takes to reach the observer. */
  observationDelayMs: number;
  /** Whether limits on how long clients wait are checked: not with real processes on a shared machine. */
  timed: boolean;
  /** Time after its acknowledgement within which a configuration is in force on every node. */
  configInForceMs: number;
}
