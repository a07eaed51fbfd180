/**
 * All constants of the system, grouped by area, each with its unit and the reason for its value. A name ends in its unit or kind of bound,
 * such as Ms, S, Bytes, Count, Limit, Size or Factor, and occurs in one group only.
 */

/**
 * Client sessions at a relay, their interest leases and message delivery. The lease scheme follows a published design; see
 * docs/paper.md.
 */
export const SESSION = {
  /** A lease expires this long after its last renewal. Three renewals fit into it, so two may be lost. */
  leaseTtlMs: 60_000,
  /** Interval at which a relay renews a lease while there is traffic. One third of the TTL, as in that design. */
  leaseRenewMs: 20_000,
  /** The owner keeps fanning out this long after `expiresAt`, so that it never stops before the relay does. */
  leaseSkewMs: 2_000,
  /** A connection that is silent for this many ping intervals is closed: one lost probe and one late one are tolerated. */
  missedPingCount: 3,
  /** Default of `pingS`; clients check in about every two seconds. */
  pingS: 2,
  /**
   * Listener counts leave out connections that were silent for longer than this, whatever their ping interval, so that a count covers the
   * last 5 s.
   */
  listenerActiveMs: 4_500,
  /** Size of the standard queue of a connection. */
  standardQueueBytes: 512 * 1024,
  /** Frames larger than this use the oversized queue. */
  oversizedFromBytes: 64 * 1024,
  /** Size of the oversized queue of a connection: room for a few bodies of the largest size. */
  oversizedQueueBytes: 2 * 1024 * 1024,
  /** Flush interval of a connection's queue for routine families. */
  flushMs: 250,
  /** A family with a latency target flushes after this share of the target, if that is sooner. */
  flushShare: 0.1,
  /** Size of a frame beside its body: topic, sender, numbers. */
  frameOverheadBytes: 128,
  /** Flush interval while an urgent message is queued: it must not wait the regular quarter of a second to be batched. */
  flushUrgentMs: 20,
  /** Catch-up from history pauses while more than this is queued, so that it never fills a queue by itself. */
  catchUpBytes: 128 * 1024,
  /** Interval at which a relay asks owners for the head offsets of topics. A lost last frame is found within one interval. */
  headsMs: 1_000,
  /** Entries requested from history at a time; a page stays far below the size of a queue. */
  historyPageLimit: 64,
  /** Characters of bodies in one page. */
  historyPageBytes: 256 * 1024,
  /** How long the owner waits for relays when it counts listeners; the client that asked waits about 2 s. */
  countTimeoutMs: 700,
  /**
   * An owner that took its shard more recently than this may not know the interest of all relays yet, so it asks all of them for counts.
   */
  countAllRelaysMs: 4_000,
  /** Leases and connections that a relay may have; beyond it, new connections are rejected at once. */
  connectionLimit: 4_000,
  /** Subscriptions that a connection may have. */
  subscriptionsPerConnectionLimit: 256,
  /** The home of a consumer forgets a connection that was not registered again for this long. */
  homeEntryTtlMs: 40_000,
  /**
   * A relay that has been without a read lease for this long sends its connections to other relays: before the others consider it dead and
   * leave its connections out of their counts.
   */
  readLeaseLostMs: 4_000,
  /** Interval at which a relay registers its connections with their homes again. */
  homeRenewMs: 15_000,
  /**
   * A planned restart spreads the closing of its connections over `plannedDrainSpreadMs`; a stop has less time and uses `drainSpreadMs`.
   */
  plannedDrainSpreadMs: 3_000,
  drainSpreadMs: 1_000,
  /**
   * A stopping relay stays up this long for clients that still arrive: the platform notices the stop after two polls, which are one second
   * apart.
   */
  drainMs: 2_600,
} as const;

