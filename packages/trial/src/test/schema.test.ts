import { readFileSync } from 'node:fs';
import { configFaults, emit, FaultShape, visitFault } from '@harecross/schema';
import { faultInConfig } from '@harecross/kernel';
import test from 'ava';

const fam = (name: string, topics: string[], x: object = {}) => ({ name, topics, urgency: 'routine', patienceMs: 3000, memoryS: 35, ...x });

test('the committed schema is the one the code has', (t) => {
  t.is(readFileSync(new URL('../../../schema/harecross.schema.json', import.meta.url), 'utf8'), emit(), 'run `npm run schema`');
});

test('the schema names the same faults as the code', (t) => {
  const source = readFileSync(new URL('../../../kernel/src/fault.ts', import.meta.url), 'utf8');
  const code = [...source.matchAll(/\| \{ tag: '(\w+)'/g)].map((m) => m[1]).sort();
  const schema = (JSON.parse(JSON.stringify(FaultShape)).properties.tag.anyOf as { const: string }[]).map((x) => x.const).sort();
  t.true(code.length > 20);
  t.deepEqual(schema, code as string[]);
});

test('visits and configurations are checked, each fault with its path', (t) => {
  t.is(visitFault('Probe', { conn: 'a' }), undefined);
  t.snapshot({
    missing: visitFault('Probe', {}),
    unknownKey: visitFault('Probe', { conn: 'a', x: 1 }),
    wrongType: visitFault('Publish', { sender: 's', topic: 'a', seq: 'x', body: '' }),
    badTopic: visitFault('Subscribe', { conn: 'c', topic: 'a b' }),
    noFamilies: configFaults({}),
    twice: configFaults({ families: [fam('a', ['x']), fam('a', ['y'])] }),
    overlap: configFaults({ families: [fam('a', ['x/*']), fam('b', ['x/1'])] }),
    memory: configFaults({ families: [fam('a', ['x'], { memoryS: 0 })] }),
    moves: configFaults({ families: [], moves: [{ id: 'm', kind: 'empty', node: 'n', from: 5, until: 5 }, { id: 'm', kind: 'empty', node: 'n', from: 1, until: 9 }] }),
  });
});

test('a node config is checked with one clear line', (t) => {
  const ok = { domain: 'a', peer: '127.0.0.1:1', client: '127.0.0.1:2', seeds: ['127.0.0.1:1', '127.0.0.1:3', '127.0.0.1:4'] };
  t.is(faultInConfig(ok), undefined);
  t.snapshot({
    missing: faultInConfig({ ...ok, domain: undefined }),
    noSeeds: faultInConfig({ ...ok, seeds: [] }),
    badIp: faultInConfig({ ...ok, peer: '999.0.0.1:1' }),
    badPort: faultInConfig({ ...ok, peer: '127.0.0.1:70000' }),
    unknownKey: faultInConfig({ ...ok, domian: 'b' }),
    same: faultInConfig({ ...ok, client: ok.peer }),
  });
});
