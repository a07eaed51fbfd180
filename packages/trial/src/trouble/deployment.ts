/** The shapes of the deployments under test, with the platform's timers, scaled down in their clients. */
import type { DeploymentSpec } from '../scenario.js';

/** A deployment: which machines there are, what may be lost at once, and the platform's figures. */
export interface Deployment {
  name: string;
  zones: string[];
  /** Machines that run a voter and a relay. */
  coreCount: number;
  /** Machines that run a relay alone. */
  accessCount: number;
  storeCount: number;
  /** Machines with a disk that may be lost at once while every rule holds. */
  losses: number;
  /** A machine counts as lost for this long after it is back. */
  repairMs: number;
  applyMs: number;
  /** The operator's list of machines lags by this much. */
  seedDelayMs: number;
  /** After the last event at the core, machines are in touch again. */
  contactMs: number;
  coreDiskMs: number;
  storeDiskMs: number;
  consumers: number;
}

const SMALL = { losses: 1, repairMs: 4_000, applyMs: 3_000, seedDelayMs: 3_000, contactMs: 4_000, consumers: 24 };
const GROWN = { losses: 2, repairMs: 6_000, applyMs: 4_000, seedDelayMs: 3_000, contactMs: 5_000, consumers: 36 };
const SINE_SALOUM = ['fatick', 'kaffrine', 'foundiougne'];
const DANUBE = ['galati', 'braila', 'tulcea', 'calarasi'];

const sineSaloum: Deployment = {
  ...SMALL,
  name: 'sss',
  zones: SINE_SALOUM,
  coreCount: 3,
  accessCount: 3,
  storeCount: 3,
  coreDiskMs: 2,
  storeDiskMs: 2.4,
};
const danube: Deployment = {
  ...SMALL,
  name: 'hidrocross',
  zones: DANUBE,
  coreCount: 4,
  accessCount: 4,
  storeCount: 4,
  coreDiskMs: 5,
  storeDiskMs: 5,
};

/** All six, by name. */
export const DEPLOYMENTS = new Map<string, Deployment>(
  [
    sineSaloum,
    { ...sineSaloum, name: 'sss-control' },
    {
      ...GROWN,
      name: 'sss-grown',
      zones: SINE_SALOUM,
      coreCount: 6,
      accessCount: 6,
      storeCount: 12,
      coreDiskMs: 2,
      storeDiskMs: 40,
    },
    danube,
    { ...danube, name: 'hidrocross-control' },
    {
      ...GROWN,
      name: 'hidrocross-grown',
      zones: [...DANUBE, 'giurgiu'],
      coreCount: 5,
      accessCount: 5,
      storeCount: 13,
      coreDiskMs: 5,
      storeDiskMs: 5,
    },
  ].map((d) => [d.name, d]),
);

/** The same with few clients and relays, for days about what happens to the core and the stores. */
export const withFewClients = (d: Deployment): Deployment => ({ ...d, accessCount: 1, consumers: 6 });

/** Topics and rates of a day: as many as a small fleet shows its faults with. */
export function siteOf(d: Deployment): DeploymentSpec {
  return {
    name: d.name,
    domains: d.zones,
    relays: d.coreCount + d.accessCount,
    relayDisks: 0,
    stores: d.storeCount,
    consumers: d.consumers,
    families: [
      { name: 'routine', prefix: 'r/', topics: 24, urgency: 'routine', messagesPerS: 14, memoryS: 35, patienceMs: 3_000 },
      { name: 'urgent', prefix: 'u/', topics: 6, urgency: 'urgent', messagesPerS: 6, memoryS: 25, patienceMs: 2_000 },
    ],
  };
}
