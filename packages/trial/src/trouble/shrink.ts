/** Finds the fewest troubles with which a failing day still fails. */

/**
 * Leaves out halves, then quarters, then single items, as long as what is left still fails.
 * @example
 * await shrink(schedule, async (some) => fails(await playTroubles(seed, deployment, some)));
 */
export async function shrinkSchedule<T>(items: readonly T[], fails: (some: T[]) => Promise<boolean>): Promise<T[]> {
  let left = [...items];
  for (let size = Math.ceil(left.length / 2); size >= 1; size = size > 1 ? Math.ceil(size / 2) : 0) {
    for (let at = 0; at < left.length && left.length > 1;) {
      const fewer = [...left.slice(0, at), ...left.slice(at + size)];
      if (fewer.length && (await fails(fewer))) left = fewer;
      else at += size;
    }
  }
  return left;
}
