/** Bootstrap of the consensus register: the first value of a fleet, agreed on by all three seeds. */
import { C, type Kernel } from '@harecross/kernel';
import type { Board } from '../board.js';
import { matchCopies } from '../placement.js';
import { fromText, toText } from '../text.js';
import { usedFor, type DiskRec, type Placement, type Value } from '../value.js';
import type { Accepted, BallotSource, Prepared } from './ballots.js';

/** Founds the fleet, once. */
export class Bootstrap {
  constructor(
    private kernel: Kernel,
    private board: Board,
    private ballots: BallotSource,
    /** The value that is known here, if any. */
    private known: () => Value | undefined,
    /** Called with the first value once it is chosen. */
    private learn: (v: Value) => void,
  ) {}

  /**
   * Founding. Only the first seed founds, and only while all three seeds answer that their disks belong to no
   * fleet: asking, preparing and accepting all need all three. A value accepted anywhere is on a seed's disk and is
   * found again; a disk that learns of its fleet marks it, with a seat or without. So a second fleet could arise only
   * if all three seeds' disks were emptied together and none had joined since.
   */
  async found(): Promise<void> {
    const { config, clock, rnd } = this.kernel.host;
    if (this.known() || config.firstStart === false) return;
    const since = clock.now() - this.kernel.startedAt;
    if (since < C.foundAfterMs) return;
    const wanted = config.losses === undefined ? C.copiesN : 2 * config.losses + 1;
    if (since < C.foundAnywayMs && this.board.live().filter((m) => m.diskUses?.[0] === 'copies').length < wanted)
      return;
    const who = await Promise.all(
      config.seeds.map((s) =>
        this.kernel.call<{ disk: string; fleet?: string }>(s, 'RegWho', {}).catch(() => undefined),
      ),
    );
    if (who.some((w) => !w || w.fleet !== undefined)) return;
    const seats = who.map((w) => w!.disk);
    const ballot = this.ballots.next();
    const ps = await Promise.all(
      seats.map((d, i) =>
        this.kernel.call<Prepared>(config.seeds[i]!, 'RegPrepare', { disk: d, ballot }).catch(() => undefined),
      ),
    );
    for (const p of ps) if (p && !p.ok) this.ballots.outbid(p.promised);
    if (ps.some((p) => !p?.ok)) return;
    const held = ps
      .filter((p) => p!.value)
      .reduce<Prepared | undefined>((a, b) => (!a || b!.ballot > a.ballot ? b : a), undefined);
    // A founding that was cut short: the same value, not another one.
    const v = held ? fromText(held.value!) : this.genesis(seats, `${Math.floor(rnd.next() * 2 ** 48).toString(36)}`);
    if (v.rev !== 1) return; // a fleet that lives: the ordinary way finds it
    const value = toText(v);
    const as = await Promise.all(
      seats.map((d, i) =>
        this.kernel
          .call<Accepted>(config.seeds[i]!, 'RegAccept', { disk: d, ballot, value, promisedAt: ps[i]!.at })
          .catch(() => undefined),
      ),
    );
    if (as.every((a) => a?.ok)) {
      this.kernel.host.log.info('fleet founded', { fleet: v.fleet, disks: v.disks.size });
      this.learn(v);
    }
  }

  private genesis(seats: string[], fleet: string): Value {
    const disks = new Map<string, DiskRec>();
    for (const m of this.board.live())
      if (m.disk)
        disks.set(m.disk, {
          id: m.disk,
          peer: m.peer,
          domain: m.domain,
          state: 'active',
          uses: m.diskUses,
          name: m.name,
          ms: m.diskMs,
        });
    seats.forEach((d, i) => {
      if (!disks.has(d))
        disks.set(d, { id: d, peer: this.kernel.host.config.seeds[i]!, domain: '', state: 'active', uses: ['seat'] });
    });
    const { losses } = this.kernel.host.config;
    const copies = losses === undefined ? C.copiesN : 2 * losses + 1;
    const keepers = [...disks.values()].filter((d) => usedFor(d, 'copies'));
    const shards = new Map(
      [...matchCopies(keepers, copies)].map(([s, at]) => [s, { gen: 1, copies: at }] as [number, Placement]),
    );
    return {
      fleet,
      rev: 1,
      version: 0,
      changeId: '',
      config: { families: [] },
      eras: new Map(),
      disks,
      seats,
      prevSeats: seats,
      shards,
      copies,
      seatsWanted: losses === undefined ? C.seatsN : Math.min(C.seatsN, Math.max(3, 2 * losses + 1)),
      changes: new Map(),
      moves: new Map(),
    };
  }
}
