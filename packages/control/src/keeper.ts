/** The fleet's controller: compares the agreed value with the machines that are there and plans the next step. */
import { C, loop, rank, register, type Kernel } from '@harecross/kernel';
import type { Move } from '@harecross/schema';
import type { Board, Member } from './board.js';
import { barTo, copiesOn, isBare, moveKey, waitsFor } from './fleet-state.js';
import { ForgetPlanner } from './forget.js';
import { copiesFor, targetsOf, wantedCopies } from './placement.js';
import type { Register } from './register.js';
import { firstFor, usedFor, type DiskRec, type DiskState, type MoveState, type Value } from './value.js';

/** What the owner of a shard says on the board under `key/<shard>`. */
export interface KeyRec {
  fence: string;
  gen: number;
  peer: string;
  inst: string;
  behind: string[];
}

declare module '@harecross/kernel' {
  interface Faces {
    keeper: Keeper;
  }
}

/**
 * The keeper's duty: lets disks in, takes lost ones out, moves copies. It belongs to the first live seat by
 * rendezvous; should two believe they have it, each step is still one change of the register that is checked
 * against the value it changes.
 * @example
 * k.use('keeper').mine(); // whether the duty is ours now
 */
export class Keeper {
  private lastPlan = '';
  private readonly forgetting: ForgetPlanner;

  constructor(
    private k: Kernel,
    private board: Board,
    private reg: Register,
  ) {
    const { clock, rnd } = k.host;
    this.forgetting = new ForgetPlanner(k, board);
    k.keep(loop(clock, C.keeperMs, rnd, () => this.round()));
  }

  mine(): boolean {
    const v = this.reg.value;
    if (!v || !this.reg.disk || !v.seats.includes(this.reg.disk)) return false;
    const able = v.seats.filter((d) => {
      const m = this.board.ofDisk(d);
      return m && (m.peer === this.k.self || this.board.able(m.peer));
    });
    return rank('keeper', able)[0] === this.reg.disk;
  }

  private async round(): Promise<void> {
    // Steps that follow from one another are made in one go: a second loss may be near.
    for (let i = 0; i < C.keeperStepsN; i++) {
      if (!this.reg.fresh() || this.k.phase !== 'running' || !this.mine()) return;
      if (!this.plan(this.reg.value!)) return;
      const said = await this.reg.change((v) => {
        const next = this.plan(v);
        return { next, out: next ? this.lastPlan : '' };
      }, C.callMs * 3);
      if (!said) return;
      this.k.count('keeper.steps');
      this.k.host.log.info(`keeper: ${said}`);
    }
  }

  /** The next step from this value, if one is due. */
  private plan(v: Value): Value | undefined {
    return this.planDisks(v) ?? this.planSeats(v) ?? this.planMoves(v) ?? this.planShards(v) ?? this.planForgetting(v);
  }

  /** Last of all: it frees room, and nothing waits for it. */
  private planForgetting(v: Value): Value | undefined {
    const due = this.forgetting.plan(v);
    if (due) this.lastPlan = `records of ${due.forgotten.join(', ')} are forgotten`;
    return due?.next;
  }

  /** Begins and ends the moves of the calendar. A move runs once: its state is in the register. */
  private planMoves(v: Value): Value | undefined {
    const now = this.k.host.clock.wall();
    const turn = (m: Move, state: MoveState, why: string, x: Partial<Value> = {}): Value => {
      this.lastPlan = `move ${m.id} (${m.kind} ${m.node}): ${state}${why ? `, ${why}` : ''}`;
      return { ...v, ...x, moves: new Map(v.moves).set(moveKey(m), { state, why }) };
    };
    for (const m of v.config.moves ?? []) {
      const r = v.moves.get(moveKey(m));
      const disk = [...v.disks.values()].find((d) => d.peer === m.node && d.state !== 'lost');
      switch (r?.state) {
        case undefined: {
          if (now < m.from) break;
          if (now >= m.until) return turn(m, 'missed', 'its time passed before it could begin');
          if (m.kind === 'add') return turn(m, 'running', '');
          const bar = barTo(v, m, disk, this.board);
          if (bar) break; // tried again until its time has passed
          if (m.kind === 'restart') return turn(m, 'running', '');
          if (!disk) return turn(m, 'refused', `${m.node} has no disk`);
          return turn(m, 'running', '', { disks: new Map(v.disks).set(disk.id, { ...disk, state: 'emptying' }) });
        }
        case 'running':
        case 'late':
          switch (m.kind) {
            case 'empty':
              if (!disk || disk.state !== 'emptying') return turn(m, 'refused', 'the emptying was taken back');
              if (isBare(v, disk.id)) return turn(m, 'done', '');
              if (r.state === 'running' && now >= m.until)
                return turn(m, 'late', `${copiesOn(v, disk.id)} copies are still there`);
              break;
            case 'restart':
              if (now >= m.until) return turn(m, 'done', '');
              break;
            case 'add': {
              const there = this.board.live().find((x) => x.peer === m.node);
              if (there && (!there.disk || (disk && copiesOn(v, disk.id) > 0))) return turn(m, 'done', '');
              if (now >= m.until) return turn(m, 'missed', 'the machine did not come');
              break;
            }
          }
          break;
        case 'done':
        case 'missed':
        case 'refused':
          break;
      }
    }
    return undefined;
  }

