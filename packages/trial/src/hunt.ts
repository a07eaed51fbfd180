/** Command line: hunts with drawn troubles on the shapes of the deployments, and shrinks what fails. */
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
  .usage('$0 [flags]\n\nPlays simulated days whose troubles are drawn from the seed, and shrinks those that fail.')
  .option('on', {
    type: 'string',
    default: 'sss-control,hidrocross-control',
    describe: `deployments, comma between: ${[...DEPLOYMENTS.keys()].join(', ')}`,
  })
  .option('from', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 10 })
  .option('troubles', { type: 'number', default: 6, describe: 'troubles of a day' })
  .option('kinds', { type: 'string', describe: `only these kinds: ${FAULT_KINDS.join(', ')}` })
  .option('schedule', { type: 'string', describe: 'these troubles, as a failing day prints them' })
  .option('shrink', { type: 'boolean', default: true })
  .option('light', { type: 'boolean', default: false, describe: 'few clients and relays' })
  .option('jobs', { type: 'number', default: 3, describe: 'days at a time, each a process' })
  .option('log', { type: 'boolean', default: false, describe: 'print the log of the nodes' })
  .option('notes', { type: 'boolean', default: false, describe: 'print what was done' })
  .option('day', { type: 'string', hidden: true, describe: 'one day of a hunt: deployment/seed' })
  .strict()
  .parseSync();

/** Violations of a failing day that are printed. */
const SHOWN = 6;

function troublesOf(seed: number): ScheduledFault[] {
  if (options.schedule !== undefined) return parseSchedule(options.schedule);
  const only = options.kinds?.split(',');
  return drawSchedule(seed, options.troubles, only && FAULT_KINDS.filter((name) => only.includes(name)));
}

function rulesOf(run: ScenarioResult): string {
  const counts = new Map<string, number>();
  for (const { rule } of run.violations) counts.set(rule, (counts.get(rule) ?? 0) + 1);
  return [...counts].map(([rule, count]) => `${rule} ${count}`).join(', ');
}

async function oneDay(name: string, seed: number): Promise<boolean> {
  const full = DEPLOYMENTS.get(name)!;
  const deployment = options.light ? withFewClients(full) : full;
  const troubles = troublesOf(seed);
  const began = performance.now();
  const run = await runFaultSchedule(seed, deployment, troubles, options.log);
  const took = ((performance.now() - began) / 1000).toFixed(1);
  const accepted = run.seen.filter((s) => s.k === 'pub.answer' && s.out === 'accepted').length;
  const tried = run.seen.filter((s) => s.k === 'pub.try').length;
  const verdict = run.violations.length ? `BAD ${rulesOf(run)}` : 'clean';
  const out = [`${name} seed ${seed}: ${accepted}/${tried} accepted, ${took} s: ${verdict}`];
  if (run.violations.length || options.notes) {
    out.push(`  ${formatSchedule(troubles)}`, ...run.notes.map((n) => `  ${n}`));
    out.push(...run.violations.slice(0, SHOWN).map((v) => `  ${v.rule} at ${v.t}: ${v.what}`));
  }
  process.stdout.write(`${out.join('\n')}\n`);
  if (run.violations.length && options.shrink && troubles.length > 1) {
    const { rule } = run.violations[0]!;
    const fewest = await shrinkSchedule(troubles, async (some) =>
      (await runFaultSchedule(seed, deployment, some)).violations.some((v) => v.rule === rule),
    );
    process.stdout.write(
      `  fewest for ${rule}: npm run hunt -- ${options.light ? '--light ' : ''}--on ${name} --from ${seed} --seeds 1 --schedule '${formatSchedule(fewest)}'\n`,
    );
  }
  return run.violations.length === 0;
}

/** Plays one day in a process of its own; gives whether it was clean. */
function inProcess(day: string): Promise<boolean> {
  return new Promise((resolve) => {
    const child = fork(fileURLToPath(import.meta.url), [...process.argv.slice(2), `--day=${day}`], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    let out = '';
    child.stdout!.on('data', (s) => {
      out += s;
    });
    child.on('close', (code) => {
      process.stdout.write(code === null || code > 1 ? `${day} ended with ${code}\n${out}` : out);
      resolve(code === 0);
    });
  });
}

async function hunt(): Promise<number> {
  const names = options.on.split(',');
  const unknown = names.find((name) => !DEPLOYMENTS.has(name));
  if (unknown !== undefined) {
    process.stderr.write(`no deployment ${unknown}; there are: ${[...DEPLOYMENTS.keys()].join(', ')}\n`);
    return 2;
  }
  const seeds = Array.from({ length: options.seeds }, (_, i) => options.from + i);
  const days = seeds.flatMap((seed) => names.map((name) => `${name}/${seed}`));
  const all = days.length;
  let failed = 0;
  const worker = async (): Promise<void> => {
    for (let day = days.shift(); day !== undefined; day = days.shift()) if (!(await inProcess(day))) failed++;
  };
  await Promise.all(Array.from({ length: options.jobs }, worker));
  process.stdout.write(`${failed} of ${all} days failed\n`);
  return failed ? 1 : 0;
}

if (options.day === undefined) process.exit(await hunt());
const [name, seed] = options.day.split('/') as [string, string];
process.exit((await oneDay(name, Number(seed))) ? 0 : 1);
