/** What callers and operators saw, and nothing else: the oracle judges by this alone. Times are ms of one true clock. */
export type Seen =
  | { k: 'pub.try'; t: number; try: number; sender: string; topic: string; seq: number; body: string }
  | { k: 'pub.answer'; t: number; try: number; sender: string; topic: string; seq: number; out: 'accepted' | 'rejected' | 'unknown'; offset?: number; tag?: string; node: string }
  | { k: 'conn.open'; t: number; consumer: string; conn: string; node: string }
  | { k: 'probe.lost'; t: number; consumer: string; conn: string; asked: number }
  | { k: 'conn.end'; t: number; consumer: string; conn: string; why: string }
  | { k: 'sub.ask'; t: number; consumer: string; conn: string; topic: string; cursor?: number }
  | { k: 'sub.ok'; t: number; consumer: string; conn: string; topic: string; sub: string; cursor?: number; next: number }
  | { k: 'sub.fail'; t: number; consumer: string; conn: string; topic: string; cursor?: number; tag: string }
  | { k: 'unsub.ok'; t: number; consumer: string; conn: string; topic: string }
  | { k: 'left'; t: number; consumer: string; conn: string; topic: string; sub: string; reason: string; cursor?: number }
  | { k: 'deliver'; t: number; consumer: string; conn: string; topic: string; sub: string; sender: string; seq: number; offset: number; body: string }
  | { k: 'count'; t: number; asked: number; topic: string; count: number; partial: boolean }
  | { k: 'cfg.submit'; t: number; changeId: string; expect?: number; config: unknown; valid: boolean }
  | { k: 'cfg.answer'; t: number; changeId: string; out: 'taken' | 'conflict' | 'invalid' | 'unanswered'; version?: number }
  | { k: 'cfg.read'; t: number; asked: number; version: number; config: unknown; last?: boolean }
  | { k: 'node.says'; t: number; asked: number; node: string; version: number; fresh: boolean }
  | { k: 'closing'; t: number }
  | { k: 'end'; t: number };

/**
 * The journal of a day.
 * @example
 * journal.add({ k: 'closing' });
 */
export class Journal {
  readonly seen: Seen[] = [];
  constructor(private now: () => number) {}
  add(s: Seen extends infer S ? (S extends Seen ? Omit<S, 't'> : never) : never): void {
    this.seen.push({ ...s, t: this.now() } as Seen);
  }
}
