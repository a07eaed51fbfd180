/** The membership table: which nodes there are, what each says of itself, and the other facts that they tell each other. */
import {
  MEMBERSHIP,
  REGISTER,
  randomInt,
  randomSample,
  registerPlugin,
  runPeriodically,
  type Kernel,
} from '@harecross/kernel';
import { Subject } from 'rxjs';
import { AntiEntropy } from './anti-entropy.js';
import { Dissemination } from './dissemination.js';
import { FactTable, type VersionedFact } from './fact-table.js';
import { FailureDetector } from './failure-detector.js';
import {
  memberKey,
  peerOfMemberKey,
  peerOfSuspicionKey,
  suspicionKey,
  type Member,
  type MemberRecord,
  type MemberState,
} from './member.js';
import type { Fact } from './outbox.js';
import { OwnRecord, type OwnState } from './own-record.js';
import { PeerSampling } from './peer-sampling.js';
import { RememberedPeers } from './remembered-peers.js';

/** Share of rounds in which a seed is asked that is not live to us: it heals a fleet that fell in two. */
const SEED_ROUND_SHARE = 0.05;

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    membership: MembershipTable;
  }
}

/**
 * A table of small versioned facts, each written by one node or ordered by a fencing token. It is replicated by dissemination and
 * anti-entropy; members are found by peer sampling, and those that fail by the failure detector. A member that hears itself suspected
 * publishes its record anew, which outdates the suspicion.
 * @example
 * kernel.use('membership').publish('key/3', version, { fence, peer }); // passed on to a few, in time to all
 */
export class MembershipTable {
  readonly members = new Map<string, Member>();
  /** The key of each fact that changed. */
  readonly factChanged$ = new Subject<string>();
  readonly memberStateChanged$ = new Subject<Member>();
  private readonly table: FactTable;
  private readonly ownRecord: OwnRecord;
  private readonly sampling: PeerSampling;
  private readonly dissemination: Dissemination;
  private readonly antiEntropy: AntiEntropy;
  private readonly failureDetector: FailureDetector;
  private readonly rememberedPeers?: RememberedPeers;
  /** Who called us and is no member yet: some member knows us from before. */
  private readonly unknownCallers = new Set<string>();

