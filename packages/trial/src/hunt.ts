/** Command line tool: runs simulations of the deployments with random fault schedules, and reduces the schedules of those that fail. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import type { ScenarioResult } from './scenario.js';
import { runFaultSchedule } from './trouble/fault-run.js';
import { DEPLOYMENTS, withFewClients } from './trouble/deployment.js';
import { drawSchedule, FAULT_KINDS, parseSchedule, formatSchedule, type ScheduledFault } from './trouble/schedule.js';
import { shrinkSchedule } from './trouble/shrink.js';

const options = yargs(process.argv.slice(2))
  .scriptName('hunt')
  .usage(
    '$0 [flags]\n\nRuns simulations with fault schedules drawn from the seed, and reduces the schedules of those that fail.',
  )
  .option('on', {
    type: 'string',
    default: 'sss-control,hidrocross-control',
    describe: `comma-separated deployments: ${[...DEPLOYMENTS.keys()].join(', ')}`,
  })
  .option('from', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 10 })
  .option('troubles', { type: 'number', default: 6, describe: 'number of faults in a schedule' })
  .option('kinds', {
    type: 'string',
    describe: `comma-separated kinds of faults to draw from: ${FAULT_KINDS.join(', ')}`,
  })
  .option('schedule', { type: 'string', describe: 'run this schedule, in the form printed for a failing run' })
  .option('shrink', { type: 'boolean', default: true })
  .option('light', { type: 'boolean', default: false, describe: 'simulate only a few clients and relays' })
  .option('jobs', { type: 'number', default: 3, describe: 'number of runs in parallel, each in its own process' })
  .option('log', { type: 'boolean', default: false, describe: 'print the logs of the nodes' })
  .option('notes', { type: 'boolean', default: false, describe: 'print the actions of each run' })
  .option('day', { type: 'string', hidden: true, describe: 'a single run: deployment/seed' })
  .strict()
  .parseSync();

/** Maximum number of violations printed for a failing run. */
const MAX_PRINTED_VIOLATIONS = 6;

function scheduleFor(seed: number): ScheduledFault[] {
  if (options.schedule !== undefined) return parseSchedule(options.schedule);
  const kinds = options.kinds?.split(',');
  return drawSchedule(seed, options.troubles, kinds && FAULT_KINDS.filter((name) => kinds.includes(name)));
}

/** The violated rules with their numbers of violations. */
function describeViolations(run: ScenarioResult): string {
  const counts = new Map<string, number>();
  for (const { rule } of run.violations) counts.set(rule, (counts.get(rule) ?? 0) + 1);
  return [...counts].map(([rule, count]) => `${rule} ${count}`).join(', ');
}

/** Runs one simulation and prints the result; false if it failed. */
async function runOne(name: string, seed: number): Promise<boolean> {
  const full = DEPLOYMENTS.get(name)!;
  const deployment = options.light ? withFewClients(full) : full;
  const schedule = scheduleFor(seed);
  const startedAt = performance.now();
  const run = await runFaultSchedule(seed, deployment, schedule, options.log);
  const tookS = ((performance.now() - startedAt) / 1000).toFixed(1);
  const accepted = run.seen.filter((s) => s.k === 'pub.answer' && s.out === 'accepted').length;
  const tried = run.seen.filter((s) => s.k === 'pub.try').length;
  const verdict = run.violations.length ? `BAD ${describeViolations(run)}` : 'clean';
  const out = [`${name} seed ${seed}: ${accepted}/${tried} accepted, ${tookS} s: ${verdict}`];
  if (run.violations.length || options.notes) {
    out.push(`  ${formatSchedule(schedule)}`, ...run.notes.map((n) => `  ${n}`));
    out.push(...run.violations.slice(0, MAX_PRINTED_VIOLATIONS).map((v) => `  ${v.rule} at ${v.t}: ${v.what}`));
  }
  process.stdout.write(`${out.join('\n')}\n`);
  if (run.violations.length && options.shrink && schedule.length > 1) {
    const { rule } = run.violations[0]!;
    const fewest = await shrinkSchedule(schedule, async (subset) =>
      (await runFaultSchedule(seed, deployment, subset)).violations.some((v) => v.rule === rule),
    );
    process.stdout.write(
      `  fewest for ${rule}: npm run hunt -- ${options.light ? '--light ' : ''}--on ${name} --from ${seed} --seeds 1 --schedule '${formatSchedule(fewest)}'\n`,
    );
  }
  return run.violations.length === 0;
}

/** Runs one simulation in a process of its own; resolves with whether it passed. */
function runInProcess(run: string): Promise<boolean> {
  return new Promise((resolve) => {
    const child = fork(fileURLToPath(import.meta.url), [...process.argv.slice(2), `--day=${run}`], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    let out = '';
    child.stdout!.on('data', (chunk) => {
      out += chunk;
    });
    child.on('close', (code) => {
      process.stdout.write(code === null || code > 1 ? `${run} exited with code ${code}\n${out}` : out);
      resolve(code === 0);
    });
  });
}

async function runAll(): Promise<number> {
  const names = options.on.split(',');
  const unknown = names.find((name) => !DEPLOYMENTS.has(name));
  if (unknown !== undefined) {
    process.stderr.write(`unknown deployment ${unknown}; deployments: ${[...DEPLOYMENTS.keys()].join(', ')}\n`);
    return 2;
  }
  const seeds = Array.from({ length: options.seeds }, (_, i) => options.from + i);
  const runs = seeds.flatMap((seed) => names.map((name) => `${name}/${seed}`));
  const total = runs.length;
  let failed = 0;
  const worker = async (): Promise<void> => {
    for (let run = runs.shift(); run !== undefined; run = runs.shift()) if (!(await runInProcess(run))) failed++;
  };
  await Promise.all(Array.from({ length: options.jobs }, worker));
  process.stdout.write(`${failed} of ${total} runs failed\n`);
  return failed ? 1 : 0;
}

if (options.day === undefined) process.exit(await runAll());
const [name, seed] = options.day.split('/') as [string, string];
process.exit((await runOne(name, Number(seed))) ? 0 : 1);
