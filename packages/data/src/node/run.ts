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

/** Exit code that asks the supervisor for a restart because of the disk, the same as after a disk fault. */
const DISK_EXIT_CODE = 3;

/** How a process runs a node: where its configuration comes from and where it listens. */
export interface ProcessOptions {
  /** The program's name in messages. */
  program: string;
  /** The configuration file, if there is one: reread on SIGHUP and when it changes. */
  file: string | undefined;
  /** Reads the configuration; throws an Error with a one-line message. */
  read(): NodeConfig;
  /** Starts to serve clients and operators; returns a function that stops it. */
  listen(kernel: Kernel, edge: Edge, config: NodeConfig): Promise<() => void | Promise<void>>;
}

/**
 * Runs a node of the programs harecross-relay and harecross-store: configured by file and flags, serving HTTP.
 * @example
 * await runNode('store', 'store-1.json', {});
 */
export function runNode(role: Role, file: string | undefined, flags: Partial<NodeConfig>): Promise<void> {
  return runProcess({
    program: `harecross-${role}`,
    file,
    read: () => readNodeConfig(role, file, flags),
    listen: (kernel, edge, config) => serveHttp(kernel, edge, config.client),
  });
}

/**
 * Runs a node as a process: reads and rereads the configuration, handles signals, and stops within `stopMs`.
 * @example
 * await runProcess({ program: 'harecross-store', file, read, listen });
 */
export async function runProcess(options: ProcessOptions): Promise<void> {
  const { program, file } = options;
  let config: NodeConfig;
  try {
    config = options.read();
  } catch (e) {
    process.stderr.write(`${program}: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(2);
  }
  const exitCannotStart = (e: unknown): never => {
    process.stderr.write(`${program}: cannot start: ${e instanceof Error ? e.message : String(e)}\n`);
    process.exit(1);
  };
  // Signals that arrive before the node is up: SIGHUP rereads the file once it is up, SIGTERM and SIGINT exit at once.
  let onReload: (() => void) | undefined;
  let reloadPending = false;
  let stop = (_reason: string, _code?: number): void => process.exit(0);
  process.on('SIGHUP', () => {
    if (onReload) onReload();
    else reloadPending = true;
  });
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
  let host: Host;
  try {
    host = realHost(config);
  } catch (e) {
    return exitCannotStart(e);
  }
  const { kernel, edge } = await startNode(host).catch(exitCannotStart);
  const closeListeners = await options.listen(kernel, edge, config).catch((e) => {
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
      const next = options.read();
      const changedFixedFields = (['peer', 'client', 'data'] as const).filter((field) => next[field] !== config[field]);
      if (changedFixedFields.length)
        throw new Error(`${file}: ${changedFixedFields.join(', ')} cannot change while running`);
      const changed = JSON.stringify(next) !== JSON.stringify(config);
      // Updated in place: every plug-in reads the host's configuration object.
      Object.assign(config, next);
      if (changed) kernel.use('membership').publishOwnRecord();
      host.log.info(changed ? 'config reread' : 'config reread, nothing changed', { why });
      kernel.incrementCounter('config.reread');
    } catch (e) {
      kernel.incrementCounter('config.bad');
      host.log.warn(`config kept as it was: ${e instanceof Error ? e.message : String(e)}`, { why });
    }
  };
  onReload = () => reread('signal');
  if (reloadPending) onReload();
  if (file) {
    watchFile(file, { interval: PROCESS.settingsPollMs }, (now, before) => {
      if (now.mtimeMs !== before.mtimeMs || now.size !== before.size || now.ino !== before.ino) reread('file changed');
    });
  }

  let stopping = false;
  stop = (reason, code = 0) => {
    if (stopping) return;
    stopping = true;
    host.log.info(`stopping: ${reason}`);
    if (file) unwatchFile(file);
    void withTimeout(realClock, config.stopMs ?? PROCESS.stopMs, kernel.stop()).then(() => {
      void closeListeners();
      host.log.info('left', { counters: Object.fromEntries(kernel.counters) });
      process.exit(code);
    });
  };
  const { data } = config;
  if (data !== undefined && !host.db) {
    const exitOnceDiskUsable = async (): Promise<void> => {
      if (isDiskUsable(data)) stop('the disk is usable again', DISK_EXIT_CODE);
    };
    kernel.addSubscription(runPeriodically(realClock, PROCESS.diskRetryMs, host.random, exitOnceDiskUsable));
  }
}
