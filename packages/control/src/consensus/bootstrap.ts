/** Bootstrap of the consensus register: the first value of a fleet, agreed on by all three seeds. */
import { REGISTER, SHARD, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import { durabilityOf, shortfallOf } from '../placement/durability.js';
import { assignReplicas } from '../placement/placement.js';
import { isUsedFor, type DiskRecord, type FleetValue, type Placement } from '../value/fleet-value.js';
import { deserializeValue, serializeValue } from '../value/value-text.js';
import type { AcceptResponse, BallotGenerator, PrepareResponse } from './ballots.js';
import type { BootstrapEligibility } from './bootstrap-eligibility.js';

/** Fleet ids are random numbers below this. */
const FLEET_ID_RANGE = 2 ** 48;
const FLEET_ID_RADIX = 36;

/** A seed's answer to `RegWho`: its disk, the fleet that the disk belongs to, if any, and whether it may found one. Wire format. */
interface SeedIdentity {
  disk: string;
  fleet?: string;
  mayFound?: boolean;
}

/** A seed with its disk. */
interface Seed {
  peer: string;
  disk: string;
  mayFound: boolean;
}

/** Bootstraps the fleet, once. */
export class Bootstrap {
  /** When a shortfall of disks was last reported (steady clock, ms). */
  private reportedAt = -Infinity;

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly ballots: BallotGenerator,
    private readonly right: BootstrapEligibility,
    /** The value that is known here, if any. */
    private readonly known: () => FleetValue | undefined,
    /** Called with the first value once it is chosen. */
    private readonly learn: (value: FleetValue) => void,
  ) {}

  /**
   * One attempt. Only the first seed that may makes it, and only while all three seeds answer that their disks belong to no
   * fleet: asking, preparing and accepting all need all three. A value accepted anywhere is on a seed's disk and is
   * found again; a disk that learns of its fleet remembers it, with a vote or without. So a disk of a seed of the first start that has
   * nothing accepted proves that there is no fleet, and a second one could arise only if all three seeds' disks were emptied together.
   */
  async tryBootstrap(): Promise<void> {
    const peers = this.right.seeds;
    if (!peers || !this.hasLookedAround()) return;
    const seeds = await this.seedsWithoutFleet(peers);
    if (!seeds || seeds.find((seed) => seed.mayFound)?.peer !== this.kernel.self || !this.areDisksThere()) return;
    const ballot = this.ballots.next();
    const promises = await this.prepare(seeds, ballot);
    if (!promises) return;
    const value = this.firstValue(seeds, promises);
    // A fleet that lives: the ordinary way finds it.
    if (value.rev !== 1) return;
    if (!(await this.accept(seeds, ballot, promises, value))) return;
    this.kernel.host.log.info('fleet founded', { fleet: value.fleet, disks: value.disks.size });
    this.learn(value);
  }

  /** Whether no fleet is known, and others had the time to come. */
  private hasLookedAround(): boolean {
    return !this.known() && this.waitedMs() >= REGISTER.bootstrapAfterMs;
  }

  private waitedMs(): number {
    return this.kernel.host.clock.now() - this.kernel.startedAt;
  }

  /**
   * Whether the disks that are there bear what the configuration of the process asks for. Where it asks for nothing, those that came
   * within some time are enough.
   */
  private areDisksThere(): boolean {
    const isLate = this.waitedMs() >= REGISTER.bootstrapReplicaWaitMs;
    const durability = durabilityOf(this.kernel.host.config);
    if (!durability.tolerance) return isLate || this.disksForReplicas() >= durability.copies;
    const shortfall = shortfallOf(durability, [...this.liveDisks().values()]);
    if (shortfall !== undefined && isLate) this.reportShortfall(shortfall);
    return shortfall === undefined;
  }

  /** Live disks that are for replicas before anything else. */
  private disksForReplicas(): number {
    return this.membership.liveMembers().filter((member) => member.diskUses?.[0] === 'copies').length;
  }

  /** Says why the fleet is not founded: at once, and again while it stays so. */
  private reportShortfall(shortfall: string): void {
    const now = this.kernel.host.clock.now();
    if (now - this.reportedAt < REGISTER.bootstrapReportMs) return;
    this.reportedAt = now;
    this.kernel.incrementCounter('bootstrap.short');
    this.kernel.host.log.warn(`cannot found the fleet: ${shortfall}`);
  }

  /** All seeds with their disks; undefined unless each answers that it belongs to no fleet. */
  private async seedsWithoutFleet(peers: string[]): Promise<Seed[] | undefined> {
    const calls = peers.map((peer) => this.kernel.call<SeedIdentity>(peer, 'RegWho', {}).catch(() => undefined));
    const identities = await Promise.all(calls);
    const seeds: Seed[] = [];
    for (const [i, identity] of identities.entries()) {
      if (!identity || identity.fleet !== undefined) return undefined;
      seeds.push({ peer: peers[i]!, disk: identity.disk, mayFound: identity.mayFound === true });
    }
    return seeds;
  }

  /** The promises of all seeds; undefined where one is missing. */
  private async prepare(seeds: Seed[], ballot: string): Promise<PrepareResponse[] | undefined> {
    const calls = seeds.map(({ peer, disk }) =>
      this.kernel.call<PrepareResponse>(peer, 'RegPrepare', { disk, ballot }).catch(() => undefined),
    );
    const answers = await Promise.all(calls);
    for (const answer of answers) if (answer && !answer.ok) this.ballots.advancePast(answer.promised);
    const promises = answers.filter((answer) => answer?.ok === true);
    return promises.length === seeds.length ? (promises as PrepareResponse[]) : undefined;
  }

  /** The value of a bootstrap that was cut short, if there was one; else a new one. */
  private firstValue(seeds: Seed[], promises: PrepareResponse[]): FleetValue {
    const accepted = promises
      .filter((promise) => promise.value)
      .reduce<PrepareResponse | undefined>((one, other) => (!one || other.ballot > one.ballot ? other : one), undefined);
    return accepted ? deserializeValue(accepted.value!) : this.genesis(seeds);
  }

  /** Whether all seeds accepted the value. */
  private async accept(seeds: Seed[], ballot: string, promises: PrepareResponse[], value: FleetValue): Promise<boolean> {
    const text = serializeValue(value);
    const calls = seeds.map(({ peer, disk }, i) =>
      this.kernel
        .call<AcceptResponse>(peer, 'RegAccept', { disk, ballot, value: text, promisedAt: promises[i]!.at })
        .catch(() => undefined),
    );
    return (await Promise.all(calls)).every((answer) => answer?.ok);
  }

  private genesis(seeds: Seed[]): FleetValue {
    const fleet = Math.floor(this.kernel.host.random.next() * FLEET_ID_RANGE).toString(FLEET_ID_RADIX);
    const disks = this.firstDisks(seeds);
    const durability = durabilityOf(this.kernel.host.config);
    const { copies, tolerance } = durability;
    const forReplicas = [...disks.values()].filter((disk) => isUsedFor(disk, 'copies'));
    const placements = [...assignReplicas(forReplicas, copies, SHARD.shardCount, tolerance)];
    const voters = seeds.map((seed) => seed.disk);
    return {
      fleet,
      rev: 1,
      version: 0,
      changeId: '',
      config: { families: [] },
      incarnations: new Map(),
      disks,
      voters,
      previousVoters: voters,
      shards: new Map(placements.map(([shard, on]): [number, Placement] => [shard, { gen: 1, copies: on }])),
      ...durability,
      changes: new Map(),
      moves: new Map(),
    };
  }

  /** The disks of all live members, and those of the seeds. */
  private firstDisks(seeds: Seed[]): Map<string, DiskRecord> {
    const disks = this.liveDisks();
    for (const { peer, disk: id } of seeds)
      if (!disks.has(id)) disks.set(id, { id, peer, domain: '', state: 'active', uses: ['seat'] });
    return disks;
  }

  private liveDisks(): Map<string, DiskRecord> {
    const disks = new Map<string, DiskRecord>();
    for (const { disk: id, peer, domain, region, diskUses: uses, name, diskMs: ms } of this.membership.liveMembers())
      if (id) disks.set(id, { id, peer, domain, region, state: 'active', uses, name, ms });
    return disks;
  }
}
