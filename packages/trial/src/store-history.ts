/** A small fleet of real processes whose stores keep a given amount of history, and what that costs them in memory. */
import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { openDatabase, realClock, sleep } from '@harecross/kernel';
import { DurableState, lastFence } from '@harecross/state';
import { Fleet, type NodeProcess } from './process-fleet.js';
import type { DeploymentSpec } from './scenario.js';

const SITE: DeploymentSpec = {
  name: 'history',
  domains: ['a', 'b', 'c'],
  stores: 3,
  relays: 1,
  relayDisks: 0,
  consumers: 0,
  families: [],
};

/** The history is not trimmed while it is measured. */
const RETENTION_S = 7_200;
/** What an entry takes on a disk besides its body, as it is counted here. */
const ENTRY_OVERHEAD_BYTES = 100;
const READY_TIMEOUT_MS = 60_000;
const CATCH_UP_TIMEOUT_MS = 240_000;
const SAMPLE_INTERVAL_MS = 100;
const SETTLE_MS = 5_000;
/** Publishes that are under way at once. */
const PUBLISHERS = 64;
/** Bytes of bodies that are under way at once. */
const IN_FLIGHT_BYTES = 512 * 1024;
const PUBLISH_TIMEOUT_MS = 20_000;
/** A disk that has this share of what the others have is caught up. */
const CAUGHT_UP_SHARE = 0.95;

/** How the history is made up, and what runs the stores. */
export interface HistoryOptions {
  /** Characters of a body. */
  bodyBytes: number;
  /** Number of topics over which the messages are spread. */
  topics: number;
  nodeOptions: string[];
  /** The built checkout to measure; default: this one. */
  checkout?: string;
}

/** Resident memory of the largest store (MB). */
export interface MemoryFigures {
  atRest: number;
  besideLostDisk: number;
  afterRestart: number;
}

const residentMB = (node: NodeProcess): number => {
  const status = `/proc/${node.child!.pid}/status`;
  if (!node.up || !existsSync(status)) return 0;
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(status, 'utf8'))?.[1] ?? 0) / 1024;
};

/** Bytes in a node's data folder. */
function diskBytes(node: NodeProcess): number {
  const folder = node.config.data!;
  if (!existsSync(folder)) return 0;
  return readdirSync(folder).reduce((sum, file) => sum + statSync(join(folder, file)).size, 0);
}

/** An election may be under way when the stores are killed. */
const STOP_ATTEMPTS = 5;
/** Messages that are written in one transaction. */
const BULK_TRANSACTION = 10_000;

interface BulkMessages {
  /** Number of the first message. */
  from: number;
  count: number;
  bodyBytes: number;
}

function openState(folder: string): DurableState {
  const log = { info: () => undefined, warn: () => undefined };
  const state = new DurableState(
    openDatabase(folder, realClock, log, (error) => process.emitWarning(error), 'history'),
  );
  state.init();
  return state;
}

/** Where each replica on a disk ends, as text. */
function historyEnds(folder: string): string {
  const state = openState(folder);
  const replicas = [...state.loadReplicas(0).values()].sort((one, other) => one.shard - other.shard);
  state.db.close();
  return JSON.stringify(replicas.map((replica) => [replica.shard, replica.last, lastFence(replica)]));
}

/** Appends messages to the topics that a disk has, in turn; returns how many of each topic. */
function extendHistory(folder: string, { from, count, bodyBytes }: BulkMessages): Map<string, number> {
  const state = openState(folder);
  const { db } = state;
  const replicas = state.loadReplicas(0);
  const select = "select shard, topic, era, max(off) as head from entry where topic <> '' group by shard, topic";
  const topics = db.sql.prepare(select).all() as { shard: number; topic: string; era: number; head: number }[];
  const written = new Map<string, number>();
  const write = (seq: number): void => {
    const target = topics[seq % topics.length]!;
    const { shard, topic, era } = target;
    const replica = replicas.get(shard)!;
    const [idx, fence, off] = [replica.last + 1, lastFence(replica), ++target.head];
    const body = String(seq).padEnd(bodyBytes, 'x');
    state.appendEntry(replica, { idx, fence, topic, off, era, sender: 'bulk', seq, body, at: 0 });
    written.set(topic, (written.get(topic) ?? 0) + 1);
  };
  for (let next = from; next < from + count;) {
    const end = Math.min(next + BULK_TRANSACTION, from + count);
    db.sql.transaction(() => {
      while (next < end) write(next++);
    })();
    db.sql.pragma('wal_checkpoint(TRUNCATE)');
  }
  db.close();
  return written;
}

