/**
 * The agreed value in its stored and wire form. Its field names are those of the first release and must not change, so that voters' disks
 * and nodes of older versions remain compatible; the rest of the code uses the names of `FleetValue`.
 */
import type { FleetValue } from './fleet-value.js';

/** The fields of `FleetValue` whose stored name differs. */
type RenamedField = 'voters' | 'previousVoters' | 'votersWanted' | 'incarnations';

/** The agreed value with its stored field names. Fields that are unknown to this version are kept unchanged. */
export interface StoredValue extends Omit<FleetValue, RenamedField> {
  seats: FleetValue['voters'];
  prevSeats: FleetValue['previousVoters'];
  seatsWanted?: FleetValue['votersWanted'];
  eras: FleetValue['incarnations'];
}

/** Pairs of differing field names: the name in `FleetValue`, then the stored name. */
const STORED_NAMES: readonly (readonly [name: RenamedField, storedName: keyof StoredValue])[] = [
  ['voters', 'seats'],
  ['previousVoters', 'prevSeats'],
  ['votersWanted', 'seatsWanted'],
  ['incarnations', 'eras'],
];
const toStoredName = new Map<string, string>(STORED_NAMES);
const fromStoredName = new Map<string, string>(STORED_NAMES.map(([name, storedName]) => [storedName, name]));

/** A copy with the fields renamed, in the same order. */
function renameFields(fields: object, names: Map<string, string>): object {
  return Object.fromEntries(Object.entries(fields).map(([name, content]) => [names.get(name) ?? name, content]));
}

/**
 * Converts a value to its stored form.
 * @example
 * toStored(value).seats === value.voters
 */
export const toStored = (value: FleetValue): StoredValue => renameFields(value, toStoredName) as StoredValue;

/**
 * Converts a value from its stored form; the inverse of `toStored`.
 * @example
 * fromStored(toStored(value)) // equal to value
 */
export const fromStored = (stored: StoredValue): FleetValue => renameFields(stored, fromStoredName) as FleetValue;