/** Shards: their replicas, owners and history. */
export const SHARD = {
  /** Shards of the topic space: several per disk with the present 8 disks, so that ownership is evenly distributed. */
  shardCount: 32,
  /** Default number of replicas of a shard; it survives the loss of two disks. */
  replicaCount: 5,
  /** No disk has more replicas than its share times this; measured in docs/measurements.md. */
  replicaSlack: 1.1,
  /** No disk owns more shards than its share times this: more even than plain rendezvous hashing, while few shards move. */
  ownerSlack: 1.25,
  /** The history is kept for the memory of the family times this ... */
  memorySlack: 1.5,
  /** ... plus this, so that a promised memory of 25 s is never cut short by rounding or fail-over. */
  memorySlackMs: 15_000,
  /**
   * Every accepted message stays in the history for at least this long, whatever the memory of its family, so that a resend with the same
   * sequence number gets the first outcome. Clients resend for 10 s; this is three times that, because clock differences and the transit
   * time of an answer add to it.
   */
  resendHistoryMs: 30_000,
  /**
   * The last trimmed sequence number of a sender and topic is kept for this long. A number above it that is not in the history was never
   * accepted; the outcome of a number below it is no longer known. Deduplication records outlive the memory of any family by a wide margin.
   */
  dedupeKeepMs: 30 * 60_000,
  /** Interval at which an owner checks its shards. */
  ownershipCheckMs: 250,
  /** Interval at which an owner pings its replicas when there is no traffic. */
  heartbeatMs: 400,
  /** An owner that has had no answer from a majority for this long regards its ownership as in doubt and rejects requests. */
  ownershipDoubtMs: 1_600,
  /** Delay before a failed attempt to take a shard is repeated. */
  electionRetryMs: 600,
  /**
   * For this long after its start a node leaves shards to other nodes that may be starting as well: a whole fleet comes back within this
   * time.
   */
  startupGraceMs: 300,
  /**
   * A node asks a serving owner for a shard only after the shard has been assigned to the node for this long: machines come and go within a
   * shorter time.
   */
  steadyAssignmentMs: 4_000,
  /** A request waits this long at a node that is in the process of taking the shard; that takes two rounds to a majority. */
  electionWaitMs: 400,
  /** A publish that must follow another one waits this long for it at the owner; the relay sends both again if necessary. */
  predecessorWaitMs: 100,
  /** An owner that leaves tries for this long to hand over its shards; the whole stop has `stopMs`. */
  handOverMs: 1_500,
  /** After the hand-over, an owner redirects the callers that still arrive for this long. */
  redirectMs: 100,
  /** A replica that was allowed to take a shard and has not taken it within this time has failed to do so. */
  yieldTimeoutMs: 1_500,
  /** A replica that failed to take a shard it had asked for may ask for it again after this long. */
  yieldRefusalMs: 30_000,
  /** An owner that has had no answer from a majority for this long reports itself as unhealthy, so that others take its shards ... */
  isolatedOwnerMs: 1_000,
  /** ... and remains unhealthy for this long: broken links seldom recover within seconds. */
  unhealthyMs: 20_000,
  /** Time limit of one Append; a slow disk may take that long, and the other replicas form the majority meanwhile. */
  appendTimeoutMs: 1_500,
  /** Entries in one Append, snapshot or answer to a Fetch ... */
  appendEntryLimit: 256,
  /** ... and characters of their bodies. */
  appendBytesLimit: 512 * 1024,
  /** Appends that are read from an owner's disk and on the way at once to one disk that lags behind. */
  catchUpConcurrency: 2,
  /** Parts of histories that a candidate for several shards fetches at once. */
  fetchConcurrency: 8,
  /** Characters of bodies at one owner that are not yet committed or not yet on its own disk; beyond that it rejects publishes. */
  pendingBytesLimit: 16 * 1024 * 1024,
  /** Publishes waiting at one owner before it rejects more; urgent ones may use the whole queue, routine ones half of it. */
  ownerQueueLimit: 2_000,
  /** Frames queued at an owner for one relay; the relay reads what is beyond that from history. */
  fanOutQueueLimit: 1_000,
  /** Characters of the bodies in one call to a relay. */
  fanOutBytesLimit: 256 * 1024,
  /** Interval at which an owner trims its history ... */
  trimMs: 2_000,
  /** ... and at which a replica does the same: each trim writes more pages than the appends since the last one. */
  trimReplicaMs: 10_000,
  /** Time limit of a snapshot call; a replica that is behind the base of the log is brought up to date by snapshots. */
  snapshotTimeoutMs: 5_000,
} as const;

