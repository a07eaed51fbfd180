import { nextIncarnations, type MembershipTable, type ConsensusRegister } from '@harecross/control';
import { ReplicaStore, ShardOwner, type ShardState, type ShardTable } from '@harecross/data';
import {
  HarecrossError,
  toErrorDetails,
  shardOf,
  type Clock,
  type SyncedDatabase,
  type Kernel,
  type Sql,
} from '@harecross/kernel';
import { DurableState, TABLES, createTables, type Entry, type Replica } from '@harecross/state';
import Database, { type Statement } from 'better-sqlite3';
import { Subject } from 'rxjs';
import { pathToFileURL } from 'node:url';
import type { Json } from './json.js';

export interface ShardPlan {
  /** The maximum number of takeovers of the shard, over all nodes. */
  takeovers: number;
  /** `messages`: distinct messages, all of one sender. `sends`: the maximum number of sends, including repeated ones. */
  messages: number;
  sends: number;
  /** The maximum number of requests and responses lost. */
  losses: number;
  /** The maximum number of restarts of nodes, all together. A node restarts with the contents of its disk. */
  restarts: number;
  /** Replaces the replica on `a` by one on `d` in one step. `a` hasn't learned of it, the others have. `a` and `c` take the shard over. */
  replacement?: boolean;
  injectedFault?:
    | 'accepts lower fences'
    | 'forgets its promise'
    | 'answers before it has synced'
    | 'reports an empty log'
    | 'ignores the previous replicas';
  maxStates?: number;
}
export interface ShardResult {
  states: number;
  runs: number;
  complete: boolean;
  violation?: { what: string; path: string[] };
}

/** The first three have replicas. The fourth has one only in plans with a replacement. */
const NODES = ['a', 'b', 'c', 'd'];
const COPIES = NODES.slice(0, 3);
const TOPIC = 't/1';
const SHARD = shardOf(TOPIC);
const CONFIG = {
  families: [{ name: 'f', topics: ['t/*'], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 30 }],
};
const INITIAL_VALUE = {
  rev: 1,
  version: 1,
  config: CONFIG,
  incarnations: nextIncarnations(new Map(), CONFIG, 1),
  shards: new Map([[SHARD, { gen: 1, copies: COPIES }]]),
  disks: new Map(NODES.map((d) => [d, { id: d, peer: d, domain: d, state: 'active' }])),
};
/** The register's value after the replica on `a` was replaced. */
const replacedValue = (previous: string[] | undefined) => ({
  ...INITIAL_VALUE,
  rev: 2,
  shards: new Map([[SHARD, { gen: 2, copies: ['b', 'c', 'd'], ...(previous ? { previous } : {}) }]]),
});
/** Orders entries of a map by their keys. */
const byKey = <K extends string | number>([a]: [K, unknown], [b]: [K, unknown]): number => {
  if (a === b) return 0;
  return a < b ? -1 : 1;
};
const nextIteration = (): Promise<void> => new Promise((r) => setImmediate(r));

/** Databases that no model uses at present. */
const idleDisks: Sql[] = [];

/** An empty disk. Its tables and compiled statements are kept from one model to the next. */
function takeDisk(): Sql {
  const sql = idleDisks.pop();
  if (!sql) return newDisk();
  for (const { name } of TABLES) sql.prepare(`delete from ${name}`).run();
  return sql;
}

function newDisk(): Sql {
  const sql = new Database(':memory:');
  const statements = new Map<string, Statement>();
  const compile = sql.prepare.bind(sql);
  const prepare = (text: string): Statement => {
    const statement = statements.get(text) ?? compile(text);
    statements.set(text, statement);
    return statement;
  };
  Object.assign(sql, { prepare });
  createTables(sql);
  return sql;
}

type Handler = (b: Json, f: Json) => unknown;
interface PendingCall {
  from: number;
  to: number;
  m: string;
  body: Json;
  resolve: (x: unknown) => void;
  reject: (e: unknown) => void;
}
interface Step {
  label: () => string;
  run: () => void;
}

