/**
 * The replicas of shards on this node's disk, and their RPCs: owners replicate entries to them, and candidates for ownership have them
 * promise a fence.
 */
import { HarecrossError, Kernel, SHARD, registerPlugin } from '@harecross/kernel';
import {
  commonIndex,
  emptyReplica,
  fenceAt,
  lastFence,
  lastIdx,
  NO_FENCE,
  parseFence,
  type HistoryOutline,
  type HistoryReader,
  type TrimmedBase,
  type Replica,
  type Entry,
  type Fence,
  type DurableState,
} from '@harecross/state';
import { Subject } from 'rxjs';

/** An entry with its age (ms) instead of its time, because the clocks of two machines differ. Wire format. */
export type WireEntry = Omit<Entry, 'at'> & { age: number };
/** A trimmed base with ages (ms) instead of times. Wire format. */
export interface WireBase {
  idx: number;
  fence: Fence;
  topics: TrimmedBase['topics'];
  senders: Map<string, { seq: number; off: number; age: number }>;
}

/** How much history one message between nodes carries: a longer one is sent in parts, so that memory does not depend on its length. */
export const CHUNK_LIMITS = { entries: SHARD.appendEntryLimit, bytes: SHARD.appendBytesLimit } as const;

/** Answer of `Fence`: the position of the replica's history, or the higher fence that it has promised already. Wire format. */
export type FenceAnswer =
  | { ok: true; disk: string; lastIdx: number; lastFence: Fence; baseIdx: number }
  | { ok: false; disk: string; promised: Fence };
/**
 * Answer of `Append`, `Install` and `Beats`. `match`: the replica has the owner's history up to this index. `behind`: the owner must
 * continue after `last`. Wire format.
 */
export type AppendAnswer =
  | { tag: 'ok'; disk: string; match: number }
  | { tag: 'fenced'; disk: string; promised: Fence }
  | { tag: 'behind'; disk: string; last: number };
/**
 * Entries to append after `prevIdx`, where the replica's entry must have the fence `prevFence`. `trimTo`: the index up to which the replica
 * may trim. `outline`: which entries the owner has, as long as it does not know where the replica's history parts from its own. Wire format.
 */
export interface AppendRequest {
  disk: string;
  shard: number;
  fence: Fence;
  prevIdx: number;
  prevFence: Fence;
  entries: WireEntry[];
  trimTo: number;
  outline?: HistoryOutline;
}
/** An owner's heartbeat for one shard, sent to a replica that has no entry left to receive. Wire format. */
export type HeartbeatRow = [shard: number, fence: Fence, prevIdx: number, prevFence: Fence, trimTo: number];
/**
 * A snapshot for a replica that needs entries which the owner has trimmed: the trimmed base and the first entries after it. The others follow
 * as appends. Wire format.
 */
export interface InstallRequest {
  disk: string;
  shard: number;
  fence: Fence;
  base: WireBase;
  entries: WireEntry[];
}
/**
 * Requests the history that a candidate's replica lacks. `outline`: which entries it has; the answer then has the first missing ones only.
 * Earlier versions send no outline, and get all entries after `from`, or the whole history if the two differ there. Wire format.
 */
export interface FetchRequest {
  disk: string;
  shard: number;
  from: number;
  fromFence: Fence;
  outline?: HistoryOutline;
}
/**
 * Answer of `Fetch`: entries after the index `from`, up to which the histories are the same, or a base with the entries after it.
 * Earlier versions omit `from`: it is the requested one. Wire format.
 */
export type FetchAnswer =
  { tag: 'follow'; from?: number; entries: WireEntry[] } | { tag: 'snapshot'; base: WireBase; entries: WireEntry[] };

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    copies: ReplicaStore;
  }
}

/**
 * Converts an entry to its wire format; `now`: time of this node's steady clock.
 * @example
 * entries.map(toWireEntry(clock.now()))
 */
export const toWireEntry =
  (now: number) =>
  (entry: Entry): WireEntry => {
    const { at, ...rest } = entry;
    return { ...rest, age: now - at };
  };
/**
 * Converts a received entry; its time is by this node's steady clock.
 * @example
 * received.map(fromWireEntry(clock.now()))
 */
export const fromWireEntry =
  (now: number) =>
  (wireEntry: WireEntry): Entry => {
    const { age, ...rest } = wireEntry;
    return { ...rest, at: now - age };
  };
