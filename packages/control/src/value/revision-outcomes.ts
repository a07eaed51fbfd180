/**
 * Which configuration came into force under which of the operators' revisions. The record is part of the agreed value, so every
 * node, restarted or new, gives the same outcome. Invariant: a revision is recorded once, with one digest, and revisions are
 * recorded in rising order, in the same step that brings the configuration into force.
 */
import { REGISTER } from '@harecross/kernel';
import { createHash } from 'node:crypto';
import type { FleetValue } from './fleet-value.js';

/** 66 bits: two configurations that differ under one revision have equal digests once in 10^19 cases. */
const DIGEST_CHARS = 11;

/** The revisions whose outcome is known. */
export interface RevisionOutcomes {
  /** From here on a revision that is not in `digests` never came into force; below it outcomes are forgotten. */
  knownFrom: number;
  /** The digest of what came into force, by revision, lowest first; REGISTER.revisionOutcomeLimit at most. */
  digests: Map<number, string>;
}

/** An operator's order as far as its outcome depends on it. */
export interface SubmittedRevision {
  revision: number;
  digest: string;
}

/**
 * What has become of an order. `open`: not settled, it may still come into force. `accepted`: it came into force, and may have been
 * superseded since. `overtaken`: a higher revision came first, it never comes into force. `forgotten`: below all that is recorded,
 * either of the two. `conflict`: another configuration came into force under this revision, this one never does.
 */
export type RevisionOutcome = 'open' | 'accepted' | 'overtaken' | 'forgotten' | 'conflict';

/** JSON with the keys of every object in order: the same content gives the same text. */
function canonicalJson(content: unknown): string {
  return JSON.stringify(content, (_key, part: unknown) =>
    part !== null && typeof part === 'object' && !Array.isArray(part)
      ? Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)))
      : part,
  );
}

/**
 * The digest of an operator's configuration and document. The order of an object's keys makes no difference.
 * @example
 * digestOf(config, undefined) === digestOf(sameConfig, undefined) // true
 */
export function digestOf(config: unknown, document: unknown): string {
  const content = document === undefined ? { config } : { config, document };
  return createHash('sha256').update(canonicalJson(content)).digest('base64url').slice(0, DIGEST_CHARS);
}

/**
 * The digests of a value written before there were any. If the last change is the one that brought the revision, what is in force
 * tells the digest; else a later change without a revision has altered it, and the outcome is forgotten.
 */
function recomputed(value: FleetValue): RevisionOutcomes {
  const { revision } = value;
  if (revision === undefined) return { knownFrom: 0, digests: new Map() };
  if (value.changeId !== `revision-${revision}`) return { knownFrom: revision + 1, digests: new Map() };
  const document: unknown = value.document === undefined ? undefined : JSON.parse(value.document);
  return { knownFrom: revision, digests: new Map([[revision, digestOf(value.config, document)]]) };
}

/** The record of a value; of one whose last revision was brought by a node that keeps no record, what can be told of that one. */
function recordOf(value: FleetValue): RevisionOutcomes {
  const { revision, revisionOutcomes } = value;
  if (!revisionOutcomes) return recomputed(value);
  if (revision === undefined || revision < revisionOutcomes.knownFrom || revisionOutcomes.digests.has(revision))
    return revisionOutcomes;
  return recomputed(value);
}

/**
 * What a value says of an order.
 * @example
 * revisionOutcome(value, { revision: 50, digest }) // 'conflict'
 */
export function revisionOutcome(value: FleetValue, order: SubmittedRevision): RevisionOutcome {
  const record = recordOf(value);
  const digest = record.digests.get(order.revision);
  if (digest !== undefined) return digest === order.digest ? 'accepted' : 'conflict';
  if (value.revision === undefined || order.revision > value.revision) return 'open';
  return order.revision >= record.knownFrom ? 'overtaken' : 'forgotten';
}

/**
 * The record with an order that comes into force now; the lowest revisions beyond the bound are forgotten.
 * @example
 * next.revisionOutcomes = withRevision(value, { revision: 51, digest });
 */
export function recordRevision(value: FleetValue, order: SubmittedRevision): RevisionOutcomes {
  const record = recordOf(value);
  const digests = new Map(record.digests).set(order.revision, order.digest);
  let { knownFrom } = record;
  for (const revision of digests.keys()) {
    if (digests.size <= REGISTER.revisionOutcomeLimit) break;
    digests.delete(revision);
    knownFrom = revision + 1;
  }
  return { knownFrom, digests };
}
