/**
 * Prints the sizes of the consensus value, the voters' disks and the membership while a simulated fleet goes through many configuration
 * changes and machine replacements. The argument is the number of rounds: `node packages/trial/dist/growth.js 170`.
 */
import { longLife } from './test/long-life.js';

const ROUNDS = Number(process.argv[2] ?? 170);
const PRINT_EVERY = 10;
const PRINTED_SIZES = [
  'value.disks',
  'value.incarnations',
  'control.membership.members',
  'control.membership.table.tombstones',
  'disk.meta chars',
  'disk.entry rows',
];

const life = await longLife(1);
for (let round = 1; round <= ROUNDS; round++) {
  await life.round();
  if (round % PRINT_EVERY) continue;
  const { valueChars, parts } = life.sizes();
  const sizes = PRINTED_SIZES.map((key) => `${key} ${parts.get(key) ?? 0}`).join(', ');
  process.stdout.write(`${round} rounds ${JSON.stringify(life.counts)}: value ${valueChars} chars, ${sizes}\n`);
}
process.exit(0);
