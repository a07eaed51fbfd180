import { Acceptor, OperatorAnswers, Proposer, ReadLease, deserializeValue } from '@harecross/control';
import test, { type ExecutionContext } from 'ava';
import type { Sim, SimNode } from '../sim.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES, runUntilSettled } from './small-fleet.js';

/** A client tries another node after this long without an answer. */
const CLIENT_TIMEOUT_MS = 1_000;
const OUTAGE_MS = 20_000;
const APPLY_MS = 3_000;
/** The revision acknowledged during the outage, and the one submitted only to the affected machine. */
const ACKNOWLEDGED_REVISION = 20;
const INTERRUPTED_REVISION = 50;

type Method = (this: unknown, ...args: unknown[]) => unknown;
type Direction = 'both' | 'in' | 'out';
const DIRECTIONS: Direction[] = ['both', 'in', 'out'];
const seedsFrom = (first: number, count: number): number[] => Array.from({ length: count }, (_, i) => first + i);

const submission = (revision: number, families: unknown = FAMILIES): object => ({
  revision,
  document: { revision },
  config: { families },
});
const withoutAlarms = FAMILIES.filter((family) => family.name !== 'alarms');

function cutFrom(sim: Sim, machine: SimNode, others: SimNode[], direction: Direction): void {
  for (const other of others) {
    if (other === machine) continue;
    if (direction !== 'out') sim.cut(other.name, machine.name, false);
    if (direction !== 'in') sim.cut(machine.name, other.name, false);
  }
}

interface Answer {
  askedAt: number;
  tookMs: number;
  status: number;
  revision?: number;
  retryAfterMs?: number;
}

/** Sends a request without advancing virtual time; the answer arrives as time advances. */
async function send(
  fleet: ControlFleet,
  node: SimNode,
  method: string,
  body: unknown,
  limitMs = 6_000,
): Promise<Answer> {
  const askedAt = fleet.sim.now;
  const result = await fleet.sim.clientTransport.visit(node.config.client, method, body, limitMs);
  return {
    askedAt,
    tookMs: fleet.sim.now - askedAt,
    status: result?.status ?? 0,
    revision: result?.status === 200 ? result.body.revision : undefined,
    retryAfterMs: result?.body?.error?.retryAfterMs,
  };
}

async function readRevision(fleet: ControlFleet, node: SimNode): Promise<number> {
  for (let tries = 0; tries < 20; tries++) {
    const result = await runUntilSettled(fleet.sim, send(fleet, node, 'ReadConfig', {}));
    if (result.status === 200) return result.revision!;
    await fleet.advance(400);
  }
  throw new Error('no read answered with 200 in 20 attempts');
}

/** Checks the answer of a machine without a majority: neither a confirmation nor a rejection, and in time. */
function checkUndecided(t: ExecutionContext, answer: Answer, what: string): void {
  t.is(answer.status, 503, `${what}: neither confirmed nor rejected`);
  t.true(answer.tookMs < CLIENT_TIMEOUT_MS, `${what}: answered after ${Math.round(answer.tookMs)} ms`);
  t.true(answer.retryAfterMs !== undefined && answer.retryAfterMs < CLIENT_TIMEOUT_MS, `${what}: has a retry time`);
}

interface IsolationRun {
  answers: { cut: Answer[]; orders: Answer[]; others: Answer[] };
  /** The revision read at each node at the end. */
  end: number[];
  /** Times (ms) after the acknowledgement at which the isolated machine had a read lease on another revision. */
  servedOldMs: number[];
}

