import { toErrorDetails, randomSample, sleep, type Clock, type RandomSource } from '@harecross/kernel';
import { familyOf, type FleetConfig, type Frame } from '@harecross/schema';
import type { Json } from './json.js';
import type { Journal } from './journal.js';

/**
 * A connection on which several visits may be on their way: when the last of them arrives, and those that arrived and
 * were not read. Answers come back in the order in which they were given.
 */
export interface OrderedConnection {
  name: string;
  at: number;
  waiting: (() => void)[];
}

/** The outside's way to a fleet; the simulator's and the real one stand behind it. Nodes are client addresses. */
export interface ClientTransport {
  /** With a `line`, visits to one node arrive in the order in which they were made; real ones may not. */
  visit(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
    line?: OrderedConnection,
  ): Promise<{ status: number; body: Json } | undefined>;
  attach(node: string, body: unknown, onFrame: (f: Frame) => void, onEnd: () => void): () => void;
  /** What a platform knows: nodes that take conns and call themselves well, in a domain or anywhere. */
  nodes(domain?: string): string[];
}

export interface ClientContext {
  clock: Clock;
  random: RandomSource;
  clientTransport: ClientTransport;
  journal: Journal;
}

/** Every try to publish has a number of its own. */
let tries = 0;

const pick = (w: ClientContext, domain?: string): string | undefined => {
  const near = w.clientTransport.nodes(domain);
  return randomSample(w.random, near.length ? near : w.clientTransport.nodes(), 1)[0];
};

/**
 * A consumer: attaches, subscribes from where it left off, probes every two seconds, drops off often.
 * @example
 * const c = new Consumer(world, 'phone-7', 'kaolack', ['feed/7']); c.start();
 */
export class Consumer {
  private cursors = new Map<string, number>();
  private conn?: string;
  private node?: string;
  private closeNow?: () => void;
  /** Cuts the conn without a word to the other side. */
  private forgetNow?: () => void;
  private pingMs = 0;
  /** Frames that came on the present stream. */
  private got = 0;
  private running = false;
  private life = 0;
  private runs = 0;
  /** Topics wanted now. */
  readonly want: Set<string>;

  constructor(
    private w: ClientContext,
    readonly name: string,
    public domain: string,
    topics: string[],
    private opts: { pingS?: number; jitterMs?: number; staysUntilEnd?: boolean } = {},
  ) {
    this.want = new Set(topics);
  }

  /** Begins behind these offsets. */
  from(cursors: Map<string, number>): this {
    for (const [t, c] of cursors) this.cursors.set(t, c);
    return this;
  }

  start(): void {
    if (this.running) return;
    this.running = true;
    void this.live();
  }
  stop(): void {
    this.running = false;
    this.disconnect('stop');
  }
  /** The conn breaks; the consumer comes back by itself. */
  disconnect(why = 'drop'): void {
    this.end(why);
  }
  /** The phone is gone without closing anything: no check-ins, nothing read, the other side is told nothing. */
  vanish(): void {
    this.running = false;
    const f = this.forgetNow;
    this.closeNow = undefined;
    this.end('vanished');
    f?.();
  }
  /** Drops off and stays away for a while. */
  async disconnectFor(ms: number): Promise<void> {
    this.running = false;
    this.disconnect('away');
    await sleep(this.w.clock, ms);
    this.start();
  }

  async unsubscribe(topic: string): Promise<void> {
    this.want.delete(topic);
    const conn = this.conn;
    if (!conn) return;
    const r = await this.w.clientTransport.visit(this.node!, 'Unsubscribe', { conn, topic }, 2_000);
    if (r?.status === 200) this.w.journal.add({ k: 'unsub.ok', consumer: this.name, conn, topic });
  }

  /** Wants a topic again, from where it left off. */
  again(topic: string): void {
    this.want.add(topic);
    if (this.conn) void this.subscribe(this.conn, topic, this.life, this.node!);
  }

  private end(why: string, retryMs?: number): void {
    if (this.conn)
      this.w.journal.add({
        k: 'conn.end',
        consumer: this.name,
        conn: this.conn,
        why,
        ...(retryMs === undefined ? {} : { retryMs }),
      });
    this.conn = undefined;
    const c = this.closeNow;
    this.closeNow = undefined;
    this.life++;
    c?.();
  }