/** Four nodes that run the production code of the replicas and the owner of one shard. The search chooses what happens next. */
class ShardModel {
  private pendingCalls: PendingCall[] = [];
  private pendingRetries: { node: number; instanceNumber: number; fn: () => void }[] = [];
  private disks: Sql[] = NODES.map(takeDisk);
  private states: DurableState[] = [];
  private copies: ReplicaStore[] = [];
  private handlers: Map<string, Handler>[] = NODES.map(() => new Map());
  private owners: ShardOwner[] = [];
  private instanceNumbers = NODES.map(() => 0);
  /** The requests and responses of each node in its current takeover or ownership, which `fence` identifies. */
  private histories: { fence: string; lines: Set<string> }[] = NODES.map(() => ({ fence: '', lines: new Set() }));
  private takeoverCount = 0;
  private sent: number[] = [];
  private unansweredSends: string[] = [];
  private lost = 0;
  private restarted = 0;
  private accepted = new Map<number, number>();
  private refused = new Set<number>();
  violation?: string;

  constructor(private plan: ShardPlan) {
    NODES.forEach((_, i) => this.startNode(i));
  }

  private registerValueAt(node: string): unknown {
    if (!this.plan.replacement || node === 'a') return INITIAL_VALUE;
    return replacedValue(this.plan.injectedFault === 'ignores the previous replicas' ? undefined : COPIES);
  }

  /** Whether a node may take over the shard in this plan. */
  private mayTakeShard(node: string): boolean {
    return node === 'a' || node === (this.plan.replacement ? 'c' : 'b');
  }

  private startNode(i: number): void {
    const instanceNumber = ++this.instanceNumbers[i]!;
    const self = NODES[i]!;
    this.handlers[i]!.clear();
    // The clock is stopped. Of the timers, only delays of at most 1 ms elapse by themselves, and delays before retries (under 100 ms) are
    // ended by the search; longer ones never elapse.
    const clock: Clock = {
      now: () => 0,
      wall: () => 0,
      after: (ms, fn) => {
        if (ms <= 1) queueMicrotask(fn);
        else if (ms < 100) this.pendingRetries.push({ node: i, instanceNumber, fn });
        return () => undefined;
      },
    };
    const kernelStub = {
      self,
      instanceId: String(instanceNumber),
      rev: 1,
      phase: 'running',
      startedAt: 0,
      counters: new Map(),
      host: {
        clock,
        random: { next: () => 0.5 },
        db: {},
        config: { seeds: [] },
        log: {
          info: () => undefined,
          warn: (s: string, x: unknown) => {
            this.violation ??= `${self}: ${s} ${JSON.stringify(x)}`;
          },
        },
      },
      addSubscription: (s: { unsubscribe(): void }) => s.unsubscribe(),
      incrementCounter: () => undefined,
      onStop: () => undefined,
      loopResumed$: new Subject(),
      on: (m: string, h: Handler) => {
        this.handlers[i]!.set(m, h);
      },
      call: (peer: string, m: string, body: Json) => this.call(i, instanceNumber, NODES.indexOf(peer), m, body),
      callAnyPath: (peer: string, m: string, body: Json) => this.call(i, instanceNumber, NODES.indexOf(peer), m, body),
    };
    const member = (d: string) => ({ peer: d, disk: d, state: 'live', condition: 'ready', inst: '1', liveSince: 0 });
    const membership = {
      factChanged$: new Subject(),
      memberStateChanged$: new Subject(),
      members: new Map(NODES.map((d) => [d, member(d)])),
      get: () => undefined,
      publish: () => undefined,
      isLive: () => true,
      isAvailable: () => true,
      memberOfDisk: member,
      liveMembers: () => NODES.map(member),
      updateOwnState: () => undefined,
    };
    const register = {
      value: this.registerValueAt(self),
      value$: new Subject(),
      readLeaseStarted$: new Subject(),
      hasReadLease: () => true,
      peerOf: (d: string) => d,
      disk: self,
    };
    // The production store on a database in memory; a commit is durable at once.
    const durableState = new DurableState({
      sql: this.disks[i]!,
      commit: async (f: () => unknown) => f(),
      whenSynced: async () => undefined,
    } as unknown as SyncedDatabase);
    durableState.set('disk', self);
    const kernel = kernelStub as unknown as Kernel;
    const copies = new ReplicaStore(kernel, durableState);
    this.states[i] = durableState;
    this.copies[i] = copies;
    this.owners[i] = new ShardOwner(
      kernel,
      membership as unknown as MembershipTable,
      register as unknown as ConsensusRegister,
      copies,
    );
  }

