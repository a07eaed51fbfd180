/**
 * Finds every collection in a node's memory by walking its objects, so that unbounded growth is noticed in any of them without a list of
 * collections to check.
 */

/**
 * Fields that are not followed: they lead to the environment, into a library, or back to the kernel, from which each service is walked on
 * its own.
 */
const SKIPPED_FIELDS = new Set(['k', 'kernel', 'host', 'sql', 'db', 'clock', 'net', 'random', 'log', 'prepared', 'q']);
/** Greater than the depth of any state of a node. */
const MAX_DEPTH = 12;

const isRxjs = (x: object): boolean => 'subscribe' in x || 'unsubscribe' in x;

/**
 * Counts the entries of all maps, sets and arrays reachable from an object, by path. `[]` in a path stands for any entry of a collection; the
 * sizes of all collections with the same path are added up.
 * @example
 * collectionSizes(kernel).get('services[].members'); // 9
 */
export function collectionSizes(root: object): Map<string, number> {
  const sizes = new Map<string, number>();
  const visited = new Set<object>();
  const count = (path: string, size: number): void => {
    sizes.set(path, (sizes.get(path) ?? 0) + size);
  };
  const walk = (x: unknown, path: string, depth: number): void => {
    if (typeof x !== 'object' || x === null || visited.has(x) || depth > MAX_DEPTH) return;
    visited.add(x);
    if (x instanceof Map || x instanceof Set || Array.isArray(x)) {
      count(path, x instanceof Map || x instanceof Set ? x.size : x.length);
      for (const entry of x.values()) walk(entry, `${path}[]`, depth + 1);
      return;
    }
    if (ArrayBuffer.isView(x) || isPromise(x)) return;
    if (isRxjs(x)) {
      // For a subject the observers are counted, which shows code that subscribes repeatedly without unsubscribing.
      const observers = (x as { observers?: unknown[] }).observers;
      if (observers) count(`${path}.observers`, observers.length);
      walk((x as { _value?: unknown })._value, `${path}.value`, depth + 1);
      return;
    }
    for (const [key, field] of Object.entries(x))
      if (!SKIPPED_FIELDS.has(key)) walk(field, `${path}.${key}`, depth + 1);
  };
  walk(root, '', 0);
  return sizes;
}

function isPromise(x: object): boolean {
  return typeof (x as { then?: unknown }).then === 'function';
}
