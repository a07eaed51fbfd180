import type { FleetValue } from '@harecross/control';
import { randomSample, sleep } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { audit, Consumer, Operator, PipelinedSender, Sender, type ClientContext } from './simulated-clients.js';
import { Journal, type JournalEvent } from './journal.js';
import { checkJournal, SETTLE_MS, type CheckLimits, type Violation } from './oracle.js';
import { seededRandom, Sim, type SimNode, type SimOptions } from './sim.js';

/** A deployment's shape. */
export interface DeploymentSpec {
  name: string;
  domains: string[];
  relays: number;
  relayDisks: number;
  stores: number;
  consumers: number;
  families: {
    name: string;
    prefix: string;
    topics: number;
    urgency: 'urgent' | 'routine';
    messagesPerS: number;
    memoryS: number;
    patienceMs: number;
  }[];
}

/** The two deployments of the brief at full size. */
export const SINE_SALOUM: DeploymentSpec = {
  name: 'sine-saloum',
  domains: ['kaolack', 'fatick', 'foundiougne'],
  relays: 12,
  relayDisks: 3,
  stores: 3,
  consumers: 400,
  families: [
    { name: 'payments', prefix: 'pay/', topics: 420, urgency: 'routine', messagesPerS: 70, memoryS: 35, patienceMs: 3_000 },
    { name: 'warnings', prefix: 'warn/', topics: 30, urgency: 'urgent', messagesPerS: 25, memoryS: 25, patienceMs: 2_000 },
  ],
};
export const DUNARE: DeploymentSpec = {
  name: 'dunare-carpati',
  domains: ['galati', 'braila', 'tulcea', 'focsani'],
  relays: 11,
  relayDisks: 4,
  stores: 4,
  consumers: 410,
  families: [
    { name: 'levels', prefix: 'level/', topics: 260, urgency: 'routine', messagesPerS: 50, memoryS: 35, patienceMs: 3_000 },
    { name: 'floods', prefix: 'flood/', topics: 30, urgency: 'urgent', messagesPerS: 25, memoryS: 25, patienceMs: 2_000 },
  ],
};
/** A site of the same shape, small enough for many seeds. */
export const SMALL: DeploymentSpec = {
  name: 'small',
  domains: ['a', 'b', 'c'],
  relays: 6,
  relayDisks: 2,
  stores: 3,
  consumers: 24,
  families: [
    { name: 'routine', prefix: 'r/', topics: 24, urgency: 'routine', messagesPerS: 14, memoryS: 35, patienceMs: 3_000 },
    { name: 'urgent', prefix: 'u/', topics: 6, urgency: 'urgent', messagesPerS: 6, memoryS: 25, patienceMs: 2_000 },
  ],
};

/**
 * A site's configuration, with more families if wanted.
 * @example
 * configOf(SMALL, [{ name: 'x', topics: ['x/*'], urgency: 'routine', patienceMs: 2000, memoryS: 30 }])
 */
export function fleetConfigOf(site: DeploymentSpec, extra: FleetConfig['families'] = []): FleetConfig {
  return {
    families: [
      ...site.families.map((f) => ({
        name: f.name,
        topics: [`${f.prefix}*`],
        urgency: f.urgency,
        patienceMs: f.patienceMs,
        memoryS: f.memoryS,
      })),
      ...extra,
    ],
  };
}

/** Some topics have messages and nobody who follows them. */
const followed = (topics: number): number => Math.max(1, topics - Math.ceil(topics / 10));

/** Stand-ins for a site's callers. */
export interface SimulatedClients {
  consumers: Consumer[];
  senders: (Sender | PipelinedSender)[];
  operator: Operator;
  topics: string[];
}

/**
 * The stand-ins of a site: consumers by domain, senders at the site's rates, an operator.
 * @example
 * for (const c of crowd(world, SMALL).consumers) c.start();
 */
