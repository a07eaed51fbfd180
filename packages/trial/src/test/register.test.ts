import test from 'ava';
import { Sim, type SimNode } from '../sim.js';

function fleet(seed: number, stores: number): { sim: Sim; all: SimNode[]; seeds: SimNode[] } {
  const sim = new Sim(seed);
  const all = Array.from({ length: stores }, (_, i) =>
    sim.add(`store${i + 1}`, { role: 'store', domain: 'abc'[i % 3]!, disk: true }),
  );
  const seeds = all.slice(0, 3);
  for (const n of all) n.config.seeds = seeds.map((s) => s.config.peer);
  return { sim, all, seeds };
}
const value = (n: SimNode) => (n.up ? n.kernel!.use('register').value : undefined);
const fleets = (all: SimNode[]): string[] => [
  ...new Set(all.map((n) => value(n)?.fleet).filter((x) => x !== undefined)),
];

test('a fleet is founded once: not before all three seeds are there, whatever the order of coming up', async (t) => {
  const { sim, all, seeds } = fleet(51, 5);
  for (const n of [seeds[0]!, seeds[1]!, all[3]!, all[4]!]) void sim.start(n);
  await sim.run(6_000);
  t.deepEqual(fleets(all), [], 'two seeds and others found nothing');
  void sim.start(seeds[2]!);
  await sim.run(12_000);
  t.is(fleets(all).length, 1);
  t.true(all.every((n) => n.kernel!.use('register').hasReadLease()));
  const id = fleets(all)[0];
  // The founder's machine comes back with an empty disk, and so does another seed, one after the other.
  for (const s of seeds.slice(0, 2)) {
    sim.loseDisk(s);
    void sim.start(s);
    await sim.run(sim.now + 15_000);
    t.deepEqual(fleets(all), [id]);
  }
  sim.close();
});

test('seeds that lost their seats long ago do not found a second fleet when they come up first', async (t) => {
  // The new disks of the seeds may get seats again; the first numbers of which none does is the one that is asked for.
  let caused = 0;
  for (let seed = 52; seed < 70 && !caused; seed++) {
    const { sim, all, seeds } = fleet(seed, 18);
    for (const n of all) void sim.start(n);
    await sim.run(12_000);
    const id = fleets(all)[0];
    for (const s of seeds) {
      sim.loseDisk(s);
      await sim.run(sim.now + 500);
      void sim.start(s);
      await sim.run(sim.now + 9_000);
    }
    const seats = value(all[5]!)!.voters;
    if (!seeds.some((s) => seats.includes(s.kernel!.use('register').disk!))) {
      caused++;
      for (const n of all) sim.kill(n);
      for (const s of seeds) void sim.start(s);
      await sim.run(sim.now + 10_000);
      t.deepEqual(
        fleets(seeds).filter((f) => f !== id),
        [],
        'no other fleet',
      );
      for (const n of all) void sim.start(n);
      await sim.run(sim.now + 10_000);
      t.deepEqual(fleets(all), [id]);
      t.true(all.every((n) => n.kernel!.use('register').hasReadLease()));
    }
    sim.close();
  }
  t.is(caused, 1, 'the seats had moved to other machines');
});

test('founding cut short is finished, not begun anew', async (t) => {
  // The founder dies at every step of its founding, in twenty places, and comes back.
  for (let i = 0; i < 20; i++) {
    const { sim, all, seeds } = fleet(60 + i, 3);
    for (const n of all) void sim.start(n);
    await sim.run(1_250 + i * 25);
    sim.kill(seeds[0]!);
    await sim.run(sim.now + 500);
    const early = fleets(all);
    void sim.start(seeds[0]!);
    await sim.run(sim.now + 8_000);
    const late = fleets(all);
    t.is(late.length, 1, `cut at step ${i}`);
    if (early.length) t.deepEqual(late, early);
    sim.close();
  }
});

/** The first moments of a fleet in which one seed's process ends and is started again: it is then told that this is no first start. */
async function restartedWhileFounding(
  seed: number,
  restarted: number,
  afterMs: number,
  isWiped: boolean,
): Promise<string[]> {
  const { sim, all, seeds } = fleet(seed, 5);
  for (const n of all) {
    Object.assign(n.config, { firstStart: true, losses: 1 });
    void sim.start(n);
  }
  await sim.run(afterMs);
  const early = fleets(all);
  const node = seeds[restarted]!;
  if (isWiped) sim.loseDisk(node);
  else sim.kill(node);
  node.config.firstStart = false;
  // The settings of that moment may name other seeds.
  node.config.seeds = all.slice(2, 5).map((n) => n.config.peer);
  await sim.run(sim.now + 1_000);
  void sim.start(node);
  await sim.run(sim.now + 10_000);
  const late = fleets(all);
  const faults: string[] = [];
  if (late.length !== 1 || !all.every((n) => value(n))) faults.push(`fleets: ${late.join()}`);
  if (early.length && early.join() !== late.join()) faults.push(`${early.join()} became ${late.join()}`);
  sim.close();
  return faults;
}

// Guards against a fleet that is never founded because the one process that may found it was started again.
for (const isWiped of [false, true])
  test(`a seed is started again while the fleet first starts, ${isWiped ? 'with its disk lost' : 'its disk as it was'}: one fleet is founded`, async (t) => {
    for (const restarted of [0, 1, 2])
      for (let i = 0; i < 8; i++) {
        const faults = await restartedWhileFounding(90 + i, restarted, 100 + i * 200, isWiped);
        t.deepEqual(faults, [], `seed ${restarted}, after ${100 + i * 200} ms`);
      }
  });

// Guards against a second fleet: what a disk remembers of the first start must not found one for machines that came later.
test('machines that come later found no fleet, whatever the disk of the first start that is with them', async (t) => {
  const { sim, all } = fleet(98, 4);
  for (const n of all) {
    Object.assign(n.config, { firstStart: true, losses: 1 });
    void sim.start(n);
  }
  // The fourth is no seed, and is away before it hears of the fleet.
  await sim.run(300);
  sim.kill(all[3]!);
  await sim.run(8_000);
  t.is(fleets(all).length, 1);
  for (const n of all) if (n.up) sim.kill(n);
  const later = ['x', 'y'].map((name) => sim.add(name, { role: 'store', domain: 'a', disk: true }));
  const together = [all[3]!, ...later];
  for (const n of together) {
    Object.assign(n.config, { firstStart: false, losses: 1, seeds: together.map((m) => m.config.peer) });
    void sim.start(n);
  }
  await sim.run(sim.now + 15_000);
  t.deepEqual(fleets(together), []);
  sim.close();
});
