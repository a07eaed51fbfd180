import { SHARD } from '@harecross/kernel';
import test from 'ava';
import type { Json } from '../json.js';
import { startSmallFleet } from './small-fleet.js';

/** Power is lost everywhere and comes back; machines start a little apart. */
async function outage(seed: number, apartMs: number) {
  const s = await startSmallFleet(seed);
  for (let i = 1; i <= 3; i++)
    t200(await s.ask(s.relays[0]!, 'Publish', { sender: 'desk', topic: `feed/${i}`, seq: 1, body: `m${i}` }));
  for (const n of s.sim.nodes.values()) s.sim.kill(n);
  await s.advance(1_000);
  let i = 0;
  const from = s.sim.now;
  for (const n of s.sim.nodes.values()) void s.sim.clock.after(apartMs * i++, () => void s.sim.start(n));
  return { ...s, from, up: from + apartMs * (i - 1) };
}
function t200(r: { status: number; body: Json }): void {
  if (r.status !== 200) throw new Error(JSON.stringify(r.body));
}

for (const seed of [61, 62, 63]) {
  test(`a fleet that comes back together serves within 400 ms, its keys shared, what was accepted there (seed ${seed})`, async (t) => {
    const s = await outage(seed, 30);
    const owned = (): number[] =>
      s.stores.map((n) => (n.up && n.kernel?.has('owner') ? n.kernel.use('owner').ownedShards().length : 0));
    let at = 0;
    while (!at && s.sim.now < s.from + 5_000) {
      await s.sim.run(s.sim.now + 10);
      if (owned().reduce((a, b) => a + b, 0) === SHARD.shardCount) at = s.sim.now;
    }
    t.true(at > 0 && at - s.up <= 400, `virtual time; all keys served ${at - s.up} ms after the last start`);
    t.true(
      Math.max(...owned()) <= Math.ceil((SHARD.shardCount / 3) * SHARD.ownerSlack) + 2,
      `no store has all the keys: ${owned().join()}`,
    );
    t.true(
      s.stores.some((n) => (n.kernel!.counters.get('register.recalled') ?? 0) > 0),
      'the value was recalled without a ballot',
    );
    await s.advance(300);
    const { conn } = await s.attach(s.relays[1]!, 'phone');
    t.is(
      (await s.ask(s.relays[1]!, 'Subscribe', { conn, topic: 'feed/1', cursor: 0 })).body.next,
      1,
      'a cursor of before is taken up',
    );
    t.deepEqual((await s.ask(s.relays[1]!, 'Publish', { sender: 'desk', topic: 'feed/2', seq: 1, body: 'm2' })).body, {
      accepted: { offset: 1 },
    });
    s.sim.close();
  });
}
