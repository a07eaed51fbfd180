/** Estimates how far our clock is ahead of other processes' clocks, from the send times of the frames they send. */

/** Samples are kept for one to two windows: clocks drift little in that time, and processes that have ended are dropped. */
const WINDOW_MS = 30_000;

/**
 * The receive time of a frame minus its send time, each by its own machine's clock, is the clock difference plus the frame's delay. The
 * smallest recent value is closest to the clock difference. Using it keeps a frame that was delayed, by the network or by a frozen
 * machine, from appearing to have been sent later than it was.
 * @example
 * offsets.addSample('10.1.0.4:7100 1f', now - sentAt, now); // the offset to add to that process's times
 */
export class ClockOffsets {
  private currentWindow = new Map<string, number>();
  private previousWindow = new Map<string, number>();
  private windowStart = -Infinity;

  /** Adds the sample of one frame and returns the current estimate for its process. */
  addSample(process: string, sample: number, now: number): number {
    if (now - this.windowStart > WINDOW_MS) {
      const bothExpired = now - this.windowStart > 2 * WINDOW_MS;
      this.previousWindow = bothExpired ? new Map() : this.currentWindow;
      this.currentWindow = new Map();
      this.windowStart = now;
    }
    const smallest = Math.min(sample, this.currentWindow.get(process) ?? Infinity);
    this.currentWindow.set(process, smallest);
    return Math.min(smallest, this.previousWindow.get(process) ?? Infinity);
  }
}
