/** A replica of one shard's history: its entries, and a summary of the trimmed ones. */
import type { Fence } from './fence.js';

/** One entry of a shard's history. The fields are also those of the wire format and the columns on disk: their names must not change. */
export interface Entry {
  /** Position in the shard's history. */
  idx: number;
  /** Fence of the owner that wrote the entry. */
  fence: Fence;
  /** Topic of the message, or '' for the barrier entry that a new owner writes first. */
  topic: string;
  /** Offset in the topic. */
  off: number;
  /** Incarnation of the topic: the configuration version since which the topic has existed without interruption. */
  era: number;
  sender: string;
  seq: number;
  body: string;
  /** When the node that holds the replica received the entry, by that node's clock (ms). Nodes send each other ages instead of times. */
  at: number;
}

/** Summary of a topic's trimmed entries. `head` is the last offset, and `since` the first offset of the incarnation `era`. */
export interface TopicBase {
  head: number;
  since: number;
  era: number;
}

/** The last trimmed sequence number of a sender on a topic, with the offset and time of its entry. */
export interface SenderBase {
  seq: number;
  off: number;
  at: number;
}

/** Summary of the trimmed entries, which are those up to and including `idx`. */
export interface TrimmedBase {
  idx: number;
  fence: Fence;
  topics: Map<string, TopicBase>;
  /** By `senderKey`. */
  senders: Map<string, SenderBase>;
}

/** A replica of one shard. It mirrors in memory what is on disk, and is changed only together with it. */
export interface Replica {
  shard: number;
  /** The highest promised fence. */
  promised: Fence;
  base: TrimmedBase;
  /** entries[i].idx === base.idx + 1 + i */
  entries: Entry[];
}

/** The base of an empty history. */
export const emptyBase = (): TrimmedBase => ({ idx: 0, fence: '', topics: new Map(), senders: new Map() });

/**
 * The key of `TrimmedBase.senders`.
 * @example
 * base.senders.get(senderKey('pay/7', 'desk'))?.seq; // the last trimmed sequence number
 */
export const senderKey = (topic: string, sender: string): string => `${topic}\n${sender}`;

/**
 * The index of the last entry of a replica, or of the last trimmed one if it holds none.
 * @example
 * lastIdx(replica); // base.idx + entries.length
 */
export const lastIdx = (replica: Replica): number => replica.base.idx + replica.entries.length;

/**
 * The fence of the last entry of a replica. Of two diverging histories, the one whose last fence is higher is valid.
 * @example
 * lastFence(one) > lastFence(other)
 */
export const lastFence = (replica: Replica): Fence => replica.entries.at(-1)?.fence ?? replica.base.fence;

/**
 * The fence of the entry at an index, or undefined if the replica does not hold it. Also known for the last trimmed entry.
 * @example
 * fenceAt(replica, prevIdx) === prevFence // histories agree up to prevIdx
 */
export function fenceAt(replica: Replica, index: number): Fence | undefined {
  if (index === replica.base.idx) return replica.base.fence;
  return replica.entries[index - replica.base.idx - 1]?.fence;
}

/**
 * Extends the base by the next entry.
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
