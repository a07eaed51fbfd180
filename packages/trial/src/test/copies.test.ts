import test from 'ava';
import { startSmallFleet, type SmallFleet } from './small-fleet.js';

/** How many shards have how many copies, and on how many live disks, as a relay knows it. */
function copiesOf(s: SmallFleet): string {
  const v = s.relays[0]!.kernel!.use('register').value!;
  const n = new Map<string, number>();
  for (const p of v.shards.values()) {
    const live = p.copies.filter((d) => s.stores.some((x) => x.up && x.kernel?.use('register').disk === d)).length;
    const key = `${live} of ${p.copies.length}`;
    n.set(key, (n.get(key) ?? 0) + 1);
  }
  return [...n]
    .map(([k, x]) => `${x}: ${k}`)
    .sort()
    .join(', ');
}
const publish = async (s: SmallFleet, seq: number): Promise<number> =>
  (await s.ask(s.relays[0]!, 'Publish', { sender: 'desk', topic: 'feed/1', seq, body: `m${seq}` })).status;

test("a store that is dead for long leaves its copies' places: what is accepted meanwhile outlives the next loss", async (t) => {
  const s = await startSmallFleet(91);
  t.is(copiesOf(s), '32: 3 of 3');
  t.is(await publish(s, 1), 200);
  const [a, b] = s.stores as [SmallFleet['stores'][0], SmallFleet['stores'][0], SmallFleet['stores'][0]];
  s.sim.kill(a);
  await s.advance(70_000);
  t.is(copiesOf(s), '32: 2 of 3', 'not one copy is given up: there is no disk for another');
  t.is(await publish(s, 2), 200, 'two of three are a majority');
  // It comes back, and after a few seconds another goes: all that was accepted is there.
  void s.sim.start(a);
  await s.advance(4_000);
  t.is(copiesOf(s), '32: 3 of 3', 'nothing needs to move');
  s.sim.loseDisk(b);
  await s.advance(4_000);
  t.is(await publish(s, 2), 200, 'the same number has its first outcome');
  const c = await s.attach(s.relays[1]!, 'phone');
  t.is((await s.ask(s.relays[1]!, 'Subscribe', { conn: c.conn, topic: 'feed/1', cursor: 1 })).status, 200);
  await s.advance(1_500);
  t.deepEqual(c.frames.flatMap((f) => (f.t === 'DELIVER' ? [f.body] : [])).slice(-1), ['m2']);
  s.sim.close();
});

test("a lost disk's copies go to another as soon as there is one", async (t) => {
  const s = await startSmallFleet(92);
  const [a, b] = s.stores as [SmallFleet['stores'][0], SmallFleet['stores'][0], SmallFleet['stores'][0]];
  s.sim.kill(a);
  await s.advance(60_000);
  t.is(copiesOf(s), '32: 2 of 3');
  const more = s.sim.add('store4', { role: 'store', domain: 'a', disk: true });
  more.config.seeds = b.config.seeds;
  void s.sim.start(more);
  s.stores.push(more);
  for (let i = 0; i < 60 && copiesOf(s) !== '32: 3 of 3'; i++) await s.advance(1_000);
  t.is(copiesOf(s), '32: 3 of 3');
  s.sim.close();
});

test('with few disks and one of them away the seats stay too, and one more loss later is borne', async (t) => {
  const s = await startSmallFleet(93);
  const [a, b, c] = s.stores as [SmallFleet['stores'][0], SmallFleet['stores'][0], SmallFleet['stores'][0]];
  const seats = (): string => {
    const v = c.kernel!.use('register').value!;
    return v.voters
      .map((d) => s.stores.findIndex((x) => x.config.peer === v.disks.get(d)!.peer) + 1)
      .sort((x, y) => x - y)
      .join();
  };
  s.sim.kill(a);
  await s.advance(70_000);
  t.is(seats(), '1,2,3');
  void s.sim.start(a);
  await s.advance(4_000);
  s.sim.kill(b);
  await s.advance(4_000);
  t.is((await s.ask(s.relays[0]!, 'SubmitConfig', { changeId: 'later', config: { families: [] } })).status, 200);
  s.sim.close();
});

test('emptying goes on where there are fewer disks than copies are wanted', async (t) => {
  // Five copies are wanted, and there are four disks: three copies each.
  const s = await startSmallFleet(94);
  const more = s.sim.add('store4', { role: 'store', domain: 'b', disk: true });
  more.config.seeds = s.stores[0]!.config.seeds;
  void s.sim.start(more);
  s.stores.push(more);
  const onMore = (): number => {
    const v = s.relays[0]!.kernel!.use('register').value!;
    return [...v.shards.values()].filter((p) => p.copies.some((d) => v.disks.get(d)?.peer === more.config.peer)).length;
  };
  for (let i = 0; i < 60 && onMore() === 0; i++) await s.advance(1_000);
  t.true(onMore() > 0);
  t.is((await s.ask(s.relays[0]!, 'EmptyDisk', { disk: more.config.peer })).status, 200);
  for (let i = 0; i < 60 && onMore() > 0; i++) await s.advance(1_000);
  t.is(onMore(), 0);
  t.is(copiesOf(s), '32: 3 of 3');
  s.sim.close();
});
