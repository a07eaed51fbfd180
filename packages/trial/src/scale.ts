import yargs from 'yargs';
import { build, configOf, SMALL, type Site } from './scenario.js';
import { Sim } from './sim.js';

const a = yargs(process.argv.slice(2))
  .scriptName('scale')
  .usage('$0 [flags]\n\nMeasures the control plane at several sizes, in the simulator: virtual time, the same result every time.')
  .option('sizes', { type: 'string', default: '15,60,200' })
  .option('seed', { type: 'number', default: 1 })
  .option('methods', { type: 'boolean', default: false, describe: 'visits per node and second, by method' })
  .strict().parseSync();

for (const size of a.sizes.split(',').map(Number)) {
  const stores = Math.max(3, Math.round(size / 5));
  const site: Site = { ...SMALL, domains: ['a', 'b', 'c', 'd', 'e'], stores, relays: size - stores, relayDisks: Math.round(size / 15), consumers: 0 };
  const sim = new Sim(a.seed);
  const m = await build(sim, site);
  await sim.run(15_000);
  const reg = (n: (typeof m.stores)[number]) => n.kernel!.use('register');
  const ups = [...sim.nodes.values()];
  const owners = (): Map<number, string> => new Map(m.disks.filter((d) => d.up && !d.frozen).flatMap((d) => d.kernel!.use('owner').owned().map((k) => [k.shard, d.name] as [number, string])));

  // Quiet traffic over ten seconds.
  sim.measure = true;
  await sim.run(25_000);
  sim.measure = false;
  const total = [...sim.traffic.values()].reduce((x, t) => ({ n: x.n + t.n, bytes: x.bytes + t.bytes }), { n: 0, bytes: 0 });

  // A configuration: from its answer until the last node has it in force.
  const spread: number[] = [];
  for (let i = 0; i < 5; i++) {
    const at = ups[Math.floor(sim.rnd.next() * ups.length)]!;
    let told = 0;
    void sim.outside.visit(at.config.client, 'SubmitConfig', { changeId: `s${i}`, config: configOf(site) }, 10_000).then(() => { told = sim.now; });
    const version = i + 1;
    let all = 0;
    while (!told || !all) {
      await sim.run(sim.now + 10);
      if (!all && ups.every((n) => (reg(n).value?.version ?? 0) >= version)) all = sim.now;
      if (sim.now > 120_000) throw new Error('never in force');
    }
    spread.push(Math.max(0, all - told));
    await sim.run(sim.now + 1_000);
  }

  // A frozen machine (nobody refuses a connection): until the first and the last node suspect it, and its keys are served again.
  await sim.run(sim.now + 3_000);
  const before = owners();
  const victim = m.stores.find((s) => [...before.values()].includes(s.name) && !s.config.seeds.includes(s.config.peer)) ?? m.stores[0]!;
  const lost = [...before].filter(([, o]) => o === victim.name).map(([s]) => s);
  const t0 = sim.now;
  sim.freeze(victim);
  let first = 0, last = 0, served = 0;
  while (!last || !served) {
    await sim.run(sim.now + 20);
    const sus = ups.filter((n) => n !== victim && n.kernel!.use('board').members.get(victim.config.peer)?.state !== 'live').length;
    if (sus && !first) first = sim.now - t0;
    if (sus === ups.length - 1 && !last) last = sim.now - t0;
    const o = owners();
    if (!served && lost.every((s) => o.get(s) !== undefined && o.get(s) !== victim.name)) served = sim.now - t0;
    if (sim.now - t0 > 60_000) break;
  }
  const after = owners();
  const movedElse = [...before].filter(([s, o]) => o !== victim.name && after.get(s) !== o).length;
  process.stdout.write(`${size} nodes (${m.disks.length} disks): ${(total.n / size / 10).toFixed(1)} peer visits and ${(total.bytes / size / 10 / 1024).toFixed(1)} KiB per node and s; configuration everywhere ${spread.map((x) => Math.round(x)).join('/')} ms after its answer; frozen machine suspected by the first after ${Math.round(first)} ms, by all after ${Math.round(last)} ms; its ${lost.length} keys served after ${Math.round(served)} ms; ${movedElse} other keys moved\n`);
  if (a.methods) for (const [k, t] of [...sim.traffic].sort((x, y) => y[1].bytes - x[1].bytes)) process.stdout.write(`   ${k}: ${(t.n / size / 10).toFixed(2)} visits, ${(t.bytes / size / 10 / 1024).toFixed(2)} KiB per node and s\n`);
  sim.close();
}
