import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, replicaSetsAt, diskIdOf, votersAt, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** A loss counts until this long after the machine or its replacement has started. */
const SYNC_MS = 4_000;
/** The replacement machine is available this long after the loss; its process starts a second later. */
const REPLACEMENT_DELAY_MS = 2_000;

const submit = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });
const publish = (fleet: ControlFleet, node: SimNode, topic: string, seq: number) =>
  fleet.ask(node, 'Publish', { sender: 'desk', topic, seq, body: `message ${seq}` });
const topics = Array.from({ length: 40 }, (_, i) => `feed/${i}`);

test('a control machine is replaced by an empty one at another address: it has the vote before the next loss', async (t) => {
  for (const seed of [1, 2, 3]) {
    const fleet = await startControlFleet(seed);
    for (let round = 0; round < 3; round++) {
      const lost = fleet.controls.shift()!;
      fleet.sim.loseDisk(lost);
      const replacement = fleet.addMachine('control', lost.config.domain);
      await fleet.advance(REPLACEMENT_DELAY_MS + 1_000);
      void fleet.sim.start(replacement);
      fleet.controls.push(replacement);
      await fleet.advance(SYNC_MS - 1_000);
      const voters = votersAt(fleet.controls[0]!);
      t.deepEqual(
        [...voters].sort(),
        fleet.controls.map(diskIdOf).sort(),
        `seed ${seed} round ${round}: the voters are the machines that run`,
      );
    }
    // The next machine is lost at once and not replaced.
    fleet.sim.loseDisk(fleet.controls.shift()!);
    await fleet.advance(100);
    t.is((await submit(fleet, fleet.controls[0]!, 7)).status, 200);
    t.is((await fleet.ask(fleet.controls[1]!, 'ReadConfig', {})).body.revision, 7);
    fleet.sim.close();
  }
});

test('with a spare control machine a dead one loses its vote, a restarted one does not', async (t) => {
  const fleet = await startControlFleet(4, { controls: 4 });
  const holder = fleet.controls.find((c) => votersAt(fleet.controls[0]!).includes(diskIdOf(c)))!;
  const disk = diskIdOf(holder);
  fleet.sim.kill(holder);
  await fleet.advance(2_000);
  void fleet.sim.start(holder);
  await fleet.advance(4_000);
  t.true(votersAt(fleet.controls[0]!).includes(disk), 'an absence of two seconds counts as a restart');
  fleet.sim.kill(holder);
  await fleet.advance(6_000);
  const other = fleet.controls.find((c) => c !== holder)!;
  const voters = votersAt(other);
  t.false(voters.includes(disk));
  t.is(voters.length, 3);
  void fleet.sim.start(holder);
  await fleet.advance(4_000);
  t.deepEqual(votersAt(other), voters, 'it returns as the spare');
  fleet.sim.close();
});

test('a store is replaced by an empty one at another address: it has the replicas before the next loss, and nothing accepted is lost', async (t) => {
  for (const seed of [5, 6]) {
    const fleet = await startControlFleet(seed);
    const relay = fleet.relays[0]!;
    let seq = 0;
    const publishAll = async (phase: string): Promise<void> => {
      seq++;
      for (const topic of topics)
        t.deepEqual(
          (await publish(fleet, relay, topic, seq)).body,
          { accepted: { offset: seq } },
          `${phase}: ${topic}`,
        );
    };
    await publishAll('before');
    for (let round = 0; round < 3; round++) {
      const lost = fleet.stores.shift()!;
      fleet.sim.loseDisk(lost);
      const replacement = fleet.addMachine('store', lost.config.domain);
      await fleet.advance(REPLACEMENT_DELAY_MS + 1_000);
      void fleet.sim.start(replacement);
      fleet.stores.push(replacement);
      await fleet.advance(SYNC_MS - 1_000);
      const disks = fleet.stores.map(diskIdOf).sort();
      t.true(
        replicaSetsAt(fleet.controls[0]!).every((c) => [...c].sort().join() === disks.join()),
        `seed ${seed} round ${round}: the replicas are on the machines that run`,
      );
      await publishAll(`round ${round}`);
    }
    fleet.sim.close();
  }
});

