import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import {
  HarecrossError,
  peerNet,
  type ErrorDetails,
  type Net,
  type NetEvents,
  type TransportLimits,
} from '@harecross/kernel';
import test, { type ExecutionContext } from 'ava';
import { freePorts } from '../process-fleet.js';

const LONG = 60_000;
const fault = (p: Promise<unknown>): Promise<ErrorDetails | 'answered'> =>
  p.then(
    () => 'answered' as const,
    (e: HarecrossError) => e.details,
  );
const tag = async (p: Promise<unknown>): Promise<string> => {
  const f = await fault(p);
  return f === 'answered' ? f : f.tag;
};
const address = async (): Promise<string> => `127.0.0.1:${(await freePorts(1))[0]}`;

/** Counts, and lets a test wait for them. */
class News implements NetEvents {
  readonly lines: string[] = [];
  private waits: (() => void)[] = [];
  count(name: string): void {
    this.lines.push(name);
    for (const w of this.waits.splice(0)) w();
  }
  connectionLost(peer: string): void {
    this.count(`broken ${peer}`);
  }
  async until(name: string): Promise<void> {
    while (!this.lines.includes(name)) await new Promise<void>((r) => this.waits.push(r));
  }
}

type Node = { net: Net; at: string; news: News };
async function node(
  t: ExecutionContext,
  handle: (f: string) => Promise<string>,
  bounds: Partial<TransportLimits> = {},
  at?: string,
): Promise<Node> {
  // A port that the OS called free may be another process's by now: then the next one.
  for (let tries = 0; ; tries++) {
    const self = at ?? (await address());
    const net = peerNet(self, bounds);
    const news = new News();
    try {
      await net.serve(handle, news);
    } catch (e) {
      await net.close();
      if (at === undefined && tries < 10 && (e as { code?: string }).code === 'EADDRINUSE') continue;
      throw e;
    }
    t.teardown(() => net.close());
    return { net, at: self, news };
  }
}

/** A peer that speaks as the test says. */
async function raw(t: ExecutionContext, onSocket: (s: Socket) => void): Promise<{ at: string; server: Server }> {
  const sockets = new Set<Socket>();
  const server = createServer((s) => {
    sockets.add(s);
    s.on('error', () => undefined);
    onSocket(s);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const s of sockets) s.destroy();
    server.close();
  });
  return { at: `127.0.0.1:${(server.address() as { port: number }).port}`, server };
}
function caller(at: string): Socket {
  const s = connect({ host: '127.0.0.1', port: Number(at.split(':')[1]) });
  s.on('error', () => undefined);
  return s;
}
const lines = (s: Socket, on: (l: string) => void): void => {
  let rest = '';
  s.setEncoding('utf8').on('data', (d: string) => {
    const ls = (rest + d).split('\n');
    rest = ls.pop()!;
    ls.forEach(on);
  });
};
const echo = async (f: string): Promise<string> => `<${f}>`;

test('many calls at once: seen in order, answered out of order, each gets its own', async (t) => {
  const seen: string[] = [];
  const held: (() => void)[] = [];
  const b = await node(
    t,
    (f) =>
      new Promise((res) => {
        seen.push(f);
        held.push(() => res(`<${f}>`));
        if (held.length === 200) for (const h of held.reverse()) h();
      }),
  );
  const a = await node(t, echo);
  const asked = Array.from({ length: 200 }, (_, i) => `frame ${i} é\\n`);
  t.deepEqual(
    await Promise.all(asked.map((f) => a.net.call(b.at, f, LONG))),
    asked.map((f) => `<${f}>`),
  );
  t.deepEqual(seen, asked);
  t.is(a.news.lines.filter((l) => l === 'peer.link.opened').length, 1);
});

