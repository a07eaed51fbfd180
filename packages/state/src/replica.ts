/** A replica of one shard's history: entries on disk, and a summary of the trimmed ones. In memory there is only its outline. */
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

/** The last trimmed entry: its position and fence. */
export interface BasePosition {
  idx: number;
  fence: Fence;
}

/** Summary of the trimmed entries, which are those up to and including `idx`. */
export interface TrimmedBase extends BasePosition {
  topics: Map<string, TopicBase>;
  /** By `senderKey`. */
  senders: Map<string, SenderBase>;
}

/** Consecutive entries with the same fence, up to the next run. */
export interface FenceRun {
  /** Index of the first entry. */
  from: number;
  fence: Fence;
}

/**
 * Which entries a replica has, without their content: enough to find where two histories part. Its size depends on how often the owner
 * changed, and not on the number of entries. Wire format.
 */
export interface HistoryOutline {
  base: BasePosition;
  /** Index of the last entry; that of the base if there is none. */
  last: number;
  runs: FenceRun[];
}

/** A replica of one shard: what memory holds of it. It is changed only together with the entries on disk. */
export interface Replica extends HistoryOutline {
  shard: number;
  /** The highest promised fence. */
  promised: Fence;
}

/** The base of an empty history. */
export const emptyBase = (): TrimmedBase => ({ idx: 0, fence: '', topics: new Map(), senders: new Map() });

/** A replica without history. */
export const emptyReplica = (shard: number): Replica => ({
  shard,
  promised: '',
  base: { idx: 0, fence: '' },
  last: 0,
  runs: [],
});

/**
 * The key of `TrimmedBase.senders`.
 * @example
 * base.senders.get(senderKey('pay/7', 'desk'))?.seq; // the last trimmed sequence number
 */
export const senderKey = (topic: string, sender: string): string => `${topic}\n${sender}`;

/** The index of the last entry of a replica, or of the last trimmed one if it holds none. */
export const lastIdx = (replica: HistoryOutline): number => replica.last;

/**
 * The fence of the last entry of a replica. Of two diverging histories, the one whose last fence is higher is valid.
 * @example
 * lastFence(one) > lastFence(other)
 */
export const lastFence = (replica: HistoryOutline): Fence => replica.runs.at(-1)?.fence ?? replica.base.fence;

/**
 * The fence of the entry at an index, or undefined if the replica does not hold it. Also known for the last trimmed entry.
 * @example
 * fenceAt(replica, prevIdx) === prevFence // histories agree up to prevIdx
 */
export function fenceAt(replica: HistoryOutline, index: number): Fence | undefined {
  if (index === replica.base.idx) return replica.base.fence;
  if (index < replica.base.idx || index > replica.last) return undefined;
  return replica.runs.findLast((run) => run.from <= index)!.fence;
}

/** A copy of the outline alone, to be sent. */
export const outlineOf = ({ base, last, runs }: HistoryOutline): HistoryOutline => ({ base, last, runs });

/**
 * The highest index up to which two histories are the same, as far as both still hold it; undefined if there is none. Entries with the same
 * index and fence are the same, and so are all entries before them.
 * @example
 * commonIndex(outlineOf(own), request.outline); // 160: both have this entry, with the same fence
 */
export function commonIndex(one: HistoryOutline, other: HistoryOutline): number | undefined {
  const otherSpans = spansOf(other);
  for (const span of spansOf(one).reverse())
    for (const candidate of otherSpans) {
      if (candidate.fence !== span.fence) continue;
      const to = Math.min(span.to, candidate.to);
      if (to >= Math.max(span.from, candidate.from)) return to;
    }
  return undefined;
}

/** The runs with their last indexes, and the last trimmed entry as a span of its own. */
function spansOf({ base, last, runs }: HistoryOutline): { from: number; to: number; fence: Fence }[] {
  const entries = runs.map(({ from, fence }, i) => ({ from, to: (runs[i + 1]?.from ?? last + 1) - 1, fence }));
  return [{ from: base.idx, to: base.idx, fence: base.fence }, ...entries];
}

/** Records an appended entry in a replica's outline. */
export function recordAppended(replica: Replica, { idx, fence }: Pick<Entry, 'idx' | 'fence'>): void {
  if (replica.runs.at(-1)?.fence !== fence) replica.runs.push({ from: idx, fence });
  replica.last = idx;
}

/** Records that the entries after an index were removed. */
export function recordTruncated(replica: Replica, last: number): void {
  replica.last = last;
  replica.runs = replica.runs.filter((run) => run.from <= last);
}

/** Records that the entries up to an index, which the replica holds, were trimmed. */
export function recordTrimmed(replica: Replica, index: number): void {
  replica.base = { idx: index, fence: fenceAt(replica, index)! };
  const kept = replica.runs.filter((run, i) => (replica.runs[i + 1]?.from ?? replica.last + 1) > index + 1);
  replica.runs = kept.map((run) => ({ ...run, from: Math.max(run.from, index + 1) }));
}
