/** Every kind of trouble, by name. */
import { LOSS_KINDS } from './loss-kinds.js';
import { MACHINE_KINDS } from './machine-kinds.js';
import { NETWORK_KINDS } from './network-kinds.js';
import { OPERATOR_KINDS } from './operator-kinds.js';
import type { KindName } from './schedule.js';
import type { Play } from './stage.js';

const KINDS: Partial<Record<KindName, Play>> = {
  ...MACHINE_KINDS,
  ...LOSS_KINDS,
  ...NETWORK_KINDS,
  ...OPERATOR_KINDS,
};

/** How a kind is played; throws for one that nobody plays. */
export function playOf(kind: KindName): Play {
  const play = KINDS[kind];
  if (!play) throw new Error(`nobody plays ${kind}`);
  return play;
}
