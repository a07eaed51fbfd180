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
const options = yargs(process.argv.slice(2))
  .scriptName('outage')
  .usage(
    '$0 [flags]\n\nFor each kind of machine failure, measures in virtual time how long publishes to the topics of the failed machine are not accepted, by phase of the takeover.',
  )
  .option('seeds', { type: 'number', default: 30 })
  .option('only', { type: 'string', describe: 'only this kind of failure' })
  .option('from', { type: 'number', default: 1 })
  .strict()
  .parseSync();

/** Measurements over all seeds, in ms from the failure or from the end of the phase before. */
interface Measurements {
  /** Until another node no longer takes the machine for live. */
  detectMs: number[];
  /** From then until another node owns the shard. */
  takeoverMs: number[];
  /** From then until a publish to the topic is accepted. */
  acceptMs: number[];
  /** From the failure until a publish to the topic is accepted. */
  totalMs: number[];
  /** Publish attempts by outcome. */
  outcomes: Map<string, number>;
  suspicions: number;
}
/** Quantile `p` as text. */
const quantile = (xs: number[], p: number): string => {
  const sorted = [...xs].sort((x, y) => x - y);
  return sorted.length ? String(Math.round(sorted[Math.min(sorted.length - 1, Math.floor(p * sorted.length))]!)) : '-';
};

async function runOne(kind: (typeof KINDS)[number], seed: number, measurements: Measurements): Promise<void> {
  const sim = new Sim(seed);
  const machines = await createMachines(sim, SMALL);
  await sim.run(7_000);
  void sim.clientTransport.visit(
    machines.relays[5]!.config.client,
    'SubmitConfig',
    { changeId: 'c', config: fleetConfigOf(SMALL) },
    9_000,
  );
  await sim.run(12_000);
  const ownedBy = (n: SimNode): number[] =>
    n.up && !n.frozen
      ? n
          .kernel!.use('owner')
          .ownedShards()
          .map((k) => k.shard)
      : [];
  const victim = kind === 'relay killed' ? machines.relays[5]! : machines.stores[seed % machines.stores.length]!;
  const shards = new Set(victim.config.data ? ownedBy(victim) : []);
  // One publisher per topic, through a diskless relay that stays up. Each sends the next message 100 ms after the last one
  // was accepted, and repeats a message 20 ms after an attempt that was not accepted.
  const topics = Array.from({ length: 64 }, (_, i) => `r/${i}`).filter(
    (t) => !victim.config.data || shards.has(shardOf(t)),
  );
  const failedAt = sim.now + 500 + 400 * sim.random.next();
  const firstAccepted = new Map<string, number>();
  let publishing = true;
  for (const topic of topics) {
    void (async () => {
      for (let seq = 1; publishing; seq++) {
        const sentAt = sim.now;
        const response = await sim.clientTransport.visit(
          machines.relays[4]!.config.client,
          'Publish',
          { sender: 'p', topic, seq, body: 'x' },
          5_000,
        );
        if (sentAt > failedAt || sim.now > failedAt + 20) {
          let outcome = response?.body?.rejected ? 'rejected' : 'unknown';
          if (response?.body?.accepted) outcome = 'accepted';
          measurements.outcomes.set(outcome, (measurements.outcomes.get(outcome) ?? 0) + 1);
          if (outcome === 'accepted' && !firstAccepted.has(topic)) firstAccepted.set(topic, sim.now);
          if (outcome !== 'accepted') seq--;
        }
        await new Promise<void>((resolve) => {
          sim.clock.after(response?.body?.accepted ? 100 : 20, resolve);
        });
      }
    })();
  }
  await sim.run(failedAt);
  const others = machines.disks.filter((n) => n !== victim);
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
      for (const n of machines.disks) if (n !== victim) sim.cut(victim.name, n.name);
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
  let detectedAt = 0;
  const takenAt = new Map<number, number>();
  while (sim.now < failedAt + 6_000) {
    await sim.run(sim.now + 10);
    if (
      !detectedAt &&
      others.some((n) => n.up && n.kernel!.use('membership').members.get(victim.config.peer)?.state !== 'live')
    )
      detectedAt = sim.now;
    for (const n of others) for (const s of ownedBy(n)) if (shards.has(s) && !takenAt.has(s)) takenAt.set(s, sim.now);
  }
  publishing = false;
  for (const topic of topics) {
    const shard = shardOf(topic);
    const accepted = firstAccepted.get(topic) ?? Infinity;
    measurements.totalMs.push(accepted - failedAt);
    const taken = takenAt.get(shard);
    if (taken === undefined || !detectedAt || accepted < taken) continue;
    measurements.detectMs.push(detectedAt - failedAt);
    measurements.takeoverMs.push(Math.max(0, taken - detectedAt));
    measurements.acceptMs.push(accepted - taken);
  }
  for (const n of sim.nodes.values())
    measurements.suspicions += n === victim ? 0 : (n.kernel?.counters.get('member.suspect') ?? 0);
  await sim.run(sim.now + 1_000);
  sim.close();
}

for (const kind of KINDS.filter((k) => options.only === undefined || k === options.only)) {
  const measurements: Measurements = {
    detectMs: [],
    takeoverMs: [],
    acceptMs: [],
    totalMs: [],
    outcomes: new Map(),
    suspicions: 0,
  };
  for (let seed = options.from; seed < options.from + options.seeds; seed++) await runOne(kind, seed, measurements);
  const total = [...measurements.outcomes.values()].reduce((x, y) => x + y, 0);
  const share = (outcome: string): string =>
    `${((100 * (measurements.outcomes.get(outcome) ?? 0)) / total).toFixed(1)} %`;
  process.stdout.write(
    `${kind}: accepted again after p50 ${quantile(measurements.totalMs, 0.5)} p90 ${quantile(measurements.totalMs, 0.9)} max ${quantile(measurements.totalMs, 1)} ms; ` +
      `detected p50 ${quantile(measurements.detectMs, 0.5)} p90 ${quantile(measurements.detectMs, 0.9)}, then taken over p50 ${quantile(measurements.takeoverMs, 0.5)} p90 ${quantile(measurements.takeoverMs, 0.9)}, then accepted p50 ${quantile(measurements.acceptMs, 0.5)} p90 ${quantile(measurements.acceptMs, 0.9)} ms; ` +
      `of attempts rejected ${share('rejected')}, unknown ${share('unknown')}\n`,
  );
}
