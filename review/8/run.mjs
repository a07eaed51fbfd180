/** All machines that count are killed at once and are back a second later; a minute on, the stores run out of memory. See claim.txt. */
import { fileURLToPath } from 'node:url';
import { sleep } from '../lib-2/deployment.mjs';
import { playHeavyDay } from '../lib-2/heavy-day.mjs';

const KILL_AT = 45;
const DOWN_S = 0.75;

async function killAll(day) {
  const counted = [...day.deployment.of('store'), ...day.deployment.of('control')];
  for (const p of counted) day.handled.add(p);
  day.log('all machines that count are killed at once');
  await Promise.all(counted.map((p) => day.deployment.kill(p)));
  await sleep(DOWN_S * 1_000);
  for (const p of counted) {
    day.deployment.start(p);
    day.handled.delete(p);
  }
}

await playHeavyDay(fileURLToPath(new URL('record.txt', import.meta.url)), {
  rate: 113.3,
  topics: 30,
  disruptAt: KILL_AT,
  disrupt: killAll,
  judgeTo: 84,
  stopSendingAt: 97,
  takeUpAt: 98,
  takeUpLimitS: 8,
});
