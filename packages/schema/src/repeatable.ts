/** Whether a caller may send an RPC again while its outcome is unknown: after silence, a reset or a timeout. */

/**
 * - `read`: it changes nothing.
 * - `idempotent`: a second run has no effect beyond the first. `toldApartBy` names what marks a repeat, `for` how long that is known;
 *   where `needs` is given, only with one of these fields in the body.
 * - `never`: a second run could do something else than the first. The caller finds out what became of it, then asks anew.
 */
export type CallerRepeatability =
  | { repeat: 'read'; why: string }
  | { repeat: 'idempotent'; why: string; toldApartBy: string; for: string; needs?: readonly string[] }
  | { repeat: 'never'; why: string };

export const read = (why: string): CallerRepeatability => ({ repeat: 'read', why });
export const never = (why: string): CallerRepeatability => ({ repeat: 'never', why });
export const idempotent = (x: {
  toldApartBy: string;
  for: string;
  why: string;
  needs?: readonly string[];
}): CallerRepeatability => ({ repeat: 'idempotent', ...x });

/**
 * Whether a request may be sent again while its outcome is unknown.
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
