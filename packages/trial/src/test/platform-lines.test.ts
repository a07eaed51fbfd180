import { Quota, RequestReader, deliver, line, reject, type Read, type ReadLimits } from '@harecross/platform/lines';
import test from 'ava';
import fc from 'fast-check';

const SEED = 20_261;
const LIMITS: ReadLimits = { lineBytes: 64, bodyBytes: 200, skipBytes: 400 };
const RUNS = 400;

type Reader = Pick<RequestReader, 'push' | 'read' | 'held' | 'end'>;
type Make = (limits: ReadLimits, room: Quota) => Reader;
const real: Make = (limits, room) => new RequestReader(limits, room);

/** All that a reader makes of these pieces. */
function readAll(
  pieces: Buffer[],
  make: Make = real,
  limits = LIMITS,
  room = new Quota(1e9),
): { out: Read[]; held: number; most: number } {
  const r = make(limits, room);
  const out: Read[] = [];
  let most = 0;
  for (const p of pieces) {
    r.push(p);
    for (let x = r.read(); x; x = r.read()) out.push(x);
    most = Math.max(most, r.held);
  }
  return { out, held: r.held, most };
}
const told = (s: string | Buffer, make?: Make): Read[] => readAll([Buffer.from(s)], make).out;
const shown = (r: Read): string => {
  switch (r.tag) {
    case 'request':
      return JSON.stringify(Object.values(r.request));
    case 'refused':
      return reject(r.replyTo, r.topic, r.sequence, r.cause).trim();
    case 'unreadable':
      return `${reject(r.replyTo, '', '', r.cause).trim()}, and the end`;
  }
};

test('every word of clients, as the pages write it', (t) => {
  const said: [string, Read][] = [
    ['ATTACH u1fx3a9c\r\n', { tag: 'request', request: { word: 'ATTACH', client: 'u1fx3a9c' } }],
    [
      'SUBSCRIBE kafi810.2f\r\n',
      { tag: 'request', request: { word: 'SUBSCRIBE', topic: 'kafi810.2f', position: '-' } },
    ],
    [
      'SUBSCRIBE kafi810.2f c-18\r\n',
      { tag: 'request', request: { word: 'SUBSCRIBE', topic: 'kafi810.2f', position: 'c-18' } },
    ],
    [
      'PUBLISH kafi810.2f 7 20\r\npkadmblcfeoaihgnabcd\r\n',
      { tag: 'request', request: { word: 'PUBLISH', topic: 'kafi810.2f', sequence: 7, body: 'pkadmblcfeoaihgnabcd' } },
    ],
    ['UNSUBSCR kafi810.2f\r\n', { tag: 'request', request: { word: 'UNSUBSCR', topic: 'kafi810.2f' } }],
    ['ENQUIRE kafi810.2f\r\n', { tag: 'request', request: { word: 'ENQUIRE', topic: 'kafi810.2f' } }],
    ['PROBE\r\n', { tag: 'request', request: { word: 'PROBE' } }],
  ];
  for (const [s, want] of said) t.deepEqual(told(s), [want], s);
  t.deepEqual(
    told(said.map(([s]) => s).join('')),
    said.map(([, w]) => w),
    'one behind the other',
  );
});

