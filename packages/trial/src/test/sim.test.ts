import { createHash } from 'node:crypto';
import test from 'ava';
import { FAULT_SCENARIOS } from '../faults.js';
import { runScenario } from '../scenario.js';

test('a seed gives one identical run, and another seed another', async (t) => {
  const digest = async (seed: number): Promise<string> => {
    const r = await runScenario(seed, FAULT_SCENARIOS.get('mixed')!);
    // Conn ids and answers carry everything nodes drew; lines carry every change of state.
    return createHash('sha256')
      .update(JSON.stringify(r.seen.map((s) => ('try' in s ? { ...s, try: 0 } : s))))
      .update(r.sim.lines.join('\n'))
      .digest('hex');
  };
  const a = await digest(21);
  t.is(await digest(21), a);
  t.not(await digest(22), a);
});
