/** Whether this node may found the fleet, which its disk remembers over restarts. */
import type { Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';

/** The key under which a disk keeps the seeds of the fleet's first start. Stored data: it stays. */
const FOUNDING_SEEDS_ROW = 'founding-seeds';

/**
 * The right of a seed to found the fleet. A process has it from its config at the first start of the whole fleet; its disk keeps it with the
 * seeds of that start, since a process that is started again is told neither that there is no fleet yet, nor perhaps the same seeds. A disk
 * that was emptied has it no more.
 */
export class BootstrapEligibility {
  private storedSeeds: string[] | undefined;

  constructor(
    private readonly kernel: Kernel,
    private readonly state: DurableState,
  ) {
    const stored = state.get(FOUNDING_SEEDS_ROW);
    if (stored !== undefined) this.storedSeeds = stored.split(',');
    else if (kernel.host.config.firstStart === true) this.store(kernel.host.config.seeds);
  }

  /** The seeds that may found the fleet together, in order, where this node is one of them. */
  get seeds(): string[] | undefined {
    const { config } = this.kernel.host;
    const seeds = this.storedSeeds ?? (config.firstStart === false ? undefined : config.seeds);
    return seeds?.includes(this.kernel.self) ? seeds : undefined;
  }

  /** Nothing waits for it: where it is not synced before a loss, another seed has the right still. */
  private store(seeds: string[]): void {
    this.storedSeeds = [...seeds];
    this.state.db.commit(() => this.state.set(FOUNDING_SEEDS_ROW, seeds.join(','))).catch(() => undefined);
  }
}
