import { NO_FENCE, senderKey, type Base, type Entry, type Fence } from '@harecross/state';

export interface TopicState {
  head: number;
  pend: number;
  since: number;
  era: number;
  entries: Entry[];
}

/** The step of a fault that says: this number is older than what anybody remembers. */
export const FORGOTTEN = 'forgotten';

/** What the owner knows of a sender's number on a topic. */
export type Outcome =
  /** Above all that is known: to be stored now. */
  | { tag: 'new' }
  /** Stored at this offset, by the entry `idx` (0: trimmed, so committed long ago). */
  | { tag: 'stored'; off: number; idx: number }
  /** Not in the history, and entry `idx` has the next higher number `above`: once that is committed, this number never can be. */
  | { tag: 'passed'; above: number; idx: number }
  /** Below what has been trimmed: accepted or not, nobody knows any more. */
  | { tag: 'forgotten' };

/**
 * A key's life at a node: `taking` while it asks for the fence and for what it lacks, `confirming` while the barrier is on its way to a
 * majority (publishes are taken behind it, nothing is shown yet), `owner` once it is there.
 */
export type KeyState = 'none' | 'taking' | 'confirming' | 'owner';

/**
 * A shard's key at this node: its state, its fence, the log of entries, and what they add up to.
 * @example
 * key.state === 'owner' && key.commit === key.last() // nothing is under way
 */
export class Key {
  state: KeyState = 'none';
  fence: Fence = NO_FENCE;
  gen = 0;
  copies: string[] = [];
  base!: Base;
  log: Entry[] = [];
  commit = 0;
  /** The entry with which our ownership began: a copy that has it has the whole history before. */
  barrier = 0;
  match = new Map<string, number>();
  next = new Map<string, number>();
  flying = new Set<string>();
  ackAt = new Map<string, number>();
  topics = new Map<string, TopicState>();
  /** The entries of the log by topic and sender, in the order of their numbers; `base.senders` has the last one trimmed. */
  senders = new Map<string, Entry[]>();
  waits: { idx: number; res: () => void; rej: (e: unknown) => void }[] = [];
  trimTo = 0;
  said = '';
  saidN = 0;
  triedAt = -Infinity;
  /** To whom our copy last promised the key, when it was not to us. */
  promisedTo: { peer: string; at: number } | undefined;
  /** Since when it is matched to us while another, who can serve, has it; undefined when it is not. */
  wantedAt?: number;
  /** Called at the next change of state. */
  turned: (() => void)[] = [];
  /** Publishes that came before one they must follow: by `senderKey`, the number to follow and what to do once it is here. */
  early = new Map<string, { after: number; go: () => void }[]>();
  /** Disks that asked for the key and could not take it, and until when they need not ask again. */
  vain = new Map<string, number>();
  takenAt = -Infinity;
  constructor(readonly shard: number) {}

  last(): number {
    return this.base.idx + this.log.length;
  }
  fenceAt(idx: number): Fence {
    return idx === this.base.idx ? this.base.fence : this.log[idx - this.base.idx - 1]!.fence;
  }
  /** The time at which a majority of the copies last answered us. */
  heardAt(): number {
    const ts = this.copies.map((d) => this.ackAt.get(d) ?? -Infinity).sort((a, b) => b - a);
    return ts[Math.floor(this.copies.length / 2)] ?? -Infinity;
  }

  /** Takes an entry into the state by which new ones are judged. */
  note(e: Entry): void {
    if (!e.topic) return;
    const t = this.topicOf(e.topic, e.era);
    t.pend = e.off;
    const k = senderKey(e.topic, e.sender);
    const l = this.senders.get(k);
    if (l) l.push(e);
    else this.senders.set(k, [e]);
    const early = this.early.get(k);
    if (early) for (const x of early.filter((y) => y.after <= e.seq)) x.go();
  }

  /** Takes an entry out that is trimmed from the log: the base knows of it now. */
  forget(e: Entry): void {
    if (!e.topic) return;
    const t = this.topics.get(e.topic);
    if (t && t.entries[0]?.idx === e.idx) t.entries.shift();
    const k = senderKey(e.topic, e.sender);
    const l = this.senders.get(k);
    if (l?.[0]?.idx === e.idx) l.shift();
    if (l?.length === 0) this.senders.delete(k);
  }

  /**
   * What became of a sender's number on a topic. Numbers are stored in rising order, so what is neither in the log nor below
   * the base was never stored.
   * @example
   * key.outcome('pay/7', 'desk', 12).tag; // 'new'
   */
  outcome(topic: string, sender: string, seq: number): Outcome {
    const k = senderKey(topic, sender);
    const l = this.senders.get(k) ?? [];
    const base = this.base.senders.get(k);
    let at = l.length;
    while (at > 0 && l[at - 1]!.seq >= seq) at--;
    const e = l[at];
    if (e?.seq === seq) return { tag: 'stored', off: e.off, idx: e.idx };
    if (base && base.seq === seq) return { tag: 'stored', off: base.off, idx: 0 };
    if (base && seq < base.seq) return { tag: 'forgotten' };
    return e ? { tag: 'passed', above: e.seq, idx: e.idx } : { tag: 'new' };
  }

  topicOf(topic: string, era: number): TopicState {
    let t = this.topics.get(topic);
    if (!t) {
      t = { head: 0, pend: 0, since: 1, era, entries: [] };
      this.topics.set(topic, t);
    }
    if (t.era < era) {
      t.era = era;
      t.since = t.pend + 1;
      t.entries = [];
    }
    return t;
  }
}
