/**
 * Rules for answering an operator's call: early enough for the sender to try another node, based on what a majority confirmed after the
 * call arrived, and with a refusal if the request may have waited in a buffer.
 */
import { HarecrossError, REGISTER, withTimeout, type Kernel } from '@harecross/kernel';
import { notReadyError, type ConsensusRegister } from '../consensus/consensus-register.js';
import type { FleetValue } from '../value/fleet-value.js';

/**
 * Applies the time limit and the freshness rules to the answers for operators.
 * @example
 * const value = await answers.confirmedValue('ReadConfig'); // or throws a HarecrossError within REGISTER.operatorAnswerMs
 */
export class OperatorAnswers {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
  ) {}

  /** Rejects a request that may have waited in a buffer for long, because this process was paused; the sender can repeat it. */
  rejectIfStale(step: string): void {
    if (this.kernel.resumedRecently()) throw notReadyError(this.kernel, step);
  }

  /**
   * The outcome of a request, or a `no_majority` error (`not_ready` without a value) after REGISTER.operatorAnswerMs if no majority has
   * confirmed anything since the request arrived: the sender has to learn in time that another node may be able to serve it. The work
   * itself goes on up to its own time limit.
   */
  async withinAnswerTime<T>(step: string, work: Promise<T>): Promise<T> {
    const { clock } = this.kernel.host;
    const startedAt = clock.now();
    void this.register.confirm().catch(() => undefined);
    const outcome = work.then((out) => ({ out }));
    const settled = await withTimeout(clock, REGISTER.operatorAnswerMs, outcome);
    if (settled) return settled.out;
    if (this.register.confirmedSince(startedAt)) return work;
    work.catch(() => this.kernel.incrementCounter('orders.failed_later'));
    throw this.register.value ? this.noMajority(step) : notReadyError(this.kernel, step);
  }

  /**
   * The value, confirmed by a majority in a request sent after this call began; a `no_majority` error after REGISTER.operatorAnswerMs. A
   * process that was paused for longer meanwhile doesn't answer with what it received before the pause.
   */
  async confirmedValue(step: string): Promise<FleetValue> {
    if (!this.register.value) throw notReadyError(this.kernel, step);
    const { clock } = this.kernel.host;
    const startedAt = clock.now();
    const value = await withTimeout(clock, REGISTER.operatorAnswerMs, this.currentValue());
    if (!value || clock.now() - startedAt > REGISTER.operatorAnswerMs) throw this.noMajority(step);
    return value;
  }

  /** The value after a confirmation that starts now, or else read with a ballot. It may be newer than what was confirmed, never older. */
  private async currentValue(): Promise<FleetValue> {
    return (await this.register.confirm()) ? this.register.value! : this.register.read(REGISTER.operatorAnswerMs);
  }

  private noMajority(step: string): HarecrossError {
    const detail = `no majority of the voters answered within ${REGISTER.operatorAnswerMs} ms`;
    return new HarecrossError({ tag: 'no_majority', step, peer: this.kernel.self, detail });
  }
}
