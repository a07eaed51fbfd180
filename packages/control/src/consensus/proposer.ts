/** The proposer role of the consensus register: changes the agreed value through ballots. */
import { HarecrossError, collectUntil, sleep, type Kernel } from '@harecross/kernel';
import invariant from 'tiny-invariant';
import { deserializeValue, cachedText, serializeValue } from '../value/value-text.js';
import type { FleetValue } from '../value/fleet-value.js';
import {
  allVoters,
  isMajority,
  changesAtMostOneVoter,
  voterSets,
  type AcceptResponse,
  type CallVoters,
  type BallotGenerator,
  type PrepareResponse,
} from './ballots.js';

/** Computes the next value (absent for a plain read) and the caller's result `out` from the latest value. */
export type ChangeFn<T> = (v: FleetValue) => { next?: FleetValue; out: T };

/** With `repair`, voters refuse other proposers' ballots: a repair must be chosen before the next loss, even under a constant stream of orders. */
export type ChangePriority = 'ordinary' | 'repair';

/** The pending or received answers to `RegPrepare` under one ballot, by disk. */
type Promises = Map<string, Promise<PrepareResponse>>;

type RoundResult<T> = { tag: 'done'; out: T } | { tag: 'again'; why: string };

/** The functions of the register that the proposer uses. */
export interface ProposerContext {
  ask: CallVoters;
  /** The newest value known here, chosen or only accepted; a ballot starts with its voters. */
  newestKnown(): FleetValue | undefined;
  /** This node's own disk, if it has one; it may be a voter. */
  ownDisk: string | undefined;
  /** Called with a value that was chosen. */
  learn(v: FleetValue): void;
}

/** Changes the agreed value through ballots. Any node may propose at any time; ballots order concurrent proposals. */
export class Proposer {
  constructor(
    private kernel: Kernel,
    private ballots: BallotGenerator,
    private context: ProposerContext,
  ) {}

  /** See `ConsensusRegister.change`. */
  async change<T>(
    fn: ChangeFn<T>,
    limitMs: number,
    wanted: () => boolean,
    priority: ChangePriority = 'ordinary',
  ): Promise<T> {
    const { clock, random } = this.kernel.host;
    const deadline = clock.now() + limitMs;
    let reason = 'no value of the register is known yet';
    for (let attempt = 0; clock.now() < deadline && wanted(); attempt++) {
      if (attempt > 0) await sleep(clock, Math.min(600, 30 * 2 ** Math.min(attempt, 4)) * (0.5 + random.next()));
      const start = this.context.newestKnown();
      if (!start || !wanted()) continue;
      const result = await this.round(start, fn, () => clock.now() < deadline && wanted(), priority);
      switch (result.tag) {
        case 'done':
          return result.out;
        case 'again':
          reason = result.why;
          break;
      }
    }
    this.kernel.incrementCounter('register.gave_up');
    throw new HarecrossError({ tag: 'no_majority', step: 'change', peer: this.kernel.self, detail: reason });
  }

  /** Runs one ballot. `mayAccept` is checked before each `RegAccept` call and tells whether the change is still wanted. */
  private async round<T>(
    start: FleetValue,
    fn: ChangeFn<T>,
    mayAccept: () => boolean,
    priority: ChangePriority = 'ordinary',
  ): Promise<RoundResult<T>> {
    const ballot = this.ballots.next();
    const prepared = await this.prepare(ballot, start, priority);
    if (prepared.tag === 'again') return prepared;
    const latest = prepared.value;
    const outcome = outcomeOf(fn, latest);
    const changed = outcome.tag === 'changed' ? outcome.next : undefined;
    const next = changed ? { ...changed, rev: latest.rev + 1, previousVoters: latest.voters } : latest;
    invariant(!changed || changesAtMostOneVoter(latest.voters, next.voters), 'a change may replace at most one voter');
    const failure = await this.accept(ballot, next, prepared.promises, mayAccept, priority);
    if (failure !== undefined) return { tag: 'again', why: failure };
    this.context.learn(next);
    if (outcome.tag === 'refused') throw outcome.error;
    return { tag: 'done', out: outcome.out };
  }

