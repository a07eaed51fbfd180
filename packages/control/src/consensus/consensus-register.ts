/** The consensus register: one agreed value, changed by ballots at a majority of the voters' disks. */
import {
  HarecrossError,
  Kernel,
  MEMBERSHIP,
  REGISTER,
  REQUEST,
  jitteredRetryMs,
  periodicTicks,
  registerPlugin as plug,
  runPeriodically,
  withTimeout,
  type PeerRpc,
} from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import { BehaviorSubject } from 'rxjs';
import type { MembershipTable } from '../membership/membership-table.js';
import { rememberEmptied } from '../reconcile/forget-planner.js';
import { Acceptor } from './acceptor.js';
import { BallotSource } from './ballots.js';
import { Bootstrap } from './bootstrap.js';
import { ReadLease } from './read-lease.js';
import { Proposer, type ChangeFn } from './proposer.js';
import { Reader } from './reader.js';
import { deserializeValue, shareText, cachedText } from '../value/value-text.js';
import { valueAnswer, valueIn, valueRequest, type ValueAnswer, type ValueRequest } from './value-transfer.js';
import type { FleetValue } from '../value/fleet-value.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    register: ConsensusRegister;
  }
}

/**
 * The register: one compare-and-set value, agreed on a majority of the seats' disks by ballots. There is no log
 * and no leader: whoever wants a change prepares a ballot, takes the highest accepted value, applies the change
 * and has it accepted. A value that changes the seats needs a majority of the old and of the new ones, until the next
 * change; one seat comes or goes at a time, or one is replaced by another.
 * @example
 * await register.change((v) => ({ next: { ...v, version: v.version + 1 }, out: v.version + 1 }));
 */