test('what is said in one turn of the loop is one write, after the greeting', async (t) => {
  const got: string[] = [];
  const p = await raw(t, (s) =>
    s.setEncoding('utf8').on('data', (d: string) => {
      got.push(d);
      for (const l of d.split('\n')) if (/^\d/.test(l)) s.write(`${l}\n`);
    }),
  );
  // No ping of a machine that others use too: an answer that takes 0.7 s would be asked for by one.
  const a = await node(t, echo, { quietMs: LONG });
  await Promise.all([a.net.call(p.at, 'a', LONG), a.net.call(p.at, 'b', LONG)]);
  await Promise.all(
    ['c', 'd', 'e'].map(async (x) => {
      await Promise.resolve();
      return a.net.call(p.at, x, LONG);
    }),
  );
  t.deepEqual(
    got.map((x) => x.replace(/^0 hello \S+ [0-9a-f-]{36} 1$/m, '0 hello WHO')),
    ['harecross-peer/1\n0 hello WHO\n1 a\n2 b\n', '3 c\n4 d\n5 e\n'],
  );
});

test('nobody there: unreachable; a connection that never comes about: unreachable too, and its frames are never sent', async (t) => {
  const patient = await node(t, echo, { connectMs: LONG });
  t.like(await fault(patient.net.call(await address(), 'x', LONG)), { tag: 'unreachable', detail: 'ECONNREFUSED' });
  const a = await node(t, echo, { connectMs: 40 });

  // A listener whose loop stands still and whose queue of new connections is full.
  const gate = new Int32Array(new SharedArrayBuffer(4));
  const w = new Worker(
    `
    const { workerData: gate, parentPort } = require('worker_threads');
    const seen = [];
    const s = require('net').createServer((c) => {
      c.on('error', () => {});
      c.on('data', (d) => { if (String(d).includes('never')) seen.push(String(d)); });
      c.on('close', () => parentPort.postMessage({ seen }));
    });
    s.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
      parentPort.postMessage({ port: s.address().port });
      setImmediate(() => { Atomics.wait(gate, 0, 0); });
    });
  `,
    { eval: true, workerData: gate },
  );
  t.teardown(() => {
    Atomics.store(gate, 0, 1);
    Atomics.notify(gate, 0);
    return w.terminate();
  });
  const [{ port }] = (await once(w, 'message')) as [{ port: number }];
  const at = `127.0.0.1:${port}`;
  const fill: Socket[] = [];
  for (;;) {
    const s = caller(at);
    const up = await Promise.race([
      once(s, 'connect').then(() => true),
      tag(a.net.call(at, 'full?', LONG)).then((x) => x !== 'unreachable'),
    ]);
    if (!up) {
      s.destroy();
      break;
    }
    fill.push(s);
  }
  t.like(await fault(a.net.call(at, 'never', LONG)), { tag: 'unreachable', detail: 'ETIMEDOUT' });
  for (const s of fill) s.destroy();
  Atomics.store(gate, 0, 1);
  Atomics.notify(gate, 0);
  const [{ seen }] = (await once(w, 'message')) as [{ seen: string[] }];
  t.deepEqual(seen, []);
});

test('a reset under a call is a cut, the kernel is told, and the next call has a new connection', async (t) => {
  let n = 0;
  const p = await raw(t, (s) => {
    n++;
    lines(s, (l) => {
      if (l === '1 die') s.resetAndDestroy();
      else if (l.endsWith('live')) s.write(`${l}\n`);
    });
  });
  const a = await node(t, echo);
  t.like(await fault(a.net.call(p.at, 'die', LONG)), { tag: 'cut', peer: p.at, detail: 'ECONNRESET' });
  t.true(a.news.lines.includes(`broken ${p.at}`));
  t.is(await a.net.call(p.at, 'live', LONG), 'live');
  t.is(n, 2);
});

test('half a line and an end: a cut for the caller, nothing for the one who serves', async (t) => {
  const p = await raw(t, (s) => s.on('data', () => s.end('1 hal')));
  const seen: string[] = [];
  const b = await node(t, async (f) => {
    seen.push(f);
    return echo(f);
  });
  t.is(await tag(b.net.call(p.at, 'x', LONG)), 'cut');
  const s = caller(b.at);
  s.end('harecross-peer/1\n1 whole\n2 hal');
  await once(s.resume(), 'close');
  t.deepEqual(seen, ['whole']);
});

