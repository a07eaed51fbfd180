import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { FAULT_SCENARIOS } from './faults.js';
import { recoveryTimes } from './oracle.js';
import {
  DUNARE,
  runScenario,
  SINE_SALOUM,
  SMALL,
  type ScenarioResult,
  type Scenario,
  type DeploymentSpec,
} from './scenario.js';
import {
  randomFaults,
  faultPair,
  formatFaults,
  minimizeFaults,
  scheduleScenario,
  type ScheduledFault,
} from './fault-schedule.js';
import yargs from 'yargs';

const SITES = new Map<string, DeploymentSpec>([SMALL, SINE_SALOUM, DUNARE].map((s) => [s.name, s]));

const options = yargs(process.argv.slice(2))
  .scriptName('sweep')
  .usage(
    '$0 [flags]\n\nRuns simulations with many seeds and checks them for violations: named scenarios, pairs of faults, or storms of several faults.',
  )
  .option('only', { type: 'string', describe: 'comma-separated scenario names' })
  .option('from', { type: 'number', default: 1 })
  .option('seeds', { type: 'number', default: 5 })
  .option('site', {
    type: 'string',
    describe: `run on the full-size fleets of these comma-separated sites: ${[...SITES.keys()].join(', ')}`,
  })
  .option('pairs', {
    type: 'boolean',
    default: false,
    describe: 'instead of scenarios, two concurrent faults chosen by the seed',
  })
  .option('storm', { type: 'number', describe: 'instead of scenarios, this many concurrent faults chosen by the seed' })
  .option('keep', {
    type: 'string',
    describe: 'comma-separated indexes of the faults of a pair or storm to run; the others are left out',
  })
  .option('shrink', {
    type: 'boolean',
    default: false,
    describe: 'reduce a failing pair or storm to a minimal set of faults that still fails',
  })
  .option('jobs', { type: 'number', default: 7, describe: 'number of runs in parallel, each in its own process' })
  .option('counters', {
    type: 'string',
    describe: 'print the counters of the processes alive at the end whose names match this regular expression',
  })
  .option('notes', { type: 'boolean', default: false, describe: 'print the actions and observations of each run' })
  .option('log', { type: 'boolean', default: false })
  .option('lines', { type: 'number', default: 0, describe: 'number of last log lines to print of a failing run' })
  .option('run', { type: 'string', hidden: true, describe: 'one run of a sweep: site/scenario/seed' })
  .strict()
  .parseSync();

const quantile = (xs: number[], q: number): number =>
  Math.round(xs[Math.min(xs.length - 1, Math.floor(q * xs.length))] ?? NaN);
const keep = options.keep?.split(',').map(Number);

/** The scenario that a name stands for, with its faults if they are drawn from the seed. */
function scenarioOf(name: string, site: string, seed: number): { scenario: Scenario; steps?: ScheduledFault[] } {
  const fullSite = site === '-' ? undefined : SITES.get(site)!;
  if (name === 'pair' || name === 'storm') {
    const all = name === 'pair' ? faultPair(seed) : randomFaults(seed, options.storm ?? 4);
    const steps = all.filter((_, i) => !keep || keep.includes(i));
    return { scenario: scheduleScenario(steps, fullSite), steps };
  }
  const scenario = FAULT_SCENARIOS.get(name)!;
  return {
    scenario: { ...scenario, ...(fullSite ? { site: fullSite } : {}), opts: { ...scenario.opts, log: options.log } },
  };
}

