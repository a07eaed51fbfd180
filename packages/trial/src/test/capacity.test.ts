import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { lineOf, misfit, readMeasured, sizesOf } from '../capacity-data.js';
import { pageOf, plotsOf, verdict } from '../capacity-page.js';
import { takeControl, takePlacement, takeValue, valueOf } from '../capacity-virtual.js';

const docs = fileURLToPath(new URL('../../../../docs', import.meta.url));
const measured = () => readMeasured(join(docs, 'capacity.json'));
const command = (...flags: string[]) =>
  spawnSync(process.execPath, [fileURLToPath(new URL('../capacity.js', import.meta.url)), ...flags], {
    encoding: 'utf8',
  });
const machine = { cores: 8, memoryBytes: 16 * 1024 ** 3 };

test('the page and its plots are what the measured file gives', (t) => {
  const m = measured();
  t.is(readFileSync(join(docs, 'CAPACITY.md'), 'utf8'), pageOf(m));
  const plots = plotsOf(m);
  t.deepEqual(readdirSync(join(docs, 'capacity')).sort(), [...plots.keys()].map((id) => `${id}.svg`).sort());
  for (const [id, svg] of plots) t.is(readFileSync(join(docs, 'capacity', `${id}.svg`), 'utf8'), svg, id);
});

test('another figure gives another page and another plot', (t) => {
  const m = measured();
  const s = m.series.find((x) => x.id === 'conn-memory')!;
  const other = {
    ...m,
    series: m.series.map((x) => (x === s ? { ...s, points: s.points.map((p) => ({ ...p, y: p.y * 2 })) } : x)),
  };
  t.not(pageOf(other), pageOf(m));
  t.not(plotsOf(other).get('conn-memory'), plotsOf(m).get('conn-memory'));
  t.is(plotsOf(other).get('conn-join'), plotsOf(m).get('conn-join'));
});

test('every slope was taken at three sizes, by a command, at a commit; the control plane at 550 nodes or more', (t) => {
  const m = measured();
  for (const s of m.series) {
    t.true(lineOf(s.points).sizes.length >= 3, s.id);
    t.regex(s.command, /^npm run capacity -- --only \w+/, s.id);
  }
  t.true(Math.max(...m.series.find((s) => s.id === 'control-requests')!.points.map((p) => p.x)) >= 550);
});

test('the verdict goes from the hardest gap down, and what is not carried names a step that the page tells', (t) => {
  const m = measured();
  const rows = verdict(m);
  const page = pageOf(m);
  t.true(rows.some((r) => r.factor > 1));
  for (const [i, r] of rows.entries()) {
    t.false(Number.isNaN(r.factor), r.duty);
    if (i) t.true(rows[i - 1]!.factor >= r.factor, r.duty);
    if (r.factor <= 1) continue;
    t.regex(r.step, /^B\d+(, B\d+)*$/, r.duty);
    for (const b of r.step.split(', ')) t.true(page.includes(`**${b}. `), `${r.duty}: ${b}`);
  }
});

test('a page without one of its series says which', (t) => {
  const m = measured();
  const e = t.throws(() => pageOf({ ...m, series: m.series.filter((s) => s.id !== 'conn-memory') }));
  t.regex(e!.message, /nothing was measured under 'conn-memory'/);
});

test('a line through points that lie on one, and its spread through points that do not', (t) => {
  const l = lineOf([1, 2, 3, 4].map((x) => ({ x, y: 5 + 2 * x })));
  t.is(l.slope, 2);
  t.is(l.base, 5);
  t.is(l.spread, 0);
  t.is(l.r2, 1);
  const rough = lineOf([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
    { x: 3, y: 3 },
  ]);
  t.is(rough.slope.toFixed(3), '0.800');
  t.is(rough.spread.toFixed(3), '0.849');
  t.throws(
    () =>
      lineOf([
        { x: 1, y: 1 },
        { x: 1, y: 2 },
        { x: 2, y: 3 },
      ]),
    { message: 'a slope needs three sizes, not 2' },
  );
});

