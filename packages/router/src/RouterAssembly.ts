import type * as core from "@peridotloft/core";
import type * as idempotency from "@peridotloft/idempotency";
import type { Logger } from "./Logging.js";
import type { Metrics } from "./Metrics.js";
import { executeOperation } from "./OperationExecutor.js";
import type { RouterServices, UpstreamContext } from "./RouterContext.js";
import type { Settings } from "./Settings.js";
import { createStandaloneFeed } from "./standalone/StandaloneFeed.js";
import { createStandaloneLimiter } from "./standalone/StandaloneLimiter.js";
import { createStandaloneOperations } from "./standalone/StandaloneOperations.js";
import { createStandaloneScheduler } from "./standalone/StandaloneScheduler.js";
import type { UpstreamConnections } from "./UpstreamConnections.js";

/** What the slices are assembled from. */
export interface AssemblyInput {
    readonly settings: Settings;
    readonly clock: core.Clock;
    readonly connections: UpstreamConnections;
    readonly metrics: Metrics;
    readonly logger: Logger;
    /** Counts an operation that another VM forwarded as in flight; returns a function that ends it. */
    track(): () => void;
}

/** Creates the slices of one VM and connects them. Nothing is started. */
export function assembleServices(input: AssemblyInput): RouterServices {
    const { settings, clock, connections, metrics } = input;
    const feed = createStandaloneFeed(settings.platformUrls, clock);
    const limiter = createStandaloneLimiter(feed.inForce, clock);
    const scheduler = createStandaloneScheduler(feed.inForce, clock);
    const context: UpstreamContext = { clock, feed, scheduler, connections, metrics };
    const execute: idempotency.ExecuteOperation = async (customer, request) => {
        const endTracking = input.track();
        return executeOperation(context, customer, request).finally(endTracking);
    };
    const operations = createStandaloneOperations(execute, feed.inForce, clock);
    return {
        feed,
        limiter,
        scheduler,
        operations,
        peers: () => [],
        start: () => feed.start(),
        dispose() {
            operations.dispose();
            scheduler.dispose();
            limiter.dispose();
            feed.dispose();
        },
    };
}
