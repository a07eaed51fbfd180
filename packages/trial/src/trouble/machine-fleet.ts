/** The machines of a deployment in the simulator: processes that share a machine share its fate. */
import { sleep } from '@harecross/kernel';
import type { Sim, SimNode } from '../sim.js';
import type { Deployment } from './deployment.js';
import type { MachineClass } from './schedule.js';

/** A process that ended by itself is started again after this long. */
const RESTART_MS = 300;
/** The operator's list of machines is noted this often. */
const LIST_MS = 250;
/** All machines are started within this time of each other. */
const START_SPREAD_MS = 300;
/** What each further change of a store or core machine needs at most of a process that was told to leave. */
const GRACE_SHARE_MS = 4_500;
/** Addresses that a process is told of. */
const SEED_COUNT = 3;

/** One machine and its processes. */
export class Machine {
  /** Gone for good. */
  removed = false;
  /** Down on purpose: nobody starts it but who took it down. */
  held = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly type: MachineClass,
    readonly nodes: SimNode[],
  ) {}

  /** Its loss counts: it has a disk. */
  get counted(): boolean {
    return this.type !== 'access';
  }
  /** The process with the disk, or the only one. */
  get main(): SimNode {
    return this.nodes[0]!;
  }
  isUp(): boolean {
    return !this.held && this.nodes.every((n) => n.up && !n.frozen);
  }
}

/** The fleet of a deployment, and what can be done to its machines. */
export class MachineFleet {
  readonly all: Machine[] = [];
  /** What the operator's list of core machines was, by time. */
  private lists: { at: number; core: Machine[] }[] = [];
  /** How many troubles cut each directed pair. */
  private cuts = new Map<string, number>();
  private readonly numbers = new Map<MachineClass, number>();
  private watching = true;

  constructor(
    readonly sim: Sim,
    readonly deployment: Deployment,
    /** Clocks of the machines differ by up to this much. */
    private readonly skewMs: number,
  ) {}

  /** Makes and starts the machines of the deployment. */
  begin(): void {
    const { coreCount, accessCount, storeCount } = this.deployment;
    for (let i = 0; i < coreCount; i++) this.add('core');
    for (let i = 0; i < storeCount; i++) this.add('store');
    for (let i = 0; i < accessCount; i++) this.add('access');
    const seeds = this.ofClass('core')
      .slice(0, SEED_COUNT)
      .map((m) => m.main.config.peer);
    for (const m of this.all)
      for (const n of m.nodes) {
        n.config.seeds = seeds;
        n.config.firstStart = true;
        this.sim.clock.after(this.sim.random.next() * START_SPREAD_MS, () => {
          void this.sim.start(n);
        });
      }
    void this.watch();
  }

  end(): void {
    this.watching = false;
  }

  /** Makes a machine; it is not started. */
  add(type: MachineClass, zone?: string): Machine {
    const { zones, losses, applyMs, coreDiskMs, storeDiskMs } = this.deployment;
    const number = (this.numbers.get(type) ?? 0) + 1;
    this.numbers.set(type, number);
    const place = zone ?? zones[(number - 1) % zones.length]!;
    const name = `${type}${number}`;
    const skewMs = Math.round((this.sim.random.next() * 2 - 1) * this.skewMs);
    const process = (role: 'control' | 'store' | 'relay', label: string): SimNode => {
      const n = this.sim.add(label, { role, domain: place, disk: role !== 'relay', skewMs });
      Object.assign(n.config, {
        name,
        losses,
        applyMs,
        pingS: 2,
        stopMs: GRACE_SHARE_MS,
        firstStart: false,
        diskUses: role === 'store' ? ['copies', 'seat'] : ['seat', 'copies'],
      });
      n.diskMs = role === 'store' ? storeDiskMs : coreDiskMs;
      return n;
    };
    const nodes: SimNode[] = [];
    if (type === 'core') nodes.push(process('control', name), process('relay', `${name}-relay`));
    else nodes.push(process(type === 'store' ? 'store' : 'relay', name));
    const machine = new Machine(name, place, type, nodes);
    this.all.push(machine);
    return machine;
  }

