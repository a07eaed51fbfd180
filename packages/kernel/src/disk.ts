import Database from 'better-sqlite3';
import { HarecrossError } from './fault.js';
import type { Clock } from './host.js';

export type Sql = Database.Database;

/** Says what is wrong with the matter in an open database, if anything. */
export type IntegrityCheck = (sql: Sql) => string | undefined;
const integrityChecks: IntegrityCheck[] = [];

/**
 * Plug-ins that keep matter on disk call this when their module loads: an opened database is asked of each before it is
 * used.
 * @example
 * checkDisk((sql) => (allSumsRight(sql) ? undefined : 'entry 7 of shard 3 was altered'));
 */
export function registerIntegrityCheck(c: IntegrityCheck): void {
  integrityChecks.push(c);
}

/**
 * The first thing wrong with the matter in a database.
 * @example
 * const why = wrongOnDisk(sql); // undefined when all is well
 */
export function findCorruption(sql: Sql): string | undefined {
  for (const c of integrityChecks) {
    const why = c(sql);
    if (why !== undefined) return why;
  }
  return undefined;
}

/** How a database's commits come to last, where the commit itself does not wait for the disk. */
export interface DiskSync {
  /** Resolves once all that was committed before it was called lasts. */
  sync(): Promise<void>;
  /** After a commit: housekeeping that the next one has to wait for, if there is any. */
  tidy(): Promise<void> | undefined;
  close(sql: Sql): void;
}

/**
 * One database per node. Work given to `commit` is gathered and run in one transaction; the promise resolves once that
 * transaction lasts. Nothing is answered before. One transaction at a time is on its way to the disk, and what comes
 * meanwhile is the next one: so commits are synced one after another, and a slow disk gets larger ones.
 * @example
 * const n = await db.commit((sql) => sql.prepare('insert into t values (1)').run().changes);
 */
export class SyncedDatabase {
  private wait: { fn: (sql: Sql) => unknown; res: (x: unknown) => void; rej: (e: unknown) => void }[] = [];
  private state: 'idle' | 'gathering' | 'syncing' | 'tidying' | 'dead' = 'idle';
  private settles: (() => void)[] = [];
  private changes: () => number;
  commits = 0;
  /** How long the disk took when it was opened (ms), if that was measured. */
  openMs?: number;
  works = 0;

  constructor(
    readonly sql: Sql,
    private clock: Clock,
    private gatherMs: () => number,
    private onFault: (e: Error) => void,
    /** Whose disk it is, for faults. */
    private self: string,
    /** Left out where a commit returns only when it lasts. */
    private disk?: DiskSync,
  ) {
    const q = sql.prepare('select total_changes()').pluck();
    this.changes = () => q.get() as number;
  }

  commit<T>(fn: (sql: Sql) => T): Promise<T> {
    return new Promise((res, rej) => {
      this.wait.push({ fn, res: (x) => res(x as T), rej });
      this.gather();
    });
  }

  /**
   * Resolves when all that is changed by now lasts: for who answers from memory what may be on its way to the disk.
   * @example
   * await db.settled(); // at once, unless a sync is under way
   */
  async whenSynced(): Promise<void> {
    if (this.state === 'syncing') await new Promise<void>((res) => this.settles.push(res));
  }

  private gather(): void {
    if (this.state !== 'idle') return;
    this.state = 'gathering';
    this.clock.after(this.gatherMs(), () => {
      if (this.state === 'gathering') this.flush();
    });
  }

  /** Runs what was gathered. */
  private flush(): void {
    const all = this.wait;
    this.wait = [];
    const out: unknown[] = [];
    const before = this.changes();
    try {
      this.sql.transaction(() => {
        for (const w of all) out.push(w.fn(this.sql));
      })();
    } catch (e) {
      this.fail(e as Error, all);
      return;
    }
    const last = (): void => {
      this.state = 'idle';
      this.commits++;
      this.works += all.length;
      all.forEach((w, i) => w.res(out[i]));
      for (const res of this.settles.splice(0)) res();
    };
    if (!this.disk || this.changes() === before) {
      last();
      this.goOn();
      return;
    }
    this.state = 'syncing';
    this.disk.sync().then(
      () => {
        if (this.state !== 'syncing') return;
        last();
        this.tidy();
      },
      (e) => {
        if (this.state === 'syncing') this.fail(e as Error, all);
      },
    );
  }

  private goOn(): void {
    if (this.wait.length) this.gather();
  }

  private tidy(): void {
    const p = this.disk?.tidy();
    if (!p) {
      this.goOn();
      return;
    }
    this.state = 'tidying';
    p.then(
      () => {
        if (this.state === 'tidying') {
          this.state = 'idle';
          this.goOn();
        }
      },
      (e) => {
        if (this.state === 'tidying') this.fail(e as Error, this.wait.splice(0));
      },
    );
  }

  /** What the work changed in memory may now differ from the disk: stop, and start again from the disk. */
  private fail(e: Error, all: { rej: (e: unknown) => void }[]): void {
    this.state = 'dead';
    this.onFault(e);
    for (const w of all)
      w.rej(new HarecrossError({ tag: 'disk_ill', step: 'commit', peer: this.self, detail: e.message }));
  }

  /** Drops what was not yet synced, as a loss of power would. */
  discardUnsynced(): void {
    this.state = 'dead';
    this.wait = [];
  }

  /** Runs what still waits, and closes the database, which syncs it. */
  close(): void {
    const { disk } = this;
    this.disk = undefined;
    if (this.state !== 'dead' && this.wait.length) this.flush();
    this.state = 'dead';
    if (disk) disk.close(this.sql);
    else this.sql.close();
  }
}
