/** Command line: a soak of real processes under overlapping signals, restarts and changes, drawn from the seed and judged. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { realClock, sleep } from '@harecross/kernel';
import { consola } from 'consola';
import yargs from 'yargs';
import { audit, type ClientTransport, type ClientContext } from './simulated-clients.js';
import { Fleet } from './process-fleet.js';
import { Journal } from './journal.js';
import { checkJournal, SETTLE_MS, TIMING_INDEPENDENT_RULES, type Violation } from './oracle.js';
import { fleetConfigOf, createClients, SMALL, type DeploymentSpec } from './scenario.js';
import { seededRandom } from './sim.js';
import { drawSoak } from './soak/schedule.js';
import { SOAK_LOSSES, SoakStage } from './soak/fault-context.js';

const options = yargs(process.argv.slice(2))
  .scriptName('soak')
  .usage(
    '$0 [flags]\n\nRuns real processes under drawn, overlapping signals, restarts and changes, and judges what callers saw.',
  )
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'how many seeds, one after another' })
  .option('for-s', { type: 'number', default: 30, describe: 'seconds of troubles' })
  .option('relays', { type: 'number', default: SMALL.relays })
  .option('stores', { type: 'number', default: SMALL.stores })
  .option('log', { type: 'boolean', default: false, describe: 'print what is done' })
  .strict()
  .parseSync();

/** Founding, and the first connections. */
const START_MS = 6_000;
const CALM_MS = 3_000;
/** How long an auditor reads back what was accepted: longer than a fleet needs after its last trouble. */
const AUDIT_MS = 40_000;
/** Answers take this long on their way to the observer on a machine that has other work. */
const WAY_MS = 1_500;
const IN_FORCE_MS = 3_000;

/** Clients go on with a node until its process is gone, whatever it says of its condition. */
const untilGone = (fleet: Fleet): ClientTransport => ({
  ...fleet.clientTransport,
  nodes: (domain) =>
    fleet.relays
      .filter((proc) => proc.up && (domain === undefined || proc.config.domain === domain))
      .map((proc) => proc.config.client),
});

async function startFleet(site: DeploymentSpec, folder: string): Promise<Fleet> {
  const fleet = await Fleet.create(site, folder);
  for (const proc of fleet.procs) {
    proc.config.losses = SOAK_LOSSES;
    fleet.writeConfig(proc);
  }
  fleet.startAll();
  return fleet;
}

async function soak(seed: number): Promise<boolean> {
  const site: DeploymentSpec = { ...SMALL, relays: options.relays, relayDisks: 0, stores: options.stores };
  const folder = mkdtempSync(join(tmpdir(), 'harecross-soak-'));
  const beganAt = realClock.now();
  const clock: ClientContext['clock'] = {
    now: () => realClock.now() - beganAt,
    wall: () => realClock.wall(),
    after: (ms, fn) => realClock.after(ms, fn),
  };
  const journal = new Journal(() => clock.now());
  const fleet = await startFleet(site, folder);
  const world: ClientContext = { clock, random: seededRandom(seed), clientTransport: untilGone(fleet), journal };
  const { consumers, senders, operator } = createClients(world, site, { staysUntilEnd: true });
  const tellNode = ({ config, role }: Fleet['procs'][number]): void =>
    journal.add({ k: 'node', node: config.client, domain: config.domain, role });
  const say = (line: string): void => {
    if (options.log) consola.info(`${(clock.now() / 1000).toFixed(1)} s: ${line}`);
  };
  fleet.procs.forEach(tellNode);
  journal.add({ k: 'weather', well: [], ailing: [], able: true, rough: true, poor: [] });
  await sleep(realClock, START_MS);
  await operator.submit('first', fleetConfigOf(site), true);
  for (const actor of [...consumers, ...senders]) actor.start();
  await sleep(realClock, CALM_MS);

  const entries = drawSoak(seededRandom(seed), options.forS * 1000);
  const stage = new SoakStage(fleet, site, operator, say, tellNode);
  await stage.play(entries);
  await sleep(realClock, CALM_MS);
  for (const sender of senders) sender.stop();
  await sleep(realClock, CALM_MS);
  const audited = await audit(world, 'audit', fleetConfigOf(site), AUDIT_MS);
  await sleep(realClock, SETTLE_MS);
  await operator.read(true);
  const ended = stage.endedByThemselves();
  journal.add({ k: 'end' });
  for (const consumer of consumers) consumer.stop();
  await fleet.close();

  const bad = checkJournal(journal.seen, { observationDelayMs: WAY_MS, timed: false, configInForceMs: IN_FORCE_MS }).filter(({ rule }) =>
    TIMING_INDEPENDENT_RULES.includes(rule),
  );
  report(seed, entries.length, fleet, journal, audited, bad);
  for (const process of ended) consola.error(`ended by itself: ${process}`);
  writeFileSync(join(folder, 'journal.json'), journal.seen.map((seen) => JSON.stringify(seen)).join('\n'));
  const isClean = bad.length + ended.length === 0;
  if (isClean) rmSync(folder, { recursive: true, force: true });
  else consola.error(`logs and journal are in ${folder}`);
  return isClean;
}

function report(
  seed: number,
  entryCount: number,
  fleet: Fleet,
  journal: Journal,
  audited: number,
  bad: Violation[],
): void {
  const accepted = journal.seen.filter((seen) => seen.k === 'pub.answer' && seen.out === 'accepted').length;
  const delivered = journal.seen.filter((seen) => seen.k === 'deliver').length;
  const counts = `${fleet.procs.length} processes, ${entryCount} entries, ${accepted} accepted, ${delivered} delivered`;
  consola.info(
    `seed ${seed}: ${counts}, ${audited} topics read back: ${bad.length ? `${bad.length} violations` : 'clean'}`,
  );
  for (const { rule, t, what } of bad.slice(0, 20)) consola.error(`${rule} at ${t}: ${what}`);
}

let failed = 0;
for (let i = 0; i < options.seeds; i++) if (!(await soak(options.seed + i))) failed++;
consola.info(failed ? `VERDICT: ${failed} of ${options.seeds} seeds failed` : `VERDICT: clean, ${options.seeds} seeds`);
process.exit(failed ? 1 : 0);
