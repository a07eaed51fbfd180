import { Operators, Proposer, ConsensusRegister, Submissions } from '@harecross/control';
import {
  ReplicaStore,
  Delivery,
  Edge,
  HistoryTrimmer,
  InterestTable,
  ShardState,
  LeaseTable,
  PublishHandler,
  ShardOwner,
  Replication,
  ShardRouter,
  Sessions,
} from '@harecross/data';
import { SHARD, SyncedDatabase, HarecrossError } from '@harecross/kernel';
import { senderKey, DurableState } from '@harecross/state';
import test from 'ava';
import { FAULT_SCENARIOS } from '../faults.js';
import type { Rule } from '../oracle.js';
import { runScenario, type Scenario } from '../scenario.js';

/** Puts a fault into the code itself, runs days until one shows it, and puts the code back. */
async function planted(
  proto: object,
  patch: Record<string, (old: any) => unknown>,
  sc: Scenario,
  seeds: number[],
  rules: Rule[],
): Promise<Map<Rule, number>> {
  const p = proto as Record<string, unknown>;
  const old = new Map(Object.keys(patch).map((k) => [k, p[k]]));
  for (const [k, f] of Object.entries(patch)) {
    if (typeof p[k] !== 'function') throw new Error(`no method ${k}`);
    p[k] = f(p[k]);
  }
  const out = new Map<Rule, number>();
  try {
    for (const s of seeds) {
      for (const v of (await runScenario(s, sc)).violations) out.set(v.rule, (out.get(v.rule) ?? 0) + 1);
      if (rules.some((r) => out.has(r))) break;
    }
  } finally {
    for (const [k, f] of old) p[k] = f;
  }
  return out;
}
const of = (name: string): Scenario => FAULT_SCENARIOS.get(name)!;

