import {
  Outbox,
  PeerView,
  TableSums,
  compressList,
  decompressList,
  valueAnswer,
  valueFromAnswer,
  valueRequest,
} from '@harecross/control';
import type { Clock } from '@harecross/kernel';
import type { Fact, FleetValue } from '@harecross/control';
import test from 'ava';
import { seededRandom } from '../sim.js';

/** A clock that stands until it is told to go on. */
function handClock(): Clock & { pass(ms: number): void } {
  let now = 0;
  let timers: { at: number; run: () => void }[] = [];
  return {
    now: () => now,
    wall: () => now,
    after: (ms, run) => {
      const timer = { at: now + ms, run };
      timers.push(timer);
      return () => {
        timers = timers.filter((x) => x !== timer);
      };
    },
    pass: (ms) => {
      now += ms;
      const due = timers.filter((x) => x.at <= now);
      timers = timers.filter((x) => x.at > now);
      for (const timer of due) timer.run();
    },
  };
}

const fact = (key: string, version: string): Fact => [key, version, { key }];

test('outbox: the first fact leaves at once, those within the gap leave together, each key once in its newest version', (t) => {
  const clock = handClock();
  const sent: Fact[][] = [];
  const outbox = new Outbox(
    clock,
    () => 100,
    (facts) => sent.push(facts),
  );
  outbox.add([fact('a', '1')]);
  clock.pass(0);
  t.deepEqual(sent, [[fact('a', '1')]]);
  outbox.add([fact('b', '2')]);
  outbox.add([fact('b', '1'), fact('c', '1')]);
  clock.pass(99);
  t.is(sent.length, 1);
  clock.pass(1);
  t.deepEqual(sent[1], [fact('b', '2'), fact('c', '1')]);
  // Nothing waits: nothing is sent, and an empty list is.
  clock.pass(1_000);
  t.is(sent.length, 2);
  outbox.add([]);
  clock.pass(0);
  t.deepEqual(sent[2], []);
});

test('outbox: what waits leaves at a flush, and not a second time', (t) => {
  const clock = handClock();
  const sent: Fact[][] = [];
  const outbox = new Outbox(
    clock,
    () => 100,
    (facts) => sent.push(facts),
  );
  outbox.add([fact('a', '1')]);
  outbox.flush();
  clock.pass(1_000);
  t.deepEqual(sent, [[fact('a', '1')]]);
});

test('partial view: members that are learned of in one order everywhere stand in about as many views each', (t) => {
  const members = Array.from({ length: 90 }, (_, i) => `10.0.0.${i}:7100`);
  const inViews = new Map<string, number>();
  for (let node = 0; node < 300; node++) {
    const view = new PeerView(seededRandom(node), 12);
    for (const member of members) view.offer(member);
    t.is(view.peers().length, 12);
    for (const peer of view.peers()) inViews.set(peer, (inViews.get(peer) ?? 0) + 1);
  }
  // 300 views of 12 among 90 members: 40 each.
  t.true(Math.max(...inViews.values()) < 80);
  t.true(Math.min(...members.map((m) => inViews.get(m) ?? 0)) > 10);
});

test('sums by part: equal for the same facts in any order, and different just where a fact differs', (t) => {
  const [a, b] = [new TableSums(), new TableSums()];
  for (let i = 0; i < 100; i++) a.add(`m/${i}`, 'v1');
  for (let i = 99; i >= 0; i--) b.add(`m/${i}`, 'v1');
  t.true(a.isSame(b.total));
  t.deepEqual(a.differingParts(b.parts), []);
  b.remove('m/7', 'v1');
  b.add('m/7', 'v2');
  t.false(a.isSame(b.total));
  t.deepEqual(a.differingParts(b.parts), [TableSums.partOf('m/7')]);
});

test('packed lists come back as they were; long ones are much shorter on the way', (t) => {
  const short = [fact('m/1', '1')];
  t.deepEqual(compressList(short), short);
  const long = Array.from({ length: 100 }, (_, i) => fact(`m/10.0.0.${i}:7100`, `00${i}`));
  const sent = compressList(long);
  t.is(typeof sent, 'string');
  t.true(sent.length * 2 < JSON.stringify(long).length);
  t.deepEqual(decompressList(sent), long);
  t.throws(() => decompressList('no list'));
});

const value = (rev: number, version: number): FleetValue => ({
  fleet: 'f',
  rev,
  version,
  changeId: '',
  config: { families: [{ name: `family-${version}`, topics: ['a.*'], patienceMs: 1_000, memoryS: 0 }] },
  incarnations: new Map([['a.*', version]]),
  document: `document ${version}`,
  disks: new Map(),
  voters: [`seat-${rev}`],
  previousVoters: [],
  shards: new Map(),
  copies: 3,
  changes: new Map(),
  moves: new Map(),
});

test('a newer value comes without the configuration where both have the same version of it, and is whole after it', (t) => {
  const newer = value(9, 2);
  const own = value(4, 2);
  const answer = valueAnswer(valueRequest(own), newer);
  t.is(typeof answer, 'object');
  t.false(JSON.stringify(answer).includes('family-2'));
  t.deepEqual(valueFromAnswer(answer, own), newer);
  // Our own configuration changed meanwhile: what came is of no use.
  t.is(valueFromAnswer(answer, value(10, 3)), undefined);
  // Another version, nothing at all, or an older node that says nothing of what it has: whole.
  for (const has of [value(4, 1), undefined]) {
    const whole = valueAnswer(valueRequest(has), newer);
    t.is(typeof whole, 'string');
    t.deepEqual(valueFromAnswer(whole, has), newer);
  }
  t.is(valueAnswer(valueRequest(newer), newer), undefined);
  t.is(valueAnswer(valueRequest(value(10, 3)), newer), undefined);
  t.is(valueAnswer({}, undefined), undefined);
});
