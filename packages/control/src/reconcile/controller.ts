/** The fleet's controller: compares the agreed value with the machines that are there and plans the next step. */
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
 * What the owner of a shard says on the membership under `key/<shard>`. `behind`: the copies that don't have the history that it began
 * with yet, or lag far behind: they don't count as copies that bear a loss.
 */
export interface ShardOwnerRecord {
  fence: string;
  gen: number;
  peer: string;
  inst: string;
  behind: string[];
}

/**
 * Seeds the rendezvous order by which the controller is chosen. All nodes of a fleet must agree on it, also those of earlier versions.
 */
const CONTROLLER_HASH_KEY = 'keeper';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    controller: Controller;
  }
}

/**
 * The keeper's duty: lets disks in, takes lost ones out, moves copies. It belongs to the first live seat by
 * rendezvous; should two believe they have it, each step is still one change of the register that is checked
 * against the value it changes.
 * @example
 * k.use('controller').mine(); // whether the duty is ours now
 */
export class Controller {
  /** Asked in this order, one step at a time: voters come before copies, because each step of the copies needs them. */
  private readonly planners: Planner[];
  private running = false;
  /** When the next look that news asked for is due. */
  private nextReviewAt = Infinity;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
  ) {
    const { clock, random } = kernel.host;
    const durability = new DurabilityPlanner(kernel);
    const forgetting = new ForgetPlanner(kernel, membership);
    // Forgetting comes last of all: it frees room, and nothing waits for it.
    this.planners = [
      planDisks,
      planDepartures,
      (value) => durability.step(value),
      planVoters,
      planMoves,
      planReplicas,
      (value) => forgetting.step(value),
    ];
    kernel.addSubscription(runPeriodically(clock, PLACEMENT.controllerMs, random, () => this.reconcile()));
    // A loss or a new machine is looked at when it is heard of, and a disk again once it may join.
    kernel.addSubscription(
      membership.memberStateChanged$.subscribe(() => {
        this.reviewAfter(PLACEMENT.controllerWakeMs);
        clock.after(PLACEMENT.joinAfterMs + PLACEMENT.controllerWakeMs, () => this.reviewAfter(0));
      }),
    );
    kernel.addSubscription(
      membership.factChanged$.subscribe((key) => {
        if (key.startsWith('key/')) this.reviewAfter(PLACEMENT.controllerOwnerChangeMs);
      }),
    );
  }

  /** Looks again after this long; news that comes meanwhile is looked at with it. */
  private reviewAfter(afterMs: number): void {
    const { clock } = this.kernel.host;
    const at = clock.now() + afterMs;
    if (this.nextReviewAt <= at || !this.isElected()) return;
    this.nextReviewAt = at;
    clock.after(afterMs, () => {
      this.nextReviewAt = Infinity;
      this.reconcile().catch(() => undefined);
    });
  }

  isElected(): boolean {
    const v = this.register.value;
    if (!v || !this.register.disk || !v.voters.includes(this.register.disk)) return false;
    const available = v.voters.filter((d) => {
      const m = this.membership.memberOfDisk(d);
      return m && (m.peer === this.kernel.self || this.membership.isAvailable(m.peer));
    });
    return rendezvousOrder(CONTROLLER_HASH_KEY, available)[0] === this.register.disk;
  }

  /** One at a time; steps that follow from one another are made in one go, because a second loss may be near. */
  private async reconcile(): Promise<void> {
    if (this.running) return;
    this.running = true;
    try {
      for (let i = 0; i < PLACEMENT.controllerStepLimit && (await this.applyNextStep()); i++);
    } finally {
      this.running = false;
    }
  }

  /** Makes the next step; false when none is due, or when it could not be agreed. */
  private async applyNextStep(): Promise<boolean> {
    if (!this.register.hasReadLease() || this.kernel.phase !== 'running' || !this.isElected()) return false;
    if (!this.plan(this.register.value!)) return false;
    const made = await this.register.repair((value) => {
      const step = this.plan(value);
      return { next: step?.next, out: step?.why };
    }, MEMBERSHIP.callTimeoutMs * 3);
    if (made === undefined) return false;
    this.kernel.incrementCounter('keeper.steps');
    this.kernel.host.log.info(`keeper: ${made}`);
    return true;
  }

  /** The next step from this value, if one is due. */
  private plan(value: FleetValue): PlannedStep | undefined {
    const { clock } = this.kernel.host;
    const fleet: FleetView = {
      membership: this.membership,
      now: clock.now(),
      wallTime: clock.wall(),
      startedAt: this.kernel.startedAt,
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
  setup: (k) => new Controller(k, k.use('membership'), k.use('register')),
});
