import { C, Failure, Kernel, faultOf, loop, rank, register, retryAfter, sleep } from '@harecross/kernel';
import { configFaults, type FleetConfig, type Move } from '@harecross/schema';
import type { Board } from './board.js';
import { erasAfter } from './eras.js';
import { copiesFor, copyDisks, quickOf, targetsOf, wantedCopies } from './placement.js';
import { firstFor, notReady, usedFor, type DiskRec, type MoveState, type Register, type Value } from './register.js';

/** What the owner of a shard says on the board under `key/<shard>`. */
export interface KeyRec {
  fence: string;
  gen: number;
  peer: string;
  inst: string;
  behind: string[];
}

declare module '@harecross/kernel' {
  interface Faces {
    keeper: Keeper;
    operators: Operators;
  }
}

/**
 * The keeper's duty: lets disks in, takes lost ones out, moves copies. It belongs to the first live seat by
 * rendezvous; should two believe they have it, each step is still one change of the register that is checked
 * against the value it changes.
 * @example
 * k.use('keeper').mine(); // whether the duty is ours now
 */
export class Keeper {
  private lastPlan = '';

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
  ) {
    const { clock, rnd } = k.host;
    k.keep(loop(clock, C.keeperMs, rnd, () => this.round()));
  }

  mine(): boolean {
    const v = this.reg.value;
    if (!v || !this.reg.disk || !v.seats.includes(this.reg.disk)) return false;
    const able = v.seats.filter((d) => {
      const m = this.board.ofDisk(d);
      return m && (m.peer === this.k.self || this.board.able(m.peer));
    });
    return rank('keeper', able)[0] === this.reg.disk;
  }

  private async round(): Promise<void> {
    // Steps that follow from one another are made in one go: a second loss may be near.
    for (let i = 0; i < C.keeperStepsN; i++) {
      if (!this.reg.fresh() || this.k.phase !== 'running' || !this.mine()) return;
      if (!this.plan(this.reg.value!)) return;
      const said = await this.reg.change((v) => {
        const next = this.plan(v);
        return { next, out: next ? this.lastPlan : '' };
      }, C.callMs * 3);
      if (!said) return;
      this.k.count('keeper.steps');
      this.k.host.log.info(`keeper: ${said}`);
    }
  }

  /** The next step from this value, if one is due. */
  private plan(v: Value): Value | undefined {
    return this.planDisks(v) ?? this.planSeats(v) ?? this.planMoves(v) ?? this.planShards(v);
  }

  /** Begins and ends the moves of the calendar. A move runs once: its state is in the register. */
  private planMoves(v: Value): Value | undefined {
    const now = this.k.host.clock.wall();
    const turn = (m: Move, state: MoveState, why: string, x: Partial<Value> = {}): Value => {
      this.lastPlan = `move ${m.id} (${m.kind} ${m.node}): ${state}${why ? `, ${why}` : ''}`;
      return { ...v, ...x, moves: new Map(v.moves).set(moveKey(m), { state, why }) };
    };
    for (const m of v.config.moves ?? []) {
      const r = v.moves.get(moveKey(m));
      const disk = [...v.disks.values()].find((d) => d.peer === m.node && d.state !== 'lost');
      switch (r?.state) {
        case undefined: {
          if (now < m.from) break;
          if (now >= m.until) return turn(m, 'missed', 'its time passed before it could begin');
          if (m.kind === 'add') return turn(m, 'running', '');
          const bar = barTo(v, m, disk, this.board);
          if (bar) break; // tried again until its time has passed
          if (m.kind === 'restart') return turn(m, 'running', '');
          if (!disk) return turn(m, 'refused', `${m.node} has no disk`);
          return turn(m, 'running', '', { disks: new Map(v.disks).set(disk.id, { ...disk, state: 'emptying' }) });
        }
        case 'running':
        case 'late':
          switch (m.kind) {
            case 'empty':
              if (!disk || disk.state !== 'emptying') return turn(m, 'refused', 'the emptying was taken back');
              if (isBare(v, disk.id)) return turn(m, 'done', '');
              if (r.state === 'running' && now >= m.until)
                return turn(m, 'late', `${copiesOn(v, disk.id)} copies are still there`);
              break;
            case 'restart':
              if (now >= m.until) return turn(m, 'done', '');
              break;
            case 'add': {
              const there = this.board.live().find((x) => x.peer === m.node);
              if (there && (!there.disk || (disk && copiesOn(v, disk.id) > 0))) return turn(m, 'done', '');
              if (now >= m.until) return turn(m, 'missed', 'the machine did not come');
              break;
            }
          }
          break;
        case 'done':
        case 'missed':
        case 'refused':
          break;
      }
    }
    return undefined;
  }

  private planDisks(v: Value): Value | undefined {
    const now = this.k.host.clock.now();
    const disks = new Map(v.disks);
    const said: string[] = [];
    for (const m of this.board.live()) {
      if (!m.disk || now - m.liveSince < C.joinAfterMs || this.k.host.clock.wall() < waitsFor(v, m.peer)) continue;
      const d = disks.get(m.disk);
      if (!d) {
        disks.set(m.disk, {
          id: m.disk,
          peer: m.peer,
          domain: m.domain,
          state: 'active',
          uses: m.diskUses,
          name: m.name,
          ms: m.diskMs,
        });
        said.push(`disk ${m.disk} joins at ${m.peer}`);
        for (const o of v.disks.values()) {
          if (o.peer === m.peer && o.state !== 'lost') {
            disks.set(o.id, { ...o, state: 'lost' });
            said.push(`disk ${o.id} was replaced`);
          }
        }
      } else if (d.peer !== m.peer || d.domain !== m.domain || d.state === 'lost') {
        disks.set(d.id, { ...d, peer: m.peer, domain: m.domain, state: d.state === 'lost' ? 'active' : d.state });
        said.push(`disk ${d.id} is back at ${m.peer}`);
      }
    }
    for (const d of v.disks.values()) {
      if (d.state !== 'active' || disks.get(d.id)!.state === 'lost') continue;
      const m = this.board.ofDisk(d.id);
      const gone = m ? (m.state === 'live' ? 0 : now - m.seenAt) : now - this.k.startedAt;
      const spare = gone > C.spareAfterMs && !isBare(v, d.id) ? this.spareFor(v, d, disks) : undefined;
      if (spare !== undefined) {
        disks.set(d.id, { ...d, state: 'lost' });
        said.push(`disk ${d.id} gives its place to ${spare}`);
      } else if (gone > C.replaceAfterMs) {
        disks.set(d.id, { ...d, state: 'lost' });
        said.push(`disk ${d.id} is lost`);
      }
    }
    if (!said.length) return undefined;
    this.lastPlan = said.join(', ');
    return { ...v, disks };
  }

  /** A live disk of the same uses that holds nothing, and that no lost one waits for. */
  private spareFor(v: Value, gone: DiskRec, disks: Map<string, DiskRec>): string | undefined {
    const same = (d: DiskRec): boolean =>
      (['seat', 'copies'] as const).every((use) => usedFor(d, use) === usedFor(gone, use));
    const bare = [...disks.values()].filter(
      (d) =>
        d.state === 'active' &&
        same(d) &&
        v.disks.has(d.id) &&
        isBare(v, d.id) &&
        this.board.ofDisk(d.id)?.state === 'live',
    );
    const waiting = [...disks.values()].filter((d) => d.state === 'lost' && same(d) && !isBare(v, d.id));
    return bare[waiting.length]?.id;
  }

  private planSeats(v: Value): Value | undefined {
    const live = (d: string): boolean => {
      const m = this.board.ofDisk(d);
      return m !== undefined && this.board.isLive(m.peer);
    };
    const fit = (d: DiskRec): boolean => d.state === 'active' && usedFor(d, 'seat') && live(d.id);
    const bad = v.seats.filter((d) => v.disks.get(d)?.state !== 'active');
    const good = v.seats.length - bad.length;
    const want = Math.min(
      v.seatsWanted ?? C.seatsN,
      [...v.disks.values()].filter((d) => d.state === 'active' && usedFor(d, 'seat')).length,
    );
    const odd = want % 2 === 0 ? Math.max(1, want - 1) : want;
    const perDomain = (dom: string): number => v.seats.filter((s) => v.disks.get(s)?.domain === dom).length;
    if (good < odd) {
      const cand = rank(
        'seat',
        [...v.disks.values()].filter((d) => fit(d) && !v.seats.includes(d.id)),
        (d) => d.id,
      )
        // Disks that are for nothing else first: seats are confirmed by every node, and copies have work of their own.
        .sort(
          (a, b) =>
            Number(firstFor(a, 'copies')) - Number(firstFor(b, 'copies')) || perDomain(a.domain) - perDomain(b.domain),
        )[0];
      if (cand) {
        this.lastPlan = `seat for ${cand.id}`;
        return { ...v, seats: [...v.seats, cand.id] };
      }
    }
    const drop =
      bad[0] ?? (v.seats.length > odd ? [...v.seats].sort((a, b) => Number(live(a)) - Number(live(b)))[0] : undefined);
    if (drop === undefined || (good < odd && bad.length === 0) || awaits(v, v.seats, v.seatsWanted ?? C.seatsN)) {
      // Until the next change a majority of the seats before is needed too: that change is made now.
      if (v.seats.join() === v.prevSeats.join()) return undefined;
      this.lastPlan = 'seats are settled';
      return { ...v };
    }
    const left = v.seats.filter((d) => d !== drop);
    if (left.filter(live).length * 2 <= left.length) return undefined;
    this.lastPlan = `seat of ${drop} is given up`;
    return { ...v, seats: left };
  }

  private planShards(v: Value): Value | undefined {
    const active = [...v.disks.values()].filter((d) => d.state === 'active' && usedFor(d, 'copies'));
    if (!active.length) return undefined;
    const shards = new Map(v.shards);
    let steps = 0;
    let moving = 0;
    const targets = targetsOf(v.config, active, v.copies);
    for (const [s, p] of v.shards) {
      const target = targets.get(s)!;
      const missing = target.filter((d) => !p.copies.includes(d));
      const extra = p.copies.filter((d) => !target.includes(d));
      if (!missing.length && !extra.length) continue;
      if (!p.copies.length) {
        // Placed when no disk for copies was known: nothing was ever kept, so there is nothing to carry over.
        shards.set(s, { gen: p.gen + 1, copies: target });
        steps++;
        continue;
      }
      const repair = extra.some((d) => v.disks.get(d)?.state === 'lost');
      if (++moving > (repair ? C.repairingN : C.movingN)) continue;
      // The last step must be established (an owner serves under this generation) before the next.
      const key = this.board.get(`key/${s}`) as KeyRec | undefined;
      if (!key || key.gen !== p.gen || !this.board.isLive(key.peer)) continue;
      if (missing.length) {
        const d = missing.find((x) => {
          const m = this.board.ofDisk(x);
          return m && this.board.isLive(m.peer);
        });
        if (!d) continue;
        shards.set(s, { gen: p.gen + 1, copies: [...p.copies, d] });
        steps++;
      } else if (
        !awaits(v, p.copies, wantedCopies(v.config, s, v.copies)) &&
        !target.some((d) => key.behind.includes(d))
      ) {
        const d = extra.find((x) => v.disks.get(x)?.state === 'lost') ?? extra[0]!;
        shards.set(s, { gen: p.gen + 1, copies: p.copies.filter((x) => x !== d) });
        steps++;
      }
    }
    if (!steps) return undefined;
    this.lastPlan = `${steps} copies move`;
    return { ...v, shards };
  }
}

