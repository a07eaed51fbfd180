/**
 * Every constant of the system, in groups by area, with its unit and the reason for it.
 * Names end in the unit or the kind of bound: Ms, S, Bytes, Count, Limit, Size, Factor. No name stands in two groups.
 */

/** Sessions of clients at a relay, their interest leases and delivery (the paper's design; values are ours). */
export const SESSION = {
  /** A hold ends this long after its last renewal. Three renewals fit, so two may be lost. */
  leaseTtlMs: 60_000,
  /** A relay renews a hold from traffic this often. A third of the TTL, as in the source. */
  leaseRenewMs: 20_000,
  /** The owner keeps fanning this long past expiresAt, so it never stops before the relay does. */
  leaseSkewMs: 2_000,
  /** A conn silent for this many pings is dropped: one lost probe and one late one are forgiven. */
  missedPingCount: 3,
  /** Default ping_s; callers check in about every two seconds. */
  pingS: 2,
  /** Counts leave out conns silent for longer than this, whatever their ping: the truth of the last 5 s. */
  listenerActiveMs: 4_500,
  /** Standard lane of a conn's buffer. */
  standardQueueBytes: 512 * 1024,
  /** Frames above this size use the oversized lane. */
  oversizedFromBytes: 64 * 1024,
  /** Oversized lane of a conn's buffer; a few of the largest bodies. */
  oversizedQueueBytes: 2 * 1024 * 1024,
  /** Flush of a conn's buffer for routine families. */
  flushMs: 250,
  /** A family with an aim flushes after this share of it, if that is sooner. */
  flushShare: 0.1,
  /** What a frame takes beside its body: topic, sender, numbers. */
  frameOverheadBytes: 128,
  /** Flush when an urgent message waits: a warning must not sit a quarter second for company. */
  flushUrgentMs: 20,
  /** Catch-up from history pauses above this much buffered, so that it never saturates a lane itself. */
  catchUpBytes: 128 * 1024,
  /** Relay asks owners for heads this often: finds a lost last frame within one period. */
  headsMs: 1_000,
  /** Entries asked of history at a time; a page stays far below a lane. */
  historyPageLimit: 64,
  /** How long the owner waits for relays when it counts listeners; the asker's patience is about 2 s. */
  countTimeoutMs: 700,
  /** A key taken this lately: relays may not have told their interest, so all of them are asked. */
  countAllRelaysMs: 4_000,
  /** Holds and conns a relay may have: beyond it, new conns are rejected at once. */
  connectionLimit: 4_000,
  /** Subscriptions a conn may have. */
  subscriptionsPerConnectionLimit: 256,
  /** A consumer's home forgets a conn not re-registered for this long. */
  homeEntryTtlMs: 40_000,
  /** Unable to serve for this long a relay sends its conns elsewhere: before the others call it dead and count them no more. */
  readLeaseLostMs: 4_000,
  /** Relay re-registers its conns at their homes this often. */
  homeRenewMs: 15_000,
  /** A planned restart sends its conns away over this long; a stop has less time. */
  plannedDrainSpreadMs: 3_000,
  drainSpreadMs: 1_000,
  /** A stopping relay stays for late comers: the platform notices after two polls, a second apart. */
  drainMs: 2_600,
} as const;

