import { closeSync, fdatasync, fstatSync, mkdirSync, openSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import Database from 'better-sqlite3';
import { createConsola } from 'consola/basic';
import { PROCESS } from './constants.js';
import { SyncedDatabase, findCorruption, type DiskSync, type Sql } from './disk.js';
import { findWalCorruption } from './wal.js';
import type { Clock, Host, Log, NodeConfig } from './host.js';
import { peerNet } from './peer-net.js';

/** The machine's own clock: a wall-clock start, then monotonic. */
export const realClock: Clock = {
  now: () => performance.timeOrigin + performance.now(),
  wall: () => Date.now(),
  after: (ms, fn) => {
    // At the end of this turn of the loop, when all that it brought is read.
    if (ms <= 0) {
      const i = setImmediate(fn);
      return () => clearImmediate(i);
    }
    const t = setTimeout(fn, ms);
    return () => clearTimeout(t);
  },
};

/**
 * Counters first: a line only for a change of state.
 * @example
 * consolaLog('127.0.0.1:7101').info('owner of shard 3', { fence });
 */
export function consolaLog(name: string): Log {
  // Level and form are ours to say: left alone, consola changes both where CI or test variables are set.
  const c = createConsola({
    level: 3,
    reporters: [
      {
        log: (o) => {
          process.stdout.write(`${o.date.toISOString()} ${o.type} ${o.tag} ${o.args.join(' ')}\n`);
        },
      },
    ],
  }).withTag(name);
  return {
    info: (line, data) => (data ? c.info(line, JSON.stringify(data)) : c.info(line)),
    warn: (line, data) => (data ? c.warn(line, JSON.stringify(data)) : c.warn(line)),
  };
}

/** Whether a database file opens, reads well throughout and takes a write. */
function tryOpen(file: string): { tag: 'well'; sql: Sql; ms: number } | { tag: 'damaged' | 'unwritable'; why: string } {
  let sql: Sql | undefined;
  try {
    // What the write-ahead log lost in its middle the database would leave out without a word.
    const lost = findWalCorruption(file);
    if (lost !== undefined) return { tag: 'damaged', why: lost };
    sql = new Database(file);
    // Nobody else opens it: no shared memory file, no mapping, less work at each commit. Must come before the journal
    // mode.
    sql.pragma('locking_mode = EXCLUSIVE');
    sql.pragma('journal_mode = WAL');
    sql.pragma('synchronous = FULL');
    const said = String(sql.pragma('quick_check(1)', { simple: true })).replaceAll('\n', ' ');
    if (said !== 'ok') {
      sql.close();
      return { tag: 'damaged', why: said };
    }
    const altered = findCorruption(sql);
    if (altered !== undefined) {
      sql.close();
      return { tag: 'damaged', why: altered };
    }
    // A page that must be written and synced, and is given back.
    sql.exec('create table if not exists probe (x blob)');
    const t0 = performance.now();
    sql.exec('insert into probe values (zeroblob(65536)); delete from probe;');
    return { tag: 'well', sql, ms: performance.now() - t0 };
  } catch (e) {
    const { code = '', message } = e as Error & { code?: string };
    sql?.close();
    return {
      tag: code === 'SQLITE_NOTADB' || code.startsWith('SQLITE_CORRUPT') ? 'damaged' : 'unwritable',
      why: `${code} ${message}`,
    };
  }
}

/** Resolves when what was written to an open file lasts; another thread waits for the disk. */
export type SyncFile = (fd: number, file: string) => Promise<void>;
const syncFile: SyncFile = (fd) =>
  new Promise((res, rej) => {
    fdatasync(fd, (e) => (e ? rej(e) : res()));
  });

/**
 * The syncs of a database with a write-ahead log, done by us and off the loop instead of by the database. A commit only
 * writes the log, and lasts once the log is synced. A long log is written back into the database, that is synced, and
 * only then the log is emptied, and that is synced before anything new goes into it: else a loss of power could leave
 * old frames at its beginning.
 */
function ownSyncs(sql: Sql, file: string, sync: SyncFile): DiskSync {
  const wal = `${file}-wal`;
  const [data, log] = [openSync(file, 'r+'), openSync(wal, 'r+')];
  let commits = 0;
  sql.pragma('synchronous = OFF');
  sql.pragma('wal_autocheckpoint = 0');
  const writeBack = async (): Promise<void> => {
    const [r] = sql.pragma('wal_checkpoint(PASSIVE)') as { busy: number; log: number; checkpointed: number }[];
    if (!r || r.busy || r.log !== r.checkpointed)
      throw new Error(`the log could not be written back: ${JSON.stringify(r)}`);
    await sync(data, file);
    sql.pragma('wal_checkpoint(TRUNCATE)');
    if (fstatSync(log).size) throw new Error('the log could not be emptied');
    await sync(log, wal);
  };
  return {
    sync: () => sync(log, wal),
    tidy: () =>
      ++commits % PROCESS.walCheckCommits || fstatSync(log).size < PROCESS.walCheckpointBytes ? undefined : writeBack(),
    close: (db) => {
      db.pragma('synchronous = FULL');
      db.close();
      // Not before: closing a file lets go of all locks that the process has on it.
      closeSync(data);
      closeSync(log);
    },
  };
}

/**
 * Opens the node's database, synced at every commit. A damaged one is moved aside, kept, and replaced by an empty
 * one: an empty disk is a new disk to the fleet, which repairs it from the other copies. Throws when it can't write.
 * @example
 * const db = openDb('/var/lib/harecross', clock, log, (e) => process.exit(3), '10.1.0.4:7100');
 */
export function openDatabase(
  folder: string,
  clock: Clock,
  log: Log,
  onFault: (e: Error) => void,
  self: string,
  sync: SyncFile = syncFile,
): SyncedDatabase {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, 'state.db');
  let r = tryOpen(file);
  if (r.tag === 'damaged') {
    const aside = `${file}.damaged-${Math.floor(clock.now())}`;
    log.warn(`${file} is damaged (${r.why}); kept as ${aside}, begun anew`);
    renameSync(file, aside);
    for (const x of ['-wal', '-shm']) rmSync(file + x, { force: true });
    r = tryOpen(file);
  }
  if (r.tag !== 'well') throw new Error(`${file}: ${r.why}`);
  const db = new SyncedDatabase(r.sql, clock, () => PROCESS.commitGatherMs, onFault, self, ownSyncs(r.sql, file, sync));
  db.openMs = r.ms;
  return db;
}

