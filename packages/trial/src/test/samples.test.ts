import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { readNodeConfig, type Role } from '@harecross/kernel';
import { configFaults } from '@harecross/schema';
import test from 'ava';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

test('every sample file is one that the programs take, and a site has one set of seeds', (t) => {
  for (const site of ['sine-saloum', 'dunare-carpati']) {
    const dir = join(root, 'samples', site);
    const files = readdirSync(dir);
    t.deepEqual(configFaults(JSON.parse(readFileSync(join(dir, 'families.json'), 'utf8'))), []);
    const nodes = files
      .filter((f) => f !== 'families.json')
      .map((f) => readNodeConfig(f.split('-')[0] as Role, join(dir, f), {}));
    t.true(
      nodes.some((n) => n.role === 'store') &&
        nodes.some((n) => n.role === 'relay' && n.data) &&
        nodes.some((n) => n.role === 'relay' && !n.data),
    );
    t.is(new Set(nodes.map((n) => n.seeds.join())).size, 1);
    t.is(new Set(nodes.flatMap((n) => [n.peer, n.client])).size, nodes.length * 2, 'every address once');
    for (const s of nodes[0]!.seeds)
      t.true(
        nodes.some((n) => n.peer === s && n.role === 'store'),
        `${s} is a store`,
      );
  }
});

test('packages and the licence file say the same', (t) => {
  t.regex(readFileSync(join(root, 'LICENSE'), 'utf8'), /^MIT License/);
  for (const p of readdirSync(join(root, 'packages'))) {
    t.is(JSON.parse(readFileSync(join(root, 'packages', p, 'package.json'), 'utf8')).license, 'MIT', p);
  }
});
