/** Follows a change of what the processes are told to bear: more or fewer replicas and voters, once the disks have room for them. */
import { REGISTER, type Kernel } from '@harecross/kernel';
import { durabilityOf, shortfallOf, type Durability } from '../placement/durability.js';
import type { FleetValue } from '../value/fleet-value.js';
import type { PlannedStep } from './planner.js';

/**
 * Takes what the config of this process asks for into the agreed value. What the disks have no room for is reported and not begun.
 * @example
 * new DurabilityPlanner(kernel).step(value); // undefined while value and config agree
 */
export class DurabilityPlanner {
  /** When a shortfall of disks was last reported (steady clock, ms). */
  private reportedAt = -Infinity;

  constructor(private readonly kernel: Kernel) {}

  step(value: FleetValue): PlannedStep | undefined {
    const wanted = durabilityOf(this.kernel.host.config);
    if (!wanted.tolerance || isSame(wanted, value)) return undefined;
    const shortfall = shortfallOf(
      wanted,
      [...value.disks.values()].filter((disk) => disk.state === 'active'),
    );
    if (shortfall !== undefined) {
      this.report(shortfall);
      return undefined;
    }
    const { copies, votersWanted } = wanted;
    return { next: { ...value, ...wanted }, why: `${copies} replicas and ${votersWanted} voters are wanted` };
  }

  private report(shortfall: string): void {
    const now = this.kernel.host.clock.now();
    if (now - this.reportedAt < REGISTER.bootstrapReportMs) return;
    this.reportedAt = now;
    this.kernel.incrementCounter('durability.short');
    this.kernel.host.log.warn(`the fleet does not bear what its settings ask for: ${shortfall}`);
  }
}

function isSame(one: Durability, other: Durability): boolean {
  const { tolerance } = one;
  return (
    one.copies === other.copies &&
    one.votersWanted === other.votersWanted &&
    tolerance?.machines === other.tolerance?.machines &&
    tolerance?.domains === other.tolerance?.domains &&
    tolerance?.regions === other.tolerance?.regions
  );
}
