import { Observable, Subject, from, mergeMap, type Subscription } from 'rxjs';
import type { Clock, RandomSource } from './host.js';

/**
 * Emits every `ms` milliseconds of an injected clock. With `random`, each interval varies within a range of a tenth of `ms`, so that
 * nodes do not tick in step.
 * @example
 * periodicTicks(clock, 500, random).pipe(exhaustMap(() => gossip())).subscribe();
 */
export function periodicTicks(clock: Clock, ms: number, random?: RandomSource): Observable<void> {
  return new Observable((subscriber) => {
    let cancel = () => {};
    const scheduleTick = () => {
      const jitter = random ? ms * 0.1 * (random.next() - 0.5) : 0;
      cancel = clock.after(ms + jitter, () => {
        subscriber.next();
        if (!subscriber.closed) scheduleTick();
      });
    };
    scheduleTick();
    return () => cancel();
  });
}

/**
 * Runs an asynchronous task periodically and never concurrently with itself: a tick during an unfinished run is skipped.
 * @example
 * const subscription = runPeriodically(clock, 500, random, async () => { await gossip() });
 */
export function runPeriodically(
  clock: Clock,
  ms: number,
  random: RandomSource,
  task: () => Promise<unknown>,
): Subscription {
  let running = false;
  const onSettled = (): void => {
    running = false;
  };
  return periodicTicks(clock, ms, random).subscribe(() => {
    if (running) return;
    running = true;
    task().then(onSettled, onSettled);
  });
}

/**
 * Resolves after `ms` milliseconds of the injected clock.
 * @example
 * await sleep(clock, 60);
 */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}

/**
 * The result of a promise, or undefined if it is not settled within `ms` milliseconds.
 * @example
 * const count = await withTimeout(clock, 700, countListeners());
 */
export function withTimeout<T>(clock: Clock, ms: number, promise: Promise<T>): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = clock.after(ms, () => resolve(undefined));
    promise.then(
      (result) => {
        cancel();
        resolve(result);
      },
      (error) => {
        cancel();
        reject(error);
      },
    );
  });
}

/**
 * Collects results until `isEnough` accepts those so far or all calls have settled. Rejected calls are skipped.
 * @example
 * const results = await collectUntil(calls, (results) => results.length > calls.length / 2);
 */
export function collectUntil<T>(calls: Promise<T>[], isEnough: (results: T[]) => boolean): Promise<T[]> {
  return new Promise((resolve) => {
    const results: T[] = [];
    let pending = calls.length;
    if (pending === 0) resolve(results);
    for (const call of calls) {
      call.then(
        (result) => {
          results.push(result);
          pending--;
          if (pending === 0 || isEnough(results)) resolve(results);
        },
        () => {
          pending--;
          if (pending === 0) resolve(results);
        },
      );
    }
  });
}

/** The state of a queue as reported to operators. `most` is its peak length, `bound` its capacity. */
export interface QueueInfo {
  name: string;
  length: number;
  most: number;
  bound: number;
}

/**
 * A bounded queue in front of a handler with limited concurrency. Urgent items are handled first, and routine items may fill only half
 * of the capacity. An item that does not fit is rejected immediately.
 * @example
 * const queue = new BoundedQueue(1000, 64, (request) => handle(request));
 * const result = queue.offer(request, true); // undefined if the queue is full
 */
export class BoundedQueue<Item, Result> {
  private urgent: (() => void)[] = [];
  private routine: (() => void)[] = [];
  private starts$ = new Subject<() => Promise<void>>();
  private runningCount = 0;
  acceptedCount = 0;
  rejectedCount = 0;
  /** The maximum length so far, including items being handled. */
  peakLength = 0;

  constructor(
    private capacity: number,
    private concurrency: number,
    private handler: (item: Item) => Promise<Result>,
  ) {
    this.starts$.pipe(mergeMap((start) => from(start()))).subscribe();
  }

  /** Changes the capacity; items already accepted stay. */
  resize(capacity: number): void {
    this.capacity = capacity;
  }

  describe(name: string): QueueInfo {
    return { name, length: this.length, most: this.peakLength, bound: this.capacity };
  }

  get length(): number {
    return this.urgent.length + this.routine.length + this.runningCount;
  }

  /** Accepts an item and returns its result, or undefined if there is no room for it. */
  offer(item: Item, urgent = false): Promise<Result> | undefined {
    if (this.length >= (urgent ? this.capacity : this.capacity / 2)) {
      this.rejectedCount++;
      return undefined;
    }
    this.acceptedCount++;
    this.peakLength = Math.max(this.peakLength, this.length + 1);
    return new Promise((resolve, reject) => {
      const run = () => {
        this.runningCount++;
        this.starts$.next(() =>
          this.handler(item)
            .then(resolve, reject)
            .finally(() => {
              this.runningCount--;
              this.startWaiting();
            }),
        );
      };
      (urgent ? this.urgent : this.routine).push(run);
      this.startWaiting();
    });
  }

  private startWaiting(): void {
    while (this.runningCount < this.concurrency) {
      const run = this.urgent.shift() ?? this.routine.shift();
      if (!run) return;
      run();
    }
  }
}

/**
 * A token bucket that limits retries. It gains `share` tokens for each first attempt and `perS` tokens per second, up to `burst`. While
 * the target is unavailable, unlimited retries would only add to its load when it recovers. Urgent requests may spend all tokens;
 * routine requests may spend only the upper half of the bucket.
 * @example
 * const budget = new RetryBudget(clock, { perS: 60, share: 0.5, burst: 240 });
 * budget.recordFirstAttempt();
 * if (!budget.tryRetry(urgent)) throw error;
 */
export class RetryBudget {
  private tokens: number;
  private refilledAt: number;
  rejectedCount = 0;

  constructor(
    private clock: Clock,
    private options: { perS: number; share: number; burst: number },
  ) {
    this.tokens = options.burst;
    this.refilledAt = clock.now();
  }

  recordFirstAttempt(): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.share);
  }

  /** Takes a token for one retry. Returns false if too few are left. */
  tryRetry(urgent: boolean): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.options.burst, this.tokens + ((now - this.refilledAt) / 1000) * this.options.perS);
    this.refilledAt = now;
    if (this.tokens < 1 + (urgent ? 0 : this.options.burst / 2)) {
      this.rejectedCount++;
      return false;
    }
    this.tokens--;
    return true;
  }
}
