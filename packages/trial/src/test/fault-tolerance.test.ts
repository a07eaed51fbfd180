/** Tolerance of lost failure domains and regions: the number of replicas and voters, their placement, and what is refused. */
import {
  findToleranceError,
  maxMembersWithin,
  minimumSetSize,
  spreadLimits,
  type FaultTolerance,
  type NodeConfig,
} from '@harecross/kernel';
import { assignReplicas, maxPlaceableMembers, type DiskRecord } from '@harecross/control';
import { Sim, type SimNode } from '../sim.js';
import test from 'ava';
import fc from 'fast-check';
import { startControlFleet, replicaSetsAt, diskIdOf, votersAt, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** The deployments' `sync_s`: a machine counts as lost until this long after its restart. */
const SYNC_MS = 4_000;
/** The deployments' `recovery_s`: what was accepted is served this long after a loss. */
const RECOVERY_MS = 12_000;
/** Longer than an unreachable disk keeps its replicas and votes. */
const LONG_OUTAGE_MS = 50_000;

const SEED = 20261204;
const topics = Array.from({ length: 40 }, (_, i) => `feed/${i}`);
const THREE_ZONES = { a: 'r', b: 'r', c: 'r' };
const THREE_REGIONS = { a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c', c2: 'c' };

/** Publishes to every topic; the offset shows whether everything accepted before is still there. */
async function publishAll(fleet: ControlFleet, relay: SimNode, seq: number): Promise<string[]> {
  const faults: string[] = [];
  for (const topic of topics) {
    const answer = await fleet.ask(relay, 'Publish', { sender: 'desk', topic, seq, body: `message ${seq}` });
    if (answer.body?.accepted?.offset !== seq) faults.push(`${topic}: ${JSON.stringify(answer.body)}`);
  }
  return faults;
}

const submit = (fleet: ControlFleet, node: SimNode, revision: number) =>
  fleet.ask(node, 'SubmitConfig', { revision, document: { n: revision }, config: { families: FAMILIES } });

const machinesIn = (fleet: ControlFleet, domains: string[]): SimNode[] =>
  [...fleet.sim.nodes.values()].filter((node) => domains.includes(node.config.domain));

const firstOutside = (nodes: SimNode[], domains: string[]): SimNode =>
  nodes.find((node) => !domains.includes(node.config.domain))!;

/** What clients find missing or refused while these failure domains are lost. */
async function findFaults(fleet: ControlFleet, domains: string[], seq: number, revision: number): Promise<string[]> {
  const control = firstOutside(fleet.controls, domains);
  const relay = firstOutside(fleet.relays, domains);
  const faults = await publishAll(fleet, relay, seq);
  const read = await fleet.ask(control, 'ReadConfig', {});
  if (read.body?.revision !== revision) faults.push(`read back: ${JSON.stringify(read.body)}`);
  const submission = await submit(fleet, control, revision + 1);
  if (submission.status !== 200) faults.push(`submission: ${submission.status}`);
  return faults;
}

// Guards against messages acknowledged with their only copy in one zone although the settings tolerate the loss of a zone.
for (const lost of ['a', 'b', 'c'])
  for (const losses of [0, 1])
    test(`zone ${lost} of three is lost, which the settings tolerate along with ${losses} machines: nothing acknowledged is lost`, async (t) => {
      const spread = { domainLosses: 1, regionLosses: 0, domains: THREE_ZONES };
      const fleet = await startControlFleet(81 + losses, { losses, spread });
      t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 1), []);
      t.is((await submit(fleet, fleet.controls[0]!, 2)).status, 200);
      for (const node of machinesIn(fleet, [lost])) fleet.sim.loseDisk(node);
      await fleet.advance(RECOVERY_MS);
      t.deepEqual(await findFaults(fleet, [lost], 2, 2), []);
      fleet.sim.close();
    });

