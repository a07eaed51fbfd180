import type { DiskRecord, Placement, FleetValue } from '@harecross/control';
import { deserializeValue, assignReplicas, assignOwners, serializeValue } from '@harecross/control';
import type { ShardTable } from '@harecross/data';
import { REGISTER, SHARD, randomSample } from '@harecross/kernel';
import { build as buildHistogram } from 'hdr-histogram-js';
import type { Drill, Series } from './capacity-data.js';
import { seededRandom, Sim, type SimNode } from './sim.js';

/** A series without what only the command knows. */
export type Taken = Omit<Series, 'command' | 'commit' | 'load'>;
export type Drilled = Omit<Drill, 'command' | 'commit'>;
export type Say = (line: string) => void;

const ZONES = ['north-1', 'north-2', 'south-1', 'south-2'];
const CONTROL_N = 4;

const cpuMs = (): number => {
  const c = process.cpuUsage();
  return (c.user + c.system) / 1000;
};
const heapMiB = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  return (process.memoryUsage().heapUsed + process.memoryUsage().external) / 1024 ** 2;
};

/** A value of the register with so many shards over so many disks, as the fleet itself would place them. */
export function valueOf(shardCount: number, disksN: number): FleetValue {
  const disks = new Map<string, DiskRecord>();
  for (let i = 0; i < disksN; i++) {
    const id = `d${((i * 2654435761) >>> 0).toString(36).padStart(7, '0')}`;
    disks.set(id, {
      id,
      peer: `10.0.${i >> 8}.${i & 255}:7100`,
      domain: ZONES[i % ZONES.length]!,
      state: 'active',
      uses: ['seat', 'copies'],
      name: `10.0.${i >> 8}.${i & 255}:7100`,
    });
  }
  const ids = [...disks.keys()];
  // Which disks hardly matters for what the value weighs; rendezvous over all of them is measured apart.
  const shards = new Map<number, Placement>();
  const random = seededRandom(shardCount);
  for (let s = 0; s < shardCount; s++)
    shards.set(s, { gen: 1, copies: randomSample(random, ids, Math.min(SHARD.replicaCount, disksN)) });
  const seats = ids.slice(0, Math.min(REGISTER.voterCount, disksN));
  return {
    fleet: 'f',
    rev: 1,
    version: 1,
    changeId: '',
    config: { families: [] },
    incarnations: new Map(),
    disks,
    voters: seats,
    previousVoters: seats,
    shards,
    copies: SHARD.replicaCount,
    changes: new Map(),
    moves: new Map(),
  };
}

/** What the flat table of placements costs: its value, and the orders that are worked out from it. */
export function takeValue(sizes: number[], say: Say): Taken[] {
  const weigh: Taken = {
    id: 'value-bytes',
    title: "The register's value as it is sent (deflated), 550 disks",
    x: 'shards',
    y: 'KiB',
    way: 'direct',
    points: [],
  };
  const packing: Taken = {
    id: 'value-pack',
    title: 'Packing and unpacking the value once',
    x: 'shards',
    y: 'ms of processor',
    way: 'direct',
    points: [],
  };
  const memory: Taken = {
    id: 'value-memory',
    title: 'Memory of the value, unpacked, once',
    x: 'shards',
    y: 'MiB',
    way: 'direct',
    points: [],
  };
  const owners: Taken = {
    id: 'value-owners',
    title: "Working out the wanted owners once (each disk's node, 4 times a second)",
    x: 'shards',
    y: 'ms of processor',
    way: 'direct',
    points: [],
  };
  const copies: Taken = {
    id: 'value-copies',
    title: 'Working out the wanted copies once on 110 disks (the keeper, twice a second)',
    x: 'shards',
    y: 'ms of processor',
    way: 'direct',
    points: [],
  };
  for (const n of sizes) {
    for (let again = 0; again < 3; again++) {
      const v = valueOf(n, 550);
      let t0 = cpuMs();
      const s = serializeValue(v);
      deserializeValue(s);
      packing.points.push({ x: n, y: cpuMs() - t0 });
      if (!again) {
        weigh.points.push({ x: n, y: Buffer.byteLength(s) / 1024 });
        const before = heapMiB();
        const held = deserializeValue(s);
        memory.points.push({ x: n, y: heapMiB() - before });
        if (held.shards.size !== n) throw new Error(`${held.shards.size} of ${n} shards came back`);
      }
      t0 = cpuMs();
      assignOwners(v.shards, () => true);
      owners.points.push({ x: n, y: cpuMs() - t0 });
      if (n > 4_000) continue;
      const some = [...v.disks.values()].slice(0, 110);
      t0 = cpuMs();
      assignReplicas(some, SHARD.replicaCount, n);
      copies.points.push({ x: n, y: cpuMs() - t0 });
    }
    say(`value of ${n} shards: ${weigh.points.at(-1)!.y.toFixed(1)} KiB, ${packing.points.at(-1)!.y.toFixed(1)} ms to pack and unpack, \
${owners.points.at(-1)!.y.toFixed(1)} ms for the owners`);
  }
  return [weigh, packing, memory, owners, ...(new Set(copies.points.map((p) => p.x)).size > 2 ? [copies] : [])];
}

