import { nextIncarnations, type MembershipTable, type ConsensusRegister } from '@harecross/control';
import { ReplicaStore, ShardOwner, type ShardState, type ShardTable } from '@harecross/data';
import {
  HarecrossError,
  toErrorDetails,
  shardOf,
  type Clock,
  type SyncedDatabase,
  type Kernel,
} from '@harecross/kernel';
import { DurableState, type Replica } from '@harecross/state';
import { Subject } from 'rxjs';
import { pathToFileURL } from 'node:url';
import type { Json } from './json.js';

export interface ShardPlan {
  /** Times that some node takes the key, in all. */
  takeovers: number;
  /** Messages of one sender, and how often any of them is sent, in all. */
  messages: number;
  sends: number;
  /** Visits, or answers to them, that may be lost. */
  losses: number;
  /** Times a node may end and begin anew, with what its disk has. */
  restarts: number;
  /** The copy at `a` is replaced by one at `d` in one step: `a` has not heard of it, the others have. Then `a` and `c` take the key. */
  replacement?: boolean;
  injectedFault?:
    | 'takes lower fences'
    | 'forgets its promise'
    | 'answers before it has synced'
    | 'hides its history'
    | 'heeds no copies before';
  maxStates?: number;
}
export interface ShardResult {
  states: number;
  runs: number;
  complete: boolean;
  violation?: { what: string; path: string[] };
}

/** Three with copies; the fourth has one where a copy is replaced. */
const NODES = ['a', 'b', 'c', 'd'];
const COPIES = NODES.slice(0, 3);
const TOPIC = 't/1';
const SHARD = shardOf(TOPIC);
const CONFIG = {
  families: [{ name: 'f', topics: ['t/*'], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 30 }],
};
const VALUE = {
  rev: 1,
  version: 1,
  config: CONFIG,
  incarnations: nextIncarnations(new Map(), CONFIG, 1),
  shards: new Map([[SHARD, { gen: 1, copies: COPIES }]]),
  disks: new Map(NODES.map((d) => [d, { id: d, peer: d, domain: d, state: 'active' }])),
};
/** The value after the copy at `a` was replaced. */
const replacedValue = (previous: string[] | undefined) => ({
  ...VALUE,
  rev: 2,
  shards: new Map([[SHARD, { gen: 2, copies: ['b', 'c', 'd'], ...(previous ? { previous } : {}) }]]),
});
/** Orders entries of a map by their keys. */
const byFirst = <K extends string | number>([a]: [K, unknown], [b]: [K, unknown]): number => {
  if (a === b) return 0;
  return a < b ? -1 : 1;
};
const turn = (): Promise<void> => new Promise((r) => setImmediate(r));

type Handler = (b: Json, f: Json) => unknown;
interface Ask {
  from: number;
  to: number;
  m: string;
  body: Json;
  res: (x: unknown) => void;
  rej: (e: unknown) => void;
}
interface Step {
  label: string;
  go: () => void;
}

/** Three nodes with the real copies and owners of one key; the search chooses what happens next. */
class World {
  private asks: Ask[] = [];
  private sleeps: { of: number; life: number; fn: () => void }[] = [];
  private disks: Map<number, Replica>[] = NODES.map(() => new Map());
  private handlers: Map<string, Handler>[] = NODES.map(() => new Map());
  private owners: ShardOwner[] = [];
  private lives = NODES.map(() => 0);
  /** What a node asked and heard for the take or the owner it is now. */
  private said: { fence: string; lines: Set<string> }[] = NODES.map(() => ({ fence: '', lines: new Set() }));
  private took = 0;
  private sent: number[] = [];
  private waiting: string[] = [];
  private lost = 0;
  private restarted = 0;
  private accepted = new Map<number, number>();
  private refused = new Set<number>();
  bad?: string;

  constructor(private plan: ShardPlan) {
    NODES.forEach((_, i) => this.begin(i));
  }

  private valueAt(node: string): unknown {
    if (!this.plan.replacement || node === 'a') return VALUE;
    return replacedValue(this.plan.injectedFault === 'heeds no copies before' ? undefined : COPIES);
  }

  /** Whether a node takes the key in this plan. */
  private takes(node: string): boolean {
    return node === 'a' || node === (this.plan.replacement ? 'c' : 'b');
  }