// Guards against votes and replicas that are spread over several zones of one region only.
for (const lost of ['a', 'b', 'c'])
  test(`region ${lost} of three is lost, which the settings tolerate: nothing acknowledged is lost`, async (t) => {
    const spread = { domainLosses: 0, regionLosses: 1, domains: THREE_REGIONS };
    // The seeds, which are the first voters, are in a1, a2 and b1.
    const fleet = await startControlFleet(83, { losses: 0, controls: 6, stores: 6, relays: 6, spread });
    t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 1), []);
    t.is((await submit(fleet, fleet.controls[0]!, 2)).status, 200);
    const domains = [`${lost}1`, `${lost}2`];
    for (const node of machinesIn(fleet, domains)) fleet.sim.loseDisk(node);
    await fleet.advance(RECOVERY_MS);
    t.deepEqual(await findFaults(fleet, domains, 2, 2), []);
    fleet.sim.close();
  });

// Guards against sets that stay in the remaining zones after a long outage of one, so that the next zone takes a majority.
test('a zone returns after a long outage: after sync_s another zone may be lost', async (t) => {
  const spread = { domainLosses: 1, regionLosses: 0, domains: THREE_ZONES };
  for (const seed of [84, 85]) {
    const fleet = await startControlFleet(seed, { losses: 0, controls: 6, stores: 6, spread });
    t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 1), []);
    const away = machinesIn(fleet, ['c']);
    for (const node of away) fleet.sim.kill(node);
    await fleet.advance(LONG_OUTAGE_MS);
    t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 2), [], `seed ${seed}`);
    for (const node of away) void fleet.sim.start(node);
    await fleet.advance(SYNC_MS);
    for (const node of machinesIn(fleet, ['a'])) fleet.sim.loseDisk(node);
    await fleet.advance(RECOVERY_MS);
    t.deepEqual(await findFaults(fleet, ['a'], 3, 1), [], `seed ${seed}`);
    fleet.sim.close();
  }
});

test('voters and replicas stay within the spread limits of each tolerance', async (t) => {
  const cases: [FaultTolerance, Record<string, string>, number][] = [
    [{ machines: 0, domains: 1, regions: 0 }, THREE_ZONES, 3],
    [{ machines: 2, domains: 1, regions: 0 }, THREE_ZONES, 6],
    [{ machines: 1, domains: 1, regions: 1 }, THREE_REGIONS, 6],
    [{ machines: 0, domains: 2, regions: 0 }, { a: 'r', b: 'r', c: 'r', d: 'r', e: 'r' }, 5],
  ];
  for (const [{ machines, domains: domainLosses, regions: regionLosses }, domains, count] of cases) {
    const spread = { domainLosses, regionLosses, domains };
    const fleet = await startControlFleet(86, { losses: machines, controls: count, stores: count, spread });
    await fleet.advance(SYNC_MS);
    const value = fleet.controls[0]!.kernel!.use('register').value!;
    const name = JSON.stringify(spread);
    t.is(value.voters.length, value.votersWanted!, name);
    for (const set of [votersAt(fleet.controls[0]!), ...replicaSetsAt(fleet.controls[0]!)]) {
      const disks = set.map((disk) => value.disks.get(disk)!);
      t.true(set.length >= value.copies, name);
      t.is(
        maxPlaceableMembers(set.length, disks, value.tolerance),
        set.length,
        `${name}: ${disks.map((disk) => disk.domain).join()}`,
      );
    }
    fleet.sim.close();
  }
});

/** Starts all machines together, and does not expect the fleet to be created. */
async function startTogether(count: { controls: number; stores: number }, config: Partial<NodeConfig>): Promise<Sim> {
  const sim = new Sim(87, { delayMs: [0.5, 2] });
  const add = (role: 'control' | 'store', i: number): void => {
    const node = sim.add(`${role}${i}`, { role, domain: 'abc'[i % 3]!, disk: true });
    Object.assign(node.config, config, {
      diskUses: role === 'store' ? ['copies', 'seat'] : ['seat'],
      firstStart: true,
    });
  };
  for (let i = 0; i < count.controls; i++) add('control', i);
  for (let i = 0; i < count.stores; i++) add('store', i);
  const seeds = [...sim.nodes.values()].slice(0, 3).map((node) => node.config.peer);
  for (const node of sim.nodes.values()) {
    node.config.seeds = seeds;
    void sim.start(node);
  }
  await sim.run(10_000);
  return sim;
}

const isFleetCreated = (sim: Sim): boolean =>
  [...sim.nodes.values()].some((node) => node.kernel!.use('register').value !== undefined);

