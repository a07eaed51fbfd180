import Type, { type Static } from 'typebox';
import { Compile } from 'typebox/compile';
import { idempotent, never, read, type CallerRepeatability } from './repeatable.js';

export { mayRepeat, type CallerRepeatability } from './repeatable.js';

const strict = { additionalProperties: false };
const BoundedName = (max: number) => Type.String({ minLength: 1, maxLength: max });
const Count = Type.Integer({ minimum: 0 });

/** Topics and patterns consist of printable ASCII characters except the space. A pattern is an exact name, or a prefix followed by `*`. */
const NAME_CHARS = '^[!-~]+$';
export const Topic = Type.String({ minLength: 1, maxLength: 200, pattern: NAME_CHARS });
export const Pattern = Type.String({ minLength: 1, maxLength: 201, pattern: NAME_CHARS });

export const Family = Type.Object(
  {
    /** A label for operators. The fleet identifies a family only by its patterns. */
    name: Type.String({ minLength: 1, maxLength: 128, pattern: '^[^\\u0000-\\u001f\\u007f]+$' }),
    topics: Type.Array(Pattern, { minItems: 1, maxItems: 4_096 }),
    /** Optional if `precedence` is given; see urgencyOf. */
    urgency: Type.Optional(Type.Union([Type.Literal('urgent'), Type.Literal('routine')])),
    /** A higher value is more urgent. Under overload, less urgent requests are rejected first. */
    precedence: Type.Optional(Type.Number()),
    /** How long a request may wait, in ms. */
    patienceMs: Type.Number({ exclusiveMinimum: 0, maximum: 600_000 }),
    /** Target latency from publish to delivery, in ms. */
    aimMs: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
    /** How long messages are kept in memory, in seconds. */
    memoryS: Type.Number({ minimum: 0, maximum: 86_400 }),
    /**
     * The order that subscribers require: per sender (default) or total per topic. Every topic is delivered in one total order, which
     * satisfies both.
     */
    order: Type.Optional(Type.Union([Type.Literal('sender'), Type.Literal('topic')])),
    /** A message body never exceeds 1 MiB, even if a larger limit is set here. */
    limits: Type.Optional(Type.Object({ bodyBytes: Type.Optional(Type.Integer({ minimum: 1 })) }, strict)),
  },
  strict,
);

export const Move = Type.Object(
  {
    id: BoundedName(64),
    kind: Type.Union([Type.Literal('empty'), Type.Literal('restart'), Type.Literal('add')]),
    /** Peer address of the machine. */
    node: BoundedName(64),
    /** Start and end, in ms since 1970. */
    from: Count,
    until: Count,
  },
  strict,
);

/** The machines that hold a shard's replicas, by peer address. */
export const Placed = Type.Object(
  { shard: Count, nodes: Type.Array(BoundedName(64), { minItems: 1, maxItems: 9, uniqueItems: true }) },
  strict,
);

/** A complete configuration as submitted by operators. */
export const FleetConfig = Type.Object(
  {
    families: Type.Array(Family, { maxItems: 4_096 }),
    limits: Type.Optional(Type.Object({ subscriptionsPerConn: Type.Optional(Type.Integer({ minimum: 1 })) }, strict)),
    copies: Type.Optional(Type.Integer({ minimum: 1, maximum: 9 })),
    moves: Type.Optional(Type.Array(Move, { maxItems: 256 })),
    /** Shards placed manually or by `harecross place`; the fleet places the others. */
    placement: Type.Optional(Type.Array(Placed, { maxItems: 1_024 })),
  },
  strict,
);
export type Family = Static<typeof Family>;
export type Move = Static<typeof Move>;
export type Placed = Static<typeof Placed>;
export type FleetConfig = Static<typeof FleetConfig>;

const FrameRetry = { retryAfterMs: Count };

