// The longest of the searches has a file, and so a thread, of its own.
import test from 'ava';
import { exploreShard, SHARD_PLANS } from '../model-key.js';

test('a key goes to another owner while a message is on its way, in every order', async (t) => {
  const r = await exploreShard(SHARD_PLANS.get('handover')!);
  t.is(r.violation, undefined);
  t.true(r.complete);
  t.log(`${r.states} states`);
  t.true(r.states > 25_000, 'there were 53,648');
});