  /** The replica of the shard on a node's disk. */
  private replica(i: number): Replica | undefined {
    return this.copies[i]!.all.get(SHARD);
  }

  /** Ends the use of the disks, for the next model. */
  close(): void {
    idleDisks.push(...this.disks);
  }

  private shardState(i: number): ShardState {
    return (this.owners[i] as unknown as { shards: ShardTable }).shards.get(SHARD);
  }

  private handle(to: number, method: string, body: Json, from: number): Promise<unknown> {
    return Promise.resolve().then(() =>
      this.handlers[to]!.get(method)!(body, { peer: NODES[from], instanceId: '1', toLocal: (t: number) => t }),
    );
  }

  private call(from: number, instanceNumber: number, to: number, method: string, body: Json): Promise<unknown> {
    const encoded = JSON.stringify(body);
    if (from === to) return this.handle(to, method, JSON.parse(encoded), from);
    const fence: string = method === 'Fence' ? body.items[0].fence : (body.fence ?? this.histories[from]!.fence);
    this.notes(from, fence, `> ${method} ${to} ${encoded}`);
    return new Promise((resolve, reject) => {
      const ifSameInstance =
        (fn: (x: Json) => void) =>
        (x: unknown): void => {
          if (this.instanceNumbers[from] === instanceNumber) fn(x);
        };
      this.pendingCalls.push({
        from,
        to,
        m: method,
        body: JSON.parse(encoded),
        resolve: ifSameInstance(resolve),
        reject: ifSameInstance(reject),
      });
    });
  }

  private notes(i: number, fence: string, line: string): void {
    const history = this.histories[i]!;
    if (fence < history.fence) return;
    if (fence > history.fence) this.histories[i] = { fence, lines: new Set([line]) };
    else history.lines.add(line);
  }

  private deliver(call: PendingCall, answer: (x: unknown) => void): void {
    const { injectedFault } = this.plan;
    const replica = this.replica(call.to);
    if (
      injectedFault === 'accepts lower fences' &&
      call.m === 'Append' &&
      replica &&
      call.body.fence < replica.promised
    )
      replica.promised = call.body.fence;
    void this.handle(call.to, call.m, call.body, call.from)
      .catch((e) => (e instanceof HarecrossError ? e : new HarecrossError(toErrorDetails(e, call.m, NODES[call.to]!))))
      .then((x) => {
        if (injectedFault === 'reports an empty log' && call.m === 'Fence')
          x = (x as { ok: boolean }[]).map((p) => (p.ok ? { ...p, lastIdx: 0, lastFence: '', baseIdx: 0 } : p));
        answer(x);
      });
  }

  private send(seq: number, i: number): void {
    this.sent.push(seq);
    const sendKey = `${seq}@${i}.${this.instanceNumbers[i]}`;
    this.unansweredSends.push(sendKey);
    const instanceNumber = this.instanceNumbers[i];
    const finishSend = (): boolean => {
      this.unansweredSends.splice(this.unansweredSends.indexOf(sendKey), 1);
      return this.instanceNumbers[i] === instanceNumber;
    };
    this.handle(i, 'Publish', { sender: 's', topic: TOPIC, seq, body: `m${seq}` }, i).then(
      (x) => {
        if (!finishSend()) return;
        const { offset } = x as { offset: number };
        const previousOffset = this.accepted.get(seq);
        if (previousOffset !== undefined && previousOffset !== offset)
          this.violation = `message ${seq} was accepted at ${previousOffset} and at ${offset}`;
        for (const [s, o] of this.accepted)
          if (s !== seq && o === offset) this.violation = `messages ${s} and ${seq} were both accepted at ${offset}`;
        if (this.refused.has(seq)) this.violation = `message ${seq} was refused for good, and accepted`;
        this.accepted.set(seq, offset);
      },
      (e) => {
        if (!finishSend()) return;
        if (toErrorDetails(e, 'Publish', NODES[i]!).tag !== 'stale_seq') return;
        if (this.accepted.has(seq)) this.violation = `message ${seq} was accepted, and refused for good`;
        this.refused.add(seq);
      },
    );
  }

