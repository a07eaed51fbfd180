import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';
import { idempotent, never, read, type CallerRepeatability } from './repeatable.js';

export { mayRepeat, type CallerRepeatability } from './repeatable.js';

const strict = { additionalProperties: false };
const Name = (max: number) => Type.String({ minLength: 1, maxLength: max });
const Count = Type.Integer({ minimum: 0 });

/**
 * Topics and patterns are any printable ASCII without a space. A pattern is an exact name, or a prefix and a `*` behind
 * it.
 */
const NAME_CHARS = '^[!-~]+$';
export const Topic = Type.String({ minLength: 1, maxLength: 200, pattern: NAME_CHARS });
export const Pattern = Type.String({ minLength: 1, maxLength: 201, pattern: NAME_CHARS });

export const Family = Type.Object(
  {
    /** A label for people; what a family is to the fleet follows from its patterns alone. */
    name: Type.String({ minLength: 1, maxLength: 128, pattern: '^[^\\u0000-\\u001f\\u007f]+$' }),
    topics: Type.Array(Pattern, { minItems: 1, maxItems: 4_096 }),
    /** May be left out where `precedence` is given; see urgencyOf. */
    urgency: Type.Optional(Type.Union([Type.Literal('urgent'), Type.Literal('routine')])),
    /** Higher is more urgent: what presses less is rejected first when there is too much. */
    precedence: Type.Optional(Type.Number()),
    /** How long a visit may wait, in ms. */
    patienceMs: Type.Number({ exclusiveMinimum: 0, maximum: 600_000 }),
    /** The latency that is aimed at, from publish to delivery, in ms. */
    aimMs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    /** How long messages stay in memory, in seconds. */
    memoryS: Type.Number({ minimum: 0, maximum: 86_400 }),
    /**
     * What order subscribers need: per sender (default) or one for all of a topic. Every topic has one order for all,
     * which is both.
     */
    order: Type.Optional(Type.Union([Type.Literal('sender'), Type.Literal('topic')])),
    /** No body is above 1 MiB, whatever is allowed here. */
    limits: Type.Optional(Type.Object({ bodyBytes: Type.Optional(Type.Integer({ minimum: 1 })) }, strict)),
  },
  strict,
);

export const Move = Type.Object(
  {
    id: Name(64),
    kind: Type.Union([Type.Literal('empty'), Type.Literal('restart'), Type.Literal('add')]),
    /** Peer address of the machine. */
    node: Name(64),
    /** Begin and end, ms since 1970. */
    from: Count,
    until: Count,
  },
  strict,
);

/** The machines that keep a shard's copies, by peer address. */
export const Placed = Type.Object(
  { shard: Count, nodes: Type.Array(Name(64), { minItems: 1, maxItems: 9, uniqueItems: true }) },
  strict,
);

/** A whole configuration, as operators send it. */
export const FleetConfig = Type.Object(
  {
    families: Type.Array(Family, { maxItems: 4_096 }),
    limits: Type.Optional(Type.Object({ subscriptionsPerConn: Type.Optional(Type.Integer({ minimum: 1 })) }, strict)),
    copies: Type.Optional(Type.Integer({ minimum: 1, maximum: 9 })),
    moves: Type.Optional(Type.Array(Move, { maxItems: 256 })),
    /** Shards placed by hand or by `harecross place`; the others are matched by the fleet. */
    placement: Type.Optional(Type.Array(Placed, { maxItems: 1_024 })),
  },
  strict,
);
export type Family = Static<typeof Family>;
export type Move = Static<typeof Move>;
export type Placed = Static<typeof Placed>;
export type FleetConfig = Static<typeof FleetConfig>;

const Retry = { retryAfterMs: Count };

