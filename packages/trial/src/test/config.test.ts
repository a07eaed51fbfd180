import test from 'ava';
import type { SimNode } from '../sim.js';
import { FAMILIES, smallFleet } from './small-fleet.js';

test('by revision: the highest holds, a lower or equal one is answered with it and changes nothing, and all is read back', async (t) => {
  const s = await smallFleet(101);
  const [r1, r2] = s.relays as [SimNode, SimNode];
  const submit = (n: SimNode, revision: number, x: object = {}) => s.ask(n, 'SubmitConfig', { revision, config: { families: FAMILIES }, ...x });
  const document = { routes: [{ 'name': 'r-1', 'path_prefix': 'a.' }], empty: [], none: null, 'ü': 0.1, '__proto__x': { constructor: 1 } };

  t.deepEqual(await submit(r1, 7, { document }), { status: 200, body: { version: 2, revision: 7 } });
  t.deepEqual(await submit(r2, 7, { document }), { status: 200, body: { version: 2, revision: 7 } }, 'resent to another node');
  t.deepEqual(await submit(s.stores[0]!, 3, { config: { families: [] } }), { status: 200, body: { version: 2, revision: 7 } }, 'an old one, late');
  t.deepEqual((await s.ask(r2, 'ReadConfig', {})).body, { version: 2, changeId: 'revision-7', revision: 7, document, config: { families: FAMILIES } });

  t.is((await submit(r1, 3, { config: { families: 1 } })).body.error.tag, 'invalid_config', 'what is wrong is never acknowledged, however old');
  t.is((await submit(r1, 9, { config: { families: 1 } })).body.error.tag, 'invalid_config');
  t.is((await submit(r1, 9, { expect: 2 })).body.error.tag, 'bad_visit');
  t.is((await s.ask(r1, 'ReadConfig', {})).body.revision, 7);

  // Without a revision the one in force stays, and with it what is above it.
  t.deepEqual((await s.ask(r1, 'SubmitConfig', { changeId: 'by hand', expect: 2, config: { families: [] } })).body, { version: 3 });
  t.deepEqual((await s.ask(r2, 'ReadConfig', {})).body, { version: 3, changeId: 'by hand', revision: 7, config: { families: [] } });
  t.deepEqual((await submit(r2, 7)).body, { version: 3, revision: 7 });
  t.deepEqual((await submit(r2, 8, { changeId: 'named' })).body, { version: 4, revision: 8 });
  // A calendar changes neither the revision nor the operators' words.
  t.deepEqual((await submit(r2, 20, { document: 'words' })).body, { version: 5, revision: 20 });
  t.is((await s.ask(r1, 'PlanMoves', { changeId: 'plan', moves: [] })).body.version, 6);
  t.deepEqual((await s.ask(r1, 'ReadConfig', {})).body, { version: 6, changeId: 'plan', revision: 20, document: 'words', config: { families: FAMILIES, moves: [] } });
  s.sim.close();
});
