import { Acceptor, OperatorAnswers, Proposer, ReadLease, deserializeValue } from '@harecross/control';
import test, { type ExecutionContext } from 'ava';
import type { Sim, SimNode } from '../sim.js';
import { controlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES, settled } from './small-fleet.js';

/** A caller goes elsewhere after this long without an answer. */
const SILENCE_MS = 1_000;
const CUT_MS = 20_000;
const APPLY_MS = 3_000;
/** The revision that is acknowledged during the trouble, and the one that only the machine in trouble is given. */
const AGREED = 20;
const STRANDED = 50;

type Method = (this: unknown, ...args: unknown[]) => unknown;
type Direction = 'both' | 'in' | 'out';
const DIRECTIONS: Direction[] = ['both', 'in', 'out'];
const seedsFrom = (first: number, count: number): number[] => Array.from({ length: count }, (_, i) => first + i);

const order = (revision: number, families: unknown = FAMILIES): object => ({
  revision,
  document: { revision },
  config: { families },
});
const withoutAlarms = FAMILIES.filter((f) => f.name !== 'alarms');

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

/** Asks without letting time pass; the answer comes as time does. */
async function asks(f: ControlFleet, n: SimNode, method: string, body: unknown, limitMs = 6_000): Promise<Answer> {
  const askedAt = f.sim.now;
  const r = await f.sim.clientTransport.visit(n.config.client, method, body, limitMs);
  return {
    askedAt,
    tookMs: f.sim.now - askedAt,
    status: r?.status ?? 0,
    revision: r?.status === 200 ? r.body.revision : undefined,
    retryAfterMs: r?.body?.error?.retryAfterMs,
  };
}

async function revisionInForce(f: ControlFleet, n: SimNode): Promise<number> {
  for (let tries = 0; tries < 20; tries++) {
    const r = await settled(f.sim, asks(f, n, 'ReadConfig', {}));
    if (r.status === 200) return r.revision!;
    await f.pass(400);
  }
  throw new Error('no majority for a read');
}

/** What an order or a read of a machine without a majority may be answered: never a refusal, and in time. */
function checkUndecided(t: ExecutionContext, a: Answer, what: string): void {
  t.is(a.status, 503, `${what}: neither confirmed nor refused`);
  t.true(a.tookMs < SILENCE_MS, `${what}: answered after ${Math.round(a.tookMs)} ms`);
  t.true(a.retryAfterMs !== undefined && a.retryAfterMs < SILENCE_MS, `${what}: a time to come back`);
}

interface CutRun {
  answers: { cut: Answer[]; orders: Answer[]; others: Answer[] };
  /** Revisions in force at each node at the end. */
  end: number[];
  /** Moments, in ms after the acknowledgement, at which the cut machine served by an older configuration. */
  servedOldMs: number[];
}

/** A control machine is cut off for twenty seconds; orders and reads go to it and to the others; then it is joined again. */
async function cutRun(seed: number, direction: Direction, from: 'voters' | 'all'): Promise<CutRun> {
  const f = await controlFleet(seed, { stores: 3, relays: 2 });
  const { sim, controls, relays } = f;
  const cut = controls[seed % controls.length]!;
  const other = controls[(seed + 1) % controls.length]!;
  // A clock that runs wrong by a hundredth, and a time of day that jumps during the cut.
  sim.setRate(cut, [1, 0.99, 1.01][seed % 3]!);
  cutFrom(sim, cut, from === 'voters' ? controls : [...sim.nodes.values()], direction);
  const begun = sim.now;
  const run: CutRun = { answers: { cut: [], orders: [], others: [] }, end: [], servedOldMs: [] };
  const pending: Promise<void>[] = [];
  const note = (to: Answer[], p: Promise<Answer>): void => {
    pending.push(
      p.then((a) => {
        to.push(a);
      }),
    );
  };
  note(run.answers.orders, asks(f, cut, 'SubmitConfig', order(STRANDED)));
  await f.pass(500);
  const first = await settled(sim, asks(f, other, 'SubmitConfig', order(AGREED, withoutAlarms)));
  run.answers.others.push(first);
  const acknowledgedAt = sim.now;
  while (sim.now < begun + CUT_MS) {
    note(run.answers.cut, asks(f, cut, 'ReadConfig', {}));
    note(run.answers.others, asks(f, other, 'ReadConfig', {}));
    if (sim.now < begun + 5_000) note(run.answers.orders, asks(f, cut, 'EmptyDisk', { disk: f.stores[0]!.name }));
    if (sim.now > begun + 8_000) cut.wallStepMs = seed % 2 ? 3_600_000 : -3_600_000;
    await f.pass(700);
    const old = cut.kernel!.use('register').value!.revision !== AGREED;
    if (old && cut.kernel!.use('register').hasReadLease()) run.servedOldMs.push(sim.now - acknowledgedAt);
  }
  sim.healAll();
  await f.pass(10_000);
  await Promise.all(pending);
  for (const n of [...controls, ...relays]) run.end.push(await revisionInForce(f, n));
  sim.close();
  return run;
}