/**
 * Converts a base to its wire format; `now`: time of this node's steady clock.
 * @example
 * { base: toWireBase(shard.base, clock.now()) }
 */
export function toWireBase(base: TrimmedBase, now: number): WireBase {
  return {
    idx: base.idx,
    fence: base.fence,
    topics: new Map(base.topics),
    senders: new Map(
      [...base.senders].map(([key, last]) => [key, { seq: last.seq, off: last.off, age: now - last.at }]),
    ),
  };
}
/**
 * Converts a received base; its times are by this node's steady clock.
 * @example
 * state.installSnapshot(replica, fromWireBase(request.base, clock.now()), entries)
 */
export function fromWireBase(wireBase: WireBase, now: number): TrimmedBase {
  return {
    idx: wireBase.idx,
    fence: wireBase.fence,
    topics: new Map([...wireBase.topics].map(([topic, bounds]) => [topic, { ...bounds }])),
    senders: new Map(
      [...wireBase.senders].map(([key, last]) => [key, { seq: last.seq, off: last.off, at: now - last.age }]),
    ),
  };
}

/**
 * The replicas of shards that this node's disk keeps. A replica accepts entries only under the highest fence that it has promised, answers
 * only after they are synced to disk, and truncates a tail that conflicts with the owner's history.
 * @example
 * await kernel.call(peer, 'Append', { disk, shard, fence, prevIdx, prevFence, entries, trimTo });
 */
export class ReplicaStore {
  /** By shard id. */
  readonly all: Map<number, Replica>;
  readonly disk: string;
  /** When each replica was last trimmed, by shard id. */
  private trimmedAt = new Map<number, number>();
  /** Emits the id of a shard whose replica here has promised a higher fence at the request of a candidate for ownership. */
  readonly fencePromised$ = new Subject<number>();

  constructor(
    private kernel: Kernel,
    private state: DurableState,
  ) {
    this.all = state.loadReplicas(kernel.host.clock.now());
    this.disk = state.get('disk')!;
    kernel.on('Fence', (request: { disk: string; items: { shard: number; fence: Fence }[] }) =>
      this.promiseFences(request),
    );
    kernel.on('Append', (request: AppendRequest) => this.handleAppend(request));
    kernel.on('Beats', (request: { disk: string; beats: HeartbeatRow[] }) => this.handleHeartbeats(request));
    kernel.on('Install', (request: InstallRequest) => this.handleInstall(request));
    kernel.on('Fetch', (request: FetchRequest) => this.handleFetch(request));
    kernel.on('Who', (request: { shards: number[] }) =>
      request.shards.map((shardId) => this.all.get(shardId)?.promised ?? NO_FENCE),
    );
  }

  /** Reads of the history on this disk. */
  get reader(): HistoryReader {
    return this.state.reader;
  }

  /** The replica of a shard; an empty one where this disk has none. */
  get(shardId: number): Replica {
    let replica = this.all.get(shardId);
    if (!replica) {
      replica = emptyReplica(shardId);
      this.all.set(shardId, replica);
    }
    return replica;
  }

  /** The replicas that have promised a fence, as operators see them. */
  describeReplicas(): { shard: number; last: number; kept: number; gen: number; number: number; by: string }[] {
    return [...this.all.values()]
      .filter((replica) => replica.promised !== NO_FENCE)
      .map((replica) => {
        const fence = parseFence(replica.promised);
        return {
          shard: replica.shard,
          last: lastIdx(replica),
          kept: lastIdx(replica) - replica.base.idx,
          gen: fence.gen,
          number: fence.number,
          by: fence.peer,
        };
      });
  }

  private requireOwnDisk(disk: string, step: string): void {
    if (disk !== this.disk) throw new HarecrossError({ tag: 'unknown_disk', step, peer: this.kernel.self, disk });
  }

  /** Promises fences in one synced transaction; the answers are in the order of the requests. */
  private async promiseFences(request: {
    disk: string;
    items: { shard: number; fence: Fence }[];
  }): Promise<FenceAnswer[]> {
    this.requireOwnDisk(request.disk, 'Fence');
    const answers = await this.state.db.commit(() =>
      request.items.map(({ shard: shardId, fence }): FenceAnswer => {
        const replica = this.get(shardId);
        if (fence <= replica.promised) return { ok: false, disk: this.disk, promised: replica.promised };
        this.state.savePromise(replica, fence);
        return {
          ok: true,
          disk: this.disk,
          lastIdx: lastIdx(replica),
          lastFence: lastFence(replica),
          baseIdx: replica.base.idx,
        };
      }),
    );
    answers.forEach((answer, i) => {
      if (answer.ok) this.fencePromised$.next(request.items[i]!.shard);
    });
    return answers;
  }

