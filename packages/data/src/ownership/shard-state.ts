/**
 * A node's state of one shard: ownership, replication progress, and the part of the log that is not yet both committed and on this node's
 * disk, the tail. Everything before the tail is read from the disk, so that memory does not grow with the history.
 */
import type { Placement } from '@harecross/control';
import {
  NO_FENCE,
  emptyReplica,
  fenceAt,
  outlineOf,
  recordAppended,
  senderKey,
  takeWithin,
  type Entry,
  type Fence,
  type HistoryOutline,
  type HistoryReader,
  type ReadLimits,
  type Replica,
  type TopicMessage,
} from '@harecross/state';

/** A topic at its owner. Offsets rise by one with each message and never decrease, also across incarnations. */
export interface TopicState {
  /** Offset of the last committed message. */
  head: number;
  /** Offset of the last message, committed or not. */
  pendingHead: number;
  /** First offset of the current incarnation. */
  since: number;
  incarnation: number;
  /** Entries of the topic in the tail. */
  tailCount: number;
}

/** Topics of one shard that are held in memory besides those in the tail; others are read from the disk when they are needed. */
const TOPIC_CACHE_SIZE = 512;

/**
 * Value of `step` in an `outcome_unknown` error for a sequence number that is older than what the owner still knows. A repeat gets the
 * same answer.
 */
export const FORGOTTEN_STEP = 'forgotten';

/** What the owner knows of a sender's sequence number on a topic. */
export type SequenceOutcome =
  /** Above every known number: to be stored now. */
  | { tag: 'new' }
  /** Stored at this offset, by the entry `idx` (0: trimmed, and so committed). */
  | { tag: 'stored'; off: number; idx: number }
  /** Not in the log, and entry `idx` has the next higher number, `above`: once that entry is committed, this number can never be stored. */
  | { tag: 'passed'; above: number; idx: number }
  /** Below the last trimmed number: no longer known whether it was accepted. */
  | { tag: 'forgotten' };

/**
 * The phase of a shard at a node: `taking` while the node asks replicas for the fence and for missing history, `confirming` while the
 * barrier is replicated (publishes are appended after it, but nothing is served yet), `owner` once a majority has the barrier.
 */
export type OwnershipPhase = 'none' | 'taking' | 'confirming' | 'owner';

/** A caller that waits until an entry is committed. */
export interface CommitWaiter {
  index: number;
  resolve: () => void;
  reject: (error: unknown) => void;
}

/** A publish that arrived before its predecessor. */
export interface OutOfOrderPublish {
  /** The predecessor's sequence number, which must be stored first. */
  after: number;
  /** Ends the wait, because the predecessor is in the log or this node's ownership has ended. */
  resume: () => void;
}

type NewMessage = Pick<Entry, 'topic' | 'sender' | 'seq' | 'body'>;

/**
 * One shard at this node. Times are of the steady clock (ms).
 * @example
 * shard.phase === 'owner' && shard.commitIndex === shard.lastIndex() // all entries are committed
 */
export class ShardState {
  phase: OwnershipPhase = 'none';
  fence: Fence = NO_FENCE;
  /** Generation of the placement under which this node took the shard. */
  gen = 0;
  /** Disks with a replica under that placement. */
  replicas: string[] = [];
  /** This node's replica, which the log before the tail is read from. */
  replica: Replica;
  /** The last entries of the log, in order: those that are not committed, or not on this node's disk. */
  tail: Entry[] = [];
  /** Characters of the bodies in the tail. */
  tailBytes = 0;
  commitIndex = 0;
  /** Index of the first entry of this node's ownership: a replica that has it has all history before it. */
  barrierIndex = 0;
  /** Index up to which each replica is known to have the log, by disk. */
  matchIndex = new Map<string, number>();
  /** Index of the next entry to send to each replica, by disk. */
  nextIndex = new Map<string, number>();
  /** Disks to which an append or a snapshot of this shard is under way. */
  appendsInFlight = new Set<string>();
  /** When the last call that each replica has answered was sent, by disk. */
  acknowledgedAt = new Map<string, number>();
  /** Topics in the order of their last use. */
  private topics = new Map<string, TopicState>();
  /** The entries of the tail by `senderKey`, in the order of their sequence numbers. */
  private senders = new Map<string, Entry[]>();
  commitWaiters: CommitWaiter[] = [];
  /** Index up to which this node has trimmed the log, and the replicas may. */
  trimIndex = 0;
  /** The last announcement of this node's ownership as JSON, and the number of announcements. */
  lastAnnouncement = '';
  announcementCount = 0;
  lastElectionAt = -Infinity;
  /** The last other node to which this node's replica promised a fence. */
  promisedTo: { peer: string; at: number } | undefined;
  /** Since when the shard is assigned to this node although another node serves it; undefined when that is not so. */
  assignedSince?: number;
  /** Called at the next phase change. */
  phaseWaiters: (() => void)[] = [];
  /** Publishes that wait for their predecessor, by `senderKey`. */
  outOfOrder = new Map<string, OutOfOrderPublish[]>();
  /** Disks whose node was allowed to take the shard but did not, and until when they are refused. */
  yieldRefusedUntil = new Map<string, number>();
  ownedSince = -Infinity;

