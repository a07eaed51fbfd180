import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';

const strict = { additionalProperties: false };
const Name = (max: number) => Type.String({ minLength: 1, maxLength: max });
const Count = Type.Integer({ minimum: 0 });

/** A topic pattern: an exact name, or a prefix that ends in `*`. */
export const Pattern = Type.String({ minLength: 1, maxLength: 200, pattern: '^[A-Za-z0-9_./:-]+\\*?$|^\\*$' });
export const Topic = Type.String({ minLength: 1, maxLength: 200, pattern: '^[A-Za-z0-9_./:-]+$' });

export const Family = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 64, pattern: '^[A-Za-z0-9_.-]+$' }),
    topics: Type.Array(Pattern, { minItems: 1, maxItems: 256 }),
    urgency: Type.Union([Type.Literal('urgent'), Type.Literal('routine')]),
    /** How long a visit may wait, in ms. */
    patienceMs: Type.Integer({ minimum: 100, maximum: 60_000 }),
    /** How long messages stay in memory, in seconds. */
    memoryS: Type.Integer({ minimum: 1, maximum: 3_600 }),
    limits: Type.Optional(Type.Object({ bodyBytes: Type.Optional(Type.Integer({ minimum: 1, maximum: 1024 * 1024 })) }, strict)),
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
export const Placed = Type.Object({ shard: Count, nodes: Type.Array(Name(64), { minItems: 1, maxItems: 9, uniqueItems: true }) }, strict);

/** A whole configuration, as operators send it. */
export const FleetConfig = Type.Object(
  {
    families: Type.Array(Family, { maxItems: 256 }),
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
    { t: Type.Literal('DELIVER'), sub: Type.String(), topic: Topic, sender: Type.String(), seq: Count, offset: Count, body: Type.String() },
    strict,
  ),
  Type.Object(
    { t: Type.Literal('LEFT'), sub: Type.String(), topic: Topic, reason: Type.Union(['unsubscribed', 'cursor_expired', 'topic_removed', 'hold_ended'].map((x) => Type.Literal(x))) },
    strict,
  ),
  Type.Object({ t: Type.Literal('GOAWAY'), to: Type.Optional(Type.String()), ...Retry }, strict),
  Type.Object({ t: Type.Literal('CLOSED'), reason: Type.Union(['replaced', 'silent', 'saturated', 'stopping', 'not_ready'].map((x) => Type.Literal(x))), ...Retry }, strict),
]);
export type Frame =
  | { t: 'ATTACHED'; conn: string; pingS: number }
  | { t: 'DELIVER'; sub: string; topic: string; sender: string; seq: number; offset: number; body: string }
  | { t: 'LEFT'; sub: string; topic: string; reason: 'unsubscribed' | 'cursor_expired' | 'topic_removed' | 'hold_ended' }
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
  ['conflict', 409, { version: Count }],
  ['invalid_config', 400, { faults: Type.Array(Type.Object({ path: Type.String(), fault: Type.String() }, strict)) }],
  ['no_majority', 503, { ...Detail, ...RetryOf }],
  ['wont_hold', 409, Detail],
  ['disk_ill', 503, { ...Detail, ...RetryOf }],
  ['internal', 500, Detail],
];

/** Every fault that callers may be answered with: its status and its shape. */
export const FAULTS = new Map(faults.map(([tag, status, fields]) => [
  tag, { status, shape: Type.Object({ tag: Type.Literal(tag), step: Type.String(), peer: Type.String(), ...fields }, strict) },
]));

/** Any error's answer: { error: Fault }. Tags and fields as in the kernel's Fault. */
export const FaultShape = Type.Union([...FAULTS.values()].map((f) => f.shape));

/** A publish that surely stored nothing. */
export const Rejected = Type.Object({ rejected: Type.Object({ reason: Type.String(), retryAfterMs: Count }, strict) }, strict);

const Conn = Type.String({ minLength: 1, maxLength: 200 });
const Sub = Type.String();
const rpc = <A extends Type.TSchema, B extends Type.TSchema>(about: string, visit: A, answer: B) => ({ about, visit, answer });
const obj = <P extends Type.TProperties>(p: P) => Type.Object(p, strict);

const Name64 = Type.String();
const List = Type.Array;
const Num = Type.Number();
const Maybe = Type.Optional;

