import { sleep, type NodeConfig } from '@harecross/kernel';
import type { Json } from '../json.js';
import { Sim, type SimNode } from '../sim.js';
import { FAMILIES, runUntilSettled } from './small-fleet.js';

/**
 * A fleet in virtual time: control nodes, whose disks are used for votes; stores, whose disks are used for replicas and,
 * where there are too few control nodes, for votes; and relays without a disk.
 */
export interface ControlFleet {
  sim: Sim;
  controls: SimNode[];
  stores: SimNode[];
  relays: SimNode[];
  /**
   * Adds a machine at an unused address, with an empty disk unless it is a relay, and does not start it. Its seeds are
   * the first three of `controls` at the time of the call.
   */
  addMachine(role: 'control' | 'store' | 'relay', domain: string): SimNode;
  /** Sends a client request to a node and advances virtual time until it is answered. Status 0: no answer. */
  ask(node: SimNode, method: string, body: unknown): Promise<{ status: number; body: Json }>;
  /** Advances virtual time. */
  advance(ms: number): Promise<void>;
}

export const votersAt = (node: SimNode): string[] => node.kernel!.use('register').value!.voters;
export const diskIdOf = (node: SimNode): string => node.kernel!.use('register').disk!;
export const replicaSetsAt = (node: SimNode): string[][] =>
  [...node.kernel!.use('register').value!.shards.values()].map((placement) => placement.copies);

export async function startControlFleet(
  seed: number,
  options: {
    controls?: number;
    stores?: number;
    relays?: number;
    losses?: number;
    /** Uses of the control nodes' disks; votes only, if omitted. */
    controlDiskUses?: NodeConfig['diskUses'];
    /** Tolerated losses of domains and regions, and the region of each failure domain. Machines are assigned to the domains in turn. */
    spread?: Required<Pick<NodeConfig, 'domainLosses' | 'regionLosses' | 'domains'>>;
    /** Whether disks are files; see `SimOpts.files`. */
    files?: boolean;
    log?: boolean;
  } = {},
): Promise<ControlFleet> {
  const sim = new Sim(seed, { log: options.log, files: options.files, delayMs: [0.5, 2] });
  let machineCount = 0;
  const add = (role: 'control' | 'store' | 'relay', domain: string): SimNode => {
    const machine = sim.add(`${role}${++machineCount}`, { role, domain, disk: role !== 'relay' });
    Object.assign(machine.config, {
      losses: options.losses ?? 1,
      ...options.spread,
      name: machine.name,
      ...(role === 'relay'
        ? {}
        : { diskUses: role === 'store' ? ['copies', 'seat'] : (options.controlDiskUses ?? ['seat']) }),
    });
    return machine;
  };
  const domains = options.spread ? Object.keys(options.spread.domains) : ['a', 'b', 'c', 'd'];
  const addMachines = (role: 'control' | 'store' | 'relay', count: number): SimNode[] =>
    Array.from({ length: count }, (_, i) => add(role, domains[i % domains.length]!));
  const controls = addMachines('control', options.controls ?? 3);
  const stores = addMachines('store', options.stores ?? 3);
  const relays = addMachines('relay', options.relays ?? 3);
  const seeds = controls.slice(0, 3).map((control) => control.config.peer);
  for (const machine of sim.nodes.values()) {
    machine.config.seeds = seeds;
    machine.config.firstStart = true;
    void sim.start(machine);
  }
  await sim.run(8_000);
  for (const machine of sim.nodes.values()) machine.config.firstStart = false;
  const fleet: ControlFleet = {
    sim,
    controls,
    stores,
    relays,
    addMachine: (role, domain) => {
      const machine = add(role, domain);
      machine.config.seeds = controls.slice(0, 3).map((control) => control.config.peer);
      machine.config.firstStart = false;
      return machine;
    },
    ask: async (machine, method, body) =>
      (await runUntilSettled(sim, sim.clientTransport.visit(machine.config.client, method, body, 6_000))) ?? {
        status: 0,
        body: undefined,
      },
    advance: async (ms) => {
      const elapsed = sleep(sim.clock, ms);
      await sim.run(sim.now + ms);
      await elapsed;
    },
  };
  const answer = await fleet.ask(controls[0]!, 'SubmitConfig', {
    revision: 1,
    document: { n: 1 },
    config: { families: FAMILIES },
  });
  if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
  await fleet.advance(1_000);
  return fleet;
}