  private planDisks(v: Value): Value | undefined {
    const now = this.k.host.clock.now();
    const disks = new Map(v.disks);
    const said: string[] = [];
    for (const m of this.board.live()) {
      if (!m.disk || now - m.liveSince < C.joinAfterMs || this.k.host.clock.wall() < waitsFor(v, m.peer)) continue;
      const d = disks.get(m.disk);
      if (!d) {
        disks.set(m.disk, {
          id: m.disk,
          peer: m.peer,
          domain: m.domain,
          state: stateOnJoining(m),
          uses: m.diskUses,
          name: m.name,
          ms: m.diskMs,
        });
        said.push(`disk ${m.disk} joins at ${m.peer}`);
        for (const o of v.disks.values()) {
          if (o.peer === m.peer && o.state !== 'lost') {
            disks.set(o.id, { ...o, state: 'lost' });
            said.push(`disk ${o.id} was replaced`);
          }
        }
      } else if (d.peer !== m.peer || d.domain !== m.domain || d.state === 'lost') {
        const state = d.state === 'lost' ? stateOnJoining(m) : d.state;
        disks.set(d.id, { ...d, peer: m.peer, domain: m.domain, state });
        said.push(`disk ${d.id} is back at ${m.peer}`);
      }
    }
    for (const d of v.disks.values()) {
      if (d.state !== 'active' || disks.get(d.id)!.state === 'lost') continue;
      const m = this.board.ofDisk(d.id);
      const goneSince = m ? m.seenAt : this.k.startedAt;
      const gone = m?.state === 'live' ? 0 : now - goneSince;
      const spare = gone > C.spareAfterMs && !isBare(v, d.id) ? this.spareFor(v, d, disks) : undefined;
      if (spare !== undefined) {
        disks.set(d.id, { ...d, state: 'lost' });
        said.push(`disk ${d.id} gives its place to ${spare}`);
      } else if (gone > C.replaceAfterMs) {
        disks.set(d.id, { ...d, state: 'lost' });
        said.push(`disk ${d.id} is lost`);
      }
    }
    if (!said.length) return undefined;
    this.lastPlan = said.join(', ');
    return { ...v, disks };
  }

  /** A live disk of the same uses that holds nothing, and that no lost one waits for. */
  private spareFor(v: Value, gone: DiskRec, disks: Map<string, DiskRec>): string | undefined {
    const same = (d: DiskRec): boolean =>
      (['seat', 'copies'] as const).every((use) => usedFor(d, use) === usedFor(gone, use));
    const bare = [...disks.values()].filter(
      (d) =>
        d.state === 'active' &&
        same(d) &&
        v.disks.has(d.id) &&
        isBare(v, d.id) &&
        this.board.ofDisk(d.id)?.state === 'live',
    );
    const waiting = [...disks.values()].filter((d) => d.state === 'lost' && same(d) && !isBare(v, d.id));
    return bare[waiting.length]?.id;
  }