export function createClients(w: ClientContext, site: DeploymentSpec, consumerOptions: { staysUntilEnd?: boolean } = {}): SimulatedClients {
  const consumers: Consumer[] = [];
  const senders: (Sender | PipelinedSender)[] = [];
  const topics = site.families.flatMap((f) => Array.from({ length: f.topics }, (_, i) => `${f.prefix}${i}`));
  for (let i = 0; i < site.consumers; i++) {
    const mine = new Set<string>();
    // A household follows its own feed, a desk several; everyone follows some of the urgent topics.
    for (const f of site.families) {
      mine.add(`${f.prefix}${i % followed(f.topics)}`);
      if (i % 8 === 0)
        for (const n of randomSample(w.random, [...Array(followed(f.topics)).keys()], 3)) mine.add(`${f.prefix}${n}`);
      if (f.urgency === 'urgent') mine.add(`${f.prefix}0`);
    }
    consumers.push(new Consumer(w, `c${i}`, site.domains[i % site.domains.length]!, [...mine], consumerOptions));
  }
  for (const f of site.families) {
    const n = Math.max(2, Math.min(20, Math.floor(f.topics / 3)));
    for (let i = 0; i < n; i++) {
      // Two senders share a topic here and there; each still numbers its own messages.
      const own = Array.from({ length: f.topics }, (_, t) => t)
        .filter((t) => t % n === i || (t % 7 === 0 && t % n === (i + 1) % n))
        .map((t) => `${f.prefix}${t}`);
      senders.push(
        new Sender(w, `${f.name}-${i}`, site.domains[i % site.domains.length]!, own, (1000 * n) / f.messagesPerS, {
          triesN: 8,
          repeats: 0.15,
        }),
      );
    }
    // Some have several on the way at once on one topic.
    for (const i of [0, 1])
      senders.push(
        new PipelinedSender(w, `${f.name}-pipe${i}`, site.domains[i % site.domains.length]!, `${f.prefix}${i}`, 200),
      );
  }
  return { consumers, senders, operator: new Operator(w, 'op'), topics };
}

export interface ScenarioContext {
  sim: Sim;
  clientContext: ClientContext;
  site: DeploymentSpec;
  crowd: SimulatedClients;
  stores: SimNode[];
  relays: SimNode[];
  disks: SimNode[];
  random: { next(): number };
  note(s: string): void;
  /** What is wrong beside what the judge sees in the journal. */
  reportViolation(rule: Violation['rule'], what: string): void;
}
export interface ScenarioResult {
  seen: JournalEvent[];
  violations: Violation[];
  sim: Sim;
  notes: string[];
  counters: Map<string, number>;
}

export interface Scenario {
  site?: DeploymentSpec;
  opts?: SimOptions;
  /** Clocks of the machines differ by up to this much. */
  skewMs?: number;
  /** What goes wrong, while traffic runs. */
  faults: (s: ScenarioContext) => Promise<void>;
  /** Length of the part with faults. */
  faultPhaseMs?: number;
  /** Makes and starts the machines; those of the site where left out. */
  machines?: (sim: Sim, site: DeploymentSpec) => Promise<Machines>;
  /** Brings the first configuration into force; the site's by one change where left out. */
  first?: (stage: ScenarioContext) => Promise<unknown>;
  /** What the judge allows; the simulator's usual bounds where left out. */
  bounds?: CheckLimits;
}

/** The nodes of a run, by what they are for. */
export interface Machines {
  stores: SimNode[];
  relays: SimNode[];
  disks: SimNode[];
}

/**
 * Builds a site's machines in a simulator and starts them.
 * @example
 * const { stores, relays, disks } = await build(sim, SMALL);
 */
export async function createMachines(sim: Sim, site: DeploymentSpec, skewMs = 0): Promise<Machines> {
  const skew = (): number => (skewMs ? Math.round((sim.random.next() * 2 - 1) * skewMs) : 0);
  const stores = Array.from({ length: site.stores }, (_, i) =>
    sim.add(`store${i + 1}`, {
      role: 'store',
      domain: site.domains[i % site.domains.length]!,
      disk: true,
      skewMs: skew(),
    }),
  );
  const relays = Array.from({ length: site.relays }, (_, i) =>
    sim.add(`relay${i + 1}`, {
      role: 'relay',
      domain: site.domains[i % site.domains.length]!,
      disk: i < site.relayDisks,
      skewMs: skew(),
    }),
  );
  const seeds = stores.slice(0, 3).map((n) => n.config.peer);
  for (const n of sim.nodes.values()) n.config.seeds = seeds;
  for (const n of sim.nodes.values()) void sim.clock.after(sim.random.next() * 1500, () => void sim.start(n));
  return { stores, relays, disks: [...stores, ...relays.filter((r) => r.config.data)] };
}

