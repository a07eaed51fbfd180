import test from 'ava';
import { explain, type SubmitResponse, type RegisterCall } from '../linearizable.js';

type Outcome = SubmitResponse['outcome'];

/** A submit from `invoked` to `returned`; `told` is the version and the revision in its answer. */
function submit(
  [invoked, returned]: [number, number],
  revision: number,
  content: string,
  outcome: Outcome,
  told?: [number, number],
): RegisterCall {
  const answer =
    outcome === 'conflict' || outcome === 'invalid'
      ? { outcome, returned }
      : { outcome, returned, version: told![0], revision: told![1] };
  return { kind: 'submit', invoked, revision, content, answer };
}
const unclear = (invoked: number, revision: number, content: string, expires?: number): RegisterCall => ({
  kind: 'submit',
  invoked,
  revision,
  content,
  ...(expires === undefined ? {} : { expires }),
});
const read = (
  [invoked, returned]: [number, number],
  version: number,
  revision?: number,
  content?: string,
): RegisterCall => ({ kind: 'read', invoked, returned, version, revision, content });

/** Histories that a register gives. */
const TRUE_HISTORIES: [string, RegisterCall[]][] = [
  ['nothing', []],
  ['a read before anything', [read([0, 1], 1)]],
  ['one order, and it is read', [submit([0, 2], 5, 'a', 'accepted', [2, 5]), read([3, 4], 2, 5, 'a')]],
  [
    'two at once under one number: one of them conflicts',
    [submit([0, 5], 5, 'a', 'accepted', [2, 5]), submit([0, 5], 5, 'b', 'conflict'), read([6, 7], 2, 5, 'a')],
  ],
  [
    'an order sent again after another came in between',
    [
      submit([0, 2], 5, 'a', 'accepted', [2, 5]),
      submit([3, 4], 9, 'b', 'accepted', [3, 9]),
      submit([5, 6], 5, 'a', 'accepted', [3, 9]),
      submit([5, 6], 7, 'c', 'overtaken', [3, 9]),
    ],
  ],
  [
    'its answer tells of what came after it',
    [submit([0, 9], 5, 'a', 'accepted', [3, 7]), submit([1, 8], 7, 'b', 'accepted', [3, 7])],
  ],
  ['a lost answer, and it came into force', [unclear(0, 5, 'a'), read([3, 4], 2, 5, 'a')]],
  ['a lost answer, and it did not', [unclear(0, 5, 'a'), read([3, 4], 1), submit([5, 6], 4, 'b', 'accepted', [2, 4])]],
  [
    'a lost answer that comes into force late, before it expires',
    [unclear(0, 5, 'a', 10), read([3, 4], 1), read([9, 12], 2, 5, 'a')],
  ],
  [
    'a read at the same time as an order sees either',
    [read([0, 9], 1), submit([0, 9], 5, 'a', 'accepted', [2, 5]), read([0, 9], 2, 5, 'a')],
  ],
  [
    'an unclear one comes before a call that begins after it expired',
    [unclear(0, 5, 'a', 10), submit([20, 21], 5, 'b', 'conflict'), read([22, 23], 2, 5, 'a')],
  ],
  ['refused and never in force', [submit([0, 2], 5, 'a', 'invalid'), read([3, 4], 1)]],
];