/** Methods by which boards are kept alike, and those of membership and register. */
const BOARD = new Set(['Gossip', 'News', 'Mend']);
const CONTROL = new Set([...BOARD, 'Ping', 'PingFor', 'Shuffle', 'RegRead', 'RegGet']);

/** The method of a frame between nodes, and who sent it; a frame that tells neither would be measured as nothing. */
function headOf(frame: string): { method: string; from: string } {
  const m = /^([A-Z]\w+) (\d+\.\d+\.\d+\.\d+:\d+) /.exec(frame);
  if (!m) throw new Error(`a frame between nodes without method and sender: ${frame.slice(0, 80)}`);
  return { method: m[1]!, from: m[2]! };
}

/** What nodes sent and got, by node and method; answers count as sent by who gave them. */
class Meter {
  readonly got = new Map<string, Map<string, number>>();
  readonly bytes = new Map<string, number>();
  on = false;

  private add(node: string, bytes: number): void {
    this.bytes.set(node, (this.bytes.get(node) ?? 0) + bytes);
  }
  /** Stands between the net and a node that is up. */
  watch(n: SimNode): void {
    const h = n.handle;
    if (!h) throw new Error(`${n.name} does not listen`);
    n.handle = async (f) => {
      if (!this.on) return h(f);
      const { method, from } = headOf(f);
      const by = this.got.get(n.config.peer) ?? new Map<string, number>();
      by.set(method, (by.get(method) ?? 0) + 1);
      this.got.set(n.config.peer, by);
      const a = await h(f);
      // Sent by one and got by the other: a node's traffic is both.
      for (const node of [n.config.peer, from]) this.add(node, f.length + a.length);
      return a;
    };
  }
  requests(node: string, method?: string): number {
    const by = this.got.get(node);
    return method ? (by?.get(method) ?? 0) : [...(by?.values() ?? [])].reduce((a, n) => a + n, 0);
  }
}

interface Hollow {
  sim: Sim;
  control: SimNode[];
  rest: SimNode[];
  all: SimNode[];
}

/** Fewest machines with copies of a hollow fleet: as many as bear two losses. */
const LEAST_COPY_DISKS = 5;

/**
 * A fleet of hollow nodes: four control machines, every fifth of the others with a disk for copies, no callers. Two
 * losses are to be borne: five seats, the fifth on a machine with copies; with `controlSeatsOnly` one loss: three of the
 * four have a seat, and one is a spare.
 */
async function hollow(seed: number, size: number, controlSeatsOnly = false): Promise<Hollow> {
  const sim = new Sim(seed);
  const control = Array.from({ length: CONTROL_N }, (_, i) =>
    sim.add(`control${i + 1}`, { role: 'control', domain: ZONES[i]!, disk: true }),
  );
  const isFifth = (i: number): boolean => Math.floor(i / ZONES.length) % 5 === 0;
  const fifths = Array.from({ length: size - CONTROL_N }, (_, i) => i).filter(isFifth).length;
  const rest = Array.from({ length: size - CONTROL_N }, (_, i) => {
    const disk = isFifth(i) || (fifths < LEAST_COPY_DISKS && i < LEAST_COPY_DISKS);
    const n = sim.add(`node${i + 1}`, { role: 'relay', domain: ZONES[i % ZONES.length]!, disk });
    if (disk && controlSeatsOnly) n.config.diskUses = ['copies'];
    return n;
  });
  const all = [...control, ...rest];
  for (const n of all) {
    n.config.losses = controlSeatsOnly ? 1 : 2;
    n.config.seeds = control.slice(0, 3).map((c) => c.config.peer);
    void sim.clock.after(sim.random.next() * 1500, () => void sim.start(n));
  }
  // Until every node may serve and every shard has its owner.
  for (let i = 0; i < 120; i++) {
    await sim.run(sim.now + 500);
    if (
      i > 16 &&
      all.every((n) => n.kernel && n.kernel.use('register').hasReadLease()) &&
      owned(all).size === SHARD.shardCount
    )
      break;
  }
  await sim.run(sim.now + 4_000);
  return { sim, control, rest, all };
}