  /** Checks that an owner with the promises of a majority has every accepted message and none that was permanently refused. */
  checkOwners(): void {
    NODES.forEach((n, i) => {
      const shard = this.shardState(i);
      if (shard.phase !== 'owner') return;
      const promised = shard.replicas.filter((d) => this.replica(NODES.indexOf(d))?.promised === shard.fence);
      if (promised.length * 2 <= shard.replicas.length) return;
      for (const [seq, off] of this.accepted) {
        const o = shard.outcomeOf(TOPIC, 's', seq);
        if (o.tag !== 'stored' || o.off !== off)
          this.violation ??= `${n} owns the key, and message ${seq}, accepted at ${off}, is ${o.tag}`;
      }
      for (const seq of this.refused)
        if (shard.outcomeOf(TOPIC, 's', seq).tag === 'stored')
          this.violation ??= `${n} owns the key and has message ${seq}, which was refused for good`;
    });
  }

  steps(): Step[] {
    const { plan } = this;
    const steps: Step[] = [];
    for (const call of this.pendingCalls) {
      const label = (): string => {
        const body = JSON.stringify(call.body).replace(/0000+/g, '').slice(0, 90);
        return `${call.m} ${NODES[call.from]}>${NODES[call.to]} ${body}`;
      };
      const removePending = (): void => {
        this.pendingCalls.splice(this.pendingCalls.indexOf(call), 1);
      };
      const lose = (): void => {
        this.lost++;
        this.notes(call.from, this.histories[call.from]!.fence, `lost ${label()}`);
        call.reject(new HarecrossError({ tag: 'timeout', step: call.m, peer: NODES[call.to]! }));
      };
      steps.push({
        label,
        run: () => {
          removePending();
          this.deliver(call, (x) => {
            this.notes(call.from, this.histories[call.from]!.fence, `< ${call.m} ${call.to} ${JSON.stringify(x)}`);
            if (x instanceof HarecrossError) call.reject(x);
            else call.resolve(x);
          });
        },
      });
      if (this.lost < plan.losses) {
        steps.push({
          label: () => `lost: ${label()}`,
          run: () => {
            removePending();
            lose();
          },
        });
        steps.push({
          label: () => `its answer lost: ${label()}`,
          run: () => {
            removePending();
            this.deliver(call, lose);
          },
        });
      }
    }
    for (const timer of this.pendingRetries)
      steps.push({
        label: () => `${NODES[timer.node]} tries again`,
        run: () => {
          this.pendingRetries.splice(this.pendingRetries.indexOf(timer), 1);
          if (this.instanceNumbers[timer.node] === timer.instanceNumber) timer.fn();
        },
      });
    NODES.forEach((n, i) => {
      const { phase: state } = this.shardState(i);
      if (this.takeoverCount < plan.takeovers && state !== 'taking' && state !== 'confirming' && this.mayTakeShard(n))
        steps.push({
          label: () => `${n} takes the key`,
          run: () => {
            this.takeoverCount++;
            void this.handle(i, 'TakeKey', { shard: SHARD }, i);
          },
        });
      if (this.sent.length < plan.sends && (state === 'owner' || state === 'confirming')) {
        const next = Math.max(0, ...this.sent) + 1;
        for (let seq = 1; seq <= Math.min(next, plan.messages); seq++) {
          if (!this.unansweredSends.includes(`${seq}@${i}.${this.instanceNumbers[i]}`))
            steps.push({ label: () => `message ${seq} to ${n}`, run: () => this.send(seq, i) });
        }
      }
      if (this.restarted < plan.restarts && COPIES.includes(n)) {
        steps.push({
          label: () => `${n} begins anew`,
          run: () => {
            this.restarted++;
            const replica = this.replica(i);
            if (replica && plan.injectedFault === 'forgets its promise') this.states[i]!.savePromise(replica, '');
            if (replica && plan.injectedFault === 'answers before it has synced')
              this.states[i]!.truncateFrom(replica, Math.max(replica.last, replica.base.idx + 1));
            this.pendingCalls = this.pendingCalls.filter((a) => a.from !== i);
            this.histories[i] = { fence: '', lines: new Set() };
            this.startNode(i);
          },
        });
      }
    });
    return steps;
  }