  private async live(): Promise<void> {
    const { clock, random } = this.w;
    const me = ++this.runs;
    let wait = (this.opts.jitterMs ?? 300) * random.next();
    while (this.running) {
      await sleep(clock, wait);
      if (!this.running || this.runs !== me) return;
      const node = pick(this.w, this.domain);
      if (!node) {
        wait = 300 + 300 * random.next();
        continue;
      }
      wait = await this.one(node);
      if (!this.running || this.runs !== me) return;
    }
  }

  /** One conn's life; gives the time to wait before the next. */
  private one(node: string): Promise<number> {
    const { random, clientTransport: way, clock, journal } = this.w;
    return new Promise((res) => {
      this.end('superseded');
      const life = ++this.life;
      this.got = 0;
      let hint = 100 + 400 * random.next();
      const over = (why: string, retryMs?: number): void => {
        if (this.life === life) this.end(why, retryMs);
        res(hint);
      };
      this.node = node;
      let attached = false;
      const cancel = clock.after(3_000, () => {
        if (!attached) {
          close();
          over('no answer');
        }
      });
      const close = way.attach(
        node,
        { consumer: this.name, pingS: this.opts.pingS ?? 2 },
        (f) => {
          if (this.life !== life) return;
          this.got++;
          switch (f.t) {
            case 'ATTACHED':
              attached = true;
              cancel();
              this.conn = f.conn;
              this.pingMs = f.pingS * 1000;
              journal.add({ k: 'conn.open', consumer: this.name, conn: f.conn, node, domain: this.domain });
              void this.probes(f.conn, life, node);
              for (const t of this.want) void this.subscribe(f.conn, t, life, node);
              break;
            case 'DELIVER':
              journal.add({
                k: 'deliver',
                consumer: this.name,
                conn: this.conn!,
                topic: f.topic,
                sub: f.sub,
                sender: f.sender,
                seq: f.seq,
                offset: f.offset,
                body: f.body,
              });
              this.cursors.set(f.topic, Math.max(f.offset, this.cursors.get(f.topic) ?? 0));
              break;
            case 'LEFT':
              journal.add({
                k: 'left',
                consumer: this.name,
                conn: this.conn!,
                topic: f.topic,
                sub: f.sub,
                reason: f.reason,
                cursor: this.cursors.get(f.topic),
              });
              if (f.reason === 'cursor_expired' || f.reason === 'topic_removed') this.cursors.delete(f.topic);
              if (f.reason === 'cursor_expired') void this.subscribe(this.conn!, f.topic, life, node);
              if (f.reason === 'topic_removed')
                void sleep(clock, 1_500).then(() => this.subscribe(this.conn!, f.topic, life, node));
              break;
            case 'GOAWAY':
              hint = f.retryAfterMs;
              // Some clients go on with an open connection for as long as there is one.
              if (this.opts.staysUntilEnd) break;
              close();
              over('goaway', f.retryAfterMs);
              break;
            case 'CLOSED':
              hint = f.retryAfterMs;
              close();
              over(f.reason, f.retryAfterMs);
              break;
          }
        },
        () => {
          cancel();
          over('reset');
        },
      );
      this.closeNow = () => {
        cancel();
        close();
        res(hint);
      };
      this.forgetNow = () => {
        cancel();
        res(hint);
      };
    });
  }

  /** The platform puts each TCP connection where it likes: mostly the same node, now and then another. */
  private nodeFor(node: string): string {
    return this.w.random.next() < 0.3 ? (pick(this.w, this.domain) ?? node) : node;
  }

  private async probes(conn: string, life: number, node: string): Promise<void> {
    const { clock, random, clientTransport: way } = this.w;
    let behind: number | undefined;
    while (this.life === life) {
      await sleep(clock, this.pingMs * (0.9 + 0.2 * random.next()));
      if (this.life !== life) return;
      const asked = clock.now();
      const r = await way.visit(this.nodeFor(node), 'Probe', { conn }, 2_000);
      if (r?.status !== 200) this.w.journal.add({ k: 'probe.lost', consumer: this.name, conn, asked });
      if (this.life !== life) return;
      if (r?.status === 410) this.end('unknown_conn');
      // Frames were given to the stream before the last check-in and have not come since: the stream is dead.
      if (behind !== undefined && this.got < behind) {
        this.end('dead stream');
        return;
      }
      if (r?.status === 200) behind = r.body.sent > this.got ? r.body.sent : undefined;
    }
  }