/** Shards whose owner may serve: it is confirmed, and a majority of its copies answers it. */
function owned(nodes: SimNode[]): Set<number> {
  const out = new Set<number>();
  for (const n of nodes) {
    if (!n.up || n.frozen || !n.kernel?.has('owner') || !n.kernel.use('register').hasReadLease()) continue;
    const o = n.kernel.use('owner');
    const keys = (o as unknown as { shards: ShardTable }).shards;
    // As the owner itself judges before it serves: a majority of the copies answered it lately.
    for (const k of o.ownedShards())
      if (n.kernel.host.clock.now() - keys.get(k.shard)!.majorityAnsweredAt() <= SHARD.ownershipDoubtMs)
        out.add(k.shard);
  }
  return out;
}

const CONFIG = {
  families: [{ name: 'feeds', topics: ['feed/*'], urgency: 'routine', patienceMs: 2_000, memoryS: 35 }],
};

/** The whole control plane at several sizes, in virtual time. */
export async function takeControl(sizes: number[], seeds: number[], say: Say): Promise<Taken[]> {
  const one = (id: string, title: string, y: string): Taken => ({
    id,
    title,
    x: 'nodes',
    y,
    way: 'virtual',
    points: [],
  });
  const visits = one('control-requests', 'Requests a node got, quiet fleet, mean of all but the seats', 'a second');
  const bytes = one(
    'control-bytes',
    'Bytes a node sent and got, requests and answers, mean of all but the seats',
    'KiB/s',
  );
  const most = one('control-bytes-most', 'The same at the busiest node without a seat', 'KiB/s');
  const seats = one('seat-requests', 'Requests a seat got', 'a second');
  const seatBytes = one('seat-bytes', 'Bytes a seat sent and got', 'KiB/s');
  const confirms = one('seat-confirms', 'Confirmations a seat answered', 'a second');
  const cpu = one('hollow-cpu', 'Processor time a hollow node and second, simulator included', 'ms');
  const memory = one('hollow-memory', 'Memory a hollow node', 'MiB');
  const force = one(
    'config-force',
    'A configuration at every node after its answer, the slowest node of five changes',
    'ms',
  );
  const usual = one('config-usual', 'The same, 99 in 100 of nodes', 'ms');
  const frozen = one('frozen-suspected', 'A frozen node suspected by every other', 'ms');
  const sum = <T>(xs: T[], f: (x: T) => number): number => xs.reduce((a, x) => a + f(x), 0);
  for (const size of sizes) {
    for (const seed of seeds) {
      const before = heapMiB();
      const h = await hollow(seed, size);
      const { sim, all } = h;
      memory.points.push({ x: size, y: (heapMiB() - before) / size });
      const v = all[0]!.kernel!.use('register').value!;
      const peerOf = new Map([...v.disks.values()].map((d) => [d.id, d.peer]));
      const seated = new Set(v.voters.map((d) => peerOf.get(d)!));
      const plain = all.filter((n) => !seated.has(n.config.peer));
      const sat = all.filter((n) => seated.has(n.config.peer));
      const meter = new Meter();
      for (const n of all) meter.watch(n);

      const S = 10;
      meter.on = true;
      const t0 = cpuMs();
      await sim.run(sim.now + S * 1_000);
      cpu.points.push({ x: size, y: (cpuMs() - t0) / size / S });
      meter.on = false;
      const kib = (n: SimNode): number => (meter.bytes.get(n.config.peer) ?? 0) / 1024 / S;
      visits.points.push({ x: size, y: sum(plain, (n) => meter.requests(n.config.peer)) / plain.length / S });
      bytes.points.push({ x: size, y: sum(plain, kib) / plain.length });
      most.points.push({ x: size, y: Math.max(...plain.map(kib)) });
      seats.points.push({ x: size, y: sum(sat, (n) => meter.requests(n.config.peer)) / sat.length / S });
      seatBytes.points.push({ x: size, y: sum(sat, kib) / sat.length });
      confirms.points.push({ x: size, y: sum(sat, (n) => meter.requests(n.config.peer, 'RegRead')) / sat.length / S });

      const histogram = buildHistogram({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 600_000,
        numberOfSignificantValueDigits: 3,
      });
      for (let i = 0; i < 5; i++) {
        const at = h.rest[Math.floor(sim.random.next() * h.rest.length)]!;
        const from = all[0]!.kernel!.use('register').value!.version;
        let told = 0;
        const inForce = new Map<SimNode, number>();
        void sim.clientTransport
          .visit(at.config.client, 'SubmitConfig', { changeId: `s${i}`, config: CONFIG }, 10_000)
          .then(() => {
            told = sim.now;
          });
        for (const until = sim.now + 30_000; sim.now < until && (!told || inForce.size < all.length);) {
          await sim.run(sim.now + 10);
          for (const n of all)
            if (!inForce.has(n) && (n.kernel!.use('register').value?.version ?? 0) > from) inForce.set(n, sim.now);
        }
        if (!told || inForce.size < all.length)
          throw new Error(`${size} nodes: a configuration was in force at ${inForce.size} of them \
after 30 s`);
        for (const t of inForce.values()) histogram.recordValue(Math.max(1, Math.round(t - told)));
        await sim.run(sim.now + 500);
      }
      force.points.push({ x: size, y: histogram.maxValue });
      usual.points.push({ x: size, y: histogram.getValueAtPercentile(99) });

      const victim = h.rest.find((n) => !n.config.data)!;
      const at = sim.now;
      sim.freeze(victim);
      while (
        sim.now - at < 60_000 &&
        all.some((n) => n !== victim && n.kernel!.use('membership').members.get(victim.config.peer)?.state === 'live')
      )
        await sim.run(sim.now + 20);
      frozen.points.push({ x: size, y: sim.now - at });
      say(`${size} hollow nodes, seed ${seed}: ${visits.points.at(-1)!.y.toFixed(1)} requests and ${bytes.points.at(-1)!.y.toFixed(2)} KiB \
a node and s; a seat ${seats.points.at(-1)!.y.toFixed(0)} and ${seatBytes.points.at(-1)!.y.toFixed(1)} KiB; in force everywhere after \
${histogram.maxValue} ms; frozen node suspected by all after ${Math.round(sim.now - at)} ms; ${memory.points.at(-1)!.y.toFixed(2)} MiB and \
${cpu.points.at(-1)!.y.toFixed(2)} ms/s a node`);
      if (sim.errors.length) throw new Error(`${size} nodes: ${sim.errors[0]}`);
      sim.close();
    }
  }
  return [visits, bytes, most, seats, seatBytes, confirms, cpu, memory, force, usual, frozen];
}

