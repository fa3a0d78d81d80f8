import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as testing from "@peridotloft/testing";

/** How requests of one customer are spread over the VMs. */
export type Placement = "few VMs" | "all VMs";

export interface Arrival {
    readonly atMs: number;
    readonly vm: number;
    readonly customer: number;
    /** Actual cost of the request. */
    readonly cost: number;
    readonly durationMs: number;
}

export interface LimitsTrace {
    readonly vmCount: number;
    readonly fleet: document.FleetDocument;
    readonly arrivals: readonly Arrival[];
}

export interface TraceShape {
    readonly vmCount: number;
    readonly customerCount: number;
    readonly placement: Placement;
    readonly durationMs: number;
    readonly bucketsPerCustomer: number;
    readonly seed: number;
}

/** Requests per second that enter through one VM at the target scale of the design page. */
export const requestsPerVmPerS = 21;

const meanCost = 10;
/** Offered load of a customer relative to its rate; every tenth customer offers twice its rate. */
const offeredShare = 0.8;
const floodShare = 2;
const burstS = 4;
/** Minimum burst in requests, so that customers with little traffic can send two requests at the same time. */
const minBurstRequests = 8;
const maxRequestMs = 4_000;

/** Weights that decrease with the index: a few customers are large. */
const weightOf = (index: number): number => 1 / (index + 3);

/** Offered cost per second relative to the rate. */
const offeredShareOf = (customer: number): number => customer % 10 === 4 ? floodShare : offeredShare;

function createFleetDocument(shape: TraceShape, costPerS: readonly number[]): document.FleetDocument {
    const validated = document.validateDocument({
        version: 1,
        fleet: { bucketsPerCustomer: shape.bucketsPerCustomer },
        zones: [{ id: "a", region: "r" }],
        vms: Array.from({ length: shape.vmCount }, (_unused, index) => ({
            id: `vm-${index}`,
            zone: "a",
            peerAddress: `127.0.0.1:${7_000 + index}`,
        })),
        customers: costPerS.map((offered, index) => ({
            id: `customer-${index}`,
            rateCostPerS: offered / offeredShareOf(index),
            burstCost: Math.max(offered / offeredShareOf(index) * burstS, meanCost * minBurstRequests),
        })),
        pools: [{
            id: "p",
            kind: "engine",
            upstreams: [{ id: "e", zone: "a", url: "http://127.0.0.1:8101", slots: 1, coldSlots: 1 }],
        }],
    });
    return testing.expectOk(validated);
}

/** Creates a trace with exponential interarrival times. The same shape gives the same trace. */
export function createTrace(shape: TraceShape): LimitsTrace {
    const random = testing.createSeededRandom(shape.seed);
    const customers = Array.from({ length: shape.customerCount }, (_unused, index) => index);
    const totalWeight = customers.reduce((total, customer) => total + weightOf(customer), 0);
    const requestsPerS = requestsPerVmPerS * shape.vmCount;
    const share = (customer: number): number => weightOf(customer) / totalWeight;
    const fleet = createFleetDocument(shape, customers.map(customer => share(customer) * requestsPerS * meanCost));
    const pickVm = (customer: number): number => {
        // A customer with as much traffic as one VM enters through two VMs; one with little traffic enters through one.
        const entryCount = shape.placement === "all VMs"
            ? shape.vmCount
            : Math.min(shape.vmCount, Math.max(1, Math.round(share(customer) * shape.vmCount * 2)));
        return (customer * 7 + Math.floor(random() * entryCount)) % shape.vmCount;
    };
    const arrivals = customers.flatMap(customer => {
        const meanGapMs = 1_000 / (share(customer) * requestsPerS);
        const result: Arrival[] = [];
        for (let atMs = -Math.log(1 - random()) * meanGapMs; atMs < shape.durationMs;) {
            const cost = meanCost * (0.5 + random());
            result.push({ atMs, vm: pickVm(customer), customer, cost, durationMs: random() * maxRequestMs });
            atMs += -Math.log(1 - random()) * meanGapMs;
        }
        return result;
    }).sort((left, right) => left.atMs - right.atMs);
    return { vmCount: shape.vmCount, fleet, arrivals };
}

export const customerIdOf = (index: number): core.CustomerId => core.customerId(`customer-${index}`);