/** Shards: their copies, owners and history. */
export const SHARD = {
  /** Shards of the topic space: several per disk at today's 8 disks, so that duty evens out. */
  shardCount: 32,
  /** Default copies of a shard; survives two lost disks. */
  replicaCount: 5,
  /** No disk has more copies than its share times this; measured in docs/measurements.md. */
  replicaSlack: 1.1,
  /** No disk owns more keys than its share times this: evener than plain rendezvous, and few keys move. */
  ownerSlack: 1.25,
  /** History kept = family memory times this ... */
  memorySlack: 1.5,
  /** ... plus this, so that a promise of 25 s is never cut short by rounding or fail-over. */
  memorySlackMs: 15_000,
  /** Every accepted message stays in the history this long, whatever its family's memory, so that a repeat of its number has its
   * first outcome. Callers repeat for 10 s; three times that, because clocks and the way of an answer come on top. */
  resendHistoryMs: 30_000,
  /** The last trimmed number of a sender and topic is known this long: what is above it and not in the history was never
   * accepted, what is below it is not known any more. Dedupe rows outlive any memory by a wide margin. */
  dedupeKeepMs: 30 * 60_000,
  /** Owner checks its keys this often. */
  ownershipCheckMs: 250,
  /** Owner pings its copies this often when there is no traffic. */
  heartbeatMs: 400,
  /** Without a majority's answer for this long an owner holds its duty in doubt and rejects visits. */
  ownershipDoubtMs: 1_600,
  /** A take that failed is tried again after this long. */
  electionRetryMs: 600,
  /** After its start a node leaves keys to others who may be coming up too for this long: a fleet comes back within it. */
  startupGraceMs: 300,
  /** A key is asked from an owner that serves once it was matched to another for this long: machines come and go in less. */
  steadyAssignmentMs: 4_000,
  /** A visit waits this long at a node that is just taking its key; a take is two rounds to a majority. */
  electionWaitMs: 400,
  /** A publish that must follow another waits this long for it at the owner; the relay brings both again if need be. */
  predecessorWaitMs: 100,
  /** An owner that leaves tries this long to have its keys taken; all of a stop has `stopMs`. */
  handOverMs: 1_500,
  /** After the hand-over, callers that still come are told where to go for this long. */
  redirectMs: 100,
  /** Who was allowed to take a key and did not within this long asked in vain. */
  yieldTimeoutMs: 1_500,
  /** Who asked for a key in vain may ask again after this long. */
  yieldRefusalMs: 30_000,
  /** An owner in doubt this long calls itself ill, so that others take its keys ... */
  isolatedOwnerMs: 1_000,
  /** ... and stays so this long: links that broke seldom mend in seconds. */
  unhealthyMs: 20_000,
  /** Time limit of one Append; a slow disk may take a while, and the others make the majority. */
  appendTimeoutMs: 1_500,
  /** Entries in one Append. */
  appendEntryLimit: 256,
  /** Publishes waiting at one owner before it rejects; urgent ones have the whole, routine ones half. */
  ownerQueueLimit: 2_000,
  /** Frames waiting at an owner for one relay; more are left to history, which the relay reads. */
  fanOutQueueLimit: 1_000,
  /** An owner trims its history this often ... */
  trimMs: 2_000,
  /** ... and a copy follows this often: each time it writes more pages than for the appends since. */
  trimReplicaMs: 10_000,
  /** Copies follow in snapshots when behind the base; a snapshot call may take this long. */
  snapshotTimeoutMs: 5_000,
} as const;

/** Requests of clients: their way to an owner, and bounds of what a node takes at once. */
export const REQUEST = {
  /** Visits in work at one edge; beyond it they are rejected with a time to come back. */
  gatewayQueueLimit: 3_000,
  /** Retry hint base; a random share of as much again spreads callers out. */
  retryMs: 400,
  /** One try of a relay at an owner. */
  ownerAttemptMs: 900,
  /** A visit at an owner that lost its key is waited for this long: its answer may be on the way. */
  movedGraceMs: 20,
  /** Pause between two tries at owners while a key changes hands, unless there is news of it. */
  ownerRetryMs: 40,
  /** Time limit for asking a copy whom it promised its key. */
  fenceQueryMs: 300,
  /** An owner that takes this long for a visit is looked at by the membership: ordinary ones take a tenth of it. */
  slowRequestMs: 150,
  /** ... and again after this long at most. */
  slowOwnerProbeMs: 1_000,
  /** A publish whose key has no owner in sight is given up after this long, well below any patience. */
  noOwnerMs: 700,
  /** What a sender had on the way when an earlier publish of it was turned away arrives within this long: a round trip to callers. */
  inFlightPublishMs: 100,
  /** Publishes of a sender that are given up together are answered in order, but none waits longer than this for those before it. */
  inOrderAnswerMs: 250,
  /** Tries at owners after a visit's first, of one node: this many a second ... */
  retriesPerS: 40,
  /** ... and this share of the first tries ... */
  retriesShare: 0.2,
  /** ... of which so many may be saved: a key that changes hands is asked for a few times by each visit under way. */
  retryBurstLimit: 400,
  /** A link that gave no answer is tried directly this often; meanwhile visits of the data plane go round it. */
  linkProbeMs: 700,
  /** A line of a client: topic, cursor and name are far shorter. */
  accessLineBytes: 16 * 1024,
  /** The largest body any family may allow; larger ones are refused unread ... */
  maxBodyBytes: 1024 * 1024,
  /** ... and thrown away up to this size; beyond it the connection is closed. */
  accessDiscardBytes: 16 * 1024 * 1024,
  /** Answers and frames a client has not read yet, beyond both lanes of its buffer: it does not read. */
  accessUnreadBytes: 4 * 1024 * 1024,
  /** Requests of one connection in work before we read no more of them. */
  accessInFlightLimit: 128,
  /** Bodies that come in pieces, of all connections together; a body beyond it is not taken. */
  accessBodiesBytes: 32 * 1024 * 1024,
  /** Connections that have not attached, and at most half of all: beyond it the oldest of them is closed. */
  accessUnattachedLimit: 1_000,
  /** A connection that has not attached within this time is closed; looked for this often. */
  accessAttachMs: 10_000,
  accessSweepMs: 1_000,
  /** Default limit of a body. */
  bodyBytes: 64 * 1024,
} as const;

