/** What operators ask of the fleet: configurations, the calendar of moves, and the emptying of disks. */
import { C, Failure, faultOf, register, retryAfter, sleep, within, type Kernel } from '@harecross/kernel';
import { configFaults, type FleetConfig, type Move } from '@harecross/schema';
import type { Board } from './board.js';
import { erasAfter } from './eras.js';
import { barTo, copiesOn, diskNamed, isBare, moveKey } from './fleet-state.js';
import { notReady, type Register } from './register.js';
import type { MoveState, Value } from './value.js';

declare module '@harecross/kernel' {
  interface Faces {
    operators: Operators;
  }
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
   * C.submissionsN at once), and with `not_ready` or `no_majority`: within C.operatorAnswerMs where no majority answers, else after
   * C.submitMs. One that failed so may still come into force, up to C.submitMs after it was last sent here.
   */
  async submit(b: {
    changeId?: string;
    expect?: number;
    revision?: number;
    document?: unknown;
    config: unknown;
  }): Promise<{ version: number; revision?: number }> {
    this.mustBeNew('SubmitConfig');
    const document = b.document === undefined ? undefined : JSON.stringify(b.document);
    if (b.revision !== undefined) {
      const revised = this.revise(b.revision, b.changeId ?? `revision-${b.revision}`, b.config, document);
      return this.inTime('SubmitConfig', revised);
    }
    return this.change('SubmitConfig', b.changeId!, b.expect, () => ({ config: b.config, document }));
  }

  /** Takes a new calendar into the configuration in force. */
  planMoves(b: { changeId: string; expect?: number; moves: Move[] }): Promise<{ version: number }> {
    return this.change('PlanMoves', b.changeId, b.expect, (v) => ({
      config: { ...v.config, moves: b.moves },
      document: v.document,
    }));
  }

  /**
   * The outcome of an order, or `no_majority` after C.operatorAnswerMs where no majority answered anything asked since the order
   * came: its sender has to know in time that another node may do better. The order itself goes on up to its own limit.
   */
  private async inTime<T>(step: string, work: Promise<T>): Promise<T> {
    const { clock } = this.k.host;
    const askedAt = clock.now();
    void this.reg.confirm().catch(() => undefined);
    const done = within(
      clock,
      C.operatorAnswerMs,
      work.then((out) => ({ out })),
    );
    const got = await done;
    if (got) return got.out;
    if (this.reg.confirmedSince(askedAt)) return work;
    work.catch(() => this.k.count('orders.failed_later'));
    throw this.reg.value ? this.noMajority(step) : notReady(this.k, step);
  }

  /** Turns away an order that may have lain in a buffer for long: its sender, if it still wants it, sends it again. */
  private mustBeNew(step: string): void {
    if (this.k.wokeJustNow()) throw notReady(this.k, step);
  }

  private noMajority(step: string): Failure {
    const detail = `no majority of the voters answered within ${C.operatorAnswerMs} ms`;
    return new Failure({ tag: 'no_majority', step, peer: this.k.self, detail });
  }

  /**
   * The value as a majority confirms it to a question asked after this call began; `no_majority` after C.operatorAnswerMs. A process
   * that stood still meanwhile does not answer by what it heard before.
   */
  private async confirmedValue(step: string): Promise<Value> {
    if (!this.reg.value) throw notReady(this.k, step);
    const { clock } = this.k.host;
    const askedAt = clock.now();
    const v = await within(clock, C.operatorAnswerMs, this.currentValue());
    if (!v || clock.now() - askedAt > C.operatorAnswerMs) throw this.noMajority(step);
    return v;
  }

  /** The value after a confirmation that begins now, or read by a ballot: it may be newer than what was confirmed, never older. */
  private async currentValue(): Promise<Value> {
    return (await this.reg.confirm()) ? this.reg.value! : this.reg.read(C.operatorAnswerMs);
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

  /** It is settled, but something higher may be in force by now: a majority tells, and without one nothing is confirmed. */
  private async tell(revision: number, until: number, waits: Submission['waits']): Promise<void> {
    const { clock, rnd } = this.k.host;
    while (!(await this.reg.confirm().catch(() => false))) {
      if (clock.now() >= until) {
        for (const w of waits) w.rej(this.noMajority('SubmitConfig'));
        return;
      }
      await sleep(clock, C.submitAskMs * (0.5 + rnd.next()));
    }
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
    this.mustBeNew(step);
    if (!this.reg.value) throw notReady(this.k, step);
    // What is wrong with it by itself is told at once; what depends on the fleet only by a value that a majority has.
    if (!this.reg.value.changes.has(changeId)) this.checked(step, make(this.reg.value).config);
    const changed = this.reg.change((v) => {
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
    }, C.submitMs);
    const o = await this.inTime(step, changed);
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
    const v = await this.confirmedValue('ReadConfig');
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
    this.mustBeNew(step);
    if (!this.reg.value) throw notReady(this.k, step);
    const changed = this.reg.change((v) => {
      const d = diskNamed(v, disk);
      if (!d) throw new Failure({ tag: 'unknown_disk', step, peer: this.k.self, disk });
      const told = { disk: d.id, state, copies: copiesOn(v, disk), seat: v.seats.includes(disk) };
      if (d.state === state) return { out: told };
      if (d.state === 'lost')
        throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: `disk ${disk} is lost` });
      const bar = state === 'emptying' ? barTo(v, { kind: 'empty' }, d, this.board) : undefined;
      if (bar) throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: bar });
      return { next: { ...v, disks: new Map(v.disks).set(d.id, { ...d, state }) }, out: told };
    }, C.submitMs);
    return this.inTime(step, changed);
  }

  /** How far the emptying of a disk has come, confirmed at a majority: a machine that is said to be emptied is taken away. */
  async emptyStatus(disk: string): Promise<{ disk: string; state: string; copies: number; seat: boolean }> {
    const v = await this.confirmedValue('EmptyStatus');
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

  /** The calendar in force, confirmed at a majority, with how far each move has come. */
  async moves(): Promise<{ version: number; moves: (Move & { state: MoveState | 'planned'; why: string })[] }> {
    const v = await this.confirmedValue('Moves');
    return {
      version: v.version,
      moves: (v.config.moves ?? []).map((m) => ({
        ...m,
        ...(v.moves.get(moveKey(m)) ?? { state: 'planned', why: '' }),
      })),
    };
  }
}

function trimmed<T>(m: Map<string, T>): Map<string, T> {
  while (m.size > C.changeIdsN) m.delete(m.keys().next().value!);
  return m;
}

register({
  name: 'operators',
  needs: ['board', 'register'],
  setup: (k) => new Operators(k, k.use('board'), k.use('register')),
});
