import { toErrorDetails, randomSample, sleep, type Clock, type RandomSource } from '@harecross/kernel';
import { familyOf, type FleetConfig, type Frame } from '@harecross/schema';
import type { Json } from './json.js';
import type { Journal } from './journal.js';

/**
 * A client connection with several requests in flight: the arrival time of the last request, and the requests that have arrived
 * but are not yet read. Responses arrive in the order in which they were sent.
 */
export interface OrderedConnection {
  name: string;
  at: number;
  waiting: (() => void)[];
}

/** How clients reach a fleet, simulated or of real processes. Nodes are named by client address. */
export interface ClientTransport {
  /**
   * Sends a request and returns its response, or undefined if none arrived in time. With a `line`, requests arrive in the order in
   * which they were sent; a fleet of real processes does not guarantee that.
   */
  visit(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
    line?: OrderedConnection,
  ): Promise<{ status: number; body: Json } | undefined>;
  /** Opens a stream of frames; returns a function that closes it. */
  attach(node: string, body: unknown, onFrame: (f: Frame) => void, onEnd: () => void): () => void;
  /** Relays that accept connections and pass their health check, as a load balancer knows them; of one domain or of all. */
  nodes(domain?: string): string[];
}

/** What every simulated client needs. */
export interface ClientContext {
  clock: Clock;
  random: RandomSource;
  clientTransport: ClientTransport;
  journal: Journal;
}

/** Number of the last publish attempt; every attempt of a run has its own. */
let attempts = 0;

/** A random node of the domain, or of any domain if that has none. */
const pickNode = (context: ClientContext, domain?: string): string | undefined => {
  const local = context.clientTransport.nodes(domain);
  return randomSample(context.random, local.length ? local : context.clientTransport.nodes(), 1)[0];
};

/**
 * A simulated consumer: attaches, resumes its subscriptions from its cursors, probes every two seconds by default, and reconnects
 * whenever its stream ends.
 * @example
 * const c = new Consumer(context, 'phone-7', 'kaolack', ['feed/7']); c.start();
 */
export class Consumer {
  private cursors = new Map<string, number>();
  private conn?: string;
  private node?: string;
  private closeConnection?: () => void;
  /** Abandons the connection without closing it. */
  private abandonConnection?: () => void;
  private pingMs = 0;
  /** Frames received on the current stream. */
  private receivedFrames = 0;
  private running = false;
  /** Incremented at each start and end of a connection, so that work for an earlier one stops. */
  private connectionGeneration = 0;
  /** Incremented at each start, so that the loop of an earlier start stops. */
  private startGeneration = 0;
  /** Topics to be subscribed to. */
  readonly want: Set<string>;

  constructor(
    private context: ClientContext,
    readonly name: string,
    public domain: string,
    topics: string[],
    private opts: { pingS?: number; jitterMs?: number; staysUntilEnd?: boolean } = {},
  ) {
    this.want = new Set(topics);
  }

  /** Sets the cursors to start from: messages after these offsets are delivered. */
  from(cursors: Map<string, number>): this {
    for (const [topic, cursor] of cursors) this.cursors.set(topic, cursor);
    return this;
  }

  start(): void {
    if (this.running) return;
    this.running = true;
    void this.run();
  }
  stop(): void {
    this.running = false;
    this.disconnect('stop');
  }
  /** Ends the connection; the consumer reconnects by itself. */
  disconnect(why = 'drop'): void {
    this.end(why);
  }
  /** Stops without closing the connection: no more probes, nothing read, and the node is not notified. */
  vanish(): void {
    this.running = false;
    const abandon = this.abandonConnection;
    this.closeConnection = undefined;
    this.end('vanished');
    abandon?.();
  }
  /** Disconnects and starts again after `ms`. */
  async disconnectFor(ms: number): Promise<void> {
    this.running = false;
    this.disconnect('away');
    await sleep(this.context.clock, ms);
    this.start();
  }

  /** Unsubscribes and does not subscribe again. */
  async unsubscribe(topic: string): Promise<void> {
    this.want.delete(topic);
    const conn = this.conn;
    if (!conn) return;
    const r = await this.context.clientTransport.visit(this.node!, 'Unsubscribe', { conn, topic }, 2_000);
    if (r?.status === 200) this.context.journal.add({ k: 'unsub.ok', consumer: this.name, conn, topic });
  }

