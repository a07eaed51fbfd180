import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { MembershipTable } from '@harecross/control';
import { InterestTable } from '@harecross/data';
import { Kernel, realClock, realHost, sleep, type Net } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import type { Entry } from '@harecross/state';
import { build as buildHistogram } from 'hdr-histogram-js';
import type { Json } from './json.js';
import { Fleet, freePorts, type NodeProcess } from './process-fleet.js';
import type { Say, Taken } from './capacity-virtual.js';
import type { DeploymentSpec } from './scenario.js';

/** Processor time of one of our own children, ms; the kernel's ticks are hundredths of a second. */
function cpuOf(p: NodeProcess): number {
  const s = readFileSync(`/proc/${p.child!.pid}/stat`, 'utf8');
  const f = s.slice(s.lastIndexOf(')') + 2).split(' ');
  return (Number(f[11]) + Number(f[12])) * 10;
}
const residentMiB = (p: NodeProcess): number =>
  Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${p.child!.pid}/status`, 'utf8'))![1]) / 1024;
/** Bytes one of our own children wrote, files and sockets together. */
const written = (p: NodeProcess): number =>
  Number(/^write_bytes: (\d+)/m.exec(readFileSync(`/proc/${p.child!.pid}/io`, 'utf8'))![1]);

const site = (stores: number, relays: number, relayDisks = 0): DeploymentSpec => ({
  name: 'capacity',
  domains: ['a', 'b', 'c', 'd'],
  stores,
  relays,
  relayDisks,
  consumers: 0,
  families: [],
});
const FAMILIES = [
  { name: 'feeds', topics: ['feed/*'], urgency: 'routine', patienceMs: 5_000, memoryS: 30, aimMs: 390 },
];

/** A fleet of real processes that serves, and what ends it. */
async function fleet(s: DeploymentSpec): Promise<{ f: Fleet; relay: NodeProcess; close: () => Promise<void> }> {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-capacity-'));
  const f = await Fleet.create(s, folder);
  const close = async (): Promise<void> => {
    await f.close();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    // A few at a time: others work on this machine.
    for (const p of f.procs) {
      f.start(p);
      await sleep(realClock, 250);
    }
    for (const until = realClock.now() + 120_000; !f.procs.every((p) => p.healthy);) {
      if (realClock.now() > until)
        throw new Error(`${f.procs.filter((p) => !p.healthy).length} of ${f.procs.length} processes do not serve \
