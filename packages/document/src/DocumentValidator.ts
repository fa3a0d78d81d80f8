import { err, ok, type Result } from "neverthrow";
import * as constants from "./DocumentConstants.js";
import { type FleetDocument, fleetDocumentSchema } from "./FleetDocument.js";

/** One fault of a document. */
export interface DocumentError {
    /** Path of the field, such as `customers[2].burstCost`; empty for the document as a whole. */
    readonly path: string;
    readonly message: string;
}

/** Formats a path as `customers[2].burstCost`. */
export function formatPath(path: readonly PropertyKey[]): string {
    return path.reduce<string>((text, part) => {
        if (typeof part === "number") {
            return `${text}[${part}]`;
        }
        return text === "" ? String(part) : `${text}.${String(part)}`;
    }, "");
}

/**
 * Parses and validates the JSON text of a document.
 *
 * @returns the document, or every fault that was found.
 */
export function parseDocument(text: string): Result<FleetDocument, readonly DocumentError[]> {
    const sizeBytes = Buffer.byteLength(text);
    if (sizeBytes > constants.maxDocumentBytes) {
        return err([{ path: "", message: `is ${sizeBytes} bytes; the limit is ${constants.maxDocumentBytes}` }]);
    }
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        return err([{ path: "", message: `is not JSON: ${(error as Error).message}` }]);
    }
    return validateDocument(value);
}

/** Validates a document that has been parsed as JSON: shapes first, then references between sections. */
export function validateDocument(value: unknown): Result<FleetDocument, readonly DocumentError[]> {
    const parsed = fleetDocumentSchema.safeParse(value);
    if (!parsed.success) {
        return err(parsed.error.issues.map(issue => ({ path: formatPath(issue.path), message: issue.message })));
    }
    const errors = checkReferences(parsed.data);
    return errors.length > 0 ? err(errors) : ok(parsed.data);
}

function checkReferences(document: FleetDocument): DocumentError[] {
    const zones = new Set<string>(document.zones.map(zone => zone.id));
    const customers = new Set<string>(document.customers.map(customer => customer.id));
    const pools = new Set<string>(document.pools.map(pool => pool.id));
    return [
        ...findRepeated("zones", document.zones, zone => zone.id, "availability zone"),
        ...findRepeated("vms", document.vms, vm => vm.id, "VM"),
        ...findRepeated("vms", document.vms, vm => vm.peerAddress, "peer address", "peerAddress"),
        ...findRepeated("customers", document.customers, customer => customer.id, "customer"),
        ...findRepeated("keys", document.keys, key => key.id, "key"),
        ...findRepeated("keys", document.keys, key => key.sha256, "key hash", "sha256"),
        ...findRepeated("pools", document.pools, pool => pool.id, "pool"),
        ...findRepeated("routes", document.routes, route => route.id, "route"),
        ...findRepeated("routes", document.routes, route => `${route.method} ${route.path}`, "route", "path"),
        ...findUnknown("vms", document.vms, "zone", vm => vm.zone, zones, "availability zone"),
        ...findUnknown("keys", document.keys, "customer", key => key.customer, customers, "customer"),
        ...findUnknown("routes", document.routes, "pool", route => route.pool, pools, "pool"),
        ...checkVms(document),
        ...checkPools(document, zones),
        ...checkRoutes(document),
    ];
}

function findRepeated<T>(
    section: string,
    items: readonly T[],
    valueOf: (item: T) => string,
    what: string,
    field = "id",
): DocumentError[] {
    const first = new Map<string, number>();
    return items.flatMap((item, index) => {
        const value = valueOf(item);
        const earlier = first.get(value);
        if (earlier === undefined) {
            first.set(value, index);
            return [];
        }
        return [{
            path: `${section}[${index}].${field}`,
            message: `${what} '${value}' is already used by ${section}[${earlier}]`,
        }];
    });
}

function findUnknown<T>(
    section: string,
    items: readonly T[],
    field: string,
    valueOf: (item: T) => string,
    known: ReadonlySet<string>,
    what: string,
): DocumentError[] {
    return items.flatMap((item, index) => {
        const value = valueOf(item);
        return known.has(value) ? [] : [{
            path: `${section}[${index}].${field}`,
            message: `${what} '${value}' does not exist`,
        }];
    });
}

function checkVms(document: FleetDocument): DocumentError[] {
    const future = document.vms.flatMap((vm, index) =>
        vm.joinedVersion <= document.version ? [] : [{
            path: `vms[${index}].joinedVersion`,
            message: `is ${vm.joinedVersion}, later than the document's version ${document.version}`,
        }]
    );
    const allRetired = document.vms.every(vm => vm.state === "retired");
    return allRetired ? [...future, { path: "vms", message: "all VMs are retired" }] : future;
}

function checkPools(document: FleetDocument, zones: ReadonlySet<string>): DocumentError[] {
    const upstreams = document.pools.flatMap((pool, poolIndex) =>
        pool.upstreams.map((upstream, index) => ({ upstream, path: `pools[${poolIndex}].upstreams[${index}]` }))
    );
    const seen = new Map<string, string>();
    const modelOwners = new Map<string, string>();
    return [
        ...upstreams.flatMap(({ upstream, path }) => {
            const earlier = seen.get(upstream.id);
            seen.set(upstream.id, path);
            return [
                ...(earlier === undefined
                    ? []
                    : [{ path: `${path}.id`, message: `upstream '${upstream.id}' is already used by ${earlier}` }]),
                ...(zones.has(upstream.zone)
                    ? []
                    : [{ path: `${path}.zone`, message: `availability zone '${upstream.zone}' does not exist` }]),
                ...(upstream.coldSlots <= upstream.slots
                    ? []
                    : [{ path: `${path}.coldSlots`, message: `is larger than slots (${upstream.slots})` }]),
            ];
        }),
        ...document.pools.flatMap((pool, poolIndex) =>
            pool.models.flatMap((model, index) => {
                const earlier = modelOwners.get(model);
                modelOwners.set(model, pool.id);
                return earlier === undefined ? [] : [{
                    path: `pools[${poolIndex}].models[${index}]`,
                    message: `model '${model}' is already served by pool '${earlier}'`,
                }];
            })
        ),
    ];
}

function checkRoutes(document: FleetDocument): DocumentError[] {
    const reserved = ["/v1/chat/completions", "/v1/models", "/v1/operations"];
    return document.routes.flatMap((route, index) =>
        reserved.includes(route.path)
            ? [{ path: `routes[${index}].path`, message: `'${route.path}' is reserved` }]
            : []
    );
}
