import { closeSync, fdatasync, fstatSync, mkdirSync, openSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import Database from 'better-sqlite3';
import { createConsola } from 'consola/basic';
import { PROCESS } from './constants.js';
import { SyncedDatabase, findCorruption, type DiskSync, type Sql } from './disk.js';
import { findWalCorruption } from './wal.js';
import type { Clock, Host, Log, NodeConfig } from './host.js';
import { peerNet } from './peer-net.js';

/** The machine's clock: starts from wall-clock time and is monotonic from then on. */
export const realClock: Clock = {
  now: () => performance.timeOrigin + performance.now(),
  wall: () => Date.now(),
  after: (ms, fn) => {
    // Runs at the end of this turn of the event loop, once all input of the turn has been read.
    if (ms <= 0) {
      const immediate = setImmediate(fn);
      return () => clearImmediate(immediate);
    }
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
};

/**
 * Writes log lines to standard output. Only changes of state are logged; what happens often is counted instead.
 * @example
 * createLog('127.0.0.1:7101').info('owner of shard 3', { fence });
 */
export function createLog(name: string): Log {
  // Level and format are set explicitly, because consola's defaults for both depend on CI and test environment variables.
  const logger = createConsola({
    level: 3,
    reporters: [
      {
        log: (entry) => {
          process.stdout.write(`${entry.date.toISOString()} ${entry.type} ${entry.tag} ${entry.args.join(' ')}\n`);
        },
      },
    ],
  }).withTag(name);
  return {
    info: (line, data) => (data ? logger.info(line, JSON.stringify(data)) : logger.info(line)),
    warn: (line, data) => (data ? logger.warn(line, JSON.stringify(data)) : logger.warn(line)),
  };
}

/** Opens a database file, checks its integrity and measures a synced test write (`ms`). */
function tryOpen(
  file: string,
): { tag: 'usable'; sql: Sql; ms: number } | { tag: 'damaged' | 'unwritable'; why: string } {
  let sql: Sql | undefined;
  try {
    // SQLite silently ignores everything in the write-ahead log behind a corrupt frame.
    const walCorruption = findWalCorruption(file);
    if (walCorruption !== undefined) return { tag: 'damaged', why: walCorruption };
    sql = new Database(file);
    // No other process opens the database, so it needs no shared memory file and no mapping, and a commit is cheaper. Must be set before
    // the journal mode.
    sql.pragma('locking_mode = EXCLUSIVE');
    sql.pragma('journal_mode = WAL');
    sql.pragma('synchronous = FULL');
    const checkResult = String(sql.pragma('integrity_check(1)', { simple: true })).replaceAll('\n', ' ');
    if (checkResult !== 'ok') {
      sql.close();
      return { tag: 'damaged', why: checkResult };
    }
    const corruption = findCorruption(sql);
    if (corruption !== undefined) {
      sql.close();
      return { tag: 'damaged', why: corruption };
    }
    // Test write: the pages have to be written and synced, and are freed again.
    sql.exec('create table if not exists probe (x blob)');
    const startedAt = performance.now();
    sql.exec('insert into probe values (zeroblob(65536)); delete from probe;');
    return { tag: 'usable', sql, ms: performance.now() - startedAt };
  } catch (error) {
    const { code = '', message } = error as Error & { code?: string };
    sql?.close();
    return {
      tag: code === 'SQLITE_NOTADB' || code.startsWith('SQLITE_CORRUPT') ? 'damaged' : 'unwritable',
      why: `${code} ${message}`,
    };
  }
}

/** Resolves when what was written to an open file is durable. The event loop is not blocked meanwhile. */
export type SyncFile = (fd: number, file: string) => Promise<void>;
const syncFile: SyncFile = (fd) =>
  new Promise((resolve, reject) => {
    fdatasync(fd, (error) => (error ? reject(error) : resolve()));
  });

/**
 * Syncs a database with a write-ahead log off the event loop, in place of SQLite's own syncs. A commit only writes to the log and is
 * durable once the log is synced. A long log is checkpointed into the database file, which is synced before the log is truncated. The
 * truncated log is synced before anything new is written to it: otherwise a power loss could leave old frames at its beginning.
 */
function asyncDiskSync(sql: Sql, file: string, sync: SyncFile): DiskSync {
  const wal = `${file}-wal`;
  const [dataFd, walFd] = [openSync(file, 'r+'), openSync(wal, 'r+')];
  let commits = 0;
  sql.pragma('synchronous = OFF');
  sql.pragma('wal_autocheckpoint = 0');
  const checkpoint = async (): Promise<void> => {
    const [result] = sql.pragma('wal_checkpoint(PASSIVE)') as { busy: number; log: number; checkpointed: number }[];
    if (!result || result.busy || result.log !== result.checkpointed)
      throw new Error(`checkpoint of the write-ahead log failed: ${JSON.stringify(result)}`);
    await sync(dataFd, file);
    sql.pragma('wal_checkpoint(TRUNCATE)');
    if (fstatSync(walFd).size) throw new Error('the write-ahead log could not be truncated');
    await sync(walFd, wal);
  };
  return {
    sync: () => sync(walFd, wal),
    maintain: () =>
      ++commits % PROCESS.walCheckCommits || fstatSync(walFd).size < PROCESS.walCheckpointBytes
        ? undefined
        : checkpoint(),
    close: (db) => {
      db.pragma('synchronous = FULL');
      db.close();
      // Only after the database is closed: closing a file releases all locks that the process holds on it.
      closeSync(dataFd);
      closeSync(walFd);
    },
  };
}

/**
 * Opens the node's database, which is synced at every commit. A damaged database is renamed, kept, and replaced by an empty one: the fleet
 * treats an empty disk as a new one and repairs it from the other replicas. Throws if the database cannot be written.
 * @example
 * const db = openDatabase('/var/lib/harecross', clock, log, (error) => process.exit(3), '10.1.0.4:7100');
 */
export function openDatabase(
  folder: string,
  clock: Clock,
  log: Log,
  onFault: (error: Error) => void,
  self: string,
  sync: SyncFile = syncFile,
): SyncedDatabase {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, 'state.db');
  let opened = tryOpen(file);
  if (opened.tag === 'damaged') {
    const keptAs = `${file}.damaged-${Math.floor(clock.now())}`;
    log.warn(`${file} is damaged (${opened.why}); kept as ${keptAs}, starting with an empty database`);
    renameSync(file, keptAs);
    for (const suffix of ['-wal', '-shm']) rmSync(file + suffix, { force: true });
    opened = tryOpen(file);
  }
  if (opened.tag !== 'usable') throw new Error(`${file}: ${opened.why}`);
  const db = new SyncedDatabase(
    opened.sql,
    clock,
    () => PROCESS.commitGatherMs,
    onFault,
    self,
    asyncDiskSync(opened.sql, file, sync),
  );
  db.openMs = opened.ms;
  return db;
}

/**
 * Whether the database in a folder can be used now: opened and written, or replaced by an empty one if it is damaged.
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
  if (opened.tag === 'usable') opened.sql.close();
  return opened.tag !== 'unwritable';
}

/**
 * The environment of a node in production.
 * @example
 * const kernel = new Kernel(realHost(config));
 */
export function realHost(config: NodeConfig): Host {
  const log = createLog(config.peer);
  const terminate = (reason: string): void => {
    log.warn(`stopping: ${reason}`);
    process.exit(3);
  };
  const host: Host = {
    clock: realClock,
    random: { next: Math.random },
    net: peerNet(config.peer),
    log,
    config,
    terminate,
  };
  if (config.data) {
    try {
      host.db = openDatabase(
        config.data,
        realClock,
        log,
        (error) => terminate(`disk fault: ${error.message}`),
        config.peer,
      );
    } catch (error) {
      // The fleet relies on what a disk holds while its process runs, so a process does not run without its disk. The exception is a relay,
      // which can serve without it, and does so until the disk is usable again.
      if (config.role !== 'relay') throw error;
      log.warn(
        `the disk cannot be used; running as a relay without replicas until it can: ${error instanceof Error ? error.message : String(error)}`,
      );
    }
  }
  return host;
}
