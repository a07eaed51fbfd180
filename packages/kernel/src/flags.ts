import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import type { NodeConfig, Role } from './host.js';

/** Version of the product, as in its package files. */
export const VERSION: string = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')).version;

/**
 * Parses the command line of a node program. On an invalid flag it prints one line and exits with status 2.
 * @example
 * const { file, flags } = parseNodeFlags('relay', process.argv.slice(2));
 */
export function parseNodeFlags(role: Role, argv: string[]): { file?: string; flags: Partial<NodeConfig> } {
  const args = yargs(argv)
    .scriptName(`harecross-${role}`)
    .usage(
      `$0 --config FILE [flags]\n\nRuns a ${role === 'relay' ? 'relay: an access machine that serves client connections' : 'store: a storage machine that keeps replicas of shards and owns shards'}. Flags override the file.`,
    )
    .option('config', { type: 'string', describe: 'JSON file: domain, peer, client, seeds, data' })
    .option('domain', { type: 'string', describe: 'failure domain (zone) of this machine' })
    .option('peer', { type: 'string', describe: 'ip:port for RPCs from other nodes' })
    .option('client', { type: 'string', describe: 'ip:port for consumers and operators' })
    .option('seeds', { type: 'string', describe: 'up to three ip:port, comma-separated; the same for every process' })
    .option('data', {
      type: 'string',
      describe: role === 'relay' ? 'data folder; with one, this relay also keeps replicas' : 'data folder',
    })
    .strict()
    .version(VERSION)
    .fail((message, error) => {
      process.stderr.write(`harecross-${role}: ${(message || error?.message || 'invalid flags').split('\n')[0]}\n`);
      process.exit(2);
    })
    .parseSync();
  const flags: Partial<NodeConfig> = {};
  if (args.domain !== undefined) flags.domain = args.domain;
  if (args.peer !== undefined) flags.peer = args.peer;
  if (args.client !== undefined) flags.client = args.client;
  if (args.data !== undefined) flags.data = args.data;
  if (args.seeds !== undefined) flags.seeds = args.seeds.split(',').map((seed) => seed.trim());
  return { file: args.config, flags };
}
