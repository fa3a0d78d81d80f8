import * as constants from "./DocumentConstants.js";
import { effectiveUpstreamState } from "./DocumentUtils.js";
import type { DocumentError } from "./DocumentValidator.js";
import type { Customer, FleetDocument, Pool } from "./FleetDocument.js";

/** What a valid document probably does not mean: an entry without effect, or limits that contradict each other. */
export type DocumentWarning = DocumentError;

/** Maximum number of names in a message. */
const maxNames = 3;

/** Lists what is suspect in a valid document. Routers accept it. */
export function findWarnings(document: FleetDocument): DocumentWarning[] {
    const keyHolders = new Set<string>(document.keys.map(key => key.customer));
    return [
        ...findIdleVms(document),
        ...findUnusedZones(document),
        ...document.customers.flatMap((customer, index) =>
            checkCustomer(document, customer, keyHolders, `customers[${index}]`)
        ),
        ...document.pools.flatMap((pool, index) => checkPool(document, pool, `pools[${index}]`)),
        ...findSharedUrls(document),
        ...findUnmatchedPaths(document),
        ...checkIdempotencyWindow(document),
    ];
}

const warnIf = (condition: boolean, path: string, message: string): DocumentWarning[] =>
    condition ? [{ path, message }] : [];

function findIdleVms({ vms }: FleetDocument): DocumentWarning[] {
    return warnIf(vms.every(({ state }) => state !== "in-service"), "vms", "no VM is in service");
}

function findUnusedZones({ zones, vms, pools }: FleetDocument): DocumentWarning[] {
    const used = new Set<string>([...vms, ...pools.flatMap(({ upstreams }) => upstreams)].map(({ zone }) => zone));
    return zones.flatMap(({ id }, index) =>
        warnIf(!used.has(id), `zones[${index}]`, `availability zone '${id}' has no VM and no upstream`)
    );
}

function checkCustomer(
    { routes }: FleetDocument,
    { id, burstCost }: Customer,
    keyHolders: ReadonlySet<string>,
    path: string,
): DocumentWarning[] {
    const tooDear = routes.filter(({ cost }) => cost > burstCost);
    return [
        ...warnIf(!keyHolders.has(id), path, `customer '${id}' has no key, so that no request is its own`),
        ...warnIf(
            tooDear.length > 0,
            `${path}.burstCost`,
            `is ${burstCost}, below the cost of one request of ${
                formatNames("route", tooDear)
            }: all of them are refused`,
        ),
    ];
}

function checkPool(document: FleetDocument, pool: Pool, path: string): DocumentWarning[] {
    const { id, kind, models, upstreams, deadlineMs, firstByteTimeoutMs, idleTimeoutMs } = pool;
    const isUsed = document.routes.some(route => route.pool === id) || (kind === "engine" && models.length > 0);
    const isServing = upstreams.some(upstream => effectiveUpstreamState(document, upstream) === "in-service");
    // The default is no contradiction: a document may state a deadline alone.
    const isEndless = (timeoutMs: number): boolean =>
        timeoutMs > deadlineMs && timeoutMs !== constants.defaultUpstreamTimeoutMs;
    const endless = `is longer than deadlineMs (${deadlineMs}), so that it never ends a request`;
    return [
        ...warnIf(!isUsed, path, `pool '${id}' has no route${kind === "engine" ? " and no model" : ""}`),
        ...warnIf(
            kind === "service" && models.length > 0,
            `${path}.models`,
            "has no effect: only pools of the kind 'engine' serve models",
        ),
        ...warnIf(
            !isServing,
            `${path}.upstreams`,
            `no upstream of pool '${id}' and its availability zone are in service`,
        ),
        ...warnIf(isEndless(firstByteTimeoutMs), `${path}.firstByteTimeoutMs`, endless),
        ...warnIf(isEndless(idleTimeoutMs), `${path}.idleTimeoutMs`, endless),
    ];
}

/** The slots of two upstreams at one URL add up, although one process has to run them. */
function findSharedUrls({ pools }: FleetDocument): DocumentWarning[] {
    const upstreams = pools.flatMap((pool, poolIndex) =>
        pool.upstreams.map(({ id, url }, index) => ({ id, url, path: `pools[${poolIndex}].upstreams[${index}].url` }))
    );
    const firstByUrl = new Map([...upstreams].reverse().map(upstream => [upstream.url, upstream]));
    return upstreams.flatMap(upstream => {
        const first = firstByUrl.get(upstream.url);
        return first === undefined || first === upstream
            ? []
            : [{ path: upstream.path, message: `is also that of upstream '${first.id}': the slots of both add up` }];
    });
}

/** Characters that callers encode in a path, and segments that they resolve. */
const unmatchedPath = /[^\u0021-\u007e]|\/\.\.?(\/|$)/;

function findUnmatchedPaths({ routes }: FleetDocument): DocumentWarning[] {
    return routes.flatMap(({ path }, index) =>
        warnIf(
            unmatchedPath.test(path),
            `routes[${index}].path`,
            `'${path}' matches no request: callers send it encoded, or without its '.' and '..'`,
        )
    );
}

function checkIdempotencyWindow({ fleet, pools, routes }: FleetDocument): DocumentWarning[] {
    const longer = pools.filter(({ id, deadlineMs }) =>
        deadlineMs > fleet.idempotencyWindowMs && routes.some(route => route.pool === id && !route.idempotent)
    );
    return warnIf(
        longer.length > 0,
        "fleet.idempotencyWindowMs",
        `is shorter than deadlineMs of ${formatNames("pool", longer)}: a request may outlast the time in which its key `
            + "may be sent again",
    );
}

function formatNames(label: string, items: readonly { readonly id: string; }[]): string {
    const names = items.slice(0, maxNames).map(({ id }) => `'${id}'`).join(", ");
    const others = items.length > maxNames ? ` and ${items.length - maxNames} more` : "";
    return `${label}${items.length > 1 ? "s" : ""} ${names}${others}`;
}