  constructor(
    readonly id: number,
    private readonly reader: HistoryReader,
  ) {
    this.replica = emptyReplica(id);
  }

  lastIndex(): number {
    return this.tail.at(-1)?.idx ?? this.replica.last;
  }

  fenceAt(index: number): Fence {
    const first = this.tail[0];
    return first && index >= first.idx ? this.tail[index - first.idx]!.fence : fenceAt(this.replica, index)!;
  }

  /** Whether this node's replica still has the history of this ownership: not if another owner has written to it. */
  isReplicaIntact(): boolean {
    return this.replica.promised === this.fence;
  }

  /** Whether the entry at an index has left the tail, so that it is read from the disk. */
  isBeforeTail(index: number): boolean {
    return index <= this.replica.last && index < (this.tail[0]?.idx ?? Infinity);
  }

  /** The entries of the log from an index on. */
  entriesFrom(index: number, limits: ReadLimits): Entry[] {
    const first = this.tail[0];
    if (first && index >= first.idx) return takeWithin(this.tail.slice(index - first.idx), limits);
    const stored = this.reader.entries(this.id, index, limits);
    return first ? stored.filter((entry) => entry.idx < first.idx) : stored;
  }

  /** Which entries the log has. */
  outline(): HistoryOutline {
    const outline = { ...this.replica, runs: [...this.replica.runs] };
    for (const entry of this.tail) if (entry.idx > outline.last) recordAppended(outline, entry);
    return outlineOf(outline);
  }

  /** The latest time such that a majority of the replicas has answered a call sent then or later. */
  majorityAnsweredAt(): number {
    const answered = this.replicas.map((disk) => this.acknowledgedAt.get(disk) ?? -Infinity).sort((a, b) => b - a);
    return answered[Math.floor(this.replicas.length / 2)] ?? -Infinity;
  }

  /** Initializes the state for an ownership under a fence, with the history of this node's replica. */
  beginOwnership(fence: Fence, placement: Placement, replica: Replica): void {
    this.clearLog();
    this.fence = fence;
    this.gen = placement.gen;
    this.replicas = placement.copies;
    this.replica = replica;
    this.commitIndex = 0;
    this.trimIndex = replica.base.idx;
    this.matchIndex = new Map();
    this.nextIndex = new Map(placement.copies.map((disk) => [disk, this.lastIndex() + 1]));
    this.acknowledgedAt = new Map();
    this.appendsInFlight = new Set();
  }

  /** Drops what memory holds of the log. */
  clearLog(): void {
    this.tail = [];
    this.tailBytes = 0;
    this.topics.clear();
    this.senders.clear();
  }

  /** Appends the first entry of an ownership and returns its index. Once it is committed, all entries before it are committed too. */
  appendBarrier(now: number): number {
    const idx = this.lastIndex() + 1;
    this.tail.push({ idx, fence: this.fence, topic: '', off: 0, era: 0, sender: '', seq: 0, body: '', at: now });
    this.barrierIndex = idx;
    return idx;
  }

  append({ topic, sender, seq, body }: NewMessage, incarnation: number, now: number): Entry {
    const state = this.topicOf(topic, incarnation);
    const off = ++state.pendingHead;
    const idx = this.lastIndex() + 1;
    const entry: Entry = { idx, fence: this.fence, topic, off, era: incarnation, sender, seq, body, at: now };
    this.tail.push(entry);
    this.tailBytes += body.length;
    state.tailCount++;
    this.recordPending(entry);
    return entry;
  }

  /** Updates the sender's state with an appended entry, and resumes publishes that waited for it. */
  private recordPending(entry: Entry): void {
    const key = senderKey(entry.topic, entry.sender);
    const known = this.senders.get(key);
    if (known) known.push(entry);
    else this.senders.set(key, [entry]);
    const unblocked = this.outOfOrder.get(key)?.filter((publish) => publish.after <= entry.seq) ?? [];
    for (const publish of unblocked) publish.resume();
  }