/** What more shards cost a fleet of one size: the constant is set for this process alone. */
export async function takeShards(shards: number[], size: number, say: Say): Promise<Taken[]> {
  const one = (id: string, title: string, y: string): Taken => ({
    id,
    title: `${title}, ${size} nodes`,
    x: 'shards',
    y,
    way: 'virtual',
    points: [],
  });
  const requests = one('shard-requests', 'Requests all nodes with copies got a second, quiet fleet', 'a second');
  const bytes = one('shard-bytes', 'Bytes all nodes with copies sent and got', 'KiB/s');
  const cpu = one('shard-cpu', 'Processor time of all nodes a second, simulator included', 'ms');
  const change = one(
    'shard-change',
    'Bytes all nodes sent and got for one change of configuration, above the quiet',
    'KiB',
  );
  const c = SHARD as { shardCount: number };
  const was = c.shardCount;
  try {
    for (const n of shards) {
      c.shardCount = n;
      const h = await hollow(1, size);
      const { sim, all } = h;
      const meter = new Meter();
      for (const x of all) meter.watch(x);
      const disks = all.filter((x) => x.kernel!.has('owner'));
      const S = 4;
      meter.on = true;
      const t0 = cpuMs();
      await sim.run(sim.now + S * 1_000);
      cpu.points.push({ x: n, y: (cpuMs() - t0) / S });
      const total = (): number => [...meter.bytes.values()].reduce((a, b) => a + b, 0) / 1024;
      const quiet = total();
      requests.points.push({ x: n, y: disks.reduce((a, x) => a + meter.requests(x.config.peer), 0) / S });
      bytes.points.push({ x: n, y: disks.reduce((a, x) => a + (meter.bytes.get(x.config.peer) ?? 0), 0) / 1024 / S });
      meter.bytes.clear();
      let told = 0;
      void sim.clientTransport
        .visit(h.rest[0]!.config.client, 'SubmitConfig', { changeId: 's', config: CONFIG }, 10_000)
        .then(() => {
          told = sim.now;
        });
      await sim.run(sim.now + S * 1_000);
      if (!told) throw new Error(`${n} shards: a configuration was not answered`);
      change.points.push({ x: n, y: total() - quiet });
      say(`${n} shards on ${size} nodes: ${requests.points.at(-1)!.y.toFixed(0)} requests and ${bytes.points.at(-1)!.y.toFixed(0)} KiB/s \
at nodes with copies, ${cpu.points.at(-1)!.y.toFixed(0)} ms/s, ${change.points.at(-1)!.y.toFixed(0)} KiB for a change`);
      sim.close();
    }
  } finally {
    c.shardCount = was;
  }
  return [requests, bytes, cpu, change];
}

