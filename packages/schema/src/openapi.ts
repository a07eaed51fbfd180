import Type from 'typebox';
import { FaultShape, FAULTS, Frame, FleetConfig, Rejected, Rpcs, type Method } from './index.js';

/** Faults that any request can fail with. */
const COMMON_FAULTS = ['bad_visit', 'unknown_method', 'too_large', 'overloaded', 'not_ready', 'internal'];

/** Faults of each method in addition to the common ones. */
const METHOD_FAULTS: [Method, string[]][] = [
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
const retryHeader = {
  'Retry-After': {
    description: 'Seconds until it is worth coming back; retryAfterMs in the body is finer.',
    schema: { type: 'integer', minimum: 1 },
  },
};

/** The error responses of a method, grouped by HTTP status. */
function errorResponses(method: Method, tags: string[]): [string, unknown][] {
  const byStatus = new Map<number, string[]>();
  for (const tag of tags) {
    const status = FAULTS.get(tag)!.status;
    byStatus.set(status, [...(byStatus.get(status) ?? []), tag]);
  }
  byStatus.set(415, ['bad_visit']);
  if (method === 'Publish') byStatus.set(409, []);
  return [...byStatus]
    .sort((a, b) => a[0] - b[0])
    .map(([status, statusTags]) => {
      const faultSchema = { type: 'object', required: ['error'], properties: { error: ref('Fault') } };
      const rejectedSchema = ref('Rejected');
      // A publish attempt known to have stored nothing is answered with `rejected` instead of a fault.
      let schema: object = faultSchema;
      if (method === 'Publish' && status === 409) schema = rejectedSchema;
      if (method === 'Publish' && status === 503) schema = { anyOf: [rejectedSchema, faultSchema] };
      const description = method === 'Publish' && status === 409 ? 'rejected: stale_seq' : statusTags.join(', ');
      return [
        String(status),
        { description, ...(status === 503 || status === 504 ? { headers: retryHeader } : {}), content: json(schema) },
      ];
    });
}

/**
 * The complete client API as one OpenAPI 3.1 document, as committed in harecross.openapi.json.
 * @example
 * writeFileSync('harecross.openapi.json', emit());
 */
export function emit(): string {
  const paths = new Map<string, unknown>();
  for (const [method, methodFaults] of METHOD_FAULTS) {
    const spec = Rpcs[method];
    const success =
      method === 'Attach'
        ? {
            description: 'A stream that does not end: one Frame a line.',
            content: { 'application/x-ndjson': { schema: ref('Frame') } },
          }
        : {
            description: 'Done.',
            content: json(
              method === 'ReadConfig'
                ? { ...spec.answer, properties: { ...Rpcs.ReadConfig.answer.properties, config: ref('FleetConfig') } }
                : spec.answer,
            ),
          };
    const requestSchema = {
      ...spec.visit,
      properties: {
        ...spec.visit.properties,
        ...('config' in spec.visit.properties ? { config: ref('FleetConfig') } : {}),
      },
    };
    paths.set(`/rpc/${method}`, {
      post: {
        operationId: method,
        summary: spec.about,
        'x-repeatable': spec.repeatable,
        requestBody: { required: true, content: json(requestSchema) },
        responses: Object.fromEntries([
          ['200', success],
          ...errorResponses(method, [...COMMON_FAULTS, ...methodFaults]),
        ]),
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
