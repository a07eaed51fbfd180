import { deserializeValue, ConsensusRegister, type MembershipTable, type FleetValue } from '@harecross/control';
import { HarecrossError, pack, type Clock, type Kernel } from '@harecross/kernel';
import type { AcceptorState } from '@harecross/state';
import { pathToFileURL } from 'node:url';
import { NEVER } from 'rxjs';
import type { Json } from './json.js';

/** A change that a proposer makes: the seats it asks for, if any; each change leaves its name in the value. */
export interface ModelChange {
  name: string;
  seats?: (s: string[]) => string[];
}

export interface ModelPlan {
  /** Seats that are there; the value begins with the first three. */
  seats: number;
  /** For each proposer its changes, one after another. */
  proposers: ModelChange[][];
  /** Messages that may be lost in one run. */
  losses: number;
  /** Times a proposer may begin a change again. */
  retries: number;
  /** Times a seat's process may end and begin anew, with what it had saved. */
  restarts: number;
  /** A fault planted into the seats, to see that it is found. */
  injectedFault?:
    | 'accepts below its promise'
    | 'forgets its promise'
    | 'hides what it accepted'
    | 'comes back older'
    | 'heeds no voters before';
  /** The search ends after this many states. */
  maxStates?: number;
}
export interface ModelResult {
  states: number;
  runs: number;
  complete: boolean;
  violation?: { what: string; path: string[] };
}

type Handler = (b: Json) => unknown;
type Event =
  | {
      t: 'ask';
      from: number;
      disk: string;
      m: string;
      body: Json;
      res: (x: unknown) => void;
      rej: (e: unknown) => void;
    }
  | { t: 'wake'; from: number; fn: () => void };
interface Step {
  label: string;
  go: () => void;
}

const diskOf = (i: number): string => `d${i}`;
const changesOf = (v: FleetValue): string => [...v.changes.keys()].join(',');
const turn = (): Promise<void> => new Promise((r) => setImmediate(r));
const idle: Clock = { now: () => 0, wall: () => 0, after: () => () => undefined };

function genesis(): FleetValue {
  return {
    fleet: 'model',
    rev: 1,
    version: 0,
    changeId: '',
    config: { families: [] },
    incarnations: new Map(),
    voters: [0, 1, 2].map(diskOf),
    previousVoters: [0, 1, 2].map(diskOf),
    disks: new Map(),
    shards: new Map(),
    copies: 3,
    changes: new Map(),
    moves: new Map(),
  };
}

/**
 * A few seats and proposers of the real register. Nothing happens by itself: the search chooses which message arrives
 * next, which is lost, who begins again, and which seat restarts.
 */
class World {
  pending: Event[] = [];
  private saved: AcceptorState[] = [];
  private handlers: Map<string, Handler>[] = [];
  private regs: ConsensusRegister[] = [];
  private learned: { by: number; v: FleetValue; text: string }[] = [];
  /** What a proposer sent and heard under its present ballot. */
  private history: { ballot: string; said: Set<string> }[] = [];
  private first: AcceptorState;
  private lost = 0;
  private restarted = 0;
  private wakes: number[] = [];
  private done: string[] = [];
  bad?: string;

  constructor(private plan: ModelPlan) {
    this.first = { promised: '000000000000.x', ballot: '000000000000.x', value: pack(genesis()) };
    for (let i = 0; i < plan.seats; i++) {
      this.saved.push(i < 3 ? { ...this.first } : { promised: '', ballot: '', value: undefined });
      this.handlers.push(new Map());
      this.seat(i);
    }
    plan.proposers.forEach((changes, i) => {
      this.history.push({ ballot: '', said: new Set() });
      this.wakes.push(0);
      const register = new ConsensusRegister(this.kernel(i, undefined), this.membership());
      this.regs.push(register);
      register.value$.subscribe((v) => {
        if (v) this.learns(i, v);
      });
      (register as unknown as { learn(v: FleetValue): void }).learn(genesis());
      void this.work(i, register, changes);
    });
  }

