import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sleep, type SyncedDatabase, type Log } from '@harecross/kernel';
import test from 'ava';
import { seededRandom, Sim } from '../sim.js';
import { SimDisk } from '../sim-disk.js';
import { DEPLOYMENTS } from '../trouble/deployment.js';
import { actionOf } from '../trouble/fault-actions.js';
import { MachineFleet, type Machine } from '../trouble/machine-fleet.js';
import { drawSchedule, FAULT_KINDS, parseSchedule, formatSchedule } from '../trouble/schedule.js';
import { shrinkSchedule } from '../trouble/shrink.js';
import { LossBudget } from '../trouble/loss-budget.js';

test('a drawn schedule is the same for a seed, and what is printed is read back', (t) => {
  const kinds = new Set<string>();
  for (let seed = 1; seed <= 200; seed++) {
    const troubles = drawSchedule(seed, 8);
    t.deepEqual(troubles, drawSchedule(seed, 8));
    t.deepEqual(parseSchedule(formatSchedule(troubles)), troubles);
    for (const { kind } of troubles) kinds.add(kind);
  }
  t.deepEqual([...kinds].sort(), [...FAULT_KINDS].sort(), 'every kind is drawn');
  t.throws(() => parseSchedule('node_kill@now'), { message: "not a trouble: 'node_kill@now'" });
});

test('every kind is played', (t) => {
  for (const kind of FAULT_KINDS) t.notThrows(() => actionOf(kind));
});

test('a failing schedule is shrunk to what it fails by', async (t) => {
  const fails = (some: number[]): Promise<boolean> => Promise.resolve(some.includes(3) && some.includes(11));
  t.deepEqual(await shrinkSchedule([1, 2, 3, 5, 7, 11, 13], fails), [3, 11]);
  t.deepEqual(await shrinkSchedule([3, 11], fails), [3, 11]);
});

test('never more machines are lost than may be, and each counts until repair had its time', async (t) => {
  for (const name of ['sss-control', 'hidrocross-grown']) {
    const deployment = DEPLOYMENTS.get(name)!;
    const sim = new Sim(1);
    const fleet = new MachineFleet(sim, deployment, 0);
    for (let i = 0; i < 6; i++) fleet.add('store').nodes[0]!.up = true;
    const stores = fleet.ofClass('store');
    const tolerance = new LossBudget(sim.clock, deployment.losses, deployment.repairMs);
    const lostUntil = new Map<Machine, number>();
    let strikes = 0;
    const random = seededRandom(7);
    const trouble = async (): Promise<void> => {
      await sleep(sim.clock, 20_000 * random.next());
      const claim = await tolerance.claim(() => stores, 1 + Math.floor(2 * random.next()), random);
      for (const machine of claim?.machines ?? []) lostUntil.set(machine, Infinity);
      strikes += claim?.machines.length ?? 0;
      const lost = [...lostUntil.values()].filter((until) => until > sim.now).length;
      t.true(lost <= deployment.losses, `${lost} are lost`);
      await sleep(sim.clock, 1_000 * random.next());
      claim?.back();
      for (const machine of claim?.machines ?? []) lostUntil.set(machine, sim.now + deployment.repairMs);
    };
    for (let i = 0; i < 8; i++) void trouble();
    await sim.run(120_000);
    t.true(strikes >= 8, `${strikes} strikes`);
    for (const store of stores) store.nodes[0]!.up = false;
    sim.close();
  }
});

const quiet: Log = { info: () => undefined, warn: () => undefined };

test('a loss of power takes only what was not synced, block by block or all of it', async (t) => {
  const root = mkdtempSync(join(tmpdir(), 'harecross-trouble-'));
  const sim = new Sim(3);
  const random = seededRandom(3);
  let outcomes = { kept: 0, gone: 0 };
  let acknowledged = 0;
  let written = 0;
  const disk = new SimDisk(root, { afterSync: (fn) => void sim.clock.after(5 * random.next(), fn) });
  for (let life = 0; life < 30; life++) {
    const db = disk.open(sim.clock, quiet, (e) => t.fail(e.message), 'a');
    db.sql.exec('create table if not exists t (n integer primary key, body text)');
    const last = (db.sql.prepare('select max(n) from t').pluck().get() as number | null) ?? 0;
    t.true(last >= acknowledged, `${last} lasts, ${acknowledged} was acknowledged`);
    const all = db.sql.prepare('select count(*) from t').pluck().get() as number;
    t.is(all, last, 'no hole is left');
    if (written > acknowledged) outcomes = last > acknowledged ? more(outcomes, 'kept') : more(outcomes, 'gone');
    acknowledged = last;
    written = last;
    const until = sim.now + 200 * random.next();
    while (sim.now < until) {
      const n = ++written;
      void write(db, n).then(() => {
        acknowledged = Math.max(acknowledged, n);
      });
      await sim.run(sim.now + 2 * random.next());
    }
    if (life % 3 === 0) disk.endProcess();
    else disk.losePower(random);
  }
  t.true(outcomes.kept > 3 && outcomes.gone > 3, JSON.stringify(outcomes));
  disk.wipe();
  rmSync(root, { recursive: true });
  sim.close();
});

const write = (db: SyncedDatabase, n: number): Promise<unknown> =>
  db.commit((sql) => sql.prepare('insert into t values (?, ?)').run(n, 'x'.repeat(3_000)));
const more = (outcomes: { kept: number; gone: number }, which: 'kept' | 'gone'): { kept: number; gone: number } => ({
  ...outcomes,
  [which]: outcomes[which] + 1,
});
