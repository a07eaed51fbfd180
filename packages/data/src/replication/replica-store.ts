import { HarecrossError, Kernel, SHARD, registerPlugin } from '@harecross/kernel';
import {
  fenceAt,
  lastFence,
  lastIdx,
  NO_FENCE,
  parseFence,
  type TrimmedBase,
  type Replica,
  type Entry,
  type Fence,
  type DurableState,
} from '@harecross/state';
import { Subject } from 'rxjs';

/** Entries travel with their age, not their time: clocks differ. */
export type WireEntry = Omit<Entry, 'at'> & { age: number };
export interface WireBase {
  idx: number;
  fence: Fence;
  topics: TrimmedBase['topics'];
  senders: Map<string, { seq: number; off: number; age: number }>;
}

export type FenceAnswer =
  | { ok: true; disk: string; lastIdx: number; lastFence: Fence; baseIdx: number }
  | { ok: false; disk: string; promised: Fence };
export type AppendAnswer =
  | { tag: 'ok'; disk: string; match: number }
  | { tag: 'fenced'; disk: string; promised: Fence }
  | { tag: 'behind'; disk: string; last: number };
export interface AppendRequest {
  disk: string;
  shard: number;
  fence: Fence;
  prevIdx: number;
  prevFence: Fence;
  entries: WireEntry[];
  trimTo: number;
}
/** An owner's sign of life for one shard, towards a copy that has all it knows of. */
export type HeartbeatRow = [shard: number, fence: Fence, prevIdx: number, prevFence: Fence, trimTo: number];
export interface InstallRequest {
  disk: string;
  shard: number;
  fence: Fence;
  base: WireBase;
  entries: WireEntry[];
}
export type FetchAnswer =
  { tag: 'follow'; entries: WireEntry[] } | { tag: 'snapshot'; base: WireBase; entries: WireEntry[] };

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    copies: ReplicaStore;
  }
}

/**
 * An entry with its age instead of its time, for the way to another machine.
 * @example
 * entries.map(packEntry(clock.now()))
 */
export const packEntry =
  (now: number) =>
  (e: Entry): WireEntry => {
    const { at, ...r } = e;
    return { ...r, age: now - at };
  };
/**
 * An entry that came from another machine, with its time by our clock.
 * @example
 * wire.map(unpackEntry(clock.now()))
 */
export const unpackEntry =
  (now: number) =>
  (e: WireEntry): Entry => {
    const { age, ...r } = e;
    return { ...r, at: now - age };
  };
/**
 * A base for the way to another machine.
 * @example
 * { base: packBase(key.base, clock.now()) }
 */
export function packBase(b: TrimmedBase, now: number): WireBase {
  return {
    idx: b.idx,
    fence: b.fence,
    topics: new Map(b.topics),
    senders: new Map([...b.senders].map(([k, s]) => [k, { seq: s.seq, off: s.off, age: now - s.at }])),
  };
}
/**
 * A base that came from another machine.
 * @example
 * st.install(c, unpackBase(b.base, clock.now()), entries)
 */
export function unpackBase(b: WireBase, now: number): TrimmedBase {
  return {
    idx: b.idx,
    fence: b.fence,
    topics: new Map([...b.topics].map(([k, t]) => [k, { ...t }])),
    senders: new Map([...b.senders].map(([k, s]) => [k, { seq: s.seq, off: s.off, at: now - s.age }])),
  };
}

/**
 * The copies of shards that this node's disk keeps. A copy takes entries only under the highest fence it has
 * promised, answers only when they are synced, and cuts a tail that the owner's history does not have.
 * @example
 * await k.call(peer, 'Append', { disk, shard, fence, prevIdx, prevFence, entries, trimTo });
 */
export class ReplicaStore {
  readonly all: Map<number, Replica>;
  readonly disk: string;
  private trimmedAt = new Map<number, number>();
  /** A shard whose copy here has promised a higher fence, asked for by its taker. */
  readonly fencePromised$ = new Subject<number>();

