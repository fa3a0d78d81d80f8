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

/** The services that the router uses. */
export interface RouterServices {
    readonly feed: feeds.DocumentFeed;
    readonly limiter: limits.RateLimiter;
    readonly scheduler: scheduling.Scheduler;
    readonly operations: idempotency.OperationStore;
    /** The other VMs as seen by this one. */
    peers(): readonly core.PeerView[];
    /** Starts following the document and communicating with other VMs. Rejects if `peerListen` stays in use. */
    start(wait?: core.AddressWait): Promise<void>;
    /** Stops all services, including those they depend on. */
    dispose(): void;
}

/** Dependencies for running requests at upstreams. */
export interface UpstreamContext {
    readonly clock: core.Clock;
    readonly feed: feeds.DocumentFeed;
    readonly scheduler: scheduling.Scheduler;
    readonly connections: UpstreamConnections;
    readonly metrics: Metrics;
}

/** Dependencies for handling callers' requests. */
export interface RouterContext extends UpstreamContext {
    readonly services: RouterServices;
    readonly inFlight: InFlightRequests;
    readonly entry: EntrySettings;
    readonly logger: Logger;
    /** Key index of the active document. */
    keyIndex(): keys.KeyIndex;
    /** Whether responses close the caller's connection, so that its next request goes to another VM. */
    closesConnections(): boolean;
}
