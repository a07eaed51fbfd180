/** A node's durable state on its disk: the state of its consensus acceptor, its replicas of shards, and a few named values. */
import { registerPlugin, type Sql, type SyncedDatabase } from '@harecross/kernel';
import type { Statement } from 'better-sqlite3';
import { DiskClock, EARLIER_VERSIONS_FROM, isComparable } from './disk-clock.js';
import type { Fence } from './fence.js';
import { HistoryReader } from './history-reader.js';
import {
  emptyBase,
  recordAppended,
  recordTrimmed,
  recordTruncated,
  senderKey,
  type Entry,
  type Replica,
  type SenderBase,
  type TopicBase,
  type TrimmedBase,
} from './replica.js';
import { checksumOf, columnNames, createTables } from './tables.js';

/** Keys of the named values. They are part of the format on disk and must not change. */
const DISK_ID_KEY = 'disk';
const PROMISED_KEY = 'seat.promised';
const BALLOT_KEY = 'seat.ballot';
const VALUE_KEY = 'seat.value';

/** Disk ids are random numbers below this. */
const DISK_ID_RANGE = 2 ** 48;
const DISK_ID_RADIX = 36;

/** Entries whose topics and senders a trim holds in memory at once. */
const TRIM_CHUNK_ENTRIES = 1_000;

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
  /** Reads of the replicas' history. */
  readonly reader = new HistoryReader(
    (text) => this.statement(text),
    () => this.clock,
  );

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

  /** Creates missing tables and indexes. */
  init(): void {
    // Durable at once, because the corruption check of the write-ahead log assumes that at most one commit is not yet synced.
    this.db.commitBlocking(createTables);
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
   * Loads the outlines of all replicas from the disk. `now`: time of this process's steady clock. The ages of entries and sender numbers
   * continue from the newest one on the disk: the time without a process does not count, so nothing is dropped too early.
   */
  loadReplicas(now: number): Map<number, Replica> {
    const replicas = new Map<number, Replica>();
    type ReplicaRow = { shard: number; promised: string; idx: number; fence: string };
    for (const { shard, promised, idx, fence } of this.statement('select * from copy').all() as ReplicaRow[])
      replicas.set(shard, { shard, promised, base: { idx, fence }, last: idx, runs: [] });
    let newest = this.newestSenderTime();
    const rows = this.sql.prepare('select shard, idx, fence, at from entry order by shard, idx').raw().iterate();
    for (const [shard, idx, fence, at] of rows as Iterable<[number, number, string, number]>) {
      const replica = replicas.get(shard);
      if (replica) recordAppended(replica, { idx, fence });
      if (isComparable(at)) newest = Math.max(newest, at);
    }
    this.clock = new DiskClock(now, newest);
    return replicas;
  }

  /** The latest time of a sender number on the disk; 0 if there is none. */
  private newestSenderTime(): number {
    let newest = 0;
    for (const at of this.sql.prepare('select at from sender').pluck().iterate() as Iterable<number>)
      if (isComparable(at)) newest = Math.max(newest, at);
    return newest;
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
    if (index > replica.last) return;
    this.statement('delete from entry where shard = ? and idx >= ?').run(replica.shard, index);
    recordTruncated(replica, index - 1);
  }

  appendEntry(replica: Replica, entry: Entry): void {
    const { idx, fence, topic, off, era, sender, seq, body, at } = entry;
    this.upsert('entry', '', [replica.shard, idx, fence, topic, off, era, sender, seq, body, this.clock.toDisk(at)]);
    recordAppended(replica, entry);
  }

  /**
   * Removes the entries up to an index and folds them into the base. Must be called only for entries that a majority of replicas holds.
   * Sender numbers whose last entry is from before `dedupeAfter` (steady clock, ms) are forgotten.
   */
  trim(replica: Replica, index: number, dedupeAfter: number): void {
    const until = Math.min(index, replica.last);
    if (until <= replica.base.idx) return;
    for (let from = replica.base.idx; from < until; from += TRIM_CHUNK_ENTRIES)
      this.foldIntoBase(replica.shard, from, Math.min(from + TRIM_CHUNK_ENTRIES, until));
    this.statement('delete from entry where shard = ? and idx <= ?').run(replica.shard, until);
    recordTrimmed(replica, until);
    this.forgetSenders(replica.shard, dedupeAfter);
    this.saveReplica(replica);
  }

  /** Extends the base of a shard by the entries after an index, up to and including another. */
  private foldIntoBase(shard: number, after: number, to: number): void {
    type Row = { topic: string; off: number; era: number; sender: string; seq: number; at: number };
    const rows = this.statement(
      "select topic, off, era, sender, seq, at from entry where shard = ? and idx > ? and idx <= ? and topic <> '' order by idx",
    ).all(shard, after, to) as Row[];
    const topics = new Map<string, TopicBase>();
    const senders = new Map<string, SenderBase>();
    for (const { topic, off, era, sender, seq, at } of rows) {
      const known = topics.get(topic) ?? this.reader.topicBase(shard, topic);
      topics.set(topic, { head: off, since: known?.era === era ? known.since : off, era });
      senders.set(senderKey(topic, sender), { seq, off, at: this.clock.fromDisk(at) });
    }
    for (const [topic, base] of topics) this.saveTopic(shard, topic, base);
    for (const [key, base] of senders) this.saveSender(shard, key, base);
  }

  /** Rows of earlier versions hold times of a clock that continues in the steady clock of later processes. */
  private forgetSenders(shard: number, cutoff: number): void {
    this.statement('delete from sender where shard = ? and (at < ? or (at >= ? and at < ?))').run(
      shard,
      this.clock.toDisk(cutoff),
      EARLIER_VERSIONS_FROM,
      cutoff,
    );
  }

  private saveTopic(shard: number, topic: string, { head, since, era }: TopicBase): void {
    this.upsert(
      'topic',
      `on conflict (shard, topic) do update set head = excluded.head, since = excluded.since, era = excluded.era,
        sum = excluded.sum`,
      [shard, topic, head, since, era],
    );
  }

  private saveSender(shard: number, key: string, { seq, off, at }: SenderBase): void {
    this.upsert(
      'sender',
      'on conflict (shard, k) do update set seq = excluded.seq, off = excluded.off, at = excluded.at, sum = excluded.sum',
      [shard, key, seq, off, this.clock.toDisk(at)],
    );
  }

  /** Replaces the contents of a replica with a base and the first entries after it. The promised fence is kept. */
  installSnapshot(replica: Replica, base: TrimmedBase, entries: Entry[]): void {
    const { shard } = replica;
    for (const table of ['entry', 'topic', 'sender']) this.statement(`delete from ${table} where shard = ?`).run(shard);
    Object.assign(replica, { base: { idx: base.idx, fence: base.fence }, last: base.idx, runs: [] });
    for (const [topic, bounds] of base.topics) this.saveTopic(shard, topic, bounds);
    for (const [key, last] of base.senders) this.saveSender(shard, key, last);
    for (const entry of entries) this.appendEntry(replica, entry);
    this.saveReplica(replica);
  }

  /** Deletes the contents of a replica. The promised fence is kept, so that a former owner stays fenced off. */
  clearReplica(replica: Replica): void {
    this.installSnapshot(replica, emptyBase(), []);
  }
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
