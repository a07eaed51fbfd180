/** Whether this node may bootstrap the fleet; its disk keeps the answer across restarts. */
import type { Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';

/** The key under which a disk stores the seeds of the fleet's first start. Stored data: must not change. */
const BOOTSTRAP_SEEDS_KEY = 'founding-seeds';

/**
 * Whether a seed may bootstrap the fleet. The process config grants this at the first start of the whole fleet, and the disk stores it
 * together with the seeds of that start: the config of a restarted process doesn't say that there is no fleet yet, and its seeds may differ.
 * A disk that was wiped is no longer eligible.
 */
export class BootstrapEligibility {
  private storedSeeds: string[] | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly state: DurableState,
  ) {
    const stored = state.get(BOOTSTRAP_SEEDS_KEY);
    if (stored !== undefined) this.storedSeeds = stored.split(',');
    else if (kernel.host.config.firstStart === true) this.store(kernel.host.config.seeds);
  }

  /** Whether this disk took part in the first start of the fleet; undefined if the process config does not say. */
  get inFirstStart(): boolean | undefined {
    return this.storedSeeds !== undefined ? true : this.kernel.host.config.firstStart;
  }

  /** The ordered seeds that may bootstrap the fleet together; undefined if this node is not one of them. */
  get seeds(): string[] | undefined {
    const { config } = this.kernel.host;
    const seeds = this.storedSeeds ?? (config.firstStart === false ? undefined : config.seeds);
    return seeds?.includes(this.kernel.self) ? seeds : undefined;
  }

  /** Stores the seeds without waiting for the sync: if a failure loses them first, another seed is still eligible. */
  private store(seeds: string[]): void {
    this.storedSeeds = [...seeds];
    this.state.db.commit(() => this.state.set(BOOTSTRAP_SEEDS_KEY, seeds.join(','))).catch(() => undefined);
  }
}
