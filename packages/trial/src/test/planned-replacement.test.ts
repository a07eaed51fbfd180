/** Planned replacement: the successor starts, the old machine is removed, and another one loses its disk at about that time. */
import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, replicaSetsAt, diskIdOf, votersAt, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** The deployments' `sync_s`: a new machine counts as lost until this long after its start. */
const SYNC_MS = 4_000;
/** The machine that lost its disk restarts this long after the loss. */
const RESTART_DELAY_MS = 1_500;
/** The deployments' `recovery_s`: what was accepted is served this long after all machines have restarted. */
const RECOVERY_MS = 12_000;

type DiskRole = 'control' | 'store';

/** When the second machine loses its disk. */
interface LossTime {
  name: string;
  /** Time (ms) from the stop request, negative before it; undefined: see `fromEndMs`. */
  fromStopMs?: number;
  /** Time (ms) from the exit of the stopped process. */
  fromExitMs?: number;
}

const LOSS_TIMES: LossTime[] = [
  { name: '1 s before the stop', fromStopMs: -1_000 },
  { name: 'at the stop', fromStopMs: 0 },
  { name: '100 ms after the stop', fromStopMs: 100 },
  { name: 'as the process exits', fromExitMs: 0 },
  { name: '500 ms after the process exited', fromExitMs: 500 },
  { name: '2 s after the process exited', fromExitMs: 2_000 },
];

const topics = Array.from({ length: 40 }, (_, i) => `feed/${i}`);

const machinesOf = (fleet: ControlFleet, role: DiskRole): SimNode[] =>
  role === 'control' ? fleet.controls : fleet.stores;

const submit = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });

/** Publishes to every topic; the offset shows whether everything accepted before is still there. */
async function publishAll(fleet: ControlFleet, seq: number): Promise<string[]> {
  const faults: string[] = [];
  for (const topic of topics) {
    const body = { sender: 'desk', topic, seq, body: `message ${seq}` };
    const answer = await fleet.ask(fleet.relays[0]!, 'Publish', body);
    if (answer.body?.accepted?.offset !== seq) faults.push(`${topic}: ${JSON.stringify(answer.body)}`);
  }
  return faults;
}

async function loseDiskAndReturn(fleet: ControlFleet, node: SimNode): Promise<void> {
  fleet.sim.loseDisk(node);
  await fleet.advance(RESTART_DELAY_MS);
  void fleet.sim.start(node);
}

/** Stops a machine whose successor runs, and has another machine lose its disk at the given moment. */
async function stopAndLoseDisk(fleet: ControlFleet, old: SimNode, second: SimNode, lossTime: LossTime): Promise<void> {
  const { fromStopMs, fromExitMs } = lossTime;
  let lost: Promise<void> | undefined;
  if (fromStopMs !== undefined && fromStopMs < 0) {
    lost = loseDiskAndReturn(fleet, second);
    await fleet.advance(-fromStopMs);
  }
  let hasExited = false;
  void fleet.sim.stop(old).then(() => {
    hasExited = true;
  });
  if (fromStopMs !== undefined && fromStopMs >= 0) {
    await fleet.advance(fromStopMs);
    lost = loseDiskAndReturn(fleet, second);
  }
  while (!hasExited) await fleet.advance(10);
  fleet.sim.loseDisk(old);
  if (fromExitMs !== undefined) {
    await fleet.advance(fromExitMs);
    lost = loseDiskAndReturn(fleet, second);
  }
  await lost;
}

/** What clients find missing or refused after a planned replacement and a loss at the given moment. */
async function findFaults(
  seed: number,
  role: DiskRole,
  at: { old: number; second: number },
  lossTime: LossTime,
): Promise<string[]> {
  const fleet = await startControlFleet(seed);
  const machines = machinesOf(fleet, role);
  const [old, second] = [machines[at.old]!, machines[at.second]!];
  const successor = fleet.addMachine(role, old.config.domain);
  void fleet.sim.start(successor);
  await fleet.advance(2 * SYNC_MS);
  const faults = await publishAll(fleet, 1);
  const submission = await submit(fleet, fleet.relays[0]!, 8);
  if (submission.status !== 200) faults.push(`revision 8: ${submission.status}`);
  await fleet.advance(SYNC_MS);
  await stopAndLoseDisk(fleet, old, second, lossTime);
  machines.splice(machines.indexOf(old), 1, successor);
  await fleet.advance(RECOVERY_MS);
  faults.push(...(await publishAll(fleet, 2)));
  const read = await fleet.ask(fleet.controls[0]!, 'ReadConfig', {});
  if (read.body?.revision !== 8) faults.push(`read back: ${JSON.stringify(read.body)}`);
  fleet.sim.close();
  return faults;
}

for (const role of ['control', 'store'] as const)
  for (const lossTime of LOSS_TIMES)
    // Guards against a removed machine that still counts in majorities: the next loss would take acknowledged data.
    test(`planned replacement of a ${role}, and another loses its disk ${lossTime.name}: nothing acknowledged is lost`, async (t) => {
      for (const at of [
        { old: 0, second: 1 },
        { old: 1, second: 2 },
        { old: 2, second: 0 },
      ])
        t.deepEqual(await findFaults(61 + at.old, role, at, lossTime), [], JSON.stringify(at));
    });