function judge(t: ExecutionContext, run: CutRun, what: string): void {
  t.is(run.answers.others[0]!.status, 200, `${what}: the majority goes on`);
  for (const a of run.answers.orders) checkUndecided(t, a, `${what}, order`);
  for (const a of run.answers.cut) {
    if (a.status === 200) t.is(a.revision, AGREED, `${what}, read: what was acknowledged before the question`);
    else checkUndecided(t, a, `${what}, read`);
  }
  for (const a of run.answers.others.slice(1)) t.is(a.revision, AGREED, `${what}: the others read what is in force`);
  t.deepEqual(
    run.servedOldMs.filter((ms) => ms >= APPLY_MS),
    [],
    `${what}: nothing old is served`,
  );
  t.deepEqual(new Set(run.end), new Set([AGREED]), `${what}: what was given while cut off is not in force long after`);
}

for (const direction of DIRECTIONS) {
  for (const from of ['voters', 'all'] as const) {
    test(`a control machine is cut off for twenty seconds (${direction}, from ${from}): it tells nothing old, and decides nothing`, async (t) => {
      for (const seed of seedsFrom(700, 3)) judge(t, await cutRun(seed, direction, from), `seed ${seed}`);
    });
  }
}

test.serial('planted: a lease that never ends is found out', async (t) => {
  const lease = ReadLease.prototype as unknown as Record<string, Method>;
  const valid = lease['valid']!;
  lease['valid'] = () => true;
  try {
    const run = await cutRun(700, 'both', 'all');
    t.true(run.servedOldMs.some((ms) => ms >= APPLY_MS));
  } finally {
    lease['valid'] = valid;
  }
});

/** Whether a voter's disk holds the stranded order as accepted. */
const acceptedBy = (n: SimNode): boolean => {
  const { value } = n.kernel!.use('state').acceptorState();
  return value !== undefined && deserializeValue(value).revision === STRANDED;
};

/** What befalls the machine that is given an order, or the other two, while the order is on its way to the voters' disks. */
type Trouble = 'proposer frozen' | 'others frozen' | 'proposer cut';

interface StrandedRun {
  /** Whether some voter had accepted the order when the trouble came. */
  accepted: boolean;
  /** Whether the order was in force before the trouble ended, and at the end. */
  before: boolean;
  after: boolean;
}

/** An order is given to one control machine, the trouble comes a moment later and lasts for twenty seconds; nobody sends it again. */
async function strandedRun(seed: number, afterMs: number, trouble: Trouble): Promise<StrandedRun> {
  const f = await controlFleet(seed, { stores: 3, relays: 1 });
  const { sim, controls, relays } = f;
  const [proposer, ...others] = controls as [SimNode, ...SimNode[]];
  void asks(f, proposer, 'SubmitConfig', order(STRANDED), 60_000);
  await f.pass(afterMs);
  const accepted = controls.some(acceptedBy);
  const frozen = new Map<Trouble, SimNode[]>([
    ['proposer frozen', [proposer]],
    ['others frozen', others],
  ]);
  for (const n of frozen.get(trouble) ?? []) sim.freeze(n);
  if (trouble === 'proposer cut') cutFrom(sim, proposer, [...sim.nodes.values()], 'both');
  await f.pass(CUT_MS);
  const before = relays[0]!.kernel!.use('register').value!.revision === STRANDED;
  for (const n of frozen.get(trouble) ?? []) sim.thaw(n);
  sim.healAll();
  await f.pass(8_000);
  const after = (await revisionInForce(f, relays[0]!)) === STRANDED;
  sim.close();
  return { accepted, before, after };
}

