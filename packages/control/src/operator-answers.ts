/**
 * When an operator's call is answered: in time for its sender to go elsewhere, by what a majority told after it was asked, and not
 * at all where it may have lain in a buffer.
 */
import { C, Failure, within, type Kernel } from '@harecross/kernel';
import { notReady, type Register } from './register.js';
import type { Value } from './value.js';

/**
 * Bounds the answers to operators.
 * @example
 * const v = await answers.confirmedValue('ReadConfig'); // or a Failure, within C.operatorAnswerMs
 */
export class OperatorAnswers {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: Register,
  ) {}

  /** Turns away an order that may have lain in a buffer for long: its sender, if it still wants it, sends it again. */
  mustBeNew(step: string): void {
    if (this.kernel.wokeJustNow()) throw notReady(this.kernel, step);
  }

  /**
   * The outcome of an order, or `no_majority` after C.operatorAnswerMs where no majority answered anything asked since the order
   * came: its sender has to know in time that another node may do better. The order itself goes on up to its own limit.
   */
  async inTime<T>(step: string, work: Promise<T>): Promise<T> {
    const { clock } = this.kernel.host;
    const askedAt = clock.now();
    void this.register.confirm().catch(() => undefined);
    const outcome = work.then((out) => ({ out }));
    const got = await within(clock, C.operatorAnswerMs, outcome);
    if (got) return got.out;
    if (this.register.confirmedSince(askedAt)) return work;
    work.catch(() => this.kernel.count('orders.failed_later'));
    throw this.register.value ? this.noMajority(step) : notReady(this.kernel, step);
  }

  /**
   * The value as a majority confirms it to a question asked after this call began; `no_majority` after C.operatorAnswerMs. A process
   * that stood still meanwhile does not answer by what it heard before.
   */
  async confirmedValue(step: string): Promise<Value> {
    if (!this.register.value) throw notReady(this.kernel, step);
    const { clock } = this.kernel.host;
    const askedAt = clock.now();
    const value = await within(clock, C.operatorAnswerMs, this.currentValue());
    if (!value || clock.now() - askedAt > C.operatorAnswerMs) throw this.noMajority(step);
    return value;
  }

  /** The value after a confirmation that begins now, or read by a ballot: it may be newer than what was confirmed, never older. */
  private async currentValue(): Promise<Value> {
    return (await this.register.confirm()) ? this.register.value! : this.register.read(C.operatorAnswerMs);
  }

  private noMajority(step: string): Failure {
    const detail = `no majority of the voters answered within ${C.operatorAnswerMs} ms`;
    return new Failure({ tag: 'no_majority', step, peer: this.kernel.self, detail });
  }
}
