/** A machine is replaced by plan: its successor comes first, it goes for good, and another machine loses its disk at about that time. */
import test from 'ava';
import type { SimNode } from '../sim.js';
import { controlFleet, copiesAt, diskOf, seatsOf, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** The sites' `sync_s`: a new machine counts as lost until this long after its start. */
const SYNC_MS = 4_000;
/** The machine that lost its disk is back this long after. */
const BACK_MS = 1_500;
/** The sites' `recovery_s`: what was accepted is served this long after all are back. */
const RECOVERY_MS = 12_000;

type DiskRole = 'control' | 'store';

/** When the second machine loses its disk. */
interface Moment {
  name: string;
  /** Before the stop (negative) or after it (ms); undefined: counted from the end of the stopped process. */
  fromStopMs?: number;
  fromEndMs?: number;
}

const MOMENTS: Moment[] = [
  { name: '1 s before the stop', fromStopMs: -1_000 },
  { name: 'at the stop', fromStopMs: 0 },
  { name: '100 ms after the stop', fromStopMs: 100 },
  { name: 'as the process ends', fromEndMs: 0 },
  { name: '500 ms after the process ended', fromEndMs: 500 },
  { name: '2 s after the process ended', fromEndMs: 2_000 },
];

const topics = Array.from({ length: 40 }, (_, i) => `feed/${i}`);

const machinesOf = (fleet: ControlFleet, role: DiskRole): SimNode[] =>
  role === 'control' ? fleet.controls : fleet.stores;

const submit = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });

/** Publishes to every topic; the offset tells whether everything accepted before is there. */
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
  await fleet.pass(BACK_MS);
  void fleet.sim.start(node);
}

/** Stops a machine whose successor is there, and has another lose its disk at that moment. */
async function stopAndLose(fleet: ControlFleet, old: SimNode, second: SimNode, moment: Moment): Promise<void> {
  const { fromStopMs, fromEndMs } = moment;
  let lost: Promise<void> | undefined;
  if (fromStopMs !== undefined && fromStopMs < 0) {
    lost = loseDiskAndReturn(fleet, second);
    await fleet.pass(-fromStopMs);
  }
  let ended = false;
  void fleet.sim.stop(old).then(() => {
    ended = true;
  });
  if (fromStopMs !== undefined && fromStopMs >= 0) {
    await fleet.pass(fromStopMs);
    lost = loseDiskAndReturn(fleet, second);
  }
  while (!ended) await fleet.pass(10);
  fleet.sim.loseDisk(old);
  if (fromEndMs !== undefined) {
    await fleet.pass(fromEndMs);
    lost = loseDiskAndReturn(fleet, second);
  }
  await lost;
}

/** What callers miss after a planned replacement and a loss at that moment. */
async function missedBy(
  seed: number,
  role: DiskRole,
  at: { old: number; second: number },
  moment: Moment,
): Promise<string[]> {
  const fleet = await controlFleet(seed);
  const machines = machinesOf(fleet, role);
  const [old, second] = [machines[at.old]!, machines[at.second]!];
  const successor = fleet.spare(role, old.config.domain);
  void fleet.sim.start(successor);
  await fleet.pass(2 * SYNC_MS);
  const faults = await publishAll(fleet, 1);
  const order = await submit(fleet, fleet.relays[0]!, 8);
  if (order.status !== 200) faults.push(`revision 8: ${order.status}`);
  await fleet.pass(SYNC_MS);
  await stopAndLose(fleet, old, second, moment);
  machines.splice(machines.indexOf(old), 1, successor);
  await fleet.pass(RECOVERY_MS);
  faults.push(...(await publishAll(fleet, 2)));
  const read = await fleet.ask(fleet.controls[0]!, 'ReadConfig', {});
  if (read.body?.revision !== 8) faults.push(`read back: ${JSON.stringify(read.body)}`);
  fleet.sim.close();
  return faults;
}