after 120 s`);
      await sleep(realClock, 200);
    }
    const relay = f.relays[0]!;
    const r = await f.clientTransport.visit(
      relay.config.client,
      'SubmitConfig',
      { changeId: 'first', config: { families: FAMILIES } },
      20_000,
    );
    if (r?.status !== 200) throw new Error(`the configuration was not taken: ${JSON.stringify(r?.body)}`);
    return { f, relay, close };
  } catch (e) {
    await close();
    throw e;
  }
}

interface Caller {
  conn: string;
  close: () => void;
  onFrame: (f: Frame) => void;
}

async function attach(f: Fleet, relay: NodeProcess, consumer: string): Promise<Caller> {
  const c: Caller = { conn: '', close: () => undefined, onFrame: () => undefined };
  await new Promise<void>((res, rej) => {
    const late = setTimeout(() => rej(new Error(`${consumer} was not attached within 20 s`)), 20_000);
    c.close = f.clientTransport.attach(
      relay.config.client,
      { consumer, pingS: 60 },
      (x) => {
        if (x.t === 'ATTACHED') {
          c.conn = x.conn;
          clearTimeout(late);
          res();
          return;
        }
        c.onFrame(x);
      },
      () => {
        clearTimeout(late);
        rej(new Error(`${consumer} was refused`));
      },
    );
  });
  return c;
}

/** Visits until it is served; who is told to come back does, as callers do. */
async function must(f: Fleet, relay: NodeProcess, method: string, body: unknown): Promise<Json> {
  const until = realClock.now() + 20_000;
  for (;;) {
    const r = await f.clientTransport.visit(relay.config.client, method, body, 20_000);
    if (r?.status === 200) return r.body;
    if (r?.status !== 503 || realClock.now() > until) throw new Error(`${method}: ${JSON.stringify(r?.body)}`);
    await sleep(realClock, 500);
  }
}

/** Runs at most so many of these at once. */
async function some<T>(xs: T[], atOnce: number, fn: (x: T) => Promise<void>): Promise<void> {
  const left = [...xs];
  await Promise.all(
    Array.from({ length: atOnce }, async () => {
      for (let x = left.shift(); x !== undefined; x = left.shift()) await fn(x);
    }),
  );
}

const one = (id: string, title: string, x: string, y: string): Taken => ({
  id,
  title,
  x,
  y,
  way: 'loopback',
  points: [],
});

/** What connections cost one relay: memory, joins, signs of life. */
export async function takeConns(sizes: number[], say: Say): Promise<Taken[]> {
  const memory = one('conn-memory', 'Memory of one relay, each conn with one subscription', 'conns', 'MiB');
  const joins = one(
    'conn-join',
    'Processor time of the relay while conns attach and subscribe, added up',
    'conns that joined',
    'ms',
  );
  const probes = one(
    'conn-probe',
    'Processor time of the relay, each conn says a sign of life every 2 s (an HTTP request)',
    'signs of \
life a second',
    'ms a second',
  );
  const { f, relay, close } = await fleet(site(3, 1));
  try {
    const callers: Caller[] = [];
    let joined = 0;
    // The first requests of a process pay for its compiler; they are not what a conn costs.
    const warm = await attach(f, relay, 'warm');
    await some([...Array(6_000).keys()], 16, async () => {
      await must(f, relay, 'Probe', { conn: warm.conn });
    });
    await some([...Array(300).keys()], 16, async (i) => {
      const c = await attach(f, relay, `warm${i}`);
      await must(f, relay, 'Subscribe', { conn: c.conn, topic: `feed/${i}` });
      c.close();
    });
    warm.close();
    await sleep(realClock, 3_000);
    memory.points.push({ x: 0, y: residentMiB(relay) });
    for (const n of [...sizes].sort((a, b) => a - b)) {
      const add = n - callers.length;
      const t0 = cpuOf(relay);
      await some(
        [...Array(add).keys()].map((i) => callers.length + i),
        32,
        async (i) => {
          const c = await attach(f, relay, `c${i}`);
          await must(f, relay, 'Subscribe', { conn: c.conn, topic: `feed/${i % 1_000}` });
          callers.push(c);
        },
      );
      joined += cpuOf(relay) - t0;
      joins.points.push({ x: n, y: joined });
      await sleep(realClock, 3_000);
      memory.points.push({ x: n, y: residentMiB(relay) });
      let said = 0;
      let running = true;
      const saying = callers.map(async (c, i) => {
        await sleep(realClock, (i / callers.length) * 2_000);
        const t2 = realClock.now();
        for (let j = 1; running; j++) {
          await must(f, relay, 'Probe', { conn: c.conn });
          said++;
          await sleep(realClock, Math.max(0, t2 + j * 2_000 - realClock.now()));
        }
      });
      await sleep(realClock, 2_500);
      for (let again = 0; again < 2; again++) {
        const t1 = cpuOf(relay);
        const from = realClock.now();
        const n0 = said;
        await sleep(realClock, 4_000);
        const took = (realClock.now() - from) / 1_000;
        probes.points.push({ x: (said - n0) / took, y: (cpuOf(relay) - t1) / took });
      }
      running = false;
      await Promise.all(saying);
      say(`${n} conns: ${memory.points.at(-1)!.y.toFixed(0)} MiB, ${joined} ms for all joins, ${probes.points.at(-1)!.y.toFixed(0)} ms/s \
