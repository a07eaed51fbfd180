import { readFileSync } from 'node:fs';
import { HarecrossError, PROCESS, REQUEST, type Clock, type ErrorDetails, type Kernel } from '@harecross/kernel';
import type { Edge, Outgoing, Reply, Sink } from '@harecross/data';
import { causeOf, serveClients } from '@harecross/platform/access';
import type { Cause, Word } from '@harecross/platform/lines';
import { FAULTS } from '@harecross/schema';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import type { Json } from '../json.js';
import { freePorts } from '../process-fleet.js';
import { LineClient } from './platform-client.js';

const SEED = 20_261;

/** A clock that goes when the test says so. */
class HandClock implements Clock {
  private at = 0;
  private due: { at: number; fn: () => void }[] = [];
  now(): number {
    return this.at;
  }
  wall(): number {
    return this.at;
  }
  after(ms: number, fn: () => void): () => void {
    const d = { at: this.at + ms, fn };
    this.due.push(d);
    return () => {
      this.due = this.due.filter((x) => x !== d);
    };
  }
  pass(ms: number): void {
    const until = this.at + ms;
    for (;;) {
      const [d] = this.due.filter((x) => x.at <= until).sort((a, b) => a.at - b.at);
      if (!d) break;
      this.due = this.due.filter((x) => x !== d);
      this.at = Math.max(this.at, d.at);
      d.fn();
    }
    this.at = until;
  }
}

interface Visited {
  method: string;
  body: Json;
  answer(r: Reply): void;
}

/** The product's face, answering as the test says. */
class FakeEdge {
  readonly sinks = new Map<string, Sink>();
  readonly goneIds: string[] = [];
  readonly drainedIds: string[] = [];
  heardN = 0;
  readonly visits: Visited[] = [];
  open = 0;
  mostOpen = 0;
  /** Answers at once where it gives something. */
  at: (method: string, body: Json) => Reply | undefined = () => undefined;
  refuse: Reply | undefined;
  /** What an ATTACH has to wait for. */
  soon: Promise<void> | undefined;
  onVisit: () => void = () => undefined;
  private n = 0;

  attach(body: { consumer: string }, sink: Sink): { id: string } | Reply {
    if (this.refuse) return this.refuse;
    const id = `${body.consumer}/${++this.n}`;
    this.sinks.set(id, sink);
    return { id };
  }
  whenServing(): Promise<void> | undefined {
    return this.soon;
  }
  recordActivity(): void {
    this.heardN++;
  }
  disconnected(id: string): void {
    this.goneIds.push(id);
    this.sinks.delete(id);
  }
  drained(id: string): void {
    this.drainedIds.push(id);
  }
  handle(method: string, body: unknown): Promise<Reply> {
    return new Promise((res) => {
      this.mostOpen = Math.max(this.mostOpen, ++this.open);
      const v: Visited = {
        method,
        body,
        answer: (r) => {
          this.open--;
          res(r);
        },
      };
      this.visits.push(v);
      const now = this.at(method, body);
      if (now) v.answer(now);
      this.onVisit();
    });
  }
  sinkOf(consumer: string): Sink {
    return [...this.sinks].find(([id]) => id.startsWith(`${consumer}/`))![1];
  }
}

/** Answers every visit with success. */
const well = (method: string, body: Json): Reply => {
  switch (method) {
    case 'Publish':
      return { status: 200, body: { accepted: { offset: 1 } } };
    case 'Subscribe':
      return { status: 200, body: { sub: '1', next: (body.cursor ?? 0) + 1 } };
    case 'Unsubscribe':
      return { status: 200, body: { left: true } };
    default:
      return { status: 200, body: { count: 3, partial: false } };
  }
};
const fault = (f: ErrorDetails): Reply => ({ status: 503, body: { error: f } });

interface Stage {
  clock: HandClock;
  edge: FakeEdge;
  counters: Map<string, number>;
  port: number;
  to(x?: { deaf?: boolean }): Promise<LineClient>;
}

/** A listener before a face of the product, on a port of the OS's choice. */
async function stage(t: ExecutionContext, most = 4_000): Promise<Stage> {
  const clock = new HandClock();
  const counters = new Map<string, number>();
  const edge = new FakeEdge();
  const kernel = {
    host: { clock, config: { pingS: 2 } },
    addSubscription: () => undefined,
    incrementCounter: (n: string, by = 1) => counters.set(n, (counters.get(n) ?? 0) + by),
  };
  // A port that the OS called free may be another process's by now: then the next one.
  for (let tries = 0; ; tries++) {
    const [port] = (await freePorts(1)) as [number];
    try {
      const close = await serveClients(kernel as unknown as Kernel, edge as unknown as Edge, `127.0.0.1:${port}`, most);
      t.teardown(close);
    } catch (e) {
      if (tries < 10 && (e as { code?: string }).code === 'EADDRINUSE') continue;
      throw e;
    }
    return { clock, edge, counters, port, to: (x = {}) => LineClient.to(port, x) };
  }
}
async function attached(s: Stage, name: string, x: { deaf?: boolean } = {}): Promise<LineClient> {
  const c = await s.to(x);
  if (x.deaf) {
    c.send(`ATTACH ${name}\r\n`);
    return c;
  }
  const said = await c.ask(`ATTACH ${name}`);
  if (said !== 'CONFIRM ATTACH') throw new Error(`not attached: ${said}`);
  return c;
}
/** Round trips of another client: each lets the listener's loop turn. */
async function turns(c: LineClient, n: number): Promise<void> {
  for (let i = 0; i < n; i++) if ((await c.ask('PROBE')) !== 'PROBEACK') throw new Error('not served');
}