  ofClass(type: MachineClass): Machine[] {
    return this.all.filter((m) => m.type === type && !m.removed);
  }
  /** All whose loss counts. */
  counted(): Machine[] {
    return this.all.filter((m) => m.counted && !m.removed);
  }
  ofNode(n: SimNode): Machine | undefined {
    return this.all.find((m) => m.nodes.includes(n));
  }
  ofClient(client: string): Machine | undefined {
    return this.all.find((m) => m.nodes.some((n) => n.config.client === client));
  }

  /** The core machines as the operator's list shows them: late. */
  listed(): Machine[] {
    const then = this.sim.now - this.deployment.seedDelayMs;
    const seen = this.lists.filter((l) => l.at <= then).at(-1) ?? this.lists[0];
    return seen?.core ?? this.ofClass('core');
  }

  /** Tells processes other seeds: the newest of the listed machines. */
  turnOverSeeds(first: readonly Machine[] = []): void {
    const rest = this.listed()
      .filter((m) => !first.includes(m))
      .reverse();
    const seeds = [...first, ...rest].slice(0, SEED_COUNT).map((m) => m.main.config.peer);
    for (const m of this.all) for (const n of m.nodes) n.config.seeds = seeds;
  }

  // --- processes ---

  async start(m: Machine): Promise<void> {
    if (m.removed) return;
    m.held = false;
    const seeds = this.listed()
      .slice(0, SEED_COUNT)
      .map((x) => x.main.config.peer);
    for (const n of m.nodes) {
      if (seeds.length) n.config.seeds = seeds;
      await this.restart(n);
    }
  }
  private restart(n: SimNode): Promise<void> {
    n.config.firstStart = false;
    return this.sim.start(n);
  }
  kill(m: Machine): void {
    m.held = true;
    for (const n of m.nodes) this.sim.kill(n);
  }
  powerOff(m: Machine): void {
    m.held = true;
    for (const n of m.nodes) this.sim.losePower(n);
  }
  wipe(m: Machine): void {
    m.held = true;
    for (const n of m.nodes) this.sim.loseDisk(n);
  }
  async stop(m: Machine): Promise<void> {
    m.held = true;
    await Promise.all(m.nodes.filter((n) => n.up).map((n) => this.sim.stop(n)));
  }
  /** It is taken away, with its disk. */
  remove(m: Machine): void {
    m.removed = true;
    this.wipe(m);
  }
  freeze(m: Machine): void {
    for (const n of m.nodes) this.sim.freeze(n);
  }
  thaw(m: Machine): void {
    for (const n of m.nodes) this.sim.thaw(n);
  }

  // --- links ---

  /** Nothing arrives from these at those, nor back unless `oneWay`; gives what joins them again. */
  cut(these: readonly Machine[], those: readonly Machine[], oneWay = false): () => void {
    const pairs: [string, string][] = [];
    for (const a of these.flatMap((m) => m.nodes))
      for (const b of those.flatMap((m) => m.nodes)) {
        pairs.push([a.name, b.name]);
        if (!oneWay) pairs.push([b.name, a.name]);
      }
    this.countCuts(pairs, 1);
    return () => this.countCuts(pairs, -1);
  }
  private countCuts(pairs: [string, string][], by: number): void {
    for (const [a, b] of pairs) {
      const key = `${a}>${b}`;
      const count = (this.cuts.get(key) ?? 0) + by;
      this.cuts.set(key, count);
      if (count > 0) this.sim.cuts.add(key);
      else this.sim.cuts.delete(key);
    }
  }

  /** Keeps the operator's list, and starts processes that ended by themselves. */
  private async watch(): Promise<void> {
    const endedAt = new Map<SimNode, number>();
    while (this.watching) {
      const core = this.ofClass('core').filter((m) => m.main.up);
      this.lists.push({ at: this.sim.now, core });
      for (const m of this.all)
        for (const n of m.nodes) {
          if (n.up || m.held || m.removed || !n.incarnation) {
            endedAt.delete(n);
            continue;
          }
          const since = endedAt.get(n) ?? this.sim.now;
          endedAt.set(n, since);
          if (this.sim.now - since >= RESTART_MS) await this.restart(n);
        }
      await sleep(this.sim.clock, LIST_MS);
    }
  }
}
