import type * as core from "@peridotloft/core";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChatOutcome, FleetCaller } from "./FleetCaller.js";
import * as sites from "./FleetSites.js";

/** Chooses the router that a customer's next attempt goes to. */
export type PickRouter = (customer: sites.SiteCustomer) => string;

export interface LoadOptions {
    readonly caller: FleetCaller;
    readonly random: core.Random;
    readonly durationMs: number;
    readonly pickRouter: PickRouter;
    /** Receives each customer's service in tokens as it arrives. */
    onService?(customer: sites.SiteCustomer, cost: number): void;
}

let sentCount = 0;

function sendRandomRequest(options: LoadOptions, customer: sites.SiteCustomer): Promise<ChatOutcome> {
    const tokenRange = sites.maxTokens - sites.minTokens + 1;
    return options.caller.send({
        customer,
        text: `Night shift note ${customer.id}-${sentCount++}`,
        tokens: sites.minTokens + Math.floor(options.random() * tokenRange),
        pickRouter: () => options.pickRouter(customer),
        onService: cost => options.onService?.(customer, cost),
    });
}

/** Sends requests as a Poisson process with a mean rate for each customer, and waits for all outcomes. */
export async function runOpenLoop(
    options: LoadOptions,
    ratePerS: (customer: sites.SiteCustomer, elapsedMs: number) => number,
): Promise<ChatOutcome[]> {
    const startMs = performance.now();
    const outcomes = sites.siteCustomers.map(async customer => {
        const pendingOutcomes: Promise<ChatOutcome>[] = [];
        let dueMs = startMs;
        for (;;) {
            dueMs += -Math.log(1 - options.random()) * 1_000 / ratePerS(customer, dueMs - startMs);
            if (dueMs >= startMs + options.durationMs) {
                return Promise.all(pendingOutcomes);
            }
            await sleep(Math.max(0, dueMs - performance.now()));
            pendingOutcomes.push(sendRandomRequest(options, customer));
        }
    });
    return (await Promise.all(outcomes)).flat();
}

/** Keeps `outstanding(customer)` requests of each customer in flight. */
export async function runClosedLoop(
    options: LoadOptions,
    outstanding: (customer: sites.SiteCustomer) => number,
): Promise<ChatOutcome[]> {
    const endMs = performance.now() + options.durationMs;
    const runCaller = async (customer: sites.SiteCustomer): Promise<ChatOutcome[]> => {
        const callerOutcomes: ChatOutcome[] = [];
        while (performance.now() < endMs) {
            const outcome = await sendRandomRequest(options, customer);
            callerOutcomes.push(outcome);
            // The delay keeps retries of refused requests from adding load.
            await sleep(outcome.isComplete ? 0 : refusalDelayMs);
        }
        return callerOutcomes;
    };
    const callers = sites.siteCustomers.flatMap(customer =>
        Array.from({ length: outstanding(customer) }, () => runCaller(customer))
    );
    return (await Promise.all(callers)).flat();
}

const refusalDelayMs = 200;
