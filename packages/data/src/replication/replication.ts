import type { MembershipTable, ConsensusRegister } from '@harecross/control';
import { HarecrossError, SHARD, toErrorDetails, type Kernel } from '@harecross/kernel';
import { NO_FENCE, type Entry } from '@harecross/state';
import { packBase, packEntry, type AppendAnswer, type HeartbeatRow, type WireEntry } from './replica-store.js';
import type { ShardState } from '../ownership/shard-state.js';

/** What the owner does when replication has news for it. */
export interface ReplicationEvents {
  /** An entry is on a majority of the copies; `fan` when it became so under our own fence. */
  committed(key: ShardState, e: Entry, fan: boolean): void;
  /** A copy has promised a higher fence. */
  fenced(key: ShardState): void;
  /** A copy that lacked some of the history that the owner began with has it now. */
  caughtUp(key: ShardState): void;
}

/**
 * Brings a key's log to its copies: appends one at a time to each, snapshots to those behind the base, and says what a majority has.
 * @example
 * replication.kick(key, false); // there is something new to send
 */
export class Replication {
  /** Disks to which beats are under way. */
  private heartbeatsInFlight = new Set<string>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private events: ReplicationEvents,
  ) {}

  /**
   * Keeps in touch with the copies: one call to each disk for all keys, where appends did not say it lately. Without a majority's
   * answer, what waits is told that its outcome is unknown.
   */
  sendHeartbeats(keys: Iterable<ShardState>): void {
    const now = this.kernel.host.clock.now();
    const quiet = new Map<string, ShardState[]>();
    for (const key of keys) {
      if (key.phase === 'none' || !key.base || key.fence === NO_FENCE) continue;
      for (const d of key.replicas) {
        if (key.appendsInFlight.has(d)) continue;
        if ((key.nextIndex.get(d) ?? key.lastIndex() + 1) <= key.lastIndex()) {
          void this.sendAppend(key, d, true);
          continue;
        }
        if (now - (key.acknowledgedAt.get(d) ?? -Infinity) < SHARD.heartbeatMs / 2) continue;
        let ks = quiet.get(d);
        if (!ks) {
          ks = [];
          quiet.set(d, ks);
        }
        ks.push(key);
      }
      if (key.phase !== 'owner' || now - key.majorityAnsweredAt() <= SHARD.ownershipDoubtMs) continue;
      for (const waiter of key.commitWaiters.splice(0))
        waiter.reject(new HarecrossError({ tag: 'timeout', step: 'Publish', peer: this.kernel.self }));
    }
    for (const [disk, ks] of quiet) void this.sendHeartbeat(disk, ks);
  }

  private async sendHeartbeat(disk: string, keys: ShardState[]): Promise<void> {
    const peer = this.register.peerOf(disk);
    if (!peer || this.heartbeatsInFlight.has(disk)) return;
    const now = this.kernel.host.clock.now();
    const said = keys.map((key) => ({ key, fence: key.fence, at: key.lastIndex() }));
    const beats = said.map(({ key, fence, at }): HeartbeatRow => [key.id, fence, at, key.fenceAt(at), key.trimIndex]);
    this.heartbeatsInFlight.add(disk);
    try {
      const not = new Map(
        await this.kernel.call<[number, AppendAnswer][]>(peer, 'Beats', { disk, beats }, SHARD.appendTimeoutMs),
      );
      for (const { key, fence, at } of said) {
        if (key.fence !== fence || key.phase === 'none') continue;
        if (this.applyAnswer(key, disk, now, at + 1, not.get(key.id) ?? { tag: 'ok', disk, match: at }))
          void this.sendAppend(key, disk, false);
      }
    } catch (e) {
      this.recordFailure(e, 'beat', peer);
    } finally {
      this.heartbeatsInFlight.delete(disk);
    }
  }

  replicate(key: ShardState, beat: boolean): void {
    if (key.phase === 'none' || !key.base || key.fence === NO_FENCE) return;
    for (const d of key.replicas) void this.sendAppend(key, d, beat);
  }

  private async sendAppend(key: ShardState, disk: string, beat: boolean): Promise<void> {
    if (key.appendsInFlight.has(disk)) return;
    const fence = key.fence;
    const next = key.nextIndex.get(disk) ?? key.lastIndex() + 1;
    if (next > key.lastIndex() && !beat) return;
    const peer = this.register.peerOf(disk);
    if (!peer || (peer !== this.kernel.self && !this.membership.isLive(peer) && !beat)) return;
    key.appendsInFlight.add(disk);
    const { clock } = this.kernel.host;
    const now = clock.now();
    let again = false;
    try {
      let r: AppendAnswer;
      if (next <= key.base.idx) {
        r = await this.kernel.call<AppendAnswer>(
          peer,
          'Install',
          { disk, shard: key.id, fence, base: packBase(key.base, now), entries: key.entries.map(packEntry(now)) },
          SHARD.snapshotTimeoutMs,
        );
      } else {
        const entries: WireEntry[] = key.entries
          .slice(next - key.base.idx - 1, next - key.base.idx - 1 + SHARD.appendEntryLimit)
          .map(packEntry(now));
        r = await this.kernel.call<AppendAnswer>(
          peer,
          'Append',
          {
            disk,
            shard: key.id,
            fence,
            prevIdx: next - 1,
            prevFence: key.fenceAt(next - 1),
            entries,
            trimTo: key.trimIndex,
          },
          SHARD.appendTimeoutMs,
        );
      }
      if (key.fence !== fence || key.phase === 'none') return;
      again = this.applyAnswer(key, disk, now, next, r);
    } catch (e) {
      this.recordFailure(e, 'append', peer);
    } finally {
      if (key.fence === fence) key.appendsInFlight.delete(disk);
    }
    if (again) void this.sendAppend(key, disk, false);
  }

  private recordFailure(e: unknown, step: 'append' | 'beat', peer: string): void {
    this.kernel.incrementCounter(`${step}.fail`);
    const f = toErrorDetails(e, step, peer);
    if (f.tag === 'internal')
      this.kernel.host.log.warn(`${step} failed`, { fault: f, stack: e instanceof Error ? e.stack : undefined });
  }

  /** Takes a copy's answer to what was sent from `next` on, asked at `now`; says whether there is more to send it. */
  private applyAnswer(key: ShardState, disk: string, now: number, next: number, r: AppendAnswer): boolean {
    switch (r.tag) {
      case 'ok':
        key.acknowledgedAt.set(disk, Math.max(now, key.acknowledgedAt.get(disk) ?? -Infinity));
        this.recordMatch(key, disk, r.match);
        return key.nextIndex.get(disk)! <= key.lastIndex();
      case 'behind':
        key.nextIndex.set(disk, Math.max(Math.min(r.last + 1, next - 1), 0));
        return true;
      case 'fenced':
        this.events.fenced(key);
        return false;
    }
  }

  private recordMatch(key: ShardState, disk: string, match: number): void {
    const before = key.matchIndex.get(disk) ?? 0;
    const now = Math.max(before, match);
    key.matchIndex.set(disk, now);
    key.nextIndex.set(disk, now + 1);
    this.advanceCommit(key);
    if (before < key.barrierIndex && now >= key.barrierIndex) this.events.caughtUp(key);
  }

  private advanceCommit(key: ShardState): void {
    const ms = key.replicas.map((d) => key.matchIndex.get(d) ?? 0).sort((a, b) => b - a);
    const n = ms[Math.floor(key.replicas.length / 2)]!;
    if (n <= key.commitIndex || n <= key.base.idx || key.fenceAt(n) !== key.fence) return;
    const from = Math.max(key.commitIndex, key.base.idx);
    key.commitIndex = n;
    for (const e of key.entries.slice(from - key.base.idx, n - key.base.idx))
      this.events.committed(key, e, e.fence === key.fence);
    const left: typeof key.commitWaiters = [];
    for (const waiter of key.commitWaiters) {
      if (waiter.index <= n) waiter.resolve();
      else left.push(waiter);
    }
    key.commitWaiters = left;
  }
}