test('every word of ours, as the pages write it', (t) => {
  t.is(line('CONFIRM', 'ATTACH'), 'CONFIRM ATTACH\r\n');
  t.is(line('CONFIRM', 'ATTACH', '', ''), 'CONFIRM ATTACH\r\n', 'trailing empty fields are left out');
  t.is(reject('ATTACH', '', '', 'CONGEST'), 'REJECT ATTACH - - CONGEST\r\n');
  t.is(line('CONFIRM', 'SUBSCRIBE', 'kafi810.2f', '17'), 'CONFIRM SUBSCRIBE kafi810.2f 17\r\n');
  t.is(
    line('CONFIRM', 'SUBSCRIBE', 'kafi810.2f', '0'),
    'CONFIRM SUBSCRIBE kafi810.2f 0\r\n',
    'the cursor before the first message',
  );
  t.is(reject('SUBSCRIBE', 'kafi810.2f', '', 'EXPIRED'), 'REJECT SUBSCRIBE kafi810.2f - EXPIRED\r\n');
  t.is(line('ACCEPT', 'kafi810.2f', '7'), 'ACCEPT kafi810.2f 7\r\n');
  t.is(reject('PUBLISH', 'kafi810.2f', '7', 'INDETERM'), 'REJECT PUBLISH kafi810.2f 7 INDETERM\r\n');
  t.is(
    deliver({ topic: 'kafi810.2f', offset: 18, sender: 'u1fx3a9c', seq: 7, body: 'pkadmblcfeoaihgnabcd' }),
    'DELIVER kafi810.2f 18 u1fx3a9c 7 20\r\npkadmblcfeoaihgnabcd\r\n',
  );
  t.is(
    deliver({ topic: 'a', offset: 1, sender: 'b', seq: 2, body: 'é€𝄞' }),
    'DELIVER a 1 b 2 9\r\né€𝄞\r\n',
    'a length is in bytes',
  );
  t.is(line('CONFIRM', 'UNSUBSCR', 'kafi810.2f'), 'CONFIRM UNSUBSCR kafi810.2f\r\n');
  t.is(line('TALLY', 'kafi810.2f', '12'), 'TALLY kafi810.2f 12\r\n');
  t.is(line('PROBEACK'), 'PROBEACK\r\n');
  t.is(line('REDIRECT', '10.1.0.7:8000'), 'REDIRECT 10.1.0.7:8000\r\n');
});

test('what cannot be taken has a clear answer, and what follows is read', (t) => {
  const said: [string, string][] = [
    ['SING a\r\n', 'REJECT - - - MALFORMED'],
    ['attach u\r\n', 'REJECT - - - MALFORMED'],
    ['\r\n', 'REJECT - - - MALFORMED'],
    [' PROBE\r\n', 'REJECT - - - MALFORMED'],
    ['toString x\r\n', 'REJECT - - - MALFORMED'],
    ['ATTACH\r\n', 'REJECT ATTACH - - MALFORMED'],
    ['ATTACH -\r\n', 'REJECT ATTACH - - MALFORMED'],
    ['ATTACH  \r\n', 'REJECT ATTACH - - MALFORMED'],
    ['ATTACH a b c\r\n', 'REJECT ATTACH - - MALFORMED'],
    ['SUBSCRIBE\r\n', 'REJECT SUBSCRIBE - - MALFORMED'],
    ['SUBSCRIBE t \r\n', 'REJECT SUBSCRIBE t - MALFORMED'],
    ['SUBSCRIBE t 1 2\r\n', 'REJECT SUBSCRIBE t - MALFORMED'],
    ['UNSUBSCR\r\n', 'REJECT UNSUBSCR - - MALFORMED'],
    ['UNSUBSCR t u\r\n', 'REJECT UNSUBSCR t - MALFORMED'],
    ['ENQUIRE -\r\n', 'REJECT ENQUIRE - - MALFORMED'],
    ['PROBE 1\r\n', 'REJECT PROBE 1 - MALFORMED'],
    ['PUBLISH t 1 201\r\n' + 'x'.repeat(201) + '\r\n', 'REJECT PUBLISH t 1 OVERSIZE'],
    ['PUBLISH t 1 400\r\n' + 'x'.repeat(400) + '\r\n', 'REJECT PUBLISH t 1 OVERSIZE'],
    ['PUBLISH - 1 3\r\nabc\r\n', 'REJECT PUBLISH - 1 MALFORMED'],
    ['PUBLISH t -1 3\r\nabc\r\n', 'REJECT PUBLISH t - MALFORMED'],
    ['PUBLISH t 1e3 3\r\nabc\r\n', 'REJECT PUBLISH t - MALFORMED'],
    ['PUBLISH t 1234567890123456 3\r\nabc\r\n', 'REJECT PUBLISH t - MALFORMED'],
  ];
  for (const [s, want] of said) {
    t.deepEqual(told(s + 'PROBE\r\n').map(shown), [want, '["PROBE"]'], JSON.stringify(s));
    // The same where every byte comes by itself.
    t.deepEqual(
      readAll([...Buffer.from(s + 'PROBE\r\n')].map((b) => Buffer.from([b]))).out.map(shown),
      [want, '["PROBE"]'],
      JSON.stringify(s),
    );
  }
  const bytes = Buffer.from('PUBLISH t 1 2\r\n\xff\xfe\r\nPROBE\r\n', 'latin1');
  t.deepEqual(told(bytes).map(shown), ['REJECT PUBLISH t 1 MALFORMED', '["PROBE"]'], 'a body that is no text');
});

