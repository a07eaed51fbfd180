/** A node's durable state on its disk: the state of its consensus acceptor, its replicas of shards, and a few named values. */
import { registerPlugin, type Sql, type SyncedDatabase } from '@harecross/kernel';
import type { Statement } from 'better-sqlite3';
import { DiskClock, isComparable } from './disk-clock.js';
import type { Fence } from './fence.js';
import { emptyBase, foldIntoBase, senderKey, type Entry, type Replica, type TrimmedBase } from './replica.js';
import { checksumOf, columnNames, createTables } from './tables.js';

/** Keys of the named values. They are part of the format on disk and must not change. */
const DISK_ID_KEY = 'disk';
const PROMISED_KEY = 'seat.promised';
const BALLOT_KEY = 'seat.ballot';
const VALUE_KEY = 'seat.value';

/** Disk ids are random numbers below this. */
const DISK_ID_RANGE = 2 ** 48;
const DISK_ID_RADIX = 36;

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    state: DurableState;
  }
}

/** The state of a consensus acceptor. */
export interface AcceptorState {
  /** The highest promised ballot; '' if there is none. */
  promised: string;
  /** The ballot with which `value` was accepted; '' if there is none. */
  ballot: string;
  /** The text of the accepted value, or undefined if there is none. */
  value: string | undefined;
}

/**
 * The node's durable state. All writes must be made inside `db.commit`, which syncs them to the disk.
 * @example
 * const state = new DurableState(db);
 * state.init();
 * await db.commit(() => state.saveAcceptorState({ promised: ballot, ballot: '', value: undefined }));
 */
export class DurableState {
  private readonly sql: Sql;
  private readonly prepared = new Map<string, Statement>();
  private clock = new DiskClock(0, 0);

  constructor(readonly db: SyncedDatabase) {
    this.sql = db.sql;
  }

  /** Compiles a statement on its first use and caches it. */
  private statement(text: string): Statement {
    let statement = this.prepared.get(text);
    if (!statement) {
      statement = this.sql.prepare(text);
      this.prepared.set(text, statement);
    }
    return statement;
  }

  /** Creates the tables. */
  init(): void {
    // A single commit, because the corruption check of the write-ahead log assumes that at most one commit is not yet synced.
    this.sql.transaction(() => createTables(this.sql))();
  }

  /** Writes a row with its checksum. Columns are given by name, because `alter table` leaves them in another order in older tables. */
  private upsert(table: string, conflict: string, columns: (string | number)[]): void {
    const names = columnNames(table).join(', ');
    const placeholders = `${'?, '.repeat(columns.length)}?`;
    this.statement(`insert into ${table} (${names}, sum) values (${placeholders}) ${conflict}`).run(
      ...columns,
      checksumOf(columns),
    );
  }

  /** The named value under a key. */
  get(key: string): string | undefined {
    return (this.statement('select v from meta where k = ?').get(key) as { v: string } | undefined)?.v;
  }

  set(key: string, value: string): void {
    this.upsert('meta', 'on conflict (k) do update set v = excluded.v, sum = excluded.sum', [key, value]);
  }

  acceptorState(): AcceptorState {
    return {
      promised: this.get(PROMISED_KEY) ?? '',
      ballot: this.get(BALLOT_KEY) ?? '',
      value: this.get(VALUE_KEY),
    };
  }

  saveAcceptorState(state: AcceptorState): void {
    this.set(PROMISED_KEY, state.promised);
    this.set(BALLOT_KEY, state.ballot);
    if (state.value !== undefined) this.set(VALUE_KEY, state.value);
  }

  /** Generates and stores an id for this disk if it has none. A disk whose data was erased gets a new id and counts as another disk. */
  async ensureDiskId(randomNumber: () => number): Promise<void> {
    if (this.get(DISK_ID_KEY)) return;
    const id = `d${Math.floor(randomNumber() * DISK_ID_RANGE).toString(DISK_ID_RADIX)}`;
    await this.db.commit(() => this.set(DISK_ID_KEY, id));
  }

  /**
   * Loads all replicas from the disk. `now`: time of this process's steady clock. The ages of entries and sender numbers continue from the
   * newest one on the disk: the time without a process does not count, so nothing is dropped too early.
   */
  loadReplicas(now: number): Map<number, Replica> {
    this.clock = new DiskClock(now, this.newestTime());
    const replicas = this.loadBases();
    const intern = createInterner();
    const rows = this.sql
      .prepare('select shard, idx, fence, topic, off, era, sender, seq, body, at from entry order by shard, idx')
      .raw()
      .iterate();
    type EntryRow = [number, number, string, string, number, number, string, number, string, number];
    for (const row of rows as Iterable<EntryRow>) {
      const [shard, idx, fence, topic, off, era, sender, seq, body, at] = row;
      replicas.get(shard)?.entries.push({
        idx,
        fence: intern(fence),
        topic: intern(topic),
        off,
        era,
        sender: intern(sender),
        seq,
        body,
        at: this.clock.fromDisk(at),
      });
    }
    return replicas;
  }

  /** The latest time on the disk; 0 if there is none. */
  private newestTime(): number {
    let newest = 0;
    for (const table of ['entry', 'sender'])
      for (const at of this.sql.prepare(`select at from ${table}`).pluck().iterate() as Iterable<number>)
        if (isComparable(at)) newest = Math.max(newest, at);
    return newest;
  }