  private begin(i: number): void {
    const life = ++this.lives[i]!;
    const self = NODES[i]!;
    this.handlers[i]!.clear();
    // The clock stands; only pauses between tries are awaited, and the search ends them.
    const clock: Clock = {
      now: () => 0,
      wall: () => 0,
      after: (ms, fn) => {
        if (ms <= 1) queueMicrotask(fn);
        else if (ms < 100) this.sleeps.push({ of: i, life, fn });
        return () => undefined;
      },
    };
    const k = {
      self,
      instanceId: String(life),
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
            this.bad ??= `${self}: ${s} ${JSON.stringify(x)}`;
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
      call: (peer: string, m: string, body: Json) => this.call(i, life, NODES.indexOf(peer), m, body),
      callAnyPath: (peer: string, m: string, body: Json) => this.call(i, life, NODES.indexOf(peer), m, body),
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
      value: this.valueAt(self),
      value$: new Subject(),
      readLeaseStarted$: new Subject(),
      hasReadLease: () => true,
      peerOf: (d: string) => d,
      disk: self,
    };
    const st = new DurableState({
      sql: undefined,
      commit: async (f: () => unknown) => f(),
    } as unknown as SyncedDatabase);
    // The real store without its file: what it keeps in memory is what the file would have.
    const none = { run: () => undefined, get: () => undefined, all: () => [] };
    Object.assign(st, { statement: () => none, get: () => self, loadReplicas: () => this.disks[i]! });
    const kernel = k as unknown as Kernel;
    const copies = new ReplicaStore(kernel, st);
    this.owners[i] = new ShardOwner(
      kernel,
      membership as unknown as MembershipTable,
      register as unknown as ConsensusRegister,
      copies,
    );
  }

  private key1(i: number): ShardState {
    return (this.owners[i] as unknown as { shards: ShardTable }).shards.get(SHARD);
  }

  private handle(to: number, m: string, body: Json, from: number): Promise<unknown> {
    return Promise.resolve().then(() =>
      this.handlers[to]!.get(m)!(body, { peer: NODES[from], instanceId: '1', toLocal: (t: number) => t }),
    );
  }

  private call(from: number, life: number, to: number, m: string, body: Json): Promise<unknown> {
    const text = JSON.stringify(body);
    if (from === to) return this.handle(to, m, JSON.parse(text), from);
    const fence: string = m === 'Fence' ? body.items[0].fence : (body.fence ?? this.said[from]!.fence);
    this.notes(from, fence, `> ${m} ${to} ${text}`);
    return new Promise((res, rej) => {
      const alive =
        (fn: (x: Json) => void) =>
        (x: unknown): void => {
          if (this.lives[from] === life) fn(x);
        };
      this.asks.push({ from, to, m, body: JSON.parse(text), res: alive(res), rej: alive(rej) });
    });
  }

  private notes(i: number, fence: string, line: string): void {
    const s = this.said[i]!;
    if (fence < s.fence) return;
    if (fence > s.fence) this.said[i] = { fence, lines: new Set([line]) };
    else s.lines.add(line);
  }

  private arrives(a: Ask, answer: (x: unknown) => void): void {
    const { injectedFault: planted } = this.plan;
    const c = this.disks[a.to]!.get(SHARD);
    if (planted === 'takes lower fences' && a.m === 'Append' && c && a.body.fence < c.promised)
      c.promised = a.body.fence;
    void this.handle(a.to, a.m, a.body, a.from)
      .catch((e) => (e instanceof HarecrossError ? e : new HarecrossError(toErrorDetails(e, a.m, NODES[a.to]!))))
      .then((x) => {
        if (planted === 'hides its history' && a.m === 'Fence')
          x = (x as { ok: boolean }[]).map((p) => (p.ok ? { ...p, lastIdx: 0, lastFence: '', baseIdx: 0 } : p));
        answer(x);
      });
  }