test('bytes after which nobody can say where the next line begins: one answer, and nothing more is read', (t) => {
  const said: [string, string][] = [
    ['PROBE\n', 'REJECT - - - MALFORMED'],
    ['\n', 'REJECT - - - MALFORMED'],
    ['PRO\x00BE\r\n', 'REJECT - - - MALFORMED'],
    ['SUBSCRIBE é\r\n', 'REJECT - - - MALFORMED'],
    ['PROBE\t\r\n', 'REJECT - - - MALFORMED'],
    ['x'.repeat(65), 'REJECT - - - OVERSIZE'],
    ['x'.repeat(65) + '\r\n', 'REJECT - - - OVERSIZE'],
    ['PUBLISH t 1\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['PUBLISH t 1 x\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['PUBLISH t 1 -3\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['PUBLISH t 1 3 4\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['PUBLISH t 1 401\r\n', 'REJECT PUBLISH - - OVERSIZE'],
    ['PUBLISH t 1 999999999999999\r\n', 'REJECT PUBLISH - - OVERSIZE'],
    ['PUBLISH t 1 3\r\nabcd\r\n', 'REJECT PUBLISH - - MALFORMED'],
    ['PUBLISH t 1 3\r\nab\r\n\r\n', 'REJECT PUBLISH - - MALFORMED'],
  ];
  for (const [s, want] of said) {
    t.deepEqual(
      told('PROBE\r\n' + s + 'PROBE\r\nPROBE\r\n').map(shown),
      ['["PROBE"]', `${want}, and the end`],
      JSON.stringify(s),
    );
    const each = readAll([...Buffer.from(s + 'PROBE\r\n', 'utf8')].map((b) => Buffer.from([b])));
    t.deepEqual(each.out.map(shown), [`${want}, and the end`], JSON.stringify(s));
    t.is(each.held, 0, 'nothing is kept');
  }
});

test('bodies in pieces take room from what all connections have together, and give it back', (t) => {
  const room = new Quota(150);
  const [a, b] = [real(LIMITS, room), real(LIMITS, room)];
  a.push(Buffer.from('PUBLISH t 1 100\r\nxx'));
  t.is(a.read(), undefined);
  t.is(room.used, 100);
  b.push(Buffer.from('PUBLISH t 2 100\r\nxx'));
  t.is(shown(b.read()!), 'REJECT PUBLISH t 2 INDETERM', 'no promise: an earlier try may have been taken');
  b.push(Buffer.from('x'.repeat(98) + '\r\nPUBLISH t 3 120\r\n' + 'y'.repeat(120) + '\r\n'));
  t.is(shown(b.read()!), `["PUBLISH","t",3,"${'y'.repeat(120)}"]`, 'one that is there whole needs no room');
  a.push(Buffer.from('x'.repeat(98) + '\r\n'));
  t.is(a.read()!.tag, 'request');
  t.is(room.used, 0, 'given back when it is whole');
  a.push(Buffer.from('PUBLISH t 1 100\r\nxx'));
  a.read();
  a.end();
  t.is(room.used, 0, 'given back at the end');
  b.push(Buffer.from('PUBLISH t 1 3\r\nab'));
  b.read();
  b.push(Buffer.from('zz\r\n'));
  t.is(b.read()!.tag, 'unreadable');
  t.is(room.used, 0, 'given back when it cannot be read');
});

// --- properties ---

const word = fc.constantFrom('ATTACH', 'SUBSCRIBE', 'UNSUBSCR', 'PUBLISH', 'ENQUIRE', 'PROBE', 'SING');
const field = fc.oneof(
  fc.stringMatching(/^[!-~]{1,12}$/),
  fc.constantFrom('-', '', '0', '7', '20', '199', '300', '1e3', '-1'),
);
/** Messages that are right, nearly right, and anything. */
const message: fc.Arbitrary<Buffer> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc
      .tuple(word, fc.array(field, { maxLength: 4 }))
      .map(([w, f]) => Buffer.from([w, ...f].join(' ') + '\r\n')),
  },
  {
    weight: 6,
    arbitrary: fc
      .tuple(
        fc.stringMatching(/^[!-~]{1,9}$/),
        fc.nat(1000),
        fc.uint8Array({ maxLength: 260 }),
        fc.constantFrom(0, 0, 0, 1, -1),
      )
      .map(([topic, n, body, off]) =>
        Buffer.concat([
          Buffer.from(`PUBLISH ${topic} ${n} ${Math.max(0, body.length + off)}\r\n`),
          body,
          Buffer.from('\r\n'),
        ]),
      ),
  },
  { weight: 1, arbitrary: fc.uint8Array({ maxLength: 100 }).map((b) => Buffer.from(b)) },
);
const stream = fc.array(message, { maxLength: 12 }).map((ms) => Buffer.concat(ms));

