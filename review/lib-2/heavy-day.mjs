/**
 * A day on which many clients publish bodies of the longest kind, with one disruption in it. Shared by review/7 and review/8. It checks two
 * rules: LOST (a new client takes up a place that was saved before, and must get what was acknowledged since) and Fault (processes that
 * end by themselves, without trouble on their machine).
 */
import { readFileSync } from 'node:fs';
import { Deployment, Recorder, configuration, sleep, space } from './deployment.mjs';
import { Sender, savePlace, takeUpPlace } from './clients.mjs';

/** The longest body that the pages allow. */
const BODY_BYTES = 16 * 1024;
const PERSISTENCE_S = 35;
const SENDERS = 40;
const RESTART_DELAY_MS = 1_000;
/** The place is saved this long before the last of the messages that are judged. */
const JUDGED_S = 3;

const memoryMb = (p) => {
  try {
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${p.child.pid}/status`, 'utf8'))[1]) / 1024);
  } catch {
    return 0;
  }
};

/**
 * Plays the day and ends the process with the exit code of the case: 1 a rule was broken, 0 both held, 2 it could not run.
 * - `rate`: messages per second of all clients; `topics`: number of topics that they are spread over.
 * - `disruptAt`: seconds from the first message to `disrupt(day)`, which is left out with TROUBLE=0.
 * - `judgeTo`: messages acknowledged before this second are owed; the place is saved `JUDGED_S` earlier.
 * - `stopSendingAt`, `takeUpAt`, `takeUpLimitS`: when traffic ends, when the new client comes and how long it waits.
 */
export async function playHeavyDay(recordFile, options) {
  const trouble = process.env.TROUBLE !== '0';
  const recorder = new Recorder(recordFile);
  const deployment = await Deployment.create(recorder, { relays: 3, stores: 3 });
  const day = new HeavyDay(recorder, deployment, options, trouble);
  // Whoever ends the script early leaves no process behind.
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.on(signal, () => {
      day.close();
      process.exit(2);
    });
  let code = 2;
  try {
    code = await day.play();
  } catch (error) {
    recorder.log(`could not run: ${error.message}`);
  }
  day.close();
  recorder.log(`exit ${code}`);
  process.exit(code);
}

class HeavyDay {
  ownEnds = [];
  /** Processes whose end is the disruption's, or for which a restart is under way. */
  handled = new Set();
  counts = { sent: 0, accepted: 0, other: 0, skipped: 0 };
  accepted = [];
  senders = [];
  timers = [];
  closed = false;

  constructor(recorder, deployment, options, trouble) {
    Object.assign(this, { recorder, deployment, options, trouble });
  }

  log(text) {
    this.recorder.log(text);
  }
  /** Seconds since the first message. */
  now() {
    return (Date.now() - this.startedAt) / 1_000;
  }
  async until(second) {
    while (this.now() < second) await sleep(20);
  }
  topic(i) {
    return this.options.topics === 1 ? 'pay.tariff' : `pay.${i % this.options.topics}`;
  }

  async play() {
    const { options, deployment } = this;
    this.log(`TROUBLE=${this.trouble ? 1 : 0}`);
    deployment.startAll();
    await deployment.ready();
    const status = await deployment.replace(configuration(1, [space('pay.', { persistence_s: PERSISTENCE_S })]));
    if (status !== 200) throw new Error('the configuration was not acknowledged');
    this.superviseProcesses();
    this.relays = deployment.of('relay');
    this.createSenders();
    await sleep(1_000);
    this.startTraffic();

    const disruption = this.trouble ? this.until(options.disruptAt).then(() => options.disrupt(this)) : undefined;
    await this.until(options.judgeTo - JUDGED_S);
    const topic = this.topic(0);
    const cursor = await savePlace('household1', this.relays[0].ip, deployment.ports.access, topic);
    const savedAt = Date.now();
    this.log(`saved place on ${topic}: ${cursor}`);
    if (cursor === undefined) throw new Error('no place could be saved');
    await this.until(options.judgeTo);
    const judgedAt = Date.now();
    await disruption;
    await this.until(options.takeUpAt);

    const owed = this.accepted
      .filter((m) => m.topic === topic && m.firstSentAt > savedAt && m.answeredAt < judgedAt)
      .map((m) => m.id);
    const age = (Date.now() - savedAt) / 1_000;
    this.log(
      `a new client takes up the saved place: ${owed.length} messages acknowledged since are owed, at most ${age.toFixed(1)} s old (kept ${PERSISTENCE_S} s)`,
    );
    if (owed.length === 0 && this.ownEnds.length === 0)
      throw new Error('no message was accepted on the topic of the saved place');
    const hosts = this.relays.map((p) => p.ip);
    const got = await takeUpPlace(
      'household2',
      hosts,
      deployment.ports.access,
      topic,
      cursor,
      options.takeUpLimitS * 1_000,
      (received) => owed.every((id) => received.has(id)),
    );
    // Processes are watched as long, however early the messages came.
    await this.until(options.takeUpAt + options.takeUpLimitS);
    return this.judge(owed, got);
  }

  judge(owed, got) {
    const missing = owed.filter((id) => !got.received.has(id));
    const machines = new Set(this.ownEnds.map((end) => end.machine));
    this.log(`answers other than success to the new client: ${[...new Set(got.troubles)].join('; ') || 'none'}`);
    this.log(`of ${owed.length} owed messages ${missing.length} did not come within ${this.options.takeUpLimitS} s`);
    this.log(
      `processes that ended by themselves: ${this.ownEnds.length}, on ${machines.size} machines; sent ${this.counts.sent}, accepted ${this.counts.accepted}`,
    );
    const lost = missing.length > 0;
    const fault = this.ownEnds.length >= 3 && machines.size >= 2;
    this.log(
      `LOST ${lost ? 'broken' : 'held'}; Fault (three ends, on two machines at least, without trouble there) ${fault ? 'broken' : 'held'}`,
    );
    return lost || fault ? 1 : 0;
  }

  /** The platform starts a process again after a short delay, whyever it ended. */
  superviseProcesses() {
    this.every(50, () => {
      for (const p of this.deployment.processes) {
        if (p.running || this.handled.has(p)) continue;
        this.handled.add(p);
        const words =
          p.output
            .split('\n')
            .filter((line) => /FATAL|disk fault|cannot start/.test(line))
            .at(-1) ?? '';
        this.ownEnds.push({ name: p.name, machine: p.ip });
        this.log(`${p.name} ended by itself (${p.exit}), ${this.now().toFixed(1)} s after the first message: ${words}`);
        setTimeout(() => {
          this.handled.delete(p);
          if (!this.closed) this.deployment.start(p);
        }, RESTART_DELAY_MS);
      }
    });
  }

  createSenders() {
    const onOutcome = (message, outcome) => {
      if (outcome !== 'accepted') {
        this.counts.other++;
        return;
      }
      this.counts.accepted++;
      this.accepted.push({
        id: `${message.sender} ${message.sequence}`,
        topic: message.topic,
        firstSentAt: message.firstSentAt,
        answeredAt: message.answeredAt,
      });
    };
    let turn = 0;
    for (let i = 0; i < SENDERS; i++) {
      const place = () => this.relays[(i + turn++) % this.relays.length].ip;
      this.senders.push(new Sender(`cashier${i}`, this.deployment.ports.access, place, onOutcome));
    }
  }

  startTraffic() {
    this.startedAt = Date.now();
    let due = 0;
    this.every(5, () => {
      if (this.now() > this.options.stopSendingAt) return;
      while (due < this.now() * this.options.rate) {
        due++;
        const sender = this.senders.find((s) => s.idle);
        if (!sender) {
          this.counts.skipped++;
          continue;
        }
        const body = `${due}-${Math.random()}-`.padEnd(BODY_BYTES, Math.random().toString(36));
        this.counts.sent++;
        sender.publish(this.topic(due), body);
      }
    });
    this.every(4_000, () => {
      const { sent, accepted, other, skipped } = this.counts;
      const memory = this.deployment.of('store').map(memoryMb).join(' ');
      this.log(
        `sent ${sent}, accepted ${accepted}, not accepted ${other}, not sent for want of an idle client ${skipped}; memory of the stores (MB): ${memory}; ended by themselves: ${this.ownEnds.length}`,
      );
    });
  }

  every(ms, task) {
    this.timers.push(setInterval(() => task(), ms));
  }

  close() {
    this.closed = true;
    for (const timer of this.timers) clearInterval(timer);
    for (const sender of this.senders) sender.stop();
    this.deployment.close();
  }
}