  private send(seq: number, i: number): void {
    this.sent.push(seq);
    const tag = `${seq}@${i}.${this.lives[i]}`;
    this.waiting.push(tag);
    const life = this.lives[i];
    const over = (): boolean => {
      this.waiting.splice(this.waiting.indexOf(tag), 1);
      return this.lives[i] === life;
    };
    this.handle(i, 'Publish', { sender: 's', topic: TOPIC, seq, body: `m${seq}` }, i).then(
      (x) => {
        if (!over()) return;
        const { offset } = x as { offset: number };
        const had = this.accepted.get(seq);
        if (had !== undefined && had !== offset) this.bad = `message ${seq} was accepted at ${had} and at ${offset}`;
        for (const [s, o] of this.accepted)
          if (s !== seq && o === offset) this.bad = `messages ${s} and ${seq} were both accepted at ${offset}`;
        if (this.refused.has(seq)) this.bad = `message ${seq} was refused for good, and accepted`;
        this.accepted.set(seq, offset);
      },
      (e) => {
        if (!over()) return;
        if (toErrorDetails(e, 'Publish', NODES[i]!).tag !== 'stale_seq') return;
        if (this.accepted.has(seq)) this.bad = `message ${seq} was accepted, and refused for good`;
        this.refused.add(seq);
      },
    );
  }

  /** Whoever owns the key, by the promises of a majority, has what was accepted, and not what was refused for good. */
  check(): void {
    NODES.forEach((n, i) => {
      const key = this.key1(i);
      if (key.phase !== 'owner') return;
      const promised = key.replicas.filter((d) => this.disks[NODES.indexOf(d)]!.get(SHARD)?.promised === key.fence);
      if (promised.length * 2 <= key.replicas.length) return;
      for (const [seq, off] of this.accepted) {
        const o = key.outcomeOf(TOPIC, 's', seq);
        if (o.tag !== 'stored' || o.off !== off)
          this.bad ??= `${n} owns the key, and message ${seq}, accepted at ${off}, is ${o.tag}`;
      }
      for (const seq of this.refused)
        if (key.outcomeOf(TOPIC, 's', seq).tag === 'stored')
          this.bad ??= `${n} owns the key and has message ${seq}, which was refused for good`;
    });
  }

  steps(): Step[] {
    const { plan } = this;
    const out: Step[] = [];
    for (const a of this.asks) {
      const label = `${a.m} ${NODES[a.from]}>${NODES[a.to]} ${JSON.stringify(a.body).replace(/0000+/g, '').slice(0, 90)}`;
      const off = (): void => {
        this.asks.splice(this.asks.indexOf(a), 1);
      };
      const fails = (): void => {
        this.lost++;
        this.notes(a.from, this.said[a.from]!.fence, `lost ${label}`);
        a.rej(new HarecrossError({ tag: 'timeout', step: a.m, peer: NODES[a.to]! }));
      };
      out.push({
        label,
        go: () => {
          off();
          this.arrives(a, (x) => {
            this.notes(a.from, this.said[a.from]!.fence, `< ${a.m} ${a.to} ${JSON.stringify(x)}`);
            if (x instanceof HarecrossError) a.rej(x);
            else a.res(x);
          });
        },
      });
      if (this.lost < plan.losses) {
        out.push({
          label: `lost: ${label}`,
          go: () => {
            off();
            fails();
          },
        });
        out.push({
          label: `its answer lost: ${label}`,
          go: () => {
            off();
            this.arrives(a, fails);
          },
        });
      }
    }
    for (const s of this.sleeps)
      out.push({
        label: `${NODES[s.of]} tries again`,
        go: () => {
          this.sleeps.splice(this.sleeps.indexOf(s), 1);
          if (this.lives[s.of] === s.life) s.fn();
        },
      });
    NODES.forEach((n, i) => {
      const { phase: state } = this.key1(i);
      if (this.took < plan.takeovers && state !== 'taking' && state !== 'confirming' && this.takes(n))
        out.push({
          label: `${n} takes the key`,
          go: () => {
            this.took++;
            void this.handle(i, 'TakeKey', { shard: SHARD }, i);
          },
        });
      if (this.sent.length < plan.sends && (state === 'owner' || state === 'confirming')) {
        const next = Math.max(0, ...this.sent) + 1;
        for (let seq = 1; seq <= Math.min(next, plan.messages); seq++) {
          if (!this.waiting.includes(`${seq}@${i}.${this.lives[i]}`))
            out.push({ label: `message ${seq} to ${n}`, go: () => this.send(seq, i) });
        }
      }
      if (this.restarted < plan.restarts && COPIES.includes(n)) {
        out.push({
          label: `${n} begins anew`,
          go: () => {
            this.restarted++;
            const c = this.disks[i]!.get(SHARD);
            if (c && plan.injectedFault === 'forgets its promise') c.promised = '';
            if (c && plan.injectedFault === 'answers before it has synced') c.entries.pop();
            this.asks = this.asks.filter((a) => a.from !== i);
            this.said[i] = { fence: '', lines: new Set() };
            this.disks[i] = structuredClone(this.disks[i]!);
            this.begin(i);
          },
        });
      }
    });
    return out;
  }