/** Client requests: how they reach an owner, and how much a node takes on at once. */
export const REQUEST = {
  /** Requests in progress at one gateway; beyond it they are rejected with a time to retry after. */
  gatewayQueueLimit: 3_000,
  /** Base of the retry hint; a random part of up to the same length is added to spread the retries out. */
  retryMs: 400,
  /** Time limit of one attempt of a relay at an owner. */
  ownerAttemptMs: 900,
  /** How long to wait further for a request at an owner that has lost the shard: the answer may already be in transit. */
  movedGraceMs: 20,
  /** Pause between two attempts at owners while a shard changes owners, unless a new owner becomes known earlier. */
  ownerRetryMs: 40,
  /** Time limit for asking a replica which fence it has promised. */
  fenceQueryMs: 300,
  /** When an owner takes longer than this for a request, the membership probes it; ordinary requests take a tenth of this. */
  slowRequestMs: 150,
  /** ... and again only after this long. */
  slowOwnerProbeMs: 1_000,
  /** A publish whose shard has no known owner is given up after this long, well before any client's time limit. */
  noOwnerMs: 700,
  /** Publishes of a sender that were in flight when an earlier one was rejected arrive within this long: one round trip to the clients. */
  inFlightPublishMs: 100,
  /** Publishes of a sender that are given up together are answered in order, but none waits longer than this for the earlier ones. */
  inOrderAnswerMs: 250,
  /** Retry budget of a node for requests to owners: this many retries a second ... */
  retriesPerS: 40,
  /** ... plus this share of the number of first attempts ... */
  retriesShare: 0.2,
  /** ... of which this many may accumulate: each request in progress tries a few times while a shard changes owners. */
  retryBurstLimit: 400,
  /**
   * A link to a peer that does not answer is probed directly at this interval; meanwhile requests of the data plane are relayed through
   * other nodes.
   */
  linkProbeMs: 700,
  /** A request line of a client: topic, cursor and name are far shorter. */
  accessLineBytes: 16 * 1024,
  /** The largest body that any family may allow; larger ones are refused without being stored ... */
  maxBodyBytes: 1024 * 1024,
  /** ... and read and discarded up to this size; beyond it the connection is closed. */
  accessDiscardBytes: 16 * 1024 * 1024,
  /**
   * Answers and frames that a client has not read yet, beyond both queues of its connection: a client that exceeds this has stopped
   * reading.
   */
  accessUnreadBytes: 4 * 1024 * 1024,
  /** Requests of one connection in progress before no more of them are read. */
  accessInFlightLimit: 128,
  /** Memory for bodies that arrive in pieces, for all connections together; a body that does not fit is refused. */
  accessBodiesBytes: 32 * 1024 * 1024,
  /** Connections that have not attached, and at most half of all connections: beyond it the oldest of them is closed. */
  accessUnattachedLimit: 1_000,
  /** A connection that has not attached within this time is closed; connections are checked every `accessSweepMs`. */
  accessAttachMs: 10_000,
  accessSweepMs: 1_000,
  /** Default limit of a body. */
  bodyBytes: 64 * 1024,
} as const;