/** Sets of replica hosts that have no majority of live members, or might have none after so many more losses; by name. */
export function weakReplicaSets(sim: Sim, losses: number): { broken: string[]; thin: string[] } {
  const v = valueOf(sim);
  if (!v) return { broken: ['no value'], thin: [] };
  const live = new Set([...sim.nodes.values()].filter((n) => n.up && !n.frozen).map(diskOf));
  const sets: [string, string[]][] = [
    ['voters', v.voters],
    ['voters before', v.previousVoters],
    ...[...v.shards].map(([shard, p]): [string, string[]] => [`shard ${shard}`, p.copies]),
  ];
  const alive = (set: string[]): number => set.filter((d) => live.has(d)).length;
  return {
    broken: sets.filter(([, set]) => alive(set) * 2 <= set.length).map(([name]) => name),
    thin: sets.filter(([, set]) => (alive(set) - losses) * 2 <= set.length).map(([name]) => name),
  };
}

/** The newest value of the register that any machine has, or had when it went. */
function valueOf(sim: Sim): FleetValue | undefined {
  let top: FleetValue | undefined;
  for (const n of sim.nodes.values()) {
    const v = n.kernel?.use('register').value;
    if (v && (!top || v.rev > top.rev)) top = v;
  }
  return top;
}
const diskOf = (n: SimNode): string | undefined => n.kernel?.use('register').disk;

/** A node whose connections were reset counts as not well for this long: two looks of the stage. */
const RESET_SHOWN_MS = 300;

/** What the stage knows of its fleet, as the oracle's journal tells it. */
function weatherOf(sim: Sim): { well: string[]; ailing: string[]; able: boolean; rough: boolean; poor: string[] } {
  const nodes = [...sim.nodes.values()];
  const v = valueOf(sim);
  const wasReset = (n: SimNode): boolean => n.resetAt !== undefined && sim.now - n.resetAt < RESET_SHOWN_MS;
  const up = nodes.filter((n) => n.up && !n.frozen && !wasReset(n) && n.edge !== undefined);
  const at = new Map(
    up.flatMap((n) => {
      const d = diskOf(n);
      return d === undefined ? [] : [[d, n] as const];
    }),
  );
  const linked = (a: SimNode, b: SimNode): boolean =>
    a === b || (!sim.cuts.has(`${a.name}>${b.name}`) && !sim.cuts.has(`${b.name}>${a.name}`));
  const most = (disks: string[], of: (n: SimNode) => boolean): boolean =>
    disks.filter((d) => {
      const n = at.get(d);
      return n !== undefined && of(n);
    }).length *
      2 >
    disks.length;
  const well = v ? up.filter((n) => [v.voters, v.previousVoters].every((s) => most(s, (m) => linked(n, m)))) : [];
  const able = v !== undefined && [...v.shards.values()].every((p) => most(p.copies, (n) => well.includes(n)));
  const ailing = nodes
    .filter((n) => n.up && !well.includes(n))
    .map((n) => n.config.client)
    .sort();
  return {
    well: well.map((n) => n.config.client).sort(),
    ailing,
    able,
    rough: sim.isDegraded(),
    poor: [...sim.linkBytesPerS.keys(), ...sim.halfOpenConsumers],
  };
}

/** A machine with a disk that may die now: every shard, and the register, keeps a majority without it. */
function spare(sim: Sim, random: { next(): number }): SimNode | undefined {
  const nodes = [...sim.nodes.values()];
  const v = valueOf(sim);
  const at = new Map(nodes.filter((n) => n.up && !n.frozen).map((n) => [diskOf(n), n]));
  const sets = v ? [v.voters, v.previousVoters, ...[...v.shards.values()].map((p) => p.copies)] : [];
  const may = [...at].filter(
    ([d, n]) =>
      d !== undefined &&
      sets.every((s) => s.filter((x) => x !== d && at.has(x)).length * 2 > s.length) &&
      n.config.data,
  );
  return may[Math.floor(random.next() * may.length)]?.[1];
}

/**
 * Runs a day: machines up, configuration, traffic, faults, settling, the oracle.
 * @example
 * const r = await play(7, { faults: async ({ sim, stores }) => { sim.kill(stores[0]!); } });
 */
