/** Which configuration nodes serve by: what they report themselves, and what marker topics show. */
import type { FleetConfig } from '@harecross/schema';
import { appendTo, type RunRecord } from './run-record.js';

/** A node that became healthy within this time may still be joining. */
const JOIN_MS = 3_000;

/** Checks the configuration versions that nodes report, and that healthy nodes answer. */
export function checkNodeReports(record: RunRecord): void {
  const reports = new Map<string, { t: number; version: number }[]>();
  for (const event of record.seen) {
    if (event.k !== 'node.says' && event.k !== 'node.silent') continue;
    const dueConfig = record.taken
      .filter((accepted) => event.asked > accepted.t + record.bounds.configInForceMs)
      .at(-1);
    const isWell = record.fleetConditions.wasHealthy(event.node, event.asked - JOIN_MS, event.t);
    if (event.k === 'node.silent') {
      if (dueConfig && isWell)
        record.report(
          'config_late',
          event.t,
          `${event.node} is well and says nothing; ${dueConfig.version} was taken ${Math.round(event.asked - dueConfig.t)} ms before`,
        );
      continue;
    }
    // Answers may arrive out of order: only versions reported before this request was sent count.
    const previousVersion = Math.max(
      0,
      ...(reports.get(event.node) ?? []).filter((report) => report.t < event.asked).map((report) => report.version),
    );
    if (event.version !== undefined && event.version < previousVersion)
      record.report('fell_back', event.t, `${event.node} said ${event.version} after ${previousVersion}`);
    if (event.version !== undefined) appendTo(reports, event.node, { t: event.t, version: event.version });
    if (!dueConfig) continue;
    const late = `${dueConfig.version} was taken ${Math.round(event.asked - dueConfig.t)} ms before`;
    if (event.fresh && (event.version ?? 0) < dueConfig.version)
      record.report('config_late', event.t, `${event.node} served by ${event.version}; ${late}`);
    else if (!event.fresh && isWell)
      record.report('config_late', event.t, `${event.node} is well and does not serve; ${late}`);
  }
}

/** Checks marker topics. Each is in one configuration only, so a request for it shows which configuration the node serves by. */
export function checkMarkerTopics(record: RunRecord): void {
  const markerNumber = (c: FleetConfig): number | undefined => {
    for (const f of c.families) for (const p of f.topics) if (p.startsWith('mark/')) return Number(p.slice(5));
    return undefined;
  };
  const configByMarker = new Map(
    record.taken.flatMap((accepted) => {
      const marker = markerNumber(accepted.config);
      return marker === undefined ? [] : [[marker, accepted] as const];
    }),
  );
  const observed = new Map<string, { version: number; t: number }[]>();
  for (const event of record.seen) {
    if (event.k !== 'mark') continue;
    const config = configByMarker.get(event.mark);
    if (!config) continue;
    const nextConfig = record.taken.find((candidate) => candidate.version > config.version);
    if (event.seen === 'in') {
      const laterObservation = observed.get(event.node)?.find((e) => e.version > config.version && e.t < event.asked);
      const observation = `${event.by} on the marker of version ${config.version}`;
      if (laterObservation)
        record.report(
          'fell_back',
          event.t,
          `${event.node}: ${observation} after version ${laterObservation.version} was at work there ${Math.round(event.asked - laterObservation.t)} ms before`,
        );
      if (nextConfig && event.asked > nextConfig.t + record.bounds.configInForceMs)
        record.report(
          'config_late',
          event.t,
          `${event.node}: ${observation} ${Math.round(event.asked - nextConfig.t)} ms after ${nextConfig.version} was taken`,
        );
      const observations = observed.get(event.node) ?? [];
      if (!observations.some((e) => e.version >= config.version)) {
        observations.push({ version: config.version, t: event.t });
        observed.set(event.node, observations);
      }
    } else if (
      event.asked > config.t + record.bounds.configInForceMs &&
      event.t < Math.min(nextConfig?.submittedAt ?? Infinity, record.firstHigherRevisionAt(config))
    ) {
      record.report(
        'config_late',
        event.t,
        `${event.node}: no marker of version ${config.version}, taken ${Math.round(event.asked - config.t)} ms before`,
      );
    }
  }
}
