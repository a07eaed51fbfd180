/**
 * Records which configuration came into force under each operator revision. The record is part of the agreed value, so every node
 * reports the same outcome, also after a restart or as a new member. Invariant: each revision is recorded once, with one digest, in
 * ascending order, and in the same change that brings its configuration into force.
 */
import { REGISTER } from '@harecross/kernel';
import { createHash } from 'node:crypto';
import type { FleetValue } from './fleet-value.js';

/** 66 bits: two different configurations under one revision have equal digests with a probability of about 1 in 10^19. */
const DIGEST_CHARS = 11;

/** The revisions with a known outcome. */
export interface RevisionOutcomes {
  /** A revision from here on that is not in `digests` has not come into force; outcomes of lower revisions were evicted. */
  knownFrom: number;
  /** The digest of the configuration that came into force, by revision, lowest first; REGISTER.revisionOutcomeLimit at most. */
  digests: Map<number, string>;
}

/** The parts of an operator's submission that determine its outcome. */
export interface SubmittedRevision {
  revision: number;
  digest: string;
}

/**
 * The outcome of a submission. `open`: undecided, it may still come into force. `accepted`: it came into force, and may have been
 * superseded since. `overtaken`: a higher revision came into force first, so this one never will. `forgotten`: the revision is lower than
 * all recorded ones, so the outcome is either of these two. `conflict`: another configuration came into force under this revision, so
 * this one never will.
 */
export type RevisionOutcome = 'open' | 'accepted' | 'overtaken' | 'forgotten' | 'conflict';

/** JSON with the keys of every object sorted, so that equal content gives equal text. */
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
 * The record for a value that was written without one. If the last change set the revision, the digest is computed from the
 * configuration in force; otherwise a later change without a revision has altered the configuration and the outcome is `forgotten`.
 */
function recomputedRecord(value: FleetValue): RevisionOutcomes {
  const { revision } = value;
  if (revision === undefined) return { knownFrom: 0, digests: new Map() };
  if (value.changeId !== `revision-${revision}`) return { knownFrom: revision + 1, digests: new Map() };
  const document: unknown = value.document === undefined ? undefined : JSON.parse(value.document);
  return { knownFrom: revision, digests: new Map([[revision, digestOf(value.config, document)]]) };
}

/** The record of a value; recomputed if a node of an older version, which keeps no record, set the last revision. */
function recordOf(value: FleetValue): RevisionOutcomes {
  const { revision, revisionOutcomes } = value;
  if (!revisionOutcomes) return recomputedRecord(value);
  if (revision === undefined || revision < revisionOutcomes.knownFrom || revisionOutcomes.digests.has(revision))
    return revisionOutcomes;
  return recomputedRecord(value);
}

/**
 * The outcome of a submission according to a value.
 * @example
 * revisionOutcome(value, { revision: 50, digest }) // 'conflict'
 */
export function revisionOutcome(value: FleetValue, submission: SubmittedRevision): RevisionOutcome {
  const record = recordOf(value);
  const digest = record.digests.get(submission.revision);
  if (digest !== undefined) return digest === submission.digest ? 'accepted' : 'conflict';
  if (value.revision === undefined || submission.revision > value.revision) return 'open';
  return submission.revision >= record.knownFrom ? 'overtaken' : 'forgotten';
}

/**
 * The record after a submission comes into force; the lowest revisions beyond the limit are evicted.
 * @example
 * next.revisionOutcomes = recordRevision(value, { revision: 51, digest });
 */
export function recordRevision(value: FleetValue, submission: SubmittedRevision): RevisionOutcomes {
  const record = recordOf(value);
  const digests = new Map(record.digests).set(submission.revision, submission.digest);
  let { knownFrom } = record;
  for (const revision of digests.keys()) {
    if (digests.size <= REGISTER.revisionOutcomeLimit) break;
    digests.delete(revision);
    knownFrom = revision + 1;
  }
  return { knownFrom, digests };
}