  async subscribe(conn: string, topic: string, life: number, node: string): Promise<void> {
    const { clock, random, clientTransport: way, journal } = this.w;
    for (let i = 0; this.life === life && this.want.has(topic); i++) {
      const cursor = this.cursors.get(topic);
      journal.add({ k: 'sub.ask', consumer: this.name, conn, topic, cursor });
      const r = await way.visit(
        this.nodeFor(node),
        'Subscribe',
        { conn, topic, ...(cursor === undefined ? {} : { cursor }) },
        8_000,
      );
      if (this.life !== life) return;
      if (r?.status === 200) {
        journal.add({ k: 'sub.ok', consumer: this.name, conn, topic, sub: r.body.sub, cursor, next: r.body.next });
        if (cursor === undefined && !this.cursors.has(topic)) this.cursors.set(topic, r.body.next - 1);
        return;
      }
      const tag: string = r?.body?.error?.tag ?? 'no answer';
      journal.add({ k: 'sub.fail', consumer: this.name, conn, topic, cursor, tag });
      if (tag === 'unknown_conn') {
        this.end('unknown_conn');
        return;
      }
      if (tag === 'cursor_expired' || tag === 'cursor_ahead') this.cursors.delete(topic);
      await sleep(clock, r?.body?.error?.retryAfterMs ?? 500 + 500 * random.next());
    }
  }
}

/**
 * A sender: one message at a time per topic, the same seq again until it is told or gives up.
 * @example
 * new Sender(world, 'desk', 'kaolack', ['warn/1'], 500).start();
 */
export class Sender {
  private seqs = new Map<string, number>();
  private busy = new Set<string>();
  private running = false;
  constructor(
    private w: ClientContext,
    readonly name: string,
    public domain: string,
    private topics: string[],
    private everyMs: number,
    private opts: { triesN?: number; bodyBytes?: number; repeats?: number } = {},
  ) {}

  start(): void {
    this.running = true;
    void this.live();
  }
  stop(): void {
    this.running = false;
  }

  private async live(): Promise<void> {
    const { clock, random } = this.w;
    await sleep(clock, this.everyMs * random.next());
    while (this.running) {
      const topic = this.topics[Math.floor(random.next() * this.topics.length)]!;
      void this.publish(topic);
      await sleep(clock, this.everyMs * (0.6 + 0.8 * random.next()));
    }
  }

  async publish(topic: string): Promise<void> {
    if (this.busy.has(topic)) return;
    this.busy.add(topic);
    const { clock, random, clientTransport: way, journal } = this.w;
    const seq = (this.seqs.get(topic) ?? 0) + 1;
    this.seqs.set(topic, seq);
    const body = `${this.name}:${topic}:${seq}:${Math.floor(random.next() * 1e6)}`.padEnd(
      this.opts.bodyBytes ?? 0,
      '.',
    );
    try {
      for (let i = 0; i < (this.opts.triesN ?? 6); i++) {
        const node = pick(this.w, this.domain);
        if (!node) {
          await sleep(clock, 400);
          continue;
        }
        const n = ++tries;
        journal.add({ k: 'pub.try', try: n, sender: this.name, topic, seq, body, node, domain: this.domain });
        const r = await way.visit(node, 'Publish', { sender: this.name, topic, seq, body }, 5_000);
        const retryMs: number | undefined = r?.body?.rejected?.retryAfterMs ?? r?.body?.error?.retryAfterMs;
        const say = (out: 'accepted' | 'rejected' | 'unknown', x: { offset?: number; tag?: string } = {}): void =>
          journal.add({
            k: 'pub.answer',
            try: n,
            sender: this.name,
            topic,
            seq,
            out,
            node,
            ...x,
            ...(r ? { status: r.status } : {}),
            ...(retryMs === undefined ? {} : { retryMs }),
          });
        if (r?.status === 200 && r.body.accepted) {
          say('accepted', { offset: r.body.accepted.offset });
          if (random.next() < (this.opts.repeats ?? 0)) void this.repeat(topic, seq, body);
          return;
        }
        if (r?.body?.rejected) {
          say('rejected', { tag: r.body.rejected.reason });
          if (r.body.rejected.reason === 'stale_seq') return;
          await sleep(clock, r.body.rejected.retryAfterMs);
          continue;
        }
        const tag: string = r?.body?.error?.tag ?? 'no answer';
        switch (tag) {
          case 'unknown_topic':
          case 'too_large':
          case 'bad_visit':
            say('rejected', { tag });
            return;
          default:
            say('unknown', { tag });
            await sleep(clock, r?.body?.error?.retryAfterMs ?? 300 + 300 * random.next());
        }
      }
    } catch (e) {
      throw new Error(`sender ${this.name}: ${toErrorDetails(e, 'publish', this.name).tag}`);
    } finally {
      this.busy.delete(topic);
    }
  }

