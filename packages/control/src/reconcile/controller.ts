/** The fleet's controller: compares the agreed value with the observed membership and applies the next step towards the wanted state. */
import {
  MEMBERSHIP,
  PLACEMENT,
  registerPlugin,
  rendezvousOrder,
  runPeriodically,
  type Kernel,
} from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import { DurabilityPlanner } from './durability-planner.js';
import { ForgetPlanner } from './forget-planner.js';
import { planDepartures } from './plan-departures.js';
import { planDisks } from './plan-disks.js';
import { planMoves } from './plan-moves.js';
import type { FleetView, Planner, PlannedStep } from './planner.js';
import { planReplicas } from './plan-replicas.js';
import { planVoters } from './plan-voters.js';
import type { ConsensusRegister } from '../consensus/consensus-register.js';
import type { FleetValue } from '../value/fleet-value.js';

/**
 * What the owner of a shard publishes in the membership table under `key/<shard>`. `behind` lists the replicas that don't have the
 * history that the owner started with yet, or that lag far behind: they don't count towards the number of replicas that may be lost.
 */
export interface ShardOwnerRecord {
  fence: string;
  gen: number;
  peer: string;
  inst: string;
  behind: string[];
}

/**
 * Seed of the rendezvous order that elects the controller. It must be the same on all nodes of a fleet, including those of earlier versions.
 */
const CONTROLLER_HASH_KEY = 'keeper';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    controller: Controller;
  }
}

/**
 * Admits disks, marks disks as lost, and moves replicas and votes. The first available voter in rendezvous order is the controller. It is
 * safe for two nodes to act as controller at once: each step is one change of the register, planned anew from the value that it replaces.
 * @example
 * kernel.use('controller').isElected(); // whether this node is the controller now
 */
export class Controller {
  /** Called in this order; the first one with a due step wins. Voters come before replicas, because each step needs a majority of voters. */
  private readonly planners: Planner[];
  private running = false;
  /** When the next reconciliation triggered by an event is due (steady clock, ms); infinite if none is scheduled. */
  private nextReconcileAt = Infinity;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
  ) {
    const { clock, random } = kernel.host;
    const durabilityPlanner = new DurabilityPlanner(kernel);
    const forgetPlanner = new ForgetPlanner(kernel, membership);
    // Removing old disk records comes last: it only frees space, and nothing waits for it.
    this.planners = [
      planDisks,
      planDepartures,
      (value) => durabilityPlanner.step(value),
      planVoters,
      planMoves,
      planReplicas,
      (value) => forgetPlanner.step(value),
    ];
    kernel.addSubscription(runPeriodically(clock, PLACEMENT.controllerMs, random, () => this.reconcile()));
    // Reconciles soon after a member's state changes, and once more when the disk of a member that just became live may be admitted.
    kernel.addSubscription(
      membership.memberStateChanged$.subscribe(() => {
        this.reconcileAfter(PLACEMENT.controllerWakeMs);
        clock.after(PLACEMENT.joinAfterMs + PLACEMENT.controllerWakeMs, () => this.reconcileAfter(0));
      }),
    );
    kernel.addSubscription(
      membership.factChanged$.subscribe((key) => {
        if (key.startsWith('key/')) this.reconcileAfter(PLACEMENT.controllerOwnerChangeMs);
      }),
    );
  }

  /** Schedules a reconciliation; events that arrive before it runs are handled by the same run. */
  private reconcileAfter(afterMs: number): void {
    const { clock } = this.kernel.host;
    const at = clock.now() + afterMs;
    if (this.nextReconcileAt <= at || !this.isElected()) return;
    this.nextReconcileAt = at;
    clock.after(afterMs, () => {
      this.nextReconcileAt = Infinity;
      this.reconcile().catch(() => undefined);
    });
  }

  /** Whether this node is the first available voter in rendezvous order. */
  isElected(): boolean {
    const value = this.register.value;
    if (!value || !this.register.disk || !value.voters.includes(this.register.disk)) return false;
    const available = value.voters.filter((disk) => {
      const member = this.membership.memberOfDisk(disk);
      return member && (member.peer === this.kernel.self || this.membership.isAvailable(member.peer));
    });
    return rendezvousOrder(CONTROLLER_HASH_KEY, available)[0] === this.register.disk;
  }

  /** Runs one at a time. Steps that follow from one another are applied in the same run, because another machine may fail soon. */
  private async reconcile(): Promise<void> {
    if (this.running) return;
    this.running = true;
    try {
      for (let i = 0; i < PLACEMENT.controllerStepLimit && (await this.applyNextStep()); i++);
    } finally {
      this.running = false;
    }
  }

  /** Applies the next step; false when none is due, or when no majority agreed on it in time. */
  private async applyNextStep(): Promise<boolean> {
    if (!this.register.hasReadLease() || this.kernel.phase !== 'running' || !this.isElected()) return false;
    if (!this.plan(this.register.value!)) return false;
    const applied = await this.register.repair((value) => {
      const step = this.plan(value);
      return { next: step?.next, out: step?.why };
    }, MEMBERSHIP.callTimeoutMs * 3);
    if (applied === undefined) return false;
    this.kernel.incrementCounter('keeper.steps');
    this.kernel.host.log.info(`controller: ${applied}`);
    return true;
  }

  /** The next due step from this value, if any. */
  private plan(value: FleetValue): PlannedStep | undefined {
    const { clock } = this.kernel.host;
    const fleet: FleetView = {
      membership: this.membership,
      now: clock.now(),
      wallTime: clock.wall(),
      startedAt: this.kernel.startedAt,
      fleetKnownSince: this.register.fleetKnownSince,
    };
    for (const planner of this.planners) {
      const step = planner(value, fleet);
      if (step) return step;
    }
    return undefined;
  }
}

registerPlugin({
  name: 'controller',
  needs: ['membership', 'register'],
  setup: (kernel) => new Controller(kernel, kernel.use('membership'), kernel.use('register')),
});
