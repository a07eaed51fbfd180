/** The agreed value as text, for ballots, the wire and the voters' disks. */
import { pack, unpack } from '@harecross/kernel';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { fromStored, toStored, type StoredValue } from './stored-value.js';
import type { FleetValue } from './fleet-value.js';

/** Shorter texts stay as they are: there is nothing to gain. */
const FROM_CHARS = 1_024;
/** Fast: the best level makes a configuration a twentieth smaller and takes three times as long. */
const LEVEL = 1;
/** A text as devalue writes it begins with a bracket. */
const DEFLATED = 'z';

/** The text of each value that was written or read here: a value is never altered, so its text stays true. */
const texts = new WeakMap<FleetValue, string>();

/**
 * The text of a value, where it is known without writing it anew.
 * @example
 * textOf(fromText(s)) === s
 */
export const cachedText = (v: FleetValue): string | undefined => texts.get(v);

/**
 * Has a value that says the same as another have its text. Give only a copy in which no part says anything else.
 * @example
 * sameText({ ...v, config: equalConfig }, v)
 */
export function shareCachedText(copy: FleetValue, v: FleetValue): FleetValue {
  const text = texts.get(v);
  if (text !== undefined) texts.set(copy, text);
  return copy;
}

/**
 * A value as text, for the wire and the disk. Configurations say the same words again and again, so a long one is deflated.
 * @example
 * fromText(toText(value)); // the same value
 */
export function serializeValue(v: FleetValue): string {
  const known = texts.get(v);
  if (known !== undefined) return known;
  const packed = pack(toStored(v));
  const text =
    packed.length < FROM_CHARS ? packed : DEFLATED + deflateRawSync(packed, { level: LEVEL }).toString('base64');
  texts.set(v, text);
  return text;
}

/**
 * The value in a text; also in one of before texts were deflated.
 * @example
 * fromText(seat.value).version; // 4
 */
export function deserializeValue(s: string): FleetValue {
  const packed = s.startsWith(DEFLATED)
    ? inflateRawSync(Buffer.from(s.slice(DEFLATED.length), 'base64')).toString()
    : s;
  const value = fromStored(unpack(packed) as StoredValue);
  texts.set(value, s);
  return value;
}
