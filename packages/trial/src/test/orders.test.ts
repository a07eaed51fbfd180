import test from 'ava';
import { REGISTER, type PeerRpc } from '@harecross/kernel';
import { digestOf, revisionOutcome, withConfig, type FleetValue } from '@harecross/control';
import type { SimNode } from '../sim.js';
import { FAMILIES, settled, smallFleet, type Small } from './small-fleet.js';

const family = (name: string) => ({
  name,
  topics: [`${name}/*`],
  urgency: 'routine' as const,
  patienceMs: 2_000,
  memoryS: 35,
});
/** A configuration that differs from those of other names. */
const configOf = (name: string) => ({ families: [...FAMILIES, family(name)] });
const submit = (s: Small, node: SimNode, revision: number, name: string) =>
  s.ask(node, 'SubmitConfig', { revision, config: configOf(name), document: { of: name } });
const told = (answer: Awaited<ReturnType<Small['ask']>>): string =>
  answer.status === 200
    ? `${answer.body.outcome} ${answer.body.revision}`
    : `${answer.status} ${answer.body.error.tag} ${answer.body.error.revision}`;
const valueOf = (node: SimNode): FleetValue => node.kernel!.use('register').value!;

test('two configurations under one number, sent to two stores at once: one is in force, the other conflicts, at every node', async (t) => {
  for (const seed of [301, 302, 303, 304]) {
    const s = await smallFleet(seed);
    const [a, b] = s.stores as [SimNode, SimNode];
    const both = await settled(s.sim, Promise.all([submit(s, a, 50, 'left'), submit(s, b, 50, 'right')]));
    const got = both.map(told);
    t.deepEqual([...got].sort(), ['409 conflict 50', 'accepted 50'], `seed ${seed}`);
    const [winner, loser] = got[0] === 'accepted 50' ? ['left', 'right'] : ['right', 'left'];
    for (const node of [...s.stores, ...s.relays]) {
      t.is(told(await submit(s, node, 50, winner!)), 'accepted 50', `the one in force again, at ${node.name}`);
      t.is(told(await submit(s, node, 50, loser!)), '409 conflict 50', `the other again, at ${node.name}`);
    }
    t.deepEqual((await s.ask(a, 'ReadConfig', {})).body.document, { of: winner });
    s.sim.close();
  }
});

test('the outcome holds after a third came in between, a restart of all, and a replacement', async (t) => {
  const s = await smallFleet(305);
  const [a, b, c] = s.stores as [SimNode, SimNode, SimNode];
  t.is(told(await submit(s, a, 50, 'left')), 'accepted 50');
  t.is(told(await submit(s, b, 60, 'third')), 'accepted 60');
  const outcomes = async (why: string): Promise<void> => {
    for (const node of s.sim.nodes.values()) {
      if (!node.up) continue;
      t.is(told(await submit(s, node, 50, 'left')), 'accepted 60', `${why}: first, at ${node.name}`);
      t.is(told(await submit(s, node, 50, 'right')), '409 conflict 60', `${why}: other, at ${node.name}`);
      t.is(told(await submit(s, node, 55, 'left')), 'overtaken 60', `${why}: overtaken, at ${node.name}`);
    }
  };
  await outcomes('a third in between');
  for (const node of s.sim.nodes.values()) s.sim.kill(node);
  for (const node of s.sim.nodes.values()) void s.sim.start(node);
  await s.pass(8_000);
  await outcomes('all restarted');
  s.sim.loseDisk(c);
  await s.pass(1_000);
  void s.sim.start(c);
  await s.pass(8_000);
  await outcomes('a disk replaced');
  s.sim.close();
});

test('the order of the keys makes no difference to what a configuration is, and its words do', (t) => {
  const config = { families: [{ name: 'a', topics: ['a/*'] }] };
  t.is(digestOf(config, { x: 1, y: [{ p: 1, q: 2 }] }), digestOf(config, { y: [{ q: 2, p: 1 }], x: 1 }));
  const others = [undefined, null, {}, { x: 2 }, { y: [1, 2] }, { y: [2, 1] }, 'x', { config }];
  t.is(new Set(others.map((document) => digestOf(config, document))).size, others.length);
});