  /**
   * Sends an accepted number once more, while later ones are on their way, at any node: an answer may have got lost to
   * others.
   */
  private async repeat(topic: string, seq: number, body: string): Promise<void> {
    const { clock, random } = this.w;
    await sleep(clock, 9_000 * random.next());
    const node = this.running ? pick(this.w) : undefined;
    if (node) await publishOnce(this.w, { sender: this.name, topic, seq, body, node, domain: this.domain });
  }
}

type Told = { out: 'accepted' | 'rejected' | 'unknown'; tag: string; answered: boolean };
/** One try to publish, written down. */
async function publishOnce(
  w: ClientContext,
  p: { sender: string; topic: string; seq: number; body: string; node: string; domain: string; line?: string },
  line?: OrderedConnection,
): Promise<Told> {
  const n = ++tries;
  const { sender, topic, seq, body, node } = p;
  w.journal.add({ k: 'pub.try', try: n, ...p });
  const r = await w.clientTransport.visit(node, 'Publish', { sender, topic, seq, body }, 5_000, line);
  const retryMs: number | undefined = r?.body?.rejected?.retryAfterMs ?? r?.body?.error?.retryAfterMs;
  const offset: number | undefined = r?.body?.accepted?.offset;
  const tag: string = offset !== undefined ? '' : (r?.body?.rejected?.reason ?? r?.body?.error?.tag ?? 'no answer');
  const refused = r?.body?.rejected || ['unknown_topic', 'too_large', 'bad_visit'].includes(tag);
  let out: 'accepted' | 'rejected' | 'unknown' = refused ? 'rejected' : 'unknown';
  if (offset !== undefined) out = 'accepted';
  w.journal.add({
    k: 'pub.answer',
    try: n,
    sender,
    topic,
    seq,
    out,
    node,
    ...(offset === undefined ? { tag } : { offset }),
    ...(r ? { status: r.status } : {}),
    ...(retryMs === undefined ? {} : { retryMs }),
  });
  return { out, tag, answered: r !== undefined };
}

/**
 * A sender with up to eight publishes on the way at once on one topic, on one connection. What was given up it sends
 * again, in order and before anything new; when the connection breaks it takes another, elsewhere.
 * @example
 * new Pipeliner(world, 'pipe', 'kaolack', 'warn/1', 80).start();
 */
export class PipelinedSender {
  private seq = 0;
  private running = false;
  /** Numbers without a final answer, in order; `again` when they must be sent anew. */
  private open = new Map<number, { body: string; again: boolean; tries: number }>();
  private node?: string;
  private line: OrderedConnection;
  private lines = 0;
  constructor(
    private w: ClientContext,
    readonly name: string,
    public domain: string,
    readonly topic: string,
    private everyMs: number,
    private windowN = 8,
  ) {
    this.line = this.connection();
  }
  private connection(): OrderedConnection {
    return { name: `${this.name}/${++this.lines}`, at: 0, waiting: [] };
  }

  start(): void {
    if (this.running) return;
    this.running = true;
    void this.live();
  }
  stop(): void {
    this.running = false;
  }

  private async live(): Promise<void> {
    const { clock, random } = this.w;
    while (this.running) {
      await sleep(clock, this.everyMs * (0.2 + 1.6 * random.next()));
      this.node ??= pick(this.w, this.domain);
      if (!this.node) continue;
      const again = [...this.open].filter(([, x]) => x.again);
      if (again.length) {
        for (const [seq] of again) void this.send(seq);
        continue;
      }
      // Now and then several at once.
      for (let n = random.next() < 0.3 ? 5 : 1; n > 0 && this.open.size < this.windowN; n--) {
        const seq = ++this.seq;
        this.open.set(seq, { body: `${this.name}:${seq}:${Math.floor(random.next() * 1e6)}`, again: false, tries: 0 });
        void this.send(seq);
      }
    }
  }

