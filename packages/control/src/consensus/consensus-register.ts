/** The consensus register: one agreed value, changed by ballots at a majority of the voters' disks. */
import {
  HarecrossError,
  Kernel,
  REGISTER,
  REQUEST,
  jitteredRetryMs,
  periodicTicks,
  registerPlugin as plug,
  runPeriodically,
  type PeerRpc,
} from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import { BehaviorSubject } from 'rxjs';
import type { MembershipTable } from '../membership/membership-table.js';
import { persistEmptiedState } from '../reconcile/forget-planner.js';
import { Acceptor } from './acceptor.js';
import { BallotGenerator } from './ballots.js';
import { Bootstrap } from './bootstrap.js';
import { BootstrapEligibility } from './bootstrap-eligibility.js';
import { ReadLease } from './read-lease.js';
import { Proposer, type ChangeFn } from './proposer.js';
import { Reader } from './reader.js';
import { deserializeValue, shareCachedText, cachedText } from '../value/value-text.js';
import { ValueFetcher } from './value-fetcher.js';
import { valueAnswer, type ValueRequest } from './value-transfer.js';
import type { FleetValue } from '../value/fleet-value.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    register: ConsensusRegister;
  }
}

/** The key under which a disk keeps the id of its fleet. Stored data: it stays. */
const FLEET_ROW = 'fleet';

/**
 * The consensus register: one compare-and-set value, agreed on by a majority of the voters' disks under ballots. There is no log
 * and no leader: whoever wants a change prepares a ballot, takes the highest accepted value, applies the change
 * and has it accepted. A value that changes the voters needs a majority of the old and of the new ones, until the next
 * change; one voter comes or goes at a time, or one is replaced by another.
 * @example
 * await register.change((v) => ({ next: { ...v, version: v.version + 1 }, out: v.version + 1 }));
 */
