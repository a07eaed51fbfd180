/** Does the entries of a soak to a fleet of real processes, within what the fleet has to bear. */
import { rmSync } from 'node:fs';
import { randomInt, randomSample, sleep, realClock, type RandomSource } from '@harecross/kernel';
import type { Operator } from '../simulated-clients.js';
import type { Fleet, NodeProcess } from '../process-fleet.js';
import { fleetConfigOf, type DeploymentSpec } from '../scenario.js';
import { seededRandom } from '../sim.js';
import { LossBudget, type LossClaim, type Losable } from '../trouble/loss-budget.js';
import type { SoakEntry, SoakKind } from './schedule.js';

/** Machines with a disk that may be lost at once. */
export const SOAK_LOSSES = 1;
/** A machine counts as lost until this long after it is back. */
const SYNC_MS = 4_000;
/** An ended process is started again after this long. */
const RESTART_MS: readonly [number, number] = [500, 2_000];
const FREEZE_MS: readonly [number, number] = [300, 5_000];
/** A process that has not answered by then has ended by itself. */
const START_LIMIT_MS = 20_000;
/** Relays that are never struck at the same time as the others: somebody must serve. */
const LEAST_RELAYS = 2;
const RESET_SHARE = 0.5;

/** A process as the count of losses sees it. */
class Machine implements Losable {
  removed = false;
  struck = false;

  constructor(readonly proc: NodeProcess) {}

  get counted(): boolean {
    return this.proc.config.data !== undefined;
  }

  isUp(): boolean {
    return this.proc.up && !this.struck;
  }
}

type Action = (random: RandomSource) => Promise<void>;

