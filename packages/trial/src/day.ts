import { mkdtempSync, writeFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { consola } from 'consola';
import { sleep, realClock } from '@harecross/kernel';
import yargs from 'yargs';
import type { Json } from './json.js';
import { audit, Consumer, type ClientContext } from './simulated-clients.js';
import { Fleet, type NodeProcess } from './process-fleet.js';
import { Journal } from './journal.js';
import type { LinkProxy } from './link-proxy.js';
import { checkJournal, recoveryTimes, SETTLE_MS, TIMING_INDEPENDENT_RULES } from './oracle.js';
import { fleetConfigOf, createClients, DUNARE, SINE_SALOUM, SMALL, type DeploymentSpec } from './scenario.js';
import { seededRandom } from './sim.js';

const SITES = new Map<string, DeploymentSpec>([SINE_SALOUM, DUNARE, SMALL].map((s) => [s.name, s]));
const FAULTS = [
  'kill-relay',
  'kill-store',
  'freeze',
  'slow',
  'links',
  'reset',
  'crowd',
  'operators',
  'late-change',
  'settings',
  'rolling',
  'remove',
  'wipe',
  'power',
  'join',
  'join-relay',
  'empty',
  'closing',
] as const;
type Fault = (typeof FAULTS)[number];

const a = yargs(process.argv.slice(2))
  .scriptName('day')
  .usage('$0 [flags]\n\nRuns a site at full size as real processes on loopback, with faults, and judges the day.')
  .option('site', { choices: [...SITES.keys()], default: SINE_SALOUM.name })
  .option('faults', { type: 'string', default: FAULTS.join(','), describe: 'which, in order; or none' })
  .option('calm-s', { type: 'number', default: 4, describe: 'seconds of plain traffic before each fault' })
  .option('seed', { type: 'number', default: 1 })
  .option('timed', {
    type: 'boolean',
    default: true,
    describe: 'judge how long things take; not where the machine has other work',
  })
  .option('keep', { type: 'boolean', default: false, describe: 'keep the folder with logs and journal' })
  .strict()
  .parseSync();
const site = SITES.get(a.site)!;
const faults = (a.faults === 'none' ? [] : a.faults.split(',')) as Fault[];
for (const f of faults)
  if (!FAULTS.includes(f)) {
    process.stderr.write(`no fault ${f}; there are: ${FAULTS.join(', ')}\n`);
    process.exit(2);
  }

const folder = mkdtempSync(join(tmpdir(), 'harecross-day-'));
const fleet = await Fleet.create(site, folder);
await fleet.startProxies();
const t0 = realClock.now();
const clock = {
  now: () => realClock.now() - t0,
  wall: () => realClock.wall(),
  after: (ms: number, fn: () => void) => realClock.after(ms, fn),
};
const journal = new Journal(() => clock.now());
const random = seededRandom(a.seed);
const world: ClientContext = { clock, random, clientTransport: fleet.clientTransport, journal };
const cr = createClients(world, site);
const pause = (ms: number): Promise<void> => sleep(realClock, ms);
const any = <T>(xs: T[]): T => xs[Math.floor(random.next() * xs.length)]!;
const say = (s: string): void => {
  consola.info(`${(clock.now() / 1000).toFixed(1)} s: ${s}`);
};
const left: number[] = [];
const failed: string[] = [];
const stopped = async (p: NodeProcess): Promise<void> => {
  const ms = await fleet.stop(p);
  if (ms === undefined) say(`${p.name} did not leave within 6 s and was killed`);
  left.push(ms ?? Infinity);
};

say(`${site.name}: ${fleet.procs.length} processes in ${folder}`);
fleet.startAll();
await pause(Math.max(0, 6_000 - clock.now()));
const first = cr.operator.submit('first', fleetConfigOf(site), true);
await pause(Math.max(0, 12_000 - clock.now()));
say(`configuration: ${(await first).out}; ${fleet.clientTransport.nodes().length} of ${site.relays} relays take conns`);
for (const c of cr.consumers) c.start();
for (const s of cr.senders) s.start();
let on = true;
// What the stage did to the fleet, for the judge: told when it changes.
let rough = false;
let poor: string[] = [];
let told = '';
const tell = (): void => {
  const here = fleet.procs.filter((p) => p.up && !p.stopped && !p.leaving);
  const disks = fleet.procs.filter((p) => p.config.data);
  const most = here.filter((p) => p.config.data).length * 2 > disks.length;
  const well = most ? here.map((p) => p.config.client).sort() : [];
  const w = {
    well,
    ailing: fleet.procs.filter((p) => p.up && p.stopped).map((p) => p.config.client),
    able: disks.length - here.filter((p) => p.config.data).length < 3,
    rough,
    poor,
  };
  if (JSON.stringify(w) === told) return;
  told = JSON.stringify(w);
  journal.add({ k: 'weather', ...w });
};
for (const p of fleet.procs) journal.add({ k: 'node', node: p.config.client, domain: p.config.domain, role: p.role });
void (async () => {
  while (on) {
    tell();
    await pause(50);
  }
})();
void (async () => {
  while (on) {
    await pause(500);
    void cr.operator.look(fleet.procs.filter((p) => p.up).map((p) => p.config.client));
  }
})();
void (async () => {
  while (on) {
    await pause(400);
    void cr.operator.count(any(cr.topics));
  }
})();
// Callers drop off often, by themselves.
void (async () => {
  while (on) {
    await pause(500);
    const c = any(cr.consumers);
    if (random.next() < 0.4) c.disconnect();
    else if (random.next() < 0.3) {
      c.domain = any(site.domains);
      c.disconnect('moved');
    } else void c.disconnectFor(500 + 15_000 * random.next());
  }
})();

const run: Record<Fault, () => Promise<void>> = {
  'kill-relay': async () => {
    const p = any(fleet.relays);
    say(`kill -9 ${p.name}`);
    await fleet.kill(p);
    await pause(3_000);
    fleet.start(p);
  },
  'kill-store': async () => {
    const p = any(fleet.stores);
    say(`kill -9 ${p.name}`);
    await fleet.kill(p);
    await pause(4_000);
    fleet.start(p);
  },
  freeze: async () => {
    const p = any(fleet.procs);
    say(`freeze ${p.name}`);
    fleet.signal(p, 'SIGSTOP');
    await pause(5_000);
    fleet.signal(p, 'SIGCONT');
  },
  slow: async () => {
    const p = any(fleet.procs);
    say(`${p.name} is slow: it runs a third of the time`);
    rough = true;
    for (let i = 0; i < 60 && p.up; i++) {
      fleet.signal(p, 'SIGSTOP');
      p.stopped = false;
      await pause(70);
      fleet.signal(p, 'SIGCONT');
      await pause(35);
    }
    rough = false;
  },
  links: async () => {
    const links = [...fleet.proxies.values()];
    const all = (f: (l: LinkProxy) => number): number => links.reduce((n, l) => n + f(l), 0);
    poor = cr.consumers.map((c) => c.name);
    tell();
    say(`${all((l) => l.limitRate(0.1, random, 4_000))} connections are thin`);
    await pause(3_000);
    say(`${all((l) => l.stall(0.2, random, 2_500))} stall`);
    await pause(3_000);
    say(`${all((l) => l.halfOpen(0.15, random))} die half-open`);
    await pause(6_000);
    for (let i = 0; i < 20; i++) {
      any(links).reset(0.05, random);
      await pause(100);
    }
    say(`${all((l) => l.reset(0.97, random))} are reset at once`);
    await pause(6_000);
    all((l) => l.limitRate(1, random, undefined));
    await pause(4_000);
    poor = [];
  },
  crowd: async () => {
    const more = Array.from(
      { length: site.consumers },
      (_, i) =>
        new Consumer(world, `crowd${i}`, any(site.domains), [cr.topics[i % cr.topics.length]!], { jitterMs: 50 }),
    );
    say(`a crowd of ${more.length} arrives at once`);
    for (const c of more) c.start();
    await pause(8_000);
    for (const c of more) c.stop();
    await pause(1_000);
  },
  'late-change': async () => {
    const v = await cr.operator.read();
    const again = await cr.operator.submit('first', fleetConfigOf(site), true);
    say(`the first change of the day is sent again: ${again.out} ${again.version}, in force ${v}`);
    if ((await cr.operator.read()) !== v) failed.push('an old change sent again changed what is in force');
  },
  power: async () => {
    say('all power fails');
    await Promise.all(fleet.procs.filter((p) => p.up).map((p) => fleet.kill(p)));
    await pause(1_500);
    fleet.startAll();
    await pause(12_000);
  },
  'join-relay': async () => {
    const p = await fleet.add('relay', any(site.domains));
    journal.add({ k: 'node', node: p.config.client, domain: p.config.domain, role: p.role });
    say(`${p.name} joins in ${p.config.domain}`);
    fleet.start(p);
    for (let i = 0; i < 60 && !fleet.clientTransport.nodes().includes(p.config.client); i++) await pause(250);
    if (!fleet.clientTransport.nodes().includes(p.config.client)) failed.push(`${p.name} never took conns`);
    await pause(2_000);
  },
  reset: async () => {
    say(`reset ${fleet.resetStreams(0.97)} conns`);
    await pause(4_000);
  },
  operators: async () => {
    const extra = (n: string) =>
      fleetConfigOf(site, [{ name: n, topics: [`${n}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 }]);
    for (let i = 0; i < 3; i++) {
      const v = await cr.operator.read();
      const r = await Promise.all([
        cr.operator.submit(`a${i}`, extra(`a${i}`), true, v),
        cr.operator.submit(`b${i}`, extra(`b${i}`), true, v),
        cr.operator.submit(`c${i}`, { families: 5 }, false),
      ]);
      say(`two operators at once: ${r.map((x) => x.out).join(', ')}`);
      await pause(500);
    }
    await cr.operator.submit('a0', extra('a0'), true);
    await cr.operator.submit(`whole-${clock.now()}`, fleetConfigOf(site), true);
  },
  settings: async () => {
    const p = any(fleet.relays);
    say(`config file of ${p.name}: rewritten silently, then broken with a signal, then mended`);
    fleet.writeConfig(p);
    await pause(1_500);
    writeFileSync(p.file, '{ "domain": ');
    fleet.signal(p, 'SIGHUP');
    await pause(1_500);
    fleet.writeConfig(p);
    fleet.signal(p, 'SIGHUP');
    await pause(500);
    // A machine moves to another domain, by a silent change and back by a signal: the others must see it at work.
    const was = p.config.domain;
    const seen = async (d: string): Promise<void> => {
      for (let i = 0; i < 40; i++) {
        const f = (await cr.operator.ask('Fleet', {})).body;
        if (f.members.some((m: Json) => m.peer === p.config.peer && m.domain === d)) {
          say(`${p.name} is in ${d}`);
          return;
        }
        await pause(250);
      }
      failed.push(`${p.name} was never seen in ${d}`);
    };
    p.config.domain = site.domains.find((d) => d !== was)!;
    fleet.writeConfig(p);
    await seen(p.config.domain);
    p.config.domain = was;
    fleet.writeConfig(p);
    fleet.signal(p, 'SIGHUP');
    await seen(was);
  },
  rolling: async () => {
    for (const p of fleet.stores) {
      say(`stop ${p.name}`);
      await stopped(p);
      await pause(1_500);
      fleet.start(p);
      await pause(4_000);
    }
    for (const p of fleet.relays) {
      say(`stop ${p.name}`);
      await stopped(p);
      fleet.start(p);
      await pause(2_000);
    }
  },
  remove: async () => {
    const all = fleetConfigOf(site);
    say('a family is removed, and comes back');
    await cr.operator.submit('remove', { families: all.families.slice(0, 1) }, true);
    await pause(8_000);
    await cr.operator.submit('again', all, true);
    await pause(3_000);
  },
  wipe: async () => {
    const p = any(fleet.stores);
    say(`disk of ${p.name} dies; it comes back empty`);
    await fleet.kill(p);
    rmSync(p.config.data!, { recursive: true, force: true });
    await pause(3_000);
    fleet.start(p);
    await pause(6_000);
  },
  join: async () => {
    const p = await fleet.add('store', any(site.domains));
    say(`${p.name} joins in ${p.config.domain}`);
    fleet.start(p);
    for (let i = 0; i < 60; i++) {
      await pause(500);
      const r = await cr.operator.ask('Fleet', {});
      const d = r.body.disks.find((x: Json) => x.peer === p.config.peer);
      if (d?.copies) {
        say(`${p.name} has ${d.copies} copies`);
        return;
      }
    }
    failed.push(`${p.name} never got a copy`);
  },
  empty: async () => {
    const f = (await cr.operator.ask('Fleet', {})).body;
    const p = any(
      fleet.stores
        .filter((x) => !x.config.seeds.includes(x.config.peer))
        .concat(fleet.relays.filter((x) => x.config.data)),
    );
    const d = f.disks.find((x: Json) => x.peer === p.config.peer && x.state === 'active');
    const r = await cr.operator.ask('EmptyDisk', { disk: d?.id ?? 'none' });
    say(`empty the disk of ${p.name}: ${r.status === 200 ? `${r.body.copies} copies` : JSON.stringify(r.body.error)}`);
    if (r.status !== 200) {
      failed.push('the emptying was refused');
      return;
    }
    for (let i = 0; i < 120; i++) {
      await pause(500);
      const st = (await cr.operator.ask('EmptyStatus', { disk: d.id })).body;
      if (st.state === 'emptied') {
        say(`${p.name} is emptied`);
        await fleet.kill(p);
        rmSync(p.config.data!, { recursive: true, force: true });
        await pause(2_000);
        fleet.start(p);
        return;
      }
    }
    failed.push(`${p.name} was never emptied`);
  },
  closing: async () => {
    say('closing fault: a third of the relays and one store die');
    const victims = [...fleet.relays.filter((_, i) => i % 3 === 0), any(fleet.stores)];
    await Promise.all(victims.map((p) => fleet.kill(p)));
    journal.add({ k: 'closing' });
    await pause(17_000);
    for (const p of victims) fleet.start(p);
    await pause(3_000);
  },
};
for (const f of faults) {
  await pause(a.calmS * 1000);
  await run[f]();
}
await pause(a.calmS * 1000);
for (const s of cr.senders) s.stop();
await pause(2_000);
const { config } = (await cr.operator.ask('ReadConfig', {})).body;
say(`an auditor reads back ${await audit(world, 'audit', config, 40_000)} topics`);
const victim = any(fleet.procs.filter((p) => p.up && p.config.data));
say(`after the day ${victim.name} dies`);
await fleet.kill(victim);
await pause(5_000);
say(`a second auditor reads back ${await audit(world, 'second audit', config, 40_000)} topics`);
on = false;
await pause(SETTLE_MS + 6_000);
await cr.operator.read(true);
journal.add({ k: 'end' });

const bad = checkJournal(journal.seen, { observationDelayMs: 1_500, timed: a.timed, configInForceMs: 3_000 }).filter(
  (v) => a.timed || TIMING_INDEPENDENT_RULES.includes(v.rule),
);
const back = recoveryTimes(journal.seen);
if (back)
  say(
    `after the closing fault a quarter and nine tenths were back after ${back.accepted.quarterMs}/${back.accepted.mostMs} ms accepted, ${back.delivered.quarterMs}/${back.delivered.mostMs} ms delivered`,
  );
const n = (k: string): number => journal.seen.filter((s) => s.k === k).length;
const outs = new Map<string, number>();
const tried = new Map<number, number>();
const lat: number[] = [];
const way: number[] = [];
const firstTry = new Map<string, number>();
for (const s of journal.seen) {
  if (s.k === 'pub.try') {
    tried.set(s.try, s.t);
    const id = `${s.topic} ${s.sender} ${s.seq}`;
    if (!firstTry.has(id)) firstTry.set(id, s.t);
  }
  if (s.k === 'pub.answer') {
    const o = s.out === 'accepted' ? s.out : `${s.out}:${s.tag}`;
    outs.set(o, (outs.get(o) ?? 0) + 1);
    if (s.out === 'accepted') lat.push(s.t - tried.get(s.try)!);
  }
  if (s.k === 'deliver') {
    const t = firstTry.get(`${s.topic} ${s.sender} ${s.seq}`);
    if (t !== undefined) way.push(s.t - t);
  }
}
const q = (xs: number[]): string => {
  const s = [...xs].sort((x, y) => x - y);
  return [0.5, 0.9, 0.99, 1]
    .map((p) => `p${p * 100}=${Math.round(s[Math.min(s.length - 1, Math.floor(p * s.length))] ?? NaN)}`)
    .join(' ');
};
consola.info(`publishes: ${n('pub.try')} tries; ${[...outs].map(([k, v]) => `${k} ${v}`).join(', ')}`);
consola.info(
  `delivered ${n('deliver')}, conns ${n('conn.open')}, counts ${n('count')} (${journal.seen.filter((s) => s.k === 'count' && s.partial).length} partial), node looks ${n('node.says')}`,
);
consola.info(`accept ms ${q(lat)}; first try to delivery ms ${q(way)} (this machine, for shape only)`);
if (left.length) consola.info(`SIGTERM to exit ms: ${left.map((x) => Math.round(x)).join(' ')}`);
consola.info(
  `exits not 0: ${
    fleet.procs
      .filter((p) => p.exits.some((e) => e > 0))
      .map((p) => `${p.name} ${p.exits.join(',')}`)
      .join('; ') || 'none'
  }`,
);
await fleet.close();
writeFileSync(join(folder, 'journal.json'), journal.seen.map((s) => JSON.stringify(s)).join('\n'));
for (const v of bad.slice(0, 20)) consola.error(`${v.rule} at ${v.t}: ${v.what}`);
for (const f of failed) {
  consola.error(f);
}
const wrong = bad.length + failed.length;
consola.info(wrong ? `VERDICT: ${wrong} violations (folder ${folder})` : 'VERDICT: clean');
if (!a.keep && !wrong) rmSync(folder, { recursive: true, force: true });
process.exit(wrong ? 1 : 0);
