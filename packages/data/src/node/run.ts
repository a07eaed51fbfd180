import { watchFile, unwatchFile } from 'node:fs';
import {
  PROCESS,
  isDiskUsable,
  readNodeConfig,
  realClock,
  realHost,
  runPeriodically,
  withTimeout,
  type Host,
  type Kernel,
  type NodeConfig,
  type Role,
} from '@harecross/kernel';
import { serveHttp, type Edge } from '../gateway/edge.js';
import { startNode } from './node.js';

/** Exit code of a process that is to be started again for its disk, as after a disk fault. */
const DISK_EXIT_CODE = 3;

/** A node's process: where its config comes from, and who it listens to. */
export interface ProcessOptions {
  /** Named in messages. */
  program: string;
  /** Reread on a signal and when it changes, if there is one. */
  file: string | undefined;
  /** Throws an Error with one clear line. */
  read(): NodeConfig;
  /** Begins to serve the outside; gives what ends it. */
  listen(kernel: Kernel, edge: Edge, config: NodeConfig): Promise<() => void | Promise<void>>;
}

/**
 * Runs a node of the product's own programs: config file and flags, HTTP for callers.
 * @example
 * await runNode('store', 'store-1.json', {});
 */
export function runNode(role: Role, file: string | undefined, flags: Partial<NodeConfig>): Promise<void> {
  return runProcess({
    program: `harecross-${role}`,
    file,
    read: () => readNodeConfig(role, file, flags),
    listen: (k, edge, config) => serveHttp(k, edge, config.client),
  });
}

/**
 * Runs a node as a process: config, signals, rereads, a stop within its time.
 * @example
 * await runProcess({ program: 'harecross-store', file, read, listen });
 */
export async function runProcess(plan: ProcessOptions): Promise<void> {
  const { program, file } = plan;
  let config: NodeConfig;
  try {
    config = plan.read();
  } catch (e) {
    process.stderr.write(`${program}: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(2);
  }
  const cannot = (e: unknown): never => {
    process.stderr.write(`${program}: cannot start: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(1);
  };
  // Signals may come before there is anything to say them to: a changed file is read again once we are up, and to leave
  // is to end.
  let heard: (() => void) | undefined;
  let early = false;
  let leave = (_reason: string, _code?: number): void => process.exit(0);
  process.on('SIGHUP', () => {
    if (heard) heard();
    else early = true;
  });
  process.on('SIGTERM', () => leave('SIGTERM'));
  process.on('SIGINT', () => leave('SIGINT'));
  let host: Host;
  try {
    host = realHost(config);
  } catch (e) {
    return cannot(e);
  }
  const { kernel, edge } = await startNode(host).catch(cannot);
  const closeListeners = await plan.listen(kernel, edge, config).catch((e) => {
    process.stderr.write(
      `${program}: cannot listen at ${config.client}: ${e instanceof Error ? e.message : String(e)}\n`,
    );
    process.exit(1);
  });
  host.log.info(`${config.role} up`, {
    peer: config.peer,
    client: config.client,
    domain: config.domain,
    data: config.data,
  });

  const reread = (why: string): void => {
    if (!file) return;
    try {
      const next = plan.read();
      const fixed = (['peer', 'client', 'data'] as const).filter((f) => next[f] !== config[f]);
      if (fixed.length) throw new Error(`${file}: ${fixed.join(', ')} cannot change while running`);
      const changed = JSON.stringify(next) !== JSON.stringify(config);
      // The host's config object is what every plug-in reads.
      Object.assign(config, next);
      if (changed) kernel.use('membership').publishOwnRecord();
      host.log.info(changed ? 'config reread' : 'config reread, nothing changed', { why });
      kernel.incrementCounter('config.reread');
    } catch (e) {
      kernel.incrementCounter('config.bad');
      host.log.warn(`config kept as it was: ${e instanceof Error ? e.message : String(e)}`, { why });
    }
  };
  heard = () => reread('signal');
  if (early) heard();
  if (file) {
    watchFile(file, { interval: PROCESS.settingsPollMs }, (a, b) => {
      if (a.mtimeMs !== b.mtimeMs || a.size !== b.size || a.ino !== b.ino) reread('file changed');
    });
  }

  let leaving = false;
  leave = (reason, code = 0) => {
    if (leaving) return;
    leaving = true;
    host.log.info(`leaving on ${reason}`);
    if (file) unwatchFile(file);
    void withTimeout(realClock, config.stopMs ?? PROCESS.stopMs, kernel.stop()).then(() => {
      void closeListeners();
      host.log.info('left', { counters: Object.fromEntries(kernel.counters) });
      process.exit(code);
    });
  };
  const { data } = config;
  if (data !== undefined && !host.db) {
    const restartOnceUsable = async (): Promise<void> => {
      if (isDiskUsable(data)) leave('its disk being usable again', DISK_EXIT_CODE);
    };
    kernel.addSubscription(runPeriodically(realClock, PROCESS.diskRetryMs, host.random, restartOnceUsable));
  }
}