  /** Subscribes to a topic again, from its cursor. */
  again(topic: string): void {
    this.want.add(topic);
    if (this.conn) void this.subscribe(this.conn, topic, this.connectionGeneration, this.node!);
  }

  private end(why: string, retryMs?: number): void {
    if (this.conn)
      this.context.journal.add({
        k: 'conn.end',
        consumer: this.name,
        conn: this.conn,
        why,
        ...(retryMs === undefined ? {} : { retryMs }),
      });
    this.conn = undefined;
    const close = this.closeConnection;
    this.closeConnection = undefined;
    this.connectionGeneration++;
    close?.();
  }

  private async run(): Promise<void> {
    const { clock, random } = this.context;
    const generation = ++this.startGeneration;
    let waitMs = (this.opts.jitterMs ?? 300) * random.next();
    while (this.running) {
      await sleep(clock, waitMs);
      if (!this.running || this.startGeneration !== generation) return;
      const node = pickNode(this.context, this.domain);
      if (!node) {
        waitMs = 300 + 300 * random.next();
        continue;
      }
      waitMs = await this.connect(node);
      if (!this.running || this.startGeneration !== generation) return;
    }
  }

  /** Opens a connection and waits for its end; returns the delay before the next attempt. */
  private connect(node: string): Promise<number> {
    const { random, clientTransport: transport, clock, journal } = this.context;
    return new Promise((res) => {
      this.end('superseded');
      const generation = ++this.connectionGeneration;
      this.receivedFrames = 0;
      let retryDelayMs = 100 + 400 * random.next();
      const finish = (why: string, retryMs?: number): void => {
        if (this.connectionGeneration === generation) this.end(why, retryMs);
        res(retryDelayMs);
      };
      this.node = node;
      let attached = false;
      const cancel = clock.after(3_000, () => {
        if (!attached) {
          close();
          finish('no answer');
        }
      });
      const close = transport.attach(
        node,
        { consumer: this.name, pingS: this.opts.pingS ?? 2 },
        (f) => {
          if (this.connectionGeneration !== generation) return;
          this.receivedFrames++;
          switch (f.t) {
            case 'ATTACHED':
              attached = true;
              cancel();
              this.conn = f.conn;
              this.pingMs = f.pingS * 1000;
              journal.add({ k: 'conn.open', consumer: this.name, conn: f.conn, node, domain: this.domain });
              void this.probeLoop(f.conn, generation, node);
              for (const t of this.want) void this.subscribe(f.conn, t, generation, node);
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
              if (f.reason === 'cursor_expired') void this.subscribe(this.conn!, f.topic, generation, node);
              if (f.reason === 'topic_removed')
                void sleep(clock, 1_500).then(() => this.subscribe(this.conn!, f.topic, generation, node));
              break;
            case 'GOAWAY':
              retryDelayMs = f.retryAfterMs;
              // Some clients keep using the connection after a GOAWAY until it is closed.
              if (this.opts.staysUntilEnd) break;
              close();
              finish('goaway', f.retryAfterMs);
              break;
            case 'CLOSED':
              retryDelayMs = f.retryAfterMs;
              close();
              finish(f.reason, f.retryAfterMs);
              break;
          }
        },
        () => {
          cancel();
          finish('reset');
        },
      );
      this.closeConnection = () => {
        cancel();
        close();
        res(retryDelayMs);
      };
      this.abandonConnection = () => {
        cancel();
        res(retryDelayMs);
      };
    });
  }

  /** Load balancers may route each TCP connection to another node: 30 % of the requests go to a random one. */
  private routeRequest(node: string): string {
    return this.context.random.next() < 0.3 ? (pickNode(this.context, this.domain) ?? node) : node;
  }

  private async probeLoop(conn: string, generation: number, node: string): Promise<void> {
    const { clock, random, clientTransport: transport } = this.context;
    let expectedFrames: number | undefined;
    while (this.connectionGeneration === generation) {
      await sleep(clock, this.pingMs * (0.9 + 0.2 * random.next()));
      if (this.connectionGeneration !== generation) return;
      const asked = clock.now();
      const r = await transport.visit(this.routeRequest(node), 'Probe', { conn }, 2_000);
      if (r?.status !== 200) this.context.journal.add({ k: 'probe.lost', consumer: this.name, conn, asked });
      if (this.connectionGeneration !== generation) return;
      if (r?.status === 410) this.end('unknown_conn');
      // The node had sent frames before the last probe that still have not arrived: the stream is half-open.
      if (expectedFrames !== undefined && this.receivedFrames < expectedFrames) {
        this.end('dead stream');
        return;
      }
      if (r?.status === 200) expectedFrames = r.body.sent > this.receivedFrames ? r.body.sent : undefined;
    }
  }

