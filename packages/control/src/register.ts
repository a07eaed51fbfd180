/** The consensus register: one agreed value, changed by ballots at a majority of the voters' disks. */
import {
  C,
  Failure,
  Kernel,
  every,
  gather,
  loop,
  register as plug,
  retryAfter,
  sleep,
  within,
} from '@harecross/kernel';
import type { Store } from '@harecross/state';
import { BehaviorSubject, Subject } from 'rxjs';
import invariant from 'tiny-invariant';
import type { Board } from './board.js';
import { rememberEmptied } from './forget.js';
import { matchCopies } from './placement.js';
import { fromText, toText } from './text.js';
import { usedFor, type DiskRec, type Placement, type Value } from './value.js';

interface Prepared {
  disk: string;
  ok: boolean;
  promised: string;
  ballot: string;
  value?: string;
}
interface Accepted {
  disk: string;
  ok: boolean;
  promised: string;
}
interface ReadBack {
  disk: string;
  rev: number;
  known: number;
  ballot: string;
}

declare module '@harecross/kernel' {
  interface Faces {
    register: Register;
  }
}

/** Whether the disks heard from are a majority of each set. */
function majority(sets: string[][], heard: Set<string>): boolean {
  return sets.every((s) => s.filter((d) => heard.has(d)).length * 2 > s.length);
}
/**
 * Whether at most one voter goes and at most one comes. A voter may be replaced by another in one step, because the change itself
 * needs a majority of the voters before and of those after.
 */
