import { crc32 } from 'node:zlib';
import { checkDisk, register, type Db, type Sql } from '@harecross/kernel';
import type { Statement } from 'better-sqlite3';

declare module '@harecross/kernel' {
  interface Faces {
    state: Store;
  }
}

/** Fences compare as strings: generation of the placement, then number, then the owner that took it. */
export type Fence = string;
export const NO_FENCE: Fence = '';

/**
 * @example
 * makeFence(3, 7, '10.0.0.1:7101~0001'); // '00000003.0000000007.10.0.0.1:7101~0001'
 */
export function makeFence(gen: number, n: number, owner: string): Fence {
  return `${String(gen).padStart(8, '0')}.${String(n).padStart(10, '0')}.${owner}`;
}

/**
 * @example
 * readFence(f).peer; // '10.0.0.1:7101'
 */
export function readFence(f: Fence): { gen: number; n: number; peer: string } {
  if (f === NO_FENCE) return { gen: 0, n: 0, peer: '' };
  const owner = f.slice(20);
  return { gen: Number(f.slice(0, 8)), n: Number(f.slice(9, 19)), peer: owner.split('~')[0]! };
}

/** One entry of a shard's history. `at` is the keeper's own clock; ages travel, times do not. */
export interface Entry {
  idx: number;
  fence: Fence;
  /** Topic of a message; '' for the barrier that a new owner writes first. */
  topic: string;
  off: number;
  /** Config version since which the topic was there without a break: made anew, it shows nothing older. */
  era: number;
  sender: string;
  seq: number;
  body: string;
  at: number;
}

/** `since` is the first offset of the present era: what is older belongs to a family that was removed. */
export interface TopicBase {
  head: number;
  since: number;
  era: number;
}
export interface SenderBase {
  seq: number;
  off: number;
  at: number;
}

/**
 * The key of `Base.senders`.
 * @example
 * base.senders.get(senderKey('pay/7', 'desk'))?.seq; // the highest number that was trimmed
 */
export const senderKey = (topic: string, sender: string): string => `${topic}\n${sender}`;

/** What is known up to and including idx, once the entries themselves are trimmed. */
export interface Base {
  idx: number;
  fence: Fence;
  topics: Map<string, TopicBase>;
  /** By `senderKey`: the last number of each sender and topic that was trimmed. */
  senders: Map<string, SenderBase>;
}

/** A copy of one shard: in memory what is on disk, changed only together with the disk. */
export interface Copy {
  shard: number;
  promised: Fence;
  base: Base;
  /** entries[i].idx === base.idx + 1 + i */
  entries: Entry[];
}

/**
 * The last entry a copy holds.
 * @example
 * lastIdx(copy); // base.idx + entries.length
 */
export const lastIdx = (c: Copy): number => c.base.idx + c.entries.length;
/**
 * The fence of the last entry a copy holds: of two histories the one with the higher is the valid one.
 * @example
 * lastFence(a) > lastFence(b)
 */
export const lastFence = (c: Copy): Fence => (c.entries.length ? c.entries[c.entries.length - 1]!.fence : c.base.fence);
/**
 * The fence of the entry at idx; undefined when it is not held.
 * @example
 * fenceAt(copy, prevIdx) === prevFence // histories agree up to prevIdx
 */
export function fenceAt(c: Copy, idx: number): Fence | undefined {
  if (idx === c.base.idx) return c.base.fence;
  return c.entries[idx - c.base.idx - 1]?.fence;
}

/** An acceptor's state in the register. */
export interface Seat {
  promised: string;
  ballot: string;
  value: string | undefined;
}

/** Tables: name, columns, key. Every row has a sum over its columns, so that a flipped bit is no altered message. */
const TABLES: [name: string, columns: string[], key: string][] = [
  ['meta', ['k text', 'v text not null'], 'k'],
  ['copy', ['shard integer', 'promised text not null', 'idx integer not null', 'fence text not null'], 'shard'],
  [
    'entry',
    [
      'shard integer',
      'idx integer',
      'fence text',
      'topic text',
      'off integer',
      'era integer',
      'sender text',
      'seq integer',
      'body text',
      'at real',
    ],
    'shard, idx',
  ],
  ['topic', ['shard integer', 'topic text', 'head integer', 'since integer', 'era integer'], 'shard, topic'],
  ['sender', ['shard integer', 'k text', 'seq integer', 'off integer', 'at real'], 'shard, k'],
];
const columns = (sql: Sql, table: string): string[] =>
  (sql.pragma(`table_info(${table})`) as { name: string }[]).map((c) => c.name);
const sumOf = (xs: unknown[]): number => crc32(xs.join('\0'));

