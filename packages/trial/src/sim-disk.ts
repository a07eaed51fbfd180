/**
 * A simulated machine's disk for the production disk code: real SQLite files in a directory, whose syncs take virtual time. It
 * tracks what each sync covered, so that a power loss can keep, drop or tear later writes.
 */
import { copyFileSync, existsSync, fstatSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { openDatabase, type Clock, type SyncedDatabase, type Log, type RandomSource } from '@harecross/kernel';

/** Size of one disk write. A power loss keeps or drops each block, or tears it, so that only its beginning is written. */
const BLOCK_BYTES = 4_096;
/** Share of power losses that drop every write since the last sync. */
const ALL_LOST_SHARE = 0.3;
/** Share of torn blocks among the unsynced blocks that are not dropped. */
const TORN_SHARE = 0.1;

const DATA = 'state.db';
const LOG = 'state.db-wal';

/** What the disk requires of the simulator. */
export interface DiskEnvironment {
  /** Runs `fn` when a sync that starts now completes. */
  afterSync(fn: () => void): void;
}

/**
 * One machine's disk. Each process that starts on it opens the files that the process before it left.
 * @example
 * const db = disk.open(clock, log, onFault, '10.0.0.1:7100'); disk.losePower(random);
 */
export class SimDisk {
  /** Number of the current process; it names the directory of the files. */
  private generation = 0;
  private db?: SyncedDatabase;
  /** Content of the database file at its last sync. */
  private syncedData = Buffer.alloc(0);
  /** Length of the write-ahead log at its last sync. */
  private syncedLogBytes = 0;
  /** The log before its truncation, until the truncation is synced. */
  private untruncatedLog?: Buffer;

  constructor(
    private readonly root: string,
    private readonly environment: DiskEnvironment,
  ) {}

  private directory(generation = this.generation): string {
    return join(this.root, String(generation));
  }

  /** Opens the database with the production code; throws if that fails. */
  open(clock: Clock, log: Log, onFault: (e: Error) => void, self: string): SyncedDatabase {
    const directory = this.directory();
    mkdirSync(directory, { recursive: true });
    const db = openDatabase(directory, clock, log, onFault, self, (fd, file) => this.sync(fd, file));
    // Opening syncs both files and, once the log exists, the directory: SQLite does so at the first commit.
    this.syncedData = readFileSync(join(directory, DATA));
    this.syncedLogBytes = readFileSync(join(directory, LOG)).length;
    this.untruncatedLog = undefined;
    this.db = db;
    return db;
  }

  private sync(fd: number, file: string): Promise<void> {
    const { generation } = this;
    const markSynced = this.captureSync(fd, file);
    return new Promise((resolve) => {
      this.environment.afterSync(() => {
        if (this.generation !== generation) return;
        markSynced();
        resolve();
      });
    });
  }

  /** Captures what a sync that starts now will make durable; the returned function records it as synced. */
  private captureSync(fd: number, file: string): () => void {
    if (file.endsWith(DATA)) {
      const data = readFileSync(file);
      const log = readFileSync(join(this.directory(), LOG));
      return () => {
        this.syncedData = data;
        this.untruncatedLog = log;
      };
    }
    const bytes = fstatSync(fd).size;
    return () => {
      this.syncedLogBytes = bytes;
      this.untruncatedLog = undefined;
    };
  }

  /** The process ended: the files keep all of its writes. */
  endProcess(): void {
    this.startGeneration((from, to) => {
      for (const name of [DATA, LOG]) if (existsSync(join(from, name))) copyFileSync(join(from, name), join(to, name));
    });
  }

  /** Power loss: synced data is kept; each later write is kept, dropped or torn, or all of them are dropped. */
  losePower(random: RandomSource): void {
    this.startGeneration((from, to) => {
      if (!existsSync(join(from, LOG))) {
        // After a clean close, everything is in the database file and synced.
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
    if (this.untruncatedLog === undefined)
      return afterPowerLoss(log.subarray(0, this.syncedLogBytes), log, keepShare, random);
    // The log was truncated, which may or may not have become durable.
    return random.next() < keepShare ? log : this.untruncatedLog;
  }

  /** Replaces the disk by an empty one. */
  wipe(): void {
    this.startGeneration(() => undefined);
  }

  /** Closes the database and moves the files, as `transfer` copies them, to the directory of the next process. */
  private startGeneration(transfer: (from: string, to: string) => void): void {
    const from = this.directory();
    const to = this.directory(this.generation + 1);
    mkdirSync(to, { recursive: true });
    if (existsSync(join(from, DATA))) transfer(from, to);
    this.generation++;
    this.db?.discardUnsynced();
    if (this.db?.sql.open) this.db.close();
    this.db = undefined;
    rmSync(from, { recursive: true, force: true });
  }
}

/** The content of a file after a power loss: each block written since the last sync is kept, dropped or torn. */
function afterPowerLoss(synced: Buffer, written: Buffer, keepShare: number, random: RandomSource): Buffer {
  const result = Buffer.alloc(Math.max(synced.length, written.length));
  synced.copy(result);
  let length = synced.length;
  for (let offset = 0; offset < written.length; offset += BLOCK_BYTES) {
    const end = Math.min(offset + BLOCK_BYTES, written.length);
    const block = written.subarray(offset, end);
    if (end <= synced.length && block.equals(synced.subarray(offset, end))) continue;
    const kept = keptBytes(block.length, keepShare, random);
    if (!kept) continue;
    block.copy(result, offset, 0, kept);
    length = Math.max(length, offset + kept);
  }
  return result.subarray(0, length);
}

/** Number of bytes of an unsynced block that survive a power loss. */
function keptBytes(bytes: number, keepShare: number, random: RandomSource): number {
  if (random.next() >= keepShare) return 0;
  return random.next() < TORN_SHARE ? Math.floor(bytes * random.next()) : bytes;
}