// Guards against a fleet that is created with fewer replicas than the configured fault tolerance requires.
test('a fleet with too few disks for its fault tolerance is not created and logs the reason; with the missing disk it is created', async (t) => {
  const sim = await startTogether({ controls: 3, stores: 2 }, { losses: 1 });
  t.false(isFleetCreated(sim));
  const logged = sim.lines.filter((line) => line.includes('cannot found the fleet'));
  t.is(logged.length, 1);
  t.regex(
    logged[0]!,
    /replicas: tolerating the loss of 1 machines, .* requires 3 disks, .* the 2 available have room for 2/,
  );
  const third = sim.add('store2', { role: 'store', domain: 'c', disk: true });
  const { seeds } = sim.get('store1').config;
  Object.assign(third.config, { losses: 1, diskUses: ['copies', 'seat'], seeds });
  void sim.start(third);
  await sim.run(sim.now + 3_000);
  t.true(isFleetCreated(sim));
  t.true(replicaSetsAt(sim.get('control0')).every((copies) => copies.length === 3));
  sim.close();
});

test('a fleet that must tolerate the loss of a zone is not created with all its stores in two of three zones', async (t) => {
  const spread = { domainLosses: 1, regionLosses: 0, domains: THREE_ZONES };
  const sim = await startTogether({ controls: 3, stores: 2 }, { losses: 0, ...spread });
  t.false(isFleetCreated(sim));
  t.true(sim.lines.some((line) => line.includes('cannot found the fleet: replicas: tolerating')));
  sim.close();
});

test('a store that the required spread of replicas depends on is not emptied', async (t) => {
  const spread = { domainLosses: 1, regionLosses: 0, domains: THREE_ZONES };
  const fleet = await startControlFleet(88, { losses: 0, stores: 4, spread });
  const [first, second] = fleet.stores as [SimNode, SimNode];
  const refused = await fleet.ask(fleet.controls[0]!, 'EmptyDisk', { disk: diskIdOf(second) });
  t.is(refused.status, 409);
  t.regex(JSON.stringify(refused.body), /replicas: tolerating the loss of/);
  t.is(
    (await fleet.ask(fleet.controls[0]!, 'EmptyDisk', { disk: diskIdOf(first) })).status,
    200,
    'zone a has another store',
  );
  fleet.sim.close();
});

// Guards against a raised fault tolerance that a running fleet ignores in favour of the one it was created with.
test('the fault tolerance is raised in a running fleet: it applies once there are enough disks, and a shortfall is logged until then', async (t) => {
  const fleet = await startControlFleet(89, { losses: 0 });
  const control = fleet.controls[0]!;
  t.true(replicaSetsAt(control).every((copies) => copies.length === 1));
  const change = async (config: Partial<NodeConfig>): Promise<void> => {
    for (const node of fleet.sim.nodes.values()) Object.assign(node.config, config);
    await fleet.advance(SYNC_MS);
  };
  await change({ losses: 2 });
  t.true(replicaSetsAt(control).every((copies) => copies.length === 1));
  t.true(
    fleet.sim.lines.some((line) =>
      line.includes('cannot provide the configured fault tolerance: replicas: tolerating'),
    ),
  );
  await change({ losses: 1 });
  t.true(replicaSetsAt(control).every((copies) => copies.length === 3));
  t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 1), []);
  for (const store of fleet.stores.slice(0, 1)) fleet.sim.loseDisk(store);
  await fleet.advance(SYNC_MS);
  t.deepEqual(await publishAll(fleet, fleet.relays[0]!, 2), []);
  fleet.sim.close();
});

