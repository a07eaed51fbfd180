// A machine with a disk is replaced by plan, and a second one loses its disk right after that. Used by two cases.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Connection, Fleet, configuration, now, sleep, space } from './fleet.mjs';

const TOPICS = Array.from({ length: 48 }, (_, i) => `kafi810.${i}`);
/** The successor runs this long before the old machine goes (ms); sync_s is 4. */
const AHEAD_MS = 8000;
/** The second loss comes this long after the old machine's process has ended (ms). */
const AFTER_MS = Number(process.env.AFTER_MS ?? 500);

/** Runs the case for `access` machines (control and relay) or `storage` machines; gives the exit code. */
export async function planned(kind, folder) {
  const TROUBLE = process.env.TROUBLE !== '0';
  const lines = [];
  const record = (...words) => {
    const line = `${now().toFixed(3)} ${words.join(' ')}`;
    lines.push(line);
    console.log(line);
  };
  const fleet = new Fleet({
    zones: ['north', 'south', 'west'],
    spares: [{ zone: 'west', kind }],
    tolerance: { machine_losses: 1, zones: 0, regions: 0 },
  });
  const routes = [space('r-1', 'kafi810.'), space('r-2', 'kalo181.', { precedence: 2, persistence_s: 25 })];

  const attach = async (name, onDeliver, limitMs) => {
    const until = performance.now() + limitMs;
    for (let i = 0; performance.now() < until; i++) {
      const relays = fleet.of('relay').filter((p) => p.alive);
      const p = relays[i % relays.length];
      if (await fleet.ready(p)) {
        const c = new Connection(p.machine.ip, fleet.port.access, { onDeliver });
        const answer = (await c.up) && (await c.ask('ATTACH', `ATTACH ${name}\r\n`));
        if (answer && answer[0] === 'CONFIRM') return c;
        c.reset();
      }
      await sleep(300);
    }
    return undefined;
  };
  const subscribe = async (c, topic, position, limitMs) => {
    const until = performance.now() + limitMs;
    let last = 'not asked: the connection is closed';
    while (performance.now() < until && !c.closed) {
      const answer = await c.ask(`SUBSCRIBE ${topic}`, `SUBSCRIBE ${topic}${position ? ` ${position}` : ''}\r\n`);
      last = answer ? answer.join(' ') : 'no answer';
      if (answer && answer[0] === 'CONFIRM') return { position: answer[3], last };
      if (answer && answer.at(-1) === 'EXPIRED') return { last };
      await sleep(400);
    }
    return { last };
  };

  let code = 2;
  try {
    await fleet.prepare();
    fleet.startAll();
    const first = await fleet.replace(configuration(7, routes));
    record('configuration 7:', first);
    if (first !== 200 || !(await fleet.allReady())) throw new Error('the deployment does not come up');
    await sleep(4000);

    const machine = (zone) =>
      fleet.procs.filter((p) => p.machine.kind === kind && p.machine.zone === zone && !p.machine.spare);
    const old = machine('west');
    const second = machine('south');
    const successor = fleet.procs.filter((p) => p.machine.spare);
    if (TROUBLE) {
      for (const p of successor) fleet.start(p, { initial: false });
      record('the successor starts with an empty disk at a new address:', successor.map((p) => p.name).join(', '));
    }
    await sleep(AHEAD_MS / 2);

    // A client subscribes, keeps its places and goes away; then messages are sent and acknowledged.
    const places = new Map();
    const reader = await attach('reader', () => {}, 10_000);
    for (const topic of TOPICS) {
      const s = await subscribe(reader, topic, undefined, 5000);
      if (s.position === undefined) throw new Error(`no subscription to ${topic}: ${s.last}`);
      places.set(topic, s.position);
    }
    record('subscribed to', TOPICS.length, 'topics');
    reader.reset();
    const sender = await attach('sender', () => {}, 10_000);
    const acknowledged = new Map();
    let sequence = 0;
    for (const topic of TOPICS) {
      const n = ++sequence;
      const body = `message ${String(n).padStart(12, '0')}`;
      const answer = await sender.ask(`PUBLISH ${topic} ${n}`, `PUBLISH ${topic} ${n} ${body.length}\r\n${body}\r\n`);
      record('PUBLISH', topic, n, '->', answer ? answer.join(' ') : 'no answer');
      if (answer && answer[0] === 'ACCEPT') acknowledged.set(topic, { n, body });
    }
    sender.reset();
    if (acknowledged.size !== TOPICS.length) throw new Error('not all messages were acknowledged');
    const order = await fleet.replace(configuration(8, routes));
    record('configuration 8:', order);
    if (order !== 200) throw new Error('no acknowledgement before the disruption');
    await sleep(AHEAD_MS / 2);

    if (TROUBLE) {
      for (const p of old) fleet.signal(p, 'SIGTERM');
      record('SIGTERM to', old.map((p) => p.name).join(', '), '- it is removed for good');
      const keeps = old.find((p) => p.role !== 'relay');
      await Promise.race([keeps.ended, sleep(6000)]);
      record(keeps.name, keeps.alive ? 'still runs' : `has ended with ${keeps.exit}`);
      await sleep(AFTER_MS);
      await Promise.all(second.map((p) => fleet.kill(p)));
      for (const p of second) if (p.role !== 'relay') fleet.wipe(p);
      record('power and disk are lost:', second.map((p) => p.name).join(', '));
      await sleep(1500);
      for (const p of second) fleet.start(p, { initial: false });
      record('it is back at its address with an empty disk');
      await Promise.race([Promise.all(old.map((p) => p.ended)), sleep(2000)]);
      for (const p of old) await fleet.kill(p);
    }
    await sleep(13_000);

    // The operator reads the configuration back, the client takes up its places: 12 s after all are back, for 10 s.
    const got = new Map();
    const until = performance.now() + 10_000;
    const left = () => Math.max(0, until - performance.now());
    const readBack = async () => {
      let last = 'no answer';
      for (let i = 0; left() > 0; i++) {
        const controls = fleet.of('control').filter((p) => p.alive);
        const r = await fleet.http('GET', controls[i % controls.length], 'management', '/api/Configuration.Retrieve');
        last = r.status ? `${r.status}${r.body && r.body.revision ? ` revision ${r.body.revision}` : ''}` : 'no answer';
        if (r.status === 200) break;
        await sleep(200);
      }
      record('Configuration.Retrieve, last answer:', last);
      return last === '200 revision 8';
    };
    const takeUp = async () => {
      const back = await attach('reader', (m) => got.set(m.topic, m), 10_000);
      if (!back) {
        record('no relay takes the client');
        return;
      }
      await Promise.all(
        TOPICS.map(async (topic) => {
          const s = await subscribe(back, topic, places.get(topic), left());
          record('SUBSCRIBE', topic, places.get(topic), '->', s.last);
        }),
      );
    };
    const [same] = await Promise.all([readBack(), takeUp()]);
    while (left() > 0 && got.size < TOPICS.length) await sleep(50);
    let missing = 0;
    for (const [topic, { n, body }] of acknowledged) {
      const m = got.get(topic);
      if (m && m.seq === n && m.body === body) continue;
      missing++;
      record('LOST:', topic, n, 'was acknowledged and does not come');
    }
    record(missing, 'of', acknowledged.size, 'acknowledged messages do not come');
    record(same ? 'configuration 8 is read back' : 'CONFIG: configuration 8 was acknowledged and is not read back');
    code = missing || !same ? 1 : 0;
  } catch (e) {
    record('could not run:', e.message);
  } finally {
    await fleet.close();
    record('exit', code);
    writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n');
  }
  return code;
}