for (const role of ['control', 'store'] as const)
  for (const moment of MOMENTS)
    // Guards against a replaced machine counting in majorities after it has gone, so that the next loss took what was acknowledged.
    test(`a ${role} is replaced by plan and another loses its disk ${moment.name}: nothing acknowledged is gone`, async (t) => {
      for (const at of [
        { old: 0, second: 1 },
        { old: 1, second: 2 },
        { old: 2, second: 0 },
      ])
        t.deepEqual(await missedBy(61 + at.old, role, at, moment), [], JSON.stringify(at));
    });

// Guards against a stop that hands nothing over because another machine happens to restart at that moment.
for (const role of ['control', 'store'] as const)
  test(`a ${role} is replaced by plan while another restarts, and a third loses its disk later: nothing acknowledged is gone`, async (t) => {
    for (const seed of [65, 66, 67]) {
      const fleet = await controlFleet(seed);
      const [old, restarting, third] = machinesOf(fleet, role) as [SimNode, SimNode, SimNode];
      const successor = fleet.spare(role, old.config.domain);
      void fleet.sim.start(successor);
      await fleet.pass(2 * SYNC_MS);
      t.deepEqual(await publishAll(fleet, 1), []);
      t.is((await submit(fleet, fleet.relays[0]!, 8)).status, 200);
      const oldDisk = diskOf(old);
      void fleet.sim.stop(restarting);
      await fleet.pass(500);
      let ended = false;
      void fleet.sim.stop(old).then(() => {
        ended = true;
      });
      while (!ended) await fleet.pass(10);
      const { voters } = fleet.sim.get(third.name).kernel!.use('register').value!;
      t.false(voters.includes(oldDisk), `seed ${seed}`);
      t.true(
        copiesAt(third).every((copies) => !copies.includes(oldDisk)),
        `seed ${seed}`,
      );
      fleet.sim.loseDisk(old);
      void fleet.sim.start(restarting);
      await fleet.pass(SYNC_MS);
      fleet.sim.loseDisk(third);
      const machines = machinesOf(fleet, role);
      machines.splice(0, machines.length, successor, restarting);
      await fleet.pass(RECOVERY_MS);
      t.deepEqual(await publishAll(fleet, 2), [], `seed ${seed}`);
      t.is((await fleet.ask(fleet.controls[0]!, 'ReadConfig', {})).body.revision, 8, `seed ${seed}`);
      fleet.sim.close();
    }
  });

// Guards against a vote that stays with a machine whose successor is there: without SIGTERM nothing tells that it goes.
test('a control machine with a successor is removed without notice as another loses its disk: the configuration stays', async (t) => {
  for (const seed of [71, 72, 73]) {
    const fleet = await controlFleet(seed);
    const [old, second, third] = fleet.controls as [SimNode, SimNode, SimNode];
    const successor = fleet.spare('control', old.config.domain);
    void fleet.sim.start(successor);
    await fleet.pass(SYNC_MS);
    t.false(seatsOf(third).includes(diskOf(old)), `seed ${seed}: the successor has the vote`);
    t.is((await submit(fleet, third, 8)).status, 200);
    fleet.sim.loseDisk(old);
    fleet.sim.loseDisk(second);
    await fleet.pass(1_000);
    t.is((await fleet.ask(third, 'ReadConfig', {})).body.revision, 8, `seed ${seed}`);
    fleet.sim.close();
  }
});

// Guards against a stop that costs a restarting machine what it has: only a successor takes that over.
test('a machine without a successor ends at once, and has its vote and replicas when it is back', async (t) => {
  for (const role of ['control', 'store'] as const) {
    const fleet = await controlFleet(74);
    const [node, other] = machinesOf(fleet, role) as [SimNode, SimNode];
    const disk = diskOf(node);
    const stoppedAt = fleet.sim.now;
    let tookMs = Infinity;
    void fleet.sim.stop(node).then(() => {
      tookMs = fleet.sim.now - stoppedAt;
    });
    await fleet.pass(2_000);
    t.true(tookMs < 1_000, `${role}: ${tookMs} ms`);
    void fleet.sim.start(node);
    await fleet.pass(2_000);
    const holders = role === 'control' ? [seatsOf(other)] : copiesAt(other);
    t.true(
      holders.every((set) => set.includes(disk)),
      role,
    );
    fleet.sim.close();
  }
});
