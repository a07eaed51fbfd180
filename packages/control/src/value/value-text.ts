/** Serialization of the agreed value as text, for ballots, the wire and the voters' disks. */
import { pack, unpack } from '@harecross/kernel';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { fromStored, toStored, type StoredValue } from './stored-value.js';
import type { FleetValue } from './fleet-value.js';

/** Shorter texts are not compressed, as that would save nothing. */
const COMPRESSION_MIN_CHARS = 1_024;
/** The fastest level: the highest one makes a configuration 1/20 smaller, but takes 3 times as long. */
const DEFLATE_LEVEL = 1;
/** Marks a compressed text. An uncompressed one, written by devalue, starts with a bracket. */
const DEFLATED_PREFIX = 'z';

/** The text of each value that was serialized or deserialized here. Values are immutable, so the text stays valid. */
const texts = new WeakMap<FleetValue, string>();

/**
 * The text of a value, if it was serialized or deserialized here before.
 * @example
 * cachedText(deserializeValue(text)) === text
 */
export const cachedText = (v: FleetValue): string | undefined => texts.get(v);

/**
 * Caches the text of a value for a copy of it as well. The content of the copy must be equal in every part.
 * @example
 * shareCachedText({ ...value, config: equalConfig }, value)
 */
export function shareCachedText(copy: FleetValue, v: FleetValue): FleetValue {
  const text = texts.get(v);
  if (text !== undefined) texts.set(copy, text);
  return copy;
}

/**
 * Serializes a value for the wire and the disk. Long texts are deflated, because configurations are highly repetitive.
 * @example
 * deserializeValue(serializeValue(value)); // an equal value
 */
export function serializeValue(v: FleetValue): string {
  const cached = texts.get(v);
  if (cached !== undefined) return cached;
  const packed = pack(toStored(v));
  const text =
    packed.length < COMPRESSION_MIN_CHARS
      ? packed
      : DEFLATED_PREFIX + deflateRawSync(packed, { level: DEFLATE_LEVEL }).toString('base64');
  texts.set(v, text);
  return text;
}

/**
 * Deserializes a value; also accepts uncompressed texts of older versions.
 * @example
 * deserializeValue(store.acceptorState().value).version; // 4
 */
export function deserializeValue(text: string): FleetValue {
  const packed = text.startsWith(DEFLATED_PREFIX)
    ? inflateRawSync(Buffer.from(text.slice(DEFLATED_PREFIX.length), 'base64')).toString()
    : text;
  const value = fromStored(unpack(packed) as StoredValue);
  texts.set(value, text);
  return value;
}
