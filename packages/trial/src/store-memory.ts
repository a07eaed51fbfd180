/** Command: prints a store's memory at several amounts of kept history. */
import yargs from 'yargs';
import { StoreHistory } from './store-history.js';

const options = yargs(process.argv.slice(2))
  .scriptName('store-memory')
  .usage('$0 [flags]\n\nResident memory of the largest of three stores (MB) by the history that they keep.')
  .option('kept', { type: 'string', default: '20,40,80,160', describe: 'MB kept, comma-separated and rising' })
  .option('body', { type: 'number', default: 16_384, describe: 'characters of a body' })
  .option('topics', { type: 'number', default: 1 })
  .option('published', {
    type: 'boolean',
    default: true,
    describe: 'publish all messages; otherwise most are written to the disks while the stores are down',
  })
  .option('heap', { type: 'number', default: 180, describe: 'limit of the heap of each process (MB)' })
  .option('checkout', { type: 'string', describe: 'a built checkout to measure; default: this one' })
  .strict()
  .parseSync();

const history = await StoreHistory.start({
  bodyBytes: options.body,
  topics: options.topics,
  nodeOptions: [`--max-old-space-size=${options.heap}`, '--max-semi-space-size=4'],
  ...(options.checkout ? { checkout: options.checkout } : {}),
});
try {
  process.stdout.write('| MB kept | at rest | beside a lost disk | after all restarted | out of memory |\n');
  process.stdout.write('| ---: | ---: | ---: | ---: | ---: |\n');
  for (const kept of options.kept.split(',').map(Number)) {
    await (options.published ? history.fillTo(kept) : history.writeTo(kept));
    const { atRest, besideLostDisk, afterRestart } = await history.measure();
    const cells = [kept, atRest.toFixed(0), besideLostDisk.toFixed(0), afterRestart.toFixed(0), history.outOfMemory()];
    process.stdout.write(`| ${cells.join(' | ')} |\n`);
  }
} finally {
  await history.close();
}
