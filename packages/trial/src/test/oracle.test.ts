import test from 'ava';
import { FAULT_SCENARIOS } from '../faults.js';
import type { JournalEvent } from '../journal.js';
import { checkJournal, RULES, type Rule } from '../oracle.js';
import { fleetConfigOf, runScenario, SMALL } from '../scenario.js';

type Of<K extends JournalEvent['k']> = Extract<JournalEvent, { k: K }>;
const SEED = 11;

/** A clean day with everything in it, then one lie told about it for each rule. */
const run = runScenario(SEED, {
  faultPhaseMs: 60_000,
  faults: async (s) => {
    await FAULT_SCENARIOS.get('churn')!.faults(s);
    await FAULT_SCENARIOS.get('late-change')!.faults(s);
    await s.crowd.operator.submit('broken', { families: 3 }, false);
    s.clientContext.journal.add({ k: 'closing' });
    await new Promise<void>((r) => {
      s.sim.clock.after(17_000, r);
    });
  },
});
const clean = run.then((r) => r.seen);

const find = <K extends JournalEvent['k']>(seen: JournalEvent[], k: K, ok: (s: Of<K>) => boolean = () => true): Of<K> => {
  const s = seen.find((x) => x.k === k && ok(x as Of<K>));
  if (!s) throw new Error(`the clean day has no fitting ${k}`);
  return s as Of<K>;
};
const after = (seen: JournalEvent[], s: JournalEvent, ...more: JournalEvent[]): JournalEvent[] => [
  ...seen.slice(0, seen.indexOf(s) + 1),
  ...more,
  ...seen.slice(seen.indexOf(s) + 1),
];
const change = (seen: JournalEvent[], s: JournalEvent, x: object): JournalEvent[] => seen.map((y) => (y === s ? ({ ...y, ...x } as JournalEvent) : y));
/** A delivery that has others before and behind it on its conn and topic. */
const middle = (seen: JournalEvent[]): Of<'deliver'> => {
  const n = new Map<string, Of<'deliver'>[]>();
  for (const s of seen)
    if (s.k === 'deliver') n.set(`${s.conn} ${s.topic}`, [...(n.get(`${s.conn} ${s.topic}`) ?? []), s]);
  return [...n.values()].find((l) => l.length >= 5)![2]!;
};
/** A delivery at a time when nothing was wrong, on a conn that lives on. */
const calm = (seen: JournalEvent[]): Of<'deliver'> => {
  const ends = new Map(seen.flatMap((s) => (s.k === 'conn.end' ? [[s.conn, s.t] as const] : [])));
  return find(seen, 'deliver', (s) => s.t > 26_000 && s.t < 28_000 && (ends.get(s.conn) ?? Infinity) > s.t + 4_000);
};
const taken = (seen: JournalEvent[]): Of<'cfg.answer'> => find(seen, 'cfg.answer', (s) => s.out === 'taken' && s.version! > 2);

