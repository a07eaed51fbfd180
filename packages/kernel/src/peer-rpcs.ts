/**
 * Every RPC between nodes, and whether it may be sent again while its outcome is unknown: after silence, a reset, or a timeout. The
 * transport itself never sends a written frame twice; whoever resends takes a {@link RepeatablePeerRpc}, so that an RPC declared
 * `never` cannot be given to it.
 */

/**
 * Whether an RPC may be sent again when its outcome is unknown.
 * - `read`: it changes nothing, so that any number of runs is the same as one.
 * - `idempotent`: a second run has no effect beyond the first; `toldApartBy` says what marks a repeat, `for` how long it is known.
 * - `never`: a second run could do something else than the first; only who first sent it may decide to ask anew.
 */
export type Repeatability =
  | { repeat: 'read'; why: string }
  | { repeat: 'idempotent'; why: string; toldApartBy: string; for: string }
  | { repeat: 'never'; why: string };

const read = <const W extends string>(why: W) => ({ repeat: 'read', why }) as const;
const idempotent = (toldApartBy: string, span: string, why: string) =>
  ({ repeat: 'idempotent', why, toldApartBy, for: span }) as const;
const never = (why: string) => ({ repeat: 'never', why }) as const;

const ALWAYS = 'always';

export const PEER_RPCS = {
  // --- consensus register ---
  RegGet: read('gives the value that the peer has learned'),
  RegRead: read('gives the ballot and revision of a voter'),
  RegWho: read('gives the disk and fleet ids of a node'),
  RegPrepare: idempotent(
    'disk, ballot',
    'while the disk lasts: the promise is on it',
    'a ballot is promised once: its repeat is refused and tells what was promised',
  ),
  RegAccept: idempotent(
    'disk, ballot',
    'while the disk lasts: the accepted ballot is on it',
    'a ballot has one value, so that accepting it again writes the same; below a later promise it is refused',
  ),

  // --- membership ---
  Gossip: read('compares two views; what differs is fetched by the one who asked'),
  News: idempotent('key and version of each fact', ALWAYS, 'a fact not newer than the one known changes nothing'),
  Mend: idempotent('key and version of each fact', ALWAYS, 'a fact not newer than the one known changes nothing'),
  Shuffle: idempotent(
    'peer addresses',
    ALWAYS,
    'entries of a partial view: a repeat swaps once more, and any view is a valid one',
  ),
  Ping: read('a sign of life'),
  PingFor: read('a sign of life by way of another node'),

  // --- replicas of a shard ---
  Fence: idempotent(
    'disk, shard, fence',
    'while the disk lasts: the promise is on it',
    'a fence carries the instance that chose it; the same one again is promised already',
  ),
  Append: idempotent(
    'disk, shard, fence, index',
    'while the disk lasts',
    'entries behind a known index and fence; those there already are the same, an older fence is refused',
  ),
  Beats: idempotent('disk, shard, fence', ALWAYS, 'an append without entries'),
  Install: idempotent(
    'disk, shard, fence, base',
    'while the disk lasts',
    'a snapshot under a fence; the same one again leaves the same history, an older fence is refused',
  ),
  Fetch: read('gives entries of a replica'),
  Who: read('gives the fences that a replica has promised'),

  // --- owner of a shard ---
  Publish: idempotent(
    'topic, sender, sequence',
    '30 s after it was accepted (SHARD.repeatKeepMs); then the answer is `outcome_unknown`, for as long as the last trimmed number is known',
    'the first outcome is found in the history by its number, at every later owner too',
  ),
  Interest: idempotent(
    'instance of the relay, topic, revision',
    'while the owner knows the relay',
    'a revision not above the one known is ignored, and so is an older instance',
  ),
  Open: read('gives where a topic begins and ends'),
  History: read('gives entries of a topic'),
  Heads: read('compares what a relay has seen with what there is'),
  Count: read('counts listeners'),
  Yield: idempotent(
    'shard, disk, fence of the owner',
    'while the owner has that fence',
    'allows another to take the shard: allowed twice is allowed once, and the taking has its own fence',
  ),
  TakeKey: idempotent(
    'shard, fence of the owner that asks',
    'while the disk lasts: promised fences are on it',
    'whoever has promised a higher fence takes nothing for it: somebody, perhaps itself, has taken the shard since',
  ),

  // --- relays ---
  Fan: idempotent(
    'topic, generation, offset',
    'while the subscription lasts',
    'a subscription takes each offset once, in order; frames of an ended generation are left',
  ),
  CountHolds: read('counts listeners at one relay'),
  Home: idempotent(
    'consumer, connection id',
    'SESSION.homeForgetMs after it was last said',
    'connection ids name relay, instance and number; the one attached last stays',
  ),
  Replace: idempotent('connection id', ALWAYS, 'ends one connection; ids are never used again'),
  Pass: never(
    'carries the RPC of a caller to the relay that has its connection: an Unsubscribe run late could end a later subscription',
  ),

  // --- indirect paths ---
  Carry: never('carries the frame of any other RPC past a broken link, also of one that may not be repeated'),
} as const satisfies Record<string, Repeatability>;

/** The name of an RPC between nodes. */
export type PeerRpc = keyof typeof PEER_RPCS;
/** An RPC between nodes that may be sent again while its outcome is unknown. */
export type RepeatablePeerRpc = {
  [M in PeerRpc]: (typeof PEER_RPCS)[M]['repeat'] extends 'never' ? never : M;
}[PeerRpc];

/**
 * Whether an RPC between nodes is declared repeatable. Unknown names are not.
 * @example
 * isRepeatable('Publish'); // true
 */
export function isRepeatable(m: string): m is RepeatablePeerRpc {
  return Object.hasOwn(PEER_RPCS, m) && PEER_RPCS[m as PeerRpc].repeat !== 'never';
}

/**
 * For those who resend: throws for an RPC that may not be sent again, whatever the compiler was told.
 * @example
 * mustBeRepeatable('Carry'); // throws
 */
export function assertRepeatable(m: RepeatablePeerRpc): void {
  if (!isRepeatable(m)) throw new Error(`${String(m)} must not be sent again`);
}
