import type { FleetValue } from '@harecross/control';
import { randomSample, sleep } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { audit, Consumer, Operator, PipelinedSender, Sender, type ClientContext } from './simulated-clients.js';
import { Journal, type JournalEvent } from './journal.js';
import { checkJournal, SETTLE_MS, type CheckLimits, type Violation } from './oracle.js';
import { seededRandom, Sim, type SimNode, type SimOptions } from './sim.js';

/** Size and traffic of a deployment. */
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

/** The two reference deployments at full size. */
export const SINE_SALOUM: DeploymentSpec = {
  name: 'sine-saloum',
  domains: ['kaolack', 'fatick', 'foundiougne'],
  relays: 12,
  relayDisks: 3,
  stores: 3,
  consumers: 400,
  families: [
    {
      name: 'payments',
      prefix: 'pay/',
      topics: 420,
      urgency: 'routine',
      messagesPerS: 70,
      memoryS: 35,
      patienceMs: 3_000,
    },
    {
      name: 'warnings',
      prefix: 'warn/',
      topics: 30,
      urgency: 'urgent',
      messagesPerS: 25,
      memoryS: 25,
      patienceMs: 2_000,
    },
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
    {
      name: 'levels',
      prefix: 'level/',
      topics: 260,
      urgency: 'routine',
      messagesPerS: 50,
      memoryS: 35,
      patienceMs: 3_000,
    },
    {
      name: 'floods',
      prefix: 'flood/',
      topics: 30,
      urgency: 'urgent',
      messagesPerS: 25,
      memoryS: 25,
      patienceMs: 2_000,
    },
  ],
};
/** A deployment of the same structure, small enough to run with many seeds. */
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
 * The fleet configuration of a deployment, with additional topic families.
 * @example
 * fleetConfigOf(SMALL, [{ name: 'x', topics: ['x/*'], urgency: 'routine', patienceMs: 2000, memoryS: 30 }])
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

/** Number of topics with subscribers: the last tenth receives messages but has none. */
const subscribedTopics = (topics: number): number => Math.max(1, topics - Math.ceil(topics / 10));

/** The simulated clients of a deployment. */
export interface SimulatedClients {
  consumers: Consumer[];
  senders: (Sender | PipelinedSender)[];
  operator: Operator;
  topics: string[];
}

/**
 * Creates the clients of a deployment: consumers in each domain, senders at the configured rates, and an operator.
 * @example
 * for (const c of createClients(context, SMALL).consumers) c.start();
 */
export function createClients(
  context: ClientContext,
  site: DeploymentSpec,
  consumerOptions: { staysUntilEnd?: boolean } = {},
): SimulatedClients {
  const consumers: Consumer[] = [];
  const senders: (Sender | PipelinedSender)[] = [];
  const topics = site.families.flatMap((f) => Array.from({ length: f.topics }, (_, i) => `${f.prefix}${i}`));
  for (let i = 0; i < site.consumers; i++) {
    const subscribed = new Set<string>();
    // Most consumers subscribe to one topic per family, every eighth to several; all share the first topic of each urgent family.
    for (const f of site.families) {
      subscribed.add(`${f.prefix}${i % subscribedTopics(f.topics)}`);
      if (i % 8 === 0)
        for (const n of randomSample(context.random, [...Array(subscribedTopics(f.topics)).keys()], 3))
          subscribed.add(`${f.prefix}${n}`);
      if (f.urgency === 'urgent') subscribed.add(`${f.prefix}0`);
    }
    consumers.push(
      new Consumer(context, `c${i}`, site.domains[i % site.domains.length]!, [...subscribed], consumerOptions),
    );
  }
  for (const f of site.families) {
    const senderCount = Math.max(2, Math.min(20, Math.floor(f.topics / 3)));
    for (let i = 0; i < senderCount; i++) {
      // Every seventh topic has two senders; each numbers its own messages.
      const ownTopics = Array.from({ length: f.topics }, (_, t) => t)
        .filter((t) => t % senderCount === i || (t % 7 === 0 && t % senderCount === (i + 1) % senderCount))
        .map((t) => `${f.prefix}${t}`);
      senders.push(
        new Sender(
          context,
          `${f.name}-${i}`,
          site.domains[i % site.domains.length]!,
          ownTopics,
          (1000 * senderCount) / f.messagesPerS,
          {
            triesN: 8,
            repeats: 0.15,
          },
        ),
      );
    }
    // Two senders per family publish with several messages in flight on one topic.
    for (const i of [0, 1])
      senders.push(
        new PipelinedSender(
          context,
          `${f.name}-pipe${i}`,
          site.domains[i % site.domains.length]!,
          `${f.prefix}${i}`,
          200,
        ),
      );
  }
  return { consumers, senders, operator: new Operator(context, 'op'), topics };
}

