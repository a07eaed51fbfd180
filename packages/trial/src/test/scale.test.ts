import test from 'ava';
import { createMachines, SMALL } from '../scenario.js';
import { Sim } from '../sim.js';

/** KiB and visits between peers, per node and second, of a quiet fleet. */
async function quiet(size: number): Promise<{ visits: number; kib: number }> {
  const sim = new Sim(71);
  const stores = Math.round(size / 4);
  await createMachines(sim, { ...SMALL, stores, relays: size - stores, relayDisks: 0, consumers: 0 });
  await sim.run(12_000);
  sim.measureTraffic = true;
  await sim.run(16_000);
  const all = [...sim.requestTraffic.values()];
  sim.close();
  return {
    visits: all.reduce((n, t) => n + t.n, 0) / size / 4,
    kib: all.reduce((n, t) => n + t.bytes, 0) / size / 4 / 1024,
  };
}

test('the control plane costs a node about the same in a fleet three times as large, and never much', async (t) => {
  const told: string[] = [];
  const of = async (size: number): Promise<{ visits: number; kib: number }> => {
    const q = await quiet(size);
    told.push(`${size} nodes: ${q.visits.toFixed(1)} visits, ${q.kib.toFixed(1)} KiB`);
    return q;
  };
  // Four seats, then all seven: from there on nothing grows.
  const [small, large, larger] = [await of(16), await of(48), await of(144)];
  t.log(`${told.join('; ')} per node and s`);
  t.true(small.visits < 16 && small.kib < 3);
  t.true(large.visits < 24 && large.kib < 4.5);
  t.true(larger.visits < large.visits * 1.3);
  t.true(larger.kib < large.kib * 1.3);
});
