/**
 * Failure detection modelled on SWIM: a silent member is probed directly, then through other members, and suspected if no probe reaches
 * it. Every frame received from a member shows that it is alive, so only silent members are probed.
 */
import { MEMBERSHIP, collectUntil, randomSample, withTimeout, type Kernel } from '@harecross/kernel';
import type { Member, MemberState } from './member.js';

/** Weights of a new measurement in the smoothed answer time: of one slower than the average, and of any other. */
const SLOWER_ANSWER_WEIGHT = 1 / 2;
const QUICKER_ANSWER_WEIGHT = 1 / 8;

/** A ping on behalf of another node. Wire format. */
interface PingForRequest {
  peer: string;
}

/** The operations of the membership table that the failure detector uses. */
export interface FailureDetectorContext {
  readonly members: Map<string, Member>;
  liveMembers(): Member[];
  setMemberState(member: Member, state: MemberState): void;
  /** Records that a process of a member was heard from. */
  markAlive(peer: string, instanceId: string): void;
  /** Publishes that this node suspects the member, as of its current record. */
  publishSuspicion(peer: string): void;
  /** Removes a member that has been dead or gone for a long time, with its facts. */
  forgetMember(peer: string): void;
  /** The number in the version of this node's own record; the answer to a ping. */
  recordVersion(): number;
}

