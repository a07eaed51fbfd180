import { Edge, statusOf } from '@harecross/data';
import { findConfigError } from '@harecross/kernel';
import { configFaults, FAULTS, Rpcs, visitFault, type Method } from '@harecross/schema';
import test from 'ava';
import fc from 'fast-check';
import type { Json } from '../json.js';
import type { SimNode } from '../sim.js';
import { FAMILIES, startSmallFleet } from './small-fleet.js';

const SEED = 20_261;
const METHODS = (Object.keys(Rpcs) as Method[]).filter((m) => m !== 'Attach');

/** Values near what a schema wants: right, nearly right, and anything. */
function near(s: Json, depth = 0): fc.Arbitrary<unknown> {
  const wild = fc.anything({ maxDepth: 2, withNullPrototype: false, withObjectString: true });
  const right = (): fc.Arbitrary<unknown> => {
    if (s.const !== undefined) return fc.constant(s.const);
    if (s.anyOf) return fc.oneof(...s.anyOf.map((x: Json) => near(x, depth + 1)));
    switch (s.type) {
      case 'string':
        return fc.oneof(
          fc.string({ maxLength: 20 }),
          fc.constantFrom('feed/1', 'alarm/2', 'x'.repeat(300), '', '../..', 'feed/*', '127.0.0.1:1/0/1'),
        );
      case 'integer':
        return fc.oneof(fc.integer({ min: -3, max: 40 }), fc.constantFrom(2 ** 53, -1, 1.5, 1e300));
      case 'number':
        return fc.oneof(fc.double(), fc.constantFrom(0, 0.2, 60, -1, 1e9));
      case 'boolean':
        return fc.boolean();
      case 'array':
        return fc.array(near(s.items, depth + 1), { maxLength: 3 });
      case 'object':
        return fc
          .record(Object.fromEntries(Object.entries(s.properties ?? {}).map(([k, v]) => [k, near(v, depth + 1)])), {
            requiredKeys: [],
          })
          .chain((o) =>
            fc.oneof(
              { weight: 5, arbitrary: fc.constant(o) },
              {
                weight: 1,
                arbitrary: fc
                  .dictionary(fc.string({ maxLength: 5 }), wild, { maxKeys: 2 })
                  .map((x) => ({ ...o, ...x })),
              },
            ),
          );
      default:
        return wild;
    }
  };
  return depth === 0
    ? fc.oneof({ weight: 8, arbitrary: right() }, { weight: 1, arbitrary: wild })
    : fc.oneof({ weight: 12, arbitrary: right() }, { weight: 1, arbitrary: wild });
}
const plain = (x: unknown): unknown => {
  const s = JSON.stringify(x);
  return s === undefined ? null : JSON.parse(s);
};

test.serial(
  'whatever a visit holds, the answer is tagged, with step and peer; never 500, and nothing changes',
  async (t) => {
    t.log(`seed ${SEED}`);
    const s = await startSmallFleet(77);
    const [a, b] = s.relays as [SimNode, SimNode];
    const inForce = (): string =>
      JSON.stringify(
        [a, b, ...s.stores].map((n) => {
          const v = n.kernel!.use('register').value!;
          return [v.version, v.config, [...v.disks.values()].map((d) => d.state)];
        }),
      );
    const before = inForce();
    const seen = new Map<string, number>();
    let told = 0;
    for (const m of METHODS) {
      // What operators rightly change is another test's matter: here only what is refused, or changes nothing.
      const changes = m === 'SubmitConfig' || m === 'PlanMoves';
      for (const raw of fc.sample(near(JSON.parse(JSON.stringify(Rpcs[m].visit))), { seed: SEED, numRuns: 40 })) {
        const body = plain(raw) as Json;
        if (
          changes &&
          Array.isArray(body?.config?.families ?? body?.moves) &&
          configFaults(body.config ?? { families: FAMILIES, moves: body.moves }).length === 0 &&
          visitFault(m, body) === undefined
        )
          continue;
        const r = await s.ask(a, m, body);
        const key = r.status === 200 ? '200' : String(r.body.error?.tag ?? r.body.rejected?.reason);
        seen.set(key, (seen.get(key) ?? 0) + 1);
        told++;
        t.true(
          r.status === 200 || (r.status >= 400 && r.status !== 500),
          `${m} ${JSON.stringify(body)}: ${r.status} ${JSON.stringify(r.body)}`,
        );
        const e = r.body.error;
        if (r.status !== 200 && !r.body.rejected) {
          t.true(
            FAULTS.has(e.tag) && e.step.length > 0 && /^\d+\.\d+\.\d+\.\d+:\d+$/.test(e.peer),
            `${m} ${JSON.stringify(body)}: ${JSON.stringify(e)}`,
          );
          t.is(r.status, statusOf(e));
        }
      }
    }
    t.is(inForce(), before);
    t.log(
      [...seen]
        .sort(([x], [y]) => (x < y ? -1 : 1))
        .map(([k, n]) => `${k} ${n}`)
        .join(', '),
    );
    t.true(
      told > 500 && (seen.get('bad_visit') ?? 0) > 100 && (seen.get('200') ?? 0) > 20,
      'both kinds were among them',
    );
    t.is(s.sim.errors.length, 0, s.sim.errors[0]);
    s.sim.close();
  },
);

