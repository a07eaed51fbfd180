/** The deployments under test: numbers of machines and the platform's timers, with fewer clients than in production. */
import type { DeploymentSpec } from '../scenario.js';

/** A deployment: its machines, how many of them may be lost at once, and the platform's timers. */
export interface Deployment {
  name: string;
  zones: string[];
  /** Machines that run a voter and a relay. */
  coreCount: number;
  /** Machines that run a relay alone. */
  accessCount: number;
  storeCount: number;
  /** How many machines with a disk may be lost at once while all rules must hold. */
  losses: number;
  /** A machine counts as lost for this long after its return: the time that repair may take. */
  repairMs: number;
  applyMs: number;
  /** Delay with which changes appear in the operator's list of machines. */
  seedDelayMs: number;
  /** Time after the last core event until machines are connected again. */
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

/** All six deployments, by name. */
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
  ].map((deployment) => [deployment.name, deployment]),
);

/** The same deployment with few clients and access machines, for runs about faults of core and store machines. */
export const withFewClients = (deployment: Deployment): Deployment => ({ ...deployment, accessCount: 1, consumers: 6 });

/** Topics and message rates of a run: enough to show faults in a small fleet. */
export function deploymentSpecOf(deployment: Deployment): DeploymentSpec {
  return {
    name: deployment.name,
    domains: deployment.zones,
    relays: deployment.coreCount + deployment.accessCount,
    relayDisks: 0,
    stores: deployment.storeCount,
    consumers: deployment.consumers,
    families: [
      {
        name: 'routine',
        prefix: 'r/',
        topics: 24,
        urgency: 'routine',
        messagesPerS: 14,
        memoryS: 35,
        patienceMs: 3_000,
      },
      { name: 'urgent', prefix: 'u/', topics: 6, urgency: 'urgent', messagesPerS: 6, memoryS: 25, patienceMs: 2_000 },
    ],
  };
}
