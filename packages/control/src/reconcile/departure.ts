/** A stop of this node's process: it stays until what its disk has is with others, where a successor is there. */
import { PLACEMENT, PROCESS, registerPlugin, sleep, type Kernel } from '@harecross/kernel';
import type { ConsensusRegister } from '../consensus/consensus-register.js';
import type { MembershipTable } from '../membership/membership-table.js';
import { isDiskUnused, isInPlannedRestart } from '../value/fleet-queries.js';
import { successorOf } from './successor.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    departure: Departure;
  }
}

/**
 * Delays the end of a stopping process while the controller moves its vote and replicas away: once the process has ended, the next loss
 * may follow at once. A process without a successor ends as soon as it can: its machine is restarting.
 */
export class Departure {
  /** When the process was told to stop (steady clock, ms). */
  private stopBeganAt?: number;

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
  ) {
    kernel.addSubscription(
      kernel.phase$.subscribe((phase) => {
        if (phase === 'draining') this.stopBeganAt = kernel.host.clock.now();
      }),
    );
    kernel.onStop(() => this.awaitHandOver());
  }

  private async awaitHandOver(): Promise<void> {
    const { clock, config } = this.kernel.host;
    const stopMs = config.stopMs ?? PROCESS.stopMs;
    const until = (this.stopBeganAt ?? clock.now()) + stopMs - PLACEMENT.departureReserveMs;
    while (this.isHandOverPending() && clock.now() < until) await sleep(clock, PLACEMENT.departureCheckMs);
  }

  /** Whether others are to take over what this disk still has. */
  private isHandOverPending(): boolean {
    const { value, disk: ownDisk } = this.register;
    const disk = ownDisk === undefined ? undefined : value?.disks.get(ownDisk);
    if (!value || !disk || isDiskUnused(value, disk.id)) return false;
    if (disk.state === 'leaving' || disk.state === 'emptying') return true;
    if (disk.state === 'lost' || isInPlannedRestart(value, this.kernel.self)) return false;
    return successorOf(value, { membership: this.membership }, disk) !== undefined;
  }
}

registerPlugin({
  name: 'departure',
  needs: ['membership', 'register'],
  setup: (kernel) => new Departure(kernel, kernel.use('membership'), kernel.use('register')),
});
