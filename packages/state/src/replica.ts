/** A replica of one shard's history: its entries, and what is known of those that were trimmed. */
import type { Fence } from './fence.js';

/** One entry of a shard's history. Wire format, and columns on disk: the field names stay. */
export interface Entry {
  /** Position in the shard's history. */
  idx: number;
  /** Fence of the owner that wrote it. */
  fence: Fence;
  /** Topic of a message; '' for the barrier that a new owner writes first. */
  topic: string;
  /** Offset in the topic. */
  off: number;
  /** Incarnation of the topic: the configuration version since which it was there without a gap. */
  era: number;
  sender: string;
  seq: number;
  body: string;
  /** When the node that keeps it got it, by that node's own clock (ms); ages travel, times do not. */
  at: number;
}

/** A topic as far as its entries were trimmed. `since` is the first offset of its incarnation `era`. */
export interface TopicBase {
  head: number;
  since: number;
  era: number;
}

/** The last trimmed number of a sender on a topic. */
export interface SenderBase {
  seq: number;
  off: number;
  at: number;
}

/** What is known up to and including `idx`, once the entries themselves are trimmed. */
export interface TrimmedBase {
  idx: number;
  fence: Fence;
  topics: Map<string, TopicBase>;
  /** By `senderKey`. */
  senders: Map<string, SenderBase>;
}

/** A replica of one shard: in memory what is on disk, changed only together with the disk. */
export interface Replica {
  shard: number;
  /** The highest fence that was promised. */
  promised: Fence;
  base: TrimmedBase;
  /** entries[i].idx === base.idx + 1 + i */
  entries: Entry[];
}

/** The history of a shard that has none. */
export const emptyBase = (): TrimmedBase => ({ idx: 0, fence: '', topics: new Map(), senders: new Map() });

/**
 * The key of `TrimmedBase.senders`.
 * @example
 * base.senders.get(senderKey('pay/7', 'desk'))?.seq; // the highest number that was trimmed
 */
export const senderKey = (topic: string, sender: string): string => `${topic}\n${sender}`;

/**
 * The index of the last entry a replica holds.
 * @example
 * lastIdx(replica); // base.idx + entries.length
 */
export const lastIdx = (replica: Replica): number => replica.base.idx + replica.entries.length;

/**
 * The fence of the last entry a replica holds: of two histories the one with the higher is the valid one.
 * @example
 * lastFence(one) > lastFence(other)
 */
export const lastFence = (replica: Replica): Fence => replica.entries.at(-1)?.fence ?? replica.base.fence;

/**
 * The fence of the entry at an index; undefined when it is not held.
 * @example
 * fenceAt(replica, prevIdx) === prevFence // histories agree up to prevIdx
 */
export function fenceAt(replica: Replica, index: number): Fence | undefined {
  if (index === replica.base.idx) return replica.base.fence;
  return replica.entries[index - replica.base.idx - 1]?.fence;
}

/**
 * Moves the base over one entry.
 * @example
 * for (const entry of entries) foldIntoBase(base, entry);
 */
export function foldIntoBase(base: TrimmedBase, entry: Entry): void {
  base.idx = entry.idx;
  base.fence = entry.fence;
  if (!entry.topic) return;
  const known = base.topics.get(entry.topic);
  const since = known && known.era === entry.era ? known.since : entry.off;
  base.topics.set(entry.topic, { head: entry.off, since, era: entry.era });
  base.senders.set(senderKey(entry.topic, entry.sender), { seq: entry.seq, off: entry.off, at: entry.at });
}
