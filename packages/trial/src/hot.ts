import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { sleep, realClock, type Net, type NodeConfig, type Role } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import { Agent, request } from 'undici';
import yargs from 'yargs';
import type { Json } from './json.js';
import { freePorts } from './process-fleet.js';

const a = yargs(process.argv.slice(2))
  .scriptName('bench:hot')
  .usage(
    '$0 [flags]\n\nProcessor time and delay of the hot paths: peer calls, starts, rest, and messages through three stores and a relay on loopback.',
  )
  .option('root', {
    type: 'string',
    default: fileURLToPath(new URL('../../..', import.meta.url)),
    describe: 'a built checkout to measure; default: this one',
  })
  .option('calls', { type: 'number', default: 20_000, describe: 'peer calls' })
  .option('messages', { type: 'number', default: 1_000, describe: 'messages in each of the two rounds' })
  .option('rest', { type: 'number', default: 10, describe: 'seconds at rest' })
  .option('topics', { type: 'number', default: 20, describe: 'topics the listener has' })
  .option('profile', {
    type: 'string',
    describe: 'folder for a processor profile of each process at rest and in each round; slows the figures',
  })
  .strict()
  .parseSync();

interface Used {
  cpuMs: number;
  rssMB: number;
}
interface Proc {
  name: string;
  config: NodeConfig;
  child: ChildProcess;
  startMs: number;
}

/** Three digits that count, as far as the size of the number allows. */
function shortNumber(x: number): string {
  if (x >= 100) return x.toFixed(0);
  return x >= 1 ? x.toFixed(1) : x.toFixed(3);
}

const PROBE = fileURLToPath(new URL('./hot-probe.js', import.meta.url));
const row = (...xs: (string | number)[]): void => {
  process.stdout.write(`| ${xs.map((x) => (typeof x === 'number' ? shortNumber(x) : x)).join(' | ')} |\n`);
};
const head = (...xs: string[]): void => {
  process.stdout.write('\n');
  row(...xs);
  row(...xs.map(() => '---'));
};
const q = (xs: number[], p: number): number =>
  [...xs].sort((x, y) => x - y)[Math.min(xs.length - 1, Math.floor(p * xs.length))] ?? NaN;

async function tell(p: ChildProcess, m: object): Promise<unknown> {
  p.send(m);
  return (await once(p, 'message'))[0];
}
const used = async (p: ChildProcess): Promise<Used> => (await tell(p, { t: 'used' })) as Used;

/** Runs a part of the bench, with a profile of each process when asked for. */
async function part<T>(procs: Proc[], name: string, f: () => Promise<T>): Promise<T> {
  if (a.profile === undefined) return f();
  await Promise.all(procs.map((p) => tell(p.child, { t: 'profile' })));
  const x = await f();
  await Promise.all(
    procs.map((p) =>
      tell(p.child, { t: 'write', file: join(a.profile!, `${name}-${p.name.replace(' ', '-')}.cpuprofile`) }),
    ),
  );
  return x;
}

/** Calls between two nets in one process: both sides' processor time is ours. */
async function peerCalls(): Promise<void> {
  const kernel = (await import(pathToFileURL(join(a.root, 'packages/kernel/dist/index.js')).href)) as Record<
    string,
    (self: string) => Net
  >;
  const make = kernel.peerNet ?? kernel.realNet!;
  const [p1, p2] = await freePorts(2);
  const [x, y] = [make(`127.0.0.1:${p1}`), make(`127.0.0.1:${p2}`)];
  await x.serve(async (f) => f);
  await y.serve(async (f) => f);
  const frame = 'x'.repeat(400);
  head('peer calls of 400 bytes', 'calls a second of a core', 'microseconds of a core a call');
  for (const wide of [1, 20, 200]) {
    const n = wide === 1 ? Math.ceil(a.calls / 4) : a.calls;
    for (let i = 0; i < 500; i++) await x.call(`127.0.0.1:${p2}`, frame, 5_000);
    const t0 = process.cpuUsage();
    let left = n;
    await Promise.all(
      Array.from({ length: wide }, async () => {
        while (left-- > 0) await x.call(`127.0.0.1:${p2}`, frame, 5_000);
      }),
    );
    const d = process.cpuUsage(t0);
    const us = (d.user + d.system) / n;
    row(`${wide} at a time`, 1e6 / us, us);
  }
  await Promise.all([x.close(), y.close()]);
}

