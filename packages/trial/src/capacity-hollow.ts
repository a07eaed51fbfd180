import { Kernel, realHost } from '@harecross/kernel';
import { freePorts } from './process-fleet.js';

/**
 * Relays that only listen and take frames: `node capacity-hollow.js 550`. Writes their addresses as one line of JSON.
 */
const n = Number(process.argv[2]);
const ports = await freePorts(n);
for (const port of ports) {
  const host = realHost({ role: 'relay', domain: 'a', peer: `127.0.0.1:${port}`, client: '127.0.0.1:1', seeds: [] });
  host.log = { info: () => undefined, warn: () => undefined };
  const k = new Kernel(host);
  k.on('Fan', () => true);
  await k.boot([]);
}
process.stdout.write(JSON.stringify(ports.map((p) => `127.0.0.1:${p}`)) + '\n');
process.stdin.on('end', () => process.exit(0)).resume();
