import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** Wire form of a list: the list itself, or its JSON deflated and encoded in base64. */
export type CompressedList<T> = T[] | string;

/** Lists with a shorter JSON text are sent uncompressed, since compression saves little. */
const MIN_COMPRESSED_CHARS = 512;
/** Fast and with little memory: lists are about ten KiB long and are compressed often. */
const DEFLATE_OPTIONS = { level: 1, windowBits: 13, memLevel: 6 };
/** Limit on the inflated JSON. No node sends a list longer than this, so a longer one is rejected. */
const MAX_INFLATED_BYTES = 16 * 1024 * 1024;

/**
 * Compresses a list of plain records for sending. The records repeat the same strings, so deflating reduces a long list to about a
 * fifth. Short lists are returned unchanged.
 * @example
 * kernel.call(peer, 'Mend', { items: compressList(facts) });
 */
export function compressList<T>(list: T[]): CompressedList<T> {
  const json = JSON.stringify(list);
  return json.length < MIN_COMPRESSED_CHARS ? list : deflateRawSync(json, DEFLATE_OPTIONS).toString('base64');
}

/**
 * Reverses `compressList`. Throws if a text is not a compressed list.
 * @example
 * context.storeAll(decompressList(request.items));
 */
export function decompressList<T>(list: CompressedList<T>): T[] {
  if (typeof list !== 'string') return list;
  const json = inflateRawSync(Buffer.from(list, 'base64'), { maxOutputLength: MAX_INFLATED_BYTES }).toString();
  return JSON.parse(json) as T[];
}
