import type * as core from "@peridotloft/core";
import type * as feeds from "@peridotloft/document-feed";
import type * as idempotency from "@peridotloft/idempotency";
import type * as keys from "@peridotloft/keys";
import type * as limits from "@peridotloft/limits";
import type * as scheduling from "@peridotloft/scheduling";
import type { InFlightRequests } from "./InFlightRequests.js";
import type { Logger } from "./Logging.js";
import type { Metrics } from "./Metrics.js";
import type { EntrySettings } from "./Settings.js";
import type { UpstreamConnections } from "./UpstreamConnections.js";

/** The slices that the router works with. */
export interface RouterServices {
    readonly feed: feeds.DocumentFeed;
    readonly limiter: limits.RateLimiter;
    readonly scheduler: scheduling.Scheduler;
    readonly operations: idempotency.OperationStore;
    /** The other VMs as this one knows them. */
    peers(): readonly core.PeerView[];
    /** Starts following the document and talking to other VMs. Rejects when the address for them cannot be used. */
    start(): Promise<void>;
    /** Stops the slices that were assembled together with these. */
    dispose(): void;
}

/** What running requests at upstreams needs. */
export interface UpstreamContext {
    readonly clock: core.Clock;
    readonly feed: feeds.DocumentFeed;
    readonly scheduler: scheduling.Scheduler;
    readonly connections: UpstreamConnections;
    readonly metrics: Metrics;
}

/** What handling callers' requests needs. */
export interface RouterContext extends UpstreamContext {
    readonly services: RouterServices;
    readonly inFlight: InFlightRequests;
    readonly entry: EntrySettings;
    readonly logger: Logger;
    /** Index of the document in force. */
    keyIndex(): keys.KeyIndex;
    /** Whether answers close the caller's connection, so that its next request goes to another VM. */
    closesConnections(): boolean;
}