/** Isolates a control machine for twenty seconds, sends submissions and reads to it and to the others, and reconnects it. */
async function runIsolation(seed: number, direction: Direction, from: 'voters' | 'all'): Promise<IsolationRun> {
  const fleet = await startControlFleet(seed, { stores: 3, relays: 2 });
  const { sim, controls, relays } = fleet;
  const isolated = controls[seed % controls.length]!;
  const other = controls[(seed + 1) % controls.length]!;
  // The clock may run 1 % fast or slow, and the wall clock jumps by an hour during the partition.
  sim.setRate(isolated, [1, 0.99, 1.01][seed % 3]!);
  cutFrom(sim, isolated, from === 'voters' ? controls : [...sim.nodes.values()], direction);
  const startedAt = sim.now;
  const run: IsolationRun = { answers: { cut: [], orders: [], others: [] }, end: [], servedOldMs: [] };
  const pending: Promise<void>[] = [];
  const record = (to: Answer[], p: Promise<Answer>): void => {
    pending.push(
      p.then((answer) => {
        to.push(answer);
      }),
    );
  };
  record(run.answers.orders, send(fleet, isolated, 'SubmitConfig', submission(INTERRUPTED_REVISION)));
  await fleet.advance(500);
  const first = await runUntilSettled(
    sim,
    send(fleet, other, 'SubmitConfig', submission(ACKNOWLEDGED_REVISION, withoutAlarms)),
  );
  run.answers.others.push(first);
  const acknowledgedAt = sim.now;
  while (sim.now < startedAt + OUTAGE_MS) {
    record(run.answers.cut, send(fleet, isolated, 'ReadConfig', {}));
    record(run.answers.others, send(fleet, other, 'ReadConfig', {}));
    if (sim.now < startedAt + 5_000)
      record(run.answers.orders, send(fleet, isolated, 'EmptyDisk', { disk: fleet.stores[0]!.name }));
    if (sim.now > startedAt + 8_000) isolated.wallStepMs = seed % 2 ? 3_600_000 : -3_600_000;
    await fleet.advance(700);
    const isStale = isolated.kernel!.use('register').value!.revision !== ACKNOWLEDGED_REVISION;
    if (isStale && isolated.kernel!.use('register').hasReadLease()) run.servedOldMs.push(sim.now - acknowledgedAt);
  }
  sim.healAll();
  await fleet.advance(10_000);
  await Promise.all(pending);
  for (const node of [...controls, ...relays]) run.end.push(await readRevision(fleet, node));
  sim.close();
  return run;
}

function checkRun(t: ExecutionContext, run: IsolationRun, what: string): void {
  t.is(run.answers.others[0]!.status, 200, `${what}: the majority continues`);
  for (const answer of run.answers.orders) checkUndecided(t, answer, `${what}, submission`);
  for (const answer of run.answers.cut) {
    if (answer.status === 200)
      t.is(answer.revision, ACKNOWLEDGED_REVISION, `${what}, read: returns what was acknowledged before the request`);
    else checkUndecided(t, answer, `${what}, read`);
  }
  for (const answer of run.answers.others.slice(1))
    t.is(answer.revision, ACKNOWLEDGED_REVISION, `${what}: the others read the current revision`);
  t.deepEqual(
    run.servedOldMs.filter((ms) => ms >= APPLY_MS),
    [],
    `${what}: no older configuration is served`,
  );
  t.deepEqual(
    new Set(run.end),
    new Set([ACKNOWLEDGED_REVISION]),
    `${what}: a submission made during the isolation does not take effect long afterwards`,
  );
}

for (const direction of DIRECTIONS) {
  for (const from of ['voters', 'all'] as const) {
    test(`a control machine is isolated for twenty seconds (${direction}, from ${from}): it serves nothing stale and decides nothing`, async (t) => {
      for (const seed of seedsFrom(700, 3)) checkRun(t, await runIsolation(seed, direction, from), `seed ${seed}`);
    });
  }
}

test.serial('planted: a read lease that never expires is detected', async (t) => {
  const lease = ReadLease.prototype as unknown as Record<string, Method>;
  const valid = lease['valid']!;
  lease['valid'] = () => true;
  try {
    const run = await runIsolation(700, 'both', 'all');
    t.true(run.servedOldMs.some((ms) => ms >= APPLY_MS));
  } finally {
    lease['valid'] = valid;
  }
});

/** Whether a voter's disk has accepted the submitted revision. */
const hasAccepted = (node: SimNode): boolean => {
  const { value } = node.kernel!.use('state').acceptorState();
  return value !== undefined && deserializeValue(value).revision === INTERRUPTED_REVISION;
};

/** An outage of the machine that received a submission, or of the other two, while it is written to the voters' disks. */
type Outage = 'proposer frozen' | 'others frozen' | 'proposer cut';

interface InterruptedRun {
  /** Whether some voter had accepted the value when the outage began. */
  accepted: boolean;
  /** Whether the revision was in force before the outage ended. */
  before: boolean;
  /** Whether it is in force at the end. */
  after: boolean;
}

