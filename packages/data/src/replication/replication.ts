/** Replication of an owned shard's log to the other disks of its placement, and the commit index that follows from their answers. */
import type { MembershipTable, ConsensusRegister } from '@harecross/control';
import { HarecrossError, SHARD, toErrorDetails, type Kernel } from '@harecross/kernel';
import { NO_FENCE, type Entry } from '@harecross/state';
import { toWireBase, toWireEntry, type AppendAnswer, type HeartbeatRow, type WireEntry } from './replica-store.js';
import type { ShardState } from '../ownership/shard-state.js';

/** Callbacks of the owner for results of replication. */
export interface ReplicationEvents {
  /** A majority of the replicas has the entry; `isNew`: it was written under the owner's own fence. */
  committed(shard: ShardState, entry: Entry, isNew: boolean): void;
  /** A replica has promised a higher fence. */
  fenced(shard: ShardState): void;
  /** A replica that lacked some of the history before the owner's barrier has all of it now. */
  caughtUp(shard: ShardState): void;
}

/**
 * Replicates the log of owned shards: one append at a time to each disk and shard, a snapshot to a replica that needs trimmed entries, and
 * a commit index that follows the majority.
 * @example
 * replication.replicate(shard, false); // after entries were appended to the log
 */
export class Replication {
  /** Disks to which a heartbeat call is under way. */
  private heartbeatsInFlight = new Set<string>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
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
      if (shard.phase === 'none' || !shard.base || shard.fence === NO_FENCE) continue;
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
    if (shard.phase === 'none' || !shard.base || shard.fence === NO_FENCE) return;
    for (const disk of shard.replicas) void this.sendAppend(shard, disk, force);
  }

  private async sendAppend(shard: ShardState, disk: string, force: boolean): Promise<void> {
    if (shard.appendsInFlight.has(disk)) return;
    const fence = shard.fence;
    const next = shard.nextIndex.get(disk) ?? shard.lastIndex() + 1;
    if (next > shard.lastIndex() && !force) return;
    const peer = this.register.peerOf(disk);
    if (!peer || (peer !== this.kernel.self && !this.membership.isLive(peer) && !force)) return;
    shard.appendsInFlight.add(disk);
    const { clock } = this.kernel.host;
    const now = clock.now();
    let hasMore = false;
    try {
      let answer: AppendAnswer;
      if (next <= shard.base.idx) {
        answer = await this.kernel.call<AppendAnswer>(
          peer,
          'Install',
          {
            disk,
            shard: shard.id,
            fence,
            base: toWireBase(shard.base, now),
            entries: shard.entries.map(toWireEntry(now)),
          },
          SHARD.snapshotTimeoutMs,
        );
      } else {
        const entries: WireEntry[] = shard.entries
          .slice(next - shard.base.idx - 1, next - shard.base.idx - 1 + SHARD.appendEntryLimit)
          .map(toWireEntry(now));
        answer = await this.kernel.call<AppendAnswer>(
          peer,
          'Append',
          {
            disk,
            shard: shard.id,
            fence,
            prevIdx: next - 1,
            prevFence: shard.fenceAt(next - 1),
            entries,
            trimTo: shard.trimIndex,
          },
          SHARD.appendTimeoutMs,
        );
      }
      if (shard.fence !== fence || shard.phase === 'none') return;
      hasMore = this.applyAnswer(shard, disk, now, next, answer);
    } catch (error) {
      this.recordFailure(error, 'append', peer);
    } finally {
      if (shard.fence === fence) shard.appendsInFlight.delete(disk);
    }
    if (hasMore) void this.sendAppend(shard, disk, false);
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
      majorityIndex <= shard.base.idx ||
      shard.fenceAt(majorityIndex) !== shard.fence
    )
      return;
    const from = Math.max(shard.commitIndex, shard.base.idx);
    shard.commitIndex = majorityIndex;
    for (const entry of shard.entries.slice(from - shard.base.idx, majorityIndex - shard.base.idx))
      this.events.committed(shard, entry, entry.fence === shard.fence);
    const stillWaiting: typeof shard.commitWaiters = [];
    for (const waiter of shard.commitWaiters) {
      if (waiter.index <= majorityIndex) waiter.resolve();
      else stillWaiting.push(waiter);
    }
    shard.commitWaiters = stillWaiting;
  }
}