// --- what a fault of the product becomes ---

type Told = { publish: Cause; other: Cause };
const told = (other: Cause, publish: Cause = other): Told => ({ publish, other });
/** A decision for every fault. CONGEST is a promise: "not done, and never will be". */
const DECIDED = new Map(
  Object.entries({
    unreachable: told('CONGEST', 'INDETERM'),
    timeout: told('INDETERM'),
    cut: told('INDETERM'),
    not_ready: told('CONGEST', 'INDETERM'),
    not_owner: told('CONGEST', 'INDETERM'),
    fenced: told('INDETERM'),
    overloaded: told('CONGEST', 'INDETERM'),
    bad_visit: told('MALFORMED'),
    unknown_method: told('MALFORMED'),
    unknown_topic: told('NODOMAIN'),
    unknown_conn: told('INDETERM'),
    unknown_disk: told('INDETERM'),
    cursor_expired: told('EXPIRED'),
    cursor_ahead: told('EXPIRED'),
    too_large: told('OVERSIZE'),
    // Only a publish ends so. It is the product's final no.
    stale_seq: told('CONGEST'),
    outcome_unknown: told('INDETERM'),
    conflict: told('INDETERM'),
    invalid_config: told('INDETERM'),
    no_majority: told('INDETERM'),
    wont_hold: told('INDETERM'),
    disk_ill: told('INDETERM'),
    internal: told('INDETERM'),
  } satisfies Record<ErrorDetails['tag'], Told>),
);
const WORDS: Word[] = ['ATTACH', 'SUBSCRIBE', 'UNSUBSCR', 'PUBLISH', 'ENQUIRE'];

