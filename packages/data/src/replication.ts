import type { Board, Register } from '@harecross/control';
import { C, Failure, type Kernel, faultOf } from '@harecross/kernel';
import { NO_FENCE, type Entry } from '@harecross/state';
import { packBase, packEntry, type Appended, type Beat, type WireEntry } from './copies.js';
import type { Key } from './key.js';

/** What the owner does when replication has news for it. */
export interface Hooks {
  /** An entry is on a majority of the copies; `fan` when it became so under our own fence. */
  agreed(key: Key, e: Entry, fan: boolean): void;
  /** A copy has promised a higher fence. */
  fenced(key: Key): void;
  /** A copy that lacked some of the history that the owner began with has it now. */
  caughtUp(key: Key): void;
}

/**
 * Brings a key's log to its copies: appends one at a time to each, snapshots to those behind the base, and says what a majority has.
 * @example
 * replication.kick(key, false); // there is something new to send
 */
export class Replication {
  /** Disks to which beats are under way. */
  private beating = new Set<string>();

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
    private hooks: Hooks,
  ) {}

  /**
   * Keeps in touch with the copies: one call to each disk for all keys, where appends did not say it lately. Without a majority's
   * answer, what waits is told that its outcome is unknown.
   */
  beats(keys: Iterable<Key>): void {
    const now = this.k.host.clock.now();
    const quiet = new Map<string, Key[]>();
    for (const key of keys) {
      if (key.state === 'none' || !key.base || key.fence === NO_FENCE) continue;
      for (const d of key.copies) {
        if (key.flying.has(d)) continue;
        if ((key.next.get(d) ?? key.last() + 1) <= key.last()) {
          void this.send(key, d, true);
          continue;
        }
        if (now - (key.ackAt.get(d) ?? -Infinity) < C.beatMs / 2) continue;
        let ks = quiet.get(d);
        if (!ks) {
          ks = [];
          quiet.set(d, ks);
        }
        ks.push(key);
      }
      if (key.state !== 'owner' || now - key.heardAt() <= C.doubtMs) continue;
      for (const w of key.waits.splice(0)) w.rej(new Failure({ tag: 'timeout', step: 'Publish', peer: this.k.self }));
    }
    for (const [disk, ks] of quiet) void this.beat(disk, ks);
  }

  private async beat(disk: string, keys: Key[]): Promise<void> {
    const peer = this.reg.peerOf(disk);
    if (!peer || this.beating.has(disk)) return;
    const now = this.k.host.clock.now();
    const said = keys.map((key) => ({ key, fence: key.fence, at: key.last() }));
    const beats = said.map(({ key, fence, at }): Beat => [key.shard, fence, at, key.fenceAt(at), key.trimTo]);
    this.beating.add(disk);
    try {
      const not = new Map(await this.k.call<[number, Appended][]>(peer, 'Beats', { disk, beats }, C.appendMs));
      for (const { key, fence, at } of said) {
        if (key.fence !== fence || key.state === 'none') continue;
        if (this.took(key, disk, now, at + 1, not.get(key.shard) ?? { tag: 'ok', disk, match: at }))
          void this.send(key, disk, false);
      }
    } catch (e) {
      this.failed(e, 'beat', peer);
    } finally {
      this.beating.delete(disk);
    }
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
        r = await this.k.call<Appended>(
          peer,
          'Install',
          { disk, shard: key.shard, fence, base: packBase(key.base, now), entries: key.log.map(packEntry(now)) },
          C.snapshotMs,
        );
      } else {
        const entries: WireEntry[] = key.log
          .slice(next - key.base.idx - 1, next - key.base.idx - 1 + C.appendN)
          .map(packEntry(now));
        r = await this.k.call<Appended>(
          peer,
          'Append',
          {
            disk,
            shard: key.shard,
            fence,
            prevIdx: next - 1,
            prevFence: key.fenceAt(next - 1),
            entries,
            trimTo: key.trimTo,
          },
          C.appendMs,
        );
      }
      if (key.fence !== fence || key.state === 'none') return;
      again = this.took(key, disk, now, next, r);
    } catch (e) {
      this.failed(e, 'append', peer);
    } finally {
      if (key.fence === fence) key.flying.delete(disk);
    }
    if (again) void this.send(key, disk, false);
  }

  private failed(e: unknown, step: 'append' | 'beat', peer: string): void {
    this.k.count(`${step}.fail`);
    const f = faultOf(e, step, peer);
    if (f.tag === 'internal')
      this.k.host.log.warn(`${step} failed`, { fault: f, stack: e instanceof Error ? e.stack : undefined });
  }

  /** Takes a copy's answer to what was sent from `next` on, asked at `now`; says whether there is more to send it. */
  private took(key: Key, disk: string, now: number, next: number, r: Appended): boolean {
    switch (r.tag) {
      case 'ok':
        key.ackAt.set(disk, Math.max(now, key.ackAt.get(disk) ?? -Infinity));
        this.matched(key, disk, r.match);
        return key.next.get(disk)! <= key.last();
      case 'behind':
        key.next.set(disk, Math.max(Math.min(r.last + 1, next - 1), 0));
        return true;
      case 'fenced':
        this.hooks.fenced(key);
        return false;
    }
  }

  private matched(key: Key, disk: string, match: number): void {
    const before = key.match.get(disk) ?? 0;
    const now = Math.max(before, match);
    key.match.set(disk, now);
    key.next.set(disk, now + 1);
    this.advance(key);
    if (before < key.barrier && now >= key.barrier) this.hooks.caughtUp(key);
  }

  private advance(key: Key): void {
    const ms = key.copies.map((d) => key.match.get(d) ?? 0).sort((a, b) => b - a);
    const n = ms[Math.floor(key.copies.length / 2)]!;
    if (n <= key.commit || n <= key.base.idx || key.fenceAt(n) !== key.fence) return;
    const from = Math.max(key.commit, key.base.idx);
    key.commit = n;
    for (const e of key.log.slice(from - key.base.idx, n - key.base.idx))
      this.hooks.agreed(key, e, e.fence === key.fence);
    const left: typeof key.waits = [];
    for (const w of key.waits) {
      if (w.idx <= n) w.res();
      else left.push(w);
    }
    key.waits = left;
  }
}
