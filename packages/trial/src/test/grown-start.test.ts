import { sleep } from '@harecross/kernel';
import test from 'ava';
import { Sim, type SimNode } from '../sim.js';

/** Control, relay and storage nodes of each zone of a grown deployment: 94 processes on 89 machines. */
const ZONES = [
  { zone: 'a', relays: 17, stores: 3 },
  { zone: 'b', relays: 16, stores: 3 },
  { zone: 'c', relays: 13, stores: 3 },
  { zone: 'd', relays: 16, stores: 2 },
  { zone: 'e', relays: 14, stores: 2 },
];
/** Shares of a core and links of the machines, as on the sheet; the first relay of a zone shares the control node's machine. */
const CONTROL = { coreShare: 0.43, linkBytesPerMs: 12_500 };
const RELAY = { coreShare: 0.324, linkBytesPerMs: 200 };
const STORE = { coreShare: 0.81, linkBytesPerMs: 75_000 };
/** Families of topics that nobody uses, beside the few that are: what makes a configuration long. */
const FAMILIES = 510;
/** All processes start within this time. */
const START_MS = 300;

interface Started {
  sim: Sim;
  nodes: SimNode[];
}

async function startGrown(seed: number): Promise<Started> {
  const sim = new Sim(seed, { delayMs: [0.1, 1.4] });
  const nodes: SimNode[] = [];
  const add = (name: string, role: 'control' | 'relay' | 'store', domain: string): void => {
    const n = sim.add(name, { role, domain, disk: role !== 'relay' });
    n.capacity = { control: CONTROL, relay: RELAY, store: STORE }[role];
    n.diskMs = 5;
    Object.assign(n.config, { losses: 2, applyMs: 4_000, firstStart: true });
    if (role === 'control') n.config.diskUses = ['seat', 'copies'];
    nodes.push(n);
  };
  for (const { zone } of ZONES) add(`control-${zone}`, 'control', zone);
  for (const { zone, relays, stores } of ZONES) {
    for (let i = 1; i <= relays; i++) add(`relay-${zone}-${i}`, 'relay', zone);
    for (let i = 1; i <= stores; i++) add(`store-${zone}-${i}`, 'store', zone);
  }
  const seeds = nodes.slice(0, 3).map((n) => n.config.peer);
  sim.measureTraffic = true;
  for (const n of nodes) {
    n.config.seeds = seeds;
    sim.clock.after(sim.random.next() * START_MS, () => void sim.start(n));
  }
  return { sim, nodes };
}

/** A configuration with the operators' own words for it, about as long. */
function longConfiguration(): { config: unknown; document: unknown } {
  const numbers = [...Array(FAMILIES).keys()];
  return {
    config: {
      families: numbers.map((i) => ({
        name: `r-${i}`,
        topics: [`kafi${i}.*`],
        precedence: i % 2,
        patienceMs: 1_500,
        aimMs: 150,
        memoryS: 35,
        order: 'sender',
      })),
    },
    document: {
      routes: numbers.map((i) => ({ name: `r-${i}`, path_prefix: `kafi${i}.`, expiry_ms: 1_500, persistence_s: 35 })),
    },
  };
}

/** Sends the first configuration again and again, as the operator does, until it is taken. */
async function configure(sim: Sim, nodes: SimNode[]): Promise<void> {
  for (let i = 0; ; i++) {
    const at = nodes[i % ZONES.length]!;
    const answer = await sim.clientTransport.visit(
      at.config.client,
      'SubmitConfig',
      { revision: 1, ...longConfiguration() },
      1_000,
    );
    if (answer?.status === 200) return;
    await sleep(sim.clock, 200);
  }
}

/** Whether a node serves and sees all others serve. */
const isUp = (n: SimNode, all: SimNode[]): boolean =>
  n.kernel !== undefined &&
  n.kernel.use('register').hasReadLease() &&
  n.kernel.use('register').value?.revision === 1 &&
  all.every((x) => x === n || n.kernel!.use('membership').isAvailable(x.config.peer));

const framesOf = (nodes: SimNode[]): { n: number; bytes: number }[] => nodes.map((n) => ({ ...n.frames }));
const most = (xs: number[]): number => Math.max(...xs);

test('a grown fleet that starts all at once is up within seconds, and no node has much to do for it', async (t) => {
  const { sim, nodes } = await startGrown(1);
  sim.clock.after(START_MS * 2, () => void configure(sim, nodes));
  let upAt = 0;
  while (!upAt && sim.now < 16_000) {
    await sim.run(sim.now + 250);
    if (nodes.every((n) => isUp(n, nodes))) upAt = sim.now;
  }
  const start = framesOf(nodes);
  const suspected = nodes.reduce((n, x) => n + (x.kernel!.counters.get('member.suspect') ?? 0), 0);
  const relays = nodes.flatMap((n, i) => (n.config.role === 'relay' ? [start[i]!] : []));
  // Then a while in which nothing happens.
  await sim.run(16_000);
  const before = framesOf(nodes);
  await sim.run(21_000);
  const after = framesOf(nodes);
  sim.close();
  const rest = after.map((x, i) => ({ n: (x.n - before[i]!.n) / 5, bytes: (x.bytes - before[i]!.bytes) / 5 }));
  t.log(
    `up after ${upAt} ms; until then at most ${most(start.map((x) => x.n))} frames at a node, ` +
      `${most(relays.map((x) => x.n))} and ${Math.round(most(relays.map((x) => x.bytes)) / 1024)} KiB at a relay; ${suspected} suspicions; ` +
      `at rest at most ${Math.round(most(rest.map((x) => x.n)))} frames and ${(most(rest.map((x) => x.bytes)) / 1024).toFixed(1)} KiB a second`,
  );
  t.true(upAt > 0 && upAt <= 6_000, 'all nodes are up, and known to be, long before traffic begins');
  t.is(suspected, 0, 'nobody is so busy that others take it for dead');
  t.true(most(relays.map((x) => x.n)) < 1_000, 'frames at a relay until all are up');
  t.true(most(relays.map((x) => x.bytes)) < 700 * 1024, 'bytes at a relay until all are up');
  t.true(most(start.map((x) => x.n)) < 3_500, 'frames at a peer whom all know');
});
