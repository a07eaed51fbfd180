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

/** A clock that advances only when the test calls for it. */
function manualClock(): Clock & { advance(ms: number): void } {
  let now = 0;
  let timers: { at: number; run: () => void }[] = [];
  return {
    now: () => now,
    wall: () => now,
    after: (ms, run) => {
      const timer = { at: now + ms, run };
      timers.push(timer);
      return () => {
        timers = timers.filter((pending) => pending !== timer);
      };
    },
    advance: (ms) => {
      now += ms;
      const due = timers.filter((pending) => pending.at <= now);
      timers = timers.filter((pending) => pending.at > now);
      for (const timer of due) timer.run();
    },
  };
}

const fact = (key: string, version: string): Fact => [key, version, { key }];

test('outbox: the first fact is sent at once, later ones are batched per interval, each key once in its newest version', (t) => {
  const clock = manualClock();
  const sent: Fact[][] = [];
  const outbox = new Outbox(
    clock,
    () => 100,
    (facts) => sent.push(facts),
  );
  outbox.add([fact('a', '1')]);
  clock.advance(0);
  t.deepEqual(sent, [[fact('a', '1')]]);
  outbox.add([fact('b', '2')]);
  outbox.add([fact('b', '1'), fact('c', '1')]);
  clock.advance(99);
  t.is(sent.length, 1);
  clock.advance(1);
  t.deepEqual(sent[1], [fact('b', '2'), fact('c', '1')]);
  // Nothing is sent without a pending fact, but an explicitly added empty list is.
  clock.advance(1_000);
  t.is(sent.length, 2);
  outbox.add([]);
  clock.advance(0);
  t.deepEqual(sent[2], []);
});

test('outbox: a flush sends the pending facts, once', (t) => {
  const clock = manualClock();
  const sent: Fact[][] = [];
  const outbox = new Outbox(
    clock,
    () => 100,
    (facts) => sent.push(facts),
  );
  outbox.add([fact('a', '1')]);
  outbox.flush();
  clock.advance(1_000);
  t.deepEqual(sent, [[fact('a', '1')]]);
});

test('partial view: members learned in the same order by all nodes are in about equally many views', (t) => {
  const members = Array.from({ length: 90 }, (_, i) => `10.0.0.${i}:7100`);
  const inViews = new Map<string, number>();
  for (let node = 0; node < 300; node++) {
    const view = new PeerView(seededRandom(node), 12);
    for (const member of members) view.offer(member);
    t.is(view.peers().length, 12);
    for (const peer of view.peers()) inViews.set(peer, (inViews.get(peer) ?? 0) + 1);
  }
  // 300 views of 12 of the 90 members: each is in 40 on average.
  t.true(Math.max(...inViews.values()) < 80);
  t.true(Math.min(...members.map((m) => inViews.get(m) ?? 0)) > 10);
});

test('checksums per part: equal for the same facts in any order, and different only in the part where a fact differs', (t) => {
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

test('compressed lists are restored unchanged; long ones are less than half as long in transit', (t) => {
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

test('a newer value is sent without the configuration if both have the same version of it, and is complete on receipt', (t) => {
  const newer = value(9, 2);
  const own = value(4, 2);
  const answer = valueAnswer(valueRequest(own), newer);
  t.is(typeof answer, 'object');
  t.false(JSON.stringify(answer).includes('family-2'));
  t.deepEqual(valueFromAnswer(answer, own), newer);
  // The receiver's configuration has changed meanwhile, so the partial value can't be used.
  t.is(valueFromAnswer(answer, value(10, 3)), undefined);
  // With another version, or if the request names none, as from a node without a value or of an older version, the answer is
  // complete.
  for (const held of [value(4, 1), undefined]) {
    const whole = valueAnswer(valueRequest(held), newer);
    t.is(typeof whole, 'string');
    t.deepEqual(valueFromAnswer(whole, held), newer);
  }
  t.is(valueAnswer(valueRequest(newer), newer), undefined);
  t.is(valueAnswer(valueRequest(value(10, 3)), newer), undefined);
  t.is(valueAnswer({}, undefined), undefined);
});
