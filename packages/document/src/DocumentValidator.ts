import { err, ok, type Result } from "neverthrow";
import * as constants from "./DocumentConstants.js";
import { type FleetDocument, fleetDocumentSchema } from "./FleetDocument.js";

/** A validation error. */
export interface DocumentError {
    /** Path of the field, such as `customers[2].burstCost`; empty for the document as a whole. */
    readonly path: string;
    readonly message: string;
}

/** Formats the path of a field, such as `customers[2].burstCost`. */
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
 * @returns the document, or all errors of the first stage that failed: size, JSON syntax, schema, references.
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

/** Validates a parsed JSON value: the schema first, then uniqueness and references between sections. */
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
        ...findDuplicates("zones", document.zones, zone => zone.id, "availability zone"),
        ...findDuplicates("vms", document.vms, vm => vm.id, "VM"),
        ...findDuplicates("vms", document.vms, vm => vm.peerAddress, "peer address", "peerAddress"),
        ...findDuplicates("customers", document.customers, customer => customer.id, "customer"),
        ...findDuplicates("keys", document.keys, key => key.id, "key"),
        ...findDuplicates("keys", document.keys, key => key.sha256, "key hash", "sha256"),
        ...findDuplicates("pools", document.pools, pool => pool.id, "pool"),
        ...findDuplicates("routes", document.routes, route => route.id, "route"),
        ...findDuplicates("routes", document.routes, route => `${route.method} ${route.path}`, "route", "path"),
        ...findUnknownReferences("vms", document.vms, "zone", vm => vm.zone, zones, "availability zone"),
        ...findUnknownReferences("keys", document.keys, "customer", key => key.customer, customers, "customer"),
        ...findUnknownReferences("routes", document.routes, "pool", route => route.pool, pools, "pool"),
        ...checkVms(document),
        ...checkPools(document, zones),
        ...checkRoutes(document),
    ];
}

function findDuplicates<T>(
    section: string,
    items: readonly T[],
    valueOf: (item: T) => string,
    itemName: string,
    field = "id",
): DocumentError[] {
    const firstIndexByValue = new Map<string, number>();
    return items.flatMap((item, index) => {
        const value = valueOf(item);
        const earlier = firstIndexByValue.get(value);
        if (earlier === undefined) {
            firstIndexByValue.set(value, index);
            return [];
        }
        return [{
            path: `${section}[${index}].${field}`,
            message: `${itemName} '${value}' is already used by ${section}[${earlier}]`,
        }];
    });
}

function findUnknownReferences<T>(
    section: string,
    items: readonly T[],
    field: string,
    valueOf: (item: T) => string,
    existing: ReadonlySet<string>,
    itemName: string,
): DocumentError[] {
    return items.flatMap((item, index) => {
        const value = valueOf(item);
        return existing.has(value) ? [] : [{
            path: `${section}[${index}].${field}`,
            message: `${itemName} '${value}' does not exist`,
        }];
    });
}

function checkVms(document: FleetDocument): DocumentError[] {
    const joinedVersionErrors = document.vms.flatMap((vm, index) =>
        vm.joinedVersion <= document.version ? [] : [{
            path: `vms[${index}].joinedVersion`,
            message: `is ${vm.joinedVersion}, later than the document's version ${document.version}`,
        }]
    );
    const allRetired = document.vms.every(vm => vm.state === "retired");
    return allRetired ? [...joinedVersionErrors, { path: "vms", message: "all VMs are retired" }] : joinedVersionErrors;
}

function checkPools(document: FleetDocument, zones: ReadonlySet<string>): DocumentError[] {
    const upstreams = document.pools.flatMap((pool, poolIndex) =>
        pool.upstreams.map((upstream, index) => ({ upstream, path: `pools[${poolIndex}].upstreams[${index}]` }))
    );
    const pathByUpstream = new Map<string, string>();
    const poolByModel = new Map<string, string>();
    return [
        ...upstreams.flatMap(({ upstream, path }) => {
            const earlier = pathByUpstream.get(upstream.id);
            pathByUpstream.set(upstream.id, path);
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
                const earlier = poolByModel.get(model);
                poolByModel.set(model, pool.id);
                return earlier === undefined ? [] : [{
                    path: `pools[${poolIndex}].models[${index}]`,
                    message: `model '${model}' is already served by pool '${earlier}'`,
                }];
            })
        ),
    ];
}

function checkRoutes(document: FleetDocument): DocumentError[] {
    const reservedPaths = ["/v1/chat/completions", "/v1/models", "/v1/operations"];
    return document.routes.flatMap((route, index) =>
        reservedPaths.includes(route.path)
            ? [{ path: `routes[${index}].path`, message: `'${route.path}' is reserved` }]
            : []
    );
}
