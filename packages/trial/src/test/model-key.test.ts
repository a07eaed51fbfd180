import test from 'ava';
import { exploreShard, SHARD_PLANS, type ShardPlan } from '../model-key.js';

const HANDOVER = SHARD_PLANS.get('handover')!;

test('messages of a sender with a visit or an answer lost, in every order', async (t) => {
  const r = await exploreShard(SHARD_PLANS.get('lossy')!);
  t.is(r.violation, undefined);
  t.true(r.complete);
  t.log(`${r.states} states`);
  t.true(r.states > 1_500, 'there were 3,383');
});

test('a key goes to another owner and a node begins anew: as far as the search goes', async (t) => {
  const r = await exploreShard({ ...SHARD_PLANS.get('handover-restart')!, maxStates: 10_000 });
  t.is(r.violation, undefined);
  t.is(r.states, 10_000);
});

test('a copy is replaced in one step while an owner of the generation before takes the key: as far as the search goes', async (t) => {
  const r = await exploreShard({ ...SHARD_PLANS.get('replacement')!, maxStates: 10_000 });
  t.is(r.violation, undefined);
  t.is(r.states, 10_000);
});

const plantedKey: [NonNullable<ShardPlan['injectedFault']>, ShardPlan][] = [
  ['accepts lower fences', HANDOVER],
  ['reports an empty log', HANDOVER],
  ['ignores the previous replicas', SHARD_PLANS.get('replacement')!],
  ['forgets its promise', { ...HANDOVER, restarts: 1 }],
  ['answers before it has synced', { ...HANDOVER, restarts: 1 }],
];
for (const [fault, plan] of plantedKey) {
  test(`a copy that ${fault} is found out`, async (t) => {
    const r = await exploreShard({ ...plan, injectedFault: fault });
    t.truthy(r.violation);
    t.log(`${r.states} states: ${r.violation!.what}`);
  });
}