/** Histories with a lie in them, that no register gives. */
const LIES: [string, RegisterCall[]][] = [
  [
    'two under one number are both told that they are in force',
    [submit([0, 5], 5, 'a', 'accepted', [2, 5]), submit([0, 5], 5, 'b', 'accepted', [2, 5])],
  ],
  ['an old state is read', [submit([0, 2], 5, 'a', 'accepted', [2, 5]), read([3, 4], 1)]],
  ['other content is read', [submit([0, 2], 5, 'a', 'accepted', [2, 5]), read([3, 4], 2, 5, 'b')]],
  ['a read of what nobody sent', [read([3, 4], 2, 5, 'a')]],
  [
    'two reads in the wrong order',
    [submit([0, 9], 5, 'a', 'accepted', [2, 5]), read([1, 2], 2, 5, 'a'), read([3, 4], 1)],
  ],
  [
    'an answer tells of an older state than was told before',
    [
      submit([0, 1], 5, 'a', 'accepted', [2, 5]),
      submit([2, 3], 9, 'b', 'accepted', [3, 9]),
      submit([4, 5], 5, 'a', 'accepted', [2, 5]),
    ],
  ],
  [
    'an order that was taken is refused when it is sent again',
    [submit([0, 1], 5, 'a', 'accepted', [2, 5]), submit([2, 3], 5, 'a', 'conflict')],
  ],
  [
    'an order that was taken is called invalid when it is sent again',
    [submit([0, 1], 5, 'a', 'accepted', [2, 5]), submit([2, 3], 5, 'a', 'invalid')],
  ],
  ['a conflict with nothing', [submit([0, 1], 5, 'a', 'conflict')]],
  [
    'a refused one is read',
    [submit([0, 5], 5, 'a', 'accepted', [2, 5]), submit([0, 5], 5, 'b', 'conflict'), read([6, 7], 2, 5, 'b')],
  ],
  ['overtaken by nothing', [submit([0, 1], 5, 'a', 'overtaken', [2, 7])]],
  [
    'overtaken though it was in force',
    [
      submit([0, 1], 5, 'a', 'accepted', [2, 5]),
      submit([2, 3], 9, 'b', 'accepted', [3, 9]),
      submit([4, 5], 5, 'a', 'overtaken', [3, 9]),
    ],
  ],
  [
    'a lower one comes into force after a higher one',
    [submit([0, 1], 9, 'b', 'accepted', [2, 9]), submit([2, 3], 5, 'a', 'accepted', [3, 5])],
  ],
  [
    'a lost answer comes into force long after it expired',
    [unclear(0, 5, 'a', 10), read([15, 16], 1), read([20, 21], 2, 5, 'a')],
  ],
  ['a lost answer came into force and is gone', [unclear(0, 5, 'a'), read([3, 4], 2, 5, 'a'), read([5, 6], 1)]],
  [
    'one version for two revisions',
    [submit([0, 9], 5, 'a', 'accepted', [2, 5]), submit([0, 9], 6, 'b', 'accepted', [2, 6])],
  ],
];

test('histories that a register gives are explained', (t) => {
  for (const [name, calls] of TRUE_HISTORIES) t.is(explain(calls, 1).tag, 'explained', name);
});

test('histories with a planted lie are not', (t) => {
  for (const [name, calls] of LIES) t.is(explain(calls, 1).tag, 'unexplained', name);
});

test('an unexplained history names the calls that cannot be explained', (t) => {
  const found = explain([submit([0, 2], 5, 'a', 'accepted', [2, 5]), read([3, 4], 1)], 1);
  t.is(found.tag, 'unexplained');
  t.deepEqual(found.order, ['0: submit 5 a accepted', '0: told 5']);
  t.deepEqual(found.tag === 'unexplained' && found.stuck, ['1: read none']);
});

test('a long history of many at once is judged in few steps', (t) => {
  const calls: RegisterCall[] = [];
  for (let round = 0; round < 40; round++) {
    const at = round * 100;
    const revision = round * 2 + 1;
    const version = round + 2;
    for (let i = 0; i < 6; i++) calls.push(unclear(at, revision, `lost ${i}`, at + 50));
    calls.push(submit([at, at + 60], revision, 'won', 'accepted', [version, revision]));
    calls.push(submit([at, at + 60], revision, 'other', 'conflict'));
    calls.push(read([at + 70, at + 80], version, revision, 'won'));
  }
  const found = explain(calls, 1);
  t.is(found.tag, 'explained');
  t.true(found.visited < 100 * calls.length, `${found.visited} states`);
  calls.push(read([9_000, 9_001], 2, 1, 'won'));
  t.is(explain(calls, 1).tag, 'unexplained');
});