test.serial('an Attach of anything is a conn or a tagged answer', async (t) => {
  const s = await startSmallFleet(78);
  const edge: Edge = s.relays[0]!.edge!;
  const sink = { write: () => true, close: () => undefined };
  for (const raw of fc.sample(near(JSON.parse(JSON.stringify(Rpcs.Attach.visit))), { seed: SEED, numRuns: 150 })) {
    const r = edge.attach(plain(raw), sink);
    if ('status' in r)
      t.true(
        r.status === 400 && r.body.error?.tag === 'bad_visit' && r.body.error.peer === s.relays[0]!.config.peer,
        JSON.stringify(r),
      );
  }
  t.true(s.relays[0]!.kernel!.use('sessions').size > 0, 'some were right');
  s.sim.close();
});

/** Configurations that are right by their making. */
const rightConfig = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 0, maxLength: 6 }).chain((names) =>
  fc.record({
    families: fc.tuple(
      ...names.map((name, i) =>
        fc
          .record({
            name: fc.constant(name),
            // No two the same: each has its own number. Inside one another they may lie.
            topics: fc.constantFrom(
              [`${i}/*`],
              [`${i}/a`, `${i}/b/*`],
              [`${i}.x`],
              [`${'/'.repeat(i)}*`, `${'/'.repeat(i)}!`],
            ),
            urgency: fc.constantFrom('urgent', 'routine'),
            patienceMs: fc.double({ min: 0.001, max: 600_000, noNaN: true }),
            memoryS: fc.double({ min: 0, max: 86_400, noNaN: true }),
          })
          .chain((f) =>
            fc
              .record(
                {
                  aimMs: fc.double({ min: 0.001, max: 1e6, noNaN: true }),
                  order: fc.constantFrom('sender', 'topic'),
                  precedence: fc.integer(),
                },
                { requiredKeys: [] },
              )
              .map((x) => ({ ...f, ...x })),
          ),
      ),
    ),
    copies: fc.integer({ min: 1, max: 9 }),
  }),
);

test.serial(
  'a configuration that is right is never refused; one that was spoilt in one place always is, with the place',
  async (t) => {
    const s = await startSmallFleet(79);
    const a = s.relays[0]!;
    let n = 0;
    for (const c of fc.sample(rightConfig, { seed: SEED, numRuns: 40 })) {
      const config = plain(c) as Json;
      const ok = await s.ask(a, 'SubmitConfig', { changeId: `right-${++n}`, config });
      t.is(ok.status, 200, JSON.stringify(ok.body));
      if (!config.families.length) continue;
      const spoils: [string, (f: Json) => void][] = [
        [
          '/families/0/memoryS',
          (f) => {
            f.memoryS = -1;
          },
        ],
        [
          '/families/0/urgency',
          (f) => {
            f.urgency = 'now';
          },
        ],
        [
          '/families/0/topics',
          (f) => {
            f.topics = [];
          },
        ],
        [
          '/families/0',
          (f) => {
            f.extra = 1;
          },
        ],
        [
          '/families/0',
          (f) => {
            delete f.patienceMs;
          },
        ],
      ];
      const [path, spoil] = spoils[n % spoils.length]!;
      const bad = structuredClone(config);
      spoil(bad.families[0]);
      const r = await s.ask(a, 'SubmitConfig', { changeId: `bad-${n}`, config: bad });
      t.is(r.body.error?.tag, 'invalid_config', JSON.stringify(bad));
      t.true(
        r.body.error.faults.some((f: { path: string }) => f.path.startsWith(path)),
        JSON.stringify(r.body),
      );
      t.is((await s.ask(a, 'ReadConfig', {})).body.changeId, `right-${n}`);
    }
    s.sim.close();
  },
);

test('any process config is taken or refused in one line', (t) => {
  const right = {
    domain: 'a',
    peer: '127.0.0.1:1',
    client: '127.0.0.1:2',
    seeds: ['127.0.0.1:1', '127.0.0.1:3', '127.0.0.1:4'],
  };
  const wild = fc.oneof(
    fc.anything({ maxDepth: 2 }),
    fc.constantFrom('127.0.0.1:1', 'x:1', '1.2.3.4:0', '1.2.3.4:65536', '256.1.1.1:5', ''),
  );
  let bad = 0;
  fc.assert(
    fc.property(fc.constantFrom(...Object.keys(right), 'data', 'role', 'other'), wild, (key, value) => {
      const f = findConfigError({ ...right, [key]: value });
      if (f === undefined) return true;
      bad++;
      return typeof f === 'string' && f.length > 0 && !f.includes('\n');
    }),
    { seed: SEED, numRuns: 600 },
  );
  t.true(bad > 300);
  t.is(findConfigError(right), undefined);
});
