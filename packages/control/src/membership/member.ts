/** Members of the fleet: the record that each publishes of itself, and the state that this node assigns to it. */
import type { DiskUse, Role } from '@harecross/kernel';

/**
 * The condition that a member publishes. `joining`: it can't serve yet. `ready`: it takes requests and ownership. `draining`: it is
 * leaving or in a planned restart. `left`: it has stopped. `ill`: it is unhealthy and serves only where no other member can. Wire format.
 */
export type MemberCondition = 'joining' | 'ready' | 'draining' | 'left' | 'ill';

/** The record that a member publishes of itself. Only the member writes it. Wire format: the field names must not change. */
export interface MemberRecord {
  /** Address (`host:port`) for RPCs between nodes; also the member's id. */
  peer: string;
  /** Address for clients. */
  client: string;
  /** Failure domain. */
  domain: string;
  /** Region of its failure domain, if one is configured. */
  region?: string;
  role: Role;
  /** Name of the node for operators. */
  name: string;
  /** Id of its disk. */
  disk?: string;
  diskUses?: DiskUse[];
  /** How long its disk took to open (ms). */
  diskMs?: number;
  /** Its disk was drained at an operator's request, and the request has not been cancelled. */
  emptied?: boolean;
  /** Whether its disk took part in the first start of the fleet; false: the machine was added later. Earlier versions omit this. */
  inFirstStart?: boolean;
  /**
   * It takes ownership of shards by `hasFenceQuorum`. Versions without that rule omit this; while a node of such a version is present, no
   * replica is replaced in one step.
   */
  jointFences?: true;
  /** Instance id of the process. A later process at the same address has a higher one. */
  inst: string;
  condition: MemberCondition;
  /** Number of its client connections. */
  weight: number;
  /** It can decode compressed lists. Versions without support for them omit this. */
  packs?: boolean;
}

/** The state that this node assigns to a member. */
export type MemberState = 'live' | 'suspect' | 'dead' | 'left';

/** A member's record with this node's observations of it. Times are by the monotonic clock (ms). */
export interface Member extends MemberRecord {
  state: MemberState;
  /** When this node last heard from it. */
  seenAt: number;
  liveSince: number;
}

const MEMBER_PREFIX = 'm/';
const SUSPICION_PREFIX = 's/';

/** The key of a member's own record. */
export const memberKey = (peer: string): string => `${MEMBER_PREFIX}${peer}`;

/** The key of the suspicion of a member. Its version is that of the suspected record. */
export const suspicionKey = (peer: string): string => `${SUSPICION_PREFIX}${peer}`;

/** The member whose record has this key, or undefined for other facts. */
export const peerOfMemberKey = (key: string): string | undefined =>
  key.startsWith(MEMBER_PREFIX) ? key.slice(MEMBER_PREFIX.length) : undefined;

/** The member whose suspicion has this key, or undefined for other facts. */
export const peerOfSuspicionKey = (key: string): string | undefined =>
  key.startsWith(SUSPICION_PREFIX) ? key.slice(SUSPICION_PREFIX.length) : undefined;
