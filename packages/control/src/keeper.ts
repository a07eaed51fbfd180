import { C, Kernel, loop, rank, register } from '@harecross/kernel';
import { configFaults, type FleetConfig } from '@harecross/schema';
import { Failure } from '@harecross/kernel';
import type { Board } from './board.js';
import { matchCopies, notReady, type DiskRec, type Register, type Value } from './register.js';

/** What the owner of a shard says on the board under `key/<shard>`. */
export interface KeyRec { fence: string; gen: number; peer: string; inst: string; behind: string[] }

declare module '@harecross/kernel' {
  interface Faces { keeper: Keeper; operators: Operators }
}

/**
 * The keeper's duty: lets disks in, takes lost ones out, moves copies. It belongs to the first live seat by
 * rendezvous; should two believe they have it, each step is still one change of the register that is checked
 * against the value it changes.
 */
export class Keeper {
  private lastPlan = '';

  constructor(private k: Kernel, private board: Board, private reg: Register) {
    const { clock, rnd } = k.host;
    k.keep(loop(clock, C.keeperMs, rnd, () => this.round()));
  }

  mine(): boolean {
    const v = this.reg.value;
    if (!v || !this.reg.disk || !v.seats.includes(this.reg.disk)) return false;
    const able = v.seats.filter((d) => { const m = this.board.ofDisk(d); return m && (m.peer === this.k.self || this.board.able(m.peer)); });
    return rank('keeper', able)[0] === this.reg.disk;
  }

  private async round(): Promise<void> {
    if (!this.reg.fresh() || this.k.phase !== 'running' || !this.mine()) return;
    if (!this.plan(this.reg.value!)) return;
    const said = await this.reg.change((v) => {
      const next = this.plan(v);
      return { next, out: next ? this.lastPlan : '' };
    }, C.callMs * 3);
    if (said) { this.k.count('keeper.steps'); this.k.host.log.info(`keeper: ${said}`); }
  }

  /** The next step from this value, if one is due. */
  private plan(v: Value): Value | undefined {
    return this.planDisks(v) ?? this.planSeats(v) ?? this.planShards(v);
  }

  private planDisks(v: Value): Value | undefined {
    const now = this.k.host.clock.now();
    const disks = new Map(v.disks);
    const said: string[] = [];
    for (const m of this.board.live()) {
      if (!m.disk || now - m.liveSince < C.joinAfterMs) continue;
      const d = disks.get(m.disk);
      if (!d) {
        disks.set(m.disk, { id: m.disk, peer: m.peer, domain: m.domain, state: 'active' });
        said.push(`disk ${m.disk} joins at ${m.peer}`);
        for (const o of v.disks.values()) {
          if (o.peer === m.peer && o.state !== 'lost') { disks.set(o.id, { ...o, state: 'lost' }); said.push(`disk ${o.id} was replaced`); }
        }
      } else if (d.peer !== m.peer || d.domain !== m.domain || d.state === 'lost') {
        disks.set(d.id, { ...d, peer: m.peer, domain: m.domain, state: d.state === 'lost' ? 'active' : d.state });
        said.push(`disk ${d.id} is back at ${m.peer}`);
      }
    }
    for (const d of v.disks.values()) {
      if (d.state === 'lost' || disks.get(d.id)!.state === 'lost') continue;
      const m = this.board.ofDisk(d.id);
      const gone = m ? (m.state === 'live' ? 0 : now - m.seenAt) : now - (Number(this.k.inst.split('-')[0]) || now);
      if (gone > C.replaceAfterMs) { disks.set(d.id, { ...d, state: 'lost' }); said.push(`disk ${d.id} is lost`); }
    }
    if (!said.length) return undefined;
    this.lastPlan = said.join(', ');
    return { ...v, disks };
  }

  private planSeats(v: Value): Value | undefined {
    const live = (d: string): boolean => { const m = this.board.ofDisk(d); return m !== undefined && this.board.isLive(m.peer); };
    const fit = (d: DiskRec): boolean => d.state === 'active' && live(d.id);
    const bad = v.seats.filter((d) => v.disks.get(d)?.state !== 'active');
    const good = v.seats.length - bad.length;
    const want = Math.min(C.seatsN, [...v.disks.values()].filter((d) => d.state === 'active').length);
    const odd = want % 2 === 0 ? Math.max(1, want - 1) : want;
    const perDomain = (dom: string): number => v.seats.filter((s) => v.disks.get(s)?.domain === dom).length;
    if (good < odd) {
      const cand = rank('seat', [...v.disks.values()].filter((d) => fit(d) && !v.seats.includes(d.id)), (d) => d.id)
        .sort((a, b) => perDomain(a.domain) - perDomain(b.domain))[0];
      if (cand) { this.lastPlan = `seat for ${cand.id}`; return { ...v, seats: [...v.seats, cand.id] }; }
    }
    const drop = bad[0] ?? (v.seats.length > odd ? [...v.seats].sort((a, b) => Number(live(a)) - Number(live(b)))[0] : undefined);
    if (drop === undefined || (good < odd && bad.length === 0)) return undefined;
    const left = v.seats.filter((d) => d !== drop);
    if (left.filter(live).length * 2 <= left.length) return undefined;
    this.lastPlan = `seat of ${drop} is given up`;
    return { ...v, seats: left };
  }