/** What is wrong with a map from faults to causes. */
function wrongIn(map: typeof causeOf, tags: Iterable<string>, decided = DECIDED): string[] {
  const out: string[] = [];
  for (const tag of tags) {
    const d = decided.get(tag);
    if (!d) {
      out.push(`${tag}: nobody decided what a client is told`);
      continue;
    }
    for (const w of WORDS) {
      const is = map(w, { tag: tag as ErrorDetails['tag'] });
      const want = w === 'PUBLISH' ? d.publish : d.other;
      if (is !== want) out.push(`${w} ${tag}: ${is}, not ${want}`);
      if (w === 'PUBLISH' && is === 'CONGEST' && tag !== 'stale_seq')
        out.push(`PUBLISH ${tag}: a promise that nobody gave`);
    }
  }
  return out;
}
/** The tags as the source has them. */
const tagsIn = (source: string): string[] => [...source.matchAll(/\{ tag: '(\w+)'; step: string/g)].map((m) => m[1]!);
const faultSource = readFileSync(new URL('../../../kernel/src/fault.ts', import.meta.url), 'utf8');

test('every fault of the product has a cause that was decided on; CONGEST for a message is the final no alone', (t) => {
  const tags = tagsIn(faultSource);
  t.true(tags.length >= 23);
  t.deepEqual([...tags].sort(), [...FAULTS.keys()].sort(), 'the source and the schema have the same');
  t.deepEqual([...DECIDED.keys()].sort(), [...tags].sort());
  t.deepEqual(wrongIn(causeOf, tags), []);
  t.is(
    causeOf('SUBSCRIBE', { tag: 'from_the_future' as ErrorDetails['tag'] }),
    'INDETERM',
    'what a newer peer says: no promise',
  );
  // Planted.
  t.deepEqual(
    wrongIn((w, f) => (f.tag === 'overloaded' ? 'CONGEST' : causeOf(w, f)), tags),
    ['PUBLISH overloaded: CONGEST, not INDETERM', 'PUBLISH overloaded: a promise that nobody gave'],
  );
  t.is(wrongIn((w, f) => (f.tag === 'outcome_unknown' ? 'CONGEST' : causeOf(w, f)), tags).length, WORDS.length + 1);
  t.is(wrongIn((w, f) => (f.tag === 'timeout' ? 'EXPIRED' : causeOf(w, f)), tags).length, WORDS.length);
  const grown = faultSource.replace(
    "  | { tag: 'timeout'",
    "  | { tag: 'melted'; step: string; peer: string }\n  | { tag: 'timeout'",
  );
  t.deepEqual(wrongIn(causeOf, tagsIn(grown)), ['melted: nobody decided what a client is told'], 'a new tag');
});

test('an ATTACH waits for a node that is just coming up; it is one, and goes with its connection', async (t) => {
  const s = await stage(t);
  let serve = (): void => undefined;
  s.edge.soon = new Promise((res) => {
    serve = res;
  });
  const [c, d] = [await s.to(), await s.to()];
  t.is(await c.ask('ATTACH u1\r\nATTACH u1'), 'REJECT ATTACH - - MALFORMED', 'the second one; the first still waits');
  t.is(await c.ask('PROBE'), 'REJECT PROBE - - MALFORMED', 'not attached yet');
  t.is(await d.ask('ATTACH u2\r\nENQUIRE'), 'REJECT ENQUIRE - - MALFORMED');
  const left = new Promise((res) => d.socket.once('close', res));
  d.socket.end();
  await left;
  for (let i = 0; i < 3; i++) await c.ask('PROBE');
  t.is(s.edge.sinks.size, 0);
  const said = c.line();
  serve();
  t.is(await said, 'CONFIRM ATTACH');
  t.is(await c.ask('PROBE'), 'PROBEACK');
  t.is(s.edge.sinks.size, 1, 'who left meanwhile is not attached');
});

test('each word is told what became of its request', async (t) => {
  const s = await stage(t);
  const peer = '10.0.0.1:7100';
  const c = await attached(s, 'u1');
  const say = async (message: string, f: ErrorDetails): Promise<string | undefined> => {
    s.edge.at = () => fault({ ...f, step: 'x', peer } as ErrorDetails);
    return c.ask(message);
  };
  const at = { step: 'x', peer };
  t.is(await say('SUBSCRIBE a', { tag: 'outcome_unknown', ...at, retryAfterMs: 1 }), 'REJECT SUBSCRIBE a - INDETERM');
  t.is(await say('SUBSCRIBE a 7', { tag: 'timeout', ...at }), 'REJECT SUBSCRIBE a - INDETERM');
  t.is(await say('SUBSCRIBE a 7', { tag: 'not_ready', ...at, retryAfterMs: 1 }), 'REJECT SUBSCRIBE a - CONGEST');
  t.is(
    await say('SUBSCRIBE a 7', { tag: 'cursor_expired', ...at, first: 9, head: 12 }),
    'REJECT SUBSCRIBE a - EXPIRED',
  );
  t.is(await say('ENQUIRE a', { tag: 'outcome_unknown', ...at, retryAfterMs: 1 }), 'REJECT ENQUIRE a - INDETERM');
  t.is(await say('ENQUIRE a', { tag: 'overloaded', ...at, retryAfterMs: 1 }), 'REJECT ENQUIRE a - CONGEST');
  t.is(await say('UNSUBSCR a', { tag: 'unknown_conn', ...at }), 'REJECT UNSUBSCR a - INDETERM');
  t.is(await say('PUBLISH a 3 2\r\nhi', { tag: 'unknown_topic', ...at, topic: 'a' }), 'REJECT PUBLISH a 3 NODOMAIN');
  t.is(await say('PUBLISH a 3 2\r\nhi', { tag: 'too_large', ...at, limit: 1 }), 'REJECT PUBLISH a 3 OVERSIZE');
  // The product's own words for a publish that it turned away.
  for (const [reason, cause] of [
    ['stale_seq', 'CONGEST'],
    ['overloaded', 'INDETERM'],
    ['not_ready', 'INDETERM'],
    ['unreachable', 'INDETERM'],
  ] as const) {
    s.edge.at = () => ({ status: 503, body: { rejected: { reason, final: reason === 'stale_seq', retryAfterMs: 1 } } });
    t.is(await c.ask('PUBLISH a 4 2\r\nhi'), `REJECT PUBLISH a 4 ${cause}`, reason);
  }
  s.edge.at = () => ({ status: 500, body: undefined as unknown as Reply['body'] });
  t.is(await c.ask('PUBLISH a 4 2\r\nhi'), 'REJECT PUBLISH a 4 INDETERM', 'an answer that says nothing');
  const d = await s.to();
  s.edge.refuse = fault(new HarecrossError({ tag: 'not_ready', ...at, retryAfterMs: 1 }).details);
  t.is(await d.ask('ATTACH u2'), 'REJECT ATTACH - - CONGEST');
  s.edge.refuse = fault({ tag: 'internal', ...at, detail: '' });
  t.is(await d.ask('ATTACH u2'), 'REJECT ATTACH - - INDETERM');
  s.edge.refuse = undefined;
  t.is(await d.ask('ATTACH u2'), 'CONFIRM ATTACH', 'and may try again');
});

test('what the product is asked, and what becomes of its answers and frames', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const c = await attached(s, 'u1');
  t.is(await c.ask('SUBSCRIBE a'), 'CONFIRM SUBSCRIBE a 0');
  t.is(await c.ask('SUBSCRIBE b 17'), 'CONFIRM SUBSCRIBE b 17');
  t.is(await c.ask('PUBLISH a 3 5\r\nhello'), 'ACCEPT a 3');
  t.is(await c.ask('ENQUIRE a'), 'TALLY a 3');
  t.is(await c.ask('UNSUBSCR a'), 'CONFIRM UNSUBSCR a');
  t.is(await c.ask('PROBE'), 'PROBEACK');
  const [id] = s.edge.sinks.keys();
  t.deepEqual(
    s.edge.visits.map((v) => [v.method, v.body]),
    [
      ['Subscribe', { conn: id, topic: 'a' }],
      ['Subscribe', { conn: id, topic: 'b', cursor: 17 }],
      ['Publish', { sender: 'u1', topic: 'a', seq: 3, body: 'hello' }],
      ['Listeners', { topic: 'a' }],
      ['Unsubscribe', { conn: id, topic: 'a' }],
    ],
  );
  t.is(s.edge.heardN, 6, 'every word is a sign of life');
  for (const bad of ['0x11', '1e1', '-1', '1.5', 'c-17', '9'.repeat(16), 'NaN']) {
    t.is(await c.ask(`SUBSCRIBE a ${bad}`), 'REJECT SUBSCRIBE a - MALFORMED', bad);
  }
  t.is(s.edge.visits.length, 5, 'a cursor that is none of ours goes no further');
  const msg = { topic: 'b', sender: 'u9', seq: 4, offset: 18, body: 'grüße', bytes: 7 };
  const frames: Outgoing[] = [
    { t: 'ATTACHED', conn: id!, pingS: 2 },
    { t: 'DELIVER', sub: '1', msg },
    { t: 'LEFT', sub: '2', topic: 'a', reason: 'unsubscribed' },
    { t: 'LEFT', sub: '2', topic: 'a', reason: 'topic_removed' },
    { t: 'GOAWAY', to: '10.1.0.7:8000', retryAfterMs: 0 },
  ];
  t.true(s.edge.sinkOf('u1').write(frames));
  t.is(await c.line(), 'DELIVER b 18 u9 4 7 grüße');
  t.is(await c.line(), 'REDIRECT 10.1.0.7:8000');
  t.is(await c.ask('PROBE'), 'PROBEACK', 'still open: the client goes by itself');
  t.is(c.unreadable, undefined);
});