  private async work(i: number, register: ConsensusRegister, changes: ModelChange[]): Promise<void> {
    for (const c of changes) {
      try {
        await register.change((v) => ({
          next: v.changes.has(c.name)
            ? undefined
            : {
                ...v,
                voters: c.seats ? c.seats(v.voters) : v.voters,
                changes: new Map(v.changes).set(c.name, { tag: 'taken', version: v.rev }),
              },
          out: c.name,
        }));
      } catch {
        return;
      }
      this.done.push(c.name);
      if (!register.value!.changes.has(c.name)) this.bad = `${c.name} was said to be done and is not in the value`;
    }
  }

  private membership(): MembershipTable {
    const membership: Partial<Record<keyof MembershipTable, unknown>> = {
      updateOwnState: () => undefined,
      disseminate: () => undefined,
      scaledPeriodMs: (leastMs: number) => leastMs,
      preferPeerWithDisk: (peer: string) => peer,
      isLargeFleet: () => false,
      randomPeersOrContacts: () => [],
      contactAddresses: () => [],
      memberStateChanged$: NEVER,
      memberOfDisk: (d: string) => ({ peer: d }),
      liveMembers: () => [],
      isLive: () => true,
    };
    return membership as MembershipTable;
  }

  /** The seat's real handlers over what its disk has. */
  private seat(i: number): void {
    const disk = diskOf(i);
    const { injectedFault: planted } = this.plan;
    const st = {
      get: (k: string) => (k === 'disk' ? disk : 'model'),
      set: () => undefined,
      acceptorState: (): AcceptorState => {
        const s = this.saved[i]!;
        if (planted === 'accepts below its promise') return { ...s, promised: s.ballot };
        return { ...s };
      },
      saveAcceptorState: (s: AcceptorState) => {
        const forgets = planted === 'forgets its promise' && s.ballot === this.saved[i]!.ballot;
        if (!forgets) this.saved[i] = { ...s };
      },
      db: { commit: async (f: () => unknown) => f() },
    };
    this.handlers[i]!.clear();
    new ConsensusRegister(this.kernel(-1 - i, st), this.membership());
  }

  /** What the register needs of a kernel: handlers for a seat (negative), calls for a proposer. */
  private kernel(i: number, st: object | undefined): Kernel {
    const self = i < 0 ? diskOf(-1 - i) : `p${i}`;
    const clock: Clock =
      i < 0
        ? idle
        : {
            ...idle,
            after: (ms, fn) => {
              if (ms <= 900 && this.ready) this.pending.push({ t: 'wake', from: i, fn });
              return () => undefined;
            },
          };
    const kernel = {
      self,
      instanceId: '1',
      rev: 0,
      phase: 'running',
      startedAt: 0,
      host: {
        clock,
        random: { next: () => 0.5 },
        db: st ? {} : undefined,
        config: { seeds: [], applyMs: 3_000 },
        log: { info: () => undefined, warn: () => undefined },
      },
      use: () => st,
      addSubscription: (s: { unsubscribe(): void }) => {
        s.unsubscribe();
      },
      incrementCounter: () => undefined,
      on: (m: string, h: Handler) => {
        if (i < 0) this.handlers[-1 - i]!.set(m, h);
      },
      call: (_peer: string, m: string, body: Json) =>
        new Promise((res, rej) => {
          if (this.ignored(m, body)) return res({ disk: body.disk, ok: true, promised: body.ballot });
          this.notes(i, body.ballot, `> ${m} ${body.disk} ${body.value ?? ''}`);
          this.pending.push({ t: 'ask', from: i, disk: body.disk, m, body, res, rej });
        }),
    };
    return kernel as unknown as Kernel;
  }
  /** Loops that begin with the register are none of ours: only what a change waits for is. */
  private ready = false;
  begin(): void {
    this.ready = true;
  }

  /** Planted: a change is taken as accepted by the voters that go with it, without asking them. */
  private ignored(m: string, body: { disk: string; value?: string }): boolean {
    if (this.plan.injectedFault !== 'heeds no voters before' || m !== 'RegAccept') return false;
    return !deserializeValue(body.value!).voters.includes(body.disk);
  }

