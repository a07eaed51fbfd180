import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { FAULT_SCENARIOS } from './faults.js';
import { recoveryTimes } from './oracle.js';
import { DUNARE, runScenario, SINE_SALOUM, SMALL, type ScenarioResult, type Scenario, type DeploymentSpec } from './scenario.js';
import { randomFaults, faultPair, formatFaults, minimizeFaults, scheduleScenario, type ScheduledFault } from './fault-schedule.js';
import yargs from 'yargs';

const SITES = new Map<string, DeploymentSpec>([SMALL, SINE_SALOUM, DUNARE].map((s) => [s.name, s]));

const a = yargs(process.argv.slice(2))
  .scriptName('sweep')
  .usage(
    '$0 [flags]\n\nRuns simulated days with many seeds and judges them: named scenarios, pairs of faults, or storms of several.',
  )
  .option('only', { type: 'string', describe: 'comma-separated scenario names' })
  .option('from', { type: 'number', default: 1 })
  .option('seeds', { type: 'number', default: 5 })
  .option('site', {
    type: 'string',
    describe: `run them on the full shape of a site (${[...SITES.keys()].join(', ')}; comma between)`,
  })
  .option('pairs', {
    type: 'boolean',
    default: false,
    describe: 'two faults at once, chosen by the seed, instead of scenarios',
  })
  .option('storm', { type: 'number', describe: 'so many faults at once, chosen by the seed, instead of scenarios' })
  .option('keep', { type: 'string', describe: 'of a pair or storm only these faults, by number' })
  .option('shrink', {
    type: 'boolean',
    default: false,
    describe: 'find the fewest faults with which a failing pair or storm still fails',
  })
  .option('jobs', { type: 'number', default: 7, describe: 'runs at a time, each a process' })
  .option('counters', { type: 'string', describe: 'print counters (of processes alive at the end) that match' })
  .option('notes', { type: 'boolean', default: false, describe: 'print what was done and seen' })
  .option('log', { type: 'boolean', default: false })
  .option('lines', { type: 'number', default: 0, describe: 'last log lines to print of a failing run' })
  .option('run', { type: 'string', hidden: true, describe: 'one run of a sweep: site/scenario/seed' })
  .strict()
  .parseSync();

const quantile = (xs: number[], q: number): number =>
  Math.round(xs[Math.min(xs.length - 1, Math.floor(q * xs.length))] ?? NaN);
const keep = a.keep?.split(',').map(Number);

/** What one name stands for, at a seed. */
function scenarioOf(name: string, site: string, seed: number): { sc: Scenario; steps?: ScheduledFault[] } {
  const of = site === '-' ? undefined : SITES.get(site)!;
  if (name === 'pair' || name === 'storm') {
    const all = name === 'pair' ? faultPair(seed) : randomFaults(seed, a.storm ?? 4);
    const steps = all.filter((_, i) => !keep || keep.includes(i));
    return { sc: scheduleScenario(steps, of), steps };
  }
  const sc = FAULT_SCENARIOS.get(name)!;
  return { sc: { ...sc, ...(of ? { site: of } : {}), opts: { ...sc.opts, log: a.log } } };
}

