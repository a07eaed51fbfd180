/** Reads of the history on a node's disk. None of them returns more than its limits, so that memory does not depend on what the disk holds. */
import type { Statement } from 'better-sqlite3';
import type { DiskClock } from './disk-clock.js';
import { senderKey, type Entry, type SenderBase, type TopicBase, type TrimmedBase } from './replica.js';

/** How much one read may return. At least one entry is returned if there is one. */
export interface ReadLimits {
  entries: number;
  /** Of bodies, in characters. */
  bytes: number;
}

/** A message of a topic, as it is served to consumers. */
export type TopicMessage = Pick<Entry, 'off' | 'sender' | 'seq' | 'body'>;

/** What the disk knows of a topic: its last offset, and its current incarnation with that one's first offset. */
export type StoredTopic = TopicBase;

/** An entry's position and what decides about its retention. */
export type RetentionRow = Pick<Entry, 'idx' | 'topic' | 'at'>;

type EntryRow = [number, string, string, number, number, string, number, string, number];

const ENTRY_COLUMNS = 'idx, fence, topic, off, era, sender, seq, body, at';

/** Takes from the start of a sequence what fits the limits, and at least one item. */
export function takeWithin<T extends { body: string }>(items: Iterable<T>, limits: ReadLimits): T[] {
  const taken: T[] = [];
  let bytes = 0;
  for (const item of items) {
    bytes += item.body.length;
    if (taken.length && bytes > limits.bytes) break;
    taken.push(item);
    if (taken.length >= limits.entries) break;
  }
  return taken;
}

/** Reads entries, topics and sender numbers of the replicas on a disk. */
export class HistoryReader {
  constructor(
    private readonly statement: (text: string) => Statement,
    private readonly clock: () => DiskClock,
  ) {}

  /** The entries of a shard from an index on. */
  entries(shard: number, from: number, limits: ReadLimits): Entry[] {
    const select = `select ${ENTRY_COLUMNS} from entry where shard = ? and idx >= ? order by idx limit ?`;
    const rows = this.statement(select).raw().iterate(shard, from, limits.entries) as Iterable<EntryRow>;
    return takeWithin(this.toEntries(rows), limits);
  }

  private *toEntries(rows: Iterable<EntryRow>): Iterable<Entry> {
    for (const [idx, fence, topic, off, era, sender, seq, body, at] of rows)
      yield { idx, fence, topic, off, era, sender, seq, body, at: this.clock().fromDisk(at) };
  }

  /** Position, topic and time of the entries after an index, up to and including another. */
  *retentionRows(shard: number, after: number, to: number): Iterable<RetentionRow> {
    const select = 'select idx, topic, at from entry where shard = ? and idx > ? and idx <= ? order by idx';
    const rows = this.statement(select).raw().iterate(shard, after, to) as Iterable<[number, string, number]>;
    for (const [idx, topic, at] of rows) yield { idx, topic, at: this.clock().fromDisk(at) };
  }

  /** The state of a topic according to its entries and the trimmed base; undefined if the disk has nothing of it. */
  topic(shard: number, topic: string): StoredTopic | undefined {
    const base = this.topicBase(shard, topic);
    const last = this.statement(
      'select era, off from entry indexed by entry_by_topic where shard = ? and topic = ? order by era desc, off desc limit 1',
    ).get(shard, topic) as { era: number; off: number } | undefined;
    if (!last) return base;
    const since = base?.era === last.era ? base.since : this.firstOffset(shard, topic, last.era)!;
    return { head: last.off, since, era: last.era };
  }

  /** The summary of a topic's trimmed entries. */
  topicBase(shard: number, topic: string): TopicBase | undefined {
    const select = 'select head, since, era from topic where shard = ? and topic = ?';
    return this.statement(select).get(shard, topic) as TopicBase | undefined;
  }

  /** The first offset of a topic's incarnation that is not trimmed. */
  firstOffset(shard: number, topic: string, incarnation: number): number | undefined {
    const select =
      'select off from entry indexed by entry_by_topic where shard = ? and topic = ? and era = ? order by off limit 1';
    return (this.statement(select).get(shard, topic, incarnation) as { off: number } | undefined)?.off;
  }

  /** The messages of a topic's incarnation from an offset on, up to the entry `lastIdx` of the shard. */
  messages(
    query: { shard: number; topic: string; incarnation: number; from: number; lastIdx: number },
    limits: ReadLimits,
  ): TopicMessage[] {
    const select = `select off, sender, seq, body from entry indexed by entry_by_topic
      where shard = ? and topic = ? and era = ? and off >= ? and idx <= ? order by off limit ?`;
    const { shard, topic, incarnation, from, lastIdx } = query;
    const rows = this.statement(select).raw(false).iterate(shard, topic, incarnation, from, lastIdx, limits.entries);
    return takeWithin(rows as Iterable<TopicMessage>, limits);
  }

  /** The first entry of a sender on a topic whose sequence number is at least `seq`. */
  senderEntry(
    shard: number,
    topic: string,
    sender: string,
    seq: number,
  ): Pick<Entry, 'seq' | 'off' | 'idx'> | undefined {
    const select = `select seq, off, idx from entry indexed by entry_by_sender
      where shard = ? and topic = ? and sender = ? and seq >= ? order by seq limit 1`;
    return this.statement(select).get(shard, topic, sender, seq) as Pick<Entry, 'seq' | 'off' | 'idx'> | undefined;
  }

  /** The last trimmed sequence number of a sender on a topic. */
  senderBase(shard: number, topic: string, sender: string): SenderBase | undefined {
    const select = 'select seq, off, at from sender where shard = ? and k = ?';
    const row = this.statement(select).get(shard, senderKey(topic, sender)) as SenderBase | undefined;
    return row && { ...row, at: this.clock().fromDisk(row.at) };
  }

  /** The topics and senders of a replica's trimmed base, for a snapshot. */
  base(shard: number): Pick<TrimmedBase, 'topics' | 'senders'> {
    type TopicRow = TopicBase & { topic: string };
    type SenderRow = SenderBase & { k: string };
    const topics = this.statement('select topic, head, since, era from topic where shard = ?').iterate(shard);
    const senders = this.statement('select k, seq, off, at from sender where shard = ?').iterate(shard);
    return {
      topics: new Map([...(topics as Iterable<TopicRow>)].map(({ topic, ...bounds }) => [topic, bounds])),
      senders: new Map(
        [...(senders as Iterable<SenderRow>)].map(({ k, seq, off, at }) => [
          k,
          { seq, off, at: this.clock().fromDisk(at) },
        ]),
      ),
    };
  }
}
