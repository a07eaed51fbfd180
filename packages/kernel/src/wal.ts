import { closeSync, existsSync, openSync, readFileSync, readSync } from 'node:fs';

const WAL_HEADER_BYTES = 32;
const FRAME_HEADER_BYTES = 24;
/** First word of a log with big-endian checksums; one less in a log with little-endian checksums. */
const MAGIC = 0x377f0683;

/** The running checksum of SQLite's documented WAL format, over big- or little-endian words. */
function updateChecksum(
  bytes: Buffer,
  from: number,
  to: number,
  bigEndian: boolean,
  checksum: [number, number],
): [number, number] {
  let [x, y] = checksum;
  for (let i = from; i < to; i += 8) {
    x = (x + (bigEndian ? bytes.readUInt32BE(i) : bytes.readUInt32LE(i)) + y) >>> 0;
    y = (y + (bigEndian ? bytes.readUInt32BE(i + 4) : bytes.readUInt32LE(i + 4)) + x) >>> 0;
  }
  return [x, y];
}

/** The page size from the header of a database file; 0 if the file is too short. */
function readPageSize(file: string): number {
  const header = Buffer.alloc(18);
  const fd = openSync(file, 'r');
  try {
    if (readSync(fd, header, 0, 18, 0) < 18) return 0;
  } finally {
    closeSync(fd);
  }
  const size = header.readUInt16BE(16);
  return size === 1 ? 65_536 : size;
}

/**
 * Describes a corruption of a database's write-ahead log; undefined if none is found. SQLite reads the log up to the first frame with a
 * wrong checksum and ignores the rest, which is right after a torn write. But commits are synced one after another, so if two commits end
 * at or after a frame (or header) with a wrong checksum, the cause is not a torn write, and ignoring those commits would revoke answers
 * already given. A corrupt frame in the last commit cannot be distinguished from a torn one.
 * @example
 * findWalCorruption('/var/lib/harecross/state.db'); // 'frame 7 of the write-ahead log is corrupt, and 3 commits end at or after it'
 */
export function findWalCorruption(file: string): string | undefined {
  const wal = `${file}-wal`;
  if (!existsSync(wal)) return undefined;
  const log = readFileSync(wal);
  if (log.length < WAL_HEADER_BYTES) return undefined;
  const bigEndian = (log.readUInt32BE(0) & 1) === 1;
  let checksum = updateChecksum(log, 0, 24, bigEndian, [0, 0]);
  const headerOk =
    (log.readUInt32BE(0) | 1) === MAGIC && log.readUInt32BE(24) === checksum[0] && log.readUInt32BE(28) === checksum[1];
  // With a corrupt header, the page size of the database and the salts of the first frame are assumed.
  const pageSize = headerOk ? log.readUInt32BE(8) : readPageSize(file);
  if (pageSize < 512 || pageSize > 65_536) return 'the header of the write-ahead log is corrupt';
  const salts = headerOk ? log.subarray(16, 24) : log.subarray(WAL_HEADER_BYTES + 8, WAL_HEADER_BYTES + 16);
  /** Number of the first corrupt frame: 0 stands for the header, -1 for none. */
  let corruptFrame = headerOk ? -1 : 0;
  /** Commits that end at or after that frame. */
  let commitsBehind = 0;
  for (
    let offset = WAL_HEADER_BYTES, i = 1;
    offset + FRAME_HEADER_BYTES + pageSize <= log.length;
    offset += FRAME_HEADER_BYTES + pageSize, i++
  ) {
    // Frames left from before the last restart of the log have other salts.
    if (!log.subarray(offset + 8, offset + 16).equals(salts)) {
      if (corruptFrame < 0) break;
      continue;
    }
    if (corruptFrame < 0) {
      checksum = updateChecksum(log, offset, offset + 8, bigEndian, checksum);
      checksum = updateChecksum(
        log,
        offset + FRAME_HEADER_BYTES,
        offset + FRAME_HEADER_BYTES + pageSize,
        bigEndian,
        checksum,
      );
      if (log.readUInt32BE(offset + 16) !== checksum[0] || log.readUInt32BE(offset + 20) !== checksum[1])
        corruptFrame = i;
    }
    if (corruptFrame >= 0 && log.readUInt32BE(offset + 4) !== 0) commitsBehind++;
  }
  if (corruptFrame < 0 || commitsBehind < 2) return undefined;
  return corruptFrame === 0
    ? `the header of the write-ahead log is corrupt, and ${commitsBehind} commits end at or after it`
    : `frame ${corruptFrame} of the write-ahead log is corrupt, and ${commitsBehind} commits end at or after it`;
}