function oneVoterChanges(before: string[], after: string[]): boolean {
  const gone = before.filter((disk) => !after.includes(disk));
  const come = after.filter((disk) => !before.includes(disk));
  return gone.length <= 1 && come.length <= 1;
}
const bothSets = (v: Value): string[][] => [v.seats, v.prevSeats];
const union = (v: Value): string[] => [...new Set([...v.seats, ...v.prevSeats])];

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
  /** From not being confirmed lately to being it. */
  readonly fresh$ = new Subject<void>();
  readonly disk?: string;
  private confirmedAt = -Infinity;
  private readonly freshMs: number;
  private n = 0;
  /** The seat that is asked first comes in turn. */
  private turn = 0;
  /** What our own seat has accepted, agreed or not, and under which ballot. */
  private hint?: Value;
  private hintBallot = '';
  private confirmingAgain = false;
  private fetching = new Map<string, Promise<void>>();
  private st?: Store;

  constructor(
    private k: Kernel,
    private board: Board,
  ) {
    const { clock, rnd, db } = k.host;
    this.freshMs = (k.host.config.applyMs ?? C.applyMs) * C.freshShare;
    if (db) {
      this.st = k.use('state');
      this.disk = this.st.get('disk')!;
      const s = this.st.seat();
      if (s.value) {
        this.hint = fromText(s.value);
        this.hintBallot = s.ballot;
      }
      board.say({ disk: this.disk });
      this.serveSeat(this.st, this.disk);
      rememberEmptied(k, board, this, this.st);
    }
    k.onNewer = (rev, peer) => this.follow(rev, peer);
    k.on('RegGet', () => {
      const v = this.value$.value;
      return v ? toText(v) : undefined;
    });
    k.keep(loop(clock, C.confirmMs, rnd, () => this.confirm()));
    // Until the first one, often, and not one after another: whom we ask may itself not be there yet.
    let tries = 0;
    let skipped = 0;
    const first = every(clock, C.firstConfirmMs, rnd).subscribe(() => {
      if (this.confirmed()) {
        first.unsubscribe();
        return;
      }
      if (tries >= C.firstConfirmN) return;
      // The core is not there: all who wait for it must not keep it busy when it comes.
      if (clock.now() - k.startedAt > C.firstConfirmForMs && ++skipped % C.firstConfirmEachN !== 0) return;
      tries++;
      void this.confirm()
        .catch(() => undefined)
        .finally(() => {
          tries--;
        });
    });
    k.keep(first);
    // Cut off before, and now somebody is there again: the periodic confirmation may still be waiting for calls that were lost.
    k.keep(board.state$.subscribe((m) => m.state === 'live' && void this.confirmAgain()));
    if (db && k.host.config.seeds[0] === k.self) k.keep(loop(clock, C.foundMs, rnd, () => this.found()));
  }

  get value(): Value | undefined {
    return this.value$.value;
  }

  /** Whether our value was confirmed by a majority so lately that we may serve by it. */
  fresh(): boolean {
    return this.value$.value !== undefined && this.k.host.clock.now() - this.confirmedAt <= this.freshMs;
  }

  /** The one function that notes a confirmation. */
  private confirmedSince(t0: number): void {
    const was = this.fresh();
    this.confirmedAt = Math.max(this.confirmedAt, t0);
    if (!was && this.fresh()) this.fresh$.next();
  }

  /** Whether our value was ever confirmed in this life of the process. */
  confirmed(): boolean {
    return this.value$.value !== undefined && this.confirmedAt > -Infinity;
  }

  peerOf(disk: string): string | undefined {
    return this.board.ofDisk(disk)?.peer ?? (this.value ?? this.hint)?.disks.get(disk)?.peer;
  }

  private serveSeat(st: Store, disk: string): void {
    const mine = (d: string, step: string): void => {
      if (d !== disk) throw new Failure({ tag: 'unknown_disk', step, peer: this.k.self, disk: d });
    };
    this.k.on('RegPrepare', (b: { disk: string; ballot: string }) => {
      mine(b.disk, 'RegPrepare');
      return st.db.commit((): Prepared => {
        const s = st.seat();
        if (b.ballot <= s.promised) return { disk, ok: false, promised: s.promised, ballot: s.ballot };
        st.saveSeat({ ...s, promised: b.ballot });
        return { disk, ok: true, promised: b.ballot, ballot: s.ballot, value: s.value };
      });
    });
    this.k.on('RegAccept', async (b: { disk: string; ballot: string; value: string }) => {
      mine(b.disk, 'RegAccept');
      const r = await st.db.commit((): Accepted => {
        const s = st.seat();
        if (b.ballot < s.promised) return { disk, ok: false, promised: s.promised };
        st.saveSeat({ promised: b.ballot, ballot: b.ballot, value: b.value });
        return { disk, ok: true, promised: b.ballot };
      });
      // Told to nobody before it lasts: a majority that has accepted a value has agreed on it.
      if (r.ok && b.ballot >= this.hintBallot) {
        this.hint = fromText(b.value);
        this.hintBallot = b.ballot;
      }
      return r;
    });
    this.k.on('RegRead', (b: { disk: string }): ReadBack => {
      mine(b.disk, 'RegRead');
      return { disk, rev: this.hint?.rev ?? 0, known: this.value?.rev ?? 0, ballot: this.hintBallot };
    });
    this.k.on('RegWho', () => ({ disk, fleet: st.get('fleet') }));
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
    this.value$.next(old?.version === v.version ? { ...v, config: old.config, eras: old.eras } : v);
    // Every disk remembers its fleet, with a seat or without: founding asks for it.
    const st = this.st;
    if (st && st.get('fleet') !== v.fleet) st.db.commit(() => st.set('fleet', v.fleet)).catch(() => undefined);
    this.board.pass([], C.newsFanN);
  }

  /** Takes a newer value that a peer has. Who hears of it from several fetches it once, and from the others only if that takes long. */
  private async follow(rev: number, peer: string): Promise<void> {
    if (this.fetching.size) {
      await within(this.k.host.clock, C.fetchAloneMs, Promise.race(this.fetching.values()));
      if (this.k.rev >= rev) return;
    }
    await this.fetch(peer);
  }

  private fetch(peer: string): Promise<void> {
    let p = this.fetching.get(peer);
    if (!p) {
      p = this.k
        .call<string | undefined>(peer, 'RegGet', {})
        .then(
          (s) => {
            if (s) this.learn(fromText(s));
          },
          () => undefined /* the next frame tells us again */,
        )
        .finally(() => this.fetching.delete(peer));
      this.fetching.set(peer, p);
    }
    return p;
  }

  private ask<T>(disks: string[], m: string, body: object): Promise<T>[] {
    return disks.map((d) => {
      const p = this.peerOf(d);
      return p ? this.k.call<T>(p, m, { disk: d, ...body }) : Promise.reject(new Error(`no address of ${d}`));
    });
  }

  /** Confirms at a majority that no newer value than ours is agreed. */
  async confirm(): Promise<boolean> {
    const { clock, rnd } = this.k.host;
    if (!this.value) {
      const from = this.board.somePeers(1).concat(this.board.contacts());
      await this.fetch(from[Math.floor(rnd.next() * from.length)]!);
      if (!this.value && this.hint && this.hint.rev > 0) await this.recall(this.hint, this.hintBallot);
      if (!this.value) return false;
    }
    for (let i = 0; i < 3; i++) {
      const v = this.value!;
      const t0 = clock.now();
      const { heard, got } = await this.readBacks(v);
      if (!majority(bothSets(v), heard)) {
        this.k.count('register.unconfirmed');
        return false;
      }
      const top = got.reduce((a, b) => (b.rev > a.rev ? b : a));
      if (top.rev <= v.rev) {
        if (this.value!.rev > v.rev) continue;
        this.confirmedSince(t0);
        return true;
      }
      const knows = got.find((r) => r.known >= top.rev);
      if (knows) await this.fetch(this.peerOf(knows.disk)!);
      else await sleep(clock, 40 + 80 * rnd.next());
    }
    // Someone's change hangs between accepted and agreed: finish it.
    await this.read().catch(() => undefined);
    return false;
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

  /** Asks as many seats as make a majority, in turn, and the others only when those don't answer soon. */
  private async readBacks(v: Value): Promise<{ heard: Set<string>; got: ReadBack[] }> {
    const heard = new Set<string>();
    const got: ReadBack[] = [];
    const enough = (): boolean => majority(bothSets(v), heard);
    const seats = union(v);
    const at = this.turn++ % seats.length;
    const live = (d: string): boolean => {
      const p = this.peerOf(d);
      return p !== undefined && this.board.isLive(p);
    };
    // Our own seat costs nothing.
    const order = [...seats.slice(at), ...seats.slice(0, at)].sort(
      (a, b) => Number(b === this.disk) - Number(a === this.disk) || Number(live(b)) - Number(live(a)),
    );
    const few = new Set<string>();
    for (const d of order) if (!majority(bothSets(v), few)) few.add(d);
    const calls = (ds: Iterable<string>): Promise<ReadBack>[] =>
      this.ask<ReadBack>([...ds], 'RegRead', {}).map((p) =>
        p.then((r) => {
          heard.add(r.disk);
          got.push(r);
          this.outbid(r.ballot);
          return r;
        }),
      );
    const first = calls(few);
    await within(this.k.host.clock, C.confirmAloneMs, gather(first, enough));
    if (!enough()) await gather([...first, ...calls(order.filter((d) => !few.has(d)))], enough);
    return { heard, got };
  }

  /**
   * After a restart: what our own disk accepted is agreed, and nothing newer is, if a majority of the seats has accepted it under
   * the same ballot: a newer value would be on one of them. So a fleet that comes back together needs no new ballot.
   */
  private async recall(hint: Value, ballot: string): Promise<void> {
    const t0 = this.k.host.clock.now();
    const heard = new Set<string>();
    const other = { is: false };
    await gather(
      this.ask<ReadBack>(union(hint), 'RegRead', {}).map((p) =>
        p.then((r) => {
          if (r.ballot === ballot) heard.add(r.disk);
          else other.is = true;
          return r;
        }),
      ),
      () => majority(bothSets(hint), heard),
    );
    if (majority(bothSets(hint), heard)) {
      this.k.count('register.recalled');
      this.learn(hint);
      this.confirmedSince(t0);
    } else if (other.is && !this.value) {
      await this.read().catch(() => undefined);
    }
  }

  /** The value as a majority has it now. */
  async read(): Promise<Value> {
    const t0 = this.k.host.clock.now();
    const v = await this.change((x) => ({ out: x }));
    this.confirmedSince(t0);
    return v;
  }

  /**
   * Applies a change to the latest agreed value. `fn` may run many times and must give the same outcome for the
   * same value; without `next` it only reads. Fails with `no_majority` when it could not be told, or when it is no longer `wanted`.
   */
  async change<T>(
    fn: (v: Value) => { next?: Value; out: T },
    limitMs: number = C.changeMs,
    wanted: () => boolean = () => true,
  ): Promise<T> {
    const { clock, rnd } = this.k.host;
    const until = clock.now() + limitMs;
    let why = 'no value known';
    for (let tries = 0; clock.now() < until && wanted(); tries++) {
      if (tries > 0) await sleep(clock, Math.min(600, 30 * 2 ** Math.min(tries, 4)) * (0.5 + rnd.next()));
      let h = this.value ?? this.hint;
      if (!h || !wanted()) continue;
      if (this.hint && this.hint.rev > h.rev) h = this.hint;
      const r = await this.round(h, fn);
      switch (r.tag) {
        case 'done':
          return r.out;
        case 'again':
          why = r.why;
          break;
      }
    }
    this.k.count('register.gave_up');
    throw new Failure({ tag: 'no_majority', step: 'change', peer: this.k.self, detail: why });
  }

  /** Our next ballot is above this one. */
  private outbid(ballot: string): void {
    this.n = Math.max(this.n, Number(ballot.slice(0, 12)) || 0);
  }

  private async round<T>(
    start: Value,
    fn: (v: Value) => { next?: Value; out: T },
  ): Promise<{ tag: 'done'; out: T } | { tag: 'again'; why: string }> {
    const ballot = `${String(++this.n).padStart(12, '0')}.${this.k.self}~${this.k.inst}`;
    let h = start;
    const got = new Map<string, Prepared>();
    // Prepare, following the seats as newer values show them.
    for (;;) {
      const sets = bothSets(h);
      const asked = union(h).filter((d) => !got.has(d));
      const heard = new Set(got.keys());
      let refused = false;
      await gather(
        this.ask<Prepared>(asked, 'RegPrepare', { ballot }).map((p) =>
          p.then((r) => {
            if (!r.ok) {
              this.outbid(r.promised);
              refused = true;
              return r;
            }
            got.set(r.disk, r);
            heard.add(r.disk);
            return r;
          }),
        ),
        () => refused || majority(sets, heard),
      );
      if (refused) return { tag: 'again', why: 'another ballot is higher' };
      if (!majority(sets, heard))
        return { tag: 'again', why: `only ${heard.size} of ${union(h).length} seats answered` };
      const top = [...got.values()]
        .filter((r) => r.value)
        .reduce<Prepared | undefined>((a, b) => (!a || b.ballot > a.ballot ? b : a), undefined);
      if (!top) return { tag: 'again', why: 'seats are empty' };
      const v = fromText(top.value!);
      const settled = majority(bothSets(v), new Set(got.keys()));
      h = v;
      if (settled) break;
    }
    const res = fn(h);
    const next = res.next ? { ...res.next, rev: h.rev + 1, prevSeats: h.seats } : h;
    invariant(!res.next || oneVoterChanges(h.seats, next.seats), 'one voter at a time');
    const value = toText(next);
    const sets = bothSets(next);
    const heard = new Set<string>();
    let refused = false;
    await gather(
      this.ask<Accepted>(union(next), 'RegAccept', { ballot, value }).map((p) =>
        p.then((r) => {
          if (r.ok) heard.add(r.disk);
          else {
            this.outbid(r.promised);
            refused = true;
          }
          return r;
        }),
      ),
      () => majority(sets, heard),
    );
    if (!majority(sets, heard))
      return {
        tag: 'again',
        why: refused ? 'another ballot is higher' : `only ${heard.size} of ${union(next).length} seats accepted`,
      };
    this.learn(next);
    return { tag: 'done', out: res.out };
  }

  /**
   * Founding. Only the first seed founds, and only while all three seeds answer that their disks belong to no
   * fleet: asking, preparing and accepting all need all three. A value accepted anywhere is on a seed's disk and is
   * found again; a disk that learns of its fleet marks it, with a seat or without. So a second fleet could arise only
   * if all three seeds' disks were emptied together and none had joined since.
   */
  private async found(): Promise<void> {
    const { config, clock, rnd } = this.k.host;
    if (this.value || config.firstStart === false) return;
    const since = clock.now() - this.k.startedAt;
    if (since < C.foundAfterMs) return;
    const wanted = config.losses === undefined ? C.copiesN : 2 * config.losses + 1;
    if (since < C.foundAnywayMs && this.board.live().filter((m) => m.diskUses?.[0] === 'copies').length < wanted)
      return;
    const who = await Promise.all(
      config.seeds.map((s) => this.k.call<{ disk: string; fleet?: string }>(s, 'RegWho', {}).catch(() => undefined)),
    );
    if (who.some((w) => !w || w.fleet !== undefined)) return;
    const seats = who.map((w) => w!.disk);
    const ballot = `${String(++this.n).padStart(12, '0')}.${this.k.self}~${this.k.inst}`;
    const ps = await Promise.all(
      seats.map((d, i) =>
        this.k.call<Prepared>(config.seeds[i]!, 'RegPrepare', { disk: d, ballot }).catch(() => undefined),
      ),
    );
    for (const p of ps) if (p && !p.ok) this.outbid(p.promised);
    if (ps.some((p) => !p?.ok)) return;
    const held = ps
      .filter((p) => p!.value)
      .reduce<Prepared | undefined>((a, b) => (!a || b!.ballot > a.ballot ? b : a), undefined);
    // A founding that was cut short: the same value, not another one.
    const v = held ? fromText(held.value!) : this.genesis(seats, `${Math.floor(rnd.next() * 2 ** 48).toString(36)}`);
    if (v.rev !== 1) return; // a fleet that lives: the ordinary way finds it
    const value = toText(v);
    const as = await Promise.all(
      seats.map((d, i) =>
        this.k.call<Accepted>(config.seeds[i]!, 'RegAccept', { disk: d, ballot, value }).catch(() => undefined),
      ),
    );
    if (as.every((a) => a?.ok)) {
      this.k.host.log.info('fleet founded', { fleet: v.fleet, disks: v.disks.size });
      this.learn(v);
    }
  }

  private genesis(seats: string[], fleet: string): Value {
    const disks = new Map<string, DiskRec>();
    for (const m of this.board.live())
      if (m.disk)
        disks.set(m.disk, {
          id: m.disk,
          peer: m.peer,
          domain: m.domain,
          state: 'active',
          uses: m.diskUses,
          name: m.name,
          ms: m.diskMs,
        });
    seats.forEach((d, i) => {
      if (!disks.has(d))
        disks.set(d, { id: d, peer: this.k.host.config.seeds[i]!, domain: '', state: 'active', uses: ['seat'] });
    });
    const { losses } = this.k.host.config;
    const copies = losses === undefined ? C.copiesN : 2 * losses + 1;
    const keepers = [...disks.values()].filter((d) => usedFor(d, 'copies'));
    const shards = new Map(
      [...matchCopies(keepers, copies)].map(([s, at]) => [s, { gen: 1, copies: at }] as [number, Placement]),
    );
    return {
      fleet,
      rev: 1,
      version: 0,
      changeId: '',
      config: { families: [] },
      eras: new Map(),
      disks,
      seats,
      prevSeats: seats,
      shards,
      copies,
      seatsWanted: losses === undefined ? C.seatsN : Math.min(C.seatsN, Math.max(3, 2 * losses + 1)),
      changes: new Map(),
      moves: new Map(),
    };
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
