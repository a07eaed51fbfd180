import Database from 'better-sqlite3';
import { Failure } from './fault.js';
import type { Clock } from './host.js';

export type Sql = Database.Database;

/** Says what is wrong with the matter in an open database, if anything. */
export type DiskCheck = (sql: Sql) => string | undefined;
const checks: DiskCheck[] = [];

/**
 * Plug-ins that keep matter on disk call this when their module loads: an opened database is asked of each before it is used.
 * @example
 * checkDisk((sql) => (allSumsRight(sql) ? undefined : 'entry 7 of shard 3 was altered'));
 */
export function checkDisk(c: DiskCheck): void {
  checks.push(c);
}

/**
 * The first thing wrong with the matter in a database.
 * @example
 * const why = wrongOnDisk(sql); // undefined when all is well
 */
export function wrongOnDisk(sql: Sql): string | undefined {
  for (const c of checks) {
    const why = c(sql);
    if (why !== undefined) return why;
  }
  return undefined;
}

/**
 * One database per node. Work given to `commit` is gathered for a moment and run in one synced
 * transaction; the promise resolves once that transaction lasts. Nothing is answered before.
 * @example
 * const n = await db.commit((sql) => sql.prepare('insert into t values (1)').run().changes);
 */
export class Db {
  private wait: { fn: (sql: Sql) => unknown; res: (x: any) => void; rej: (e: unknown) => void }[] = [];
  private armed = false;
  private dead = false;
  commits = 0;
  works = 0;

  constructor(
    readonly sql: Sql,
    private clock: Clock,
    private gatherMs: () => number,
    private onFault: (e: Error) => void,
    /** Whose disk it is, for faults. */
    private self: string,
  ) {}

  commit<T>(fn: (sql: Sql) => T): Promise<T> {
    return new Promise((res, rej) => {
      this.wait.push({ fn, res, rej });
      if (this.armed || this.dead) return;
      this.armed = true;
      this.clock.after(this.gatherMs(), () => this.flush());
    });
  }

  private flush(): void {
    this.armed = false;
    if (this.dead) return;
    const all = this.wait;
    this.wait = [];
    const out: unknown[] = [];
    try {
      this.sql.transaction(() => {
        for (const w of all) out.push(w.fn(this.sql));
      })();
    } catch (e) {
      // What the work changed in memory may now differ from the disk: stop, and start again from the disk.
      this.dead = true;
      this.onFault(e as Error);
      const detail = (e as Error).message;
      for (const w of all) w.rej(new Failure({ tag: 'disk_ill', step: 'commit', peer: this.self, detail }));
      return;
    }
    this.commits++;
    this.works += all.length;
    all.forEach((w, i) => w.res(out[i]));
  }

  /** Drops what was not yet synced, as a loss of power would. */
  drop(): void {
    this.dead = true;
    this.wait = [];
  }

  close(): void {
    if (!this.dead && this.wait.length) this.flush();
    this.dead = true;
    this.sql.close();
  }
}