  private async send(seq: number): Promise<void> {
    const x = this.open.get(seq)!;
    x.again = false;
    x.tries++;
    const { node, line } = this;
    const told = await publishOnce(
      this.w,
      { sender: this.name, topic: this.topic, seq, body: x.body, node: node!, domain: this.domain, line: line.name },
      line,
    );
    if (
      told.out === 'accepted' ||
      ['stale_seq', 'unknown_topic', 'too_large', 'bad_visit'].includes(told.tag) ||
      x.tries >= 20
    ) {
      this.open.delete(seq);
      return;
    }
    if (this.open.get(seq) === x) x.again = true;
    if (told.answered || this.line !== line) return;
    // The connection broke: all that was on it is sent again on another.
    this.line = this.connection();
    this.node = undefined;
    for (const y of this.open.values()) y.again = true;
  }
}

/**
 * An operator: sends whole configurations, the same changeId until answered; reads back; looks at nodes.
 * @example
 * await new Operator(world, 'op').submit('c1', config, true);
 */
export class Operator {
  constructor(
    private w: ClientContext,
    private name: string,
  ) {}

  async submit(
    changeId: string,
    config: unknown,
    valid: boolean,
    expect?: number,
  ): Promise<{ out: string; version?: number }> {
    const { clock, journal, clientTransport: way, random } = this.w;
    for (let i = 0; i < 25; i++) {
      const node = randomSample(random, way.nodes(), 1)[0];
      if (!node) {
        await sleep(clock, 400);
        continue;
      }
      journal.add({ k: 'cfg.submit', changeId, expect, config, valid });
      const r = await way.visit(
        node,
        'SubmitConfig',
        { changeId, config, ...(expect === undefined ? {} : { expect }) },
        9_000,
      );
      const tag = r?.body?.error?.tag;
      if (r?.status === 200) {
        journal.add({ k: 'cfg.answer', changeId, out: 'taken', version: r.body.version });
        return { out: 'taken', version: r.body.version };
      }
      if (tag === 'conflict') {
        journal.add({ k: 'cfg.answer', changeId, out: 'conflict', version: r!.body.error.version });
        return { out: 'conflict' };
      }
      if (tag === 'invalid_config') {
        journal.add({ k: 'cfg.answer', changeId, out: 'invalid' });
        return { out: 'invalid' };
      }
      journal.add({ k: 'cfg.answer', changeId, out: 'unanswered' });
      await sleep(clock, 300 + 300 * random.next());
    }
    return { out: 'unanswered' };
  }

  /**
   * Sends a configuration with a revision, the same one to any node until it has a clear answer; a second of silence is
   * none. Callers of this kind may be several: the highest revision holds.
   */
  async revise(
    revision: number,
    config: unknown,
    valid: boolean,
    document: unknown,
  ): Promise<{ out: string; version?: number }> {
    const { clock, journal, clientTransport: way, random } = this.w;
    const changeId = `revision-${revision}`;
    for (let i = 0; i < 60; i++) {
      const node = randomSample(random, way.nodes(), 1)[0];
      if (!node) {
        await sleep(clock, 400);
        continue;
      }
      const asked = clock.now();
      journal.add({ k: 'cfg.submit', changeId, revision, document, config, valid });
      const r = await way.visit(node, 'SubmitConfig', { revision, document, config }, 1_000);
      if (r?.status === 200) {
        const out = r.body.revision === revision ? ('taken' as const) : ('overtaken' as const);
        journal.add({ k: 'cfg.answer', changeId, out, version: r.body.version, revision: r.body.revision, asked });
        return { out, version: r.body.version };
      }
      if (r?.body?.error?.tag === 'invalid_config') {
        journal.add({ k: 'cfg.answer', changeId, out: 'invalid' });
        return { out: 'invalid' };
      }
      journal.add({ k: 'cfg.answer', changeId, out: 'unanswered' });
      await sleep(clock, Math.min(1_600, 100 * 2 ** i) * (0.5 + random.next()));
    }
    return { out: 'unanswered' };
  }

