import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";

/** Dimensions of one measured site. */
export interface Site {
    readonly name: string;
    readonly vms: number;
    readonly zones: number;
    readonly engines: number;
    readonly slots: number;
    readonly customers: number;
    /** Minimum one-way delay between VMs in ms; jitter adds up to the same time. */
    readonly oneWayDelayMs: number;
}

export const lantern: Site = {
    name: "Lantern",
    vms: 9,
    zones: 3,
    engines: 13,
    slots: 8,
    customers: 16,
    oneWayDelayMs: 0.5,
};

export const canelones: Site = {
    name: "Canelones",
    vms: 6,
    zones: 4,
    engines: 6,
    slots: 8,
    customers: 16,
    oneWayDelayMs: 1.5,
};

export const deadlineMs = 8_000;
export const meanCost = 150;
const msPerCost = 3;
/** Mean time in ms for which a request occupies a slot. */
export const meanRunMs = meanCost * msPerCost + 30;
export const pool = core.poolId("assistant");

export const customerIdOf = (index: number): core.CustomerId => core.customerId(`c${index}`);

/** Requests per second that the site can serve when all engines are warm. */
export const capacityPerS = (site: Site): number => site.engines * site.slots * 1_000 / meanRunMs;

export function createSiteDocument(site: Site): documents.FleetDocument {
    const list = <T>(length: number, create: (index: number) => T): T[] =>
        Array.from({ length }, (_, index) => create(index));
    return documents.fleetDocumentSchema.parse({
        version: 1,
        zones: list(site.zones, index => ({ id: `z${index}`, region: "r" })),
        vms: list(site.vms, index => ({
            id: `vm-${index}`,
            zone: `z${index % site.zones}`,
            peerAddress: `127.0.0.1:${10_000 + index}`,
        })),
        customers: list(site.customers, index => ({ id: customerIdOf(index), rateCostPerS: 1, burstCost: 1 })),
        pools: [{
            id: pool,
            kind: "engine",
            deadlineMs,
            upstreams: list(site.engines, index => ({
                id: `e${index}`,
                zone: `z${index % site.zones}`,
                url: `http://127.0.0.1:${20_000 + index}`,
                slots: site.slots,
                coldSlots: 1,
            })),
        }],
    });
}

/** One request of a trace. */
export interface Arrival {
    readonly atMs: number;
    readonly vm: number;
    readonly customer: number;
    readonly cost: number;
    readonly workMs: number;
}

/** Load of one customer. */
export interface Load {
    readonly customer: number;
    readonly requestsPerS: number;
    /** Share of requests that enter through the customer's primary VM; the others enter through a random VM. */
    readonly primaryVmShare: number;
}

/** Three large customers send 60% of the load, and each customer uses mainly one VM. */
export function nominalLoads(site: Site, share: number): Load[] {
    const totalRequestsPerS = capacityPerS(site) * share;
    const large = Math.min(3, site.customers - 1);
    return Array.from({ length: site.customers }, (_, customer) => ({
        customer,
        requestsPerS: customer < large
            ? totalRequestsPerS * 0.6 / large
            : totalRequestsPerS * 0.4 / (site.customers - large),
        primaryVmShare: 0.7,
    }));
}

export function createTrace(site: Site, loads: readonly Load[], untilMs: number, random: core.Random): Arrival[] {
    const arrivals = loads.flatMap(({ customer, requestsPerS, primaryVmShare }) => {
        const customerArrivals: Arrival[] = [];
        for (let atMs = 0; atMs < untilMs;) {
            atMs += -Math.log(1 - random()) * 1_000 / requestsPerS;
            const cost = Math.round(meanCost * (0.4 + 1.2 * random()));
            const vm = random() < primaryVmShare ? customer % site.vms : Math.floor(random() * site.vms);
            customerArrivals.push({ atMs, vm, customer, cost, workMs: cost * msPerCost });
        }
        return customerArrivals;
    });
    return arrivals.sort((left, right) => left.atMs - right.atMs);
}
