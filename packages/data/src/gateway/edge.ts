import {
  BoundedQueue,
  HarecrossError,
  Kernel,
  MEMBERSHIP,
  PROCESS,
  REQUEST,
  assertNever,
  jitteredRetryMs,
  parseAddress,
  registerPlugin,
  toErrorDetails,
  withTimeout,
  type ErrorDetails,
} from '@harecross/kernel';
import {
  isInPlannedRestart,
  notReadyError,
  type MembershipTable,
  type Operators,
  type ConsensusRegister,
} from '@harecross/control';
import { Rpcs, configFaults, familyOf, isUrgent, visitFault, type Method, type Visit } from '@harecross/schema';
import type { FastifyError, FastifyReply } from 'fastify';
import { firstValueFrom } from 'rxjs';
import { serializeFrames, type Sink } from '../sessions/outgoing.js';
import type { ShardRouter } from '../routing/shard-router.js';
import type { Sessions } from '../sessions/sessions.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    edge: Edge;
  }
}

export interface Reply {
  status: number;
  body: ReplyBody;
}

/** Body of a reply: the method's own answer, or why there is none. */
export interface ReplyBody {
  error?: ErrorDetails & { retryAfterMs?: number };
  rejected?: { reason: ErrorDetails['tag']; final: boolean; retryAfterMs: number };
  [field: string]: unknown;
}

/** A checked request: a method and the body that its schema demands. */
type Request = { [M in Method]: { m: M; body: Visit<M> } }[Method];

/**
 * HTTP status of a fault.
 * @example
 * statusOf({ tag: 'overloaded', step: 'Attach', peer, retryAfterMs: 500 }); // 503
 */
export function statusOf(f: ErrorDetails): number {
  switch (f.tag) {
    case 'bad_visit':
    case 'invalid_config':
    case 'cursor_ahead':
      return 400;
    case 'unknown_method':
    case 'unknown_topic':
    case 'unknown_disk':
      return 404;
    case 'conflict':
    case 'stale_seq':
    case 'wont_hold':
      return 409;
    case 'unknown_conn':
    case 'cursor_expired':
      return 410;
    case 'too_large':
      return 413;
    case 'timeout':
    case 'cut':
    case 'fenced':
    case 'outcome_unknown':
      return 504;
    case 'unreachable':
    case 'not_ready':
    case 'not_owner':
    case 'overloaded':
    case 'no_majority':
    case 'disk_ill':
      return 503;
    case 'internal':
      return 500;
    default:
      return assertNever(f);
  }
}

/**
 * The way in for callers: checks a visit, holds it in a bounded holding, answers it. HTTP is a thin shell.
 * @example
 * await edge.visit('Probe', { conn }); // { status: 200, body: {} }
 */
