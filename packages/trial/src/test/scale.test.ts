import test from 'ava';
import { build, SMALL } from '../scenario.js';
import { Sim } from '../sim.js';

/** KiB and visits between peers, per node and second, of a quiet fleet. */
async function quiet(size: number): Promise<{ visits: number; kib: number }> {
  const sim = new Sim(71);
  const stores = Math.round(size / 4);
  await build(sim, { ...SMALL, stores, relays: size - stores, relayDisks: 0, consumers: 0 });
  await sim.run(12_000);
  sim.measure = true;
  await sim.run(16_000);
  const all = [...sim.traffic.values()];
  sim.close();
  return { visits: all.reduce((n, t) => n + t.n, 0) / size / 4, kib: all.reduce((n, t) => n + t.bytes, 0) / size / 4 / 1024 };
}

test('the control plane costs a node about the same in a fleet three times as large', async (t) => {
  const [small, large] = [await quiet(16), await quiet(48)];
  t.log(`16 nodes: ${small.visits.toFixed(1)} visits, ${small.kib.toFixed(1)} KiB; 48 nodes: ${large.visits.toFixed(1)} visits, ${large.kib.toFixed(1)} KiB per node and s`);
  t.true(large.visits < small.visits * 1.3);
  t.true(large.kib < small.kib * 1.3);
});