/** The board by the number of its facts: what one digest weighs, and what a node that comes is sent. */
export async function takeBoard(sizes: number[], say: Say): Promise<Taken[]> {
  const one = (id: string, title: string, y: string): Taken => ({
    id,
    title,
    x: 'facts',
    y,
    way: 'virtual',
    points: [],
  });
  const digest = one('board-digest', 'One exchange of digests between two boards that differ in one fact', 'KiB');
  const join = one('board-join', 'What a node is sent that comes with an empty board', 'KiB');
  const memory = one('board-memory', 'Memory a node, of the board', 'KiB');
  for (const n of sizes) {
    const sim = new Sim(5);
    const nodes = ['a', 'b', 'c'].map((d, i) => sim.add(`store${i + 1}`, { role: 'store', domain: d, disk: true }));
    for (const x of nodes) {
      x.config.seeds = nodes.map((y) => y.config.peer);
      void sim.start(x);
    }
    await sim.run(8_000);
    const before = heapMiB();
    const board = (x: SimNode) => x.kernel!.use('membership');
    const put = (from: number, to: number): void => {
      // As an owner says of its key: `key/<shard>` under a fence.
      for (let i = from; i < to; i++) {
        const fence = `000000000001.000000000001.10.0.0.1:7100~${'0'.repeat(15)}-${(i * 7919).toString(36)}`;
        board(nodes[0]!).publish(`fact/${i}`, `${fence}/00000001`, {
          fence,
          gen: 1,
          peer: '10.0.0.1:7100',
          inst: `${'0'.repeat(15)}-${i.toString(36)}`,
          behind: [],
        });
      }
    };
    put(0, n);
    for (const until = sim.now + 60_000; sim.now < until && nodes.some((x) => board(x).facts.size < n);)
      await sim.run(sim.now + 250);
    await sim.run(sim.now + 2_000);
    memory.points.push({ x: n, y: ((heapMiB() - before) * 1024) / nodes.length });
    let digestBytes = 0;
    let digests = 0;
    let news = 0;
    for (const x of nodes) {
      const h = x.handle!;
      x.handle = async (f) => {
        const a = await h(f);
        if (headOf(f).method === 'Gossip' && f.includes('"digest"')) {
          digests++;
          digestBytes += f.length + a.length;
        }
        if (BOARD.has(headOf(f).method)) news += f.length + a.length;
        return a;
      };
    }
    // A fact that the news did not carry: gossip has to find it. `set` is the board's own, without the passing on.
    (board(nodes[0]!) as unknown as { store(k: string, v: string, x: unknown): boolean }).store('fact/late', '1', 0);
    for (const until = sim.now + 20_000; sim.now < until && nodes.some((x) => !board(x).facts.has('fact/late'));)
      await sim.run(sim.now + 50);
    if (!digests) throw new Error(`${n} facts: no digest was exchanged`);
    digest.points.push({ x: n, y: digestBytes / digests / 1024 });
    news = 0;
    const late = sim.add('late', { role: 'relay', domain: 'a' });
    late.config.seeds = nodes.map((x) => x.config.peer);
    await sim.start(late);
    const lh = late.handle!;
    late.handle = async (f) => {
      const a = await lh(f);
      if (BOARD.has(headOf(f).method)) news += f.length + a.length;
      return a;
    };
    for (const until = sim.now + 30_000; sim.now < until && board(late).facts.size < n;) await sim.run(sim.now + 50);
    await sim.run(sim.now + 2_000);
    join.points.push({ x: n, y: news / 1024 });
    say(`${n} facts: a digest ${digest.points.at(-1)!.y.toFixed(1)} KiB, a join ${join.points.at(-1)!.y.toFixed(0)} KiB, \
${memory.points.at(-1)!.y.toFixed(0)} KiB of memory`);
    sim.close();
  }
  return [digest, join, memory];
}