  key(): string {
    const copy = (c: Replica | undefined): unknown =>
      c && [c.promised, c.base.idx, c.entries.map((e) => [e.idx, e.fence, e.off, e.seq])];
    return JSON.stringify([
      this.disks.map((d) => copy(d.get(SHARD))),
      NODES.map((_, i) => {
        const x = this.key1(i);
        return [
          x.phase,
          x.fence,
          x.commitIndex,
          x.entries.map((e) => [e.fence, e.off, e.seq]),
          [...x.matchIndex].sort(byFirst),
          [...x.nextIndex].sort(byFirst),
          [...x.appendsInFlight].sort(),
          x.commitWaiters.map((waiter) => waiter.index),
        ];
      }),
      this.said.map((s) => [s.fence, ...[...s.lines].sort()]),
      this.lives,
      this.asks.map((a) => `${a.from}${a.to}${a.m}${JSON.stringify(a.body)}`).sort(),
      this.sleeps.map((s) => s.of).sort((a, b) => a - b),
      this.took,
      this.sent,
      [...this.waiting].sort(),
      this.lost,
      this.restarted,
      [...this.accepted].sort(byFirst),
      [...this.refused].sort((a, b) => a - b),
    ]);
  }
}

/**
 * Searches what can become of one key at three nodes: takes, messages, losses and restarts in every order, by running
 * the real owner and copies anew along each path.
 * @example
 * (await exploreKey(KEY_PLANS.get('handover')!)).states
 */
export async function exploreShard(plan: ShardPlan): Promise<ShardResult> {
  const seen = new Set<string>();
  let runs = 0;
  const most = plan.maxStates ?? Infinity;
  const stack: number[][] = [[]];
  while (stack.length) {
    if (seen.size >= most) return { states: seen.size, runs, complete: false };
    const path = stack.pop()!;
    const w = new World(plan);
    runs++;
    const labels: string[] = [];
    const step = async (i: number): Promise<void> => {
      const s = w.steps()[i]!;
      labels.push(s.label);
      s.go();
      await turn();
      w.check();
    };
    for (const i of path) await step(i);
    for (;;) {
      if (w.bad) return { states: seen.size, runs, complete: false, violation: { what: w.bad, path: labels } };
      const key = w.key();
      if (seen.has(key)) break;
      seen.add(key);
      const n = w.steps().length;
      if (!n || seen.size >= most) break;
      for (let i = n - 1; i > 0; i--) stack.push([...path, i]);
      path.push(0);
      await step(0);
    }
  }
  return { states: seen.size, runs, complete: true };
}

export const SHARD_PLANS = new Map<string, ShardPlan>([
  // The key goes from one owner to another while a message is on its way.
  ['handover', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 0 }],
  // One owner, two messages of a sender, with a visit or an answer lost.
  ['lossy', { takeovers: 1, messages: 2, sends: 2, losses: 1, restarts: 0 }],
  // A copy is replaced in one step while an owner of the generation before, which has not heard of it, has the key or takes it.
  ['replacement', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 0, replacement: true }],
  ['replacement-again', { takeovers: 3, messages: 1, sends: 2, losses: 0, restarts: 0, replacement: true }],
  ['handover-restart', { takeovers: 2, messages: 1, sends: 1, losses: 0, restarts: 1 }],
  ['handover-resend', { takeovers: 2, messages: 2, sends: 3, losses: 1, restarts: 0 }],
]);

if (process.argv[1] && import.meta.url === pathToFileURL(process.argv[1]).href) {
  const [name, most] = process.argv.slice(2);
  for (const [n, plan] of SHARD_PLANS) {
    if (name !== undefined && n !== name) continue;
    const from = Date.now();
    const r = await exploreShard({ ...plan, maxStates: most === undefined ? 1_000_000 : Number(most) });
    const bad = r.violation ? `\nBAD: ${r.violation.what}\n  ${r.violation.path.join('\n  ')}` : '';
    const whole = r.complete ? 'all of them' : 'not all';
    process.stdout.write(
      `${n}: ${r.states} states, ${r.runs} runs, ${whole}, ${((Date.now() - from) / 1000).toFixed(1)} s${bad}\n`,
    );
    if (r.violation) process.exitCode = 1;
  }
}
