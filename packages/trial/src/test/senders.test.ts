import { SHARD, shardOf } from '@harecross/kernel';
import test from 'ava';
import type { Json } from '../json.js';
import { FAMILIES, startSmallFleet, type SmallFleet } from './small-fleet.js';
import { createMachines, fleetConfigOf, SMALL } from '../scenario.js';
import { Sim, type SimNode } from '../sim.js';

const TOPIC = 'feed/7';
const publish = (s: SmallFleet, n: SimNode, seq: number, topic = TOPIC): Promise<{ status: number; body: Json }> =>
  s.ask(n, 'Publish', { sender: 'desk', topic, seq, body: `message ${seq}` });

test('every accepted number has its first outcome when it is repeated, not only the last', async (t) => {
  const s = await startSmallFleet(101);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const seqs = [2, 3, 5, 8, 9, 14, 20, 21];
  for (const [i, seq] of seqs.entries()) t.deepEqual((await publish(s, r1, seq)).body, { accepted: { offset: i + 1 } });
  const all = async (why: string): Promise<void> => {
    for (const [i, seq] of seqs.entries()) {
      t.deepEqual(
        (await publish(s, i % 2 ? r1 : r2, seq)).body,
        { accepted: { offset: i + 1 } },
        `${why}, number ${seq}`,
      );
    }
  };
  await all('at another relay');
  const owner = s.ownerOf(TOPIC);
  s.sim.kill(owner);
  await s.advance(3_000);
  await all('at another owner');
  await s.sim.start(owner);
  await s.advance(3_000);
  for (const n of s.sim.nodes.values()) s.sim.kill(n);
  await s.advance(500);
  for (const n of s.sim.nodes.values()) await s.sim.start(n);
  await s.advance(6_000);
  await all('after the power was lost everywhere');
  const c = await s.attach(r1, 'phone');
  await s.ask(r1, 'Subscribe', { conn: c.conn, topic: TOPIC, cursor: 0 });
  await s.advance(1_000);
  t.deepEqual(
    c.frames.flatMap((f) => (f.t === 'DELIVER' ? [f.seq] : [])),
    seqs,
    'each was stored once',
  );
  s.sim.close();
});

test('a repeat has its first outcome though its family remembers a second, was removed and made anew', async (t) => {
  const short = { families: [{ ...FAMILIES[0]!, memoryS: 1 }, FAMILIES[1]!] };
  const s = await startSmallFleet(102, { config: short });
  const [r1, r2] = s.relays as [SimNode, SimNode];
  for (const seq of [1, 2, 3]) await publish(s, r1, seq);
  await s.ask(r1, 'SubmitConfig', { changeId: 'away', config: { families: [FAMILIES[1]!] } });
  await s.advance(6_000);
  await s.ask(r1, 'SubmitConfig', { changeId: 'back', config: short });
  await s.advance(4_000);
  for (const seq of [1, 2, 3]) t.deepEqual((await publish(s, r2, seq)).body, { accepted: { offset: seq } });
  t.deepEqual((await publish(s, r2, 4)).body, { accepted: { offset: 4 } });
  s.sim.close();
});

test('the final no is for numbers that surely were never accepted; of those below what was trimmed nobody knows', async (t) => {
  const s = await startSmallFleet(103);
  const r = s.relays[0]!;
  for (const seq of [10, 20]) await publish(s, r, seq);
  await s.advance(70_000);
  for (const seq of [30, 40]) await publish(s, r, seq);
  const answer = async (seq: number): Promise<string> => {
    const { body } = await publish(s, r, seq);
    return body.accepted ? `accepted ${body.accepted.offset}` : (body.rejected?.reason ?? body.error.tag);
  };
  t.is(await answer(35), 'stale_seq');
  t.is(await answer(25), 'stale_seq', 'above the last one trimmed, and not in the history');
  t.is(await answer(20), 'accepted 2', 'the last one trimmed');
  t.is(await answer(10), 'outcome_unknown', 'below it: it was accepted, which is not known any more');
  t.is(await answer(15), 'outcome_unknown');
  t.is(await answer(41), 'accepted 5');
  s.sim.close();
});

