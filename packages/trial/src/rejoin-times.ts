/** Measures, in virtual time, until a voter that was restarted or replaced is current and votes, by how many changes it missed. */
import { controlFleet, diskOf, type ControlFleet } from './test/control-fleet.js';
import { FAMILIES } from './test/small-fleet.js';
import type { SimNode } from './sim.js';

/** How finely a voter is watched. */
const STEP_MS = 5;
const GIVE_UP_MS = 20_000;

async function until(fleet: ControlFleet, done: () => boolean): Promise<number> {
  const from = fleet.sim.now;
  while (!done() && fleet.sim.now - from < GIVE_UP_MS) await fleet.sim.run(fleet.sim.now + STEP_MS);
  return Math.round(fleet.sim.now - from);
}

async function change(fleet: ControlFleet, at: SimNode, revision: number): Promise<void> {
  const body = { revision, document: {}, config: { families: FAMILIES } };
  const answer = await fleet.ask(at, 'SubmitConfig', body);
  if (answer.status !== 200) throw new Error(JSON.stringify(answer));
}

async function measure(seed: number, missed: number, replaced: boolean): Promise<string> {
  const fleet = await controlFleet(seed, { relays: 1 });
  const [first, second, third] = fleet.controls as [SimNode, SimNode, SimNode];
  if (replaced) fleet.sim.loseDisk(third);
  else fleet.sim.kill(third);
  await fleet.pass(3_000);
  for (let i = 0; i < missed; i++) await change(fleet, i % 2 ? first : second, i + 2);
  const back = replaced ? fleet.spare('control', third.config.domain) : third;
  void fleet.sim.start(back);
  const register = () => (back.kernel?.has('register') ? back.kernel.use('register') : undefined);
  const revision = first.kernel!.use('register').value!.revision;
  const current = await until(
    fleet,
    () => register()?.hasReadLease() === true && register()!.value!.revision === revision,
  );
  const expected = fleet.controls.filter((c) => c !== third).concat(back);
  const isSettled = (): boolean => {
    const { voters, previousVoters } = first.kernel!.use('register').value!;
    return [voters, previousVoters].every((set) => [...set].sort().join() === expected.map(diskOf).sort().join());
  };
  const voter = await until(fleet, () => back.kernel?.has('register') === true && isSettled());
  // With another voter cut off each change needs its vote.
  for (const other of fleet.sim.nodes.values()) if (other !== second) fleet.sim.cut(second.name, other.name);
  const from = fleet.sim.now;
  await change(fleet, first, missed + 2);
  const took = Math.round(fleet.sim.now - from);
  fleet.sim.close();
  return `current after ${current} ms, the voters settled with it ${voter} ms later, a change that needs its vote takes ${took} ms`;
}

for (const missed of (process.argv[2] ?? '0,100,1000').split(',').map(Number))
  for (const replaced of [false, true])
    process.stdout.write(
      `${missed} missed, ${replaced ? 'replaced' : 'restarted'}: ${await measure(1, missed, replaced)}\n`,
    );
process.exit(0);
