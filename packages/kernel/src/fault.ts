/** Details of an error, as a tagged union. Each carries the step that failed and the peer involved. */
export type ErrorDetails =
  | { tag: 'unreachable'; step: string; peer: string; detail: string }
  | { tag: 'timeout'; step: string; peer: string }
  | { tag: 'cut'; step: string; peer: string; detail: string }
  | { tag: 'not_ready'; step: string; peer: string; retryAfterMs: number }
  | { tag: 'not_owner'; step: string; peer: string; hint?: string }
  | { tag: 'fenced'; step: string; peer: string; fence: string }
  | { tag: 'overloaded'; step: string; peer: string; retryAfterMs: number }
  | { tag: 'bad_visit'; step: string; peer: string; detail: string }
  | { tag: 'unknown_method'; step: string; peer: string; method: string }
  | { tag: 'unknown_topic'; step: string; peer: string; topic: string }
  | { tag: 'unknown_conn'; step: string; peer: string }
  | { tag: 'unknown_disk'; step: string; peer: string; disk: string }
  | { tag: 'cursor_expired'; step: string; peer: string; first: number; head: number }
  | { tag: 'cursor_ahead'; step: string; peer: string; head: number }
  | { tag: 'too_large'; step: string; peer: string; limit: number }
  | { tag: 'stale_seq'; step: string; peer: string; last: number }
  | { tag: 'outcome_unknown'; step: string; peer: string; retryAfterMs: number }
  /** `revision`: the revision in force, if the submission had one. */
  | { tag: 'conflict'; step: string; peer: string; version: number; revision?: number }
  | { tag: 'invalid_config'; step: string; peer: string; faults: { path: string; fault: string }[] }
  | { tag: 'no_majority'; step: string; peer: string; detail: string }
  | { tag: 'wont_hold'; step: string; peer: string; detail: string }
  | { tag: 'disk_ill'; step: string; peer: string; detail: string }
  | { tag: 'internal'; step: string; peer: string; detail: string };

/**
 * The error class of the system; `details` tells the kinds of error apart.
 * @example
 * throw new HarecrossError({ tag: 'timeout', step: 'append', peer: '127.0.0.1:7101' });
 */
export class HarecrossError extends Error {
  constructor(readonly details: ErrorDetails) {
    super(`${details.tag} at ${details.step} (${details.peer})${'detail' in details ? `: ${details.detail}` : ''}`);
    this.name = 'HarecrossError';
  }
}

/**
 * The details of anything thrown; errors of other classes become `internal`.
 * @example
 * try { await call() } catch (error) { switch (toErrorDetails(error, 'call', peer).tag) { case 'timeout': retry() } }
 */
export function toErrorDetails(error: unknown, step: string, peer: string): ErrorDetails {
  if (error instanceof HarecrossError) return error.details;
  return { tag: 'internal', step, peer, detail: error instanceof Error ? error.message : String(error) };
}

/**
 * For the default branch of exhaustive switches: does not compile if a case is missing, and throws if it is reached.
 * @example
 * switch (x.tag) { case 'a': return 1; default: return assertNever(x) }
 */
export function assertNever(x: never): never {
  throw new Error(`unreachable: ${JSON.stringify(x)}`);
}
