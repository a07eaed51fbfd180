/** The proposer's part of the consensus register: changes to the agreed value by ballots. */
import { Failure, gather, sleep, type Kernel } from '@harecross/kernel';
import invariant from 'tiny-invariant';
import { fromText, textOf, toText } from '../text.js';
import type { Value } from '../value.js';
import {
  allVoters,
  isMajority,
  oneVoterChanges,
  voterSets,
  type Accepted,
  type AskVoters,
  type BallotSource,
  type Prepared,
} from './ballots.js';

/** What a change makes of a value: the next one, or none to read only, and the caller's outcome. */
export type ChangeFn<T> = (v: Value) => { next?: Value; out: T };

type RoundResult<T> = { tag: 'done'; out: T } | { tag: 'again'; why: string };

/** What the proposer needs of the register. */
export interface ProposerContext {
  ask: AskVoters;
  /** The newest value known here, chosen or only accepted: whose voters are asked first. */
  start(): Value | undefined;
  /** Called with a value that was chosen. */
  learn(v: Value): void;
}

/** Changes the agreed value by ballots; any node may, at any time, and the ballots keep them apart. */
export class Proposer {
  constructor(
    private kernel: Kernel,
    private ballots: BallotSource,
    private context: ProposerContext,
  ) {}

  /** See `Register.change`. */
  async change<T>(fn: ChangeFn<T>, limitMs: number, wanted: () => boolean): Promise<T> {
    const { clock, rnd } = this.kernel.host;
    const until = clock.now() + limitMs;
    let why = 'no value known';
    for (let tries = 0; clock.now() < until && wanted(); tries++) {
      if (tries > 0) await sleep(clock, Math.min(600, 30 * 2 ** Math.min(tries, 4)) * (0.5 + rnd.next()));
      const start = this.context.start();
      if (!start || !wanted()) continue;
      const result = await this.round(start, fn);
      switch (result.tag) {
        case 'done':
          return result.out;
        case 'again':
          why = result.why;
          break;
      }
    }
    this.kernel.count('register.gave_up');
    throw new Failure({ tag: 'no_majority', step: 'change', peer: this.kernel.self, detail: why });
  }

  private async round<T>(start: Value, fn: ChangeFn<T>): Promise<RoundResult<T>> {
    const ballot = this.ballots.next();
    const prepared = await this.prepare(ballot, start);
    if (prepared.tag === 'again') return prepared;
    const latest = prepared.value;
    const res = fn(latest);
    const next = res.next ? { ...res.next, rev: latest.rev + 1, prevSeats: latest.seats } : latest;
    invariant(!res.next || oneVoterChanges(latest.seats, next.seats), 'one voter at a time');
    const why = await this.accept(ballot, next);
    if (why !== undefined) return { tag: 'again', why };
    this.context.learn(next);
    return { tag: 'done', out: res.out };
  }

  /** Has the ballot promised by a majority, following the voters as newer values show them; gives the latest value. */
  private async prepare(
    ballot: string,
    start: Value,
  ): Promise<{ tag: 'prepared'; value: Value } | { tag: 'again'; why: string }> {
    let latest = start;
    const promises = new Map<string, Prepared>();
    for (;;) {
      const sets = voterSets(latest);
      const asked = allVoters(latest).filter((d) => !promises.has(d));
      const heard = new Set(promises.keys());
      let refused = false;
      await gather(
        this.context.ask<Prepared>(asked, 'RegPrepare', { ballot }).map((p) =>
          p.then((r) => {
            if (!r.ok) {
              this.ballots.outbid(r.promised);
              refused = true;
              return r;
            }
            promises.set(r.disk, r);
            heard.add(r.disk);
            return r;
          }),
        ),
        () => refused || isMajority(sets, heard),
      );
      if (refused) return { tag: 'again', why: 'another ballot is higher' };
      if (!isMajority(sets, heard))
        return { tag: 'again', why: `only ${heard.size} of ${allVoters(latest).length} seats answered` };
      const top = [...promises.values()]
        .filter((r) => r.value)
        .reduce<Prepared | undefined>((a, b) => (!a || b.ballot > a.ballot ? b : a), undefined);
      if (!top) return { tag: 'again', why: 'seats are empty' };
      // Mostly what is known here already: a large value is not read again.
      latest = textOf(start) === top.value ? start : fromText(top.value!);
      if (isMajority(voterSets(latest), new Set(promises.keys()))) return { tag: 'prepared', value: latest };
    }
  }

  /** Has a value accepted by a majority; gives why not, if not. */
  private async accept(ballot: string, next: Value): Promise<string | undefined> {
    const value = toText(next);
    const sets = voterSets(next);
    const heard = new Set<string>();
    let refused = false;
    await gather(
      this.context.ask<Accepted>(allVoters(next), 'RegAccept', { ballot, value }).map((p) =>
        p.then((r) => {
          if (r.ok) heard.add(r.disk);
          else {
            this.ballots.outbid(r.promised);
            refused = true;
          }
          return r;
        }),
      ),
      () => isMajority(sets, heard),
    );
    if (isMajority(sets, heard)) return undefined;
    return refused ? 'another ballot is higher' : `only ${heard.size} of ${allVoters(next).length} seats accepted`;
  }
}