at ${probes.points.at(-1)!.x.toFixed(0)} signs of life a second`);
    }
    for (const c of callers) c.close();
    return [memory, joins, probes];
  } finally {
    await close();
  }
}

/** What deliveries and publishes cost: relay, owners and copies. */
export async function takeMessages(say: Say): Promise<Taken[]> {
  const relayCpu = one(
    'deliver-cpu',
    'Processor time of the relay, 40 publishes a second, more and more listeners',
    'deliveries a \
second',
    'ms a second',
  );
  const p50 = one(
    'deliver-usual',
    'Publish to delivered, half of all, bodies of 100 bytes, flush of 39 ms',
    'deliveries a second',
    'ms',
  );
  const p99 = one('deliver-late', 'The same, 99 in 100', 'deliveries a second', 'ms');
  const publishRelay = one(
    'publish-relay',
    'Processor time of the relay through which all is published, one listener a topic',
    'publishes \
\
a second',
    'ms a second',
  );
  const publishStores = one(
    'publish-stores',
    'Processor time of the three stores together (owner and two copies)',
    'publishes a second',
    'ms a second',
  );
  const publishDisk = one(
    'publish-disk',
    'Bytes the three stores wrote to disk together',
    'publishes a second',
    'KiB/s',
  );
  const { f, relay, close } = await fleet(site(3, 1));
  try {
    const callers: Caller[] = [];
    await some([...Array(400).keys()], 32, async (i) => {
      callers.push(await attach(f, relay, `c${i}`));
    });
    let n = 0;
    /** Publishes at a rate for some seconds over these topics; gives what arrived and how late. */
    const run = async (
      topics: string[],
      perS: number,
      S: number,
    ): Promise<{
      delivered: number;
      accepted: number;
      p50: number;
      p99: number;
      relay: number;
      stores: number;
      disk: number;
    }> => {
      const histogram = buildHistogram({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000,
        numberOfSignificantValueDigits: 3,
      });
      let delivered = 0;
      let accepted = 0;
      let counting = false;
      for (const c of callers)
        c.onFrame = (x) => {
          if (x.t === 'DELIVER' && counting) {
            delivered++;
            histogram.recordValue(Math.max(1, Math.round(realClock.now() - Number(x.body.trimEnd()))));
          }
        };
      const publish = async (): Promise<void> => {
        const i = n++;
        const r = await f.clientTransport.visit(
          relay.config.client,
          'Publish',
          {
            sender: `s${i % topics.length}`,
            topic: topics[i % topics.length],
            seq: i + 1,
            body: String(realClock.now()).padEnd(100),
          },
          20_000,
        );
        if (r?.status === 200 && counting) accepted++;
      };
      const all: Promise<void>[] = [];
      const from = realClock.now();
      const paced = async (until: number): Promise<void> => {
        const t0 = realClock.now();
        for (let i = 0; realClock.now() < until; i++) {
          all.push(publish());
          await sleep(realClock, Math.max(0, t0 + ((i + 1) * 1_000) / perS - realClock.now()));
        }
      };
      await paced(from + 1_500);
      counting = true;
      const c0 = {
        relay: cpuOf(relay),
        stores: f.stores.reduce((a, p) => a + cpuOf(p), 0),
        disk: f.stores.reduce((a, p) => a + written(p), 0),
        at: realClock.now(),
      };
      await paced(realClock.now() + S * 1_000);
      const took = (realClock.now() - c0.at) / 1_000;
      const c1 = {
        relay: cpuOf(relay),
        stores: f.stores.reduce((a, p) => a + cpuOf(p), 0),
        disk: f.stores.reduce((a, p) => a + written(p), 0),
      };
      counting = false;
      await Promise.all(all);
      return {
        delivered: delivered / took,
        accepted: accepted / took,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        relay: (c1.relay - c0.relay) / took,
        stores: (c1.stores - c0.stores) / took,
        disk: (c1.disk - c0.disk) / 1024 / took,
      };
    };
    const warm = ['feed/w0', 'feed/w1', 'feed/w2', 'feed/w3'];
    await some([...callers.keys()], 32, async (i) => {
      await must(f, relay, 'Subscribe', { conn: callers[i]!.conn, topic: warm[i % 4] });
    });
    await run(warm, 40, 8);
    await run(
      Array.from({ length: 400 }, (_, k) => `feed/u${k}`),
      250,
      6,
    );
    for (const listeners of [1, 10, 25, 50, 100]) {
      const topics = Array.from({ length: 400 / listeners }, (_, k) => `feed/l${listeners}-${k}`);
      await some([...callers.keys()], 32, async (i) => {
        await must(f, relay, 'Subscribe', { conn: callers[i]!.conn, topic: topics[i % topics.length] });
      });
      const r = await run(topics, 40, 6);
      relayCpu.points.push({ x: r.delivered, y: r.relay });
      p50.points.push({ x: r.delivered, y: r.p50 });
      p99.points.push({ x: r.delivered, y: r.p99 });
      say(
        `${r.delivered.toFixed(0)} deliveries a second: relay ${r.relay.toFixed(0)} ms/s, p50 ${r.p50} ms, p99 ${r.p99} ms`,
      );
    }
    const topics = Array.from({ length: 400 }, (_, k) => `feed/l1-${k}`);
    for (const perS of [40, 120, 240, 360]) {
      const r = await run(topics, perS, 6);
      publishRelay.points.push({ x: r.accepted, y: r.relay });
      publishStores.points.push({ x: r.accepted, y: r.stores });
      publishDisk.points.push({ x: r.accepted, y: r.disk });
      say(`${r.accepted.toFixed(0)} accepted a second: relay ${r.relay.toFixed(0)} ms/s, stores ${r.stores.toFixed(0)} ms/s, \
