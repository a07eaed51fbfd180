import { spawn } from 'node:child_process';
import {
  copyFileSync,
  mkdtempSync,
  readdirSync,
  rmSync,
  truncateSync,
  fdatasyncSync,
  writeFileSync,
  statSync,
  openSync,
  writeSync,
  closeSync,
  readFileSync,
  readSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { openDatabase, realClock, type Log } from '@harecross/kernel';
import { emptyReplica, lastIdx, NO_FENCE, DurableState, type Entry } from '@harecross/state';
import test from 'ava';
import { seededRandom } from '../sim.js';

const folder = (): string => mkdtempSync(join(tmpdir(), 'harecross-disk-'));
const told: string[] = [];
const log: Log = {
  info: () => undefined,
  warn: (l) => {
    told.push(l);
  },
};
const entry = (idx: number): Entry => ({
  idx,
  fence: '1',
  topic: 't',
  off: idx,
  era: 1,
  sender: 's',
  seq: idx,
  body: `${idx}:`.padEnd(500, 'x'),
  at: 1_000 + idx,
});

async function filled(dir: string): Promise<void> {
  const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
  const st = new DurableState(db);
  st.init();
  await db.commit(() => {
    st.set('disk', 'd1');
    const c = emptyReplica(3);
    st.savePromise(c, '1');
    for (let i = 1; i <= 400; i++) st.appendEntry(c, entry(i));
    st.trim(c, 100, 0);
    st.truncateFrom(c, 391);
  });
  db.close();
}

test('what was committed is there again: promise, base, entries, cut tail', async (t) => {
  const dir = folder();
  await filled(dir);
  const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
  const st = new DurableState(db);
  st.init();
  const c = st.loadReplicas(9_000).get(3)!;
  t.is(st.get('disk'), 'd1');
  t.is(c.promised, '1');
  t.is(c.base.idx, 100);
  t.deepEqual(st.reader.base(3).topics.get('t'), { head: 100, since: 1, era: 1 });
  // The newest entry on the disk is entry 400, received at 1400: ages continue from there.
  t.deepEqual(st.reader.base(3).senders.get('t\ns'), { seq: 100, off: 100, at: 9_000 - 290 });
  t.is(lastIdx(c), 390);
  const [first] = st.reader.entries(3, 101, { entries: 1, bytes: Infinity });
  t.deepEqual(first, { ...entry(101), at: 9_000 - 289 }, 'its age continues');
  db.close();
  rmSync(dir, { recursive: true });
});

for (const [what, damage] of [
  ['overwritten', (f: string) => writeFileSync(f, 'not a database, by far'.repeat(300))],
  ['cut short', (f: string) => truncateSync(f, Math.floor(statSync(f).size / 2))],
  [
    'changed in the middle',
    (f: string) => {
      const h = openSync(f, 'r+');
      writeSync(h, Buffer.alloc(8_192, 0xa5), 0, 8_192, 8_192);
      closeSync(h);
    },
  ],
] as const) {
  test.serial(`a database file that was ${what} is noticed, moved aside and begun anew`, async (t) => {
    const dir = folder();
    await filled(dir);
    damage(join(dir, 'state.db'));
    told.length = 0;
    const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
    const st = new DurableState(db);
    st.init();
    t.is(st.get('disk'), undefined, 'a new disk');
    t.is(st.loadReplicas(0).size, 0);
    t.regex(told.join('\n'), /is damaged .* kept as/);
    t.true(readdirSync(dir).some((f) => f.includes('.damaged-')));
    db.close();
    rmSync(dir, { recursive: true });
  });
}

test.serial('a folder that cannot be written is an error with its reason', (t) => {
  const dir = folder();
  writeFileSync(join(dir, 'file'), '');
  t.throws(() => openDatabase(join(dir, 'file'), realClock, log, () => undefined, '127.0.0.1:1'), {
    message: /EEXIST|ENOTDIR|not a directory/,
  });
  rmSync(dir, { recursive: true });
});

test.serial('work in one moment shares a sync; a fault rejects it all and is told once', async (t) => {
  const dir = folder();
  const faults: string[] = [];
  const db = openDatabase(dir, realClock, log, (e) => faults.push(e.message), '127.0.0.1:1');
  const st = new DurableState(db);
  st.init();
  await Promise.all(Array.from({ length: 20 }, (_, i) => db.commit(() => st.set(`k${i}`, 'v'))));
  t.is(db.commits, 1);
  db.sql.pragma(`max_page_count = ${Number(db.sql.pragma('page_count', { simple: true }))}`);
  const works = [db.commit(() => st.set('a', 'v')), db.commit(() => st.set('big', 'x'.repeat(1_000_000)))];
  for (const w of works)
    t.is(((await t.throwsAsync(w)) as unknown as { details: { tag: string } }).details.tag, 'disk_ill');
  t.is(faults.length, 1);
  t.is(st.get('a'), undefined, 'nothing of it lasts');
  db.sql.close();
  rmSync(dir, { recursive: true });
});

/** A folder whose database was left by a kill: the log holds commits of one entry each, and the file is behind it. */
async function killed(entries: number): Promise<string> {
  const dir = folder();
  const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
  const st = new DurableState(db);
  st.init();
  const c = emptyReplica(3);
  await db.commit(() => {
    st.set('disk', 'd1');
    st.savePromise(c, '1');
  });
  for (let i = 1; i <= entries; i++) await db.commit(() => st.appendEntry(c, entry(i)));
  const left = folder();
  for (const x of ['', '-wal']) copyFileSync(join(dir, `state.db${x}`), join(left, `state.db${x}`));
  db.close();
  rmSync(dir, { recursive: true });
  return left;
}
const flip = (file: string, at: number): void => {
  const h = openSync(file, 'r+');
  const b = Buffer.alloc(1);
  readSync(h, b, 0, 1, at);
  writeSync(h, Buffer.from([b[0]! ^ 0x10]), 0, 1, at);
  closeSync(h);
};
const open = (dir: string): { disk: string | undefined; last: number; db: ReturnType<typeof openDatabase> } => {
  told.length = 0;
  const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
  const st = new DurableState(db);
  st.init();
  const c = st.loadReplicas(0).get(3);
  return { disk: st.get('disk'), last: c ? lastIdx(c) : 0, db };
};

test.serial(
  'what was answered is on the disk when the power goes, whatever else is, and only one commit is on its way there',
  async (t) => {
    const dir = folder();
    // What the last sync of each file that ended had found: all that a loss of power surely leaves of it.
    const safe = new Map<string, Buffer>();
    let held: (() => void) | undefined;
    let file = '';
    let whenHeld = (): void => {};
    const db = openDatabase(
      dir,
      realClock,
      log,
      () => undefined,
      '127.0.0.1:1',
      (fd, f) => {
        const found = readFileSync(f);
        return new Promise((res) => {
          file = f;
          held = () => {
            fdatasyncSync(fd);
            safe.set(f, found);
            held = undefined;
            res();
          };
          whenHeld();
        });
      },
    );
    const [main, wal] = [join(dir, 'state.db'), join(dir, 'state.db-wal')];
    t.is(db.sql.pragma('journal_mode', { simple: true }), 'wal');
    t.is(db.sql.pragma('locking_mode', { simple: true }), 'exclusive');
    const st = new DurableState(db);
    st.init();
    // The tables are durable when `init` returns.
    for (const f of [main, wal]) safe.set(f, readFileSync(f));
    const c = emptyReplica(3);
    let answered = 0;
    let n = 0;
    const write = (k: number): void => {
      for (let i = 0; i < k; i++) {
        const idx = ++n;
        void db
          .commit(() => {
            if (idx === 1) st.savePromise(c, '1');
            st.appendEntry(c, entry(idx));
            if (idx % 97 === 0) st.trim(c, idx - 60, 0);
          })
          .then(() => {
            answered = Math.max(answered, idx);
          });
      }
    };
    const turns = async (): Promise<void> => {
      for (let i = 0; i < 5; i++) await new Promise((r) => setImmediate(r));
    };
    /** A file of which each block, and its cut, is as it was synced last or as it was made since. */
    const random = seededRandom(7);
    const mixed = (f: string, lost: number): Buffer => {
      const [synced, is] = [safe.get(f)!, readFileSync(f)];
      const was = random.next() < lost ? synced : synced.subarray(0, is.length);
      const out = Buffer.alloc(Math.max(was.length, is.length));
      was.copy(out);
      let length = was.length;
      for (let at = 0; at < is.length; at += 4_096) {
        if (random.next() < lost) continue;
        is.copy(out, at, at, at + 4_096);
        length = Math.max(length, Math.min(is.length, at + 4_096));
      }
      return out.subarray(0, length);
    };
    /** The power goes now. */
    const outage = (): void => {
      for (const [m, w] of [
        [0, 0],
        [1, 0],
        [0, 1],
        [1, 1],
        [0.5, 0.5],
        [0.5, 0.1],
        [0.1, 0.9],
        [0.9, 0.5],
      ] as const) {
        const copy = folder();
        for (const [f, lost] of [
          [main, m],
          [wal, w],
        ] as const)
          writeFileSync(join(copy, basename(f)), mixed(f, lost));
        const o = open(copy);
        t.deepEqual(told, []);
        t.true(o.last >= answered, `${o.last} lasts, ${answered} was answered; lost of the file ${m}, of the log ${w}`);
        o.db.close();
        rmSync(copy, { recursive: true });
      }
    };
    const written = (): Buffer => Buffer.concat([readFileSync(main), readFileSync(wal)]);
    let backs = 0;
    let since = 0;
    write(40);
    for (let round = 1; backs < 3 && round < 1_000; round++) {
      if (held === undefined)
        await new Promise<void>((res) => {
          whenHeld = res;
        });
      if (file === main) {
        backs++;
        since = 0;
      }
      const [was, before] = [answered, written()];
      write(40);
      await turns();
      t.is(answered, was, 'nothing is answered while it is on its way');
      t.true(written().equals(before), 'nothing is written meanwhile');
      if (round % 40 === 0 || since++ < 4) outage();
      held!();
      await turns();
    }
    t.is(backs, 3, 'the log was written back on the way');
    db.discardUnsynced();
    db.sql.close();
    rmSync(dir, { recursive: true });
  },
);

test.serial(
  'work that changes nothing is not synced; what is told from memory waits for what is on its way',
  async (t) => {
    const dir = folder();
    let syncs = 0;
    let held = (): void => {};
    const db = openDatabase(
      dir,
      realClock,
      log,
      () => undefined,
      '127.0.0.1:1',
      () =>
        new Promise((res) => {
          syncs++;
          held = res;
        }),
    );
    const st = new DurableState(db);
    st.init();
    t.is(await db.commit(() => st.get('disk')), undefined);
    await db.whenSynced();
    t.is(syncs, 0);
    const order: string[] = [];
    const done = db.commit(() => st.set('disk', 'd1')).then(() => order.push('written'));
    while (syncs === 0) await new Promise((r) => setImmediate(r));
    const settled = db.whenSynced().then(() => order.push('settled'));
    const read = db.commit(() => st.get('disk')).then((x) => order.push(`read ${x}`));
    await new Promise((r) => setImmediate(r));
    t.deepEqual(order, []);
    held();
    await Promise.all([done, settled, read]);
    t.deepEqual(order, ['written', 'settled', 'read d1']);
    t.is(syncs, 1);
    db.close();
    rmSync(dir, { recursive: true });
  },
);

test.serial('a sync that fails rejects what it was for, and the disk takes no more', async (t) => {
  const dir = folder();
  const faults: string[] = [];
  const db = openDatabase(
    dir,
    realClock,
    log,
    (e) => faults.push(e.message),
    '127.0.0.1:1',
    () => Promise.reject(new Error('EIO')),
  );
  const st = new DurableState(db);
  st.init();
  t.like(await t.throwsAsync(db.commit(() => st.set('a', 'v'))), { details: { tag: 'disk_ill' } });
  t.deepEqual(faults, ['EIO']);
  db.sql.close();
  rmSync(dir, { recursive: true });
});

test.serial('a log left by a kill is read to its end', async (t) => {
  const dir = await killed(60);
  const o = open(dir);
  t.is(o.last, 60);
  t.is(o.disk, 'd1');
  o.db.close();
  rmSync(dir, { recursive: true });
});

test.serial(
  'a bit flipped in the middle of the log is noticed: the disk is begun anew, not taken back in time',
  async (t) => {
    for (const share of [0.02, 0.3, 0.7]) {
      const dir = await killed(60);
      const wal = join(dir, 'state.db-wal');
      flip(wal, Math.floor(statSync(wal).size * share));
      const o = open(dir);
      t.is(o.disk, undefined, `at ${share}`);
      t.regex(told.join(), /log is corrupt, and \d+ commits end at or after it/);
      o.db.close();
      rmSync(dir, { recursive: true });
    }
  },
);

test.serial('a last commit that was torn is left out and nothing else', async (t) => {
  const dir = await killed(60);
  const wal = join(dir, 'state.db-wal');
  truncateSync(wal, statSync(wal).size - 500);
  const o = open(dir);
  t.is(o.disk, 'd1');
  t.is(o.last, 59);
  o.db.close();
  rmSync(dir, { recursive: true });
});

test.serial('a bit flipped inside a message is noticed, where the database itself sees nothing wrong', async (t) => {
  const dir = folder();
  await filled(dir);
  const file = join(dir, 'state.db');
  // Pages keep copies of rows that were moved to another page: one of the places is the row.
  const body = entry(200).body;
  const content = readFileSync(file);
  const places: number[] = [];
  for (let at = content.indexOf(body); at >= 0; at = content.indexOf(body, at + 1)) places.push(at);
  t.true(places.length > 0);
  for (const at of places) flip(file, at + 200);
  const o = open(dir);
  t.regex(told.join(), /checksum mismatch in a row of entry/);
  t.is(o.disk, undefined);
  o.db.close();
  rmSync(dir, { recursive: true });
});

test.serial('a database made before rows had sums is taken as it is', async (t) => {
  const dir = folder();
  await filled(dir);
  const first = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
  for (const x of ['meta', 'copy', 'entry', 'topic', 'sender']) first.sql.exec(`alter table ${x} drop column sum`);
  first.close();
  const o = open(dir);
  t.is(o.disk, 'd1');
  t.is(o.last, 390);
  const st = new DurableState(o.db);
  await o.db.commit(() => st.set('more', 'v'));
  o.db.close();
  const again = open(dir);
  t.is(again.disk, 'd1');
  t.is(told.length, 0, told.join());
  again.db.close();
  rmSync(dir, { recursive: true });
});

test.serial('a writer killed with -9 in mid-write, 200 times: what it said lasts is there', async (t) => {
  const SHARDS = 3,
    LANES = 4,
    KILLS = 50;
  t.log(`seeds 1..${LANES}`);
  const writer = fileURLToPath(new URL('../disk-writer.js', import.meta.url));
  await Promise.all(
    Array.from({ length: LANES }, async (_, lane) => {
      const dir = folder();
      const random = seededRandom(lane + 1);
      const last = Array<number>(SHARDS).fill(0);
      const promised = Array<string>(SHARDS).fill(NO_FENCE);
      for (let i = 0; i < KILLS; i++) {
        const after = 3 + Math.floor(random.next() * 60);
        await new Promise<void>((res) => {
          const p = spawn(process.execPath, [writer, dir, String(SHARDS)], { stdio: ['ignore', 'pipe', 'inherit'] });
          let rest = '',
            n = 0;
          p.stdout.on('data', (d: Buffer) => {
            const lines = (rest + d.toString()).split('\n');
            rest = lines.pop()!;
            for (const l of lines) {
              if (l.startsWith('!')) {
                t.fail(l);
                continue;
              }
              const [s, idx, f] = l.split(' ') as [string, string, string];
              last[Number(s)] = Number(idx);
              if (f > promised[Number(s)]!) promised[Number(s)] = f;
              if (++n === after) p.kill('SIGKILL');
            }
          });
          p.on('close', () => res());
        });
      }
      const db = openDatabase(dir, realClock, log, () => undefined, '127.0.0.1:1');
      const st = new DurableState(db);
      st.init();
      const copies = st.loadReplicas(0);
      t.false(readdirSync(dir).some((f) => f.includes('damaged')));
      for (let s = 0; s < SHARDS; s++) {
        const c = copies.get(s)!;
        t.true(last[s]! > KILLS, 'it wrote');
        t.true(lastIdx(c) >= last[s]!, `shard ${s}: ${lastIdx(c)} is there, ${last[s]} was said to last`);
        t.true(c.promised >= promised[s]!);
        const entries = st.reader.entries(s, c.base.idx + 1, { entries: Number.MAX_SAFE_INTEGER, bytes: Infinity });
        t.is(entries.length, lastIdx(c) - c.base.idx);
        entries.forEach((e, i) => {
          t.is(e.idx, c.base.idx + 1 + i);
          t.is(e.body, `${s}:${e.idx}:`.padEnd(40 + ((e.idx * 37) % 900), 'x'));
        });
      }
      db.close();
      rmSync(dir, { recursive: true });
    }),
  );
});
