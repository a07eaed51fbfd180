/**
 * When an operator's call is answered: in time for its sender to go elsewhere, by what a majority told after it was asked, and not
 * at all where it may have lain in a buffer.
 */
import { HarecrossError, REGISTER, withTimeout, type Kernel } from '@harecross/kernel';
import { notReadyError, type ConsensusRegister } from '../consensus/consensus-register.js';
import type { FleetValue } from '../value/fleet-value.js';

/**
 * Bounds the answers to operators.
 * @example
 * const v = await answers.confirmedValue('ReadConfig'); // or a Failure, within REGISTER.operatorAnswerMs
 */
export class OperatorAnswers {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
  ) {}

  /** Turns away an order that may have lain in a buffer for long: its sender, if it still wants it, sends it again. */
  rejectIfStale(step: string): void {
    if (this.kernel.resumedRecently()) throw notReadyError(this.kernel, step);
  }

  /**
   * The outcome of an order, or `no_majority` after REGISTER.operatorAnswerMs where no majority answered anything asked since the order
   * came: its sender has to know in time that another node may do better. The order itself goes on up to its own limit.
   */
  async withinAnswerTime<T>(step: string, work: Promise<T>): Promise<T> {
    const { clock } = this.kernel.host;
    const askedAt = clock.now();
    void this.register.confirm().catch(() => undefined);
    const outcome = work.then((out) => ({ out }));
    const got = await withTimeout(clock, REGISTER.operatorAnswerMs, outcome);
    if (got) return got.out;
    if (this.register.confirmedSince(askedAt)) return work;
    work.catch(() => this.kernel.incrementCounter('orders.failed_later'));
    throw this.register.value ? this.noMajority(step) : notReadyError(this.kernel, step);
  }

  /**
   * The value as a majority confirms it to a question asked after this call began; `no_majority` after REGISTER.operatorAnswerMs. A process
   * that stood still meanwhile does not answer by what it heard before.
   */
  async confirmedValue(step: string): Promise<FleetValue> {
    if (!this.register.value) throw notReadyError(this.kernel, step);
    const { clock } = this.kernel.host;
    const askedAt = clock.now();
    const value = await withTimeout(clock, REGISTER.operatorAnswerMs, this.currentValue());
    if (!value || clock.now() - askedAt > REGISTER.operatorAnswerMs) throw this.noMajority(step);
    return value;
  }

  /** The value after a confirmation that begins now, or read by a ballot: it may be newer than what was confirmed, never older. */
  private async currentValue(): Promise<FleetValue> {
    return (await this.register.confirm()) ? this.register.value! : this.register.read(REGISTER.operatorAnswerMs);
  }

  private noMajority(step: string): HarecrossError {
    const detail = `no majority of the voters answered within ${REGISTER.operatorAnswerMs} ms`;
    return new HarecrossError({ tag: 'no_majority', step, peer: this.kernel.self, detail });
  }
}