/** The fleet of a soak, and what can be done to it. */
export class SoakStage {
  private readonly machines: Machine[];
  private readonly tolerance = new LossBudget<Machine>(realClock, SOAK_LOSSES, SYNC_MS);
  private readonly actions: Record<SoakKind, Action>;
  private changes = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly site: DeploymentSpec,
    private readonly operator: Operator,
    private readonly say: (line: string) => void,
    private readonly added: (proc: NodeProcess) => void,
  ) {
    this.machines = fleet.procs.map((proc) => new Machine(proc));
    this.actions = {
      term: (random) => this.strike(random, 'SIGTERM', (proc) => this.terminate(proc, random)),
      kill: (random) => this.strike(random, 'SIGKILL', (proc) => this.kill(proc, random)),
      freeze: (random) => this.strike(random, 'SIGSTOP', (proc) => this.freeze(proc, random)),
      wipe: (random) => this.wipe(random),
      reload: (random) => this.reload(random),
      reset: () => this.reset(),
      change: () => this.change(),
      replace: (random) => this.replace(random),
    };
  }

  /** Begins each entry at its time, whatever is still under way; resolves when all are over. */
  async play(entries: SoakEntry[]): Promise<void> {
    const beganAt = realClock.now();
    const running: Promise<void>[] = [];
    for (const entry of entries) {
      await sleep(realClock, Math.max(0, beganAt + entry.atMs - realClock.now()));
      running.push(this.actions[entry.kind](seededRandom(entry.seed)));
    }
    await Promise.all(running);
  }

  private async strike(random: RandomSource, what: string, act: (proc: NodeProcess) => Promise<void>): Promise<void> {
    const claim = await this.tolerance.claim(() => this.strikable(), 1, random);
    if (!claim) return;
    await this.during(claim, what, act);
    claim.back();
  }

  /** Machines that may be struck: not the last relays. */
  private strikable(): Machine[] {
    const there = this.machines.filter((machine) => !machine.removed && machine.isUp());
    const relays = there.filter((machine) => machine.proc.role === 'relay').length;
    return there.filter((machine) => machine.proc.role !== 'relay' || relays > LEAST_RELAYS);
  }

  private async during(claim: LossClaim<Machine>, what: string, act: (proc: NodeProcess) => Promise<void>): Promise<void> {
    for (const machine of claim.machines) {
      machine.struck = true;
      this.say(`${what} ${machine.proc.name}`);
    }
    await Promise.all(claim.machines.map((machine) => act(machine.proc)));
    await Promise.all(claim.machines.map((machine) => hasStarted(machine.proc)));
    for (const machine of claim.machines) machine.struck = false;
  }

  private async terminate(proc: NodeProcess, random: RandomSource): Promise<void> {
    await this.fleet.stop(proc);
    await sleep(realClock, between(random, RESTART_MS));
    this.fleet.start(proc);
  }

  private async kill(proc: NodeProcess, random: RandomSource): Promise<void> {
    await this.fleet.kill(proc);
    await sleep(realClock, between(random, RESTART_MS));
    this.fleet.start(proc);
  }

  private async freeze(proc: NodeProcess, random: RandomSource): Promise<void> {
    this.fleet.signal(proc, 'SIGSTOP');
    await sleep(realClock, between(random, FREEZE_MS));
    this.fleet.signal(proc, 'SIGCONT');
  }

  private async wipe(random: RandomSource): Promise<void> {
    const stores = (): Machine[] => this.strikable().filter((machine) => machine.counted);
    const claim = await this.tolerance.claim(stores, 1, random);
    if (!claim) return;
    await this.during(claim, 'disk lost:', async (proc) => {
      await this.fleet.kill(proc);
      rmSync(proc.config.data!, { recursive: true, force: true });
      await sleep(realClock, between(random, RESTART_MS));
      this.fleet.start(proc);
    });
    claim.back();
  }

  /** Processes that are not up though nobody keeps them down: they ended by themselves. */
  endedByThemselves(): string[] {
    return this.machines
      .filter((machine) => !machine.removed && !machine.struck && !machine.proc.up)
      .map(({ proc }) => `${proc.name} (exits ${proc.exits.join(', ')})`);
  }

  /** Only of processes that serve: one that is still loading has no handler for the signal yet. */
  private async reload(random: RandomSource): Promise<void> {
    const serving = this.machines.filter((other) => !other.removed && other.isUp() && other.proc.healthy);
    const [machine] = randomSample(random, serving, 1);
    if (!machine) return;
    this.say(`SIGHUP ${machine.proc.name}`);
    this.fleet.writeConfig(machine.proc);
    this.fleet.signal(machine.proc, 'SIGHUP');
  }

  private async reset(): Promise<void> {
    this.say(`${this.fleet.resetStreams(RESET_SHARE)} connections are reset`);
  }

  private async change(): Promise<void> {
    const name = `extra${++this.changes}`;
    const family = { name, topics: [`${name}/*`], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 30 };
    const { out } = await this.operator.submit(`soak-${name}`, fleetConfigOf(this.site, [family]), true);
    this.say(`configuration with ${name}: ${out}`);
  }

  /** A store is replaced by plan: its successor comes first; once that counts no more, the old one goes for good. */
  private async replace(random: RandomSource): Promise<void> {
    const stores = (): Machine[] => this.strikable().filter((machine) => machine.proc.role === 'store');
    const claim = await this.tolerance.claim(stores, 1, random);
    if (!claim) return;
    const [old] = claim.machines as [Machine];
    old.struck = true;
    const successor = await this.addLike(old.proc);
    await hasStarted(successor.proc);
    successor.struck = false;
    claim.replacedBy(successor);
    await sleep(realClock, SYNC_MS + randomInt(random, SYNC_MS));
    this.say(`${old.proc.name} goes for good`);
    old.removed = true;
    await this.fleet.stop(old.proc);
    rmSync(old.proc.config.data!, { recursive: true, force: true });
  }

  private async addLike(old: NodeProcess): Promise<Machine> {
    const proc = await this.fleet.add('store', old.config.domain);
    const { peer, client, data, seeds } = proc.config;
    Object.assign(proc.config, old.config, { peer, client, data, seeds });
    for (const other of this.fleet.procs) {
      other.config.seeds = other.config.seeds.map((seed) => (seed === old.config.peer ? peer : seed));
      this.fleet.writeConfig(other);
    }
    this.say(`${proc.name} comes in the place of ${old.name}`);
    this.added(proc);
    this.fleet.start(proc);
    const machine = new Machine(proc);
    machine.struck = true;
    this.machines.push(machine);
    return machine;
  }
}

/** A machine is back once its process answers: on a busy machine loading it takes seconds. */
async function hasStarted(proc: NodeProcess): Promise<void> {
  const until = realClock.now() + START_LIMIT_MS;
  while (!proc.responding && realClock.now() < until) await sleep(realClock, 50);
}

const between = (random: RandomSource, [least, most]: readonly [number, number]): number =>
  least + randomInt(random, most - least + 1);
