/**
 * Judges operators' calls as calls of one register: whether some order of the calls, each at one moment between its sending and its
 * answer, explains every answer.
 *
 * The register holds the configuration with the highest revision. An order comes into force if its revision is above the one in force,
 * and raises the version by one. Its answer tells what became of it, and what was in force at a moment no earlier than that and before
 * the answer. An order without a clear answer may have come into force at any moment until it expires, or never.
 */

/** What a node answered to an order. `conflict` and `invalid` are refusals, the others name what is in force. */
export type SubmitResponse =
  | { outcome: 'accepted' | 'overtaken' | 'forgotten'; returned: number; version: number; revision: number }
  | { outcome: 'conflict' | 'invalid'; returned: number };

/** One call of an operator, as it saw it. Times are ms of one true clock. */
export type RegisterCall =
  | {
      kind: 'submit';
      invoked: number;
      revision: number;
      /** Equal for equal configurations alone. */
      content: string;
      /** Missing where there was no clear answer. */
      answer?: SubmitResponse;
      /** Without a clear answer: it does not come into force after this. */
      expires?: number;
    }
  | { kind: 'read'; invoked: number; returned: number; version: number; revision?: number; content?: string };

export type LinearizationResult =
  /** `visited`: states of the search, what the judgement cost. */
  | { tag: 'explained'; order: string[]; visited: number }
  /** The longest run of calls that could be explained, and the calls that then had to be and could not. */
  | { tag: 'unexplained'; order: string[]; stuck: string[]; visited: number };

interface RegisterState {
  version: number;
  revision: number;
  /** Content that came into force, by revision. */
  accepted: Map<number, string>;
}

/** A call, or the half of one: what an order does, and what its answer tells, may be two moments. */
interface Step {
  /** Its place in the list of steps. */
  index: number;
  name: string;
  /** It happens between these. */
  from: number;
  to: number;
  /** False for what may never have happened. */
  required: boolean;
  /** The step that must come before. */
  after?: number;
  /** Whether only one state can explain it, so that it may be taken as soon as it is explained. */
  tells: boolean;
  /** The state after it, the same one if it changes nothing, undefined if the state does not explain it. */
  next: (state: RegisterState) => RegisterState | undefined;
}

type SubmitCall = Extract<RegisterCall, { kind: 'submit' }>;

/** The revision of a register in which none was given yet. */
const NO_REVISION = -1;

function cameIntoForce(state: RegisterState, call: SubmitCall): RegisterState {
  const accepted = new Map(state.accepted).set(call.revision, call.content);
  return { version: state.version + 1, revision: call.revision, accepted };
}

/** What an order does to a state, given how it was answered. */
function applied(state: RegisterState, call: SubmitCall): RegisterState | undefined {
  const before = state.accepted.get(call.revision);
  switch (call.answer?.outcome) {
    case undefined:
      return call.revision > state.revision ? cameIntoForce(state, call) : undefined;
    case 'accepted':
      if (before === call.content) return state;
      return call.revision > state.revision ? cameIntoForce(state, call) : undefined;
    case 'overtaken':
      return before === undefined && call.revision < state.revision ? state : undefined;
    case 'forgotten':
      return call.revision < state.revision ? state : undefined;
    case 'conflict':
      return before !== undefined && before !== call.content ? state : undefined;
    case 'invalid':
      return before !== call.content ? state : undefined;
  }
}