/**
 * Whether a lost disk's place among those that hold something is kept for it: it is given up only once there is another. With
 * fewer disks just now, what is accepted or agreed meanwhile would not outlive the next loss.
 */
function awaits(v: Value, set: string[], wanted: number): boolean {
  const there = set.filter((d) => v.disks.get(d)?.state !== 'lost');
  return (
    there.length < set.length && there.length < Math.min(copiesFor(set.length, set.length), copiesFor(wanted, wanted))
  );
}

/** A disk by its id, or by the name of the machine it is in. */
const diskNamed = (v: Value, x: string): DiskRec | undefined => {
  const there = [...v.disks.values()].filter((d) => d.name === x);
  return v.disks.get(x) ?? there.find((d) => d.state !== 'lost') ?? there[0];
};
const moveKey = (m: Move): string => `${m.id}@${m.from}`;
/**
 * Copies that a disk still has.
 * @example
 * copiesOn(value, 'd1k'); // 12
 */
export const copiesOn = (v: Value, disk: string): number =>
  [...v.shards.values()].filter((p) => p.copies.includes(disk)).length;
/** Whether nothing of the fleet is left on a disk. */
const isBare = (v: Value, disk: string): boolean => copiesOn(v, disk) === 0 && !v.seats.includes(disk);
/** A machine that the calendar adds later is not let in before. */
const waitsFor = (v: Value, peer: string): number =>
  Math.max(
    0,
    ...(v.config.moves ?? [])
      .filter(
        (m) =>
          m.kind === 'add' &&
          m.node === peer &&
          !v.moves.has(moveKey(m)) &&
          ![...v.disks.values()].some((d) => d.peer === peer),
      )
      .map((m) => m.from),
  );

