import { MEMBERSHIP, PLACEMENT, PROCESS, REGISTER, REQUEST, SESSION, SHARD } from '@harecross/kernel';
import * as kernel from '@harecross/kernel';
import test from 'ava';

const GROUPS = { SESSION, SHARD, REQUEST, MEMBERSHIP, REGISTER, PLACEMENT, PROCESS };

/** Names that stand in more than one group: the later one would hide the earlier. */
function standTwice(groups: object[]): string[] {
  const names = groups.flatMap((group) => Object.keys(group));
  return names.filter((name, i) => names.indexOf(name) !== i);
}

test('every constant is in one group, and in no other', (t) => {
  t.deepEqual(standTwice(Object.values(GROUPS)), []);
  const exported = Object.entries(kernel).filter(([name, x]) => /^[A-Z]+$/.test(name) && typeof x === 'object');
  t.deepEqual(Object.fromEntries(exported), GROUPS, 'no group is left out here');
  t.deepEqual(standTwice([SESSION, { headsMs: 1 }]), ['headsMs'], 'planted');
});

test('every constant is a number whose name ends in its unit', (t) => {
  const unnamed = Object.values(GROUPS)
    .flatMap((group) => Object.entries(group))
    .filter(
      ([name, value]) =>
        !Number.isFinite(value) ||
        !/(Ms|S|Bytes|Count|Limit|Size|Factor|FanOut|Concurrency|Divisor|Commits|[sS]hare|Slack)$/.test(name),
    );
  t.deepEqual(unnamed, []);
});
