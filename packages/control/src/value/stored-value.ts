/**
 * The agreed value as it is stored and sent. Its field names are those of the first release and stay, so that a voter's disk and nodes
 * of earlier versions remain readable; the rest of the code uses the names of `FleetValue`.
 */
import type { FleetValue } from './fleet-value.js';

/** The fields of `FleetValue` whose stored name differs. */
type Renamed = 'voters' | 'previousVoters' | 'votersWanted' | 'incarnations';

/** The agreed value with its stored field names. Fields that this version does not know are kept as they are. */
export interface StoredValue extends Omit<FleetValue, Renamed> {
  seats: FleetValue['voters'];
  prevSeats: FleetValue['previousVoters'];
  seatsWanted?: FleetValue['votersWanted'];
  eras: FleetValue['incarnations'];
}

/** Field names that differ, ours first. */
const STORED_NAMES: readonly (readonly [ours: Renamed, stored: keyof StoredValue])[] = [
  ['voters', 'seats'],
  ['previousVoters', 'prevSeats'],
  ['votersWanted', 'seatsWanted'],
  ['incarnations', 'eras'],
];
const toStoredName = new Map<string, string>(STORED_NAMES);
const fromStoredName = new Map<string, string>(STORED_NAMES.map(([ours, stored]) => [stored, ours]));

/** A copy with other field names, in the same order. */
function renamed(fields: object, names: Map<string, string>): object {
  return Object.fromEntries(Object.entries(fields).map(([name, field]) => [names.get(name) ?? name, field]));
}

/**
 * The stored form of a value.
 * @example
 * toStored(value).seats === value.voters
 */
export const toStored = (value: FleetValue): StoredValue => renamed(value, toStoredName) as StoredValue;

/**
 * The value in its stored form; `toStored` undone.
 * @example
 * fromStored(toStored(value)) // equal to value
 */
export const fromStored = (stored: StoredValue): FleetValue => renamed(stored, fromStoredName) as FleetValue;