/**
 * Whether the calendar has this machine out for a restart now.
 * @example
 * awayNow(reg.value, k.self); // true from a restart's `from` to its `until`
 */
export const awayNow = (v: Value | undefined, peer: string): boolean =>
  v !== undefined &&
  (v.config.moves ?? []).some(
    (m) => m.kind === 'restart' && m.node === peer && v.moves.get(moveKey(m))?.state === 'running',
  );

/** What keeps a machine from leaving now: a majority that would break, or copies that would have no place. */
function barTo(v: Value, m: Pick<Move, 'kind'>, disk: DiskRec | undefined, board: Board): string | undefined {
  if (!disk) return undefined;
  const live = (d: string): boolean => {
    const x = board.ofDisk(d);
    return d !== disk.id && x !== undefined && board.isLive(x.peer);
  };
  const short = (set: string[]): boolean => set.filter(live).length * 2 <= set.length;
  if (short(v.seats)) return 'the register would lose its majority';
  for (const [s, p] of v.shards) if (short(p.copies)) return `shard ${s} would lose its majority`;
  if (m.kind === 'restart') return undefined;
  const all = [...v.disks.values()].filter((d) => d.state === 'active' && usedFor(d, 'copies'));
  const active = copyDisks(all, quickOf(all));
  const now = copiesFor(v.config.copies ?? v.copies ?? C.copiesN, active.length);
  const left = active.filter((d) => d.id !== disk.id && live(d.id));
  if (left.length < now) return `${left.length} active live disks would be left for ${now} copies`;
  return undefined;
}

