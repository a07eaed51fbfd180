import test from 'ava';
import { SHARD } from '@harecross/kernel';
import type { Json } from '../json.js';
import { FAMILIES, startSmallFleet, type SmallFleet } from './small-fleet.js';
import type { SimNode } from '../sim.js';

/** What differs from run to run in an approved transcript. */
function masked(x: unknown): unknown {
  return JSON.parse(
    JSON.stringify(x)
      .replace(/10\.0\.0\.\d+:7100\/\d{15}-[0-9a-z]+\/\d+/g, '<conn>')
      .replace(/"sub":"[^"]*"/g, '"sub":"<sub>"')
      .replace(/"retryAfterMs":[1-9]\d*/g, '"retryAfterMs":"<soon>"')
      .replace(/10\.0\.0\.\d+:7100/g, '<peer>')
      .replace(/10\.0\.0\.\d+:7000/g, '<client>')
      .replace(/"(disk|id)":"d[0-9a-z]+"/g, '"$1":"<disk>"'),
  );
}

class Script {
  readonly lines: unknown[] = [];
  constructor(private s: SmallFleet) {}
  async say(n: SimNode, method: string, body: object): Promise<{ status: number; body: Json }> {
    const r = await this.s.ask(n, method, body);
    this.lines.push(masked({ visit: method, ...body }), masked({ status: r.status, ...r.body }));
    return r;
  }
}

test('a consumer and a sender, from attach to unsubscribe, through different relays', async (t) => {
  const s = await startSmallFleet(41);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const x = new Script(s);
  const c = await s.attach(r1, 'phone-7');
  await x.say(r2, 'Subscribe', { conn: c.conn, topic: 'feed/7' });
  await x.say(r2, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: 'one' });
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 4, body: 'gaps are allowed' });
  await x.say(r2, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 4, body: 'gaps are allowed' });
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 3, body: 'too late' });
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'alarm/1', seq: 1, body: 'not subscribed' });
  await x.say(r1, 'Listeners', { topic: 'feed/7' });
  await x.say(r2, 'Probe', { conn: c.conn });
  await s.advance(600);
  await x.say(r2, 'Unsubscribe', { conn: c.conn, topic: 'feed/7' });
  await x.say(r2, 'Unsubscribe', { conn: c.conn, topic: 'feed/7' });
  await x.say(r2, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 5, body: 'after' });
  await s.advance(600);
  await x.say(r1, 'Subscribe', { conn: c.conn, topic: 'feed/7', cursor: 2 });
  await s.advance(600);
  await x.say(r1, 'Detach', { conn: c.conn });
  await s.advance(100);
  t.snapshot({ visits: x.lines, stream: c.frames.map(masked) });
  s.sim.close();
});

test('bad visits: each has its own tagged error, and nothing changes', async (t) => {
  const s = await startSmallFleet(42);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const x = new Script(s);
  const c = await s.attach(r1, 'phone-7');
  await x.say(r1, 'Sing', {});
  await x.say(r1, 'Probe', {});
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 'one', body: '' });
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: '', more: 1 });
  await x.say(r1, 'Publish', { sender: 'desk', topic: 'nowhere', seq: 1, body: '' });
  const big = await s.ask(r1, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: 'x'.repeat(70_000) });
  x.lines.push({ visit: 'Publish', body: '70000 bytes' }, masked({ status: big.status, ...big.body }));
  await x.say(r2, 'Subscribe', { conn: c.conn, topic: 'nowhere' });
  await x.say(r2, 'Subscribe', { conn: c.conn, topic: 'feed/7', cursor: 9 });
  await x.say(r2, 'Subscribe', { conn: c.conn.replace(/\d$/, '9'), topic: 'feed/7' });
  await x.say(r2, 'Probe', { conn: '1.2.3.4:5/none/1' });
  await x.say(s.stores[0]!, 'Attach', { consumer: 'phone' });
  await x.say(r1, 'EmptyDisk', { disk: 'none' });
  await x.say(r1, 'EmptyDisk', { disk: s.stores[0]!.kernel!.use('register').disk });
  await x.say(r1, 'SubmitConfig', {
    changeId: 'bad',
    config: { families: [{ name: 'a', topics: ['feed/1', 'feed/1'], urgency: 'routine', patienceMs: 0, memoryS: 30 }] },
  });
  await x.say(r1, 'SubmitConfig', {
    changeId: 'bad',
    config: { families: [...FAMILIES, { ...FAMILIES[0], name: 'more', topics: ['feed/x*', 'feed/*'] }] },
  });
  await x.say(r1, 'PlanMoves', {
    changeId: 'bad',
    moves: [{ id: 'm', kind: 'empty', node: '9.9.9.9:1', from: 1, until: 2 }],
  });
  await x.say(r1, 'ReadConfig', {});
  t.snapshot(x.lines);
  s.sim.close();
});

