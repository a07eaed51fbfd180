/**
 * Configurations that operators send with a revision of their own, from the first try until their outcome is settled. What settles
 * one is the agreed value alone, by content: see revision-outcomes.ts.
 *
 * An order that waits here may still come into force until REGISTER.submitMs after it was last sent to this node, whether its sender waits
 * or not, and only while nothing as high is in force; after that this node forgets it and tries no more.
 */
import {
  HarecrossError,
  REGISTER,
  REQUEST,
  jitteredRetryMs,
  sleep,
  toErrorDetails,
  type Kernel,
} from '@harecross/kernel';
import { configFaults, type FleetConfig, type PathFault } from '@harecross/schema';
import { notReadyError, type ConsensusRegister } from '../consensus/consensus-register.js';
import { digestOf, revisionOutcome, type SubmittedRevision, type RevisionOutcome } from '../value/revision-outcomes.js';
import { withConfig, type FleetValue } from '../value/fleet-value.js';

const STEP = 'SubmitConfig';

/** What is in force after an order with a revision, that one or a higher one, and what became of the order. */
export interface RevisionResult {
  version: number;
  revision: number;
  outcome: 'accepted' | 'overtaken' | 'forgotten';
}

/** How an order ended: answered with what is in force, or refused. */
type SubmissionResult =
  { tag: 'answer'; answer: RevisionResult } | { tag: 'conflict' } | { tag: 'invalid'; faults: PathFault[] };

interface Waiter {
  resolve: (answer: RevisionResult) => void;
  reject: (why: unknown) => void;
}

/** A configuration that is to come into force, with all who wait for it: it may be sent again and again. */
interface Submission extends SubmittedRevision {
  key: string;
  changeId: string;
  config: FleetConfig;
  document?: string;
  /** Time of the steady clock, ms: no try begins after it. */
  until: number;
  waiters: Waiter[];
}

/**
 * The answer for an order that finds the node's queue full.
 * @example
 * if (this.changing >= REGISTER.concurrentChangeLimit) throw overloaded(k, 'PlanMoves');
 */
export function overloaded(kernel: Kernel, step: string): HarecrossError {
  return new HarecrossError({
    tag: 'overloaded',
    step,
    peer: kernel.self,
    retryAfterMs: jitteredRetryMs(kernel.host.random, REQUEST.retryMs),
  });
}

/** The answer that a value gives to an order that is settled. */
function resultFrom(value: FleetValue, outcome: Exclude<RevisionOutcome, 'open'>): SubmissionResult {
  if (outcome === 'conflict') return { tag: 'conflict' };
  return { tag: 'answer', answer: { version: value.version, revision: value.revision!, outcome } };
}

/**
 * The bounded queue of orders with a revision at this node. One of them, the highest, is at work at a time: it settles the lower ones.
 * @example
 * await submissions.submit({ revision: 17, config }) // { version: 5, revision: 17, outcome: 'accepted' }
 */