/** Membership: gossip, partial views, and probes of silent members. */
export const MEMBERSHIP = {
  /** Peers that a node exchanges gossip with in each period. */
  gossipPeerCount: 2,
  gossipMs: 500,
  /** While updates keep arriving a node compares its table with a peer's only this often. */
  gossipWhileBusyMs: 2_000,
  /**
   * After its start a node compares its table with a peer's at this interval, until `joinMs` has passed or `joinQuietCount` peers had
   * nothing new for it.
   */
  joinEveryMs: 100,
  joinMs: 3_000,
  joinQuietCount: 6,
  /**
   * Interval per member for the same in a large fleet, where it is longer than `joinEveryMs`: when all nodes start together, a peer that
   * all know gets some 250 comparisons a second.
   */
  joinPerMemberMs: 4,
  /** Peers that an update is sent to at each step; log2(200) steps reach a large fleet. */
  disseminationFanOut: 4,
  /** Minimum interval between updates, per member: 4 calls in 30 ms in a fleet of 15, in 190 ms in one of 94. */
  disseminationGapPerMemberMs: 2,
  /** Minimum interval at which a node publishes its weight, per member: 50 publications a second for the whole fleet. */
  weightGapPerMemberMs: 20,
  /** Entries of a partial view. */
  partialViewSize: 12,
  /** Entries exchanged in one shuffle. */
  shuffleSize: 5,
  shuffleMs: 1_000,
  /** A member that was not heard of for this long is probed directly, one each period, in shuffled order. */
  probeAfterMs: 800,
  probeEveryMs: 250,
  /** Time limit of a ping. */
  probeMs: 500,
  /** A member that did not answer a direct probe within this time is also probed through other members ... */
  probeDirectMs: 120,
  /** ... and suspected when none of them has had an answer after this long; a lost packet is retransmitted after about 200 ms. */
  probeIndirectMs: 300,
  /**
   * Usual upper bound of the answer time of a ping. While pings take longer, the two limits above grow in proportion, up to
   * `probeTimeoutFactorLimit` times.
   */
  pingUsualMs: 40,
  probeTimeoutFactorLimit: 5,
  /** A probe that exceeds its limit by this much shows that the local event loop was stalled, and says nothing about the member. */
  probeLateMs: 100,
  /** Members asked to probe on this node's behalf before a member is suspected: they may have a better link to it. */
  probeIntermediaryCount: 3,
  /** A suspected member is considered dead after this long. */
  suspicionTimeoutMs: 8_000,
  /** The record of a dead member is removed after this long. */
  deadRecordTtlMs: 120_000,
  /**
   * How long the tombstone of a removed record is kept: several times what any node takes to remove the record too, including a node that
   * joined late.
   */
  tombstoneMs: 600_000,
  /**
   * Known members are saved to disk at this interval if they have changed, up to `rememberedPeerLimit` of them: a start needs only one that
   * is reachable.
   */
  rememberPeersEveryMs: 5_000,
  rememberedPeerLimit: 64,
  /** Time limit of small control calls. */
  callTimeoutMs: 800,
  /** A gap in the local event loop of this length means that the process was frozen: its ownership is in doubt until confirmed. */
  loopFrozenMs: 1_200,
  /** Everything that arrived while a process was frozen is read within this time after it resumes. */
  loopResumedMs: 300,
  loopTickMs: 200,
} as const;