export class Edge {
  private holding: BoundedQueue<Request, Reply>;
  private sessions?: Sessions;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private route: ShardRouter,
    private ops: Operators,
  ) {
    this.holding = new BoundedQueue(REQUEST.gatewayQueueLimit, REQUEST.gatewayQueueLimit, (v) => this.serve(v));
    if (kernel.has('sessions')) this.sessions = kernel.use('sessions');
    kernel.on('Pass', (b: { m: string; body: unknown }) => this.handle(b.m, b.body));
  }

  /** Whether the platform may send us conns. */
  ready(): boolean {
    return this.isServing() && this.sessions !== undefined;
  }

  /** Whether a conn that comes all the same is better taken and sent on than refused. */
  private takes(): boolean {
    return (
      this.ready() ||
      (this.register.hasReadLease() && (this.kernel.phase === 'running' || this.kernel.phase === 'draining'))
    );
  }

  /** Whether this node truly does its work; a store has no conns but serves. */
  isServing(): boolean {
    return (
      this.kernel.phase === 'running' &&
      this.register.hasReadLease() &&
      !isInPlannedRestart(this.register.value, this.kernel.self)
    );
  }

  /** Checks an Attach and opens its conn. */
  attach(body: unknown, sink: Sink): { id: string } | Reply {
    try {
      const bad = visitFault('Attach', body);
      if (bad) throw this.bad('Attach', bad);
      if (!this.sessions) throw this.bad('Attach', 'this node is a store and takes no conns');
      if (!this.takes()) throw notReadyError(this.kernel, 'Attach');
      const b = body as Visit<'Attach'>;
      return { id: this.sessions.attach(b.consumer, b.pingS, sink) };
    } catch (e) {
      return this.failed('Attach', e);
    }
  }
  /**
   * A node that has just begun and will serve in a moment lets an Attach wait for that, briefly, rather than turn the consumer away.
   * Undefined when there is nothing to wait for.
   */
  whenServing(): Promise<void> | undefined {
    const left = this.kernel.startedAt + PROCESS.startWaitMs - this.kernel.host.clock.now();
    if (
      this.takes() ||
      left <= 0 ||
      !this.sessions ||
      this.kernel.phase === 'draining' ||
      this.kernel.phase === 'stopped'
    )
      return undefined;
    return withTimeout(
      this.kernel.host.clock,
      left,
      firstValueFrom(this.register.readLeaseStarted$, { defaultValue: undefined }),
    ).then(() => undefined);
  }
  /** Any word of a consumer is a sign of life of its conn. */
  recordActivity(id: string): void {
    this.sessions?.recordActivity(id);
  }
  disconnected(id: string): void {
    this.sessions?.gone(id);
  }
  drained(id: string): void {
    this.sessions?.drained(id);
  }

  async handle(m: string, body: unknown): Promise<Reply> {
    if (!Object.hasOwn(Rpcs, m) || m === 'Attach')
      return this.failed(m, new HarecrossError({ tag: 'unknown_method', step: m, peer: this.kernel.self, method: m }));
    const method = m as Method;
    const bad = visitFault(method, body);
    if (bad) return this.failed(m, this.bad(m, bad));
    if (this.kernel.phase === 'stopped') return this.failed(m, notReadyError(this.kernel, m));
    this.kernel.incrementCounter(`visit.${m}`);
    const request = { m: method, body } as Request;
    const p = this.holding.offer(request, this.isUrgentRequest(request));
    if (!p && m === 'Publish') this.route.recordRejection(body as Visit<'Publish'>);
    if (!p)
      return this.failed(
        m,
        new HarecrossError({
          tag: 'overloaded',
          step: m,
          peer: this.kernel.self,
          retryAfterMs: jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs),
        }),
      );
    return p;
  }

  private isUrgentRequest({ m, body }: Request): boolean {
    switch (m) {
      case 'Publish':
        return this.register.value !== undefined && isUrgent(this.register.value.config, body.topic);
      case 'Listeners':
        return false;
      default:
        return true;
    }
  }

  private bad(step: string, detail: string): HarecrossError {
    return new HarecrossError({ tag: 'bad_visit', step, peer: this.kernel.self, detail });
  }

  private failed(m: string, e: unknown): Reply {
    const f = toErrorDetails(e, m, this.kernel.self);
    if (f.tag === 'internal')
      this.kernel.host.log.warn('visit failed', { fault: f, stack: e instanceof Error ? e.stack : undefined });
    this.kernel.incrementCounter(`fault.${f.tag}`);
    // A try that surely stored nothing is told so in the words of the schema. Earlier tries of its number are another matter: may be one
    // is on its way. Only the owner's final no speaks of them too.
    if (
      m === 'Publish' &&
      (f.tag === 'not_ready' || f.tag === 'overloaded' || f.tag === 'unreachable' || f.tag === 'not_owner')
    ) {
      const retryAfterMs =
        'retryAfterMs' in f ? f.retryAfterMs : jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
      return { status: 503, body: { rejected: { reason: f.tag, final: false, retryAfterMs } } };
    }
    if (m === 'Publish' && f.tag === 'stale_seq')
      return { status: 409, body: { rejected: { reason: 'stale_seq', final: true, retryAfterMs: 0 } } };
    const status = statusOf(f);
    let retryAfterMs: number | undefined;
    if ('retryAfterMs' in f) retryAfterMs = f.retryAfterMs;
    else if (status === 503 || status === 504) retryAfterMs = jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
    return { status, body: { error: retryAfterMs === undefined ? f : { ...f, retryAfterMs } } };
  }

  private async serve(request: Request): Promise<Reply> {
    try {
      if ('conn' in request.body) {
        const peer = request.body.conn.split('/')[0]!;
        if (peer !== this.kernel.self) return await this.pass(peer, request);
      }
      return { status: 200, body: (await this.answer(request)) as ReplyBody };
    } catch (e) {
      return this.failed(request.m, e);
    }
  }

  /** Passes a visit to the relay that has the conn. */
  private async pass(peer: string, { m, body }: Request): Promise<Reply> {
    const known = this.membership.members.get(peer);
    if (!known || known.role !== 'relay' || known.state === 'dead' || known.state === 'left') {
      // A conn's id names its relay only if there is one by that name.
      throw new HarecrossError({ tag: 'unknown_conn', step: m, peer: known ? peer : this.kernel.self });
    }
    const fam = m === 'Subscribe' && this.register.value ? familyOf(this.register.value.config, body.topic) : undefined;
    try {
      return await this.kernel.callAnyPath<Reply>(
        peer,
        'Pass',
        { m, body },
        fam ? fam.patienceMs + MEMBERSHIP.callTimeoutMs : MEMBERSHIP.callTimeoutMs,
      );
    } catch (e) {
      const f = toErrorDetails(e, m, peer);
      // Nobody is there. That a helper on an indirect path was not there says nothing of the connection.
      if (f.tag === 'unreachable' && f.peer === peer) throw new HarecrossError({ tag: 'unknown_conn', step: m, peer });
      throw e;
    }
  }

  private async answer({ m, body }: Request): Promise<unknown> {
    switch (m) {
      case 'Probe':
        return { sent: this.requireSessions(m).recordActivityOrThrow(body.conn, m).sent };
      case 'Detach': {
        const h = this.requireSessions(m);
        h.recordActivityOrThrow(body.conn, m);
        h.gone(body.conn);
        return {};
      }
      case 'Subscribe':
        this.mustServe(m);
        return this.requireSessions(m).subscribe(body.conn, body.topic, body.cursor);
      case 'Unsubscribe':
        return { left: this.requireSessions(m).unsubscribe(body.conn, body.topic) };
      case 'Publish': {
        if (!this.register.hasReadLease()) this.route.recordRejection(body);
        this.mustServe(m);
        const fam = this.family(m, body.topic);
        const limit = fam.limits?.bodyBytes ?? REQUEST.bodyBytes;
        if (Buffer.byteLength(body.body) > limit)
          throw new HarecrossError({ tag: 'too_large', step: m, peer: this.kernel.self, limit });
        return { accepted: await this.route.publish(body, fam.patienceMs) };
      }
      case 'Listeners': {
        this.mustServe(m);
        const fam = this.family(m, body.topic);
        return this.route.callOwner(body.topic, 'Count', () => ({ topic: body.topic }), fam.patienceMs);
      }
      case 'SubmitConfig':
        return this.ops.submit(body);
      case 'CheckConfig':
        return { version: this.register.value?.version ?? 0, faults: configFaults(body.config) };
      case 'ReadConfig':
        return this.ops.readConfig();
      case 'EmptyDisk':
        return this.ops.setDiskState(body.disk, 'emptying', m, body.changeId);
      case 'EmptyStatus':
        return this.ops.emptyStatus(body.disk);
      case 'PlanMoves':
        return this.ops.planMoves(body);
      case 'Moves':
        return this.ops.moves();
      case 'CancelEmpty':
        return this.ops.setDiskState(body.disk, 'active', m, body.changeId);
      case 'Fleet':
        return this.describeFleet();
      case 'Node':
        return this.describeNode();
      case 'Attach':
        throw this.bad(m, 'Attach is a stream');
      default:
        return assertNever(m);
    }
  }

  private mustServe(m: string): void {
    if (!this.register.hasReadLease()) throw notReadyError(this.kernel, m);
  }
  private requireSessions(m: string): Sessions {
    if (!this.sessions) throw new HarecrossError({ tag: 'unknown_conn', step: m, peer: this.kernel.self });
    return this.sessions;
  }
  private family(m: string, topic: string) {
    const f = familyOf(this.register.value!.config, topic);
    if (!f) throw new HarecrossError({ tag: 'unknown_topic', step: m, peer: this.kernel.self, topic });
    return f;
  }

  private describeFleet(): unknown {
    const v = this.register.value;
    const now = this.kernel.host.clock.now();
    return {
      at: this.kernel.self,
      fresh: this.register.hasReadLease(),
      rev: v?.rev ?? 0,
      version: v?.version ?? 0,
      fleet: v?.fleet,
      members: [...this.membership.members.values()].map((m) => ({
        peer: m.peer,
        name: m.name,
        client: m.client,
        domain: m.domain,
        role: m.role,
        disk: m.disk,
        state: m.state,
        condition: m.condition,
        weight: m.weight,
        ageMs: m.peer === this.kernel.self ? 0 : Math.round(now - m.seenAt),
      })),
      disks: v
        ? [...v.disks.values()].map((d) => ({
            ...d,
            seat: v.voters.includes(d.id),
            copies: [...v.shards.values()].filter((p) => p.copies.includes(d.id)).length,
          }))
        : [],
      keys: v
        ? [...v.shards].map(([s, p]) => ({
            shard: s,
            gen: p.gen,
            copies: p.copies,
            ...(this.membership.get(`key/${s}`) as object | undefined),
          }))
        : [],
    };
  }

  private describeNode(): unknown {
    return {
      peer: this.kernel.self,
      inst: this.kernel.instanceId,
      phase: this.kernel.phase,
      // Before the first confirmation nothing is in force here: no version, rather than an old one.
      ...(this.register.wasEverConfirmed() ? { version: this.register.value!.version } : {}),
      rev: this.kernel.rev,
      fresh: this.register.hasReadLease(),
      holdings: [
        this.holding.describe('edge'),
        ...(this.kernel.has('owner') ? this.kernel.use('owner').queues() : []),
        ...(this.sessions?.queueInfos() ?? []),
      ],
      counters: Object.fromEntries([...this.kernel.counters].sort(([a], [b]) => (a < b ? -1 : 1))),
      keys: this.kernel.has('owner') ? this.kernel.use('owner').ownedShards() : [],
      copies: this.kernel.has('copies') ? this.kernel.use('copies').describeReplicas() : [],
      interest: this.kernel.has('owner') ? this.kernel.use('owner').describeInterests() : [],
      holds: this.sessions?.listLeases() ?? [],
      conns: this.sessions?.size ?? 0,
    };
  }
}

