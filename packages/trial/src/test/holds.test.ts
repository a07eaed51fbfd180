import { REQUEST, SESSION } from '@harecross/kernel';
import { readInterestRow, type InterestItem, type InterestRow } from '@harecross/data';
import test from 'ava';
import type { Json } from '../json.js';
import type { SimNode } from '../sim.js';
import { startSmallFleet, type SmallFleet } from './small-fleet.js';

const publish = (s: SmallFleet, seq: number, topic = 'feed/1') =>
  s.ask(s.relays[1]!, 'Publish', { sender: 'desk', topic, seq, body: `m${seq}` });
const delivered = (frames: { t: string }[]): number[] =>
  frames.flatMap((f) => (f.t === 'DELIVER' ? [(f as unknown as { offset: number }).offset] : []));
/** The owner's side: deadline of our relay's interest, by the owner's clock. */
const interest = (s: SmallFleet, topic: string): { deadline: number; gen: string; rev: number } | undefined =>
  (s.ownerOf(topic).kernel!.use('owner') as Json).interests.interest.get(s.relays[0]!.config.peer)?.topics.get(topic);
const now = (s: SmallFleet, topic: string): number => s.ownerOf(topic).kernel!.host.clock.now();

test('a hold is renewed by traffic on its conn, ends at its deadline without, and the owner learns deadlines only', async (t) => {
  const s = await startSmallFleet(31);
  const said: InterestItem[] = [];
  for (const n of s.stores) {
    const handlers = (n.kernel as Json).rpc.handlers as Map<string, { handle: (b: Json, f: Json) => unknown }>;
    const old = handlers.get('Interest')!;
    handlers.set('Interest', {
      ...old,
      handle: (b: { items: InterestRow[] }, f) => {
        for (const r of b.items)
          t.deepEqual(
            r.map((x) => typeof x),
            ['string', 'number', 'number', 'string'],
            'nothing but topic, revision, end, generation',
          );
        said.push(...b.items.map(readInterestRow));
        return old.handle(b, f);
      },
    });
  }
  // A ping of 40 s: silence alone would close the conn only after two minutes.
  const c = await s.attach(s.relays[0]!, 'phone', 40);
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await s.advance(1_000);
  const first = interest(s, 'feed/1')!;
  const left = first.deadline - now(s, 'feed/1');
  t.true(left > SESSION.leaseTtlMs - 3_000 && left <= SESSION.leaseTtlMs + SESSION.leaseSkewMs);
  await s.advance(25_000);
  await s.ask(s.relays[0]!, 'Probe', { conn: c.conn });
  await s.advance(1_000);
  const renewed = interest(s, 'feed/1')!;
  t.true(renewed.deadline > first.deadline + 20_000, 'traffic after the renewal period moved the deadline');
  t.is(renewed.gen, first.gen, 'a renewal keeps its generation');
  await s.advance(SESSION.leaseTtlMs - 3_000);
  t.false(c.frames.some((f) => f.t === 'LEFT'));
  await s.advance(4_000);
  t.like(
    c.frames.find((f) => f.t === 'LEFT'),
    { topic: 'feed/1', reason: 'hold_ended' },
  );
  await publish(s, 1);
  await s.advance(1_000);
  t.deepEqual(delivered(c.frames), [], 'nothing is kept for the lapsed');
  t.true(said.length >= 3);
  for (const i of said) t.deepEqual(Object.keys(i).sort(), ['expiresAt', 'gen', 'rev', 'topic']);
  s.sim.close();
});

test('the owner stops at the deadline by its own clock, with clocks five minutes apart and no word from the relay', async (t) => {
  const s = await startSmallFleet(32, { skews: [300_000, -300_000, 120_000, -240_000, 0] });
  const c = await s.attach(s.relays[0]!, 'phone', 40);
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await publish(s, 1);
  await s.advance(500);
  t.deepEqual(delivered(c.frames), [1]);
  const owner = s.ownerOf('feed/1');
  const live = (): number => (owner.kernel!.use('owner') as Json).interests.interestedRelays('feed/1').length;
  // The relay vanishes without a word; only the deadline is left.
  s.sim.freeze(s.relays[0]!);
  await s.advance(SESSION.leaseTtlMs - 4_000);
  t.is(live(), 1, 'before the deadline the owner goes on');
  await s.advance(4_000 + SESSION.leaseSkewMs);
  t.is(live(), 0, 'after the deadline and the margin it has stopped');
  const before = owner.kernel!.counters.get('fan.frames') ?? 0;
  await publish(s, 2);
  t.is(owner.kernel!.counters.get('fan.frames') ?? 0, before);
  s.sim.close();
});

