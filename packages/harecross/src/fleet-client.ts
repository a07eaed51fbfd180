/** Requests of the command line to a fleet: which are sent again after a failure, and which must not be. */
import { mayRepeat, Rpcs, type Method, type PathFault } from '@harecross/schema';
import { randomUUID } from 'node:crypto';
import { request } from 'undici';

/** Pause between two rounds over all nodes, unless one of them names a shorter one. */
const ROUND_PAUSE_MS = 500;

/** Faults that say that the node did nothing: it did not serve, or had no room. */
const NOTHING_DONE = new Set(['not_ready', 'overloaded', 'unreachable']);

/** Errors of a connection that never came about: the request was not written. */
const NEVER_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Fields of a fault that the command line shows; every one but the tag is there for some tags alone. */
export interface ErrorFields {
  tag?: string;
  step?: string;
  peer?: string;
  detail?: string;
  version?: number;
  retryAfterMs?: number;
  faults?: PathFault[];
}

/** What a node answered: the method's own answer with status 200, else the fault. */
export interface HttpResponse {
  status: number;
  body: unknown;
}

/** What a call needs of its surroundings. */
export interface CallEnvironment {
  post(client: string, method: string, body: unknown, limitMs: number): Promise<HttpResponse>;
  now(): number;
  pause(ms: number): Promise<void>;
}

export interface FleetCall {
  /** Client addresses, asked in this order. */
  at: string[];
  method: Method;
  body: unknown;
  /** Time limit of one try. */
  timeoutMs: number;
  /** How long tries go on while no node serves. */
  retryForMs: number;
}

/** `unclear`: it may have been carried out, and must not be sent again without finding out. */
export type Outcome =
  | { tag: 'done'; body: unknown }
  | { tag: 'rejected'; status: number; error: ErrorFields }
  | { tag: 'no_answer'; last: string }
  | { tag: 'unclear'; last: string };

/**
 * A name for a change that was given none. No two are alike, also of operators on other machines: the second would be answered with what
 * became of the first.
 * @example
 * newChangeId('cli'); // 'cli-0b0f6c62-...'
 */
export const newChangeId = (what: string): string => `${what}-${randomUUID()}`;

/**
 * One request over HTTP.
 * @example
 * await post('127.0.0.1:7001', 'Fleet', {}, 3_000); // { status: 200, body: { ... } }
 */
export async function post(client: string, method: string, body: unknown, limitMs: number): Promise<HttpResponse> {
  const r = await request(`http://${client}/rpc/${method}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    headersTimeout: limitMs,
    bodyTimeout: limitMs,
  });
  return { status: r.statusCode, body: await r.body.json() };
}

const neverConnected = (e: unknown): boolean =>
  NEVER_CONNECTED.has(String((e as { code?: unknown } | undefined)?.code));

/**
 * A request at the first node that serves it. While all say 'come back', or none answers, it is tried again until the wait is over. A
 * request that was written and got no clear answer is sent again only if the schema declares it repeatable.
 * @example
 * await callFleet(surroundings, { at, method: 'ReadConfig', body: {}, limitMs: 10_000, waitMs: 10_000 });
 */
export async function callFleet(x: CallEnvironment, call: FleetCall): Promise<Outcome> {
  const repeatable = mayRepeat(Rpcs[call.method].repeatable, call.body);
  const until = x.now() + call.retryForMs;
  let last = 'no address given';
  for (;;) {
    let pauseMs = ROUND_PAUSE_MS;
    for (const client of call.at) {
      let answer: HttpResponse;
      try {
        answer = await x.post(client, call.method, call.body, call.timeoutMs);
      } catch (e) {
        last = `${client}: ${e instanceof Error ? e.message : String(e)}`;
        if (!repeatable && !neverConnected(e)) return { tag: 'unclear', last };
        continue;
      }
      if (answer.status === 200) return { tag: 'done', body: answer.body };
      const error = (answer.body as { error?: ErrorFields } | undefined)?.error ?? {};
      if (answer.status !== 503) return { tag: 'rejected', status: answer.status, error };
      last = `${client}: ${error.tag ?? answer.status}`;
      if (!repeatable && !NOTHING_DONE.has(error.tag ?? '')) return { tag: 'unclear', last };
      pauseMs = Math.min(pauseMs, error.retryAfterMs ?? pauseMs);
    }
    if (x.now() + pauseMs > until) return { tag: 'no_answer', last };
    await x.pause(pauseMs);
  }
}
