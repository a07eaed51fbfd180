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

/** A process of the fleet under test, as the runner sees it. */
export interface NodeProcess {
  name: string;
  role: Role;
  config: NodeConfig;
  file: string;
  child?: ChildProcess;
  healthy: boolean;
  /** Its process has been asked for its condition and has answered: it is beyond its start. */
  responding?: boolean;
  up: boolean;
  stopped?: boolean;
  leaving?: boolean;
  exits: number[];
}

const program = (role: Role): string => fileURLToPath(new URL(`../../${role}/dist/main.js`, import.meta.url));

/**
 * Ports the OS says are free; held until all are known so that none comes twice.
 * @example
 * const [a, b] = await freePorts(2);
 */
export async function freePorts(n: number): Promise<number[]> {
  const held = await Promise.all(
    Array.from(
      { length: n },
      () =>
        new Promise<{ port: number; close: () => Promise<void> }>((res, rej) => {
          const s = createServer();
          s.on('error', rej);
          s.listen(0, '127.0.0.1', () =>
            res({ port: (s.address() as { port: number }).port, close: () => new Promise((r) => s.close(() => r())) }),
          );
        }),
    ),
  );
  await Promise.all(held.map((h) => h.close()));
  return held.map((h) => h.port);
}

/**
 * A fleet of real processes on loopback.
 * @example
 * const f = await Fleet.of(SINE_SALOUM, '/tmp/day'); f.startAll();
 */
export class Fleet {
  readonly procs: NodeProcess[] = [];
  private agent = new Agent({ connections: 256, pipelining: 1 });
  private http = new HttpAgent({ keepAlive: false, maxSockets: Infinity });
  private conns = new Set<() => void>();
  private polling = true;
  /** Callers' links, by client address; where there is one, callers go through it. */
  readonly proxies = new Map<string, LinkProxy>();

  static async create(site: DeploymentSpec, folder: string): Promise<Fleet> {
    const f = new Fleet();
    mkdirSync(folder, { recursive: true });
    const total = site.stores + site.relays;
    const ports = await freePorts(total * 2);
    const make = (role: Role, i: number, disk: boolean): void => {
      const name = `${role}${i + 1}`;
      const k = f.procs.length;
      const config: NodeConfig = {
        role,
        domain: site.domains[i % site.domains.length]!,
        peer: `127.0.0.1:${ports[2 * k]}`,
        client: `127.0.0.1:${ports[2 * k + 1]}`,
        seeds: [],
        ...(disk ? { data: join(folder, name) } : {}),
      };
      f.procs.push({ name, role, config, file: join(folder, `${name}.json`), healthy: false, up: false, exits: [] });
    };
    for (let i = 0; i < site.stores; i++) make('store', i, true);
    for (let i = 0; i < site.relays; i++) make('relay', i, i < site.relayDisks);
    const seeds = f.procs.slice(0, 3).map((p) => p.config.peer);
    for (const p of f.procs) {
      p.config.seeds = seeds;
      f.writeConfig(p);
    }
    void f.poll();
    return f;
  }

  /** Another machine for the fleet; it is started apart. */
  async add(role: Role, domain: string): Promise<NodeProcess> {
    const [a, b] = await freePorts(2);
    const n = this.procs.filter((p) => p.role === role).length + 1;
    const folder = dirname(this.procs[0]!.file);
    const name = `${role}${n}`;
    const config: NodeConfig = {
      role,
      domain,
      peer: `127.0.0.1:${a}`,
      client: `127.0.0.1:${b}`,
      seeds: this.procs[0]!.config.seeds,
      ...(role === 'store' ? { data: join(folder, name) } : {}),
    };
    const p: NodeProcess = { name, role, config, file: join(folder, `${name}.json`), healthy: false, up: false, exits: [] };
    this.procs.push(p);
    this.writeConfig(p);
    return p;
  }

  /** Puts a link in front of every access machine. */
  async startProxies(): Promise<void> {
    for (const p of this.relays) this.proxies.set(p.config.client, await LinkProxy.start(p.config.client));
  }
  private front(node: string): string {
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
    const child = spawn(process.execPath, [program(p.role), '--config', p.file], { stdio: ['ignore', 'pipe', 'pipe'] });
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

  signal(p: NodeProcess, s: NodeJS.Signals): void {
    if (s === 'SIGSTOP') p.stopped = true;
    if (s === 'SIGCONT') p.stopped = false;
    if (p.up) p.child!.kill(s);
  }
  async gone(p: NodeProcess, ms: number): Promise<boolean> {
    const until = realClock.now() + ms;
    while (p.up && realClock.now() < until) await sleep(realClock, 20);
    return !p.up;
  }
  async kill(p: NodeProcess): Promise<void> {
    this.signal(p, 'SIGKILL');
    await this.gone(p, 2_000);
  }
  /** SIGTERM, and the hard kill 6 s later; gives the ms it took to leave by itself. */
  async stop(p: NodeProcess): Promise<number | undefined> {
    const t0 = realClock.now();
    p.leaving = true;
    this.signal(p, 'SIGTERM');
    if (await this.gone(p, 6_000)) return realClock.now() - t0;
    await this.kill(p);
    return undefined;
  }

  /** What the callers' platform does: asks each access machine for its condition. */
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

  /** All conns of the stand-ins, or a share of them, are reset. */
  resetStreams(share: number): number {
    let n = 0;
    for (const f of Array.from(this.conns))
      if (Math.random() < share) {
        f();
        n++;
      }
    return n;
  }

  readonly clientTransport: ClientTransport = {
    nodes: (domain) =>
      this.procs
        .filter((p) => p.role === 'relay' && p.up && p.healthy && (domain === undefined || p.config.domain === domain))
        .map((p) => p.config.client),
    visit: async (node, method, body, timeoutMs) => {
      const ac = new AbortController();
      const t = setTimeout(() => ac.abort(), timeoutMs);
      try {
        const r = await request(`http://${method === 'Node' ? node : this.front(node)}/rpc/${method}`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
          dispatcher: this.agent,
          signal: ac.signal,
        });
        return { status: r.statusCode, body: await r.body.json() };
      } catch {
        return undefined;
      } finally {
        clearTimeout(t);
      }
    },
    attach: (node, body, onFrame, onEnd) => {
      let over = false;
      const raw = JSON.stringify(body);
      const req = httpRequest(`http://${this.front(node)}/rpc/Attach`, {
        method: 'POST',
        agent: this.http,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(raw) },
      });
      const reset = (): void => {
        req.destroy();
      };
      const end = (): void => {
        if (over) return;
        over = true;
        this.conns.delete(reset);
        onEnd();
      };
      let rest = '';
      req.on('response', (res) => {
        if (res.statusCode !== 200) {
          res.resume();
          end();
          return;
        }
        res.setEncoding('utf8');
        res.on('data', (s: string) => {
          rest += s;
          const lines = rest.split('\n');
          rest = lines.pop()!;
          for (const l of lines) if (l && !over) onFrame(JSON.parse(l) as Frame);
        });
        res.on('end', end);
        res.on('close', end);
        res.on('error', end);
      });
      req.on('error', end);
      req.on('close', end);
      req.end(raw);
      this.conns.add(reset);
      return () => {
        over = true;
        this.conns.delete(reset);
        req.destroy();
      };
    },
  };

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
    for (const l of this.proxies.values()) await l.close();
  }
}
