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

/** Body of a reply: the method's result, or the error or rejection. */
export interface ReplyBody {
  error?: ErrorDetails & { retryAfterMs?: number };
  rejected?: { reason: ErrorDetails['tag']; final: boolean; retryAfterMs: number };
  [field: string]: unknown;
}

/** A validated request: a method and the body that its schema requires. */
type Request = { [M in Method]: { m: M; body: Visit<M> } }[Method];

/**
 * HTTP status of an error.
 * @example
 * statusOf({ tag: 'overloaded', step: 'Attach', peer, retryAfterMs: 500 }); // 503
 */
export function statusOf(error: ErrorDetails): number {
  switch (error.tag) {
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
      return assertNever(error);
  }
}

/**
 * The entry point for client and operator requests: validates a request, queues it in a bounded queue and answers it. Independent of
 * the transport; `serveHttp` puts HTTP in front of it.
 * @example
 * await edge.handle('Probe', { conn }); // { status: 200, body: { sent: 3 } }
 */
export class Edge {
  private requestQueue: BoundedQueue<Request, Reply>;
  private sessions?: Sessions;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
    private route: ShardRouter,
    private operators: Operators,
  ) {
    this.requestQueue = new BoundedQueue(REQUEST.gatewayQueueLimit, REQUEST.gatewayQueueLimit, (request) =>
      this.dispatch(request),
    );
    if (kernel.has('sessions')) this.sessions = kernel.use('sessions');
    kernel.on('Pass', (request: { m: string; body: unknown }) => this.handle(request.m, request.body));
  }

  /** Whether this node takes new client connections. */
  ready(): boolean {
    return this.isServing() && this.sessions !== undefined;
  }

  /** Whether an Attach is accepted: also while not `ready`, as the session can then be redirected, which is better than a refusal. */
  private acceptsAttach(): boolean {
    return (
      this.ready() ||
      (this.register.hasReadLease() && (this.kernel.phase === 'running' || this.kernel.phase === 'draining'))
    );
  }

  /** Whether this node serves requests. True for a store too, although it takes no client connections. */
  isServing(): boolean {
    return (
      this.kernel.phase === 'running' &&
      this.register.hasReadLease() &&
      !isInPlannedRestart(this.register.value, this.kernel.self)
    );
  }

  /** Validates an Attach and opens its session. */
  attach(body: unknown, sink: Sink): { id: string } | Reply {
    try {
      const fault = visitFault('Attach', body);
      if (fault) throw this.badRequest('Attach', fault);
      if (!this.sessions) throw this.badRequest('Attach', 'this node is a store and accepts no client connections');
      if (!this.acceptsAttach()) throw notReadyError(this.kernel, 'Attach');
      const request = body as Visit<'Attach'>;
      return { id: this.sessions.attach(request.consumer, request.pingS, sink) };
    } catch (e) {
      return this.errorReply('Attach', e);
    }
  }
  /**
   * Resolves once this node can accept an Attach, at the latest `PROCESS.startWaitMs` after its start: for a node that has just started,
   * a short wait is better for the client than a refusal. Undefined when there is nothing to wait for.
   */
  whenServing(): Promise<void> | undefined {
    const remainingMs = this.kernel.startedAt + PROCESS.startWaitMs - this.kernel.host.clock.now();
    if (
      this.acceptsAttach() ||
      remainingMs <= 0 ||
      !this.sessions ||
      this.kernel.phase === 'draining' ||
      this.kernel.phase === 'stopped'
    )
      return undefined;
    return withTimeout(
      this.kernel.host.clock,
      remainingMs,
      firstValueFrom(this.register.readLeaseStarted$, { defaultValue: undefined }),
    ).then(() => undefined);
  }
  /** Records that the client is alive; called for anything that arrives on its connection. */
  recordActivity(id: string): void {
    this.sessions?.recordActivity(id);
  }
  /** Ends the session of a connection that was closed. */
  disconnected(id: string): void {
    this.sessions?.gone(id);
  }
  /** Continues delivery once the connection's write buffer has drained. */
  drained(id: string): void {
    this.sessions?.drained(id);
  }

  /** Handles any request but Attach. Never rejects: an error is a reply. */
  async handle(m: string, body: unknown): Promise<Reply> {
    if (!Object.hasOwn(Rpcs, m) || m === 'Attach')
      return this.errorReply(
        m,
        new HarecrossError({ tag: 'unknown_method', step: m, peer: this.kernel.self, method: m }),
      );
    const method = m as Method;
    const fault = visitFault(method, body);
    if (fault) return this.errorReply(m, this.badRequest(m, fault));
    if (this.kernel.phase === 'stopped') return this.errorReply(m, notReadyError(this.kernel, m));
    this.kernel.incrementCounter(`visit.${m}`);
    const request = { m: method, body } as Request;
    const reply = this.requestQueue.offer(request, this.isUrgentRequest(request));
    if (!reply && m === 'Publish') this.route.recordRejection(body as Visit<'Publish'>);
    if (!reply)
      return this.errorReply(
        m,
        new HarecrossError({
          tag: 'overloaded',
          step: m,
          peer: this.kernel.self,
          retryAfterMs: jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs),
        }),
      );
    return reply;
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

  private badRequest(step: string, detail: string): HarecrossError {
    return new HarecrossError({ tag: 'bad_visit', step, peer: this.kernel.self, detail });
  }

  private errorReply(m: string, e: unknown): Reply {
    const error = toErrorDetails(e, m, this.kernel.self);
    if (error.tag === 'internal')
      this.kernel.host.log.warn('request failed with an internal error', {
        fault: error,
        stack: e instanceof Error ? e.stack : undefined,
      });
    this.kernel.incrementCounter(`fault.${error.tag}`);
    // An attempt that certainly stored nothing is answered with `rejected`. That does not cover earlier attempts with the same number,
    // which may still be on their way (`final: false`); only the owner's `stale_seq` covers them too (`final: true`).
    if (
      m === 'Publish' &&
      (error.tag === 'not_ready' ||
        error.tag === 'overloaded' ||
        error.tag === 'unreachable' ||
        error.tag === 'not_owner')
    ) {
      const retryAfterMs =
        'retryAfterMs' in error ? error.retryAfterMs : jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
      return { status: 503, body: { rejected: { reason: error.tag, final: false, retryAfterMs } } };
    }
    if (m === 'Publish' && error.tag === 'stale_seq')
      return { status: 409, body: { rejected: { reason: 'stale_seq', final: true, retryAfterMs: 0 } } };
    const status = statusOf(error);
    let retryAfterMs: number | undefined;
    if ('retryAfterMs' in error) retryAfterMs = error.retryAfterMs;
    else if (status === 503 || status === 504) retryAfterMs = jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
    return { status, body: { error: retryAfterMs === undefined ? error : { ...error, retryAfterMs } } };
  }

  private async dispatch(request: Request): Promise<Reply> {
    try {
      if ('conn' in request.body) {
        const peer = request.body.conn.split('/')[0]!;
        if (peer !== this.kernel.self) return await this.forward(peer, request);
      }
      return { status: 200, body: (await this.answer(request)) as ReplyBody };
    } catch (e) {
      return this.errorReply(request.m, e);
    }
  }

  /** Forwards a request to the relay that has the client's connection. */
  private async forward(peer: string, { m, body }: Request): Promise<Reply> {
    const relay = this.membership.members.get(peer);
    if (!relay || relay.role !== 'relay' || relay.state === 'dead' || relay.state === 'left') {
      // A connection id starts with its relay's address; without a live relay there, the connection does not exist.
      throw new HarecrossError({ tag: 'unknown_conn', step: m, peer: relay ? peer : this.kernel.self });
    }
    const family =
      m === 'Subscribe' && this.register.value ? familyOf(this.register.value.config, body.topic) : undefined;
    try {
      return await this.kernel.callAnyPath<Reply>(
        peer,
        'Pass',
        { m, body },
        family ? family.patienceMs + MEMBERSHIP.callTimeoutMs : MEMBERSHIP.callTimeoutMs,
      );
    } catch (e) {
      const error = toErrorDetails(e, m, peer);
      // The relay itself is unreachable, so the connection is gone. An unreachable helper on an indirect path says nothing about it.
      if (error.tag === 'unreachable' && error.peer === peer)
        throw new HarecrossError({ tag: 'unknown_conn', step: m, peer });
      throw e;
    }
  }

  private async answer({ m, body }: Request): Promise<unknown> {
    switch (m) {
      case 'Probe':
        return { sent: this.requireSessions(m).recordActivityOrThrow(body.conn, m).sent };
      case 'Detach': {
        const sessions = this.requireSessions(m);
        sessions.recordActivityOrThrow(body.conn, m);
        sessions.gone(body.conn);
        return {};
      }
      case 'Subscribe':
        this.requireReadLease(m);
        return this.requireSessions(m).subscribe(body.conn, body.topic, body.cursor);
      case 'Unsubscribe':
        return { left: this.requireSessions(m).unsubscribe(body.conn, body.topic) };
      case 'Publish': {
        if (!this.register.hasReadLease()) this.route.recordRejection(body);
        this.requireReadLease(m);
        const family = this.requireFamily(m, body.topic);
        const limit = family.limits?.bodyBytes ?? REQUEST.bodyBytes;
        if (Buffer.byteLength(body.body) > limit)
          throw new HarecrossError({ tag: 'too_large', step: m, peer: this.kernel.self, limit });
        return { accepted: await this.route.publish(body, family.patienceMs) };
      }
      case 'Listeners': {
        this.requireReadLease(m);
        const family = this.requireFamily(m, body.topic);
        return this.route.callOwner(body.topic, 'Count', () => ({ topic: body.topic }), family.patienceMs);
      }
      case 'SubmitConfig':
        return this.operators.submit(body);
      case 'CheckConfig':
        return { version: this.register.value?.version ?? 0, faults: configFaults(body.config) };
      case 'ReadConfig':
        return this.operators.readConfig();
      case 'EmptyDisk':
        return this.operators.setDiskState(body.disk, 'emptying', m, body.changeId);
      case 'EmptyStatus':
        return this.operators.emptyStatus(body.disk);
      case 'PlanMoves':
        return this.operators.planMoves(body);
      case 'Moves':
        return this.operators.moves();
      case 'CancelEmpty':
        return this.operators.setDiskState(body.disk, 'active', m, body.changeId);
      case 'Fleet':
        return this.describeFleet();
      case 'Node':
        return this.describeNode();
      case 'Attach':
        throw this.badRequest(m, 'Attach is a stream');
      default:
        return assertNever(m);
    }
  }

  private requireReadLease(m: string): void {
    if (!this.register.hasReadLease()) throw notReadyError(this.kernel, m);
  }
  private requireSessions(m: string): Sessions {
    if (!this.sessions) throw new HarecrossError({ tag: 'unknown_conn', step: m, peer: this.kernel.self });
    return this.sessions;
  }
  private requireFamily(m: string, topic: string) {
    const family = familyOf(this.register.value!.config, topic);
    if (!family) throw new HarecrossError({ tag: 'unknown_topic', step: m, peer: this.kernel.self, topic });
    return family;
  }

  private describeFleet(): unknown {
    const value = this.register.value;
    const now = this.kernel.host.clock.now();
    return {
      at: this.kernel.self,
      fresh: this.register.hasReadLease(),
      rev: value?.rev ?? 0,
      version: value?.version ?? 0,
      fleet: value?.fleet,
      members: [...this.membership.members.values()].map((member) => ({
        peer: member.peer,
        name: member.name,
        client: member.client,
        domain: member.domain,
        role: member.role,
        disk: member.disk,
        state: member.state,
        condition: member.condition,
        weight: member.weight,
        ageMs: member.peer === this.kernel.self ? 0 : Math.round(now - member.seenAt),
      })),
      disks: value
        ? [...value.disks.values()].map((disk) => ({
            ...disk,
            seat: value.voters.includes(disk.id),
            copies: [...value.shards.values()].filter((placement) => placement.copies.includes(disk.id)).length,
          }))
        : [],
      keys: value
        ? [...value.shards].map(([shard, placement]) => ({
            shard,
            gen: placement.gen,
            copies: placement.copies,
            ...(this.membership.get(`key/${shard}`) as object | undefined),
          }))
        : [],
    };
  }

  private describeNode(): unknown {
    return {
      peer: this.kernel.self,
      inst: this.kernel.instanceId,
      phase: this.kernel.phase,
      // Before the first confirmed read no configuration is in force here: the version is left out, as the stored one may be outdated.
      ...(this.register.wasEverConfirmed() ? { version: this.register.value!.version } : {}),
      rev: this.kernel.rev,
      fresh: this.register.hasReadLease(),
      holdings: [
        this.requestQueue.describe('edge'),
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
 * Serves an edge over HTTP/1.1 and returns a function that stops it.
 * @example
 * const close = await serveHttp(kernel, edge, '127.0.0.1:7001');
 */
export async function serveHttp(kernel: Kernel, edge: Edge, address: string): Promise<() => Promise<void>> {
  // Imported only when HTTP is served: a node with another transport starts without loading it.
  const { default: fastify } = await import('fastify');
  const app = fastify({ bodyLimit: 2 * 1024 * 1024, keepAliveTimeout: 30_000 });
  const send = (response: FastifyReply, reply: Reply): unknown => {
    const retryAfterMs = reply.body.error?.retryAfterMs ?? reply.body.rejected?.retryAfterMs;
    if (retryAfterMs !== undefined && reply.status >= 500)
      response.header('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1000))));
    return response.code(reply.status).send(reply.body);
  };
  app.setErrorHandler((e: FastifyError, _req, reply) => {
    const status = e.statusCode && e.statusCode < 500 ? e.statusCode : 500;
    let error: ErrorDetails = { tag: 'internal', step: 'read', peer: kernel.self, detail: e.message };
    if (status === 413) error = { tag: 'too_large', step: 'read', peer: kernel.self, limit: 2 * 1024 * 1024 };
    else if (status < 500) error = { tag: 'bad_visit', step: 'read', peer: kernel.self, detail: e.message };
    return reply.code(status).send({ error });
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
    let closed = false;
    const raw = reply.raw;
    const sink: Sink = {
      write: (frames) => closed || raw.write(serializeFrames(frames)),
      close: () => {
        if (closed) return;
        closed = true;
        raw.end();
        // A client that no longer reads would keep the socket and its unsent data for many minutes.
        setTimeout(() => raw.destroy(), PROCESS.closeGraceMs).unref();
      },
    };
    const sendHead = (): void => {
      raw.writeHead(200, { 'content-type': 'application/x-ndjson', 'cache-control': 'no-store' });
      raw.flushHeaders();
    };
    const attached = edge.attach(req.body, sink);
    if ('status' in attached) return send(reply, attached);
    id = attached.id;
    reply.hijack();
    sendHead();
    raw.on('drain', () => edge.drained(id));
    raw.on('close', () => {
      closed = true;
      edge.disconnected(id);
    });
    raw.on('error', () => {
      closed = true;
      edge.disconnected(id);
    });
    return reply;
  });
  app.post('/rpc/:method', async (req, reply) =>
    send(reply, await edge.handle((req.params as { method: string }).method, req.body ?? {})),
  );
  await app.listen(parseAddress(address));
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
