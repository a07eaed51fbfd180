import { copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { Validator } from '@seriousme/openapi-schema-validator';
import test from 'ava';
import openapiTS, { astToString } from 'openapi-typescript';
import ts from 'typescript';
import { Fleet } from '../process-fleet.js';
import { SMALL } from '../scenario.js';

const schema = new URL('../../../schema/harecross.openapi.json', import.meta.url);
const source = fileURLToPath(new URL('../../client/day.ts', import.meta.url));

/** What a strict compiler says of a program beside the generated types. */
function compile(dir: string, file: string): string[] {
  const options: ts.CompilerOptions = {
    strict: true,
    target: ts.ScriptTarget.ES2022,
    module: ts.ModuleKind.NodeNext,
    moduleResolution: ts.ModuleResolutionKind.NodeNext,
    outDir: join(dir, 'out'),
    skipLibCheck: true,
    noUncheckedIndexedAccess: true,
    types: [],
    lib: ['lib.es2023.d.ts', 'lib.dom.d.ts', 'lib.dom.iterable.d.ts'],
  };
  const p = ts.createProgram([file], options);
  const said = ts.getPreEmitDiagnostics(p).map((d) => ts.flattenDiagnosticMessageText(d.messageText, ' '));
  p.emit();
  return said;
}

test('the committed schema is a valid OpenAPI 3.1 document', async (t) => {
  const doc = JSON.parse(readFileSync(schema, 'utf8'));
  const v = new Validator();
  const r = await v.validate(structuredClone(doc));
  t.true(r.valid, JSON.stringify(r.errors));
  t.is(v.version, '3.1');
  const bad = await new Validator().validate({ ...structuredClone(doc), paths: { '/x': { post: { responses: 5 } } } });
  t.false(bad.valid, 'the validator can say no');
});

test.serial('a client with types generated from the schema lives a day on real processes', async (t) => {
  // Beside the sources, so that the generated program finds the libraries.
  const dir = fileURLToPath(new URL('../../.generated/', import.meta.url));
  rmSync(dir, { recursive: true, force: true });
  mkdirSync(dir, { recursive: true });
  const folder = mkdtempSync(join(tmpdir(), 'harecross-client-'));
  const f = await Fleet.create({ ...SMALL, relays: 1, relayDisks: 0 }, folder);
  try {
    writeFileSync(join(dir, 'package.json'), '{"type":"module"}');
    writeFileSync(join(dir, 'harecross.d.ts'), astToString(await openapiTS(schema)));
    copyFileSync(source, join(dir, 'day.ts'));
    t.deepEqual(compile(dir, join(dir, 'day.ts')), []);
    writeFileSync(
      join(dir, 'wrong.ts'),
      readFileSync(source, 'utf8').replace(
        "sender: 'gauge', topic: 'level/7', seq, body",
        "sender: 'gauge', topik: 'level/7', seq, body",
      ),
    );
    t.regex(compile(dir, join(dir, 'wrong.ts')).join('\n'), /topik/, 'a wrong field does not compile');
    f.startAll();
    for (let i = 0; i < 1_200 && !f.clientTransport.nodes().length; i++) await new Promise((r) => setTimeout(r, 50));
    const { live } = (await import(pathToFileURL(join(dir, 'out', 'day.js')).href)) as {
      live: (base: string) => Promise<unknown>;
    };
    t.deepEqual(await live(`http://${f.relays[0]!.config.client}`), {
      offsets: [1, 2, 2, 3, 1],
      bodies: ['level 1', 'level 2', 'level 4'],
      rejected: 'stale_seq, final true',
      conflict: 1,
      faults: ['/families/0/memoryS'],
      version: 1,
      count: 1,
      left: 'unsubscribed',
      owner: true,
      conditions: ['ready'],
    });
  } finally {
    await f.close();
    rmSync(folder, { recursive: true, force: true });
    rmSync(dir, { recursive: true, force: true });
  }
});