const lies: Record<Rule, (seen: JournalEvent[]) => JournalEvent[]> = {
  once: (l) => {
    const d = middle(l);
    return after(l, d, { ...d });
  },
  order: (l) => {
    const d = middle(l);
    const next = find(l, 'deliver', (s) => s.conn === d.conn && s.topic === d.topic && s.offset === d.offset + 1);
    return l.map((s) => {
      if (s === d) return { ...next, t: d.t };
      return s === next ? { ...d, t: next.t } : s;
    });
  },
  skipped: (l) => {
    const d = middle(l);
    return l.filter((s) => s !== d);
  },
  turned_away: (l) => {
    const d = middle(l);
    return l.map((s) =>
      s.k === 'pub.answer' && s.topic === d.topic && s.sender === d.sender && s.seq === d.seq
        ? { ...s, out: 'rejected' as const, offset: undefined }
        : s,
    );
  },
  invented: (l) => {
    const d = middle(l);
    return change(l, d, { body: 'never said' });
  },
  unasked: (l) => {
    const d = middle(l);
    return after(l, d, { ...d, topic: 'u/none' });
  },
  left: (l) => {
    const d = middle(l);
    return after(l, d, {
      k: 'left',
      t: d.t,
      consumer: d.consumer,
      conn: d.conn,
      topic: d.topic,
      sub: d.sub,
      reason: 'unsubscribed',
    });
  },
  resume: (l) => {
    const d = middle(l);
    return after(l, d, {
      k: 'sub.fail',
      t: d.t + 1_000,
      consumer: d.consumer,
      conn: d.conn,
      topic: d.topic,
      cursor: d.offset - 1,
      tag: 'cursor_expired',
    });
  },
  lost: (l) => {
    const last = [...l].reverse().find((s): s is Of<'deliver'> => s.k === 'deliver')!;
    return l.filter(
      (s) => !(s.k === 'deliver' && s.conn === last.conn && s.topic === last.topic && s.offset === last.offset),
    );
  },
  config_lost: (l) => {
    const a = taken(l);
    return after(l, a, { ...a, version: a.version! + 5 });
  },
  config_late: (l) => {
    const a = taken(l);
    return after(l, a, {
      k: 'node.says',
      t: a.t + 3_500,
      asked: a.t + 3_200,
      node: 'n',
      version: a.version! - 1,
      fresh: true,
    });
  },
  fell_back: (l) => {
    const s = find(l, 'node.says', (x) => x.version! > 2);
    return after(l, s, { ...s, t: s.t + 2, asked: s.t + 1, version: s.version! - 1 });
  },
  final: (l) => {
    const d = middle(l);
    const a = find(l, 'pub.answer', (s) => s.topic === d.topic && s.sender === d.sender && s.seq === d.seq);
    return change(l, a, { out: 'rejected', tag: 'stale_seq', offset: undefined, status: 409 });
  },
  repeat: (l) => {
    const a = find(l, 'pub.answer', (s) => s.out === 'accepted' && s.t > 24_000 && s.t < 26_000);
    const p = find(l, 'pub.try', (s) => s.try === a.try);
    return after(
      l,
      a,
      { ...p, try: -1, t: a.t + 900 },
      {
        ...a,
        try: -1,
        t: a.t + 950,
        out: 'unknown',
        tag: 'outcome_unknown',
        status: 504,
        retryMs: 300,
        offset: undefined,
      },
    );
  },
  overtaken: (l) => {
    const p = find(l, 'pub.try', (s) => s.line !== undefined);
    const a = find(l, 'pub.answer', (s) => s.try === p.try);
    return change(l, a, { out: 'rejected', tag: 'stale_seq', offset: undefined, status: 409 });
  },
  removed_flow: (l) => {
    // The whole day's families are said to have been removed early on.
    const p = find(l, 'pub.answer', (s) => s.out === 'accepted' && s.t > 25_000);
    return [
      ...l.slice(0, 1),
      { k: 'cfg.submit', t: 16_000, changeId: 'void', config: { families: [] }, valid: true },
      { k: 'cfg.answer', t: p.t - 4_000, changeId: 'void', out: 'taken', version: 10_000 },
      ...l.slice(1),
    ];
  },
  invalid_taken: (l) => {
    const a = find(l, 'cfg.answer', (s) => s.out === 'invalid');
    return change(l, a, { out: 'taken', version: 99 });
  },
  unanswered: (l) => {
    const a = taken(l);
    return l.filter((s) => !(s.k === 'cfg.answer' && s.changeId === a.changeId));
  },
  read_back: (l) => {
    const r = find(l, 'cfg.read', (s) => s.last === true);
    return change(l, r, {
      config: fleetConfigOf(SMALL, [{ name: 'other', topics: ['o'], urgency: 'routine', patienceMs: 1_000, memoryS: 5 }]),
    });
  },
  served: (l) => {
    const c = find(l, 'closing');
    return l.map((s) =>
      s.k === 'pub.answer' && s.t > c.t ? { ...s, out: 'rejected' as const, offset: undefined } : s,
    );
  },
  held: (l) => {
    const a = find(l, 'pub.answer', (s) => s.out === 'accepted' && s.t > 20_000);
    return change(l, a, { t: a.t + 4_000 });
  },
  come_back: (l) => {
    const a = find(l, 'pub.answer', (s) => s.out === 'accepted');
    return change(l, a, { out: 'rejected', status: 503, tag: 'overloaded' });
  },
  late: (l) => {
    const d = calm(l);
    return change(l, d, { t: d.t + 2_000 });
  },
  bounds: (l) => {
    const s = find(l, 'node.says', (x) => x.holdings !== undefined);
    return change(l, s, { holdings: [{ name: 'publish', length: 0, most: 2_001, bound: 2_000 }] });
  },
  counts: (l) => {
    const c = find(l, 'count', (s) => !s.partial && s.count >= 3);
    return change(l, c, { count: c.count + 6 });
  },
};

