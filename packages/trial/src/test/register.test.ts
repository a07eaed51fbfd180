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
