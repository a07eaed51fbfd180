import { SHARD, shardOf } from '@harecross/kernel';
import test from 'ava';
import {
  runQuery,
  diffConfig,
  fetchFleetView,
  type CallNode,
  parseQuery,
  solvePlacement,
  findPlanViolations,
  table,
  describeCompleteness,
  type Constraints,
  type Disk,
  type Row,
} from 'harecross';

const row = (x: object): Row => new Map(Object.entries(x));
const disks: Disk[] = ['a', 'b', 'c'].flatMap((domain, z) =>
  [1, 2].map((i) => ({ peer: `10.0.${z}.${i}:7100`, domain })),
);
const now = new Map(
  [...Array(SHARD.shardCount).keys()].map((s) => [s, [0, 2, 4].map((i) => disks[(i + s) % 6]!.peer)]),
);

test('queries: read, filtered, sorted, cut, and told what is wrong with them', (t) => {
  const rows = [
    row({ shard: 1, owner: 'a', behind: 0 }),
    row({ shard: 10, owner: 'b', behind: 2 }),
    row({ shard: 2, owner: undefined, behind: 1 }),
  ];
  const run = (q: string): string => {
    const p = parseQuery(q);
    if (p.tag === 'wrong') return p.why;
    const r = runQuery(p.query, rows);
    return r.tag === 'wrong' ? r.why : table(r.fields, r.rows);
  };
  t.snapshot(
    [
      'keys',
      'keys where behind > 0 sort shard',
      'keys sort behind desc show owner, behind limit 2',
      'keys where owner = "a"',
      'keys where owner ~ z',
      'keys where',
      'keys where behind >',
      'keys sort',
      'keys limit x',
      'keys then',
      '',
      'keys where colour = red',
    ].map((q) => `${q}\n${run(q)}`),
  );
});

test('what a configuration would change, by pattern', (t) => {
  const f = (name: string, topics: string[], memoryS = 30) => ({
    name,
    topics,
    urgency: 'routine' as const,
    patienceMs: 1_000,
    memoryS,
  });
  const now = { families: [f('a', ['a/*', 'b']), f('c', ['c/*'])], copies: 3 };
  t.deepEqual(diffConfig(now, now), []);
  t.snapshot(
    diffConfig(now, {
      families: [f('a', ['a/*'], 40), f('a', ['b']), f('d', ['c/d/*'])],
      limits: { subscriptionsPerConn: 9 },
    }),
  );
});

test('a look at the fleet says who did not answer', async (t) => {
  const fleet = {
    at: 'p1',
    members: [
      { peer: 'p1', client: 'c1', state: 'live', ageMs: 10 },
      { peer: 'p2', client: 'c2', state: 'suspect', ageMs: 900 },
      { peer: 'p3', client: 'c3', state: 'dead', ageMs: 9_000 },
    ],
    disks: [],
    keys: [{ shard: 0, gen: 1, copies: ['d'] }],
  };
  const node = {
    peer: 'p1',
    phase: 'running',
    version: 1,
    rev: 3,
    fresh: true,
    conns: 0,
    keys: [],
    copies: [],
    holds: [],
    interest: [],
    holdings: [],
    counters: { x: 1 },
  };
  const answers = new Map<string, object>([
    ['Fleet', fleet],
    ['Node', node],
  ]);
  let at = 0;
  const v = await fetchFleetView(
    ['c0', 'c1'],
    (async (client: string, m: string) => (client === 'c1' ? (answers.get(m) ?? { moves: [] }) : undefined)) as CallNode,
    () => (at += 7),
  );
  t.deepEqual(v!.silent, ['p2']);
  t.is(
    describeCompleteness(v!),
    'from 1 of 2 nodes within 7 ms; members as p1 knows them, live ones heard of at most 10 ms before; NO ANSWER from p2',
  );
  t.is(v!.tables.get('keys')![0]!.get('owner'), undefined, 'a key that nobody owns is shown');
  t.is(
    await fetchFleetView(
      ['c9'],
      async () => undefined,
      () => 0,
    ),
    undefined,
  );
});

