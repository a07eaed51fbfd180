import type { Board, Register } from '@harecross/control';
import { C, Failure, type Kernel, faultOf } from '@harecross/kernel';
import { NO_FENCE, type Entry } from '@harecross/state';
import { packBase, packEntry, type Appended, type WireEntry } from './copies.js';
import type { Key } from './key.js';

/** What the owner does when replication has news for it. */
export interface Hooks {
  /** An entry is on a majority of the copies; `fan` when it became so under our own fence. */
  agreed(key: Key, e: Entry, fan: boolean): void;
  /** A copy has promised a higher fence. */
  fenced(key: Key): void;
}

/**
 * Brings a key's log to its copies: appends one at a time to each, snapshots to those behind the base, and says what a majority has.
 * @example
 * replication.kick(key, false); // there is something new to send
 */
export class Replication {
  constructor(private k: Kernel, private board: Board, private reg: Register, private hooks: Hooks) {}

  /** Keeps in touch with the copies. Without a majority's answer, what waits is told that its outcome is unknown. */
  beat(key: Key): void {
    this.kick(key, true);
    if (key.state !== 'owner' || this.k.host.clock.now() - key.heardAt() <= C.doubtMs) return;
    for (const w of key.waits.splice(0)) w.rej(new Failure({ tag: 'timeout', step: 'Publish', peer: this.k.self }));
  }

  kick(key: Key, beat: boolean): void {
    if (key.state === 'none' || !key.base || key.fence === NO_FENCE) return;
    for (const d of key.copies) void this.send(key, d, beat);
  }

  private async send(key: Key, disk: string, beat: boolean): Promise<void> {
    if (key.flying.has(disk)) return;
    const fence = key.fence;
    const next = key.next.get(disk) ?? key.last() + 1;
    if (next > key.last() && !beat) return;
    const peer = this.reg.peerOf(disk);
    if (!peer || (peer !== this.k.self && !this.board.isLive(peer) && !beat)) return;
    key.flying.add(disk);
    const { clock } = this.k.host;
    const now = clock.now();
    let again = false;
    try {
      let r: Appended;
      if (next <= key.base.idx) {
        r = await this.k.call<Appended>(peer, 'Install', { disk, shard: key.shard, fence, base: packBase(key.base, now), entries: key.log.map(packEntry(now)) }, C.snapshotMs);
      } else {
        const entries: WireEntry[] = key.log.slice(next - key.base.idx - 1, next - key.base.idx - 1 + C.appendN).map(packEntry(now));
        r = await this.k.call<Appended>(peer, 'Append', { disk, shard: key.shard, fence, prevIdx: next - 1, prevFence: key.fenceAt(next - 1), entries, trimTo: key.trimTo }, C.appendMs);
      }
      if (key.fence !== fence || key.state === 'none') return;
      switch (r.tag) {
        case 'ok':
          key.ackAt.set(disk, now);
          key.match.set(disk, Math.max(key.match.get(disk) ?? 0, r.match));
          key.next.set(disk, Math.max(r.match, key.match.get(disk)!) + 1);
          this.advance(key);
          again = key.next.get(disk)! <= key.last();
          break;
        case 'behind':
          key.next.set(disk, Math.max(Math.min(r.last + 1, next - 1), 0));
          again = true;
          break;
        case 'fenced':
          this.hooks.fenced(key);
          return;
      }
    } catch (e) {
      this.k.count('append.fail');
      const f = faultOf(e, 'append', peer);
      if (f.tag === 'internal') this.k.host.log.warn('append failed', { fault: f, stack: e instanceof Error ? e.stack : undefined });
    } finally {
      if (key.fence === fence) key.flying.delete(disk);
    }
    if (again) void this.send(key, disk, false);
  }

  private advance(key: Key): void {
    const ms = key.copies.map((d) => key.match.get(d) ?? 0).sort((a, b) => b - a);
    const n = ms[Math.floor(key.copies.length / 2)]!;
    if (n <= key.commit || n <= key.base.idx || key.fenceAt(n) !== key.fence) return;
    const from = Math.max(key.commit, key.base.idx);
    key.commit = n;
    for (const e of key.log.slice(from - key.base.idx, n - key.base.idx)) this.hooks.agreed(key, e, e.fence === key.fence);
    const left: typeof key.waits = [];
    for (const w of key.waits) { if (w.idx <= n) w.res(); else left.push(w); }
    key.waits = left;
  }
}
