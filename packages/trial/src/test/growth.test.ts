import {
  MembershipTable,
  ForgetPlanner,
  deserializeValue,
  ConsensusRegister,
  serializeValue,
} from '@harecross/control';
import test, { type ExecutionContext } from 'ava';
import { longLife, withConstants, type LongLife } from './long-life.js';

/**
 * Times after which something is forgotten, about a tenth as long as they are, and as much fewer records that are kept by count: a tenth
 * of the life shows whether sizes stay. The order of the times among one another is kept.
 */
const SHORTENED = {
  suspicionTimeoutMs: 4_000,
  deadRecordTtlMs: 8_000,
  tombstoneMs: 20_000,
  forgetDiskMs: 20_000,
  forgettableRecordLimit: 8,
  revisionOutcomeLimit: 8,
};
const HALF_ROUNDS = 12;
/**
 * Sizes are the smallest of the last rounds of each half: what comes and goes in bursts is left out, what grows is not. A collection that
 * is not listed after a round is empty then.
 */
const LOOK_ROUNDS = 4;
/** What has one more entry for each machine that came, or each change, would have twice as many at the end as in the middle. */
const MOST_GROWTH = 1.25;
const SPARE_ENTRIES = 4;

async function half(life: LongLife): Promise<Map<string, number>> {
  const looks: Map<string, number>[] = [];
  for (let i = 0; i < HALF_ROUNDS; i++) {
    await life.round();
    if (i < HALF_ROUNDS - LOOK_ROUNDS) continue;
    const { valueChars, parts } = life.sizes();
    looks.push(parts.set('value as text', valueChars));
  }
  const keys = new Set(looks.flatMap((sizes) => [...sizes.keys()]));
  return new Map([...keys].map((key) => [key, Math.min(...looks.map((sizes) => sizes.get(key) ?? 0))]));
}

/** What is larger after twice the life, with both sizes. */
async function grown(
  t: ExecutionContext,
  seed: number,
  x: Parameters<typeof withConstants>[0] = {},
): Promise<Map<string, string>> {
  const restore = withConstants({ ...SHORTENED, ...x });
  try {
    const life = await longLife(seed);
    const first = await half(life);
    const second = await half(life);
    for (const node of [...life.fleet.controls, ...life.fleet.stores, ...life.fleet.relays]) {
      const value = node.kernel!.use('register').value!;
      t.deepEqual(
        deserializeValue(serializeValue(value)),
        value,
        `${node.name}: the text that it keeps says what its value says`,
      );
    }
    life.fleet.sim.close();
    t.log(
      `${JSON.stringify(life.counts)}; value ${first.get('value as text')} -> ${second.get('value as text')} chars`,
    );
    t.deepEqual(life.fleet.sim.errors, []);
    const more = [...second].filter(([key, n]) => n > (first.get(key) ?? 0) * MOST_GROWTH + SPARE_ENTRIES);
    return new Map(more.map(([key, n]) => [key, `${first.get(key) ?? 0} -> ${n}`]));
  } finally {
    restore();
  }
}

test.serial(
  'the agreed value, the disks and the memory of nodes do not grow with changes and replacements',
  async (t) => {
    t.deepEqual([...(await grown(t, 1))], []);
  },
);

test.serial(
  'planted: disk records and tombstones that are never forgotten, and a new set that grows, are noticed',
  async (t) => {
    const plan = Reflect.get(ForgetPlanner.prototype, 'plan') as ForgetPlanner['plan'];
    const learn = Reflect.get(ConsensusRegister.prototype, 'learn') as (
      this: ConsensusRegister,
      value: unknown,
    ) => void;
    ForgetPlanner.prototype.plan = () => undefined;
    Reflect.set(
      ConsensusRegister.prototype,
      'learn',
      function (this: ConsensusRegister & { everLearned?: Set<unknown> }, value: { rev: number }) {
        this.everLearned ??= new Set();
        this.everLearned.add(value.rev);
        learn.call(this, value);
      },
    );
    try {
      const found = [...(await grown(t, 2, { tombstoneMs: Infinity })).keys()];
      for (const part of ['value.disks', 'value as text', 'membership.table.tombstones', 'everLearned'])
        t.true(
          found.some((key) => key.includes(part)),
          `${part} among ${found.join(', ')}`,
        );
    } finally {
      ForgetPlanner.prototype.plan = plan;
      Reflect.set(ConsensusRegister.prototype, 'learn', learn);
    }
  },
);

test.serial(
  'planted: a record handed on without how long its member was silent is never forgotten where nodes come and go',
  async (t) => {
    const wire = Reflect.get(MembershipTable.prototype, 'toWireFact') as (
      this: MembershipTable,
      key: string,
    ) => unknown[];
    Reflect.set(MembershipTable.prototype, 'toWireFact', function (this: MembershipTable, key: string) {
      return wire.call(this, key).slice(0, 3);
    });
    try {
      const found = [...(await grown(t, 3)).keys()];
      t.true(
        found.some((key) => key.endsWith('membership.members')),
        found.join(', '),
      );
    } finally {
      Reflect.set(MembershipTable.prototype, 'toWireFact', wire);
    }
  },
);