/** Losses of machines, a rack, a zone, a region, the link between regions, on a fleet of hollow nodes. */
export async function takeDrills(size: number, say: Say): Promise<Drilled[]> {
  const out: Drilled[] = [];
  const south = (n: SimNode): boolean => n.config.domain.startsWith('south');
  const seatsOf = (h: Hollow): Set<string> => {
    const v = h.all.find((n) => n.kernel?.use('register').value)!.kernel!.use('register').value!;
    return new Set(v.voters.map((d) => v.disks.get(d)!.peer));
  };
  const drill = async (
    id: string,
    title: string,
    act: (h: Hollow) => Promise<SimNode[]>,
    controlSeatsOnly = false,
  ): Promise<void> => {
    const h = await hollow(11, size, controlSeatsOnly);
    const { sim } = h;
    const left = await act(h);
    const from = sim.now;
    const lastAt = new Map<number, number>();
    const gap = new Map<number, number>();
    while (sim.now - from < 15_000) {
      const now = owned(left);
      for (const s of now) lastAt.set(s, sim.now);
      for (let s = 0; s < SHARD.shardCount; s++)
        gap.set(s, Math.max(gap.get(s) ?? 0, sim.now - (lastAt.get(s) ?? from)));
      await sim.run(sim.now + 50);
    }
    const fresh = left.filter((n) => n.kernel!.use('register').hasReadLease()).length / left.length;
    const shards = owned(left).size / SHARD.shardCount;
    let ok = false;
    void sim.clientTransport
      .visit(
        left.find((n) => n.config.role === 'relay')!.config.client,
        'SubmitConfig',
        { changeId: 'drill', config: CONFIG },
        10_000,
      )
      .then((r) => {
        ok = r?.status === 200;
      });
    await sim.run(sim.now + 10_500);
    out.push({
      id,
      title,
      nodes: size,
      fresh,
      owned: shards,
      gapMs: Math.round(Math.max(...gap.values())),
      change: ok,
    });
    say(`${title}: ${(fresh * 100).toFixed(0)} % of ${left.length} nodes left may serve, ${(shards * 100).toFixed(0)} % of shards are \
owned, ${Math.round(Math.max(...gap.values()))} ms without an owner at most, a change is ${ok ? 'taken' : 'not taken'}`);
    sim.close();
  };
  const lose = async (h: Hollow, gone: SimNode[]): Promise<SimNode[]> => {
    for (const n of gone) h.sim.kill(n);
    return h.all.filter((n) => !gone.includes(n));
  };
  const apart = (h: Hollow): void => {
    for (const a of h.all) for (const b of h.all) if (south(a) !== south(b)) h.sim.cut(a.name, b.name, false);
  };
  await drill('loss-three', 'Three ordinary machines at once', (h) =>
    lose(
      h,
      h.rest
        .filter((n) => n.config.data)
        .slice(0, 1)
        .concat(h.rest.filter((n) => !n.config.data).slice(0, 2)),
    ),
  );
  await drill('loss-rack', 'A rack: a tenth of the machines, one zone, no control machine', (h) =>
    lose(h, h.rest.filter((n) => n.config.domain === ZONES[1]).slice(0, Math.round(size / 10))),
  );
  await drill('loss-zone', 'A zone with its control machine', (h) =>
    lose(
      h,
      h.all.filter((n) => n.config.domain === ZONES[3]),
    ),
  );
  await drill('loss-two-control', 'Two control machines at once, both with a seat; five seats', (h) => {
    const s = seatsOf(h);
    return lose(h, h.control.filter((n) => s.has(n.config.peer)).slice(0, 2));
  });
  await drill(
    'loss-two-seats',
    'The same, seats on the control machines alone: three',
    (h) => {
      const s = seatsOf(h);
      return lose(h, h.control.filter((n) => s.has(n.config.peer)).slice(0, 2));
    },
    true,
  );
  await drill(
    'loss-two-in-turn',
    'Seats on the control machines alone, the second 90 s after the first',
    async (h) => {
      const s = seatsOf(h);
      const [a, b] = h.control.filter((n) => s.has(n.config.peer)) as [SimNode, SimNode];
      h.sim.kill(a);
      await h.sim.run(h.sim.now + 90_000);
      return lose(h, [b]).then((left) => left.filter((n) => n !== a));
    },
    true,
  );
  await drill('loss-region', 'A region with its two control machines (south)', (h) => lose(h, h.all.filter(south)));
  await drill('loss-region-other', 'The other region with its two control machines (north)', (h) =>
    lose(
      h,
      h.all.filter((n) => !south(n)),
    ),
  );
  await drill('split-north', 'Regions apart: the northern side', async (h) => {
    apart(h);
    return h.all.filter((n) => !south(n));
  });
  await drill('split-south', 'Regions apart: the southern side', async (h) => {
    apart(h);
    return h.all.filter(south);
  });
  return out;
}

