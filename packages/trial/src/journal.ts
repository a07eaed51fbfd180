import type { Role } from '@harecross/kernel';
/** A holding as a node tells it: its length now, the most it ever had, and its bound. */
export interface CollectionUsage {
  name: string;
  length: number;
  most: number;
  bound: number;
}

/**
 * What callers and operators saw, and what the stage did to the fleet: the oracle judges by this alone.
 * Times are ms of one true clock; nodes are named by their client address.
 */
export type JournalEvent =
  /** `line`: the connection of a sender that has several on the way at once, on which visits arrive in order. */
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
  /** `overtaken`: a higher revision is in force; this one may have been before, or never. */
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
  /** `version` is missing where the node says none. */
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
  /** A node that did not answer a look. */
  | { k: 'node.silent'; t: number; asked: number; node: string }
  /**
   * Whether the topic that only configuration `mark` has was in force at a node, by a publish or a subscription there.
   */
  | { k: 'mark'; t: number; asked: number; node: string; mark: number; by: 'Publish' | 'Subscribe'; seen: 'in' | 'out' }
  /**
   * From now on an auditor reads back a topic behind `cursor`; at its end it must have all that was accepted by now.
   */
  | { k: 'audit'; t: number; consumer: string; topic: string; cursor: number }
  | { k: 'audit.end'; t: number; consumer: string }
  | { k: 'node'; t: number; node: string; domain: string; role: Role }
  /**
   * What the stage does to the fleet, told when it changes. `well`: up, running, and joined to a majority of the
   * register's seats. `able`: every shard has a majority of its copies on well machines. `rough`: lossy or slow
   * anywhere, or a link cut. `poor`: consumers on thin or dead links. `ailing`: nodes that are up and not well.
   */
  | { k: 'weather'; t: number; well: string[]; ailing: string[]; able: boolean; rough: boolean; poor: string[] }
  | { k: 'closing'; t: number }
  | { k: 'end'; t: number };

/**
 * The journal of a day.
 * @example
 * journal.add({ k: 'closing' });
 */
export class Journal {
  readonly seen: JournalEvent[] = [];
  constructor(private now: () => number) {}
  add(s: JournalEvent extends infer S ? (S extends JournalEvent ? Omit<S, 't'> : never) : never): void {
    this.seen.push({ ...s, t: this.now() } as JournalEvent);
  }
}
