import { Observable, Subject, from, mergeMap, type Subscription } from 'rxjs';
import type { Clock, RandomSource } from './host.js';

/**
 * Ticks by an injected clock, with up to a tenth of random shift so that nodes do not tick in step.
 * @example
 * every(clock, 500, random).pipe(exhaustMap(() => gossip())).subscribe();
 */
export function periodicTicks(clock: Clock, ms: number, random?: RandomSource): Observable<void> {
  return new Observable((o) => {
    let cancel = () => {};
    const next = () => {
      const shift = random ? ms * 0.1 * (random.next() - 0.5) : 0;
      cancel = clock.after(ms + shift, () => {
        o.next();
        if (!o.closed) next();
      });
    };
    next();
    return () => cancel();
  });
}

/**
 * A loop that never overlaps itself: a tick that comes while the last round still works is skipped.
 * @example
 * const sub = loop(clock, 500, random, async () => { await gossip() });
 */
export function runPeriodically(
  clock: Clock,
  ms: number,
  random: RandomSource,
  round: () => Promise<unknown>,
): Subscription {
  let busy = false;
  const over = (): void => {
    busy = false;
  };
  return periodicTicks(clock, ms, random).subscribe(() => {
    if (busy) return;
    busy = true;
    round().then(over, over);
  });
}

/**
 * Resolves after ms of the injected clock.
 * @example
 * await sleep(clock, 60);
 */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((res) => {
    clock.after(ms, res);
  });
}

/**
 * The promise's result, or undefined after ms.
 * @example
 * const n = await within(clock, 700, count());
 */
export function withTimeout<T>(clock: Clock, ms: number, p: Promise<T>): Promise<T | undefined> {
  return new Promise((res, rej) => {
    const cancel = clock.after(ms, () => res(undefined));
    p.then(
      (x) => {
        cancel();
        res(x);
      },
      (e) => {
        cancel();
        rej(e);
      },
    );
  });
}

/**
 * Waits until enough of the calls succeeded, or until it is clear that they will not.
 * Gives all answers so far; later ones are dropped.
 * @example
 * const xs = await gather(calls, (got) => got.length > calls.length / 2);
 */
export function collectUntil<T>(calls: Promise<T>[], enough: (got: T[]) => boolean): Promise<T[]> {
  return new Promise((res) => {
    const got: T[] = [];
    let left = calls.length;
    if (left === 0) res(got);
    for (const c of calls) {
      c.then(
        (x) => {
          got.push(x);
          left--;
          if (left === 0 || enough(got)) res(got);
        },
        () => {
          left--;
          if (left === 0) res(got);
        },
      );
    }
  });
}

/** What a node tells of one of its holdings. */
export interface QueueInfo {
  name: string;
  length: number;
  most: number;
  bound: number;
}

/**
 * A bounded holding that joins two stages: what `offer` takes is worked on by at most `wide` at once,
 * urgent ones first. What it cannot take it rejects at once, and routine visits may fill only half of it.
 * @example
 * const h = new Holding(1000, 64, (v) => serve(v));
 * const p = h.offer(visit, true); // undefined when full
 */
export class BoundedQueue<A, B> {
  private urgent: (() => void)[] = [];
  private routine: (() => void)[] = [];
  private started = new Subject<() => Promise<void>>();
  private runningCount = 0;
  acceptedCount = 0;
  rejectedCount = 0;
  /** The most it ever held. */
  peakLength = 0;

  constructor(
    private capacity: number,
    private concurrency: number,
    private handler: (a: A) => Promise<B>,
  ) {
    this.started.pipe(mergeMap((f) => from(f()))).subscribe();
  }

  /** Changes the bound; what is already held stays. */
  resize(size: number): void {
    this.capacity = size;
  }

  /** As told to operators. */
  describe(name: string): QueueInfo {
    return { name, length: this.length, most: this.peakLength, bound: this.capacity };
  }

  get length(): number {
    return this.urgent.length + this.routine.length + this.runningCount;
  }

  offer(a: A, urgent = false): Promise<B> | undefined {
    if (this.length >= (urgent ? this.capacity : this.capacity / 2)) {
      this.rejectedCount++;
      return undefined;
    }
    this.acceptedCount++;
    this.peakLength = Math.max(this.peakLength, this.length + 1);
    return new Promise((res, rej) => {
      const run = () => {
        this.runningCount++;
        this.started.next(() =>
          this.handler(a)
            .then(res, rej)
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
      const f = this.urgent.shift() ?? this.routine.shift();
      if (!f) return;
      f();
    }
  }
}

/**
 * A budget for tries after the first: a share of the first tries, and a little by time. While what they ask for is
 * away, tries after the first would only add to what it finds when it is back. Urgent ones may spend all of it, routine
 * ones the upper half.
 * @example
 * const b = new RetryBudget(clock, { perS: 60, share: 0.5, burst: 240 });
 * b.first(); if (!b.retry(urgent)) give up;
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

  /** Notes a first try. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.share);
  }

  /** Whether one more try may be made. */
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
