/** The acceptor (voter) role of the consensus register: promises and accepted values on this node's disk. */
import { HarecrossError, REGISTER, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import { deserializeValue } from '../value/value-text.js';
import type { FleetValue } from '../value/fleet-value.js';
import { proposerOf, type AcceptResponse, type PrepareResponse, type VoterState } from './ballots.js';

/** Asks a voter to promise a ballot. */
interface PrepareRequest {
  disk: string;
  ballot: string;
  /** Set for a repair, which has priority over operator orders; absent for all other ballots. */
  repair?: true;
}

/** A proposer that repairs; ballots of others that are not for a repair are refused until `until` (monotonic clock, ms). */
interface Reservation {
  proposer: string;
  until: number;
}

/** Asks a voter to accept a value under a ballot. */
interface AcceptRequest {
  disk: string;
  ballot: string;
  value: string;
  /** `PrepareResponse.at` of this voter's promise; absent in requests of older nodes. */
  promisedAt?: number;
}

/**
 * Answers ballots according to what this disk has promised and accepted. Every answer waits until its state is synced, and a
 * promise is never withdrawn: each ballot below the highest promised one is refused. A value that arrives long after the
 * promise is refused too, because it was delayed in a buffer while a machine was frozen or partitioned.
 */
export class Acceptor {
  /** The value accepted last, whether it was chosen or not. */
  accepted?: FleetValue;
  /** The ballot of `accepted`. */
  acceptedBallot = '';
  /** The reservation of the latest repair. In memory only: an additional or missing refusal doesn't affect safety. */
  private reservation?: Reservation;

  constructor(
    private kernel: Kernel,
    private store: DurableState,
    readonly disk: string,
    /** The latest revision that this node knows to be chosen. */
    private chosenRevision: () => number,
  ) {
    const saved = store.acceptorState();
    if (saved.value) {
      this.accepted = deserializeValue(saved.value);
      this.acceptedBallot = saved.ballot;
    }
    kernel.on('RegPrepare', (request: PrepareRequest) => this.prepare(request));
    kernel.on('RegAccept', (request: AcceptRequest) => this.accept(request));
    kernel.on('RegRead', (request: { disk: string }) => this.voterState(request));
  }

  private requireOwnDisk(disk: string, step: string): void {
    if (disk !== this.disk) throw new HarecrossError({ tag: 'unknown_disk', step, peer: this.kernel.self, disk });
  }

  private async prepare(request: PrepareRequest): Promise<PrepareResponse> {
    const { store, disk } = this;
    this.requireOwnDisk(request.disk, 'RegPrepare');
    const at = this.kernel.host.clock.now();
    if (request.repair)
      this.reservation = { proposer: proposerOf(request.ballot), until: at + REGISTER.repairReservationMs };
    else if (this.isReservedForAnother(request.ballot, at)) {
      const { promised, ballot } = store.acceptorState();
      return { disk, ok: false, promised, ballot };
    }
    return store.db.commit((): PrepareResponse => {
      const saved = store.acceptorState();
      if (request.ballot <= saved.promised) return { disk, ok: false, promised: saved.promised, ballot: saved.ballot };
      store.saveAcceptorState({ ...saved, promised: request.ballot });
      return { disk, ok: true, promised: request.ballot, ballot: saved.ballot, value: saved.value, at };
    });
  }

  private isReservedForAnother(ballot: string, now: number): boolean {
    const { reservation } = this;
    return reservation !== undefined && now < reservation.until && reservation.proposer !== proposerOf(ballot);
  }

  private async accept(request: AcceptRequest): Promise<AcceptResponse> {
    const { store, disk } = this;
    this.requireOwnDisk(request.disk, 'RegAccept');
    const answer = await store.db.commit((): AcceptResponse => {
      const saved = store.acceptorState();
      if (request.ballot < saved.promised || this.isLate(request)) return { disk, ok: false, promised: saved.promised };
      store.saveAcceptorState({ promised: request.ballot, ballot: request.ballot, value: request.value });
      return { disk, ok: true, promised: request.ballot };
    });
    // Not exposed before the commit is synced: a value that a majority has accepted is chosen.
    if (answer.ok && request.ballot >= this.acceptedBallot) {
      this.accepted = deserializeValue(request.value);
      this.acceptedBallot = request.ballot;
    }
    return answer;
  }

  /** Whether the promise for this request is older than `promiseLifeMs` or was given before this process started. */
  private isLate(request: AcceptRequest): boolean {
    if (request.promisedAt === undefined) return false;
    const ageMs = this.kernel.host.clock.now() - request.promisedAt;
    return request.promisedAt < this.kernel.startedAt || ageMs < 0 || ageMs > REGISTER.promiseTtlMs;
  }

  private voterState(request: { disk: string }): VoterState {
    this.requireOwnDisk(request.disk, 'RegRead');
    return {
      disk: this.disk,
      rev: this.accepted?.rev ?? 0,
      known: this.chosenRevision(),
      ballot: this.acceptedBallot,
    };
  }
}
