import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as httpRequest, Agent as HttpAgent } from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep, realClock, type NodeConfig, type Role } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import { Agent, request } from 'undici';
import type { ClientTransport } from './simulated-clients.js';
import { LinkProxy } from './link-proxy.js';
import type { DeploymentSpec } from './scenario.js';

/** A node's process and its observed state. */
export interface NodeProcess {
  name: string;
  role: Role;
  config: NodeConfig;
  file: string;
  child?: ChildProcess;
  /** Its last health check returned 200. */
  healthy: boolean;
  /** It has answered a health check since it was started, with any status. */
  responding?: boolean;
  up: boolean;
  /** Suspended by SIGSTOP. */
  stopped?: boolean;
  /** Asked to stop by SIGTERM. */
  leaving?: boolean;
  /** Exit codes of its earlier processes; -1 for a signal. */
  exits: number[];
}

/** This checkout. */
const CHECKOUT = fileURLToPath(new URL('../../..', import.meta.url));

/**
 * Free TCP ports on loopback. All are bound before any is released, so that no port is returned twice.
 * @example
 * const [a, b] = await freePorts(2);
 */
export async function freePorts(n: number): Promise<number[]> {
  const bound = await Promise.all(
    Array.from(
      { length: n },
      () =>
        new Promise<{ port: number; close: () => Promise<void> }>((res, rej) => {
          const server = createServer();
          server.on('error', rej);
          server.listen(0, '127.0.0.1', () =>
            res({
              port: (server.address() as { port: number }).port,
              close: () => new Promise((r) => server.close(() => r())),
            }),
          );
        }),
    ),
  );
  await Promise.all(bound.map((h) => h.close()));
  return bound.map((h) => h.port);
}

/**
 * A fleet of node processes on loopback.
 * @example
 * const fleet = await Fleet.create(SINE_SALOUM, '/tmp/fleet'); fleet.startAll();
 */
export class Fleet {
  readonly procs: NodeProcess[] = [];
  private agent = new Agent({ connections: 256, pipelining: 1 });
  private http = new HttpAgent({ keepAlive: false, maxSockets: Infinity });
  /** Resets each open client stream. */
  private conns = new Set<() => void>();
  private polling = true;
  /** Proxies in front of relays, by client address; clients connect through them. */
  readonly proxies = new Map<string, LinkProxy>();
  /** Options of Node for each process. */
  nodeOptions: string[] = [];
  /** The built checkout whose programs are run. */
  checkout = CHECKOUT;

  /** Allocates ports, writes the configuration files of a deployment and begins health checks; starts no process. */
  static async create(site: DeploymentSpec, folder: string): Promise<Fleet> {
    const fleet = new Fleet();
    mkdirSync(folder, { recursive: true });
    const total = site.stores + site.relays;
    const ports = await freePorts(total * 2);
    const make = (role: Role, i: number, disk: boolean): void => {
      const name = `${role}${i + 1}`;
      const index = fleet.procs.length;
      const config: NodeConfig = {
        role,
        domain: site.domains[i % site.domains.length]!,
        peer: `127.0.0.1:${ports[2 * index]}`,
        client: `127.0.0.1:${ports[2 * index + 1]}`,
        seeds: [],
        ...(disk ? { data: join(folder, name) } : {}),
      };
      fleet.procs.push({
        name,
        role,
        config,
        file: join(folder, `${name}.json`),
        healthy: false,
        up: false,
        exits: [],
      });
    };
    for (let i = 0; i < site.stores; i++) make('store', i, true);
    for (let i = 0; i < site.relays; i++) make('relay', i, i < site.relayDisks);
    const seeds = fleet.procs.slice(0, 3).map((p) => p.config.peer);
    for (const p of fleet.procs) {
      p.config.seeds = seeds;
      fleet.writeConfig(p);
    }
    void fleet.poll();
    return fleet;
  }

  /** Adds a node to the fleet without starting it. */
  async add(role: Role, domain: string): Promise<NodeProcess> {
    const [peerPort, clientPort] = await freePorts(2);
    const ordinal = this.procs.filter((p) => p.role === role).length + 1;
    const folder = dirname(this.procs[0]!.file);
    const name = `${role}${ordinal}`;
    const config: NodeConfig = {
      role,
      domain,
      peer: `127.0.0.1:${peerPort}`,
      client: `127.0.0.1:${clientPort}`,
      seeds: this.procs[0]!.config.seeds,
      ...(role === 'store' ? { data: join(folder, name) } : {}),
    };
    const p: NodeProcess = {
      name,
      role,
      config,
      file: join(folder, `${name}.json`),
      healthy: false,
      up: false,
      exits: [],
    };
    this.procs.push(p);
    this.writeConfig(p);
    return p;
  }

  /** Puts a proxy in front of every relay. */
  async startProxies(): Promise<void> {
    for (const p of this.relays) this.proxies.set(p.config.client, await LinkProxy.start(p.config.client));
  }
  private clientAddress(node: string): string {
    return this.proxies.get(node)?.address ?? node;
  }

  get stores(): NodeProcess[] {
    return this.procs.filter((p) => p.role === 'store');
  }
  get relays(): NodeProcess[] {
    return this.procs.filter((p) => p.role === 'relay');
  }

