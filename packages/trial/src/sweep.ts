import yargs from 'yargs';
import { SCENARIOS } from './faults.js';
import { play } from './scenario.js';

const a = yargs(process.argv.slice(2))
  .scriptName('sweep')
  .option('only', { type: 'string', describe: 'comma-separated scenario names' })
  .option('from', { type: 'number', default: 1 })
  .option('seeds', { type: 'number', default: 5 })
  .option('counters', { type: 'string', describe: 'print counters (of processes alive at the end) that match' })
  .option('notes', { type: 'boolean', default: false, describe: 'print what was done and seen' })
  .option('log', { type: 'boolean', default: false })
  .option('lines', { type: 'number', default: 0, describe: 'last log lines to print of a failing run' })
  .strict().parseSync();

const quantile = (xs: number[], q: number): number => Math.round(xs[Math.min(xs.length - 1, Math.floor(q * xs.length))] ?? NaN);
const names = a.only ? a.only.split(',') : [...SCENARIOS.keys()];
let failed = 0;
for (const name of names) {
  const sc = SCENARIOS.get(name);
  if (!sc) { process.stderr.write(`no scenario ${name}; there are: ${[...SCENARIOS.keys()].join(', ')}\n`); process.exit(2); }
  for (let seed = a.from; seed < a.from + a.seeds; seed++) {
    const r = await play(seed, { ...sc, opts: { ...sc.opts, log: a.log } });
    const n = (k: string): number => r.seen.filter((s) => s.k === k).length;
    const acc = r.seen.filter((s) => s.k === 'pub.answer' && s.out === 'accepted').length;
    const tried = new Map(r.seen.flatMap((s) => (s.k === 'pub.try' ? [[s.try, s.t] as [number, number]] : [])));
    const lat = r.seen.flatMap((s) => (s.k === 'pub.answer' && s.out === 'accepted' ? [s.t - tried.get(s.try)!] : [])).sort((x, y) => x - y);
    const line = `${name} seed ${seed}: ${acc}/${n('pub.try')} accepted, ${n('deliver')} delivered, ${n('conn.open')} conns, ${r.sim.events} events, accept p50/p99 ${quantile(lat, 0.5)}/${quantile(lat, 0.99)} ms, ${r.bad.length} violations`;
    process.stdout.write(line + '\n');
    if (a.notes) for (const x of r.notes) process.stdout.write(`   ${x}\n`);
    if (a.counters) process.stdout.write(`   ${[...r.counters].filter(([k]) => new RegExp(a.counters!).test(k)).sort().map(([k, v]) => `${k} ${v}`).join(', ')}\n`);
    if (r.bad.length) {
      failed++;
      for (const v of r.bad.slice(0, 12)) process.stdout.write(`   ${v.rule} at ${v.t}: ${v.what}\n`);
      if (a.lines) process.stdout.write(r.sim.lines.slice(-a.lines).join('\n') + '\n');
    }
  }
}
process.stdout.write(failed ? `${failed} runs failed\n` : 'all runs clean\n');
process.exit(failed ? 1 : 0);