  /** What belongs to an earlier ballot can only raise the number of the next one; see `key`. */
  private notes(i: number, ballot: string, text: string): void {
    const h = this.history[i]!;
    if (ballot < h.ballot) return;
    if (ballot > h.ballot) this.history[i] = { ballot, said: new Set([text]) };
    else h.said.add(text);
  }

  private learns(by: number, v: FleetValue): void {
    const text = pack(v);
    for (const x of this.learned) {
      const [low, high] = x.v.rev <= v.rev ? [x.v, v] : [v, x.v];
      if (x.v.rev === v.rev && x.text !== text)
        this.bad = `two values of revision ${v.rev}: [${changesOf(x.v)}] at p${x.by}, [${changesOf(v)}] at p${by}`;
      else if ([...low.changes.keys()].some((c) => !high.changes.has(c)))
        this.bad = `revision ${high.rev} [${changesOf(high)}] has not all of revision ${low.rev} [${changesOf(low)}]`;
    }
    for (const c of this.done)
      if (!v.changes.has(c) && !this.learned.some((x) => x.v.rev > v.rev))
        this.bad = `${c} was done and is gone at revision ${v.rev}`;
    this.learned.push({ by, v, text });
  }

  /** What may happen next. */
  steps(): Step[] {
    const out: Step[] = [];
    const take = (e: Event): void => {
      this.pending.splice(this.pending.indexOf(e), 1);
    };
    for (const e of this.pending) {
      switch (e.t) {
        case 'ask': {
          const label = `${e.m.slice(3)} p${e.from}>${e.disk} ${e.body.ballot.slice(8, 15)}`;
          const fails = (): void => {
            this.lost++;
            this.notes(e.from, e.body.ballot, `lost ${e.m} ${e.disk}`);
            e.rej(new HarecrossError({ tag: 'timeout', step: e.m, peer: e.disk }));
          };
          out.push({
            label,
            go: () => {
              take(e);
              this.arrives(e, (x) => {
                this.notes(e.from, e.body.ballot, `< ${e.m} ${e.disk} ${JSON.stringify(x)}`);
                if (x instanceof HarecrossError) e.rej(x);
                else e.res(x);
              });
            },
          });
          if (this.lost < this.plan.losses) {
            out.push({
              label: `lost: ${label}`,
              go: () => {
                take(e);
                fails();
              },
            });
            out.push({
              label: `its answer lost: ${label}`,
              go: () => {
                take(e);
                this.arrives(e, fails);
              },
            });
          }
          break;
        }
        case 'wake':
          if (this.wakes[e.from]! < this.plan.retries)
            out.push({
              label: `p${e.from} again`,
              go: () => {
                take(e);
                this.wakes[e.from]!++;
                e.fn();
              },
            });
          break;
      }
    }
    if (this.restarted < this.plan.restarts) {
      for (let i = 0; i < this.plan.seats; i++) {
        out.push({
          label: `${diskOf(i)} restarts`,
          go: () => {
            this.restarted++;
            if (this.plan.injectedFault === 'comes back older')
              this.saved[i] = i < 3 ? { ...this.first } : { promised: '', ballot: '', value: undefined };
            this.seat(i);
          },
        });
      }
    }
    return out;
  }

  /**
   * The seat does its part, and its answer arrives at once: a proposer that hears late is one whose next messages are
   * late.
   */
  private arrives(e: Extract<Event, { t: 'ask' }>, answer: (x: unknown) => void): void {
    const h = this.handlers[Number(e.disk.slice(1))]!.get(e.m)!;
    const hides = this.plan.injectedFault === 'hides what it accepted' && e.m === 'RegPrepare';
    const told = (x: unknown): void =>
      answer(hides ? { ...(x as object), ballot: this.first.ballot, value: this.first.value } : x);
    Promise.resolve()
      .then(() => h(e.body))
      .then(told, told);
  }

  /** Two worlds with the same key go on alike: what disks have, what proposers sent and heard, what is on the way. */
  key(): string {
    const way = this.pending
      .map((e) => (e.t === 'wake' ? `w${e.from}` : `${e.from}${e.disk}${e.m}${e.body.ballot}${e.body.value ?? ''}`))
      .sort();
    return JSON.stringify([
      this.saved,
      this.history.map((h) => [h.ballot, ...[...h.said].sort()]),
      this.regs.map((r) => [(r as unknown as { ballots: { last: number } }).ballots.last, r.value!.rev]),
      this.done,
      way,
      this.lost,
      this.restarted,
      this.wakes,
    ]);
  }
}