  key(): string {
    const entryKey = (e: Entry): unknown => [e.idx, e.fence, e.off, e.seq];
    const replicaKey = (i: number): unknown => {
      const replica = this.replica(i);
      if (!replica) return undefined;
      const select = 'select idx, fence, off, seq from entry where shard = ? order by idx';
      return [replica.promised, replica.base.idx, this.disks[i]!.prepare(select).raw().all(SHARD)];
    };
    return JSON.stringify([
      NODES.map((_, i) => replicaKey(i)),
      NODES.map((_, i) => {
        const state = this.shardState(i);
        return [
          state.phase,
          state.fence,
          state.commitIndex,
          state.tail.map(entryKey),
          [...state.matchIndex].sort(byKey),
          [...state.nextIndex].sort(byKey),
          [...state.appendsInFlight].sort(),
          state.commitWaiters.map((waiter) => waiter.index),
        ];
      }),
      this.histories.map((s) => [s.fence, ...[...s.lines].sort()]),
      this.instanceNumbers,
      this.pendingCalls.map((a) => `${a.from}${a.to}${a.m}${JSON.stringify(a.body)}`).sort(),
      this.pendingRetries.map((s) => s.node).sort((a, b) => a - b),
      this.takeoverCount,
      this.sent,
      [...this.unansweredSends].sort(),
      this.lost,
      this.restarted,
      [...this.accepted].sort(byKey),
      [...this.refused].sort((a, b) => a - b),
    ]);
  }
}

/**
 * Searches every order of takeovers, messages, losses and restarts of one shard by rerunning the production code of the owner and the
 * replicas along each path.
 * @example
 * (await exploreShard(SHARD_PLANS.get('handover')!)).states
 */
export async function exploreShard(plan: ShardPlan): Promise<ShardResult> {
  const seen = new Set<string>();
  let runs = 0;
  const maxStates = plan.maxStates ?? Infinity;
  const stack: number[][] = [[]];
  while (stack.length) {
    if (seen.size >= maxStates) return { states: seen.size, runs, complete: false };
    const path = stack.pop()!;
    const model = new ShardModel(plan);
    runs++;
    const chosenSteps: Step[] = [];
    const step = async (i: number): Promise<void> => {
      const chosen = model.steps()[i]!;
      chosenSteps.push(chosen);
      chosen.run();
      await nextIteration();
      model.checkOwners();
    };
    for (const i of path) await step(i);
    for (;;) {
      if (model.violation)
        return {
          states: seen.size,
          runs,
          complete: false,
          violation: { what: model.violation, path: chosenSteps.map((step) => step.label()) },
        };
      const key = model.key();
      if (seen.has(key)) break;
      seen.add(key);
      const n = model.steps().length;
      if (!n || seen.size >= maxStates) break;
      for (let i = n - 1; i > 0; i--) stack.push([...path, i]);
      path.push(0);
      await step(0);
    }
    model.close();
  }
  return { states: seen.size, runs, complete: true };
}

export const SHARD_PLANS = new Map<string, ShardPlan>([
  // The shard moves from one owner to another while a message is in flight.
  ['handover', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 0 }],
  // One owner, two messages of one sender, and one request or response lost.
  ['lossy', { takeovers: 1, messages: 2, sends: 2, losses: 1, restarts: 0 }],
  // A replica is replaced in one step while a node of the previous generation, which hasn't learned of it, owns the shard or takes it over.
  ['replacement', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 0, replacement: true }],
  ['replacement-again', { takeovers: 3, messages: 1, sends: 2, losses: 0, restarts: 0, replacement: true }],
  ['handover-restart', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 1 }],
  ['handover-resend', { takeovers: 2, messages: 2, sends: 3, losses: 1, restarts: 0 }],
]);

if (process.argv[1] && import.meta.url === pathToFileURL(process.argv[1]).href) {
  const [name, maxStates] = process.argv.slice(2);
  for (const [planName, plan] of SHARD_PLANS) {
    if (name !== undefined && planName !== name) continue;
    const startedAt = Date.now();
    const result = await exploreShard({ ...plan, maxStates: maxStates === undefined ? 1_000_000 : Number(maxStates) });
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
