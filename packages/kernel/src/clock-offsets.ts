/** How far our clock is ahead of other processes' clocks, learned from the frames that they send. */

/** What was learned is kept for one to two of these: clocks drift by little in that time, and what is gone is forgotten. */
const SPAN_MS = 30_000;

/**
 * The receipt of a frame minus its sending, each by its own clock, is the difference of the clocks plus the time the frame took. The
 * smallest of late is the closest to the difference: a frame that was held up, by the network or by a machine that stood still, does not
 * seem to have been sent later than it was.
 * @example
 * offsets.learn('10.1.0.4:7100 1f', now - sentAt, now); // the offset to add to that process's times
 */
export class ClockOffsets {
  private recent = new Map<string, number>();
  private earlier = new Map<string, number>();
  private recentSince = -Infinity;

  /** Notes what one frame shows; gives the offset known then. */
  learn(process: string, offset: number, now: number): number {
    if (now - this.recentSince > SPAN_MS) {
      const stale = now - this.recentSince > 2 * SPAN_MS;
      this.earlier = stale ? new Map() : this.recent;
      this.recent = new Map();
      this.recentSince = now;
    }
    const smallest = Math.min(offset, this.recent.get(process) ?? Infinity);
    this.recent.set(process, smallest);
    return Math.min(smallest, this.earlier.get(process) ?? Infinity);
  }
}