function start(role: Role, name: string, config: NodeConfig): Proc {
  const c = [
    '--domain',
    config.domain,
    '--peer',
    config.peer,
    '--client',
    config.client,
    '--seeds',
    config.seeds.join(),
    ...(config.data ? ['--data', config.data] : []),
  ];
  const child = spawn(
    process.execPath,
    ['--import', pathToFileURL(PROBE).href, join(a.root, `packages/${role}/dist/main.js`), ...c],
    { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] },
  );
  return { name, config, child, startMs: 0 };
}

/** Processor time up to the line that says a node is up. */
async function up(p: Proc): Promise<void> {
  p.child.stdout!.setEncoding('utf8');
  let told = '';
  await new Promise<void>((res) =>
    p.child.stdout!.on('data', (s: string) => {
      told += s;
      if (/ (store|relay) up/.test(told)) res();
    }),
  );
  p.startMs = (await used(p.child)).cpuMs;
}

async function visit(at: string, agent: Agent, m: string, body: unknown): Promise<{ status: number; body: Json }> {
  const r = await request(`http://${at}/rpc/${m}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    dispatcher: agent,
  });
  return { status: r.statusCode, body: await r.body.json() };
}
async function until(what: string, f: () => Promise<boolean>): Promise<void> {
  const end = realClock.now() + 30_000;
  while (!(await f().catch(() => false))) {
    if (realClock.now() > end) throw new Error(`in vain: ${what}`);
    await sleep(realClock, 50);
  }
}

/** The listener's signs of life: well within the time after which a lease ends unless it is renewed. */
const PROBE_MS = 10_000;

async function fleet(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-hot-'));
  const ports = await freePorts(8);
  const seeds = ports.slice(0, 3).map((p) => `127.0.0.1:${p}`);
  const of = (i: number, role: Role): NodeConfig => ({
    role,
    domain: 'a',
    peer: `127.0.0.1:${ports[i]}`,
    client: `127.0.0.1:${ports[4 + i]}`,
    seeds,
    ...(role === 'store' ? { data: join(folder, `s${i}`) } : {}),
  });
  const procs = [0, 1, 2].map((i) => start('store', `store ${i + 1}`, of(i, 'store')));
  procs.push(start('relay', 'relay', of(3, 'relay')));
  const agent = new Agent({ connections: 64, pipelining: 1 });
  let probing: NodeJS.Timeout | undefined;
  try {
    await Promise.all(procs.map(up));
    const at = procs[3]!.config.client;
    await until('ready', async () => {
      const r = await request(`http://${at}/condition`, { dispatcher: agent });
      await r.body.dump();
      return r.statusCode === 200;
    });
    const families = [
      { name: 'r', topics: ['r/*'], urgency: 'routine', patienceMs: 2_000, memoryS: 30 },
      { name: 'u', topics: ['u/*'], urgency: 'urgent', patienceMs: 2_000, memoryS: 30 },
    ];
    await until(
      'configured',
      async () => (await visit(at, agent, 'SubmitConfig', { changeId: 'hot', config: { families } })).status === 200,
    );

    // A listener, and when each of its messages came.
    const came = new Map<string, number>();
    let conn = '';
    const stream = await request(`http://${at}/rpc/Attach`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ consumer: 'me', pingS: 60 }),
      dispatcher: agent,
      bodyTimeout: 0,
    });
    let rest = '';
    let arrived = (): void => {};
    stream.body.setEncoding('utf8');
    stream.body.on('error', () => undefined);
    stream.body.on('data', (s: string) => {
      const ls = (rest + s).split('\n');
      rest = ls.pop()!;
      for (const l of ls) {
        if (!l) continue;
        const f = JSON.parse(l) as Frame;
        if (f.t === 'ATTACHED') conn = f.conn;
        if (f.t === 'DELIVER') came.set(`${f.topic} ${f.offset}`, performance.now());
      }
      arrived();
    });
    await until('attached', async () => conn !== '');
    // Without a sign of life its leases would end after a minute, which a busy machine needs for the rounds alone.
    probing = setInterval(() => {
      visit(at, agent, 'Probe', { conn }).catch(() => undefined);
    }, PROBE_MS);
    for (const fam of ['r', 'u'])
      for (let i = 0; i < a.topics; i++)
        await until(
          'subscribed',
          async () => (await visit(at, agent, 'Subscribe', { conn, topic: `${fam}/${i}` })).status === 200,
        );

    const all = (): Promise<Used[]> => Promise.all(procs.map((p) => used(p.child)));
    await sleep(realClock, 6_000);
    head('process', 'processor ms until it is up', "until its 7th second, with the fleet's founding");
    (await all()).forEach((u, i) => row(procs[i]!.name, procs[i]!.startMs, u.cpuMs));
    await sleep(realClock, 4_000);
    const { r0, r1, s } = await part(procs, 'rest', async () => {
      const r0 = await all();
      const t0 = performance.now();
      await sleep(realClock, a.rest * 1_000);
      return { r0, r1: await all(), s: (performance.now() - t0) / 1_000 };
    });
    head('process', 'cores at rest', 'resident MB');
    r1.forEach((u, i) => row(procs[i]!.name, (u.cpuMs - r0[i]!.cpuMs) / 1_000 / s, u.rssMB));

    head(
      'messages',
      'accepted p50 ms',
      'p99',
      'delivered p50 ms',
      'p99',
      'not accepted',
      'accepted a second',
      'ms of processor a message, all',
      'busiest store',
      'relay',
    );
    let seq = 0;
    const round = async (fam: 'r' | 'u', wide: number): Promise<void> => {
      const sent = new Map<string, number>();
      const took: number[] = [];
      let bad = 0;
      let left: number = a.messages;
      const m0 = await all();
      const b0 = performance.now();
      await Promise.all(
        Array.from({ length: wide }, async (_, w) => {
          while (left-- > 0) {
            const topic = `${fam}/${left % a.topics}`;
            const asked = performance.now();
            const r = await visit(at, agent, 'Publish', { sender: `s${w}`, topic, seq: ++seq, body: 'x'.repeat(100) });
            took.push(performance.now() - asked);
            const off = r.body?.accepted?.offset as number | undefined;
            if (off === undefined) bad++;
            else sent.set(`${topic} ${off}`, asked);
          }
        }),
      );
      const took_s = (performance.now() - b0) / 1_000;
      await new Promise<void>((res) => {
        arrived = () => {
          if ([...sent.keys()].every((k) => came.has(k))) res();
        };
        arrived();
      });
      arrived = () => {};
      const m1 = await all();
      const cpu = m1.map((u, i) => (u.cpuMs - m0[i]!.cpuMs) / a.messages);
      const way = [...sent].map(([k, t]) => came.get(k)! - t);
      row(
        `${fam === 'r' ? 'routine' : 'urgent'}, ${wide} at a time`,
        q(took, 0.5),
        q(took, 0.99),
        q(way, 0.5),
        q(way, 0.99),
        bad,
        a.messages / took_s,
        cpu.reduce((x, y) => x + y),
        Math.max(...cpu.slice(0, 3)),
        cpu[3]!,
      );
    };
    for (const [fam, wide] of [
      ['r', 1],
      ['r', 20],
      ['u', 1],
      ['u', 20],
    ] as const)
      await part(procs, `${fam}${wide}`, () => round(fam, wide));
    stream.body.destroy();
  } finally {
    clearInterval(probing);
    for (const p of procs) p.child.kill('SIGTERM');
    await Promise.all(procs.filter((p) => p.child.exitCode === null).map((p) => once(p.child, 'exit')));
    await agent.destroy();
    rmSync(folder, { recursive: true, force: true });
  }
}

await peerCalls();
await fleet();
process.exit(0);