/**
 * Searches every order of messages, losses and restarts of a small register, by running the real code anew along each
 * path. Two paths that lead to the same state are followed once.
 * @example
 * (await explore(PLANS.get('seat-change')!)).states
 */
export async function exploreRegister(plan: ModelPlan): Promise<ModelResult> {
  const seen = new Set<string>();
  let runs = 0;
  const most = plan.maxStates ?? Infinity;
  const stack: number[][] = [[]];
  while (stack.length) {
    if (seen.size >= most) return { states: seen.size, runs, complete: false };
    const path = stack.pop()!;
    const w = new World(plan);
    w.begin();
    runs++;
    const labels: string[] = [];
    await turn();
    for (const i of path) {
      const s = w.steps()[i]!;
      labels.push(s.label);
      s.go();
      await turn();
    }
    // On from here as far as it is new: one run of the code for many states.
    for (;;) {
      if (w.bad) return { states: seen.size, runs, complete: false, violation: { what: w.bad, path: labels } };
      const key = w.key();
      if (seen.has(key)) break;
      seen.add(key);
      const steps = w.steps();
      if (!steps.length || seen.size >= most) break;
      for (let i = steps.length - 1; i > 0; i--) stack.push([...path, i]);
      path.push(0);
      labels.push(steps[0]!.label);
      steps[0]!.go();
      await turn();
    }
  }
  return { states: seen.size, runs, complete: true };
}

const swap: ModelChange[] = [
  { name: 'in', seats: (s) => [...s, 'd3'] },
  { name: 'out', seats: (s) => s.filter((d) => d !== 'd0') },
];

/** A voter is replaced by another in one step, and nothing settles it before the next change. */
const replace: ModelChange[] = [{ name: 'swap', seats: (seats) => seats.map((disk) => (disk === 'd0' ? 'd3' : disk)) }];

/** What is searched, by name. */
export const REGISTER_PLANS = new Map<string, ModelPlan>([
  // Two operators at once.
  ['two-changes', { seats: 3, proposers: [[{ name: 'a' }], [{ name: 'b' }]], losses: 0, retries: 1, restarts: 0 }],
  // One change, with a message lost and a seat restarted.
  ['lossy-change', { seats: 3, proposers: [[{ name: 'a' }, { name: 'b' }]], losses: 1, retries: 1, restarts: 1 }],
  // A seat goes to another disk while an operator makes a change.
  ['seat-change', { seats: 4, proposers: [swap, [{ name: 'a' }]], losses: 0, retries: 1, restarts: 0 }],
  // A voter is replaced in one step while an operator makes a change.
  ['voter-replaced', { seats: 4, proposers: [replace, [{ name: 'a' }]], losses: 0, retries: 0, restarts: 0 }],
  ['voter-replaced-again', { seats: 4, proposers: [replace, [{ name: 'a' }]], losses: 0, retries: 1, restarts: 0 }],
  ['seat-change-lossy', { seats: 4, proposers: [swap, [{ name: 'a' }]], losses: 1, retries: 2, restarts: 1 }],
]);

if (process.argv[1] && import.meta.url === pathToFileURL(process.argv[1]).href) {
  const [name, most] = process.argv.slice(2);
  for (const [n, plan] of REGISTER_PLANS) {
    if (name !== undefined && n !== name) continue;
    const from = Date.now();
    const r = await exploreRegister({ ...plan, maxStates: most === undefined ? 1_000_000 : Number(most) });
    const bad = r.violation ? `\nBAD: ${r.violation.what}\n  ${r.violation.path.join('\n  ')}` : '';
    const whole = r.complete ? 'all of them' : 'not all';
    process.stdout.write(
      `${n}: ${r.states} states, ${r.runs} runs, ${whole}, ${((Date.now() - from) / 1000).toFixed(1)} s${bad}\n`,
    );
    if (r.violation) process.exitCode = 1;
  }
}
