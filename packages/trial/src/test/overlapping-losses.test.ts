import { Replication } from '@harecross/data';
import test from 'ava';
import type { Json } from '../json.js';
import { controlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';
import type { SimNode } from '../sim.js';

const TOPICS = Array.from({ length: 24 }, (_, i) => `feed/${i}`);
/** A change is in force everywhere this long after it was acknowledged, or the node does not answer by the old one. */
const APPLY_MS = 3_000;

interface Change {
  revision: number;
  acknowledgedAt: number;
}

const change = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });
const publish = (fleet: ControlFleet, node: SimNode, topic: string, seq: number) =>
  fleet.ask(node, 'Publish', { sender: 'desk', topic, seq, body: `message ${seq}` });

/** Reads the configuration at every node that is up; gives each answer with an older revision than was acknowledged APPLY_MS before. */
async function olderReads(fleet: ControlFleet, newest: Change): Promise<string[]> {
  const older: string[] = [];
  for (const node of [...fleet.controls, ...fleet.stores, ...fleet.relays]) {
    if (!node.up) continue;
    const askedAt = fleet.sim.now;
    const { status, body } = await fleet.ask(node, 'ReadConfig', {});
    if (askedAt < newest.acknowledgedAt + APPLY_MS) continue;
    if (status === 200 && body.revision < newest.revision)
      older.push(`${node.name} read ${body.revision}, ${newest.revision} was acknowledged`);
    else if (status !== 200 && status !== 503 && status !== 0) older.push(`${node.name}: ${status}`);
  }
  return older;
}

interface Acknowledged {
  topic: string;
  seq: number;
  offset: number;
}

/** Publishes a number on all topics; gives what was acknowledged. */
async function publishAll(fleet: ControlFleet, node: SimNode, seq: number): Promise<Acknowledged[]> {
  const acknowledged: Acknowledged[] = [];
  for (const topic of TOPICS) {
    const { body } = await publish(fleet, node, topic, seq);
    if (body?.accepted) acknowledged.push({ topic, seq, offset: body.accepted.offset });
  }
  return acknowledged;
}

/** What is wrong with a repeat, and with the next publish, on each topic. */
async function wrongOffsets(fleet: ControlFleet, node: SimNode, seq: number, offset: number): Promise<string[]> {
  const wrong: string[] = [];
  for (const topic of TOPICS) {
    const { body } = await publish(fleet, node, topic, seq);
    if (body?.accepted?.offset !== offset) wrong.push(`${topic} number ${seq}: ${JSON.stringify(body)}`);
  }
  return wrong;
}

/** The machines that count are cut into two halves for some seconds; relays reach both. */
async function halves(seed: number): Promise<string[]> {
  const fleet = await controlFleet(seed, { controls: 4, stores: 4, relays: 3 });
  const relay = fleet.relays[seed % 3]!;
  const wrong = await wrongOffsets(fleet, relay, 1, 1);
  const counted = [...fleet.controls, ...fleet.stores];
  const left = counted.filter((_, i) => (i + seed) % 2 === 0);
  const right = counted.filter((node) => !left.includes(node));
  for (const one of left) for (const other of right) fleet.sim.cut(one.name, other.name);
  let newest: Change = { revision: 1, acknowledgedAt: -Infinity };
  const acknowledged: Acknowledged[] = [];
  for (let round = 0; round < 4; round++) {
    const revision = 10 + round;
    const answer = await change(fleet, counted[(round * 3 + seed) % counted.length]!, revision);
    if (answer.status === 200 && answer.body.revision === revision)
      newest = { revision, acknowledgedAt: fleet.sim.now };
    acknowledged.push(...(await publishAll(fleet, relay, 2 + round)));
    await fleet.pass(1_500);
    wrong.push(...(await olderReads(fleet, newest)));
  }
  fleet.sim.healAll();
  await fleet.pass(8_000);
  wrong.push(...(await olderReads(fleet, newest)));
  for (const { topic, seq, offset } of acknowledged) {
    const { body } = await publish(fleet, relay, topic, seq);
    if (body?.accepted?.offset !== offset) wrong.push(`${topic} number ${seq} at ${offset}: ${JSON.stringify(body)}`);
  }
  fleet.sim.close();
  return wrong;
}

/** Two of three controls and two of three stores lose power, one after another, so that their times away overlap; their disks are kept. */
async function overlappingLosses(seed: number): Promise<string[]> {
  const fleet = await controlFleet(seed, { controls: 3, stores: 3, relays: 2 });
  const relay = fleet.relays[0]!;
  const wrong = await wrongOffsets(fleet, relay, 1, 1);
  const { status } = await change(fleet, fleet.controls[0]!, 20);
  if (status !== 200) wrong.push(`change: ${status}`);
  const newest: Change = { revision: 20, acknowledgedAt: fleet.sim.now };
  const away = [0, 1].flatMap((i) => [fleet.controls[(seed + i) % 3]!, fleet.stores[(seed + i) % 3]!]);
  for (const node of away) {
    fleet.sim.kill(node);
    await fleet.pass(400);
  }
  // One replica of three is left: nothing can be accepted, or the next loss would take it.
  for (const { topic, seq } of await publishAll(fleet, relay, 2)) wrong.push(`${topic} number ${seq} has no majority`);
  await fleet.pass(APPLY_MS);
  wrong.push(...(await olderReads(fleet, newest)));
  for (const node of away) {
    void fleet.sim.start(node);
    await fleet.pass(700);
  }
  await fleet.pass(8_000);
  wrong.push(...(await olderReads(fleet, newest)));
  for (const node of fleet.controls) {
    const { body } = await fleet.ask(node, 'ReadConfig', {});
    if (body?.revision !== newest.revision) wrong.push(`${node.name} reads ${JSON.stringify(body)}`);
  }
  wrong.push(...(await wrongOffsets(fleet, relay, 1, 1)), ...(await wrongOffsets(fleet, relay, 2, 2)));
  fleet.sim.close();
  return wrong;
}

for (const seed of [61, 62, 63]) {
  test(`the counted machines are cut into two halves: nothing old is read, nothing is accepted twice, all is there after (seed ${seed})`, async (t) => {
    t.deepEqual(await halves(seed), []);
  });
  test(`more machines are away at once than may be lost, with their disks: nothing acknowledged is gone or older (seed ${seed})`, async (t) => {
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
  ['two halves', halves],
  ['overlapping losses', overlappingLosses],
] as const)
  test.serial(`planted: an owner that accepts on its own replica alone is found out by the ${what}`, async (t) => {
    const run = async (): Promise<string[]> => [...(await scenario(61)), ...(await scenario(62))];
    t.not((await planted(Replication.prototype, 'advanceCommit', acceptsAlone, run)).length, 0);
  });