/** The consensus register: read lease, changes, operators' submissions, and bootstrap. */
export const REGISTER = {
  /** Interval at which every node confirms its version with a majority ... */
  confirmMs: 600,
  /** ... longer in a large fleet: 100 confirmations a second for all nodes together. */
  confirmPerMemberMs: 10,
  /**
   * Until its first confirmation after a start a node tries at this interval, with up to `firstConfirmConcurrency` attempts at once:
   * requests wait for it.
   */
  firstConfirmMs: 60,
  firstConfirmConcurrency: 4,
  /** Interval per member for the same in a large fleet, for the reason given at `joinPerMemberMs`. */
  firstConfirmPerMemberMs: 4,
  /** These attempts end this long after the start; from then on only one of every `firstConfirmLateDivisor` is made. */
  firstConfirmEagerMs: 3_000,
  firstConfirmLateDivisor: 8,
  /** A change is in force within this time after it was acknowledged, unless the config of the process sets another time. */
  applyMs: 3_000,
  /**
   * Voters beyond a majority are asked when the first ones have not answered after this long, so that the sync of a slow disk is not waited
   * for.
   */
  confirmMajorityOnlyMs: 120,
  /**
   * Delay per member for the same in a large fleet: a voter that is busy with the requests of other nodes must not get more of them because
   * of it.
   */
  confirmMajorityOnlyPerMemberMs: 6,
  /** A node serves only while its last confirmation began at most this share of `applyMs` ago. */
  readLeaseShare: 0.8,
  /** Voters of the register (disks that vote). Odd; two may fail with 5, three with 7. */
  voterCount: 7,
  /** A newer value is fetched from one peer, and from further peers only after this long: several round trips and one lost packet. */
  valueFetchExclusiveMs: 80,
  /** Delay per member for the same in a large fleet, where all nodes fetch at the same time. */
  valueFetchExclusivePerMemberMs: 8,
  /** Time limit of a fetch per member, where that is longer than the limit of other calls. */
  fetchPerMemberMs: 35,
  /** Concurrent fetches of the value by one node. */
  valueFetchConcurrency: 4,
  /**
   * From this number of members on, large data is fetched from nodes with disks, changes that were left unfinished by other nodes are left
   * to the voters, and a node makes one attempt at a time at its first confirmation. In smaller fleets only a few nodes do this at once.
   */
  largeFleetSize: 32,
  /** A request from a peer that knows a newer value waits for it; a failed fetch is repeated after this long. */
  laggingRetryMs: 40,
  /** An attempt at a change is given up after this long, and reported as such. */
  changeTimeoutMs: 6_000,
  /**
   * A submission is worked on for this long after it was last sent, whether its sender waits or not. Senders resend one that got no clear
   * answer within a second or two, to any node. With a longer time, a submission at a node that was cut off could come into force when
   * nobody expects it any more.
   */
  submitMs: 4_000,
  /**
   * An operator's call is answered within this long even when no majority answers: callers try another node after one second without an
   * answer.
   */
  operatorAnswerMs: 600,
  /**
   * A voter accepts a value only within this time after its promise: a round takes a few calls, and a value that stayed in a buffer while a
   * machine was frozen or cut off must not be chosen when the machine resumes.
   */
  promiseTtlMs: 3_000,
  /** A voter that learns of a repair refuses the ballots of other proposers for this long: a few rounds with a pause between them. */
  repairReservationMs: 300,
  /** Different submissions that one node works on; resends share one, and few operators are active at a time. */
  submissionLimit: 32,
  /** Callers that wait for one submission at one node: a few operators, each of whom resends it every second while it is worked on. */
  submissionWaiterLimit: 256,
  /** Changes with a change id in progress at one node. Each keeps a configuration in memory for `changeTimeoutMs` at most. */
  concurrentChangeLimit: 32,
  /** Time limit of one attempt at a submission; after it the highest revision that has been sent meanwhile is attempted instead. */
  submitAttemptMs: 2_000,
  /** Interval, randomized, at which a majority is asked what is in force before an old revision is answered. */
  submitPollMs: 200,
  /**
   * Revisions kept with the outcome that each had: a resend gets its first outcome until this many later revisions have come into force.
   * That is hours of changes on a busy day, while resends come within seconds; about 20 bytes each in the value.
   */
  revisionOutcomeLimit: 512,
  /** Change ids kept with their outcome. */
  changeIdLimit: 4_096,
  /** Seeds look for other disks for this long before they bootstrap the fleet ... */
  bootstrapAfterMs: 1_200,
  /**
   * ... and up to this long until there are as many as a shard needs replicas; later disks join one step at a time. Where the config sets a
   * fault tolerance, the fleet is not bootstrapped before the disks provide it, and a shortfall is reported after this long.
   */
  bootstrapReplicaWaitMs: 4_000,
  bootstrapEveryMs: 500,
  /** Interval at which it is reported that the disks present cannot provide the configured fault tolerance. */
  bootstrapReportMs: 10_000,
} as const;

