type JsonObject = Record<string, unknown>;
interface Item extends JsonObject {
    readonly id: string;
}

/**
 * The difference between two JSON values.
 *
 * - `r`: the new value, which replaces the old one.
 * - `o`, `d`: for an object, patches by field and names of deleted fields.
 * - `a`, `d`, `i`: for an array of items with ids, patches by id, ids of deleted items, and inserted items with their
 *   index in the result.
 */
export interface JsonPatch {
    readonly r?: unknown;
    readonly o?: Readonly<Record<string, JsonPatch>>;
    readonly a?: Readonly<Record<string, JsonPatch>>;
    readonly d?: readonly string[];
    readonly i?: readonly (readonly [number, unknown])[];
}

/** Returns the patch from `before` to `after`; undefined if they are equal. Changes of the items' order are ignored. */
export function diffJson(before: unknown, after: unknown): JsonPatch | undefined {
    if (isItemList(before) && isItemList(after)) {
        return diffItems(before, after);
    }
    if (isObject(before) && isObject(after)) {
        return diffObjects(before, after);
    }
    return JSON.stringify(before) === JSON.stringify(after) ? undefined : { r: after };
}

/** Applies a patch to a copy. Never throws: a patch made for another value produces an unspecified result. */
export function applyJson(before: unknown, patch: JsonPatch): unknown {
    if (patch.o !== undefined && isObject(before)) {
        const { o: fields, d: deleted = [] } = patch;
        const kept = Object.entries(before).filter(([name]) => !deleted.includes(name));
        const patched = kept.map(([name, value]) => [name, applyNamedPatch(fields, name, value)]);
        const added = Object.entries(fields).filter(([name]) => !Object.hasOwn(before, name));
        return Object.fromEntries([...patched, ...added.map(([name, field]) => [name, field.r])]);
    }
    if (patch.a !== undefined && isItemList(before)) {
        return applyItems(before, patch.a, patch);
    }
    return patch.r;
}

function applyNamedPatch(patches: Readonly<Record<string, JsonPatch>>, name: string, value: unknown): unknown {
    const patch = Object.hasOwn(patches, name) ? patches[name] : undefined;
    return patch ? applyJson(value, patch) : value;
}

function applyItems(
    before: readonly Item[],
    patches: Readonly<Record<string, JsonPatch>>,
    patch: JsonPatch,
): unknown[] {
    const deleted = new Set(patch.d ?? []);
    const items: unknown[] = before.filter(item => !deleted.has(item.id)).map(item =>
        applyNamedPatch(patches, item.id, item)
    );
    (patch.i ?? []).forEach(([position, item]) => items.splice(position, 0, item));
    return items;
}

function diffItems(before: readonly Item[], after: readonly Item[]): JsonPatch | undefined {
    const beforeById = new Map(before.map(item => [item.id, item]));
    const kept = new Set(after.map(item => item.id));
    const changed = after.flatMap((item): [string, JsonPatch][] => {
        const previous = beforeById.get(item.id);
        const patch = previous && diffJson(previous, item);
        return patch ? [[item.id, patch]] : [];
    });
    const deleted = before.map(item => item.id).filter(id => !kept.has(id));
    const inserted = after.flatMap((item, index): [number, Item][] => beforeById.has(item.id) ? [] : [[index, item]]);
    if (changed.length + deleted.length + inserted.length === 0) {
        return undefined;
    }
    return { a: Object.fromEntries(changed), ...nonEmptyField("d", deleted), ...nonEmptyField("i", inserted) };
}

function diffObjects(before: JsonObject, after: JsonObject): JsonPatch | undefined {
    const changed = Object.entries(after).flatMap(([name, value]): [string, JsonPatch][] => {
        const patch = Object.hasOwn(before, name) ? diffJson(before[name], value) : { r: value };
        return patch ? [[name, patch]] : [];
    });
    const deleted = Object.keys(before).filter(name => !Object.hasOwn(after, name));
    if (changed.length + deleted.length === 0) {
        return undefined;
    }
    return { o: Object.fromEntries(changed), ...nonEmptyField("d", deleted) };
}

function nonEmptyField<T>(name: "d" | "i", items: readonly T[]): Record<string, readonly T[]> {
    return items.length > 0 ? { [name]: items } : {};
}

function isObject(value: unknown): value is JsonObject {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function isItemList(value: unknown): value is readonly Item[] {
    return Array.isArray(value) && value.every(item => isObject(item) && typeof item["id"] === "string")
        && new Set(value.map(item => (item as Item).id)).size === value.length;
}