/** What a node knows of the fleet. */
export const FleetAnswer = obj({
  at: Name64, fresh: Type.Boolean(), rev: Count, version: Count, fleet: Maybe(Type.String()),
  members: List(obj({
    peer: Name64, client: Name64, domain: Type.String(), role: Type.String(), disk: Maybe(Type.String()), state: Type.String(),
    condition: Type.String(), weight: Count, ageMs: Num,
  })),
  disks: List(obj({ id: Type.String(), peer: Name64, domain: Type.String(), state: Type.String(), seat: Type.Boolean(), copies: Count })),
  keys: List(obj({
    shard: Count, gen: Count, copies: List(Type.String()), fence: Maybe(Type.String()), peer: Maybe(Name64), inst: Maybe(Type.String()),
    behind: Maybe(List(Type.String())),
  })),
});

/** What a node says of itself. `version` is missing before its first confirmation. */
export const NodeAnswer = obj({
  peer: Name64, inst: Type.String(), phase: Type.String(), version: Maybe(Count), rev: Count, fresh: Type.Boolean(),
  holdings: List(obj({ name: Type.String(), length: Count, most: Count, bound: Count })),
  counters: Type.Record(Type.String(), Num),
  keys: List(obj({ shard: Count, fence: Type.String(), last: Count, commit: Count, behind: List(Type.String()) })),
  copies: List(obj({ shard: Count, last: Count, kept: Count, gen: Count, number: Count, by: Type.String() })),
  interest: List(obj({ relay: Name64, topics: Count })),
  holds: List(obj({ topic: Type.String(), shard: Count, subs: Count, gen: Type.String(), seen: Count })),
  conns: Count,
});

const EmptyAnswer = obj({ disk: Type.String(), state: Type.String(), copies: Count, seat: Type.Boolean() });

/** Every RPC: POST /rpc/<Method> with a JSON body. */
export const Rpcs = {
  Attach: rpc(
    'Opens the long conn: the answer is a stream of Frame lines. A later Attach of the same consumer, at any node, replaces it.',
    obj({ consumer: Name(128), pingS: Type.Optional(Type.Number({ minimum: 0.2, maximum: 60 })) }),
    Frame,
  ),
  Detach: rpc('Closes a conn; its holds end at once.', obj({ conn: Conn }), obj({})),
  Probe: rpc(
    'Says the consumer is still there; keeps its holds fresh. `sent` counts the frames given to the stream: who got fewer, twice running, has a dead stream and attaches anew.',
    obj({ conn: Conn }), obj({ sent: Count }),
  ),
  Subscribe: rpc(
    'Subscribes a conn to a topic. With a cursor (the last offset received), delivery goes on behind it; without one, behind the head.',
    obj({ conn: Conn, topic: Topic, cursor: Type.Optional(Count) }),
    obj({ sub: Sub, next: Count }),
  ),
  Unsubscribe: rpc('Ends a subscription; LEFT on the stream is its last frame.', obj({ conn: Conn, topic: Topic }), obj({ left: Type.Boolean() })),
  Publish: rpc(
    'Publishes one message. seq rises per sender and topic; the same seq may be sent again and has its first outcome.',
    obj({ sender: Name(128), topic: Topic, seq: Type.Integer({ minimum: 1 }), body: Type.String({ maxLength: 1024 * 1024 }) }),
    obj({ accepted: obj({ offset: Count }) }),
  ),
  Listeners: rpc('How many conns listen on a topic now.', obj({ topic: Topic }), obj({ count: Count, partial: Type.Boolean() })),
  SubmitConfig: rpc(
    'Takes a whole configuration. Answered once a majority of disks holds it. The same changeId again gets its first outcome.',
    obj({ changeId: Name(128), expect: Type.Optional(Count), config: Type.Unknown() }),
    obj({ version: Count }),
  ),
  CheckConfig: rpc('Checks a configuration and changes nothing.', obj({ config: Type.Unknown() }), obj({ version: Count, faults: Type.Array(obj({ path: Type.String(), fault: Type.String() })) })),
  ReadConfig: rpc('The configuration in force, confirmed by a majority.', obj({}), obj({ version: Count, changeId: Type.String(), config: Type.Unknown() })),
  EmptyDisk: rpc('Begins to move copies, keys and seat off a disk. Rejected, with the reason, when what is left cannot hold them.', obj({ disk: Type.String() }), EmptyAnswer),
  EmptyStatus: rpc('How far an emptying has come: `emptied` when nothing is left on the disk.', obj({ disk: Type.String() }), EmptyAnswer),
  CancelEmpty: rpc('Takes an emptying back.', obj({ disk: Type.String() }), EmptyAnswer),
  PlanMoves: rpc(
    'Replaces the calendar of planned moves in the configuration in force.',
    obj({ changeId: Name(128), expect: Type.Optional(Count), moves: Type.Array(Move, { maxItems: 256 }) }),
    obj({ version: Count }),
  ),
  Moves: rpc('The calendar, with how far each move has come.', obj({}), obj({ version: Count, moves: List(obj({ ...Move.properties, state: Type.String(), why: Type.String() })) })),
  Fleet: rpc('What this node knows of the fleet.', obj({}), FleetAnswer),
  Node: rpc('Counters and states of this node.', obj({}), NodeAnswer),
} as const;