/** Cut at these places, given as shares of the whole. */
const cutAt = (b: Buffer, at: number[]): Buffer[] => {
  const places = [...new Set(at.map((x) => Math.floor(x * b.length)))].sort((x, y) => x - y);
  return [0, ...places].map((from, i) => b.subarray(from, places[i] ?? b.length));
};
/** A line, or a body, that never ends. */
const endless = fc
  .tuple(fc.constantFrom('', 'PUBLISH t 1 ', 'PUBLISH t 1 300\r\n'), fc.integer({ min: 300, max: 900 }))
  .map(([s, n]) => Buffer.from(s + '7'.repeat(n)));
const share = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

/** What must hold for a reader, given whatever bytes in whatever pieces. */
const splitsAlike = (make: Make) =>
  fc.property(stream, fc.array(share, { maxLength: 30 }), (b, at) => {
    const whole = JSON.stringify(readAll([b], make).out);
    const each = [...b].map((x) => Buffer.from([x]));
    return [cutAt(b, at), each].every((pieces) => JSON.stringify(readAll(pieces, make).out) === whole);
  });
const noise = fc.uint8Array({ maxLength: 2_000 }).map((b) => Buffer.from(b));
const holdsLittle = (make: Make) =>
  fc.property(fc.oneof(stream, noise, endless), (b) => {
    const room = new Quota(1e9);
    const one = readAll(
      [...b].map((x) => Buffer.from([x])),
      make,
      LIMITS,
      room,
    );
    const bound = Math.max(LIMITS.lineBytes, LIMITS.bodyBytes + 2);
    const ends = one.out.filter((r) => r.tag === 'unreadable').length;
    // At most one end, the last word; nothing is held or taken after it.
    return (
      one.most <= bound &&
      ends <= 1 &&
      (ends === 0 || (one.out.at(-1)!.tag === 'unreadable' && one.held === 0 && room.used === 0)) &&
      room.used <= LIMITS.bodyBytes &&
      readAll([b], make).held <= bound
    );
  });
const text = fc.string({ unit: 'binary', maxLength: 60 });
const bodiesKept = (make: Make) =>
  fc.property(text, fc.nat(10 ** 9), fc.array(share, { maxLength: 6 }), (body, n, at) => {
    const length = Buffer.byteLength(body);
    const b = Buffer.from(`PUBLISH t ${n} ${length}\r\n${body}\r\nPROBE\r\n`);
    const { out } = readAll(cutAt(b, at), make, { ...LIMITS, bodyBytes: 1_000 });
    const r = out[0];
    return (
      out.length === 2 &&
      r?.tag === 'request' &&
      r.request.word === 'PUBLISH' &&
      r.request.sequence === n &&
      Buffer.from(r.request.body).equals(Buffer.from(body)) &&
      r.request.body === body
    );
  });