/** Runs one seed and prints the result; false if it failed. */
async function runOne(name: string, site: string, seed: number): Promise<boolean> {
  const { scenario, steps } = scenarioOf(name, site, seed);
  const label = `${site === '-' ? '' : `${site} `}${name} seed ${seed}`;
  let run: ScenarioResult;
  try {
    run = await runScenario(seed, scenario);
  } catch (e) {
    process.stdout.write(
      `${label}: ${steps ? `${formatFaults(steps)}: ` : ''}the run itself failed: ${e instanceof Error ? e.message : String(e)}\n`,
    );
    return false;
  }
  const countOf = (k: string): number => run.seen.filter((s) => s.k === k).length;
  const accepted = run.seen.filter((s) => s.k === 'pub.answer' && s.out === 'accepted').length;
  const triedAt = new Map(run.seen.flatMap((s) => (s.k === 'pub.try' ? [[s.try, s.t] as [number, number]] : [])));
  const latencies = run.seen
    .flatMap((s) => (s.k === 'pub.answer' && s.out === 'accepted' ? [s.t - triedAt.get(s.try)!] : []))
    .sort((x, y) => x - y);
  const recovered = recoveryTimes(run.seen);
  let out = `${label}: ${accepted}/${countOf('pub.try')} accepted, ${countOf('deliver')} delivered, ${countOf('conn.open')} conns, ${run.sim.events} events, accept p50/p99 ${quantile(latencies, 0.5)}/${quantile(latencies, 0.99)} ms, `;
  if (recovered)
    out += `back after ${recovered.accepted.quarterMs}/${recovered.accepted.mostMs} accepted and ${recovered.delivered.quarterMs}/${recovered.delivered.mostMs} delivered ms, `;
  out += `${run.violations.length} violations\n`;
  if (steps && (options.notes || run.violations.length)) out += `   ${formatFaults(steps)}\n`;
  if (options.notes) for (const x of run.notes) out += `   ${x}\n`;
  if (options.counters)
    out += `   ${[...run.counters]
      .filter(([k]) => new RegExp(options.counters!).test(k))
      .sort(([x], [y]) => (x < y ? -1 : 1))
      .map(([k, v]) => `${k} ${v}`)
      .join(', ')}\n`;
  const rules = new Map<string, number>();
  for (const v of run.violations) rules.set(v.rule, (rules.get(v.rule) ?? 0) + 1);
  if (run.violations.length) out += `   BAD ${[...rules].map(([k, v]) => `${k} ${v}`).join(', ')}\n`;
  for (const v of run.violations.slice(0, 8)) out += `   ${v.rule} at ${v.t}: ${v.what}\n`;
  if (run.violations.length && options.lines) out += run.sim.lines.slice(-options.lines).join('\n') + '\n';
  process.stdout.write(out);
  if (run.violations.length && steps && options.shrink) {
    const fewest = await minimizeFaults(
      steps,
      async (subset) =>
        (await runScenario(seed, scheduleScenario(subset, SITES.get(site)))).violations.map((v) => v.rule),
      run.violations[0]!.rule,
    );
    const ids = fewest.map((s) => steps.indexOf(s)).join(',');
    process.stdout.write(
      `   fewest: ${formatFaults(fewest)}\n   again: npm run sweep -- --${name === 'pair' ? 'pairs' : `storm ${steps.length}`} --keep ${ids}${site === '-' ? '' : ` --site ${site}`} --from ${seed} --seeds 1\n`,
    );
  }
  return run.violations.length === 0;
}

if (options.run !== undefined) {
  const [site, name, seed] = options.run.split('/') as [string, string, string];
  process.exit((await runOne(name, site, Number(seed))) ? 0 : 1);
}
let names = options.only ? options.only.split(',') : [...FAULT_SCENARIOS.keys()];
if (options.storm !== undefined) names = ['storm'];
if (options.pairs) names = ['pair'];
for (const n of names) {
  if (!FAULT_SCENARIOS.has(n) && n !== 'pair' && n !== 'storm') {
    process.stderr.write(`no scenario ${n}; there are: ${[...FAULT_SCENARIOS.keys()].join(', ')}\n`);
    process.exit(2);
  }
}
const sites = options.site?.split(',') ?? ['-'];
for (const s of sites)
  if (s !== '-' && !SITES.has(s)) {
    process.stderr.write(`no site ${s}; there are: ${[...SITES.keys()].join(', ')}\n`);
    process.exit(2);
  }
const tasks = sites.flatMap((site) =>
  names.flatMap((name) => Array.from({ length: options.seeds }, (_, i) => `${site}/${name}/${options.from + i}`)),
);
const ownArgs = process.argv.slice(2);
let failed = 0;
await Promise.all(
  Array.from({ length: Math.min(options.jobs, tasks.length) }, async () => {
    for (let next = tasks.shift(); next !== undefined; next = tasks.shift()) {
      const task = next;
      const exitCode = await new Promise<number>((resolve) => {
        const child = fork(fileURLToPath(import.meta.url), [...ownArgs, `--run=${task}`], {
          stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
        });
        let out = '';
        child.stdout!.on('data', (chunk) => {
          out += chunk;
        });
        child.on('close', (code) => {
          process.stdout.write(out);
          resolve(code ?? 1);
        });
      });
      if (exitCode) failed++;
    }
  }),
);
process.stdout.write(failed ? `${failed} runs failed\n` : 'all runs clean\n');
process.exit(failed ? 1 : 0);
