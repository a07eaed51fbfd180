import { C, MEMBERSHIP, PLACEMENT, PROCESS, REGISTER, REQUEST, SESSION, SHARD } from '@harecross/kernel';
import test from 'ava';

const GROUPS = { SESSION, SHARD, REQUEST, MEMBERSHIP, REGISTER, PLACEMENT, PROCESS };

/** Names that stand in more than one group: the later one would hide the earlier. */
function standTwice(groups: object[]): string[] {
  const names = groups.flatMap((group) => Object.keys(group));
  return names.filter((name, i) => names.indexOf(name) !== i);
}

test('every constant is in one group, and all groups together are C', (t) => {
  t.deepEqual(standTwice(Object.values(GROUPS)), []);
  t.deepEqual({ ...C }, Object.assign({}, ...Object.values(GROUPS)));
  t.deepEqual(standTwice([SESSION, { headsMs: 1 }]), ['headsMs'], 'planted');
});

test('every constant is a number whose name ends in its unit', (t) => {
  const unnamed = Object.entries(C).filter(
    ([name, value]) => !Number.isFinite(value) || !/(Ms|S|Bytes|N|X|[sS]hare|Slack)$/.test(name),
  );
  t.deepEqual(unnamed, []);
});
