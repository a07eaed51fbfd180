/** The consensus register: one agreed value, changed by ballots at a majority of the voters' disks. */
import { C, Failure, Kernel, every, loop, register as plug, retryAfter, within, type PeerRpc } from '@harecross/kernel';
import type { Store } from '@harecross/state';
import { BehaviorSubject } from 'rxjs';
import type { Board } from './board.js';
import { rememberEmptied } from './forget.js';
import { Acceptor } from './register/acceptor.js';
import { BallotSource } from './register/ballots.js';
import { Bootstrap } from './register/bootstrap.js';
import { ReadLease } from './register/lease.js';
import { Proposer, type ChangeFn } from './register/proposer.js';
import { Reader } from './register/reader.js';
import { fromText, sameText, textOf } from './text.js';
import { valueAnswer, valueIn, valueRequest, type ValueAnswer, type ValueRequest } from './value-transfer.js';
import type { Value } from './value.js';

declare module '@harecross/kernel' {
  interface Faces {
    register: Register;
  }
}

/**
 * The register: one compare-and-set value, agreed on a majority of the seats' disks by ballots. There is no log
 * and no leader: whoever wants a change prepares a ballot, takes the highest accepted value, applies the change
 * and has it accepted. A value that changes the seats needs a majority of the old and of the new ones, until the next
 * change; one seat comes or goes at a time, or one is replaced by another.
 * @example
 * await reg.change((v) => ({ next: { ...v, version: v.version + 1 }, out: v.version + 1 }));
 */
export class Register {
  readonly value$ = new BehaviorSubject<Value | undefined>(undefined);
  readonly disk?: string;
  private readonly lease: ReadLease;
  private readonly ballots: BallotSource;
  private readonly acceptor?: Acceptor;
  private readonly proposer: Proposer;
  private readonly reader: Reader;
  private confirmingAgain = false;
  private fetching = new Map<string, Promise<void>>();
  private store?: Store;