  /** Subscribes on a connection, with retries until it succeeds, the connection ends, or the topic is no longer wanted. */
  async subscribe(conn: string, topic: string, generation: number, node: string): Promise<void> {
    const { clock, random, clientTransport: transport, journal } = this.context;
    for (let i = 0; this.connectionGeneration === generation && this.want.has(topic); i++) {
      const cursor = this.cursors.get(topic);
      journal.add({ k: 'sub.ask', consumer: this.name, conn, topic, cursor });
      const r = await transport.visit(
        this.routeRequest(node),
        'Subscribe',
        { conn, topic, ...(cursor === undefined ? {} : { cursor }) },
        8_000,
      );
      if (this.connectionGeneration !== generation) return;
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
 * A sender with one message in flight per topic. Retries with the same sequence number until it has a final answer or gives up.
 * @example
 * new Sender(context, 'desk', 'kaolack', ['warn/1'], 500).start();
 */
export class Sender {
  private seqs = new Map<string, number>();
  private busy = new Set<string>();
  private running = false;
  constructor(
    private context: ClientContext,
    readonly name: string,
    public domain: string,
    private topics: string[],
    private everyMs: number,
    private opts: { triesN?: number; bodyBytes?: number; repeats?: number } = {},
  ) {}

  start(): void {
    this.running = true;
    void this.run();
  }
  stop(): void {
    this.running = false;
  }

  private async run(): Promise<void> {
    const { clock, random } = this.context;
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
    const { clock, random, clientTransport: transport, journal } = this.context;
    const seq = (this.seqs.get(topic) ?? 0) + 1;
    this.seqs.set(topic, seq);
    const body = `${this.name}:${topic}:${seq}:${Math.floor(random.next() * 1e6)}`.padEnd(
      this.opts.bodyBytes ?? 0,
      '.',
    );
    try {
      for (let i = 0; i < (this.opts.triesN ?? 6); i++) {
        const node = pickNode(this.context, this.domain);
        if (!node) {
          await sleep(clock, 400);
          continue;
        }
        const attempt = ++attempts;
        journal.add({ k: 'pub.try', try: attempt, sender: this.name, topic, seq, body, node, domain: this.domain });
        const r = await transport.visit(node, 'Publish', { sender: this.name, topic, seq, body }, 5_000);
        const retryMs: number | undefined = r?.body?.rejected?.retryAfterMs ?? r?.body?.error?.retryAfterMs;
        const record = (
          out: 'accepted' | 'rejected' | 'unknown',
          details: { offset?: number; tag?: string } = {},
        ): void =>
          journal.add({
            k: 'pub.answer',
            try: attempt,
            sender: this.name,
            topic,
            seq,
            out,
            node,
            ...details,
            ...(r ? { status: r.status } : {}),
            ...(retryMs === undefined ? {} : { retryMs }),
          });
        if (r?.status === 200 && r.body.accepted) {
          record('accepted', { offset: r.body.accepted.offset });
          if (random.next() < (this.opts.repeats ?? 0)) void this.repeat(topic, seq, body);
          return;
        }
        if (r?.body?.rejected) {
          record('rejected', { tag: r.body.rejected.reason });
          if (r.body.rejected.reason === 'stale_seq') return;
          await sleep(clock, r.body.rejected.retryAfterMs);
          continue;
        }
        const tag: string = r?.body?.error?.tag ?? 'no answer';
        switch (tag) {
          case 'unknown_topic':
          case 'too_large':
          case 'bad_visit':
            record('rejected', { tag });
            return;
          default:
            record('unknown', { tag });
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
   * Publishes an accepted message again, through any node, while later ones are in flight: as a client does whose response was lost.
   */
  private async repeat(topic: string, seq: number, body: string): Promise<void> {
    const { clock, random } = this.context;
    await sleep(clock, 9_000 * random.next());
    const node = this.running ? pickNode(this.context) : undefined;
    if (node) await publishOnce(this.context, { sender: this.name, topic, seq, body, node, domain: this.domain });
  }
}

type PublishResult = { out: 'accepted' | 'rejected' | 'unknown'; tag: string; answered: boolean };
/** Makes one publish attempt and records it in the journal. */
async function publishOnce(
  context: ClientContext,
  publish: { sender: string; topic: string; seq: number; body: string; node: string; domain: string; line?: string },
  line?: OrderedConnection,
): Promise<PublishResult> {
  const attempt = ++attempts;
  const { sender, topic, seq, body, node } = publish;
  context.journal.add({ k: 'pub.try', try: attempt, ...publish });
  const r = await context.clientTransport.visit(node, 'Publish', { sender, topic, seq, body }, 5_000, line);
  const retryMs: number | undefined = r?.body?.rejected?.retryAfterMs ?? r?.body?.error?.retryAfterMs;
  const offset: number | undefined = r?.body?.accepted?.offset;
  const tag: string = offset !== undefined ? '' : (r?.body?.rejected?.reason ?? r?.body?.error?.tag ?? 'no answer');
  const refused = r?.body?.rejected || ['unknown_topic', 'too_large', 'bad_visit'].includes(tag);
  let out: 'accepted' | 'rejected' | 'unknown' = refused ? 'rejected' : 'unknown';
  if (offset !== undefined) out = 'accepted';
  context.journal.add({
    k: 'pub.answer',
    try: attempt,
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
 * A sender with up to eight publishes in flight on one topic, over one connection. Unanswered publishes are sent again, in order
 * and before new ones; when the connection breaks, it opens another to a random node.
 * @example
 * new PipelinedSender(context, 'pipe', 'kaolack', 'warn/1', 80).start();
 */
export class PipelinedSender {
  private seq = 0;
  private running = false;
  /** Publishes without a final answer, in order of sequence number; `again` marks those to be sent again. */
  private open = new Map<number, { body: string; again: boolean; tries: number }>();
  private node?: string;
  private line: OrderedConnection;
  private lines = 0;
  constructor(
    private context: ClientContext,
    readonly name: string,
    public domain: string,
    readonly topic: string,
    private everyMs: number,
    private maxInFlight = 8,
  ) {
    this.line = this.newConnection();
  }
  private newConnection(): OrderedConnection {
    return { name: `${this.name}/${++this.lines}`, at: 0, waiting: [] };
  }

  start(): void {
    if (this.running) return;
    this.running = true;
    void this.run();
  }
  stop(): void {
    this.running = false;
  }

  private async run(): Promise<void> {
    const { clock, random } = this.context;
    while (this.running) {
      await sleep(clock, this.everyMs * (0.2 + 1.6 * random.next()));
      this.node ??= pickNode(this.context, this.domain);
      if (!this.node) continue;
      const toResend = [...this.open].filter(([, x]) => x.again);
      if (toResend.length) {
        for (const [seq] of toResend) void this.send(seq);
        continue;
      }
      // 30 % of the time, up to five at once.
      for (let n = random.next() < 0.3 ? 5 : 1; n > 0 && this.open.size < this.maxInFlight; n--) {
        const seq = ++this.seq;
        this.open.set(seq, {
          body: `${this.name}:${seq}:${Math.floor(random.next() * 1e6)}`,
          again: false,
          tries: 0,
        });
        void this.send(seq);
      }
    }
  }

  private async send(seq: number): Promise<void> {
    const entry = this.open.get(seq)!;
    entry.again = false;
    entry.tries++;
    const { node, line } = this;
    const result = await publishOnce(
      this.context,
      {
        sender: this.name,
        topic: this.topic,
        seq,
        body: entry.body,
        node: node!,
        domain: this.domain,
        line: line.name,
      },
      line,
    );
    if (
      result.out === 'accepted' ||
      ['stale_seq', 'unknown_topic', 'too_large', 'bad_visit'].includes(result.tag) ||
      entry.tries >= 20
    ) {
      this.open.delete(seq);
      return;
    }
    if (this.open.get(seq) === entry) entry.again = true;
    if (result.answered || this.line !== line) return;
    // The connection broke: everything pending is sent again on another one.
    this.line = this.newConnection();
    this.node = undefined;
    for (const unanswered of this.open.values()) unanswered.again = true;
  }
}

/**
 * A simulated operator: submits whole configurations, each with one changeId until it is answered, reads them back, and queries
 * the status of nodes.
 * @example
 * await new Operator(context, 'op').submit('c1', config, true);
 */
export class Operator {
  constructor(
    private context: ClientContext,
    private name: string,
  ) {}

  /** Submits a configuration, through any node, until it is taken or refused, at most 25 times. */
  async submit(
    changeId: string,
    config: unknown,
    valid: boolean,
    expect?: number,
  ): Promise<{ out: string; version?: number }> {
    const { clock, journal, clientTransport: transport, random } = this.context;
    for (let i = 0; i < 25; i++) {
      const node = randomSample(random, transport.nodes(), 1)[0];
      if (!node) {
        await sleep(clock, 400);
        continue;
      }
      journal.add({ k: 'cfg.submit', changeId, expect, config, valid });
      const r = await transport.visit(
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
   * Submits a configuration with a revision number, through any node, until it has a definite answer; each attempt times out after
   * 1 s. Several operators may do so at once: the highest revision takes effect.
   */
  async revise(
    revision: number,
    config: unknown,
    valid: boolean,
    document: unknown,
  ): Promise<{ out: string; version?: number }> {
    const { clock, journal, clientTransport: transport, random } = this.context;
    const changeId = `revision-${revision}`;
    for (let i = 0; i < 60; i++) {
      const node = randomSample(random, transport.nodes(), 1)[0];
      if (!node) {
        await sleep(clock, 400);
        continue;
      }
      const asked = clock.now();
      journal.add({ k: 'cfg.submit', changeId, revision, document, config, valid });
      const r = await transport.visit(node, 'SubmitConfig', { revision, document, config }, 1_000);
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

  /** Reads the configuration in effect, through any node; returns its version. */
  async read(last = false): Promise<number | undefined> {
    const { clock, journal, clientTransport: transport, random } = this.context;
    for (let i = 0; i < 20; i++) {
      const node = randomSample(random, transport.nodes(), 1)[0];
      const asked = clock.now();
      const r = node ? await transport.visit(node, 'ReadConfig', {}, 8_000) : undefined;
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

  /** Plans moves (scheduled maintenance of machines) on top of the configuration in effect. */
  async plan(changeId: string, base: object, moves: object[]): Promise<{ status: number; body: Json }> {
    const { journal } = this.context;
    journal.add({ k: 'cfg.submit', changeId, config: { ...base, moves }, valid: true });
    const r = await this.ask('PlanMoves', { changeId, moves });
    journal.add(
      r.status === 200
        ? { k: 'cfg.answer', changeId, out: 'taken', version: r.body.version }
        : { k: 'cfg.answer', changeId, out: 'invalid' },
    );
    return r;
  }

  /** Sends an operator request through any node, until it has a response below status 500. */
  async ask(method: string, body: unknown): Promise<{ status: number; body: Json }> {
    const { clock, clientTransport: transport, random } = this.context;
    for (let i = 0; i < 30; i++) {
      const node = randomSample(random, transport.nodes(), 1)[0];
      const r = node ? await transport.visit(node, method, body, 9_000) : undefined;
      if (r && r.status < 500) return r;
      await sleep(clock, 300);
    }
    throw new Error(`${method}: no conclusive response after 30 attempts`);
  }

  /** Queries the status of nodes, among it the configuration version that each one uses, and records it. */
  async look(nodes: string[]): Promise<void> {
    const { clock, journal, clientTransport: transport } = this.context;
    await Promise.all(
      nodes.map(async (node) => {
        const asked = clock.now();
        const r = await transport.visit(node, 'Node', {}, 3_000);
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

  /** Queries the number of a topic's listeners and records it. */
  async count(topic: string): Promise<void> {
    const { clock, journal, clientTransport: transport, random } = this.context;
    const node = randomSample(random, transport.nodes(), 1)[0];
    if (!node) return;
    const asked = clock.now();
    const r = await transport.visit(node, 'Listeners', { topic }, 3_000);
    if (r?.status === 200) journal.add({ k: 'count', asked, topic, count: r.body.count, partial: r.body.partial });
  }

  get label(): string {
    return this.name;
  }
}

/**
 * Continuously checks at each given node which of the two newest marker topics it accepts. Each marker topic exists in one
 * configuration version only, so that this shows which version the node uses.
 * @example
 * const checker = new MarkerChecker(context); checker.at = 3; checker.start(nodes);
 */
export class MarkerChecker {
  /** Number of the newest marker topic; the one before it is checked too. */
  at = 0;
  private running = false;
  private seq = 0;
  constructor(
    private context: ClientContext,
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
    const { clock, clientTransport: transport, journal } = this.context;
    let conn = '';
    for (let i = 0; this.running; i++) {
      await sleep(clock, this.everyMs);
      const mark = Math.max(1, this.at - (i % 2));
      const topic = `mark/${mark}`;
      void (async () => {
        const asked = clock.now();
        if (by === 'Publish') {
          const seq = ++this.seq;
          const attempt = ++attempts;
          const message = { try: attempt, sender: `marker-${node}`, topic, seq };
          journal.add({ k: 'pub.try', ...message, body: 'mark', node, domain: '' });
          const r = await transport.visit(node, 'Publish', { sender: message.sender, topic, seq, body: 'mark' }, 4_000);
          const tag: string = r?.body?.error?.tag ?? r?.body?.rejected?.reason ?? 'no answer';
          let out: 'in' | 'out' | undefined = tag === 'unknown_topic' ? 'out' : undefined;
          if (r?.body?.accepted) out = 'in';
          if (out === 'in')
            journal.add({ k: 'pub.answer', ...message, node, out: 'accepted', offset: r!.body.accepted.offset });
          else
            journal.add({
              k: 'pub.answer',
              ...message,
              node,
              out: out === 'out' || r?.body?.rejected ? 'rejected' : 'unknown',
              tag,
            });
          if (out) journal.add({ k: 'mark', asked, node, mark, by, seen: out });
          return;
        }
        if (!conn) {
          conn = '-';
          const close = transport.attach(
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
        const currentConn = conn;
        const r = await transport.visit(node, 'Subscribe', { conn: currentConn, topic }, 4_000);
        const tag = r?.body?.error?.tag;
        if (r?.status === 200) {
          journal.add({ k: 'mark', asked, node, mark, by, seen: 'in' });
          void transport.visit(node, 'Unsubscribe', { conn: currentConn, topic }, 4_000);
        } else if (tag === 'unknown_topic') journal.add({ k: 'mark', asked, node, mark, by, seen: 'out' });
        else if (tag === 'unknown_conn' && conn === currentConn) conn = '';
      })();
    }
  }
}

/**
 * Reads back, from cursors on every topic, all accepted messages of the run that are still retained. Deliveries are recorded in
 * the journal like those of any consumer; the oracle determines which ones are required.
 * @example
 * await audit(context, 'audit-1', config);
 */
export async function audit(context: ClientContext, name: string, config: FleetConfig, forMs = 8_000): Promise<number> {
  const { clock, journal } = context;
  const now = clock.now();
  const firstOffsets = new Map<string, number>();
  for (const s of journal.seen) {
    if (s.k !== 'pub.answer' || s.out !== 'accepted') continue;
    const f = familyOf(config, s.topic);
    // Messages that expire within 3 s, while the audit runs, are left out.
    if (!f || s.t < now - f.memoryS * 1000 + 3_000) continue;
    firstOffsets.set(s.topic, Math.min(firstOffsets.get(s.topic) ?? Infinity, s.offset!));
  }
  const topics = [...firstOffsets.keys()].sort();
  const readers: Consumer[] = [];
  for (let i = 0; i < topics.length; i += 80) {
    const batch = topics.slice(i, i + 80);
    const cursors = new Map(batch.map((t) => [t, firstOffsets.get(t)! - 1]));
    for (const [topic, cursor] of cursors) journal.add({ k: 'audit', consumer: `${name}-${i / 80}`, topic, cursor });
    const c = new Consumer(context, `${name}-${i / 80}`, '', batch, { jitterMs: 50 }).from(cursors);
    readers.push(c);
    c.start();
  }
  // Ends once every expected message has arrived, or after `forMs`.
  const missing = new Set<string>();
  for (const s of journal.seen) {
    if (s.k === 'pub.answer' && s.out === 'accepted' && s.offset! >= (firstOffsets.get(s.topic) ?? Infinity))
      missing.add(`${s.topic}\n${s.offset}`);
  }
  let nextEvent = journal.seen.length;
  for (const until = clock.now() + forMs; missing.size && clock.now() < until;) {
    await sleep(clock, 200);
    for (; nextEvent < journal.seen.length; nextEvent++) {
      const s = journal.seen[nextEvent]!;
      if (s.k === 'deliver' && s.consumer.startsWith(name)) missing.delete(`${s.topic}\n${s.offset}`);
    }
  }
  for (const c of readers) {
    c.stop();
    journal.add({ k: 'audit.end', consumer: c.name });
  }
  return topics.length;
}
