import { deserializeValue, ConsensusRegister, type MembershipTable, type FleetValue } from '@harecross/control';
import { HarecrossError, pack, type Clock, type Kernel } from '@harecross/kernel';
import type { AcceptorState } from '@harecross/state';
import { pathToFileURL } from 'node:url';
import { NEVER } from 'rxjs';
import type { Json } from './json.js';

/** A change that a proposer makes. Each change records its name in the value; `seats` returns the new voters, if it changes them. */
export interface ModelChange {
  name: string;
  seats?: (s: string[]) => string[];
}

export interface ModelPlan {
  /** The number of acceptors. The first three are the initial voters. */
  seats: number;
  /** The changes of each proposer, made in sequence. */
  proposers: ModelChange[][];
  /** The maximum number of requests and responses lost in one run. */
  losses: number;
  /** The maximum number of retries of each proposer. */
  retries: number;
  /** The maximum number of restarts of acceptors, all together. An acceptor restarts with its saved state. */
  restarts: number;
  /** A fault that is injected to verify that the search detects it. */
  injectedFault?:
    | 'accepts below its promise'
    | 'forgets its promise'
    | 'reports its initial value'
    | 'restarts from its initial state'
    | 'skips the previous voters';
  /** The search stops after this many states. */
  maxStates?: number;
}
export interface ModelResult {
  states: number;
  runs: number;
  complete: boolean;
  violation?: { what: string; path: string[] };
}

type Handler = (b: Json) => unknown;
type PendingEvent =
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
  run: () => void;
}

const diskOf = (i: number): string => `d${i}`;
const changeNames = (v: FleetValue): string => [...v.changes.keys()].join(',');
const nextIteration = (): Promise<void> => new Promise((r) => setImmediate(r));
const stoppedClock: Clock = { now: () => 0, wall: () => 0, after: () => () => undefined };

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
 * A few acceptors and proposers that run the production code of the register. Nothing happens by itself: the search chooses which
 * message is delivered next, which is lost, which proposer retries, and which acceptor restarts.
 */
class RegisterModel {
  pending: PendingEvent[] = [];
  private acceptorStates: AcceptorState[] = [];
  private handlers: Map<string, Handler>[] = [];
  private proposers: ConsensusRegister[] = [];
  private learned: { by: number; v: FleetValue; text: string }[] = [];
  /** The messages that each proposer sent and received with its current ballot. */
  private history: { ballot: string; entries: Set<string> }[] = [];
  private first: AcceptorState;
  private lost = 0;
  private restarted = 0;
  private retryCounts: number[] = [];
  private done: string[] = [];
  violation?: string;

  constructor(private plan: ModelPlan) {
    this.first = { promised: '000000000000.x', ballot: '000000000000.x', value: pack(genesis()) };
    for (let i = 0; i < plan.seats; i++) {
      this.acceptorStates.push(i < 3 ? { ...this.first } : { promised: '', ballot: '', value: undefined });
      this.handlers.push(new Map());
      this.seat(i);
    }
    plan.proposers.forEach((changes, i) => {
      this.history.push({ ballot: '', entries: new Set() });
      this.retryCounts.push(0);
      const register = new ConsensusRegister(this.kernel(i, undefined), this.membership());
      this.proposers.push(register);
      register.value$.subscribe((v) => {
        if (v) this.recordLearned(i, v);
      });
      (register as unknown as { learn(v: FleetValue): void }).learn(genesis());
      void this.runChanges(i, register, changes);
    });
  }