  constructor(
    private k: Kernel,
    private board: Board,
  ) {
    const { clock, rnd, db } = k.host;
    this.lease = new ReadLease(clock, k.host.config.applyMs);
    this.ballots = new BallotSource(k);
    if (db) {
      this.store = k.use('state');
      this.disk = this.store.get('disk')!;
      board.say({ disk: this.disk });
      this.acceptor = new Acceptor(k, this.store, this.disk, () => this.value?.rev ?? 0);
      rememberEmptied(k, board, this, this.store);
    }
    const ask = <T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] => this.ask<T>(disks, method, body);
    const learn = (v: Value): void => this.learn(v);
    this.proposer = new Proposer(k, this.ballots, {
      ask,
      learn,
      start: () => this.newestSeen(),
      ownDisk: this.disk,
    });
    this.reader = new Reader(k, board, this.ballots, this.lease, this.acceptor, {
      ask,
      learn,
      value: () => this.value,
      peerOf: (disk) => this.peerOf(disk),
      fetch: (peer) => this.fetch(peer),
      readByBallot: () => this.read(),
    });
    k.onNewer = (rev, peer) => this.follow(rev, peer);
    k.on('RegGet', (request: ValueRequest) => valueAnswer(request, this.value$.value));
    k.keep(loop(clock, C.confirmMs, rnd, async () => this.confirmDue() && this.confirm()));
    this.confirmFirst();
    // Cut off before, and now somebody is there again: the periodic confirmation may still be waiting for calls that were lost.
    k.keep(board.state$.subscribe((m) => m.state === 'live' && void this.confirmAgain()));
    if (db && k.host.config.seeds[0] === k.self) {
      const bootstrap = new Bootstrap(k, board, this.ballots, () => this.value, learn);
      k.keep(loop(clock, C.foundMs, rnd, () => bootstrap.found()));
    }
  }

  /** Until the first confirmation, tries often and not one after another: whom we ask may itself not be there yet. */
  private confirmFirst(): void {
    const { clock, rnd } = this.k.host;
    let tries = 0;
    let skipped = 0;
    const first = every(clock, C.firstConfirmMs, rnd).subscribe(() => {
      if (this.confirmed()) {
        first.unsubscribe();
        return;
      }
      if (tries >= (this.board.isLarge() ? 1 : C.firstConfirmN)) return;
      // The core is not there: all who wait for it must not keep it busy when it comes.
      // Nor may a large fleet that starts together keep those busy whom all its nodes know.
      const paced = Math.ceil(this.board.paced(C.firstConfirmMs, C.firstConfirmPerMemberMs) / C.firstConfirmMs);
      const late = clock.now() - this.k.startedAt > C.firstConfirmForMs;
      if (++skipped % (late ? Math.max(paced, C.firstConfirmEachN) : paced) !== 0) return;
      tries++;
      void this.confirm()
        .catch(() => undefined)
        .finally(() => {
          tries--;
        });
    });
    this.k.keep(first);
  }

  /** Confirms at once where a confirmation was had in this life of the process and has run out; one such try at a time. */
  private async confirmAgain(): Promise<void> {
    if (this.confirmingAgain || !this.confirmed() || this.fresh()) return;
    this.confirmingAgain = true;
    try {
      await this.confirm();
    } catch {
      // The periodic confirmation goes on.
    } finally {
      this.confirmingAgain = false;
    }
  }

  get value(): Value | undefined {
    return this.value$.value;
  }

  /** Tells when the value becomes confirmed that was not lately. */
  get fresh$(): ReadLease['begun$'] {
    return this.lease.begun$;
  }

  /** Whether our value was confirmed by a majority so lately that we may serve by it. */
  fresh(): boolean {
    return this.value$.value !== undefined && this.lease.valid();
  }

  /** Whether a majority confirmed our value to a question asked at this time (steady clock) or later. */
  confirmedSince(askedAt: number): boolean {
    return this.value$.value !== undefined && this.lease.renewedSince(askedAt);
  }

  /** Whether our value was ever confirmed in this life of the process. */
  confirmed(): boolean {
    return this.value$.value !== undefined && this.lease.everValid;
  }

  peerOf(disk: string): string | undefined {
    return this.board.ofDisk(disk)?.peer ?? (this.value ?? this.acceptor?.accepted)?.disks.get(disk)?.peer;
  }

  /** The newest value seen here, chosen or only accepted. */
  private newestSeen(): Value | undefined {
    const accepted = this.acceptor?.accepted;
    const known = this.value ?? accepted;
    return known && accepted && accepted.rev > known.rev ? accepted : known;
  }

  /** Takes a value that is known to be agreed. Never goes back. */
  private learn(v: Value): void {
    const old = this.value$.value;
    if (old && old.rev >= v.rev) return;
    if (old && old.fleet !== v.fleet) {
      this.k.count('register.foreign');
      return;
    }
    if (!old || old.version !== v.version) this.k.host.log.info(`configuration ${v.version} in force`, { rev: v.rev });
    this.k.rev = v.rev;
    // The same version is the same configuration: what was laid out for looking things up in it stays.
    this.value$.next(old?.version === v.version ? sameText({ ...v, config: old.config, eras: old.eras }, v) : v);
    // Every disk remembers its fleet, with a seat or without: founding asks for it.
    const { store } = this;
    if (store && store.get('fleet') !== v.fleet)
      store.db.commit(() => store.set('fleet', v.fleet)).catch(() => undefined);
    this.board.pass([]);
  }

  /** Takes a newer value that a peer has. Who hears of it from several fetches it once, and from the others only if that takes long. */
  private async follow(rev: number, peer: string): Promise<void> {
    if (this.fetching.size) {
      const aloneMs = this.board.paced(C.fetchAloneMs, C.fetchAlonePerMemberMs);
      await within(this.k.host.clock, aloneMs, Promise.race(this.fetching.values()));
      if (this.k.rev >= rev) return;
    }
    // Each may bring the whole value, and our link is shared by them: more at once would make all of them late.
    if (this.fetching.size >= C.fetchesN) await Promise.race(this.fetching.values());
    else await this.fetchFrom(this.board.wellLinked(peer), rev, peer);
  }

  /** Takes the value from one peer, and from the one that told us of it where that has not got it yet. */
  private async fetchFrom(source: string, rev: number, teller: string): Promise<void> {
    await this.fetch(source);
    if (this.k.rev < rev && source !== teller) await this.fetch(teller);
  }

  private fetch(peer: string): Promise<void> {
    let p = this.fetching.get(peer);
    if (!p) {
      p = this.k
        .call<ValueAnswer>(peer, 'RegGet', valueRequest(this.value), this.board.paced(C.callMs, C.fetchPerMemberMs))
        .then(
          (answer) => {
            const newer = valueIn(answer, this.value, (text) => this.readText(text));
            if (newer) this.learn(newer);
          },
          () => undefined /* the next frame tells us again */,
        )
        .finally(() => this.fetching.delete(peer));
      this.fetching.set(peer, p);
    }
    return p;
  }

  /** The value in a text; a voter has read the one that it accepted. */
  private readText(text: string): Value {
    const accepted = this.acceptor?.accepted;
    return accepted && textOf(accepted) === text ? accepted : fromText(text);
  }

  private ask<T>(disks: string[], method: PeerRpc, body: object): Promise<T>[] {
    return disks.map((disk) => {
      const peer = this.peerOf(disk);
      return peer
        ? this.k.call<T>(peer, method, { disk, ...body })
        : Promise.reject(new Error(`no address of ${disk}`));
    });
  }

  /**
   * Whether it is time for the periodic confirmation. In a large fleet it is less often, so that voters do not spend their time with
   * answering, yet often enough that two may fail before the lease ends.
   */
  private confirmDue(): boolean {
    const periodMs = Math.min(this.board.paced(C.confirmMs, C.confirmPerMemberMs), this.lease.leaseMs / 3);
    return this.lease.ageMs() > periodMs - C.confirmMs / 2;
  }

  /** Confirms at a majority that no newer value than ours is agreed. */
  confirm(): Promise<boolean> {
    return this.reader.confirm();
  }

  /** The value as a majority has it now. */
  async read(limitMs: number = C.changeMs): Promise<Value> {
    const askedAt = this.k.host.clock.now();
    const v = await this.change((x) => ({ out: x }), limitMs);
    this.lease.renew(askedAt);
    return v;
  }

  /**
   * Applies a change to the latest agreed value. `fn` may run many times and must give the same outcome for the
   * same value; without `next` it only reads. Fails with `no_majority` when it could not be told, or when it is no longer `wanted`.
   */
  change<T>(fn: ChangeFn<T>, limitMs: number = C.changeMs, wanted: () => boolean = () => true): Promise<T> {
    return this.proposer.change(fn, limitMs, wanted);
  }
}

/**
 * The answer for a visit that came before we may serve.
 * @example
 * if (!reg.value) throw notReady(k, 'ReadConfig');
 */
export function notReady(k: Kernel, step: string): Failure {
  return new Failure({ tag: 'not_ready', step, peer: k.self, retryAfterMs: retryAfter(k.host.rnd, C.retryMs) });
}

plug({ name: 'register', needs: ['board'], setup: (k) => new Register(k, k.use('board')) });