test('words before ATTACH and a second ATTACH have an answer and do nothing', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const c = await s.to();
  t.is(await c.ask('SUBSCRIBE a'), 'REJECT SUBSCRIBE a - MALFORMED');
  t.is(await c.ask('PUBLISH a 1 2\r\nhi'), 'REJECT PUBLISH a 1 MALFORMED');
  t.is(await c.ask('ENQUIRE a'), 'REJECT ENQUIRE a - MALFORMED');
  t.is(await c.ask('UNSUBSCR a'), 'REJECT UNSUBSCR a - MALFORMED');
  t.is(await c.ask('PROBE'), 'REJECT PROBE - - MALFORMED');
  t.is(await c.ask('SING'), 'REJECT - - - MALFORMED');
  // Who has not said its name gets no room for a body that comes in pieces.
  c.send('PUBLISH a 1 20\r\nhalf');
  t.is(await c.line(), 'REJECT PUBLISH a 1 INDETERM');
  c.send(' of it, the rest\r\n');
  t.is(await c.ask('ATTACH u1'), 'CONFIRM ATTACH');
  t.deepEqual(s.edge.visits, []);
  t.is(await c.ask('ATTACH u2'), 'REJECT ATTACH - - MALFORMED');
  t.is(s.edge.sinks.size, 1);
  t.is(await c.ask('PROBE'), 'PROBEACK', 'the first one holds');
});

test('bytes that cannot be read: one answer, a close, and nobody else feels it', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const other = await attached(s, 'other');
  for (const [bad, want] of [
    ['PROBE\n', 'REJECT - - - MALFORMED'],
    ['x'.repeat(REQUEST.accessLineBytes + 1), 'REJECT - - - OVERSIZE'],
    [`PUBLISH a 1 ${REQUEST.accessDiscardBytes + 1}\r\n`, 'REJECT PUBLISH - - OVERSIZE'],
    ['PUBLISH a 1\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n', 'REJECT - - - MALFORMED'],
    ['GET / HTTP/1.1\r\n\n', 'REJECT - - - MALFORMED'],
  ] as const) {
    const c = await attached(s, 'u1');
    c.send(Buffer.from(bad + 'PROBE\r\nPROBE\r\n', 'latin1'));
    const lines: string[] = [];
    for (let l = await c.line(); l !== undefined; l = await c.line()) lines.push(l);
    t.is(lines.at(-1), want, JSON.stringify(bad.slice(0, 40)));
    t.false(lines.includes('PROBEACK'), 'nothing behind it is served');
    t.is((await c.closed).reset, false, 'closed in order, so that the answer arrives');
    t.is(await other.ask('PROBE'), 'PROBEACK');
  }
  t.is(s.edge.goneIds.filter((x) => x.startsWith('u1/')).length, 6, 'the product was told of each, once');
  t.is(s.counters.get('access.unreadable'), 6);
});

test('a body that is too large is refused unread, and what follows is served', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const c = await attached(s, 'u1');
  for (const n of [REQUEST.maxBodyBytes + 1, REQUEST.accessDiscardBytes]) {
    c.send(`PUBLISH a 1 ${n}\r\n`);
    c.send(Buffer.alloc(n, 'x'));
    t.is(await c.ask(''), 'REJECT PUBLISH a 1 OVERSIZE');
    t.is(await c.ask('PROBE'), 'PROBEACK');
  }
  c.send(`PUBLISH a 1 ${REQUEST.maxBodyBytes}\r\n`);
  c.send(Buffer.alloc(REQUEST.maxBodyBytes, 'x'));
  t.is(await c.ask(''), 'ACCEPT a 1', 'the largest that is read');
  t.is(s.edge.visits.length, 1);
});