export class ConsensusRegister {
  readonly value$ = new BehaviorSubject<FleetValue | undefined>(undefined);
  readonly disk?: string;
  private readonly lease: ReadLease;
  private readonly ballots: BallotGenerator;
  private readonly acceptor?: Acceptor;
  private readonly proposer: Proposer;
  private readonly reader: Reader;
  private renewingExpiredLease = false;
  private readonly fetcher: ValueFetcher;
  private readonly state?: DurableState;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {
    const { clock, random, db } = kernel.host;
    this.lease = new ReadLease(clock, kernel.host.config.applyMs);
    this.ballots = new BallotGenerator(kernel);
    if (db) {
      this.state = kernel.use('state');
      this.disk = this.state.get('disk')!;
      membership.updateOwnState({ disk: this.disk });
      this.acceptor = new Acceptor(kernel, this.state, this.disk, () => this.value?.rev ?? 0);
      persistEmptiedState(kernel, membership, this, this.state);
    }
    const ask = <T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] =>
      this.callVoters<T>(disks, method, body);
    const learn = (value: FleetValue): void => this.learn(value);
    this.fetcher = new ValueFetcher(kernel, membership, {
      learn,
      value: () => this.value,
      readText: (text) => this.readText(text),
    });
    this.proposer = new Proposer(kernel, this.ballots, {
      ask,
      learn,
      newestKnown: () => this.newestKnown(),
      ownDisk: this.disk,
    });
    this.reader = new Reader(kernel, membership, this.ballots, this.lease, this.acceptor, {
      ask,
      learn,
      value: () => this.value,
      peerOf: (disk) => this.peerOf(disk),
      fetch: (peer) => this.fetcher.fetch(peer),
      readByBallot: () => this.read(),
    });
    kernel.onNewerRevision = (revision, peer) => this.fetcher.fetchNewer(revision, peer);
    kernel.on('RegGet', (request: ValueRequest) => valueAnswer(request, this.value$.value));
    kernel.addSubscription(
      runPeriodically(clock, REGISTER.confirmMs, random, async () => this.isConfirmationDue() && this.confirm()),
    );
    this.startFirstConfirmation();
    // Cut off before, and now somebody is there again: the periodic confirmation may still be waiting for calls that were lost.
    kernel.addSubscription(
      membership.memberStateChanged$.subscribe((m) => m.state === 'live' && void this.renewExpiredLease()),
    );
    if (this.state) {
      const right = new BootstrapEligibility(kernel, this.state);
      this.answerIdentity(this.state, right);
      if (right.seeds) this.startBootstrap(right);
    }
  }

  private startBootstrap(right: BootstrapEligibility): void {
    const { kernel } = this;
    const { clock, random } = kernel.host;
    const learn = (value: FleetValue): void => this.learn(value);
    const bootstrap = new Bootstrap(kernel, this.membership, this.ballots, right, () => this.value, learn);
    kernel.addSubscription(runPeriodically(clock, REGISTER.bootstrapEveryMs, random, () => bootstrap.tryBootstrap()));
  }

  /** Tells who founds the fleet what this disk is, and whether it could found one itself. */
  private answerIdentity(state: DurableState, right: BootstrapEligibility): void {
    this.kernel.on('RegWho', () => ({
      disk: this.disk,
      fleet: state.get(FLEET_ROW),
      mayFound: right.seeds !== undefined,
    }));
  }

  /** Until the first confirmation, tries often and not one after another: whom we ask may itself not be there yet. */
  private startFirstConfirmation(): void {
    const { clock, random } = this.kernel.host;
    let tries = 0;
    let skipped = 0;
    const first = periodicTicks(clock, REGISTER.firstConfirmMs, random).subscribe(() => {
      if (this.wasEverConfirmed()) {
        first.unsubscribe();
        return;
      }
      if (tries >= (this.membership.isLargeFleet() ? 1 : REGISTER.firstConfirmConcurrency)) return;
      // The core is not there: all who wait for it must not keep it busy when it comes.
      // Nor may a large fleet that starts together keep those busy whom all its nodes know.
      const paced = Math.ceil(
        this.membership.scaledPeriodMs(REGISTER.firstConfirmMs, REGISTER.firstConfirmPerMemberMs) /
          REGISTER.firstConfirmMs,
      );
      const late = clock.now() - this.kernel.startedAt > REGISTER.firstConfirmEagerMs;
      if (++skipped % (late ? Math.max(paced, REGISTER.firstConfirmLateDivisor) : paced) !== 0) return;
      tries++;
      void this.confirm()
        .catch(() => undefined)
        .finally(() => {
          tries--;
        });
    });
    this.kernel.addSubscription(first);
  }

  /** Confirms at once where a confirmation was had in this life of the process and has run out; one such try at a time. */
  private async renewExpiredLease(): Promise<void> {
    if (this.renewingExpiredLease || !this.wasEverConfirmed() || this.hasReadLease()) return;
    this.renewingExpiredLease = true;
    try {
      await this.confirm();
    } catch {
      // The periodic confirmation goes on.
    } finally {
      this.renewingExpiredLease = false;
    }
  }

  get value(): FleetValue | undefined {
    return this.value$.value;
  }

  /** Tells when the value becomes confirmed that was not lately. */
  get readLeaseStarted$(): ReadLease['started$'] {
    return this.lease.started$;
  }

  /** Whether our value was confirmed by a majority so lately that we may serve by it. */
  hasReadLease(): boolean {
    return this.value$.value !== undefined && this.lease.valid();
  }

  /** Whether a majority confirmed our value to a question asked at this time (steady clock) or later. */
  confirmedSince(askedAt: number): boolean {
    return this.value$.value !== undefined && this.lease.renewedSince(askedAt);
  }

  /** Whether our value was ever confirmed in this life of the process. */
  wasEverConfirmed(): boolean {
    return this.value$.value !== undefined && this.lease.everValid;
  }

  peerOf(disk: string): string | undefined {
    return this.membership.memberOfDisk(disk)?.peer ?? (this.value ?? this.acceptor?.accepted)?.disks.get(disk)?.peer;
  }

  /** The newest value seen here, chosen or only accepted. */
  private newestKnown(): FleetValue | undefined {
    const accepted = this.acceptor?.accepted;
    const known = this.value ?? accepted;
    return known && accepted && accepted.rev > known.rev ? accepted : known;
  }

  /** Takes a value that is known to be agreed. Never goes back. */
  private learn(value: FleetValue): void {
    const old = this.value$.value;
    if (old && old.rev >= value.rev) return;
    if (old && old.fleet !== value.fleet) {
      this.kernel.incrementCounter('register.foreign');
      return;
    }
    const { fleet, version, rev } = value;
    if (old?.version !== version) this.kernel.host.log.info(`configuration ${version} in force`, { rev });
    this.kernel.rev = rev;
    this.value$.next(old?.version === version ? withConfigurationOf(old, value) : value);
    this.rememberFleet(fleet);
    this.membership.disseminate([]);
  }

  /** Every disk remembers its fleet, with a vote or without: the bootstrap asks for it. */
  private rememberFleet(fleet: string): void {
    const { state } = this;
    if (!state || state.get(FLEET_ROW) === fleet) return;
    state.db.commit(() => state.set(FLEET_ROW, fleet)).catch(() => undefined);
  }

  /** The value in a text; a voter has read the one that it accepted. */
  private readText(text: string): FleetValue {
    const accepted = this.acceptor?.accepted;
    return accepted && cachedText(accepted) === text ? accepted : deserializeValue(text);
  }

  private callVoters<T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] {
    return disks.map((disk) => {
      const peer = this.peerOf(disk);
      return peer
        ? this.kernel.call<T>(peer, method, { disk, ...body })
        : Promise.reject(new Error(`no address of ${disk}`));
    });
  }

  /**
   * Whether it is time for the periodic confirmation. In a large fleet it is less often, so that voters do not spend their time with
   * answering, yet often enough that two may fail before the lease ends.
   */
  private isConfirmationDue(): boolean {
    const periodMs = Math.min(
      this.membership.scaledPeriodMs(REGISTER.confirmMs, REGISTER.confirmPerMemberMs),
      this.lease.leaseMs / 3,
    );
    return this.lease.ageMs() > periodMs - REGISTER.confirmMs / 2;
  }

  /** Confirms at a majority that no newer value than ours is agreed. */
  confirm(): Promise<boolean> {
    return this.reader.confirm();
  }

  /** The value as a majority has it now. */
  async read(limitMs: number = REGISTER.changeTimeoutMs): Promise<FleetValue> {
    const askedAt = this.kernel.host.clock.now();
    const v = await this.change((x) => ({ out: x }), limitMs);
    this.lease.renew(askedAt);
    return v;
  }

  /**
   * Applies a change to the latest agreed value. `fn` may run many times and must give the same outcome for the
   * same value; without `next` it only reads. Fails with `no_majority` when it could not be told, or when it is no longer `wanted`.
   */
  change<T>(fn: ChangeFn<T>, limitMs: number = REGISTER.changeTimeoutMs, wanted: () => boolean = () => true): Promise<T> {
    return this.proposer.change(fn, limitMs, wanted);
  }

  /** Applies a change that restores what bears the next loss: the voters refuse others' ballots for a moment, so that it is agreed in time. */
  repair<T>(fn: ChangeFn<T>, limitMs: number): Promise<T> {
    return this.proposer.change(fn, limitMs, () => true, 'repair');
  }
}

/** A newer value of the same version has the same configuration: what was laid out for looking things up in it stays. */
function withConfigurationOf(old: FleetValue, value: FleetValue): FleetValue {
  return shareCachedText({ ...value, config: old.config, incarnations: old.incarnations }, value);
}

/**
 * The answer for a request that came before we may serve.
 * @example
 * if (!register.value) throw notReady(k, 'ReadConfig');
 */
export function notReadyError(kernel: Kernel, step: string): HarecrossError {
  return new HarecrossError({
    tag: 'not_ready',
    step,
    peer: kernel.self,
    retryAfterMs: jitteredRetryMs(kernel.host.random, REQUEST.retryMs),
  });
}

plug({ name: 'register', needs: ['membership'], setup: (k) => new ConsensusRegister(k, k.use('membership')) });