/**
 * What listening costs, with nobody saying anything: a relay with so many subscriptions, each to a topic of its own.
 */
export async function takeInterest(sizes: number[], say: Say): Promise<Taken[]> {
  const one = (id: string, title: string, y: string): Taken => ({
    id,
    title,
    x: 'subscriptions',
    y,
    way: 'virtual',
    points: [],
  });
  const bytes = one(
    'interest-bytes',
    'Bytes a relay sent and got for its interest (deadlines and heads), nobody publishes',
    'KiB/s',
  );
  const requests = one('interest-requests', 'Requests a relay sent for it, three owners', 'a second');
  const cpu = one('interest-cpu', 'Processor time of the relay and three owners, simulator included', 'ms a second');
  const memory = one('interest-memory', "Memory of the relay's subscriptions and the owners' interest together", 'MiB');
  for (const n of sizes) {
    const sim = new Sim(9);
    const stores = ['a', 'b', 'c'].map((d, i) => sim.add(`store${i + 1}`, { role: 'store', domain: d, disk: true }));
    const relay = sim.add('relay1', { role: 'relay', domain: 'a' });
    for (const x of sim.nodes.values()) {
      x.config.seeds = stores.map((y) => y.config.peer);
      void sim.start(x);
    }
    await sim.run(8_000);
    void sim.clientTransport.visit(relay.config.client, 'SubmitConfig', { changeId: 'a', config: CONFIG }, 10_000);
    await sim.run(sim.now + 2_000);
    const before = heapMiB();
    const conns: string[] = [];
    const per = 100;
    for (let i = 0; i < n / per; i++)
      sim.clientTransport.attach(
        relay.config.client,
        { consumer: `c${i}`, pingS: 60 },
        (f) => {
          if (f.t === 'ATTACHED') conns.push(f.conn);
        },
        () => undefined,
      );
    await sim.run(sim.now + 1_000);
    let subscribed = 0;
    for (const [i, conn] of conns.entries()) {
      for (let j = 0; j < per; j++)
        void sim.clientTransport
          .visit(relay.config.client, 'Subscribe', { conn, topic: `feed/${i * per + j}` }, 10_000)
          .then((r) => {
            if (r?.status === 200) subscribed++;
          });
      await sim.run(sim.now + 20);
    }
    for (const until = sim.now + 20_000; sim.now < until && subscribed < n;) await sim.run(sim.now + 100);
    if (subscribed < n) throw new Error(`${subscribed} of ${n} subscriptions were taken`);
    await sim.run(sim.now + 3_000);
    memory.points.push({ x: n, y: heapMiB() - before });
    let got = 0;
    let calls = 0;
    for (const x of stores) {
      const h = x.handle!;
      x.handle = async (f) => {
        const a = await h(f);
        // All that the relay asks owners is for its interest: nobody publishes. Membership and register are left out.
        const { method, from } = headOf(f);
        if (from === relay.config.peer && !CONTROL.has(method)) {
          got += f.length + a.length;
          calls++;
        }
        return a;
      };
    }
    const S = 42;
    const t0 = cpuMs();
    for (let i = 0; i < S / 2; i++) {
      // Each conn says a sign of life every 2 s; renewals follow from it.
      for (const conn of conns) void sim.clientTransport.visit(relay.config.client, 'Probe', { conn }, 10_000);
      await sim.run(sim.now + 2_000);
    }
    cpu.points.push({ x: n, y: (cpuMs() - t0) / S });
    bytes.points.push({ x: n, y: got / 1024 / S });
    requests.points.push({ x: n, y: calls / S });
    say(`${n} subscriptions: ${bytes.points.at(-1)!.y.toFixed(1)} KiB/s, ${requests.points.at(-1)!.y.toFixed(1)} requests a second, \
${cpu.points.at(-1)!.y.toFixed(1)} ms/s, ${memory.points.at(-1)!.y.toFixed(1)} MiB`);
    sim.close();
  }
  return [bytes, requests, cpu, memory];
}

