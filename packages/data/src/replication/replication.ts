/** Replication of an owned shard's log to the other disks of its placement, and the commit index that follows from their answers. */
import type { MembershipTable, ConsensusRegister } from '@harecross/control';
import { HarecrossError, SHARD, toErrorDetails, type Kernel } from '@harecross/kernel';
import { NO_FENCE, type Entry } from '@harecross/state';
import { CatchUpBudget } from './catch-up-budget.js';
import {
  CHUNK_LIMITS,
  toWireEntry,
  type AppendAnswer,
  type AppendRequest,
  type HeartbeatRow,
  type InstallRequest,
  type ReplicaStore,
} from './replica-store.js';
import type { ShardState } from '../ownership/shard-state.js';

/** Callbacks of the owner for results of replication. */
export interface ReplicationEvents {
  /** A majority of the replicas has the entry, which was written under the owner's own fence. */
  committed(entry: Entry): void;
  /** A replica has promised a higher fence. */
  fenced(shard: ShardState): void;
  /** A replica that lacked some of the history before the owner's barrier has all of it now. */
  caughtUp(shard: ShardState): void;
}

/**
 * Replicates the log of owned shards: one append at a time to each disk and shard, a snapshot to a replica that needs trimmed entries, and
 * a commit index that follows the majority. No message is larger than `CHUNK_LIMITS`, whatever a replica lacks.
 * @example
 * replication.replicate(shard, false); // after entries were appended to the log
 */
