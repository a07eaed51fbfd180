/** Who may be lost: troubles ask here before they strike a machine whose loss counts, and wait their turn. */
import { sleep, randomSample, type Clock, type RandomSource } from '@harecross/kernel';
import type { Machine } from './machine-fleet.js';

/** A trouble that waits looks again this often (ms) ... */
const LOOK_MS = 100;
/** ... and does not happen if its turn has not come by then. */
const GIVE_UP_MS = 30_000;

/** What the count needs to know of a machine. */
export interface Losable {
  /** Whether its loss counts. */
  readonly counted: boolean;
  /** Gone for good. */
  readonly removed: boolean;
  isUp(): boolean;
}

/** Victims that a trouble may strike now. */
export interface LossClaim<M extends Losable = Machine> {
  machines: M[];
  /** They are back, with their process started: they count as lost for the time that repair may take. */
  back(): void;
  /** Another machine takes the place of one that is gone for good: it counts instead, from its start. */
  replacedBy(by: M): void;
}

/**
 * Counts the machines that are lost: down, frozen, slowed or cut off, and for `syncMs` after they are back.
 * @example
 * const claim = await tolerance.claim(stores, 1, random); ...; claim?.back();
 */
export class LossBudget<M extends Losable = Machine> {
  private lost = new Set<M>();
  private syncing = new Map<M, number>();
  /** One trouble that strikes all at once is under way, or waits for the others to be over. */
  private closed = false;

  constructor(
    private readonly clock: Clock,
    private readonly losses: number,
    private readonly syncMs: number,
    /** Called when machines that count are about to be struck. */
    private readonly onStrike: (machines: readonly M[]) => void = () => {},
  ) {}

  /** Machines that count as lost now. */
  count(): number {
    for (const [machine, until] of this.syncing) if (until <= this.clock.now()) this.syncing.delete(machine);
    return new Set([...this.lost, ...this.syncing.keys()].filter((m) => m.counted)).size;
  }

  private free(machines: readonly M[]): M[] {
    return machines.filter((m) => !m.removed && m.isUp() && !this.lost.has(m) && !this.syncing.has(m));
  }

  /** Up to `count` of these machines that may be lost together now; undefined if their turn does not come. */
  async claim(machines: () => readonly M[], count: number, random: RandomSource): Promise<LossClaim<M> | undefined> {
    for (const until = this.clock.now() + GIVE_UP_MS; this.clock.now() < until; await sleep(this.clock, LOOK_MS)) {
      if (this.closed) continue;
      const lost = this.count();
      const chosen = randomSample(random, this.free(machines()), count);
      let room = this.losses - lost;
      const may = chosen.filter((m) => !m.counted || room-- > 0);
      if (!may.length) continue;
      return this.taken(may);
    }
    return undefined;
  }

  /** Everything that counts, once nothing is lost: disks stay, power goes. Meanwhile nobody else is struck. */
  async claimAll(machines: () => readonly M[]): Promise<LossClaim<M> | undefined> {
    for (const until = this.clock.now() + GIVE_UP_MS; this.clock.now() < until; await sleep(this.clock, LOOK_MS)) {
      if (this.closed) continue;
      if (this.count() || this.lost.size) continue;
      this.closed = true;
      const claim = this.taken(machines().filter((m) => !m.removed && m.isUp()));
      return {
        ...claim,
        back: () => {
          this.closed = false;
          claim.back();
        },
      };
    }
    return undefined;
  }

  private taken(machines: M[]): LossClaim<M> {
    if (machines.some((m) => m.counted)) this.onStrike(machines);
    for (const m of machines) this.lost.add(m);
    const over = (): void => {
      for (const m of machines) this.lost.delete(m);
    };
    const until = (): number => this.clock.now() + this.syncMs;
    return {
      machines,
      back: () => {
        over();
        for (const m of machines) this.syncing.set(m, until());
      },
      replacedBy: (by) => {
        over();
        this.syncing.set(by, until());
      },
    };
  }
}