export class Submissions {
  private readonly pending = new Map<string, Submission>();
  private working = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly machineFaults: (value: FleetValue, config: FleetConfig) => PathFault[],
  ) {
    kernel.addSubscription(register.value$.subscribe(() => this.answerSettled()));
  }

  /** Takes an order, new or sent again, and answers when it is settled. */
  submit(request: {
    revision: number;
    changeId?: string;
    config: unknown;
    document?: unknown;
  }): Promise<RevisionResult> {
    const faults = configFaults(request.config);
    if (faults.length) throw this.invalid(faults);
    const submission = this.enqueue(request);
    submission.until = this.kernel.host.clock.now() + REGISTER.submitMs;
    const answer = new Promise<RevisionResult>((resolve, reject) => {
      submission.waiters.push({ resolve, reject });
    });
    this.answerSettled();
    void this.workThroughQueue();
    return answer;
  }

  /** The submission with this content, or a new one; `overloaded` where the queue, or the list of those who wait for it, is full. */
  private enqueue(request: { revision: number; changeId?: string; config: unknown; document?: unknown }): Submission {
    const { revision, config, document } = request;
    const digest = digestOf(config, document);
    const key = `${revision} ${digest}`;
    const known = this.pending.get(key);
    if (known && known.waiters.length >= REGISTER.submissionWaiterLimit) throw overloaded(this.kernel, STEP);
    if (known) return known;
    if (this.pending.size >= REGISTER.submissionLimit) throw overloaded(this.kernel, STEP);
    const submission: Submission = {
      key,
      revision,
      digest,
      changeId: request.changeId ?? `revision-${revision}`,
      config: config as FleetConfig,
      document: document === undefined ? undefined : JSON.stringify(document),
      until: 0,
      waiters: [],
    };
    this.pending.set(key, submission);
    return submission;
  }

  private invalid(faults: PathFault[]): HarecrossError {
    return new HarecrossError({ tag: 'invalid_config', step: STEP, peer: this.kernel.self, faults });
  }

  /** Names what is in force, so that the caller can tell its own order from the other. */
  private conflict(): HarecrossError {
    const { version, revision } = this.register.value!;
    return new HarecrossError({ tag: 'conflict', step: STEP, peer: this.kernel.self, version, revision });
  }

  /** Whether it is still one to work on; one that was sent again later is another. */
  private isPending(submission: Submission): boolean {
    return this.pending.get(submission.key) === submission;
  }

  /** The one function that takes a submission out; gives who is to be told. */
  private remove(submission: Submission): Waiter[] {
    if (this.isPending(submission)) this.pending.delete(submission.key);
    return submission.waiters.splice(0);
  }

  private answerAll(waiters: Waiter[], settled: SubmissionResult): void {
    for (const waiter of waiters) {
      switch (settled.tag) {
        case 'answer':
          waiter.resolve(settled.answer);
          break;
        case 'conflict':
          waiter.reject(this.conflict());
          break;
        case 'invalid':
          waiter.reject(this.invalid(settled.faults));
          break;
      }
    }
  }

  /** Answers what a value that the fleet agreed on has settled, whoever brought it about. */
  private answerSettled(): void {
    const { value } = this.register;
    if (!value) return;
    for (const submission of this.pending.values()) {
      const outcome = revisionOutcome(value, submission);
      if (outcome === 'open') continue;
      const { until } = submission;
      const waiters = this.remove(submission);
      if (outcome === 'conflict') this.answerAll(waiters, { tag: 'conflict' });
      else void this.answerOnceConfirmed(outcome, until, waiters);
    }
  }

  /** It is settled, but something higher may be in force by now: a majority tells what is, or nothing is told. */
  private async answerOnceConfirmed(
    outcome: RevisionResult['outcome'],
    until: number,
    waiters: Waiter[],
  ): Promise<void> {
    const { clock, random } = this.kernel.host;
    while (!(await this.register.confirm().catch(() => false))) {
      if (clock.now() >= until) {
        const detail = 'settled, but no majority tells what is in force';
        const failure = new HarecrossError({ tag: 'no_majority', step: STEP, peer: this.kernel.self, detail });
        for (const waiter of waiters) waiter.reject(failure);
        return;
      }
      await sleep(clock, REGISTER.submitPollMs * (0.5 + random.next()));
    }
    this.answerAll(waiters, resultFrom(this.register.value!, outcome));
  }

  /** The one to work on: of the highest revision, the first that was sent. */
  private next(): Submission | undefined {
    let highest: Submission | undefined;
    for (const submission of this.pending.values())
      if (!highest || submission.revision > highest.revision) highest = submission;
    return highest;
  }

  /**
   * Works on the highest submission until none is left, or its time has passed. Senders may have left: several tries of one revision, at
   * several nodes, each go on until they see it in force. They do not fight for long: the register's retries are spread out at random.
   */
  private async workThroughQueue(): Promise<void> {
    if (this.working) return;
    this.working = true;
    try {
      for (let submission = this.next(); submission; submission = this.next()) await this.attempt(submission);
    } finally {
      this.working = false;
    }
  }

  private async attempt(submission: Submission): Promise<void> {
    const { clock } = this.kernel.host;
    try {
      const settled = await this.register.change(
        (value) => this.applySubmission(value, submission),
        Math.min(REGISTER.submitAttemptMs, submission.until - clock.now()),
        () => this.isPending(submission),
      );
      this.answerAll(this.remove(submission), settled);
    } catch (error) {
      // No longer wanted: settled meanwhile.
      if (!this.isPending(submission)) return;
      if (toErrorDetails(error, STEP, this.kernel.self).tag === 'no_majority' && clock.now() < submission.until) return;
      const failure = this.register.value ? error : notReadyError(this.kernel, STEP);
      for (const waiter of this.remove(submission)) waiter.reject(failure);
    }
  }

  /**
   * What becomes of an order on top of a value. A refusal is an outcome and not thrown here: the register then has the value that it
   * was judged by accepted anew, so that an earlier try of the same order, accepted by a few disks, can't come into force after it.
   */
  private applySubmission(value: FleetValue, submission: Submission): { next?: FleetValue; out: SubmissionResult } {
    const outcome = revisionOutcome(value, submission);
    if (outcome !== 'open') return { out: resultFrom(value, outcome) };
    const { changeId, config, document } = submission;
    const faults = this.machineFaults(value, config);
    if (faults.length) return { out: { tag: 'invalid', faults } };
    const next = withConfig(value, { changeId, config, document, revised: submission });
    return { next, out: resultFrom(next, 'accepted') };
  }
}
