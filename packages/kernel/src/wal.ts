import { closeSync, existsSync, openSync, readSync } from 'node:fs';

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

/** Reads a file part by part, so that memory does not depend on its length. */
class FileReader {
  private offset = 0;

  constructor(private readonly fd: number) {}

  /** Fills a buffer with the next bytes; false if the file has fewer. */
  fill(buffer: Buffer): boolean {
    const bytes = readSync(this.fd, buffer, 0, buffer.length, this.offset);
    this.offset += bytes;
    return bytes === buffer.length;
  }
}

/** The header of a log. */
interface WalHeader {
  isIntact: boolean;
  bigEndian: boolean;
  pageSize: number;
  salts: Buffer;
  checksum: [number, number];
}

function readWalHeader(header: Buffer): WalHeader {
  const bigEndian = (header.readUInt32BE(0) & 1) === 1;
  const checksum = updateChecksum(header, 0, 24, bigEndian, [0, 0]);
  const isIntact =
    (header.readUInt32BE(0) | 1) === MAGIC &&
    header.readUInt32BE(24) === checksum[0] &&
    header.readUInt32BE(28) === checksum[1];
  return { isIntact, bigEndian, pageSize: header.readUInt32BE(8), salts: header.subarray(16, 24), checksum };
}

/** Where a log is corrupt, and how many commits end at or after that place. */
interface WalCorruption {
  /** Number of the first corrupt frame; 0 stands for the header. */
  frame: number;
  commitsBehind: number;
}

function scanFrames(reader: FileReader, { isIntact, bigEndian, pageSize, salts, checksum }: WalHeader): WalCorruption {
  const frame = Buffer.alloc(FRAME_HEADER_BYTES + pageSize);
  let corruptFrame = isIntact ? -1 : 0;
  let commitsBehind = 0;
  let expectedSalts = isIntact ? salts : undefined;
  for (let i = 1; reader.fill(frame); i++) {
    // With a corrupt header, the salts of the first frame are assumed.
    expectedSalts ??= Buffer.from(frame.subarray(8, 16));
    // Frames left from before the last restart of the log have other salts.
    if (!frame.subarray(8, 16).equals(expectedSalts)) {
      if (corruptFrame < 0) break;
      continue;
    }
    if (corruptFrame < 0) {
      checksum = updateChecksum(frame, 0, 8, bigEndian, checksum);
      checksum = updateChecksum(frame, FRAME_HEADER_BYTES, frame.length, bigEndian, checksum);
      if (frame.readUInt32BE(16) !== checksum[0] || frame.readUInt32BE(20) !== checksum[1]) corruptFrame = i;
    }
    if (corruptFrame >= 0 && frame.readUInt32BE(4) !== 0) commitsBehind++;
  }
  return { frame: corruptFrame, commitsBehind };
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
  const fd = openSync(wal, 'r');
  try {
    return describeCorruption(new FileReader(fd), file);
  } finally {
    closeSync(fd);
  }
}

function describeCorruption(reader: FileReader, file: string): string | undefined {
  const bytes = Buffer.alloc(WAL_HEADER_BYTES);
  if (!reader.fill(bytes)) return undefined;
  const header = readWalHeader(bytes);
  // With a corrupt header, the page size of the database is assumed.
  if (!header.isIntact) header.pageSize = readPageSize(file);
  if (header.pageSize < 512 || header.pageSize > 65_536) return 'the header of the write-ahead log is corrupt';
  const { frame, commitsBehind } = scanFrames(reader, header);
  if (frame < 0 || commitsBehind < 2) return undefined;
  const place = frame === 0 ? 'the header' : `frame ${frame}`;
  return `${place} of the write-ahead log is corrupt, and ${commitsBehind} commits end at or after it`;
}