test('no final no stands on a number that is not committed: it waits, and a new owner may take the lower one', async (t) => {
  const s = await startSmallFleet(104);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  await publish(s, r1, 1);
  const owner = s.ownerOf(TOPIC);
  // The owner hears its relays but not its copies: what it takes now is on no majority, and will be on none.
  for (const o of s.stores) if (o !== owner) s.sim.cut(owner.name, o.name);
  const high = s.sim.clientTransport.visit(
    r1.config.client,
    'Publish',
    { sender: 'desk', topic: TOPIC, seq: 9, body: 'nine' },
    6_000,
  );
  await s.advance(50);
  const low = s.sim.clientTransport.visit(
    r1.config.client,
    'Publish',
    { sender: 'desk', topic: TOPIC, seq: 5, body: 'five' },
    6_000,
  );
  let early: unknown = 'none';
  void low.then((x) => {
    early = x;
  });
  await s.advance(200);
  t.is(early, 'none', 'no answer while nine is not committed');
  await s.advance(5_000);
  const told = [await low, await high].map((x) => x?.body);
  for (const b of told) t.not(b?.rejected?.reason, 'stale_seq');
  s.sim.healAll();
  await s.advance(4_000);
  // Whatever became of them: each number has one outcome, and a final no only under a higher one that was accepted.
  const five = (await publish(s, r2, 5)).body;
  const nine = (await publish(s, r2, 9)).body;
  t.truthy(nine.accepted);
  t.true(five.accepted?.offset < nine.accepted.offset || five.rejected?.reason === 'stale_seq');
  t.deepEqual((await publish(s, r1, 5)).body, five);
  s.sim.close();
});

test('only the final no says that it is one', async (t) => {
  const s = await startSmallFleet(105);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  for (const seq of [1, 5]) await publish(s, r1, seq);
  const stale = await publish(s, r2, 3);
  t.is(stale.status, 409);
  t.deepEqual(stale.body, { rejected: { reason: 'stale_seq', final: true, retryAfterMs: 0 } });
  for (const n of s.stores) s.sim.kill(n);
  const later = await publish(s, r2, 6);
  t.is(later.status, 503);
  t.is(later.body.rejected.final, false);
  t.true(later.body.rejected.retryAfterMs > 0);
  s.sim.close();
});

interface Sent {
  seq: number;
  asked: number;
  told: number;
  answer: string;
}
/**
 * Publishes a number every 5 ms on one connection, up to eight on the way, while something happens to the topic's owner
 * at 300 ms.
 */
async function pipelined(
  seed: number,
  happen: (s: SmallFleet, owner: SimNode) => void,
  forMs = 2_500,
): Promise<{ sent: Sent[]; delivered: number[]; most: number }> {
  const s = await startSmallFleet(seed);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const c = await s.attach(r2, 'phone');
  await s.ask(r2, 'Subscribe', { conn: c.conn, topic: TOPIC });
  await publish(s, r1, 1);
  const owner = s.ownerOf(TOPIC);
  const line = { name: 'one', at: 0, waiting: [] };
  const sent: Sent[] = [];
  const t0 = s.sim.now;
  let open = 0;
  let seq = 1;
  const one = (): void => {
    if (s.sim.now > t0 + forMs) return;
    if (open < 8) {
      const x: Sent = { seq: ++seq, asked: s.sim.now, told: Infinity, answer: 'none' };
      sent.push(x);
      open++;
      const body = { sender: 'desk', topic: TOPIC, seq: x.seq, body: `message ${x.seq}` };
      void s.sim.clientTransport.visit(r1.config.client, 'Publish', body, 6_000, line).then((r) => {
        open--;
        x.told = s.sim.now;
        x.answer = r?.body?.accepted ? 'accepted' : (r?.body?.rejected?.reason ?? r?.body?.error?.tag ?? 'no answer');
      });
    }
    s.sim.clock.after(5, one);
  };
  one();
  s.sim.clock.after(300, () => happen(s, owner));
  await s.advance(forMs + 3_000);
  const delivered = c.frames.flatMap((f) => (f.t === 'DELIVER' ? [f.seq] : []));
  s.sim.close();
  return { sent, delivered, most: Math.max(...sent.map((x) => x.told - x.asked)) };
}

