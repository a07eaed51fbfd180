/** The fleet's controller: compares the agreed value with the machines that are there and plans the next step. */
import { C, loop, rank, register, type Kernel } from '@harecross/kernel';
import type { Board } from './board.js';
import { ForgetPlanner } from './forget.js';
import { planDisks } from './plan-disks.js';
import { planMoves } from './plan-moves.js';
import type { FleetView, Planner, Step } from './planner.js';
import { planReplicas } from './plan-replicas.js';
import { planVoters } from './plan-voters.js';
import type { Register } from './register.js';
import type { Value } from './value.js';

/**
 * What the owner of a shard says on the board under `key/<shard>`. `behind`: the copies that don't have the history that it began
 * with yet, or lag far behind: they don't count as copies that bear a loss.
 */
export interface KeyRec {
  fence: string;
  gen: number;
  peer: string;
  inst: string;
  behind: string[];
}

declare module '@harecross/kernel' {
  interface Faces {
    keeper: Keeper;
  }
}

/**
 * The keeper's duty: lets disks in, takes lost ones out, moves copies. It belongs to the first live seat by
 * rendezvous; should two believe they have it, each step is still one change of the register that is checked
 * against the value it changes.
 * @example
 * k.use('keeper').mine(); // whether the duty is ours now
 */
export class Keeper {
  /** Asked in this order, one step at a time: voters come before copies, because each step of the copies needs them. */
  private readonly planners: Planner[];
  private running = false;
  /** When the next look that news asked for is due. */
  private wakesAt = Infinity;

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
  ) {
    const { clock, rnd } = k.host;
    const forgetting = new ForgetPlanner(k, board);
    // Forgetting comes last of all: it frees room, and nothing waits for it.
    this.planners = [planDisks, planVoters, planMoves, planReplicas, (value) => forgetting.step(value)];
    k.keep(loop(clock, C.keeperMs, rnd, () => this.round()));
    // A loss or a new machine is looked at when it is heard of, and a disk again once it may join.
    k.keep(
      board.state$.subscribe(() => {
        this.wake(C.keeperWakeMs);
        clock.after(C.joinAfterMs + C.keeperWakeMs, () => this.wake(0));
      }),
    );
    k.keep(
      board.changed$.subscribe((key) => {
        if (key.startsWith('key/')) this.wake(C.keeperOwnersMs);
      }),
    );
  }

  /** Looks again after this long; news that comes meanwhile is looked at with it. */
  private wake(afterMs: number): void {
    const { clock } = this.k.host;
    const at = clock.now() + afterMs;
    if (this.wakesAt <= at || !this.mine()) return;
    this.wakesAt = at;
    clock.after(afterMs, () => {
      this.wakesAt = Infinity;
      this.round().catch(() => undefined);
    });
  }

  mine(): boolean {
    const v = this.reg.value;
    if (!v || !this.reg.disk || !v.seats.includes(this.reg.disk)) return false;
    const able = v.seats.filter((d) => {
      const m = this.board.ofDisk(d);
      return m && (m.peer === this.k.self || this.board.able(m.peer));
    });
    return rank('keeper', able)[0] === this.reg.disk;
  }

  /** One at a time; steps that follow from one another are made in one go, because a second loss may be near. */
  private async round(): Promise<void> {
    if (this.running) return;
    this.running = true;
    try {
      for (let i = 0; i < C.keeperStepsN && (await this.step()); i++);
    } finally {
      this.running = false;
    }
  }

  /** Makes the next step; false when none is due, or when it could not be agreed. */
  private async step(): Promise<boolean> {
    if (!this.reg.fresh() || this.k.phase !== 'running' || !this.mine()) return false;
    if (!this.plan(this.reg.value!)) return false;
    const made = await this.reg.change((value) => {
      const step = this.plan(value);
      return { next: step?.next, out: step?.why };
    }, C.callMs * 3);
    if (made === undefined) return false;
    this.k.count('keeper.steps');
    this.k.host.log.info(`keeper: ${made}`);
    return true;
  }

  /** The next step from this value, if one is due. */
  private plan(value: Value): Step | undefined {
    const { clock } = this.k.host;
    const fleet: FleetView = {
      board: this.board,
      now: clock.now(),
      wall: clock.wall(),
      startedAt: this.k.startedAt,
    };
    for (const planner of this.planners) {
      const step = planner(value, fleet);
      if (step) return step;
    }
    return undefined;
  }
}

register({
  name: 'keeper',
  needs: ['board', 'register'],
  setup: (k) => new Keeper(k, k.use('board'), k.use('register')),
});