/** Submits a revision to one control machine, once, and starts an outage of twenty seconds `afterMs` later. */
async function runInterruptedSubmission(seed: number, afterMs: number, outage: Outage): Promise<InterruptedRun> {
  const fleet = await startControlFleet(seed, { stores: 3, relays: 1 });
  const { sim, controls, relays } = fleet;
  const [proposer, ...others] = controls as [SimNode, ...SimNode[]];
  void send(fleet, proposer, 'SubmitConfig', submission(INTERRUPTED_REVISION), 60_000);
  await fleet.advance(afterMs);
  const accepted = controls.some(hasAccepted);
  const frozen = new Map<Outage, SimNode[]>([
    ['proposer frozen', [proposer]],
    ['others frozen', others],
  ]);
  for (const node of frozen.get(outage) ?? []) sim.freeze(node);
  if (outage === 'proposer cut') cutFrom(sim, proposer, [...sim.nodes.values()], 'both');
  await fleet.advance(OUTAGE_MS);
  const before = relays[0]!.kernel!.use('register').value!.revision === INTERRUPTED_REVISION;
  for (const node of frozen.get(outage) ?? []) sim.thaw(node);
  sim.healAll();
  await fleet.advance(8_000);
  const after = (await readRevision(fleet, relays[0]!)) === INTERRUPTED_REVISION;
  sim.close();
  return { accepted, before, after };
}

/** Start times of the outage, spread over the duration of a change: two calls and two disk syncs. */
const OUTAGE_TIMES_MS = [1, 3, 5, 6, 7, 8, 9, 10, 11, 13, 15, 18, 22];

/** The first seeds of the runs over all times: which messages are in transit at a time depends on the delays of the seed. */
const INTERRUPTED_SEEDS = [800, 802, 900];

/** Counts the submissions that took effect only after the outage, and those that never did. */
async function countLateSubmissions(
  t: ExecutionContext,
  outage: Outage,
  stopAtFirst = false,
): Promise<{ late: number; never: number }> {
  let late = 0;
  let never = 0;
  const runs = INTERRUPTED_SEEDS.flatMap((seed) => OUTAGE_TIMES_MS.map((afterMs, i) => ({ seed: seed + i, afterMs })));
  for (const { seed, afterMs } of runs) {
    const result = await runInterruptedSubmission(seed, afterMs, outage);
    if (!result.after) never++;
    // Without a majority, a value that one voter accepted can't be told from a chosen one, so it must not be dropped.
    const mayBeChosen = outage === 'others frozen' && result.accepted;
    if (!result.after || result.before || mayBeChosen) continue;
    late++;
    t.log(`seed ${seed}, after ${afterMs} ms: took effect only after the outage`);
    if (stopAtFirst) break;
  }
  return { late, never };
}

for (const outage of ['proposer frozen', 'others frozen', 'proposer cut'] as const) {
  test(`${outage} in the middle of a ballot for twenty seconds: a submission does not first take effect afterwards, unless it may have been chosen already`, async (t) => {
    const { late, never } = await countLateSubmissions(t, outage);
    t.is(late, 0);
    t.true(never > 0, 'some submissions were interrupted');
  });
}

const plantedFaults: {
  what: string;
  outage: Outage;
  prototype: object;
  method: string;
  fault: (original: Method) => Method;
}[] = [
  {
    what: 'voters accept a value regardless of the age of their promise',
    outage: 'others frozen',
    prototype: Acceptor.prototype,
    method: 'isLate',
    fault: () => () => false,
  },
  {
    what: 'a proposer that wakes up after a pause continues its ballot, and voters accept it',
    outage: 'proposer frozen',
    prototype: Acceptor.prototype,
    method: 'isLate',
    fault: () => () => false,
  },
  {
    what: 'requests that were buffered while the process was paused are executed',
    outage: 'proposer frozen',
    prototype: OperatorAnswers.prototype,
    method: 'rejectIfStale',
    fault: () => () => undefined,
  },
  {
    what: 'the local voter accepts before any other',
    outage: 'proposer cut',
    prototype: Proposer.prototype,
    method: 'accept',
    fault: (original) =>
      function (this: unknown, ...args) {
        (this as { context: { ownDisk?: string } }).context.ownDisk = undefined;
        return original.call(this, ...args);
      },
  },
];
for (const { what, outage, prototype, method, fault } of plantedFaults) {
  test.serial(`planted: ${what}: detected (${outage})`, async (t) => {
    const methods = prototype as Record<string, Method>;
    const original = methods[method]!;
    const originalAccept = (Proposer.prototype as unknown as Record<string, Method>)['accept']!;
    methods[method] = fault(original);
    if (what.startsWith('a proposer that wakes'))
      (Proposer.prototype as unknown as Record<string, Method>)['accept'] = function (this: unknown, ...args) {
        return originalAccept.call(this, args[0], args[1], args[2], () => true);
      };
    try {
      t.true((await countLateSubmissions(t, outage, true)).late > 0);
    } finally {
      methods[method] = original;
      (Proposer.prototype as unknown as Record<string, Method>)['accept'] = originalAccept;
    }
  });
}