  private planShards(v: Value): Value | undefined {
    const active = [...v.disks.values()].filter((d) => d.state === 'active');
    if (!active.length) return undefined;
    const shards = new Map(v.shards);
    let steps = 0;
    let moving = 0;
    for (const [s, p] of v.shards) {
      const target = matchCopies(s, active, v.config.copies ?? C.copiesN);
      const missing = target.filter((d) => !p.copies.includes(d));
      const extra = p.copies.filter((d) => !target.includes(d));
      if (!missing.length && !extra.length) continue;
      if (++moving > C.movingN) break;
      // The last step must be established (an owner serves under this generation) before the next.
      const key = this.board.get(`key/${s}`) as KeyRec | undefined;
      if (!key || key.gen !== p.gen || !this.board.isLive(key.peer)) continue;
      if (missing.length) {
        const d = missing.find((x) => { const m = this.board.ofDisk(x); return m && this.board.isLive(m.peer); });
        if (!d) continue;
        shards.set(s, { gen: p.gen + 1, copies: [...p.copies, d] });
        steps++;
      } else if (!target.some((d) => key.behind.includes(d))) {
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

/** What operators ask of the register. */
export class Operators {
  constructor(private k: Kernel, private reg: Register) {}

  /** Takes a configuration, or gives the first outcome of its changeId. */
  async submit(b: { changeId: string; expect?: number; config: unknown }): Promise<{ version: number }> {
    const faults = configFaults(b.config);
    if (faults.length) throw new Failure({ tag: 'invalid_config', step: 'SubmitConfig', peer: this.k.self, faults });
    if (!this.reg.value) throw notReady(this.k, 'SubmitConfig');
    const config = b.config as FleetConfig;
    const o = await this.reg.change((v) => {
      const first = v.changes.get(b.changeId);
      if (first) return { out: first };
      const changes = new Map(v.changes);
      if (b.expect !== undefined && b.expect !== v.version) {
        const out = { tag: 'conflict' as const, version: v.version };
        changes.set(b.changeId, out);
        return { next: { ...v, changes: trimmed(changes) }, out };
      }
      const version = v.version + 1;
      const born = new Map<string, number>();
      for (const f of config.families) born.set(f.name, v.born.get(f.name) ?? version);
      const out = { tag: 'taken' as const, version };
      changes.set(b.changeId, out);
      return { next: { ...v, version, changeId: b.changeId, config, born, changes: trimmed(changes) }, out };
    });
    switch (o.tag) {
      case 'taken': return { version: o.version };
      case 'conflict': throw new Failure({ tag: 'conflict', step: 'SubmitConfig', peer: this.k.self, version: o.version });
    }
  }

  async readConfig(): Promise<{ version: number; changeId: string; config: unknown }> {
    if (!this.reg.value) throw notReady(this.k, 'ReadConfig');
    const v = (await this.reg.confirm()) ? this.reg.value! : await this.reg.read();
    return { version: v.version, changeId: v.changeId, config: v.config };
  }

  async setDisk(disk: string, state: 'active' | 'emptying', step: string): Promise<{ disk: string; state: string }> {
    if (!this.reg.value) throw notReady(this.k, step);
    return this.reg.change((v) => {
      const d = v.disks.get(disk);
      if (!d) throw new Failure({ tag: 'unknown_disk', step, peer: this.k.self, disk });
      if (d.state === state) return { out: { disk, state } };
      if (d.state === 'lost') throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: `disk ${disk} is lost` });
      const disks = new Map(v.disks).set(disk, { ...d, state });
      const left = [...disks.values()].filter((x) => x.state === 'active').length;
      const copies = Math.min(v.config.copies ?? C.copiesN, v.disks.size);
      if (state === 'emptying' && left < Math.min(3, copies)) {
        throw new Failure({ tag: 'wont_hold', step, peer: this.k.self, detail: `${left} active disks would be left; a majority that bears a loss needs 3` });
      }
      return { next: { ...v, disks }, out: { disk, state } };
    });
  }
}

function trimmed<T>(m: Map<string, T>): Map<string, T> {
  while (m.size > C.changeIdsN) m.delete(m.keys().next().value!);
  return m;
}

register({ name: 'keeper', needs: ['board', 'register'], setup: (k) => new Keeper(k, k.use('board'), k.use('register')) });
register({ name: 'operators', needs: ['register'], setup: (k) => new Operators(k, k.use('register')) });