  private async runChanges(i: number, register: ConsensusRegister, changes: ModelChange[]): Promise<void> {
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
      if (!register.value!.changes.has(c.name))
        this.violation = `${c.name} was said to be done and is not in the value`;
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

  /** Starts an acceptor with the production handlers and the saved state of its disk. */
  private seat(i: number): void {
    const disk = diskOf(i);
    const { injectedFault } = this.plan;
    const acceptorStore = {
      get: (k: string) => (k === 'disk' ? disk : 'model'),
      set: () => undefined,
      acceptorState: (): AcceptorState => {
        const state = this.acceptorStates[i]!;
        if (injectedFault === 'accepts below its promise') return { ...state, promised: state.ballot };
        return { ...state };
      },
      saveAcceptorState: (s: AcceptorState) => {
        const keepsOldPromise = injectedFault === 'forgets its promise' && s.ballot === this.acceptorStates[i]!.ballot;
        if (!keepsOldPromise) this.acceptorStates[i] = { ...s };
      },
      db: { commit: async (f: () => unknown) => f() },
    };
    this.handlers[i]!.clear();
    new ConsensusRegister(this.kernel(-1 - i, acceptorStore), this.membership());
  }

  /** The part of a kernel that the register needs: handlers for acceptor `-1 - i` if `i` is negative, calls for proposer `i` otherwise. */
  private kernel(i: number, acceptorStore: object | undefined): Kernel {
    const self = i < 0 ? diskOf(-1 - i) : `p${i}`;
    const clock: Clock =
      i < 0
        ? stoppedClock
        : {
            ...stoppedClock,
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
        db: acceptorStore ? {} : undefined,
        config: { seeds: [], applyMs: 3_000 },
        log: { info: () => undefined, warn: () => undefined },
      },
      use: () => acceptorStore,
      addSubscription: (s: { unsubscribe(): void }) => {
        s.unsubscribe();
      },
      incrementCounter: () => undefined,
      on: (m: string, h: Handler) => {
        if (i < 0) this.handlers[-1 - i]!.set(m, h);
      },
      call: (_peer: string, m: string, body: Json) =>
        new Promise((res, rej) => {
          if (this.skipsVoter(m, body)) return res({ disk: body.disk, ok: true, promised: body.ballot });
          this.notes(i, body.ballot, `> ${m} ${body.disk} ${body.value ?? ''}`);
          this.pending.push({ t: 'ask', from: i, disk: body.disk, m, body, res, rej });
        }),
    };
    return kernel as unknown as Kernel;
  }
  /** Set after construction: timers of the register's background loops are ignored, and only those that a change waits for are modelled. */
  private ready = false;
  enableTimers(): void {
    this.ready = true;
  }

  /** Injected fault: counts a change as accepted by the voters that it removes, without sending them `RegAccept`. */
  private skipsVoter(m: string, body: { disk: string; value?: string }): boolean {
    if (this.plan.injectedFault !== 'skips the previous voters' || m !== 'RegAccept') return false;
    return !deserializeValue(body.value!).voters.includes(body.disk);
  }

  /** Messages of an earlier ballot are left out: they can only raise the number of the next ballot, which `key` contains. */
  private notes(i: number, ballot: string, text: string): void {
    const history = this.history[i]!;
    if (ballot < history.ballot) return;
    if (ballot > history.ballot) this.history[i] = { ballot, entries: new Set([text]) };
    else history.entries.add(text);
  }

  private recordLearned(by: number, v: FleetValue): void {
    const text = pack(v);
    for (const x of this.learned) {
      const [low, high] = x.v.rev <= v.rev ? [x.v, v] : [v, x.v];
      if (x.v.rev === v.rev && x.text !== text)
        this.violation = `two values of revision ${v.rev}: [${changeNames(x.v)}] at p${x.by}, [${changeNames(v)}] at p${by}`;
      else if ([...low.changes.keys()].some((c) => !high.changes.has(c)))
        this.violation = `revision ${high.rev} [${changeNames(high)}] has not all of revision ${low.rev} [${changeNames(low)}]`;
    }
    for (const c of this.done)
      if (!v.changes.has(c) && !this.learned.some((x) => x.v.rev > v.rev))
        this.violation = `${c} was done and is gone at revision ${v.rev}`;
    this.learned.push({ by, v, text });
  }