/** Membership: gossip, partial views, probes of silent members. */
export const MEMBERSHIP = {
  /** One gossip exchange with this many peers per period. */
  gossipPeerCount: 2,
  gossipMs: 500,
  /** While news keeps coming a node compares only this often. */
  gossipWhileBusyMs: 2_000,
  /** After its start a node compares this often, for this long at most, or until so many peers had nothing new for it. */
  joinEveryMs: 100,
  joinMs: 3_000,
  joinQuietCount: 6,
  /** In a large fleet less often, so that some 250 a second of all that start together reach a peer whom all know. */
  joinPerMemberMs: 4,
  /** News goes to this many peers at each step; log2(200) steps reach a large fleet. */
  disseminationFanOut: 4,
  /** News is sent at most this often for each member there is: 4 calls in 30 ms in a fleet of 15, in 190 ms in one of 94. */
  disseminationGapPerMemberMs: 2,
  /** A node says its weight at most this often for each member: all together 50 times a second. */
  weightGapPerMemberMs: 20,
  /** Entries of a partial view. */
  partialViewSize: 12,
  /** Entries swapped in one shuffle. */
  shuffleSize: 5,
  shuffleMs: 1_000,
  /** One member not heard of for this long is asked directly every period, in shuffled turn. */
  probeAfterMs: 800,
  probeEveryMs: 250,
  /** Time limit of a ping. */
  probeMs: 500,
  /** A member that did not answer our own probe after this long is asked through others beside it ... */
  probeDirectMs: 120,
  /** ... and suspected when none of them had an answer after this long; a lost packet is sent again after about 200 ms. */
  probeIndirectMs: 300,
  /** Pings are mostly answered sooner than this; while they take longer, the limits above are longer by as much, up to so many times. */
  pingUsualMs: 40,
  probeTimeoutFactorLimit: 5,
  /** A probe that took this much longer than it may says that our own loop stood still, and nothing of the member. */
  probeLateMs: 100,
  /** Members asked to try in our place before we suspect one: they may have a better link to it. */
  probeIntermediaryCount: 3,
  /** A suspected member is dead after this long. */
  suspicionTimeoutMs: 8_000,
  /** A dead member's record is forgotten after this long. */
  deadRecordTtlMs: 120_000,
  /** That a record was forgotten is remembered this long: several times what any node takes to forget it too, also one that joined late. */
  tombstoneMs: 600_000,
  /** Members known are kept on disk, where that changed, this often; and so many of them: a start needs one that is there. */
  rememberPeersEveryMs: 5_000,
  rememberedPeerLimit: 64,
  /** Time limit of small control calls. */
  callTimeoutMs: 800,
  /** A gap in our own loop this long means we were frozen: duties are in doubt until confirmed. */
  loopFrozenMs: 1_200,
  /** What came while a process stood still is read within this long after it goes on. */
  loopResumedMs: 300,
  loopTickMs: 200,
} as const;

