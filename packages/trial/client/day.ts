// A day with a client whose types were generated from harecross.openapi.json; compiled and lived by client.test.ts.
import createClient from 'openapi-fetch';
import type { components, paths } from './harecross.js';

type Frame = components['schemas']['Frame'];

/** What happened, for the test to judge. */
export interface Day {
  offsets: number[];
  bodies: string[];
  rejected: string;
  conflict: number | undefined;
  faults: string[];
  version: number;
  count: number;
  left: string | undefined;
  owner: boolean;
  conditions: string[];
}

/** Calls until the fleet says something else than 'come back', for as long as it says when. */
async function patient<D, E extends { error?: { tag: string } } | { rejected: object }>(
  call: () => Promise<{ data?: D; error?: E; response: Response }>,
): Promise<{ data?: D; error?: E }> {
  for (let i = 0; i < 120; i++) {
    const r = await call();
    if (r.response.status !== 503 && r.response.status !== 504) return r;
    const wait = Number(r.response.headers.get('retry-after'));
    if (!(wait >= 1)) throw new Error(`a ${r.response.status} without Retry-After`);
    await new Promise((res) => setTimeout(res, 250));
  }
  throw new Error('the fleet was never ready');
}

/** An operator's, a consumer's and a sender's day at one relay. */
export async function live(baseUrl: string): Promise<Day> {
  const api = createClient<paths>({ baseUrl });
  const day: Day = {
    offsets: [],
    bodies: [],
    rejected: '',
    conflict: undefined,
    faults: [],
    version: 0,
    count: 0,
    left: undefined,
    owner: false,
    conditions: [],
  };

  // The operator takes a configuration, meets a conflict and an invalid one, and reads back.
  const config: components['schemas']['FleetConfig'] = {
    families: [{ name: 'levels', topics: ['level/*'], urgency: 'routine', patienceMs: 3000, memoryS: 35 }],
  };
  const taken = await patient(() => api.POST('/rpc/SubmitConfig', { body: { changeId: 'day-1', config } }));
  if (!taken.data) throw new Error(JSON.stringify(taken.error));
  const clash = await patient(() => api.POST('/rpc/SubmitConfig', { body: { changeId: 'day-2', expect: 99, config } }));
  if (clash.error && clash.error.error?.tag === 'conflict') day.conflict = clash.error.error.version;
  const checked = await patient(() =>
    api.POST('/rpc/CheckConfig', { body: { config: { families: [{ ...config.families[0]!, memoryS: -1 }] } } }),
  );
  day.faults = checked.data!.faults.map((f) => f.path);
  const read = await patient(() => api.POST('/rpc/ReadConfig', { body: {} }));
  day.version = read.data!.version;

  // The consumer attaches, and reads the stream line by line.
  const frames: Frame[] = [];
  const stop = new AbortController();
  const stream = await api.POST('/rpc/Attach', {
    body: { consumer: 'station-1', pingS: 2 },
    parseAs: 'stream',
    signal: stop.signal,
  });
  const reader = (stream.data as unknown as ReadableStream<Uint8Array>).getReader();
  const reading = (async () => {
    let rest = '';
    const text = new TextDecoder();
    for (;;) {
      const { done, value } = await reader.read();
      if (done) return;
      const lines = (rest + text.decode(value, { stream: true })).split('\n');
      rest = lines.pop()!;
      for (const l of lines) if (l) frames.push(JSON.parse(l) as Frame);
    }
  })().catch(() => undefined);
  const until = async (ok: () => boolean): Promise<void> => {
    for (let i = 0; i < 1_200 && !ok(); i++) await new Promise((r) => setTimeout(r, 25));
  };
  await until(() => frames.length > 0);
  const first = frames[0]!;
  if (first.t !== 'ATTACHED') throw new Error(`the first frame is ${first.t}`);
  const conn = first.conn;
  await patient(() => api.POST('/rpc/Subscribe', { body: { conn, topic: 'level/7' } }));

  // The sender publishes; an accepted seq has its first outcome again, a lower one that never was accepted is rejected
  // for good.
  for (const seq of [1, 2, 2, 4, 1]) {
    const r = await patient(() =>
      api.POST('/rpc/Publish', { body: { sender: 'gauge', topic: 'level/7', seq, body: `level ${seq}` } }),
    );
    if (r.data) day.offsets.push(r.data.accepted.offset);
  }
  const old = await patient(() =>
    api.POST('/rpc/Publish', { body: { sender: 'gauge', topic: 'level/7', seq: 3, body: 'late' } }),
  );
  if (old.error && 'rejected' in old.error)
    day.rejected = `${old.error.rejected.reason}, final ${old.error.rejected.final}`;
  await until(() => frames.filter((f) => f.t === 'DELIVER').length >= 3);
  for (const f of frames) if (f.t === 'DELIVER') day.bodies.push(f.body);
  await patient(() => api.POST('/rpc/Probe', { body: { conn } }));
  day.count = (await patient(() => api.POST('/rpc/Listeners', { body: { topic: 'level/7' } }))).data!.count;
  await patient(() => api.POST('/rpc/Unsubscribe', { body: { conn, topic: 'level/7' } }));
  await until(() => frames.some((f) => f.t === 'LEFT'));
  for (const f of frames) if (f.t === 'LEFT') day.left = f.reason;
  stop.abort();
  await reading;

  // The operator looks at the fleet.
  const fleet = (await patient(() => api.POST('/rpc/Fleet', { body: {} }))).data!;
  day.owner = fleet.keys.every((k) => fleet.members.some((m) => m.peer === k.peer));
  day.conditions = [...new Set(fleet.members.map((m) => m.condition))];
  return day;
}