test('sizes that do not fit the machine are named with the reason', (t) => {
  t.is(
    misfit(
      {
        hollow: [60, 140, 550],
        conns: [500, 1_000, 3_900],
        processes: [6, 12, 24],
        shards: [32, 1_000, 250_000],
        peers: [50, 150, 550],
      },
      machine,
    ),
    undefined,
  );
  t.is(
    misfit({ hollow: [60, 140, 5_000] }, machine),
    "hollow 5000: needs about 19.5 GiB, half of this machine's memory is 8.0 GiB",
  );
  t.is(misfit({ conns: [500, 1_000, 62_000] }, machine), 'conns 62000: at most 3900');
  t.is(misfit({ processes: [6, 12, 100] }, machine), 'processes 100: at most 56');
  t.is(misfit({ processes: [6, 12, 300] }, { ...machine, cores: 64 }), 'processes 300: at most 200');
  t.is(
    misfit({ processes: [6, 12, 50] }, { ...machine, memoryBytes: 4 * 1024 ** 3 }),
    "processes 50: needs about 4.9 GiB, half of this \
machine's memory is 2.0 GiB",
  );
  t.is(
    misfit({ shards: [32, 1_000, 10_000_000] }, machine),
    "shards 10000000: needs about 57.2 GiB, half of this machine's memory is 8.0 \
GiB",
  );
  t.is(misfit({ peers: [1, 2, 5_000] }, machine), 'peers 5000: at most 2000');
  t.is(misfit({ hollow: [60, 140, 140] }, machine), 'hollow 60,140,140: a slope needs three different sizes');
  t.is(misfit({ hollow: [4, 60, 140] }, machine), 'hollow 4: must be a whole number of at least 12');
  t.throws(() => sizesOf('hollow', '60,many'), { message: "--hollow: 'many' is no size" });
  t.throws(() => sizesOf('hollow', '60,-5'), { message: "--hollow: '-5' is no size" });
  t.throws(() => sizesOf('hollow', ''), { message: "--hollow: '' is no size" });
});

test('the command refuses before anything starts, and writes nothing', (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-capacity-test-'));
  const at = join(folder, 'docs');
  try {
    for (const [flags, why] of [
      [
        ['--only', 'control', '--hollow', '60,140,9999999'],
        /^capacity: nothing was started: hollow 9999999: needs about .* GiB, half of this machine's memory is .* GiB\n$/,
      ],
      [['--only', 'conns', '--conns', '10,20,62000'], /^capacity: nothing was started: conns 62000: at most 3900\n$/],
      [
        ['--only', 'idle', '--processes', '6,12,99999'],
        /^capacity: nothing was started: processes 99999: at most \d+\n$/,
      ],
      [['--only', 'control', '--hollow', '60,few'], /^capacity: --hollow: 'few' is no size\n$/],
      [['--only', 'weather'], /^capacity: --only: there is no part 'weather'; there are control, /],
      [['--only', 'none'], /^capacity: .*capacity\.json: ENOENT/],
    ] as [string[], RegExp][]) {
      const r = command(...flags, '--docs', at);
      t.is(r.status, 2, flags.join(' '));
      t.regex(r.stderr, why);
      t.false(existsSync(join(at, 'capacity.json')));
      t.false(existsSync(join(at, 'CAPACITY.md')));
    }
    const bad = join(folder, 'bad.json');
    writeFileSync(bad, '{ "cores": 4 }');
    t.throws(() => readMeasured(bad), { message: /bad\.json: \/: / });
    writeFileSync(bad, '{');
    t.throws(() => readMeasured(bad), { message: /bad\.json: / });
    const m = measured();
    writeFileSync(bad, JSON.stringify({ ...m, series: [...m.series, m.series[0]] }));
    t.throws(() => readMeasured(bad), { message: new RegExp(`'${m.series[0]!.id}' is there twice`) });
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
});

test("the value grows by its shards, and the fleet's own placement bears a zone but not a region", (t) => {
  const said: string[] = [];
  const by = new Map(takeValue([32, 100, 400], (s) => said.push(s)).map((s) => [s.id, s]));
  t.is(said.length, 3);
  t.is(valueOf(400, 550).shards.size, 400);
  const l = lineOf(by.get('value-bytes')!.points);
  t.true(l.slope > 0.02 && l.slope < 0.2, `${l.slope} KiB a shard`);
  t.true(l.r2 > 0.99);
  const [zone, region] = takePlacement([60, 120, 240], () => undefined);
  for (const p of zone!.points) t.is(p.y, 100);
  for (const p of region!.points) t.true(p.y > 20 && p.y < 60, `${p.y} %`);
});

test("a hollow control plane: confirmations at a seat grow with the nodes, a node's own requests do not", async (t) => {
  const by = new Map((await takeControl([24, 44, 64], [1], () => undefined)).map((s) => [s.id, s]));
  const confirms = lineOf(by.get('seat-confirms')!.points);
  // Every node asks two of the three seats every 600 ms, or a little later.
  t.true(confirms.slope > 0.8 && confirms.slope < 1.2, `${confirms.slope} a second and node`);
  const own = by.get('control-requests')!.points;
  t.true(own.at(-1)!.y < own[0]!.y * 1.5);
  for (const s of by.values()) t.is(s.points.length, 3);
});
