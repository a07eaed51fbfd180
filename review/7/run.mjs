/** One of three stores loses its disk while the history of one topic is large; see claim.txt. */
import { mkdirSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { sleep } from '../lib-2/deployment.mjs';
import { playHeavyDay } from '../lib-2/heavy-day.mjs';

const LOSS_AT = 72;
const DARK_S = 2;
const RECOVERY_S = 12;

async function loseDisk(day) {
  const store = day.deployment.of('store')[0];
  day.handled.add(store);
  day.log(`${store.name} loses power and its disk`);
  await day.deployment.kill(store);
  rmSync(store.data, { recursive: true });
  mkdirSync(store.data);
  await sleep(DARK_S * 1_000);
  day.log(`${store.name} is back at its address with an empty disk`);
  day.deployment.start(store);
  day.handled.delete(store);
}

await playHeavyDay(fileURLToPath(new URL('record.txt', import.meta.url)), {
  rate: 94.4,
  topics: 1,
  disruptAt: LOSS_AT,
  disrupt: loseDisk,
  judgeTo: LOSS_AT,
  stopSendingAt: LOSS_AT + DARK_S + 10,
  takeUpAt: LOSS_AT + DARK_S + RECOVERY_S,
  takeUpLimitS: 12,
});