/** Frames of the Attach stream, one JSON object a line. */
export const Frame = Type.Union([
  Type.Object({ t: Type.Literal('ATTACHED'), conn: Type.String(), pingS: Type.Number() }, strict),
  Type.Object(
    {
      t: Type.Literal('DELIVER'),
      sub: Type.String(),
      topic: Topic,
      sender: Type.String(),
      seq: Count,
      offset: Count,
      body: Type.String(),
    },
    strict,
  ),
  Type.Object(
    {
      t: Type.Literal('LEFT'),
      sub: Type.String(),
      topic: Topic,
      reason: Type.Union(['unsubscribed', 'cursor_expired', 'topic_removed', 'hold_ended'].map((x) => Type.Literal(x))),
    },
    strict,
  ),
  Type.Object({ t: Type.Literal('GOAWAY'), to: Type.Optional(Type.String()), ...Retry }, strict),
  Type.Object(
    {
      t: Type.Literal('CLOSED'),
      reason: Type.Union(['replaced', 'silent', 'saturated', 'stopping', 'not_ready'].map((x) => Type.Literal(x))),
      ...Retry,
    },
    strict,
  ),
]);
export type Frame =
  | { t: 'ATTACHED'; conn: string; pingS: number }
  | { t: 'DELIVER'; sub: string; topic: string; sender: string; seq: number; offset: number; body: string }
  | {
      t: 'LEFT';
      sub: string;
      topic: string;
      reason: 'unsubscribed' | 'cursor_expired' | 'topic_removed' | 'hold_ended';
    }
  /** `to`: the client address of a relay that can take the consumer now. */
  | { t: 'GOAWAY'; to?: string; retryAfterMs: number }
  | { t: 'CLOSED'; reason: 'replaced' | 'silent' | 'saturated' | 'stopping' | 'not_ready'; retryAfterMs: number };

const Detail = { detail: Type.String() };
const RetryOf = { retryAfterMs: Count };
/** All of status 503 and 504 come with a time to come back. */
const faults: [tag: string, status: number, fields: Type.TProperties][] = [
  ['unreachable', 503, { ...Detail, ...RetryOf }],
  ['timeout', 504, RetryOf],
  ['cut', 504, { ...Detail, ...RetryOf }],
  ['not_ready', 503, RetryOf],
  ['not_owner', 503, { hint: Type.Optional(Type.String()), ...RetryOf }],
  ['fenced', 504, { fence: Type.String(), ...RetryOf }],
  ['overloaded', 503, RetryOf],
  ['bad_visit', 400, Detail],
  ['unknown_method', 404, { method: Type.String() }],
  ['unknown_topic', 404, { topic: Type.String() }],
  ['unknown_conn', 410, {}],
  ['unknown_disk', 404, { disk: Type.String() }],
  ['cursor_expired', 410, { first: Count, head: Count }],
  ['cursor_ahead', 400, { head: Count }],
  ['too_large', 413, { limit: Count }],
  ['stale_seq', 409, { last: Count }],
  ['outcome_unknown', 504, RetryOf],
  ['conflict', 409, { version: Count, revision: Type.Optional(Count) }],
  ['invalid_config', 400, { faults: Type.Array(Type.Object({ path: Type.String(), fault: Type.String() }, strict)) }],
  ['no_majority', 503, { ...Detail, ...RetryOf }],
  ['wont_hold', 409, Detail],
  ['disk_ill', 503, { ...Detail, ...RetryOf }],
  ['internal', 500, Detail],
];

/** Every fault that callers may be answered with: its status and its shape. */
export const FAULTS = new Map(
  faults.map(([tag, status, fields]) => [
    tag,
    {
      status,
      shape: Type.Object({ tag: Type.Literal(tag), step: Type.String(), peer: Type.String(), ...fields }, strict),
    },
  ]),
);

/** Any error's answer: { error: Fault }. Tags and fields as in the kernel's Fault. */
export const FaultShape = Type.Union([...FAULTS.values()].map((f) => f.shape));

/**
 * A publish that stored nothing in this try. Only with `final` does it say so of every try of its number, earlier ones
 * and those still on their way: it was never accepted and never will be. Without it the same number may be sent again.
 */
export const Rejected = Type.Object(
  { rejected: Type.Object({ reason: Type.String(), final: Type.Boolean(), retryAfterMs: Count }, strict) },
  strict,
);

const Conn = Type.String({ minLength: 1, maxLength: 200 });
const Sub = Type.String();
const Maybe = Type.Optional;
const rpc = <A extends Type.TSchema, B extends Type.TSchema>(
  about: string,
  repeatable: CallerRepeatability,
  visit: A,
  answer: B,
) => ({ about, repeatable, visit, answer });
const obj = <P extends Type.TProperties>(p: P) => Type.Object(p, strict);

const Name64 = Type.String();
const List = Type.Array;
const Num = Type.Number();