test('an outcome holds until a stated number of later revisions came into force, and is then no refusal', async (t) => {
  const s = await smallFleet(306);
  const [node] = s.relays as [SimNode];
  let value = valueOf(node);
  const order = (revision: number, name: string) => ({ revision, digest: digestOf(configOf(name), undefined) });
  const accept = (revision: number, name: string): void => {
    const config = configOf(name) as never;
    value = withConfig(value, { changeId: `revision-${revision}`, config, revised: order(revision, name) });
  };
  accept(10, 'first');
  for (let i = 1; i < REGISTER.revisionOutcomeLimit; i++) accept(10 + 2 * i, `later ${i}`);
  t.is(revisionOutcome(value, order(10, 'first')), 'accepted');
  t.is(revisionOutcome(value, order(10, 'other')), 'conflict');
  t.is(revisionOutcome(value, order(11, 'other')), 'overtaken');
  accept(10 + 2 * REGISTER.revisionOutcomeLimit, 'one too many');
  t.is(value.revisionOutcomes!.digests.size, REGISTER.revisionOutcomeLimit, 'as many as the bound');
  t.is(revisionOutcome(value, order(10, 'first')), 'forgotten');
  t.is(revisionOutcome(value, order(10, 'other')), 'forgotten');
  t.is(revisionOutcome(value, order(11, 'other')), 'overtaken');
  t.is(revisionOutcome(value, order(12, 'later 1')), 'accepted');
  s.sim.close();
});

test('hundreds of changes later an order that is sent again has its first outcome, at any node', async (t) => {
  const s = await smallFleet(307);
  const nodes = [...s.stores, ...s.relays];
  t.is(told(await submit(s, nodes[0]!, 1, 'first')), 'accepted 1');
  t.is(told(await submit(s, nodes[1]!, 1, 'other')), '409 conflict 1');
  for (let i = 2; i <= 300; i++) {
    const answer = await submit(s, nodes[i % nodes.length]!, 3 * i, `n${i % 7}`);
    t.is(told(answer), `accepted ${3 * i}`);
  }
  for (const node of nodes) {
    t.is(told(await submit(s, node, 1, 'first')), 'accepted 900');
    t.is(told(await submit(s, node, 1, 'other')), '409 conflict 900');
    t.is(told(await submit(s, node, 4, 'first')), 'overtaken 900');
    t.is(told(await submit(s, node, 450, `n${150 % 7}`)), 'accepted 900');
  }
  s.sim.close();
});

test('a value of before outcomes were kept: what is in force is known by its content, and what it cannot tell is no refusal', async (t) => {
  const s = await smallFleet(308);
  const [a, b] = s.stores as [SimNode, SimNode];
  t.is(told(await submit(s, a, 50, 'left')), 'accepted 50');
  const strip = (value: FleetValue) => ({ next: { ...value, revisionOutcomes: undefined }, out: 0 });
  await settled(s.sim, a.kernel!.use('register').change(strip));
  await s.pass(500);
  t.is(valueOf(b).revisionOutcomes, undefined);
  t.is(told(await submit(s, b, 50, 'left')), 'accepted 50');
  t.is(told(await submit(s, b, 50, 'right')), '409 conflict 50');
  t.is(told(await submit(s, b, 40, 'right')), 'forgotten 50');
  // A calendar has altered the configuration since: what came under the number can't be told from it.
  t.is((await s.ask(b, 'PlanMoves', { changeId: 'plan', moves: [] })).status, 200);
  t.is(told(await submit(s, b, 50, 'left')), 'forgotten 50');
  t.is(told(await submit(s, b, 51, 'left')), 'accepted 51');
  t.is(told(await submit(s, b, 51, 'right')), '409 conflict 51');
  // A node of before brings a revision: it knows nothing of the record.
  const asBefore = (value: FleetValue) => {
    const next = withConfig(value, { changeId: 'revision-60', config: configOf('old') as never });
    return { next: { ...next, revision: 60 }, out: 0 };
  };
  await settled(s.sim, a.kernel!.use('register').change(asBefore));
  await s.pass(500);
  t.is(told(await s.ask(b, 'SubmitConfig', { revision: 60, config: configOf('old') })), 'accepted 60');
  t.is(told(await s.ask(b, 'SubmitConfig', { revision: 60, config: configOf('new') })), '409 conflict 60');
  s.sim.close();
});

