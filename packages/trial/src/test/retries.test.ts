import { RetryBudget, type Clock } from '@harecross/kernel';
import test from 'ava';
import { startControlFleet } from './control-fleet.js';

test('a budget of tries: so many by time, a share of the first ones, urgent ones to the end', (t) => {
  let now = 0;
  const clock: Clock = { now: () => now, wall: () => now, after: () => () => undefined };
  const b = new RetryBudget(clock, { perS: 10, share: 0.5, burst: 20 });
  const many = (urgent: boolean): number => {
    let n = 0;
    while (n < 1_000 && b.tryRetry(urgent)) n++;
    return n;
  };
  t.is(many(false), 10, 'routine ones have half');
  t.is(many(true), 10, 'urgent ones have the rest');
  t.is(many(true), 0);
  now = 500;
  t.is(many(true), 5, 'half a second later');
  for (let i = 0; i < 8; i++) b.recordFirstAttempt();
  t.is(many(true), 4, 'half of eight first tries');
  now = 1_000_000;
  t.is(many(true), 20, 'never more than the burst');
});

test('while every store is cut off from the core calls between nodes do not pile up, and there is no second wave when it is healed', async (t) => {
  const f = await startControlFleet(21, { relays: 1 });
  const relay = f.relays[0]!;
  const { sim } = f;
  let seq = 0;
  let under = 0;
  const answered = new Map<string, number>();
  const say = (): void => {
    under++;
    const topic = seq % 5 === 0 ? `alarm/${seq % 7}` : `feed/${seq % 40}`;
    void sim.clientTransport
      .visit(relay.config.client, 'Publish', { sender: `desk${seq}`, topic, seq: ++seq, body: 'x' }, 4_000)
      .then((r) => {
        under--;
        const k = r?.body.accepted ? 'accepted' : String(r?.body.rejected?.reason ?? 'silent');
        answered.set(k, (answered.get(k) ?? 0) + 1);
      });
  };
  /** Calls between nodes a client's request, over some seconds of 200 requests a second. */
  const traffic = async (s: number): Promise<{ calls: number; answers: Map<string, number> }> => {
    const out = (): number => relay.kernel!.counters.get('peer.out') ?? 0;
    const from = out();
    const n = seq;
    answered.clear();
    for (let i = 0; i < s * 200; i++) {
      say();
      await f.advance(5);
    }
    return { calls: (out() - from) / (seq - n), answers: new Map(answered) };
  };
  const before = await traffic(3);
  for (const n of f.stores) for (const c of f.controls) sim.cut(n.name, c.name);
  await traffic(4);
  const during = await traffic(4);
  t.true(under < 200, `${under} requests wait: refusals come at once`);
  sim.healAll();
  await traffic(3);
  const after = await traffic(3);
  t.log(
    `calls a request: before ${before.calls.toFixed(2)}, during ${during.calls.toFixed(2)}, after ${after.calls.toFixed(2)}`,
  );
  t.log([...during.answers].join(' '), '/', [...after.answers].join(' '));
  t.true(during.calls < before.calls * 3, 'a refusal costs a call, and few of them a second');
  t.true(after.calls < before.calls * 1.2, 'no second wave');
  t.true((after.answers.get('accepted') ?? 0) > 590, 'all is well three seconds after the cut is healed');
  f.sim.close();
});

test('nodes that begin while the core is away ask for it often at first, then seldom, and are there at once when it is', async (t) => {
  const f = await startControlFleet(22, { relays: 6 });
  const others = [...f.relays, ...f.stores];
  for (const n of [...f.controls, ...others]) f.sim.kill(n);
  for (const n of others) void f.sim.start(n);
  f.sim.measureTraffic = true;
  const asked = async (s: number): Promise<number> => {
    f.sim.requestTraffic.clear();
    await f.advance(s * 1_000);
    return (f.sim.requestTraffic.get('RegGet')?.n ?? 0) / s / others.length;
  };
  const first = await asked(3);
  await f.advance(500);
  const later = await asked(5);
  for (const n of f.controls) void f.sim.start(n);
  await f.advance(2_500);
  t.log(`asked for the configuration a node and second: ${first.toFixed(1)} at first, ${later.toFixed(1)} later`);
  t.true(later < 5 && later < first / 2);
  for (const n of others) t.true(n.kernel!.use('register').hasReadLease(), n.name);
  f.sim.close();
});