/**
 * Three stores and a relay with a history.
 * @example
 * const history = await StoreHistory.start({ bodyBytes: 16_384, topics: 1, nodeOptions: [] });
 * await history.fillTo(20);
 */
export class StoreHistory {
  private messages = 0;
  /** Messages that were stored, by topic. */
  private readonly accepted = new Map<string, number>();

  private constructor(
    readonly fleet: Fleet,
    private readonly folder: string,
    private readonly options: HistoryOptions,
  ) {}

  static async start(options: HistoryOptions): Promise<StoreHistory> {
    const folder = mkdtempSync(join(tmpdir(), 'harecross-history-'));
    const fleet = await Fleet.create(SITE, folder);
    fleet.nodeOptions = options.nodeOptions;
    if (options.checkout) fleet.checkout = options.checkout;
    const history = new StoreHistory(fleet, folder, options);
    fleet.startAll();
    await history.awaitHealthy();
    const families = [
      { name: 'kept', topics: ['kept/*'], urgency: 'routine', patienceMs: 5_000, memoryS: RETENTION_S, aimMs: 500 },
    ];
    await history.visit('SubmitConfig', { changeId: 'first', config: { families } });
    return history;
  }

  async close(): Promise<void> {
    await this.fleet.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** How often stores ended without being asked to. */
  crashes(): number {
    return this.fleet.stores.flatMap((store) => store.exits).filter((code) => code !== 0 && code !== -1).length;
  }

  /** The lines that the stores wrote about running out of memory. */
  outOfMemory(): number {
    const logs = this.fleet.stores.map((store) => readFileSync(store.file.replace(/\.json$/, '.log'), 'utf8'));
    return logs.join('').split('heap out of memory').length - 1;
  }

  private async awaitHealthy(): Promise<void> {
    const until = realClock.now() + READY_TIMEOUT_MS;
    while (!this.fleet.procs.every((node) => node.healthy)) {
      if (realClock.now() > until) throw new Error(`not all processes serve after ${READY_TIMEOUT_MS / 1_000} s`);
      await sleep(realClock, SAMPLE_INTERVAL_MS);
    }
  }

  /** Calls the relay until it answers with 200. */
  private async visit(method: string, body: unknown): Promise<unknown> {
    const until = realClock.now() + READY_TIMEOUT_MS;
    for (;;) {
      const relay = this.fleet.relays[0]!.config.client;
      const response = await this.fleet.clientTransport.visit(relay, method, body, PUBLISH_TIMEOUT_MS);
      if (response?.status === 200) return response.body;
      if (realClock.now() > until) throw new Error(`${method} failed: ${JSON.stringify(response?.body)}`);
      await sleep(realClock, SAMPLE_INTERVAL_MS);
    }
  }

  /** Publishes until that many MB are kept, each message counted with its overhead. */
  async fillTo(megabytes: number): Promise<void> {
    const { bodyBytes, topics } = this.options;
    const target = Math.ceil((megabytes * 1e6) / (bodyBytes + ENTRY_OVERHEAD_BYTES));
    const publishers = Math.max(1, Math.min(PUBLISHERS, Math.floor(IN_FLIGHT_BYTES / bodyBytes)));
    const publish = async (sender: string): Promise<void> => {
      while (this.messages < target) {
        const n = ++this.messages;
        const topic = `kept/${n % topics}`;
        await this.visit('Publish', { sender, topic, seq: n, body: String(n).padEnd(bodyBytes, 'x') });
        this.accepted.set(topic, (this.accepted.get(topic) ?? 0) + 1);
      }
    };
    await Promise.all(Array.from({ length: publishers }, (_, i) => publish(`s${i}`)));
  }

  /**
   * Has that many MB kept, each message counted with its overhead. A message on each topic is published; the others are written to the
   * disks while the stores are down, which takes a fraction of the time.
   */
  async writeTo(megabytes: number): Promise<void> {
    const { bodyBytes, topics } = this.options;
    if (this.messages < topics) await this.fillTo((topics * (bodyBytes + ENTRY_OVERHEAD_BYTES)) / 1e6);
    const count = Math.ceil((megabytes * 1e6) / (bodyBytes + ENTRY_OVERHEAD_BYTES)) - this.messages;
    await this.stopWithSameHistory();
    const bulk = { from: this.messages + 1, count, bodyBytes };
    const written = this.fleet.stores.map((store) => extendHistory(store.config.data!, bulk));
    for (const [topic, n] of written[0]!) this.accepted.set(topic, (this.accepted.get(topic) ?? 0) + n);
    this.messages += count;
    await this.startStores();
  }

  /** Kills the stores while all replicas of a shard have the same entries. */
  private async stopWithSameHistory(): Promise<void> {
    for (let attempt = 0; attempt < STOP_ATTEMPTS; attempt++) {
      await sleep(realClock, SETTLE_MS);
      await Promise.all(this.fleet.stores.map((store) => this.fleet.kill(store)));
      const ends = this.fleet.stores.map((store) => historyEnds(store.config.data!));
      if (new Set(ends).size === 1) return;
      await this.startStores();
    }
    throw new Error('the disks have different histories');
  }

  private async startStores(): Promise<void> {
    for (const store of this.fleet.stores) this.fleet.start(store);
    await this.awaitHealthy();
  }

  /** The largest memory of the stores, sampled while `work` runs. */
  private async peakDuring(work: Promise<void>): Promise<number> {
    let isDone = false;
    let peak = 0;
    const sampled = work.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      peak = Math.max(peak, ...this.fleet.stores.map(residentMB));
      await Promise.race([sleep(realClock, SAMPLE_INTERVAL_MS), sampled]);
    }
    await sampled;
    return peak;
  }

