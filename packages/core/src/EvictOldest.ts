/** Removes the oldest entry of a map or set that has grown by one entry beyond `maxSize`. */
export function evictOldest<K>(entries: Map<K, unknown> | Set<K>, maxSize: number): void {
    const oldest = entries.keys().next();
    if (entries.size > maxSize && !oldest.done) {
        entries.delete(oldest.value);
    }
}