/** The consensus register: read lease, changes, operators' orders, bootstrap. */
export const REGISTER = {
  /** Every node confirms its version at a majority this often ... */
  confirmMs: 600,
  /** ... in a large fleet less often: 100 confirmations a second of all nodes. */
  confirmPerMemberMs: 10,
  /** Before the first confirmation after a start a node tries this often, this many at once: traffic waits for it. */
  firstConfirmMs: 60,
  firstConfirmConcurrency: 4,
  /** In a large fleet less often, for the same reason as joinPerMemberMs. */
  firstConfirmPerMemberMs: 4,
  /** ... for this long; then one try in so many. */
  firstConfirmEagerMs: 3_000,
  firstConfirmLateDivisor: 8,
  /** A change is in force within this time after it was acknowledged, where the process's config says nothing else. */
  applyMs: 3_000,
  /** Seats beyond a majority are asked when those asked first did not answer after this long; a sync of a slow disk is not waited for. */
  confirmMajorityOnlyMs: 120,
  /** In a large fleet later: a voter that is busy with the others' questions must not get more of them for that. */
  confirmMajorityOnlyPerMemberMs: 6,
  /** ... and serves only while the last confirmation began at most this share of it ago. */
  readLeaseShare: 0.8,
  /** Seats of the register (disks that vote). Odd; two may fail at 5, three at 7. */
  voterCount: 7,
  /** A newer value is fetched from one peer, and from others only after this long: several ways there and back, and a lost packet. */
  valueFetchExclusiveMs: 80,
  /** In a large fleet later: all fetch at the same time. */
  valueFetchExclusivePerMemberMs: 8,
  /** Time limit of a fetch for each member, where that is longer than that of other calls. */
  fetchPerMemberMs: 35,
  /** Fetches of the value at once, of one node. */
  valueFetchConcurrency: 4,
  /**
   * From this size on long things are fetched from nodes with disks, others' hung changes are left to the voters, and a node tries its
   * first confirmation once at a time: in smaller fleets only a few nodes do such things at once.
   */
  largeFleetSize: 32,
  /** A visit from a peer that knows a newer value waits for it; what could not be fetched is fetched again after this long. */
  laggingRetryMs: 40,
  /** Change attempts give up after this long, and say so. */
  changeTimeoutMs: 6_000,
  /**
   * An order is worked on for this long after it was last sent, whether its sender waits or not. Senders repeat an order that got no
   * clear answer within a second or two, at any node; longer than this, and an order of a node that was cut off would come into
   * force when nobody expects it any more.
   */
  submitMs: 4_000,
  /** An operator's call is answered within this long where no majority answers: callers go elsewhere after one second of silence. */
  operatorAnswerMs: 600,
  /**
   * A voter accepts a value this long after its promise, and no later: a round takes a few calls, and a value that lay in a buffer
   * while a machine stood still or was cut off must not be chosen when it wakes.
   */
  promiseTtlMs: 3_000,
  /** A voter that hears of a repair refuses the ballots of other proposers for this long: some rounds, with a wait between them. */
  repairReservationMs: 300,
  /** Different submissions that one node works on; resent ones share one, and few operators are at work at a time. */
  submissionLimit: 32,
  /** Callers that wait for one submission at one node: a few operators, each of whom resends it every second while it is worked on. */
  submissionWaiterLimit: 256,
  /** Changes by change id under way at one node. Each holds a configuration for changeMs at most. */
  concurrentChangeLimit: 32,
  /** One try at that; then the highest revision that was sent meanwhile is taken up instead. */
  submitAttemptMs: 2_000,
  /** What is in force is asked of a majority again after about this long, before an old revision is answered. */
  submitPollMs: 200,
  /**
   * Revisions remembered with what came into force under them: an order sent again gets its first outcome until this many others came
   * into force. Hours at the changes of a busy day, against resends that come within seconds; about 20 bytes each in the value.
   */
  revisionOutcomeLimit: 512,
  /** Change ids remembered with their outcome. */
  changeIdLimit: 4_096,
  /** Founders look around this long for other disks before they found. */
  bootstrapAfterMs: 1_200,
  /**
   * ... and for as many as a shard needs replicas up to this long; later ones join one step at a time. Where the config says what is to
   * be borne, the fleet is not founded before it is, and after this long that is reported.
   */
  bootstrapReplicaWaitMs: 4_000,
  bootstrapEveryMs: 500,
  /** While the disks that are there can't bear what is asked for, that is said this often. */
  bootstrapReportMs: 10_000,
} as const;