async function one(name: string, site: string, seed: number): Promise<boolean> {
  const { sc, steps } = scenarioOf(name, site, seed);
  const label = `${site === '-' ? '' : `${site} `}${name} seed ${seed}`;
  let r: ScenarioResult;
  try {
    r = await runScenario(seed, sc);
  } catch (e) {
    process.stdout.write(
      `${label}: ${steps ? `${formatFaults(steps)}: ` : ''}the run itself failed: ${e instanceof Error ? e.message : String(e)}\n`,
    );
    return false;
  }
  const n = (k: string): number => r.seen.filter((s) => s.k === k).length;
  const acc = r.seen.filter((s) => s.k === 'pub.answer' && s.out === 'accepted').length;
  const tried = new Map(r.seen.flatMap((s) => (s.k === 'pub.try' ? [[s.try, s.t] as [number, number]] : [])));
  const lat = r.seen
    .flatMap((s) => (s.k === 'pub.answer' && s.out === 'accepted' ? [s.t - tried.get(s.try)!] : []))
    .sort((x, y) => x - y);
  const back = recoveryTimes(r.seen);
  let out = `${label}: ${acc}/${n('pub.try')} accepted, ${n('deliver')} delivered, ${n('conn.open')} conns, ${r.sim.events} events, accept p50/p99 ${quantile(lat, 0.5)}/${quantile(lat, 0.99)} ms, `;
  if (back)
    out += `back after ${back.accepted.quarterMs}/${back.accepted.mostMs} accepted and ${back.delivered.quarterMs}/${back.delivered.mostMs} delivered ms, `;
  out += `${r.violations.length} violations\n`;
  if (steps && (a.notes || r.violations.length)) out += `   ${formatFaults(steps)}\n`;
  if (a.notes) for (const x of r.notes) out += `   ${x}\n`;
  if (a.counters)
    out += `   ${[...r.counters]
      .filter(([k]) => new RegExp(a.counters!).test(k))
      .sort(([x], [y]) => (x < y ? -1 : 1))
      .map(([k, v]) => `${k} ${v}`)
      .join(', ')}\n`;
  const rules = new Map<string, number>();
  for (const v of r.violations) rules.set(v.rule, (rules.get(v.rule) ?? 0) + 1);
  if (r.violations.length) out += `   BAD ${[...rules].map(([k, v]) => `${k} ${v}`).join(', ')}\n`;
  for (const v of r.violations.slice(0, 8)) out += `   ${v.rule} at ${v.t}: ${v.what}\n`;
  if (r.violations.length && a.lines) out += r.sim.lines.slice(-a.lines).join('\n') + '\n';
  process.stdout.write(out);
  if (r.violations.length && steps && a.shrink) {
    const least = await minimizeFaults(
      steps,
      async (some) => (await runScenario(seed, scheduleScenario(some, SITES.get(site)))).violations.map((v) => v.rule),
      r.violations[0]!.rule,
    );
    const ids = least.map((s) => steps.indexOf(s)).join(',');
    process.stdout.write(
      `   fewest: ${formatFaults(least)}\n   again: npm run sweep -- --${name === 'pair' ? 'pairs' : `storm ${steps.length}`} --keep ${ids}${site === '-' ? '' : ` --site ${site}`} --from ${seed} --seeds 1\n`,
    );
  }
  return r.violations.length === 0;
}

if (a.run !== undefined) {
  const [site, name, seed] = a.run.split('/') as [string, string, string];
  process.exit((await one(name, site, Number(seed))) ? 0 : 1);
}
let names = a.only ? a.only.split(',') : [...FAULT_SCENARIOS.keys()];
if (a.storm !== undefined) names = ['storm'];
if (a.pairs) names = ['pair'];
for (const n of names) {
  if (!FAULT_SCENARIOS.has(n) && n !== 'pair' && n !== 'storm') {
    process.stderr.write(`no scenario ${n}; there are: ${[...FAULT_SCENARIOS.keys()].join(', ')}\n`);
    process.exit(2);
  }
}
const sites = a.site?.split(',') ?? ['-'];
for (const s of sites)
  if (s !== '-' && !SITES.has(s)) {
    process.stderr.write(`no site ${s}; there are: ${[...SITES.keys()].join(', ')}\n`);
    process.exit(2);
  }
const tasks = sites.flatMap((site) =>
  names.flatMap((name) => Array.from({ length: a.seeds }, (_, i) => `${site}/${name}/${a.from + i}`)),
);
const flags = process.argv.slice(2);
let failed = 0;
await Promise.all(
  Array.from({ length: Math.min(a.jobs, tasks.length) }, async () => {
    for (let t = tasks.shift(); t !== undefined; t = tasks.shift()) {
      const task = t;
      const code = await new Promise<number>((res) => {
        const p = fork(fileURLToPath(import.meta.url), [...flags, `--run=${task}`], {
          stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
        });
        let out = '';
        p.stdout!.on('data', (s) => {
          out += s;
        });
        p.on('close', (c) => {
          process.stdout.write(out);
          res(c ?? 1);
        });
      });
      if (code) failed++;
    }
  }),
);
process.stdout.write(failed ? `${failed} runs failed\n` : 'all runs clean\n');
process.exit(failed ? 1 : 0);
