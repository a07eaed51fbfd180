/** Every scenario with faults, by name. */
import { CLIENT_FAULTS } from './faults/client-faults.js';
import { CLOCK_FAULTS } from './faults/clock-faults.js';
import { DISK_FAULTS } from './faults/disk-faults.js';
import { MACHINE_FAULTS } from './faults/machine-faults.js';
import { NETWORK_FAULTS } from './faults/network-faults.js';
import { OPERATOR_FAULTS } from './faults/operator-faults.js';
import type { Scenario } from './scenario.js';

/** Every fault of the brief, by name. */
export const FAULT_SCENARIOS = new Map<string, Scenario>([
  ...MACHINE_FAULTS,
  ...DISK_FAULTS,
  ...NETWORK_FAULTS,
  ...CLOCK_FAULTS,
  ...CLIENT_FAULTS,
  ...OPERATOR_FAULTS,
]);
