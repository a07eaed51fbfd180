import { writeFileSync } from 'node:fs';
import { Session } from 'node:inspector';

/**
 * Loaded into a node's process before the node's program. On request over the IPC channel it reports the process's CPU time and resident
 * memory, and records CPU profiles.
 */
let session: Session | undefined;
process.on('message', (m: { t: 'used' } | { t: 'profile' } | { t: 'write'; file: string }) => {
  switch (m.t) {
    case 'used': {
      const { user, system } = process.cpuUsage();
      process.send!({ cpuMs: (user + system) / 1000, rssMB: process.memoryUsage.rss() / 2 ** 20 });
      break;
    }
    case 'profile':
      session = new Session();
      session.connect();
      session.post('Profiler.enable');
      session.post('Profiler.setSamplingInterval', { interval: 200 });
      session.post('Profiler.start', () => process.send!({ t: 'profiling' }));
      break;
    case 'write':
      session!.post('Profiler.stop', (_e, r) => {
        writeFileSync(m.file, JSON.stringify(r.profile));
        session!.disconnect();
        process.send!({ t: 'written' });
      });
      break;
  }
});
process.channel?.unref();
