/** Limits how much history is on the way to one disk at once: what a replica lacks is read from this node's disk and sent part by part. */

/** Ends a transfer and returns the waiting ones that may begin now. */
type Release<Waiting> = () => Waiting[];

/**
 * A number of concurrent transfers to each disk. What finds no room waits in order and is handed out when a transfer ends.
 * @example
 * const release = budget.reserve(disk, shard);
 * if (release === 'full') return; // `shard` is returned by the `release` of another transfer
 */
export class CatchUpBudget<Waiting> {
  private readonly running = new Map<string, number>();
  private readonly waiting = new Map<string, Set<Waiting>>();

  constructor(private readonly concurrency: number) {}

  /** Begins a transfer to a disk, or queues it once. */
  reserve(disk: string, transfer: Waiting): Release<Waiting> | 'full' {
    const running = this.running.get(disk) ?? 0;
    if (running >= this.concurrency) {
      const queue = this.waiting.get(disk) ?? new Set();
      this.waiting.set(disk, queue.add(transfer));
      return 'full';
    }
    this.waiting.get(disk)?.delete(transfer);
    this.running.set(disk, running + 1);
    return () => this.end(disk);
  }

  private end(disk: string): Waiting[] {
    const running = this.running.get(disk)! - 1;
    if (running) this.running.set(disk, running);
    else this.running.delete(disk);
    const queue = this.waiting.get(disk);
    const [next] = queue ?? [];
    if (next === undefined) this.waiting.delete(disk);
    else queue!.delete(next);
    return next === undefined ? [] : [next];
  }
}