/** Frames of the Attach stream, one JSON object per line. */
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
  Type.Object({ t: Type.Literal('GOAWAY'), to: Type.Optional(Type.String()), ...FrameRetry }, strict),
  Type.Object(
    {
      t: Type.Literal('CLOSED'),
      reason: Type.Union(['replaced', 'silent', 'saturated', 'stopping', 'not_ready'].map((x) => Type.Literal(x))),
      ...FrameRetry,
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
  /** `to`: the client address of a relay that can accept the consumer now. */
  | { t: 'GOAWAY'; to?: string; retryAfterMs: number }
  | { t: 'CLOSED'; reason: 'replaced' | 'silent' | 'saturated' | 'stopping' | 'not_ready'; retryAfterMs: number };

const Detail = { detail: Type.String() };
const FaultRetry = { retryAfterMs: Count };
/** All faults with status 503 or 504 include `retryAfterMs`. */
const faultTable: [tag: string, status: number, fields: Type.TProperties][] = [
  ['unreachable', 503, { ...Detail, ...FaultRetry }],
  ['timeout', 504, FaultRetry],
  ['cut', 504, { ...Detail, ...FaultRetry }],
  ['not_ready', 503, FaultRetry],
  ['not_owner', 503, { hint: Type.Optional(Type.String()), ...FaultRetry }],
  ['fenced', 504, { fence: Type.String(), ...FaultRetry }],
  ['overloaded', 503, FaultRetry],
  ['bad_visit', 400, Detail],
  ['unknown_method', 404, { method: Type.String() }],
  ['unknown_topic', 404, { topic: Type.String() }],
  ['unknown_conn', 410, {}],
  ['unknown_disk', 404, { disk: Type.String() }],
  ['cursor_expired', 410, { first: Count, head: Count }],
  ['cursor_ahead', 400, { head: Count }],
  ['too_large', 413, { limit: Count }],
  ['stale_seq', 409, { last: Count }],
  ['outcome_unknown', 504, FaultRetry],
  ['conflict', 409, { version: Count, revision: Type.Optional(Count) }],
  ['invalid_config', 400, { faults: Type.Array(Type.Object({ path: Type.String(), fault: Type.String() }, strict)) }],
  ['no_majority', 503, { ...Detail, ...FaultRetry }],
  ['wont_hold', 409, Detail],
  ['disk_ill', 503, { ...Detail, ...FaultRetry }],
  ['internal', 500, Detail],
];

/** Every fault that can be returned to clients, with its HTTP status and schema. */
export const FAULTS = new Map(
  faultTable.map(([tag, status, fields]) => [
    tag,
    {
      status,
      shape: Type.Object({ tag: Type.Literal(tag), step: Type.String(), peer: Type.String(), ...fields }, strict),
    },
  ]),
);

/** The fault in an error response `{ error: Fault }`. Tags and fields are those of the kernel's ErrorDetails. */
export const FaultShape = Type.Union([...FAULTS.values()].map((f) => f.shape));

/**
 * A publish attempt that stored nothing. With `final`, this holds for every attempt with the same sequence number, including earlier ones
 * and those still in flight: the message was never accepted and never will be. Without it, the same number may be sent again.
 */
export const Rejected = Type.Object(
  { rejected: Type.Object({ reason: Type.String(), final: Type.Boolean(), retryAfterMs: Count }, strict) },
  strict,
);

const Conn = Type.String({ minLength: 1, maxLength: 200 });
const Sub = Type.String();
const Optional = Type.Optional;
const rpc = <A extends Type.TSchema, B extends Type.TSchema>(
  about: string,
  repeatable: CallerRepeatability,
  visit: A,
  answer: B,
) => ({ about, repeatable, visit, answer });
const strictObject = <P extends Type.TProperties>(p: P) => Type.Object(p, strict);

const NodeAddress = Type.String();
const List = Type.Array;
const Num = Type.Number();

/** The state of the fleet as known to one node. */
export const FleetAnswer = strictObject({
  at: NodeAddress,
  fresh: Type.Boolean(),
  rev: Count,
  version: Count,
  fleet: Optional(Type.String()),
  members: List(
    strictObject({
      peer: NodeAddress,
      name: Type.String(),
      client: NodeAddress,
      domain: Type.String(),
      role: Type.String(),
      disk: Optional(Type.String()),
      state: Type.String(),
      condition: Type.String(),
      weight: Count,
      ageMs: Num,
    }),
  ),
  disks: List(
    strictObject({
      id: Type.String(),
      peer: NodeAddress,
      domain: Type.String(),
      state: Type.String(),
      seat: Type.Boolean(),
      copies: Count,
      name: Optional(Type.String()),
      uses: Optional(List(Type.String())),
      ms: Optional(Num),
    }),
  ),
  keys: List(
    strictObject({
      shard: Count,
      gen: Count,
      copies: List(Type.String()),
      fence: Optional(Type.String()),
      peer: Optional(NodeAddress),
      inst: Optional(Type.String()),
      behind: Optional(List(Type.String())),
    }),
  ),
});

/** The state of one node. `version` is absent until its configuration has been confirmed for the first time. */
export const NodeAnswer = strictObject({
  peer: NodeAddress,
  inst: Type.String(),
  phase: Type.String(),
  version: Optional(Count),
  rev: Count,
  fresh: Type.Boolean(),
  holdings: List(strictObject({ name: Type.String(), length: Count, most: Count, bound: Count })),
  counters: Type.Record(Type.String(), Num),
  keys: List(
    strictObject({ shard: Count, fence: Type.String(), last: Count, commit: Count, behind: List(Type.String()) }),
  ),
  copies: List(strictObject({ shard: Count, last: Count, kept: Count, gen: Count, number: Count, by: Type.String() })),
  interest: List(strictObject({ relay: NodeAddress, topics: Count })),
  holds: List(strictObject({ topic: Type.String(), shard: Count, subs: Count, gen: Type.String(), seen: Count })),
  conns: Count,
});

const EmptyAnswer = strictObject({ disk: Type.String(), state: Type.String(), copies: Count, seat: Type.Boolean() });

/** The id of a disk, or the name of the machine that contains it. */
const DiskName = Type.String();

/** The outcome of a configuration submitted with a revision. */
const RevisionOutcome = Type.Union([Type.Literal('accepted'), Type.Literal('overtaken'), Type.Literal('forgotten')]);

/** Every RPC of clients and operators: POST /rpc/<Method> with a JSON body. */
export const Rpcs = {
  Attach: rpc(
    'Opens the long conn: the answer is a stream of Frame lines. A later Attach of the same consumer, at any node, replaces it.',
    never('opens a connection of its own and ends the one before: a repeat that comes late ends a newer one'),
    strictObject({ consumer: BoundedName(128), pingS: Type.Optional(Type.Number({ minimum: 0.2, maximum: 60 })) }),
    Frame,
  ),
  Detach: rpc(
    'Closes a conn; its holds end at once.',
    idempotent({
      toldApartBy: 'conn',
      for: 'always: ids of connections are never used again',
      why: 'what is closed stays closed; the repeat is told `unknown_conn`',
    }),
    strictObject({ conn: Conn }),
    strictObject({}),
  ),
  Probe: rpc(
    'Says the consumer is still there; keeps its holds fresh. `sent` counts the frames given to the stream: who got fewer, twice running, has a dead stream and attaches anew.',
    read('a sign of life'),
    strictObject({ conn: Conn }),
    strictObject({ sent: Count }),
  ),
  Subscribe: rpc(
    'Subscribes a conn to a topic. With a cursor (the last offset received), delivery goes on behind it; without one, behind the head.',
    idempotent({
      toldApartBy: 'conn, topic',
      for: 'while the subscription lasts',
      why: 'asked again it is the same subscription with the same beginning; behind an Unsubscribe it is a new one, so that a caller repeats only the last it said of a topic',
    }),
    strictObject({ conn: Conn, topic: Topic, cursor: Type.Optional(Count) }),
    strictObject({ sub: Sub, next: Count }),
  ),
  Unsubscribe: rpc(
    'Ends a subscription; LEFT on the stream is its last frame.',
    never('run late it would end a subscription that was made after it'),
    strictObject({ conn: Conn, topic: Topic }),
    strictObject({ left: Type.Boolean() }),
  ),
  Publish: rpc(
    'Publishes one message. seq rises per sender and topic; the same seq may be sent again and has its first outcome.',
    idempotent({
      toldApartBy: 'sender, topic, seq',
      for: '30 s after it was accepted; then the answer is `outcome_unknown`',
      why: 'the same number again gets its first outcome and is delivered once',
    }),
    strictObject({
      sender: BoundedName(128),
      topic: Topic,
      seq: Type.Integer({ minimum: 1 }),
      body: Type.String({ maxLength: 1024 * 1024 }),
    }),
    strictObject({ accepted: strictObject({ offset: Count }) }),
  ),
  Listeners: rpc(
    'How many conns listen on a topic now.',
    read('counts'),
    strictObject({ topic: Topic }),
    strictObject({ count: Count, partial: Type.Boolean() }),
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
        changeId: Optional(BoundedName(128)),
        expect: Optional(Count),
        revision: Optional(Count),
        document: Optional(Type.Unknown()),
        config: Type.Unknown(),
      },
      {
        ...strict,
        anyOf: [{ required: ['changeId'] }, { required: ['revision'] }],
        not: { required: ['expect', 'revision'] },
      },
    ),
    strictObject({ version: Count, revision: Optional(Count), outcome: Optional(RevisionOutcome) }),
  ),
  CheckConfig: rpc(
    'Checks a configuration and changes nothing.',
    read('checks'),
    strictObject({ config: Type.Unknown() }),
    strictObject({ version: Count, faults: Type.Array(strictObject({ path: Type.String(), fault: Type.String() })) }),
  ),
  ReadConfig: rpc(
    'The configuration in force, confirmed by a majority.',
    read('reads'),
    strictObject({}),
    strictObject({
      version: Count,
      changeId: Type.String(),
      revision: Optional(Count),
      document: Optional(Type.Unknown()),
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
    strictObject({ disk: DiskName, changeId: Optional(BoundedName(128)) }),
    EmptyAnswer,
  ),
  EmptyStatus: rpc(
    'How far an emptying has come: `emptied` when nothing is left on the disk.',
    read('reads'),
    strictObject({ disk: Type.String() }),
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
    strictObject({ disk: Type.String(), changeId: Optional(BoundedName(128)) }),
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
    strictObject({
      changeId: BoundedName(128),
      expect: Type.Optional(Count),
      moves: Type.Array(Move, { maxItems: 256 }),
    }),
    strictObject({ version: Count }),
  ),
  Moves: rpc(
    'The calendar, with how far each move has come.',
    read('reads'),
    strictObject({}),
    strictObject({
      version: Count,
      moves: List(strictObject({ ...Move.properties, state: Type.String(), why: Type.String() })),
    }),
  ),
  Fleet: rpc('What this node knows of the fleet.', read('reads'), strictObject({}), FleetAnswer),
  Node: rpc('Counters and states of this node.', read('reads'), strictObject({}), NodeAnswer),
} as const;

export type Method = keyof typeof Rpcs;
export type Visit<M extends Method> = Static<(typeof Rpcs)[M]['visit']>;
export type Answer<M extends Method> = Static<(typeof Rpcs)[M]['answer']>;

const requestValidators = new Map(Object.entries(Rpcs).map(([method, spec]) => [method, Compile(spec.visit)]));
const configValidator = Compile(FleetConfig);
/** Checks only the individual fields of SubmitConfig, so that an invalid combination of fields gets a specific message. */
const submitFieldsValidator = Compile(Type.Object(Rpcs.SubmitConfig.visit.properties, strict));

export interface PathFault {
  path: string;
  fault: string;
}

/** The parts of a validation error that are used here. */
interface SchemaError {
  instancePath: string;
  message: string;
  keyword?: string;
  params?: { allowedValue?: unknown; additionalProperties?: string[]; requiredProperties?: string[] };
}

function toPathFaults(schemaErrors: unknown): PathFault[] {
  const errors = schemaErrors as SchemaError[];
  // For a choice among literal values, one fault lists all of them.
  const literals = new Map<string, string[]>();
  for (const error of errors)
    if (error.keyword === 'const')
      literals.set(error.instancePath, [
        ...(literals.get(error.instancePath) ?? []),
        `'${String(error.params?.allowedValue)}'`,
      ]);
  const choicePaths = new Set(errors.flatMap((error) => (error.keyword === 'anyOf' ? [error.instancePath] : [])));
  return errors
    .filter((error) => error.keyword !== 'const' || !choicePaths.has(error.instancePath))
    .map((error) => {
      const allowed = error.keyword === 'anyOf' ? literals.get(error.instancePath) : undefined;
      if (allowed)
        return { path: error.instancePath, fault: `must be ${allowed.slice(0, -1).join(', ')} or ${allowed.at(-1)}` };
      const properties = error.params?.additionalProperties ?? error.params?.requiredProperties;
      let fault = error.message;
      if (error.message === 'schema is false') fault = 'unknown key';
      else if (properties) fault = `${error.message}: ${properties.join(', ')}`;
      return { path: error.instancePath || '/', fault };
    });
}

/**
 * Why a body is not a valid request of a method; undefined if it is valid.
 * @example
 * visitFault('Probe', {}); // '/: must have required properties conn: conn'
 */
export function visitFault(method: Method, body: unknown): string | undefined {
  const validator = requestValidators.get(method)!;
  if (validator.Check(body as unknown)) return undefined;
  if (method === 'SubmitConfig' && submitFieldsValidator.Check(body)) {
    return (
      '/: ' +
      ((body as { expect?: number }).expect === undefined
        ? 'needs a changeId or a revision'
        : 'expect does not go with revision: the highest revision holds')
    );
  }
  const first = toPathFaults(validator.Errors(body))[0];
  return first ? `${first.path}: ${first.fault}` : 'invalid';
}

/**
 * All faults of a configuration, with their paths. Semantic checks run only if the configuration conforms to the schema.
 * @example
 * configFaults({ families: [] }); // []
 */
export function configFaults(input: unknown): PathFault[] {
  if (!configValidator.Check(input)) return toPathFaults(configValidator.Errors(input));
  const config = input as FleetConfig;
  const faults: PathFault[] = [];
  const pathOfPattern = new Map<string, string>();
  config.families.forEach((family, i) => {
    if (family.urgency === undefined && family.precedence === undefined)
      faults.push({ path: `/families/${i}`, fault: 'needs an urgency or a precedence' });
    family.topics.forEach((pattern, j) => {
      const path = `/families/${i}/topics/${j}`;
      const first = pathOfPattern.get(pattern);
      if (first !== undefined) faults.push({ path, fault: `'${pattern}' is already at ${first}` });
      else pathOfPattern.set(pattern, path);
      if (pattern.length > 200 && !pattern.endsWith('*'))
        faults.push({ path, fault: 'no topic is that long: at most 200 characters' });
    });
  });
  const placedShards = new Set<number>();
  (config.placement ?? []).forEach((placed, i) => {
    if (placedShards.has(placed.shard))
      faults.push({ path: `/placement/${i}/shard`, fault: `shard ${placed.shard} is placed twice` });
    placedShards.add(placed.shard);
    if (placed.nodes.length % 2 === 0)
      faults.push({
        path: `/placement/${i}/nodes`,
        fault: 'must be an odd number of machines: an even one costs a larger majority and bears no more losses',
      });
  });
  const moveIds = new Set<string>();
  (config.moves ?? []).forEach((move, i) => {
    if (moveIds.has(move.id)) faults.push({ path: `/moves/${i}/id`, fault: `'${move.id}' is named twice` });
    moveIds.add(move.id);
    if (move.until <= move.from) faults.push({ path: `/moves/${i}/until`, fault: 'must be after from' });
    (config.moves ?? []).slice(0, i).forEach((earlier) => {
      if (move.from < earlier.until && earlier.from < move.until)
        faults.push({
          path: `/moves/${i}`,
          fault: `overlaps move '${earlier.id}': one machine at a time, so that a majority stays`,
        });
    });
  });
  return faults;
}

/**
 * A lookup table keyed by topic pattern. An exact name takes precedence over any prefix, and a longer prefix over a shorter one. A lookup
 * costs one map access per distinct prefix length, regardless of the number of patterns.
 * @example
 * new Patterns([['a.*', 1], ['a.b.*', 2], ['a.b.c', 3]]).find('a.b.d'); // 2
 */
export class Patterns<T> {
  private exactNames = new Map<string, T>();
  private valuesByPrefixLength = new Map<number, Map<string, T>>();
  /** Distinct prefix lengths, longest first. */
  private prefixLengths: number[];

  constructor(entries: Iterable<[pattern: string, value: T]>) {
    for (const [pattern, value] of entries) {
      if (!pattern.endsWith('*')) {
        this.exactNames.set(pattern, value);
        continue;
      }
      const length = pattern.length - 1;
      const values = this.valuesByPrefixLength.get(length) ?? new Map<string, T>();
      this.valuesByPrefixLength.set(length, values.set(pattern.slice(0, length), value));
    }
    this.prefixLengths = [...this.valuesByPrefixLength.keys()].sort((a, b) => b - a);
  }

  /** The value of the most specific pattern that matches a topic. */
  find(topic: string): T | undefined {
    return this.exactNames.get(topic) ?? this.within(topic);
  }

  /**
   * The value of the longest prefix pattern that matches all topics with a prefix. Exact names and longer prefix patterns, which match
   * only some of these topics, are ignored.
   */
  within(prefix: string): T | undefined {
    for (const length of this.prefixLengths) {
      if (length > prefix.length) continue;
      const value = this.valuesByPrefixLength.get(length)!.get(prefix.slice(0, length));
      if (value !== undefined) return value;
    }
    return undefined;
  }
}

/** Lookup tables of a configuration. They are built once per configuration object, since each message needs several lookups. */
interface ConfigIndex {
  families: Patterns<Family>;
  /** The highest precedence; undefined unless there are at least two different ones. */
  highestPrecedence: number | undefined;
}
const indexes = new WeakMap<FleetConfig, ConfigIndex>();

function indexOf(config: FleetConfig): ConfigIndex {
  let index = indexes.get(config);
  if (!index) {
    const precedences = new Set(config.families.flatMap((family) => family.precedence ?? []));
    index = {
      families: new Patterns(
        config.families.flatMap((family) => family.topics.map((pattern): [string, Family] => [pattern, family])),
      ),
      // If all families share one precedence, none is more urgent than the others.
      highestPrecedence: precedences.size > 1 ? [...precedences].reduce((a, b) => Math.max(a, b)) : undefined,
    };
    indexes.set(config, index);
  }
  return index;
}

/**
 * The family that a topic belongs to, by exact name or else by the longest matching prefix. A configuration must not be modified after
 * its first lookup, since its lookup tables are cached.
 * @example
 * familyOf(config, 'pay/77')?.name; // 'payments'
 */
export function familyOf(config: FleetConfig, topic: string): Family | undefined {
  return indexOf(config).families.find(topic);
}

/**
 * The urgency of a family: its `urgency` if given. Otherwise it is urgent if it has the highest precedence and the configuration contains
 * at least two different precedences.
 * @example
 * urgencyOf(config, familyOf(config, 'warn/1')!); // 'urgent'
 */
export function urgencyOf(config: FleetConfig, family: Family): 'urgent' | 'routine' {
  return (
    family.urgency ??
    (family.precedence !== undefined && family.precedence === indexOf(config).highestPrecedence ? 'urgent' : 'routine')
  );
}

/**
 * Whether a topic's family is urgent.
 * @example
 * isUrgent(config, 'warn/1'); // true
 */
export function isUrgent(config: FleetConfig, topic: string): boolean {
  const family = familyOf(config, topic);
  return family !== undefined && urgencyOf(config, family) === 'urgent';
}