test('a change whose outcome may be forgotten is neither refused nor taken', async (t) => {
  const s = await smallFleet(309);
  const [a] = s.stores as [SimNode];
  const config = { families: FAMILIES };
  const change = (changeId: string, expect: number) => s.ask(a, 'SubmitConfig', { changeId, expect, config });
  t.is((await change('early', 1)).body.version, 2);
  // As many others as are remembered, in one step of the register.
  const fill = (value: FleetValue) => {
    const changes = new Map(value.changes);
    while (changes.size < REGISTER.changeIdLimit) changes.set(`filler ${changes.size}`, { tag: 'taken', version: 2 });
    return { next: { ...value, changes }, out: 0 };
  };
  await settled(s.sim, a.kernel!.use('register').change(fill));
  t.is((await change('early', 1)).body.version, 2, 'remembered among as many as the bound');
  t.is((await change('next', 2)).body.version, 3);
  t.is((await change('next but one', 3)).body.version, 4);
  t.is((await change('next but two', 4)).body.version, 5);
  t.true(valueOf(a).changes.size <= REGISTER.changeIdLimit);
  t.false(valueOf(a).changes.has('early'), 'forgotten');
  const again = await change('early', 1);
  t.deepEqual([again.status, again.body.error.tag], [504, 'outcome_unknown']);
  t.is((await change('late', 4)).body.error.tag, 'conflict', 'what cannot have been forgotten has a clear answer');
  t.is(valueOf(a).version, 5, 'and nothing changed');
  s.sim.close();
});

test('an order that was refused does not come into force after that, though one disk had accepted it', async (t) => {
  for (const by of ['revision', 'changeId']) {
    const s = await smallFleet(310);
    const [a, b, c] = s.stores as [SimNode, SimNode, SimNode];
    const [r1, r2] = s.relays as [SimNode, SimNode];
    const until = r1.kernel!.host.clock.wall() + 4_000;
    const moves = [{ id: 'm', kind: 'restart', node: r2.config.peer, from: until - 3_000, until }];
    const config = { families: FAMILIES, moves };
    const order = by === 'revision' ? { revision: 50, config } : { changeId: 'fifty', config };
    // Its first try is accepted by one disk alone, and the node that tried is gone.
    const register = r1.kernel!.use('register') as unknown as {
      callVoters(disks: string[], method: string, body: object): Promise<unknown>[];
    };
    const ask = register.callVoters.bind(register);
    const disk = a.kernel!.use('register').disk!;
    register.callVoters = (disks, method, body) =>
      ask(method === 'RegAccept' ? disks.filter((d) => d === disk) : disks, method, body);
    void s.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', order, 900);
    await s.pass(60);
    for (const other of [b, c, r2]) s.sim.cut(a.name, other.name);
    s.sim.kill(r1);
    await s.pass(6_000);
    const again = await s.ask(r2, 'SubmitConfig', order);
    t.deepEqual([again.status, again.body.error.tag], [400, 'invalid_config'], `${by}: its move is in the past`);
    s.sim.healAll();
    await s.pass(10_000);
    t.is((await s.ask(b, 'ReadConfig', {})).body.version, 1, `${by}: and it stays refused`);
    s.sim.close();
  }
});

test('an order that waits comes into force within its time after it was last sent, and not later', async (t) => {
  for (const [waitMs, comes] of [
    [REGISTER.submitMs - 3_000, true],
    [REGISTER.submitMs + 1_000, false],
  ] as const) {
    const s = await smallFleet(311);
    const [r1] = s.relays as [SimNode];
    for (const node of s.sim.nodes.values()) if (node !== r1) s.sim.cut(r1.name, node.name);
    await s.pass(1_000);
    const order = { revision: 50, config: configOf('late') };
    void s.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', order, 900);
    await s.pass(waitMs);
    t.is(valueOf(s.stores[0]!).revision, undefined);
    s.sim.healAll();
    await s.pass(30_000);
    for (const node of s.sim.nodes.values())
      t.is(valueOf(node).revision, comes ? 50 : undefined, `${waitMs} ms, at ${node.name}`);
    s.sim.close();
  }
});

test('callers that wait for one submission, and changes under way, are bounded at a node', async (t) => {
  const s = await smallFleet(312);
  const [r1] = s.relays as [SimNode];
  for (const node of s.stores) s.sim.kill(node);
  const got = new Map<string, number>();
  const send = (order: object): void => {
    void s.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', order, 30_000).then((answer) => {
      const tag = `${answer!.status} ${answer!.body.error?.tag}`;
      got.set(tag, (got.get(tag) ?? 0) + 1);
    });
  };
  for (let i = 0; i < REGISTER.submissionWaiterLimit + 5; i++) send({ revision: 3, config: configOf('same') });
  // Before REGISTER.operatorAnswerMs, when those that wait are told that there is no majority.
  await s.pass(200);
  t.deepEqual([...got], [['503 overloaded', 5]]);
  for (let i = 0; i < REGISTER.concurrentChangeLimit + 7; i++) send({ changeId: `c${i}`, config: configOf('same') });
  await s.pass(200);
  t.deepEqual([...got], [['503 overloaded', 12]]);
  await s.pass(REGISTER.submitMs + REGISTER.submitAttemptMs);
  t.is(
    got.get('503 no_majority'),
    REGISTER.submissionWaiterLimit + REGISTER.concurrentChangeLimit,
    'and all of them get an answer',
  );
  s.sim.close();
});