  /** The steps that may happen next. */
  steps(): Step[] {
    const steps: Step[] = [];
    const removePending = (e: PendingEvent): void => {
      this.pending.splice(this.pending.indexOf(e), 1);
    };
    for (const event of this.pending) {
      switch (event.t) {
        case 'ask': {
          const label = `${event.m.slice(3)} p${event.from}>${event.disk} ${event.body.ballot.slice(8, 15)}`;
          const lose = (): void => {
            this.lost++;
            this.notes(event.from, event.body.ballot, `lost ${event.m} ${event.disk}`);
            event.rej(new HarecrossError({ tag: 'timeout', step: event.m, peer: event.disk }));
          };
          steps.push({
            label,
            run: () => {
              removePending(event);
              this.deliver(event, (x) => {
                this.notes(event.from, event.body.ballot, `< ${event.m} ${event.disk} ${JSON.stringify(x)}`);
                if (x instanceof HarecrossError) event.rej(x);
                else event.res(x);
              });
            },
          });
          if (this.lost < this.plan.losses) {
            steps.push({
              label: `lost: ${label}`,
              run: () => {
                removePending(event);
                lose();
              },
            });
            steps.push({
              label: `its answer lost: ${label}`,
              run: () => {
                removePending(event);
                this.deliver(event, lose);
              },
            });
          }
          break;
        }
        case 'wake':
          if (this.retryCounts[event.from]! < this.plan.retries)
            steps.push({
              label: `p${event.from} again`,
              run: () => {
                removePending(event);
                this.retryCounts[event.from]!++;
                event.fn();
              },
            });
          break;
      }
    }
    if (this.restarted < this.plan.restarts) {
      for (let i = 0; i < this.plan.seats; i++) {
        steps.push({
          label: `${diskOf(i)} restarts`,
          run: () => {
            this.restarted++;
            if (this.plan.injectedFault === 'restarts from its initial state')
              this.acceptorStates[i] = i < 3 ? { ...this.first } : { promised: '', ballot: '', value: undefined };
            this.seat(i);
          },
        });
      }
    }
    return steps;
  }

  /**
   * Runs the acceptor's handler. Its response arrives at once: a response that arrives late is equivalent to the proposer's next
   * messages arriving late.
   */
  private deliver(e: Extract<PendingEvent, { t: 'ask' }>, answer: (x: unknown) => void): void {
    const handler = this.handlers[Number(e.disk.slice(1))]!.get(e.m)!;
    const hidesAccepted = this.plan.injectedFault === 'reports its initial value' && e.m === 'RegPrepare';
    const respond = (x: unknown): void =>
      answer(hidesAccepted ? { ...(x as object), ballot: this.first.ballot, value: this.first.value } : x);
    Promise.resolve()
      .then(() => handler(e.body))
      .then(respond, respond);
  }

  /** Models with the same key behave alike from here on: it contains the saved states, the proposers' messages and what is pending. */
  key(): string {
    const pendingKeys = this.pending
      .map((e) => (e.t === 'wake' ? `w${e.from}` : `${e.from}${e.disk}${e.m}${e.body.ballot}${e.body.value ?? ''}`))
      .sort();
    return JSON.stringify([
      this.acceptorStates,
      this.history.map((h) => [h.ballot, ...[...h.entries].sort()]),
      this.proposers.map((r) => [(r as unknown as { ballots: { last: number } }).ballots.last, r.value!.rev]),
      this.done,
      pendingKeys,
      this.lost,
      this.restarted,
      this.retryCounts,
    ]);
  }
}

/**
 * Searches every order of messages, losses and restarts of a small register by rerunning the production code along each path.
 * Paths that lead to the same state are followed only once.
 * @example
 * (await exploreRegister(REGISTER_PLANS.get('seat-change')!)).states
 */
