/** A sender and a subscriber that behave as the pages say. */
import { Connection, sleep } from './deployment.mjs';

/**
 * A client that publishes one message at a time. After INDETERM, a cut or silence it sends the same number again until the message's
 * deadline; after CONGEST it uses a new number, twice. It resets its connection when a PUBLISH gets no answer within `expiryMs`.
 */
export class Sender {
  /** `place()` gives the access address for the next connection; `onOutcome(message, outcome)` is called once for each message. */
  constructor(name, port, place, onOutcome, { expiryMs = 1_500, deadlineMs = 1_500 } = {}) {
    Object.assign(this, { name, port, place, onOutcome, expiryMs, deadlineMs });
    this.sequence = 0;
    this.attached = false;
    this.stopped = false;
    void this.#connect();
  }
  get idle() {
    return this.attached && !this.current;
  }
  async #connect() {
    this.attached = false;
    if (this.stopped) return;
    const connection = new Connection(this.place(), this.port, {
      onMessage: (fields) => this.#received(connection, fields),
      onClose: () => this.#lost(connection),
    });
    this.connection = connection;
    if (!(await connection.connected)) return;
    connection.send(`ATTACH ${this.name}`);
  }
  #lost(connection) {
    if (connection !== this.connection) return;
    this.attached = false;
    clearTimeout(this.silence);
    if (!this.stopped) setTimeout(() => void this.#connect(), 300 + Math.random() * 1_200);
  }
  #received(connection, fields) {
    if (connection !== this.connection) return;
    if (fields[0] === 'CONFIRM' && fields[1] === 'ATTACH') {
      this.attached = true;
      if (this.current) this.#send();
    } else if (fields[0] === 'REJECT' && fields[1] === 'ATTACH') connection.reset();
    else if (fields[0] === 'REDIRECT') connection.end();
    else if (this.current && fields[0] === 'ACCEPT' && Number(fields[2]) === this.current.sequence)
      this.#done('accepted');
    else if (
      this.current &&
      fields[0] === 'REJECT' &&
      fields[1] === 'PUBLISH' &&
      Number(fields[3]) === this.current.sequence
    ) {
      clearTimeout(this.silence);
      if (fields[4] === 'CONGEST') {
        if (this.current.furtherTries-- > 0) {
          this.current.sequence = ++this.sequence;
          this.#send();
        } else this.#done('refused');
      } else if (fields[4] === 'INDETERM') setTimeout(() => this.#send(), 50 + Math.random() * 100);
      else this.#done(fields[4]);
    }
  }
  /** Sends a message; returns its object. Only while `idle`. */
  publish(topic, body) {
    this.current = {
      sender: this.name,
      topic,
      body,
      sequence: ++this.sequence,
      furtherTries: 2,
      firstSentAt: Date.now(),
    };
    const message = this.current;
    this.#send();
    return message;
  }
  #send() {
    const message = this.current;
    if (!message) return;
    if (Date.now() - message.firstSentAt > this.deadlineMs) {
      this.#done('given up');
      return;
    }
    if (!this.attached) return;
    this.connection.publish(message.topic, message.sequence, message.body);
    clearTimeout(this.silence);
    this.silence = setTimeout(() => this.connection.reset(), this.expiryMs);
  }
  #done(outcome) {
    clearTimeout(this.silence);
    const message = this.current;
    this.current = undefined;
    message.answeredAt = Date.now();
    this.onOutcome(message, outcome);
  }
  stop() {
    this.stopped = true;
    clearTimeout(this.silence);
    this.connection?.end();
  }
}

/**
 * Takes up a place on a topic as a new client: attaches, subscribes with the cursor, repeats a refused SUBSCRIBE, comes back after a
 * cut, until `enough(received)` or for `limitMs`. Returns what came (`sender sequence`), and every answer that was not a success.
 */
export async function takeUpPlace(name, hosts, port, topic, cursor, limitMs, enough) {
  const received = new Set();
  const troubles = [];
  const until = Date.now() + limitMs;
  let position = cursor;
  let expired = false;
  for (let i = 0; Date.now() < until && !enough(received) && !expired; i++) {
    const host = hosts[i % hosts.length];
    let over = false;
    let openedAt = Date.now();
    const connection = new Connection(host, port, {
      onMessage: (fields) => {
        openedAt = Date.now();
        if (fields[0] === 'DELIVER') {
          received.add(`${fields[3]} ${fields[4]}`);
          position = fields[2];
        } else if (fields[0] === 'CONFIRM' && fields[1] === 'ATTACH') connection.send(`SUBSCRIBE ${topic} ${position}`);
        else if (fields[0] === 'REJECT') {
          troubles.push(fields.join(' '));
          if (fields[1] === 'SUBSCRIBE' && fields.at(-1) === 'EXPIRED') expired = true;
          else if (fields[1] === 'SUBSCRIBE') setTimeout(() => connection.send(`SUBSCRIBE ${topic} ${position}`), 700);
          else connection.reset();
        } else if (fields[0] === 'REDIRECT') connection.end();
      },
      onClose: () => {
        over = true;
      },
    });
    if (await connection.connected) connection.send(`ATTACH ${name}`);
    while (!over && Date.now() < until && !enough(received) && !expired && Date.now() - openedAt < 5_000)
      await sleep(50);
    connection.end();
    if (Date.now() < until && !enough(received)) await sleep(300);
  }
  return { received, troubles, expired };
}

/** The position that a SUBSCRIBE without a cursor is given now: a saved place. */
export async function savePlace(name, host, port, topic) {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      connection.end();
      resolve(undefined);
    }, 4_000);
    const connection = new Connection(host, port, {
      onMessage: (fields) => {
        if (fields[0] === 'CONFIRM' && fields[1] === 'ATTACH') connection.send(`SUBSCRIBE ${topic}`);
        else if (fields[0] === 'CONFIRM' && fields[1] === 'SUBSCRIBE') {
          clearTimeout(timer);
          connection.end();
          resolve(fields[3]);
        } else if (fields[0] === 'REJECT' && fields[1] === 'SUBSCRIBE')
          setTimeout(() => connection.send(`SUBSCRIBE ${topic}`), 300);
      },
    });
    void connection.connected.then(() => connection.send(`ATTACH ${name}`));
  });
}
