import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import type { NodeConfig, Role } from './host.js';

/** The product's version, as in its packages. */
export const VERSION: string = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')).version;

/**
 * Reads the flags of a node program; on a bad one prints a line and ends with 2.
 * @example
 * const { file, flags } = nodeFlags('relay', process.argv.slice(2));
 */
export function parseNodeFlags(role: Role, argv: string[]): { file?: string; flags: Partial<NodeConfig> } {
  const a = yargs(argv)
    .scriptName(`harecross-${role}`)
    .usage(
      `$0 --config FILE [flags]\n\nRuns a ${role === 'relay' ? 'relay: an access machine that holds conns' : 'store: a storage machine that keeps copies and owns keys'}. Flags go over the file.`,
    )
    .option('config', { type: 'string', describe: 'JSON file: domain, peer, client, seeds, data' })
    .option('domain', { type: 'string', describe: 'domain (zone) of this machine' })
    .option('peer', { type: 'string', describe: 'ip:port for the other processes' })
    .option('client', { type: 'string', describe: 'ip:port for consumers and operators' })
    .option('seeds', { type: 'string', describe: 'three ip:port, comma between; the same at every process' })
    .option('data', {
      type: 'string',
      describe: role === 'relay' ? 'data folder; with one, this relay also keeps copies' : 'data folder',
    })
    .strict()
    .version(VERSION)
    .fail((msg, err) => {
      process.stderr.write(`harecross-${role}: ${(msg || err?.message || 'bad flags').split('\n')[0]}\n`);
      process.exit(2);
    })
    .parseSync();
  const flags: Partial<NodeConfig> = {};
  if (a.domain !== undefined) flags.domain = a.domain;
  if (a.peer !== undefined) flags.peer = a.peer;
  if (a.client !== undefined) flags.client = a.client;
  if (a.data !== undefined) flags.data = a.data;
  if (a.seeds !== undefined) flags.seeds = a.seeds.split(',').map((s) => s.trim());
  return { file: a.config, flags };
}