/** A message as written by us, read by the rules of the pages: a line, and as many bytes as it says. */
const writtenWell = (write: typeof deliver) =>
  fc.property(text, fc.nat(), fc.nat(), (body, offset, seq) => {
    const b = Buffer.from(write({ topic: 't', offset, sender: 's', seq, body }));
    const end = b.indexOf('\r\n');
    const fields = b.toString('latin1', 0, end).split(' ');
    const n = Number(fields[5]);
    return (
      fields.slice(0, 5).join(' ') === `DELIVER t ${offset} s ${seq}` &&
      b.length === end + 2 + n + 2 &&
      b.toString('utf8', end + 2, end + 2 + n) === body &&
      b.toString('latin1', b.length - 2) === '\r\n'
    );
  });
/** A request that somebody writes by the rules of lines comes out as it went in. */
const writtenRead = (make: Make) =>
  fc.property(
    fc.array(
      fc.tuple(
        fc.constantFrom('SUBSCRIBE', 'UNSUBSCR', 'ENQUIRE', 'ATTACH'),
        fc.stringMatching(/^[!-,.-~][!-~]{0,12}$/),
        fc.constantFrom('', 'c-1', '17'),
      ),
      { maxLength: 8 },
    ),
    (xs) => {
      const said = xs.map(([w, a, p]) => (w === 'SUBSCRIBE' ? line(w, a, p) : line(w, a))).join('');
      const { out } = readAll([Buffer.from(said)], make);
      return (
        JSON.stringify(out.map((r) => (r.tag === 'request' ? Object.values(r.request) : r))) ===
        JSON.stringify(xs.map(([w, a, p]) => (w === 'SUBSCRIBE' ? [w, a, p || '-'] : [w, a])))
      );
    },
  );

const holds = <T>(p: fc.IProperty<T>): boolean => !fc.check(p, { seed: SEED, numRuns: RUNS }).failed;
const must = <T>(p: fc.IProperty<T>): void => fc.assert(p, { seed: SEED, numRuns: RUNS });

test('however the bytes are cut, the same is read', (t) => {
  must(splitsAlike(real));
  t.pass();
});
test('whatever comes, nothing is thrown and no more than a line and a body is held', (t) => {
  must(holdsLittle(real));
  t.pass();
});
test('a body comes out byte for byte', (t) => {
  must(bodiesKept(real));
  t.pass();
});
test('what we write can be read by the rules of the pages', (t) => {
  must(writtenWell(deliver));
  must(writtenRead(real));
  t.pass();
});

test('the checks see planted faults', (t) => {
  const planted =
    (x: { push(this: RequestReader, c: Buffer): void }): Make =>
    (l, room) =>
      Object.assign(new RequestReader(l, room), x);
  const base = RequestReader.prototype;
  // A reader that loses what was left of the last piece when a line was cut just before its end.
  const losesCr = planted({
    push(c) {
      base.push.call(this, c.length === 1 && c[0] === 10 ? Buffer.from('\r\n') : c);
    },
  });
  t.false(holds(splitsAlike(losesCr)), "mis-splits at a line's end");
  const dropsOne = planted({
    push(c) {
      base.push.call(this, this.held > 0 && c.length > 3 ? c.subarray(1) : c);
    },
  });
  t.false(holds(splitsAlike(dropsOne)), 'loses a byte between two pieces');
  t.false(holds(bodiesKept(dropsOne)), 'loses a byte of a body');
  const unbounded: Make = (l, room) => new RequestReader({ ...l, lineBytes: 1e9 }, room);
  t.false(holds(holdsLittle(unbounded)), 'holds a line of any length');
  const hoards: Make = (l, room) => new RequestReader({ ...l, bodyBytes: 1e9, skipBytes: 1e9 }, room);
  t.false(holds(holdsLittle(hoards)), 'holds a body of any length');
  const keepsRoom: Make = (l, room) => new RequestReader(l, { take: (n) => room.take(n), give: () => undefined });
  t.false(holds(holdsLittle(keepsRoom)), 'never gives room back');
  const throws = planted({
    push(c) {
      if (c.includes(0xff)) throw new Error('bad byte');
      base.push.call(this, c);
    },
  });
  t.false(holds(holdsLittle(throws)), 'throws on some bytes');
  t.false(holds(writtenWell((m) => deliver(m).replace(/ \d+\r\n/, ` ${m.body.length}\r\n`))), 'a length in characters');
  t.false(holds(writtenWell((m) => deliver({ ...m, body: m.body.trimEnd() }))), 'a body that was trimmed');
});