export async function runScenario(seed: number, sc: Scenario): Promise<ScenarioResult> {
  const site = sc.site ?? SMALL;
  const sim = new Sim(seed, sc.opts);
  const m = await (sc.machines ? sc.machines(sim, site) : createMachines(sim, site, sc.skewMs));
  const journal = new Journal(() => sim.now);
  const world: ClientContext = { clock: sim.clock, random: seededRandom(seed ^ 0x5eed), clientTransport: sim.clientTransport, journal };
  const cr = createClients(world, site);
  const notes: string[] = [];
  const wrong: Violation[] = [];
  const stage: ScenarioContext = {
    sim,
    clientContext: world,
    site,
    crowd: cr,
    ...m,
    random: seededRandom(seed ^ 0xfa17),
    note: (s) => {
      notes.push(`${(sim.now / 1000).toFixed(3)} ${s}`);
      sim.lines.push(`${(sim.now / 1000).toFixed(3)} ** ${s}`);
    },
    reportViolation: (rule, what) => wrong.push({ rule, t: Math.round(sim.now), what }),
  };
  await sim.run(6_000);
  let fault: unknown;
  /** Lets virtual time pass until a promise is kept, or gives up on it. */
  const drive = async (p: Promise<unknown>, limitMs: number): Promise<boolean> => {
    let kept = false;
    p.then(
      () => {
        kept = true;
      },
      (e) => {
        fault = e;
        kept = true;
      },
    );
    for (const until = sim.now + limitMs; !kept && sim.now < until;) await sim.run(sim.now + 250);
    return kept;
  };
  const first = sc.first ? sc.first(stage) : cr.operator.submit('first', fleetConfigOf(site), true);
  await sim.run(12_000);
  if (!(await drive(first, 60_000))) notes.push('the first configuration was never answered');
  for (const n of sim.nodes.values())
    journal.add({ k: 'node', node: n.config.client, domain: n.config.domain, role: n.config.role });
  let told = '';
  const tell = (): void => {
    const w = weatherOf(sim);
    if (JSON.stringify(w) === told) return;
    told = JSON.stringify(w);
    journal.add({ k: 'weather', ...w });
  };
  tell();
  for (const c of cr.consumers) c.start();
  for (const s of cr.senders) s.start();
  let watching = true;
  void (async () => {
    while (watching) {
      await sleep(sim.clock, 100);
      tell();
    }
  })();
  void (async () => {
    while (watching) {
      await sleep(sim.clock, 400);
      void cr.operator.look([...sim.nodes.values()].map((n) => n.config.client));
    }
  })();
  void (async () => {
    while (watching) {
      await sleep(sim.clock, 500);
      void cr.operator.count(cr.topics[Math.floor(world.random.next() * cr.topics.length)]!);
    }
  })();
  await sim.run(17_000);
  const from = sim.now;
  if (!(await drive(sc.faults(stage), (sc.faultPhaseMs ?? 20_000) + 120_000))) notes.push('the faults never ended');
  if (fault) throw fault;
  await sim.run(Math.max(sim.now, from + (sc.faultPhaseMs ?? 20_000)));
  await sim.run(sim.now + 3_000);
  for (const s of cr.senders) s.stop();
  await sim.run(sim.now + 2_000);
  const v = valueOf(sim);
  if (v) await drive(audit(world, 'audit', v.config), 20_000);
  else notes.push('the fleet never had a value again');
  const victim = spare(sim, stage.random);
  if (v && victim) {
    notes.push(`${(sim.now / 1000).toFixed(3)} after the day ${victim.name} dies`);
    sim.kill(victim);
    await sim.run(sim.now + 4_000);
    await drive(audit(world, 'second audit', v.config), 20_000);
  }
  await sim.run(sim.now + SETTLE_MS);
  watching = false;
  if (!(await drive(cr.operator.read(true), 90_000))) notes.push('the last read was never answered');
  journal.add({ k: 'end' });
  const bad = [...checkJournal(journal.seen, sc.bounds), ...wrong];
  const counters = new Map<string, number>();
  for (const n of sim.nodes.values())
    for (const [k, v] of n.kernel?.counters ?? []) counters.set(k, (counters.get(k) ?? 0) + v);
  for (const n of notes.filter((x) => x.includes('never'))) bad.push({ rule: 'unanswered', t: 0, what: n });
  for (const e of sim.errors) bad.push({ rule: 'served', t: 0, what: `unexpected error: ${e}` });
  sim.close();
  return { seen: journal.seen, violations: bad, sim, notes, counters };
}
