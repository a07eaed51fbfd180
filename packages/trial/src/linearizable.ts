/**
 * A linearizability checker for operators' calls on the consensus register: searches for an order of the calls, each taking effect at one
 * instant between its invocation and its response, that is consistent with every response.
 *
 * The register holds the configuration with the highest revision. A submit takes effect if its revision is above the current one, and
 * increments the version by one. Its response reports its outcome, and the state of the register at an instant that is not before its
 * effect and before the response. A submit without a definite response may take effect at any instant until it expires, or never.
 */

/** A node's response to a submit. `conflict` and `invalid` reject it; the others report the current version and revision. */
export type SubmitResponse =
  | { outcome: 'accepted' | 'overtaken' | 'forgotten'; returned: number; version: number; revision: number }
  | { outcome: 'conflict' | 'invalid'; returned: number };

/** One call as its operator observed it. Times are in ms of one global clock. */
export type RegisterCall =
  | {
      kind: 'submit';
      invoked: number;
      revision: number;
      /** Identifies the configuration: equal if and only if the configurations are equal. */
      content: string;
      /** Missing if there was no definite response. */
      answer?: SubmitResponse;
      /** Without a definite response: the submit doesn't take effect after this time. */
      expires?: number;
    }
  | { kind: 'read'; invoked: number; returned: number; version: number; revision?: number; content?: string };

export type LinearizationResult =
  /** `visited`: the number of states that the search visited. */
  | { tag: 'explained'; order: string[]; visited: number }
  /** `order`: the longest consistent prefix found. `stuck`: the steps that had to be next after it and were inconsistent with it. */
  | { tag: 'unexplained'; order: string[]; stuck: string[]; visited: number };

interface RegisterState {
  version: number;
  revision: number;
  /** Content that took effect, by revision. */
  accepted: Map<number, string>;
}

/** A call, or one half of a submit: its effect and the state that its response reports may belong to two instants. */
interface Step {
  /** Index in the list of steps. */
  index: number;
  name: string;
  /** The interval in which the step happens, both ends included. */
  from: number;
  to: number;
  /** False if the step may never have happened. */
  required: boolean;
  /** Index of the step that has to happen before this one. */
  after?: number;
  /** Whether the step matches only one state of the register, so that the search may take it as soon as it matches. */
  observes: boolean;
  /** Returns the state after the step: the same object if nothing changes, undefined if the step is inconsistent with the state. */
  next: (state: RegisterState) => RegisterState | undefined;
}

type SubmitCall = Extract<RegisterCall, { kind: 'submit' }>;

/** The revision of a register to which none has been submitted yet. */
const NO_REVISION = -1;

function accept(state: RegisterState, call: SubmitCall): RegisterState {
  const accepted = new Map(state.accepted).set(call.revision, call.content);
  return { version: state.version + 1, revision: call.revision, accepted };
}

/** The state after a submit with the given response; undefined if the response is inconsistent with the state. */
function applySubmit(state: RegisterState, call: SubmitCall): RegisterState | undefined {
  const existing = state.accepted.get(call.revision);
  switch (call.answer?.outcome) {
    case undefined:
      return call.revision > state.revision ? accept(state, call) : undefined;
    case 'accepted':
      if (existing === call.content) return state;
      return call.revision > state.revision ? accept(state, call) : undefined;
    case 'overtaken':
      return existing === undefined && call.revision < state.revision ? state : undefined;
    case 'forgotten':
      return call.revision < state.revision ? state : undefined;
    case 'conflict':
      return existing !== undefined && existing !== call.content ? state : undefined;
    case 'invalid':
      return existing !== call.content ? state : undefined;
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
      add({ name: `${i}: read ${revision ?? 'none'}`, from, to, required: true, observes: true, next });
      return;
    }
    const { answer, invoked: from } = call;
    const to = answer?.returned ?? call.expires ?? Infinity;
    const name = `${i}: submit ${call.revision} ${call.content} ${answer?.outcome ?? 'unclear'}`;
    const next = (state: RegisterState): RegisterState | undefined => applySubmit(state, call);
    const effect = add({ name, from, to, required: answer !== undefined, observes: false, next });
    if (!answer || !('version' in answer)) return;
    const matchesAnswer = (state: RegisterState): RegisterState | undefined =>
      state.version === answer.version && state.revision === answer.revision ? state : undefined;
    add({
      name: `${i}: told ${answer.revision}`,
      from,
      to,
      required: true,
      after: effect,
      observes: true,
      next: matchesAnswer,
    });
  });
  return steps;
}

/** A depth-first search over the possible orders of the steps. States from which the search failed are memoized and not tried again. */
class Search {
  private readonly failedKeys = new Set<string>();
  longest: string[] = [];
  stuck: string[] = [];
  visited = 0;

  constructor(private readonly steps: Step[]) {}

  findOrder(state: RegisterState, done: boolean[], now: number, order: string[]): string[] | undefined {
    this.visited++;
    const remaining = this.steps.filter((step) => !done[step.index]);
    const required = remaining.filter((step) => step.required);
    if (!required.length) return order;
    const key = this.stateKey(state, done, now);
    if (this.failedKeys.has(key)) return undefined;
    // The next step can't happen after the earliest response among the required steps that remain.
    const deadline = Math.min(...required.map((step) => step.to));
    const candidates = remaining.filter(
      (step) => step.from <= deadline && now <= step.to && (step.after === undefined || done[step.after] === true),
    );
    const takeStep = (step: Step, next: RegisterState): string[] | undefined => {
      const nextDone = done.slice();
      nextDone[step.index] = true;
      return this.findOrder(next, nextDone, Math.max(now, step.from), [...order, step.name]);
    };
    const safe = candidates.find((step) => step.next(state) === state && this.excludesNoOrder(step, remaining));
    if (safe) return this.memoize(key, takeStep(safe, state));
    for (const step of candidates) {
      const next = step.next(state);
      const found = next && takeStep(step, next);
      if (found) return found;
    }
    if (order.length >= this.longest.length) {
      this.longest = order;
      this.stuck = required.filter((step) => step.to === deadline).map((step) => step.name);
    }
    return this.memoize(key, undefined);
  }

  /**
   * Everything that the rest of the search depends on. Optional steps are left out: the state contains the effect of those taken, and
   * the other optional steps with the same revision have no effect any more.
   */
  private stateKey(state: RegisterState, done: boolean[], now: number): string {
    const required = this.steps.filter((step) => step.required).map((step) => (done[step.index] ? '1' : '0'));
    return JSON.stringify([required.join(''), state.version, [...state.accepted], now]);
  }

  /** Whether a step that doesn't change the state can be taken now without excluding any order: no remaining step has to precede it. */
  private excludesNoOrder(step: Step, remaining: Step[]): boolean {
    return step.observes || !remaining.some((other) => !other.required && other.to < step.from);
  }

  private memoize(key: string, found: string[] | undefined): string[] | undefined {
    if (!found) this.failedKeys.add(key);
    return found;
  }
}

/**
 * Searches for an order of the calls that is consistent with every response, starting from a register with the given version and no
 * revision.
 * @example
 * findLinearization([{ kind: 'read', invoked: 0, returned: 9, version: 1 }], 1).tag // 'explained'
 */
export function findLinearization(calls: RegisterCall[], version: number): LinearizationResult {
  const search = new Search(stepsOf(calls));
  const start = { version, revision: NO_REVISION, accepted: new Map<number, string>() };
  const order = search.findOrder(start, [], -Infinity, []);
  const { longest, stuck, visited } = search;
  return order ? { tag: 'explained', order, visited } : { tag: 'unexplained', order: longest, stuck, visited };
}
