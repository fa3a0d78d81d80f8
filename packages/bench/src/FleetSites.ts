import type * as documents from "@peridotloft/document";
import { createHash } from "node:crypto";

/** Sizes of one site of the design page that is started as real processes. */
export interface ProcessSite {
    readonly name: string;
    readonly zones: readonly string[];
    readonly routers: number;
    readonly engines: number;
}

export interface SiteCustomer {
    readonly id: string;
    readonly apiKey: string;
    readonly weight: number;
}

export const processSites: readonly ProcessSite[] = [
    { name: "Lantern", zones: ["a", "b", "c"], routers: 9, engines: 13 },
    { name: "Canelones", zones: ["las-piedras", "pando", "santa-lucia", "la-paz"], routers: 6, engines: 6 },
];

export const slotsPerEngine = 8;
export const tokenPaceMs = 12;
export const minTokens = 20;
export const maxTokens = 60;
const meanTokens = (minTokens + maxTokens) / 2;
/** Prompt tokens that the stand-in engine counts for the body of one request, about. */
const promptTokens = 45;
export const meanCost = promptTokens + meanTokens;
export const maxCost = promptTokens + maxTokens;
// A timer of 12 ms fires after 12.6 ms on average on an idle machine.
const timerPaceMs = tokenPaceMs + 0.6;

const customerCount = 16;
const largeCustomers = 3;
const largeWeight = 4;
/** Share of a customer's rate that it uses under steady load. */
export const rateUse = 0.7;
const burstS = 4;
const steadyUse = 0.6;
const loanLifetimeMs = 2_000;

export const siteCustomers: readonly SiteCustomer[] = Array.from({ length: customerCount }, (_, index) => ({
    id: `customer-${index}`,
    apiKey: `bench-key-${index}`,
    weight: index < largeCustomers ? largeWeight : 1,
}));

const totalWeight = siteCustomers.reduce((sum, { weight }) => sum + weight, 0);

/** Requests per second that the site serves when every slot is in use. */
export const siteCapacityPerS = (site: ProcessSite): number =>
    site.engines * slotsPerEngine * 1_000 / (meanTokens * timerPaceMs);

/** Requests per second of one customer under steady load. */
export const steadyRatePerS = (site: ProcessSite, customer: SiteCustomer): number =>
    siteCapacityPerS(site) * steadyUse * customer.weight / totalWeight;

/** Sets the customers of a site. `rateFactor` above 1 keeps the rates from limiting an overload of the slots. */
export function withCustomers(
    document: documents.FleetDocumentInput,
    site: ProcessSite,
    rateFactor: number,
): documents.FleetDocumentInput {
    return {
        ...document,
        fleet: { ...document.fleet, loanLifetimeMs },
        customers: siteCustomers.map(customer => {
            const rateCostPerS = rateFactor * meanCost * steadyRatePerS(site, customer) / rateUse;
            return { id: customer.id, weight: customer.weight, rateCostPerS, burstCost: burstS * rateCostPerS };
        }),
        keys: siteCustomers.map(({ id, apiKey }, index) => ({
            id: `k${index}`,
            customer: id,
            sha256: createHash("sha256").update(apiKey).digest("hex"),
        })),
    };
}