test('placements: solved, few moves, and checked by counting', (t) => {
  const c: Constraints = {
    copies: 3,
    perDomain: 1,
    capacity: { '*': 30, [disks[0]!.peer]: 4 },
    pins: [{ node: disks[1]!.peer, topics: ['flood/1'] }],
    exclude: [{ node: disks[5]!.peer, shards: [0, 1] }],
  };
  const r = solvePlacement(c, disks, now);
  if (r.tag !== 'plan') {
    t.fail(JSON.stringify(r));
    return;
  }
  t.deepEqual(findPlanViolations(c, disks, r.plan.placement), []);
  t.true(r.plan.placement.find((p) => p.shard === shardOf('flood/1'))!.nodes.includes(disks[1]!.peer));
  t.true(r.plan.moved > 0 && r.plan.moved < SHARD.shardCount * 2, `${r.plan.moved} moves`);
  t.is((solvePlacement({ copies: 3 }, disks, now) as { plan: { moved: number } }).plan.moved, 0, 'nothing moves without need');

  // The check by counting sees a wrong plan, for each kind of constraint.
  const wrong = (f: (p: { shard: number; nodes: string[] }[]) => void, k: Constraints = c): string[] => {
    const p = structuredClone(r.plan.placement);
    f(p);
    return findPlanViolations(k, disks, p);
  };
  t.regex(
    wrong((p) => {
      p[0]!.nodes.pop();
    }).join(),
    /shard 0 has 2 copies/,
  );
  t.regex(
    wrong((p) => {
      p[3]!.nodes = [disks[0]!.peer, disks[1]!.peer, disks[2]!.peer];
    }).join(),
    /shard 3 has 2 copies in a/,
  );
  t.regex(
    wrong((p) => {
      p[3]!.nodes[0] = 'else';
    }).join(),
    /where no disk is known/,
  );
  t.regex(
    wrong((p) => {
      for (const x of p) x.nodes[0] = disks[0]!.peer;
    }).join(),
    /takes 4/,
  );
  t.regex(
    wrong((p) => {
      for (const x of p) x.nodes = x.nodes.map((n) => (n === disks[1]!.peer ? disks[0]!.peer : n));
    }).join(),
    /is not on 10\.0\.0\.2/,
  );
  t.regex(
    wrong((p) => {
      p[0]!.nodes[2] = disks[5]!.peer;
    }).join(),
    /shard 0 is on 10\.0\.2\.2/,
  );
  t.regex(wrong(() => undefined, { ...c, domains: ['d'] }).join(), /has no copy in d/);
});

test('placements that cannot be: the constraints in conflict are named, and none that is not', (t) => {
  const r = solvePlacement(
    {
      copies: 3,
      perDomain: 1,
      capacity: { '*': 32 },
      exclude: [{ node: disks[0]!.peer }, { node: disks[1]!.peer, shards: [7] }, { node: disks[2]!.peer, shards: [1] }],
    },
    disks,
    now,
  );
  t.deepEqual(r, {
    tag: 'conflict',
    between: [
      'copies: 3',
      'perDomain: 1',
      `exclude/0: all shards not on ${disks[0]!.peer}`,
      `exclude/1: shard 7 not on ${disks[1]!.peer}`,
    ],
  });
  t.snapshot({
    room: solvePlacement({ copies: 3, capacity: { '*': 5 }, pins: [{ node: disks[0]!.peer, shards: [1] }] }, disks, now),
    domain: solvePlacement({ copies: 3, domains: ['nowhere'] }, disks, now),
    wrong: solvePlacement({ copies: 4, pins: [{ node: 'x', shards: [99] }], capacity: { y: 1 } }, disks, now),
    shape: solvePlacement({ copies: 'three' }, disks, now),
  });
});