test('bodies of all connections together take so much room and no more', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const n = REQUEST.accessBodiesBytes / REQUEST.maxBodyBytes;
  const all: LineClient[] = [];
  for (let i = 0; i < n; i++) {
    const c = await attached(s, `u${i}`);
    c.send(`PUBLISH a 1 ${REQUEST.maxBodyBytes}\r\nx`);
    all.push(c);
  }
  const [other, pulse] = [await attached(s, 'other'), await attached(s, 'pulse')];
  // Another's body, small as it is, finds no room once all of them have begun; one that comes whole needs none.
  const inPieces = async (seq: number): Promise<string | undefined> => {
    other.send(`PUBLISH b ${seq} 20\r\n`);
    await turns(pulse, 2);
    return other.ask('x'.repeat(20));
  };
  while ((await inPieces(2)) !== 'REJECT PUBLISH b 2 INDETERM');
  t.is(await other.ask('PUBLISH b 3 2\r\nhi'), 'ACCEPT b 3');
  // Who leaves gives it back.
  for (const c of all) c.end();
  while ((await inPieces(4)) !== 'ACCEPT b 4');
  t.is(s.edge.visits.filter((v) => v.body.topic === 'a').length, 0, 'no half body was ever published');
});

test('half a message before a close goes nowhere, and the product is told that the client left', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const other = await attached(s, 'other');
  for (const half of ['PUBLISH a 1 20\r\nhalf of', 'SUBSCRIBE a', 'PUBLISH a 1 20\r\n01234567890123456789\r']) {
    for (const how of ['end', 'reset'] as const) {
      const c = await attached(s, 'u1');
      const n = s.edge.goneIds.length;
      c.send(half);
      if (how === 'end') c.socket.end();
      else {
        await turns(other, 2);
        c.reset();
      }
      await c.closed;
      while (s.edge.goneIds.length === n) await turns(other, 1);
    }
  }
  t.is(s.edge.goneIds.length, 6);
  t.deepEqual(s.edge.visits, []);
  // An opener that leaves was never the product's.
  const c = await s.to();
  c.send('ATT');
  c.socket.end();
  await c.closed;
  await turns(other, 2);
  t.is(s.edge.goneIds.length, 6);
});

test('who asks and asks and reads nothing is not read either; others are served, and nothing is lost', async (t) => {
  const s = await stage(t);
  const other = await attached(s, 'other');
  const deaf = await attached(s, 'deaf', { deaf: true });
  const N = 2_000_000;
  const piece = 'PROBE\r\n'.repeat(10_000);
  for (let i = 0; i < N / 10_000; i++) deaf.send(piece);
  // Until nothing moves any more while others are served.
  let last = -1;
  let mine = 0;
  for (;;) {
    await turns(other, 50);
    mine += 50;
    const n = s.edge.heardN - mine;
    if (n === last) break;
    last = n;
  }
  t.true(last < N, `${last} of ${N} were answered while nobody read`);
  t.true(deaf.socket.writableLength > 0, 'the sender is held up');
  let acks = 0;
  deaf.socket.on('data', (b) => {
    acks += b.toString('latin1').split('PROBEACK\r\n').length - 1;
  });
  // Lines may be cut between two pieces: bytes are counted.
  let bytes = 0;
  await new Promise<void>((res) =>
    deaf.socket.on('data', (b) => {
      bytes += b.length;
      if (bytes >= 'CONFIRM ATTACH\r\n'.length + N * 10) res();
    }),
  );
  t.is(bytes, 'CONFIRM ATTACH\r\n'.length + N * 10, 'every one has its answer once it reads');
  t.true(acks > 0);
});

test('frames for who reads nothing wait with the product, which is told when there is room again', async (t) => {
  const s = await stage(t);
  const deaf = await attached(s, 'deaf', { deaf: true });
  const other = await attached(s, 'other');
  while (![...s.edge.sinks.keys()].some((id) => id.startsWith('deaf/'))) await turns(other, 1);
  const sink = s.edge.sinkOf('deaf');
  const frame = (offset: number): Outgoing => ({
    t: 'DELIVER',
    sub: '1',
    msg: { topic: 'a', sender: 'b', seq: offset, offset, body: 'x'.repeat(10_000), bytes: 10_000 },
  });
  let n = 0;
  // As the product does it: on while there is room, else wait to be told.
  while (sink.write([frame(++n)])) await turns(other, 1);
  t.false(s.edge.drainedIds.some((id) => id.startsWith('deaf/')));
  let got = 0;
  deaf.listen();
  await deaf.until((all) => (got = all.filter((x) => x.fields[0] === 'DELIVER').length) === n);
  t.is(got, n);
  while (!s.edge.drainedIds.some((id) => id.startsWith('deaf/'))) await turns(other, 1);
  const offsets = deaf.all.flatMap((x) => (x.fields[0] === 'DELIVER' ? [Number(x.fields[2])] : []));
  t.deepEqual(
    offsets,
    Array.from({ length: n }, (_, i) => i + 1),
  );
  // A product that would not wait is stopped at a bound.
  deaf.socket.pause();
  const before = s.edge.goneIds.length;
  for (let i = 0; i < 4 * REQUEST.accessUnreadBytes && s.edge.goneIds.length === before; i += 10_000)
    sink.write([frame(1)]);
  t.is(s.edge.goneIds.length, before + 1);
  t.is(s.counters.get('access.unread'), 1);
  await turns(other, 5);
});