interface Plant {
  what: string;
  proto: object;
  patch: Record<string, (old: any) => unknown>;
  sc: string;
  seeds: number[];
  rules: Rule[];
}
const plants: Plant[] = [
  {
    what: 'a disk that answers before it has synced',
    proto: SyncedDatabase.prototype,
    sc: 'blackout',
    seeds: [1, 2, 3],
    rules: ['lost', 'skipped', 'once'],
    patch: {
      // The transaction is left open for 600 ms; a loss of power rolls it back.
      commit: () =>
        function (this: any, fn: any) {
          if (this.dead) return new Promise(() => undefined);
          if (!this.sql.inTransaction) {
            this.sql.exec('begin');
            this.clock.after(600, () => {
              if (!this.dead) this.sql.exec('commit');
            });
          }
          return Promise.resolve(fn(this.sql));
        },
      discardUnsynced: (old) =>
        function (this: any) {
          old.call(this);
          if (this.sql.open && this.sql.inTransaction) this.sql.exec('rollback');
        },
    },
  },
  {
    what: 'an owner that accepts on its own copy alone',
    proto: Replication.prototype,
    sc: 'split',
    seeds: [1, 2, 3, 4],
    rules: ['lost', 'skipped', 'once'],
    patch: {
      advanceCommit: (old) =>
        function (this: any, key: any) {
          const c = key.replicas;
          key.replicas = [this.register.disk];
          old.call(this, key);
          key.replicas = c;
        },
    },
  },
  {
    what: 'a copy that takes appends under any fence',
    proto: ReplicaStore.prototype,
    sc: 'stale-owner',
    seeds: Array.from({ length: 24 }, (_, i) => i + 1),
    rules: ['lost', 'skipped', 'once', 'order'],
    patch: {
      handleAppend: (old) =>
        function (this: any, b: any) {
          const c = this.get(b.shard);
          return old.call(this, { ...b, fence: b.fence < c.promised ? c.promised : b.fence });
        },
    },
  },
  {
    what: 'an owner that forgets what senders said',
    proto: ShardState.prototype,
    sc: 'mixed',
    seeds: [1, 2, 3, 4],
    rules: ['once', 'order'],
    patch: {
      outcomeOf: () =>
        function () {
          return { tag: 'new' };
        },
    },
  },
  {
    what: 'an owner that knows only the last number of each sender',
    proto: ShardState.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['final'],
    patch: {
      outcomeOf: (old) =>
        function (this: any, topic: string, sender: string, seq: number) {
          const last = this.senders.get(senderKey(topic, sender))?.at(-1);
          return last && seq < last.seq
            ? { tag: 'passed', above: last.seq, idx: 0 }
            : old.call(this, topic, sender, seq);
        },
    },
  },
  {
    what: 'an owner that forgets the outcome of some repeats',
    proto: ShardState.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['repeat'],
    patch: {
      outcomeOf: (old) =>
        function (this: any, topic: string, sender: string, seq: number) {
          const r = old.call(this, topic, sender, seq);
          return r.tag === 'stored' && seq % 2 ? { tag: 'forgotten' } : r;
        },
    },
  },
  {
    what: 'an owner that stores publishes as they come',
    proto: PublishHandler.prototype,
    sc: 'handovers',
    seeds: [1, 2, 3],
    rules: ['overtaken'],
    patch: {
      publish: (old) =>
        function (this: any, b: any) {
          return old.call(this, { ...b, after: undefined });
        },
    },
  },
  {
    what: 'an owner that accepts on its own copy, and tells the others at its next beat',
    proto: Replication.prototype,
    sc: 'blackout-lost-disk',
    seeds: [1, 2, 3, 4, 5, 6],
    rules: ['lost', 'skipped', 'once'],
    patch: Object.fromEntries(
      ['advanceCommit', 'replicate'].map((m) => [
        m,
        (old: any) =>
          function (this: any, key: any, beat: boolean) {
            const c = key.replicas;
            if (!beat) key.replicas = [this.register.disk];
            old.call(this, key, beat);
            key.replicas = c;
          },
      ]),
    ),
  },
  {
    what: 'a disk whose matter comes back an hour old',
    proto: DurableState.prototype,
    sc: 'cursors',
    seeds: [1, 2],
    rules: ['resume'],
    patch: {
      loadReplicas: (old) =>
        function (this: any, now: number) {
          return old.call(this, now - 3_600_000);
        },
    },
  },
  {
    what: 'a relay that never reads history',
    proto: Delivery.prototype,
    sc: 'churn',
    seeds: [1, 2],
    rules: ['lost', 'skipped'],
    patch: { catchUp: () => () => undefined },
  },
  {
    what: 'a node that serves by a configuration it cannot confirm',
    proto: ConsensusRegister.prototype,
    sc: 'cut-config',
    seeds: [1, 2],
    rules: ['config_late', 'removed_flow'],
    patch: {
      hasReadLease: () =>
        function (this: any) {
          return this.value !== undefined;
        },
    },
  },
  {
    what: 'a final send that does not look at holds',
    proto: LeaseTable.prototype,
    sc: 'churn',
    seeds: [1, 2, 3],
    rules: ['left'],
    patch: {
      end: () =>
        function (this: any, s: any) {
          s.session.subscriptions.delete(s.topic);
        },
    },
  },
  {
    what: 'an owner that counts nobody',
    proto: InterestTable.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['counts'],
    patch: { countListeners: () => async () => ({ count: 0, partial: false }) },
  },
  {
    what: 'history trimmed after a few seconds',
    proto: HistoryTrimmer.prototype,
    sc: 'churn',
    seeds: [1, 2],
    rules: ['resume'],
    patch: {
      trim: (old) =>
        function (this: any) {
          const { memorySlack, memorySlackMs } = SHARD;
          Object.assign(SHARD, { memorySlack: 0.1, memorySlackMs: 0 });
          try {
            old.call(this);
          } finally {
            Object.assign(SHARD, { memorySlack, memorySlackMs });
          }
        },
    },
  },
  {
    what: 'an edge that calls some stored messages rejected',
    proto: Edge.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['turned_away'],
    patch: {
      answer: (old) =>
        async function (this: any, request: any) {
          const r = await old.call(this, request);
          if (request.m === 'Publish' && request.body.seq % 5 === 0)
            throw new HarecrossError({ tag: 'not_ready', step: request.m, peer: 'planted', retryAfterMs: 100 });
          return r;
        },
    },
  },
  {
    what: 'a register that answers before a majority has the value',
    proto: Proposer.prototype,
    sc: 'operators',
    seeds: [1, 2, 3],
    rules: ['config_lost', 'read_back', 'config_late'],
    patch: {
      round: (old) =>
        async function (this: any, h: any, fn: any, mayAccept: any) {
          const r = await old.call(this, h, fn, mayAccept);
          if (r.tag === 'done' || this.ballots.last % 3) return r;
          return { tag: 'done', out: fn(h).out };
        },
    },
  },
  {
    what: 'a node that takes any value it is told',
    proto: ConsensusRegister.prototype,
    sc: 'late-change',
    seeds: [1, 2],
    rules: ['fell_back', 'config_late', 'config_lost', 'read_back'],
    patch: {
      learn: (old) =>
        function (this: any, v: any) {
          this.older ??= v;
          old.call(this, v);
          if (this.kernel.host.random.next() < 0.3) this.value$.next(this.older);
        },
    },
  },
  {
    what: 'a store of state that loses the register',
    proto: DurableState.prototype,
    sc: 'blackout',
    seeds: [1],
    rules: ['read_back', 'config_lost', 'served', 'fell_back', 'lost'],
    patch: {
      saveAcceptorState: (old) =>
        function (this: any, s: any) {
          old.call(this, { ...s, value: undefined });
        },
    },
  },
  {
    what: 'a register that stops confirming after a while',
    proto: ConsensusRegister.prototype,
    sc: 'closing',
    seeds: [1],
    rules: ['served'],
    patch: {
      confirm: (old) =>
        async function (this: any) {
          this.since ??= this.kernel.host.clock.now();
          return this.kernel.host.clock.now() - this.since < 24_000 ? old.call(this) : false;
        },
    },
  },
  {
    what: 'an owner that alters some messages',
    proto: InterestTable.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['invented'],
    patch: {
      fanOut: (old) =>
        function (this: any, e: any) {
          old.call(this, e.seq % 7 === 0 ? { ...e, body: `${e.body}!` } : e);
        },
    },
  },
  {
    what: 'a relay that sends every new conn one topic it never asked for',
    proto: Sessions.prototype,
    sc: 'churn',
    seeds: [1],
    rules: ['unasked'],
    patch: {
      attach: (old) =>
        function (this: any, ...a: any[]) {
          const id = old.apply(this, a);
          void this.subscribe(id, 'u/3', undefined).catch(() => undefined);
          return id;
        },
    },
  },
  {
    what: 'an operator visit that takes what is invalid',
    proto: Operators.prototype,
    sc: 'operators',
    seeds: [1],
    rules: ['invalid_taken'],
    patch: {
      submit: (old) =>
        function (this: any, b: any) {
          return old.call(
            this,
            Array.isArray(b.config?.families) && b.config.families[0]?.topics ? b : { ...b, config: { families: [] } },
          );
        },
    },
  },
  {
    what: 'an operator visit that calls some valid configurations invalid',
    proto: Operators.prototype,
    sc: 'operators',
    seeds: [1],
    rules: ['unanswered'],
    patch: {
      submit: (old) =>
        function (this: any, b: any) {
          if (b.changeId.startsWith('free'))
            throw new HarecrossError({ tag: 'invalid_config', step: 'SubmitConfig', peer: 'planted', faults: [] });
          return old.call(this, b);
        },
    },
  },
  {
    what: 'an operator visit that answers an overtaken revision as if it were in force',
    proto: Submissions.prototype,
    sc: 'revisions',
    seeds: [1, 2],
    rules: ['config_lost'],
    patch: {
      submit: (old) =>
        async function (this: any, request: any) {
          const answer = await old.call(this, request);
          return { ...answer, revision: request.revision, outcome: 'accepted' };
        },
    },
  },
  {
    what: 'an operator visit that keeps no words of the operators',
    proto: Submissions.prototype,
    sc: 'revisions',
    seeds: [1],
    rules: ['read_back'],
    patch: {
      applySubmission: (old) =>
        function (this: any, value: any, submission: any) {
          return old.call(this, value, { ...submission, document: undefined });
        },
    },
  },
  {
    what: 'a configuration that makes all topics anew',
    proto: Submissions.prototype,
    sc: 'revisions',
    seeds: [1, 2],
    rules: ['lost', 'skipped', 'resume'],
    patch: {
      applySubmission: (old) =>
        function (this: any, value: any, submission: any) {
          const result = old.call(this, value, submission);
          if (!result.next) return result;
          const patterns = submission.config.families.flatMap((f: any) => f.topics);
          const incarnations = new Map(patterns.map((p: string) => [p, result.next.version]));
          return { ...result, next: { ...result.next, incarnations } };
        },
    },
  },
  {
    what: 'a relay that sends some frames twice',
    proto: Delivery.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['once'],
    patch: {
      enqueue: (old) =>
        function (this: any, c: any, w: any) {
          old.call(this, c, w);
          if (w.subscription && w.subscription.next % 9 === 0) old.call(this, c, { ...w });
        },
    },
  },
  {
    what: 'a relay that sends what waits in a conn backwards',
    proto: Delivery.prototype,
    sc: 'resets',
    seeds: [1, 2],
    rules: ['order'],
    patch: {
      flush: (old) =>
        function (this: any, c: any) {
          c.queue.reverse();
          old.call(this, c);
        },
    },
  },
  {
    what: 'an owner that keeps no history of what nobody listens to',
    proto: ShardOwner.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['lost'],
    patch: {
      fanOutCommitted: (old) =>
        function (this: any, e: any) {
          old.call(this, e);
          const forgotten = (this.forgotten ??= new Set<string>());
          if (e.topic && !this.interests.interestedRelays(e.topic).length) forgotten.add(`${e.topic} ${e.off}`);
          if (this.pageOfAll) return;
          this.pageOfAll = this.history.page;
          this.history.page = async (request: any) => {
            const page = await this.pageOfAll.call(this.history, request);
            if (page.tag !== 'page') return page;
            return { ...page, entries: page.entries.filter((m: any) => !forgotten.has(`${request.topic} ${m.off}`)) };
          };
        },
    },
  },
  {
    what: 'a node that takes up an old value when it thaws',
    proto: ConsensusRegister.prototype,
    sc: 'marks',
    seeds: [1, 2],
    rules: ['fell_back'],
    patch: {
      learn: (old) =>
        function (this: any, v: any) {
          const was = this.value;
          old.call(this, v);
          // For a fifth of a second, once per change, the old value again.
          if (!was || this.value === was || this.kernel.host.random.next() < 0.7) return;
          this.kernel.host.clock.after(400, () => {
            const now = this.value;
            this.value$.next(was);
            this.kernel.host.clock.after(200, () => {
              if (this.value === was) this.value$.next(now);
            });
          });
        },
    },
  },
  {
    what: 'a node that falls silent for six seconds when the configuration changes',
    proto: ConsensusRegister.prototype,
    sc: 'late-change',
    seeds: [1],
    rules: ['config_late'],
    patch: {
      learn: (old) =>
        function (this: any, v: any) {
          if (this.value && v.version > this.value.version) this.quietTo = this.kernel.host.clock.now() + 6_000;
          old.call(this, v);
        },
      hasReadLease: (old) =>
        function (this: any) {
          return (
            old.call(this) &&
            !(this.kernel.self.endsWith('.7:7100') && this.kernel.host.clock.now() < (this.quietTo ?? 0))
          );
        },
    },
  },
  {
    what: 'relays that deliver nothing once many conns were lost',
    proto: Delivery.prototype,
    sc: 'closing',
    seeds: [1],
    rules: ['served'],
    patch: {
      enqueue: (old) =>
        function (this: any, c: any, w: any) {
          if (w.subscription && this.kernel.use('membership').liveMembers().length < 8) return;
          old.call(this, c, w);
        },
    },
  },
  {
    what: 'a relay that counts one listener too many',
    proto: LeaseTable.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['counts'],
    patch: {
      count: (old) =>
        function (this: any, t: string) {
          const n = old.call(this, t);
          return n ? n + 1 : 0;
        },
    },
  },
  {
    what: 'a relay that holds a rejection to the deadline',
    proto: ShardRouter.prototype,
    sc: 'overload',
    seeds: [1, 2],
    rules: ['held'],
    patch: {
      callOwner: (old) =>
        async function (this: any, t: string, m: string, b: any, ms: number, sent: any) {
          const t0 = this.kernel.host.clock.now();
          try {
            return await old.call(this, t, m, b, ms, sent);
          } catch (e) {
            const left = ms - 50 - (this.kernel.host.clock.now() - t0);
            if (left > 0 && m === 'Publish')
              await new Promise<void>((res) => {
                this.kernel.host.clock.after(left, res);
              });
            throw e;
          }
        },
    },
  },
  {
    what: 'an edge that tells everyone the same time to come back',
    proto: Edge.prototype,
    sc: 'overload',
    seeds: [1, 2],
    rules: ['come_back'],
    patch: {
      errorReply: (old) =>
        function (this: any, m: string, e: any) {
          const r = old.call(this, m, e);
          for (const x of [r.body.error, r.body.rejected]) if (x?.retryAfterMs) x.retryAfterMs = 500;
          return r;
        },
    },
  },
  {
    what: 'a relay that sits on frames for two seconds',
    proto: Delivery.prototype,
    sc: 'calm',
    seeds: [1],
    rules: ['late'],
    patch: {
      scheduleFlush: (old) =>
        function (this: any, c: any, ms: number) {
          old.call(this, c, ms + 2_000);
        },
    },
  },
  {
    what: 'a conn buffer with four times its bound',
    proto: Delivery.prototype,
    sc: 'thin-links',
    seeds: [1],
    rules: ['bounds'],
    patch: {
      enqueue: (old) =>
        function (this: any, c: any, w: any) {
          if (c.consumer !== 'thin0') {
            old.call(this, c, w);
            return;
          }
          const { standardBytes } = c;
          c.standardBytes = standardBytes / 4;
          old.call(this, c, w);
          if (c.state !== 'closed') {
            c.standardBytes = standardBytes + w.bytes;
            this.peakStandardBytes = Math.max(this.peakStandardBytes, c.standardBytes);
          }
        },
    },
  },
];

/** Runs every n-th plant; each test file is a process of its own. */
export function plantTests(part: number, parts: number): void {
  plants.forEach((p, i) => {
    if (i % parts !== part) return;
    test.serial(`planted: ${p.what}`, async (t) => {
      const got = await planted(p.proto, p.patch, of(p.sc), p.seeds, p.rules);
      const figures = [...got].map(([r, n]) => `${r} ${n}`).join(', ') || 'nothing';
      t.log(`${p.sc}, seeds up to ${p.seeds.at(-1)}: ${figures}`);
      t.true(
        p.rules.some((r) => got.has(r)),
        `got ${figures}`,
      );
    });
  });
}
