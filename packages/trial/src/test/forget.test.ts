import { ForgetPlanner, type FleetValue } from '@harecross/control';
import { PLACEMENT } from '@harecross/kernel';
import test from 'ava';
import type { SimNode } from '../sim.js';
import { controlFleet, copiesAt, diskOf, seatsOf, type ControlFleet } from './control-fleet.js';
import { withConstants } from './long-life.js';
import { FAMILIES } from './small-fleet.js';

/** A minute in place of ten, so that a run stays short. */
const FORGET_DISK_MS = 60_000;
/** In which a disk that came back is let in. */
const JOINED_MS = 3_000;

const valueOf = (f: ControlFleet): FleetValue => f.controls[0]!.kernel!.use('register').value!;
const stateOf = (f: ControlFleet, disk: string): string | undefined => valueOf(f).disks.get(disk)?.state;

/** A store is emptied for an operator, and its machine taken away with the disk still in it. */
async function emptiedStore(f: ControlFleet): Promise<{ store: SimNode; disk: string }> {
  void f.sim.start(f.spare('store', 'd'));
  await f.pass(2_000);
  const store = f.stores[1]!;
  const disk = diskOf(store);
  await f.ask(f.controls[0]!, 'EmptyDisk', { disk: store.name });
  for (let i = 0; i < 50; i++) {
    if ((await f.ask(f.controls[0]!, 'EmptyStatus', { disk: store.name })).body.state === 'emptied') break;
    await f.pass(200);
  }
  f.sim.kill(store);
  return { store, disk };
}

for (const planted of [false, true]) {
  test.serial(
    planted
      ? 'planted: an emptied disk that does not remember it joins as if new'
      : 'an emptied disk is answered for, then forgotten, and when it comes back it is still emptied until an operator takes that back',
    async (t) => {
      const restore = withConstants({ forgetDiskMs: FORGET_DISK_MS });
      const f = await controlFleet(31);
      const { store, disk } = await emptiedStore(f);
      const status = () => f.ask(f.controls[0]!, 'EmptyStatus', { disk: store.name });
      await f.pass(FORGET_DISK_MS / 2);
      t.is((await status()).body.state, 'emptied', 'the outcome is told for a time');
      await f.pass(FORGET_DISK_MS);
      t.is(stateOf(f, disk), undefined, 'the record is forgotten');
      t.is((await status()).status, 404);

      if (planted) store.sql!.prepare("delete from meta where k = 'emptied'").run();
      void f.sim.start(store);
      await f.pass(JOINED_MS);
      t.is(stateOf(f, disk), planted ? 'active' : 'emptying');
      if (!planted) {
        t.false(copiesAt(f.controls[0]!).some((c) => c.includes(disk)));
        t.false(seatsOf(f.controls[0]!).includes(disk));
        t.is((await f.ask(f.controls[0]!, 'CancelEmpty', { disk: store.name })).status, 200);
        f.sim.kill(store);
        await f.pass(1_000);
        void f.sim.start(store);
        await f.pass(JOINED_MS);
        t.is(stateOf(f, disk), 'active');
        t.is(store.sql!.prepare("select v from meta where k = 'emptied'").pluck().get(), 'no');
      }
      f.sim.close();
      restore();
    },
  );
}

test.serial(
  'a voter whose record was forgotten comes back with its old disk: it joins without a vote and learns what is in force',
  async (t) => {
    const restore = withConstants({ forgetDiskMs: FORGET_DISK_MS });
    const f = await controlFleet(32, { controls: 4 });
    const voter = f.controls.find((c) => c !== f.controls[0] && seatsOf(c).includes(diskOf(c)))!;
    const disk = diskOf(voter);
    f.sim.kill(voter);
    for (let revision = 2; revision <= 30; revision++) {
      const r = await f.ask(f.controls[0]!, 'SubmitConfig', { revision, document: {}, config: { families: FAMILIES } });
      t.is(r.status, 200);
    }
    await f.pass(PLACEMENT.spareAfterMs + 2_000);
    t.is(stateOf(f, disk), 'lost');
    await f.pass(FORGET_DISK_MS + 5_000);
    t.is(stateOf(f, disk), undefined);
    const seats = seatsOf(f.controls[0]!);
    void f.sim.start(voter);
    await f.pass(1_000);
    t.is(voter.kernel!.use('register').value?.revision, 30);
    t.true(voter.kernel!.use('register').hasReadLease());
    await f.pass(JOINED_MS);
    t.is(stateOf(f, disk), 'active');
    t.deepEqual(seatsOf(f.controls[0]!), seats, 'the votes stay where they are');
    t.is(
      (await f.ask(voter, 'SubmitConfig', { revision: 31, document: {}, config: { families: FAMILIES } })).status,
      200,
    );
    t.is(valueOf(f).revision, 31);
    f.sim.close();
    restore();
  },
);

test('records that something still needs are kept: replicas, votes now and before, planned moves; active ones always', (t) => {
  const machine = (id: string, state: 'active' | 'lost' | 'emptying') => ({ id, peer: `${id}:1`, domain: 'a', state });
  const value = {
    disks: new Map(
      [
        machine('active', 'active'),
        machine('replica', 'lost'),
        machine('voter', 'lost'),
        machine('votedBefore', 'lost'),
        machine('planned', 'emptying'),
        machine('lost', 'lost'),
        machine('emptied', 'emptying'),
        machine('running', 'emptying'),
      ].map((disk) => [disk.id, disk]),
    ),
    shards: new Map([[0, { gen: 1, copies: ['replica', 'active'] }]]),
    voters: ['voter', 'active'],
    previousVoters: ['votedBefore', 'active'],
    config: { families: [], moves: [{ id: 'm', node: 'planned:1', kind: 'empty', from: 0, until: 1 }] },
  } as unknown as FleetValue;
  let now = 0;
  const clock = { now: () => now };
  const membership = { memberOfDisk: (id: string) => (id === 'running' ? { state: 'live' } : undefined) };
  const planner = new ForgetPlanner({ host: { clock } } as never, membership as never);
  t.is(planner.plan(value), undefined, 'nothing is forgotten at once');
  now = PLACEMENT.forgetDiskMs - 1;
  t.is(planner.plan(value), undefined);
  now = PLACEMENT.forgetDiskMs;
  t.deepEqual(planner.plan(value)?.forgotten, ['lost', 'emptied']);
  t.deepEqual(
    [...planner.plan(value)!.next.disks.keys()],
    ['active', 'replica', 'voter', 'votedBefore', 'planned', 'running'],
  );
});
