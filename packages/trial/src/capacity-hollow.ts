import { pack, peerNet } from '@harecross/kernel';
import { freePorts } from './fleet.js';

/** Peers that only listen and answer: `node capacity-hollow.js 550`. Writes their addresses as one line of JSON. */
const n = Number(process.argv[2]);
const ports = await freePorts(n);
const answer = async (): Promise<string> => pack({ rev: 0, now: performance.timeOrigin + performance.now(), ok: true });
await Promise.all(ports.map((p) => peerNet(`127.0.0.1:${p}`).serve(answer, { broken: () => undefined, count: () => undefined })));
process.stdout.write(JSON.stringify(ports.map((p) => `127.0.0.1:${p}`)) + '\n');
process.stdin.on('end', () => process.exit(0)).resume();