test('a fault tolerance that no placement satisfies is reported before a process starts, and one that can be satisfied is not', (t) => {
  const config: NodeConfig = {
    role: 'store',
    domain: 'a',
    peer: '10.0.0.1:7100',
    client: '10.0.0.1:7000',
    seeds: ['10.0.0.1:7100'],
    data: 'data',
    losses: 1,
  };
  const errorFor = (more: Partial<NodeConfig>): string | undefined => findToleranceError({ ...config, ...more });
  t.is(errorFor({}), undefined);
  t.is(errorFor({ domainLosses: 0, regionLosses: 0 }), undefined);
  t.is(errorFor({ domainLosses: 1, domains: THREE_ZONES }), undefined);
  t.regex(errorFor({ domainLosses: 1 })!, /^domains: missing/);
  t.regex(errorFor({ losses: undefined, regionLosses: 1, domains: THREE_REGIONS })!, /^losses: missing/);
  t.regex(errorFor({ domainLosses: 1, domains: { b: 'r', c: 'r', d: 'r' } })!, /^domain: 'a' is not among domains/);
  t.regex(
    errorFor({ domainLosses: 1, domains: { a: 'r', b: 'r' } })!,
    /^domainLosses: tolerating the loss of 1 failure domain requires at least 3 of them, but there are 2/,
  );
  t.regex(
    errorFor({ domainLosses: 2, domains: { a: 'r', b: 'r', c: 'r', d: 'r' } })!,
    /^domainLosses: tolerating the loss of 2 failure domains requires at least 5/,
  );
  t.regex(
    errorFor({ regionLosses: 1, domains: THREE_ZONES })!,
    /^regionLosses: tolerating the loss of 1 region requires at least 3 of them, but there are 1/,
  );
  t.regex(
    errorFor({ domainLosses: 2, regionLosses: 1, domains: { a: 'r', b: 'r', c: 'r', d: 's', e: 'u' } })!,
    /^domainLosses and regionLosses: no placement/,
  );
});

/** All combinations of `count` of the places. */
function combinations<T>(places: T[], count: number): T[][] {
  if (count === 0) return [[]];
  return places.flatMap((place, i) => combinations(places.slice(i + 1), count - 1).map((others) => [place, ...others]));
}

test('for any zones and tolerance, a set of the minimum size keeps a majority after each tolerated loss', (t) => {
  const layout = fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 6 });
  const tolerance = fc.record({
    machines: fc.integer({ min: 0, max: 4 }),
    domains: fc.integer({ min: 0, max: 2 }),
    regions: fc.integer({ min: 0, max: 2 }),
  });
  t.notThrows(() =>
    fc.assert(
      fc.property(layout, tolerance, (zonesOf, tolerated) => {
        const domains = Object.fromEntries(
          zonesOf.flatMap((zones, region) =>
            Array.from({ length: zones }, (_, i) => [`z${region}.${i}`, `r${region}`]),
          ),
        );
        const size = minimumSetSize(tolerated, domains);
        if (size === undefined) return;
        const disks: DiskRecord[] = Object.entries(domains).flatMap(([domain, region]) =>
          Array.from({ length: size }, (_, i) => ({
            id: `${domain}/${i}`,
            peer: `${domain}/${i}`,
            domain,
            region,
            state: 'active' as const,
          })),
        );
        const byId = new Map(disks.map((disk) => [disk.id, disk]));
        for (const copies of assignReplicas(disks, size, 8, tolerated).values()) {
          const set = copies.map((id) => byId.get(id)!);
          const keepsMajority = (isLost: (disk: DiskRecord) => boolean): boolean =>
            set.filter((disk) => !isLost(disk)).length * 2 > set.length;
          const regions = [...new Set(Object.values(domains))];
          const isTolerated =
            set.length >= 2 * tolerated.machines + 1 &&
            combinations(Object.keys(domains), tolerated.domains).every((lost) =>
              keepsMajority((disk) => lost.includes(disk.domain)),
            ) &&
            combinations(regions, tolerated.regions).every((lost) =>
              keepsMajority((disk) => lost.includes(disk.region!)),
            );
          if (!isTolerated) throw new Error(`${set.map((disk) => disk.domain).join()}`);
        }
      }),
      { seed: SEED, numRuns: 300 },
    ),
  );
});

test('spread limits, and the number of members that fit within them', (t) => {
  t.deepEqual(spreadLimits(3, undefined), { perDomain: Infinity, perRegion: Infinity });
  t.deepEqual(spreadLimits(7, { machines: 0, domains: 2, regions: 1 }), { perDomain: 1, perRegion: 3 });
  const places = [
    { domain: 'a', region: 'r', count: 3 },
    { domain: 'b', region: 'r', count: 3 },
    { domain: 'c', region: 's', count: 1 },
  ];
  t.is(maxMembersWithin(places, { perDomain: Infinity, perRegion: Infinity }), 7);
  t.is(maxMembersWithin(places, { perDomain: 2, perRegion: Infinity }), 5);
  t.is(maxMembersWithin(places, { perDomain: 2, perRegion: 3 }), 4);
});
