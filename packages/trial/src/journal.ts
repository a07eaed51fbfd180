import type { Role } from '@harecross/kernel';

/** A bounded collection as a node reports it: its current length, its highest length so far, and its limit. */
export interface CollectionUsage {
  name: string;
  length: number;
  most: number;
  bound: number;
}

/**
 * An event that a client or operator observed, or a change of the fleet's condition. The oracle uses nothing else.
 * Times are in ms of a single true clock; nodes are named by client address.
 */
export type JournalEvent =
  /** `line`: the connection of a sender with several messages in flight; requests on it arrive in order. */
  | {
      k: 'pub.try';
      t: number;
      try: number;
      sender: string;
      topic: string;
      seq: number;
      body: string;
      node: string;
      domain: string;
      line?: string;
    }
  | {
      k: 'pub.answer';
      t: number;
      try: number;
      sender: string;
      topic: string;
      seq: number;
      out: 'accepted' | 'rejected' | 'unknown';
      offset?: number;
      tag?: string;
      node: string;
      status?: number;
      retryMs?: number;
    }
  | { k: 'conn.open'; t: number; consumer: string; conn: string; node: string; domain: string }
  | { k: 'probe.lost'; t: number; consumer: string; conn: string; asked: number }
  | { k: 'conn.end'; t: number; consumer: string; conn: string; why: string; retryMs?: number }
  | { k: 'sub.ask'; t: number; consumer: string; conn: string; topic: string; cursor?: number }
  | {
      k: 'sub.ok';
      t: number;
      consumer: string;
      conn: string;
      topic: string;
      sub: string;
      cursor?: number;
      next: number;
    }
  | { k: 'sub.fail'; t: number; consumer: string; conn: string; topic: string; cursor?: number; tag: string }
  | { k: 'unsub.ok'; t: number; consumer: string; conn: string; topic: string }
  | {
      k: 'left';
      t: number;
      consumer: string;
      conn: string;
      topic: string;
      sub: string;
      reason: string;
      cursor?: number;
    }
  | {
      k: 'deliver';
      t: number;
      consumer: string;
      conn: string;
      topic: string;
      sub: string;
      sender: string;
      seq: number;
      offset: number;
      body: string;
    }
  | { k: 'count'; t: number; asked: number; topic: string; count: number; partial: boolean }
  | {
      k: 'cfg.submit';
      t: number;
      changeId: string;
      expect?: number;
      revision?: number;
      document?: unknown;
      config: unknown;
      valid: boolean;
    }
  /** `overtaken`: a higher revision is in effect; this one may or may not have been in effect before. */
  | {
      k: 'cfg.answer';
      t: number;
      changeId: string;
      out: 'taken' | 'overtaken' | 'conflict' | 'invalid' | 'unanswered';
      version?: number;
      revision?: number;
      asked?: number;
    }
  | {
      k: 'cfg.read';
      t: number;
      asked: number;
      version: number;
      revision?: number;
      document?: unknown;
      config: unknown;
      last?: boolean;
    }
  /** A node's reported status; without `version` if it reported none. */
  | {
      k: 'node.says';
      t: number;
      asked: number;
      node: string;
      version?: number;
      fresh: boolean;
      holdings?: CollectionUsage[];
      kept?: number;
    }
  /** A node that did not answer a status query. */
  | { k: 'node.silent'; t: number; asked: number; node: string }
  /**
   * Whether a node accepted a publish or subscription to the marker topic that only configuration `mark` contains.
   */
  | { k: 'mark'; t: number; asked: number; node: string; mark: number; by: 'Publish' | 'Subscribe'; seen: 'in' | 'out' }
  /**
   * An auditor starts to read back a topic from `cursor`; by `audit.end` it must have received all messages accepted until now.
   */
  | { k: 'audit'; t: number; consumer: string; topic: string; cursor: number }
  | { k: 'audit.end'; t: number; consumer: string }
  | { k: 'node'; t: number; node: string; domain: string; role: Role }
  /**
   * The fleet's condition, recorded when it changes. `well`: healthy nodes, which are up, not frozen, and connected to a majority of
   * the register's voters. `able`: every shard has a majority of its replicas on healthy nodes. `rough`: packet loss or slowness
   * anywhere, or a link cut. `poor`: consumers on slow or half-open links. `ailing`: nodes that are up but not healthy.
   */
  | { k: 'weather'; t: number; well: string[]; ailing: string[]; able: boolean; rough: boolean; poor: string[] }
  | { k: 'closing'; t: number }
  | { k: 'end'; t: number };

/**
 * The events of a run, in order of time.
 * @example
 * journal.add({ k: 'closing' });
 */
export class Journal {
  readonly seen: JournalEvent[] = [];
  constructor(private now: () => number) {}
  /** Appends an event with the current time. */
  add(event: JournalEvent extends infer S ? (S extends JournalEvent ? Omit<S, 't'> : never) : never): void {
    this.seen.push({ ...event, t: this.now() } as JournalEvent);
  }
}
