import { Replication } from '@harecross/data';
import test from 'ava';
import type { Json } from '../json.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';
import type { SimNode } from '../sim.js';

const TOPICS = Array.from({ length: 24 }, (_, i) => `feed/${i}`);
/** A node applies a change within this time of its acknowledgement, or stops answering from the older configuration. */
const APPLY_MS = 3_000;

interface Change {
  revision: number;
  acknowledgedAt: number;
}

const submit = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });
const publish = (fleet: ControlFleet, node: SimNode, topic: string, seq: number) =>
  fleet.ask(node, 'Publish', { sender: 'desk', topic, seq, body: `message ${seq}` });

/** Reads the configuration at every running node; returns each answer older than what was acknowledged APPLY_MS before. */
async function staleReads(fleet: ControlFleet, newest: Change): Promise<string[]> {
  const stale: string[] = [];
  for (const node of [...fleet.controls, ...fleet.stores, ...fleet.relays]) {
    if (!node.up) continue;
    const askedAt = fleet.sim.now;
    const { status, body } = await fleet.ask(node, 'ReadConfig', {});
    if (askedAt < newest.acknowledgedAt + APPLY_MS) continue;
    if (status === 200 && body.revision < newest.revision)
      stale.push(`${node.name} read revision ${body.revision}, but ${newest.revision} was acknowledged`);
    else if (status !== 200 && status !== 503 && status !== 0) stale.push(`${node.name}: ${status}`);
  }
  return stale;
}

interface Acknowledged {
  topic: string;
  seq: number;
  offset: number;
}

/** Publishes a sequence number to all topics; returns what was acknowledged. */
async function publishAll(fleet: ControlFleet, node: SimNode, seq: number): Promise<Acknowledged[]> {
  const acknowledged: Acknowledged[] = [];
  for (const topic of TOPICS) {
    const { body } = await publish(fleet, node, topic, seq);
    if (body?.accepted) acknowledged.push({ topic, seq, offset: body.accepted.offset });
  }
  return acknowledged;
}

/** Publishes a sequence number, again or for the first time, to each topic; returns each answer with another offset. */
async function wrongOffsets(fleet: ControlFleet, node: SimNode, seq: number, offset: number): Promise<string[]> {
  const faults: string[] = [];
  for (const topic of TOPICS) {
    const { body } = await publish(fleet, node, topic, seq);
    if (body?.accepted?.offset !== offset) faults.push(`${topic} number ${seq}: ${JSON.stringify(body)}`);
  }
  return faults;
}

/** A network partition divides the control machines and stores into two halves for some seconds; relays reach both. */
async function partitionedHalves(seed: number): Promise<string[]> {
  const fleet = await startControlFleet(seed, { controls: 4, stores: 4, relays: 3 });
  const relay = fleet.relays[seed % 3]!;
  const faults = await wrongOffsets(fleet, relay, 1, 1);
  const diskNodes = [...fleet.controls, ...fleet.stores];
  const left = diskNodes.filter((_, i) => (i + seed) % 2 === 0);
  const right = diskNodes.filter((node) => !left.includes(node));
  for (const one of left) for (const other of right) fleet.sim.cut(one.name, other.name);
  let newest: Change = { revision: 1, acknowledgedAt: -Infinity };
  const acknowledged: Acknowledged[] = [];
  for (let round = 0; round < 4; round++) {
    const revision = 10 + round;
    const answer = await submit(fleet, diskNodes[(round * 3 + seed) % diskNodes.length]!, revision);
    if (answer.status === 200 && answer.body.revision === revision)
      newest = { revision, acknowledgedAt: fleet.sim.now };
    acknowledged.push(...(await publishAll(fleet, relay, 2 + round)));
    await fleet.advance(1_500);
    faults.push(...(await staleReads(fleet, newest)));
  }
  fleet.sim.healAll();
  await fleet.advance(8_000);
  faults.push(...(await staleReads(fleet, newest)));
  for (const { topic, seq, offset } of acknowledged) {
    const { body } = await publish(fleet, relay, topic, seq);
    if (body?.accepted?.offset !== offset) faults.push(`${topic} number ${seq} at ${offset}: ${JSON.stringify(body)}`);
  }
  fleet.sim.close();
  return faults;
}

/** Two of three controls and two of three stores lose power in turn, so that their outages overlap; their disks are kept. */
async function overlappingLosses(seed: number): Promise<string[]> {
  const fleet = await startControlFleet(seed, { controls: 3, stores: 3, relays: 2 });
  const relay = fleet.relays[0]!;
  const faults = await wrongOffsets(fleet, relay, 1, 1);
  const { status } = await submit(fleet, fleet.controls[0]!, 20);
  if (status !== 200) faults.push(`change: ${status}`);
  const newest: Change = { revision: 20, acknowledgedAt: fleet.sim.now };
  const stopped = [0, 1].flatMap((i) => [fleet.controls[(seed + i) % 3]!, fleet.stores[(seed + i) % 3]!]);
  for (const node of stopped) {
    fleet.sim.kill(node);
    await fleet.advance(400);
  }
  // One replica of three is left: anything accepted now could be lost with the next machine.
  for (const { topic, seq } of await publishAll(fleet, relay, 2)) faults.push(`${topic} number ${seq} has no majority`);
  await fleet.advance(APPLY_MS);
  faults.push(...(await staleReads(fleet, newest)));
  for (const node of stopped) {
    void fleet.sim.start(node);
    await fleet.advance(700);
  }
  await fleet.advance(8_000);
  faults.push(...(await staleReads(fleet, newest)));
  for (const node of fleet.controls) {
    const { body } = await fleet.ask(node, 'ReadConfig', {});
    if (body?.revision !== newest.revision) faults.push(`${node.name} reads ${JSON.stringify(body)}`);
  }
  faults.push(...(await wrongOffsets(fleet, relay, 1, 1)), ...(await wrongOffsets(fleet, relay, 2, 2)));
  fleet.sim.close();
  return faults;
}

for (const seed of [61, 62, 63]) {
  test(`a partition into two halves: no stale read, nothing is accepted twice, and everything acknowledged is there afterwards (seed ${seed})`, async (t) => {
    t.deepEqual(await partitionedHalves(seed), []);
  });
  test(`more machines are down at once than may be lost, and keep their disks: nothing acknowledged is lost or stale (seed ${seed})`, async (t) => {
    t.deepEqual(await overlappingLosses(seed), []);
  });
}

type Method = (this: Json, ...args: Json[]) => unknown;

/** Runs a scenario with one method of the product replaced. */
async function planted(
  prototype: object,
  method: string,
  fault: (original: Method) => Method,
  run: () => Promise<string[]>,
): Promise<string[]> {
  const original = Reflect.get(prototype, method) as Method;
  Reflect.set(prototype, method, fault(original));
  try {
    return await run();
  } finally {
    Reflect.set(prototype, method, original);
  }
}

/** An owner that accepts on its own replica alone. */
const acceptsAlone = (original: Method): Method =>
  function (shard: Json) {
    const { replicas } = shard;
    shard.replicas = [this.register.disk];
    original.call(this, shard);
    shard.replicas = replicas;
  };

for (const [what, scenario] of [
  ['two halves', partitionedHalves],
  ['overlapping losses', overlappingLosses],
] as const)
  test.serial(
    `planted: an owner that accepts on its own replica alone is detected by the scenario '${what}'`,
    async (t) => {
      const run = async (): Promise<string[]> => [...(await scenario(61)), ...(await scenario(62))];
      t.not((await planted(Replication.prototype, 'advanceCommit', acceptsAlone, run)).length, 0);
    },
  );
