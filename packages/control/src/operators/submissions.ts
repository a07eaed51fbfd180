/**
 * Configurations that operators submit with their own revision number, from the first attempt until the outcome is settled. The outcome
 * is decided by the content of the agreed value alone: see revision-outcomes.ts.
 *
 * A queued submission may still come into force until REGISTER.submitMs after it was last sent to this node, whether or not its sender
 * still waits, and only while no revision as high is in force. After that this node drops it and makes no further attempt.
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

/** The revision in force after a submission (its own or a higher one), and the outcome of the submission. */
export interface RevisionResult {
  version: number;
  revision: number;
  outcome: 'accepted' | 'overtaken' | 'forgotten';
}

/** How a submission ended: answered with what is in force, or refused. */
type SubmissionResult =
  { tag: 'answer'; answer: RevisionResult } | { tag: 'conflict' } | { tag: 'invalid'; faults: PathFault[] };

interface Waiter {
  resolve: (answer: RevisionResult) => void;
  reject: (why: unknown) => void;
}

/** A submitted configuration with all callers that wait for its outcome: the same one may be sent many times. */
interface Submission extends SubmittedRevision {
  key: string;
  changeId: string;
  config: FleetConfig;
  document?: string;
  /** Deadline (steady clock, ms): no attempt starts after it. */
  until: number;
  waiters: Waiter[];
}

/**
 * The error for a request that finds too many others in progress or queued at this node.
 * @example
 * if (this.changesInFlight >= REGISTER.concurrentChangeLimit) throw overloaded(kernel, 'PlanMoves');
 */
export function overloaded(kernel: Kernel, step: string): HarecrossError {
  return new HarecrossError({
    tag: 'overloaded',
    step,
    peer: kernel.self,
    retryAfterMs: jitteredRetryMs(kernel.host.random, REQUEST.retryMs),
  });
}

/** The result of a settled submission, from the value that settles it. */
function resultFrom(value: FleetValue, outcome: Exclude<RevisionOutcome, 'open'>): SubmissionResult {
  if (outcome === 'conflict') return { tag: 'conflict' };
  return { tag: 'answer', answer: { version: value.version, revision: value.revision!, outcome } };
}

/**
 * The bounded queue of submissions with a revision at this node. Only the highest one is attempted at a time: its outcome settles the
 * lower ones too.
 * @example
 * await submissions.submit({ revision: 17, config }) // { version: 5, revision: 17, outcome: 'accepted' }
 */
export class Submissions {
  private readonly pending = new Map<string, Submission>();
  private isProcessing = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly machineFaults: (value: FleetValue, config: FleetConfig) => PathFault[],
  ) {
    kernel.addSubscription(register.value$.subscribe(() => this.answerSettled()));
  }

  /** Queues a submission, new or repeated, and resolves when its outcome is settled. */
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
    void this.processQueue();
    return answer;
  }

  /** The queued submission with this content, or a new one; throws `overloaded` if the queue or the submission's list of waiters is full. */
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

  /** Contains the version and revision in force, so that the caller can tell its own submission from the other one. */
  private conflict(): HarecrossError {
    const { version, revision } = this.register.value!;
    return new HarecrossError({ tag: 'conflict', step: STEP, peer: this.kernel.self, version, revision });
  }

  /** Whether this submission is still queued; one with the same content that was queued after its removal is a different one. */
  private isPending(submission: Submission): boolean {
    return this.pending.get(submission.key) === submission;
  }

  /** Removes a submission and returns the waiters to answer. No other method removes one. */
  private remove(submission: Submission): Waiter[] {
    if (this.isPending(submission)) this.pending.delete(submission.key);
    return submission.waiters.splice(0);
  }

  private answerAll(waiters: Waiter[], result: SubmissionResult): void {
    for (const waiter of waiters) {
      switch (result.tag) {
        case 'answer':
          waiter.resolve(result.answer);
          break;
        case 'conflict':
          waiter.reject(this.conflict());
          break;
        case 'invalid':
          waiter.reject(this.invalid(result.faults));
          break;
      }
    }
  }

  /** Answers all submissions that the agreed value has settled, whichever node changed it. */
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

  /** Answers once a majority has confirmed what is in force now, which may be a higher revision; fails if none does in time. */
  private async answerOnceConfirmed(
    outcome: RevisionResult['outcome'],
    until: number,
    waiters: Waiter[],
  ): Promise<void> {
    const { clock, random } = this.kernel.host;
    while (!(await this.register.confirm().catch(() => false))) {
      if (clock.now() >= until) {
        const detail = 'the outcome is settled, but no majority of the voters confirmed which revision is in force';
        const failure = new HarecrossError({ tag: 'no_majority', step: STEP, peer: this.kernel.self, detail });
        for (const waiter of waiters) waiter.reject(failure);
        return;
      }
      await sleep(clock, REGISTER.submitPollMs * (0.5 + random.next()));
    }
    this.answerAll(waiters, resultFrom(this.register.value!, outcome));
  }

  /** The submission to attempt next: the first one sent of the highest revision. */
  private next(): Submission | undefined {
    let highest: Submission | undefined;
    for (const submission of this.pending.values())
      if (!highest || submission.revision > highest.revision) highest = submission;
    return highest;
  }

  /**
   * Attempts the highest submission until the queue is empty; one whose deadline has passed is removed. The sender may have disconnected:
   * if several nodes attempt the same revision, each goes on until it sees that revision in force. They don't block each other for long,
   * because the register's retries are spread randomly.
   */
  private async processQueue(): Promise<void> {
    if (this.isProcessing) return;
    this.isProcessing = true;
    try {
      for (let submission = this.next(); submission; submission = this.next()) await this.attempt(submission);
    } finally {
      this.isProcessing = false;
    }
  }

  private async attempt(submission: Submission): Promise<void> {
    const { clock } = this.kernel.host;
    try {
      const result = await this.register.change(
        (value) => this.applySubmission(value, submission),
        Math.min(REGISTER.submitAttemptMs, submission.until - clock.now()),
        () => this.isPending(submission),
      );
      this.answerAll(this.remove(submission), result);
    } catch (error) {
      // It was settled meanwhile.
      if (!this.isPending(submission)) return;
      if (toErrorDetails(error, STEP, this.kernel.self).tag === 'no_majority' && clock.now() < submission.until) return;
      const failure = this.register.value ? error : notReadyError(this.kernel, STEP);
      for (const waiter of this.remove(submission)) waiter.reject(failure);
    }
  }

  /**
   * The outcome of a submission on top of a value. A refusal is returned as an outcome and not thrown: the register then has the value
   * that it was based on accepted again, so that an earlier attempt of the same submission, accepted by a few disks only, can't come into
   * force after the refusal.
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
