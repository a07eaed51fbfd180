import { deserializeValue, serializeValue } from '@harecross/control';
import { configFaults, familyOf, type FleetConfig } from '@harecross/schema';
import yargs from 'yargs';
import { createMachines, fleetConfigOf, SMALL, type DeploymentSpec } from './scenario.js';
import { Sim } from './sim.js';

const a = yargs(process.argv.slice(2))
  .scriptName('scale')
  .usage(
    '$0 [flags]\n\nMeasures the control plane at several sizes, in the simulator: virtual time, the same result every time.',
  )
  .option('sizes', { type: 'string', default: '15,60,200' })
  .option('seed', { type: 'number', default: 1 })
  .option('methods', { type: 'boolean', default: false, describe: 'visits per node and second, by method' })
  .option('families', {
    type: 'string',
    describe: 'instead, what a configuration of so many families costs a fleet of 15; comma between',
  })
  .strict()
  .parseSync();

/** A configuration with the operators' own words for it, about as long. */
function large(n: number): { config: FleetConfig; document: unknown } {
  const of = [...Array(n).keys()];
  return {
    config: {
      families: of.map((i) => ({
        name: `r-${i}`,
        topics: [`kafi${i}.*`],
        precedence: i % 2,
        patienceMs: 1_500,
        aimMs: 150,
        memoryS: 35,
        order: 'sender',
      })),
    },
    document: {
      routes: of.map((i) => ({
        name: `r-${i}`,
        prefix: `kafi${i}.`,
        kind: 'kept',
        expires: 1_500,
        target: 150,
        precedence: i % 2,
        seconds: 35,
        order: 'sender',
      })),
    },
  };
}

/** The mean time of some work on this machine, in ms; the first runs are left out. */
function took(f: () => unknown): number {
  for (let i = 0; i < 5; i++) f();
  const t0 = performance.now();
  for (let i = 0; i < 20; i++) f();
  return (performance.now() - t0) / 20;
}

async function families(n: number): Promise<void> {
  const sim = new Sim(a.seed);
  await createMachines(sim, { ...SMALL, domains: ['a', 'b', 'c'], stores: 4, relays: 11, relayDisks: 4, consumers: 0 });
  await sim.run(15_000);
  const ups = [...sim.nodes.values()];
  const { config, document } = large(n);
  const told: number[] = [],
    all: number[] = [],
    kib: number[] = [],
    processorMs: number[] = [];
  for (let i = 1; i <= 5; i++) {
    sim.requestTraffic.clear();
    sim.responseBytes.clear();
    sim.measureTraffic = true;
    const from = sim.now;
    const processor = process.cpuUsage();
    let answered = 0,
      everywhere = 0;
    const at = ups[Math.floor(sim.random.next() * ups.length)]!;
    void sim.clientTransport.visit(at.config.client, 'SubmitConfig', { revision: i, config, document }, 10_000).then(() => {
      answered = sim.now;
    });
    while (!answered || !everywhere) {
      await sim.run(sim.now + 5);
      if (!everywhere && ups.every((x) => (x.kernel!.use('register').value?.revision ?? 0) >= i)) everywhere = sim.now;
      if (sim.now - from > 30_000) throw new Error('never in force');
    }
    const { user, system } = process.cpuUsage(processor);
    processorMs.push((user + system) / 1_000);
    sim.measureTraffic = false;
    told.push(answered - from);
    all.push(everywhere - from);
    const bytes = [...[...sim.requestTraffic].map(([m, t]): [string, number] => [m, t.bytes]), ...sim.responseBytes];
    kib.push(bytes.filter(([m]) => m.startsWith('Reg')).reduce((x, [, b]) => x + b, 0) / 1024);
    await sim.run(sim.now + 1_000);
  }
  const v = ups[0]!.kernel!.use('register').value!;
  const text = serializeValue(v);
  const ms = (xs: number[]): string => `${Math.round(Math.min(...xs))} to ${Math.round(Math.max(...xs))} ms`;
  process.stdout.write(
    `${n} families: value as text ${(text.length / 1024).toFixed(1)} KiB; a change answered after ${ms(told)}, at all 15 nodes after ${ms(all)}, ` +
      `${Math.round(Math.min(...kib))} KiB sent for it, processor time of all together ${ms(processorMs)}; to text ${took(() => serializeValue({ ...v })).toFixed(2)} ms, from text ${took(() => deserializeValue(text)).toFixed(2)} ms, ` +
      `checked in ${took(() => configFaults(config)).toFixed(2)} ms, laid out in ${took(() => familyOf(structuredClone(v.config), 'kafi7.1')).toFixed(2)} ms, ` +
      `a topic's family in ${(
        took(() => {
          for (let i = 0; i < 10_000; i++) familyOf(v.config, 'kafi7.1');
        }) / 10
      ).toFixed(3)} us\n`,
  );
  sim.close();
}

