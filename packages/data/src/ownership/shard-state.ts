/** A node's state of one shard: ownership, log, replication progress, and the topics and senders that follow from the log. */
import type { Placement } from '@harecross/control';
import {
  NO_FENCE,
  senderKey,
  type Entry,
  type Fence,
  type Replica,
  type SenderBase,
  type TopicBase,
  type TrimmedBase,
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
  /** Committed messages of the current incarnation that are not trimmed. */
  entries: Entry[];
}

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
  base!: TrimmedBase;
  /** The log after the base, in order and without gaps. */
  entries: Entry[] = [];
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
  topics = new Map<string, TopicState>();
  /** The entries of the log by `senderKey`, in the order of their sequence numbers; `base.senders` has the last trimmed number. */
  senders = new Map<string, Entry[]>();
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

  constructor(readonly id: number) {}

  lastIndex(): number {
    return this.base.idx + this.entries.length;
  }

  fenceAt(index: number): Fence {
    return index === this.base.idx ? this.base.fence : this.entries[index - this.base.idx - 1]!.fence;
  }

  /** The latest time such that a majority of the replicas has answered a call sent then or later. */
  majorityAnsweredAt(): number {
    const answered = this.replicas.map((disk) => this.acknowledgedAt.get(disk) ?? -Infinity).sort((a, b) => b - a);
    return answered[Math.floor(this.replicas.length / 2)] ?? -Infinity;
  }

  /** Initializes the state for an ownership under a fence, with the history of this node's replica. */
  beginOwnership(fence: Fence, placement: Placement, replica: Replica): void {
    this.fence = fence;
    this.gen = placement.gen;
    this.replicas = placement.copies;
    this.base = copyOf(replica.base);
    this.entries = [...replica.entries];
    this.commitIndex = 0;
    this.trimIndex = replica.base.idx;
    this.matchIndex = new Map();
    this.nextIndex = new Map(placement.copies.map((disk) => [disk, this.lastIndex() + 1]));
    this.acknowledgedAt = new Map();
    this.appendsInFlight = new Set();
    this.topics.clear();
    this.senders.clear();
    for (const [topic, { head, since, era }] of this.base.topics)
      this.topics.set(topic, { head, pendingHead: head, since, incarnation: era, entries: [] });
    for (const entry of this.entries) this.recordPending(entry);
  }

  /** Appends the first entry of an ownership and returns its index. Once it is committed, all entries before it are committed too. */
  appendBarrier(now: number): number {
    const idx = this.lastIndex() + 1;
    this.entries.push({ idx, fence: this.fence, topic: '', off: 0, era: 0, sender: '', seq: 0, body: '', at: now });
    this.barrierIndex = idx;
    return idx;
  }

  append({ topic, sender, seq, body }: NewMessage, incarnation: number, now: number): Entry {
    const off = this.topicOf(topic, incarnation).pendingHead + 1;
    const idx = this.lastIndex() + 1;
    const entry: Entry = { idx, fence: this.fence, topic, off, era: incarnation, sender, seq, body, at: now };
    this.entries.push(entry);
    this.recordPending(entry);
    return entry;
  }

  /** Updates the topic's and the sender's state with an appended entry, and resumes publishes that waited for it. */
  recordPending(entry: Entry): void {
    if (!entry.topic) return;
    this.topicOf(entry.topic, entry.era).pendingHead = entry.off;
    const key = senderKey(entry.topic, entry.sender);
    const known = this.senders.get(key);
    if (known) known.push(entry);
    else this.senders.set(key, [entry]);
    const unblocked = this.outOfOrder.get(key)?.filter((publish) => publish.after <= entry.seq) ?? [];
    for (const publish of unblocked) publish.resume();
  }

  /** Removes a trimmed entry from the topic's and the sender's state; the base covers it from now on. */
  recordTrimmed(entry: Entry): void {
    if (!entry.topic) return;
    const topic = this.topics.get(entry.topic);
    if (topic && topic.entries[0]?.idx === entry.idx) topic.entries.shift();
    const key = senderKey(entry.topic, entry.sender);
    const known = this.senders.get(key);
    if (known?.[0]?.idx === entry.idx) known.shift();
    if (known?.length === 0) this.senders.delete(key);
  }

  /**
   * The outcome of a sender's sequence number on a topic. A sender's numbers are stored in ascending order, so a number above the last
   * trimmed one that is not in the log was never stored.
   * @example
   * shard.outcomeOf('pay/7', 'desk', 12).tag; // 'new'
   */
  outcomeOf(topic: string, sender: string, seq: number): SequenceOutcome {
    const key = senderKey(topic, sender);
    const known = this.senders.get(key) ?? [];
    const trimmed = this.base.senders.get(key);
    let position = known.length;
    while (position > 0 && known[position - 1]!.seq >= seq) position--;
    const entry = known[position];
    if (entry?.seq === seq) return { tag: 'stored', off: entry.off, idx: entry.idx };
    if (trimmed && trimmed.seq === seq) return { tag: 'stored', off: trimmed.off, idx: 0 };
    if (trimmed && seq < trimmed.seq) return { tag: 'forgotten' };
    return entry ? { tag: 'passed', above: entry.seq, idx: entry.idx } : { tag: 'new' };
  }

  /** The state of a topic, created if missing. A later incarnation begins empty, with offsets after those of the earlier one. */
  topicOf(name: string, incarnation: number): TopicState {
    let topic = this.topics.get(name);
    if (!topic) {
      topic = { head: 0, pendingHead: 0, since: 1, incarnation, entries: [] };
      this.topics.set(name, topic);
    }
    if (topic.incarnation < incarnation) {
      topic.incarnation = incarnation;
      topic.since = topic.pendingHead + 1;
      topic.entries = [];
    }
    return topic;
  }
}

/** A deep copy, because trims of the replica change its base. */
function copyOf(base: TrimmedBase): TrimmedBase {
  const topics = new Map([...base.topics].map(([topic, bounds]): [string, TopicBase] => [topic, { ...bounds }]));
  const senders = new Map([...base.senders].map(([key, last]): [string, SenderBase] => [key, { ...last }]));
  return { idx: base.idx, fence: base.fence, topics, senders };
}
