import test from 'ava';
import { REGISTER, type PeerRpc } from '@harecross/kernel';
import { digestOf, revisionOutcome, withConfig, type FleetValue } from '@harecross/control';
import type { SimNode } from '../sim.js';
import { FAMILIES, runUntilSettled, startSmallFleet, type SmallFleet } from './small-fleet.js';

const family = (name: string) => ({
  name,
  topics: [`${name}/*`],
  urgency: 'routine' as const,
  patienceMs: 2_000,
  memoryS: 35,
});
/** A configuration that is different for each name. */
const configOf = (name: string) => ({ families: [...FAMILIES, family(name)] });
const submit = (fleet: SmallFleet, node: SimNode, revision: number, name: string) =>
  fleet.ask(node, 'SubmitConfig', { revision, config: configOf(name), document: { of: name } });
const outcomeOf = (answer: Awaited<ReturnType<SmallFleet['ask']>>): string =>
  answer.status === 200
    ? `${answer.body.outcome} ${answer.body.revision}`
    : `${answer.status} ${answer.body.error.tag} ${answer.body.error.revision}`;
const valueOf = (node: SimNode): FleetValue => node.kernel!.use('register').value!;

test('two configurations with one revision, submitted to two stores at once: one is accepted, the other conflicts, at every node', async (t) => {
  for (const seed of [301, 302, 303, 304]) {
    const fleet = await startSmallFleet(seed);
    const [a, b] = fleet.stores as [SimNode, SimNode];
    const answers = await runUntilSettled(
      fleet.sim,
      Promise.all([submit(fleet, a, 50, 'left'), submit(fleet, b, 50, 'right')]),
    );
    const received = answers.map(outcomeOf);
    t.deepEqual([...received].sort(), ['409 conflict 50', 'accepted 50'], `seed ${seed}`);
    const [winner, loser] = received[0] === 'accepted 50' ? ['left', 'right'] : ['right', 'left'];
    for (const node of [...fleet.stores, ...fleet.relays]) {
      t.is(
        outcomeOf(await submit(fleet, node, 50, winner!)),
        'accepted 50',
        `repeat of the accepted one, at ${node.name}`,
      );
      t.is(outcomeOf(await submit(fleet, node, 50, loser!)), '409 conflict 50', `repeat of the other, at ${node.name}`);
    }
    t.deepEqual((await fleet.ask(a, 'ReadConfig', {})).body.document, { of: winner });
    fleet.sim.close();
  }
});

test('the outcome of a revision is kept after a later revision, a restart of all nodes, and a replaced disk', async (t) => {
  const fleet = await startSmallFleet(305);
  const [a, b, c] = fleet.stores as [SimNode, SimNode, SimNode];
  t.is(outcomeOf(await submit(fleet, a, 50, 'left')), 'accepted 50');
  t.is(outcomeOf(await submit(fleet, b, 60, 'third')), 'accepted 60');
  const checkOutcomes = async (phase: string): Promise<void> => {
    for (const node of fleet.sim.nodes.values()) {
      if (!node.up) continue;
      t.is(
        outcomeOf(await submit(fleet, node, 50, 'left')),
        'accepted 60',
        `${phase}: the accepted one, at ${node.name}`,
      );
      t.is(
        outcomeOf(await submit(fleet, node, 50, 'right')),
        '409 conflict 60',
        `${phase}: the conflicting one, at ${node.name}`,
      );
      t.is(outcomeOf(await submit(fleet, node, 55, 'left')), 'overtaken 60', `${phase}: overtaken, at ${node.name}`);
    }
  };
  await checkOutcomes('a later revision');
  for (const node of fleet.sim.nodes.values()) fleet.sim.kill(node);
  for (const node of fleet.sim.nodes.values()) void fleet.sim.start(node);
  await fleet.advance(8_000);
  await checkOutcomes('all nodes restarted');
  fleet.sim.loseDisk(c);
  await fleet.advance(1_000);
  void fleet.sim.start(c);
  await fleet.advance(8_000);
  await checkOutcomes('a disk replaced');
  fleet.sim.close();
});