/** Which disks vote and hold copies: joining, replacement, planned moves. */
export const PLACEMENT = {
  controllerMs: 500,
  /** ... and this long after news of a member or of an owner: what comes together is looked at together. */
  controllerWakeMs: 30,
  /** ... and this long after news of an owner: the shards of a machine change together. */
  controllerOwnerChangeMs: 150,
  /** Steps of the keeper that follow from one another at once; then it looks again after its period. */
  controllerStepLimit: 8,
  /** A disk this many times sooner than those made for copies is worth having copies on. */
  fastDiskFactor: 4,
  /** A disk seen live this long is let into the disk set: a process that ends right after its start is not. */
  joinAfterMs: 250,
  /** A disk dead this long is replaced. Longer than a restart, shorter than a second failure is likely. */
  replaceAfterMs: 45_000,
  /** A disk dead this long gives its place to one that holds nothing, if there is one: longer than a process takes to start anew. A
   * machine that was replaced is known by that, and the next loss may come a few seconds after. */
  spareAfterMs: 3_000,
  /** ... and this long, if that one came to the same domain after the other fell silent: it was sent in its place. */
  successorAfterMs: 1_000,
  /** A stopping process looks this often whether others have what its disk had ... */
  departureCheckMs: 20,
  /** ... and leaves this much of the time for its stop to what comes after. */
  departureReserveMs: 600,
  /** The record of a lost or emptied disk that holds nothing is forgotten when its machine was not seen for this long: operators ask
   * for the outcome of an emptying within minutes. */
  forgetDiskMs: 600_000,
  /** So many of them wait at most, the oldest goes first: machines of a whole site may be replaced within that time. */
  forgettableRecordLimit: 64,
  /** Shards in motion at once; keeps repair from taking traffic's share. */
  movingShardLimit: 8,
} as const;

/** A process: start, stop, its disk, and the transport between peers. */
export const PROCESS = {
  /** Hashes remembered: those of some thousand topics and of the copies of all shards; about a megabyte. */
  hashCacheSize: 16_384,
  /** A node this young lets an Attach wait until it serves: turned away, a consumer would stay away for longer than that. */
  startWaitMs: 1_500,
  /** SIGTERM to exit; the hard kill comes at 6 s. */
  stopMs: 4_500,
  /** Commits gather this long into one synced transaction: a turn of the loop. While a sync is under way they gather anyway. */
  commitGatherMs: 0,
  /** A log this long is written back; looked at every so many commits. A start reads it whole. */
  walCheckpointBytes: 4 * 1024 * 1024,
  walCheckCommits: 32,
  /** A relay whose disk could not be opened looks this often whether it can be. */
  diskRetryMs: 2_000,
  /** Settings files are compared this often, for changes without a signal. */
  settingsPollMs: 1_000,
  /** A closed conn's last words have this long to get out before its socket is destroyed. */
  closeGraceMs: 5_000,
  /** Time limit for connecting to a peer; site links answer far sooner. */
  connectMs: 1_000,
  /** A connection that owes answers and is quiet for this long is pinged, and given up after as long again: 1.4 to 2.1 s in all. */
  peerQuietMs: 700,
  /** Largest peer frame: a shard's whole snapshot. */
  peerFrameBytes: 64 * 1024 * 1024,
  /** Bytes waiting for one peer, each way; room for one snapshot beside what else there is. */
  peerWaitingBytes: 80 * 1024 * 1024,
  /** Calls under way to one peer, and from one. */
  peerCallLimit: 8_192,
  /** Connections that peers may have to us: one each, and a few more while one is replaced. */
  peerConnectionLimit: 2_048,
  /** A connection to a peer that nothing was said on for this long is closed. */
  peerIdleMs: 30_000,
  /** Keep-alive of connections from peers: one whose machine lost power is let go of some 15 s later. */
  peerKeepAliveMs: 5_000,
  /** At a stop, last words have this long to get out. */
  peerCloseMs: 300,
} as const;
