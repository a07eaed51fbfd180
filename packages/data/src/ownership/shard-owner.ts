/** The owner's side of topics: the plug-in that puts election, publishing, replication, fan-out and history together. */
import { incarnationOf, type ConsensusRegister, type MembershipTable } from '@harecross/control';
import { SHARD, registerPlugin, runPeriodically, type Kernel, type QueueInfo } from '@harecross/kernel';
import { familyOf } from '@harecross/schema';
import { NO_FENCE, parseFence, type Entry } from '@harecross/state';
import { InterestTable, readInterestRow, type InterestRow } from '../interest/interest-table.js';
import type { ReplicaStore } from '../replication/replica-store.js';
import { Replication } from '../replication/replication.js';
import { HandOver } from './hand-over.js';
import { HistoryTrimmer } from './history-trimmer.js';
import { OwnershipCheck } from './ownership-check.js';
import { PublishHandler } from './publish-handler.js';
import { ShardAssignment } from './shard-assignment.js';
import { ShardElection } from './shard-election.js';
import type { ShardState } from './shard-state.js';
import { ShardTable, type OwnedShard } from './shard-table.js';
import { TopicHistory } from './topic-history.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    owner: ShardOwner;
  }
}

/**
 * Owns shards: takes them under a fence, accepts messages once a majority of the replicas has them synced, fans frames out to relays
 * whose interest lease has not ended by our own clock, and serves history.
 * @example
 * kernel.use('owner').ownedShards(); // shards that this node serves
 */
export class ShardOwner {
  private readonly shards: ShardTable;
  private readonly interests: InterestTable;
  private readonly replication: Replication;
  private readonly publishes: PublishHandler;
  private readonly history: TopicHistory;
  private readonly handOver: HandOver;
  private readonly ownershipCheck: OwnershipCheck;
  private readonly trimmer: HistoryTrimmer;
  /** When our own loop last went on after it stood still: until then nobody could answer us. */
  private loopResumedAt = -Infinity;

  constructor(
    private readonly kernel: Kernel,
    membership: MembershipTable,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
  ) {
    const { clock, random } = kernel.host;
    this.shards = new ShardTable(kernel, membership, register, replicas);
    this.interests = new InterestTable(kernel, membership);
    this.replication = new Replication(kernel, membership, register, {
      committed: (shard, entry, isNew) => this.applyCommitted(shard, entry, isNew),
      fenced: (shard) => this.shards.setPhase(shard, 'none'),
      caughtUp: (shard) => {
        if (shard.phase === 'owner') this.shards.announce(shard);
      },
    });
    const assignment = new ShardAssignment(membership, register);
    const election = new ShardElection(kernel, register, replicas, this.replication, this.shards);
    this.publishes = new PublishHandler(kernel, register, this.shards, this.replication);
    this.history = new TopicHistory(kernel, register, this.shards, this.replication, this.interests);
    this.history.serve();
    this.handOver = new HandOver(kernel, membership, replicas, this.shards, assignment, election);
    this.trimmer = new HistoryTrimmer(kernel, register, this.shards);
    this.ownershipCheck = new OwnershipCheck(
      kernel,
      membership,
      register,
      replicas,
      this.shards,
      assignment,
      election,
      this.handOver,
    );
    kernel.on('Interest', (request: { items: InterestRow[] }, relay) =>
      this.interests.receive(relay.peer, relay.inst, request.items.map(readInterestRow), relay.toLocal),
    );
    this.ownershipCheck.start();
    // Whoever takes a shard asks our replica too: we need not wait for an append to be refused.
    kernel.addSubscription(replicas.fencePromised$.subscribe((id) => this.fencePromised(id)));
    const sendHeartbeats = async (): Promise<void> => this.replication.sendHeartbeats(this.shards.all());
    kernel.addSubscription(runPeriodically(clock, SHARD.heartbeatMs, random, sendHeartbeats));
    kernel.addSubscription(runPeriodically(clock, SHARD.trimMs, random, async () => this.trim()));
    kernel.addSubscription(kernel.loopResumed$.subscribe(() => this.loopResumed()));
    kernel.onStop(() => this.handOver.giveAll());
  }

  /** The shards that this node serves, for operators. */
  ownedShards(): OwnedShard[] {
    return this.shards.describeOwned();
  }

  owns(topic: string): boolean {
    return this.shards.ofTopic(topic).phase === 'owner';
  }

  /** Sets the bound of publishes that wait; operators have no need of it, trials do. */
  resizePublishQueue(limit: number): void {
    this.publishes.resizeQueue(limit);
  }

  /** Publishes that wait, and frames that wait for the relay that has most of them. */
  queues(): QueueInfo[] {
    return [this.publishes.queueInfo(), this.interests.queueInfo()];
  }

  describeInterests(): { relay: string; topics: number }[] {
    return this.interests.countTopicsByRelay();
  }

  /** Whether we own shards whose replicas we can't reach, for so long that others should have them: their links may be whole. */
  isIsolated(): boolean {
    const now = this.kernel.host.clock.now();
    return this.shards.owned().some((shard) => {
      const answeredAt = Math.max(shard.majorityAnsweredAt(), shard.ownedSince, this.loopResumedAt);
      return now - answeredAt > SHARD.isolatedOwnerMs;
    });
  }

  private fencePromised(id: number): void {
    const shard = this.shards.get(id);
    const { promised } = this.replicas.get(id);
    if (shard.fence !== NO_FENCE && promised > shard.fence) this.shards.setPhase(shard, 'none');
    const { peer } = parseFence(promised);
    if (peer !== this.kernel.self) shard.promisedTo = { peer, at: this.kernel.host.clock.now() };
  }

  private loopResumed(): void {
    this.loopResumedAt = this.kernel.host.clock.now();
    for (const shard of this.shards.all()) shard.acknowledgedAt.clear();
  }

  private trim(): void {
    this.interests.removeExpired();
    this.ownershipCheck.forgetGoneMembers();
    this.trimmer.trim();
  }

  /** Takes an entry that a majority has into what consumers see. `isNew`: it was committed under our own fence. */
  private applyCommitted(shard: ShardState, entry: Entry, isNew: boolean): void {
    if (!entry.topic) return;
    const topic = shard.topicOf(entry.topic, entry.era);
    topic.head = entry.off;
    if (entry.off >= topic.since) topic.entries.push(entry);
    if (isNew && this.isVisible(entry)) this.interests.fanOut(entry);
  }

  /** Whether a family holds the entry's topic, in the incarnation in which it was published. */
  private isVisible(entry: Entry): boolean {
    const { value } = this.register;
    if (value === undefined || familyOf(value.config, entry.topic) === undefined) return false;
    return incarnationOf(value.incarnations, entry.topic) === entry.era;
  }
}

registerPlugin({
  name: 'owner',
  needs: ['membership', 'register', 'copies'],
  setup: (kernel) => new ShardOwner(kernel, kernel.use('membership'), kernel.use('register'), kernel.use('copies')),
});
