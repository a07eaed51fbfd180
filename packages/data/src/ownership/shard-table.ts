/** The shards as seen by this node: phase changes, callers that wait for them, and announcements of ownership. */
import {
  incarnationOf,
  notReadyError,
  type ConsensusRegister,
  type MembershipTable,
  type ShardOwnerRecord,
} from '@harecross/control';
import { HarecrossError, SHARD, shardOf, withTimeout, type Kernel } from '@harecross/kernel';
import { familyOf, type Family } from '@harecross/schema';
import { NO_FENCE, type Fence } from '@harecross/state';
import type { ReplicaStore } from '../replication/replica-store.js';
import { ShardState, type OwnershipPhase, type TopicState } from './shard-state.js';

/** Digits to which the number of an announcement is padded, because versions compare as strings. */
const ANNOUNCEMENT_DIGITS = 8;

/** Key of the membership fact in which a shard's owner announces itself. */
export const ownerKey = (shardId: number): string => `key/${shardId}`;

/** An owned shard as operators see it. The field names are part of the operators' interface. */
export interface OwnedShard {
  shard: number;
  fence: Fence;
  last: number;
  commit: number;
  behind: string[];
}

/** This node's state of all shards of the topic space. */
export class ShardTable {
  private readonly shards = new Map<number, ShardState>();

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
  ) {
    for (let id = 0; id < SHARD.shardCount; id++) this.shards.set(id, new ShardState(id, replicas.reader));
  }

  all(): Iterable<ShardState> {
    return this.shards.values();
  }

  get(id: number): ShardState {
    return this.shards.get(id)!;
  }

  find(id: number): ShardState | undefined {
    return this.shards.get(id);
  }

  ofTopic(topic: string): ShardState {
    return this.get(shardOf(topic));
  }

  /** Characters of the bodies in the tails of all shards. */
  tailBytes(): number {
    let bytes = 0;
    for (const shard of this.shards.values()) bytes += shard.tailBytes;
    return bytes;
  }

  owned(): ShardState[] {
    return [...this.shards.values()].filter((shard) => shard.phase === 'owner');
  }

  describeOwned(): OwnedShard[] {
    return this.owned().map((shard) => ({
      shard: shard.id,
      fence: shard.fence,
      last: shard.lastIndex(),
      commit: shard.commitIndex,
      behind: this.laggingReplicas(shard),
    }));
  }

  /** Changes a shard's phase; no other function does. */
  setPhase(shard: ShardState, phase: OwnershipPhase): void {
    if (shard.phase === phase) return;
    const before = shard.phase;
    shard.phase = phase;
    switch (phase) {
      case 'owner':
        shard.ownedSince = this.kernel.host.clock.now();
        this.kernel.incrementCounter('key.taken');
        this.kernel.host.log.info(`owner of shard ${shard.id}`, { fence: shard.fence });
        break;
      case 'none':
        this.clearOwnership(shard, before);
        break;
      case 'taking':
      case 'confirming':
        break;
    }
    for (const resolve of shard.phaseWaiters.splice(0)) resolve();
  }

  /** Drops the state of an ownership, rejects publishes that wait for a commit, and resumes those that wait for a predecessor. */
  private clearOwnership(shard: ShardState, before: OwnershipPhase): void {
    if (before === 'owner') {
      this.kernel.incrementCounter('key.given');
      this.kernel.host.log.info(`no longer owner of shard ${shard.id}`);
    }
    const fence = this.replicas.get(shard.id).promised;
    for (const waiter of shard.commitWaiters.splice(0))
      waiter.reject(new HarecrossError({ tag: 'fenced', step: 'Publish', peer: this.kernel.self, fence }));
    // Without a fence nothing is replicated: the next election must not send entries under the fence of the ended ownership.
    shard.fence = NO_FENCE;
    shard.clearLog();
    for (const waiting of Array.from(shard.outOfOrder.values())) for (const publish of waiting) publish.resume();
  }

  /**
   * Waits, for `SHARD.electionWaitMs` at most, until a running election reaches one of these phases or ends, so that a request that arrives
   * during an election needs no retry.
   */
  async awaitPhase(shard: ShardState | undefined, accepted: OwnershipPhase[]): Promise<void> {
    if (!shard) return;
    const { clock } = this.kernel.host;
    const until = clock.now() + SHARD.electionWaitMs;
    const isElectionRunning = (): boolean => shard.phase === 'taking' || shard.phase === 'confirming';
    while (isElectionRunning() && !accepted.includes(shard.phase) && clock.now() < until) {
      const changed = new Promise<void>((resolve) => {
        shard.phaseWaiters.push(resolve);
      });
      await withTimeout(clock, until - clock.now(), changed);
    }
  }

  /**
   * The shard of a topic in one of the accepted phases. Throws `not_owner` when it is in another phase, or when this node owns it but a
   * majority of its replicas has not answered for `SHARD.ownershipDoubtMs`.
   */
  requireServing(topic: string, step: string, accepted: OwnershipPhase[] = ['owner']): ShardState {
    const shard = this.ofTopic(topic);
    const silentMs = this.kernel.host.clock.now() - shard.majorityAnsweredAt();
    const inDoubt = shard.phase === 'owner' && silentMs > SHARD.ownershipDoubtMs;
    if (!inDoubt && accepted.includes(shard.phase)) return shard;
    const hint = inDoubt ? NO_FENCE : this.replicas.get(shard.id).promised;
    throw new HarecrossError({ tag: 'not_owner', step, peer: this.kernel.self, hint });
  }

  /**
   * Resolves once a majority has the entry. Rejects with `fenced` if this node's ownership ends before, and with `timeout` if no majority
   * answers any more.
   */
  awaitCommit(shard: ShardState, index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      shard.commitWaiters.push({ index, resolve, reject });
    });
  }

  /**
   * Replicas that lack history from before the barrier, or more than `SHARD.appendEntryLimit` entries after it. They don't count towards
   * fault tolerance.
   */
  laggingReplicas(shard: ShardState): string[] {
    const requiredIndex = Math.max(shard.barrierIndex, shard.lastIndex() - SHARD.appendEntryLimit);
    return shard.replicas.filter((disk) => (shard.matchIndex.get(disk) ?? -1) < requiredIndex);
  }

  /** Publishes this node's ownership of a shard to all members if the record has changed. */
  announce(shard: ShardState): void {
    const record: ShardOwnerRecord = {
      fence: shard.fence,
      gen: shard.gen,
      peer: this.kernel.self,
      inst: this.kernel.instanceId,
      behind: this.laggingReplicas(shard),
    };
    const text = JSON.stringify(record);
    if (text === shard.lastAnnouncement) return;
    shard.lastAnnouncement = text;
    const number = String(++shard.announcementCount).padStart(ANNOUNCEMENT_DIGITS, '0');
    this.membership.publish(ownerKey(shard.id), `${shard.fence}/${number}`, record);
  }

  /** The owner of a shard by the latest announcement known here. */
  announcedOwner(shardId: number): ShardOwnerRecord | undefined {
    return this.membership.get(ownerKey(shardId)) as ShardOwnerRecord | undefined;
  }

  /** The family of a topic by the current configuration. Throws `not_ready` without a read lease, `unknown_topic` if there is none. */
  requireFamily(topic: string, step: string): Family {
    if (!this.register.hasReadLease() || this.kernel.phase === 'stopped') throw notReadyError(this.kernel, step);
    const family = familyOf(this.register.value!.config, topic);
    if (!family) throw new HarecrossError({ tag: 'unknown_topic', step, peer: this.kernel.self, topic });
    return family;
  }

  /** The state of the current incarnation of a topic; a family must have the topic. */
  topic(shard: ShardState, topic: string): TopicState {
    return shard.topicOf(topic, incarnationOf(this.register.value!.incarnations, topic)!);
  }
}