/** What a node knows of the fleet. */
export const FleetAnswer = obj({
  at: Name64,
  fresh: Type.Boolean(),
  rev: Count,
  version: Count,
  fleet: Maybe(Type.String()),
  members: List(
    obj({
      peer: Name64,
      name: Type.String(),
      client: Name64,
      domain: Type.String(),
      role: Type.String(),
      disk: Maybe(Type.String()),
      state: Type.String(),
      condition: Type.String(),
      weight: Count,
      ageMs: Num,
    }),
  ),
  disks: List(
    obj({
      id: Type.String(),
      peer: Name64,
      domain: Type.String(),
      state: Type.String(),
      seat: Type.Boolean(),
      copies: Count,
      name: Maybe(Type.String()),
      uses: Maybe(List(Type.String())),
      ms: Maybe(Num),
    }),
  ),
  keys: List(
    obj({
      shard: Count,
      gen: Count,
      copies: List(Type.String()),
      fence: Maybe(Type.String()),
      peer: Maybe(Name64),
      inst: Maybe(Type.String()),
      behind: Maybe(List(Type.String())),
    }),
  ),
});

/** What a node says of itself. `version` is missing before its first confirmation. */
export const NodeAnswer = obj({
  peer: Name64,
  inst: Type.String(),
  phase: Type.String(),
  version: Maybe(Count),
  rev: Count,
  fresh: Type.Boolean(),
  holdings: List(obj({ name: Type.String(), length: Count, most: Count, bound: Count })),
  counters: Type.Record(Type.String(), Num),
  keys: List(obj({ shard: Count, fence: Type.String(), last: Count, commit: Count, behind: List(Type.String()) })),
  copies: List(obj({ shard: Count, last: Count, kept: Count, gen: Count, number: Count, by: Type.String() })),
  interest: List(obj({ relay: Name64, topics: Count })),
  holds: List(obj({ topic: Type.String(), shard: Count, subs: Count, gen: Type.String(), seen: Count })),
  conns: Count,
});

const EmptyAnswer = obj({ disk: Type.String(), state: Type.String(), copies: Count, seat: Type.Boolean() });

/** A disk by its id, or by the name of the machine it is in. */
const DiskName = Type.String();

/** Every RPC: POST /rpc/<Method> with a JSON body. */
/** What became of a configuration that was sent with a revision. */
const RevisionOutcome = Type.Union([Type.Literal('accepted'), Type.Literal('overtaken'), Type.Literal('forgotten')]);

