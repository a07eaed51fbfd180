/** The machines of a deployment in the simulator. All processes of a machine are stopped, frozen or cut off together. */
import { sleep } from '@harecross/kernel';
import type { Sim, SimNode } from '../sim.js';
import type { Deployment } from './deployment.js';
import type { MachineClass } from './schedule.js';

/** Time after which a process that exited by itself is started again. */
const RESTART_MS = 300;
/** Interval at which the operator's list of core machines is recorded. */
const LIST_INTERVAL_MS = 250;
/** All processes are first started within this time. */
const START_SPREAD_MS = 300;
/** Longest graceful stop of a process: what one more change of a store or core machine may take. */
const GRACEFUL_STOP_MS = 4_500;
/** Seed addresses in the settings of a process. */
const SEED_COUNT = 3;

/** One machine and its processes. */
export class Machine {
  /** Whether the machine was removed for good. */
  removed = false;
  /** Down on purpose: the supervision does not restart it. */
  held = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly type: MachineClass,
    readonly nodes: SimNode[],
  ) {}

  /** Whether its loss counts towards the declared losses: it has a disk. */
  get counted(): boolean {
    return this.type !== 'access';
  }
  /** The process with the disk, or the only process. */
  get main(): SimNode {
    return this.nodes[0]!;
  }
  isUp(): boolean {
    return !this.held && this.nodes.every((node) => node.up && !node.frozen);
  }
}

/** All machines of a deployment, with the operations and faults that apply to them. */
export class MachineFleet {
  readonly all: Machine[] = [];
  /** The operator's list of core machines, by time. */
  private coreLists: { at: number; core: Machine[] }[] = [];
  /** Number of active faults that cut each directed pair of processes. */
  private cutCounts = new Map<string, number>();
  private readonly lastNumbers = new Map<MachineClass, number>();
  private supervising = true;

  constructor(
    readonly sim: Sim,
    readonly deployment: Deployment,
    /** Clocks of the machines differ by up to this much. */
    private readonly skewMs: number,
  ) {}

  /** Creates and starts the machines of the deployment. */
  startAll(): void {
    const { coreCount, accessCount, storeCount } = this.deployment;
    for (let i = 0; i < coreCount; i++) this.add('core');
    for (let i = 0; i < storeCount; i++) this.add('store');
    for (let i = 0; i < accessCount; i++) this.add('access');
    const seeds = this.ofClass('core')
      .slice(0, SEED_COUNT)
      .map((machine) => machine.main.config.peer);
    for (const machine of this.all)
      for (const node of machine.nodes) {
        node.config.seeds = seeds;
        node.config.firstStart = true;
        this.sim.clock.after(this.sim.random.next() * START_SPREAD_MS, () => {
          void this.sim.start(node);
        });
      }
    void this.supervise();
  }

  stopSupervision(): void {
    this.supervising = false;
  }

  /** Creates a machine without starting it. */
  add(type: MachineClass, zone?: string): Machine {
    const { zones, losses, applyMs, coreDiskMs, storeDiskMs } = this.deployment;
    const number = (this.lastNumbers.get(type) ?? 0) + 1;
    this.lastNumbers.set(type, number);
    const place = zone ?? zones[(number - 1) % zones.length]!;
    const name = `${type}${number}`;
    const skewMs = Math.round((this.sim.random.next() * 2 - 1) * this.skewMs);
    const process = (role: 'control' | 'store' | 'relay', label: string): SimNode => {
      const node = this.sim.add(label, { role, domain: place, disk: role !== 'relay', skewMs });
      Object.assign(node.config, {
        name,
        losses,
        applyMs,
        pingS: 2,
        stopMs: GRACEFUL_STOP_MS,
        firstStart: false,
        diskUses: role === 'store' ? ['copies', 'seat'] : ['seat', 'copies'],
      });
      node.diskMs = role === 'store' ? storeDiskMs : coreDiskMs;
      return node;
    };
    const nodes: SimNode[] = [];
    if (type === 'core') nodes.push(process('control', name), process('relay', `${name}-relay`));
    else nodes.push(process(type === 'store' ? 'store' : 'relay', name));
    const machine = new Machine(name, place, type, nodes);
    this.all.push(machine);
    return machine;
  }