test('frames beyond the bound: too_large at once there, a cut for an answer, and the end for a stranger', async (t) => {
  const bounds = { maxFrameBytes: 1_000 };
  const seen: number[] = [];
  const b = await node(
    t,
    async (f) => {
      seen.push(f.length);
      return f === 'much' ? 'y'.repeat(1_001) : 'y'.repeat(1_000);
    },
    bounds,
  );
  const a = await node(t, echo, bounds);
  t.like(await fault(a.net.call(b.at, 'é'.repeat(501), LONG)), { tag: 'too_large', limit: 1_000 });
  t.like(await fault(a.net.call(b.at, 'much', LONG)), { tag: 'cut', detail: 'answer exceeds the frame size limit' });
  t.is((await a.net.call(b.at, 'x'.repeat(1_000), LONG)).length, 1_000);
  const s = caller(b.at);
  s.write(`harecross-peer/1\n1 ${'z'.repeat(1_100)}`);
  await once(s.resume(), 'close');
  t.deepEqual(seen, [4, 1_000]);
  // An answer that is longer than any frame.
  const p = await raw(t, (c) => c.on('data', () => c.write(`1 ${'z'.repeat(1_100)}`)));
  t.like(await fault(a.net.call(p.at, 'x', LONG)), { tag: 'cut', detail: 'malformed line' });
});

test('a large frame goes piece by piece and arrives whole, and small ones behind it in order', async (t) => {
  const order: number[] = [];
  const b = await node(t, async (f) => {
    order.push(f.length);
    return f;
  });
  const a = await node(t, echo);
  const big = 'é'.repeat(3_000_000);
  const got = await Promise.all([
    a.net.call(b.at, 'x', LONG),
    a.net.call(b.at, big, LONG),
    a.net.call(b.at, 'yy', LONG),
  ]);
  t.true(got[1] === big);
  t.deepEqual(order, [1, 3_000_000, 2]);
});

test('garbage ends the connection it came on and harms no other', async (t) => {
  const seen: string[] = [];
  const b = await node(t, async (f) => {
    seen.push(f);
    if (f === 'not a frame') throw new Error('not a frame');
    return echo(f);
  });
  const a = await node(t, echo);
  t.is(await a.net.call(b.at, '1', LONG), '<1>');
  const hello = 'harecross-peer/1\n';
  for (const x of [
    'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
    '\0'.repeat(500),
    'harecross-peer/2\n',
    `${hello}x y\n`,
    `${hello}\n`,
    `${hello}-1 a\n`,
    `${hello}7 not a frame\n`,
  ]) {
    const s = caller(b.at);
    s.write(x);
    await once(s.resume(), 'close');
  }
  t.is(b.news.lines.filter((l) => l === 'peer.link.garbage').length, 7);
  t.is(await a.net.call(b.at, '2', LONG), '<2>');
  t.deepEqual(seen, ['1', 'not a frame', '2']);
  for (const x of ['what\n', 'HTTP/1.1 400 Bad Request\r\n\r\n', '99 never asked\n']) {
    const p = await raw(t, (s) => s.on('data', () => s.write(x)));
    t.like(await fault(a.net.call(p.at, 'x', LONG)), { tag: 'cut', detail: 'malformed line' });
  }
});

test('a stranger that says nothing is shown out', async (t) => {
  const b = await node(t, echo, { connectMs: 10 });
  const s = caller(b.at);
  await once(s.resume(), 'close');
  t.deepEqual(b.news.lines, ['peer.link.garbage']);
});

test('a peer that does not read: what waits for it is bounded, and the rest fails at once', async (t) => {
  const p = await raw(t, (s) => {
    s.pause();
  });
  const a = await node(t, echo, { pendingBytesLimit: 8_000_000, quietMs: LONG });
  const frame = 'x'.repeat(100_000);
  const calls = Array.from({ length: 300 }, () => fault(a.net.call(p.at, frame, LONG)));
  const f = await Promise.race(calls);
  t.like(f, { tag: 'overloaded', peer: p.at });
  t.true(a.news.lines.filter((l) => l === 'peer.link.full').length >= 220);
  await a.net.close();
  const tags = new Set((await Promise.all(calls)).map((x) => (x === 'answered' ? x : x.tag)));
  t.deepEqual([...tags].sort(), ['cut', 'overloaded']);
});

