/** Bootstrap of the consensus register: all three seeds agree on the first value of a fleet. */
import { REGISTER, SHARD, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import { durabilityOf, shortfallOf } from '../placement/durability.js';
import { assignReplicas } from '../placement/placement.js';
import { isUsedFor, type DiskRecord, type FleetValue, type Placement } from '../value/fleet-value.js';
import { deserializeValue, serializeValue } from '../value/value-text.js';
import type { AcceptResponse, BallotGenerator, PrepareResponse } from './ballots.js';
import type { BootstrapEligibility } from './bootstrap-eligibility.js';

/** Fleet ids are random integers below this bound. */
const FLEET_ID_RANGE = 2 ** 48;
const FLEET_ID_RADIX = 36;

/** A seed's answer to `RegWho`: its disk, the fleet that the disk belongs to, if any, and whether it may bootstrap one. Wire format. */
interface SeedIdentity {
  disk: string;
  fleet?: string;
  mayFound?: boolean;
}

interface Seed {
  peer: string;
  disk: string;
  mayFound: boolean;
}

/** Bootstraps the fleet once, if it does not exist yet. */
export class Bootstrap {
  /** When missing disks were last reported (monotonic clock, ms). */
  private shortfallReportedAt = -Infinity;

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly ballots: BallotGenerator,
    private readonly eligibility: BootstrapEligibility,
    /** The value known here, if any. */
    private readonly knownValue: () => FleetValue | undefined,
    /** Called with the first value after it was chosen. */
    private readonly learn: (value: FleetValue) => void,
  ) {}

  /**
   * Makes one attempt. Only the first eligible seed makes it, and only if all three seeds answer that their disks belong to no fleet:
   * the identity query, prepare and accept each need all three. Any accepted value is therefore on a seed's disk and is found by the next
   * attempt, and a disk stores its fleet id once it learns it, whether it is a voter or not. So a disk of a seed of the first start that
   * has accepted nothing proves that there is no fleet; a second fleet could arise only if the disks of all three seeds were wiped together.
   */
  async tryBootstrap(): Promise<void> {
    const peers = this.eligibility.seeds;
    if (!peers || !this.isDiscoveryOver()) return;
    const seeds = await this.seedsWithoutFleet(peers);
    if (!seeds || seeds.find((seed) => seed.mayFound)?.peer !== this.kernel.self || !this.hasEnoughDisks()) return;
    const ballot = this.ballots.next();
    const promises = await this.prepare(seeds, ballot);
    if (!promises) return;
    const value = this.firstValue(seeds, promises);
    // The fleet exists already; the regular fetch of the value finds it.
    if (value.rev !== 1) return;
    if (!(await this.accept(seeds, ballot, promises, value))) return;
    this.kernel.host.log.info('fleet founded', { fleet: value.fleet, disks: value.disks.size });
    this.learn(value);
  }

  /** Whether no fleet is known after other nodes had `bootstrapAfterMs` to appear. */
  private isDiscoveryOver(): boolean {
    return !this.knownValue() && this.uptimeMs() >= REGISTER.bootstrapAfterMs;
  }

  private uptimeMs(): number {
    return this.kernel.host.clock.now() - this.kernel.startedAt;
  }

  /**
   * Whether the live disks provide the fault tolerance in the process config. If the config states none, one replica disk per copy is
   * enough, or whatever disks are live after `bootstrapAnywayMs`.
   */
  private hasEnoughDisks(): boolean {
    const isOverdue = this.uptimeMs() >= REGISTER.bootstrapReplicaWaitMs;
    const durability = durabilityOf(this.kernel.host.config);
    if (!durability.tolerance) return isOverdue || this.liveReplicaDiskCount() >= durability.copies;
    const shortfall = shortfallOf(durability, [...this.liveDisks().values()]);
    if (shortfall !== undefined && isOverdue) this.reportShortfall(shortfall);
    return shortfall === undefined;
  }

  /** Number of live disks whose primary use is replicas. */
  private liveReplicaDiskCount(): number {
    return this.membership.liveMembers().filter((member) => member.diskUses?.[0] === 'copies').length;
  }

  /** Logs why the fleet can't be bootstrapped, and repeats it every `bootstrapReportMs` while that lasts. */
  private reportShortfall(shortfall: string): void {
    const now = this.kernel.host.clock.now();
    if (now - this.shortfallReportedAt < REGISTER.bootstrapReportMs) return;
    this.shortfallReportedAt = now;
    this.kernel.incrementCounter('bootstrap.short');
    this.kernel.host.log.warn(`cannot found the fleet: ${shortfall}`);
  }

  /** All seeds with their disks; undefined unless every seed answers that its disk belongs to no fleet. */
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

  /** The promises of all seeds; undefined if one is missing. */
  private async prepare(seeds: Seed[], ballot: string): Promise<PrepareResponse[] | undefined> {
    const calls = seeds.map(({ peer, disk }) =>
      this.kernel.call<PrepareResponse>(peer, 'RegPrepare', { disk, ballot }).catch(() => undefined),
    );
    const answers = await Promise.all(calls);
    for (const answer of answers) if (answer && !answer.ok) this.ballots.advancePast(answer.promised);
    const promises = answers.filter((answer) => answer?.ok === true);
    return promises.length === seeds.length ? (promises as PrepareResponse[]) : undefined;
  }

  /** The value of an interrupted bootstrap, if any seed accepted one; otherwise a new value. */
  private firstValue(seeds: Seed[], promises: PrepareResponse[]): FleetValue {
    const accepted = promises
      .filter((promise) => promise.value)
      .reduce<PrepareResponse | undefined>((a, b) => (!a || b.ballot > a.ballot ? b : a), undefined);
    return accepted ? deserializeValue(accepted.value!) : this.initialValue(seeds);
  }

  /** Sends the value to all seeds; returns whether all of them accepted it. */
  private async accept(
    seeds: Seed[],
    ballot: string,
    promises: PrepareResponse[],
    value: FleetValue,
  ): Promise<boolean> {
    const text = serializeValue(value);
    const calls = seeds.map(({ peer, disk }, i) =>
      this.kernel
        .call<AcceptResponse>(peer, 'RegAccept', { disk, ballot, value: text, promisedAt: promises[i]!.at })
        .catch(() => undefined),
    );
    return (await Promise.all(calls)).every((answer) => answer?.ok);
  }

  private initialValue(seeds: Seed[]): FleetValue {
    const fleet = Math.floor(this.kernel.host.random.next() * FLEET_ID_RANGE).toString(FLEET_ID_RADIX);
    const disks = this.initialDisks(seeds);
    const durability = durabilityOf(this.kernel.host.config);
    const { copies, tolerance } = durability;
    const replicaDisks = [...disks.values()].filter((disk) => isUsedFor(disk, 'copies'));
    const placements = [...assignReplicas(replicaDisks, copies, SHARD.shardCount, tolerance)];
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
      shards: new Map(placements.map(([shard, diskIds]): [number, Placement] => [shard, { gen: 1, copies: diskIds }])),
      ...durability,
      changes: new Map(),
      moves: new Map(),
    };
  }

  /** The disks of all live members and of the seeds. */
  private initialDisks(seeds: Seed[]): Map<string, DiskRecord> {
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
