import type * as documents from "@peridotloft/document";
import { createHash } from "node:crypto";

/** Dimensions of one site of the design page that is started as real processes. */
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
/** Approximate number of prompt tokens that the stand-in engine counts for one request body. */
const promptTokens = 45;
export const meanCost = promptTokens + meanTokens;
export const maxCost = promptTokens + maxTokens;
// A timer of 12 ms fires after 12.6 ms on average on an idle machine.
const actualTokenPaceMs = tokenPaceMs + 0.6;

const customerCount = 16;
const largeCustomers = 3;
const largeWeight = 4;
/** Share of its rate limit that a customer uses under steady load. */
export const steadyRateShare = 0.7;
const burstS = 4;
/** Share of the slots in use under steady load. */
const steadySlotShare = 0.6;
const loanLifetimeMs = 2_000;

export const siteCustomers: readonly SiteCustomer[] = Array.from({ length: customerCount }, (_, index) => ({
    id: `customer-${index}`,
    apiKey: `bench-key-${index}`,
    weight: index < largeCustomers ? largeWeight : 1,
}));

const totalWeight = siteCustomers.reduce((sum, { weight }) => sum + weight, 0);

/** Requests per second that the site serves when every slot is in use. */
export const siteCapacityPerS = (site: ProcessSite): number =>
    site.engines * slotsPerEngine * 1_000 / (meanTokens * actualTokenPaceMs);

/** Requests per second of one customer under steady load. */
export const steadyRatePerS = (site: ProcessSite, customer: SiteCustomer): number =>
    siteCapacityPerS(site) * steadySlotShare * customer.weight / totalWeight;

/** Sets the customers of a site. With `rateFactor` above 1 the rate limits do not restrict an overload of the slots. */
export function withSiteCustomers(
    document: documents.FleetDocumentInput,
    site: ProcessSite,
    rateFactor: number,
): documents.FleetDocumentInput {
    return {
        ...document,
        fleet: { ...document.fleet, loanLifetimeMs },
        customers: siteCustomers.map(customer => {
            const rateCostPerS = rateFactor * meanCost * steadyRatePerS(site, customer) / steadyRateShare;
            return { id: customer.id, weight: customer.weight, rateCostPerS, burstCost: burstS * rateCostPerS };
        }),
        keys: siteCustomers.map(({ id, apiKey }, index) => ({
            id: `k${index}`,
            customer: id,
            sha256: createHash("sha256").update(apiKey).digest("hex"),
        })),
    };
}
