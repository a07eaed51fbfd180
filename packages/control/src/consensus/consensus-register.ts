/** The consensus register: a single agreed value, changed through ballots at a majority of the voters' disks. */
import {
  HarecrossError,
  Kernel,
  REGISTER,
  REQUEST,
  jitteredRetryMs,
  periodicTicks,
  registerPlugin,
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

/** The key under which a disk stores the id of its fleet. Stored data: must not change. */
const FLEET_ID_KEY = 'fleet';

/**
 * The consensus register: a single compare-and-set value on which a majority of the voters' disks agrees through ballots, as in CASPaxos.
 * There is no log and no leader: any node that wants a change prepares a ballot, takes the accepted value with the highest ballot, applies
 * the change and has the result accepted. A value that changes the voters needs a majority of both the old and the new voters, until the
 * next change; one change may add, remove or replace a single voter.
 * @example
 * await register.change((v) => ({ next: { ...v, version: v.version + 1 }, out: v.version + 1 }));
 */
export class ConsensusRegister {
  readonly value$ = new BehaviorSubject<FleetValue | undefined>(undefined);
  readonly disk?: string;
  /** Since when this disk has known the fleet (steady clock, ms): -Infinity if an earlier process learned of it, Infinity while none is known. */
  fleetKnownSince = Infinity;
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
      if (this.state.get(FLEET_ID_KEY) !== undefined) this.fleetKnownSince = -Infinity;
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
    // After a partition ends, the periodic confirmation may still be waiting for lost calls; confirm as soon as a member is live again.
    kernel.addSubscription(
      membership.memberStateChanged$.subscribe((member) => member.state === 'live' && void this.renewExpiredLease()),
    );
    if (this.state) {
      const eligibility = new BootstrapEligibility(kernel, this.state);
      membership.updateOwnState({ inFirstStart: eligibility.inFirstStart });
      this.serveIdentity(this.state, eligibility);
      if (eligibility.seeds) this.startBootstrap(eligibility);
    }
  }

  private startBootstrap(eligibility: BootstrapEligibility): void {
    const { kernel } = this;
    const { clock, random } = kernel.host;
    const learn = (value: FleetValue): void => this.learn(value);
    const bootstrap = new Bootstrap(kernel, this.membership, this.ballots, eligibility, () => this.value, learn);
    kernel.addSubscription(runPeriodically(clock, REGISTER.bootstrapEveryMs, random, () => bootstrap.tryBootstrap()));
  }

  /** Answers the bootstrapping seed with this disk's id and fleet, and with whether this node may bootstrap a fleet itself. */
  private serveIdentity(state: DurableState, eligibility: BootstrapEligibility): void {
    this.kernel.on('RegWho', () => ({
      disk: this.disk,
      fleet: state.get(FLEET_ID_KEY),
      mayFound: eligibility.seeds !== undefined,
    }));
  }

  /** Retries often and concurrently until the first confirmation, because the queried peers may still be starting. */
  private startFirstConfirmation(): void {
    const { clock, random } = this.kernel.host;
    let running = 0;
    let ticks = 0;
    const subscription = periodicTicks(clock, REGISTER.firstConfirmMs, random).subscribe(() => {
      if (this.wasEverConfirmed()) {
        subscription.unsubscribe();
        return;
      }
      if (running >= (this.membership.isLargeFleet() ? 1 : REGISTER.firstConfirmConcurrency)) return;
      // Attempts become rarer after firstConfirmEagerMs: if the voters are down, all waiting nodes would overload them on their return.
      // In a large fleet they are rarer from the start: when all nodes start together, they query the same contact nodes.
      const pacingDivisor = Math.ceil(
        this.membership.scaledPeriodMs(REGISTER.firstConfirmMs, REGISTER.firstConfirmPerMemberMs) /
          REGISTER.firstConfirmMs,
      );
      const isPastEagerPhase = clock.now() - this.kernel.startedAt > REGISTER.firstConfirmEagerMs;
      if (
        ++ticks % (isPastEagerPhase ? Math.max(pacingDivisor, REGISTER.firstConfirmLateDivisor) : pacingDivisor) !==
        0
      )
        return;
      running++;
      void this.confirm()
        .catch(() => undefined)
        .finally(() => {
          running--;
        });
    });
    this.kernel.addSubscription(subscription);
  }

  /** Confirms at once if the read lease was valid earlier in this process and has expired; one such attempt at a time. */
  private async renewExpiredLease(): Promise<void> {
    if (this.renewingExpiredLease || !this.wasEverConfirmed() || this.hasReadLease()) return;
    this.renewingExpiredLease = true;
    try {
      await this.confirm();
    } catch {
      // The periodic confirmation retries.
    } finally {
      this.renewingExpiredLease = false;
    }
  }

  get value(): FleetValue | undefined {
    return this.value$.value;
  }

  /** Emits when the read lease becomes valid after it was not. */
  get readLeaseStarted$(): ReadLease['started$'] {
    return this.lease.started$;
  }

  /** Whether a majority confirmed our value recently enough to serve from it. */
  hasReadLease(): boolean {
    return this.value$.value !== undefined && this.lease.valid();
  }

  /** Whether a majority confirmed our value in answer to a query sent at this time (monotonic clock) or later. */
  confirmedSince(askedAt: number): boolean {
    return this.value$.value !== undefined && this.lease.renewedSince(askedAt);
  }

  /** Whether a majority has confirmed our value since the process started. */
  wasEverConfirmed(): boolean {
    return this.value$.value !== undefined && this.lease.everValid;
  }

  /** The address of the node that holds a disk, from the membership table or else from the newest known value. */
  peerOf(disk: string): string | undefined {
    return this.membership.memberOfDisk(disk)?.peer ?? (this.value ?? this.acceptor?.accepted)?.disks.get(disk)?.peer;
  }

  /** The newest value known here, chosen or only accepted. */
  private newestKnown(): FleetValue | undefined {
    const accepted = this.acceptor?.accepted;
    const known = this.value ?? accepted;
    return known && accepted && accepted.rev > known.rev ? accepted : known;
  }

  /** Adopts a value that is known to be chosen; ignores values that are not newer, and those of another fleet. */
  private learn(value: FleetValue): void {
    const old = this.value$.value;
    if (old && old.rev >= value.rev) return;
    if (old && old.fleet !== value.fleet) {
      this.kernel.incrementCounter('register.foreign');
      return;
    }
    this.fleetKnownSince = Math.min(this.fleetKnownSince, this.kernel.host.clock.now());
    const { fleet, version, rev } = value;
    if (old?.version !== version) this.kernel.host.log.info(`configuration ${version} in force`, { rev });
    this.kernel.rev = rev;
    this.value$.next(old?.version === version ? withConfigurationOf(old, value) : value);
    this.storeFleetId(fleet);
    this.membership.disseminate([]);
  }

  /** Stores the fleet id on every disk, voter or not, because the bootstrap queries it. */
  private storeFleetId(fleet: string): void {
    const { state } = this;
    if (!state || state.get(FLEET_ID_KEY) === fleet) return;
    state.db.commit(() => state.set(FLEET_ID_KEY, fleet)).catch(() => undefined);
  }

  /** Parses a serialized value; a voter already has the value it accepted last in parsed form. */
  private readText(text: string): FleetValue {
    const accepted = this.acceptor?.accepted;
    return accepted && cachedText(accepted) === text ? accepted : deserializeValue(text);
  }

  private callVoters<T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] {
    return disks.map((disk) => {
      const peer = this.peerOf(disk);
      return peer
        ? this.kernel.call<T>(peer, method, { disk, ...body })
        : Promise.reject(new Error(`no known address for disk ${disk}`));
    });
  }

  /**
   * Whether the periodic confirmation is due. Its period grows with the fleet to limit the load on the voters, but stays short enough
   * that two confirmations may fail before the lease expires.
   */
  private isConfirmationDue(): boolean {
    const periodMs = Math.min(
      this.membership.scaledPeriodMs(REGISTER.confirmMs, REGISTER.confirmPerMemberMs),
      this.lease.leaseMs / 3,
    );
    return this.lease.ageMs() > periodMs - REGISTER.confirmMs / 2;
  }

  /** Confirms with a majority that no value newer than ours is chosen. */
  confirm(): Promise<boolean> {
    return this.reader.confirm();
  }

  /** Reads the latest value from a majority through a ballot. */
  async read(limitMs: number = REGISTER.changeTimeoutMs): Promise<FleetValue> {
    const askedAt = this.kernel.host.clock.now();
    const value = await this.change((latest) => ({ out: latest }), limitMs);
    this.lease.renew(askedAt);
    return value;
  }

  /**
   * Applies a change to the latest agreed value. `fn` may run several times and must return the same result for the same value; if it
   * returns no `next`, the value is only read. Fails with `no_majority` if the outcome is unknown after `limitMs`, or once `wanted`
   * returns false.
   */
  change<T>(
    fn: ChangeFn<T>,
    limitMs: number = REGISTER.changeTimeoutMs,
    wanted: () => boolean = () => true,
  ): Promise<T> {
    return this.proposer.change(fn, limitMs, wanted);
  }

  /**
   * Applies a change that restores fault tolerance. The voters briefly refuse the ballots of other proposers, so that the change is
   * chosen before the next loss.
   */
  repair<T>(fn: ChangeFn<T>, limitMs: number): Promise<T> {
    return this.proposer.change(fn, limitMs, () => true, 'repair');
  }
}

/** Keeps the objects of the old configuration in a newer value of the same version, so that lookup tables cached for them stay in use. */
function withConfigurationOf(old: FleetValue, value: FleetValue): FleetValue {
  return shareCachedText({ ...value, config: old.config, incarnations: old.incarnations }, value);
}

/**
 * The error for a request that arrives before this node may serve.
 * @example
 * if (!register.value) throw notReadyError(kernel, 'ReadConfig');
 */
export function notReadyError(kernel: Kernel, step: string): HarecrossError {
  return new HarecrossError({
    tag: 'not_ready',
    step,
    peer: kernel.self,
    retryAfterMs: jitteredRetryMs(kernel.host.random, REQUEST.retryMs),
  });
}

registerPlugin({
  name: 'register',
  needs: ['membership'],
  setup: (kernel) => new ConsensusRegister(kernel, kernel.use('membership')),
});
