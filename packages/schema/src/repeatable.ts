/** Whether a client may resend an RPC while its outcome is unknown, that is after no answer, a connection reset or a timeout. */

/**
 * - `read`: it changes nothing.
 * - `idempotent`: a second execution has no effect beyond the first. `toldApartBy` lists the fields that identify a repeat, `for` says how
 *   long a repeat is recognized. If `needs` is given, this holds only for a body with at least one of these fields.
 * - `never`: a second execution could have a different effect than the first. The client must find out the outcome of the first request
 *   before it issues a new one.
 */
export type CallerRepeatability =
  | { repeat: 'read'; why: string }
  | { repeat: 'idempotent'; why: string; toldApartBy: string; for: string; needs?: readonly string[] }
  | { repeat: 'never'; why: string };

export const read = (why: string): CallerRepeatability => ({ repeat: 'read', why });
export const never = (why: string): CallerRepeatability => ({ repeat: 'never', why });
export const idempotent = (declaration: {
  toldApartBy: string;
  for: string;
  why: string;
  needs?: readonly string[];
}): CallerRepeatability => ({ repeat: 'idempotent', ...declaration });

/**
 * Whether a request may be resent while its outcome is unknown.
 * @example
 * mayRepeat(Rpcs.EmptyDisk.repeatable, { disk: 'd1' }); // false: it has no changeId
 */
export function mayRepeat(repeatable: CallerRepeatability, body: unknown): boolean {
  switch (repeatable.repeat) {
    case 'read':
      return true;
    case 'never':
      return false;
    case 'idempotent': {
      const { needs } = repeatable;
      if (!needs) return true;
      const fields = new Map(Object.entries((body ?? {}) as object));
      return needs.some((field) => fields.get(field) !== undefined);
    }
  }
}
