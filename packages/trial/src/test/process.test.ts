import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Frame } from '@harecross/schema';
import test from 'ava';
import type { Json } from '../json.js';
import { request } from 'undici';
import { Fleet, type NodeProcess } from '../process-fleet.js';
import { fleetConfigOf, SMALL } from '../scenario.js';

const SITE = { ...SMALL, relays: 2, relayDisks: 0 };
const program = (name: string): string => fileURLToPath(new URL(`../../../${name}/dist/main.js`, import.meta.url));

function run(name: string, args: string[]): Promise<{ code: number | null; out: string; err: string }> {
  return new Promise((res) => {
    const p = spawn(process.execPath, [program(name), ...args]);
    let out = '',
      err = '';
    p.stdout.on('data', (s) => {
      out += s;
    });
    p.stderr.on('data', (s) => {
      err += s;
    });
    p.on('exit', (code) => res({ code, out, err }));
  });
}

/** Waits for something to become true; the bound is far beyond what it takes, and only ends a hung run. */
async function eventually(what: string, ok: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < 1_200; i++) {
    if (await ok()) return;
    await new Promise((r) => setTimeout(r, 50));
  }
  throw new Error(`never: ${what}`);
}

const lines = (p: NodeProcess): string => readFileSync(p.file.replace(/\.json$/, '.log'), 'utf8');

