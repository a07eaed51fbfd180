/** RPC client of the command line tool. Decides which requests are retried after a failure and which must not be. */
import { mayRepeat, Rpcs, type Method, type PathFault } from '@harecross/schema';
import { randomUUID } from 'node:crypto';
import { request } from 'undici';

/** Delay before all nodes are tried again, unless one of them suggests a shorter `retryAfterMs`. */
const RETRY_DELAY_MS = 500;

/** Errors with which a node guarantees that it did not execute the request: it is not serving, or it is overloaded. */
const NOT_EXECUTED_TAGS = new Set(['not_ready', 'overloaded', 'unreachable']);

/** Error codes of a connection that was never established, so the request was not sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Fields of an error body that the command line tool prints. All but `tag` occur only with some tags. */
export interface ErrorFields {
  tag?: string;
  step?: string;
  peer?: string;
  detail?: string;
  version?: number;
  retryAfterMs?: number;
  faults?: PathFault[];
}

/** HTTP response of a node. The body is the method's result if the status is 200, otherwise an error. */
export interface HttpResponse {
  status: number;
  body: unknown;
}

/** I/O and time that a call depends on; tests replace them. */
export interface CallEnvironment {
  post(client: string, method: string, body: unknown, timeoutMs: number): Promise<HttpResponse>;
  now(): number;
  pause(ms: number): Promise<void>;
}

export interface FleetCall {
  /** Client addresses of nodes, tried in this order. */
  at: string[];
  method: Method;
  body: unknown;
  /** Timeout of one attempt, in ms. */
  timeoutMs: number;
  /** How long to retry while no node serves the request, in ms. */
  retryForMs: number;
}

/** `unclear`: the request may have been executed. Check its effect before sending it again. */
export type Outcome =
  | { tag: 'done'; body: unknown }
  | { tag: 'rejected'; status: number; error: ErrorFields }
  | { tag: 'no_answer'; last: string }
  | { tag: 'unclear'; last: string };

/**
 * Generates the ID of a change for which the operator gave none. It must be unique across operators and machines: a second change with the
 * same ID would be answered with the outcome of the first.
 * @example
 * newChangeId('cli'); // 'cli-0b0f6c62-...'
 */
export const newChangeId = (prefix: string): string => `${prefix}-${randomUUID()}`;

/**
 * Sends one request over HTTP.
 * @example
 * await post('127.0.0.1:7001', 'Fleet', {}, 3_000); // { status: 200, body: { ... } }
 */
export async function post(client: string, method: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
  const response = await request(`http://${client}/rpc/${method}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  return { status: response.statusCode, body: await response.body.json() };
}

const isConnectError = (e: unknown): boolean =>
  CONNECT_ERROR_CODES.has(String((e as { code?: unknown } | undefined)?.code));

/**
 * Sends a request to the first node that serves it. While every node asks to retry later or does not answer, all are tried again until
 * `retryForMs` has passed. A request that was sent but whose outcome is unknown is retried only if the schema declares it repeatable.
 * @example
 * await callFleet(env, { at, method: 'ReadConfig', body: {}, timeoutMs: 10_000, retryForMs: 10_000 });
 */
export async function callFleet(env: CallEnvironment, call: FleetCall): Promise<Outcome> {
  const repeatable = mayRepeat(Rpcs[call.method].repeatable, call.body);
  const deadline = env.now() + call.retryForMs;
  let last = 'no address given';
  for (;;) {
    let delayMs = RETRY_DELAY_MS;
    for (const client of call.at) {
      let response: HttpResponse;
      try {
        response = await env.post(client, call.method, call.body, call.timeoutMs);
      } catch (e) {
        last = `${client}: ${e instanceof Error ? e.message : String(e)}`;
        if (!repeatable && !isConnectError(e)) return { tag: 'unclear', last };
        continue;
      }
      if (response.status === 200) return { tag: 'done', body: response.body };
      const error = (response.body as { error?: ErrorFields } | undefined)?.error ?? {};
      if (response.status !== 503) return { tag: 'rejected', status: response.status, error };
      last = `${client}: ${error.tag ?? response.status}`;
      if (!repeatable && !NOT_EXECUTED_TAGS.has(error.tag ?? '')) return { tag: 'unclear', last };
      delayMs = Math.min(delayMs, error.retryAfterMs ?? delayMs);
    }
    if (env.now() + delayMs > deadline) return { tag: 'no_answer', last };
    await env.pause(delayMs);
  }
}
