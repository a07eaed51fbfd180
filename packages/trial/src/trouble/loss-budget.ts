/** Keeps the number of lost machines within the declared losses: faults claim their victims here and wait until that is allowed. */
import { sleep, randomSample, type Clock, type RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';

/** Interval at which a waiting fault tries again ... */
const POLL_MS = 100;
/** ... and the time after which it is skipped. */
const GIVE_UP_MS = 30_000;

/** The state of a machine that the count of losses depends on. */
export interface Losable {
  /** Whether its loss counts towards the declared losses. */
  readonly counted: boolean;
  /** Whether it was removed for good. */
  readonly removed: boolean;
  isUp(): boolean;
}

/** Victims that a fault may affect now. */
export interface LossClaim<M extends Losable = Machine> {
  machines: M[];
  /** The victims are back with their processes started. They count as lost for the time that repair may take. */
  back(): void;
  /** Another machine replaces one that was removed for good; it counts as lost instead for the time that repair may take. */
  replacedBy(by: M): void;
}

/**
 * Counts the machines that are lost: down, frozen, slowed or cut off, and for `syncMs` after they are back.
 * @example
 * const claim = await lossBudget.claim(() => stores, 1, random); ...; claim?.back();
 */
export class LossBudget<M extends Losable = Machine> {
  private lost = new Set<M>();
  private repairingUntil = new Map<M, number>();
  /** Whether a fault of all machines is active; meanwhile no other fault may claim victims. */
  private exclusive = false;

  constructor(
    private readonly clock: Clock,
    private readonly losses: number,
    private readonly syncMs: number,
    /** Called before machines whose loss counts are given to a fault. */
    private readonly onClaim: (machines: readonly M[]) => void = () => {},
  ) {}

  /** The number of machines that count as lost now. */
  count(): number {
    for (const [machine, until] of this.repairingUntil)
      if (until <= this.clock.now()) this.repairingUntil.delete(machine);
    return new Set([...this.lost, ...this.repairingUntil.keys()].filter((machine) => machine.counted)).size;
  }

  private claimable(machines: readonly M[]): M[] {
    return machines.filter(
      (machine) => !machine.removed && machine.isUp() && !this.lost.has(machine) && !this.repairingUntil.has(machine),
    );
  }

  /** Claims up to `count` of these machines that may be lost together; undefined if that was not allowed until the timeout. */
  async claim(machines: () => readonly M[], count: number, random: RandomSource): Promise<LossClaim<M> | undefined> {
    for (const until = this.clock.now() + GIVE_UP_MS; this.clock.now() < until; await sleep(this.clock, POLL_MS)) {
      if (this.exclusive) continue;
      const lost = this.count();
      const chosen = randomSample(random, this.claimable(machines()), count);
      let remaining = this.losses - lost;
      const chosenWithinBudget = chosen.filter((machine) => !machine.counted || remaining-- > 0);
      if (!chosenWithinBudget.length) continue;
      return this.taken(chosenWithinBudget);
    }
    return undefined;
  }

  /** Claims all of these machines once none is lost, for faults that keep the disks. Until their return no other fault can claim victims. */
  async claimAll(machines: () => readonly M[]): Promise<LossClaim<M> | undefined> {
    for (const until = this.clock.now() + GIVE_UP_MS; this.clock.now() < until; await sleep(this.clock, POLL_MS)) {
      if (this.exclusive) continue;
      if (this.count() || this.lost.size) continue;
      this.exclusive = true;
      const claim = this.taken(machines().filter((machine) => !machine.removed && machine.isUp()));
      return {
        ...claim,
        back: () => {
          this.exclusive = false;
          claim.back();
        },
      };
    }
    return undefined;
  }

  private taken(machines: M[]): LossClaim<M> {
    if (machines.some((machine) => machine.counted)) this.onClaim(machines);
    for (const machine of machines) this.lost.add(machine);
    const release = (): void => {
      for (const machine of machines) this.lost.delete(machine);
    };
    const until = (): number => this.clock.now() + this.syncMs;
    return {
      machines,
      back: () => {
        release();
        for (const machine of machines) this.repairingUntil.set(machine, until());
      },
      replacedBy: (by) => {
        release();
        this.repairingUntil.set(by, until());
      },
    };
  }
}
