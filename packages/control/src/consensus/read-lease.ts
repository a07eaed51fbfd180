/** The read lease of the agreed value: how long a node may serve by it after a majority confirmed it. */
import { REGISTER, type Clock } from '@harecross/kernel';
import { Subject } from 'rxjs';

/**
 * A lease by the steady clock alone: it runs from the moment at which the confirming question was asked, not from
 * its answer, and a step of the wall clock does not touch it.
 */
export class ReadLease {
  /** Tells when the lease becomes valid that was not. */
  readonly started$ = new Subject<void>();
  private confirmedAt = -Infinity;
  readonly leaseMs: number;

  constructor(
    private clock: Clock,
    /** A change has to be in force everywhere this long after its acknowledgement. */
    applyMs: number | undefined,
  ) {
    this.leaseMs = (applyMs ?? REGISTER.applyMs) * REGISTER.readLeaseShare;
  }

  valid(): boolean {
    return this.ageMs() <= this.leaseMs;
  }

  /** Time since the question whose answer renewed it last (ms). */
  ageMs(): number {
    return this.clock.now() - this.confirmedAt;
  }

  /** Whether a majority confirmed the value to a question asked at this time or later. */
  renewedSince(askedAt: number): boolean {
    return this.confirmedAt >= askedAt;
  }

  /** Whether it was ever valid in this life of the process. */
  get everValid(): boolean {
    return this.confirmedAt > -Infinity;
  }

  /** The one function that renews the lease: a majority confirmed the value to a question asked at this time. */
  renew(askedAt: number): void {
    const was = this.valid();
    this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    if (!was && this.valid()) this.started$.next();
  }
}