test('a peer that asks and reads no answers is not read from, and what it is owed stays bounded', async (t) => {
  let n = 0;
  const b = await node(
    t,
    async () => {
      n++;
      return 'y'.repeat(100_000);
    },
    { pendingBytesLimit: 30_000_000 },
  );
  const s = caller(b.at);
  s.pause();
  const frames = Array.from({ length: 10_000 }, (_, i) => `${i + 1} x\n`).join('');
  s.write(`harecross-peer/1\n${frames}`);
  await b.news.until('peer.link.unread');
  t.true(n <= 10_000);
  const a = await node(t, echo);
  t.is((await a.net.call(b.at, 'x', LONG)).length, 100_000);
});

test('a peer that restarts at its address is reached by the next call', async (t) => {
  const a = await node(t, echo);
  const b1 = await node(t, async () => 'first');
  t.is(await a.net.call(b1.at, 'x', LONG), 'first');
  await b1.net.close();
  await a.news.until(`broken ${b1.at}`);
  t.is(await tag(a.net.call(b1.at, 'x', LONG)), 'unreachable');
  await node(t, async () => 'second', {}, b1.at);
  t.is(await a.net.call(b1.at, 'x', LONG), 'second');
});

test("a call that timed out is over: its late answer is nobody else's", async (t) => {
  let release: (x: string) => void = () => undefined;
  const b = await node(t, (f) =>
    f === 'slow'
      ? new Promise((res) => {
          release = res;
        })
      : echo(f),
  );
  const a = await node(t, echo);
  t.like(await fault(a.net.call(b.at, 'slow', 20)), { tag: 'timeout', step: 'call', peer: b.at });
  release('late');
  t.is(await a.net.call(b.at, 'next', LONG), '<next>');
  t.is(a.news.lines.filter((l) => l === 'peer.link.opened').length, 1);
});

test('a silent peer: its calls time out long before their limit, it is called anew; slow work at one that lives is waited for', async (t) => {
  let conns = 0;
  const dead = await raw(t, (s) => {
    conns++;
    if (conns === 1) s.resume();
    else
      lines(s, (l) => {
        if (/^\d/.test(l)) s.write(`${l}\n`);
      });
  });
  const a = await node(t, echo, { quietMs: 20 });
  t.like(await fault(a.net.call(dead.at, 'x', LONG)), { tag: 'timeout', peer: dead.at });
  t.true(a.news.lines.includes('peer.link.silent'));
  t.true(a.news.lines.includes(`broken ${dead.at}`));
  t.is(await a.net.call(dead.at, 'x', LONG), 'x');
  t.is(conns, 2);

  let pings = 0;
  const slow = await raw(t, (s) =>
    lines(s, (l) => {
      if (l === '0 ') s.write(++pings === 4 ? '0 \n1 at last\n' : '0 \n');
    }),
  );
  t.is(await a.net.call(slow.at, 'x', LONG), 'at last');
});

test('calls given up one by one do not hide that the peer is silent', async (t) => {
  const dead = await raw(t, (s) => {
    s.resume();
  });
  const a = await node(t, echo, { quietMs: 20 });
  for (;;) {
    t.is(await tag(a.net.call(dead.at, 'x', 5)), 'timeout');
    if (a.news.lines.includes('peer.link.silent')) break;
  }
  t.pass();
});

test('closing ends what is under way, after the last words are out', async (t) => {
  const seen: string[] = [];
  const b = await node(t, (f) => {
    seen.push(f);
    return f === 'last words' ? echo(f) : new Promise<string>(() => undefined);
  });
  const a = await node(t, echo);
  const under = fault(a.net.call(b.at, 'held', LONG));
  t.is(await a.net.call(b.at, 'last words', LONG), '<last words>');
  const last = fault(a.net.call(b.at, 'bye', LONG));
  await a.net.close();
  t.like(await under, { tag: 'cut', detail: 'closed locally' });
  t.like(await last, { tag: 'cut', detail: 'closed locally' });
  t.is(await tag(a.net.call(b.at, 'after', LONG)), 'cut');
  await b.net.close();
  t.deepEqual(seen, ['held', 'last words', 'bye']);
});

