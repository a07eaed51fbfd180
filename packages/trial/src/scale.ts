import { deserializeValue, serializeValue } from '@harecross/control';
import { configFaults, familyOf, type FleetConfig } from '@harecross/schema';
import yargs from 'yargs';
import { createMachines, fleetConfigOf, SMALL, type DeploymentSpec } from './scenario.js';
import { Sim } from './sim.js';

const options = yargs(process.argv.slice(2))
  .scriptName('scale')
  .usage(
    '$0 [flags]\n\nMeasures the control plane at several fleet sizes in the simulator. Results in virtual time are the same in every run.',
  )
  .option('sizes', { type: 'string', default: '15,60,200' })
  .option('seed', { type: 'number', default: 1 })
  .option('methods', { type: 'boolean', default: false, describe: 'also print requests per node and second by method' })
  .option('families', {
    type: 'string',
    describe:
      'instead, measure the cost of configurations with these numbers of families in a fleet of 15; comma-separated',
  })
  .strict()
  .parseSync();

/** A configuration of that many families, and an operator's document of about the same length. */
function largeConfig(familyCount: number): { config: FleetConfig; document: unknown } {
  const indexes = [...Array(familyCount).keys()];
  return {
    config: {
      families: indexes.map((i) => ({
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
      routes: indexes.map((i) => ({
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

/** Mean time of 20 calls on this machine, in ms, after 5 calls that are not measured. */
function meanMs(f: () => unknown): number {
  for (let i = 0; i < 5; i++) f();
  const startedAt = performance.now();
  for (let i = 0; i < 20; i++) f();
  return (performance.now() - startedAt) / 20;
}

/** Prints the cost of a configuration change with that many families in a fleet of 15 nodes. */
async function measureFamilies(familyCount: number): Promise<void> {
  const sim = new Sim(options.seed);
  await createMachines(sim, { ...SMALL, domains: ['a', 'b', 'c'], stores: 4, relays: 11, relayDisks: 4, consumers: 0 });
  await sim.run(15_000);
  const nodes = [...sim.nodes.values()];
  const { config, document } = largeConfig(familyCount);
  const answeredMs: number[] = [],
    everywhereMs: number[] = [],
    kib: number[] = [],
    cpuMs: number[] = [];
  for (let i = 1; i <= 5; i++) {
    sim.requestTraffic.clear();
    sim.responseBytes.clear();
    sim.measureTraffic = true;
    const startedAt = sim.now;
    const cpuBefore = process.cpuUsage();
    let answered = 0,
      everywhere = 0;
    const receiver = nodes[Math.floor(sim.random.next() * nodes.length)]!;
    void sim.clientTransport
      .visit(receiver.config.client, 'SubmitConfig', { revision: i, config, document }, 10_000)
      .then(() => {
        answered = sim.now;
      });
    while (!answered || !everywhere) {
      await sim.run(sim.now + 5);
      if (!everywhere && nodes.every((node) => (node.kernel!.use('register').value?.revision ?? 0) >= i))
        everywhere = sim.now;
      if (sim.now - startedAt > 30_000) throw new Error('the configuration was not in force on all nodes within 30 s');
    }
    const { user, system } = process.cpuUsage(cpuBefore);
    cpuMs.push((user + system) / 1_000);
    sim.measureTraffic = false;
    answeredMs.push(answered - startedAt);
    everywhereMs.push(everywhere - startedAt);
    const bytes = [
      ...[...sim.requestTraffic].map(([method, t]): [string, number] => [method, t.bytes]),
      ...sim.responseBytes,
    ];
    kib.push(bytes.filter(([method]) => method.startsWith('Reg')).reduce((x, [, b]) => x + b, 0) / 1024);
    await sim.run(sim.now + 1_000);
  }
  const value = nodes[0]!.kernel!.use('register').value!;
  const text = serializeValue(value);
  const rangeMs = (xs: number[]): string => `${Math.round(Math.min(...xs))} to ${Math.round(Math.max(...xs))} ms`;
  process.stdout.write(
    `${familyCount} families: value as text ${(text.length / 1024).toFixed(1)} KiB; a change answered after ${rangeMs(answeredMs)}, in force at all 15 nodes after ${rangeMs(everywhereMs)}, ` +
      `${Math.round(Math.min(...kib))} KiB sent for it, CPU time of all nodes together ${rangeMs(cpuMs)}; serialized in ${meanMs(() => serializeValue({ ...value })).toFixed(2)} ms, deserialized in ${meanMs(() => deserializeValue(text)).toFixed(2)} ms, ` +
      `validated in ${meanMs(() => configFaults(config)).toFixed(2)} ms, copied and indexed in ${meanMs(() => familyOf(structuredClone(value.config), 'kafi7.1')).toFixed(2)} ms, ` +
      `family of a topic looked up in ${(
        meanMs(() => {
          for (let i = 0; i < 10_000; i++) familyOf(value.config, 'kafi7.1');
        }) / 10
      ).toFixed(3)} us\n`,
  );
  sim.close();
}

if (options.families) {
  for (const n of options.families.split(',').map(Number)) await measureFamilies(n);
  process.exit(0);
}

for (const size of options.sizes.split(',').map(Number)) {
  const stores = Math.max(3, Math.round(size / 5));
  const site: DeploymentSpec = {
    ...SMALL,
    domains: ['a', 'b', 'c', 'd', 'e'],
    stores,
    relays: size - stores,
    relayDisks: Math.round(size / 15),
    consumers: 0,
  };
  const sim = new Sim(options.seed);
  const machines = await createMachines(sim, site);
  await sim.run(15_000);
  const register = (n: (typeof machines.stores)[number]) => n.kernel!.use('register');
  const nodes = [...sim.nodes.values()];
  const owners = (): Map<number, string> =>
    new Map(
      machines.disks
        .filter((d) => d.up && !d.frozen)
        .flatMap((d) =>
          d
            .kernel!.use('owner')
            .ownedShards()
            .map((k) => [k.shard, d.name] as [number, string]),
        ),
    );

  // Traffic of the idle fleet over 10 s.
  sim.measureTraffic = true;
  await sim.run(25_000);
  sim.measureTraffic = false;
  const total = [...sim.requestTraffic.values()].reduce((x, t) => ({ n: x.n + t.n, bytes: x.bytes + t.bytes }), {
    n: 0,
    bytes: 0,
  });

  // Configuration changes: time from the answer until the last node has the change in force.
  const spreadMs: number[] = [];
  for (let i = 0; i < 5; i++) {
    const receiver = nodes[Math.floor(sim.random.next() * nodes.length)]!;
    let answered = 0;
    void sim.clientTransport
      .visit(receiver.config.client, 'SubmitConfig', { changeId: `s${i}`, config: fleetConfigOf(site) }, 10_000)
      .then(() => {
        answered = sim.now;
      });
    const version = i + 1;
    let everywhere = 0;
    while (!answered || !everywhere) {
      await sim.run(sim.now + 10);
      if (!everywhere && nodes.every((n) => (register(n).value?.version ?? 0) >= version)) everywhere = sim.now;
      if (sim.now > 120_000)
        throw new Error('the configuration was not in force on all nodes by 120 s of virtual time');
    }
    spreadMs.push(Math.max(0, everywhere - answered));
    await sim.run(sim.now + 1_000);
  }

  // A frozen machine, to which connections are not refused: time until the first and the last node suspect it, and until other nodes own its
  // shards.
  await sim.run(sim.now + 3_000);
  const before = owners();
  const victim =
    machines.stores.find((s) => [...before.values()].includes(s.name) && !s.config.seeds.includes(s.config.peer)) ??
    machines.stores[0]!;
  const lostShards = [...before].filter(([, o]) => o === victim.name).map(([s]) => s);
  const frozenAt = sim.now;
  sim.freeze(victim);
  let firstSuspectedMs = 0,
    allSuspectedMs = 0,
    servedMs = 0;
  while (!allSuspectedMs || !servedMs) {
    await sim.run(sim.now + 20);
    const suspecting = nodes.filter(
      (n) => n !== victim && n.kernel!.use('membership').members.get(victim.config.peer)?.state !== 'live',
    ).length;
    if (suspecting && !firstSuspectedMs) firstSuspectedMs = sim.now - frozenAt;
    if (suspecting === nodes.length - 1 && !allSuspectedMs) allSuspectedMs = sim.now - frozenAt;
    const current = owners();
    if (!servedMs && lostShards.every((s) => current.get(s) !== undefined && current.get(s) !== victim.name))
      servedMs = sim.now - frozenAt;
    if (sim.now - frozenAt > 60_000) break;
  }
  const after = owners();
  const otherShardsMoved = [...before].filter(([s, o]) => o !== victim.name && after.get(s) !== o).length;
  process.stdout.write(
    `${size} nodes (${machines.disks.length} disks): ${(total.n / size / 10).toFixed(1)} requests between peers and ${(total.bytes / size / 10 / 1024).toFixed(1)} KiB per node and s; configuration in force everywhere ${spreadMs.map((x) => Math.round(x)).join('/')} ms after its answer; frozen machine suspected by the first node after ${Math.round(firstSuspectedMs)} ms, by all after ${Math.round(allSuspectedMs)} ms; its ${lostShards.length} shards served again after ${Math.round(servedMs)} ms; ${otherShardsMoved} other shards moved\n`,
  );
  if (options.methods)
    for (const [method, t] of [...sim.requestTraffic].sort((x, y) => y[1].bytes - x[1].bytes))
      process.stdout.write(
        `   ${method}: ${(t.n / size / 10).toFixed(2)} requests, ${(t.bytes / size / 10 / 1024).toFixed(2)} KiB per node and s\n`,
      );
  sim.close();
}
