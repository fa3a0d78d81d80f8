import * as core from "@peridotloft/core";
import type { DocumentServices } from "./DocumentServices.js";

/**
 * Proxies for services that `read` returns once they exist. Until then their status is empty and any other call is a
 * programming error, since requests are refused until the first document arrives.
 */
export function createDeferredServices(read: () => DocumentServices | undefined): Omit<DocumentServices, "dispose"> {
    const requireServices = (): DocumentServices => {
        const services = read();
        core.invariant(services, "the first document has arrived");
        return services;
    };
    const dispose = (): void => undefined;
    return {
        limiter: {
            admit: (customer, estimatedCost) => requireServices().limiter.admit(customer, estimatedCost),
            estimateCost: (customer, maxCost) => requireServices().limiter.estimateCost(customer, maxCost),
            status: () => read()?.limiter.status() ?? { customers: [] },
            dispose,
        },
        scheduler: {
            acquire: (request, signal) => requireServices().scheduler.acquire(request, signal),
            tryTakeRetry: () => requireServices().scheduler.tryTakeRetry(),
            isQuarantined: fingerprint => requireServices().scheduler.isQuarantined(fingerprint),
            recordCrash: (fingerprint, upstream) => requireServices().scheduler.recordCrash(fingerprint, upstream),
            status: () => read()?.scheduler.status() ?? { upstreams: [], queues: [], quarantined: [] },
            dispose,
        },
        operations: {
            run: (token, customer, request) => requireServices().operations.run(token, customer, request),
            issueTicket: customer => requireServices().operations.issueTicket(customer),
            status: () => read()?.operations.status() ?? { operations: 0, storedBytes: 0 },
            dispose,
        },
    };
}