  /** Commits the log up to an index and returns the entries of this ownership that are committed by that. */
  commitTo(index: number): Entry[] {
    const first = this.tail[0]?.idx ?? Infinity;
    const committed = this.tail.slice(Math.max(0, this.commitIndex + 1 - first), Math.max(0, index + 1 - first));
    this.commitIndex = index;
    for (const { topic, off } of committed) if (topic) this.topics.get(topic)!.head = off;
    return committed;
  }

  /** Drops the entries at the start of the tail that are committed and on this node's disk. */
  releaseTail(): void {
    if (!this.isReplicaIntact()) return;
    const until = Math.min(this.commitIndex, this.replica.last);
    let count = 0;
    while (count < this.tail.length && this.tail[count]!.idx <= until) this.forgetPending(this.tail[count++]!);
    if (count) this.tail.splice(0, count);
  }

  private forgetPending(entry: Entry): void {
    this.tailBytes -= entry.body.length;
    if (!entry.topic) return;
    this.topics.get(entry.topic)!.tailCount--;
    const key = senderKey(entry.topic, entry.sender);
    const known = this.senders.get(key)!;
    known.shift();
    if (!known.length) this.senders.delete(key);
  }

  /**
   * The outcome of a sender's sequence number on a topic. A sender's numbers are stored in ascending order, so a number above the last
   * trimmed one that is not in the log was never stored.
   * @example
   * shard.outcomeOf('pay/7', 'desk', 12).tag; // 'new'
   */
  outcomeOf(topic: string, sender: string, seq: number): SequenceOutcome {
    const entry =
      this.reader.senderEntry(this.id, topic, sender, seq) ??
      this.senders.get(senderKey(topic, sender))?.find((pending) => pending.seq >= seq);
    if (entry?.seq === seq) return { tag: 'stored', off: entry.off, idx: entry.idx };
    const trimmed = this.reader.senderBase(this.id, topic, sender);
    if (trimmed && trimmed.seq === seq) return { tag: 'stored', off: trimmed.off, idx: 0 };
    if (trimmed && seq < trimmed.seq) return { tag: 'forgotten' };
    return entry ? { tag: 'passed', above: entry.seq, idx: entry.idx } : { tag: 'new' };
  }

  /** The state of a topic. A later incarnation begins empty, with offsets after those of the earlier one. */
  topicOf(name: string, incarnation: number): TopicState {
    const topic = this.topics.get(name) ?? this.loadTopic(name, incarnation);
    this.topics.delete(name);
    this.topics.set(name, topic);
    this.evictTopics();
    if (topic.incarnation < incarnation) {
      topic.incarnation = incarnation;
      topic.since = topic.pendingHead + 1;
    }
    return topic;
  }

  /** The state of a topic without entries in the tail, by what is on the disk. */
  private loadTopic(name: string, incarnation: number): TopicState {
    const stored = this.reader.topic(this.id, name);
    if (!stored) return { head: 0, pendingHead: 0, since: 1, incarnation, tailCount: 0 };
    const { head, since, era } = stored;
    return { head, pendingHead: head, since, incarnation: era, tailCount: 0 };
  }

  /** Drops the topics that were not used for the longest time, except those in the tail. */
  private evictTopics(): void {
    let excess = this.topics.size - TOPIC_CACHE_SIZE;
    if (excess <= 0) return;
    for (const [name, topic] of this.topics) {
      if (excess <= 0) return;
      excess--;
      if (!topic.tailCount) this.topics.delete(name);
    }
  }

  /** The first offset of a topic's current incarnation that is not trimmed; one after the head if there is none. */
  firstOffset(name: string, topic: TopicState): number {
    const stored = this.reader.firstOffset(this.id, name, topic.incarnation);
    const first = stored ?? this.tail.find((entry) => entry.topic === name && entry.era === topic.incarnation)?.off;
    return Math.min(first ?? Infinity, topic.head + 1);
  }

  /** Committed messages of a topic's current incarnation from an offset on. */
  messagesFrom(name: string, topic: TopicState, offset: number, limits: ReadLimits): TopicMessage[] {
    const query = { shard: this.id, topic: name, incarnation: topic.incarnation };
    const from = Math.max(offset, topic.since);
    const stored = this.reader.messages({ ...query, from, lastIdx: this.commitIndex }, limits);
    if (stored.length) return stored;
    const pending = this.tail.filter(
      ({ idx, topic: entryTopic, off }) => entryTopic === name && off >= from && idx <= this.commitIndex,
    );
    return takeWithin(pending, limits).map(({ off, sender, seq, body }) => ({ off, sender, seq, body }));
  }
}
