import { oddReplicaCount, assignReplicas, assignOwners, type DiskRecord, type Placement } from '@harecross/control';
import { SHARD } from '@harecross/kernel';
import test from 'ava';
import fc from 'fast-check';

const disksOf = (ids: number[], domains: number): DiskRecord[] =>
  ids.map((i) => ({ id: `d${i}`, peer: `10.0.0.${i}:1`, domain: `z${i % domains}`, state: 'active' }));
const fleets = fc.record({
  ids: fc.uniqueArray(fc.integer({ min: 1, max: 500 }), { minLength: 1, maxLength: 40 }),
  domains: fc.integer({ min: 1, max: 6 }),
  copies: fc.integer({ min: 1, max: 9 }),
});
const SEED = 20261201;

test('copies are odd in number, on different disks, and spread over domains', (t) => {
  t.log(`seed ${SEED}`);
  t.notThrows(() =>
    fc.assert(
      fc.property(fleets, ({ ids, domains, copies }) => {
        const disks = disksOf(ids, domains);
        const n = oddReplicaCount(copies, disks.length);
        const all = assignReplicas(disks, copies);
        const inDomain = (ds: string[], z: string): number =>
          ds.filter((d) => disks.find((x) => x.id === d)!.domain === z).length;
        const zs = [...new Set(disks.map((d) => d.domain))];
        for (const got of all.values()) {
          if (got.length !== n || n % 2 === 0 || new Set(got).size !== n) return false;
          // No domain has two copies more than one that still has a disk free.
          for (const z of zs)
            for (const y of zs)
              if (
                inDomain(got, z) > inDomain(got, y) + 1 &&
                inDomain(got, y) < disks.filter((d) => d.domain === y).length
              )
                return false;
        }
        return all.size === SHARD.shardCount;
      }),
      { seed: SEED, numRuns: 150 },
    ),
  );
});

test('where domains have equally many disks, no disk is far above its share', (t) => {
  for (const [n, z] of [
    [6, 3],
    [8, 4],
    [20, 5],
    [60, 6],
  ] as const) {
    const weight = new Map<string, number>();
    for (const got of assignReplicas(
      disksOf(
        Array.from({ length: n }, (_, i) => i),
        z,
      ),
      5,
    ).values())
      for (const d of got) weight.set(d, (weight.get(d) ?? 0) + 1);
    t.true(
      Math.max(...weight.values()) <= Math.ceil(((SHARD.shardCount * 5) / n) * SHARD.replicaSlack) + 2,
      `${n} disks: ${Math.max(...weight.values())}`,
    );
  }
});

test('a shard survives the loss of a domain wherever domains are even', (t) => {
  for (const [n, z] of [
    [6, 3],
    [8, 4],
    [15, 5],
  ] as const) {
    const disks = disksOf(
      Array.from({ length: n }, (_, i) => i),
      z,
    );
    for (const got of assignReplicas(disks, 5).values())
      for (let d = 0; d < z; d++)
        t.true(got.filter((x) => disks.find((y) => y.id === x)!.domain !== `z${d}`).length * 2 > got.length);
  }
});

test('owners are able copies, near their share; when one goes, few other keys move', (t) => {
  t.log(`seed ${SEED}`);
  let others = 0,
    runs = 0;
  fc.assert(
    fc.property(fleets, ({ ids, domains, copies }) => {
      const disks = disksOf(ids, domains);
      const shards = new Map(
        [...assignReplicas(disks, copies)].map(([s, c]) => [s, { gen: 1, copies: c }] as [number, Placement]),
      );
      const all = assignOwners(shards, () => true);
      const gone = disks[0]!.id;
      const left = assignOwners(shards, (d) => d !== gone);
      for (const [s, o] of left) {
        if (o === gone || !shards.get(s)!.copies.includes(o)) return false;
        if (all.get(s) !== gone && all.get(s) !== o) others++;
      }
      runs++;
      return all.size === SHARD.shardCount;
    }),
    { seed: SEED, numRuns: 150 },
  );
  t.true(others / runs < 4, `${(others / runs).toFixed(2)} other keys moved on average`);
});

const fleet = (controlMs: number, storeMs: number): DiskRecord[] => [
  ...[0, 1, 2].map((i): DiskRecord => ({
    id: `c${i}`,
    peer: `c${i}`,
    domain: `z${i}`,
    state: 'active',
    uses: ['seat', 'copies'],
    ms: controlMs + i / 10,
  })),
  ...Array.from({ length: 12 }, (_, i): DiskRecord => ({
    id: `s${i}`,
    peer: `s${i}`,
    domain: `z${i % 3}`,
    state: 'active',
    uses: ['copies', 'seat'],
    ms: storeMs + i,
  })),
];

test('slow stores: a majority of each shard is on quick disks, the others on stores, domains in turn; no copies there otherwise', (t) => {
  for (const copies of assignReplicas(fleet(4, 80), 5).values()) {
    t.is(copies.filter((d) => d.startsWith('c')).length, 3);
    t.is(
      new Set(copies.filter((d) => d.startsWith('s')).map((d) => Number(d.slice(1)) % 3)).size,
      2,
      'the two others in two domains',
    );
  }
  for (const [a, b] of [
    [4, 5],
    [4, 9],
  ] as const)
    for (const copies of assignReplicas(fleet(a, b), 5).values()) t.true(copies.every((d) => d.startsWith('s')));
  // One quick disk is gone: what is left of them, and a store instead.
  for (const copies of assignReplicas(
    fleet(4, 80).filter((d) => d.id !== 'c1'),
    5,
  ).values())
    t.is(copies.filter((d) => d.startsWith('c')).length, 2);
  // Owners are spread all the same.
  const shards = new Map(
    [...assignReplicas(fleet(4, 80), 5)].map(([s, c]) => [s, { gen: 1, copies: c }] as [number, Placement]),
  );
  const most = new Map<string, number>();
  for (const d of assignOwners(shards, () => true).values()) most.set(d, (most.get(d) ?? 0) + 1);
  t.true(Math.max(...most.values()) <= 4, [...most].join(' '));
});
