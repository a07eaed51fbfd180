/** The time base of a disk: receive times on it stay comparable when the process, and with it the steady clock, is replaced by another. */

/** Times from here on (ms) were written by earlier versions, as times of the steady clock of a process that has ended. */
export const EARLIER_VERSIONS_FROM = 1e11;

/**
 * Converts between the steady clock of this process and the disk's time, which counts how long processes have run on this disk (ms). While no
 * process runs it stands still, so that an age is never overestimated, and no restart makes data younger than its newest row.
 * @example
 * const clock = new DiskClock(now, newestTimeOnDisk);
 * clock.toDisk(entry.at); // the value to write
 */
export class DiskClock {
  private readonly offset: number;

  /** `newest`: the latest time on the disk, without those of earlier versions; 0 if there is none. */
  constructor(
    private readonly openedAt: number,
    newest: number,
  ) {
    this.offset = openedAt - newest;
  }

  toDisk(at: number): number {
    return at - this.offset;
  }

  /** Data written by an earlier version counts as received when this process opened the disk: its age is unknown. */
  fromDisk(time: number): number {
    return isComparable(time) ? time + this.offset : this.openedAt;
  }
}

/** Whether a time on disk was written by a version that uses the disk's time. */
export const isComparable = (time: number): boolean => time < EARLIER_VERSIONS_FROM;