  /**
   * Obtains promises for the ballot from a majority and returns the latest accepted value. If that value names other voters, these
   * are asked too until it has a majority of its own voters.
   */
  private async prepare(
    ballot: string,
    start: FleetValue,
    priority: ChangePriority,
  ): Promise<{ tag: 'prepared'; value: FleetValue; promises: Promises } | { tag: 'again'; why: string }> {
    let latest = start;
    const promises: Promises = new Map();
    const answers = new Map<string, PrepareResponse>();
    for (;;) {
      const sets = voterSets(latest);
      const voters = allVoters(latest);
      for (const disk of voters) if (!promises.has(disk)) promises.set(disk, this.askPrepare(disk, ballot, priority));
      const promisedDisks = new Set<string>();
      let refused = false;
      await collectUntil(
        voters.map(async (disk) => {
          const answer = await promises.get(disk)!;
          if (answer.ok) {
            answers.set(disk, answer);
            promisedDisks.add(disk);
          } else refused = true;
        }),
        () => refused || isMajority(sets, promisedDisks),
      );
      if (refused)
        return {
          tag: 'again',
          why: 'a voter refused the ballot: it promised a higher one, or is reserved for a repair',
        };
      if (!isMajority(sets, promisedDisks))
        return { tag: 'again', why: `only ${promisedDisks.size} of ${voters.length} voters promised the ballot` };
      const newest = [...answers.values()]
        .filter((answer) => answer.value)
        .reduce<PrepareResponse | undefined>((a, b) => (!a || b.ballot > a.ballot ? b : a), undefined);
      if (!newest) return { tag: 'again', why: 'none of the voters that answered has accepted a value' };
      // Usually the value is already known here; this avoids parsing a large text again.
      latest = cachedText(start) === newest.value ? start : deserializeValue(newest.value!);
      if (isMajority(voterSets(latest), new Set(answers.keys()))) return { tag: 'prepared', value: latest, promises };
    }
  }

  private async askPrepare(disk: string, ballot: string, priority: ChangePriority): Promise<PrepareResponse> {
    const request = priority === 'repair' ? { ballot, repair: true } : { ballot };
    const answer = await this.context.ask<PrepareResponse>([disk], 'RegPrepare', request)[0]!;
    if (!answer.ok) this.ballots.advancePast(answer.promised);
    return answer;
  }

  /**
   * Has a value accepted by a majority; returns the reason if that failed. Each voter gets the value only after it promised the ballot.
   * Our own voter is asked last, and only if it completes a majority: if this node were partitioned, a value accepted only by its own
   * voter would be picked up by another ballot long afterwards.
   */
  private async accept(
    ballot: string,
    next: FleetValue,
    promises: Promises,
    mayAccept: () => boolean,
    priority: ChangePriority = 'ordinary',
  ): Promise<string | undefined> {
    const value = serializeValue(next);
    const sets = voterSets(next);
    const voters = allVoters(next);
    const own = voters.filter((disk) => disk === this.context.ownDisk);
    const acceptedDisks = new Set<string>();
    let refused = false;
    const send = async (disk: string): Promise<void> => {
      const promise = await (promises.get(disk) ?? this.askPrepare(disk, ballot, priority));
      if (!promise.ok || !mayAccept())
        throw new Error(`voter ${disk} did not promise the ballot, or the change is no longer wanted`);
      const body = { ballot, value, promisedAt: promise.at };
      const answer = await this.context.ask<AcceptResponse>([disk], 'RegAccept', body)[0]!;
      if (answer.ok) acceptedDisks.add(disk);
      else {
        this.ballots.advancePast(answer.promised);
        refused = true;
      }
    };
    const isMajorityWithOwn = (): boolean => isMajority(sets, new Set([...acceptedDisks, ...own]));
    await collectUntil(voters.filter((disk) => !own.includes(disk)).map(send), isMajorityWithOwn);
    if (isMajorityWithOwn()) await collectUntil(own.map(send), () => true);
    if (isMajority(sets, acceptedDisks)) return undefined;
    return refused
      ? 'a voter refused the value: it promised a higher ballot, or its promise expired'
      : `only ${acceptedDisks.size} of ${voters.length} voters accepted the value`;
  }
}

/**
 * Applies a change to the latest value. A refusal may be reported only once `latest` is chosen, because a minority alone may have
 * accepted it.
 */
function outcomeOf<T>(
  fn: ChangeFn<T>,
  latest: FleetValue,
): { tag: 'changed'; next?: FleetValue; out: T } | { tag: 'refused'; error: unknown } {
  try {
    return { tag: 'changed', ...fn(latest) };
  } catch (error) {
    return { tag: 'refused', error };
  }
}
