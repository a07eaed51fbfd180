import { NO_FENCE, type Base, type Entry, type Fence } from '@harecross/state';

export interface TopicState { head: number; pend: number; since: number; era: number; entries: Entry[] }
export interface SenderState { seq: number; off: number; idx: number; at: number }

/** A key's life at a node. */
export type KeyState = 'none' | 'taking' | 'owner' | 'yielding';

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
  match = new Map<string, number>();
  next = new Map<string, number>();
  flying = new Set<string>();
  ackAt = new Map<string, number>();
  topics = new Map<string, TopicState>();
  senders = new Map<string, SenderState>();
  waits: { idx: number; res: () => void; rej: (e: unknown) => void }[] = [];
  trimTo = 0;
  said = '';
  saidN = 0;
  triedAt = -Infinity;
  /** Disks that asked for the key and could not take it, and until when they need not ask again. */
  vain = new Map<string, number>();
  takenAt = -Infinity;
  constructor(readonly shard: number) {}

  last(): number { return this.base.idx + this.log.length; }
  fenceAt(idx: number): Fence { return idx === this.base.idx ? this.base.fence : this.log[idx - this.base.idx - 1]!.fence; }
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
    this.senders.set(`${e.topic}\n${e.sender}`, { seq: e.seq, off: e.off, idx: e.idx, at: e.at });
  }

  topicOf(topic: string, era: number): TopicState {
    let t = this.topics.get(topic);
    if (!t) { t = { head: 0, pend: 0, since: 1, era, entries: [] }; this.topics.set(topic, t); }
    if (t.era < era) { t.era = era; t.since = t.pend + 1; t.entries = []; }
    return t;
  }
}