test('operators: the same change again, a conflict, and reading back at any node', async (t) => {
  const s = await startSmallFleet(43);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const x = new Script(s);
  const two = { families: FAMILIES.slice(0, 1) };
  await x.say(r1, 'ReadConfig', {});
  await x.say(r2, 'SubmitConfig', { changeId: 'second', expect: 1, config: two });
  await x.say(r1, 'SubmitConfig', { changeId: 'second', expect: 1, config: two });
  await x.say(r1, 'SubmitConfig', { changeId: 'third', expect: 1, config: { families: [] } });
  await x.say(r1, 'SubmitConfig', { changeId: 'first', config: { families: [] } });
  await x.say(s.stores[2]!, 'ReadConfig', {});
  await x.say(r1, 'CheckConfig', { config: { families: 1 } });
  t.snapshot(x.lines);
  s.sim.close();
});

test('a stop: GOAWAY with where to go, keys handed over, and the conn closed', async (t) => {
  const s = await startSmallFleet(44);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const c = await s.attach(r1, 'phone-7');
  await s.ask(r1, 'Subscribe', { conn: c.conn, topic: 'feed/7' });
  await s.ask(r2, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: 'one' });
  const leave = s.sim.stop(r1);
  await s.advance(3_000);
  t.true(await leave, 'it left by itself');
  t.deepEqual(
    c.frames.map((f) => f.t),
    ['ATTACHED', 'DELIVER', 'GOAWAY', 'CLOSED'],
  );
  const owner = s.ownerOf('feed/7');
  const gone = s.sim.stop(owner);
  await s.advance(3_000);
  t.true(await gone);
  t.not(s.ownerOf('feed/7'), owner);
  const r = await s.ask(r2, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: 'one' });
  t.deepEqual(r.body, { accepted: { offset: 1 } }, 'the next owner knows the first outcome');
  t.snapshot(masked(c.frames));
  s.sim.close();
});

test('a publish that nobody can take is rejected at once, with a time to come back', async (t) => {
  const s = await startSmallFleet(45);
  const r = s.relays[0]!;
  s.sim.kill(s.stores[0]!);
  s.sim.kill(s.stores[1]!);
  await s.advance(1_000);
  const t0 = s.sim.now;
  const got = await s.ask(r, 'Publish', { sender: 'desk', topic: 'feed/7', seq: 1, body: 'one' });
  t.is(got.status, 503);
  t.is(got.body.rejected.reason, 'not_ready');
  t.true(got.body.rejected.retryAfterMs > 0);
  t.true(s.sim.now - t0 < 1_200, 'virtual time; the family would have waited 2 s');
  s.sim.close();
});

test('a relay that owns the key itself and is cut off from the copies answers within the patience, and says unknown', async (t) => {
  const s = await startSmallFleet(46, { relayDisk: true });
  const r = s.relays[0]!;
  const owner = r.kernel!.use('owner');
  // Its keys come to it once they have been matched to it for a while.
  await s.advance(SHARD.steadyAssignmentMs * 2);
  const topic = Array.from({ length: 200 }, (_, i) => `feed/${i}`).find((x) => owner.owns(x))!;
  t.truthy(topic, 'it owns a key');
  for (const o of s.sim.nodes.values()) if (o !== r) s.sim.cut(r.name, o.name);
  const t0 = s.sim.now;
  const got = await s.ask(r, 'Publish', { sender: 'desk', topic, seq: 1, body: 'one' });
  t.is(got.status, 504);
  t.is(got.body.error.tag, 'outcome_unknown');
  t.true(got.body.error.retryAfterMs > 0);
  t.true(s.sim.now - t0 <= 2_100, `virtual time; the family waits 2 s, it took ${s.sim.now - t0}`);
  await s.advance(1_000);
  t.is(owner.queues()[0]!.length, 0, 'nothing waits on in the holding of an owner that lost its majority');
  // Once healed, the same seq gets one outcome, and only one message is there.
  s.sim.healAll();
  await s.advance(4_000);
  const again = await s.ask(s.relays[1]!, 'Publish', { sender: 'desk', topic, seq: 1, body: 'one' });
  t.deepEqual(again.body, { accepted: { offset: 1 } });
  s.sim.close();
});
