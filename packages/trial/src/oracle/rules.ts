/** The rules of the brief's "What must never happen", each a named check; behind the dash what follows from its other sentences. */
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
  // -
  'held',
  'come_back',
  'late',
  'bounds',
] as const;
export type Rule = (typeof RULES)[number];
/** Rules that need no watch: the only ones judged where the machine has other work. */
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

/** What the judge allows, in ms. The simulator's ways take up to 40 ms; a loaded machine's take longer. */
export interface CheckLimits {
  /** On top of every bound, for the way of an answer to the observer. */
  observationDelayMs: number;
  /** Whether bounds on how long callers wait are judged: not on real processes of a machine that others use too. */
  timed: boolean;
  /** A configuration is in force everywhere within this time after it was acknowledged. */
  configInForceMs: number;
}
