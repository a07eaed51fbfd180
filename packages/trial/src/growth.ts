/** Prints how large the agreed value, the voters' disks and the membership are as a fleet lives long: `node packages/trial/dist/growth.js 170`. */
import { longLife } from './test/long-life.js';

const ROUNDS = Number(process.argv[2] ?? 170);
const PRINT_EVERY = 10;
const SHOWN = [
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
  const shown = SHOWN.map((key) => `${key} ${parts.get(key) ?? 0}`).join(', ');
  process.stdout.write(`${round} rounds ${JSON.stringify(life.counts)}: value ${valueChars} chars, ${shown}\n`);
}
process.exit(0);