  private planSeats(v: Value): Value | undefined {
    const live = (d: string): boolean => {
      const m = this.board.ofDisk(d);
      return m !== undefined && this.board.isLive(m.peer);
    };
    const fit = (d: DiskRec): boolean => d.state === 'active' && usedFor(d, 'seat') && live(d.id);
    const bad = v.seats.filter((d) => v.disks.get(d)?.state !== 'active');
    const good = v.seats.length - bad.length;
    const want = Math.min(
      v.seatsWanted ?? C.seatsN,
      [...v.disks.values()].filter((d) => d.state === 'active' && usedFor(d, 'seat')).length,
    );
    const odd = want % 2 === 0 ? Math.max(1, want - 1) : want;
    const perDomain = (dom: string): number => v.seats.filter((s) => v.disks.get(s)?.domain === dom).length;
    if (good < odd) {
      const cand = rank(
        'seat',
        [...v.disks.values()].filter((d) => fit(d) && !v.seats.includes(d.id)),
        (d) => d.id,
      )
        // Disks that are for nothing else first: seats are confirmed by every node, and copies have work of their own.
        .sort(
          (a, b) =>
            Number(firstFor(a, 'copies')) - Number(firstFor(b, 'copies')) || perDomain(a.domain) - perDomain(b.domain),
        )[0];
      if (cand) {
        this.lastPlan = `seat for ${cand.id}`;
        return { ...v, seats: [...v.seats, cand.id] };
      }
    }
    const drop =
      bad[0] ?? (v.seats.length > odd ? [...v.seats].sort((a, b) => Number(live(a)) - Number(live(b)))[0] : undefined);
    if (drop === undefined || (good < odd && bad.length === 0) || awaits(v, v.seats, v.seatsWanted ?? C.seatsN)) {
      // Until the next change a majority of the seats before is needed too: that change is made now.
      if (v.seats.join() === v.prevSeats.join()) return undefined;
      this.lastPlan = 'seats are settled';
      return { ...v };
    }
    const left = v.seats.filter((d) => d !== drop);
    if (left.filter(live).length * 2 <= left.length) return undefined;
    this.lastPlan = `seat of ${drop} is given up`;
    return { ...v, seats: left };
  }

  private planShards(v: Value): Value | undefined {
    const active = [...v.disks.values()].filter((d) => d.state === 'active' && usedFor(d, 'copies'));
    if (!active.length) return undefined;
    const shards = new Map(v.shards);
    let steps = 0;
    let moving = 0;
    const targets = targetsOf(v.config, active, v.copies);
    for (const [s, p] of v.shards) {
      const target = targets.get(s)!;
      const missing = target.filter((d) => !p.copies.includes(d));
      const extra = p.copies.filter((d) => !target.includes(d));
      if (!missing.length && !extra.length) continue;
      if (!p.copies.length) {
        // Placed when no disk for copies was known: nothing was ever kept, so there is nothing to carry over.
        shards.set(s, { gen: p.gen + 1, copies: target });
        steps++;
        continue;
      }
      const repair = extra.some((d) => v.disks.get(d)?.state === 'lost');
      if (++moving > (repair ? C.repairingN : C.movingN)) continue;
      // The last step must be established (an owner serves under this generation) before the next.
      const key = this.board.get(`key/${s}`) as KeyRec | undefined;
      if (!key || key.gen !== p.gen || !this.board.isLive(key.peer)) continue;
      if (missing.length) {
        const d = missing.find((x) => {
          const m = this.board.ofDisk(x);
          return m && this.board.isLive(m.peer);
        });
        if (!d) continue;
        shards.set(s, { gen: p.gen + 1, copies: [...p.copies, d] });
        steps++;
      } else if (
        !awaits(v, p.copies, wantedCopies(v.config, s, v.copies)) &&
        !target.some((d) => key.behind.includes(d))
      ) {
        const d = extra.find((x) => v.disks.get(x)?.state === 'lost') ?? extra[0]!;
        shards.set(s, { gen: p.gen + 1, copies: p.copies.filter((x) => x !== d) });
        steps++;
      }
    }
    if (!steps) return undefined;
    this.lastPlan = `${steps} copies move`;
    return { ...v, shards };
  }
}

/** A disk that was emptied for an operator stays so until that is taken back, however long it was away. */
const stateOnJoining = (m: Member): DiskState => (m.emptied ? 'emptying' : 'active');

/**
 * Whether a lost disk's place among those that hold something is kept for it: it is given up only once there is another. With
 * fewer disks just now, what is accepted or agreed meanwhile would not outlive the next loss.
 */
function awaits(v: Value, set: string[], wanted: number): boolean {
  const there = set.filter((d) => v.disks.get(d)?.state !== 'lost');
  return (
    there.length < set.length && there.length < Math.min(copiesFor(set.length, set.length), copiesFor(wanted, wanted))
  );
}

register({
  name: 'keeper',
  needs: ['board', 'register'],
  setup: (k) => new Keeper(k, k.use('board'), k.use('register')),
});
