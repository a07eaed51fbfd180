import { createHash } from 'node:crypto';
import { PROCESS, SHARD } from './constants.js';

const hashCache = new Map<string, number>();

/**
 * A 32-bit hash that is the same on every machine. Results are cached, since the same topics and ranking keys are hashed repeatedly.
 * @example
 * hash('meter/12') % 32
 */
export function hash(s: string): number {
  let value = hashCache.get(s);
  if (value === undefined) {
    value = createHash('md5').update(s).digest().readUInt32BE(0);
    if (hashCache.size >= PROCESS.hashCacheSize) hashCache.clear();
    hashCache.set(s, value);
  }
  return value;
}

/**
 * Orders nodes for a key by rendezvous hashing. When a node is removed, only its own keys move to other nodes.
 * @example
 * rendezvousOrder('shard/3', ['a', 'b', 'c'])[0] // the owner
 */
export function rendezvousOrder<T>(key: string, nodes: Iterable<T>, nameOf: (node: T) => string = String): T[] {
  return [...nodes]
    .map((node) => [hash(`${key}|${nameOf(node)}`), nameOf(node), node] as const)
    .sort((a, b) => b[0] - a[0] || (a[1] < b[1] ? -1 : 1))
    .map((ranked) => ranked[2]);
}

/**
 * The number of the shard that a topic belongs to.
 * @example
 * shardOf('pay/77'); // 12
 */
export function shardOf(topic: string): number {
  return hash(`topic/${topic}`) % SHARD.shardCount;
}
