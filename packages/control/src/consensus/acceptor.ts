/** The voter's part of the consensus register: promises and accepted values on this node's disk. */
import { HarecrossError, REGISTER, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import { deserializeValue } from '../value/value-text.js';
import type { FleetValue } from '../value/fleet-value.js';
import { proposerOf, type AcceptResponse, type PrepareResponse, type VoterState } from './ballots.js';

/** A ballot to promise. */
interface PrepareRequest {
  disk: string;
  ballot: string;
  /** It is for a repair, which orders must not outbid; other ballots leave it out. */
  repair?: true;
}

/** For whom ballots of others are refused, and until when (steady clock, ms). */
interface Reservation {
  proposer: string;
  until: number;
}

/** A value to accept under a ballot. */
interface AcceptRequest {
  disk: string;
  ballot: string;
  value: string;
  /** `Prepared.at` of this voter's promise; older nodes leave it out. */
  promisedAt?: number;
}

/**
 * Answers ballots by what this disk has promised and accepted. Nothing is answered before it is synced, and a
 * promise is never taken back: it refuses every ballot below the highest one promised. A value that comes long
 * after the promise is refused too: it lay in a buffer while a machine stood still or was cut off.
 */
export class Acceptor {
  /** What was accepted last, chosen or not, and under which ballot. */
  accepted?: FleetValue;
  acceptedBallot = '';
  /** Of a proposer that repairs; in memory only, since a refusal more or less decides nothing. */
  private reservation?: Reservation;

  constructor(
    private kernel: Kernel,
    private store: DurableState,
    readonly disk: string,
    /** The revision that this node knows to be chosen. */
    private knownRev: () => number,
  ) {
    const saved = store.acceptorState();
    if (saved.value) {
      this.accepted = deserializeValue(saved.value);
      this.acceptedBallot = saved.ballot;
    }
    kernel.on('RegPrepare', (b: PrepareRequest) => this.prepare(b));
    kernel.on('RegAccept', (b: AcceptRequest) => this.accept(b));
    kernel.on('RegRead', (b: { disk: string }) => this.voterState(b));
  }

  private mustBeOurs(disk: string, step: string): void {
    if (disk !== this.disk) throw new HarecrossError({ tag: 'unknown_disk', step, peer: this.kernel.self, disk });
  }

  private async prepare(b: PrepareRequest): Promise<PrepareResponse> {
    const { store, disk } = this;
    this.mustBeOurs(b.disk, 'RegPrepare');
    const at = this.kernel.host.clock.now();
    if (b.repair) this.reservation = { proposer: proposerOf(b.ballot), until: at + REGISTER.repairReservationMs };
    else if (this.isReservedForAnother(b.ballot, at)) {
      const { promised, ballot } = store.acceptorState();
      return { disk, ok: false, promised, ballot };
    }
    return store.db.commit((): PrepareResponse => {
      const saved = store.acceptorState();
      if (b.ballot <= saved.promised) return { disk, ok: false, promised: saved.promised, ballot: saved.ballot };
      store.saveAcceptorState({ ...saved, promised: b.ballot });
      return { disk, ok: true, promised: b.ballot, ballot: saved.ballot, value: saved.value, at };
    });
  }

  private isReservedForAnother(ballot: string, now: number): boolean {
    const { reservation } = this;
    return reservation !== undefined && now < reservation.until && reservation.proposer !== proposerOf(ballot);
  }

  private async accept(b: AcceptRequest): Promise<AcceptResponse> {
    const { store, disk } = this;
    this.mustBeOurs(b.disk, 'RegAccept');
    const answer = await store.db.commit((): AcceptResponse => {
      const saved = store.acceptorState();
      if (b.ballot < saved.promised || this.isLate(b)) return { disk, ok: false, promised: saved.promised };
      store.saveAcceptorState({ promised: b.ballot, ballot: b.ballot, value: b.value });
      return { disk, ok: true, promised: b.ballot };
    });
    // Told to nobody before it is synced: a value that a majority has accepted is chosen.
    if (answer.ok && b.ballot >= this.acceptedBallot) {
      this.accepted = deserializeValue(b.value);
      this.acceptedBallot = b.ballot;
    }
    return answer;
  }

  /** Whether the promise to this ballot was given too long ago, or before this process began. */
  private isLate(b: AcceptRequest): boolean {
    if (b.promisedAt === undefined) return false;
    const ageMs = this.kernel.host.clock.now() - b.promisedAt;
    return b.promisedAt < this.kernel.startedAt || ageMs < 0 || ageMs > REGISTER.promiseTtlMs;
  }

  private voterState(b: { disk: string }): VoterState {
    this.mustBeOurs(b.disk, 'RegRead');
    return { disk: this.disk, rev: this.accepted?.rev ?? 0, known: this.knownRev(), ballot: this.acceptedBallot };
  }
}