export const Rpcs = {
  Attach: rpc(
    'Opens the long conn: the answer is a stream of Frame lines. A later Attach of the same consumer, at any node, replaces it.',
    never('opens a connection of its own and ends the one before: a repeat that comes late ends a newer one'),
    obj({ consumer: Name(128), pingS: Type.Optional(Type.Number({ minimum: 0.2, maximum: 60 })) }),
    Frame,
  ),
  Detach: rpc(
    'Closes a conn; its holds end at once.',
    idempotent({
      toldApartBy: 'conn',
      for: 'always: ids of connections are never used again',
      why: 'what is closed stays closed; the repeat is told `unknown_conn`',
    }),
    obj({ conn: Conn }),
    obj({}),
  ),
  Probe: rpc(
    'Says the consumer is still there; keeps its holds fresh. `sent` counts the frames given to the stream: who got fewer, twice running, has a dead stream and attaches anew.',
    read('a sign of life'),
    obj({ conn: Conn }),
    obj({ sent: Count }),
  ),
  Subscribe: rpc(
    'Subscribes a conn to a topic. With a cursor (the last offset received), delivery goes on behind it; without one, behind the head.',
    idempotent({
      toldApartBy: 'conn, topic',
      for: 'while the subscription lasts',
      why: 'asked again it is the same subscription with the same beginning; behind an Unsubscribe it is a new one, so that a caller repeats only the last it said of a topic',
    }),
    obj({ conn: Conn, topic: Topic, cursor: Type.Optional(Count) }),
    obj({ sub: Sub, next: Count }),
  ),
  Unsubscribe: rpc(
    'Ends a subscription; LEFT on the stream is its last frame.',
    never('run late it would end a subscription that was made after it'),
    obj({ conn: Conn, topic: Topic }),
    obj({ left: Type.Boolean() }),
  ),
  Publish: rpc(
    'Publishes one message. seq rises per sender and topic; the same seq may be sent again and has its first outcome.',
    idempotent({
      toldApartBy: 'sender, topic, seq',
      for: '30 s after it was accepted; then the answer is `outcome_unknown`',
      why: 'the same number again gets its first outcome and is delivered once',
    }),
    obj({
      sender: Name(128),
      topic: Topic,
      seq: Type.Integer({ minimum: 1 }),
      body: Type.String({ maxLength: 1024 * 1024 }),
    }),
    obj({ accepted: obj({ offset: Count }) }),
  ),
  Listeners: rpc(
    'How many conns listen on a topic now.',
    read('counts'),
    obj({ topic: Topic }),
    obj({ count: Count, partial: Type.Boolean() }),
  ),
  SubmitConfig: rpc(
    "Takes a whole configuration. Answered once a majority of disks holds it. With `revision`, the operators' own number, the highest holds: " +
      'one that is not above the revision in force is answered with that one and changes nothing, and `outcome` tells what became of the ' +
      'one that was sent: `accepted` (it came into force), `overtaken` (it never did) or `forgotten` (one of the two, long ago). Another ' +
      'configuration than the one that came into force under its revision is a `conflict`. Without a revision, `changeId` names the ' +
      "change, and the same changeId again gets its first outcome. `document` is the operators' own words, kept whole and given back.",
    idempotent({
      toldApartBy: 'changeId or revision',
      needs: ['changeId', 'revision'],
      for: 'a revision always; a changeId while it is among the changes remembered',
      why: 'a changeId has its first outcome; of revisions the highest holds',
    }),
    Type.Object(
      {
        changeId: Maybe(Name(128)),
        expect: Maybe(Count),
        revision: Maybe(Count),
        document: Maybe(Type.Unknown()),
        config: Type.Unknown(),
      },
      {
        ...strict,
        anyOf: [{ required: ['changeId'] }, { required: ['revision'] }],
        not: { required: ['expect', 'revision'] },
      },
    ),
    obj({ version: Count, revision: Maybe(Count), outcome: Maybe(RevisionOutcome) }),
  ),
  CheckConfig: rpc(
    'Checks a configuration and changes nothing.',
    read('checks'),
    obj({ config: Type.Unknown() }),
    obj({ version: Count, faults: Type.Array(obj({ path: Type.String(), fault: Type.String() })) }),
  ),
  ReadConfig: rpc(
    'The configuration in force, confirmed by a majority.',
    read('reads'),
    obj({}),
    obj({
      version: Count,
      changeId: Type.String(),
      revision: Maybe(Count),
      document: Maybe(Type.Unknown()),
      config: Type.Unknown(),
    }),
  ),
  EmptyDisk: rpc(
    'Begins to move copies, keys and seat off a disk. Rejected, with the reason, when what is left cannot hold them. With `changeId` the same order again changes nothing.',
    idempotent({
      toldApartBy: 'changeId',
      needs: ['changeId'],
      for: 'while it is among the changes remembered',
      why: 'a changeId has its first outcome; without one, a repeat that comes late would undo a CancelEmpty given since',
    }),
    obj({ disk: DiskName, changeId: Maybe(Name(128)) }),
    EmptyAnswer,
  ),
  EmptyStatus: rpc(
    'How far an emptying has come: `emptied` when nothing is left on the disk.',
    read('reads'),
    obj({ disk: Type.String() }),
    EmptyAnswer,
  ),
  CancelEmpty: rpc(
    'Takes an emptying back. With `changeId` the same order again changes nothing.',
    idempotent({
      toldApartBy: 'changeId',
      needs: ['changeId'],
      for: 'while it is among the changes remembered',
      why: 'a changeId has its first outcome; without one, a repeat that comes late would undo an EmptyDisk given since',
    }),
    obj({ disk: Type.String(), changeId: Maybe(Name(128)) }),
    EmptyAnswer,
  ),
  PlanMoves: rpc(
    'Replaces the calendar of planned moves in the configuration in force.',
    idempotent({
      toldApartBy: 'changeId',
      needs: ['changeId'],
      for: 'while it is among the changes remembered',
      why: 'a changeId has its first outcome',
    }),
    obj({ changeId: Name(128), expect: Type.Optional(Count), moves: Type.Array(Move, { maxItems: 256 }) }),
    obj({ version: Count }),
  ),
  Moves: rpc(
    'The calendar, with how far each move has come.',
    read('reads'),
    obj({}),
    obj({ version: Count, moves: List(obj({ ...Move.properties, state: Type.String(), why: Type.String() })) }),
  ),
  Fleet: rpc('What this node knows of the fleet.', read('reads'), obj({}), FleetAnswer),
  Node: rpc('Counters and states of this node.', read('reads'), obj({}), NodeAnswer),
} as const;

