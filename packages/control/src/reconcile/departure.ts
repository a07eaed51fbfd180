/** Graceful stop of this node's process: if its disk has a successor, the process waits until other disks have taken over what it holds. */
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
 * Delays the end of a stopping process while the controller moves its vote and replicas away: the next machine may fail right after the
 * process has ended. A process without a successor ends as soon as it can: its machine is taken to be restarting.
 */
export class Departure {
  /** When the process was told to stop (steady clock, ms). */
  private stopStartedAt?: number;

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
  ) {
    kernel.addSubscription(
      kernel.phase$.subscribe((phase) => {
        if (phase === 'draining') this.stopStartedAt = kernel.host.clock.now();
      }),
    );
    kernel.onStop(() => this.awaitHandOver());
  }

  private async awaitHandOver(): Promise<void> {
    const { clock, config } = this.kernel.host;
    const stopMs = config.stopMs ?? PROCESS.stopMs;
    const deadline = (this.stopStartedAt ?? clock.now()) + stopMs - PLACEMENT.departureReserveMs;
    while (this.isHandOverPending() && clock.now() < deadline) await sleep(clock, PLACEMENT.departureCheckMs);
  }

  /** Whether this disk still has a vote or replicas that other disks are to take over. */
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