  constructor(
    private kernel: Kernel,
    private state: DurableState,
  ) {
    this.all = state.loadReplicas(kernel.host.clock.now());
    this.disk = state.get('disk')!;
    kernel.on('Fence', (b: { disk: string; items: { shard: number; fence: Fence }[] }) => this.promiseFences(b));
    kernel.on('Append', (b: AppendRequest) => this.handleAppend(b));
    kernel.on('Beats', (b: { disk: string; beats: HeartbeatRow[] }) => this.handleHeartbeats(b));
    kernel.on('Install', (b: InstallRequest) => this.handleInstall(b));
    kernel.on('Fetch', (b: { disk: string; shard: number; from: number; fromFence: Fence }) => this.handleFetch(b));
    kernel.on('Who', (b: { shards: number[] }) => b.shards.map((s) => this.all.get(s)?.promised ?? NO_FENCE));
  }

  get(shard: number): Replica {
    let c = this.all.get(shard);
    if (!c) {
      c = {
        shard,
        promised: NO_FENCE,
        base: { idx: 0, fence: NO_FENCE, topics: new Map(), senders: new Map() },
        entries: [],
      };
      this.all.set(shard, c);
    }
    return c;
  }

  describeReplicas(): { shard: number; last: number; kept: number; gen: number; number: number; by: string }[] {
    return [...this.all.values()]
      .filter((c) => c.promised !== NO_FENCE)
      .map((c) => {
        const f = parseFence(c.promised);
        return { shard: c.shard, last: lastIdx(c), kept: c.entries.length, gen: f.gen, number: f.number, by: f.peer };
      });
  }

  private requireOwnDisk(disk: string, step: string): void {
    if (disk !== this.disk) throw new HarecrossError({ tag: 'unknown_disk', step, peer: this.kernel.self, disk });
  }

  /** Promises many fences in one synced step; in the order they were asked for. */
  private async promiseFences(b: { disk: string; items: { shard: number; fence: Fence }[] }): Promise<FenceAnswer[]> {
    this.requireOwnDisk(b.disk, 'Fence');
    const out = await this.state.db.commit(() =>
      b.items.map(({ shard, fence }): FenceAnswer => {
        const c = this.get(shard);
        if (fence <= c.promised) return { ok: false, disk: this.disk, promised: c.promised };
        this.state.savePromise(c, fence);
        return { ok: true, disk: this.disk, lastIdx: lastIdx(c), lastFence: lastFence(c), baseIdx: c.base.idx };
      }),
    );
    out.forEach((p, i) => {
      if (p.ok) this.fencePromised$.next(b.items[i]!.shard);
    });
    return out;
  }

  private async handleAppend(b: AppendRequest): Promise<AppendAnswer> {
    this.requireOwnDisk(b.disk, 'Append');
    if (!b.entries.length && !this.needsWrite(b)) {
      const r = this.mismatchOf(b);
      // What it says may still be on its way to the disk.
      await this.state.db.whenSynced();
      return r ?? { tag: 'ok', disk: this.disk, match: b.prevIdx };
    }
    return this.state.db.commit(() => this.applyAppend(b));
  }

  /** All shards of one owner at once. Answers what is not `ok`; nothing is written unless something changes. */
  private async handleHeartbeats(b: { disk: string; beats: HeartbeatRow[] }): Promise<[number, AppendAnswer][]> {
    this.requireOwnDisk(b.disk, 'Beats');
    const all = b.beats.map(([shard, fence, prevIdx, prevFence, trimTo]): AppendRequest => ({
      disk: b.disk,
      shard,
      fence,
      prevIdx,
      prevFence,
      entries: [],
      trimTo,
    }));
    const write = all.filter((a) => this.needsWrite(a));
    const not = all.flatMap((a): [number, AppendAnswer][] => {
      const r = this.needsWrite(a) ? undefined : this.mismatchOf(a);
      return r ? [[a.shard, r]] : [];
    });
    if (write.length) {
      const got = await this.state.db.commit(() =>
        write.map((a) => [a.shard, this.applyAppend(a)] as [number, AppendAnswer]),
      );
      not.push(...got.filter(([, r]) => r.tag !== 'ok'));
    } else await this.state.db.whenSynced();
    return not;
  }

  /** Whether an append without entries has something to write: a promise, or a trim. */
  private needsWrite(b: AppendRequest): boolean {
    const c = this.get(b.shard);
    return b.fence > c.promised || (b.fence === c.promised && this.isTrimDue(c, b.trimTo));
  }

  /** A trim rewrites as many pages as the appends did: not each time for a few entries. */
  private isTrimDue(c: Replica, to: number): boolean {
    return (
      to > c.base.idx &&
      this.kernel.host.clock.now() - (this.trimmedAt.get(c.shard) ?? -Infinity) >= SHARD.trimReplicaMs
    );
  }

