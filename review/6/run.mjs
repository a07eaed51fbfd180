/** A store that has a successor is removed without notice, and another store loses its disk right after. See claim.txt. */
import { mkdirSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Deployment, Recorder, configuration, sleep, space } from '../lib-2/deployment.mjs';
import { Sender, savePlace, takeUpPlace } from '../lib-2/clients.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const TOPICS = 48;
/** How long the successor runs before the old machine is removed; a machine that is removed stops counting once its successor had sync_s, 4 s. */
const SUCCESSOR_RUNS_MS = 9_000;
const AFTER_MS = Number(process.env.AFTER_MS ?? 500);
const DARK_MS = 1_500;
/** recovery_s is 12. */
const RECOVERY_MS = 13_000;
const TAKE_UP_LIMIT_MS = 12_000;
const PERSISTENCE_S = 35;

const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)));
const log = (text) => recorder.log(text);
const deployment = await Deployment.create(recorder, { relays: 3, stores: 4 });
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
  process.on(signal, () => {
    deployment.close();
    process.exit(2);
  });

async function play() {
  log(`TROUBLE=${TROUBLE ? 1 : 0}`);
  const [old, other, , successor] = deployment.of('store');
  const relays = deployment.of('relay');
  const port = deployment.ports.access;
  deployment.startAll(deployment.processes.filter((p) => p !== successor));
  await deployment.ready();
  const status = await deployment.replace(configuration(1, [space('pay.', { persistence_s: PERSISTENCE_S })]));
  if (status !== 200) throw new Error('the configuration was not acknowledged');
  await sleep(1_500);

  log(`${successor.name} is added in the zone of ${old.name}, with an empty disk`);
  deployment.start(successor);
  await sleep(SUCCESSOR_RUNS_MS - 3_000);

  const topics = Array.from({ length: TOPICS }, (_, i) => `pay.${i}`);
  const places = await Promise.all(topics.map((topic, i) => savePlace(`household${i}`, relays[i % 3].ip, port, topic)));
  if (places.includes(undefined)) throw new Error('a place could not be saved');
  const accepted = new Map();
  const firstSentAt = Date.now();
  await Promise.all(
    topics.map(
      (topic, i) =>
        new Promise((resolve) => {
          const done = (message, outcome) => {
            if (outcome === 'accepted') accepted.set(message.topic, `${message.sender} ${message.sequence}`);
            sender.stop();
            resolve();
          };
          const sender = new Sender(`cashier${i}`, port, () => relays[i % 3].ip, done);
          const timer = setInterval(() => {
            if (!sender.idle) return;
            clearInterval(timer);
            sender.publish(topic, `household ${i} has paid its bill`);
          }, 20);
        }),
    ),
  );
  log(`${accepted.size} of ${TOPICS} messages were acknowledged, one on each topic`);
  if (accepted.size < TOPICS) throw new Error('not all messages were acknowledged before the disruption');
  await sleep(2_000);

  if (TROUBLE) {
    log(`${old.name} is removed for good, without SIGTERM, together with its disk`);
    await deployment.kill(old);
    rmSync(old.data, { recursive: true });
    await sleep(AFTER_MS);
    log(`${other.name} loses power and its disk`);
    await deployment.kill(other);
    rmSync(other.data, { recursive: true });
    mkdirSync(other.data);
    await sleep(DARK_MS);
    log(`${other.name} is back at its address with an empty disk`);
    deployment.start(other);
  }
  await sleep(RECOVERY_MS);

  log(
    `new clients take up the saved places; the messages are ${((Date.now() - firstSentAt) / 1_000).toFixed(1)} s old at most (kept ${PERSISTENCE_S} s)`,
  );
  const hosts = relays.map((p) => p.ip);
  const results = await Promise.all(
    topics.map((topic, i) =>
      takeUpPlace(
        `visitor${i}`,
        [...hosts.slice(i % 3), ...hosts.slice(0, i % 3)],
        port,
        topic,
        places[i],
        TAKE_UP_LIMIT_MS,
        (received) => received.has(accepted.get(topic)),
      ),
    ),
  );
  const missing = topics.filter((topic, i) => !results[i].received.has(accepted.get(topic)));
  log(
    `answers other than success: ${[...new Set(results.flatMap((r) => r.troubles.map((t) => t.replace(/pay\.\d+/, 'TOPIC'))))].join('; ') || 'none'}`,
  );
  log(
    `of ${TOPICS} acknowledged messages ${missing.length} did not come within ${TAKE_UP_LIMIT_MS / 1_000} s: ${missing.join(' ')}`,
  );
  log(`LOST ${missing.length ? 'broken' : 'held'}`);
  return missing.length ? 1 : 0;
}

let code = 2;
try {
  code = await play();
} catch (error) {
  log(`could not run: ${error.message}`);
}
deployment.close();
log(`exit ${code}`);
process.exit(code);