export type Method = keyof typeof Rpcs;
export type Visit<M extends Method> = Static<(typeof Rpcs)[M]['visit']>;
export type Answer<M extends Method> = Static<(typeof Rpcs)[M]['answer']>;

const checks = new Map(Object.entries(Rpcs).map(([m, r]) => [m, Compile(r.visit)]));
const checkConfig = Compile(FleetConfig);
/** The fields of SubmitConfig by themselves; which may stand together is told in words. */
const checkSubmit = Compile(Type.Object(Rpcs.SubmitConfig.visit.properties, strict));

export interface PathFault {
  path: string;
  fault: string;
}

/** What the validator tells of one place, as far as it is used here. */
interface SchemaError {
  instancePath: string;
  message: string;
  keyword?: string;
  params?: { allowedValue?: unknown; additionalProperties?: string[]; requiredProperties?: string[] };
}

function faultsOf(es: unknown): PathFault[] {
  const all = es as SchemaError[];
  // Where one of several words is wanted, one fault names them all.
  const words = new Map<string, string[]>();
  for (const e of all)
    if (e.keyword === 'const')
      words.set(e.instancePath, [...(words.get(e.instancePath) ?? []), `'${String(e.params?.allowedValue)}'`]);
  const choices = new Set(all.flatMap((e) => (e.keyword === 'anyOf' ? [e.instancePath] : [])));
  return all
    .filter((e) => e.keyword !== 'const' || !choices.has(e.instancePath))
    .map((e) => {
      const of = e.keyword === 'anyOf' ? words.get(e.instancePath) : undefined;
      if (of) return { path: e.instancePath, fault: `must be ${of.slice(0, -1).join(', ')} or ${of.at(-1)}` };
      const extra = e.params?.additionalProperties ?? e.params?.requiredProperties;
      let fault = e.message;
      if (e.message === 'schema is false') fault = 'unknown key';
      else if (extra) fault = `${e.message}: ${extra.join(', ')}`;
      return { path: e.instancePath || '/', fault };
    });
}

/**
 * Why a body is not a visit of this method; undefined when it is.
 * @example
 * visitFault('Probe', {}); // '/: must have required properties conn: conn'
 */
export function visitFault(m: Method, body: unknown): string | undefined {
  const c = checks.get(m)!;
  if (c.Check(body as unknown)) return undefined;
  if (m === 'SubmitConfig' && checkSubmit.Check(body)) {
    return (
      '/: ' +
      ((body as { expect?: number }).expect === undefined
        ? 'needs a changeId or a revision'
        : 'expect does not go with revision: the highest revision holds')
    );
  }
  const f = faultsOf(c.Errors(body))[0];
  return f ? `${f.path}: ${f.fault}` : 'invalid';
}

/**
 * All faults of a configuration, with their paths: first the shape, then the meaning.
 * @example
 * configFaults({ families: [] }); // []
 */