/** A configuration that is to come into force, with all who wait for it: it may be sent again and again. */
interface Submission {
  key: string;
  revision: number;
  changeId: string;
  config: FleetConfig;
  document?: string;
  until: number;
  waits: { res: (a: Revised) => void; rej: (e: unknown) => void }[];
}
/** What is in force after a submission with a revision: that one, or a higher one. */
export interface Revised {
  version: number;
  revision: number;
}

/**
 * What operators ask of the register.
 * @example
 * await k.use('operators').submit({ changeId: 'c1', expect: 3, config }); // { version: 4 }
 * await k.use('operators').submit({ revision: 17, document, config }); // { version: 5, revision: 17 }
 */
export class Operators {
  /** Those with a revision that are not in force yet. One of them, the highest, is at work at a time: it settles the lower ones too. */
  private submissions = new Map<string, Submission>();
  private working = false;

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
  ) {
    k.keep(reg.value$.subscribe(() => this.settle()));
  }

  /**
   * Takes a configuration. With a revision the highest holds: what is not above it is answered with the one in force. Without one
   * the first outcome of its changeId is given. Fails with `invalid_config`, `conflict` (without a revision), `overloaded` (beyond
   * C.submissionsN at once), and with `not_ready` or `no_majority` after C.submitMs.
   */
  async submit(b: {
    changeId?: string;
    expect?: number;
    revision?: number;
    document?: unknown;
    config: unknown;
  }): Promise<{ version: number; revision?: number }> {
    const document = b.document === undefined ? undefined : JSON.stringify(b.document);
    if (b.revision !== undefined)
      return this.revise(b.revision, b.changeId ?? `revision-${b.revision}`, b.config, document);
    return this.change('SubmitConfig', b.changeId!, b.expect, () => ({ config: b.config, document }));
  }

  /** Takes a new calendar into the configuration in force. */
  planMoves(b: { changeId: string; expect?: number; moves: Move[] }): Promise<{ version: number }> {
    return this.change('PlanMoves', b.changeId, b.expect, (v) => ({
      config: { ...v.config, moves: b.moves },
      document: v.document,
    }));
  }

  /** The configuration, or `invalid_config`. Without a value only what can be said of it by itself. */
  private checked(step: string, config: unknown, v?: Value): FleetConfig {
    const faults = configFaults(config);
    if (!faults.length && v) faults.push(...this.machineFaults(v, config as FleetConfig));
    if (faults.length) throw new Failure({ tag: 'invalid_config', step, peer: this.k.self, faults });
    return config as FleetConfig;
  }

  /** The value with a configuration in it. */
  private taken(v: Value, x: { changeId: string; config: FleetConfig; document?: string; revision?: number }): Value {
    const version = v.version + 1;
    const keys = new Set((x.config.moves ?? []).map(moveKey));
    const moves = new Map([...v.moves].filter(([k]) => keys.has(k)));
    return {
      ...v,
      version,
      changeId: x.changeId,
      config: x.config,
      document: x.document,
      revision: x.revision ?? v.revision,
      eras: erasAfter(v.eras, x.config, version),
      moves,
    };
  }

  // --- by revision ---

  private revise(revision: number, changeId: string, config: unknown, document: string | undefined): Promise<Revised> {
    const valid = this.checked('SubmitConfig', config);
    const key = `${revision}\n${JSON.stringify(config)}`;
    let s = this.submissions.get(key);
    if (!s) {
      if (this.submissions.size >= C.submissionsN) {
        throw new Failure({
          tag: 'overloaded',
          step: 'SubmitConfig',
          peer: this.k.self,
          retryAfterMs: retryAfter(this.k.host.rnd, C.retryMs),
        });
      }
      s = { key, revision, changeId, config: valid, document, until: 0, waits: [] };
      this.submissions.set(key, s);
    }
    const { waits } = s;
    s.until = this.k.host.clock.now() + C.submitMs;
    const answer = new Promise<Revised>((res, rej) => {
      waits.push({ res, rej });
    });
    this.settle();
    void this.bringIntoForce();
    return answer;
  }

  /** Whether it is still one to work on; one that was sent again later is another. */
  private wanted(s: Submission): boolean {
    return this.submissions.get(s.key) === s;
  }

  /** The one function that takes a submission out; gives who is to be told. */
  private takeOut(s: Submission): Submission['waits'] {
    if (this.wanted(s)) this.submissions.delete(s.key);
    return s.waits.splice(0);
  }

  private inForce(revision: number): Revised | undefined {
    const v = this.reg.value;
    return v?.revision !== undefined && v.revision >= revision
      ? { version: v.version, revision: v.revision }
      : undefined;
  }

  /** Answers what a value that the fleet agreed on has settled, whoever brought it about. */
  private settle(): void {
    for (const s of this.submissions.values())
      if (this.inForce(s.revision)) void this.tell(s.revision, s.until, this.takeOut(s));
  }

  /** It is settled, but something higher may be in force by now: a majority tells. Without one, in the end, it is what we know. */
  private async tell(revision: number, until: number, waits: Submission['waits']): Promise<void> {
    const { clock, rnd } = this.k.host;
    while (!(await this.reg.confirm().catch(() => false)) && clock.now() < until)
      await sleep(clock, C.submitAskMs * (0.5 + rnd.next()));
    for (const w of waits) w.res(this.inForce(revision)!);
  }

  /**
   * Works on the highest submission until none is left, or its time has passed. Senders may have left: several tries of one revision, at
   * several nodes, each go on until they see it in force. They do not fight for long: the register's retries are spread out at random.
   */
  private async bringIntoForce(): Promise<void> {
    if (this.working) return;
    this.working = true;
    try {
      for (;;) {
        const s = [...this.submissions.values()].reduce<Submission | undefined>(
          (a, b) => (!a || b.revision > a.revision ? b : a),
          undefined,
        );
        if (!s) return;
        await this.tryOnce(s);
      }
    } finally {
      this.working = false;
    }
  }

  private async tryOnce(s: Submission): Promise<void> {
    const { clock } = this.k.host;
    try {
      const a = await this.reg.change(
        (v): { next?: Value; out: Revised } => {
          if (v.revision !== undefined && v.revision >= s.revision)
            return { out: { version: v.version, revision: v.revision } };
          this.checked('SubmitConfig', s.config, v);
          const next = this.taken(v, s);
          return { next, out: { version: next.version, revision: s.revision } };
        },
        Math.min(C.submitTryMs, s.until - clock.now()),
        () => this.wanted(s),
      );
      for (const w of this.takeOut(s)) w.res(a);
    } catch (e) {
      // No longer wanted: settled meanwhile.
      if (!this.wanted(s)) return;
      const f = faultOf(e, 'SubmitConfig', this.k.self);
      if (f.tag === 'no_majority' && clock.now() < s.until) return;
      for (const w of this.takeOut(s)) w.rej(this.reg.value ? e : notReady(this.k, 'SubmitConfig'));
    }
  }

  // --- by change id ---

  private async change(
    step: string,
    changeId: string,
    expect: number | undefined,
    make: (v: Value) => { config: unknown; document?: string },
  ): Promise<{ version: number }> {
    if (!this.reg.value) throw notReady(this.k, step);
    if (!this.reg.value.changes.has(changeId)) this.checked(step, make(this.reg.value).config, this.reg.value);
    const o = await this.reg.change((v) => {
      const first = v.changes.get(changeId);
      if (first) return { out: first };
      const changes = new Map(v.changes);
      if (expect !== undefined && expect !== v.version) {
        const out = { tag: 'conflict' as const, version: v.version };
        changes.set(changeId, out);
        return { next: { ...v, changes: trimmed(changes) }, out };
      }
      const x = make(v);
      const next = this.taken(v, { changeId, config: this.checked(step, x.config, v), document: x.document });
      const out = { tag: 'taken' as const, version: next.version };
      changes.set(changeId, out);
      return { next: { ...next, changes: trimmed(changes) }, out };
    });
    switch (o.tag) {
      case 'taken':
        return { version: o.version };
      case 'conflict':
        throw new Failure({ tag: 'conflict', step, peer: this.k.self, version: o.version });
    }
  }

  /** Faults of what a configuration says of machines; moves that are already in force are not judged again. */
  private machineFaults(v: Value, c: FleetConfig): { path: string; fault: string }[] {
    const now = this.k.host.clock.wall();
    const had = new Set((v.config.moves ?? []).map((m) => JSON.stringify(m)));
    const out: { path: string; fault: string }[] = [];
    (c.moves ?? []).forEach((m, i) => {
      if (had.has(JSON.stringify(m))) return;
      if (m.until <= now) out.push({ path: `/moves/${i}/until`, fault: 'is in the past' });
      const known = this.board.members.has(m.node) || [...v.disks.values()].some((d) => d.peer === m.node);
      if (m.kind !== 'add' && !known) out.push({ path: `/moves/${i}/node`, fault: `no machine '${m.node}' is known` });
    });
    (c.placement ?? []).forEach((p, i) => {
      if (!v.shards.has(p.shard)) out.push({ path: `/placement/${i}/shard`, fault: `there is no shard ${p.shard}` });
      p.nodes.forEach((n, j) => {
        if (![...v.disks.values()].some((d) => d.peer === n && d.state !== 'lost'))
          out.push({ path: `/placement/${i}/nodes/${j}`, fault: `no disk is known at '${n}'` });
      });
    });
    return out;
  }

  /** The configuration in force, confirmed at a majority, with the operators' own number and words. */
  async readConfig(): Promise<{
    version: number;
    changeId: string;
    revision?: number;
    document?: unknown;
    config: unknown;
  }> {
    if (!this.reg.value) throw notReady(this.k, 'ReadConfig');
    const v = (await this.reg.confirm()) ? this.reg.value! : await this.reg.read();
    return {
      version: v.version,
      changeId: v.changeId,
      ...(v.revision === undefined ? {} : { revision: v.revision }),
      ...(v.document === undefined ? {} : { document: JSON.parse(v.document) }),
      config: v.config,
    };
  }

  /** Begins or takes back the emptying of a disk. */
  async setDisk(
    disk: string,
    state: 'active' | 'emptying',
    step: string,
  ): Promise<{ disk: string; state: string; copies: number; seat: boolean }> {
    if (!this.reg.value) throw notReady(this.k, step);
    return this.reg.change((v) => {
      const d = diskNamed(v, disk);
      if (!d) throw new Failure({ tag: 'unknown_disk', step, peer: this.k.self, disk });
      const told = { disk: d.id, state, copies: copiesOn(v, disk), seat: v.seats.includes(disk) };
      if (d.state === state) return { out: told };
      if (d.state === 'lost')
        throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: `disk ${disk} is lost` });
      const bar = state === 'emptying' ? barTo(v, { kind: 'empty' }, d, this.board) : undefined;
      if (bar) throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: bar });
      return { next: { ...v, disks: new Map(v.disks).set(d.id, { ...d, state }) }, out: told };
    });
  }

  /** How far the emptying of a disk has come. */
  emptyStatus(disk: string): { disk: string; state: string; copies: number; seat: boolean } {
    const v = this.reg.value;
    if (!v) throw notReady(this.k, 'EmptyStatus');
    const d = diskNamed(v, disk);
    if (!d) throw new Failure({ tag: 'unknown_disk', step: 'EmptyStatus', peer: this.k.self, disk });
    const { id } = d;
    return {
      disk: id,
      state: d.state === 'emptying' && isBare(v, id) ? 'emptied' : d.state,
      copies: copiesOn(v, id),
      seat: v.seats.includes(id),
    };
  }

  /** The calendar in force, with how far each move has come. */
  moves(): { version: number; moves: (Move & { state: MoveState | 'planned'; why: string })[] } {
    const v = this.reg.value;
    return {
      version: v?.version ?? 0,
      moves: (v?.config.moves ?? []).map((m) => ({
        ...m,
        ...(v!.moves.get(moveKey(m)) ?? { state: 'planned', why: '' }),
      })),
    };
  }
}

function trimmed<T>(m: Map<string, T>): Map<string, T> {
  while (m.size > C.changeIdsN) m.delete(m.keys().next().value!);
  return m;
}

register({
  name: 'keeper',
  needs: ['board', 'register'],
  setup: (k) => new Keeper(k, k.use('board'), k.use('register')),
});
register({
  name: 'operators',
  needs: ['board', 'register'],
  setup: (k) => new Operators(k, k.use('board'), k.use('register')),
});
