import { closeSync, existsSync, openSync, readFileSync, readSync } from 'node:fs';

const HEADER = 32;
const FRAME = 24;
/** First word of a log, where its checksums are big-endian; one less where they are not. */
const MAGIC = 0x377f0683;

/** The running checksum of SQLite's published WAL format, over big- or little-endian words. */
function sum(b: Buffer, from: number, to: number, big: boolean, s: [number, number]): [number, number] {
  let [x, y] = s;
  for (let i = from; i < to; i += 8) {
    x = (x + (big ? b.readUInt32BE(i) : b.readUInt32LE(i)) + y) >>> 0;
    y = (y + (big ? b.readUInt32BE(i + 4) : b.readUInt32LE(i + 4)) + x) >>> 0;
  }
  return [x, y];
}

/** Bytes of a page of the database, from its own head. */
function pageOf(file: string): number {
  const h = Buffer.alloc(18);
  const fd = openSync(file, 'r');
  try {
    if (readSync(fd, h, 0, 18, 0) < 18) return 0;
  } finally {
    closeSync(fd);
  }
  const n = h.readUInt16BE(16);
  return n === 1 ? 65_536 : n;
}

/**
 * Why a database's write-ahead log can't be trusted; undefined when it can. The database reads the log up to the first
 * frame whose checksum is wrong and leaves out the rest, as it should after a torn write. But commits are synced one
 * after another: two whole commits behind a wrong frame (or a wrong head) were never torn, and leaving them out would
 * take back what was answered. A wrong frame in the very last commit can't be told from a torn one.
 * @example
 * wrongInWal('/var/lib/harecross/state.db'); // 'frame 7 of the log is altered, 3 commits are behind it'
 */
export function findWalCorruption(file: string): string | undefined {
  const wal = `${file}-wal`;
  if (!existsSync(wal)) return undefined;
  const b = readFileSync(wal);
  if (b.length < HEADER) return undefined;
  const big = (b.readUInt32BE(0) & 1) === 1;
  let s = sum(b, 0, 24, big, [0, 0]);
  const headOk = (b.readUInt32BE(0) | 1) === MAGIC && b.readUInt32BE(24) === s[0] && b.readUInt32BE(28) === s[1];
  // A head that can't be read: frames as long as the database's pages, of the same round as the first.
  const page = headOk ? b.readUInt32BE(8) : pageOf(file);
  if (page < 512 || page > 65_536) return 'the head of the log is altered';
  const salts = headOk ? b.subarray(16, 24) : b.subarray(HEADER + 8, HEADER + 16);
  let bad = headOk ? -1 : 0;
  let behind = 0;
  for (let at = HEADER, i = 1; at + FRAME + page <= b.length; at += FRAME + page, i++) {
    // Frames of an earlier round of the log have other salts.
    if (!b.subarray(at + 8, at + 16).equals(salts)) {
      if (bad < 0) break;
      continue;
    }
    if (bad < 0) {
      s = sum(b, at, at + 8, big, s);
      s = sum(b, at + FRAME, at + FRAME + page, big, s);
      if (b.readUInt32BE(at + 16) !== s[0] || b.readUInt32BE(at + 20) !== s[1]) bad = i;
    }
    if (bad >= 0 && b.readUInt32BE(at + 4) !== 0) behind++;
  }
  if (bad < 0 || behind < 2) return undefined;
  return bad === 0
    ? `the head of the log is altered, ${behind} commits are behind it`
    : `frame ${bad} of the log is altered, ${behind} commits are behind it`;
}