test('thousands of slow openers: the oldest make room, the rest are closed in time, and nobody else feels it', async (t) => {
  const s = await stage(t);
  const first = await attached(s, 'first');
  const N = 2_000;
  const slow: LineClient[] = [];
  for (let i = 0; i < N; i += 50) slow.push(...(await Promise.all(Array.from({ length: 50 }, () => s.to()))));
  for (const c of slow.slice(0, 500)) c.send('ATTA');
  await Promise.all(slow.slice(0, N - REQUEST.accessUnattachedLimit - 50).map((c) => c.closed));
  t.is(await first.ask('PROBE'), 'PROBEACK');
  // The listener may not have met all of them yet: the last wait in the OS's queue while the machine is busy.
  while ((s.counters.get('access.crowded') ?? 0) < N - REQUEST.accessUnattachedLimit) await turns(first, 1);
  const late = await attached(s, 'late');
  t.is(s.counters.get('access.crowded'), N - REQUEST.accessUnattachedLimit + 1, 'as many as were too many');
  t.true(
    slow.slice(-900).every((c) => !c.over),
    'the newest are still there',
  );
  s.clock.pass(REQUEST.accessAttachMs - 1_000);
  await turns(first, 3);
  t.is(s.counters.get('access.slow'), undefined, 'not before their time');
  s.clock.pass(3 * REQUEST.accessSweepMs);
  await Promise.all(slow.map((c) => c.closed));
  t.is(s.counters.get('access.slow'), REQUEST.accessUnattachedLimit - 1);
  t.is(await first.ask('PROBE'), 'PROBEACK');
  t.is(await late.ask('PROBE'), 'PROBEACK');
  t.is(s.edge.goneIds.length, 0, 'the product never heard of them');
});

test('no more connections than there are descriptors for; room comes back when one leaves', async (t) => {
  const s = await stage(t, 3);
  const cs = [await attached(s, 'a'), await attached(s, 'b'), await attached(s, 'c')];
  const d = await s.to();
  await d.closed;
  t.is(s.counters.get('access.full'), 1);
  await turns(cs[0]!, 1);
  cs[1]!.end();
  while (s.edge.goneIds.length === 0) await turns(cs[0]!, 1);
  await turns(cs[0]!, 1);
  await attached(s, 'd');
  t.is(await cs[2]!.ask('PROBE'), 'PROBEACK');
});

test('a flood on one connection: so many in work and no more, each answer with what was asked', async (t) => {
  const s = await stage(t);
  const c = await attached(s, 'u1');
  const other = await attached(s, 'other');
  const N = 3_000;
  const topics = Array.from({ length: N }, (_, i) => `t.${i}`);
  c.send(topics.map((x, i) => (i % 3 ? `ENQUIRE ${x}\r\n` : `PUBLISH ${x} ${i + 1} 2\r\nhi\r\n`)).join(''));
  let seed = SEED;
  const random = (n: number): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
    return Math.floor((seed / 2_147_483_648) * n);
  };
  const waiting: Visited[] = [];
  let seen = 0;
  let served = 0;
  while (served < N) {
    while (seen < s.edge.visits.length) waiting.push(s.edge.visits[seen++]!);
    if (!waiting.length) {
      await turns(other, 1);
      continue;
    }
    // In whatever order: the last first, or one from the middle.
    const [v] = waiting.splice(random(waiting.length), 1) as [Visited];
    const n = Number(v.body.topic.slice(2));
    v.answer({
      status: 200,
      body: v.method === 'Publish' ? { accepted: { offset: 1 } } : { count: n, partial: false },
    });
    if (++served % 500 === 0) await turns(other, 1);
  }
  await c.until((all) => all.length === N + 1);
  t.is(s.edge.mostOpen, REQUEST.accessInFlightLimit);
  const got = c.all.slice(1).map((x) => x.fields.join(' '));
  t.deepEqual([...got].sort(), topics.map((x, i) => (i % 3 ? `TALLY ${x} ${i}` : `ACCEPT ${x} ${i + 1}`)).sort());
  t.deepEqual(
    s.edge.visits.map((v) => v.body.topic),
    topics,
    'asked in the order they came',
  );
});

