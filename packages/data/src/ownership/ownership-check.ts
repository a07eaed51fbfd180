/** The periodic ownership check: takes shards that are assigned to this node, and releases those that are placed on other disks. */
import {
  peerOfMemberKey,
  type ConsensusRegister,
  type MembershipTable,
  type Placement,
  type ShardOwnerRecord,
} from '@harecross/control';
import { REQUEST, SHARD, runPeriodically, type Kernel } from '@harecross/kernel';
import { lastIdx, parseFence, type Fence } from '@harecross/state';
import type { ReplicaStore } from '../replication/replica-store.js';
import type { HandOver } from './hand-over.js';
import type { ShardAssignment } from './shard-assignment.js';
import type { ShardElection } from './shard-election.js';
import type { ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Compares the owner of each shard with the assigned one, periodically and whenever a member or the placement changes. */
export class OwnershipCheck {
  /** When this process first had a read lease (steady clock, ms). */
  private firstLeaseAt = Infinity;
  /** Whether each member with a disk was available at its last change. */
  private readonly wasAvailable = new Map<string, boolean>();
  private isScheduled = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
    private readonly shards: ShardTable,
    private readonly assignment: ShardAssignment,
    private readonly election: ShardElection,
    private readonly handOver: HandOver,
  ) {}

  /** Starts the periodic check, and subscribes to changes of members and of the register, which trigger a check at once. */
  start(): void {
    const { clock, random } = this.kernel.host;
    const { kernel, membership, register } = this;
    kernel.addSubscription(runPeriodically(clock, SHARD.ownershipCheckMs, random, () => this.check()));
    const memberRecordChanged = membership.factChanged$.subscribe((key) => {
      const peer = peerOfMemberKey(key);
      if (peer !== undefined) this.memberChanged(peer);
    });
    kernel.addSubscription(memberRecordChanged);
    kernel.addSubscription(membership.memberStateChanged$.subscribe((member) => this.memberChanged(member.peer)));
    // Takes a shard under a new placement generation without delay: until then its new replicas don't count towards fault tolerance.
    kernel.addSubscription(register.value$.subscribe(() => this.schedule()));
    const leaseBegun = register.readLeaseStarted$.subscribe(() => {
      this.firstLeaseAt = Math.min(this.firstLeaseAt, clock.now());
    });
    kernel.addSubscription(leaseBegun);
  }

  /** Drops the state of members that no longer exist. */
  forgetGoneMembers(): void {
    for (const peer of this.wasAvailable.keys()) if (!this.membership.members.has(peer)) this.wasAvailable.delete(peer);
  }

  /** Schedules a check when a member's availability changes; shards of an unavailable owner can be taken without a retry delay. */
  private memberChanged(peer: string): void {
    const isAvailable = this.membership.isAvailable(peer);
    // A node without a disk never owns shards.
    if (this.wasAvailable.get(peer) === isAvailable || this.membership.members.get(peer)?.disk === undefined) return;
    this.wasAvailable.set(peer, isAvailable);
    if (!isAvailable) {
      for (const shard of this.shards.all())
        if (this.shards.announcedOwner(shard.id)?.peer === peer) shard.lastElectionAt = -Infinity;
    }
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.kernel.host.clock.after(0, () => {
      this.isScheduled = false;
      void this.check();
    });
  }

  private async check(): Promise<void> {
    if (!this.register.hasReadLease() || this.kernel.phase !== 'running') return;
    const now = this.kernel.host.clock.now();
    const { shards: placements } = this.register.value!;
    const assigned = this.assignment.owners({ includeStarting: now - this.firstLeaseAt < SHARD.startupGraceMs });
    const released: number[] = [];
    const ownerUnknown: ShardState[] = [];
    for (const shard of this.shards.all()) {
      const placement = placements.get(shard.id);
      if (!placement) continue;
      const record = this.shards.announcedOwner(shard.id);
      if (!placement.copies.includes(this.replicas.disk)) {
        if (shard.phase === 'none' && this.mayRelease(shard.id, placement, record)) released.push(shard.id);
        this.checkPlacedElsewhere(shard, placement, record, assigned.get(shard.id));
      } else if (this.checkPlacedHere(shard, placement, record, assigned.get(shard.id), now) === 'owner unknown') {
        ownerUnknown.push(shard);
      }
    }
    if (ownerUnknown.length) void this.resolveUnknownOwners(ownerUnknown);
    if (released.length) await this.replicas.release(released);
  }

  /** Handles a shard without a replica on this disk: if this node still owns it, another has to take it. */
  private checkPlacedElsewhere(
    shard: ShardState,
    placement: Placement,
    record: ShardOwnerRecord | undefined,
    assigned: string | undefined,
  ): void {
    if (shard.phase === 'owner' && record && record.gen >= placement.gen && record.peer !== this.kernel.self)
      this.shards.setPhase(shard, 'none');
    if (shard.phase !== 'owner' || shard.gen === placement.gen) return;
    // Still the owner under an older placement: a node of the new placement has to take the shard.
    const next = this.assignment.availablePeer(assigned ?? '');
    if (next) this.handOver.offer(shard, next);
  }

  /** Handles a shard with a replica on this disk. */
  private checkPlacedHere(
    shard: ShardState,
    placement: Placement,
    record: ShardOwnerRecord | undefined,
    assigned: string | undefined,
    now: number,
  ): 'done' | 'owner unknown' {
    switch (shard.phase) {
      case 'owner':
        shard.assignedSince = undefined;
        if (shard.gen !== placement.gen) void this.election.run(shard);
        else this.shards.announce(shard);
        return 'done';
      case 'none':
        if (assigned === this.replicas.disk) return this.takeAssigned(shard, record, now);
        shard.assignedSince = undefined;
        return 'done';
      case 'taking':
      case 'confirming':
        return 'done';
    }
  }

  /** Takes a shard that is assigned to this node, with the permission of its owner if one is serving. */
  private takeAssigned(shard: ShardState, record: ShardOwnerRecord | undefined, now: number): 'done' | 'owner unknown' {
    const owner = record && this.isRunningElsewhere(record) ? record.peer : undefined;
    const ownerServes = owner !== undefined && this.membership.isAvailable(owner);
    // Asks a serving owner only after a stable assignment for this time, because each change of owner delays requests.
    if (ownerServes) {
      shard.assignedSince ??= now;
      if (now - shard.assignedSince < SHARD.steadyAssignmentMs) return 'done';
    }
    if (this.handOver.wasRecentlyPromisedToOther(shard, now)) return 'done';
    if (now - shard.lastElectionAt < SHARD.electionRetryMs) return 'done';
    shard.lastElectionAt = now;
    if (!record || this.replicas.get(shard.id).promised > record.fence) return 'owner unknown';
    // An owner that is not available is not asked: if it still serves, the higher fence ends its ownership.
    void (ownerServes ? this.requestOnceReachable(shard, owner) : this.election.run(shard));
    return 'done';
  }

  private isRunningElsewhere(record: ShardOwnerRecord): boolean {
    return (
      record.peer !== this.kernel.self &&
      this.membership.isLive(record.peer) &&
      this.membership.members.get(record.peer)?.inst === record.inst
    );
  }

  /**
   * Whether a replica that is no longer placed here can be deleted: an owner has taken the shard under the current placement, and all its
   * replicas have caught up.
   */
  private mayRelease(shardId: number, placement: Placement, record: ShardOwnerRecord | undefined): boolean {
    const replica = this.replicas.all.get(shardId);
    if (!replica || lastIdx(replica) === 0) return false;
    if (placement.retained?.includes(this.replicas.disk)) return false;
    return record !== undefined && record.gen === placement.gen && record.behind.length === 0;
  }

  /** Asks the owner for a shard that is assigned to this node, provided that a majority of its replicas can be reached from here. */
  private async requestOnceReachable(shard: ShardState, owner: string): Promise<void> {
    if ((await this.askPromisedOwners([shard])).size) await this.handOver.request(shard, owner);
  }

  /**
   * Takes shards without an announced owner, or whose replica here has promised a higher fence than the announced one, as after a start.
   * Asks their replicas for the owner first, so that a serving owner does not lose a shard only because it is not known here.
   */
  private async resolveUnknownOwners(shards: ShardState[]): Promise<void> {
    for (const [shard, owner] of await this.askPromisedOwners(shards)) {
      if (shard.phase !== 'none') continue;
      const member = this.membership.members.get(owner);
      const isGone = !owner || owner === this.kernel.self || (member !== undefined && member.state !== 'live');
      void (isGone ? this.election.run(shard) : this.handOver.request(shard, owner));
    }
  }

  /**
   * For each shard the node whose fence is the highest that the replicas report to have promised. Shards without answers from a majority of
   * their replicas are left out. Sends one call to each node for all shards.
   */
  private async askPromisedOwners(shards: ShardState[]): Promise<Map<ShardState, string>> {
    const highest = new Map<ShardState, { answers: number; fence: Fence }>();
    const calls = [...this.shardsByPeer(shards)].map(async ([peer, shardsOfPeer]) => {
      const request = { shards: shardsOfPeer.map((shard) => shard.id) };
      const fences = await this.kernel.call<Fence[]>(peer, 'Who', request, REQUEST.fenceQueryMs).catch(() => []);
      fences.forEach((fence, i) => {
        const known = highest.get(shardsOfPeer[i]!);
        const higher = known && known.fence > fence ? known.fence : fence;
        highest.set(shardsOfPeer[i]!, { answers: (known?.answers ?? 0) + 1, fence: higher });
      });
    });
    await Promise.all(calls);
    const owners = new Map<ShardState, string>();
    for (const [shard, { answers, fence }] of highest) {
      const replicaCount = this.register.value!.shards.get(shard.id)?.copies.length ?? Infinity;
      if (answers * 2 > replicaCount) owners.set(shard, parseFence(fence).peer);
    }
    return owners;
  }

  private shardsByPeer(shards: ShardState[]): Map<string, ShardState[]> {
    const byPeer = new Map<string, ShardState[]>();
    for (const shard of shards) {
      for (const disk of this.register.value!.shards.get(shard.id)?.copies ?? []) {
        const peer = this.register.peerOf(disk);
        if (!peer) continue;
        const known = byPeer.get(peer);
        if (known) known.push(shard);
        else byPeer.set(peer, [shard]);
      }
    }
    return byPeer;
  }
}
