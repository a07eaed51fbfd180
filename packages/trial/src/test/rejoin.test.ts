import { deserializeValue, ConsensusRegister, serializeValue, type FleetValue } from '@harecross/control';
import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, diskIdOf, votersAt, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** A member that reaches a majority is current, and votes, within this. */
const CURRENT_MS = 1_000;
/** How finely a member is watched as it comes back. */
const STEP_MS = 5;
const MISSED_CHANGES = 100;
/** A revision that was accepted by one voter alone and never chosen. */
const NEVER_CHOSEN = 1_000_000;

/** A fleet, the last revision and version that were acknowledged, and what was seen that must not be. */
interface Life {
  fleet: ControlFleet;
  revision: number;
  version: number;
  wrong: string[];
}

const registerOf = (n: SimNode): ConsensusRegister => n.kernel!.use('register');

async function life(seed: number): Promise<Life> {
  return { fleet: await startControlFleet(seed, { relays: 1 }), revision: 1, version: 1, wrong: [] };
}

/** One change, at a node; it must be acknowledged, as the version after the last. */
async function change(l: Life, at: SimNode): Promise<void> {
  l.revision++;
  const body = { revision: l.revision, document: { n: l.revision }, config: { families: FAMILIES } };
  const answer = await l.fleet.ask(at, 'SubmitConfig', body);
  l.version++;
  if (answer.status !== 200 || answer.body.version !== l.version)
    l.wrong.push(`change ${l.revision} at ${at.name}, version ${l.version}: ${JSON.stringify(answer)}`);
}

/** Nothing arrives at or from a node but from itself. */
function isolate(l: Life, n: SimNode): void {
  for (const other of l.fleet.sim.nodes.values()) if (other !== n) l.fleet.sim.cut(n.name, other.name);
}

/** Other voters than this one. */
const others = (l: Life, n: SimNode): SimNode[] => l.fleet.controls.filter((c) => c !== n);

/**
 * Watches a member from the moment at which it reaches a majority: it never serves by anything older than what was acknowledged before
 * that moment. Gives the time until it is current.
 */
async function untilCurrent(l: Life, n: SimNode): Promise<number> {
  const { sim } = l.fleet;
  const from = sim.now;
  while (sim.now - from < 5 * CURRENT_MS) {
    await sim.run(sim.now + STEP_MS);
    const register = n.kernel?.has('register') ? registerOf(n) : undefined;
    if (!register?.hasReadLease()) continue;
    if (register.value!.revision === l.revision) break;
    l.wrong.push(`${n.name} serves by revision ${register.value!.revision}, ${l.revision} was acknowledged`);
    break;
  }
  const took = sim.now - from;
  if (took > CURRENT_MS) l.wrong.push(`${n.name} is current after ${took} ms`);
  return took;
}

/** With another voter cut off, a change needs this one's vote. */
async function votes(l: Life, n: SimNode): Promise<void> {
  const [silent, asked] = others(l, n) as [SimNode, SimNode];
  if (!votersAt(asked).includes(diskIdOf(n))) l.wrong.push(`${n.name} is no voter`);
  isolate(l, silent);
  const from = l.fleet.sim.now;
  await change(l, asked);
  if (l.fleet.sim.now - from > CURRENT_MS) l.wrong.push(`a change with its vote took ${l.fleet.sim.now - from} ms`);
  l.fleet.sim.healAll();
  await l.fleet.advance(2_000);
}

async function missChanges(l: Life, away: SimNode, count: number): Promise<void> {
  for (let i = 0; i < count; i++) await change(l, others(l, away)[i % 2]!);
}

/** As if the voter had accepted one more value, from a proposer that died before any other voter accepted it. */
function acceptAlone(n: SimNode): void {
  const get = (k: string): string => n.sql!.prepare('select v from meta where k = ?').pluck().get(k) as string;
  const set = (k: string, v: string): void => {
    // A row without a sum is one from before there were sums, and is taken as it is.
    n.sql!.prepare('update meta set v = ?, sum = null where k = ?').run(v, k);
  };
  const value: FleetValue = deserializeValue(get('seat.value'));
  const number = Math.max(Number(get('seat.ballot').slice(0, 12)), Number(get('seat.promised').slice(0, 12))) + 1;
  const ballot = `${String(number).padStart(12, '0')}.10.9.9.9:7100~dead`;
  const never = { ...value, rev: value.rev + 1, version: value.version + 1, revision: NEVER_CHOSEN };
  set('seat.value', serializeValue(never));
  set('seat.ballot', ballot);
  set('seat.promised', ballot);
}

