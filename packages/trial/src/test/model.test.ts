import test from 'ava';
import { explore, PLANS, type ModelPlan } from '../model.js';
import { exploreKey, KEY_PLANS, type KeyPlan } from '../model-key.js';

// Sizes at which every order of messages can be followed; the command `npm run model` goes further.
const TWO: ModelPlan = { ...PLANS.get('two-changes')!, retries: 0 };
const LOSSY: ModelPlan = { ...PLANS.get('lossy-change')!, retries: 0 };

test('two changes at once, in every order of messages: one chain of values, and nothing done is gone', async (t) => {
  const r = await explore(TWO);
  t.is(r.bad, undefined);
  t.true(r.whole);
  t.log(`${r.states} states`);
  t.true(
    r.states > 10_000,
    'a search that sees far fewer states than the 12,767 of before has lost sight of something',
  );
});

test('changes with a message or an answer lost and a seat begun anew, in every order', async (t) => {
  const r = await explore(LOSSY);
  t.is(r.bad, undefined);
  t.true(r.whole);
  t.log(`${r.states} states`);
  t.true(r.states > 10_000, 'there were 13,408');
});

test('a seat goes to another disk beside a change: as far as the search goes', async (t) => {
  const r = await explore({ ...PLANS.get('seat-change')!, mostStates: 4_000 });
  t.is(r.bad, undefined);
  t.is(r.states, 4_000);
});

test('a voter is replaced by another in one step beside a change: as far as the search goes', async (t) => {
  const r = await explore({ ...PLANS.get('voter-replaced')!, mostStates: 4_000 });
  t.is(r.bad, undefined);
  t.is(r.states, 4_000);
});

const planted: [NonNullable<ModelPlan['planted']>, ModelPlan][] = [
  ['accepts below its promise', TWO],
  ['forgets its promise', TWO],
  ['hides what it accepted', TWO],
  ['comes back older', { ...TWO, restarts: 1 }],
  ['heeds no voters before', PLANS.get('voter-replaced')!],
];
for (const [fault, plan] of planted) {
  test(`a seat that ${fault} is found out`, async (t) => {
    const r = await explore({ ...plan, planted: fault });
    t.truthy(r.bad);
    t.log(`${r.states} states: ${r.bad!.what}`);
  });
}

const HANDOVER = KEY_PLANS.get('handover')!;

test('a key goes to another owner while a message is on its way, in every order', async (t) => {
  const r = await exploreKey(HANDOVER);
  t.is(r.bad, undefined);
  t.true(r.whole);
  t.log(`${r.states} states`);
  t.true(r.states > 25_000, 'there were 53,648');
});

test('messages of a sender with a visit or an answer lost, in every order', async (t) => {
  const r = await exploreKey(KEY_PLANS.get('lossy')!);
  t.is(r.bad, undefined);
  t.true(r.whole);
  t.log(`${r.states} states`);
  t.true(r.states > 1_500, 'there were 3,383');
});

test('a key goes to another owner and a node begins anew: as far as the search goes', async (t) => {
  const r = await exploreKey({ ...KEY_PLANS.get('handover-restart')!, mostStates: 10_000 });
  t.is(r.bad, undefined);
  t.is(r.states, 10_000);
});

test('a copy is replaced in one step while an owner of the generation before takes the key: as far as the search goes', async (t) => {
  const r = await exploreKey({ ...KEY_PLANS.get('replacement')!, mostStates: 10_000 });
  t.is(r.bad, undefined);
  t.is(r.states, 10_000);
});

const plantedKey: [NonNullable<KeyPlan['planted']>, KeyPlan][] = [
  ['takes lower fences', HANDOVER],
  ['hides its history', HANDOVER],
  ['heeds no copies before', KEY_PLANS.get('replacement')!],
  ['forgets its promise', { ...HANDOVER, restarts: 1 }],
  ['answers before it has synced', { ...HANDOVER, restarts: 1 }],
];
for (const [fault, plan] of plantedKey) {
  test(`a copy that ${fault} is found out`, async (t) => {
    const r = await exploreKey({ ...plan, planted: fault });
    t.truthy(r.bad);
    t.log(`${r.states} states: ${r.bad!.what}`);
  });
}