export async function exploreRegister(plan: ModelPlan): Promise<ModelResult> {
  const seen = new Set<string>();
  let runs = 0;
  const maxStates = plan.maxStates ?? Infinity;
  const stack: number[][] = [[]];
  while (stack.length) {
    if (seen.size >= maxStates) return { states: seen.size, runs, complete: false };
    const path = stack.pop()!;
    const model = new RegisterModel(plan);
    model.enableTimers();
    runs++;
    const labels: string[] = [];
    await nextIteration();
    for (const i of path) {
      const step = model.steps()[i]!;
      labels.push(step.label);
      step.run();
      await nextIteration();
    }
    // Continues as long as the states are new, so that one run of the code covers many states.
    for (;;) {
      if (model.violation)
        return { states: seen.size, runs, complete: false, violation: { what: model.violation, path: labels } };
      const key = model.key();
      if (seen.has(key)) break;
      seen.add(key);
      const steps = model.steps();
      if (!steps.length || seen.size >= maxStates) break;
      for (let i = steps.length - 1; i > 0; i--) stack.push([...path, i]);
      path.push(0);
      labels.push(steps[0]!.label);
      steps[0]!.run();
      await nextIteration();
    }
  }
  return { states: seen.size, runs, complete: true };
}

const MOVE_VOTER: ModelChange[] = [
  { name: 'in', seats: (s) => [...s, 'd3'] },
  { name: 'out', seats: (s) => s.filter((d) => d !== 'd0') },
];

/** Replaces a voter in one step, without another step that completes the replacement before the next change. */
const REPLACE_VOTER: ModelChange[] = [
  { name: 'swap', seats: (seats) => seats.map((disk) => (disk === 'd0' ? 'd3' : disk)) },
];

/** Searches by their name on the command line. */
export const REGISTER_PLANS = new Map<string, ModelPlan>([
  // Two operators make changes concurrently.
  ['two-changes', { seats: 3, proposers: [[{ name: 'a' }], [{ name: 'b' }]], losses: 0, retries: 1, restarts: 0 }],
  // One proposer makes two changes; a message is lost and an acceptor restarts.
  ['lossy-change', { seats: 3, proposers: [[{ name: 'a' }, { name: 'b' }]], losses: 1, retries: 1, restarts: 1 }],
  // A voter is added and another removed while an operator makes a change.
  ['seat-change', { seats: 4, proposers: [MOVE_VOTER, [{ name: 'a' }]], losses: 0, retries: 1, restarts: 0 }],
  // A voter is replaced in one step while an operator makes a change.
  ['voter-replaced', { seats: 4, proposers: [REPLACE_VOTER, [{ name: 'a' }]], losses: 0, retries: 0, restarts: 0 }],
  [
    'voter-replaced-again',
    { seats: 4, proposers: [REPLACE_VOTER, [{ name: 'a' }]], losses: 0, retries: 1, restarts: 0 },
  ],
  ['seat-change-lossy', { seats: 4, proposers: [MOVE_VOTER, [{ name: 'a' }]], losses: 1, retries: 2, restarts: 1 }],
]);

if (process.argv[1] && import.meta.url === pathToFileURL(process.argv[1]).href) {
  const [name, maxStates] = process.argv.slice(2);
  for (const [planName, plan] of REGISTER_PLANS) {
    if (name !== undefined && planName !== name) continue;
    const startedAt = Date.now();
    const result = await exploreRegister({
      ...plan,
      maxStates: maxStates === undefined ? 1_000_000 : Number(maxStates),
    });
    const violation = result.violation
      ? `\nBAD: ${result.violation.what}\n  ${result.violation.path.join('\n  ')}`
      : '';
    const completeness = result.complete ? 'all of them' : 'not all';
    process.stdout.write(
      `${planName}: ${result.states} states, ${result.runs} runs, ${completeness}, ${((Date.now() - startedAt) / 1000).toFixed(1)} s${violation}\n`,
    );
    if (result.violation) process.exitCode = 1;
  }
}
