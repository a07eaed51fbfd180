import { shardOf } from '@harecross/kernel';
import yargs from 'yargs';
import { createMachines, fleetConfigOf, SMALL } from './scenario.js';
import { Sim, type SimNode } from './sim.js';

const KINDS = [
  'killed',
  'frozen',
  'cut off',
  'power lost, comes back',
  'cut from copies',
  'stopped',
  'syncs stop its loop',
  'relay killed',
] as const;
const a = yargs(process.argv.slice(2))
  .scriptName('outage')
  .usage(
    '$0 [flags]\n\nFor one dead machine of each kind: how long publishes to the topics it owned find nobody, by cause. Virtual time.',
  )
  .option('seeds', { type: 'number', default: 30 })
  .option('only', { type: 'string', describe: 'one kind' })
  .option('from', { type: 'number', default: 1 })
  .strict()
  .parseSync();

interface Figures {
  detect: number[];
  take: number[];
  accept: number[];
  whole: number[];
  outs: Map<string, number>;
  suspected: number;
}
const q = (xs: number[], p: number): string => {
  const s = [...xs].sort((x, y) => x - y);
  return s.length ? String(Math.round(s[Math.min(s.length - 1, Math.floor(p * s.length))]!)) : '-';
};

async function one(kind: (typeof KINDS)[number], seed: number, f: Figures): Promise<void> {
  const sim = new Sim(seed);
  const m = await createMachines(sim, SMALL);
  await sim.run(7_000);
  void sim.clientTransport.visit(m.relays[5]!.config.client, 'SubmitConfig', { changeId: 'c', config: fleetConfigOf(SMALL) }, 9_000);
  await sim.run(12_000);
  const owned = (n: SimNode): number[] =>
    n.up && !n.frozen
      ? n
          .kernel!.use('owner')
          .ownedShards()
          .map((k) => k.shard)
      : [];
  const victim = kind === 'relay killed' ? m.relays[5]! : m.stores[seed % m.stores.length]!;
  const shards = new Set(victim.config.data ? owned(victim) : []);
  // A publisher for each of many topics, through a relay without a disk that lives on: a new message as soon as the
  // last is answered.
  const topics = Array.from({ length: 64 }, (_, i) => `r/${i}`).filter(
    (t) => !victim.config.data || shards.has(shardOf(t)),
  );
  const t0 = sim.now + 500 + 400 * sim.random.next();
  const first = new Map<string, number>();
  let on = true;
  for (const topic of topics) {
    void (async () => {
      for (let seq = 1; on; seq++) {
        const asked = sim.now;
        const r = await sim.clientTransport.visit(
          m.relays[4]!.config.client,
          'Publish',
          { sender: 'p', topic, seq, body: 'x' },
          5_000,
        );
        if (asked > t0 || sim.now > t0 + 20) {
          let out = r?.body?.rejected ? 'rejected' : 'unknown';
          if (r?.body?.accepted) out = 'accepted';
          f.outs.set(out, (f.outs.get(out) ?? 0) + 1);
          if (out === 'accepted' && !first.has(topic)) first.set(topic, sim.now);
          if (out !== 'accepted') seq--;
        }
        await new Promise<void>((res) => {
          sim.clock.after(r?.body?.accepted ? 100 : 20, res);
        });
      }
    })();
  }
  await sim.run(t0);
  const others = m.disks.filter((n) => n !== victim);
  switch (kind) {
    case 'killed':
    case 'relay killed':
      sim.kill(victim);
      break;
    case 'frozen':
      sim.freeze(victim);
      break;
    case 'cut off':
      for (const n of sim.nodes.values()) if (n !== victim) sim.cut(victim.name, n.name);
      break;
    case 'cut from copies':
      for (const n of m.disks) if (n !== victim) sim.cut(victim.name, n.name);
      break;
    case 'power lost, comes back':
      sim.kill(victim);
      sim.clock.after(1_500, () => void sim.start(victim));
      break;
    case 'stopped':
      void sim.stop(victim);
      break;
    case 'syncs stop its loop':
      victim.syncStallMs = [1_000, 3_000];
      break;
  }
  let seen = 0;
  const taken = new Map<number, number>();
  while (sim.now < t0 + 6_000) {
    await sim.run(sim.now + 10);
    if (
      !seen &&
      others.some((n) => n.up && n.kernel!.use('membership').members.get(victim.config.peer)?.state !== 'live')
    )
      seen = sim.now;
    for (const n of others) for (const s of owned(n)) if (shards.has(s) && !taken.has(s)) taken.set(s, sim.now);
  }
  on = false;
  for (const topic of topics) {
    const s = shardOf(topic);
    const got = first.get(topic) ?? Infinity;
    f.whole.push(got - t0);
    const tk = taken.get(s);
    if (tk === undefined || !seen || got < tk) continue;
    f.detect.push(seen - t0);
    f.take.push(Math.max(0, tk - seen));
    f.accept.push(got - tk);
  }
  for (const n of sim.nodes.values()) f.suspected += n === victim ? 0 : (n.kernel?.counters.get('member.suspect') ?? 0);
  await sim.run(sim.now + 1_000);
  sim.close();
}

for (const kind of KINDS.filter((k) => a.only === undefined || k === a.only)) {
  const f: Figures = { detect: [], take: [], accept: [], whole: [], outs: new Map(), suspected: 0 };
  for (let seed = a.from; seed < a.from + a.seeds; seed++) await one(kind, seed, f);
  const all = [...f.outs.values()].reduce((x, y) => x + y, 0);
  const share = (o: string): string => `${((100 * (f.outs.get(o) ?? 0)) / all).toFixed(1)} %`;
  process.stdout.write(
    `${kind}: accepted again after p50 ${q(f.whole, 0.5)} p90 ${q(f.whole, 0.9)} max ${q(f.whole, 1)} ms; ` +
      `noticed p50 ${q(f.detect, 0.5)} p90 ${q(f.detect, 0.9)}, then taken p50 ${q(f.take, 0.5)} p90 ${q(f.take, 0.9)}, then accepted p50 ${q(f.accept, 0.5)} p90 ${q(f.accept, 0.9)} ms; ` +
      `of tries rejected ${share('rejected')}, unknown ${share('unknown')}\n`,
  );
}