  private loadBases(): Map<number, Replica> {
    const replicas = new Map<number, Replica>();
    type ReplicaRow = { shard: number; promised: string; idx: number; fence: string };
    for (const { shard, promised, idx, fence } of this.statement('select * from copy').all() as ReplicaRow[])
      replicas.set(shard, { shard, promised, base: { ...emptyBase(), idx, fence }, entries: [] });
    type TopicRow = { shard: number; topic: string; head: number; since: number; era: number };
    for (const { shard, topic, head, since, era } of this.statement('select * from topic').all() as TopicRow[])
      replicas.get(shard)?.base.topics.set(topic, { head, since, era });
    type SenderRow = { shard: number; k: string; seq: number; off: number; at: number };
    for (const { shard, k, seq, off, at } of this.statement('select * from sender').all() as SenderRow[])
      replicas.get(shard)?.base.senders.set(k, { seq, off, at: this.clock.fromDisk(at) });
    return replicas;
  }

  savePromise(replica: Replica, fence: Fence): void {
    replica.promised = fence;
    this.saveReplica(replica);
  }

  private saveReplica({ shard, promised, base }: Replica): void {
    this.upsert(
      'copy',
      `on conflict (shard) do update set promised = excluded.promised, idx = excluded.idx, fence = excluded.fence,
        sum = excluded.sum`,
      [shard, promised, base.idx, base.fence],
    );
  }

  /** Deletes all entries from an index on. */
  truncateFrom(replica: Replica, index: number): void {
    const kept = index - replica.base.idx - 1;
    if (kept >= replica.entries.length) return;
    replica.entries.length = kept;
    this.statement('delete from entry where shard = ? and idx >= ?').run(replica.shard, index);
  }

  appendEntry(replica: Replica, entry: Entry): void {
    replica.entries.push(entry);
    const { idx, fence, topic, off, era, sender, seq, body, at } = entry;
    this.upsert('entry', '', [replica.shard, idx, fence, topic, off, era, sender, seq, body, this.clock.toDisk(at)]);
  }

  /**
   * Removes the entries up to an index and folds them into the base. Must be called only for entries that a majority of replicas holds.
   * Sender numbers whose last entry is from before `dedupeAfter` (monotonic clock, ms) are forgotten.
   */
  trim(replica: Replica, index: number, dedupeAfter: number): void {
    const count = Math.min(index - replica.base.idx, replica.entries.length);
    if (count <= 0) return;
    const topics = new Set<string>();
    const senders = new Set<string>();
    for (const entry of replica.entries.splice(0, count)) {
      foldIntoBase(replica.base, entry);
      if (!entry.topic) continue;
      topics.add(entry.topic);
      senders.add(senderKey(entry.topic, entry.sender));
    }
    this.statement('delete from entry where shard = ? and idx <= ?').run(replica.shard, replica.base.idx);
    for (const topic of topics) this.saveTopic(replica, topic);
    for (const key of senders) this.saveSender(replica, key);
    this.forgetSenders(replica, dedupeAfter);
    this.saveReplica(replica);
  }

  private forgetSenders(replica: Replica, cutoff: number): void {
    for (const [key, { at }] of replica.base.senders) {
      if (at >= cutoff) continue;
      replica.base.senders.delete(key);
      this.statement('delete from sender where shard = ? and k = ?').run(replica.shard, key);
    }
  }

  private saveTopic({ shard, base }: Replica, topic: string): void {
    const { head, since, era } = base.topics.get(topic)!;
    this.upsert(
      'topic',
      `on conflict (shard, topic) do update set head = excluded.head, since = excluded.since, era = excluded.era,
        sum = excluded.sum`,
      [shard, topic, head, since, era],
    );
  }

  private saveSender({ shard, base }: Replica, key: string): void {
    const { seq, off, at } = base.senders.get(key)!;
    this.upsert(
      'sender',
      'on conflict (shard, k) do update set seq = excluded.seq, off = excluded.off, at = excluded.at, sum = excluded.sum',
      [shard, key, seq, off, this.clock.toDisk(at)],
    );
  }

  /** Replaces the contents of a replica with a snapshot. The promised fence is kept. */
  installSnapshot(replica: Replica, base: TrimmedBase, entries: Entry[]): void {
    for (const table of ['entry', 'topic', 'sender'])
      this.statement(`delete from ${table} where shard = ?`).run(replica.shard);
    replica.base = base;
    replica.entries = [];
    for (const topic of base.topics.keys()) this.saveTopic(replica, topic);
    for (const key of base.senders.keys()) this.saveSender(replica, key);
    for (const entry of entries) this.appendEntry(replica, entry);
    this.saveReplica(replica);
  }

  /** Deletes the contents of a replica. The promised fence is kept, so that a former owner stays fenced off. */
  clearReplica(replica: Replica): void {
    this.installSnapshot(replica, emptyBase(), []);
  }
}

/** A function that returns the same string object for equal texts. Saves memory, as fences, topics and senders occur in many entries. */
function createInterner(): (text: string) => string {
  const strings = new Map<string, string>();
  return (text) => {
    const known = strings.get(text);
    if (known !== undefined) return known;
    strings.set(text, text);
    return text;
  };
}

registerPlugin({
  name: 'state',
  needs: [],
  setup: async (kernel) => {
    const { db, random } = kernel.host;
    if (!db) throw new Error('the state plugin needs a data folder');
    const state = new DurableState(db);
    state.init();
    await state.ensureDiskId(() => random.next());
    return state;
  },
});