/** Every row whose sum is not that of its columns. */
function alteredRow(sql: Sql): string | undefined {
  for (const [t, cols, key] of TABLES) {
    const have = columns(sql, t);
    if (!have.includes('sum')) continue;
    const names = cols.map((c) => c.split(' ')[0]!);
    for (const row of sql
      .prepare(`select ${names.join(', ')}, sum from ${t}`)
      .raw()
      .iterate() as Iterable<unknown[]>) {
      const sum = row.pop();
      if (sum !== null && sum !== sumOf(row))
        return `a row of ${t} was altered (${key}: ${row.slice(0, key.split(', ').length).join(', ')})`;
    }
  }
  return undefined;
}
checkDisk(alteredRow);

/**
 * The node's lasting state. All writes are made inside `db.commit`, which syncs them.
 * @example
 * const st = new Store(db); st.init();
 * await db.commit(() => st.saveSeat({ promised: b, ballot: '', value: undefined }));
 */
export class Store {
  private sql: Sql;
  private prepared = new Map<string, Statement>();
  constructor(readonly db: Db) {
    this.sql = db.sql;
  }

  /** Statements are compiled once. */
  private q(text: string): Statement {
    let s = this.prepared.get(text);
    if (!s) {
      s = this.sql.prepare(text);
      this.prepared.set(text, s);
    }
    return s;
  }

  init(): void {
    // One commit: the log's check takes it that no more than one is on its way to the disk.
    this.sql.transaction(() => this.tables())();
  }
  private tables(): void {
    this.sql.exec(
      TABLES.map(
        ([t, cols, key]) =>
          `create table if not exists ${t} (${cols.join(', ')}, sum integer, primary key (${key}))${t === 'copy' ? '' : ' without rowid'};`,
      ).join('\n'),
    );
    // Made before rows had sums: theirs are missing, and they are taken as they are.
    for (const [t] of TABLES)
      if (!columns(this.sql, t).includes('sum')) this.sql.exec(`alter table ${t} add column sum integer`);
  }

  /** Writes a row with its sum; columns by name, because a table that was altered has them in another order. */
  private put(table: string, conflict: string, xs: (string | number)[]): void {
    const names = TABLES.find(([t]) => t === table)![1].map((c) => c.split(' ')[0]!);
    this.q(`insert into ${table} (${names.join(', ')}, sum) values (${'?, '.repeat(xs.length)}?) ${conflict}`).run(
      ...xs,
      sumOf(xs),
    );
  }

  get(k: string): string | undefined {
    return (this.q('select v from meta where k = ?').get(k) as { v: string } | undefined)?.v;
  }
  set(k: string, v: string): void {
    this.put('meta', 'on conflict (k) do update set v = excluded.v, sum = excluded.sum', [k, v]);
  }

  seat(): Seat {
    return {
      promised: this.get('seat.promised') ?? '',
      ballot: this.get('seat.ballot') ?? '',
      value: this.get('seat.value'),
    };
  }
  saveSeat(s: Seat): void {
    this.set('seat.promised', s.promised);
    this.set('seat.ballot', s.ballot);
    if (s.value !== undefined) this.set('seat.value', s.value);
  }

  /**
   * The copies as they are on disk. A machine may come back with another time than it left with, so what was kept
   * begins its life in memory anew: kept a little longer, never let go early.
   */
  copies(now: number): Map<number, Copy> {
    const out = new Map<number, Copy>();
    for (const r of this.q('select * from copy').all() as {
      shard: number;
      promised: string;
      idx: number;
      fence: string;
    }[]) {
      out.set(r.shard, {
        shard: r.shard,
        promised: r.promised,
        base: { idx: r.idx, fence: r.fence, topics: new Map(), senders: new Map() },
        entries: [],
      });
    }
    for (const r of this.q('select * from topic').all() as {
      shard: number;
      topic: string;
      head: number;
      since: number;
      era: number;
    }[])
      out.get(r.shard)?.base.topics.set(r.topic, { head: r.head, since: r.since, era: r.era });
    for (const r of this.q('select * from sender').all() as { shard: number; k: string; seq: number; off: number }[])
      out.get(r.shard)?.base.senders.set(r.k, { seq: r.seq, off: r.off, at: now });
    // Fences, topics and senders come again and again: one string each.
    const strings = new Map<string, string>();
    const one = (x: string): string => {
      const had = strings.get(x);
      if (had !== undefined) return had;
      strings.set(x, x);
      return x;
    };
    const rows = this.sql
      .prepare('select shard, idx, fence, topic, off, era, sender, seq, body from entry order by shard, idx')
      .raw()
      .iterate();
    for (const r of rows as Iterable<[number, number, string, string, number, number, string, number, string]>) {
      out.get(r[0])?.entries.push({
        idx: r[1],
        fence: one(r[2]),
        topic: one(r[3]),
        off: r[4],
        era: r[5],
        sender: one(r[6]),
        seq: r[7],
        body: r[8],
        at: now,
      });
    }
    return out;
  }

