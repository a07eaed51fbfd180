/** Applies the entries of a soak test to a fleet of real processes, within the declared losses. */
import { rmSync } from 'node:fs';
import { randomInt, randomSample, sleep, realClock, type RandomSource } from '@harecross/kernel';
import type { Operator } from '../simulated-clients.js';
import type { Fleet, NodeProcess } from '../process-fleet.js';
import { fleetConfigOf, type DeploymentSpec } from '../scenario.js';
import { seededRandom } from '../sim.js';
import { LossBudget, type LossClaim, type Losable } from '../trouble/loss-budget.js';
import type { SoakEntry, SoakKind } from './schedule.js';

/** How many machines with a disk may be lost at once. */
export const SOAK_LOSSES = 1;
/** A machine counts as lost for this long after its return. */
const SYNC_MS = 4_000;
/** Time from the end of a process to its next start. */
const RESTART_MS: readonly [number, number] = [500, 2_000];
const FREEZE_MS: readonly [number, number] = [300, 5_000];
/** How long a started process may take to answer; after that, a process that is down counts as an unexpected exit. */
const START_TIMEOUT_MS = 20_000;
/** Relays that always stay up, so that clients are served. */
const MIN_RELAYS = 2;
const RESET_SHARE = 0.5;

/** A process, with the state that the count of losses depends on. */
class Machine implements Losable {
  removed = false;
  affected = false;

  constructor(readonly proc: NodeProcess) {}

  get counted(): boolean {
    return this.proc.config.data !== undefined;
  }

  isUp(): boolean {
    return this.proc.up && !this.affected;
  }
}

type Action = (random: RandomSource) => Promise<void>;

/** Injects faults into the fleet of a soak test. */
export class SoakFaultInjector {
  private readonly machines: Machine[];
  private readonly lossBudget = new LossBudget<Machine>(realClock, SOAK_LOSSES, SYNC_MS);
  private readonly actionByKind: Record<SoakKind, Action>;
  private changeCount = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly site: DeploymentSpec,
    private readonly operator: Operator,
    private readonly say: (line: string) => void,
    private readonly added: (proc: NodeProcess) => void,
  ) {
    this.machines = fleet.procs.map((proc) => new Machine(proc));
    this.actionByKind = {
      term: (random) => this.applyToOne(random, 'SIGTERM', (proc) => this.terminate(proc, random)),
      kill: (random) => this.applyToOne(random, 'SIGKILL', (proc) => this.kill(proc, random)),
      freeze: (random) => this.applyToOne(random, 'SIGSTOP', (proc) => this.freeze(proc, random)),
      wipe: (random) => this.wipe(random),
      reload: (random) => this.reload(random),
      reset: () => this.reset(),
      change: () => this.change(),
      replace: (random) => this.replace(random),
    };
  }

  /** Starts each entry at its time, whether or not earlier ones are finished; resolves when all are. */
  async play(entries: SoakEntry[]): Promise<void> {
    const beganAt = realClock.now();
    const running: Promise<void>[] = [];
    for (const entry of entries) {
      await sleep(realClock, Math.max(0, beganAt + entry.atMs - realClock.now()));
      running.push(this.actionByKind[entry.kind](seededRandom(entry.seed)));
    }
    await Promise.all(running);
  }

  private async applyToOne(
    random: RandomSource,
    what: string,
    act: (proc: NodeProcess) => Promise<void>,
  ): Promise<void> {
    const claim = await this.lossBudget.claim(() => this.candidates(), 1, random);
    if (!claim) return;
    await this.applyToClaim(claim, what, act);
    claim.back();
  }

  /** Machines that a fault may affect: no relay while only `MIN_RELAYS` of them are up. */
  private candidates(): Machine[] {
    const up = this.machines.filter((machine) => !machine.removed && machine.isUp());
    const relays = up.filter((machine) => machine.proc.role === 'relay').length;
    return up.filter((machine) => machine.proc.role !== 'relay' || relays > MIN_RELAYS);
  }

  private async applyToClaim(
    claim: LossClaim<Machine>,
    what: string,
    act: (proc: NodeProcess) => Promise<void>,
  ): Promise<void> {
    for (const machine of claim.machines) {
      machine.affected = true;
      this.say(`${what} ${machine.proc.name}`);
    }
    await Promise.all(claim.machines.map((machine) => act(machine.proc)));
    await Promise.all(claim.machines.map((machine) => waitUntilAnswering(machine.proc)));
    for (const machine of claim.machines) machine.affected = false;
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
    const stores = (): Machine[] => this.candidates().filter((machine) => machine.counted);
    const claim = await this.lossBudget.claim(stores, 1, random);
    if (!claim) return;
    await this.applyToClaim(claim, 'disk lost:', async (proc) => {
      await this.fleet.kill(proc);
      rmSync(proc.config.data!, { recursive: true, force: true });
      await sleep(realClock, between(random, RESTART_MS));
      this.fleet.start(proc);
    });
    claim.back();
  }

  /** Processes that are down although no fault stopped them. */
  unexpectedExits(): string[] {
    return this.machines
      .filter((machine) => !machine.removed && !machine.affected && !machine.proc.up)
      .map(({ proc }) => `${proc.name} (exits ${proc.exits.join(', ')})`);
  }

  /** Sends SIGHUP only to serving processes: one that is still loading has no handler for the signal yet. */
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
    const name = `extra${++this.changeCount}`;
    const family = { name, topics: [`${name}/*`], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 30 };
    const { out } = await this.operator.submit(`soak-${name}`, fleetConfigOf(this.site, [family]), true);
    this.say(`configuration with ${name}: ${out}`);
  }

  /** Planned replacement of a store: its successor is added first; once that no longer counts as lost, the old one is removed for good. */
  private async replace(random: RandomSource): Promise<void> {
    const stores = (): Machine[] => this.candidates().filter((machine) => machine.proc.role === 'store');
    const claim = await this.lossBudget.claim(stores, 1, random);
    if (!claim) return;
    const [old] = claim.machines as [Machine];
    old.affected = true;
    const successor = await this.addLike(old.proc);
    await waitUntilAnswering(successor.proc);
    successor.affected = false;
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
    machine.affected = true;
    this.machines.push(machine);
    return machine;
  }
}

/** Waits until the process answers, or the timeout. On a busy machine loading a process takes seconds. */
async function waitUntilAnswering(proc: NodeProcess): Promise<void> {
  const until = realClock.now() + START_TIMEOUT_MS;
  while (!proc.responding && realClock.now() < until) await sleep(realClock, 50);
}

const between = (random: RandomSource, [least, most]: readonly [number, number]): number =>
  least + randomInt(random, most - least + 1);