test('the digest of a configuration does not depend on the order of keys, and depends on every value', (t) => {
  const config = { families: [{ name: 'a', topics: ['a/*'] }] };
  t.is(digestOf(config, { x: 1, y: [{ p: 1, q: 2 }] }), digestOf(config, { y: [{ q: 2, p: 1 }], x: 1 }));
  const others = [undefined, null, {}, { x: 2 }, { y: [1, 2] }, { y: [2, 1] }, 'x', { config }];
  t.is(new Set(others.map((document) => digestOf(config, document))).size, others.length);
});

test('the outcome of a revision is kept for a fixed number of later revisions, and is then unknown, not a rejection', async (t) => {
  const fleet = await startSmallFleet(306);
  const [node] = fleet.relays as [SimNode];
  let value = valueOf(node);
  const submission = (revision: number, name: string) => ({ revision, digest: digestOf(configOf(name), undefined) });
  const accept = (revision: number, name: string): void => {
    const config = configOf(name) as never;
    value = withConfig(value, { changeId: `revision-${revision}`, config, revised: submission(revision, name) });
  };
  accept(10, 'first');
  for (let i = 1; i < REGISTER.revisionOutcomeLimit; i++) accept(10 + 2 * i, `later ${i}`);
  t.is(revisionOutcome(value, submission(10, 'first')), 'accepted');
  t.is(revisionOutcome(value, submission(10, 'other')), 'conflict');
  t.is(revisionOutcome(value, submission(11, 'other')), 'overtaken');
  accept(10 + 2 * REGISTER.revisionOutcomeLimit, 'one too many');
  t.is(value.revisionOutcomes!.digests.size, REGISTER.revisionOutcomeLimit, 'as many as the limit');
  t.is(revisionOutcome(value, submission(10, 'first')), 'forgotten');
  t.is(revisionOutcome(value, submission(10, 'other')), 'forgotten');
  t.is(revisionOutcome(value, submission(11, 'other')), 'overtaken');
  t.is(revisionOutcome(value, submission(12, 'later 1')), 'accepted');
  fleet.sim.close();
});

test('a repeated submission has its first outcome at any node, hundreds of changes later', async (t) => {
  const fleet = await startSmallFleet(307);
  const nodes = [...fleet.stores, ...fleet.relays];
  t.is(outcomeOf(await submit(fleet, nodes[0]!, 1, 'first')), 'accepted 1');
  t.is(outcomeOf(await submit(fleet, nodes[1]!, 1, 'other')), '409 conflict 1');
  for (let i = 2; i <= 300; i++) {
    const answer = await submit(fleet, nodes[i % nodes.length]!, 3 * i, `n${i % 7}`);
    t.is(outcomeOf(answer), `accepted ${3 * i}`);
  }
  for (const node of nodes) {
    t.is(outcomeOf(await submit(fleet, node, 1, 'first')), 'accepted 900');
    t.is(outcomeOf(await submit(fleet, node, 1, 'other')), '409 conflict 900');
    t.is(outcomeOf(await submit(fleet, node, 4, 'first')), 'overtaken 900');
    t.is(outcomeOf(await submit(fleet, node, 450, `n${150 % 7}`)), 'accepted 900');
  }
  fleet.sim.close();
});