  writeConfig(p: NodeProcess): void {
    writeFileSync(p.file, JSON.stringify(p.config, null, 2) + '\n');
  }

  start(p: NodeProcess): void {
    if (p.up) return;
    const log = createWriteStream(p.file.replace(/\.json$/, '.log'), { flags: 'a' });
    const program = join(this.checkout, `packages/${p.role}/dist/main.js`);
    const child = spawn(process.execPath, [...this.nodeOptions, program, '--config', p.file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout!.pipe(log);
    child.stderr!.pipe(log);
    p.child = child;
    p.up = true;
    p.leaving = false;
    child.on('exit', (code, sig) => {
      p.up = false;
      p.healthy = false;
      p.responding = false;
      p.exits.push(sig ? -1 : (code ?? -1));
    });
  }
  startAll(): void {
    for (const p of this.procs) this.start(p);
  }

  signal(p: NodeProcess, signal: NodeJS.Signals): void {
    if (signal === 'SIGSTOP') p.stopped = true;
    if (signal === 'SIGCONT') p.stopped = false;
    if (p.up) p.child!.kill(signal);
  }
  /** Waits up to `ms` for a process to exit; returns whether it did. */
  async gone(p: NodeProcess, ms: number): Promise<boolean> {
    const until = realClock.now() + ms;
    while (p.up && realClock.now() < until) await sleep(realClock, 20);
    return !p.up;
  }
  async kill(p: NodeProcess): Promise<void> {
    this.signal(p, 'SIGKILL');
    await this.gone(p, 2_000);
  }
  /** Sends SIGTERM and kills the process 6 s later. Returns how long it took to exit by itself, in ms, or undefined if it was killed. */
  async stop(p: NodeProcess): Promise<number | undefined> {
    const startedAt = realClock.now();
    p.leaving = true;
    this.signal(p, 'SIGTERM');
    if (await this.gone(p, 6_000)) return realClock.now() - startedAt;
    await this.kill(p);
    return undefined;
  }

  /** Checks the health of all nodes, with pauses of 250 ms, as a load balancer does. */
  private async poll(): Promise<void> {
    while (this.polling) {
      await Promise.all(
        this.procs.map(async (p) => {
          if (!p.up) {
            p.healthy = false;
            return;
          }
          try {
            const r = await request(`http://${p.config.client}/condition`, {
              dispatcher: this.agent,
              headersTimeout: 800,
              bodyTimeout: 800,
            });
            await r.body.dump();
            p.healthy = r.statusCode === 200;
            p.responding = p.up;
          } catch {
            p.healthy = false;
          }
        }),
      );
      await sleep(realClock, 250);
    }
  }

  /** Resets a random share of the client streams; returns how many. */
  resetStreams(share: number): number {
    let count = 0;
    for (const reset of Array.from(this.conns))
      if (Math.random() < share) {
        reset();
        count++;
      }
    return count;
  }

  readonly clientTransport: ClientTransport = {
    nodes: (domain) =>
      this.procs
        .filter((p) => p.role === 'relay' && p.up && p.healthy && (domain === undefined || p.config.domain === domain))
        .map((p) => p.config.client),
    visit: async (node, method, body, timeoutMs) => {
      const abort = new AbortController();
      const timer = setTimeout(() => abort.abort(), timeoutMs);
      try {
        const r = await request(`http://${method === 'Node' ? node : this.clientAddress(node)}/rpc/${method}`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
          dispatcher: this.agent,
          signal: abort.signal,
        });
        return { status: r.statusCode, body: await r.body.json() };
      } catch {
        return undefined;
      } finally {
        clearTimeout(timer);
      }
    },
    attach: (node, body, onFrame, onEnd) => {
      let ended = false;
      const requestJson = JSON.stringify(body);
      const req = httpRequest(`http://${this.clientAddress(node)}/rpc/Attach`, {
        method: 'POST',
        agent: this.http,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(requestJson) },
      });
      const reset = (): void => {
        req.destroy();
      };
      const end = (): void => {
        if (ended) return;
        ended = true;
        this.conns.delete(reset);
        onEnd();
      };
      let incompleteLine = '';
      req.on('response', (res) => {
        if (res.statusCode !== 200) {
          res.resume();
          end();
          return;
        }
        res.setEncoding('utf8');
        res.on('data', (s: string) => {
          incompleteLine += s;
          const lines = incompleteLine.split('\n');
          incompleteLine = lines.pop()!;
          for (const line of lines) if (line && !ended) onFrame(JSON.parse(line) as Frame);
        });
        res.on('end', end);
        res.on('close', end);
        res.on('error', end);
      });
      req.on('error', end);
      req.on('close', end);
      req.end(requestJson);
      this.conns.add(reset);
      return () => {
        ended = true;
        this.conns.delete(reset);
        req.destroy();
      };
    },
  };

  /** Stops all processes, killing those that take longer than 6 s, and closes the proxies. */
  async close(): Promise<void> {
    this.polling = false;
    for (const p of this.procs)
      if (p.up) {
        this.signal(p, 'SIGCONT');
        this.signal(p, 'SIGTERM');
      }
    await Promise.all(this.procs.map((p) => this.gone(p, 6_000)));
    for (const p of this.procs) await this.kill(p);
    await this.agent.destroy();
    for (const link of this.proxies.values()) await link.close();
  }
}