test('numbers of one connection only rise: a line that comes twice ends it, and runs once', async (t) => {
  const seen: string[] = [];
  const b = await node(t, async (f) => {
    seen.push(f);
    return echo(f);
  });
  const s = caller(b.at);
  s.write('harecross-peer/1\n5 once\n5 once\n');
  await once(s.resume(), 'close');
  t.deepEqual(seen, ['once']);
  t.true(b.news.lines.includes('peer.link.garbage'));
});

test('an answer to a number of an earlier connection is no answer on this one', async (t) => {
  let n = 0;
  const p = await raw(t, (s) => {
    n++;
    lines(s, (l) => {
      if (l.endsWith('die')) s.resetAndDestroy();
      else if (l.endsWith('ask')) s.write('1 of the call before\n');
    });
  });
  const a = await node(t, echo);
  t.is(await tag(a.net.call(p.at, 'die', LONG)), 'cut');
  t.like(await fault(a.net.call(p.at, 'ask', LONG)), { tag: 'cut', detail: 'malformed line' });
  t.is(n, 2);
});

test('a call that waited for one process never goes to another at its address', async (t) => {
  let connections = 0;
  const seen: string[] = [];
  const p = await raw(t, (s) => {
    const instance = `process-${++connections}`;
    s.on('data', (d) => {
      if (String(d).includes('big ')) s.resetAndDestroy();
    });
    lines(s, (l) => {
      if (l.startsWith('0 hello')) s.write(`0 hello ${p.at} ${instance} 0\n`);
      else if (/^[1-9]\d* /.test(l)) {
        seen.push(`${instance} ${l.replace(/^\d+ /, '')}`);
        s.write(`${l}\n`);
      }
    });
  });
  const a = await node(t, echo);
  t.is(await a.net.call(p.at, 'first', LONG), 'first');
  // The large frame fills the way out, so that the one behind it is not written when the connection breaks.
  const big = fault(a.net.call(p.at, `big ${'x'.repeat(30_000_000)}`, LONG));
  const behind = new Promise<ErrorDetails | 'answered'>((res) =>
    setImmediate(() => void fault(a.net.call(p.at, 'behind', LONG)).then(res)),
  );
  t.like(await big, { tag: 'cut' });
  t.like(await behind, { tag: 'unreachable', detail: 'the address now belongs to another process' });
  t.is(await a.net.call(p.at, 'anew', LONG), 'anew');
  t.deepEqual(seen, ['process-1 first', 'process-2 anew']);
});

test('once a new process introduces itself, nothing more of the earlier one at its address is run', async (t) => {
  const seen: string[] = [];
  const b = await node(t, async (f) => {
    seen.push(f);
    return echo(f);
  });
  const old = caller(b.at);
  const answered = new Promise<void>((res) => lines(old, (l) => l.startsWith('1 ') && res()));
  old.write('harecross-peer/1\n0 hello 10.1.0.4:7100 first 9\n1 before\n');
  await answered;
  const next = caller(b.at);
  next.write('harecross-peer/1\n0 hello 10.1.0.4:7100 second 1\n1 after\n');
  await once(old, 'close');
  t.true(b.news.lines.includes('peer.link.superseded'));
  await new Promise<void>((res) => lines(next, (l) => l.startsWith('1 ') && res()));
  t.deepEqual(seen, ['before', 'after']);
});

test('what a connection still carries when its caller has opened the next one is not run, in whatever order they introduce themselves', async (t) => {
  const seen: string[] = [];
  const b = await node(t, async (f) => {
    seen.push(f);
    return echo(f);
  });
  const said = (s: Socket): Promise<void> => new Promise((res) => lines(s, (l) => l.startsWith('1 ') && res()));
  const newer = caller(b.at);
  const answered = said(newer);
  newer.write('harecross-peer/1\n0 hello 10.1.0.4:7100 same 2\n1 of the newer\n');
  await answered;
  const late = caller(b.at);
  late.write('harecross-peer/1\n0 hello 10.1.0.4:7100 same 1\n1 given up long ago\n');
  await once(late.resume(), 'close');
  const newest = caller(b.at);
  newest.write('harecross-peer/1\n0 hello 10.1.0.4:7100 same 3\n1 of the newest\n');
  await Promise.all([once(newer, 'close'), said(newest)]);
  t.deepEqual(seen, ['of the newer', 'of the newest']);
});