  constructor(private readonly kernel: Kernel) {
    const { clock, random, config, db } = kernel.host;
    const scaledPeriodMs = (leastMs: number, perMemberMs: number): number => this.scaledPeriodMs(leastMs, perMemberMs);
    this.table = new FactTable(clock);
    this.sampling = new PeerSampling(kernel);
    this.ownRecord = new OwnRecord(kernel, {
      scaledPeriodMs,
      publish: (version, record) => this.publish(memberKey(kernel.self), version, record),
    });
    this.dissemination = new Dissemination(kernel, {
      receive: (facts) => this.receive(facts),
      scaledPeriodMs,
      randomLivePeers: (count) => this.randomLivePeers(count),
      readsCompressedLists: (peer) => this.members.get(peer)?.packs === true,
    });
    this.failureDetector = this.createFailureDetector();
    this.antiEntropy = this.createAntiEntropy();
    kernel.intermediariesTo = (peer) => this.intermediariesTo(peer);
    kernel.onPeerActivity = (peer, instanceId) => this.recordSignOfLife(peer, instanceId);
    kernel.addSubscription(kernel.loopResumed$.subscribe(() => this.forgiveSilence()));
    for (const seed of config.seeds) this.sampling.offer(seed);
    if (db) this.rememberedPeers = new RememberedPeers(kernel, kernel.use('state'), this.members);
    this.ownRecord.publish();
    void this.antiEntropy.join();
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.gossipMs, random, () => this.antiEntropy.round()));
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.shuffleMs, random, () => this.sampling.shuffle()));
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.probeEveryMs, random, () => this.detectFailures()));
    kernel.onStop(() => {
      this.ownRecord.publishLeft();
      // Nothing is sent any more after the last step of a stop.
      this.dissemination.flush();
    });
  }

  private createFailureDetector(): FailureDetector {
    return new FailureDetector(this.kernel, {
      members: this.members,
      liveMembers: () => this.liveMembers(),
      setMemberState: (member, state) => this.setMemberState(member, state),
      recordSignOfLife: (peer, instanceId) => this.recordSignOfLife(peer, instanceId),
      publishSuspicion: (peer) => {
        const version = this.facts.get(memberKey(peer))!.ver;
        this.publish(suspicionKey(peer), version, { by: this.kernel.self });
      },
      forgetMember: (peer) => this.forgetMember(peer),
      recordVersion: () => this.ownRecord.version,
    });
  }

  private createAntiEntropy(): AntiEntropy {
    return new AntiEntropy(this.kernel, {
      table: this.table,
      storeAll: (facts) => this.storeAll(facts),
      factsUnder: (keys) => this.factsUnder(keys),
      disseminateOwnRecord: () => this.disseminate(this.factsUnder([memberKey(this.kernel.self)])),
      scaledPeriodMs: (leastMs, perMemberMs) => this.scaledPeriodMs(leastMs, perMemberMs),
      isLargeFleet: () => this.isLargeFleet(),
      memberCount: () => this.members.size,
      otherLivePeers: () => this.otherLivePeers(),
      contactAddresses: () => this.contactAddresses(),
      randomPeersOrContacts: (count) => this.randomPeersOrContacts(count),
      rememberedStrangers: () => this.rememberedPeers?.peers.filter((peer) => !this.members.has(peer)) ?? [],
      ping: (peer) => this.failureDetector.ping(peer),
      recordAnswerTime: (tookMs) => this.failureDetector.recordAnswerTime(tookMs),
    });
  }

  /** The facts by key. */
  get facts(): ReadonlyMap<string, VersionedFact> {
    return this.table.facts;
  }

  /** The value of a fact. */
  get(key: string): unknown {
    return this.facts.get(key)?.val;
  }

  /** Stores a fact and passes it on. A version that is not higher than the known one is ignored. */
  publish(key: string, version: string, value: unknown): void {
    if (this.store(key, version, value)) this.disseminate([[key, version, value]]);
  }

  /** Passes facts on to a few others, soon. An empty list still carries our revision of the agreed value. */
  disseminate(facts: Fact[]): void {
    this.dissemination.add(facts);
  }

  /** Changes what we publish of ourselves; see `OwnRecord.update`. */
  updateOwnState(changes: Partial<OwnState>): void {
    this.ownRecord.update(changes);
  }

  /** Publishes our record anew; also for who changed our config. */
  publishOwnRecord(): void {
    this.ownRecord.publish();
  }

  /** A request surely did not reach this peer, a connection to it broke, or its answer is overdue: probes it at once. */
  probeNow(peer: string): void {
    this.failureDetector.probeNow(peer);
  }

  /**
   * A period that grows with the fleet, so that what all nodes together ask of one, or tell one, stays bounded.
   * @example
   * membership.scaledPeriodMs(60, 4); // 60 ms in a fleet of up to 15, 376 ms in one of 94
   */
  scaledPeriodMs(leastMs: number, perMemberMs: number): number {
    return Math.max(leastMs, perMemberMs * this.members.size);
  }

  /** Whether what each node does at the same moment would be too much for those that all ask. */
  isLargeFleet(): boolean {
    return this.members.size >= REGISTER.largeFleetSize;
  }

  liveMembers(): Member[] {
    return [...this.members.values()].filter((member) => member.state === 'live');
  }

  isLive(peer: string): boolean {
    return peer === this.kernel.self || this.members.get(peer)?.state === 'live';
  }

  /** Live and ready to take ownership. */
  isAvailable(peer: string): boolean {
    const member = this.members.get(peer);
    return member !== undefined && member.state === 'live' && member.condition === 'ready';
  }

  /** The member that has this disk; one that may still be there goes before one that is gone. */
  memberOfDisk(disk: string): Member | undefined {
    let gone: Member | undefined;
    for (const member of this.members.values()) {
      if (member.disk !== disk) continue;
      if (member.state !== 'left' && member.state !== 'dead') return member;
      gone ??= member;
    }
    return gone;
  }

  /**
   * Addresses to start from when nobody is known: the seeds, who was a member when we last ran, and who called us.
   * @example
   * membership.contactAddresses(); // ['10.0.0.1:7101', '10.0.0.2:7101']
   */
  contactAddresses(): string[] {
    const remembered = this.rememberedPeers?.peers ?? [];
    const addresses = new Set([...this.kernel.host.config.seeds, ...remembered, ...this.unknownCallers]);
    return [...addresses].filter((peer) => peer !== this.kernel.self);
  }

  /**
   * Whom to ask for something long that this peer and others have. In a large fleet a node with a disk: these are few and have wide links,
   * and a node that many had heard of something from would send it to all of them over its own.
   */
  preferPeerWithDisk(peer: string): string {
    if (!this.isLargeFleet() || this.members.get(peer)?.disk !== undefined) return peer;
    const withDisk = this.liveMembers().filter(
      (member) => member.disk !== undefined && member.peer !== this.kernel.self,
    );
    return randomSample(this.kernel.host.random, withDisk, 1)[0]?.peer ?? peer;
  }

  /** Random live peers other than us, and a contact where fewer are known. */
  randomPeersOrContacts(count: number): string[] {
    const { random, config } = this.kernel.host;
    const peers = this.randomLivePeers(count);
    const isShort = peers.length < count;
    const contacts = isShort ? this.contactAddresses() : config.seeds.filter((seed) => seed !== this.kernel.self);
    const others = contacts.filter((contact) => !peers.includes(contact));
    if (others.length && (isShort || random.next() < SEED_ROUND_SHARE))
      peers.push(others[randomInt(random, others.length)]!);
    return peers;
  }

  /** Random live peers, of our partial view where it has enough of them: connections stay few. */
  private randomLivePeers(count: number): string[] {
    const viewed = this.sampling.peers().filter((peer) => this.members.get(peer)?.state === 'live');
    return randomSample(this.kernel.host.random, viewed.length >= count ? viewed : this.otherLivePeers(), count);
  }

  private otherLivePeers(): string[] {
    return this.liveMembers()
      .map((member) => member.peer)
      .filter((peer) => peer !== this.kernel.self);
  }

  /** Live members that may carry a call to a peer in our place; none to one that is gone. */
  private intermediariesTo(peer: string): string[] {
    const member = this.members.get(peer);
    if (member && (member.state === 'dead' || member.state === 'left')) return [];
    return this.otherLivePeers().filter((other) => other !== peer);
  }

  /** The facts under these keys, as they are sent. */
  private factsUnder(keys: string[]): Fact[] {
    return keys.filter((key) => this.facts.has(key)).map((key) => this.toWireFact(key));
  }

  /**
   * A fact as it is sent. How long a member has been silent goes with its record: a node that joins would else take it for heard of
   * just now, and pass it on as such, so that a fleet in which nodes start again and again would never forget a machine that is gone.
   */
  private toWireFact(key: string): Fact {
    const fact = this.facts.get(key)!;
    const peer = peerOfMemberKey(key);
    const member = peer === undefined ? undefined : this.members.get(peer);
    if (!member || member.state === 'live') return [key, fact.ver, fact.val];
    const silentMs = Math.max(0, Math.round(this.kernel.host.clock.now() - member.seenAt));
    return [key, fact.ver, fact.val, silentMs];
  }

  private receive(facts: Fact[]): void {
    const fresh = facts.filter((fact) => this.store(...fact));
    if (fresh.length) this.disseminate(fresh);
  }

  private storeAll(facts: Fact[]): number {
    return facts.filter((fact) => this.store(...fact)).length;
  }

  /** Stores a fact if it is newer, and applies it. `silentMs`: see `Fact`. */
  private store(key: string, version: string, value: unknown, silentMs = 0): boolean {
    if (!this.table.isNewer(key, version)) return false;
    if (!this.facts.has(key) && silentMs > MEMBERSHIP.deadRecordTtlMs) return false;
    const memberPeer = peerOfMemberKey(key);
    if (memberPeer === this.kernel.self && (value as MemberRecord).inst !== this.kernel.instanceId) {
      // A record of the process that was here before, from a clock that ran ahead of ours.
      this.kernel.supersedeInstance((value as MemberRecord).inst);
      this.ownRecord.publish();
      return false;
    }
    if (!this.table.store(key, version, value)) return false;
    const suspect = peerOfSuspicionKey(key);
    if (memberPeer !== undefined) this.applyMemberRecord(value as MemberRecord, silentMs);
    else if (suspect !== undefined) this.applySuspicion(suspect, version);
    this.factChanged$.next(key);
    return true;
  }

  private applyMemberRecord(record: MemberRecord, silentMs: number): void {
    const now = this.kernel.host.clock.now();
    const old = this.members.get(record.peer);
    const seenAt = Math.max(now - silentMs, old?.seenAt ?? -Infinity);
    const member: Member = { ...record, state: old?.state ?? 'dead', seenAt, liveSince: old?.liveSince ?? now };
    this.members.set(record.peer, member);
    const isRestarted = old !== undefined && old.inst !== record.inst;
    if (isRestarted) member.liveSince = now;
    if (!old && record.condition !== 'left') this.sampling.offer(record.peer);
    this.setMemberState(member, this.stateByRecord(record), isRestarted);
  }

  private stateByRecord(record: MemberRecord): MemberState {
    if (record.condition === 'left') return 'left';
    const suspicion = this.facts.get(suspicionKey(record.peer));
    return suspicion && suspicion.ver >= this.facts.get(memberKey(record.peer))!.ver ? 'suspect' : 'live';
  }

  /** Someone suspects a member: of us, we know better; of another, it stands unless its record is newer. */
  private applySuspicion(peer: string, version: string): void {
    if (peer === this.kernel.self) {
      if (this.kernel.phase !== 'stopped') this.ownRecord.publish();
      return;
    }
    const member = this.members.get(peer);
    const record = this.facts.get(memberKey(peer));
    if (member && record && record.ver <= version && member.state === 'live') this.setMemberState(member, 'suspect');
  }

  private recordSignOfLife(peer: string, instanceId?: string): void {
    const member = this.members.get(peer);
    if (!member && this.unknownCallers.size < MEMBERSHIP.partialViewSize) this.unknownCallers.add(peer);
    if (!member || member.state === 'left' || (instanceId !== undefined && instanceId !== member.inst)) return;
    member.seenAt = this.kernel.host.clock.now();
    if (member.state !== 'live') this.setMemberState(member, 'live');
  }

  /** The one function that changes what we believe about a member. */
  private setMemberState(member: Member, state: MemberState, isRestarted = false): void {
    if (member.state === state && !isRestarted) return;
    // What changes of state a machine goes through; not that it is there at first.
    if (member.state !== state)
      this.kernel.host.log.info(`member ${member.peer}: ${member.state} -> ${state}`, { condition: member.condition });
    if (member.state !== 'live' && state === 'live') member.liveSince = this.kernel.host.clock.now();
    member.state = state;
    this.kernel.incrementCounter(`member.${state}`);
    this.memberStateChanged$.next(member);
  }

  /** Our loop stood still, the others' did not: all get a fresh start instead of being called dead. */
  private forgiveSilence(): void {
    const now = this.kernel.host.clock.now();
    for (const member of this.members.values()) member.seenAt = now;
  }

  private async detectFailures(): Promise<void> {
    this.table.expireTombstones();
    await this.failureDetector.round();
  }

  private forgetMember(peer: string): void {
    this.table.remove(memberKey(peer));
    this.table.remove(suspicionKey(peer));
    this.members.delete(peer);
    this.sampling.delete(peer);
  }
}

registerPlugin({ name: 'membership', needs: [], setup: (kernel) => new MembershipTable(kernel) });