interface Return {
  what: string;
  /** How the voter goes away. */
  leave(l: Life, n: SimNode): void;
  /** How it comes back, and reaches a majority from then on. */
  back(l: Life, n: SimNode): void;
}
const RETURNS: Return[] = [
  {
    what: 'restarted with its old disk',
    leave: (l, n) => l.fleet.sim.kill(n),
    back: (l, n) => void l.fleet.sim.start(n),
  },
  {
    what: 'restarted with a disk that alone accepted a value',
    leave: (l, n) => {
      l.fleet.sim.kill(n);
      acceptAlone(n);
    },
    back: (l, n) => void l.fleet.sim.start(n),
  },
  {
    what: 'cut off for long',
    leave: isolate,
    back: (l) => l.fleet.sim.healAll(),
  },
  {
    what: 'frozen for long',
    leave: (l, n) => l.fleet.sim.freeze(n),
    back: (l, n) => l.fleet.sim.thaw(n),
  },
  {
    what: 'cut off, restarted while it is, and let in again',
    leave: (l, n) => {
      isolate(l, n);
      l.fleet.sim.kill(n);
      void l.fleet.sim.start(n);
    },
    back: (l) => l.fleet.sim.healAll(),
  },
];

/** A voter goes away, misses changes, and comes back. Gives the time until it was current. */
async function leaveAndReturn(l: Life, way: Return, missed: number): Promise<number> {
  const n = l.fleet.controls[2]!;
  await change(l, l.fleet.controls[0]!);
  way.leave(l, n);
  await missChanges(l, n, missed);
  way.back(l, n);
  const took = await untilCurrent(l, n);
  await votes(l, n);
  await change(l, n);
  l.fleet.sim.close();
  return took;
}

for (const [i, way] of RETURNS.entries()) {
  test(`a voter that missed ${MISSED_CHANGES} changes, ${way.what}: current and voting within a second, never by its disk`, async (t) => {
    const l = await life(400 + i);
    const took = await leaveAndReturn(l, way, MISSED_CHANGES);
    t.log(`current ${Math.round(took)} ms of virtual time after it reached a majority`);
    t.deepEqual(l.wrong, []);
  });
}

/** Whoever is cut off is let in again at many moments of its own periods, as a call of its own may just be waiting in vain. */
async function letInAgain(seed: number): Promise<Life> {
  const l = await life(seed);
  for (const n of [l.fleet.controls[2]!, l.fleet.stores[2]!, l.fleet.relays[0]!])
    for (let i = 0; i < 6; i++) {
      isolate(l, n);
      await l.fleet.advance(4_000 + i * 437);
      await change(l, l.fleet.controls[0]!);
      l.fleet.sim.healAll();
      await untilCurrent(l, n);
      await l.fleet.advance(3_000);
    }
  l.fleet.sim.close();
  return l;
}

test('a control node, a store and a relay that were cut off are current within a second of being let in again', async (t) => {
  t.deepEqual((await letInAgain(2)).wrong, []);
});

/** A voter is killed at some moment of a change, and restarted at once or after the others have gone on. */
async function killedAmidChange(l: Life, round: number): Promise<void> {
  const [first, second, third] = l.fleet.controls as [SimNode, SimNode, SimNode];
  const victim = round % 2 ? third : first;
  l.revision++;
  const body = { revision: l.revision, document: {}, config: { families: FAMILIES } };
  const sent = l.fleet.sim.clientTransport.visit(first.config.client, 'SubmitConfig', body, 6_000);
  await l.fleet.advance(1 + round * 2);
  l.fleet.sim.kill(victim);
  await l.fleet.advance(round % 3 ? 2_000 : 50);
  const again = await l.fleet.ask(second, 'SubmitConfig', body);
  const answer = await sent;
  if (again.status !== 200) l.wrong.push(`round ${round}: sent again, ${JSON.stringify(again)}`);
  if (answer?.status === 200 && answer.body.version !== again.body.version)
    l.wrong.push(`round ${round}: first ${JSON.stringify(answer.body)}, then ${JSON.stringify(again.body)}`);
  l.version = again.body.version;
  void l.fleet.sim.start(victim);
  await untilCurrent(l, victim);
}

test('a voter killed at any moment of a change, and restarted: what was acknowledged stands, and it votes', async (t) => {
  const l = await life(410);
  for (let round = 0; round < 12; round++) await killedAmidChange(l, round);
  await votes(l, l.fleet.controls[2]!);
  l.fleet.sim.close();
  t.deepEqual(l.wrong, []);
});