/** A scenario's run, as its faults see it. */
export interface ScenarioContext {
  sim: Sim;
  clientContext: ClientContext;
  site: DeploymentSpec;
  crowd: SimulatedClients;
  stores: SimNode[];
  relays: SimNode[];
  /** All machines with a disk. */
  disks: SimNode[];
  random: { next(): number };
  /** Adds a line to the notes and the log of the run. */
  note(s: string): void;
  /** Reports a violation that the oracle cannot see in the journal. */
  reportViolation(rule: Violation['rule'], what: string): void;
}
/** Result of a scenario's run. */
export interface ScenarioResult {
  seen: JournalEvent[];
  /** Violations that the oracle or the scenario found. */
  violations: Violation[];
  sim: Sim;
  notes: string[];
  counters: Map<string, number>;
}

/** A deployment, the faults injected into it, and what the oracle tolerates. */
export interface Scenario {
  site?: DeploymentSpec;
  opts?: SimOptions;
  /** Each machine's clock is off by a random amount of up to this much, in either direction. */
  skewMs?: number;
  /** Injects faults while clients send traffic. */
  faults: (s: ScenarioContext) => Promise<void>;
  /** Minimum duration of the fault phase; 20 s by default. */
  faultPhaseMs?: number;
  /** Adds and starts the machines; by default those of the deployment. */
  machines?: (sim: Sim, site: DeploymentSpec) => Promise<Machines>;
  /** Applies the initial configuration; by default the operator submits that of the deployment. */
  first?: (stage: ScenarioContext) => Promise<unknown>;
  /** Limits that the oracle applies; by default those for simulated fleets. */
  bounds?: CheckLimits;
}

/** The nodes of a run by role; `disks` are all nodes with a disk. */
export interface Machines {
  stores: SimNode[];
  relays: SimNode[];
  disks: SimNode[];
}

/**
 * Adds the machines of a deployment to a simulator and schedules their start within 1.5 s.
 * @example
 * const { stores, relays, disks } = await createMachines(sim, SMALL);
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

/**
 * Names of the replica sets without a majority of live members (`broken`), and of those that could lose it after `losses` more
 * losses (`thin`).
 */
export function weakReplicaSets(sim: Sim, losses: number): { broken: string[]; thin: string[] } {
  const value = newestValue(sim);
  if (!value) return { broken: ['no value'], thin: [] };
  const live = new Set([...sim.nodes.values()].filter((n) => n.up && !n.frozen).map(diskOf));
  const sets: [string, string[]][] = [
    ['voters', value.voters],
    ['voters before', value.previousVoters],
    ...[...value.shards].map(([shard, p]): [string, string[]] => [`shard ${shard}`, p.copies]),
  ];
  const liveCount = (set: string[]): number => set.filter((d) => live.has(d)).length;
  return {
    broken: sets.filter(([, set]) => liveCount(set) * 2 <= set.length).map(([name]) => name),
    thin: sets.filter(([, set]) => (liveCount(set) - losses) * 2 <= set.length).map(([name]) => name),
  };
}

