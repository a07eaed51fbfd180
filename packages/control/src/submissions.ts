/**
 * Configurations that operators send with a revision of their own, from the first try until their outcome is settled. What settles
 * one is the agreed value alone, by content: see revision-outcomes.ts.
 *
 * An order that waits here may still come into force until C.submitMs after it was last sent to this node, whether its sender waits
 * or not, and only while nothing as high is in force; after that this node forgets it and tries no more.
 */
import { C, Failure, faultOf, retryAfter, sleep, type Kernel } from '@harecross/kernel';
import { configFaults, type FleetConfig, type PathFault } from '@harecross/schema';
import { notReady, type Register } from './register.js';
import { digestOf, revisionOutcome, type RevisionOrder, type RevisionOutcome } from './revision-outcomes.js';
import { withConfig, type Value } from './value.js';

const STEP = 'SubmitConfig';

/** What is in force after an order with a revision, that one or a higher one, and what became of the order. */
export interface Revised {
  version: number;
  revision: number;
  outcome: 'accepted' | 'overtaken' | 'forgotten';
}

/** How an order ended: answered with what is in force, or refused. */
type Settled = { tag: 'answer'; answer: Revised } | { tag: 'conflict' } | { tag: 'invalid'; faults: PathFault[] };

interface Waiter {
  resolve: (answer: Revised) => void;
  reject: (why: unknown) => void;
}

/** A configuration that is to come into force, with all who wait for it: it may be sent again and again. */
interface Submission extends RevisionOrder {
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
 * if (this.changing >= C.changesAtOnceN) throw overloaded(k, 'PlanMoves');
 */
export function overloaded(k: Kernel, step: string): Failure {
  return new Failure({ tag: 'overloaded', step, peer: k.self, retryAfterMs: retryAfter(k.host.rnd, C.retryMs) });
}

/** The answer that a value gives to an order that is settled. */
function settledBy(value: Value, outcome: Exclude<RevisionOutcome, 'open'>): Settled {
  if (outcome === 'conflict') return { tag: 'conflict' };
  return { tag: 'answer', answer: { version: value.version, revision: value.revision!, outcome } };
}

/**
 * The bounded queue of orders with a revision at this node. One of them, the highest, is at work at a time: it settles the lower ones.
 * @example
 * await submissions.submit({ revision: 17, config }) // { version: 5, revision: 17, outcome: 'accepted' }
 */
export class Submissions {
  private readonly waiting = new Map<string, Submission>();
  private working = false;

  constructor(
    private readonly k: Kernel,
    private readonly reg: Register,
    private readonly machineFaults: (value: Value, config: FleetConfig) => PathFault[],
  ) {
    k.keep(reg.value$.subscribe(() => this.settle()));
  }

  /** Takes an order, new or sent again, and answers when it is settled. */
  submit(request: { revision: number; changeId?: string; config: unknown; document?: unknown }): Promise<Revised> {
    const faults = configFaults(request.config);
    if (faults.length) throw this.invalid(faults);
    const submission = this.queued(request);
    submission.until = this.k.host.clock.now() + C.submitMs;
    const answer = new Promise<Revised>((resolve, reject) => {
      submission.waiters.push({ resolve, reject });
    });
    this.settle();
    void this.bringIntoForce();
    return answer;
  }

  /** The submission with this content, or a new one; `overloaded` where the queue, or the list of those who wait for it, is full. */
  private queued(request: { revision: number; changeId?: string; config: unknown; document?: unknown }): Submission {
    const { revision, config, document } = request;
    const digest = digestOf(config, document);
    const key = `${revision} ${digest}`;
    const known = this.waiting.get(key);
    if (known && known.waiters.length >= C.submissionWaitsN) throw overloaded(this.k, STEP);
    if (known) return known;
    if (this.waiting.size >= C.submissionsN) throw overloaded(this.k, STEP);
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
    this.waiting.set(key, submission);
    return submission;
  }

  private invalid(faults: PathFault[]): Failure {
    return new Failure({ tag: 'invalid_config', step: STEP, peer: this.k.self, faults });
  }