  /** Why an append does not go on from what the copy has; undefined when it does. */
  private mismatchOf(b: AppendRequest): Exclude<AppendAnswer, { tag: 'ok' }> | undefined {
    const c = this.get(b.shard);
    if (b.fence < c.promised) return { tag: 'fenced', disk: this.disk, promised: c.promised };
    if (b.prevIdx > lastIdx(c)) return { tag: 'behind', disk: this.disk, last: lastIdx(c) };
    if (b.prevIdx >= c.base.idx && fenceAt(c, b.prevIdx) !== b.prevFence) {
      // What we hold at prevIdx lost against another history: go back one owner's span at a time.
      const bad = fenceAt(c, b.prevIdx)!;
      let i = b.prevIdx - 1;
      while (i > c.base.idx && fenceAt(c, i) === bad) i--;
      return { tag: 'behind', disk: this.disk, last: Math.max(i, c.base.idx) };
    }
    return undefined;
  }

  private applyAppend(b: AppendRequest): AppendAnswer {
    const now = this.kernel.host.clock.now();
    const c = this.get(b.shard);
    if (b.fence > c.promised) this.state.savePromise(c, b.fence);
    const not = this.mismatchOf(b);
    if (not) return not;
    for (const w of b.entries) {
      if (w.idx <= c.base.idx) continue;
      const have = fenceAt(c, w.idx);
      if (have === w.fence) continue;
      if (have !== undefined) {
        this.state.truncateFrom(c, w.idx);
        this.kernel.incrementCounter('copy.cut');
      }
      this.state.appendEntry(c, unpackEntry(now)(w));
    }
    const match = b.prevIdx + b.entries.length;
    if (this.isTrimDue(c, b.trimTo)) {
      this.trimmedAt.set(c.shard, now);
      this.state.trim(c, Math.min(b.trimTo, match), now - SHARD.dedupeKeepMs);
    }
    return { tag: 'ok', disk: this.disk, match };
  }

  private handleInstall(b: InstallRequest): Promise<AppendAnswer> {
    this.requireOwnDisk(b.disk, 'Install');
    return this.state.db.commit((): AppendAnswer => {
      const now = this.kernel.host.clock.now();
      const c = this.get(b.shard);
      if (b.fence < c.promised) return { tag: 'fenced', disk: this.disk, promised: c.promised };
      if (b.fence > c.promised) this.state.savePromise(c, b.fence);
      this.state.installSnapshot(c, unpackBase(b.base, now), b.entries.map(unpackEntry(now)));
      this.kernel.incrementCounter('copy.snapshots');
      return { tag: 'ok', disk: this.disk, match: lastIdx(c) };
    });
  }

  private handleFetch(b: { disk: string; shard: number; from: number; fromFence: Fence }): FetchAnswer {
    this.requireOwnDisk(b.disk, 'Fetch');
    const now = this.kernel.host.clock.now();
    const c = this.get(b.shard);
    if (b.from >= c.base.idx && fenceAt(c, b.from) === b.fromFence) {
      return { tag: 'follow', entries: c.entries.slice(b.from - c.base.idx).map(packEntry(now)) };
    }
    return { tag: 'snapshot', base: packBase(c.base, now), entries: c.entries.map(packEntry(now)) };
  }

  /** Takes history from another copy as it is, under a fence we hold ourselves; false when it was lost meanwhile. */
  adopt(shard: number, fence: Fence, f: FetchAnswer, from: number): Promise<boolean> {
    return this.state.db.commit(() => {
      const now = this.kernel.host.clock.now();
      const c = this.get(shard);
      if (c.promised !== fence) return false;
      switch (f.tag) {
        case 'follow':
          this.state.truncateFrom(c, from + 1);
          for (const e of f.entries) this.state.appendEntry(c, unpackEntry(now)(e));
          break;
        case 'snapshot':
          this.state.installSnapshot(c, unpackBase(f.base, now), f.entries.map(unpackEntry(now)));
          this.kernel.incrementCounter('copy.snapshots');
          break;
      }
      return true;
    });
  }

  /** Lets go of copies that are no longer placed here. */
  async release(shards: number[]): Promise<void> {
    await this.state.db.commit(() => {
      for (const s of shards) this.state.clearReplica(this.get(s));
    });
  }
}

registerPlugin({ name: 'copies', needs: ['state'], setup: (k) => new ReplicaStore(k, k.use('state')) });
