/** Bootstrap of the consensus register: the first value of a fleet, agreed on by all three seeds. */
import { REGISTER, SHARD, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import { matchCopies } from '../placement/placement.js';
import { deserializeValue, serializeValue } from '../value/value-text.js';
import { isUsedFor, type DiskRecord, type Placement, type FleetValue } from '../value/fleet-value.js';
import type { Accepted, BallotSource, Prepared } from './ballots.js';

/** Founds the fleet, once. */
export class Bootstrap {
  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private ballots: BallotSource,
    /** The value that is known here, if any. */
    private known: () => FleetValue | undefined,
    /** Called with the first value once it is chosen. */
    private learn: (v: FleetValue) => void,
  ) {}

  /**
   * Founding. Only the first seed founds, and only while all three seeds answer that their disks belong to no
   * fleet: asking, preparing and accepting all need all three. A value accepted anywhere is on a seed's disk and is
   * found again; a disk that learns of its fleet marks it, with a seat or without. So a second fleet could arise only
   * if all three seeds' disks were emptied together and none had joined since.
   */
  async tryBootstrap(): Promise<void> {
    const { config, clock, random } = this.kernel.host;
    if (this.known() || config.firstStart === false) return;
    const since = clock.now() - this.kernel.startedAt;
    if (since < REGISTER.bootstrapAfterMs) return;
    const wanted = config.losses === undefined ? SHARD.replicaCount : 2 * config.losses + 1;
    if (
      since < REGISTER.bootstrapAnywayMs &&
      this.membership.liveMembers().filter((m) => m.diskUses?.[0] === 'copies').length < wanted
    )
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
    const v = held
      ? deserializeValue(held.value!)
      : this.genesis(seats, `${Math.floor(random.next() * 2 ** 48).toString(36)}`);
    if (v.rev !== 1) return; // a fleet that lives: the ordinary way finds it
    const value = serializeValue(v);
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

  private genesis(seats: string[], fleet: string): FleetValue {
    const disks = new Map<string, DiskRecord>();
    for (const m of this.membership.liveMembers())
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
    const copies = losses === undefined ? SHARD.replicaCount : 2 * losses + 1;
    const keepers = [...disks.values()].filter((d) => isUsedFor(d, 'copies'));
    const shards = new Map(
      [...matchCopies(keepers, copies)].map(([s, at]) => [s, { gen: 1, copies: at }] as [number, Placement]),
    );
    return {
      fleet,
      rev: 1,
      version: 0,
      changeId: '',
      config: { families: [] },
      incarnations: new Map(),
      disks,
      voters: seats,
      previousVoters: seats,
      shards,
      copies,
      votersWanted:
        losses === undefined ? REGISTER.voterCount : Math.min(REGISTER.voterCount, Math.max(3, 2 * losses + 1)),
      changes: new Map(),
      moves: new Map(),
    };
  }
}
