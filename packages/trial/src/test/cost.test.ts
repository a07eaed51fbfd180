import { lastIdx } from '@harecross/state';
import test from 'ava';
import { shardOf } from '@harecross/kernel';
import { startSmallFleet } from './small-fleet.js';

test('a fleet at rest commits nothing, and speaks of all shards in one call to each copy', async (t) => {
  const s = await startSmallFleet(41);
  await s.advance(15_000);
  const commits = (): number => s.sim.get(s.stores[0]!.name).db!.commits;
  const before = s.stores.map((n) => n.db!.commits);
  s.sim.requestTraffic.clear();
  s.sim.measureTraffic = true;
  await s.advance(10_000);
  t.deepEqual(
    s.stores.map((n) => n.db!.commits),
    before,
  );
  t.true(commits() > 0);
  t.is(s.sim.requestTraffic.get('Append'), undefined);
  const pairs = s.stores.length * (s.stores.length - 1);
  const beats = s.sim.requestTraffic.get('Beats')!.n;
  t.true(beats > 0 && beats <= pairs * 27, `${beats} beats between ${pairs} pairs in 25 periods`);
  const owned = s.stores.flatMap((n) => n.kernel!.use('owner').ownedShards());
  t.is(owned.length, 32);
  s.sim.close();
});

test('a copy that missed entries while it was cut off is brought up by the beats alone', async (t) => {
  const s = await startSmallFleet(42);
  const shard = shardOf('feed/1');
  const owner = s.stores.find((n) =>
    n
      .kernel!.use('owner')
      .ownedShards()
      .some((k) => k.shard === shard),
  )!;
  const copy = s.stores.find((n) => n !== owner && n.kernel!.use('copies').all.get(shard))!;
  s.sim.cut(owner.name, copy.name);
  const r = await s.ask(s.relays[0]!, 'Publish', { sender: 'a', topic: 'feed/1', seq: 1, body: 'x' });
  t.is(r.status, 200);
  const last = (n: typeof copy): number => lastIdx(n.kernel!.use('copies').get(shard));
  await s.advance(600);
  t.true(last(copy) < last(owner));
  s.sim.healAll();
  await s.advance(3_000);
  t.is(last(copy), last(owner));
  s.sim.close();
});
