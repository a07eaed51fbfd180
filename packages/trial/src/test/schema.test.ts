import { readFileSync } from 'node:fs';
import { statusOf } from '@harecross/data';
import { configFaults, FAULTS, Rpcs, visitFault, type Method } from '@harecross/schema';
import { emit } from '@harecross/schema/openapi';
import { findConfigError } from '@harecross/kernel';
import test from 'ava';
import { Errors } from 'typebox/value';
import type { SimNode } from '../sim.js';
import { startSmallFleet } from './small-fleet.js';

const fam = (name: string, topics: string[], x: object = {}) => ({
  name,
  topics,
  urgency: 'routine',
  patienceMs: 3000,
  memoryS: 35,
  ...x,
});

test('the committed schema is the one the code has', (t) => {
  t.is(
    readFileSync(new URL('../../../schema/harecross.openapi.json', import.meta.url), 'utf8'),
    emit(),
    'run `npm run schema`',
  );
});

test('the schema has the same faults as the code, with their fields and statuses', (t) => {
  const source = readFileSync(new URL('../../../kernel/src/fault.ts', import.meta.url), 'utf8');
  const code = [...source.matchAll(/^  \| \{ tag: '(\w+)'; step: string; peer: string(.*)\};?$/gm)];
  t.true(code.length > 20);
  t.deepEqual(code.map((m) => m[1]!).sort(), [...FAULTS.keys()].sort());
  for (const [, tag, rest] of code) {
    const { status, shape } = FAULTS.get(tag!)!;
    t.is(status, statusOf({ tag, step: '', peer: '' } as never), tag);
    // Callers get a time to come back with every 503 and 504, whether the fault had one by itself or not.
    const fields = [...rest!.replace(/\{[^{}]*\}/g, '').matchAll(/(\w+)\??:/g)].map((m) => m[1]!);
    if ((status === 503 || status === 504) && !fields.includes('retryAfterMs')) fields.push('retryAfterMs');
    t.deepEqual(Object.keys(shape.properties).sort(), ['tag', 'step', 'peer', ...fields].sort(), tag);
  }
});

test('what nodes answer is what the schema says', async (t) => {
  const s = await startSmallFleet(31);
  const [a, b] = s.relays as [SimNode, SimNode];
  const { conn } = await s.attach(a, 'phone');
  const store = s.stores[0]!;
  const disk = store.kernel!.use('register').disk!;
  const visits: [Method, object][] = [
    ['Probe', { conn }],
    ['Subscribe', { conn, topic: 'feed/1' }],
    ['Publish', { sender: 's', topic: 'feed/1', seq: 1, body: 'x' }],
    ['Listeners', { topic: 'feed/1' }],
    ['CheckConfig', { config: { families: 3 } }],
    ['ReadConfig', {}],
    ['EmptyStatus', { disk }],
    [
      'PlanMoves',
      { changeId: 'p', moves: [{ id: 'm', kind: 'restart', node: a.config.peer, from: 2e12, until: 2e12 + 1 }] },
    ],
    ['Moves', {}],
    ['Fleet', {}],
    ['Node', {}],
    ['Unsubscribe', { conn, topic: 'feed/1' }],
    ['Detach', { conn }],
  ];
  for (const [m, body] of visits)
    for (const n of m === 'Node' ? [a, store] : [b]) {
      const r = await s.ask(n, m, body);
      t.is(r.status, 200, `${m}: ${JSON.stringify(r.body)}`);
      t.deepEqual([...Errors(Rpcs[m].answer, r.body)], [], m);
    }
  for (const [m, body] of [
    ['Probe', { conn: 'x' }],
    ['Publish', { sender: 's', topic: 'none', seq: 1, body: '' }],
    ['SubmitConfig', { changeId: 'bad', config: 4 }],
    ['EmptyDisk', { disk: 'x' }],
    ['EmptyDisk', { disk }],
    ['Dance', {}],
  ] as [string, object][]) {
    const { body: got } = await s.ask(a, m, body);
    t.deepEqual([...Errors(FAULTS.get(got.error.tag)!.shape, got.error)], [], JSON.stringify(got));
  }
  s.sim.close();
});