test('a value of an older version without outcomes: the current revision is recognized by its content, and an unknown outcome is not a rejection', async (t) => {
  const fleet = await startSmallFleet(308);
  const [a, b] = fleet.stores as [SimNode, SimNode];
  t.is(outcomeOf(await submit(fleet, a, 50, 'left')), 'accepted 50');
  const strip = (value: FleetValue) => ({ next: { ...value, revisionOutcomes: undefined }, out: 0 });
  await runUntilSettled(fleet.sim, a.kernel!.use('register').change(strip));
  await fleet.advance(500);
  t.is(valueOf(b).revisionOutcomes, undefined);
  t.is(outcomeOf(await submit(fleet, b, 50, 'left')), 'accepted 50');
  t.is(outcomeOf(await submit(fleet, b, 50, 'right')), '409 conflict 50');
  t.is(outcomeOf(await submit(fleet, b, 40, 'right')), 'forgotten 50');
  // Planned moves change the configuration, so its content no longer identifies what was submitted as this revision.
  t.is((await fleet.ask(b, 'PlanMoves', { changeId: 'plan', moves: [] })).status, 200);
  t.is(outcomeOf(await submit(fleet, b, 50, 'left')), 'forgotten 50');
  t.is(outcomeOf(await submit(fleet, b, 51, 'left')), 'accepted 51');
  t.is(outcomeOf(await submit(fleet, b, 51, 'right')), '409 conflict 51');
  // A node of an older version, which does not record outcomes, accepts a revision.
  const submitAsOlderVersion = (value: FleetValue) => {
    const next = withConfig(value, { changeId: 'revision-60', config: configOf('old') as never });
    return { next: { ...next, revision: 60 }, out: 0 };
  };
  await runUntilSettled(fleet.sim, a.kernel!.use('register').change(submitAsOlderVersion));
  await fleet.advance(500);
  t.is(outcomeOf(await fleet.ask(b, 'SubmitConfig', { revision: 60, config: configOf('old') })), 'accepted 60');
  t.is(outcomeOf(await fleet.ask(b, 'SubmitConfig', { revision: 60, config: configOf('new') })), '409 conflict 60');
  fleet.sim.close();
});

test('a change whose outcome may have been dropped is neither rejected nor executed', async (t) => {
  const fleet = await startSmallFleet(309);
  const [a] = fleet.stores as [SimNode];
  const config = { families: FAMILIES };
  const change = (changeId: string, expect: number) => fleet.ask(a, 'SubmitConfig', { changeId, expect, config });
  t.is((await change('early', 1)).body.version, 2);
  // Fills the record up to its limit with other changes, in one change of the register.
  const fill = (value: FleetValue) => {
    const changes = new Map(value.changes);
    while (changes.size < REGISTER.changeIdLimit) changes.set(`filler ${changes.size}`, { tag: 'taken', version: 2 });
    return { next: { ...value, changes }, out: 0 };
  };
  await runUntilSettled(fleet.sim, a.kernel!.use('register').change(fill));
  t.is((await change('early', 1)).body.version, 2, 'still recorded at the limit');
  t.is((await change('next', 2)).body.version, 3);
  t.is((await change('next but one', 3)).body.version, 4);
  t.is((await change('next but two', 4)).body.version, 5);
  t.true(valueOf(a).changes.size <= REGISTER.changeIdLimit);
  t.false(valueOf(a).changes.has('early'), 'forgotten');
  const repeated = await change('early', 1);
  t.deepEqual([repeated.status, repeated.body.error.tag], [504, 'outcome_unknown']);
  t.is((await change('late', 4)).body.error.tag, 'conflict', 'what cannot have been dropped has a definite answer');
  t.is(valueOf(a).version, 5, 'nothing changed');
  fleet.sim.close();
});

