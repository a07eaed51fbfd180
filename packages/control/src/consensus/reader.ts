/** The reader's part of the consensus register: confirms at a majority that the value known here is the newest. */
import { REGISTER, collectUntil, sleep, withTimeout, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import type { FleetValue } from '../value/fleet-value.js';
import type { Acceptor } from './acceptor.js';
import { allVoters, isMajority, voterSets, type CallVoters, type BallotGenerator, type VoterState } from './ballots.js';
import type { ReadLease } from './read-lease.js';

/** What the reader needs of the register. */
export interface ReaderContext {
  ask: CallVoters;
  value(): FleetValue | undefined;
  peerOf(disk: string): string | undefined;
  /** Fetches a peer's value, if it has one. */
  fetch(peer: string): Promise<void>;
  /** Called with a value that was found to be chosen. */
  learn(v: FleetValue): void;
  /** Reads by a ballot, which finishes what hangs between accepted and chosen. */
  readByBallot(): Promise<unknown>;
}

/** Renews the read lease by asking voters what they accepted; needs no ballot and no disk. */
export class Reader {
  /** The voter that is asked first comes in turn. */
  private turn = 0;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private ballots: BallotGenerator,
    private lease: ReadLease,
    private acceptor: Acceptor | undefined,
    private context: ReaderContext,
  ) {}

  /** Confirms at a majority that no newer value than ours is agreed. */
  async confirm(): Promise<boolean> {
    const { clock, random } = this.kernel.host;
    if (!this.context.value() && !(await this.firstValue())) return false;
    for (let i = 0; i < 3; i++) {
      const v = this.context.value()!;
      const askedAt = clock.now();
      const { heard, got } = await this.queryVoters(v);
      if (!isMajority(voterSets(v), heard)) {
        this.kernel.incrementCounter('register.unconfirmed');
        return false;
      }
      const top = got.reduce((a, b) => (b.rev > a.rev ? b : a));
      if (top.rev <= v.rev) {
        if (this.context.value()!.rev > v.rev) continue;
        this.lease.renew(askedAt);
        return true;
      }
      const knows = got.find((r) => r.known >= top.rev);
      if (knows) await this.context.fetch(this.context.peerOf(knows.disk)!);
      else await sleep(clock, 40 + 80 * random.next());
    }
    // Someone's change hangs between accepted and agreed: finish it.
    if (this.finishesChanges(this.context.value()!)) await this.context.readByBallot().catch(() => undefined);
    return false;
  }

  /**
   * Whether this node finishes another's change with a ballot of its own. In a large fleet only the voters do, who see it too: were all
   * nodes to, their ballots would outbid each other and the change itself, and each brings the whole value from a majority.
   */
  private finishesChanges(v: FleetValue): boolean {
    return !this.membership.isLargeFleet() || (this.acceptor !== undefined && v.voters.includes(this.acceptor.disk));
  }

  /** Gets a value where none is known yet, from a peer or from our own disk; says whether there is one now. */
  private async firstValue(): Promise<boolean> {
    const from = this.membership.randomPeersOrContacts(1).concat(this.membership.contactAddresses());
    await this.context.fetch(from[Math.floor(this.kernel.host.random.next() * from.length)]!);
    const { accepted, acceptedBallot } = this.acceptor ?? {};
    if (!this.context.value() && accepted && accepted.rev > 0) await this.recoverAccepted(accepted, acceptedBallot!);
    return this.context.value() !== undefined;
  }

  /** Asks as many voters as make a majority, in turn, and the others only when those don't answer soon. */
  private async queryVoters(v: FleetValue): Promise<{ heard: Set<string>; got: VoterState[] }> {
    const heard = new Set<string>();
    const got: VoterState[] = [];
    const enough = (): boolean => isMajority(voterSets(v), heard);
    const order = this.askingOrder(v);
    const few = new Set<string>();
    for (const d of order) if (!isMajority(voterSets(v), few)) few.add(d);
    const calls = (disks: Iterable<string>): Promise<VoterState>[] =>
      this.context.ask<VoterState>([...disks], 'RegRead', {}).map((p) =>
        p.then((r) => {
          heard.add(r.disk);
          got.push(r);
          this.ballots.advancePast(r.ballot);
          return r;
        }),
      );
    const first = calls(few);
    const aloneMs = this.membership.scaledPeriodMs(
      REGISTER.confirmMajorityOnlyMs,
      REGISTER.confirmMajorityOnlyPerMemberMs,
    );
    await withTimeout(this.kernel.host.clock, aloneMs, collectUntil(first, enough));
    if (!enough()) await collectUntil([...first, ...calls(order.filter((d) => !few.has(d)))], enough);
    return { heard, got };
  }

  /** Our own voter first, which costs nothing; then those that are live, beginning with another one each time. */
  private askingOrder(v: FleetValue): string[] {
    const voters = allVoters(v);
    const at = this.turn++ % voters.length;
    const own = this.acceptor?.disk;
    const live = (d: string): boolean => {
      const p = this.context.peerOf(d);
      return p !== undefined && this.membership.isLive(p);
    };
    return [...voters.slice(at), ...voters.slice(0, at)].sort(
      (a, b) => Number(b === own) - Number(a === own) || Number(live(b)) - Number(live(a)),
    );
  }

  /**
   * After a restart: what our own disk accepted is agreed, and nothing newer is, if a majority of the voters has accepted it under
   * the same ballot: a newer value would be on one of them. So a fleet that comes back together needs no new ballot.
   */
  private async recoverAccepted(accepted: FleetValue, ballot: string): Promise<void> {
    const askedAt = this.kernel.host.clock.now();
    const heard = new Set<string>();
    let otherSeen = false;
    await collectUntil(
      this.context.ask<VoterState>(allVoters(accepted), 'RegRead', {}).map((p) =>
        p.then((r) => {
          if (r.ballot === ballot) heard.add(r.disk);
          else otherSeen = true;
          return r;
        }),
      ),
      () => isMajority(voterSets(accepted), heard),
    );
    if (isMajority(voterSets(accepted), heard)) {
      this.kernel.incrementCounter('register.recalled');
      this.context.learn(accepted);
      this.lease.renew(askedAt);
    } else if (otherSeen && !this.context.value()) {
      await this.context.readByBallot().catch(() => undefined);
    }
  }
}