test('answers about the same go out in the order of the requests, also one that was refused at once', async (t) => {
  const s = await stage(t);
  const c = await attached(s, 'u1');
  c.send(
    'SUBSCRIBE a\r\nUNSUBSCR a\r\nSUBSCRIBE a 5\r\nSUBSCRIBE a x-y\r\nSUBSCRIBE b\r\n' +
      'PUBLISH a 7 2\r\nhi\r\nPUBLISH a 7 2\r\nhi\r\nENQUIRE a\r\nENQUIRE a\r\n',
  );
  const other = await attached(s, 'other');
  while (s.edge.visits.length < 8) await turns(other, 1);
  const [first, left, second, b, try1, try2, count1, count2] = s.edge.visits as [
    Visited,
    Visited,
    Visited,
    Visited,
    Visited,
    Visited,
    Visited,
    Visited,
  ];
  // The later ones of each are done first.
  count2.answer({ status: 200, body: { count: 2, partial: false } });
  try2.answer(well('Publish', {}));
  second.answer(well('Subscribe', second.body));
  left.answer(well('Unsubscribe', {}));
  b.answer(well('Subscribe', { cursor: 9 }));
  t.is(await c.line(), 'CONFIRM SUBSCRIBE b 9', 'what is about another topic waits for nothing');
  await turns(other, 3);
  t.is(c.all.length, 2);
  const lost: ErrorDetails = { tag: 'unknown_conn', step: 's', peer: 'p' };
  first.answer(fault(lost));
  for (const said of [
    'REJECT SUBSCRIBE a - INDETERM',
    'CONFIRM UNSUBSCR a',
    'CONFIRM SUBSCRIBE a 5',
    'REJECT SUBSCRIBE a - MALFORMED',
  ])
    t.is(await c.line(), said);
  try1.answer(fault({ tag: 'outcome_unknown', step: 's', peer: 'p', retryAfterMs: 1 }));
  t.is(await c.line(), 'REJECT PUBLISH a 7 INDETERM');
  t.is(await c.line(), 'ACCEPT a 7');
  count1.answer({ status: 200, body: { count: 1, partial: false } });
  t.is(await c.line(), 'TALLY a 1');
  t.is(await c.line(), 'TALLY a 2');
});

test('a pipeline cut at each byte: whole requests ran once and in order, the rest not at all', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const other = await attached(s, 'other');
  const requests = [
    'SUBSCRIBE a 3\r\n',
    'PUBLISH a 1 4\r\nA\r\nB\r\n',
    'ENQUIRE a\r\n',
    'UNSUBSCR a\r\n',
    'PUBLISH a 2 2\r\nhi\r\n',
  ];
  const methods = ['Subscribe', 'Publish', 'Listeners', 'Unsubscribe', 'Publish'];
  const bytes = requests.join('');
  for (let cut = 0; cut <= bytes.length; cut++) {
    let rest = cut;
    const whole = requests.filter((r) => (rest -= r.length) >= 0).length;
    const before = s.edge.visits.length;
    const goneBefore = s.edge.goneIds.length;
    const c = await attached(s, `u${cut}`);
    const answered = c.until((all) => all.length === 1 + whole);
    c.send(bytes.slice(0, cut));
    await answered;
    c.reset();
    await c.closed;
    while (s.edge.goneIds.length === goneBefore) await turns(other, 1);
    const mine = s.edge.visits.slice(before);
    t.deepEqual(
      mine.map((v) => v.method),
      methods.slice(0, whole),
      `cut at ${cut}`,
    );
    for (const v of mine) if (v.method === 'Publish') t.is(v.body.sender, `u${cut}`);
  }
});

test("a client's name on two connections: each answer goes to the connection that asked, also when the other is gone", async (t) => {
  const s = await stage(t);
  const other = await attached(s, 'other');
  const [old, fresh] = [await attached(s, 'same'), await attached(s, 'same')];
  old.send('PUBLISH a 1 2\r\nhi\r\nENQUIRE a\r\n');
  while (s.edge.visits.length < 2) await turns(other, 1);
  fresh.send('ENQUIRE a\r\nPUBLISH a 1 2\r\nhi\r\n');
  while (s.edge.visits.length < 4) await turns(other, 1);
  const [oldPublish, oldCount, freshCount, freshPublish] = s.edge.visits as [Visited, Visited, Visited, Visited];
  freshCount.answer({ status: 200, body: { count: 2, partial: false } });
  t.is(await fresh.line(), 'TALLY a 2');
  oldCount.answer({ status: 200, body: { count: 1, partial: false } });
  t.is(await old.line(), 'TALLY a 1');
  old.reset();
  await old.closed;
  while (!s.edge.goneIds.length) await turns(other, 1);
  t.is(s.edge.goneIds.length, 1, 'the other connection of that name stays');
  oldPublish.answer(fault({ tag: 'timeout', step: 's', peer: 'p' }));
  await turns(other, 3);
  t.is(fresh.all.length, 2, 'what the old connection asked is nothing to the new one');
  freshPublish.answer(well('Publish', {}));
  t.is(await fresh.line(), 'ACCEPT a 1');
});