/** Which disks vote and hold replicas: joins, replacements, planned moves. */
export const PLACEMENT = {
  /** The controller reviews the placement at this interval ... */
  controllerMs: 500,
  /** ... and after this delay following an update of a member or of an owner, so that updates that arrive together are handled together. */
  controllerWakeMs: 30,
  /** ... and after this delay following an update of an owner: all shards of a machine change together. */
  controllerOwnerChangeMs: 150,
  /** Consecutive steps that the controller makes without a pause; after them it waits for its next period. */
  controllerStepLimit: 8,
  /** A disk is also used for replicas if it is at least this many times faster than the typical disk intended for them. */
  fastDiskFactor: 4,
  /**
   * A disk joins the disk set after its process has been live for this long, which leaves out a process that ends right after its start.
   */
  joinAfterMs: 250,
  /** Machines that join within this time after the fleet was bootstrapped took part in its first start; later ones were added to it. */
  firstStartMs: 2_000,
  /** A disk that has been dead for this long is replaced. Longer than a restart, shorter than the time until a second failure is likely. */
  replaceAfterMs: 45_000,
  /**
   * A dead disk is replaced by an unused disk after this long, if there is one: longer than a process takes to restart. An unused disk
   * indicates that a machine was replaced, and the next loss may follow a few seconds later.
   */
  spareAfterMs: 3_000,
  /**
   * ... and after this long, if the unused disk appeared in the same failure domain after the other one fell silent: it was installed as
   * its replacement.
   */
  successorAfterMs: 1_000,
  /** Interval at which a stopping process checks whether other disks have what its disk holds ... */
  departureCheckMs: 20,
  /** ... and the part of its stop time that is reserved for the steps after that. */
  departureReserveMs: 600,
  /**
   * The record of a lost or emptied disk that holds nothing is removed after its machine was not seen for this long: operators ask for the
   * outcome of emptying a disk within minutes.
   */
  forgetDiskMs: 600_000,
  /** Such records that may be kept at once; the oldest is removed first. All machines of a site may be replaced within that time. */
  forgettableRecordLimit: 64,
  /** Shards that move at once; the limit keeps repair from taking capacity from traffic. */
  movingShardLimit: 8,
} as const;

/** A process: start, stop, its disk, and the transport between peers. */
export const PROCESS = {
  /** Entries of the hash cache: those of some thousand topics and of the replicas of all shards; about a megabyte. */
  hashCacheSize: 16_384,
  /**
   * During this time after its start a node lets an Attach wait until it serves: a consumer that is turned away would stay away for longer.
   */
  startWaitMs: 1_500,
  /** Time from SIGTERM to exit; SIGKILL comes at 6 s. */
  stopMs: 4_500,
  /**
   * Delay before gathered commits are written as one synced transaction: 0 is one turn of the event loop. While a sync is in progress,
   * commits are gathered in any case.
   */
  commitGatherMs: 0,
  /** A write-ahead log of this size is checkpointed; its size is checked every `walCheckCommits` commits. A start reads the whole log. */
  walCheckpointBytes: 4 * 1024 * 1024,
  walCheckCommits: 32,
  /** A relay whose disk could not be opened checks at this interval whether it can be opened. */
  diskRetryMs: 2_000,
  /** Interval at which settings files are compared, to find changes without a signal. */
  settingsPollMs: 1_000,
  /** The last frames of a closed connection have this long to be sent before its socket is destroyed. */
  closeGraceMs: 5_000,
  /** Time limit for connecting to a peer; links within a site answer far sooner. */
  connectMs: 1_000,
  /**
   * A connection that has unanswered calls and is quiet for this long is pinged, and closed after the same time again: 1.4 to 2.1 s in all.
   */
  peerQuietMs: 700,
  /** Largest frame between peers: earlier versions send the whole snapshot of a shard in one. */
  peerFrameBytes: 64 * 1024 * 1024,
  /** Bytes queued for one peer, in each direction; room for one snapshot beside the other traffic. */
  peerWaitingBytes: 80 * 1024 * 1024,
  /** Calls in progress to one peer, and from one peer. */
  peerCallLimit: 8_192,
  /** Connections from peers: one for each, and a few more while one is being replaced. */
  peerConnectionLimit: 2_048,
  /** A connection to a peer without traffic for this long is closed. */
  peerIdleMs: 30_000,
  /** Keep-alive interval of connections from peers: one whose machine has lost power is closed some 15 s later. */
  peerKeepAliveMs: 5_000,
  /** At a stop, the last frames to peers have this long to be sent. */
  peerCloseMs: 300,
} as const;