/** Bytes between machines of one message: to the owner, to its copies, to the relay of one listener. */
export async function takeTraffic(rates: number[], say: Say): Promise<Taken[]> {
  const one = (id: string, title: string): Taken => ({
    id,
    title,
    x: 'publishes a second',
    y: 'KiB/s',
    way: 'virtual',
    points: [],
  });
  const publish = one('traffic-publish', 'Bytes from relay to owner and back, bodies of 100 bytes');
  const append = one('traffic-append', 'Bytes from owner to four copies and back');
  const fan = one('traffic-fan', 'Bytes from owner to the one relay that listens, and back');
  for (const perS of rates) {
    const sim = new Sim(9);
    const stores = ['a', 'b', 'c', 'd', 'e'].map((d, i) =>
      sim.add(`store${i + 1}`, { role: 'store', domain: d, disk: true }),
    );
    const relay = sim.add('relay1', { role: 'relay', domain: 'a' });
    for (const x of sim.nodes.values()) {
      x.config.seeds = stores.slice(0, 3).map((y) => y.config.peer);
      void sim.start(x);
    }
    await sim.run(9_000);
    void sim.clientTransport.visit(relay.config.client, 'SubmitConfig', { changeId: 'a', config: CONFIG }, 10_000);
    await sim.run(sim.now + 2_000);
    let conn = '';
    sim.clientTransport.attach(
      relay.config.client,
      { consumer: 'c', pingS: 60 },
      (f) => {
        if (f.t === 'ATTACHED') conn = f.conn;
      },
      () => undefined,
    );
    await sim.run(sim.now + 500);
    for (let i = 0; i < 100; i++)
      void sim.clientTransport.visit(relay.config.client, 'Subscribe', { conn, topic: `feed/${i}` }, 10_000);
    await sim.run(sim.now + 2_000);
    const by = new Map<string, number>();
    for (const x of sim.nodes.values()) {
      const h = x.handle!;
      x.handle = async (f) => {
        const m = headOf(f).method;
        const a = await h(f);
        // Beats between appends are what shards cost, not messages.
        if (m !== 'Append' || f.includes('feed/')) by.set(m, (by.get(m) ?? 0) + f.length + a.length);
        return a;
      };
    }
    const S = 10;
    let accepted = 0;
    for (let i = 0; i < perS * S; i++) {
      void sim.clientTransport
        .visit(
          relay.config.client,
          'Publish',
          { sender: 'desk', topic: `feed/${i % 100}`, seq: i + 1, body: 'x'.repeat(100) },
          10_000,
        )
        .then((r) => {
          if (r?.status === 200) accepted++;
        });
      await sim.run(sim.now + 1_000 / perS);
    }
    await sim.run(sim.now + 1_000);
    if (accepted < perS * S) throw new Error(`${accepted} of ${perS * S} were accepted`);
    const rate = accepted / S;
    for (const [s, m] of [
      [publish, 'Publish'],
      [append, 'Append'],
      [fan, 'Fan'],
    ] as const)
      s.points.push({ x: rate, y: (by.get(m) ?? 0) / 1024 / S });
    if ([publish, append, fan].some((s) => s.points.at(-1)!.y <= 0))
      throw new Error(
        'publishes without a byte between nodes were \
measured',
      );
    say(`${rate} publishes a second: ${publish.points.at(-1)!.y.toFixed(1)} KiB/s to owners, ${append.points.at(-1)!.y.toFixed(1)} to \
copies, ${fan.points.at(-1)!.y.toFixed(1)} to the relay`);
    sim.close();
  }
  return [publish, append, fan];
}

/**
 * Shards that keep a majority of their copies when a zone or a region of the four zones goes, by the fleet's own
 * placement.
 */
export function takePlacement(sizes: number[], say: Say): Taken[] {
  const one = (id: string, title: string): Taken => ({
    id,
    title,
    x: 'shards',
    y: '% of shards',
    way: 'direct',
    points: [],
  });
  const zone = one(
    'placement-zone',
    'Shards with a majority left when the worst zone goes, 5 copies on 110 disks in four zones',
  );
  const region = one('placement-region', 'Shards with a majority left when the worse of two regions goes');
  for (const n of sizes) {
    const v = valueOf(n, 110);
    const at = assignReplicas([...v.disks.values()], SHARD.replicaCount, n);
    const left = (gone: (zone: string) => boolean): number =>
      ([...at.values()].filter((c) => c.filter((d) => !gone(v.disks.get(d)!.domain)).length * 2 > c.length).length /
        n) *
      100;
    zone.points.push({ x: n, y: Math.min(...ZONES.map((z) => left((x) => x === z))) });
    region.points.push({
      x: n,
      y: Math.min(
        left((x) => x.startsWith('north')),
        left((x) => x.startsWith('south')),
      ),
    });
    say(`${n} shards: ${zone.points.at(-1)!.y.toFixed(0)} % keep a majority without the worst zone, ${region.points.at(-1)!.y.toFixed(0)} \
% without the worse region`);
  }
  return [zone, region];
}
