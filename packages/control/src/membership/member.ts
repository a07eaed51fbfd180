/** Members of the fleet: what each says of itself, and what this node believes about it. */
import type { DiskUse, Role } from '@harecross/kernel';

/**
 * What a member says of its own state. `joining`: it can't serve yet. `ready`: it takes requests and ownership. `draining`: it is
 * leaving or in a planned restart. `left`: it has stopped. `ill`: unhealthy, it serves only where no other can. Wire format.
 */
export type MemberCondition = 'joining' | 'ready' | 'draining' | 'left' | 'ill';

/** A member's own record. Only the member writes it. Wire format: the field names stay. */
export interface MemberRecord {
  /** Address (`host:port`) for RPCs between nodes; also the member's id. */
  peer: string;
  /** Address for clients. */
  client: string;
  /** Failure domain. */
  domain: string;
  /** Region of its failure domain, where it was told. */
  region?: string;
  role: Role;
  /** By which operators call the machine. */
  name: string;
  /** Id of its disk. */
  disk?: string;
  diskUses?: DiskUse[];
  /** How long its disk took when it was opened (ms). */
  diskMs?: number;
  /** Its disk was drained for an operator, and nobody has taken that back. */
  emptied?: boolean;
  /** It takes shards by `fenceQuorum`. Nodes of before that rule leave it out, and no replica is replaced in one step then. */
  jointFences?: true;
  /** Id of the process: a later process at the same address has a higher one. */
  inst: string;
  condition: MemberCondition;
  /** Client connections held. */
  weight: number;
  /** It reads compressed lists; nodes of before there were any leave it out. */
  packs?: boolean;
}

/** What this node believes about a member. */
export type MemberState = 'live' | 'suspect' | 'dead' | 'left';

/** A member's record with what this node has observed of it. Times are of the steady clock (ms). */
export interface Member extends MemberRecord {
  state: MemberState;
  /** When it last gave a sign of life. */
  seenAt: number;
  liveSince: number;
}

const MEMBER_PREFIX = 'm/';
const SUSPICION_PREFIX = 's/';

/** The key of a member's own record. */
export const memberKey = (peer: string): string => `${MEMBER_PREFIX}${peer}`;

/** The key under which a member is suspected; its version is that of the record that the suspicion is about. */
export const suspicionKey = (peer: string): string => `${SUSPICION_PREFIX}${peer}`;

/** The member whose record has this key; undefined for other facts. */
export const peerOfMemberKey = (key: string): string | undefined =>
  key.startsWith(MEMBER_PREFIX) ? key.slice(MEMBER_PREFIX.length) : undefined;

/** The member whose suspicion has this key; undefined for other facts. */
export const peerOfSuspicionKey = (key: string): string | undefined =>
  key.startsWith(SUSPICION_PREFIX) ? key.slice(SUSPICION_PREFIX.length) : undefined;
