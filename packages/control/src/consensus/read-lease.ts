/** The read lease of the agreed value: how long a node may serve from its copy after a majority confirmed it. */
import { REGISTER, type Clock } from '@harecross/kernel';
import { Subject } from 'rxjs';

/**
 * A lease measured on the monotonic clock only, so wall clock steps don't affect it. It starts when the confirming query was
 * sent, not when the answers arrived.
 */
export class ReadLease {
  /** Emits when the lease becomes valid after it was not. */
  readonly started$ = new Subject<void>();
  private confirmedAt = -Infinity;
  readonly leaseMs: number;

  constructor(
    private clock: Clock,
    /** Time within which an acknowledged change must be in force on every node; the default is `REGISTER.applyMs`. */
    applyMs: number | undefined,
  ) {
    this.leaseMs = (applyMs ?? REGISTER.applyMs) * REGISTER.readLeaseShare;
  }

  valid(): boolean {
    return this.ageMs() <= this.leaseMs;
  }

  /** Time since the query that last renewed the lease was sent (ms). */
  ageMs(): number {
    return this.clock.now() - this.confirmedAt;
  }

  /** Whether a majority confirmed the value in answer to a query sent at this time or later. */
  renewedSince(askedAt: number): boolean {
    return this.confirmedAt >= askedAt;
  }

  /** Whether the lease has ever been valid since the process started. */
  get everValid(): boolean {
    return this.confirmedAt > -Infinity;
  }

  /** Renews the lease after a majority confirmed the value in answer to a query sent at `askedAt`. Nothing else renews it. */
  renew(askedAt: number): void {
    const wasValid = this.valid();
    this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    if (!wasValid && this.valid()) this.started$.next();
  }
}