/**
 * Whether the database in a folder can be opened and written to now.
 * @example
 * if (isDiskUsable('/var/lib/harecross')) restart();
 */
export function isDiskUsable(folder: string): boolean {
  try {
    mkdirSync(folder, { recursive: true });
  } catch {
    return false;
  }
  const opened = tryOpen(join(folder, 'state.db'));
  if (opened.tag === 'well') opened.sql.close();
  return opened.tag !== 'unwritable';
}

/**
 * The real surroundings of a node.
 * @example
 * const k = new Kernel(realHost(config));
 */
export function realHost(config: NodeConfig): Host {
  const log = consolaLog(config.peer);
  const die = (reason: string): void => {
    log.warn(`stopping: ${reason}`);
    process.exit(3);
  };
  const host: Host = {
    clock: realClock,
    random: { next: Math.random },
    net: peerNet(config.peer),
    log,
    config,
    terminate: die,
  };
  if (config.data) {
    try {
      host.db = openDatabase(config.data, realClock, log, (e) => die(`disk fault: ${e.message}`), config.peer);
    } catch (e) {
      // What is on the disk counts as there while the process runs: only a relay has anything to do without it, and only until it is back.
      if (config.role !== 'relay') throw e;
      log.warn(
        `the disk cannot be used, going on as a relay without copies until it can: ${e instanceof Error ? e.message : String(e)}`,
      );
    }
  }
  return host;
}
