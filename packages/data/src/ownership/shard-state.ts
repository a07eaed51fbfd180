/** What a node knows of one shard: its ownership, the log of entries with the progress of each replica, and what the entries add up to. */
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

/** A topic at its owner. Offsets rise by one with each message of an incarnation, and never go back. */
export interface TopicState {
  /** Offset of the last committed message. */
  head: number;
  /** Offset of the last message, committed or not. */
  pendingHead: number;
  /** First offset of the present incarnation. */
  since: number;
  incarnation: number;
  /** Committed messages that are kept. */
  entries: Entry[];
}

/** The step of an error that says: this number is older than what anybody remembers. */
export const FORGOTTEN_STEP = 'forgotten';

/** What the owner knows of a sender's number on a topic. */
export type SequenceOutcome =
  /** Above all that is known: to be stored now. */
  | { tag: 'new' }
  /** Stored at this offset, by the entry `idx` (0: trimmed, so committed long ago). */
  | { tag: 'stored'; off: number; idx: number }
  /** Not in the history, and entry `idx` has the next higher number `above`: once that is committed, this number never can be. */
  | { tag: 'passed'; above: number; idx: number }
  /** Below what has been trimmed: accepted or not, nobody knows any more. */
  | { tag: 'forgotten' };

/**
 * The phase of a shard at a node: `taking` while the node asks for the fence and for what it lacks, `confirming` while the barrier is on
 * its way to a majority (publishes are appended behind it, nothing is shown yet), `owner` once it is there.
 */
export type OwnershipPhase = 'none' | 'taking' | 'confirming' | 'owner';

/** Somebody who waits until an entry is committed. */
export interface CommitWaiter {
  index: number;
  resolve: () => void;
  reject: (error: unknown) => void;
}

/** A publish that came before one that it must follow. */
export interface OutOfOrderPublish {
  /** The number that must be stored first. */
  after: number;
  /** Goes on, because the number is here or the shard is lost. */
  resume: () => void;
}

/** A message to append. */
type NewMessage = Pick<Entry, 'topic' | 'sender' | 'seq' | 'body'>;

/**
 * One shard at this node. Times are of the steady clock (ms).
 * @example
 * shard.phase === 'owner' && shard.commitIndex === shard.lastIndex() // nothing is under way
 */
export class ShardState {
  phase: OwnershipPhase = 'none';
  fence: Fence = NO_FENCE;
  /** Generation of the placement under which it was taken. */
  gen = 0;
  /** Disks that have a replica under that placement. */
  replicas: string[] = [];
  base!: TrimmedBase;
  /** The log above the base, in order and without gaps. */
  entries: Entry[] = [];
  commitIndex = 0;
  /** The entry with which our ownership began: a replica that has it has the whole history before. */
  barrierIndex = 0;
  /** Index up to which each replica is known to have the log. */
  matchIndex = new Map<string, number>();
  /** Index from which each replica is sent the log. */
  nextIndex = new Map<string, number>();
  appendsInFlight = new Set<string>();
  /** When the call was sent that each replica answered last. */
  acknowledgedAt = new Map<string, number>();
  topics = new Map<string, TopicState>();
  /** The entries of the log by topic and sender, in the order of their numbers; `base.senders` has the last one trimmed. */
  senders = new Map<string, Entry[]>();
  commitWaiters: CommitWaiter[] = [];
  trimIndex = 0;
  /** What the fleet was last told of the shard, as text, and how often it was told something. */
  announced = '';
  announceCount = 0;
  lastElectionAt = -Infinity;
  /** To whom our replica last promised the shard, when it was not to us. */
  promisedTo: { peer: string; at: number } | undefined;
  /** Since when it is assigned to us while another, who can serve, has it; undefined when it is not. */
  assignedSince?: number;
  /** Called at the next change of phase. */
  phaseWaiters: (() => void)[] = [];
  /** By `senderKey`. */
  outOfOrder = new Map<string, OutOfOrderPublish[]>();
  /** Disks that asked for the shard and did not take it, and until when they are refused. */
  yieldRefusedUntil = new Map<string, number>();
  ownedSince = -Infinity;

  constructor(readonly id: number) {}

  lastIndex(): number {
    return this.base.idx + this.entries.length;
  }

  fenceAt(index: number): Fence {
    return index === this.base.idx ? this.base.fence : this.entries[index - this.base.idx - 1]!.fence;
  }

  /** When a majority of the replicas last answered us. */
  majorityAnsweredAt(): number {
    const answered = this.replicas.map((disk) => this.acknowledgedAt.get(disk) ?? -Infinity).sort((a, b) => b - a);
    return answered[Math.floor(this.replicas.length / 2)] ?? -Infinity;
  }

  /** Starts an ownership under a fence with the history that our replica has. */
  begin(fence: Fence, placement: Placement, replica: Replica): void {
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

  /** Appends the first entry of an ownership; gives its index. Once it is committed, all entries before it are. */
  appendBarrier(now: number): number {
    const idx = this.lastIndex() + 1;
    this.entries.push({ idx, fence: this.fence, topic: '', off: 0, era: 0, sender: '', seq: 0, body: '', at: now });
    this.barrierIndex = idx;
    return idx;
  }

  /** Appends a message to the log. */
  append({ topic, sender, seq, body }: NewMessage, incarnation: number, now: number): Entry {
    const off = this.topicOf(topic, incarnation).pendingHead + 1;
    const idx = this.lastIndex() + 1;
    const entry: Entry = { idx, fence: this.fence, topic, off, era: incarnation, sender, seq, body, at: now };
    this.entries.push(entry);
    this.recordPending(entry);
    return entry;
  }

  /** Takes an entry into the state by which new ones are judged. */
  recordPending(entry: Entry): void {
    if (!entry.topic) return;
    this.topicOf(entry.topic, entry.era).pendingHead = entry.off;
    const key = senderKey(entry.topic, entry.sender);
    const known = this.senders.get(key);
    if (known) known.push(entry);
    else this.senders.set(key, [entry]);
    const followers = this.outOfOrder.get(key)?.filter((publish) => publish.after <= entry.seq) ?? [];
    for (const publish of followers) publish.resume();
  }

  /** Takes an entry out that is trimmed from the log: the base knows of it now. */
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
   * What became of a sender's number on a topic. Numbers are stored in rising order, so what is neither in the log nor below
   * the base was never stored.
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

  /** A topic in this incarnation; a later one begins empty, behind the messages of the one before. */
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

/** A base of its own: the replica's goes on with its trims. */
function copyOf(base: TrimmedBase): TrimmedBase {
  const topics = new Map([...base.topics].map(([topic, bounds]): [string, TopicBase] => [topic, { ...bounds }]));
  const senders = new Map([...base.senders].map(([key, last]): [string, SenderBase] => [key, { ...last }]));
  return { idx: base.idx, fence: base.fence, topics, senders };
}
