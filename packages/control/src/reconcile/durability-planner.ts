/** Applies a changed fault tolerance setting: more or fewer replicas and voters, once the disks have room for them. */
import { REGISTER, type Kernel } from '@harecross/kernel';
import { durabilityOf, shortfallOf, type Durability } from '../placement/durability.js';
import type { FleetValue } from '../value/fleet-value.js';
import type { PlannedStep } from './planner.js';

/**
 * Copies the durability that the config of this process asks for into the agreed value. If the disks have no room for it, the shortfall
 * is reported and the value stays as it is.
 * @example
 * new DurabilityPlanner(kernel).step(value); // undefined while value and config agree
 */
export class DurabilityPlanner {
  /** When a shortfall of disks was last reported (steady clock, ms). */
  private lastReportAt = -Infinity;

  constructor(private readonly kernel: Kernel) {}

  /** The change of the value that is due, if any. */
  step(value: FleetValue): PlannedStep | undefined {
    const configured = durabilityOf(this.kernel.host.config);
    if (!configured.tolerance || isSame(configured, value)) return undefined;
    const shortfall = shortfallOf(
      configured,
      [...value.disks.values()].filter((disk) => disk.state === 'active'),
    );
    if (shortfall !== undefined) {
      this.report(shortfall);
      return undefined;
    }
    const { copies, votersWanted } = configured;
    return { next: { ...value, ...configured }, why: `${copies} replicas and ${votersWanted} voters are configured` };
  }

  private report(shortfall: string): void {
    const now = this.kernel.host.clock.now();
    if (now - this.lastReportAt < REGISTER.bootstrapReportMs) return;
    this.lastReportAt = now;
    this.kernel.incrementCounter('durability.short');
    this.kernel.host.log.warn(`the fleet cannot provide the configured fault tolerance: ${shortfall}`);
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
