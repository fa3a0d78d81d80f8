import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as idempotency from "@peridotloft/idempotency";
import * as limits from "@peridotloft/limits";
import type * as membership from "@peridotloft/membership";
import * as ownership from "@peridotloft/ownership";
import * as scheduling from "@peridotloft/scheduling";
import { randomBytes } from "node:crypto";
import * as constants from "./RouterConstants.js";

/** The services that depend on a document. They are created when the first document arrives. */
export interface DocumentServices {
    readonly limiter: limits.RateLimiter;
    readonly scheduler: scheduling.Scheduler;
    readonly operations: idempotency.OperationStore;
    dispose(): void;
}

export interface DocumentServicesOptions {
    readonly self: core.VmId;
    readonly incarnation: number;
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly secret: string;
    readonly endpoint: core.PeerEndpoint;
    readonly membership: membership.Membership;
    readonly document: core.SnapshotCell<documents.FleetDocument>;
    readonly execute: idempotency.ExecuteOperation;
}

/** Creates the services and connects them. They start at once. */
export function createDocumentServices(options: DocumentServicesOptions): DocumentServices {
    const { self, incarnation, membership } = options;
    const fleetOwnership = ownership.createOwnership(options);
    const removePeerListener = membership.registerPeerListener(peer =>
        fleetOwnership.recordPeerVersion(peer.id, peer.documentVersion)
    );
    const limiter = limits.createRateLimiter({ ...options, ownership: fleetOwnership });
    const scheduler = scheduling.createScheduler({
        ...options,
        self: { id: self, incarnation },
        gossip: membership,
        peers: membership.peers,
        ownership: fleetOwnership,
    });
    const operations = idempotency.createOperationStore({
        ...options,
        ownership: fleetOwnership,
        randomBytes,
        maxStoredBytes: constants.maxStoredOperationBytes,
    });
    return {
        limiter,
        scheduler,
        operations,
        dispose() {
            operations.dispose();
            scheduler.dispose();
            limiter.dispose();
            removePeerListener();
            fleetOwnership.dispose();
        },
    };
}