  async read(last = false): Promise<number | undefined> {
    const { clock, journal, clientTransport: way, random } = this.w;
    for (let i = 0; i < 20; i++) {
      const node = randomSample(random, way.nodes(), 1)[0];
      const asked = clock.now();
      const r = node ? await way.visit(node, 'ReadConfig', {}, 8_000) : undefined;
      if (r?.status === 200) {
        journal.add({
          k: 'cfg.read',
          asked,
          version: r.body.version,
          revision: r.body.revision,
          document: r.body.document,
          config: r.body.config,
          last,
        });
        return r.body.version;
      }
      await sleep(clock, 400);
    }
    return undefined;
  }

  /** Plans moves on top of a configuration that is in force. */
  async plan(changeId: string, base: object, moves: object[]): Promise<{ status: number; body: Json }> {
    const { journal } = this.w;
    journal.add({ k: 'cfg.submit', changeId, config: { ...base, moves }, valid: true });
    const r = await this.ask('PlanMoves', { changeId, moves });
    journal.add(
      r.status === 200
        ? { k: 'cfg.answer', changeId, out: 'taken', version: r.body.version }
        : { k: 'cfg.answer', changeId, out: 'invalid' },
    );
    return r;
  }

  /** Any operator's visit, again until it has an answer that is not 'come back'. */
  async ask(method: string, body: unknown): Promise<{ status: number; body: Json }> {
    const { clock, clientTransport: way, random } = this.w;
    for (let i = 0; i < 30; i++) {
      const node = randomSample(random, way.nodes(), 1)[0];
      const r = node ? await way.visit(node, method, body, 9_000) : undefined;
      if (r && r.status < 500) return r;
      await sleep(clock, 300);
    }
    throw new Error(`${method} was never answered`);
  }

  /** Asks nodes which version they serve by. */
  async look(nodes: string[]): Promise<void> {
    const { clock, journal, clientTransport: way } = this.w;
    await Promise.all(
      nodes.map(async (node) => {
        const asked = clock.now();
        const r = await way.visit(node, 'Node', {}, 3_000);
        if (r?.status !== 200) {
          journal.add({ k: 'node.silent', asked, node });
          return;
        }
        const kept = r.body.copies.reduce((n: number, c: { kept: number }) => n + c.kept, 0);
        journal.add({
          k: 'node.says',
          asked,
          node,
          version: r.body.version,
          fresh: r.body.fresh,
          holdings: r.body.holdings,
          kept,
        });
      }),
    );
  }

  async count(topic: string): Promise<void> {
    const { clock, journal, clientTransport: way, random } = this.w;
    const node = randomSample(random, way.nodes(), 1)[0];
    if (!node) return;
    const asked = clock.now();
    const r = await way.visit(node, 'Listeners', { topic }, 3_000);
    if (r?.status === 200) journal.add({ k: 'count', asked, topic, count: r.body.count, partial: r.body.partial });
  }

  get label(): string {
    return this.name;
  }
}

/**
 * Asks every access node, all the time, which of two marker topics is in force there: each marker is in one
 * configuration only.
 * @example
 * const m = new Marker(world); m.at = 3; m.start(nodes);
 */
export class MarkerChecker {
  /** The newest marker; the one before is asked for too. */
  at = 0;
  private running = false;
  private seq = 0;
  constructor(
    private w: ClientContext,
    private everyMs = 50,
  ) {}

  start(nodes: string[]): void {
    this.running = true;
    for (const n of nodes) {
      void this.ask(n, 'Publish');
      void this.ask(n, 'Subscribe');
    }
  }
  stop(): void {
    this.running = false;
  }

