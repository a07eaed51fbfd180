/** A node's lasting state on its disk: what its voter accepted, the replicas it keeps, and a few named values. */
import { registerPlugin, type Sql, type SyncedDatabase } from '@harecross/kernel';
import type { Statement } from 'better-sqlite3';
import type { Fence } from './fence.js';
import { emptyBase, foldIntoBase, senderKey, type Entry, type Replica, type TrimmedBase } from './replica.js';
import { checksumOf, columnNames, createTables } from './tables.js';

/** Keys of the named values. Names on disk: they stay. */
const DISK_ID_ROW = 'disk';
const PROMISED_ROW = 'seat.promised';
const BALLOT_ROW = 'seat.ballot';
const VALUE_ROW = 'seat.value';

/** Disk ids are random numbers below this. */
const DISK_ID_RANGE = 2 ** 48;
const DISK_ID_RADIX = 36;

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    state: DurableState;
  }
}

/** An acceptor's state in the consensus register. */
export interface AcceptorState {
  /** The highest ballot that was promised. */
  promised: string;
  /** The ballot under which `value` was accepted. */
  ballot: string;
  /** The accepted value as text; undefined where none was. */
  value: string | undefined;
}

/**
 * The node's lasting state. All writes are made inside `db.commit`, which syncs them.
 * @example
 * const state = new DurableState(db);
 * state.init();
 * await db.commit(() => state.saveAcceptorState({ promised: ballot, ballot: '', value: undefined }));
 */
export class DurableState {
  private readonly sql: Sql;
  private readonly prepared = new Map<string, Statement>();

  constructor(readonly db: SyncedDatabase) {
    this.sql = db.sql;
  }

  /** Statements are compiled once. */
  private statement(text: string): Statement {
    let statement = this.prepared.get(text);
    if (!statement) {
      statement = this.sql.prepare(text);
      this.prepared.set(text, statement);
    }
    return statement;
  }

  /** Makes the tables. */
  init(): void {
    // One commit: the log's check takes it that no more than one is on its way to the disk.
    this.sql.transaction(() => createTables(this.sql))();
  }

  /** Writes a row with its checksum; columns by name, because a table that was altered has them in another order. */
  private upsert(table: string, conflict: string, columns: (string | number)[]): void {
    const names = columnNames(table).join(', ');
    const places = `${'?, '.repeat(columns.length)}?`;
    this.statement(`insert into ${table} (${names}, sum) values (${places}) ${conflict}`).run(
      ...columns,
      checksumOf(columns),
    );
  }

  /** A named value. */
  get(key: string): string | undefined {
    return (this.statement('select v from meta where k = ?').get(key) as { v: string } | undefined)?.v;
  }

  set(key: string, value: string): void {
    this.upsert('meta', 'on conflict (k) do update set v = excluded.v, sum = excluded.sum', [key, value]);
  }

  acceptorState(): AcceptorState {
    return {
      promised: this.get(PROMISED_ROW) ?? '',
      ballot: this.get(BALLOT_ROW) ?? '',
      value: this.get(VALUE_ROW),
    };
  }

  saveAcceptorState(state: AcceptorState): void {
    this.set(PROMISED_ROW, state.promised);
    this.set(BALLOT_ROW, state.ballot);
    if (state.value !== undefined) this.set(VALUE_ROW, state.value);
  }

  /** The id of this disk; a disk names itself once, and an emptied one is another disk. */
  async ensureDiskId(randomNumber: () => number): Promise<void> {
    if (this.get(DISK_ID_ROW)) return;
    const id = `d${Math.floor(randomNumber() * DISK_ID_RANGE).toString(DISK_ID_RADIX)}`;
    await this.db.commit(() => this.set(DISK_ID_ROW, id));
  }

  /**
   * The replicas as they are on disk. A machine may come back with another time than it left with, so what was kept
   * begins its life in memory anew: kept a little longer, never let go early.
   */
  loadReplicas(now: number): Map<number, Replica> {
    const replicas = this.loadBases(now);
    const intern = interner();
    const rows = this.sql
      .prepare('select shard, idx, fence, topic, off, era, sender, seq, body from entry order by shard, idx')
      .raw()
      .iterate();
    for (const row of rows as Iterable<[number, number, string, string, number, number, string, number, string]>) {
      const [shard, idx, fence, topic, off, era, sender, seq, body] = row;
      replicas.get(shard)?.entries.push({
        idx,
        fence: intern(fence),
        topic: intern(topic),
        off,
        era,
        sender: intern(sender),
        seq,
        body,
        at: now,
      });
    }
    return replicas;
  }

  private loadBases(now: number): Map<number, Replica> {
    const replicas = new Map<number, Replica>();
    type CopyRow = { shard: number; promised: string; idx: number; fence: string };
    for (const { shard, promised, idx, fence } of this.statement('select * from copy').all() as CopyRow[])
      replicas.set(shard, { shard, promised, base: { ...emptyBase(), idx, fence }, entries: [] });
    type TopicRow = { shard: number; topic: string; head: number; since: number; era: number };
    for (const { shard, topic, head, since, era } of this.statement('select * from topic').all() as TopicRow[])
      replicas.get(shard)?.base.topics.set(topic, { head, since, era });
    type SenderRow = { shard: number; k: string; seq: number; off: number };
    for (const { shard, k, seq, off } of this.statement('select * from sender').all() as SenderRow[])
      replicas.get(shard)?.base.senders.set(k, { seq, off, at: now });
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

  /** Cuts everything from an index on. */
  truncateFrom(replica: Replica, index: number): void {
    const kept = index - replica.base.idx - 1;
    if (kept >= replica.entries.length) return;
    replica.entries.length = kept;
    this.statement('delete from entry where shard = ? and idx >= ?').run(replica.shard, index);
  }

  appendEntry(replica: Replica, entry: Entry): void {
    replica.entries.push(entry);
    const { idx, fence, topic, off, era, sender, seq, body, at } = entry;
    this.upsert('entry', '', [replica.shard, idx, fence, topic, off, era, sender, seq, body, at]);
  }

  /**
   * Folds entries up to an index into the base. Only ever called for entries that a majority holds. Numbers of senders that were
   * trimmed before `dedupeAfter` (steady clock, ms) are forgotten.
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

  private forgetSenders(replica: Replica, before: number): void {
    for (const [key, { at }] of replica.base.senders) {
      if (at >= before) continue;
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
      [shard, key, seq, off, at],
    );
  }

  /** Replaces a replica by a snapshot; the promise stays. */
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

  /** Lets go of a replica's matter. The promise stays, so that an old owner stays fenced. */
  clearReplica(replica: Replica): void {
    this.installSnapshot(replica, emptyBase(), []);
  }
}

/** Fences, topics and senders come again and again: one string each. */
function interner(): (text: string) => string {
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
    if (!db) throw new Error('state needs a data folder');
    const state = new DurableState(db);
    state.init();
    await state.ensureDiskId(() => random.next());
    return state;
  },
});
