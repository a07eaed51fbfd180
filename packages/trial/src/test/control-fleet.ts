import { sleep, type NodeConfig } from '@harecross/kernel';
import type { Json } from '../json.js';
import { Sim, type SimNode } from '../sim.js';
import { FAMILIES, settled } from './small-fleet.js';

/**
 * Control nodes with the seats, stores with the copies (and seats where those are too few), relays without a disk, in
 * virtual time.
 */
export interface ControlFleet {
  sim: Sim;
  controls: SimNode[];
  stores: SimNode[];
  relays: SimNode[];
  /**
   * A machine with an empty disk at an address that was never used; not started. Its seeds are the controls as listed
   * now.
   */
  spare(role: 'control' | 'store' | 'relay', domain: string): SimNode;
  /** A visit at a node; virtual time passes until it is answered. Status 0: no answer. */
  ask(n: SimNode, method: string, body: unknown): Promise<{ status: number; body: Json }>;
  pass(ms: number): Promise<void>;
}

export const seatsOf = (n: SimNode): string[] => n.kernel!.use('register').value!.voters;
export const diskOf = (n: SimNode): string => n.kernel!.use('register').disk!;
export const copiesAt = (n: SimNode): string[][] =>
  [...n.kernel!.use('register').value!.shards.values()].map((p) => p.copies);

export async function controlFleet(
  seed: number,
  x: {
    controls?: number;
    stores?: number;
    relays?: number;
    losses?: number;
    /** What else is borne at once, and the region of each failure domain; the machines are in these in turn. */
    spread?: Required<Pick<NodeConfig, 'domainLosses' | 'regionLosses' | 'domains'>>;
    /** Disks are files; see `SimOpts.files`. */
    files?: boolean;
    log?: boolean;
  } = {},
): Promise<ControlFleet> {
  const sim = new Sim(seed, { log: x.log, files: x.files, delayMs: [0.5, 2] });
  let n = 0;
  const add = (role: 'control' | 'store' | 'relay', domain: string): SimNode => {
    const m = sim.add(`${role}${++n}`, { role, domain, disk: role !== 'relay' });
    Object.assign(m.config, {
      losses: x.losses ?? 1,
      ...x.spread,
      name: m.name,
      ...(role === 'relay' ? {} : { diskUses: role === 'store' ? ['copies', 'seat'] : ['seat'] }),
    });
    return m;
  };
  const domains = x.spread ? Object.keys(x.spread.domains) : ['a', 'b', 'c', 'd'];
  const several = (role: 'control' | 'store' | 'relay', count: number): SimNode[] =>
    Array.from({ length: count }, (_, i) => add(role, domains[i % domains.length]!));
  const controls = several('control', x.controls ?? 3);
  const stores = several('store', x.stores ?? 3);
  const relays = several('relay', x.relays ?? 3);
  const seeds = controls.slice(0, 3).map((c) => c.config.peer);
  for (const m of sim.nodes.values()) {
    m.config.seeds = seeds;
    m.config.firstStart = true;
    void sim.start(m);
  }
  await sim.run(8_000);
  for (const m of sim.nodes.values()) m.config.firstStart = false;
  const f: ControlFleet = {
    sim,
    controls,
    stores,
    relays,
    spare: (role, domain) => {
      const m = add(role, domain);
      m.config.seeds = controls.slice(0, 3).map((c) => c.config.peer);
      m.config.firstStart = false;
      return m;
    },
    ask: async (m, method, body) =>
      (await settled(sim, sim.clientTransport.visit(m.config.client, method, body, 6_000))) ?? { status: 0, body: undefined },
    pass: async (ms) => {
      const p = sleep(sim.clock, ms);
      await sim.run(sim.now + ms);
      await p;
    },
  };
  const r = await f.ask(controls[0]!, 'SubmitConfig', {
    revision: 1,
    document: { n: 1 },
    config: { families: FAMILIES },
  });
  if (r.status !== 200) throw new Error(JSON.stringify(r.body));
  await f.pass(1_000);
  return f;
}