test('a rejected submission does not take effect later, although one disk had accepted it', async (t) => {
  for (const by of ['revision', 'changeId']) {
    const fleet = await startSmallFleet(310);
    const [a, b, c] = fleet.stores as [SimNode, SimNode, SimNode];
    const [r1, r2] = fleet.relays as [SimNode, SimNode];
    const until = r1.kernel!.host.clock.wall() + 4_000;
    const moves = [{ id: 'm', kind: 'restart', node: r2.config.peer, from: until - 3_000, until }];
    const config = { families: FAMILIES, moves };
    const submission = by === 'revision' ? { revision: 50, config } : { changeId: 'fifty', config };
    // The first attempt is accepted by one disk only, and the node that made it is killed.
    const register = r1.kernel!.use('register') as unknown as {
      callVoters(disks: string[], method: string, body: object): Promise<unknown>[];
    };
    const callVoters = register.callVoters.bind(register);
    const disk = a.kernel!.use('register').disk!;
    register.callVoters = (disks, method, body) =>
      callVoters(method === 'RegAccept' ? disks.filter((d) => d === disk) : disks, method, body);
    void fleet.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', submission, 900);
    await fleet.advance(60);
    for (const other of [b, c, r2]) fleet.sim.cut(a.name, other.name);
    fleet.sim.kill(r1);
    await fleet.advance(6_000);
    const repeated = await fleet.ask(r2, 'SubmitConfig', submission);
    t.deepEqual(
      [repeated.status, repeated.body.error.tag],
      [400, 'invalid_config'],
      `${by}: the planned move is in the past`,
    );
    fleet.sim.healAll();
    await fleet.advance(10_000);
    t.is((await fleet.ask(b, 'ReadConfig', {})).body.version, 1, `${by}: it stays rejected`);
    fleet.sim.close();
  }
});

test('a waiting submission takes effect within its time limit after it was last sent, and not later', async (t) => {
  for (const [waitMs, takesEffect] of [
    [REGISTER.submitMs - 3_000, true],
    [REGISTER.submitMs + 1_000, false],
  ] as const) {
    const fleet = await startSmallFleet(311);
    const [r1] = fleet.relays as [SimNode];
    for (const node of fleet.sim.nodes.values()) if (node !== r1) fleet.sim.cut(r1.name, node.name);
    await fleet.advance(1_000);
    const submission = { revision: 50, config: configOf('late') };
    void fleet.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', submission, 900);
    await fleet.advance(waitMs);
    t.is(valueOf(fleet.stores[0]!).revision, undefined);
    fleet.sim.healAll();
    await fleet.advance(30_000);
    for (const node of fleet.sim.nodes.values())
      t.is(valueOf(node).revision, takesEffect ? 50 : undefined, `${waitMs} ms, at ${node.name}`);
    fleet.sim.close();
  }
});

test('a node limits the callers that wait for one submission, and the concurrent changes', async (t) => {
  const fleet = await startSmallFleet(312);
  const [r1] = fleet.relays as [SimNode];
  for (const node of fleet.stores) fleet.sim.kill(node);
  const received = new Map<string, number>();
  const send = (submission: object): void => {
    void fleet.sim.clientTransport.visit(r1.config.client, 'SubmitConfig', submission, 30_000).then((answer) => {
      const tag = `${answer!.status} ${answer!.body.error?.tag}`;
      received.set(tag, (received.get(tag) ?? 0) + 1);
    });
  };
  for (let i = 0; i < REGISTER.submissionWaiterLimit + 5; i++) send({ revision: 3, config: configOf('same') });
  // Shorter than REGISTER.operatorAnswerMs, after which waiting callers are answered that there is no majority.
  await fleet.advance(200);
  t.deepEqual([...received], [['503 overloaded', 5]]);
  for (let i = 0; i < REGISTER.concurrentChangeLimit + 7; i++) send({ changeId: `c${i}`, config: configOf('same') });
  await fleet.advance(200);
  t.deepEqual([...received], [['503 overloaded', 12]]);
  await fleet.advance(REGISTER.submitMs + REGISTER.submitAttemptMs);
  t.is(
    received.get('503 no_majority'),
    REGISTER.submissionWaiterLimit + REGISTER.concurrentChangeLimit,
    'all of them are answered',
  );
  fleet.sim.close();
});