  ofClass(type: MachineClass): Machine[] {
    return this.all.filter((machine) => machine.type === type && !machine.removed);
  }
  /** Machines whose loss counts towards the declared losses. */
  counted(): Machine[] {
    return this.all.filter((machine) => machine.counted && !machine.removed);
  }
  machineOfNode(node: SimNode): Machine | undefined {
    return this.all.find((machine) => machine.nodes.includes(node));
  }
  machineOfClient(client: string): Machine | undefined {
    return this.all.find((machine) => machine.nodes.some((node) => node.config.client === client));
  }

  /** The core machines in the operator's list, which lags by `seedDelayMs`. */
  listedCoreMachines(): Machine[] {
    const then = this.sim.now - this.deployment.seedDelayMs;
    const seen = this.coreLists.filter((l) => l.at <= then).at(-1) ?? this.coreLists[0];
    return seen?.core ?? this.ofClass('core');
  }

  /** Replaces the seeds in the settings of all processes: by these machines, then the newest in the operator's list. */
  replaceSeeds(first: readonly Machine[] = []): void {
    const rest = this.listedCoreMachines()
      .filter((machine) => !first.includes(machine))
      .reverse();
    const seeds = [...first, ...rest].slice(0, SEED_COUNT).map((machine) => machine.main.config.peer);
    for (const machine of this.all) for (const node of machine.nodes) node.config.seeds = seeds;
  }

  // --- processes ---

  async start(machine: Machine): Promise<void> {
    if (machine.removed) return;
    machine.held = false;
    const seeds = this.listedCoreMachines()
      .slice(0, SEED_COUNT)
      .map((x) => x.main.config.peer);
    for (const node of machine.nodes) {
      if (seeds.length) node.config.seeds = seeds;
      await this.restart(node);
    }
  }
  private restart(node: SimNode): Promise<void> {
    node.config.firstStart = false;
    return this.sim.start(node);
  }
  kill(machine: Machine): void {
    machine.held = true;
    for (const node of machine.nodes) this.sim.kill(node);
  }
  powerOff(machine: Machine): void {
    machine.held = true;
    for (const node of machine.nodes) this.sim.losePower(node);
  }
  wipe(machine: Machine): void {
    machine.held = true;
    for (const node of machine.nodes) this.sim.loseDisk(node);
  }
  async stop(machine: Machine): Promise<void> {
    machine.held = true;
    await Promise.all(machine.nodes.filter((node) => node.up).map((node) => this.sim.stop(node)));
  }
  /** Removes the machine for good, with its disk. */
  remove(machine: Machine): void {
    machine.removed = true;
    this.wipe(machine);
  }
  freeze(machine: Machine): void {
    for (const node of machine.nodes) this.sim.freeze(node);
  }
  thaw(machine: Machine): void {
    for (const node of machine.nodes) this.sim.thaw(node);
  }

  // --- links ---

  /** Cuts the links from `these` to `those`, and back unless `oneWay`. The returned function restores them. */
  cut(these: readonly Machine[], those: readonly Machine[], oneWay = false): () => void {
    const pairs: [string, string][] = [];
    for (const a of these.flatMap((machine) => machine.nodes))
      for (const b of those.flatMap((machine) => machine.nodes)) {
        pairs.push([a.name, b.name]);
        if (!oneWay) pairs.push([b.name, a.name]);
      }
    this.addToCutCounts(pairs, 1);
    return () => this.addToCutCounts(pairs, -1);
  }
  private addToCutCounts(pairs: [string, string][], by: number): void {
    for (const [a, b] of pairs) {
      const key = `${a}>${b}`;
      const count = (this.cutCounts.get(key) ?? 0) + by;
      this.cutCounts.set(key, count);
      if (count > 0) this.sim.cuts.add(key);
      else this.sim.cuts.delete(key);
    }
  }

  /** Records the operator's list, and restarts processes that exited by themselves. */
  private async supervise(): Promise<void> {
    const endedAt = new Map<SimNode, number>();
    while (this.supervising) {
      const core = this.ofClass('core').filter((machine) => machine.main.up);
      this.coreLists.push({ at: this.sim.now, core });
      for (const machine of this.all)
        for (const node of machine.nodes) {
          if (node.up || machine.held || machine.removed || !node.incarnation) {
            endedAt.delete(node);
            continue;
          }
          const since = endedAt.get(node) ?? this.sim.now;
          endedAt.set(node, since);
          if (this.sim.now - since >= RESTART_MS) await this.restart(node);
        }
      await sleep(this.sim.clock, LIST_INTERVAL_MS);
    }
  }
}