/** Moments of a change, by the time that two calls and two syncs take. */
const MOMENTS_MS = [1, 3, 5, 6, 7, 8, 9, 10, 11, 13, 15, 18, 22];

/** The first seeds of the rounds over all moments: which messages are on their way at a moment depends on the delays that a seed draws. */
const STRANDED_SEEDS = [800, 802, 900];

/** How many orders came into force only when the trouble was over, and how many never did. */
async function stranded(
  t: ExecutionContext,
  trouble: Trouble,
  untilFirst = false,
): Promise<{ late: number; never: number }> {
  let late = 0;
  let never = 0;
  const runs = STRANDED_SEEDS.flatMap((seed) => MOMENTS_MS.map((afterMs, i) => ({ seed: seed + i, afterMs })));
  for (const { seed, afterMs } of runs) {
    const r = await strandedRun(seed, afterMs, trouble);
    if (!r.after) never++;
    // With most voters gone, nobody can tell what one of them accepted from what all of them did: it must not be dropped.
    const mayBeChosen = trouble === 'others frozen' && r.accepted;
    if (!r.after || r.before || mayBeChosen) continue;
    late++;
    t.log(`seed ${seed}, after ${afterMs} ms: in force only when the trouble was over`);
    if (untilFirst) break;
  }
  return { late, never };
}

for (const trouble of ['proposer frozen', 'others frozen', 'proposer cut'] as const) {
  test(`${trouble} in the middle of a ballot for twenty seconds: the order is in force at once, or not long after`, async (t) => {
    const { late, never } = await stranded(t, trouble);
    t.is(late, 0);
    t.true(never > 0, 'some orders were cut short');
  });
}

const planted: { what: string; trouble: Trouble; proto: object; method: string; fault: (old: Method) => Method }[] = [
  {
    what: 'voters accept a value however long ago they promised its ballot',
    trouble: 'others frozen',
    proto: Acceptor.prototype,
    method: 'isLate',
    fault: () => () => false,
  },
  {
    what: 'a proposer that wakes goes on with its ballot, and voters let it',
    trouble: 'proposer frozen',
    proto: Acceptor.prototype,
    method: 'isLate',
    fault: () => () => false,
  },
  {
    what: 'orders that lay in the buffer of a machine that stood still are taken as new',
    trouble: 'proposer frozen',
    proto: OperatorAnswers.prototype,
    method: 'rejectIfStale',
    fault: () => () => undefined,
  },
  {
    what: 'the own voter accepts before any other',
    trouble: 'proposer cut',
    proto: Proposer.prototype,
    method: 'accept',
    fault: (old) =>
      function (this: unknown, ...args) {
        (this as { context: { ownDisk?: string } }).context.ownDisk = undefined;
        return old.call(this, ...args);
      },
  },
];
for (const { what, trouble, proto, method, fault } of planted) {
  test.serial(`planted: ${what}: found out (${trouble})`, async (t) => {
    const methods = proto as Record<string, Method>;
    const old = methods[method]!;
    const oldAccept = (Proposer.prototype as unknown as Record<string, Method>)['accept']!;
    methods[method] = fault(old);
    if (what.startsWith('a proposer that wakes'))
      (Proposer.prototype as unknown as Record<string, Method>)['accept'] = function (this: unknown, ...args) {
        return oldAccept.call(this, args[0], args[1], args[2], () => true);
      };
    try {
      t.true((await stranded(t, trouble, true)).late > 0);
    } finally {
      methods[method] = old;
      (Proposer.prototype as unknown as Record<string, Method>)['accept'] = oldAccept;
    }
  });
}
