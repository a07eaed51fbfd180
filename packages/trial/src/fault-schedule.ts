import { sleep } from '@harecross/kernel';
import { Consumer } from './simulated-clients.js';
import { fleetConfigOf, type Scenario, type DeploymentSpec, type ScenarioContext } from './scenario.js';
import { seededRandom, type SimNode } from './sim.js';

/** A scheduled fault: its start in ms, its name in `FAULTS`, and the random seed that selects its targets. */
export interface ScheduledFault {
  at: number;
  fault: string;
  seed: number;
}

const wait = (s: ScenarioContext, ms: number): Promise<void> => sleep(s.sim.clock, ms);
const running = (nodes: SimNode[]): SimNode[] => nodes.filter((n) => n.up && !n.frozen);
/** The running nodes that may be taken down now: none while two or more nodes with a disk are down, so that majorities remain. */
const expendable = (s: ScenarioContext, nodes: SimNode[]): SimNode[] => {
  const down = s.disks.filter((n) => !n.up || n.frozen).length;
  return down >= 2 ? [] : running(nodes);
};

type Fault = (s: ScenarioContext, random: { next(): number }) => Promise<void>;
const pickRandom = <T>(random: { next(): number }, xs: T[]): T | undefined => xs[Math.floor(random.next() * xs.length)];
/** The deployment's configuration with one more family. It keeps the deployment's own families, so that overlapping faults do not remove them for good. */
const withFamily = (s: ScenarioContext, name: string) =>
  fleetConfigOf(s.site, [{ name, topics: [`${name}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 }]);

/** Kills one of these nodes and restarts it after 0.5 to 5.5 s. */
async function killAndRestart(s: ScenarioContext, random: { next(): number }, nodes: SimNode[]): Promise<void> {
  const n = pickRandom(random, expendable(s, nodes));
  if (!n) return;
  s.note(`kill ${n.name}`);
  s.sim.kill(n);
  await wait(s, 500 + 5_000 * random.next());
  await s.sim.start(n);
}

/** Faults that may overlap. Each one ends by itself and leaves the fleet intact. */
export const FAULTS = new Map<string, Fault>([
  ['kill-store', (s, random) => killAndRestart(s, random, s.stores)],
  ['kill-relay', (s, random) => killAndRestart(s, random, s.relays)],
  [
    'lose-disk',
    async (s, random) => {
      const n = pickRandom(random, expendable(s, s.stores));
      if (!n) return;
      s.note(`disk of ${n.name} dies`);
      s.sim.loseDisk(n);
      await wait(s, 2_000 + 3_000 * random.next());
      await s.sim.start(n);
    },
  ],
  [
    'restart',
    async (s, random) => {
      const n = pickRandom(random, expendable(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`stop ${n.name}`);
      await s.sim.stop(n);
      await wait(s, 1_500);
      await s.sim.start(n);
    },
  ],
  [
    'roll',
    async (s, random) => {
      for (const n of [...s.stores].sort(() => random.next() - 0.5)) {
        if (!n.up || n.frozen || !expendable(s, [n]).length) continue;
        s.note(`roll ${n.name}`);
        await s.sim.stop(n);
        await wait(s, 1_500);
        await s.sim.start(n);
        await wait(s, 3_000);
      }
    },
  ],
  [
    'freeze',
    async (s, random) => {
      const n = pickRandom(random, expendable(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`freeze ${n.name}`);
      s.sim.freeze(n);
      await wait(s, 1_000 + 6_000 * random.next());
      s.sim.thaw(n);
    },
  ],
  [
    'slow',
    async (s, random) => {
      const n = pickRandom(random, running([...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`${n.name} is slow in bursts`);
      for (let i = 0; i < 4; i++) {
        n.maxExtraDelayMs = 200;
        n.diskMs = 150;
        await wait(s, 300 + 1_500 * random.next());
        n.maxExtraDelayMs = 0;
        n.diskMs = 2;
        await wait(s, 300 + 700 * random.next());
      }
    },
  ],
  [
    'stall',
    async (s, random) => {
      const n = pickRandom(random, running(s.disks));
      if (!n) return;
      s.note(`syncs of ${n.name} stop its loop`);
      n.syncStallMs = [1_000, 3_000];
      await wait(s, 6_000);
      n.syncStallMs = undefined;
    },
  ],
  [
    'cut',
    async (s, random) => {
      const n = pickRandom(random, expendable(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`cut off ${n.name}`);
      const both = random.next() < 0.5;
      const others = [...s.sim.nodes.values()].filter((o) => o !== n);
      for (const o of others) s.sim.cut(n.name, o.name, both);
      await wait(s, 2_000 + 6_000 * random.next());
      for (const o of others) s.sim.heal(n.name, o.name);
    },
  ],
  [
    'link',
    async (s, random) => {
      const r = pickRandom(random, running(s.relays));
      const d = pickRandom(random, running(s.stores));
      if (!r || !d) return;
      s.note(`the link between ${r.name} and ${d.name} breaks`);
      s.sim.cut(r.name, d.name);
      await wait(s, 8_000);
      s.sim.heal(r.name, d.name);
    },
  ],
  [
    'loss',
    async (s) => {
      s.note('links lose packets');
      const lossBefore = s.sim.loss;
      s.sim.loss = 0.05;
      await wait(s, 6_000);
      s.sim.loss = lossBefore;
    },
  ],
  [
    'power',
    async (s) => {
      s.note('all power fails');
      const powered = [...s.sim.nodes.values()].filter((n) => n.up);
      for (const n of powered) s.sim.kill(n);
      await wait(s, 1_500);
      for (const n of powered) await s.sim.start(n);
      await wait(s, 4_000);
    },
  ],
  [
    'resets',
    async (s) => {
      for (let i = 0; i < 6; i++) {
        s.sim.resetStreams(0.1);
        await wait(s, 400);
      }
      s.note('mass reset');
      s.sim.resetStreams(0.97);
      await wait(s, 2_000);
    },
  ],
  [
    'crowd',
    async (s, random) => {
      s.note('a crowd arrives at once');
      const suffix = s.sim.now.toFixed(0);
      const newConsumers = Array.from(
        { length: 150 },
        (_, i) =>
          new Consumer(
            s.clientContext,
            `crowd${suffix}-${i}`,
            pickRandom(random, s.site.domains)!,
            [s.crowd.topics[i % s.crowd.topics.length]!],
            { jitterMs: 50 },
          ),
      );
      for (const c of newConsumers) c.start();
      await wait(s, 6_000);
      for (const c of newConsumers) c.stop();
    },
  ],
  [
    'move',
    async (s, random) => {
      const [from, to] = [pickRandom(random, s.site.domains)!, pickRandom(random, s.site.domains)!];
      s.note(`the callers of ${from} move to ${to}`);
      for (const c of s.crowd.consumers)
        if (c.domain === from) {
          c.domain = to;
          c.disconnect('moved');
        }
      await wait(s, 3_000);
    },
  ],
  [
    'vanish',
    async (s, random) => {
      s.note('phones vanish without closing');
      const vanished = s.crowd.consumers.filter(() => random.next() < 0.3);
      for (const c of vanished) c.vanish();
      await wait(s, 3_000 + 6_000 * random.next());
      for (const c of vanished) c.start();
    },
  ],
  [
    'operators',
    async (s, random) => {
      const operator = s.crowd.operator;
      const suffix = s.sim.now.toFixed(0);
      for (let i = 0; i < 2; i++) {
        const version = await operator.read();
        await Promise.all([
          operator.submit(`a${suffix}-${i}`, withFamily(s, `a${i}`), true, version),
          operator.submit(`b${suffix}-${i}`, withFamily(s, `b${i}`), true, version),
          operator.submit(`bad${suffix}-${i}`, { families: [{ name: random.next() }] }, false),
        ]);
        await wait(s, 800);
      }
      await operator.submit(`a${suffix}-0`, withFamily(s, 'a0'), true);
    },
  ],
  [
    'remove',
    async (s) => {
      const suffix = s.sim.now.toFixed(0);
      const all = fleetConfigOf(s.site).families;
      await s.crowd.operator.submit(`remove${suffix}`, { families: all.slice(0, 1) }, true);
      await wait(s, 5_000);
      await s.crowd.operator.submit(`again${suffix}`, { families: all }, true);
    },
  ],
  [
    'empty',
    async (s, random) => {
      const n = pickRandom(random, running(s.disks));
      const disk = n?.kernel?.use('register').disk;
      if (!n || !disk) return;
      s.note(`empty the disk of ${n.name}`);
      await s.crowd.operator.ask('EmptyDisk', { disk });
      await wait(s, 6_000);
      await s.crowd.operator.ask('CancelEmpty', { disk });
    },
  ],
  [
    'join',
    async (s, random) => {
      const n = s.sim.add(`new${s.sim.nodes.size}`, {
        role: 'store',
        domain: pickRandom(random, s.site.domains)!,
        disk: true,
      });
      n.config.seeds = s.stores.slice(0, 3).map((x) => x.config.peer);
      s.note(`${n.name} joins`);
      await s.sim.start(n);
      await wait(s, 6_000);
    },
  ],
  [
    'clock',
    async (s, random) => {
      const n = pickRandom(random, running([...s.stores, ...s.relays]));
      if (!n) return;
      const stepMs = (random.next() < 0.5 ? -1 : 1) * (1_000 + 600_000 * random.next());
      s.note(`the clock of ${n.name} is corrected by ${Math.round(stepMs)} ms and runs 3 % off`);
      n.wallStepMs += stepMs;
      s.sim.setRate(n, random.next() < 0.5 ? 0.97 : 1.03);
      await wait(s, 8_000);
    },
  ],
]);

/** Pairs for the first seeds, from 1; higher seeds choose at random. */
const FIXED_PAIRS: [string, string][] = [
  ['lose-disk', 'restart'],
  ['operators', 'roll'],
  ['crowd', 'move'],
  ['remove', 'empty'],
  ['power', 'empty'],
  ['stall', 'kill-store'],
  ['operators', 'power'],
  ['vanish', 'kill-store'],
  ['join', 'remove'],
  ['link', 'freeze'],
];

/**
 * Two overlapping faults, determined by the seed.
 * @example
 * faultPair(1); // a lost disk while another machine restarts
 */
export function faultPair(seed: number): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x9a1e5);
  const names = [...FAULTS.keys()];
  const pair = FIXED_PAIRS[seed - 1] ?? [pickRandom(random, names)!, pickRandom(random, names)!];
  return pair.map((fault, i) => ({
    at: i * Math.round(3_000 * random.next()),
    fault,
    seed: Math.floor(random.next() * 2 ** 31),
  }));
}

/**
 * A schedule of n random faults, determined by the seed, whose starts are spread over 3 s per fault.
 * @example
 * randomFaults(7, 4)
 */
export function randomFaults(seed: number, n: number): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x570e3);
  const names = [...FAULTS.keys()];
  return Array.from({ length: n }, () => ({
    at: Math.round(5_000 * n * random.next() * 0.6),
    fault: pickRandom(random, names)!,
    seed: Math.floor(random.next() * 2 ** 31),
  })).sort((a, b) => a.at - b.at);
}

/** The schedule as one line of text. */
export const formatFaults = (steps: ScheduledFault[]): string =>
  steps.map((x) => `${x.fault} at +${(x.at / 1000).toFixed(1)} s`).join(', ');

/**
 * A scenario that injects these faults.
 * @example
 * await runScenario(7, scheduleScenario(randomFaults(7, 4)));
 */
export function scheduleScenario(steps: ScheduledFault[], site?: DeploymentSpec): Scenario {
  return {
    ...(site ? { site } : {}),
    faultPhaseMs: 20_000,
    faults: async (s) => {
      await Promise.all(
        steps.map(async (x) => {
          await wait(s, x.at);
          await FAULTS.get(x.fault)!(s, seededRandom(x.seed));
        }),
      );
      // Faults that change the configuration may end in any order, so all families are restored at the end.
      await s.crowd.operator.submit('whole again', fleetConfigOf(s.site), true);
      await wait(s, 6_000);
    },
  };
}

/**
 * Removes faults one by one while a run with the rest still violates the rule; returns those that remain.
 * @example
 * await minimizeFaults(faults, async (some) => (await runScenario(seed, scheduleScenario(some))).violations.map((v) => v.rule), 'lost');
 */
export async function minimizeFaults(
  steps: ScheduledFault[],
  rulesOf: (some: ScheduledFault[]) => Promise<string[]>,
  rule: string,
): Promise<ScheduledFault[]> {
  let remaining = steps;
  for (let i = 0; i < remaining.length && remaining.length > 1;) {
    const fewer = remaining.filter((_, j) => j !== i);
    if ((await rulesOf(fewer)).includes(rule)) remaining = fewer;
    else i++;
  }
  return remaining;
}
