/**
 * Failure detection in the manner of SWIM: a member that was silent is probed directly, then through others, and suspected when nobody
 * reaches it. Every frame of a member is a sign of life, so only silent ones are probed.
 */
import { MEMBERSHIP, collectUntil, randomSample, withTimeout, type Kernel } from '@harecross/kernel';
import type { Member, MemberState } from './member.js';

/** Weight of a new measurement in the smoothed answer time, where it is slower, and where it is quicker. */
const SLOWER_ANSWER_WEIGHT = 1 / 2;
const QUICKER_ANSWER_WEIGHT = 1 / 8;

/** A ping on behalf of another node. Wire format. */
interface PingForRequest {
  peer: string;
}

/** What the failure detector needs of the membership table. */
export interface FailureDetectorContext {
  readonly members: Map<string, Member>;
  liveMembers(): Member[];
  setMemberState(member: Member, state: MemberState): void;
  recordSignOfLife(peer: string, instanceId: string): void;
  /** Tells the fleet that this node suspects the member's present record. */
  publishSuspicion(peer: string): void;
  /** Removes what is known of a member that has been dead for long. */
  forgetMember(peer: string): void;
  /** What a ping is answered with. */
  recordVersion(): number;
}

/** Probes silent members, one at a time in random order, and those that are doubted at once. */
export class FailureDetector {
  private readonly probesInFlight = new Set<string>();
  /** Members in the order in which they are probed, drawn anew after each round, and which of them comes next. */
  private probeOrder: string[] = [];
  private nextProbeIndex = 0;
  /** How long a small call takes to be answered, smoothed. Slow at first: who starts together with others finds all of them busy. */
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

  /** A request surely did not reach this peer, a connection to it broke, or its answer is overdue: probes it at once. */
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

  /** One period: time passes for members that are silent, and the next of them is probed. */
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
    for (let left = members.size; left > 0; left--) {
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
   * Takes in how long a peer took to answer a small call (ms). Soon believes that answers have become slow, and only after many quick
   * ones that they are quick. Pings alone are too few to learn from: where all members are heard of, nobody is pinged.
   */
  recordAnswerTime(tookMs: number): void {
    const share = tookMs > this.smoothedAnswerMs ? SLOWER_ANSWER_WEIGHT : QUICKER_ANSWER_WEIGHT;
    this.smoothedAnswerMs += (tookMs - this.smoothedAnswerMs) * share;
  }

  /** By how much the time limits of a probe are longer than usual: while answers come slowly, a late one says nothing of its member. */
  private timeoutFactor(): number {
    const factor = Math.max(1, this.smoothedAnswerMs / MEMBERSHIP.pingUsualMs);
    return Math.min(MEMBERSHIP.probeTimeoutFactorLimit, factor);
  }

  /** Asks a member directly, then through others, and suspects it when nobody reaches it. */
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
      // The answer itself was the sign of life.
      if (await withTimeout(clock, directMs, direct)) return;
      const isReached = await this.probeIndirectly(member, direct, indirectMs);
      const present = this.context.members.get(member.peer);
      if (!present || present.inst !== member.inst) return;
      if (isReached) {
        // Others reach it: if it did not answer us, it is our own link that broke.
        if (present.seenAt < startedAt) this.kernel.markLinkBroken(member.peer);
        this.context.recordSignOfLife(member.peer, member.inst);
        return;
      }
      // If our own loop stood still meanwhile, the silence was ours.
      const lateAfterMs = directMs + indirectMs + MEMBERSHIP.probeLateMs;
      if (clock.now() - startedAt > lateAfterMs || present.seenAt > startedAt || present.state !== 'live') return;
      this.context.setMemberState(present, 'suspect');
      this.context.publishSuspicion(member.peer);
    } finally {
      this.probesInFlight.delete(member.peer);
    }
  }

  /** Whether the direct ping, or one through another member, is answered in time. */
  private async probeIndirectly(member: Member, direct: Promise<boolean>, limitMs: number): Promise<boolean> {
    const { clock } = this.kernel.host;
    const attempts = this.intermediariesFor(member).map((intermediary) =>
      this.kernel
        .call<boolean>(intermediary, 'PingFor', { peer: member.peer } satisfies PingForRequest, limitMs)
        .catch(() => false),
    );
    const answers = collectUntil([direct, ...attempts], (got) => got.includes(true));
    return (await withTimeout(clock, limitMs, answers))?.includes(true) === true;
  }

  /** Members heard of lately: those that we can't reach ourselves would answer nothing, and that is no sign against the member. */
  private intermediariesFor(member: Member): string[] {
    const { clock, random } = this.kernel.host;
    const others = this.context
      .liveMembers()
      .filter((other) => other.peer !== this.kernel.self && other.peer !== member.peer);
    const near = others.filter(
      (other) => clock.now() - other.seenAt < MEMBERSHIP.probeAfterMs && this.kernel.isLinkHealthy(other.peer),
    );
    const peers = (near.length ? near : others).map((other) => other.peer);
    return randomSample(random, peers, MEMBERSHIP.probeIntermediaryCount);
  }
}