  private async ask(node: string, by: 'Publish' | 'Subscribe'): Promise<void> {
    const { clock, clientTransport: way, journal } = this.w;
    let conn = '';
    for (let i = 0; this.running; i++) {
      await sleep(clock, this.everyMs);
      const mark = Math.max(1, this.at - (i % 2));
      const topic = `mark/${mark}`;
      void (async () => {
        const asked = clock.now();
        if (by === 'Publish') {
          const seq = ++this.seq;
          const n = ++tries;
          const own = { try: n, sender: `marker-${node}`, topic, seq };
          journal.add({ k: 'pub.try', ...own, body: 'mark', node, domain: '' });
          const r = await way.visit(node, 'Publish', { sender: own.sender, topic, seq, body: 'mark' }, 4_000);
          const tag: string = r?.body?.error?.tag ?? r?.body?.rejected?.reason ?? 'no answer';
          let out: 'in' | 'out' | undefined = tag === 'unknown_topic' ? 'out' : undefined;
          if (r?.body?.accepted) out = 'in';
          if (out === 'in')
            journal.add({ k: 'pub.answer', ...own, node, out: 'accepted', offset: r!.body.accepted.offset });
          else
            journal.add({
              k: 'pub.answer',
              ...own,
              node,
              out: out === 'out' || r?.body?.rejected ? 'rejected' : 'unknown',
              tag,
            });
          if (out) journal.add({ k: 'mark', asked, node, mark, by, seen: out });
          return;
        }
        if (!conn) {
          conn = '-';
          const close = way.attach(
            node,
            { consumer: `marker-${node}-${++this.seq}`, pingS: 60 },
            (f) => {
              if (f.t === 'ATTACHED') conn = f.conn;
            },
            () => {
              conn = '';
            },
          );
          void sleep(clock, 3_000).then(() => {
            if (conn === '-') {
              close();
              conn = '';
            }
          });
          return;
        }
        if (conn === '-') return;
        const mine = conn;
        const r = await way.visit(node, 'Subscribe', { conn: mine, topic }, 4_000);
        const tag = r?.body?.error?.tag;
        if (r?.status === 200) {
          journal.add({ k: 'mark', asked, node, mark, by, seen: 'in' });
          void way.visit(node, 'Unsubscribe', { conn: mine, topic }, 4_000);
        } else if (tag === 'unknown_topic') journal.add({ k: 'mark', asked, node, mark, by, seen: 'out' });
        else if (tag === 'unknown_conn' && conn === mine) conn = '';
      })();
    }
  }
}

/**
 * Reads back, with a cursor, every accepted message of the day that is still within memory, on every topic. What it
 * gets is in the journal like any consumer's; the oracle knows what it must get.
 * @example
 * await audit(world, 'audit-1', config);
 */
export async function audit(w: ClientContext, name: string, config: FleetConfig, forMs = 8_000): Promise<number> {
  const { clock, journal } = w;
  const now = clock.now();
  const least = new Map<string, number>();
  for (const s of journal.seen) {
    if (s.k !== 'pub.answer' || s.out !== 'accepted') continue;
    const f = familyOf(config, s.topic);
    // What is about to leave memory while the auditor is on its way is left out.
    if (!f || s.t < now - f.memoryS * 1000 + 3_000) continue;
    least.set(s.topic, Math.min(least.get(s.topic) ?? Infinity, s.offset!));
  }
  const topics = [...least.keys()].sort();
  const readers: Consumer[] = [];
  for (let i = 0; i < topics.length; i += 80) {
    const part = topics.slice(i, i + 80);
    const cursors = new Map(part.map((t) => [t, least.get(t)! - 1]));
    for (const [topic, cursor] of cursors) journal.add({ k: 'audit', consumer: `${name}-${i / 80}`, topic, cursor });
    const c = new Consumer(w, `${name}-${i / 80}`, '', part, { jitterMs: 50 }).from(cursors);
    readers.push(c);
    c.start();
  }
  // Done when everything has come; the limit is for what never does.
  const owed = new Set<string>();
  for (const s of journal.seen) {
    if (s.k === 'pub.answer' && s.out === 'accepted' && s.offset! >= (least.get(s.topic) ?? Infinity))
      owed.add(`${s.topic}\n${s.offset}`);
  }
  let at = journal.seen.length;
  for (const until = clock.now() + forMs; owed.size && clock.now() < until;) {
    await sleep(clock, 200);
    for (; at < journal.seen.length; at++) {
      const s = journal.seen[at]!;
      if (s.k === 'deliver' && s.consumer.startsWith(name)) owed.delete(`${s.topic}\n${s.offset}`);
    }
  }
  for (const c of readers) {
    c.stop();
    journal.add({ k: 'audit.end', consumer: c.name });
  }
  return topics.length;
}
