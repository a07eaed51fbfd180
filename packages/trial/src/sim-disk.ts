/**
 * A simulated machine's disk, on which the product's own disk code runs: real SQLite files in a folder, whose syncs take virtual
 * time. It knows what each sync covered, so that a loss of power can keep, drop or tear what came later.
 */
import { copyFileSync, existsSync, fstatSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { openDatabase, type Clock, type SyncedDatabase, type Log, type RandomSource } from '@harecross/kernel';

/** What a disk writes at once; a loss of power keeps or drops whole ones, or tears one. */
const BLOCK_BYTES = 4_096;
/** Share of losses of power after which every write since the last sync is gone. */
const ALL_LOST_SHARE = 0.3;
/** Share of the unsynced blocks that are torn, where not all are lost. */
const TORN_SHARE = 0.1;

const DATA = 'state.db';
const LOG = 'state.db-wal';

/** What the disk needs of its machine. */
export interface DiskEnvironment {
  /** Runs `fn` once a sync that begins now is done. */
  afterSync(fn: () => void): void;
}

/**
 * One machine's disk. A process opens it; between two lives of the process it keeps its files.
 * @example
 * const db = disk.open(clock, log, onFault, '10.0.0.1:7100'); disk.losePower(random);
 */
export class SimDisk {
  private life = 0;
  private db?: SyncedDatabase;
  /** The database file as its last sync found it. */
  private syncedData = Buffer.alloc(0);
  /** Bytes of the log that its last sync covered. */
  private syncedLogBytes = 0;
  /** The log as it was before it was emptied, while that is not synced. */
  private logBefore?: Buffer;

  constructor(
    private readonly root: string,
    private readonly surroundings: DiskEnvironment,
  ) {}

  private folder(life = this.life): string {
    return join(this.root, String(life));
  }

  /** Opens the database as the product does; throws when that fails. */
  open(clock: Clock, log: Log, onFault: (e: Error) => void, self: string): SyncedDatabase {
    const folder = this.folder();
    mkdirSync(folder, { recursive: true });
    const db = openDatabase(folder, clock, log, onFault, self, (fd, file) => this.sync(fd, file));
    // Opening syncs both files, and the folder once the log is made: SQLite does so at the first commit.
    this.syncedData = readFileSync(join(folder, DATA));
    this.syncedLogBytes = readFileSync(join(folder, LOG)).length;
    this.logBefore = undefined;
    this.db = db;
    return db;
  }

  private sync(fd: number, file: string): Promise<void> {
    const { life } = this;
    const covered = this.covered(fd, file);
    return new Promise((resolve) => {
      this.surroundings.afterSync(() => {
        if (this.life !== life) return;
        covered();
        resolve();
      });
    });
  }

  /** Notes what a sync that begins now makes durable; the result puts it in force. */
  private covered(fd: number, file: string): () => void {
    if (file.endsWith(DATA)) {
      const data = readFileSync(file);
      const log = readFileSync(join(this.folder(), LOG));
      return () => {
        this.syncedData = data;
        this.logBefore = log;
      };
    }
    const bytes = fstatSync(fd).size;
    return () => {
      this.syncedLogBytes = bytes;
      this.logBefore = undefined;
    };
  }

  /** The process died: its files stay as it left them. */
  endProcess(): void {
    this.nextLife((from, to) => {
      for (const name of [DATA, LOG]) if (existsSync(join(from, name))) copyFileSync(join(from, name), join(to, name));
    });
  }

  /** Power was lost: what was synced stays, and each later write is kept, dropped or torn; or all of them are dropped. */
  losePower(random: RandomSource): void {
    this.nextLife((from, to) => {
      if (!existsSync(join(from, LOG))) {
        // Closed in good order: all is in the database, and synced.
        copyFileSync(join(from, DATA), join(to, DATA));
        return;
      }
      const keepShare = random.next() < ALL_LOST_SHARE ? 0 : random.next();
      const data = readFileSync(join(from, DATA));
      const log = readFileSync(join(from, LOG));
      writeFileSync(join(to, DATA), afterPowerLoss(this.syncedData, data, keepShare, random));
      writeFileSync(join(to, LOG), this.logAfterPowerLoss(log, keepShare, random));
    });
  }

  private logAfterPowerLoss(log: Buffer, keepShare: number, random: RandomSource): Buffer {
    if (this.logBefore === undefined)
      return afterPowerLoss(log.subarray(0, this.syncedLogBytes), log, keepShare, random);
    // It was emptied, and that may have come to last or not.
    return random.next() < keepShare ? log : this.logBefore;
  }

  /** The disk is gone with all that is on it; an empty one takes its place. */
  wipe(): void {
    this.nextLife(() => undefined);
  }

  private nextLife(carry: (from: string, to: string) => void): void {
    const from = this.folder();
    const to = this.folder(this.life + 1);
    mkdirSync(to, { recursive: true });
    if (existsSync(join(from, DATA))) carry(from, to);
    this.life++;
    this.db?.discardUnsynced();
    if (this.db?.sql.open) this.db.close();
    this.db = undefined;
    rmSync(from, { recursive: true, force: true });
  }
}

/** A file of which each block written since the last sync was kept, dropped or torn. */
function afterPowerLoss(synced: Buffer, written: Buffer, keepShare: number, random: RandomSource): Buffer {
  const out = Buffer.alloc(Math.max(synced.length, written.length));
  synced.copy(out);
  let length = synced.length;
  for (let at = 0; at < written.length; at += BLOCK_BYTES) {
    const end = Math.min(at + BLOCK_BYTES, written.length);
    const block = written.subarray(at, end);
    if (end <= synced.length && block.equals(synced.subarray(at, end))) continue;
    const kept = keptBytes(block.length, keepShare, random);
    if (!kept) continue;
    block.copy(out, at, 0, kept);
    length = Math.max(length, at + kept);
  }
  return out.subarray(0, length);
}

/** How much of a block that was not synced is found after a loss of power. */
function keptBytes(bytes: number, keepShare: number, random: RandomSource): number {
  if (random.next() >= keepShare) return 0;
  return random.next() < TORN_SHARE ? Math.floor(bytes * random.next()) : bytes;
}