${r.disk.toFixed(0)} KiB/s to disk`);
    }
    for (const c of callers) c.close();
    return [
      relayCpu,
      p50,
      p99,
      publishRelay,
      publishStores,
      ...(publishDisk.points.some((p) => p.y > 0) ? [publishDisk] : []),
    ];
  } finally {
    await close();
  }
}

/** One owner's fan-out: the real interest table and transport towards hollow relays that only answer. */
export async function takeFanout(sizes: number[], say: Say): Promise<Taken[]> {
  const single = one('fanout-single', 'Processor time of the owner for one message, one at a time', 'relays', 'ms');
  const burst = one('fanout-burst', 'Processor time of the owner a message, 20 at once', 'relays', 'ms');
  const last = one(
    'fanout-last',
    "From accepted to the last relay's answer, one message at a time, half of all",
    'relays',
    'ms',
  );
  const worst = one('fanout-late', 'The same, 99 in 100', 'relays', 'ms');
  for (const n of sizes) {
    const child = spawn(
      process.execPath,
      [fileURLToPath(new URL('./capacity-hollow.js', import.meta.url)), String(n)],
      { stdio: ['pipe', 'pipe', 'inherit'] },
    );
    try {
      const line = await new Promise<string>((res, rej) => {
        createInterface(child.stdout).once('line', res);
        child.once('exit', (c) =>
          rej(
            new Error(`the \
\
hollow relays ended with ${c}`),
          ),
        );
      });
      const relays = JSON.parse(line) as string[];
      const [port] = await freePorts(1);
      const host = realHost({
        role: 'store',
        domain: 'a',
        peer: `127.0.0.1:${port}`,
        client: '127.0.0.1:1',
        seeds: [],
      });
      host.log = { info: () => undefined, warn: () => undefined };
      let open = 0;
      let quiet: () => void = () => undefined;
      const net: Net = host.net;
      host.net = {
        ...net,
        serve: (h, x) => net.serve(h, x),
        close: () => net.close(),
        call: async (...a) => {
          open++;
          try {
            return await net.call(...a);
          } finally {
            if (--open === 0) quiet();
          }
        },
      };
      const k = new Kernel(host);
      await k.boot([]);
      const board = { liveMembers: () => [], members: new Map(), isLive: () => true } as unknown as MembershipTable;
      const interests = new InterestTable(k, board);
      for (const r of relays)
        interests.receive(
          r,
          'i',
          [{ topic: 'feed/1', rev: 1, expiresAt: realClock.now() + 3_600_000, gen: 'g' }],
          (t) => t,
        );
      let off = 0;
      const fan = async (count: number): Promise<void> => {
        const done = new Promise<void>((r) => {
          quiet = r;
        });
        for (let i = 0; i < count; i++) {
          const e: Entry = {
            idx: ++off,
            fence: '',
            topic: 'feed/1',
            off,
            era: 1,
            sender: 'desk',
            seq: off,
            body: 'x'.repeat(100),
            at: 0,
          };
          interests.fanOut(e);
        }
        await done;
      };
      const cpu = (): number => {
        const c = process.cpuUsage();
        return (c.user + c.system) / 1000;
      };
      for (let i = 0; i < 10; i++) await fan(1);
      const histogram = buildHistogram({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
      });
      const M = 60;
      for (let round = 0; round < 3; round++) {
        let t0 = cpu();
        for (let i = 0; i < M; i++) {
          const at = performance.now();
          await fan(1);
          histogram.recordValue(Math.round((performance.now() - at) * 1_000));
        }
        single.points.push({ x: n, y: (cpu() - t0) / M });
        t0 = cpu();
        for (let i = 0; i < 5; i++) await fan(20);
        burst.points.push({ x: n, y: (cpu() - t0) / 100 });
      }
      if ((k.counters.get('fan.lost') ?? 0) > 0)
        throw new Error(`${n} relays: ${k.counters.get('fan.lost')} frames were lost`);
      last.points.push({ x: n, y: histogram.getValueAtPercentile(50) / 1_000 });
      worst.points.push({ x: n, y: histogram.getValueAtPercentile(99) / 1_000 });
      say(`fan-out to ${n} relays: ${single.points.at(-1)!.y.toFixed(1)} ms of processor a message, ${burst.points.at(-1)!.y.toFixed(1)} \
