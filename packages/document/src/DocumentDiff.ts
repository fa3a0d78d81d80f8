import type { FleetDocument } from "./FleetDocument.js";

/** One change between two versions of the document. */
export interface DocumentChange {
    /** Top-level field of the document, such as `customers`. */
    readonly section: string;
    /** Id of the item; `fleet` for the section `fleet`, which has no items. */
    readonly id: string;
    readonly kind: "added" | "removed" | "changed";
    /** Fields that differ; empty for `added` and `removed`. */
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

// Key hashes must not appear in logs or in the audit trail.
const redactedFields = new Set(["sha256"]);

/** Lists the changes between two versions of the document. Values of key hashes are redacted. */
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
    const addedOrChanged = after.flatMap((item): DocumentChange[] => {
        const previous = beforeById.get(item.id);
        if (!previous) {
            return [{ section, id: item.id, kind: "added", fields: [] }];
        }
        const fields = diffFields(previous, item);
        return fields.length > 0 ? [{ section, id: item.id, kind: "changed", fields }] : [];
    });
    return [...removed, ...addedOrChanged];
}

function diffFields(before: Item, after: Item): FieldChange[] {
    const beforeFields = before as unknown as Record<string, unknown>;
    const afterFields = after as unknown as Record<string, unknown>;
    return [...new Set([...Object.keys(beforeFields), ...Object.keys(afterFields)])]
        .filter(field => JSON.stringify(beforeFields[field]) !== JSON.stringify(afterFields[field]))
        .map(field =>
            redactedFields.has(field)
                ? { field, before: "(hidden)", after: "(hidden)" }
                : { field, before: beforeFields[field], after: afterFields[field] }
        );
}

/** Formats a change as text, such as `customers north-depot: burstCost 8000 -> 9000`. */
export function describeChange(change: DocumentChange): string {
    if (change.kind !== "changed") {
        return `${change.section} ${change.id}: ${change.kind}`;
    }
    const fields = change.fields
        .map(({ field, before, after }) => `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`)
        .join(", ");
    return `${change.section} ${change.id}: ${fields}`;
}
