/** The actions of all kinds of faults, by name. */
import { LOSS_KINDS } from './loss-kinds.js';
import { MACHINE_KINDS } from './machine-kinds.js';
import { NETWORK_KINDS } from './network-kinds.js';
import { OPERATOR_KINDS } from './operator-kinds.js';
import type { KindName } from './schedule.js';
import type { FaultAction } from './stage.js';

const KINDS: Partial<Record<KindName, FaultAction>> = {
  ...MACHINE_KINDS,
  ...LOSS_KINDS,
  ...NETWORK_KINDS,
  ...OPERATOR_KINDS,
};

/** The action of a kind; throws if it has none. */
export function playOf(kind: KindName): FaultAction {
  const play = KINDS[kind];
  if (!play) throw new Error(`no action for fault kind ${kind}`);
  return play;
}