ms in bursts; the last relay after ${last.points.at(-1)!.y.toFixed(1)} ms, p99 ${worst.points.at(-1)!.y.toFixed(1)} ms`);
      k.stopLoops();
      await net.close();
    } finally {
      child.stdin.end();
      child.kill();
    }
  }
  return [single, burst, last, worst];
}

/** Idle fleets of real processes: what control costs a node, real sockets and disks and all. */
export async function takeIdle(sizes: number[], say: Say): Promise<Taken[]> {
  const relayCpu = one('idle-relay-cpu', 'Processor time of an idle relay', 'processes', 'ms a second');
  const storeCpu = one(
    'idle-store-cpu',
    'Processor time of an idle store (a seat in fleets this small)',
    'processes',
    'ms a second',
  );
  const relayMemory = one('idle-relay-memory', 'Memory of an idle relay', 'processes', 'MiB');
  for (const n of sizes) {
    const stores = Math.max(3, Math.round(n / 5));
    const { f, close } = await fleet(site(stores, n - stores));
    try {
      // The stand-in of the callers' platform asks no more: what it costs is no control.
      (f as unknown as { polling: boolean }).polling = false;
      await sleep(realClock, 8_000);
      for (let again = 0; again < 2; again++) {
        const S = 8;
        const t0 = new Map(f.procs.map((p) => [p, cpuOf(p)]));
        const at = realClock.now();
        await sleep(realClock, S * 1_000);
        const took = (realClock.now() - at) / 1_000;
        const mean = (ps: NodeProcess[]): number => ps.reduce((a, p) => a + (cpuOf(p) - t0.get(p)!), 0) / ps.length / took;
        relayCpu.points.push({ x: n, y: mean(f.relays) });
        storeCpu.points.push({ x: n, y: mean(f.stores) });
      }
      relayMemory.points.push({ x: n, y: f.relays.reduce((a, p) => a + residentMiB(p), 0) / f.relays.length });
      say(`${n} real processes: an idle relay ${relayCpu.points.at(-1)!.y.toFixed(1)} ms/s and ${relayMemory.points.at(-1)!.y.toFixed(0)} \
\
MiB, an idle store ${storeCpu.points.at(-1)!.y.toFixed(1)} ms/s`);
    } finally {
      await close();
    }
  }
  return [relayCpu, storeCpu, relayMemory];
}

/** What confirmations cost a seat: a real store, asked over forty connections as forty nodes would. */
export async function takeSeat(rates: number[], say: Say): Promise<Taken[]> {
  const cpu = one('seat-cpu', 'Processor time of a seat', 'confirmations a second', 'ms a second');
  const { f, close } = await fleet(site(3, 1));
  const kernels: Kernel[] = [];
  try {
    const seat = f.stores[0]!;
    const ports = await freePorts(40);
    for (const port of ports) {
      const host = realHost({
        role: 'relay',
        domain: 'a',
        peer: `127.0.0.1:${port}`,
        client: '127.0.0.1:1',
        seeds: [],
      });
      host.log = { info: () => undefined, warn: () => undefined };
      const k = new Kernel(host);
      await k.boot([]);
      kernels.push(k);
    }
    const { disk } = await kernels[0]!.call<{ disk: string }>(seat.config.peer, 'RegWho', {});
    await some([...Array(6_000).keys()], 40, async (i) => {
      await kernels[i % 40]!.call(seat.config.peer, 'RegRead', { disk }).catch(() => undefined);
    });
    for (const perS of [0, ...rates]) {
      let n = 0;
      let running = true;
      const asks = kernels.map(async (k, i) => {
        if (!perS) return;
        const every = (kernels.length * 1_000) / perS;
        await sleep(realClock, (every * i) / kernels.length);
        const t0 = realClock.now();
        for (let j = 1; running; j++) {
          // A late answer is no answer to a node either; it is not counted as work done.
          if (
            await k.call(seat.config.peer, 'RegRead', { disk }).then(
              () => true,
              () => false,
            )
          )
            n++;
          await sleep(realClock, Math.max(0, t0 + j * every - realClock.now()));
        }
      });
      await sleep(realClock, 1_500);
      const at = realClock.now();
      const c0 = cpuOf(seat);
      const n0 = n;
      await sleep(realClock, 6_000);
      const took = (realClock.now() - at) / 1_000;
      cpu.points.push({ x: (n - n0) / took, y: (cpuOf(seat) - c0) / took });
      running = false;
      await Promise.all(asks);
      say(
        `${cpu.points.at(-1)!.x.toFixed(0)} confirmations a second: the seat ${cpu.points.at(-1)!.y.toFixed(0)} ms/s`,
      );
    }
    return [cpu];
  } finally {
    for (const k of kernels) {
      k.stopLoops();
      await k.host.net.close();
    }
    await close();
  }
}