  async atRest(): Promise<number> {
    await sleep(realClock, SETTLE_MS);
    return Math.max(...this.fleet.stores.map(residentMB));
  }

  /** Erases the disk of one store and starts it again; the peak of all stores until it is caught up. */
  loseDisk(store: NodeProcess): Promise<number> {
    return this.peakDuring(this.eraseAndCatchUp(store));
  }

  private async eraseAndCatchUp(store: NodeProcess): Promise<void> {
    const others = this.fleet.stores.filter((other) => other !== store);
    await this.fleet.kill(store);
    rmSync(store.config.data!, { recursive: true });
    this.fleet.start(store);
    const until = realClock.now() + CATCH_UP_TIMEOUT_MS;
    while (diskBytes(store) < CAUGHT_UP_SHARE * Math.min(...others.map(diskBytes))) {
      this.restartEnded();
      if (realClock.now() > until) throw new Error(`${store.name} is not caught up`);
      await sleep(realClock, SAMPLE_INTERVAL_MS);
    }
    await sleep(realClock, SETTLE_MS);
  }

  /** Kills all stores at once and starts them again; the peak until they serve. */
  restartAll(): Promise<number> {
    return this.peakDuring(this.killAndStart());
  }

  private async killAndStart(): Promise<void> {
    await Promise.all(this.fleet.stores.map((store) => this.fleet.kill(store)));
    await this.startStores();
    await sleep(realClock, SETTLE_MS);
  }

  /** Starts processes again that ended by themselves, as a service manager does. */
  private restartEnded(): void {
    for (const store of this.fleet.stores) if (!store.up) this.fleet.start(store);
  }

  /** Memory with what is kept now. Resident memory includes what the peak of an earlier step left behind. */
  async measure(): Promise<MemoryFigures> {
    const atRest = await this.atRest();
    const besideLostDisk = await this.loseDisk(this.fleet.stores[2]!);
    const afterRestart = await this.restartAll();
    return { atRest, besideLostDisk, afterRestart };
  }

  /** The heads of some topics differ from what was stored. */
  async lostMessages(topics: number): Promise<string[]> {
    const lost: string[] = [];
    for (const [topic, count] of [...this.accepted].slice(0, topics)) {
      const answer = await this.visit('Publish', { sender: 'check', topic, seq: 1e9, body: 'end' });
      const offset = (answer as { accepted?: { offset: number } }).accepted?.offset;
      if (offset === undefined || offset <= count) lost.push(`${topic}: ${offset} after ${count} messages`);
    }
    return lost;
  }
}
