import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, loadavg, totalmem } from 'node:os';
import { dirname, join } from 'node:path';
import { consola } from 'consola/basic';
import yargs from 'yargs';
import {
  lineOf,
  misfit,
  readMeasured,
  sizesOf,
  type Demand,
  type Drill,
  type Measured,
  type Series,
} from './capacity-data.js';
import { takeConns, takeFanout, takeIdle, takeMessages, takeSeat } from './capacity-loopback.js';
import { pageOf, plotsOf } from './capacity-page.js';
import {
  takeBoard,
  takeControl,
  takeDrills,
  takeInterest,
  takePlacement,
  takeShards,
  takeTraffic,
  takeValue,
  type Drilled,
  type Taken,
} from './capacity-virtual.js';

const PARTS = [
  'control',
  'shards',
  'value',
  'board',
  'drills',
  'interest',
  'traffic',
  'placement',
  'conns',
  'messages',
  'fanout',
  'seat',
  'idle',
] as const;
type Part = (typeof PARTS)[number];

const a = yargs(process.argv.slice(2))
  .scriptName('capacity')
  .usage(
    '$0 [flags]\n\nMeasures what each size costs, keeps the figures in docs/capacity.json and writes docs/CAPACITY.md from them.\n' +
      'control, shards, board, drills, interest and traffic run in virtual time; value and placement in this process; the others as \
real\nprocesses on loopback.',
  )
  .option('only', { type: 'string', describe: `parts, by commas: ${PARTS.join(', ')}; none: only the page is written` })
  .option('hollow', { type: 'string', default: '60,140,275,550', describe: 'nodes of the simulated fleets' })
  .option('seeds', { type: 'string', default: '1', describe: 'seeds of each' })
  .option('shards', { type: 'string', default: '32,128,512', describe: 'shards of the simulated fleet of 44 nodes' })
  .option('value', {
    type: 'string',
    default: '32,1000,4000,16000,64000,250000',
    describe: "shards of the register's value",
  })
  .option('facts', { type: 'string', default: '100,500,2000,8000', describe: 'facts on a board' })
  .option('conns', { type: 'string', default: '500,1000,2000,3900', describe: 'conns of one relay' })
  .option('subscriptions', { type: 'string', default: '500,2000,8000', describe: 'subscriptions of one hollow relay' })
  .option('relays', { type: 'string', default: '50,150,300,550', describe: 'hollow relays an owner fans to' })
  .option('processes', { type: 'string', default: '6,12,24', describe: 'real processes of idle fleets' })
  .option('docs', { type: 'string', default: 'docs', describe: 'where capacity.json and CAPACITY.md are' })
  .strict()
  .parseSync();

const fail = (why: string): never => {
  process.stderr.write(`capacity: ${why}\n`);
  process.exit(2);
};
const must = <T>(f: () => T): T => {
  try {
    return f();
  } catch (e) {
    return fail(e instanceof Error ? e.message : String(e));
  }
};

const wanted = (a.only === undefined ? [...PARTS] : a.only.split(',').filter((p) => p && p !== 'none')) as Part[];
const unknown = wanted.find((p) => !PARTS.includes(p));
if (unknown !== undefined) fail(`--only: there is no part '${unknown}'; there are ${PARTS.join(', ')}`);
const size = must(() => ({
  hollow: sizesOf('hollow', a.hollow),
  seeds: sizesOf('seeds', a.seeds),
  shards: sizesOf('shards', a.shards),
  value: sizesOf('value', a.value),
  facts: sizesOf('facts', a.facts),
  subscriptions: sizesOf('subscriptions', a.subscriptions),
  conns: sizesOf('conns', a.conns),
  relays: sizesOf('relays', a.relays),
  processes: sizesOf('processes', a.processes),
}));
const demand: Demand = {
  ...(wanted.includes('control') ? { hollow: size.hollow } : {}),
  ...(wanted.includes('value') ? { shards: size.value } : {}),
  ...(wanted.includes('conns') ? { conns: size.conns } : {}),
  ...(wanted.includes('fanout') ? { peers: size.relays } : {}),
  ...(wanted.includes('idle') ? { processes: size.processes } : {}),
};
const why = misfit(demand, { cores: availableParallelism(), memoryBytes: totalmem() });
if (why !== undefined) fail(`nothing was started: ${why}`);

const file = join(a.docs, 'capacity.json');
const say = (line: string): void => consola.info(line);

/** What is measured is of a commit: what is not committed could not be had again. */
const commit = (): string => {
  const git = (...x: string[]): string => execFileSync('git', x, { encoding: 'utf8' }).trim();
  const changed = git('status', '--porcelain', '--', 'packages', 'platform').split('\n').filter(Boolean);
  if (changed.length) consola.warn(`the code is not as committed: ${changed.length} files changed`);
  return git('rev-parse', '--short=9', 'HEAD');
};

