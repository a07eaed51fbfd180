import Database from 'better-sqlite3';
import { HarecrossError } from './fault.js';
import type { Clock } from './host.js';

export type Sql = Database.Database;

/** Describes the first fault in the content of an open database; undefined if there is none. */
export type IntegrityCheck = (sql: Sql) => string | undefined;
const integrityChecks: IntegrityCheck[] = [];

/**
 * Registers a check of the content of a database. Plug-ins that keep data on disk call this when their module loads; every check runs
 * when a database is opened, before it is used.
 * @example
 * registerIntegrityCheck((sql) => (checksumsMatch(sql) ? undefined : 'entry 7 of shard 3 was altered'));
 */
export function registerIntegrityCheck(check: IntegrityCheck): void {
  integrityChecks.push(check);
}

/**
 * The first fault that the registered checks find in a database.
 * @example
 * const reason = findCorruption(sql); // undefined when the content is intact
 */
export function findCorruption(sql: Sql): string | undefined {
  for (const check of integrityChecks) {
    const reason = check(sql);
    if (reason !== undefined) return reason;
  }
  return undefined;
}

/** Makes the commits of a database durable, where a commit itself does not wait for the disk. */
export interface DiskSync {
  /** Resolves once everything that was committed before the call is durable. */
  sync(): Promise<void>;
  /** Runs after a commit. Returns a promise if there is maintenance that the next commit has to wait for. */
  maintain(): Promise<void> | undefined;
  close(sql: Sql): void;
}

/**
 * The database of a node, with group commit. Operations given to `commit` are gathered and run in one transaction, and each promise
 * resolves once that transaction is durable; nothing is answered earlier. Only one transaction is being synced at a time, and operations
 * that arrive meanwhile form the next one. Thus commits are synced one after another, and a slow disk gets larger ones.
 * @example
 * const n = await db.commit((sql) => sql.prepare('insert into t values (1)').run().changes);
 */
export class SyncedDatabase {
  /** Operations that wait for the next transaction. */
  private wait: {
    run: (sql: Sql) => unknown;
    resolve: (result: unknown) => void;
    reject: (error: unknown) => void;
  }[] = [];
  private state: 'idle' | 'gathering' | 'syncing' | 'maintaining' | 'closed' = 'idle';
  private syncWaiters: (() => void)[] = [];
  private changeCount: () => number;
  /** Transactions committed so far. */
  commits = 0;
  /** How long a test write to the disk took when it was opened (ms), if it was measured. */
  openMs?: number;
  /** Operations committed so far. */
  operations = 0;

  constructor(
    readonly sql: Sql,
    private clock: Clock,
    private gatherMs: () => number,
    private onFault: (error: Error) => void,
    /** Address of the node, for error details. */
    private self: string,
    /** Omitted where a commit itself is durable when it returns. */
    private disk?: DiskSync,
  ) {
    const statement = sql.prepare('select total_changes()').pluck();
    this.changeCount = () => statement.get() as number;
  }

  /** Runs `run` in the next transaction; resolves with its result once the transaction is durable. */
  commit<T>(run: (sql: Sql) => T): Promise<T> {
    return new Promise((resolve, reject) => {
      this.wait.push({ run, resolve: (result) => resolve(result as T), reject });
      this.gather();
    });
  }

  /**
   * Runs `run` in a transaction that is durable when this returns. It blocks the event loop, so it is for the time before the node serves.
   * @example
   * db.commitBlocking((sql) => sql.exec('create table if not exists t (x integer)'));
   */
  commitBlocking(run: (sql: Sql) => void): void {
    const synchronous = Number(this.sql.pragma('synchronous', { simple: true }));
    this.sql.pragma('synchronous = FULL');
    this.sql.transaction(run)(this.sql);
    this.sql.pragma(`synchronous = ${synchronous}`);
  }

  /**
   * Resolves when all changes made so far are durable. For callers that answer from memory with data that is possibly still being
   * synced.
   * @example
   * await db.whenSynced(); // resolves at once unless a sync is in progress
   */
  async whenSynced(): Promise<void> {
    if (this.state === 'syncing') await new Promise<void>((resolve) => this.syncWaiters.push(resolve));
  }

  private gather(): void {
    if (this.state !== 'idle') return;
    this.state = 'gathering';
    this.clock.after(this.gatherMs(), () => {
      if (this.state === 'gathering') this.flush();
    });
  }

  /** Runs the gathered operations in one transaction and has it synced. */
  private flush(): void {
    const batch = this.wait;
    this.wait = [];
    const results: unknown[] = [];
    const changesBefore = this.changeCount();
    try {
      this.sql.transaction(() => {
        for (const operation of batch) results.push(operation.run(this.sql));
      })();
    } catch (error) {
      this.fail(error as Error, batch);
      return;
    }
    const complete = (): void => {
      this.state = 'idle';
      this.commits++;
      this.operations += batch.length;
      batch.forEach((operation, i) => operation.resolve(results[i]));
      for (const resolve of this.syncWaiters.splice(0)) resolve();
    };
    if (!this.disk || this.changeCount() === changesBefore) {
      complete();
      this.gatherIfPending();
      return;
    }
    this.state = 'syncing';
    this.disk.sync().then(
      () => {
        if (this.state !== 'syncing') return;
        complete();
        this.maintain();
      },
      (error) => {
        if (this.state === 'syncing') this.fail(error as Error, batch);
      },
    );
  }

  private gatherIfPending(): void {
    if (this.wait.length) this.gather();
  }

  private maintain(): void {
    const maintenance = this.disk?.maintain();
    if (!maintenance) {
      this.gatherIfPending();
      return;
    }
    this.state = 'maintaining';
    maintenance.then(
      () => {
        if (this.state === 'maintaining') {
          this.state = 'idle';
          this.gatherIfPending();
        }
      },
      (error) => {
        if (this.state === 'maintaining') this.fail(error as Error, this.wait.splice(0));
      },
    );
  }

  /** Closes after a fault. The state in memory may now differ from the disk, so the process must restart from the disk. */
  private fail(error: Error, batch: { reject: (error: unknown) => void }[]): void {
    this.state = 'closed';
    this.onFault(error);
    for (const operation of batch)
      operation.reject(new HarecrossError({ tag: 'disk_ill', step: 'commit', peer: this.self, detail: error.message }));
  }

  /** Discards what has not been synced, as a power loss would. */
  discardUnsynced(): void {
    this.state = 'closed';
    this.wait = [];
  }

  /** Runs the pending operations and closes the database, which syncs them. */
  close(): void {
    const { disk } = this;
    this.disk = undefined;
    if (this.state !== 'closed' && this.wait.length) this.flush();
    this.state = 'closed';
    if (disk) disk.close(this.sql);
    else this.sql.close();
  }
}