  private async handleAppend(request: AppendRequest): Promise<AppendAnswer> {
    this.requireOwnDisk(request.disk, 'Append');
    if (!request.entries.length && !this.needsWrite(request)) {
      const mismatch = this.findMismatch(request);
      // The state that this answer reports may not be synced to disk yet.
      await this.state.db.whenSynced();
      return mismatch ?? { tag: 'ok', disk: this.disk, match: request.prevIdx };
    }
    return this.state.db.commit(() => this.applyAppend(request));
  }

  /** Handles the heartbeats of one owner for all its shards. Answers only for shards that are not `ok`; writes only what changes. */
  private async handleHeartbeats(request: { disk: string; beats: HeartbeatRow[] }): Promise<[number, AppendAnswer][]> {
    this.requireOwnDisk(request.disk, 'Beats');
    const appends = request.beats.map(([shardId, fence, prevIdx, prevFence, trimTo]): AppendRequest => ({
      disk: request.disk,
      shard: shardId,
      fence,
      prevIdx,
      prevFence,
      entries: [],
      trimTo,
    }));
    const needingWrite = appends.filter((append) => this.needsWrite(append));
    const rejections = appends.flatMap((append): [number, AppendAnswer][] => {
      const mismatch = this.needsWrite(append) ? undefined : this.findMismatch(append);
      return mismatch ? [[append.shard, mismatch]] : [];
    });
    if (needingWrite.length) {
      const answers = await this.state.db.commit(() =>
        needingWrite.map((append) => [append.shard, this.applyAppend(append)] as [number, AppendAnswer]),
      );
      rejections.push(...answers.filter(([, answer]) => answer.tag !== 'ok'));
    } else await this.state.db.whenSynced();
    return rejections;
  }

  /** Whether an append without entries has something to write: a promise, or a trim. */
  private needsWrite(request: AppendRequest): boolean {
    const replica = this.get(request.shard);
    return (
      request.fence > replica.promised ||
      (request.fence === replica.promised && this.isTrimDue(replica, request.trimTo))
    );
  }

  /** Whether to trim now: a trim rewrites as many pages as the appends did, so it is not done for a few entries each time. */
  private isTrimDue(replica: Replica, trimTo: number): boolean {
    return (
      trimTo > replica.base.idx &&
      this.kernel.host.clock.now() - (this.trimmedAt.get(replica.shard) ?? -Infinity) >= SHARD.trimReplicaMs
    );
  }

  /** Why the entries of an append can't follow on the replica's history; undefined when they can. */
  private findMismatch(request: AppendRequest): Exclude<AppendAnswer, { tag: 'ok' }> | undefined {
    const replica = this.get(request.shard);
    if (request.fence < replica.promised) return { tag: 'fenced', disk: this.disk, promised: replica.promised };
    if (
      request.outline &&
      fenceAt(replica, request.prevIdx) !== request.prevFence &&
      request.prevIdx >= replica.base.idx
    )
      return { tag: 'behind', disk: this.disk, last: commonIndex(replica, request.outline) ?? replica.base.idx };
    if (request.prevIdx > lastIdx(replica)) return { tag: 'behind', disk: this.disk, last: lastIdx(replica) };
    if (request.prevIdx >= replica.base.idx && fenceAt(replica, request.prevIdx) !== request.prevFence) {
      // The entry at prevIdx conflicts with the owner's history: skip back over all entries with the same fence in one step.
      const conflicting = fenceAt(replica, request.prevIdx)!;
      let index = request.prevIdx - 1;
      while (index > replica.base.idx && fenceAt(replica, index) === conflicting) index--;
      return { tag: 'behind', disk: this.disk, last: Math.max(index, replica.base.idx) };
    }
    return undefined;
  }