test('eight concurrent submissions of 500 families each are answered within two seconds and a few ballots', async (t) => {
  const families = Array.from({ length: 500 }, (_, i) => family(`space-${i}`));
  for (const seed of [321, 322, 323]) {
    const fleet = await startSmallFleet(seed, { config: { families } });
    const nodes = [...fleet.stores, ...fleet.relays];
    const callCounts = new Map<string, number>();
    for (const node of nodes) {
      const kernel = node.kernel!;
      const call = kernel.call.bind(kernel);
      kernel.call = <T>(peer: string, method: PeerRpc, body: unknown, timeoutMs?: number): Promise<T> => {
        callCounts.set(method, (callCounts.get(method) ?? 0) + 1);
        return call<T>(peer, method, body, timeoutMs);
      };
    }
    const from = fleet.sim.now;
    const durations: number[] = [];
    const submissions = Array.from({ length: 8 }, async (_, i) => {
      const changed = families.map((f, j) => (j === i ? { ...f, patienceMs: 1_000 + i } : f));
      const submission = { revision: 10 + i, config: { families: changed }, document: { routes: changed } };
      const answer = await fleet.sim.clientTransport.visit(
        nodes[i % nodes.length]!.config.client,
        'SubmitConfig',
        submission,
        9_000,
      );
      durations.push(fleet.sim.now - from);
      return answer;
    });
    const answers = await runUntilSettled(fleet.sim, Promise.all(submissions));
    for (const [i, answer] of answers.entries()) {
      t.is(answer?.status, 200, `seed ${seed} submission ${i}`);
      t.true(answer!.body.revision >= 10 + i);
    }
    t.true(Math.max(...durations) < 2_000, `seed ${seed}: ${durations.map(Math.round).join(' ')} ms`);
    const ballotCalls = (callCounts.get('RegPrepare') ?? 0) + (callCounts.get('RegAccept') ?? 0);
    t.true(ballotCalls <= 8 * 3 * 2 * 3, `seed ${seed}: ${ballotCalls} ballot calls`);
    t.log(`seed ${seed}: all within ${Math.round(Math.max(...durations))} ms, ${ballotCalls} ballot calls`);
    t.is(valueOf(nodes[0]!).revision, 17);
    fleet.sim.close();
  }
});

test('a repeated request to empty a disk is never rejected after it was accepted', async (t) => {
  const fleet = await startSmallFleet(313);
  const [a, , c] = fleet.stores as [SimNode, SimNode, SimNode];
  const addedStore = fleet.sim.add('store4', { role: 'store', domain: 'a', disk: true });
  addedStore.config.seeds = fleet.stores.map((node) => node.config.peer);
  void fleet.sim.start(addedStore);
  await fleet.advance(20_000);
  const disk = c.kernel!.use('register').disk!;
  const empty = (node: SimNode, name: string) => fleet.ask(node, 'EmptyDisk', { disk: name });
  t.is((await empty(a, disk)).status, 200);
  t.is((await empty(fleet.relays[0]!, disk)).status, 200, 'at another node');
  // The machine restarts with an empty disk: the old disk is lost.
  fleet.sim.loseDisk(c);
  await fleet.advance(1_000);
  void fleet.sim.start(c);
  await fleet.advance(10_000);
  t.is(valueOf(a).disks.get(disk)!.state, 'lost');
  t.is((await empty(a, disk)).status, 200, 'after the disk was lost');
  // The same by the machine's name, when the remaining disks can't hold the replicas.
  const { sim } = fleet;
  const name = 'machine-c';
  const named = (value: FleetValue) => {
    const disks = new Map([...value.disks].map(([id, d]) => [id, d.peer === c.config.peer ? { ...d, name } : d]));
    return { next: { ...value, disks }, out: 0 };
  };
  await runUntilSettled(sim, a.kernel!.use('register').change(named));
  sim.kill(addedStore);
  await fleet.advance(3_000);
  const repeated = await empty(a, name);
  t.true(repeated.status === 200 || repeated.status >= 500, `${repeated.status} ${JSON.stringify(repeated.body)}`);
  t.is((await empty(a, a.kernel!.use('register').disk!)).body.error.tag, 'wont_hold', 'a new request is rejected');
  fleet.sim.close();
});