test('a connection cut while answers and frames are on their way harms nobody', async (t) => {
  const s = await stage(t);
  const other = await attached(s, 'other');
  for (let i = 0; i < 20; i++) {
    const c = await attached(s, `u${i}`);
    c.send('ENQUIRE a\r\nPUBLISH a 1 2\r\nhi\r\nSUBSCRIBE a\r\nUNSUBSCR a\r\n');
    while (s.edge.visits.length < 4 * (i + 1)) await turns(other, 1);
    const sink = s.edge.sinkOf(`u${i}`);
    const mine = s.edge.visits.slice(-4);
    if (i % 2) {
      c.reset();
      await c.closed;
    } else c.socket.end();
    if (i % 3) while (!s.edge.goneIds.some((id) => id.startsWith(`u${i}/`))) await turns(other, 1);
    sink.write([
      {
        t: 'DELIVER',
        sub: '1',
        msg: { topic: 'a', sender: 'b', seq: 1, offset: 1, body: 'x'.repeat(50_000), bytes: 1 },
      },
    ]);
    for (const v of mine) v.answer(well(v.method, v.body));
    sink.write([{ t: 'CLOSED', reason: 'silent', retryAfterMs: 1 }]);
    sink.close();
    await c.closed;
    while (!s.edge.goneIds.some((id) => id.startsWith(`u${i}/`))) await turns(other, 1);
  }
  t.is(s.edge.goneIds.length, 20, 'the product was told once of each');
  t.is(await other.ask('PROBE'), 'PROBEACK');
});

test('what the product ends is closed behind its last words, also where nobody reads them', async (t) => {
  const s = await stage(t);
  const other = await attached(s, 'other');
  const ends: [string, (sink: Sink) => void][] = [
    [
      'closed',
      (x) => {
        x.write([{ t: 'CLOSED', reason: 'replaced', retryAfterMs: 0 }]);
        x.close();
      },
    ],
    [
      'nowhere to go',
      (x) => {
        x.write([{ t: 'GOAWAY', retryAfterMs: 5 }]);
      },
    ],
    [
      'a subscription that ends by itself',
      (x) => {
        x.write([{ t: 'LEFT', sub: '1', topic: 'a', reason: 'cursor_expired' }]);
      },
    ],
    [
      'a hold that ended',
      (x) => {
        x.write([{ t: 'LEFT', sub: '1', topic: 'a', reason: 'hold_ended' }]);
      },
    ],
  ];
  for (const [what, end] of ends) {
    const c = await attached(s, 'u1');
    const sink = s.edge.sinkOf('u1');
    sink.write([
      { t: 'DELIVER', sub: '1', msg: { topic: 'a', sender: 'b', seq: 1, offset: 9, body: 'last', bytes: 4 } },
    ]);
    end(sink);
    t.is(await c.line(), 'DELIVER a 9 b 1 4 last', what);
    t.is(await c.line(), undefined, what);
    t.is((await c.closed).reset, false, what);
  }
  t.is(s.edge.goneIds.filter((x) => x.startsWith('u1/')).length, ends.length);
  const deaf = await attached(s, 'deaf', { deaf: true });
  while (![...s.edge.sinks.keys()].some((id) => id.startsWith('deaf/'))) await turns(other, 1);
  const sink = s.edge.sinkOf('deaf');
  const msg = { topic: 'a', sender: 'b', seq: 1, offset: 9, body: 'x'.repeat(10_000), bytes: 4 };
  let n = 1;
  for (; sink.write([{ t: 'DELIVER', sub: '1', msg }]); n++) await turns(other, 1);
  sink.close();
  await turns(other, 2);
  t.false(deaf.over);
  s.clock.pass(PROCESS.closeGraceMs);
  deaf.listen();
  await deaf.closed;
  t.true(deaf.all.filter((x) => x.fields[0] === 'DELIVER').length < n, 'what it had not taken by then is given up');
});

test('any bytes at all, in any pieces: answers that can be read, then a close; the listener goes on', async (t) => {
  const s = await stage(t);
  s.edge.at = well;
  const other = await attached(s, 'other');
  const field = fc.oneof(fc.stringMatching(/^[!-~]{1,8}$/), fc.constantFrom('-', '', '7', '20', '99999999'));
  const message = fc.oneof(
    fc
      .tuple(
        fc.constantFrom('ATTACH', 'SUBSCRIBE', 'UNSUBSCR', 'PUBLISH', 'ENQUIRE', 'PROBE', 'X'),
        fc.array(field, { maxLength: 4 }),
      )
      .map(([w, f]) => Buffer.from([w, ...f].join(' ') + '\r\n')),
    fc
      .uint8Array({ maxLength: 60 })
      .map((b) => Buffer.concat([Buffer.from(`PUBLISH a 1 ${b.length}\r\n`), b, Buffer.from('\r\n')])),
    fc.uint8Array({ maxLength: 40 }).map((b) => Buffer.from(b)),
  );
  const messages = fc.array(message, { maxLength: 10 });
  await fc.assert(
    fc.asyncProperty(fc.boolean(), messages, fc.integer({ min: 1, max: 40 }), async (attach, ms, size) => {
      const c = await s.to();
      const b = Buffer.concat([...(attach ? [Buffer.from('ATTACH u\r\n')] : []), ...ms]);
      for (let i = 0; i < b.length; i += size) c.send(b.subarray(i, i + size));
      c.socket.end();
      await c.closed;
      if (c.unreadable !== undefined) throw new Error(`unreadable: ${c.unreadable}`);
      if ((await other.ask('PROBE')) !== 'PROBEACK') throw new Error('another connection is not served');
    }),
    { seed: SEED, numRuns: 150 },
  );
  t.pass();
});