  promise(c: Copy, f: Fence): void {
    c.promised = f;
    this.saveCopy(c);
  }
  private saveCopy(c: Copy): void {
    this.put(
      'copy',
      'on conflict (shard) do update set promised = excluded.promised, idx = excluded.idx, fence = excluded.fence, sum = excluded.sum',
      [c.shard, c.promised, c.base.idx, c.base.fence],
    );
  }

  /** Cuts everything from idx on. */
  cut(c: Copy, idx: number): void {
    const keep = idx - c.base.idx - 1;
    if (keep >= c.entries.length) return;
    c.entries.length = keep;
    this.q('delete from entry where shard = ? and idx >= ?').run(c.shard, idx);
  }

  add(c: Copy, e: Entry): void {
    c.entries.push(e);
    this.put('entry', '', [c.shard, e.idx, e.fence, e.topic, e.off, e.era, e.sender, e.seq, e.body, e.at]);
  }

  /** Folds entries up to idx into the base. Only ever called for entries a majority holds. */
  trim(c: Copy, idx: number, dedupeAfter: number): void {
    const n = Math.min(idx - c.base.idx, c.entries.length);
    if (n <= 0) return;
    const gone = c.entries.splice(0, n);
    const topics = new Set<string>();
    const senders = new Set<string>();
    for (const e of gone) {
      fold(c.base, e);
      if (e.topic) {
        topics.add(e.topic);
        senders.add(senderKey(e.topic, e.sender));
      }
    }
    this.q('delete from entry where shard = ? and idx <= ?').run(c.shard, c.base.idx);
    for (const t of topics) this.saveTopic(c, t);
    for (const s of senders) this.saveSender(c, s);
    for (const [s, b] of c.base.senders) {
      if (b.at >= dedupeAfter) continue;
      c.base.senders.delete(s);
      this.q('delete from sender where shard = ? and k = ?').run(c.shard, s);
    }
    this.saveCopy(c);
  }
  private saveTopic(c: Copy, t: string): void {
    const b = c.base.topics.get(t)!;
    this.put(
      'topic',
      'on conflict (shard, topic) do update set head = excluded.head, since = excluded.since, era = excluded.era, sum = excluded.sum',
      [c.shard, t, b.head, b.since, b.era],
    );
  }
  private saveSender(c: Copy, s: string): void {
    const b = c.base.senders.get(s)!;
    this.put(
      'sender',
      'on conflict (shard, k) do update set seq = excluded.seq, off = excluded.off, at = excluded.at, sum = excluded.sum',
      [c.shard, s, b.seq, b.off, b.at],
    );
  }

  /** Replaces a copy by a snapshot; the promise stays. */
  install(c: Copy, base: Base, entries: Entry[]): void {
    for (const t of ['entry', 'topic', 'sender']) this.q(`delete from ${t} where shard = ?`).run(c.shard);
    c.base = base;
    c.entries = [];
    for (const t of base.topics.keys()) this.saveTopic(c, t);
    for (const s of base.senders.keys()) this.saveSender(c, s);
    for (const e of entries) this.add(c, e);
    this.saveCopy(c);
  }

  /** Lets go of a copy's matter. The promise stays, so that an old owner stays fenced. */
  release(c: Copy): void {
    this.install(c, { idx: 0, fence: NO_FENCE, topics: new Map(), senders: new Map() }, []);
  }
}

/**
 * Moves the base over one entry.
 * @example
 * for (const e of entries) fold(base, e);
 */
export function fold(b: Base, e: Entry): void {
  b.idx = e.idx;
  b.fence = e.fence;
  if (!e.topic) return;
  const old = b.topics.get(e.topic);
  b.topics.set(e.topic, { head: e.off, since: old && old.era === e.era ? old.since : e.off, era: e.era });
  b.senders.set(senderKey(e.topic, e.sender), { seq: e.seq, off: e.off, at: e.at });
}

register({
  name: 'state',
  needs: [],
  setup: async (k) => {
    if (!k.host.db) throw new Error('state needs a data folder');
    const st = new Store(k.host.db);
    st.init();
    // A disk names itself once; an emptied one is another disk.
    if (!st.get('disk')) {
      const id = `d${Math.floor(k.host.rnd.next() * 2 ** 48).toString(36)}`;
      await st.db.commit(() => st.set('disk', id));
    }
    return st;
  },
});
