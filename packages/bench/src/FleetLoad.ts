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
    /** Told of each customer's service in tokens as it arrives. */
    onService?(customer: sites.SiteCustomer, cost: number): void;
}

let sent = 0;

function sendOne(options: LoadOptions, customer: sites.SiteCustomer): Promise<ChatOutcome> {
    const span = sites.maxTokens - sites.minTokens + 1;
    return options.caller.send({
        customer,
        text: `Night shift note ${customer.id}-${sent++}`,
        tokens: sites.minTokens + Math.floor(options.random() * span),
        pickRouter: () => options.pickRouter(customer),
        onService: cost => options.onService?.(customer, cost),
    });
}

/** Sends requests at random times with a mean rate for each customer, and waits for the answers. */
export async function runOpenLoop(
    options: LoadOptions,
    ratePerS: (customer: sites.SiteCustomer, elapsedMs: number) => number,
): Promise<ChatOutcome[]> {
    const startMs = performance.now();
    const outcomes = sites.siteCustomers.map(async customer => {
        const running: Promise<ChatOutcome>[] = [];
        let dueMs = startMs;
        for (;;) {
            dueMs += -Math.log(1 - options.random()) * 1_000 / ratePerS(customer, dueMs - startMs);
            if (dueMs >= startMs + options.durationMs) {
                return Promise.all(running);
            }
            await sleep(Math.max(0, dueMs - performance.now()));
            running.push(sendOne(options, customer));
        }
    });
    return (await Promise.all(outcomes)).flat();
}

/** Keeps `outstanding(customer)` requests of every customer waiting or running. */
export async function runClosedLoop(
    options: LoadOptions,
    outstanding: (customer: sites.SiteCustomer) => number,
): Promise<ChatOutcome[]> {
    const endMs = performance.now() + options.durationMs;
    const loop = async (customer: sites.SiteCustomer): Promise<ChatOutcome[]> => {
        const done: ChatOutcome[] = [];
        while (performance.now() < endMs) {
            const outcome = await sendOne(options, customer);
            done.push(outcome);
            // A refused caller waits, so that refusals do not become a second load.
            await sleep(outcome.isComplete ? 0 : refusedPauseMs);
        }
        return done;
    };
    const loops = sites.siteCustomers.flatMap(customer =>
        Array.from({ length: outstanding(customer) }, () => loop(customer))
    );
    return (await Promise.all(loops)).flat();
}

const refusedPauseMs = 200;