function stepsOf(calls: RegisterCall[]): Step[] {
  const steps: Step[] = [];
  const add = (step: Omit<Step, 'index'>): number => steps.push({ ...step, index: steps.length }) - 1;
  calls.forEach((call, i) => {
    if (call.kind === 'read') {
      const { invoked: from, returned: to, version, revision, content } = call;
      const next = (state: RegisterState): RegisterState | undefined =>
        state.version === version &&
        state.revision === (revision ?? NO_REVISION) &&
        (content === undefined || state.accepted.get(state.revision) === content)
          ? state
          : undefined;
      add({ name: `${i}: read ${revision ?? 'none'}`, from, to, required: true, tells: true, next });
      return;
    }
    const { answer, invoked: from } = call;
    const to = answer?.returned ?? call.expires ?? Infinity;
    const name = `${i}: submit ${call.revision} ${call.content} ${answer?.outcome ?? 'unclear'}`;
    const next = (state: RegisterState): RegisterState | undefined => applied(state, call);
    const done = add({ name, from, to, required: answer !== undefined, tells: false, next });
    if (!answer || !('version' in answer)) return;
    const told = (state: RegisterState): RegisterState | undefined =>
      state.version === answer.version && state.revision === answer.revision ? state : undefined;
    add({
      name: `${i}: told ${answer.revision}`,
      from,
      to,
      required: true,
      after: done,
      tells: true,
      next: told,
    });
  });
  return steps;
}

/** A depth-first search over the orders in which the steps may have happened; what was seen to lead nowhere is not tried again. */
class Search {
  private readonly dead = new Set<string>();
  longest: string[] = [];
  stuck: string[] = [];
  visited = 0;

  constructor(private readonly steps: Step[]) {}

  findLinearization(state: RegisterState, done: boolean[], now: number, order: string[]): string[] | undefined {
    this.visited++;
    const left = this.steps.filter((step) => !done[step.index]);
    const required = left.filter((step) => step.required);
    if (!required.length) return order;
    const key = this.keyOf(state, done, now);
    if (this.dead.has(key)) return undefined;
    // Nothing may happen after the moment by which another call had its answer.
    const latest = Math.min(...required.map((step) => step.to));
    const possible = left.filter(
      (step) => step.from <= latest && now <= step.to && (step.after === undefined || done[step.after] === true),
    );
    const take = (step: Step, next: RegisterState): string[] | undefined => {
      const doneThen = done.slice();
      doneThen[step.index] = true;
      return this.findLinearization(next, doneThen, Math.max(now, step.from), [...order, step.name]);
    };
    const sure = possible.find((step) => step.next(state) === state && this.harmless(step, left));
    if (sure) return this.noted(key, take(sure, state));
    for (const step of possible) {
      const next = step.next(state);
      const found = next && take(step, next);
      if (found) return found;
    }
    if (order.length >= this.longest.length) {
      this.longest = order;
      this.stuck = required.filter((step) => step.to === latest).map((step) => step.name);
    }
    return this.noted(key, undefined);
  }

  /**
   * All that the rest of the search depends on. Steps that may never have happened are not in it: those done are in the state, and so
   * are the others of their revision, which can change nothing any more.
   */
  private keyOf(state: RegisterState, done: boolean[], now: number): string {
    const required = this.steps.filter((step) => step.required).map((step) => (done[step.index] ? '1' : '0'));
    return JSON.stringify([required.join(''), state.version, [...state.accepted], now]);
  }

  /** Whether taking a step that changes nothing now can rule out no other order: nothing left has to come before it. */
  private harmless(step: Step, left: Step[]): boolean {
    return step.tells || !left.some((other) => !other.required && other.to < step.from);
  }

  private noted(key: string, found: string[] | undefined): string[] | undefined {
    if (!found) this.dead.add(key);
    return found;
  }
}

/**
 * Whether some order of the calls explains every answer, beginning with a register of this version and without a revision.
 * @example
 * explain([{ kind: 'read', invoked: 0, returned: 9, version: 1 }], 1).tag // 'explained'
 */
export function explain(calls: RegisterCall[], version: number): LinearizationResult {
  const search = new Search(stepsOf(calls));
  const start = { version, revision: NO_REVISION, accepted: new Map<number, string>() };
  const order = search.findLinearization(start, [], -Infinity, []);
  const { longest, stuck, visited } = search;
  return order ? { tag: 'explained', order, visited } : { tag: 'unexplained', order: longest, stuck, visited };
}