// Guards against a stopping machine that hands nothing over because another one restarts at the same time.
for (const role of ['control', 'store'] as const)
  test(`planned replacement of a ${role} while another restarts, and a third loses its disk later: nothing acknowledged is lost`, async (t) => {
    for (const seed of [65, 66, 67]) {
      const fleet = await startControlFleet(seed);
      const [old, restarting, third] = machinesOf(fleet, role) as [SimNode, SimNode, SimNode];
      const successor = fleet.addMachine(role, old.config.domain);
      void fleet.sim.start(successor);
      await fleet.advance(2 * SYNC_MS);
      t.deepEqual(await publishAll(fleet, 1), []);
      t.is((await submit(fleet, fleet.relays[0]!, 8)).status, 200);
      const oldDisk = diskIdOf(old);
      void fleet.sim.stop(restarting);
      await fleet.advance(500);
      let hasExited = false;
      void fleet.sim.stop(old).then(() => {
        hasExited = true;
      });
      while (!hasExited) await fleet.advance(10);
      const { voters } = fleet.sim.get(third.name).kernel!.use('register').value!;
      t.false(voters.includes(oldDisk), `seed ${seed}`);
      t.true(
        replicaSetsAt(third).every((copies) => !copies.includes(oldDisk)),
        `seed ${seed}`,
      );
      fleet.sim.loseDisk(old);
      void fleet.sim.start(restarting);
      await fleet.advance(SYNC_MS);
      fleet.sim.loseDisk(third);
      const machines = machinesOf(fleet, role);
      machines.splice(0, machines.length, successor, restarting);
      await fleet.advance(RECOVERY_MS);
      t.deepEqual(await publishAll(fleet, 2), [], `seed ${seed}`);
      t.is((await fleet.ask(fleet.controls[0]!, 'ReadConfig', {})).body.revision, 8, `seed ${seed}`);
      fleet.sim.close();
    }
  });

// Guards against a vote that stays with a machine whose successor runs: without SIGTERM nothing announces its removal.
test('a control machine with a successor is removed without SIGTERM as another loses its disk: the configuration is kept', async (t) => {
  for (const seed of [71, 72, 73]) {
    const fleet = await startControlFleet(seed);
    const [old, second, third] = fleet.controls as [SimNode, SimNode, SimNode];
    const successor = fleet.addMachine('control', old.config.domain);
    void fleet.sim.start(successor);
    await fleet.advance(SYNC_MS);
    t.false(votersAt(third).includes(diskIdOf(old)), `seed ${seed}: the successor has the vote`);
    t.is((await submit(fleet, third, 8)).status, 200);
    fleet.sim.loseDisk(old);
    fleet.sim.loseDisk(second);
    await fleet.advance(1_000);
    t.is((await fleet.ask(third, 'ReadConfig', {})).body.revision, 8, `seed ${seed}`);
    fleet.sim.close();
  }
});

// Guards against replicas that stay on a store whose successor runs: nothing announces its removal, and the next loss takes acknowledged messages.
for (const storeCount of [3, 6])
  for (const pauseMs of [0, 500, 2_500])
    test(`a store of ${storeCount} with a successor is removed without SIGTERM, and another loses its disk ${pauseMs} ms later: nothing acknowledged is lost`, async (t) => {
      for (let i = 0; i < storeCount; i++) {
        const fleet = await startControlFleet(81 + i, { stores: storeCount });
        const old = fleet.stores[i]!;
        const second = fleet.stores[(i + 1) % storeCount]!;
        const successor = fleet.addMachine('store', old.config.domain);
        const startedAt = fleet.sim.now;
        void fleet.sim.start(successor);
        const faults = await publishAll(fleet, 1);
        await fleet.advance(Math.max(0, startedAt + SYNC_MS - fleet.sim.now));
        fleet.sim.loseDisk(old);
        await fleet.advance(pauseMs);
        await loseDiskAndReturn(fleet, second);
        await fleet.advance(RECOVERY_MS);
        faults.push(...(await publishAll(fleet, 2)));
        t.deepEqual(faults, [], `store ${i}`);
        fleet.sim.close();
      }
    });

// Guards against a store that takes the vote or the replicas of a control machine of its zone, because both disks may serve for both.
test('a store added in a zone leaves the vote of the control machine there', async (t) => {
  const fleet = await startControlFleet(91, { controlDiskUses: ['seat', 'copies'] });
  const voters = [...votersAt(fleet.controls[0]!)];
  const added = fleet.addMachine('store', fleet.controls[0]!.config.domain);
  void fleet.sim.start(added);
  await fleet.advance(2 * SYNC_MS);
  t.deepEqual([...votersAt(fleet.controls[0]!)].sort(), voters.sort());
  fleet.sim.close();
});

// Guards against a restart that costs a machine its vote and replicas: only a successor may take them over.
test('a machine without a successor stops at once, and has its vote and replicas after the restart', async (t) => {
  for (const role of ['control', 'store'] as const) {
    const fleet = await startControlFleet(74);
    const [node, other] = machinesOf(fleet, role) as [SimNode, SimNode];
    const disk = diskIdOf(node);
    const stoppedAt = fleet.sim.now;
    let tookMs = Infinity;
    void fleet.sim.stop(node).then(() => {
      tookMs = fleet.sim.now - stoppedAt;
    });
    await fleet.advance(2_000);
    t.true(tookMs < 1_000, `${role}: ${tookMs} ms`);
    void fleet.sim.start(node);
    await fleet.advance(2_000);
    const holders = role === 'control' ? [votersAt(other)] : replicaSetsAt(other);
    t.true(
      holders.every((set) => set.includes(disk)),
      role,
    );
    fleet.sim.close();
  }
});