test.serial('a fleet of processes: founded, served, killed, restarted, reread, stopped', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-test-'));
  const f = await Fleet.create(SITE, folder);
  try {
    f.startAll();
    const [r1, r2] = f.relays as [NodeProcess, NodeProcess];
    await eventually('both relays are ready', () => f.clientTransport.nodes().length === 2);
    const file = join(folder, 'families.json');
    writeFileSync(file, JSON.stringify(fleetConfigOf(SITE)));
    const at = ['--at', `${r1.config.client},${r2.config.client}`];
    const submit = await run('harecross', ['submit', file, '--change-id', 'one', ...at]);
    t.is(submit.code, 0, submit.err);
    t.deepEqual(JSON.parse(submit.out), { changeId: 'one', version: 1 });
    t.is((await run('harecross', ['submit', file, '--expect', '7', ...at])).code, 1);

    // By revision, with the operators' own words.
    const words = join(folder, 'words.json');
    writeFileSync(words, '{"any": ["words", null]}');
    const revised = await run('harecross', ['submit', file, '--revision', '30', '--document', words, ...at]);
    t.is(revised.code, 0, revised.err);
    t.deepEqual(JSON.parse(revised.out), { version: 2, revision: 30, outcome: 'accepted' });
    const old = await run('harecross', ['submit', file, '--revision', '29', ...at]);
    t.deepEqual([old.code, JSON.parse(old.out)], [0, { version: 2, revision: 30, outcome: 'overtaken' }]);
    t.regex(old.err, /revision 30 is in force; 29 is below it and changes nothing/);
    const dry = await run('harecross', ['submit', file, '--revision', '30', '--dry-run', ...at]);
    t.is(
      dry.out,
      'revision 30 is not above the one in force: it would change nothing\nagainst version 2, revision 30; nothing was changed\n',
    );
    t.is((await run('harecross', ['submit', file, '--revision', '1.5', ...at])).code, 2);
    t.is((await run('harecross', ['submit', file, '--revision', '31', '--expect', '2', ...at])).code, 2);
    const mine = JSON.parse((await run('harecross', ['read', ...at])).out);
    t.deepEqual(
      [mine.version, mine.revision, mine.document, mine.config],
      [2, 30, { any: ['words', null] }, fleetConfigOf(SITE)],
    );
    writeFileSync(file, '{"families": 5}');
    const bad = await run('harecross', ['submit', file, ...at]);
    t.is(bad.code, 1);
    t.regex(bad.err, /\/families: must be array/);
    t.is((await run('harecross', ['read', '--wait', '0', '--at', '127.0.0.1:1'])).code, 3);

    // A consumer over HTTP.
    const frames: Frame[] = [];
    const attach = (p: NodeProcess): (() => void) =>
      f.clientTransport.attach(
        p.config.client,
        { consumer: 'phone' },
        (x) => frames.push(x),
        () => undefined,
      );
    const visit = (p: NodeProcess, m: string, b: unknown) => f.clientTransport.visit(p.config.client, m, b, 30_000);
    const conn = (): string => (frames.filter((x) => x.t === 'ATTACHED').at(-1) as { conn: string }).conn;
    attach(r1);
    await eventually('attached', () => frames.length > 0);
    t.is((await visit(r2, 'Subscribe', { conn: conn(), topic: 'r/1' }))?.status, 200);
    const publish = async (seq: number): Promise<number> => {
      let off = 0;
      await eventually(`message ${seq} accepted`, async () => {
        const p = f.clientTransport.nodes().map((n) => f.relays.find((x) => x.config.client === n)!)[0];
        const r = p && (await visit(p, 'Publish', { sender: 's', topic: 'r/1', seq, body: `m${seq}` }));
        off = r?.body?.accepted?.offset ?? 0;
        return off > 0;
      });
      return off;
    };
    const got = (): number[] => frames.flatMap((x) => (x.t === 'DELIVER' ? [x.offset] : []));
    t.is(await publish(1), 1);
    await eventually('delivered', () => got().length === 1);

    // The whole fleet loses power; what was accepted is still there, and the same seq has its first outcome.
    await Promise.all(f.procs.map((p) => f.kill(p)));
    f.startAll();
    await eventually('ready again', () => f.clientTransport.nodes().length === 2);
    t.is(await publish(1), 1);
    t.is(await publish(2), 2);
    const n = frames.length;
    attach(r2);
    await eventually('attached again', () => frames.slice(n).some((x) => x.t === 'ATTACHED'));
    await eventually(
      'subscribed',
      async () => (await visit(r2, 'Subscribe', { conn: conn(), topic: 'r/1', cursor: 1 }))?.status === 200,
    );
    await eventually('resumed', () => got().length === 2);
    t.deepEqual(got(), [1, 2]);
    const read = await run('harecross', ['read', ...at]);
    const back = JSON.parse(read.out);
    t.deepEqual(
      [back.version, back.revision, back.document],
      [2, 30, { any: ['words', null] }],
      'as it was before the power failed',
    );

    // A consumer that reads no more is retired, and holds up nobody else.
    const deaf = httpRequest(`http://${r1.config.client}/rpc/Attach`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
    });
    deaf.on('error', () => undefined);
    let deafConn = '';
    deaf.on('response', (res) =>
      res.once('data', (d: Buffer) => {
        deafConn = /"conn":"([^"]+)"/.exec(d.toString())![1]!;
        res.pause();
      }),
    );
    deaf.end(JSON.stringify({ consumer: 'deaf', pingS: 60 }));
    await eventually('the deaf one is attached', () => deafConn !== '');
    t.is((await visit(r1, 'Subscribe', { conn: deafConn, topic: 'r/2' }))?.status, 200);
    let seq = 0;
    await eventually('the deaf one is retired', async () => {
      for (let i = 0; i < 40; i++)
        await visit(r2, 'Publish', { sender: 'loud', topic: 'r/2', seq: ++seq, body: 'x'.repeat(60_000) });
      return ((await visit(r1, 'Node', {}))?.body.counters['conn.closed.saturated'] ?? 0) > 0;
    });
    t.is(await publish(3), 3);
    await eventually('the other got its message', () => got().length === 3);
    deaf.destroy();

    // HTTP's own ways to be wrong.
    const raw = async (path: string, body: string, type = 'application/json', method: 'POST' | 'GET' = 'POST') => {
      const r = await request(`http://${r1.config.client}${path}`, {
        method,
        ...(method === 'POST' ? { body, headers: { 'content-type': type } } : {}),
      });
      const b = (await r.body.json()) as Json;
      return `${r.statusCode} ${b.error?.tag}`;
    };
    t.is(await raw('/rpc/Probe', '{"conn":'), '400 bad_visit');
    t.is(await raw('/rpc/Probe', 'conn=1', 'text/html'), '415 bad_visit');
    t.is(await raw('/rpc/Probe', JSON.stringify({ conn: 'x'.repeat(3_000_000) })), '413 too_large');
    t.is(await raw('/rpc/toString', '{}'), '404 unknown_method');
    t.is(await raw('/else', '', '', 'GET'), '404 unknown_method');
    t.is(await raw('/rpc/Attach', '{}'), '400 bad_visit');
    t.is(await raw('/rpc/Attach', '[]'), '400 bad_visit');

    // Config: a broken reread keeps the running one, with a signal and without.
    const store = f.stores[0]!;
    writeFileSync(store.file, '{"domain":');
    f.signal(store, 'SIGHUP');
    await eventually('the bad config was reported', () => lines(store).includes('config kept as it was'));
    writeFileSync(store.file, JSON.stringify({ ...store.config, peer: '127.0.0.1:9' }));
    await eventually('a change of address was reported', () =>
      lines(store).includes('peer cannot change while running'),
    );
    f.writeConfig(store);
    await eventually('the config was reread', () => lines(store).includes('config reread'));
    // A new domain, by a silent change, is known to the others.
    writeFileSync(store.file, JSON.stringify({ ...store.config, domain: 'elsewhere' }));
    await eventually(
      'the new domain is known',
      async () =>
        ((await visit(r2, 'Fleet', {}))?.body.members as { peer: string; domain: string }[] | undefined)?.some(
          (m) => m.peer === store.config.peer && m.domain === 'elsewhere',
        ) ?? false,
    );

    for (const p of [r1, store]) {
      await f.stop(p);
      t.deepEqual(p.exits.at(-1), 0, `${p.name} left by itself`);
    }
  } finally {
    await f.close();
    rmSync(folder, { recursive: true, force: true });
  }
});

