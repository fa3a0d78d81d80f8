import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as feeds from "@peridotloft/document-feed";
import type * as idempotency from "@peridotloft/idempotency";
import * as memberships from "@peridotloft/membership";
import * as peering from "@peridotloft/peering";
import { deferSlices } from "./DeferredSlices.js";
import { createDocumentSlices, type DocumentSlices } from "./DocumentSlices.js";
import type { Logger } from "./Logging.js";
import type { Metrics } from "./Metrics.js";
import { executeCharged } from "./OperationExecutor.js";
import type { RouterServices, UpstreamContext } from "./RouterContext.js";
import type { Settings } from "./Settings.js";
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
    const { settings, clock, connections, metrics, logger } = input;
    const random = Math.random;
    const self = settings.vmId;
    const secret = settings.peerSecret;
    // Grows from run to run as long as the wall clock of a replacement is not behind by more than the downtime.
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

    let slices: DocumentSlices | undefined;
    const deferred = deferSlices(() => slices);
    const context: UpstreamContext = { clock, feed, scheduler: deferred.scheduler, connections, metrics };
    const execute: idempotency.ExecuteOperation = (customer, request, guard) => {
        const endTracking = input.track();
        return executeCharged(context, deferred.limiter, customer, request, guard).finally(endTracking);
    };
    const create = (first: documents.FleetDocument): DocumentSlices => {
        const held = followDocument(document, first);
        const created = createDocumentSlices({
            self,
            incarnation,
            clock,
            random,
            secret,
            endpoint,
            membership,
            document: held.cell,
            execute,
        });
        return {
            ...created,
            dispose() {
                created.dispose();
                held.dispose();
            },
        };
    };
    const subscription = feed.inForce.changes.subscribe(next => {
        if (next) {
            document.update(() => next.document);
            slices ??= create(next.document);
        }
    });

    return {
        feed,
        ...deferred,
        peers: membership.peers,
        async start() {
            const started = await endpoint.start();
            if (started.isErr()) {
                throw new Error(started.error);
            }
            membership.start();
            feed.start();
        },
        dispose() {
            subscription.unsubscribe();
            slices?.dispose();
            feed.dispose();
            membership.dispose();
            void endpoint.dispose();
        },
    };
}

/** Address of a VM in the document, else in the newest document that the feed has seen, else in the settings. */
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

/** A cell that always holds a document and follows `source`. */
function followDocument(
    source: core.SnapshotCell<documents.FleetDocument | undefined>,
    first: documents.FleetDocument,
): FollowedDocument {
    const cell = core.createSnapshotCell(first);
    const subscription = source.changes.subscribe(next => cell.update(current => next ?? current));
    return { cell, dispose: () => subscription.unsubscribe() };
}
