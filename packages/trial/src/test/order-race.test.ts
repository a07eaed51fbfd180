import test from 'ava';
import { findLinearization } from '../linearizable.js';
import { race } from './order-race.js';

for (const [operators, seeds] of [
  [2, [1, 2, 3, 4]],
  [4, [11, 12, 13, 14]],
] as const) {
  test(`${operators} operators race under shared numbers, with troubles: one order of their calls explains all answers`, async (t) => {
    for (const seed of seeds) {
      const seen = await race(seed, operators);
      t.deepEqual(seen.wrong, [], `seed ${seed}`);
      const found = findLinearization(seen.calls, 1);
      t.is(found.tag, 'explained', `seed ${seed}: ${JSON.stringify(found, null, 1)}`);
      t.log(`seed ${seed}: ${seen.calls.length} calls, ${seen.lost} answers lost, ${seen.conflicts} conflicts`);
      t.true(seen.calls.length >= operators * 20);
    }
  });
}