  /** Names what is in force, so that the caller can tell its own order from the other. */
  private conflict(): Failure {
    const { version, revision } = this.reg.value!;
    return new Failure({ tag: 'conflict', step: STEP, peer: this.k.self, version, revision });
  }

  /** Whether it is still one to work on; one that was sent again later is another. */
  private wanted(submission: Submission): boolean {
    return this.waiting.get(submission.key) === submission;
  }

  /** The one function that takes a submission out; gives who is to be told. */
  private takeOut(submission: Submission): Waiter[] {
    if (this.wanted(submission)) this.waiting.delete(submission.key);
    return submission.waiters.splice(0);
  }

  private tell(waiters: Waiter[], settled: Settled): void {
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
  private settle(): void {
    const { value } = this.reg;
    if (!value) return;
    for (const submission of this.waiting.values()) {
      const outcome = revisionOutcome(value, submission);
      if (outcome === 'open') continue;
      const { until } = submission;
      const waiters = this.takeOut(submission);
      if (outcome === 'conflict') this.tell(waiters, { tag: 'conflict' });
      else void this.tellConfirmed(outcome, until, waiters);
    }
  }

  /** It is settled, but something higher may be in force by now: a majority tells what is, or nothing is told. */
  private async tellConfirmed(outcome: Revised['outcome'], until: number, waiters: Waiter[]): Promise<void> {
    const { clock, rnd } = this.k.host;
    while (!(await this.reg.confirm().catch(() => false))) {
      if (clock.now() >= until) {
        const detail = 'settled, but no majority tells what is in force';
        const failure = new Failure({ tag: 'no_majority', step: STEP, peer: this.k.self, detail });
        for (const waiter of waiters) waiter.reject(failure);
        return;
      }
      await sleep(clock, C.submitAskMs * (0.5 + rnd.next()));
    }
    this.tell(waiters, settledBy(this.reg.value!, outcome));
  }

  /** The one to work on: of the highest revision, the first that was sent. */
  private next(): Submission | undefined {
    let highest: Submission | undefined;
    for (const submission of this.waiting.values())
      if (!highest || submission.revision > highest.revision) highest = submission;
    return highest;
  }

  /**
   * Works on the highest submission until none is left, or its time has passed. Senders may have left: several tries of one revision, at
   * several nodes, each go on until they see it in force. They do not fight for long: the register's retries are spread out at random.
   */
  private async bringIntoForce(): Promise<void> {
    if (this.working) return;
    this.working = true;
    try {
      for (let submission = this.next(); submission; submission = this.next()) await this.tryOnce(submission);
    } finally {
      this.working = false;
    }
  }

  private async tryOnce(submission: Submission): Promise<void> {
    const { clock } = this.k.host;
    try {
      const settled = await this.reg.change(
        (value) => this.applied(value, submission),
        Math.min(C.submitTryMs, submission.until - clock.now()),
        () => this.wanted(submission),
      );
      this.tell(this.takeOut(submission), settled);
    } catch (error) {
      // No longer wanted: settled meanwhile.
      if (!this.wanted(submission)) return;
      if (faultOf(error, STEP, this.k.self).tag === 'no_majority' && clock.now() < submission.until) return;
      const failure = this.reg.value ? error : notReady(this.k, STEP);
      for (const waiter of this.takeOut(submission)) waiter.reject(failure);
    }
  }

  /**
   * What becomes of an order on top of a value. A refusal is an outcome and not thrown here: the register then has the value that it
   * was judged by accepted anew, so that an earlier try of the same order, accepted by a few disks, can't come into force after it.
   */
  private applied(value: Value, submission: Submission): { next?: Value; out: Settled } {
    const outcome = revisionOutcome(value, submission);
    if (outcome !== 'open') return { out: settledBy(value, outcome) };
    const { changeId, config, document } = submission;
    const faults = this.machineFaults(value, config);
    if (faults.length) return { out: { tag: 'invalid', faults } };
    const next = withConfig(value, { changeId, config, document, revised: submission });
    return { next, out: settledBy(next, 'accepted') };
  }
}