test('eight orders at once, of 500 spaces each, are answered within two seconds and few ballots', async (t) => {
  const families = Array.from({ length: 500 }, (_, i) => family(`space-${i}`));
  for (const seed of [321, 322, 323]) {
    const s = await smallFleet(seed, { config: { families } });
    const nodes = [...s.stores, ...s.relays];
    const ballots = new Map<string, number>();
    for (const node of nodes) {
      const kernel = node.kernel!;
      const call = kernel.call.bind(kernel);
      kernel.call = <T>(peer: string, method: PeerRpc, body: unknown, timeoutMs?: number): Promise<T> => {
        ballots.set(method, (ballots.get(method) ?? 0) + 1);
        return call<T>(peer, method, body, timeoutMs);
      };
    }
    const from = s.sim.now;
    const took: number[] = [];
    const orders = Array.from({ length: 8 }, async (_, i) => {
      const changed = families.map((f, j) => (j === i ? { ...f, patienceMs: 1_000 + i } : f));
      const order = { revision: 10 + i, config: { families: changed }, document: { routes: changed } };
      const answer = await s.sim.clientTransport.visit(nodes[i % nodes.length]!.config.client, 'SubmitConfig', order, 9_000);
      took.push(s.sim.now - from);
      return answer;
    });
    const answers = await settled(s.sim, Promise.all(orders));
    for (const [i, answer] of answers.entries()) {
      t.is(answer?.status, 200, `seed ${seed} order ${i}`);
      t.true(answer!.body.revision >= 10 + i);
    }
    t.true(Math.max(...took) < 2_000, `seed ${seed}: ${took.map(Math.round).join(' ')} ms`);
    const asked = (ballots.get('RegPrepare') ?? 0) + (ballots.get('RegAccept') ?? 0);
    t.true(asked <= 8 * 3 * 2 * 3, `seed ${seed}: ${asked} calls for ballots`);
    t.log(`seed ${seed}: all within ${Math.round(Math.max(...took))} ms, ${asked} calls for ballots`);
    t.is(valueOf(nodes[0]!).revision, 17);
    s.sim.close();
  }
});

test('an order to empty a disk, sent again, is never refused once it was taken', async (t) => {
  const s = await smallFleet(313);
  const [a, , c] = s.stores as [SimNode, SimNode, SimNode];
  const more = s.sim.add('store4', { role: 'store', domain: 'a', disk: true });
  more.config.seeds = s.stores.map((node) => node.config.peer);
  void s.sim.start(more);
  await s.pass(20_000);
  const disk = c.kernel!.use('register').disk!;
  const empty = (node: SimNode, name: string) => s.ask(node, 'EmptyDisk', { disk: name });
  t.is((await empty(a, disk)).status, 200);
  t.is((await empty(s.relays[0]!, disk)).status, 200, 'at another node');
  // Its machine comes back with an empty disk: the old one is lost.
  s.sim.loseDisk(c);
  await s.pass(1_000);
  void s.sim.start(c);
  await s.pass(10_000);
  t.is(valueOf(a).disks.get(disk)!.state, 'lost');
  t.is((await empty(a, disk)).status, 200, 'after the disk was lost');
  // By its machine's name, once what is left could not hold the copies.
  const { sim } = s;
  const name = 'machine-c';
  const named = (value: FleetValue) => {
    const disks = new Map([...value.disks].map(([id, d]) => [id, d.peer === c.config.peer ? { ...d, name } : d]));
    return { next: { ...value, disks }, out: 0 };
  };
  await settled(sim, a.kernel!.use('register').change(named));
  sim.kill(more);
  await s.pass(3_000);
  const again = await empty(a, name);
  t.true(again.status === 200 || again.status >= 500, `${again.status} ${JSON.stringify(again.body)}`);
  t.is((await empty(a, a.kernel!.use('register').disk!)).body.error.tag, 'wont_hold', 'a new order is refused');
  s.sim.close();
});