test('visits and configurations are checked, each fault with its path', (t) => {
  t.is(visitFault('Probe', { conn: 'a' }), undefined);
  t.snapshot({
    missing: visitFault('Probe', {}),
    unknownKey: visitFault('Probe', { conn: 'a', x: 1 }),
    wrongType: visitFault('Publish', { sender: 's', topic: 'a', seq: 'x', body: '' }),
    badTopic: visitFault('Subscribe', { conn: 'c', topic: 'a b' }),
    noNumber: visitFault('SubmitConfig', { config: { families: [] } }),
    both: visitFault('SubmitConfig', { revision: 4, expect: 1, config: { families: [] } }),
    badRevision: visitFault('SubmitConfig', { revision: -1, config: { families: [] } }),
    noFamilies: configFaults({}),
    twice: configFaults({ families: [fam('a', ['x/*']), fam('b', ['x/1', 'x/*'])] }),
    twiceInOne: configFaults({ families: [fam('a', ['x', 'y', 'x'])] }),
    space: configFaults({ families: [fam('a', ['x y*'])] }),
    tooLong: configFaults({ families: [fam('a', ['x'.repeat(201), `${'x'.repeat(200)}*`])] }),
    memory: configFaults({ families: [fam('a', ['x'], { memoryS: -0.1 }), fam('a', ['y'], { memoryS: 86_400.5 })] }),
    patience: configFaults({
      families: [fam('a', ['x'], { patienceMs: 0 }), fam('a', ['y'], { patienceMs: 600_001 })],
    }),
    urgency: configFaults({ families: [fam('a', ['x'], { urgency: undefined })] }),
    precedence: configFaults({ families: [fam('a', ['x'], { precedence: 'high' })] }),
    aim: configFaults({ families: [fam('a', ['x'], { aimMs: 0 })] }),
    order: configFaults({ families: [fam('a', ['x'], { order: 'any' })] }),
    subscriptions: configFaults({ families: [], limits: { subscriptionsPerConn: 0 } }),
    moves: configFaults({
      families: [],
      moves: [
        { id: 'm', kind: 'empty', node: 'n', from: 5, until: 5 },
        { id: 'm', kind: 'empty', node: 'n', from: 1, until: 9 },
      ],
    }),
  });
});

test('what operators may write is taken: families inside one another, any printable topic, fractions, what is left out', (t) => {
  for (const c of [
    { families: [fam('a', ['x.*']), fam('b', ['x.y.*']), fam('c', ['x.y.1', '*'])] },
    { families: [fam('the same', ['x']), fam('the same', ['y'])] },
    { families: [fam('Zahlung, Bestätigung #1', ['!"#$%&\'()+,;<=>?@[]^`{|}~*'])] },
    {
      families: [
        fam('a', ['x'], { patienceMs: 0.5, memoryS: 0, aimMs: 99.9, order: 'topic' }),
        fam('b', ['y'], { patienceMs: 600_000, memoryS: 86_400, order: 'sender' }),
      ],
    },
    {
      families: [
        { name: 'a', topics: ['x'], precedence: -3.5, patienceMs: 1, memoryS: 1, limits: { bodyBytes: 2 ** 40 } },
      ],
      limits: { subscriptionsPerConn: 1 },
    },
    { families: [fam('a', ['x'.repeat(200), `${'x'.repeat(200)}*`])], limits: {} },
    { families: Array.from({ length: 4_096 }, (_, i) => fam('n'.repeat(128), [`${i}.*`])) },
  ])
    t.deepEqual(configFaults(c), []);
  t.is(visitFault('SubmitConfig', { revision: 0, document: null, config: {} }), undefined);
  t.is(visitFault('SubmitConfig', { revision: 0, changeId: 'c', config: {} }), undefined);
});

test('a node config is checked with one clear line', (t) => {
  const ok = {
    domain: 'a',
    peer: '127.0.0.1:1',
    client: '127.0.0.1:2',
    seeds: ['127.0.0.1:1', '127.0.0.1:3', '127.0.0.1:4'],
  };
  t.is(findConfigError(ok), undefined);
  t.snapshot({
    missing: findConfigError({ ...ok, domain: undefined }),
    noSeeds: findConfigError({ ...ok, seeds: [] }),
    badIp: findConfigError({ ...ok, peer: '999.0.0.1:1' }),
    badPort: findConfigError({ ...ok, peer: '127.0.0.1:70000' }),
    unknownKey: findConfigError({ ...ok, domian: 'b' }),
    same: findConfigError({ ...ok, client: ok.peer }),
  });
});
