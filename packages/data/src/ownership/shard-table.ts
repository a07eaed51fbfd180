/** The shards at this node: the phase of each, who waits for it, and what the fleet is told of it. */
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

/** Digits of an announcement's number: versions compare as strings. */
const ANNOUNCEMENT_DIGITS = 8;

/** The key under which the owner of a shard announces itself. */
export const ownerKey = (shardId: number): string => `key/${shardId}`;

/** What an owner tells operators of a shard. Its field names are part of the operators' interface. */
export interface OwnedShard {
  shard: number;
  fence: Fence;
  last: number;
  commit: number;
  behind: string[];
}

/** All shards of the topic space, as far as this node has to do with them. */
export class ShardTable {
  private readonly shards = new Map<number, ShardState>();

  constructor(
    private readonly kernel: Kernel,
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
    private readonly replicas: ReplicaStore,
  ) {
    for (let id = 0; id < SHARD.shardCount; id++) this.shards.set(id, new ShardState(id));
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

  owned(): ShardState[] {
    return [...this.shards.values()].filter((shard) => shard.phase === 'owner');
  }

  /** The owned shards as operators see them. */
  describeOwned(): OwnedShard[] {
    return this.owned().map((shard) => ({
      shard: shard.id,
      fence: shard.fence,
      last: shard.lastIndex(),
      commit: shard.commitIndex,
      behind: this.laggingReplicas(shard),
    }));
  }

  /** The one function that changes a shard's phase. */
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
        this.giveUp(shard, before);
        break;
      case 'taking':
      case 'confirming':
        break;
    }
    for (const resolve of shard.phaseWaiters.splice(0)) resolve();
  }

  private giveUp(shard: ShardState, before: OwnershipPhase): void {
    if (before === 'owner') {
      this.kernel.incrementCounter('key.given');
      this.kernel.host.log.info(`no longer owner of shard ${shard.id}`);
    }
    const fence = this.replicas.get(shard.id).promised;
    for (const waiter of shard.commitWaiters.splice(0))
      waiter.reject(new HarecrossError({ tag: 'fenced', step: 'Publish', peer: this.kernel.self, fence }));
    // Without a fence nothing is sent: a shard that is being taken anew must not speak in its old owner's name.
    shard.fence = NO_FENCE;
    shard.topics.clear();
    shard.senders.clear();
    shard.entries = [];
    for (const waiting of Array.from(shard.outOfOrder.values())) for (const publish of waiting) publish.resume();
  }

  /** Waits, for `SHARD.electionWaitMs` at most, while the shard is being taken: who comes early need not come again. */
  async awaitPhase(shard: ShardState | undefined, enough: OwnershipPhase[]): Promise<void> {
    if (!shard) return;
    const { clock } = this.kernel.host;
    const until = clock.now() + SHARD.electionWaitMs;
    const isUnsettled = (): boolean => shard.phase === 'taking' || shard.phase === 'confirming';
    while (isUnsettled() && !enough.includes(shard.phase) && clock.now() < until) {
      const changed = new Promise<void>((resolve) => {
        shard.phaseWaiters.push(resolve);
      });
      await withTimeout(clock, until - clock.now(), changed);
    }
  }

  /** The shard of a topic if this node serves it; `not_owner` if not, or while a majority of its replicas is silent. */
  serving(topic: string, step: string, enough: OwnershipPhase[] = ['owner']): ShardState {
    const shard = this.ofTopic(topic);
    const silentMs = this.kernel.host.clock.now() - shard.majorityAnsweredAt();
    const inDoubt = shard.phase === 'owner' && silentMs > SHARD.ownershipDoubtMs;
    if (!inDoubt && enough.includes(shard.phase)) return shard;
    const hint = inDoubt ? NO_FENCE : this.replicas.get(shard.id).promised;
    throw new HarecrossError({ tag: 'not_owner', step, peer: this.kernel.self, hint });
  }

  /** Resolves once a majority has the entry; rejects when the shard is lost before. */
  awaitCommit(shard: ShardState, index: number): Promise<void> {
    return new Promise((resolve, reject) => {
      shard.commitWaiters.push({ index, resolve, reject });
    });
  }

  /** Replicas that lack some of the history that we began with, or much of what came since: they bear no loss. */
  laggingReplicas(shard: ShardState): string[] {
    const enough = Math.max(shard.barrierIndex, shard.lastIndex() - SHARD.appendEntryLimit);
    return shard.replicas.filter((disk) => (shard.matchIndex.get(disk) ?? -1) < enough);
  }

  /** Tells the fleet who owns the shard, if that is news. */
  announce(shard: ShardState): void {
    const record: ShardOwnerRecord = {
      fence: shard.fence,
      gen: shard.gen,
      peer: this.kernel.self,
      inst: this.kernel.instanceId,
      behind: this.laggingReplicas(shard),
    };
    const text = JSON.stringify(record);
    if (text === shard.announced) return;
    shard.announced = text;
    const number = String(++shard.announceCount).padStart(ANNOUNCEMENT_DIGITS, '0');
    this.membership.publish(ownerKey(shard.id), `${shard.fence}/${number}`, record);
  }

  /** What the fleet has heard of a shard's owner. */
  announcedOwner(shardId: number): ShardOwnerRecord | undefined {
    return this.membership.get(ownerKey(shardId)) as ShardOwnerRecord | undefined;
  }

  /** The family of a topic by the configuration in force; `not_ready` without a read lease, `unknown_topic` where there is none. */
  family(topic: string, step: string): Family {
    if (!this.register.hasReadLease() || this.kernel.phase === 'stopped') throw notReadyError(this.kernel, step);
    const family = familyOf(this.register.value!.config, topic);
    if (!family) throw new HarecrossError({ tag: 'unknown_topic', step, peer: this.kernel.self, topic });
    return family;
  }

  /** The present incarnation of a topic that a family holds. */
  topic(shard: ShardState, topic: string): TopicState {
    return shard.topicOf(topic, incarnationOf(this.register.value!.incarnations, topic)!);
  }
}