/** What a voter serves that is restarted and reaches nobody. */
async function servedAlone(l: Life): Promise<string[]> {
  const n = l.fleet.controls[2]!;
  l.fleet.sim.kill(n);
  isolate(l, n);
  void l.fleet.sim.start(n);
  let everFresh = false;
  for (let passed = 0; passed < 5_000; passed += STEP_MS) {
    await l.fleet.advance(STEP_MS);
    everFresh ||= n.kernel?.has('register') === true && registerOf(n).hasReadLease();
  }
  const read = await l.fleet.ask(n, 'ReadConfig', {});
  const publish = await l.fleet.ask(n, 'Publish', { sender: 'desk', topic: 'feed/1', seq: 1, body: 'm' });
  l.fleet.sim.close();
  return [
    ...(everFresh ? ['it called its value fresh'] : []),
    ...(read.status === 503 ? [] : [`read: ${read.status}`]),
    ...(publish.status === 503 ? [] : [`publish: ${publish.status}`]),
  ];
}

test('a restarted voter that reaches nobody serves nothing, whatever is on its disk', async (t) => {
  t.deepEqual(await servedAlone(await life(411)), []);
});

/** Runs something with one method of a class replaced. */
async function withFault<T>(
  owner: object,
  method: string,
  fault: (old: () => unknown) => unknown,
  run: () => Promise<T>,
): Promise<T> {
  const old = Reflect.get(owner, method) as () => unknown;
  Reflect.set(owner, method, fault(old));
  try {
    return await run();
  } finally {
    Reflect.set(owner, method, old);
  }
}

/** The register's inside, for faults. */
interface Inside {
  value?: FleetValue;
  acceptor?: { accepted?: FleetValue };
  lease: { renew(at: number): void };
  kernel: { host: { clock: { now(): number } } };
  learn(v: FleetValue): void;
}
/** The proposer's inside, for faults. */
interface InsideProposer {
  context: { ask(disks: string[], method: string, body: object): Promise<unknown>[] };
  ballots: { next(): string };
}

test.serial('planted: a member that serves by its disk as it starts is noticed', async (t) => {
  const fault = (old: () => unknown) =>
    function (this: Inside): unknown {
      const accepted = this.acceptor?.accepted;
      if (this.value || !accepted) return old.call(this);
      this.learn(accepted);
      this.lease.renew(this.kernel.host.clock.now());
      return Promise.resolve(true);
    };
  const alone = await withFault(ConsensusRegister.prototype, 'confirm', fault, async () =>
    servedAlone(await life(411)),
  );
  t.true(alone.length > 0);
  for (const way of RETURNS.slice(0, 2)) {
    const l = await life(420);
    await withFault(ConsensusRegister.prototype, 'confirm', fault, () => leaveAndReturn(l, way, 5));
    t.true(
      l.wrong.some((x) => x.includes('serves by revision')),
      `${way.what}: ${l.wrong.join(', ')}`,
    );
  }
});

test.serial('planted: a member that proposes by its disk, without asking a majority first, is noticed', async (t) => {
  const fault = () =>
    async function (
      this: InsideProposer,
      start: FleetValue,
      fn: (v: FleetValue) => { next?: FleetValue; out: unknown },
    ) {
      const { next, out } = fn(start);
      const value = serializeValue({ ...(next ?? start), rev: start.rev + 1 });
      const ballot = `9${this.ballots.next().slice(1)}`;
      await Promise.allSettled(this.context.ask(start.voters, 'RegAccept', { ballot, value }));
      return { tag: 'done', out };
    };
  const l = await life(421);
  const n = l.fleet.controls[2]!;
  l.fleet.sim.kill(n);
  await missChanges(l, n, 5);
  t.deepEqual(l.wrong, []);
  const proposer = Object.getPrototypeOf(Reflect.get(registerOf(l.fleet.controls[0]!), 'proposer')) as object;
  await withFault(proposer, 'round', fault, async () => {
    void l.fleet.sim.start(n);
    await l.fleet.advance(20);
    await change(l, n);
  });
  l.fleet.sim.close();
  t.is(l.wrong.length, 1);
});

test.serial('planted: a member that waits for its period to confirm again is noticed', async (t) => {
  const wait = () => () => Promise.resolve();
  const l = await withFault(ConsensusRegister.prototype, 'renewExpiredLease', wait, () => letInAgain(2));
  t.true(l.wrong.some((x) => x.includes('is current after')));
});