export type Method = keyof typeof Rpcs;
export type Visit<M extends Method> = Static<(typeof Rpcs)[M]['visit']>;
export type Answer<M extends Method> = Static<(typeof Rpcs)[M]['answer']>;

const checks = new Map(Object.entries(Rpcs).map(([m, r]) => [m, Compile(r.visit)]));
const checkConfig = Compile(FleetConfig);

export interface PathFault { path: string; fault: string }

function faultsOf(es: unknown): PathFault[] {
  return (es as { instancePath: string; message: string; params?: any }[]).map((e) => {
    const extra = e.params?.additionalProperties ?? e.params?.requiredProperties;
    return { path: e.instancePath || '/', fault: e.message === 'schema is false' ? 'unknown key' : extra ? `${e.message}: ${extra.join(', ')}` : e.message };
  });
}

/**
 * Why a body is not a visit of this method; undefined when it is.
 * @example
 * visitFault('Probe', {}); // '/: must have required properties conn: conn'
 */
export function visitFault(m: Method, body: unknown): string | undefined {
  const c = checks.get(m)!;
  if (c.Check(body)) return undefined;
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
  const names = new Set<string>();
  const seen: { p: string; path: string; family: string }[] = [];
  c.families.forEach((f, i) => {
    if (names.has(f.name)) out.push({ path: `/families/${i}/name`, fault: `'${f.name}' is named twice` });
    names.add(f.name);
    f.topics.forEach((p, j) => {
      const path = `/families/${i}/topics/${j}`;
      for (const o of seen) if (overlap(o.p, p)) out.push({ path, fault: `'${p}' overlaps '${o.p}' at ${o.path} (family ${o.family})` });
      seen.push({ p, path, family: f.name });
    });
  });
  const shards = new Set<number>();
  (c.placement ?? []).forEach((p, i) => {
    if (shards.has(p.shard)) out.push({ path: `/placement/${i}/shard`, fault: `shard ${p.shard} is placed twice` });
    shards.add(p.shard);
    if (p.nodes.length % 2 === 0) out.push({ path: `/placement/${i}/nodes`, fault: 'must be an odd number of machines: an even one costs a larger majority and bears no more losses' });
  });
  const ids = new Set<string>();
  (c.moves ?? []).forEach((m, i) => {
    if (ids.has(m.id)) out.push({ path: `/moves/${i}/id`, fault: `'${m.id}' is named twice` });
    ids.add(m.id);
    if (m.until <= m.from) out.push({ path: `/moves/${i}/until`, fault: 'must be after from' });
    (c.moves ?? []).slice(0, i).forEach((o) => {
      if (m.from < o.until && o.from < m.until) out.push({ path: `/moves/${i}`, fault: `overlaps move '${o.id}': one machine at a time, so that a majority stays` });
    });
  });
  return out;
}

function overlap(a: string, b: string): boolean {
  const sa = a.endsWith('*') ? a.slice(0, -1) : undefined;
  const sb = b.endsWith('*') ? b.slice(0, -1) : undefined;
  if (sa !== undefined && sb !== undefined) return sa.startsWith(sb) || sb.startsWith(sa);
  if (sa !== undefined) return b.startsWith(sa);
  if (sb !== undefined) return a.startsWith(sb);
  return a === b;
}

/**
 * The family a topic belongs to.
 * @example
 * familyOf(config, 'pay/77')?.name; // 'payments'
 */
export function familyOf(c: FleetConfig, topic: string): Family | undefined {
  return c.families.find((f) => f.topics.some((p) => (p.endsWith('*') ? topic.startsWith(p.slice(0, -1)) : p === topic)));
}