if (a.families) {
  for (const n of a.families.split(',').map(Number)) await families(n);
  process.exit(0);
}

for (const size of a.sizes.split(',').map(Number)) {
  const stores = Math.max(3, Math.round(size / 5));
  const site: DeploymentSpec = {
    ...SMALL,
    domains: ['a', 'b', 'c', 'd', 'e'],
    stores,
    relays: size - stores,
    relayDisks: Math.round(size / 15),
    consumers: 0,
  };
  const sim = new Sim(a.seed);
  const m = await createMachines(sim, site);
  await sim.run(15_000);
  const register = (n: (typeof m.stores)[number]) => n.kernel!.use('register');
  const ups = [...sim.nodes.values()];
  const owners = (): Map<number, string> =>
    new Map(
      m.disks
        .filter((d) => d.up && !d.frozen)
        .flatMap((d) =>
          d
            .kernel!.use('owner')
            .ownedShards()
            .map((k) => [k.shard, d.name] as [number, string]),
        ),
    );

  // Quiet traffic over ten seconds.
  sim.measureTraffic = true;
  await sim.run(25_000);
  sim.measureTraffic = false;
  const total = [...sim.requestTraffic.values()].reduce((x, t) => ({ n: x.n + t.n, bytes: x.bytes + t.bytes }), {
    n: 0,
    bytes: 0,
  });

  // A configuration: from its answer until the last node has it in force.
  const spread: number[] = [];
  for (let i = 0; i < 5; i++) {
    const at = ups[Math.floor(sim.random.next() * ups.length)]!;
    let told = 0;
    void sim.clientTransport
      .visit(at.config.client, 'SubmitConfig', { changeId: `s${i}`, config: fleetConfigOf(site) }, 10_000)
      .then(() => {
        told = sim.now;
      });
    const version = i + 1;
    let all = 0;
    while (!told || !all) {
      await sim.run(sim.now + 10);
      if (!all && ups.every((n) => (register(n).value?.version ?? 0) >= version)) all = sim.now;
      if (sim.now > 120_000) throw new Error('never in force');
    }
    spread.push(Math.max(0, all - told));
    await sim.run(sim.now + 1_000);
  }

  // A frozen machine (nobody refuses a connection): until the first and the last node suspect it, and its keys are
  // served again.
  await sim.run(sim.now + 3_000);
  const before = owners();
  const victim =
    m.stores.find((s) => [...before.values()].includes(s.name) && !s.config.seeds.includes(s.config.peer)) ??
    m.stores[0]!;
  const lost = [...before].filter(([, o]) => o === victim.name).map(([s]) => s);
  const t0 = sim.now;
  sim.freeze(victim);
  let first = 0,
    last = 0,
    served = 0;
  while (!last || !served) {
    await sim.run(sim.now + 20);
    const sus = ups.filter(
      (n) => n !== victim && n.kernel!.use('membership').members.get(victim.config.peer)?.state !== 'live',
    ).length;
    if (sus && !first) first = sim.now - t0;
    if (sus === ups.length - 1 && !last) last = sim.now - t0;
    const o = owners();
    if (!served && lost.every((s) => o.get(s) !== undefined && o.get(s) !== victim.name)) served = sim.now - t0;
    if (sim.now - t0 > 60_000) break;
  }
  const after = owners();
  const movedElse = [...before].filter(([s, o]) => o !== victim.name && after.get(s) !== o).length;
  process.stdout.write(
    `${size} nodes (${m.disks.length} disks): ${(total.n / size / 10).toFixed(1)} peer visits and ${(total.bytes / size / 10 / 1024).toFixed(1)} KiB per node and s; configuration everywhere ${spread.map((x) => Math.round(x)).join('/')} ms after its answer; frozen machine suspected by the first after ${Math.round(first)} ms, by all after ${Math.round(last)} ms; its ${lost.length} keys served after ${Math.round(served)} ms; ${movedElse} other keys moved\n`,
  );
  if (a.methods)
    for (const [k, t] of [...sim.requestTraffic].sort((x, y) => y[1].bytes - x[1].bytes))
      process.stdout.write(
        `   ${k}: ${(t.n / size / 10).toFixed(2)} visits, ${(t.bytes / size / 10 / 1024).toFixed(2)} KiB per node and s\n`,
      );
  sim.close();
}
