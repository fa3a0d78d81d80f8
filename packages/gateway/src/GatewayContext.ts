import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import type * as dispatch from "@peridotloft/dispatch";
import type * as telemetry from "@peridotloft/telemetry";
import type { AcceptQueueMonitor } from "./AcceptQueueMonitor.js";
import type { AcceptQueueProbe } from "./AcceptQueueProbe.js";
import type { GatewaySettings } from "./GatewaySettings.js";
import type { OverloadGuard } from "./OverloadGuard.js";
import type { PeerLoad } from "./OverloadRetry.js";
import type { RelayPeerLoad } from "./relay/RelayPeers.js";
import type { UpstreamConnections } from "./UpstreamConnections.js";
import type { WireCodec } from "./WireCodec.js";

/** Dependencies that the components of a gateway share. */
export interface GatewayContext {
    readonly settings: GatewaySettings;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly codec: WireCodec;
    readonly follower: catalog.CatalogFollower;
    readonly dispatcher: dispatch.Dispatcher;
    readonly streamOrigins: dispatch.StreamOrigins;
    readonly connections: UpstreamConnections;
    readonly acceptQueue: AcceptQueueMonitor;
    readonly acceptQueueProbe: AcceptQueueProbe;
    readonly overload: OverloadGuard;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** Time in ms since the stop signal; undefined before the signal. */
    drainElapsedMs(): number | undefined;
    /** Time in ms until the requests in flight are aborted; undefined before the stop signal. */
    drainRemainingMs(): number | undefined;
    /** The loads that other VMs announced last. */
    peerLoads(): readonly PeerLoad[];
    /** The room for relayed connections that other VMs announced last. */
    relayPeerLoads(): readonly RelayPeerLoad[];
    /** Whether requests that arrive now are refused, since the state of this process may be inconsistent. */
    refusesNewRequests(): boolean;
}
