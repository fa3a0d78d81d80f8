import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as idempotency from "@peridotloft/idempotency";
import * as limits from "@peridotloft/limits";
import type * as membership from "@peridotloft/membership";
import * as ownership from "@peridotloft/ownership";
import * as scheduling from "@peridotloft/scheduling";
import { randomBytes } from "node:crypto";
import * as constants from "./RouterConstants.js";

/** The slices that work on a document, and exist from the first document on. */
export interface DocumentSlices {
    readonly limiter: limits.RateLimiter;
    readonly scheduler: scheduling.Scheduler;
    readonly operations: idempotency.OperationStore;
    dispose(): void;
}

export interface DocumentSlicesOptions {
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

/** Creates the slices and connects them. They start at once. */
export function createDocumentSlices(options: DocumentSlicesOptions): DocumentSlices {
    const { self, incarnation, membership } = options;
    const owned = ownership.createOwnership(options);
    const stopListening = membership.registerPeerListener(peer => owned.notePeerVersion(peer.id, peer.documentVersion));
    const limiter = limits.createRateLimiter({ ...options, ownership: owned });
    const scheduler = scheduling.createScheduler({
        ...options,
        self: { id: self, incarnation },
        gossip: membership,
        peers: membership.peers,
        ownership: owned,
    });
    const operations = idempotency.createOperationStore({
        ...options,
        ownership: owned,
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
            stopListening();
            owned.dispose();
        },
    };
}
