import type { SyncedDatabase } from './disk.js';

/** What a node gets from its surroundings. The real one and the simulator's stand behind the same face. */
export interface Clock {
  /** Milliseconds that never go back while running; may differ from other machines' by any amount. */
  now(): number;
  /** Ms since 1970 as the machine has it now; may be corrected while running. For what people plan by the clock. */
  wall(): number;
  /** Runs fn after ms; the result cancels. */
  after(ms: number, fn: () => void): () => void;
}

export interface RandomSource {
  /** In [0, 1). */
  next(): number;
}

/** What the net tells of itself beside answers. */
export interface NetEvents {
  /** A connection to this peer broke that was whole: its process may have ended. */
  connectionLost(peer: string): void;
  count(name: string): void;
}

/**
 * Splits an address; the caller has checked it.
 * @example
 * addr('127.0.0.1:7101'); // { host: '127.0.0.1', port: 7101 }
 */
export function parseAddress(a: string): { host: string; port: number } {
  const i = a.lastIndexOf(':');
  return { host: a.slice(0, i), port: Number(a.slice(i + 1)) };
}

export interface Net {
  /** Serves peer frames at our address. A handler that rejects ends the connection: the frame was not a peer's. */
  serve(handle: (frame: string) => Promise<string>, news?: NetEvents): Promise<void>;
  /** One visit to a peer. Fails with `unreachable` only if the peer surely never saw it. */
  call(peer: string, frame: string, timeoutMs: number): Promise<string>;
  close(): Promise<void>;
}

export interface Log {
  info(line: string, data?: Record<string, unknown>): void;
  warn(line: string, data?: Record<string, unknown>): void;
}

export type Role = 'relay' | 'store' | 'control';

/** What a node's disk may be used for: a seat of the register, copies of shards. */
export type DiskUse = 'seat' | 'copies';

/** A process's own config (its place), checked by `readNodeConfig`. */
export interface NodeConfig {
  role: Role;
  domain: string;
  /** Where peers reach us, ip:port. Also our name. */
  peer: string;
  /** Where consumers and operators reach us, ip:port. */
  client: string;
  seeds: string[];
  /** Folder for everything lasting; a node without one keeps no copies. */
  data?: string;
  /** The machine's name, by which operators call it; its peer address where left out. */
  name?: string;
  /** What the disk is for, in order; copies, then a seat where left out, but a control node's is for a seat only. */
  diskUses?: DiskUse[];
  /**
   * Machines with a disk that may be lost at once while nothing is lost: sets the replicas of a shard where the
   * configuration doesn't, and the voters.
   */
  losses?: number;
  /** Failure domains that may be lost at once instead, with all machines in them. */
  domainLosses?: number;
  /** Regions that may be lost at once instead, with all machines in them. */
  regionLosses?: number;
  /** The region of each failure domain of the deployment; needed where domains or regions may be lost. */
  domains?: Record<string, string>;
  /** A change of configuration is in force within this time (ms) after it was acknowledged, or the node silent. */
  applyMs?: number;
  /** Whether this is the very first start of the whole fleet; false forbids founding. Unknown where left out. */
  firstStart?: boolean;
  /** Consumers that say nothing check in at least this often (s). */
  pingS?: number;
  /** From SIGTERM to the end (ms); the hard kill must come later. */
  stopMs?: number;
}

export interface Host {
  clock: Clock;
  random: RandomSource;
  net: Net;
  log: Log;
  config: NodeConfig;
  db?: SyncedDatabase;
  /** Ends the process; for faults it must not serve with. */
  terminate(reason: string): void;
}

/**
 * A random whole number below n.
 * @example
 * const i = below(random, 3); // 0, 1 or 2
 */
export function randomInt(random: RandomSource, n: number): number {
  return Math.floor(random.next() * n);
}

/**
 * Up to n different items in random order.
 * @example
 * sample(random, ['a', 'b', 'c'], 2); // ['c', 'a']
 */
export function randomSample<T>(random: RandomSource, xs: readonly T[], n: number): T[] {
  const a = [...xs];
  const k = Math.min(n, a.length);
  for (let i = 0; i < k; i++) {
    const j = i + randomInt(random, a.length - i);
    [a[i], a[j]] = [a[j]!, a[i]!];
  }
  return a.slice(0, k);
}

/**
 * A time to come back, spread over [ms, 2 ms).
 * @example
 * retryAfter(random, 400); // 613
 */
export function jitteredRetryMs(random: RandomSource, ms: number): number {
  return Math.round(ms * (1 + random.next()));
}