test('a store that only restarts keeps its replicas, although a machine is added meanwhile', async (t) => {
  const fleet = await startControlFleet(7);
  const disk = diskIdOf(fleet.stores[0]!);
  fleet.sim.kill(fleet.stores[0]!);
  await fleet.advance(500);
  void fleet.sim.start(fleet.addMachine('store', 'b'));
  await fleet.advance(1_500);
  void fleet.sim.start(fleet.stores[0]!);
  await fleet.advance(2_000);
  t.is(fleet.controls[0]!.kernel!.use('register').value!.disks.get(disk)!.state, 'active');
  t.false(fleet.sim.lines.some((l) => l.includes(`disk ${disk} is replaced by`)));
  fleet.sim.close();
});

test('a power loss of all machines, with only removed machines configured as seeds: nodes with a disk know their peers, and contact those without', async (t) => {
  const fleet = await startControlFleet(8);
  await fleet.advance(6_000);
  t.is((await submit(fleet, fleet.controls[0]!, 5)).status, 200);
  const all = [...fleet.sim.nodes.values()];
  for (const node of all) fleet.sim.kill(node);
  for (const node of all) node.config.seeds = ['10.9.9.1:7100', '10.9.9.2:7100'];
  await fleet.advance(1_500);
  for (const node of all) void fleet.sim.start(node);
  await fleet.advance(5_000);
  for (const node of all) t.is(node.kernel!.use('register').value?.revision, 5, node.name);
  t.true(all.every((node) => node.kernel!.use('register').hasReadLease()));
  t.is((await publish(fleet, fleet.relays[2]!, 'feed/1', 1)).status, 200);
  fleet.sim.close();
});

test('the configured seeds are replaced while all nodes run: nothing changes, and a restarted node finds the fleet', async (t) => {
  const fleet = await startControlFleet(9, { controls: 4 });
  for (const node of fleet.sim.nodes.values()) node.config.seeds = [fleet.controls[3]!.config.peer];
  await fleet.advance(3_000);
  const fleetIds = () =>
    new Set([...fleet.sim.nodes.values()].map((node) => node.kernel!.use('register').value?.fleet));
  t.is(fleetIds().size, 1);
  for (const node of [fleet.relays[0]!, fleet.stores[1]!, fleet.controls[3]!]) {
    fleet.sim.kill(node);
    await fleet.advance(1_000);
    void fleet.sim.start(node);
    await fleet.advance(3_000);
    t.true(node.kernel!.use('register').hasReadLease(), node.name);
  }
  t.is(fleetIds().size, 1);
  fleet.sim.close();
});

test('a tolerance of two losses and three control nodes: stores vote too, and the loss of two disks loses nothing', async (t) => {
  const fleet = await startControlFleet(95, { stores: 5, losses: 2 });
  await fleet.advance(4_000);
  const [c1, c2, c3] = fleet.controls as [SimNode, SimNode, SimNode];
  t.is(votersAt(c1).length, 5);
  t.deepEqual(
    fleet.controls.map((c) => votersAt(c1).includes(diskIdOf(c))),
    [true, true, true],
    'disks used only for votes are chosen first',
  );
  t.true(replicaSetsAt(c1).every((c) => c.length === 5));
  t.is(
    (await fleet.ask(c1, 'SubmitConfig', { revision: 2, document: { n: 2 }, config: { families: FAMILIES } })).status,
    200,
  );
  for (const c of [c1, c2]) fleet.sim.loseDisk(c);
  await fleet.advance(1_000);
  t.is((await fleet.ask(c3, 'ReadConfig', {})).body.revision, 2);
  t.is(
    (await fleet.ask(c3, 'SubmitConfig', { revision: 3, document: { n: 3 }, config: { families: FAMILIES } })).status,
    200,
  );
  fleet.sim.close();
});