/** The newest register value known to any node, or to an ended process when it ended. */
function newestValue(sim: Sim): FleetValue | undefined {
  let newest: FleetValue | undefined;
  for (const n of sim.nodes.values()) {
    const v = n.kernel?.use('register').value;
    if (v && (!newest || v.rev > newest.rev)) newest = v;
  }
  return newest;
}
const diskOf = (n: SimNode): string | undefined => n.kernel?.use('register').disk;

/** A node counts as unhealthy for this long after a reset of its connections: at least two of the samples taken every 100 ms see it. */
const RESET_UNHEALTHY_MS = 300;

/** The condition of the fleet as the journal records it; see the `weather` event there. */
function fleetConditions(sim: Sim): {
  well: string[];
  ailing: string[];
  able: boolean;
  rough: boolean;
  poor: string[];
} {
  const nodes = [...sim.nodes.values()];
  const v = newestValue(sim);
  const wasReset = (n: SimNode): boolean => n.resetAt !== undefined && sim.now - n.resetAt < RESET_UNHEALTHY_MS;
  const up = nodes.filter((n) => n.up && !n.frozen && !wasReset(n) && n.edge !== undefined);
  const nodeByDisk = new Map(
    up.flatMap((n) => {
      const disk = diskOf(n);
      return disk === undefined ? [] : [[disk, n] as const];
    }),
  );
  const connected = (a: SimNode, b: SimNode): boolean =>
    a === b || (!sim.cuts.has(`${a.name}>${b.name}`) && !sim.cuts.has(`${b.name}>${a.name}`));
  const majority = (disks: string[], satisfies: (n: SimNode) => boolean): boolean =>
    disks.filter((d) => {
      const n = nodeByDisk.get(d);
      return n !== undefined && satisfies(n);
    }).length *
      2 >
    disks.length;
  const well = v
    ? up.filter((n) => [v.voters, v.previousVoters].every((s) => majority(s, (m) => connected(n, m))))
    : [];
  const able = v !== undefined && [...v.shards.values()].every((p) => majority(p.copies, (n) => well.includes(n)));
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

/** A random node with a disk without which the register and every shard keep a majority. */
function expendableNode(sim: Sim, random: { next(): number }): SimNode | undefined {
  const nodes = [...sim.nodes.values()];
  const v = newestValue(sim);
  const liveByDisk = new Map(nodes.filter((n) => n.up && !n.frozen).map((n) => [diskOf(n), n]));
  const sets = v ? [v.voters, v.previousVoters, ...[...v.shards.values()].map((p) => p.copies)] : [];
  const expendable = [...liveByDisk].filter(
    ([d, n]) =>
      d !== undefined &&
      sets.every((s) => s.filter((x) => x !== d && liveByDisk.has(x)).length * 2 > s.length) &&
      n.config.data,
  );
  return expendable[Math.floor(random.next() * expendable.length)]?.[1];
}

/**
 * Runs a scenario: starts the machines, applies the configuration, starts the clients, injects faults, audits the messages, kills
 * one more machine and audits again, waits for the fleet to settle, and checks the journal against the oracle.
 * @example
 * const r = await runScenario(7, { faults: async ({ sim, stores }) => { sim.kill(stores[0]!); } });
 */
export async function runScenario(seed: number, scenario: Scenario): Promise<ScenarioResult> {
  const site = scenario.site ?? SMALL;
  const sim = new Sim(seed, scenario.opts);
  const machines = await (scenario.machines
    ? scenario.machines(sim, site)
    : createMachines(sim, site, scenario.skewMs));
  const journal = new Journal(() => sim.now);
  const context: ClientContext = {
    clock: sim.clock,
    random: seededRandom(seed ^ 0x5eed),
    clientTransport: sim.clientTransport,
    journal,
  };
  const clients = createClients(context, site);
  const notes: string[] = [];
  const reported: Violation[] = [];
  const stage: ScenarioContext = {
    sim,
    clientContext: context,
    site,
    crowd: clients,
    ...machines,
    random: seededRandom(seed ^ 0xfa17),
    note: (s) => {
      notes.push(`${(sim.now / 1000).toFixed(3)} ${s}`);
      sim.lines.push(`${(sim.now / 1000).toFixed(3)} ** ${s}`);
    },
    reportViolation: (rule, what) => reported.push({ rule, t: Math.round(sim.now), what }),
  };
  await sim.run(6_000);
  let failure: unknown;
  /** Advances virtual time until a promise settles or `limitMs` passes; returns whether it settled. */
  const runUntilSettled = async (p: Promise<unknown>, limitMs: number): Promise<boolean> => {
    let settled = false;
    p.then(
      () => {
        settled = true;
      },
      (e) => {
        failure = e;
        settled = true;
      },
    );
    for (const until = sim.now + limitMs; !settled && sim.now < until;) await sim.run(sim.now + 250);
    return settled;
  };
  const first = scenario.first ? scenario.first(stage) : clients.operator.submit('first', fleetConfigOf(site), true);
  await sim.run(12_000);
  if (!(await runUntilSettled(first, 60_000))) notes.push('the first configuration was never answered');
  for (const n of sim.nodes.values())
    journal.add({ k: 'node', node: n.config.client, domain: n.config.domain, role: n.config.role });
  let lastRecorded = '';
  const recordConditions = (): void => {
    const conditions = fleetConditions(sim);
    if (JSON.stringify(conditions) === lastRecorded) return;
    lastRecorded = JSON.stringify(conditions);
    journal.add({ k: 'weather', ...conditions });
  };
  recordConditions();
  for (const c of clients.consumers) c.start();
  for (const s of clients.senders) s.start();
  let observing = true;
  void (async () => {
    while (observing) {
      await sleep(sim.clock, 100);
      recordConditions();
    }
  })();
  void (async () => {
    while (observing) {
      await sleep(sim.clock, 400);
      void clients.operator.look([...sim.nodes.values()].map((n) => n.config.client));
    }
  })();
  void (async () => {
    while (observing) {
      await sleep(sim.clock, 500);
      void clients.operator.count(clients.topics[Math.floor(context.random.next() * clients.topics.length)]!);
    }
  })();
  await sim.run(17_000);
  const faultsBegan = sim.now;
  if (!(await runUntilSettled(scenario.faults(stage), (scenario.faultPhaseMs ?? 20_000) + 120_000)))
    notes.push('the faults never ended');
  if (failure) throw failure;
  await sim.run(Math.max(sim.now, faultsBegan + (scenario.faultPhaseMs ?? 20_000)));
  await sim.run(sim.now + 3_000);
  for (const s of clients.senders) s.stop();
  await sim.run(sim.now + 2_000);
  const v = newestValue(sim);
  if (v) await runUntilSettled(audit(context, 'audit', v.config), 20_000);
  else notes.push('the fleet never had a value again');
  const victim = expendableNode(sim, stage.random);
  if (v && victim) {
    notes.push(`${(sim.now / 1000).toFixed(3)} after the day ${victim.name} dies`);
    sim.kill(victim);
    await sim.run(sim.now + 4_000);
    await runUntilSettled(audit(context, 'second audit', v.config), 20_000);
  }
  await sim.run(sim.now + SETTLE_MS);
  observing = false;
  if (!(await runUntilSettled(clients.operator.read(true), 90_000))) notes.push('the last read was never answered');
  journal.add({ k: 'end' });
  const violations = [...checkJournal(journal.seen, scenario.bounds), ...reported];
  const counters = new Map<string, number>();
  for (const n of sim.nodes.values())
    for (const [k, v] of n.kernel?.counters ?? []) counters.set(k, (counters.get(k) ?? 0) + v);
  for (const n of notes.filter((x) => x.includes('never'))) violations.push({ rule: 'unanswered', t: 0, what: n });
  for (const e of sim.errors) violations.push({ rule: 'served', t: 0, what: `unexpected error: ${e}` });
  sim.close();
  return { seen: journal.seen, violations: violations, sim, notes, counters };
}