export function configFaults(x: unknown): PathFault[] {
  if (!checkConfig.Check(x)) return faultsOf(checkConfig.Errors(x));
  const c = x as FleetConfig;
  const out: PathFault[] = [];
  const seen = new Map<string, string>();
  c.families.forEach((f, i) => {
    if (f.urgency === undefined && f.precedence === undefined)
      out.push({ path: `/families/${i}`, fault: 'needs an urgency or a precedence' });
    f.topics.forEach((p, j) => {
      const path = `/families/${i}/topics/${j}`;
      const first = seen.get(p);
      if (first !== undefined) out.push({ path, fault: `'${p}' is already at ${first}` });
      else seen.set(p, path);
      if (p.length > 200 && !p.endsWith('*'))
        out.push({ path, fault: 'no topic is that long: at most 200 characters' });
    });
  });
  const shards = new Set<number>();
  (c.placement ?? []).forEach((p, i) => {
    if (shards.has(p.shard)) out.push({ path: `/placement/${i}/shard`, fault: `shard ${p.shard} is placed twice` });
    shards.add(p.shard);
    if (p.nodes.length % 2 === 0)
      out.push({
        path: `/placement/${i}/nodes`,
        fault: 'must be an odd number of machines: an even one costs a larger majority and bears no more losses',
      });
  });
  const ids = new Set<string>();
  (c.moves ?? []).forEach((m, i) => {
    if (ids.has(m.id)) out.push({ path: `/moves/${i}/id`, fault: `'${m.id}' is named twice` });
    ids.add(m.id);
    if (m.until <= m.from) out.push({ path: `/moves/${i}/until`, fault: 'must be after from' });
    (c.moves ?? []).slice(0, i).forEach((o) => {
      if (m.from < o.until && o.from < m.until)
        out.push({
          path: `/moves/${i}`,
          fault: `overlaps move '${o.id}': one machine at a time, so that a majority stays`,
        });
    });
  });
  return out;
}

/**
 * A table by topic patterns. An exact name goes before any prefix, and among prefixes the longest wins. Finding costs
 * one look-up a distinct length of prefix, however many patterns there are.
 * @example
 * new Patterns([['a.*', 1], ['a.b.*', 2], ['a.b.c', 3]]).find('a.b.d'); // 2
 */
export class Patterns<T> {
  private exact = new Map<string, T>();
  private prefixes = new Map<number, Map<string, T>>();
  /** Longest first. */
  private lengths: number[];

  constructor(entries: Iterable<[pattern: string, value: T]>) {
    for (const [p, x] of entries) {
      if (!p.endsWith('*')) {
        this.exact.set(p, x);
        continue;
      }
      const n = p.length - 1;
      const same = this.prefixes.get(n) ?? new Map<string, T>();
      this.prefixes.set(n, same.set(p.slice(0, n), x));
    }
    this.lengths = [...this.prefixes.keys()].sort((a, b) => b - a);
  }

  /** What a topic belongs to. */
  find(topic: string): T | undefined {
    return this.exact.get(topic) ?? this.within(topic);
  }

  /** What all topics that begin so belong to, but for those of longer prefixes and exact names. */
  within(prefix: string): T | undefined {
    for (const n of this.lengths) {
      if (n > prefix.length) continue;
      const x = this.prefixes.get(n)!.get(prefix.slice(0, n));
      if (x !== undefined) return x;
    }
    return undefined;
  }
}

/**
 * What a configuration says, laid out for looking up; made once for each, since it is looked at several times a
 * message.
 */
interface Index {
  families: Patterns<Family>;
  top: number | undefined;
}
const indices = new WeakMap<FleetConfig, Index>();

function indexOf(c: FleetConfig): Index {
  let x = indices.get(c);
  if (!x) {
    const precedences = new Set(c.families.flatMap((f) => f.precedence ?? []));
    x = {
      families: new Patterns(c.families.flatMap((f) => f.topics.map((p): [string, Family] => [p, f]))),
      // One level by itself is nothing above the others.
      top: precedences.size > 1 ? [...precedences].reduce((a, b) => Math.max(a, b)) : undefined,
    };
    indices.set(c, x);
  }
  return x;
}

/**
 * The family a topic belongs to: by its exact name, else by the longest prefix. A configuration is not to be altered
 * once it was asked.
 * @example
 * familyOf(config, 'pay/77')?.name; // 'payments'
 */
export function familyOf(c: FleetConfig, topic: string): Family | undefined {
  return indexOf(c).families.find(topic);
}

/**
 * How urgent a family is: as it says itself; else the families of the highest precedence are urgent, where there are
 * two different ones.
 * @example
 * urgencyOf(config, familyOf(config, 'warn/1')!); // 'urgent'
 */
export function urgencyOf(c: FleetConfig, f: Family): 'urgent' | 'routine' {
  return f.urgency ?? (f.precedence !== undefined && f.precedence === indexOf(c).top ? 'urgent' : 'routine');
}

/**
 * Whether a topic's family is urgent.
 * @example
 * isUrgent(config, 'warn/1'); // true
 */
export function isUrgent(c: FleetConfig, topic: string): boolean {
  const f = familyOf(c, topic);
  return f !== undefined && urgencyOf(c, f) === 'urgent';
}