/**
 * Serves an edge over HTTP/1.1.
 * @example
 * const close = await serveHttp(edge, '127.0.0.1:7001');
 */
export async function serveHttp(kernel: Kernel, edge: Edge, at: string): Promise<() => Promise<void>> {
  // Loaded only where it serves: a node that is reached otherwise starts without it.
  const { default: fastify } = await import('fastify');
  const app = fastify({ bodyLimit: 2 * 1024 * 1024, keepAliveTimeout: 30_000 });
  const send = (reply: FastifyReply, r: Reply): unknown => {
    const ms = r.body.error?.retryAfterMs ?? r.body.rejected?.retryAfterMs;
    if (ms !== undefined && r.status >= 500) reply.header('retry-after', String(Math.max(1, Math.ceil(ms / 1000))));
    return reply.code(r.status).send(r.body);
  };
  app.setErrorHandler((e: FastifyError, _req, reply) => {
    const status = e.statusCode && e.statusCode < 500 ? e.statusCode : 500;
    let fault: ErrorDetails = { tag: 'internal', step: 'read', peer: kernel.self, detail: e.message };
    if (status === 413) fault = { tag: 'too_large', step: 'read', peer: kernel.self, limit: 2 * 1024 * 1024 };
    else if (status < 500) fault = { tag: 'bad_visit', step: 'read', peer: kernel.self, detail: e.message };
    return reply.code(status).send({ error: fault });
  });
  app.setNotFoundHandler((req, reply) =>
    reply.code(404).send({
      error: {
        tag: 'unknown_method',
        step: 'read',
        peer: kernel.self,
        method: `${req.method} ${req.url}`,
      } satisfies ErrorDetails,
    }),
  );
  app.get('/condition', (_req, reply) => {
    if (edge.isServing()) return reply.code(200).send({ condition: 'ready' });
    let condition: string = kernel.phase;
    if (kernel.phase === 'running')
      condition = isInPlannedRestart(kernel.use('register').value, kernel.self) ? 'away' : 'joining';
    return reply.code(503).send({ condition });
  });
  app.post('/rpc/Attach', async (req, reply) => {
    await edge.whenServing();
    let id = '';
    let over = false;
    const raw = reply.raw;
    const sink: Sink = {
      write: (frames) => over || raw.write(serializeFrames(frames)),
      close: () => {
        if (over) return;
        over = true;
        raw.end();
        // A consumer that reads no more would keep the socket and what waits in it for many minutes.
        setTimeout(() => raw.destroy(), PROCESS.closeGraceMs).unref();
      },
    };
    const head = (): void => {
      raw.writeHead(200, { 'content-type': 'application/x-ndjson', 'cache-control': 'no-store' });
      raw.flushHeaders();
    };
    const r = edge.attach(req.body, sink);
    if ('status' in r) return send(reply, r);
    id = r.id;
    reply.hijack();
    head();
    raw.on('drain', () => edge.drained(id));
    raw.on('close', () => {
      over = true;
      edge.disconnected(id);
    });
    raw.on('error', () => {
      over = true;
      edge.disconnected(id);
    });
    return reply;
  });
  app.post('/rpc/:method', async (req, reply) =>
    send(reply, await edge.handle((req.params as { method: string }).method, req.body ?? {})),
  );
  await app.listen(parseAddress(at));
  return async () => {
    app.server.closeAllConnections();
    await app.close();
  };
}

registerPlugin({
  name: 'edge',
  needs: ['membership', 'register', 'route', 'operators'],
  setup: (k) => new Edge(k, k.use('membership'), k.use('register'), k.use('route'), k.use('operators')),
});
