import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as feeds from "@peridotloft/document-feed";
import type * as idempotency from "@peridotloft/idempotency";
import * as memberships from "@peridotloft/membership";
import * as peering from "@peridotloft/peering";
import { createDeferredServices } from "./DeferredServices.js";
import { createDocumentServices, type DocumentServices } from "./DocumentServices.js";
import type { Logger } from "./Logging.js";
import type { Metrics } from "./Metrics.js";
import { executeCharged } from "./OperationExecutor.js";
import type { RouterServices, UpstreamContext } from "./RouterContext.js";
import type { Settings } from "./Settings.js";
import type { UpstreamConnections } from "./UpstreamConnections.js";

/** Dependencies of the services. */
export interface AssemblyInput {
    readonly settings: Settings;
    readonly clock: core.Clock;
    readonly connections: UpstreamConnections;
    readonly metrics: Metrics;
    readonly logger: Logger;
    /** Counts an operation from another VM as in flight; returns a function that ends the tracking. */
    track(): () => void;
}

/** Creates the services of one VM and connects them, without starting them. */
export function assembleServices(input: AssemblyInput): RouterServices {
    const { settings, clock, connections, metrics, logger } = input;
    const random = Math.random;
    const self = settings.vmId;
    const secret = settings.peerSecret;
    // Increases with every start, unless the wall clock of a replacement VM is behind by more than the downtime.
    const incarnation = clock.wallMs();
    const document = core.createSnapshotCell<documents.FleetDocument | undefined>(undefined);
    const endpoint = peering.createPeerNode({
        self,
        incarnation,
        listen: settings.peerListen,
        secret,
        addressOf: vm => addressOf(vm, document.read(), feed, settings),
        clock,
    });
    const membership = memberships.createMembership({
        self,
        incarnation,
        clock,
        random,
        endpoint,
        document,
        onSectionFault: (section, fault) => logger.error("gossip section failed", { section, fault }),
    });
    const feed = feeds.createDocumentFeed({
        self,
        clock,
        random,
        endpoint,
        membership,
        platformUrls: settings.platformUrls,
        seedPeers: settings.seedPeers.map(peer => peer.vmId),
    });

    let services: DocumentServices | undefined;
    const deferred = createDeferredServices(() => services);
    const context: UpstreamContext = { clock, feed, scheduler: deferred.scheduler, connections, metrics };
    const execute: idempotency.ExecuteOperation = (customer, request, guard) => {
        const endTracking = input.track();
        return executeCharged(context, deferred.limiter, customer, request, guard).finally(endTracking);
    };
    const createServices = (firstDocument: documents.FleetDocument): DocumentServices => {
        const followed = followDocument(document, firstDocument);
        const created = createDocumentServices({
            self,
            incarnation,
            clock,
            random,
            secret,
            endpoint,
            membership,
            document: followed.cell,
            execute,
        });
        return {
            ...created,
            dispose() {
                created.dispose();
                followed.dispose();
            },
        };
    };
    const subscription = feed.activeDocument.changes.subscribe(next => {
        if (next) {
            document.update(() => next.document);
            services ??= createServices(next.document);
        }
    });

    return {
        feed,
        ...deferred,
        peers: membership.peers,
        async start(wait) {
            const started = await endpoint.start(wait);
            if (started.isErr()) {
                throw new Error(started.error);
            }
            membership.start();
            feed.start();
        },
        dispose() {
            subscription.unsubscribe();
            services?.dispose();
            feed.dispose();
            membership.dispose();
            void endpoint.dispose();
        },
    };
}

/** Looks up a VM's address in the active document, then in the newest document seen by the feed, then in the settings. */
function addressOf(
    vm: core.VmId,
    document: documents.FleetDocument | undefined,
    feed: Pick<feeds.AddressingDocumentFeed, "addressOf">,
    settings: Settings,
): string | undefined {
    const listed = document?.vms.find(candidate => candidate.id === vm && candidate.state !== "retired");
    return listed?.peerAddress
        ?? feed.addressOf(vm)
        ?? settings.seedPeers.find(candidate => candidate.vmId === vm)?.address;
}

interface FollowedDocument {
    readonly cell: core.SnapshotCell<documents.FleetDocument>;
    dispose(): void;
}

/** Creates a cell that starts with `first` and follows the documents of `source`. */
function followDocument(
    source: core.SnapshotCell<documents.FleetDocument | undefined>,
    first: documents.FleetDocument,
): FollowedDocument {
    const cell = core.createSnapshotCell(first);
    const subscription = source.changes.subscribe(next => cell.update(current => next ?? current));
    return { cell, dispose: () => subscription.unsubscribe() };
}
