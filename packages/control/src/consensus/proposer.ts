/** The proposer's part of the consensus register: changes to the agreed value by ballots. */
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

/** What a change makes of a value: the next one, or none to read only, and the caller's outcome. */
export type ChangeFn<T> = (v: FleetValue) => { next?: FleetValue; out: T };

/** Whether other proposers give way: a repair must be agreed before the next loss, and orders may come without a pause. */
export type ChangePriority = 'ordinary' | 'repair';

/** The answers to `RegPrepare` under one ballot, come or still to come, by disk. */
type Promises = Map<string, Promise<PrepareResponse>>;

type RoundResult<T> = { tag: 'done'; out: T } | { tag: 'again'; why: string };

/** What the proposer needs of the register. */
export interface ProposerContext {
  ask: CallVoters;
  /** The newest value known here, chosen or only accepted: whose voters are asked first. */
  newestKnown(): FleetValue | undefined;
  /** The disk of our own voter, if there is one. */
  ownDisk: string | undefined;
  /** Called with a value that was chosen. */
  learn(v: FleetValue): void;
}

/** Changes the agreed value by ballots; any node may, at any time, and the ballots keep them apart. */
export class Proposer {
  constructor(
    private kernel: Kernel,
    private ballots: BallotGenerator,
    private context: ProposerContext,
  ) {}

  /** See `Register.change`. */
  async change<T>(
    fn: ChangeFn<T>,
    limitMs: number,
    wanted: () => boolean,
    priority: ChangePriority = 'ordinary',
  ): Promise<T> {
    const { clock, random } = this.kernel.host;
    const until = clock.now() + limitMs;
    let why = 'no value known';
    for (let tries = 0; clock.now() < until && wanted(); tries++) {
      if (tries > 0) await sleep(clock, Math.min(600, 30 * 2 ** Math.min(tries, 4)) * (0.5 + random.next()));
      const start = this.context.newestKnown();
      if (!start || !wanted()) continue;
      const result = await this.round(start, fn, () => clock.now() < until && wanted(), priority);
      switch (result.tag) {
        case 'done':
          return result.out;
        case 'again':
          why = result.why;
          break;
      }
    }
    this.kernel.incrementCounter('register.gave_up');
    throw new HarecrossError({ tag: 'no_majority', step: 'change', peer: this.kernel.self, detail: why });
  }

  /** One ballot. `mayAccept` says, before each value is sent to be accepted, whether the change is still to be made. */
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
    const change = outcome.tag === 'changed' ? outcome.next : undefined;
    const next = change ? { ...change, rev: latest.rev + 1, previousVoters: latest.voters } : latest;
    invariant(!change || changesAtMostOneVoter(latest.voters, next.voters), 'one voter at a time');
    const why = await this.accept(ballot, next, prepared.promises, mayAccept, priority);
    if (why !== undefined) return { tag: 'again', why };
    this.context.learn(next);
    if (outcome.tag === 'refused') throw outcome.error;
    return { tag: 'done', out: outcome.out };
  }

  /** Has the ballot promised by a majority, following the voters as newer values show them; gives the latest value. */
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
      const heard = new Set<string>();
      let refused = false;
      await collectUntil(
        voters.map(async (disk) => {
          const answer = await promises.get(disk)!;
          if (answer.ok) {
            answers.set(disk, answer);
            heard.add(disk);
          } else refused = true;
        }),
        () => refused || isMajority(sets, heard),
      );
      if (refused) return { tag: 'again', why: 'another ballot is higher' };
      if (!isMajority(sets, heard))
        return { tag: 'again', why: `only ${heard.size} of ${voters.length} voters answered` };
      const top = [...answers.values()]
        .filter((r) => r.value)
        .reduce<PrepareResponse | undefined>((a, b) => (!a || b.ballot > a.ballot ? b : a), undefined);
      if (!top) return { tag: 'again', why: 'the voters are empty' };
      // Mostly what is known here already: a large value is not read again.
      latest = cachedText(start) === top.value ? start : deserializeValue(top.value!);
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
   * Has a value accepted by a majority; gives why not, if not. A voter gets the value after its own promise. Our own voter comes
   * last, when it makes the majority: were we cut off meanwhile, what it alone had accepted would be taken up again long after.
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
    const own = voters.filter((d) => d === this.context.ownDisk);
    const heard = new Set<string>();
    let refused = false;
    const send = async (disk: string): Promise<void> => {
      const promise = await (promises.get(disk) ?? this.askPrepare(disk, ballot, priority));
      if (!promise.ok || !mayAccept()) throw new Error(`${disk} is not asked to accept`);
      const body = { ballot, value, promisedAt: promise.at };
      const answer = await this.context.ask<AcceptResponse>([disk], 'RegAccept', body)[0]!;
      if (answer.ok) heard.add(disk);
      else {
        this.ballots.advancePast(answer.promised);
        refused = true;
      }
    };
    const withOwn = (): boolean => isMajority(sets, new Set([...heard, ...own]));
    await collectUntil(voters.filter((d) => !own.includes(d)).map(send), withOwn);
    if (withOwn()) await collectUntil(own.map(send), () => true);
    if (isMajority(sets, heard)) return undefined;
    return refused ? 'another ballot is higher' : `only ${heard.size} of ${voters.length} voters accepted`;
  }
}

/** What a change makes of a value. A refusal counts only once that value is chosen: it may have been accepted by a minority. */
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
