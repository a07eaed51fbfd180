/**
 * Measures in virtual time how long a restarted or replaced voter takes until it is up to date and votes, by the number of changes that it
 * missed. The optional argument is a comma-separated list of those numbers.
 */
import { startControlFleet, diskIdOf, type ControlFleet } from './test/control-fleet.js';
import { FAMILIES } from './test/small-fleet.js';
import type { SimNode } from './sim.js';

/** Interval at which the state of the voter is polled, in virtual time. */
const POLL_MS = 5;
const TIMEOUT_MS = 20_000;

/** Runs the simulation until the condition holds or the timeout passes; returns the time it took. */
async function runUntil(fleet: ControlFleet, done: () => boolean): Promise<number> {
  const startedAt = fleet.sim.now;
  while (!done() && fleet.sim.now - startedAt < TIMEOUT_MS) await fleet.sim.run(fleet.sim.now + POLL_MS);
  return Math.round(fleet.sim.now - startedAt);
}

async function submitRevision(fleet: ControlFleet, at: SimNode, revision: number): Promise<void> {
  const body = { revision, document: {}, config: { families: FAMILIES } };
  const answer = await fleet.ask(at, 'SubmitConfig', body);
  if (answer.status !== 200) throw new Error(JSON.stringify(answer));
}

async function measure(seed: number, missed: number, replaced: boolean): Promise<string> {
  const fleet = await startControlFleet(seed, { relays: 1 });
  const [first, second, third] = fleet.controls as [SimNode, SimNode, SimNode];
  if (replaced) fleet.sim.loseDisk(third);
  else fleet.sim.kill(third);
  await fleet.advance(3_000);
  for (let i = 0; i < missed; i++) await submitRevision(fleet, i % 2 ? first : second, i + 2);
  const rejoining = replaced ? fleet.addMachine('control', third.config.domain) : third;
  void fleet.sim.start(rejoining);
  const register = () => (rejoining.kernel?.has('register') ? rejoining.kernel.use('register') : undefined);
  const revision = first.kernel!.use('register').value!.revision;
  const currentMs = await runUntil(
    fleet,
    () => register()?.hasReadLease() === true && register()!.value!.revision === revision,
  );
  const expected = fleet.controls.filter((c) => c !== third).concat(rejoining);
  const isSettled = (): boolean => {
    const { voters, previousVoters } = first.kernel!.use('register').value!;
    return [voters, previousVoters].every((set) => [...set].sort().join() === expected.map(diskIdOf).sort().join());
  };
  const voterMs = await runUntil(fleet, () => rejoining.kernel?.has('register') === true && isSettled());
  // The second voter is cut off, so that every change needs the vote of the rejoined one.
  for (const other of fleet.sim.nodes.values()) if (other !== second) fleet.sim.cut(second.name, other.name);
  const startedAt = fleet.sim.now;
  await submitRevision(fleet, first, missed + 2);
  const changeMs = Math.round(fleet.sim.now - startedAt);
  fleet.sim.close();
  return `up to date after ${currentMs} ms, in the settled voter set ${voterMs} ms later, a change that needs its vote takes ${changeMs} ms`;
}

for (const missed of (process.argv[2] ?? '0,100,1000').split(',').map(Number))
  for (const replaced of [false, true])
    process.stdout.write(
      `${missed} changes missed, ${replaced ? 'replaced' : 'restarted'}: ${await measure(1, missed, replaced)}\n`,
    );
process.exit(0);
