import * as core from "@peridotloft/core";
import type { DocumentSlices } from "./DocumentSlices.js";

/**
 * Stands for slices that `read` returns later. Before that their status is empty, and using them otherwise is a
 * programmer error: requests are refused until a document is held.
 */
export function deferSlices(read: () => DocumentSlices | undefined): Omit<DocumentSlices, "dispose"> {
    const need = (): DocumentSlices => {
        const slices = read();
        core.invariant(slices, "a document is held");
        return slices;
    };
    const dispose = (): void => undefined;
    return {
        limiter: {
            admit: (customer, estimatedCost) => need().limiter.admit(customer, estimatedCost),
            estimateCost: (customer, maxCost) => need().limiter.estimateCost(customer, maxCost),
            status: () => read()?.limiter.status() ?? { customers: [] },
            dispose,
        },
        scheduler: {
            acquire: (request, signal) => need().scheduler.acquire(request, signal),
            mayRetry: () => need().scheduler.mayRetry(),
            isQuarantined: fingerprint => need().scheduler.isQuarantined(fingerprint),
            noteCrash: (fingerprint, upstream) => need().scheduler.noteCrash(fingerprint, upstream),
            status: () => read()?.scheduler.status() ?? { upstreams: [], queues: [], quarantined: [] },
            dispose,
        },
        operations: {
            run: (token, customer, request) => need().operations.run(token, customer, request),
            issueTicket: customer => need().operations.issueTicket(customer),
            status: () => read()?.operations.status() ?? { operations: 0, storedBytes: 0 },
            dispose,
        },
    };
}
