import { Observable, Subject, from, mergeMap, type Subscription } from 'rxjs';
import type { Clock, Rnd } from './host.js';

/**
 * Ticks by an injected clock, with up to a tenth of random shift so that nodes do not tick in step.
 * @example
 * every(clock, 500, rnd).pipe(exhaustMap(() => gossip())).subscribe();
 */
export function every(clock: Clock, ms: number, rnd?: Rnd): Observable<void> {
  return new Observable((o) => {
    let cancel = () => {};
    const next = () => {
      const shift = rnd ? ms * 0.1 * (rnd.next() - 0.5) : 0;
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
 * const sub = loop(clock, 500, rnd, async () => { await gossip() });
 */
export function loop(clock: Clock, ms: number, rnd: Rnd, round: () => Promise<unknown>): Subscription {
  let busy = false;
  const over = (): void => {
    busy = false;
  };
  return every(clock, ms, rnd).subscribe(() => {
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
export function within<T>(clock: Clock, ms: number, p: Promise<T>): Promise<T | undefined> {
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
export function gather<T>(calls: Promise<T>[], enough: (got: T[]) => boolean): Promise<T[]> {
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
export interface HoldingInfo {
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
export class Holding<A, B> {
  private urgent: (() => void)[] = [];
  private routine: (() => void)[] = [];
  private go = new Subject<() => Promise<void>>();
  private busy = 0;
  taken = 0;
  rejected = 0;
  /** The most it ever held. */
  most = 0;

  constructor(
    private size: number,
    private wide: number,
    private work: (a: A) => Promise<B>,
  ) {
    this.go.pipe(mergeMap((f) => from(f()))).subscribe();
  }

  /** Changes the bound; what is already held stays. */
  resize(size: number): void {
    this.size = size;
  }

  /** As told to operators. */
  told(name: string): HoldingInfo {
    return { name, length: this.length, most: this.most, bound: this.size };
  }

  get length(): number {
    return this.urgent.length + this.routine.length + this.busy;
  }

  offer(a: A, urgent = false): Promise<B> | undefined {
    if (this.length >= (urgent ? this.size : this.size / 2)) {
      this.rejected++;
      return undefined;
    }
    this.taken++;
    this.most = Math.max(this.most, this.length + 1);
    return new Promise((res, rej) => {
      const run = () => {
        this.busy++;
        this.go.next(() =>
          this.work(a)
            .then(res, rej)
            .finally(() => {
              this.busy--;
              this.pump();
            }),
        );
      };
      (urgent ? this.urgent : this.routine).push(run);
      this.pump();
    });
  }

  private pump(): void {
    while (this.busy < this.wide) {
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
  private at: number;
  refused = 0;

  constructor(
    private clock: Clock,
    private x: { perS: number; share: number; burst: number },
  ) {
    this.tokens = x.burst;
    this.at = clock.now();
  }

  /** Notes a first try. */
  first(): void {
    this.tokens = Math.min(this.x.burst, this.tokens + this.x.share);
  }

  /** Whether one more try may be made. */
  retry(urgent: boolean): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.x.burst, this.tokens + ((now - this.at) / 1000) * this.x.perS);
    this.at = now;
    if (this.tokens < 1 + (urgent ? 0 : this.x.burst / 2)) {
      this.refused++;
      return false;
    }
    this.tokens--;
    return true;
  }
}
