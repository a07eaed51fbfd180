/** The membership table: the members of the fleet with the record that each publishes of itself, and the other facts that nodes gossip. */
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

/** Probability that a choice of peers also includes a seed that was not chosen. This lets the halves of a fleet that split rejoin. */
const SEED_CONTACT_PROBABILITY = 0.05;

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    membership: MembershipTable;
  }
}

/**
 * A table of small versioned facts, each written by one node or ordered by a fencing token. It is replicated by dissemination and
 * anti-entropy. Peer sampling selects the peers to gossip with, and the failure detector finds members that have failed. A member that
 * learns that it is suspected publishes its record with a higher version, which supersedes the suspicion.
 * @example
 * kernel.use('membership').publish('key/3', version, { fence, peer }); // reaches a few peers at once and eventually all nodes
 */
export class MembershipTable {
  readonly members = new Map<string, Member>();
  /** Emits the key of each fact that changed. */
  readonly factChanged$ = new Subject<string>();
  readonly memberStateChanged$ = new Subject<Member>();
  private readonly table: FactTable;
  private readonly ownRecord: OwnRecord;
  private readonly sampling: PeerSampling;
  private readonly dissemination: Dissemination;
  private readonly antiEntropy: AntiEntropy;
  private readonly failureDetector: FailureDetector;
  private readonly rememberedPeers?: RememberedPeers;
  /** Peers that called this node and are not members yet. They may be members that remember this node from before it restarted. */
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
      acceptsCompressedLists: (peer) => this.members.get(peer)?.packs === true,
    });
    this.failureDetector = this.createFailureDetector();
    this.antiEntropy = this.createAntiEntropy();
    kernel.intermediariesTo = (peer) => this.intermediariesTo(peer);
    kernel.onPeerActivity = (peer, instanceId) => this.markAlive(peer, instanceId);
    kernel.addSubscription(kernel.loopResumed$.subscribe(() => this.resetLastSeen()));
    for (const seed of config.seeds) this.sampling.offer(seed);
    if (db) this.rememberedPeers = new RememberedPeers(kernel, kernel.use('state'), this.members);
    this.ownRecord.publish();
    void this.antiEntropy.join();
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.gossipMs, random, () => this.antiEntropy.round()));
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.shuffleMs, random, () => this.sampling.shuffle()));
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.probeEveryMs, random, () => this.detectFailures()));
    kernel.onStop(() => {
      this.ownRecord.publishLeft();
      // Queued facts must be sent now: after the last step of the stop nothing is sent any more.
      this.dissemination.flush();
    });
  }

  private createFailureDetector(): FailureDetector {
    return new FailureDetector(this.kernel, {
      members: this.members,
      liveMembers: () => this.liveMembers(),
      setMemberState: (member, state) => this.setMemberState(member, state),
      markAlive: (peer, instanceId) => this.markAlive(peer, instanceId),
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
      wireFactsFor: (keys) => this.wireFactsFor(keys),
      disseminateOwnRecord: () => this.disseminate(this.wireFactsFor([memberKey(this.kernel.self)])),
      scaledPeriodMs: (leastMs, perMemberMs) => this.scaledPeriodMs(leastMs, perMemberMs),
      isLargeFleet: () => this.isLargeFleet(),
      memberCount: () => this.members.size,
      otherLivePeers: () => this.otherLivePeers(),
      contactAddresses: () => this.contactAddresses(),
      randomPeersOrContacts: (count) => this.randomPeersOrContacts(count),
      rememberedNonMembers: () => this.rememberedPeers?.peers.filter((peer) => !this.members.has(peer)) ?? [],
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

  /** Stores a fact and disseminates it. Ignored unless its version is higher than the known one. */
  publish(key: string, version: string, value: unknown): void {
    if (this.store(key, version, value)) this.disseminate([[key, version, value]]);
  }

  /** Queues facts for a few peers. An empty list is sent too, because each call carries this node's revision of the agreed value. */
  disseminate(facts: Fact[]): void {
    this.dissemination.add(facts);
  }

  /** Changes the state that this node publishes of itself; see `OwnRecord.update`. */
  updateOwnState(changes: Partial<OwnState>): void {
    this.ownRecord.update(changes);
  }

  /** Publishes this node's record with a higher version. To be called after a change of its configuration. */
  publishOwnRecord(): void {
    this.ownRecord.publish();
  }

  /** Probes a live member at once, after a request that certainly did not reach it, a broken connection or an overdue answer. */
  probeNow(peer: string): void {
    this.failureDetector.probeNow(peer);
  }

  /**
   * A period that grows with the number of members, so that the load that all nodes together put on one node stays bounded.
   * @example
   * membership.scaledPeriodMs(60, 4); // 60 ms in a fleet of up to 15, 376 ms in one of 94
   */
  scaledPeriodMs(leastMs: number, perMemberMs: number): number {
    return Math.max(leastMs, perMemberMs * this.members.size);
  }

  /** Whether the fleet is so large that calls made by all nodes at the same time would overload the nodes that they all call. */
  isLargeFleet(): boolean {
    return this.members.size >= REGISTER.largeFleetSize;
  }

  liveMembers(): Member[] {
    return [...this.members.values()].filter((member) => member.state === 'live');
  }

  /** Whether a peer is this node or a live member. */
  isLive(peer: string): boolean {
    return peer === this.kernel.self || this.members.get(peer)?.state === 'live';
  }

  /** Whether a member is live and ready to take ownership. */
  isAvailable(peer: string): boolean {
    const member = this.members.get(peer);
    return member !== undefined && member.state === 'live' && member.condition === 'ready';
  }

  /** The member that has this disk. A live or suspected member is preferred to one that is dead or has left. */
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
   * Addresses to contact while no member is known: the seeds, the members from this node's last run, and the peers that called it.
   * @example
   * membership.contactAddresses(); // ['10.0.0.1:7101', '10.0.0.2:7101']
   */
  contactAddresses(): string[] {
    const remembered = this.rememberedPeers?.peers ?? [];
    const addresses = new Set([...this.kernel.host.config.seeds, ...remembered, ...this.unknownCallers]);
    return [...addresses].filter((peer) => peer !== this.kernel.self);
  }

  /**
   * The peer from which to fetch a large value that `peer` and others have. In a large fleet this is a random live node with a disk:
   * those nodes are few and have fast links, while a peer that announced the value to many nodes would otherwise have to send it to all
   * of them over its own link.
   */
  preferPeerWithDisk(peer: string): string {
    if (!this.isLargeFleet() || this.members.get(peer)?.disk !== undefined) return peer;
    const withDisk = this.liveMembers().filter(
      (member) => member.disk !== undefined && member.peer !== this.kernel.self,
    );
    return randomSample(this.kernel.host.random, withDisk, 1)[0]?.peer ?? peer;
  }

  /** Random live peers other than this node. Adds a contact address if there are fewer, and sometimes a seed in any case. */
  randomPeersOrContacts(count: number): string[] {
    const { random, config } = this.kernel.host;
    const peers = this.randomLivePeers(count);
    const tooFew = peers.length < count;
    const contacts = tooFew ? this.contactAddresses() : config.seeds.filter((seed) => seed !== this.kernel.self);
    const others = contacts.filter((contact) => !peers.includes(contact));
    if (others.length && (tooFew || random.next() < SEED_CONTACT_PROBABILITY))
      peers.push(others[randomInt(random, others.length)]!);
    return peers;
  }

  /** Random live peers, taken from the partial view if it has enough of them, which keeps the number of connections low. */
  private randomLivePeers(count: number): string[] {
    const viewed = this.sampling.peers().filter((peer) => this.members.get(peer)?.state === 'live');
    return randomSample(this.kernel.host.random, viewed.length >= count ? viewed : this.otherLivePeers(), count);
  }

  private otherLivePeers(): string[] {
    return this.liveMembers()
      .map((member) => member.peer)
      .filter((peer) => peer !== this.kernel.self);
  }

  /** Live members that may relay a call to a peer. There are none for a peer that is dead or has left. */
  private intermediariesTo(peer: string): string[] {
    const member = this.members.get(peer);
    if (member && (member.state === 'dead' || member.state === 'left')) return [];
    return this.otherLivePeers().filter((other) => other !== peer);
  }

  /** The wire form of the facts under these keys. */
  private wireFactsFor(keys: string[]): Fact[] {
    return keys.filter((key) => this.facts.has(key)).map((key) => this.toWireFact(key));
  }

  /**
   * The wire form of a fact. The record of a member that is not live includes how long that member has been silent. Without this, a
   * joining node would treat the member as just seen and pass its record on as such, and a fleet in which nodes keep restarting would
   * never forget a member that is gone.
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

  /** Stores a fact and applies its effects, if it is newer than the known version. For `silentMs` see `Fact`. */
  private store(key: string, version: string, value: unknown, silentMs = 0): boolean {
    if (!this.table.isNewer(key, version)) return false;
    if (!this.facts.has(key) && silentMs > MEMBERSHIP.deadRecordTtlMs) return false;
    const memberPeer = peerOfMemberKey(key);
    if (memberPeer === this.kernel.self && (value as MemberRecord).inst !== this.kernel.instanceId) {
      // The record was published by an earlier process at this address, whose clock was ahead of the present one.
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

  /** Applies a suspicion. This node refutes one of itself; another member is suspected unless its record is newer than the suspicion. */
  private applySuspicion(peer: string, version: string): void {
    if (peer === this.kernel.self) {
      if (this.kernel.phase !== 'stopped') this.ownRecord.publish();
      return;
    }
    const member = this.members.get(peer);
    const record = this.facts.get(memberKey(peer));
    if (member && record && record.ver <= version && member.state === 'live') this.setMemberState(member, 'suspect');
  }

  /**
   * Records that a peer was heard from. This does not count for a member if the call came from another process than that of its record.
   * Peers that are not members are remembered as contacts.
   */
  private markAlive(peer: string, instanceId?: string): void {
    const member = this.members.get(peer);
    if (!member && this.unknownCallers.size < MEMBERSHIP.partialViewSize) this.unknownCallers.add(peer);
    if (!member || member.state === 'left' || (instanceId !== undefined && instanceId !== member.inst)) return;
    member.seenAt = this.kernel.host.clock.now();
    if (member.state !== 'live') this.setMemberState(member, 'live');
  }

  /** Changes the state of a member. All changes of a state go through this method. */
  private setMemberState(member: Member, state: MemberState, isRestarted = false): void {
    if (member.state === state && !isRestarted) return;
    // Only changes of the state are logged, not the restart of a member whose state stays the same.
    if (member.state !== state)
      this.kernel.host.log.info(`member ${member.peer}: ${member.state} -> ${state}`, { condition: member.condition });
    if (member.state !== 'live' && state === 'live') member.liveSince = this.kernel.host.clock.now();
    member.state = state;
    this.kernel.incrementCounter(`member.${state}`);
    this.memberStateChanged$.next(member);
  }

  /** After a stall of this process's event loop, resets the silence of all members, as the stall would make live members look dead. */
  private resetLastSeen(): void {
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
