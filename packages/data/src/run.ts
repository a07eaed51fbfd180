import { watchFile, unwatchFile } from 'node:fs';
import { C, readNodeConfig, realHost, within, realClock, type Host, type NodeConfig, type Role } from '@harecross/kernel';
import { serveHttp } from './edge.js';
import { startNode } from './node.js';

/**
 * Runs a node as a process: config file and flags, signals, rereads.
 * @example
 * await runNode('store', 'store-1.json', {});
 */
export async function runNode(role: Role, file: string | undefined, flags: Partial<NodeConfig>): Promise<void> {
  let config: NodeConfig;
  try {
    config = readNodeConfig(role, file, flags);
  } catch (e) {
    process.stderr.write(`harecross-${role}: ${e instanceof Error ? e.message : e}\n`);
    process.exit(2);
  }
  const cannot = (e: unknown): never => {
    process.stderr.write(`harecross-${role}: cannot start: ${e instanceof Error ? e.message : e}\n`);
    process.exit(1);
  };
  let host: Host;
  try {
    host = realHost(config);
  } catch (e) {
    return cannot(e);
  }
  const { kernel, edge } = await startNode(host).catch(cannot);
  const closeHttp = await serveHttp(kernel, edge, config.client).catch((e) => {
    process.stderr.write(`harecross-${role}: cannot listen at ${config.client}: ${e instanceof Error ? e.message : e}\n`);
    process.exit(1);
  });
  host.log.info(`${role} up`, { peer: config.peer, client: config.client, domain: config.domain, data: config.data });

  const reread = (why: string): void => {
    if (!file) return;
    try {
      const next = readNodeConfig(role, file, flags);
      const fixed = (['peer', 'client', 'data'] as const).filter((f) => next[f] !== config[f]);
      if (fixed.length) throw new Error(`${file}: ${fixed.join(', ')} cannot change while running`);
      const changed = next.domain !== config.domain || next.seeds.join() !== config.seeds.join();
      // The host's config object is what every plug-in reads.
      Object.assign(config, next);
      if (changed) kernel.use('board').sayMine();
      host.log.info(changed ? 'config reread' : 'config reread, nothing changed', { why });
      kernel.count('config.reread');
    } catch (e) {
      kernel.count('config.bad');
      host.log.warn(`config kept as it was: ${e instanceof Error ? e.message : e}`, { why });
    }
  };
  process.on('SIGHUP', () => reread('signal'));
  if (file) watchFile(file, { interval: C.rereadMs }, (a, b) => { if (a.mtimeMs !== b.mtimeMs || a.size !== b.size || a.ino !== b.ino) reread('file changed'); });

  let leaving = false;
  const leave = async (sig: string): Promise<void> => {
    if (leaving) return;
    leaving = true;
    host.log.info(`leaving on ${sig}`);
    if (file) unwatchFile(file);
    await within(realClock, C.stopMs, kernel.stop());
    void closeHttp();
    host.log.info('left', { counters: Object.fromEntries(kernel.counters) });
    process.exit(0);
  };
  process.on('SIGTERM', () => void leave('SIGTERM'));
  process.on('SIGINT', () => void leave('SIGINT'));
}
