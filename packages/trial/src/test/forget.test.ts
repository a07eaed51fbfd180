import { ForgetPlanner, type FleetValue } from '@harecross/control';
import { PLACEMENT } from '@harecross/kernel';
import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, replicaSetsAt, diskIdOf, votersAt, type ControlFleet } from './control-fleet.js';
import { withConstants } from './long-life.js';
import { FAMILIES } from './small-fleet.js';

/** One minute instead of the default ten, to keep the run short. */
const FORGET_DISK_MS = 60_000;
/** Time within which a returning disk is admitted. */
const JOIN_MS = 3_000;

const valueOf = (fleet: ControlFleet): FleetValue => fleet.controls[0]!.kernel!.use('register').value!;
const stateOf = (fleet: ControlFleet, disk: string): string | undefined => valueOf(fleet).disks.get(disk)?.state;

/** Empties a store on an operator's request and then stops its machine, disk included. */
async function emptyAndStopStore(fleet: ControlFleet): Promise<{ store: SimNode; disk: string }> {
  void fleet.sim.start(fleet.addMachine('store', 'd'));
  await fleet.advance(2_000);
  const store = fleet.stores[1]!;
  const disk = diskIdOf(store);
  await fleet.ask(fleet.controls[0]!, 'EmptyDisk', { disk: store.name });
  for (let i = 0; i < 50; i++) {
    if ((await fleet.ask(fleet.controls[0]!, 'EmptyStatus', { disk: store.name })).body.state === 'emptied') break;
    await fleet.advance(200);
  }
  fleet.sim.kill(store);
  return { store, disk };
}

for (const planted of [false, true]) {
  test.serial(
    planted
      ? 'planted: an emptied disk without its mark joins as if it were new'
      : 'the state of an emptied disk can be queried, then its record is removed; when it returns it stays emptied until an operator cancels that',
    async (t) => {
      const restore = withConstants({ forgetDiskMs: FORGET_DISK_MS });
      const fleet = await startControlFleet(31);
      const { store, disk } = await emptyAndStopStore(fleet);
      const status = () => fleet.ask(fleet.controls[0]!, 'EmptyStatus', { disk: store.name });
      await fleet.advance(FORGET_DISK_MS / 2);
      t.is((await status()).body.state, 'emptied', 'the outcome can be queried for a time');
      await fleet.advance(FORGET_DISK_MS);
      t.is(stateOf(fleet, disk), undefined, 'the record is removed');
      t.is((await status()).status, 404);

      if (planted) store.sql!.prepare("delete from meta where k = 'emptied'").run();
      void fleet.sim.start(store);
      await fleet.advance(JOIN_MS);
      t.is(stateOf(fleet, disk), planted ? 'active' : 'emptying');
      if (!planted) {
        t.false(replicaSetsAt(fleet.controls[0]!).some((c) => c.includes(disk)));
        t.false(votersAt(fleet.controls[0]!).includes(disk));
        t.is((await fleet.ask(fleet.controls[0]!, 'CancelEmpty', { disk: store.name })).status, 200);
        fleet.sim.kill(store);
        await fleet.advance(1_000);
        void fleet.sim.start(store);
        await fleet.advance(JOIN_MS);
        t.is(stateOf(fleet, disk), 'active');
        t.is(store.sql!.prepare("select v from meta where k = 'emptied'").pluck().get(), 'no');
      }
      fleet.sim.close();
      restore();
    },
  );
}

test.serial(
  'a voter whose record was removed returns with its old disk: it joins without a vote and learns the current configuration',
  async (t) => {
    const restore = withConstants({ forgetDiskMs: FORGET_DISK_MS });
    const fleet = await startControlFleet(32, { controls: 4 });
    const voter = fleet.controls.find((c) => c !== fleet.controls[0] && votersAt(c).includes(diskIdOf(c)))!;
    const disk = diskIdOf(voter);
    fleet.sim.kill(voter);
    for (let revision = 2; revision <= 30; revision++) {
      const answer = await fleet.ask(fleet.controls[0]!, 'SubmitConfig', {
        revision,
        document: {},
        config: { families: FAMILIES },
      });
      t.is(answer.status, 200);
    }
    await fleet.advance(PLACEMENT.spareAfterMs + 2_000);
    t.is(stateOf(fleet, disk), 'lost');
    await fleet.advance(FORGET_DISK_MS + 5_000);
    t.is(stateOf(fleet, disk), undefined);
    const voters = votersAt(fleet.controls[0]!);
    void fleet.sim.start(voter);
    await fleet.advance(1_000);
    t.is(voter.kernel!.use('register').value?.revision, 30);
    t.true(voter.kernel!.use('register').hasReadLease());
    await fleet.advance(JOIN_MS);
    t.is(stateOf(fleet, disk), 'active');
    t.deepEqual(votersAt(fleet.controls[0]!), voters, 'the voters do not change');
    t.is(
      (await fleet.ask(voter, 'SubmitConfig', { revision: 31, document: {}, config: { families: FAMILIES } })).status,
      200,
    );
    t.is(valueOf(fleet).revision, 31);
    fleet.sim.close();
    restore();
  },
);

test('records still in use are kept: replicas, current and previous votes, planned moves, and all active disks', (t) => {
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
  t.is(planner.plan(value), undefined, 'no record is removed at once');
  now = PLACEMENT.forgetDiskMs - 1;
  t.is(planner.plan(value), undefined);
  now = PLACEMENT.forgetDiskMs;
  t.deepEqual(planner.plan(value)?.forgotten, ['lost', 'emptied']);
  t.deepEqual(
    [...planner.plan(value)!.next.disks.keys()],
    ['active', 'replica', 'voter', 'votedBefore', 'planned', 'running'],
  );
});