/** Probes silent members, one per period in random order, and members with failed calls or connections at once. */
export class FailureDetector {
  private readonly probesInFlight = new Set<string>();
  /** Members in the order in which they are probed, shuffled again after each pass, and the index of the next one. */
  private probeOrder: string[] = [];
  private nextProbeIndex = 0;
  /** Smoothed time that a small call takes to be answered. Initially high, because nodes that start together find each other busy. */
  private smoothedAnswerMs = MEMBERSHIP.pingUsualMs * MEMBERSHIP.probeTimeoutFactorLimit;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: FailureDetectorContext,
  ) {
    kernel.on('Ping', () => context.recordVersion());
    kernel.on('PingFor', (request: PingForRequest) => this.ping(request.peer));
    kernel.onUnreachable = (peer) => this.probeNow(peer);
    kernel.onConnectionLost = (peer) => this.probeNow(peer);
  }

  /** Probes a live member at once, after a request that certainly did not reach it, a broken connection or an overdue answer. */
  probeNow(peer: string): void {
    const member = this.context.members.get(peer);
    if (member && member.state === 'live') void this.probe(member);
  }

  async ping(peer: string): Promise<boolean> {
    const { clock } = this.kernel.host;
    const sentAt = clock.now();
    try {
      await this.kernel.call(peer, 'Ping', {}, MEMBERSHIP.probeMs * this.timeoutFactor());
      this.recordAnswerTime(clock.now() - sentAt);
      return true;
    } catch {
      return false;
    }
  }

  /** Runs one period: updates the state of members by how long they have been silent, and probes the next silent one. */
  async round(): Promise<void> {
    const { clock } = this.kernel.host;
    const now = clock.now();
    for (const member of Array.from(this.context.members.values())) {
      if (member.peer === this.kernel.self) continue;
      const silentMs = now - member.seenAt;
      if (member.state === 'suspect' && silentMs > MEMBERSHIP.suspicionTimeoutMs) this.context.setMemberState(member, 'dead');
      const isGone = member.state === 'dead' || member.state === 'left';
      if (isGone && silentMs > MEMBERSHIP.deadRecordTtlMs) this.context.forgetMember(member.peer);
    }
    const next = this.nextSilentMember(now);
    if (next) void this.probe(next);
  }

  private nextSilentMember(now: number): Member | undefined {
    const { members } = this.context;
    for (let remaining = members.size; remaining > 0; remaining--) {
      if (this.nextProbeIndex >= this.probeOrder.length) {
        this.probeOrder = randomSample(this.kernel.host.random, [...members.keys()], members.size);
        this.nextProbeIndex = 0;
      }
      const member = members.get(this.probeOrder[this.nextProbeIndex++]!);
      if (!member || member.peer === this.kernel.self || member.state === 'left') continue;
      if (now - member.seenAt >= MEMBERSHIP.probeAfterMs) return member;
    }
    return undefined;
  }

  /**
   * Records how long a peer took to answer a small call (ms). The smoothed time rises quickly with slow answers and falls slowly with
   * fast ones. Pings alone would give too few measurements, since no member is pinged while all of them are heard from.
   */
  recordAnswerTime(tookMs: number): void {
    const weight = tookMs > this.smoothedAnswerMs ? SLOWER_ANSWER_WEIGHT : QUICKER_ANSWER_WEIGHT;
    this.smoothedAnswerMs += (tookMs - this.smoothedAnswerMs) * weight;
  }

  /** Factor by which the timeouts of a probe are extended: while all answers are slow, a late one is no evidence against its member. */
  private timeoutFactor(): number {
    const factor = Math.max(1, this.smoothedAnswerMs / MEMBERSHIP.pingUsualMs);
    return Math.min(MEMBERSHIP.probeTimeoutFactorLimit, factor);
  }

  /** Pings a member directly, then through others, and suspects it if none of the pings is answered in time. */
  private async probe(member: Member): Promise<void> {
    if (this.probesInFlight.has(member.peer)) return;
    this.probesInFlight.add(member.peer);
    const { clock } = this.kernel.host;
    const startedAt = clock.now();
    const factor = this.timeoutFactor();
    const directMs = MEMBERSHIP.probeDirectMs * factor;
    const indirectMs = MEMBERSHIP.probeIndirectMs * factor;
    try {
      const direct = this.ping(member.peer);
      // Receiving the answer has already marked the member as alive.
      if (await withTimeout(clock, directMs, direct)) return;
      const isReached = await this.probeIndirectly(member, direct, indirectMs);
      const current = this.context.members.get(member.peer);
      if (!current || current.inst !== member.inst) return;
      if (isReached) {
        // Another member reached it. If this node has not heard from it since, only this node's link to it is broken.
        if (current.seenAt < startedAt) this.kernel.markLinkBroken(member.peer);
        this.context.markAlive(member.peer, member.inst);
        return;
      }
      // If the probe took much longer than its timeouts, this process's event loop was stalled, and the silence shows nothing.
      const lateAfterMs = directMs + indirectMs + MEMBERSHIP.probeLateMs;
      if (clock.now() - startedAt > lateAfterMs || current.seenAt > startedAt || current.state !== 'live') return;
      this.context.setMemberState(current, 'suspect');
      this.context.publishSuspicion(member.peer);
    } finally {
      this.probesInFlight.delete(member.peer);
    }
  }

  /** Whether the direct ping, or one through another member, is answered within the limit. */
  private async probeIndirectly(member: Member, direct: Promise<boolean>, limitMs: number): Promise<boolean> {
    const { clock } = this.kernel.host;
    const attempts = this.intermediariesFor(member).map((intermediary) =>
      this.kernel
        .call<boolean>(intermediary, 'PingFor', { peer: member.peer } satisfies PingForRequest, limitMs)
        .catch(() => false),
    );
    const answers = collectUntil([direct, ...attempts], (results) => results.includes(true));
    return (await withTimeout(clock, limitMs, answers))?.includes(true) === true;
  }

  /**
   * Random members to ping through, if possible ones that were heard from recently over a working link. Members that this node can't
   * reach would not answer, and that would be no evidence against the probed member.
   */
  private intermediariesFor(member: Member): string[] {
    const { clock, random } = this.kernel.host;
    const others = this.context
      .liveMembers()
      .filter((other) => other.peer !== this.kernel.self && other.peer !== member.peer);
    const responsive = others.filter(
      (other) => clock.now() - other.seenAt < MEMBERSHIP.probeAfterMs && this.kernel.isLinkHealthy(other.peer),
    );
    const peers = (responsive.length ? responsive : others).map((other) => other.peer);
    return randomSample(random, peers, MEMBERSHIP.probeIntermediaryCount);
  }
}