function keep(part: Part, series: Taken[], drills: Drilled[], load: number, at: string): void {
  const flag: Partial<Record<Part, string>> = {
    control: `--hollow ${a.hollow} --seeds ${a.seeds}`,
    shards: `--shards ${a.shards}`,
    value: `--value ${a.value}`,
    board: `--facts \
${a.facts}`,
    interest: `--subscriptions ${a.subscriptions}`,
    conns: `--conns ${a.conns}`,
    fanout: `--relays ${a.relays}`,
    idle: `--processes ${a.processes}`,
  };
  const command = `npm run capacity -- --only ${part}${flag[part] ? ` ${flag[part]}` : ''}`;
  const round = (n: number): number => Number(n.toPrecision(5));
  const old: Measured = existsSync(file)
    ? readMeasured(file)
    : { cores: 1, memoryGiB: 1, node: '', series: [], drills: [] };
  const full: Series[] = series.map((s) => ({
    ...s,
    command,
    commit: at,
    load: round(load),
    points: s.points.map((p) => ({ x: round(p.x), y: round(p.y) })),
  }));
  const done: Drill[] = drills.map((d) => ({
    ...d,
    command,
    commit: at,
    fresh: round(d.fresh),
    owned: round(d.owned),
  }));
  for (const s of full) lineOf(s.points);
  const next: Measured = {
    cores: availableParallelism(),
    memoryGiB: Math.round(totalmem() / 1024 ** 3),
    node: process.version,
    series: [...old.series.filter((s) => !full.some((x) => x.id === s.id)), ...full].sort((x, y) =>
      x.id < y.id ? -1 : 1,
    ),
    drills: part === 'drills' ? done : old.drills,
  };
  writeFileSync(
    file,
    JSON.stringify(next, null, 1).replace(/\{\n\s+"x": ([^,]+),\n\s+"y": ([^\n]+)\n\s+\}/g, '{ "x": $1, "y": $2 }') +
      '\n',
  );
}

mkdirSync(a.docs, { recursive: true });
for (const part of wanted) {
  const load = loadavg()[0]!;
  const at = commit();
  say(`${part} (load ${load.toFixed(1)})`);
  switch (part) {
    case 'control':
      keep(part, await takeControl(size.hollow, size.seeds, say), [], load, at);
      break;
    case 'shards':
      keep(part, await takeShards(size.shards, 44, say), [], load, at);
      break;
    case 'value':
      keep(part, takeValue(size.value, say), [], load, at);
      break;
    case 'board':
      keep(part, await takeBoard(size.facts, say), [], load, at);
      break;
    case 'drills':
      keep(part, [], await takeDrills(44, say), load, at);
      break;
    case 'interest':
      keep(part, await takeInterest(size.subscriptions, say), [], load, at);
      break;
    case 'traffic':
      keep(part, await takeTraffic([20, 50, 125], say), [], load, at);
      break;
    case 'placement':
      keep(part, takePlacement([250, 500, 1_000], say), [], load, at);
      break;
    case 'seat':
      keep(part, await takeSeat([150, 300, 600, 900], say), [], load, at);
      break;
    case 'conns':
      keep(part, await takeConns(size.conns, say), [], load, at);
      break;
    case 'messages':
      keep(part, await takeMessages(say), [], load, at);
      break;
    case 'fanout':
      keep(part, await takeFanout(size.relays, say), [], load, at);
      break;
    case 'idle':
      keep(part, await takeIdle(size.processes, say), [], load, at);
      break;
  }
}
const m = must(() => readMeasured(file));
process.stdout.write('slope | value | spread (2 s.e.) | r2 | sizes\n--- | --- | --- | --- | ---\n');
for (const s of m.series) {
  const l = lineOf(s.points);
  process.stdout
    .write(`${s.id} | ${l.slope.toPrecision(3)} ${s.y} for each of: ${s.x} | ${l.spread.toPrecision(2)} | ${l.r2.toFixed(3)} | \
${l.sizes.map((x) => Math.round(x)).join(', ')}\n`);
}
const page = must(() => pageOf(m));
writeFileSync(join(a.docs, 'CAPACITY.md'), page);
for (const [name, svg] of plotsOf(m)) {
  const to = join(a.docs, 'capacity', `${name}.svg`);
  mkdirSync(dirname(to), { recursive: true });
  writeFileSync(to, svg);
}
say(`${join(a.docs, 'CAPACITY.md')} and ${m.series.length} plots are written`);
