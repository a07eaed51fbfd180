import { callFleet, newChangeId, type HttpResponse, type Outcome } from 'harecross';
import { Kernel, MEMBERSHIP, PEER_RPCS, isRepeatable, type PeerRpc, type RepeatablePeerRpc } from '@harecross/kernel';
import { mayRepeat, Rpcs, type Method } from '@harecross/schema';
import { emit } from '@harecross/schema/openapi';
import test from 'ava';
import { readFileSync } from 'node:fs';
import type { SimNode } from '../sim.js';
import { runUntilSettled, startSmallFleet, type SmallFleet } from './small-fleet.js';

const METHODS = Object.keys(Rpcs) as Method[];
/** What clients and operators of the platform say, by PROTOCOL.md; its pages decide which of them are sent again. */
const PLATFORM = [
  'ATTACH',
  'SUBSCRIBE',
  'UNSUBSCR',
  'PUBLISH',
  'ENQUIRE',
  'PROBE',
  'Configuration.Replace',
  'Configuration.Retrieve',
  'Retire.Begin',
  'Retire.Retrieve',
];

test('every RPC that a node serves to nodes stands in the table, and every one in the table is served', async (t) => {
  const s = await startSmallFleet(5);
  const served = new Set([...s.stores, ...s.relays].flatMap((n) => n.kernel!.servedMethods()));
  t.deepEqual([...served].sort(), Object.keys(PEER_RPCS).sort());
});

test('an RPC without an entry cannot be served, nor served twice', async (t) => {
  const s = await startSmallFleet(5);
  const k = s.relays[0]!.kernel!;
  t.throws(() => k.on('Unheard' as PeerRpc, () => true), { message: /not declared in PEER_RPCS/ });
  t.throws(() => k.on('Ping', () => true), { message: /already has a handler/ });
});

test('whoever resends refuses what may not be repeated', async (t) => {
  const s = await startSmallFleet(5);
  const route = s.relays[0]!.kernel!.use('route');
  for (const m of Object.keys(PEER_RPCS) as PeerRpc[]) {
    t.is(isRepeatable(m), PEER_RPCS[m].repeat !== 'never', m);
    if (isRepeatable(m)) continue;
    let bodies = 0;
    const sent = route.callOwner('feed/1', m as unknown as RepeatablePeerRpc, () => ++bodies, 1_000);
    await t.throwsAsync(sent, { message: `${m} must not be sent again` });
    t.is(bodies, 0);
  }
  t.false(isRepeatable('toString'));
});

test('every RPC of callers says in the schema whether it may be repeated', (t) => {
  const paths = new Map(Object.entries((JSON.parse(emit()) as { paths: object }).paths));
  for (const m of METHODS) {
    const { repeatable } = Rpcs[m];
    t.true(['read', 'idempotent', 'never'].includes(repeatable.repeat), m);
    t.true(repeatable.why.length > 0, m);
    const path = paths.get(`/rpc/${m}`) as { post: Record<string, unknown> };
    t.deepEqual(path.post['x-repeatable'], repeatable, m);
  }
});

test('the page of calls names every one, with its property', (t) => {
  const page = readFileSync(new URL('../../../../docs/notes/worst-days-calls.md', import.meta.url), 'utf8');
  const rows = new Map(
    [...page.matchAll(/^\| `([\w.]+)` +\| (read|idempotent|never) /gm)].map((m) => [m[1]!, m[2]!] as const),
  );
  t.deepEqual(
    [...rows.keys()].sort(),
    [...METHODS, ...Object.keys(PEER_RPCS).filter((m) => !METHODS.includes(m as Method)), ...PLATFORM].sort(),
  );
  for (const m of METHODS) t.is(rows.get(m), Rpcs[m].repeatable.repeat, m);
  for (const [m, x] of Object.entries(PEER_RPCS)) if (!METHODS.includes(m as Method)) t.is(rows.get(m), x.repeat, m);
});

/** A fleet that answers as told; says what it was sent. */
async function calling(
  method: Method,
  body: object,
  answers: (HttpResponse | { fails: string })[],
): Promise<{ outcome: Outcome; sent: number }> {
  let sent = 0;
  let now = 0;
  const outcome = await callFleet(
    {
      post: async () => {
        const a = answers[Math.min(sent++, answers.length - 1)]!;
        if ('fails' in a) throw Object.assign(new Error(a.fails), { code: a.fails });
        return a;
      },
      now: () => now,
      pause: async (ms) => {
        now += ms;
      },
    },
    { at: ['a', 'b'], method, body, timeoutMs: 1_000, retryForMs: 3_000 },
  );
  return { outcome, sent };
}
const DONE: HttpResponse = { status: 200, body: {} };
const refusal = (tag: string): HttpResponse => ({ status: 503, body: { error: { tag, step: 's', peer: 'p' } } });
/** A body that has what tells a repeat apart. */
const KEYED = { changeId: 'one', revision: 1 };

test('the command line sends again after silence or a reset only what may be repeated', async (t) => {
  for (const m of METHODS)
    for (const body of [{}, KEYED])
      for (const fails of ['UND_ERR_HEADERS_TIMEOUT', 'ECONNRESET', 'UND_ERR_SOCKET', 'UND_ERR_BODY_TIMEOUT']) {
        const r = await calling(m, body, [{ fails }, DONE]);
        const may = mayRepeat(Rpcs[m].repeatable, body);
        t.is(r.sent, may ? 2 : 1, `${m} ${JSON.stringify(body)}`);
        t.is(r.outcome.tag, may ? 'done' : 'unclear', m);
      }
  t.false(mayRepeat(Rpcs.EmptyDisk.repeatable, { disk: 'd' }));
  t.true(mayRepeat(Rpcs.EmptyDisk.repeatable, { disk: 'd', changeId: 'x' }));
});

