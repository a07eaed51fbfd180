/**
 * Declares every RPC between nodes and whether it may be resent while its outcome is unknown, that is after no answer, a connection
 * reset or a timeout. The transport itself never sends a written frame twice. Code that resends requests accepts only a
 * {@link RepeatablePeerRpc}, so that an RPC declared `never` cannot be passed to it.
 */

/**
 * Whether an RPC may be resent while its outcome is unknown.
 * - `read`: it changes nothing, so executing it repeatedly is the same as executing it once.
 * - `idempotent`: a second execution has no effect beyond the first. `toldApartBy` lists the fields that identify a repeat, `for` says how
 *   long a repeat is recognized.
 * - `never`: a second execution could have a different effect than the first. Only the original sender may decide to issue a new request.
 */
export type Repeatability =
  | { repeat: 'read'; why: string }
  | { repeat: 'idempotent'; why: string; toldApartBy: string; for: string }
  | { repeat: 'never'; why: string };

const read = <const W extends string>(why: W) => ({ repeat: 'read', why }) as const;
const idempotent = (toldApartBy: string, duration: string, why: string) =>
  ({ repeat: 'idempotent', why, toldApartBy, for: duration }) as const;
const never = (why: string) => ({ repeat: 'never', why }) as const;

const ALWAYS = 'always';

export const PEER_RPCS = {
  // --- consensus register ---
  RegGet: read('returns the value that the peer has learned'),
  RegRead: read('returns the ballot and revision of a voter'),
  RegWho: read('returns the disk and fleet ids of a node'),
  RegPrepare: idempotent(
    'disk, ballot',
    'lifetime of the disk, which stores the promise',
    'a ballot is promised only once: a repeat is rejected and returns the promised ballot',
  ),
  RegAccept: idempotent(
    'disk, ballot',
    'lifetime of the disk, which stores the accepted ballot',
    'a ballot has one value, so accepting it again writes the same value; a ballot below a later promise is rejected',
  ),

  // --- membership ---
  Gossip: read('compares two membership views; the caller fetches the differences'),
  News: idempotent('key and version of each fact', ALWAYS, 'a fact not newer than the one known changes nothing'),
  Mend: idempotent('key and version of each fact', ALWAYS, 'a fact not newer than the one known changes nothing'),
  Shuffle: idempotent(
    'peer addresses',
    ALWAYS,
    'exchanges entries of partial views: a repeat exchanges once more, and any resulting view is valid',
  ),
  Ping: read('checks that a node is alive'),
  PingFor: read('checks through another node that a node is alive'),

  // --- replicas of a shard ---
  Fence: idempotent(
    'disk, shard, fence',
    'lifetime of the disk, which stores the promise',
    'a fence contains the instance that chose it; a repeat of the same fence is already promised',
  ),
  Append: idempotent(
    'disk, shard, fence, index',
    'lifetime of the disk',
    'appends entries after a known index and fence; entries already stored are identical, and an older fence is rejected',
  ),
  Beats: idempotent('disk, shard, fence', ALWAYS, 'an append without entries'),
  Install: idempotent(
    'disk, shard, fence, base',
    'lifetime of the disk',
    'installs a snapshot under a fence; a repeat leaves the same history, and an older fence is rejected',
  ),
  Fetch: read('returns entries of a replica'),
  Who: read('returns the fences that a replica has promised'),

  // --- owner of a shard ---
  Publish: idempotent(
    'topic, sender, sequence',
    '30 s after acceptance (SHARD.resendHistoryMs); then the answer is `outcome_unknown` while the last trimmed sequence number is known',
    'every owner, including later ones, finds the first outcome in the history by its sequence number',
  ),
  Interest: idempotent(
    'instance of the relay, topic, revision',
    'as long as the owner knows the relay',
    'a revision that is not newer than the known one is ignored, and so is an older instance',
  ),
  Open: read("returns the bounds of a topic's history"),
  History: read('returns entries of a topic'),
  Heads: read('compares the offsets that a relay has seen with the current ones'),
  Count: read('counts listeners'),
  Yield: idempotent(
    'shard, disk, fence of the owner',
    'as long as the owner holds that fence',
    'permits another node to take over the shard: a repeated permission changes nothing, and the takeover has its own fence',
  ),
  TakeKey: idempotent(
    'shard, fence of the requesting owner',
    'lifetime of the disk, which stores promised fences',
    'a node that has promised a higher fence ignores the request: some node, perhaps itself, has taken over the shard since',
  ),

  // --- relays ---
  Fan: idempotent(
    'topic, generation, offset',
    'lifetime of the subscription',
    'a subscription accepts each offset once, in order; frames of an ended generation are discarded',
  ),
  CountHolds: read('counts listeners at one relay'),
  Home: idempotent(
    'consumer, connection id',
    'SESSION.homeEntryTtlMs after it was last reported',
    'a connection id contains the relay, instance and number; the most recently attached connection is kept',
  ),
  Replace: idempotent('connection id', ALWAYS, 'closes one connection; ids are never reused'),
  Pass: never(
    'forwards a client RPC to the relay that has its connection: a delayed Unsubscribe could end a later subscription',
  ),

  // --- indirect paths ---
  Carry: never('forwards the frame of any other RPC around a broken link, including RPCs that must not be resent'),
} as const satisfies Record<string, Repeatability>;

/** The name of an RPC between nodes. */
export type PeerRpc = keyof typeof PEER_RPCS;
/** The name of an RPC between nodes that may be resent while its outcome is unknown. */
export type RepeatablePeerRpc = {
  [M in PeerRpc]: (typeof PEER_RPCS)[M]['repeat'] extends 'never' ? never : M;
}[PeerRpc];

/**
 * Whether a name is that of an RPC between nodes declared repeatable. False for unknown names.
 * @example
 * isRepeatable('Publish'); // true
 */
export function isRepeatable(method: string): method is RepeatablePeerRpc {
  return Object.hasOwn(PEER_RPCS, method) && PEER_RPCS[method as PeerRpc].repeat !== 'never';
}

/**
 * Runtime check for code that resends requests: throws for an RPC that must not be resent, even if a cast bypassed the type check.
 * @example
 * assertRepeatable('Carry' as RepeatablePeerRpc); // throws
 */
export function assertRepeatable(method: RepeatablePeerRpc): void {
  if (!isRepeatable(method)) throw new Error(`${String(method)} must not be sent again`);
}