test('the owner ignores stale revisions, and clears its interest on a new instance only', async (t) => {
  const s = await startSmallFleet(33);
  const o = (s.ownerOf('feed/1').kernel!.use('owner') as Json).interests;
  const at = now(s, 'feed/1');
  const same = (x: number): number => x;
  const gens = (): string[] => o.interestedRelays('feed/1').map(([, i]: [string, { gen: string }]) => i.gen);
  o.receive('r', '0001-a', [{ topic: 'feed/1', rev: 5, expiresAt: at + 50_000, gen: 'g5' }], same);
  o.receive('r', '0001-a', [{ topic: 'feed/1', rev: 4, expiresAt: 0, gen: 'g4' }], same);
  t.deepEqual(gens(), ['g5'], 'an older revision came late');
  o.receive('r', '0001-a', [{ topic: 'feed/1', rev: 6, expiresAt: 0, gen: 'g5' }], same);
  t.deepEqual(gens(), []);
  o.receive(
    'r',
    '0001-a',
    [
      { topic: 'feed/1', rev: 7, expiresAt: at + 50_000, gen: 'g7' },
      { topic: 'feed/2', rev: 8, expiresAt: at + 50_000, gen: 'g8' },
    ],
    same,
  );
  o.receive('r', '0002-b', [{ topic: 'feed/1', rev: 1, expiresAt: at + 50_000, gen: 'new' }], same);
  t.deepEqual(gens(), ['new']);
  t.is(o.interestedRelays('feed/2').length, 0, 'the other topic went with the old instance');
  o.receive('r', '0001-a', [{ topic: 'feed/1', rev: 99, expiresAt: 0, gen: 'g' }], same);
  t.deepEqual(gens(), ['new'], 'a frame of the instance before changes nothing');
  s.sim.close();
});

test('a frame of an older generation is not sent; from none to one a new generation is issued', async (t) => {
  const s = await startSmallFleet(34);
  const c = await s.attach(s.relays[0]!, 'phone');
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await s.advance(300);
  const gen = interest(s, 'feed/1')!.gen;
  await s.ask(s.relays[0]!, 'Unsubscribe', { conn: c.conn, topic: 'feed/1' });
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await s.advance(300);
  t.not(interest(s, 'feed/1')!.gen, gen);
  const sessions = s.relays[0]!.kernel!.use('sessions') as Json;
  sessions.delivery.receive({ topic: 'feed/1', gen, off: 1, sender: 'ghost', seq: 1, body: 'old' });
  await s.advance(500);
  t.deepEqual(delivered(c.frames), []);
  t.is(s.relays[0]!.kernel!.counters.get('frame.old_generation'), 1);
  s.sim.close();
});

test('what waits for a hold goes with it: unsubscribe before the flush', async (t) => {
  const s = await startSmallFleet(35);
  const c = await s.attach(s.relays[0]!, 'phone');
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await publish(s, 1);
  const sessions = s.relays[0]!.kernel!.use('sessions');
  const session = sessions.get(c.conn)!;
  for (let i = 0; i < 100 && !session.queue.length; i++) await s.sim.run(s.sim.now + 1);
  t.is(session.queue.length, 1, 'the message waits for the flush');
  sessions.unsubscribe(c.conn, 'feed/1');
  await s.advance(600);
  t.deepEqual(
    c.frames.map((f) => f.t),
    ['ATTACHED', 'LEFT'],
  );
  // And it is owed when the consumer comes again with its cursor.
  await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1', cursor: 0 });
  await s.advance(600);
  t.deepEqual(delivered(c.frames), [1]);
  s.sim.close();
});

