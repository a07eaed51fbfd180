import { createHash } from 'node:crypto';
import { PROCESS, SHARD } from './constants.js';

const known = new Map<string, number>();

/**
 * A 32-bit hash, the same on every machine. Shards and ranks are asked for again and again: the latest are remembered.
 * @example
 * hash('meter/12') % 32
 */
export function hash(s: string): number {
  let h = known.get(s);
  if (h === undefined) {
    h = createHash('md5').update(s).digest().readUInt32BE(0);
    if (known.size >= PROCESS.hashCacheSize) known.clear();
    known.set(s, h);
  }
  return h;
}

/**
 * Rendezvous: nodes ranked for a key. When a node goes, only its keys move.
 * @example
 * rank('shard/3', ['a', 'b', 'c'])[0] // the owner
 */
export function rendezvousOrder<T>(key: string, xs: Iterable<T>, name: (x: T) => string = String): T[] {
  return [...xs]
    .map((x) => [hash(`${key}|${name(x)}`), name(x), x] as const)
    .sort((a, b) => b[0] - a[0] || (a[1] < b[1] ? -1 : 1))
    .map((t) => t[2]);
}

/**
 * The shard of a topic.
 * @example
 * shardOf('pay/77'); // 12
 */
export function shardOf(topic: string): number {
  return hash(`topic/${topic}`) % SHARD.shardCount;
}
