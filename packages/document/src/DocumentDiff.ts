import type { FleetDocument } from "./FleetDocument.js";

/** One change between two versions of the document. */
export interface DocumentChange {
    /** Section of the document, such as `customers`. */
    readonly section: string;
    /** Id of the item, or the field's name for the section `fleet`. */
    readonly id: string;
    readonly kind: "added" | "removed" | "changed";
    /** Fields that differ, with their values before and after; empty for `added` and `removed`. */
    readonly fields: readonly FieldChange[];
}

export interface FieldChange {
    readonly field: string;
    readonly before: unknown;
    readonly after: unknown;
}

interface Item {
    readonly id: string;
}

// The hash of a key must not reach logs or the audit trail.
const hiddenFields = new Set(["sha256"]);

/** Lists what changes from one version of the document to another. Key hashes are not shown. */
export function diffDocuments(before: FleetDocument, after: FleetDocument): DocumentChange[] {
    return [
        ...diffItems("fleet", [{ id: "fleet", ...before.fleet }], [{ id: "fleet", ...after.fleet }]),
        ...diffItems("zones", before.zones, after.zones),
        ...diffItems("vms", before.vms, after.vms),
        ...diffItems("customers", before.customers, after.customers),
        ...diffItems("keys", before.keys, after.keys),
        ...diffItems("pools", before.pools.map(withoutUpstreams), after.pools.map(withoutUpstreams)),
        ...diffItems("upstreams", upstreamsOf(before), upstreamsOf(after)),
        ...diffItems("routes", before.routes, after.routes),
    ];
}

function withoutUpstreams(pool: FleetDocument["pools"][number]): Item {
    const { upstreams: _, ...rest } = pool;
    return rest;
}

function upstreamsOf(document: FleetDocument): Item[] {
    return document.pools.flatMap(pool => pool.upstreams.map(upstream => ({ ...upstream, pool: pool.id })));
}

function diffItems(section: string, before: readonly Item[], after: readonly Item[]): DocumentChange[] {
    const beforeById = new Map(before.map(item => [item.id, item]));
    const afterById = new Map(after.map(item => [item.id, item]));
    const removed = before
        .filter(item => !afterById.has(item.id))
        .map(item => ({ section, id: item.id, kind: "removed" as const, fields: [] }));
    const others = after.flatMap((item): DocumentChange[] => {
        const old = beforeById.get(item.id);
        if (!old) {
            return [{ section, id: item.id, kind: "added", fields: [] }];
        }
        const fields = diffFields(old, item);
        return fields.length > 0 ? [{ section, id: item.id, kind: "changed", fields }] : [];
    });
    return [...removed, ...others];
}

function diffFields(before: Item, after: Item): FieldChange[] {
    const left = before as unknown as Record<string, unknown>;
    const right = after as unknown as Record<string, unknown>;
    return [...new Set([...Object.keys(left), ...Object.keys(right)])]
        .filter(field => JSON.stringify(left[field]) !== JSON.stringify(right[field]))
        .map(field =>
            hiddenFields.has(field)
                ? { field, before: "(hidden)", after: "(hidden)" }
                : { field, before: left[field], after: right[field] }
        );
}

/** Says a change in words, such as `customers north-depot: burstCost 8000 -> 9000`. */
export function describeChange(change: DocumentChange): string {
    if (change.kind !== "changed") {
        return `${change.section} ${change.id}: ${change.kind}`;
    }
    const fields = change.fields
        .map(({ field, before, after }) => `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`)
        .join(", ");
    return `${change.section} ${change.id}: ${fields}`;
}
