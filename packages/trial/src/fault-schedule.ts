import { sleep } from '@harecross/kernel';
import { Consumer } from './simulated-clients.js';
import { fleetConfigOf, type Scenario, type DeploymentSpec, type ScenarioContext } from './scenario.js';
import { seededRandom, type SimNode } from './sim.js';

/** One fault of a storm: when it begins, what it is, and the number by which it picks its victims. */
export interface ScheduledFault {
  at: number;
  fault: string;
  seed: number;
}

const pause = (s: ScenarioContext, ms: number): Promise<void> => sleep(s.sim.clock, ms);
const ups = (ns: SimNode[]): SimNode[] => ns.filter((n) => n.up && !n.frozen);
/** A machine with a disk that may go for a while: one at a time, so that a majority of everything stays. */
const free = (s: ScenarioContext, ns: SimNode[]): SimNode[] => {
  const down = s.disks.filter((n) => !n.up || n.frozen).length;
  return down >= 2 ? [] : ups(ns);
};

type Fault = (s: ScenarioContext, random: { next(): number }) => Promise<void>;
const any = <T>(random: { next(): number }, xs: T[]): T | undefined => xs[Math.floor(random.next() * xs.length)];
/** The configuration as the day has it: faults that change it must not undo each other's families for good. */
const extra = (s: ScenarioContext, name: string) =>
  fleetConfigOf(s.site, [{ name, topics: [`${name}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 }]);

/** One of these machines is killed and comes back. */
async function killed(s: ScenarioContext, random: { next(): number }, ns: SimNode[]): Promise<void> {
  const n = any(random, free(s, ns));
  if (!n) return;
  s.note(`kill ${n.name}`);
  s.sim.kill(n);
  await pause(s, 500 + 5_000 * random.next());
  await s.sim.start(n);
}

/** Faults that may come at once; each ends by itself and leaves the fleet whole. */
export const FAULTS = new Map<string, Fault>([
  ['kill-store', (s, random) => killed(s, random, s.stores)],
  ['kill-relay', (s, random) => killed(s, random, s.relays)],
  [
    'lose-disk',
    async (s, random) => {
      const n = any(random, free(s, s.stores));
      if (!n) return;
      s.note(`disk of ${n.name} dies`);
      s.sim.loseDisk(n);
      await pause(s, 2_000 + 3_000 * random.next());
      await s.sim.start(n);
    },
  ],
  [
    'restart',
    async (s, random) => {
      const n = any(random, free(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`stop ${n.name}`);
      await s.sim.stop(n);
      await pause(s, 1_500);
      await s.sim.start(n);
    },
  ],
  [
    'roll',
    async (s, random) => {
      for (const n of [...s.stores].sort(() => random.next() - 0.5)) {
        if (!n.up || n.frozen || !free(s, [n]).length) continue;
        s.note(`roll ${n.name}`);
        await s.sim.stop(n);
        await pause(s, 1_500);
        await s.sim.start(n);
        await pause(s, 3_000);
      }
    },
  ],
  [
    'freeze',
    async (s, random) => {
      const n = any(random, free(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`freeze ${n.name}`);
      s.sim.freeze(n);
      await pause(s, 1_000 + 6_000 * random.next());
      s.sim.thaw(n);
    },
  ],
  [
    'slow',
    async (s, random) => {
      const n = any(random, ups([...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`${n.name} is slow in bursts`);
      for (let i = 0; i < 4; i++) {
        n.maxExtraDelayMs = 200;
        n.diskMs = 150;
        await pause(s, 300 + 1_500 * random.next());
        n.maxExtraDelayMs = 0;
        n.diskMs = 2;
        await pause(s, 300 + 700 * random.next());
      }
    },
  ],
  [
    'stall',
    async (s, random) => {
      const n = any(random, ups(s.disks));
      if (!n) return;
      s.note(`syncs of ${n.name} stop its loop`);
      n.syncStallMs = [1_000, 3_000];
      await pause(s, 6_000);
      n.syncStallMs = undefined;
    },
  ],
  [
    'cut',
    async (s, random) => {
      const n = any(random, free(s, [...s.stores, ...s.relays]));
      if (!n) return;
      s.note(`cut off ${n.name}`);
      const both = random.next() < 0.5;
      const others = [...s.sim.nodes.values()].filter((o) => o !== n);
      for (const o of others) s.sim.cut(n.name, o.name, both);
      await pause(s, 2_000 + 6_000 * random.next());
      for (const o of others) s.sim.heal(n.name, o.name);
    },
  ],
  [
    'link',
    async (s, random) => {
      const r = any(random, ups(s.relays));
      const d = any(random, ups(s.stores));
      if (!r || !d) return;
      s.note(`the link between ${r.name} and ${d.name} breaks`);
      s.sim.cut(r.name, d.name);
      await pause(s, 8_000);
      s.sim.heal(r.name, d.name);
    },
  ],
  [
    'loss',
    async (s) => {
      s.note('links lose packets');
      const was = s.sim.loss;
      s.sim.loss = 0.05;
      await pause(s, 6_000);
      s.sim.loss = was;
    },
  ],
  [
    'power',
    async (s) => {
      s.note('all power fails');
      const here = [...s.sim.nodes.values()].filter((n) => n.up);
      for (const n of here) s.sim.kill(n);
      await pause(s, 1_500);
      for (const n of here) await s.sim.start(n);
      await pause(s, 4_000);
    },
  ],
  [
    'resets',
    async (s) => {
      for (let i = 0; i < 6; i++) {
        s.sim.resetStreams(0.1);
        await pause(s, 400);
      }
      s.note('mass reset');
      s.sim.resetStreams(0.97);
      await pause(s, 2_000);
    },
  ],
  [
    'crowd',
    async (s, random) => {
      s.note('a crowd arrives at once');
      const k = s.sim.now.toFixed(0);
      const more = Array.from(
        { length: 150 },
        (_, i) =>
          new Consumer(
            s.clientContext,
            `crowd${k}-${i}`,
            any(random, s.site.domains)!,
            [s.crowd.topics[i % s.crowd.topics.length]!],
            { jitterMs: 50 },
          ),
      );
      for (const c of more) c.start();
      await pause(s, 6_000);
      for (const c of more) c.stop();
    },
  ],
  [
    'move',
    async (s, random) => {
      const [from, to] = [any(random, s.site.domains)!, any(random, s.site.domains)!];
      s.note(`the callers of ${from} move to ${to}`);
      for (const c of s.crowd.consumers)
        if (c.domain === from) {
          c.domain = to;
          c.disconnect('moved');
        }
      await pause(s, 3_000);
    },
  ],
  [
    'vanish',
    async (s, random) => {
      s.note('phones vanish without closing');
      const gone = s.crowd.consumers.filter(() => random.next() < 0.3);
      for (const c of gone) c.vanish();
      await pause(s, 3_000 + 6_000 * random.next());
      for (const c of gone) c.start();
    },
  ],
  [
    'operators',
    async (s, random) => {
      const op = s.crowd.operator;
      const k = s.sim.now.toFixed(0);
      for (let i = 0; i < 2; i++) {
        const v = await op.read();
        await Promise.all([
          op.submit(`a${k}-${i}`, extra(s, `a${i}`), true, v),
          op.submit(`b${k}-${i}`, extra(s, `b${i}`), true, v),
          op.submit(`bad${k}-${i}`, { families: [{ name: random.next() }] }, false),
        ]);
        await pause(s, 800);
      }
      await op.submit(`a${k}-0`, extra(s, 'a0'), true);
    },
  ],
  [
    'remove',
    async (s) => {
      const k = s.sim.now.toFixed(0);
      const all = fleetConfigOf(s.site).families;
      await s.crowd.operator.submit(`remove${k}`, { families: all.slice(0, 1) }, true);
      await pause(s, 5_000);
      await s.crowd.operator.submit(`again${k}`, { families: all }, true);
    },
  ],
  [
    'empty',
    async (s, random) => {
      const n = any(random, ups(s.disks));
      const disk = n?.kernel?.use('register').disk;
      if (!n || !disk) return;
      s.note(`empty the disk of ${n.name}`);
      await s.crowd.operator.ask('EmptyDisk', { disk });
      await pause(s, 6_000);
      await s.crowd.operator.ask('CancelEmpty', { disk });
    },
  ],
  [
    'join',
    async (s, random) => {
      const n = s.sim.add(`new${s.sim.nodes.size}`, {
        role: 'store',
        domain: any(random, s.site.domains)!,
        disk: true,
      });
      n.config.seeds = s.stores.slice(0, 3).map((x) => x.config.peer);
      s.note(`${n.name} joins`);
      await s.sim.start(n);
      await pause(s, 6_000);
    },
  ],
  [
    'clock',
    async (s, random) => {
      const n = any(random, ups([...s.stores, ...s.relays]));
      if (!n) return;
      const by = (random.next() < 0.5 ? -1 : 1) * (1_000 + 600_000 * random.next());
      s.note(`the clock of ${n.name} is corrected by ${Math.round(by)} ms and runs 3 % off`);
      n.wallStepMs += by;
      s.sim.setRate(n, random.next() < 0.5 ? 0.97 : 1.03);
      await pause(s, 8_000);
    },
  ],
]);

/** Pairs that every sweep begins with; behind them the seed chooses. */
const FIRST: [string, string][] = [
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
 * Two faults that overlap, by the seed.
 * @example
 * pairOf(1); // a lost disk while another machine restarts
 */
export function faultPair(seed: number): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x9a1e5);
  const names = [...FAULTS.keys()];
  const two = FIRST[seed - 1] ?? [any(random, names)!, any(random, names)!];
  return two.map((fault, i) => ({
    at: i * Math.round(3_000 * random.next()),
    fault,
    seed: Math.floor(random.next() * 2 ** 31),
  }));
}

/**
 * Several faults within some twenty seconds, by the seed.
 * @example
 * planOf(7, 4)
 */
export function randomFaults(seed: number, n: number): ScheduledFault[] {
  const random = seededRandom(seed ^ 0x570e3);
  const names = [...FAULTS.keys()];
  return Array.from({ length: n }, () => ({
    at: Math.round(5_000 * n * random.next() * 0.6),
    fault: any(random, names)!,
    seed: Math.floor(random.next() * 2 ** 31),
  })).sort((a, b) => a.at - b.at);
}

export const formatFaults = (steps: ScheduledFault[]): string =>
  steps.map((x) => `${x.fault} at +${(x.at / 1000).toFixed(1)} s`).join(', ');

/**
 * A day with these faults.
 * @example
 * await play(7, storm(planOf(7, 4)));
 */
export function scheduleScenario(steps: ScheduledFault[], site?: DeploymentSpec): Scenario {
  return {
    ...(site ? { site } : {}),
    faultPhaseMs: 20_000,
    faults: async (s) => {
      await Promise.all(
        steps.map(async (x) => {
          await pause(s, x.at);
          await FAULTS.get(x.fault)!(s, seededRandom(x.seed));
        }),
      );
      // What changed the configuration may have ended in any order: the day ends with all families.
      await s.crowd.operator.submit('whole again', fleetConfigOf(s.site), true);
      await pause(s, 6_000);
    },
  };
}

/**
 * The fewest of these faults with which a run still breaks the rule.
 * @example
 * await shrink(steps, async (some) => (await play(seed, storm(some))).bad.map((v) => v.rule), 'lost');
 */
export async function minimizeFaults(
  steps: ScheduledFault[],
  rulesOf: (some: ScheduledFault[]) => Promise<string[]>,
  rule: string,
): Promise<ScheduledFault[]> {
  let now = steps;
  for (let i = 0; i < now.length && now.length > 1;) {
    const less = now.filter((_, j) => j !== i);
    if ((await rulesOf(less)).includes(rule)) now = less;
    else i++;
  }
  return now;
}