test('the command line sends again what surely was not done, and asks no further where that is not sure', async (t) => {
  for (const a of [
    { fails: 'ECONNREFUSED' },
    { fails: 'UND_ERR_CONNECT_TIMEOUT' },
    refusal('not_ready'),
    refusal('overloaded'),
  ])
    t.like(await calling('EmptyDisk', { disk: 'd' }, [a, DONE]), { sent: 2, outcome: { tag: 'done' } });
  t.like(await calling('EmptyDisk', { disk: 'd' }, [refusal('no_majority'), DONE]), {
    sent: 1,
    outcome: { tag: 'unclear' },
  });
  t.like(await calling('EmptyDisk', { disk: 'd', changeId: 'x' }, [refusal('no_majority'), DONE]), { sent: 2 });
  t.like(await calling('ReadConfig', {}, [refusal('not_ready')]), { outcome: { tag: 'no_answer' } });
});

test('no two changes get the same name by themselves', (t) => {
  const names = new Set(Array.from({ length: 1_000 }, () => newChangeId('cli')));
  t.is(names.size, 1_000);
});

test('an order to empty that comes again after it was taken back changes nothing', async (t) => {
  const s = await startSmallFleet(9, { relayDisk: true });
  const disk = s.relays[0]!.kernel!.use('register').disk!;
  const at = s.relays[1]!;
  const stateOf = async (): Promise<string> => (await s.ask(at, 'EmptyStatus', { disk })).body.state as string;
  t.is((await s.ask(at, 'EmptyDisk', { disk, changeId: 'empty-1' })).status, 200);
  t.is((await s.ask(at, 'CancelEmpty', { disk, changeId: 'cancel-1' })).status, 200);
  const again = await s.ask(s.stores[0]!, 'EmptyDisk', { disk, changeId: 'empty-1' });
  t.is(again.status, 200);
  t.is(again.body.state, 'active');
  await s.advance(1_000);
  t.is(await stateOf(), 'active');
  t.is((await s.ask(at, 'EmptyDisk', { disk, changeId: 'empty-2' })).status, 200);
  t.is((await s.ask(at, 'CancelEmpty', { disk, changeId: 'cancel-1' })).status, 200);
  t.not(await stateOf(), 'active');
});

const fenceOf = (n: SimNode, topicShard: number): string =>
  n
    .kernel!.use('owner')
    .ownedShards()
    .find((x) => x.shard === topicShard)!.fence;

test('a request to take a shard that comes again, or late, takes nothing', async (t) => {
  const s: SmallFleet = await startSmallFleet(13);
  const from = s.ownerOf('feed/1');
  const { shard, fence } = from.kernel!.use('owner').ownedShards()[0]!;
  const [to, third] = s.stores.filter((n) => n !== from) as [SimNode, SimNode];
  const ask = (n: SimNode, body: object): Promise<boolean> =>
    runUntilSettled(s.sim, from.kernel!.call<boolean>(n.config.peer, 'TakeKey', body, MEMBERSHIP.callTimeoutMs));
  t.true(await ask(to, { shard, fence }));
  const taken = fenceOf(to, shard);
  t.true(await ask(to, { shard, fence }), 'it has the shard');
  t.is(fenceOf(to, shard), taken, 'and has not taken it a second time');
  t.false(await ask(third, { shard, fence }), 'one that comes late, when another has taken the shard');
  t.is(fenceOf(to, shard), taken);
  // A node of an earlier version tells no fence.
  t.true(await ask(third, { shard }));
});

test('a helper that is not there on an indirect path says nothing of the connection that was asked for', async (t) => {
  const s = await startSmallFleet(17);
  const [here, there] = s.relays as [SimNode, SimNode];
  const { conn } = await s.attach(there, 'phone');
  const kernel: Kernel = here.kernel!;
  const suspected: string[] = [];
  const before = kernel.onUnreachable;
  kernel.onUnreachable = (p) => {
    suspected.push(p);
    before(p);
  };
  const helper = s.stores[0]!;
  kernel.intermediariesTo = () => [helper.config.peer];
  s.sim.cut(here.name, there.name);
  kernel.markLinkBroken(there.config.peer);
  s.sim.kill(helper);
  const r = await s.ask(here, 'Probe', { conn });
  t.is(r.status, 503);
  t.is(r.body.error.tag, 'unreachable');
  t.false(suspected.includes(there.config.peer));
});

test("of a client's two connections the later stays, also when news of the earlier comes late", async (t) => {
  const s = await startSmallFleet(23);
  const [slow, quick] = s.relays as [SimNode, SimNode];
  await s.advance(2_000);
  slow.maxExtraDelayMs = 300;
  for (let i = 0; i < 8; i++) {
    const name = `phone${i}`;
    let earlierEnded = false;
    let laterEnded = false;
    const attach = (n: SimNode, ended: () => void): (() => void) =>
      s.sim.clientTransport.attach(n.config.client, { consumer: name, pingS: 2 }, () => undefined, ended);
    attach(slow, () => {
      earlierEnded = true;
    });
    const byId = Reflect.get(slow.kernel!.use('sessions'), 'byId') as Map<string, { consumer: string }>;
    const taken = (): boolean => [...byId.values()].some((c) => c.consumer === name);
    while (!taken()) await s.advance(5);
    await s.advance(50);
    attach(quick, () => {
      laterEnded = true;
    });
    await s.advance(2_000);
    t.false(laterEnded, name);
    t.true(earlierEnded, name);
  }
});