/** Lies that the judge of the first landing let pass (docs/measurements.md has its verdicts). */
const sharper: [string, Rule, (seen: JournalEvent[]) => JournalEvent[]][] = [
  [
    'a message on a topic nobody follows is not there when it is read back',
    'lost',
    (l) => {
      const d = find(
        l,
        'deliver',
        (s) =>
          s.consumer.startsWith('audit') &&
          !l.some((x) => x.k === 'sub.ok' && x.topic === s.topic && !x.consumer.includes('audit')),
      );
      return l.filter((s) => s !== d);
    },
  ],
  [
    'a message is missing after the day on the second reading, when a machine had died',
    'lost',
    (l) => {
      const d = find(l, 'deliver', (s) => s.consumer.startsWith('second audit'));
      return l.filter(
        (s) => !(s.k === 'deliver' && s.consumer === d.consumer && s.topic === d.topic && s.offset >= d.offset),
      );
    },
  ],
  [
    'a message is skipped long before its family is removed',
    'skipped',
    (l) => {
      const d = middle(l);
      const end = l.at(-1)!.t;
      const gone: JournalEvent[] = [
        { k: 'cfg.submit', t: end - 900, changeId: 'void', config: { families: [] }, valid: true },
        { k: 'cfg.answer', t: end - 800, changeId: 'void', out: 'taken', version: 10_000 },
        { k: 'cfg.read', t: end - 100, asked: end - 500, version: 10_000, config: { families: [] }, last: true },
      ];
      return [...l.filter((s) => s !== d && !(s.k === 'cfg.read' && s.last)).slice(0, -1), ...gone, l.at(-1)!];
    },
  ],
  [
    'a node that does not call itself fresh says an older version',
    'fell_back',
    (l) => {
      const s = find(l, 'node.says', (x) => x.version! > 2);
      return after(l, s, { ...s, t: s.t + 2, asked: s.t + 1, version: s.version! - 1, fresh: false });
    },
  ],
  [
    'a node serves by an older marker 100 ms after a newer one',
    'fell_back',
    (l) => [
      ...l.slice(0, -1),
      ...marked([
        [1, 10_001, 41_000],
        [2, 10_002, 42_000],
      ]),
      { k: 'mark', t: 42_300, asked: 42_250, node: 'n', mark: 2, by: 'Publish', seen: 'in' },
      { k: 'mark', t: 42_450, asked: 42_400, node: 'n', mark: 1, by: 'Subscribe', seen: 'in' },
      l.at(-1)!,
    ],
  ],
  [
    'a marker is not in force 3.5 s after its configuration was taken',
    'config_late',
    (l) => [
      ...l.slice(0, -1),
      ...marked([[1, 10_001, 41_000]]),
      { k: 'mark', t: 44_700, asked: 44_600, node: 'n', mark: 1, by: 'Publish', seen: 'out' },
      l.at(-1)!,
    ],
  ],
  [
    'a well node calls itself not fresh',
    'config_late',
    (l) => {
      const s = find(l, 'node.says', (x) => x.t > 22_000 && x.t < 26_000);
      return change(l, s, { fresh: false });
    },
  ],
  [
    'a well node says nothing',
    'config_late',
    (l) => {
      const s = find(l, 'node.says', (x) => x.t > 22_000 && x.t < 26_000);
      return l.map((x) => (x === s ? { k: 'node.silent', t: s.t, asked: s.asked, node: s.node } : x));
    },
  ],
  [
    'callers back off: one publish is tried after the closing fault and accepted',
    'served',
    (l) => {
      const c = find(l, 'closing');
      const one = find(l, 'pub.answer', (s) => s.t > c.t + 13_000 && s.out === 'accepted').try;
      return l.filter((s) => !((s.k === 'pub.try' || s.k === 'pub.answer') && s.t > c.t && s.try !== one));
    },
  ],
  [
    'publishes are accepted after the closing fault and nothing is delivered',
    'served',
    (l) => {
      const c = find(l, 'closing');
      return l.filter((s) => !(s.k === 'deliver' && s.t > c.t));
    },
  ],
  [
    'one domain is not served after the closing fault',
    'served',
    (l) => {
      const c = find(l, 'closing');
      const tries = new Set(l.flatMap((s) => (s.k === 'pub.try' && s.domain === 'b' ? [s.try] : [])));
      return l.map((s) =>
        s.k === 'pub.answer' && s.t > c.t && tries.has(s.try)
          ? ({ ...s, out: 'rejected', offset: undefined } as JournalEvent)
          : s,
      );
    },
  ],
  [
    'a count is two too high',
    'counts',
    (l) => {
      // At a time when who listens hardly changes: the first count after 24 s lies within a wave of joins that makes it true.
      const s = find(l, 'count', (x) => !x.partial && x.t > 26_000 && x.t < 29_000);
      return change(l, s, { count: s.count + 2 });
    },
  ],
  [
    'a partial count is too high',
    'counts',
    (l) => {
      const s = find(l, 'count', (x) => x.t > 24_000);
      return change(l, s, { partial: true, count: s.count + 4 });
    },
  ],
  [
    'a count is partial though nothing has changed for long',
    'counts',
    (l) => {
      const s = find(l, 'count', (x) => x.t > 26_000 && x.t < 29_000);
      return change(l, s, { partial: true });
    },
  ],
  [
    'a message that comes on a subscription that was never told of',
    'unasked',
    (l) => {
      const d = middle(l);
      return after(l, d, { ...d, sub: 'other' });
    },
  ],
  [
    'a well node never answers a publish',
    'held',
    (l) => {
      const a = find(l, 'pub.answer', (s) => s.out === 'accepted' && s.t > 20_000);
      return change(l, a, { out: 'unknown', tag: 'no answer', t: a.t + 1_000, offset: undefined });
    },
  ],
  [
    "a rejection is held to the caller's deadline",
    'held',
    (l) => {
      const a = find(l, 'pub.answer', (s) => s.topic.startsWith('r/') && s.t > 20_000);
      return change(l, a, {
        out: 'rejected',
        tag: 'not_ready',
        status: 503,
        retryMs: 400,
        t: a.t + 2_800,
        offset: undefined,
      });
    },
  ],
  [
    'all are told to come back at one time',
    'come_back',
    (l) => {
      let n = 0;
      return l.map((s) =>
        s.k === 'pub.answer' && s.t > 24_000 && ++n <= 60
          ? ({
              ...s,
              t: 24_500,
              node: 'n',
              out: 'rejected',
              offset: undefined,
              status: 503,
              tag: 'not_ready',
              retryMs: 500,
            } as JournalEvent)
          : s,
      );
    },
  ],
  [
    'an old revision is answered with less than was told to be in force',
    'config_lost',
    (l) => [
      ...l.slice(0, -1),
      ...revised([
        [7, 10_001, 41_000],
        [9, 10_002, 42_000],
      ]),
      { k: 'cfg.answer', t: 43_000, asked: 42_900, changeId: 'revision-7', out: 'taken', version: 10_001, revision: 7 },
      l.at(-1)!,
    ],
  ],
  [
    'a revision that nobody sent is told to be in force',
    'config_lost',
    (l) => [
      ...l.slice(0, -1),
      ...revised([[7, 10_001, 41_000]]),
      {
        k: 'cfg.answer',
        t: 43_000,
        asked: 42_900,
        changeId: 'revision-7',
        out: 'overtaken',
        version: 10_002,
        revision: 8,
      },
      l.at(-1)!,
    ],
  ],
  [
    'one revision is two versions',
    'config_lost',
    (l) => [
      ...l.slice(0, -1),
      ...revised([[7, 10_001, 41_000]]),
      { k: 'cfg.answer', t: 43_000, asked: 42_900, changeId: 'revision-7', out: 'taken', version: 10_002, revision: 7 },
      l.at(-1)!,
    ],
  ],
  [
    'an invalid revision is told to be in force',
    'invalid_taken',
    (l) => [
      ...l.slice(0, -1),
      ...revised([[7, 10_001, 41_000]]),
      { k: 'cfg.submit', t: 42_000, changeId: 'revision-8', revision: 8, config: { families: 3 }, valid: false },
      { k: 'cfg.answer', t: 42_100, changeId: 'revision-8', out: 'invalid' },
      {
        k: 'cfg.answer',
        t: 43_000,
        asked: 42_900,
        changeId: 'revision-7',
        out: 'overtaken',
        version: 10_002,
        revision: 8,
      },
      l.at(-1)!,
    ],
  ],
  [
    "the operators' own words are read back altered",
    'read_back',
    (l) => {
      const xs = revised([[7, 10_001, 41_000]]);
      const config = (xs[0] as Of<'cfg.submit'>).config;
      return [
        ...l.slice(0, -1),
        ...xs,
        { k: 'cfg.read', t: 42_000, asked: 41_900, version: 10_001, revision: 7, document: { n: 8 }, config },
        l.at(-1)!,
      ];
    },
  ],
  [
    'a configuration is read back under another revision',
    'read_back',
    (l) => {
      const xs = revised([[7, 10_001, 41_000]]);
      const config = (xs[0] as Of<'cfg.submit'>).config;
      return [
        ...l.slice(0, -1),
        ...xs,
        { k: 'cfg.read', t: 42_000, asked: 41_900, version: 10_001, revision: 6, document: { n: 7 }, config },
        l.at(-1)!,
      ];
    },
  ],
  [
    'messages are skipped while a family gets another name',
    'skipped',
    (l) => {
      const d = middle(l);
      const families = fleetConfigOf(SMALL).families.map((f) => ({ ...f, name: `${f.name} anew` }));
      return l.flatMap((s): JournalEvent[] =>
        s !== d
          ? [s]
          : [
              { k: 'cfg.submit', t: d.t, changeId: 'renamed', config: { families }, valid: true },
              { k: 'cfg.answer', t: d.t, changeId: 'renamed', out: 'taken', version: 10_000 },
            ],
      );
    },
  ],
  [
    'a node keeps far more than was accepted',
    'bounds',
    (l) => {
      const s = find(l, 'node.says', (x) => x.kept !== undefined);
      return change(l, s, { kept: 50_000 });
    },
  ],
];
/** Configurations by revision, taken at these times. */
function revised(xs: [revision: number, version: number, t: number][]): JournalEvent[] {
  return xs.flatMap(([revision, version, t]): JournalEvent[] => [
    {
      k: 'cfg.submit',
      t: t - 100,
      changeId: `revision-${revision}`,
      revision,
      document: { n: revision },
      config: fleetConfigOf(SMALL),
      valid: true,
    },
    { k: 'cfg.answer', t, asked: t - 100, changeId: `revision-${revision}`, out: 'taken', version, revision },
  ]);
}
/** Configurations with a marker each, taken at these times. */
function marked(xs: [mark: number, version: number, t: number][]): JournalEvent[] {
  return xs.flatMap(([mark, version, t]): JournalEvent[] => [
    {
      k: 'cfg.submit',
      t: t - 100,
      changeId: `m${mark}`,
      config: fleetConfigOf(SMALL, [
        { name: 'm', topics: [`mark/${mark}`], urgency: 'routine', patienceMs: 1_000, memoryS: 5 },
      ]),
      valid: true,
    },
    { k: 'cfg.answer', t, changeId: `m${mark}`, out: 'taken', version },
  ]);
}

for (const [what, rule, lie] of sharper) {
  test(`the oracle sees a lie: ${what}`, async (t) => {
    const l = await clean;
    const told = checkJournal(lie(l));
    if (process.env.OLD_JUDGE) {
      const old = await import(process.env.OLD_JUDGE);
      t.log(
        `the old judge says: ${[...new Set(old.judge(lie(l)).map((v: { rule: string }) => v.rule))].join(', ') || 'nothing'}`,
      );
    }
    t.true(
      told.some((v) => v.rule === rule),
      `got ${[...new Set(told.map((v) => v.rule))].join(', ') || 'nothing'}`,
    );
  });
}

test('a clean day is called clean', async (t) => {
  t.log(`seed ${SEED}`);
  t.deepEqual((await run).violations, []);
});

for (const rule of RULES) {
  test(`the oracle sees a lie about: ${rule}`, async (t) => {
    const told = checkJournal(lies[rule](await clean));
    t.true(
      told.some((v) => v.rule === rule),
      `got ${[...new Set(told.map((v) => v.rule))].join(', ') || 'nothing'}`,
    );
  });
}
