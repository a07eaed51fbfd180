import type { SyncedDatabase } from './disk.js';

/** Clock of a node. Like the other parts of a `Host`, it has a real implementation and one in the simulator. */
export interface Clock {
  /** Monotonic time in ms; may differ from the clocks of other machines by any amount. */
  now(): number;
  /** The machine's wall-clock time in ms since 1970, which may be adjusted while the process runs. For times that operators schedule. */
  wall(): number;
  /** Runs `fn` after `ms`; the returned function cancels it. */
  after(ms: number, fn: () => void): () => void;
}

export interface RandomSource {
  /** A random number in [0, 1). */
  next(): number;
}

/** Callbacks for events of the network other than answers. */
export interface NetEvents {
  /** An established connection to this peer broke: the peer's process may have ended. */
  connectionLost(peer: string): void;
  count(name: string): void;
}

/**
 * Splits an `ip:port` address, which the caller has validated.
 * @example
 * parseAddress('127.0.0.1:7101'); // { host: '127.0.0.1', port: 7101 }
 */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

export interface Net {
  /** Serves frames of peers at the node's address. If the handler rejects, the connection is closed: the frame did not come from a peer. */
  serve(handle: (frame: string) => Promise<string>, events?: NetEvents): Promise<void>;
  /** Sends one request to a peer. Fails with `unreachable` only if the request certainly did not reach the peer. */
  call(peer: string, frame: string, timeoutMs: number): Promise<string>;
  close(): Promise<void>;
}

export interface Log {
  info(line: string, data?: Record<string, unknown>): void;
  warn(line: string, data?: Record<string, unknown>): void;
}

export type Role = 'relay' | 'store' | 'control';

/** What a node's disk may be used for: `seat` is a voter of the register, `copies` are replicas of shards. */
export type DiskUse = 'seat' | 'copies';

/** The config of one process, validated by `readNodeConfig`. */
export interface NodeConfig {
  role: Role;
  domain: string;
  /** Address for RPCs between nodes, ip:port. Also identifies the node. */
  peer: string;
  /** Address for consumers and operators, ip:port. */
  client: string;
  seeds: string[];
  /** Folder for all persistent data; a node without one keeps no replicas. */
  data?: string;
  /** Name of the machine for operators; defaults to its peer address. */
  name?: string;
  /** Uses of the disk, in order of preference. Defaults to `copies`, then `seat`; on a control node to `seat` only. */
  diskUses?: DiskUse[];
  /**
   * Machines with a disk that may fail at once without loss of data. Determines the number of voters, and the number of replicas of a
   * shard where the configuration does not set it.
   */
  losses?: number;
  /** Failure domains that may alternatively fail at once, with all machines in them. */
  domainLosses?: number;
  /** Regions that may alternatively fail at once, with all machines in them. */
  regionLosses?: number;
  /** The region of each failure domain of the deployment; required with `domainLosses` or `regionLosses`. */
  domains?: Record<string, string>;
  /** Within this time (ms) after a change of configuration was acknowledged, it is in force at the node or the node does not serve. */
  applyMs?: number;
  /** Whether this is the first start of the whole fleet; `false` forbids bootstrapping one. Unknown if omitted. */
  firstStart?: boolean;
  /** Consumers without other traffic ping at least this often (s). */
  pingS?: number;
  /** Time from SIGTERM to the exit of the process (ms); SIGKILL must come later. */
  stopMs?: number;
}

/** The environment of a node: clock, randomness, network, log, config and disk. */
export interface Host {
  clock: Clock;
  random: RandomSource;
  net: Net;
  log: Log;
  config: NodeConfig;
  db?: SyncedDatabase;
  /** Ends the process; for faults with which it must not serve requests. */
  terminate(reason: string): void;
}

/**
 * A random integer in [0, n).
 * @example
 * const i = randomInt(random, 3); // 0, 1 or 2
 */
export function randomInt(random: RandomSource, n: number): number {
  return Math.floor(random.next() * n);
}

/**
 * Up to n distinct items in random order.
 * @example
 * randomSample(random, ['a', 'b', 'c'], 2); // ['c', 'a']
 */
export function randomSample<T>(random: RandomSource, items: readonly T[], n: number): T[] {
  const shuffled = [...items];
  const count = Math.min(n, shuffled.length);
  for (let i = 0; i < count; i++) {
    const j = i + randomInt(random, shuffled.length - i);
    [shuffled[i], shuffled[j]] = [shuffled[j]!, shuffled[i]!];
  }
  return shuffled.slice(0, count);
}

/**
 * A retry delay with jitter, uniformly distributed over [ms, 2 * ms).
 * @example
 * jitteredRetryMs(random, 400); // 613
 */
export function jitteredRetryMs(random: RandomSource, ms: number): number {
  return Math.round(ms * (1 + random.next()));
}