test.serial('programs say in one line what is wrong with their config and flags', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-test-'));
  const file = join(folder, 'c.json');
  const ok = {
    domain: 'a',
    peer: '127.0.0.1:1',
    client: '127.0.0.1:2',
    seeds: ['127.0.0.1:1', '127.0.0.1:3', '127.0.0.1:4'],
  };
  const tell = async (name: string, x: unknown, ...args: string[]): Promise<string> => {
    writeFileSync(file, typeof x === 'string' ? x : JSON.stringify(x));
    const r = await run(name, ['--config', file, ...args]);
    return `${r.code} ${r.err.trim().replaceAll(folder, '')}`;
  };
  t.snapshot({
    noData: await tell('store', ok),
    seedNoData: await tell('relay', { ...ok, client: '127.0.0.1:9', peer: '127.0.0.1:3' }),
    noDomain: await tell('relay', { ...ok, domain: undefined }),
    unknownKey: await tell('relay', { ...ok, sneakers: 1 }),
    badJson: (await tell('relay', '{')).replace(/JSON.*/, 'JSON...'),
    wrongProgram: await tell('relay', { ...ok, role: 'store' }),
    badPort: await tell('relay', ok, '--peer', '127.0.0.1:99999'),
    unknownFlag: await tell('relay', ok, '--colour', 'red'),
    fourSeeds: await tell('relay', ok, '--seeds', '127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4'),
    seedTwice: await tell('relay', ok, '--seeds', '127.0.0.1:3,127.0.0.1:3'),
    cliNoCommand: (await run('harecross', ['--at', '127.0.0.1:1'])).err.trim(),
    cliUnknown: (await run('harecross', ['dance', '--at', '127.0.0.1:1'])).err.trim(),
  });
  rmSync(folder, { recursive: true, force: true });
});
