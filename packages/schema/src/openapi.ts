import Type from 'typebox';
import { FaultShape, FAULTS, Frame, FleetConfig, Rejected, Rpcs, type Method } from './index.js';

/** Faults that any visit may be answered with. */
const COMMON = ['bad_visit', 'unknown_method', 'too_large', 'overloaded', 'not_ready', 'internal'];

/** Faults of each method beyond the common ones. */
const OWN: [Method, string[]][] = [
  ['Attach', []],
  ['Detach', ['unknown_conn', 'timeout', 'cut']],
  ['Probe', ['unknown_conn', 'timeout', 'cut']],
  ['Subscribe', ['unknown_conn', 'unknown_topic', 'cursor_expired', 'cursor_ahead', 'not_owner', 'timeout', 'cut']],
  ['Unsubscribe', ['unknown_conn', 'timeout', 'cut']],
  ['Publish', ['unknown_topic', 'outcome_unknown']],
  ['Listeners', ['unknown_topic', 'outcome_unknown', 'not_owner']],
  ['SubmitConfig', ['invalid_config', 'conflict', 'no_majority']],
  ['CheckConfig', []],
  ['ReadConfig', ['no_majority']],
  ['EmptyDisk', ['unknown_disk', 'wont_hold', 'no_majority']],
  ['EmptyStatus', ['unknown_disk']],
  ['CancelEmpty', ['unknown_disk', 'no_majority']],
  ['PlanMoves', ['invalid_config', 'conflict', 'no_majority']],
  ['Moves', []],
  ['Fleet', []],
  ['Node', []],
];

const ref = (name: string) => ({ $ref: `#/components/schemas/${name}` });
const json = (schema: unknown) => ({ 'application/json': { schema } });
const retry = {
  'Retry-After': {
    description: 'Seconds until it is worth coming back; retryAfterMs in the body is finer.',
    schema: { type: 'integer', minimum: 1 },
  },
};

/** What each status means, by the faults that have it. */
function answers(m: Method, tags: string[]): [string, unknown][] {
  const byStatus = new Map<number, string[]>();
  for (const t of tags) {
    const s = FAULTS.get(t)!.status;
    byStatus.set(s, [...(byStatus.get(s) ?? []), t]);
  }
  byStatus.set(415, ['bad_visit']);
  if (m === 'Publish') byStatus.set(409, []);
  return [...byStatus]
    .sort((a, b) => a[0] - b[0])
    .map(([s, ts]) => {
      const faults = { type: 'object', required: ['error'], properties: { error: ref('Fault') } };
      const rejected = ref('Rejected');
      // A publish that surely stored nothing is told so in its own words.
      let schema: object = faults;
      if (m === 'Publish' && s === 409) schema = rejected;
      if (m === 'Publish' && s === 503) schema = { anyOf: [rejected, faults] };
      const words = m === 'Publish' && s === 409 ? 'rejected: stale_seq' : ts.join(', ');
      return [
        String(s),
        { description: words, ...(s === 503 || s === 504 ? { headers: retry } : {}), content: json(schema) },
      ];
    });
}

/**
 * The whole interface as one OpenAPI 3.1 document, as committed in harecross.openapi.json.
 * @example
 * writeFileSync('harecross.openapi.json', emit());
 */
export function emit(): string {
  const paths = new Map<string, unknown>();
  for (const [m, own] of OWN) {
    const r = Rpcs[m];
    const ok =
      m === 'Attach'
        ? {
            description: 'A stream that does not end: one Frame a line.',
            content: { 'application/x-ndjson': { schema: ref('Frame') } },
          }
        : {
            description: 'Done.',
            content: json(
              m === 'ReadConfig'
                ? { ...r.answer, properties: { ...Rpcs.ReadConfig.answer.properties, config: ref('FleetConfig') } }
                : r.answer,
            ),
          };
    const visit = {
      ...r.visit,
      properties: { ...r.visit.properties, ...('config' in r.visit.properties ? { config: ref('FleetConfig') } : {}) },
    };
    paths.set(`/rpc/${m}`, {
      post: {
        operationId: m,
        summary: r.about,
        'x-repeatable': r.repeatable,
        requestBody: { required: true, content: json(visit) },
        responses: Object.fromEntries([['200', ok], ...answers(m, [...COMMON, ...own])]),
      },
    });
  }
  const condition = Type.Object({ condition: Type.String() });
  paths.set('/condition', {
    get: {
      operationId: 'condition',
      summary: 'Whether this node can truly serve: where platforms may send conns.',
      responses: Object.fromEntries([
        ['200', { description: 'It can.', content: json(condition) }],
        ['503', { description: 'It cannot now.', content: json(condition) }],
      ]),
    },
  });
  return (
    JSON.stringify(
      {
        openapi: '3.1.0',
        info: {
          title: 'harecross',
          version: '0.1.0',
          license: { name: 'MIT', identifier: 'MIT' },
          description:
            'Realtime messaging for many small sites on poor links. Any node takes any visit; see docs/callers.md and docs/operators.md.',
        },
        servers: [
          {
            url: 'http://{client}',
            description: 'The client address of any node',
            variables: { client: { default: '127.0.0.1:7000' } },
          },
        ],
        security: [],
        paths: Object.fromEntries(paths),
        components: { schemas: { Frame, Fault: FaultShape, Rejected, FleetConfig } },
      },
      null,
      2,
    ) + '\n'
  );
}