  /** Writes an append inside a transaction: its fence, the entries that are missing, and a trim when one is due. */
  private applyAppend(request: AppendRequest): AppendAnswer {
    const now = this.kernel.host.clock.now();
    const replica = this.get(request.shard);
    this.followOwner(replica, request.fence);
    const mismatch = this.findMismatch(request);
    if (mismatch) return mismatch;
    for (const wireEntry of request.entries) {
      if (wireEntry.idx <= replica.base.idx) continue;
      const existingFence = fenceAt(replica, wireEntry.idx);
      if (existingFence === wireEntry.fence) continue;
      if (existingFence !== undefined) {
        this.state.truncateFrom(replica, wireEntry.idx);
        this.kernel.incrementCounter('copy.cut');
      }
      this.state.appendEntry(replica, fromWireEntry(now)(wireEntry));
    }
    const match = request.prevIdx + request.entries.length;
    if (this.isTrimDue(replica, request.trimTo)) {
      this.trimmedAt.set(replica.shard, now);
      this.state.trim(replica, Math.min(request.trimTo, match), now - SHARD.dedupeKeepMs);
    }
    return { tag: 'ok', disk: this.disk, match };
  }

  /** Promises the fence of an owner that writes to the replica. A node that owned the shard until now stops reading it at once. */
  private followOwner(replica: Replica, fence: Fence): void {
    if (fence <= replica.promised) return;
    this.state.savePromise(replica, fence);
    this.fencePromised$.next(replica.shard);
  }

  private handleInstall(request: InstallRequest): Promise<AppendAnswer> {
    this.requireOwnDisk(request.disk, 'Install');
    return this.state.db.commit((): AppendAnswer => {
      const now = this.kernel.host.clock.now();
      const replica = this.get(request.shard);
      if (request.fence < replica.promised) return { tag: 'fenced', disk: this.disk, promised: replica.promised };
      this.followOwner(replica, request.fence);
      this.state.installSnapshot(replica, fromWireBase(request.base, now), request.entries.map(fromWireEntry(now)));
      this.kernel.incrementCounter('copy.snapshots');
      return { tag: 'ok', disk: this.disk, match: lastIdx(replica) };
    });
  }

  private handleFetch(request: FetchRequest): FetchAnswer {
    this.requireOwnDisk(request.disk, 'Fetch');
    const now = this.kernel.host.clock.now();
    const replica = this.get(request.shard);
    const limits = request.outline ? CHUNK_LIMITS : { entries: Number.MAX_SAFE_INTEGER, bytes: Infinity };
    const from = request.outline ? commonIndex(replica, request.outline) : matchingIndex(replica, request);
    const start = from !== undefined && from >= replica.base.idx ? from : undefined;
    const entries = this.reader.entries(request.shard, (start ?? replica.base.idx) + 1, limits).map(toWireEntry(now));
    if (start !== undefined) return { tag: 'follow', from: start, entries };
    return { tag: 'snapshot', base: this.wireBase(replica, now), entries };
  }

  /** The trimmed base of a replica, as it is sent to another one. */
  wireBase(replica: Replica, now: number): WireBase {
    return toWireBase({ ...replica.base, ...this.reader.base(replica.shard) }, now);
  }

  /**
   * Replaces this replica's history after the index from which the answer of another replica to `Fetch` continues; entries keep the fences
   * under which they were written. `from`: the requested index, for answers of earlier versions. Resolves to false if this replica has
   * promised another fence than `fence` meanwhile.
   */
  adoptHistory(shardId: number, fence: Fence, fetched: FetchAnswer, from: number): Promise<boolean> {
    return this.state.db.commit(() => {
      const now = this.kernel.host.clock.now();
      const replica = this.get(shardId);
      if (replica.promised !== fence) return false;
      switch (fetched.tag) {
        case 'follow':
          this.state.truncateFrom(replica, (fetched.from ?? from) + 1);
          for (const wireEntry of fetched.entries) this.state.appendEntry(replica, fromWireEntry(now)(wireEntry));
          break;
        case 'snapshot':
          this.state.installSnapshot(replica, fromWireBase(fetched.base, now), fetched.entries.map(fromWireEntry(now)));
          this.kernel.incrementCounter('copy.snapshots');
          break;
      }
      return true;
    });
  }

  /** Deletes the history of shards that are no longer placed on this disk; the promises stay, so that an earlier owner stays fenced. */
  async release(shardIds: number[]): Promise<void> {
    await this.state.db.commit(() => {
      for (const shardId of shardIds) this.state.clearReplica(this.get(shardId));
    });
  }
}

/** The index that an earlier version asks to continue from, if the replica has the same entry there. */
function matchingIndex(replica: Replica, { from, fromFence }: FetchRequest): number | undefined {
  return fenceAt(replica, from) === fromFence ? from : undefined;
}

registerPlugin({
  name: 'copies',
  needs: ['state'],
  setup: (kernel) => new ReplicaStore(kernel, kernel.use('state')),
});
