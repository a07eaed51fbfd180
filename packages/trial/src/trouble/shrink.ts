/** Reduces the fault schedule of a failing run. */

/**
 * Removes halves, then quarters, and so on down to single items, as long as the remaining items still fail.
 * @example
 * await shrink(schedule, async (subset) => (await runFaultSchedule(seed, deployment, subset)).violations.length > 0);
 */
export async function shrinkSchedule<T>(items: readonly T[], fails: (subset: T[]) => Promise<boolean>): Promise<T[]> {
  let remaining = [...items];
  for (let size = Math.ceil(remaining.length / 2); size >= 1; size = size > 1 ? Math.ceil(size / 2) : 0) {
    for (let start = 0; start < remaining.length && remaining.length > 1;) {
      const fewer = [...remaining.slice(0, start), ...remaining.slice(start + size)];
      if (fewer.length && (await fails(fewer))) remaining = fewer;
      else start += size;
    }
  }
  return remaining;
}