export class ConsensusRegister {
  readonly value$ = new BehaviorSubject<FleetValue | undefined>(undefined);
  readonly disk?: string;
  private readonly lease: ReadLease;
  private readonly ballots: BallotSource;
  private readonly acceptor?: Acceptor;
  private readonly proposer: Proposer;
  private readonly reader: Reader;
  private renewingExpiredLease = false;
  private fetchesInFlight = new Map<string, Promise<void>>();
  private store?: DurableState;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {
    const { clock, random, db } = kernel.host;
    this.lease = new ReadLease(clock, kernel.host.config.applyMs);
    this.ballots = new BallotSource(kernel);
    if (db) {
      this.store = kernel.use('state');
      this.disk = this.store.get('disk')!;
      membership.updateOwnState({ disk: this.disk });
      this.acceptor = new Acceptor(kernel, this.store, this.disk, () => this.value?.rev ?? 0);
      rememberEmptied(kernel, membership, this, this.store);
    }
    const ask = <T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] =>
      this.callVoters<T>(disks, method, body);
    const learn = (v: FleetValue): void => this.learn(v);
    this.proposer = new Proposer(kernel, this.ballots, {
      ask,
      learn,
      start: () => this.newestSeen(),
      ownDisk: this.disk,
    });
    this.reader = new Reader(kernel, membership, this.ballots, this.lease, this.acceptor, {
      ask,
      learn,
      value: () => this.value,
      peerOf: (disk) => this.peerOf(disk),
      fetch: (peer) => this.fetch(peer),
      readByBallot: () => this.read(),
    });
    kernel.onNewerRevision = (rev, peer) => this.fetchNewer(rev, peer);
    kernel.on('RegGet', (request: ValueRequest) => valueAnswer(request, this.value$.value));
    kernel.addSubscription(
      runPeriodically(clock, REGISTER.confirmMs, random, async () => this.isConfirmationDue() && this.confirm()),
    );
    this.startFirstConfirmation();
    // Cut off before, and now somebody is there again: the periodic confirmation may still be waiting for calls that were lost.
    kernel.addSubscription(
      membership.memberStateChanged$.subscribe((m) => m.state === 'live' && void this.renewExpiredLease()),
    );
    if (db && kernel.host.config.seeds[0] === kernel.self) {
      const bootstrap = new Bootstrap(kernel, membership, this.ballots, () => this.value, learn);
      kernel.addSubscription(runPeriodically(clock, REGISTER.bootstrapEveryMs, random, () => bootstrap.tryBootstrap()));
    }
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
  get readLeaseBegun$(): ReadLease['begun$'] {
    return this.lease.begun$;
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
  private newestSeen(): FleetValue | undefined {
    const accepted = this.acceptor?.accepted;
    const known = this.value ?? accepted;
    return known && accepted && accepted.rev > known.rev ? accepted : known;
  }

  /** Takes a value that is known to be agreed. Never goes back. */
  private learn(v: FleetValue): void {
    const old = this.value$.value;
    if (old && old.rev >= v.rev) return;
    if (old && old.fleet !== v.fleet) {
      this.kernel.incrementCounter('register.foreign');
      return;
    }
    if (!old || old.version !== v.version)
      this.kernel.host.log.info(`configuration ${v.version} in force`, { rev: v.rev });
    this.kernel.rev = v.rev;
    // The same version is the same configuration: what was laid out for looking things up in it stays.
    this.value$.next(
      old?.version === v.version ? shareText({ ...v, config: old.config, incarnations: old.incarnations }, v) : v,
    );
    // Every disk remembers its fleet, with a seat or without: founding asks for it.
    const { store } = this;
    if (store && store.get('fleet') !== v.fleet)
      store.db.commit(() => store.set('fleet', v.fleet)).catch(() => undefined);
    this.membership.disseminate([]);
  }

  /** Takes a newer value that a peer has. Who hears of it from several fetches it once, and from the others only if that takes long. */
  private async fetchNewer(rev: number, peer: string): Promise<void> {
    if (this.fetchesInFlight.size) {
      const aloneMs = this.membership.scaledPeriodMs(
        REGISTER.valueFetchExclusiveMs,
        REGISTER.valueFetchExclusivePerMemberMs,
      );
      await withTimeout(this.kernel.host.clock, aloneMs, Promise.race(this.fetchesInFlight.values()));
      if (this.kernel.rev >= rev) return;
    }
    // Each may bring the whole value, and our link is shared by them: more at once would make all of them late.
    if (this.fetchesInFlight.size >= REGISTER.valueFetchConcurrency) await Promise.race(this.fetchesInFlight.values());
    else await this.fetchFrom(this.membership.preferPeerWithDisk(peer), rev, peer);
  }

  /** Takes the value from one peer, and from the one that told us of it where that has not got it yet. */
  private async fetchFrom(source: string, rev: number, teller: string): Promise<void> {
    await this.fetch(source);
    if (this.kernel.rev < rev && source !== teller) await this.fetch(teller);
  }

  private fetch(peer: string): Promise<void> {
    let p = this.fetchesInFlight.get(peer);
    if (!p) {
      p = this.kernel
        .call<ValueAnswer>(
          peer,
          'RegGet',
          valueRequest(this.value),
          this.membership.scaledPeriodMs(MEMBERSHIP.callMs, REGISTER.fetchPerMemberMs),
        )
        .then(
          (answer) => {
            const newer = valueIn(answer, this.value, (text) => this.readText(text));
            if (newer) this.learn(newer);
          },
          () => undefined /* the next frame tells us again */,
        )
        .finally(() => this.fetchesInFlight.delete(peer));
      this.fetchesInFlight.set(peer, p);
    }
    return p;
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
  async read(limitMs: number = REGISTER.changeMs): Promise<FleetValue> {
    const askedAt = this.kernel.host.clock.now();
    const v = await this.change((x) => ({ out: x }), limitMs);
    this.lease.renew(askedAt);
    return v;
  }

  /**
   * Applies a change to the latest agreed value. `fn` may run many times and must give the same outcome for the
   * same value; without `next` it only reads. Fails with `no_majority` when it could not be told, or when it is no longer `wanted`.
   */
  change<T>(fn: ChangeFn<T>, limitMs: number = REGISTER.changeMs, wanted: () => boolean = () => true): Promise<T> {
    return this.proposer.change(fn, limitMs, wanted);
  }
}

/**
 * The answer for a visit that came before we may serve.
 * @example
 * if (!register.value) throw notReady(k, 'ReadConfig');
 */
export function notReady(kernel: Kernel, step: string): HarecrossError {
  return new HarecrossError({
    tag: 'not_ready',
    step,
    peer: kernel.self,
    retryAfterMs: jitteredRetryMs(kernel.host.random, REQUEST.retryMs),
  });
}

plug({ name: 'register', needs: ['membership'], setup: (k) => new ConsensusRegister(k, k.use('membership')) });