const happenings: [what: string, mostMs: number, happen: (s: SmallFleet, owner: SimNode) => void][] = [
  ['is killed', 200, (s, o) => s.sim.kill(o)],
  [
    'falls silent',
    800,
    (s, o) => {
      for (const n of s.sim.nodes.values()) if (n !== o) s.sim.cut(o.name, n.name);
    },
  ],
  [
    'loses its links to the other copies',
    1_400,
    (s, o) => {
      for (const n of s.stores) if (n !== o) s.sim.cut(o.name, n.name);
    },
  ],
  ['is frozen', 800, (s, o) => s.sim.freeze(o)],
  [
    'is stopped',
    80,
    (s, o) => {
      void s.sim.stop(o);
    },
  ],
  [
    'hands its key to another',
    80,
    (s, o) => {
      const next = s.stores.find((n) => n !== o)!;
      void next.kernel!.call(next.config.peer, 'TakeKey', { shard: shardOf(TOPIC) });
    },
  ],
];
for (const [what, mostMs, happen] of happenings) {
  const how = `none is refused or waits longer than ${mostMs} ms`;
  test(`eight publishes on the way keep their order when the owner ${what}; ${how}`, async (t) => {
    for (const seed of [111, 112, 113]) {
      const { sent, delivered, most } = await pipelined(seed, happen);
      t.true(sent.length > 100, `${sent.length} publishes`);
      t.deepEqual([...new Set(sent.map((x) => x.answer))], ['accepted']);
      t.deepEqual(delivered, [1, ...sent.map((x) => x.seq)]);
      t.true(most <= mostMs, `virtual time: one waited ${Math.round(most)} ms`);
    }
  });
}

test('a machine that is cut from some others does not make those look gone: their keys stay where they are', async (t) => {
  for (const seed of [121, 122, 123]) {
    const sim = new Sim(seed);
    const m = await createMachines(sim, SMALL);
    await sim.run(7_000);
    void sim.clientTransport.visit(
      m.relays[5]!.config.client,
      'SubmitConfig',
      { changeId: 'c', config: fleetConfigOf(SMALL) },
      9_000,
    );
    await sim.run(16_000);
    const [victim, ...others] = m.disks as [SimNode, ...SimNode[]];
    const owned = (n: SimNode): number[] =>
      n
        .kernel!.use('owner')
        .ownedShards()
        .map((k) => k.shard);
    const before = others.map(owned);
    for (const n of others) sim.cut(victim.name, n.name);
    await sim.run(sim.now + 5_000);
    t.deepEqual(
      others.map(owned).map((now, i) => before[i]!.filter((k) => !now.includes(k))),
      others.map(() => []),
    );
    t.is(others.flatMap(owned).length, SHARD.shardCount, 'the keys of the one that was cut off are with the others');
    sim.close();
  }
});

test('a subscription does not begin at the beginning because its owner lost the key while it was asked', async (t) => {
  const s = await startSmallFleet(131);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  for (const seq of [1, 2, 3]) await publish(s, r1, seq);
  // The majority's answer and another's fence come in one moment.
  let lost = 0;
  for (const n of s.stores) {
    const { history } = n.kernel!.use('owner') as Json;
    const confirm = history.confirmOwnership;
    history.confirmOwnership = async function (this: Json, shard: Json) {
      await confirm.call(this, shard);
      if (lost++ === 0) this.shards.setPhase(shard, 'none');
    };
  }
  const c = await s.attach(r2, 'phone');
  const r = await s.ask(r2, 'Subscribe', { conn: c.conn, topic: TOPIC });
  t.true(lost > 0);
  t.is(r.body.next, 4);
  await s.advance(1_500);
  t.deepEqual(
    c.frames.map((f) => f.t),
    ['ATTACHED'],
  );
  s.sim.close();
});
