/** The reader role of the consensus register: confirms with a majority that the value known here is the latest. */
import { REGISTER, collectUntil, sleep, withTimeout, type Kernel } from '@harecross/kernel';
import type { MembershipTable } from '../membership/membership-table.js';
import type { FleetValue } from '../value/fleet-value.js';
import type { Acceptor } from './acceptor.js';
import { allVoters, isMajority, voterSets, type CallVoters, type BallotGenerator, type VoterState } from './ballots.js';
import type { ReadLease } from './read-lease.js';

/** The functions of the register that the reader uses. */
export interface ReaderContext {
  ask: CallVoters;
  value(): FleetValue | undefined;
  peerOf(disk: string): string | undefined;
  /** Fetches a peer's value, if it has one. */
  fetch(peer: string): Promise<void>;
  /** Called with a value that was found to be chosen. */
  learn(v: FleetValue): void;
  /** Reads through a ballot, which also completes a change that is accepted but not yet chosen. */
  readByBallot(): Promise<unknown>;
}

/** Renews the read lease by asking voters what they accepted; this needs neither a ballot nor a disk. */
export class Reader {
  /** Index of the voter that the next query starts with (round robin). */
  private nextVoterIndex = 0;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private ballots: BallotGenerator,
    private lease: ReadLease,
    private acceptor: Acceptor | undefined,
    private context: ReaderContext,
  ) {}

  /** Confirms with a majority that no value newer than ours is chosen. */
  async confirm(): Promise<boolean> {
    const { clock, random } = this.kernel.host;
    if (!this.context.value() && !(await this.obtainFirstValue())) return false;
    for (let attempt = 0; attempt < 3; attempt++) {
      const value = this.context.value()!;
      const askedAt = clock.now();
      const { answered, states } = await this.queryVoters(value);
      if (!isMajority(voterSets(value), answered)) {
        this.kernel.incrementCounter('register.unconfirmed');
        return false;
      }
      const newest = states.reduce((a, b) => (b.rev > a.rev ? b : a));
      if (newest.rev <= value.rev) {
        if (this.context.value()!.rev > value.rev) continue;
        this.lease.renew(askedAt);
        return true;
      }
      const informed = states.find((state) => state.known >= newest.rev);
      if (informed) await this.context.fetch(this.context.peerOf(informed.disk)!);
      else await sleep(clock, 40 + 80 * random.next());
    }
    // Another proposer's change is still accepted but not chosen: complete it.
    if (this.completesChanges(this.context.value()!)) await this.context.readByBallot().catch(() => undefined);
    return false;
  }

  /**
   * Whether this node completes another proposer's change with a ballot of its own. In a large fleet only the voters do, which see such
   * changes too: if all nodes did, their ballots would outbid each other and the change itself, and each ballot transfers the whole value
   * from a majority.
   */
  private completesChanges(value: FleetValue): boolean {
    return (
      !this.membership.isLargeFleet() || (this.acceptor !== undefined && value.voters.includes(this.acceptor.disk))
    );
  }

  /** Obtains a value from a peer or from our own disk while none is known yet; returns whether one is known afterwards. */
  private async obtainFirstValue(): Promise<boolean> {
    const peers = this.membership.randomPeersOrContacts(1).concat(this.membership.contactAddresses());
    await this.context.fetch(peers[Math.floor(this.kernel.host.random.next() * peers.length)]!);
    const { accepted, acceptedBallot } = this.acceptor ?? {};
    if (!this.context.value() && accepted && accepted.rev > 0) await this.recoverAccepted(accepted, acceptedBallot!);
    return this.context.value() !== undefined;
  }

  /** Queries just enough voters for a majority, rotating among them, and the remaining ones only if no majority answers in time. */
  private async queryVoters(value: FleetValue): Promise<{ answered: Set<string>; states: VoterState[] }> {
    const answered = new Set<string>();
    const states: VoterState[] = [];
    const hasMajority = (): boolean => isMajority(voterSets(value), answered);
    const order = this.queryOrder(value);
    const firstVoters = new Set<string>();
    for (const disk of order) if (!isMajority(voterSets(value), firstVoters)) firstVoters.add(disk);
    const query = (disks: Iterable<string>): Promise<VoterState>[] =>
      this.context.ask<VoterState>([...disks], 'RegRead', {}).map((call) =>
        call.then((state) => {
          answered.add(state.disk);
          states.push(state);
          this.ballots.advancePast(state.ballot);
          return state;
        }),
      );
    const firstCalls = query(firstVoters);
    const majorityOnlyMs = this.membership.scaledPeriodMs(
      REGISTER.confirmMajorityOnlyMs,
      REGISTER.confirmMajorityOnlyPerMemberMs,
    );
    await withTimeout(this.kernel.host.clock, majorityOnlyMs, collectUntil(firstCalls, hasMajority));
    if (!hasMajority())
      await collectUntil([...firstCalls, ...query(order.filter((disk) => !firstVoters.has(disk)))], hasMajority);
    return { answered, states };
  }

  /** Our own voter first, because it needs no network call, then the live voters, starting with a different one each time. */
  private queryOrder(value: FleetValue): string[] {
    const voters = allVoters(value);
    const start = this.nextVoterIndex++ % voters.length;
    const own = this.acceptor?.disk;
    const isLive = (disk: string): boolean => {
      const peer = this.context.peerOf(disk);
      return peer !== undefined && this.membership.isLive(peer);
    };
    return [...voters.slice(start), ...voters.slice(0, start)].sort(
      (a, b) => Number(b === own) - Number(a === own) || Number(isLive(b)) - Number(isLive(a)),
    );
  }

  /**
   * Recovers the value after a restart. If a majority of the voters has accepted the value on our disk under the same ballot, it is
   * chosen and no newer value is: a newer one would be on one of these voters. So a fleet that restarts as a whole needs no new ballot.
   */
  private async recoverAccepted(accepted: FleetValue, ballot: string): Promise<void> {
    const askedAt = this.kernel.host.clock.now();
    const sameBallot = new Set<string>();
    let sawOtherBallot = false;
    await collectUntil(
      this.context.ask<VoterState>(allVoters(accepted), 'RegRead', {}).map((call) =>
        call.then((state) => {
          if (state.ballot === ballot) sameBallot.add(state.disk);
          else sawOtherBallot = true;
          return state;
        }),
      ),
      () => isMajority(voterSets(accepted), sameBallot),
    );
    if (isMajority(voterSets(accepted), sameBallot)) {
      this.kernel.incrementCounter('register.recalled');
      this.context.learn(accepted);
      this.lease.renew(askedAt);
    } else if (sawOtherBallot && !this.context.value()) {
      await this.context.readByBallot().catch(() => undefined);
    }
  }
}