test('silence of three pings, and a later conn of the same consumer at another relay, end a conn and its holds', async (t) => {
  const s = await startSmallFleet(36);
  const a = await s.attach(s.relays[0]!, 'phone');
  await s.ask(s.relays[0]!, 'Subscribe', { conn: a.conn, topic: 'feed/1' });
  const b = await s.attach(s.relays[1]!, 'phone');
  await s.advance(500);
  t.like(a.frames.at(-1), { t: 'CLOSED', reason: 'replaced' });
  t.deepEqual((await s.ask(s.relays[1]!, 'Listeners', { topic: 'feed/1' })).body, { count: 0, partial: false });
  t.is((await s.ask(s.relays[1]!, 'Probe', { conn: a.conn })).status, 410);
  await s.advance(SESSION.missedPingCount * 2_000 + 500);
  t.like(b.frames.at(-1), { t: 'CLOSED', reason: 'silent' });
  s.sim.close();
});

test('a relay that comes back with its clock an hour behind is known by its new instance, and its interest counts', async (t) => {
  const s = await startSmallFleet(37);
  const r = s.relays[0]!;
  const old = await s.attach(r, 'phone');
  await s.ask(r, 'Subscribe', { conn: old.conn, topic: 'feed/1' });
  const inst = r.kernel!.instanceId;
  s.sim.kill(r);
  r.skewMs -= 3_600_000;
  await s.advance(500);
  void s.sim.start(r);
  await s.advance(3_000);
  t.is(r.kernel!.counters.get('instance.outlived'), 1);
  t.true(r.kernel!.instanceId > inst);
  t.is(s.ownerOf('feed/1').kernel!.use('membership').members.get(r.config.peer)!.inst, r.kernel!.instanceId);
  const c = await s.attach(r, 'phone');
  await s.ask(r, 'Subscribe', { conn: c.conn, topic: 'feed/1' });
  await s.advance(500);
  t.true(interest(s, 'feed/1')!.deadline > now(s, 'feed/1'));
  await publish(s, 1);
  await s.advance(500);
  t.deepEqual(delivered(c.frames), [1]);
  t.is(r.kernel!.counters.get('pull') ?? 0, 0, 'by a frame, not by a repair');
  s.sim.close();
});

test('a subscription asked for twice at once begins once, and both answers say where', async (t) => {
  const s = await startSmallFleet(41);
  const [a, b] = s.relays as [SimNode, SimNode];
  await s.ask(a, 'Publish', { sender: 's', topic: 'feed/1', seq: 1, body: 'one' });
  const { conn, frames } = await s.attach(a, 'phone');
  const [x, y] = await Promise.all([
    s.ask(a, 'Subscribe', { conn, topic: 'feed/1', cursor: 0 }),
    s.ask(b, 'Subscribe', { conn, topic: 'feed/1', cursor: 0 }),
  ]);
  t.is(x.status, 200);
  t.is(y.status, 200);
  t.is(x.body.sub, y.body.sub);
  for (const r of [x, y]) t.true(Number.isInteger(r.body.next) && r.body.next >= 1, JSON.stringify(r.body));
  await s.advance(1_000);
  t.is(frames.filter((f) => f.t === 'DELIVER').length, 1);
  const again = await s.ask(b, 'Subscribe', { conn, topic: 'feed/1' });
  t.is(again.body.next, x.body.next, 'its beginning, whatever was sent since');
  s.sim.close();
});

test('what is known to be there and could not be read is read again, though nothing new is published', async (t) => {
  const s = await startSmallFleet(39);
  for (const seq of [1, 2, 3]) await publish(s, seq);
  // The owner answers where a subscription begins and is then too busy to be read, until the relay has given up.
  const healed: (() => void)[] = [];
  for (const n of s.stores) {
    const handlers = (n.kernel as Json).rpc.handlers as Map<string, { handle: (b: Json, f: Json) => unknown }>;
    const old = handlers.get('History')!;
    handlers.set('History', { ...old, handle: () => new Promise(() => undefined) });
    healed.push(() => handlers.set('History', old));
  }
  const c = await s.attach(s.relays[0]!, 'phone', 40);
  const r = await s.ask(s.relays[0]!, 'Subscribe', { conn: c.conn, topic: 'feed/1', cursor: 1 });
  t.is(r.body.next, 2);
  await s.advance(6_000);
  t.deepEqual(delivered(c.frames), []);
  for (const f of healed) f();
  await s.advance(SESSION.headsMs + REQUEST.ownerAttemptMs * 2 + 500);
  t.deepEqual(delivered(c.frames), [2, 3]);
  s.sim.close();
});