export class Replication {
  /** Disks to which a heartbeat call is under way. */
  private heartbeatsInFlight = new Set<string>();
  private readonly catchUp = new CatchUpBudget<ShardState>(SHARD.catchUpConcurrency);

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private replicas: ReplicaStore,
    private events: ReplicationEvents,
  ) {}

  /**
   * Sends heartbeats to replicas that have not acknowledged an append lately, one call to each disk for all shards; replicas that lack
   * entries are sent an append instead. When a majority has not answered for `SHARD.ownershipDoubtMs`, all publishes that wait for a commit
   * fail with `timeout`: their outcome is unknown.
   */
  sendHeartbeats(shards: Iterable<ShardState>): void {
    const now = this.kernel.host.clock.now();
    const shardsByDisk = new Map<string, ShardState[]>();
    for (const shard of shards) {
      if (shard.phase === 'none' || shard.fence === NO_FENCE) continue;
      for (const disk of shard.replicas) {
        if (shard.appendsInFlight.has(disk)) continue;
        if ((shard.nextIndex.get(disk) ?? shard.lastIndex() + 1) <= shard.lastIndex()) {
          void this.sendAppend(shard, disk, true);
          continue;
        }
        if (now - (shard.acknowledgedAt.get(disk) ?? -Infinity) < SHARD.heartbeatMs / 2) continue;
        let due = shardsByDisk.get(disk);
        if (!due) {
          due = [];
          shardsByDisk.set(disk, due);
        }
        due.push(shard);
      }
      if (shard.phase !== 'owner' || now - shard.majorityAnsweredAt() <= SHARD.ownershipDoubtMs) continue;
      for (const waiter of shard.commitWaiters.splice(0))
        waiter.reject(new HarecrossError({ tag: 'timeout', step: 'Publish', peer: this.kernel.self }));
    }
    for (const [disk, due] of shardsByDisk) void this.sendHeartbeat(disk, due);
  }

  private async sendHeartbeat(disk: string, shards: ShardState[]): Promise<void> {
    const peer = this.register.peerOf(disk);
    if (!peer || this.heartbeatsInFlight.has(disk)) return;
    const now = this.kernel.host.clock.now();
    const sent = shards.map((shard) => ({ key: shard, fence: shard.fence, at: shard.lastIndex() }));
    const beats = sent.map(({ key: shard, fence, at: index }): HeartbeatRow => [
      shard.id,
      fence,
      index,
      shard.fenceAt(index),
      shard.trimIndex,
    ]);
    this.heartbeatsInFlight.add(disk);
    try {
      const rejections = new Map(
        await this.kernel.call<[number, AppendAnswer][]>(peer, 'Beats', { disk, beats }, SHARD.appendTimeoutMs),
      );
      for (const { key: shard, fence, at: index } of sent) {
        if (shard.fence !== fence || shard.phase === 'none') continue;
        if (
          this.applyAnswer(shard, disk, now, index + 1, rejections.get(shard.id) ?? { tag: 'ok', disk, match: index })
        )
          void this.sendAppend(shard, disk, false);
      }
    } catch (error) {
      this.recordFailure(error, 'beat', peer);
    } finally {
      this.heartbeatsInFlight.delete(disk);
    }
  }

  /**
   * Sends new entries to all replicas. `force`: also an append without entries where a replica has them all, and to peers that are not
   * known to be live.
   */
  replicate(shard: ShardState, force: boolean): void {
    if (shard.phase === 'none' || shard.fence === NO_FENCE) return;
    for (const disk of shard.replicas) void this.sendAppend(shard, disk, force);
  }

  private async sendAppend(shard: ShardState, disk: string, force: boolean): Promise<void> {
    if (shard.appendsInFlight.has(disk)) return;
    const fence = shard.fence;
    const next = shard.nextIndex.get(disk) ?? shard.lastIndex() + 1;
    if (next > shard.lastIndex() && !force) return;
    const peer = this.register.peerOf(disk);
    if (!peer || (peer !== this.kernel.self && !this.membership.isLive(peer) && !force)) return;
    // Another owner has written to this node's replica, from which the log is read.
    if (!shard.isReplicaIntact()) {
      this.events.fenced(shard);
      return;
    }
    // While a replica catches up, its parts of the history are sent within a budget for its disk; the others wait.
    const release = shard.isBeforeTail(next) ? this.catchUp.reserve(disk, shard) : undefined;
    if (release === 'full') return;
    shard.appendsInFlight.add(disk);
    const now = this.kernel.host.clock.now();
    let hasMore = false;
    try {
      const answer =
        next <= shard.replica.base.idx
          ? await this.callInstall(peer, shard, disk)
          : await this.callAppend(peer, shard, disk, next);
      if (shard.fence !== fence || shard.phase === 'none') return;
      hasMore = this.applyAnswer(shard, disk, now, next, answer);
    } catch (error) {
      this.recordFailure(error, 'append', peer);
    } finally {
      if (shard.fence === fence) shard.appendsInFlight.delete(disk);
      for (const waiting of release?.() ?? []) void this.sendAppend(waiting, disk, true);
    }
    if (hasMore) void this.sendAppend(shard, disk, false);
  }

  /** Sends the trimmed base with the first part of the entries; the others follow as appends. */
  private callInstall(peer: string, shard: ShardState, disk: string): Promise<AppendAnswer> {
    const now = this.kernel.host.clock.now();
    const request: InstallRequest = {
      disk,
      shard: shard.id,
      fence: shard.fence,
      base: this.replicas.wireBase(shard.replica, now),
      entries: shard.entriesFrom(shard.replica.base.idx + 1, CHUNK_LIMITS).map(toWireEntry(now)),
    };
    return this.kernel.call<AppendAnswer>(peer, 'Install', request, SHARD.snapshotTimeoutMs);
  }

  private callAppend(peer: string, shard: ShardState, disk: string, next: number): Promise<AppendAnswer> {
    const now = this.kernel.host.clock.now();
    const request: AppendRequest = {
      disk,
      shard: shard.id,
      fence: shard.fence,
      prevIdx: next - 1,
      prevFence: shard.fenceAt(next - 1),
      entries: shard.entriesFrom(next, CHUNK_LIMITS).map(toWireEntry(now)),
      trimTo: shard.trimIndex,
    };
    // Until the replica has matched up to here, its answer has to tell where its history parts from this one.
    if (shard.matchIndex.get(disk) !== next - 1) request.outline = shard.outline();
    return this.kernel.call<AppendAnswer>(peer, 'Append', request, SHARD.appendTimeoutMs);
  }

  private recordFailure(error: unknown, step: 'append' | 'beat', peer: string): void {
    this.kernel.incrementCounter(`${step}.fail`);
    const details = toErrorDetails(error, step, peer);
    if (details.tag === 'internal')
      this.kernel.host.log.warn(`${step} failed`, {
        fault: details,
        stack: error instanceof Error ? error.stack : undefined,
      });
  }

  /** Applies a replica's answer to a call that began at `sentAt` with the entry `next`; true if there is more to send. */
  private applyAnswer(shard: ShardState, disk: string, sentAt: number, next: number, answer: AppendAnswer): boolean {
    switch (answer.tag) {
      case 'ok':
        shard.acknowledgedAt.set(disk, Math.max(sentAt, shard.acknowledgedAt.get(disk) ?? -Infinity));
        this.recordMatch(shard, disk, answer.match);
        return shard.nextIndex.get(disk)! <= shard.lastIndex();
      case 'behind':
        shard.nextIndex.set(disk, Math.max(Math.min(answer.last + 1, next - 1), 0));
        return true;
      case 'fenced':
        this.events.fenced(shard);
        return false;
    }
  }

  private recordMatch(shard: ShardState, disk: string, match: number): void {
    const before = shard.matchIndex.get(disk) ?? 0;
    const current = Math.max(before, match);
    shard.matchIndex.set(disk, current);
    shard.nextIndex.set(disk, current + 1);
    this.advanceCommit(shard);
    shard.releaseTail();
    if (before < shard.barrierIndex && current >= shard.barrierIndex) this.events.caughtUp(shard);
  }

  /**
   * Commits up to the highest index that a majority has, provided that the entry there has the owner's own fence: entries of earlier fences
   * are final only with one of the current fence after them.
   */
  private advanceCommit(shard: ShardState): void {
    const matches = shard.replicas.map((disk) => shard.matchIndex.get(disk) ?? 0).sort((a, b) => b - a);
    const majorityIndex = matches[Math.floor(shard.replicas.length / 2)]!;
    if (
      majorityIndex <= shard.commitIndex ||
      majorityIndex <= shard.replica.base.idx ||
      shard.fenceAt(majorityIndex) !== shard.fence
    )
      return;
    for (const entry of shard.commitTo(majorityIndex)) this.events.committed(entry);
    const stillWaiting: typeof shard.commitWaiters = [];
    for (const waiter of shard.commitWaiters) {
      if (waiter.index <= majorityIndex) waiter.resolve();
      else stillWaiting.push(waiter);
    }
    shard.commitWaiters = stillWaiting;
  }
}
