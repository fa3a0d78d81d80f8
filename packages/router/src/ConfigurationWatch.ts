import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type * as feeds from "@peridotloft/document-feed";
import * as keys from "@peridotloft/keys";
import type { AuditTrail } from "./AuditTrail.js";
import type { InFlightRequests } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamContext } from "./RouterContext.js";

/** Applies each new document to the router and records the changes. */
export interface ConfigurationWatch {
    /** Index of the active document's keys; empty before the first document. */
    keyIndex(): keys.KeyIndex;
    /** Whether this VM or its availability zone is not in service according to the document. */
    isLeaving(): boolean;
    dispose(): void;
}

export function createConfigurationWatch(
    vmId: core.VmId,
    context: UpstreamContext,
    inFlight: InFlightRequests,
    audit: AuditTrail,
): ConfigurationWatch {
    const { clock, feed, scheduler, connections, metrics } = context;
    let keyIndex: keys.KeyIndex = { find: () => undefined };
    let adopted: feeds.ActiveDocument | undefined;

    function adopt(next: feeds.ActiveDocument): void {
        const { document } = next;
        keyIndex = keys.createKeyIndex(document);
        metrics.count(metricNames.withdrawn, inFlight.abortWithdrawn(document));
        connections.retain(document.pools.flatMap(pool => pool.upstreams));
        audit.recordDocument(adopted?.document, document);
        adopted = next;
    }

    const subscription = feed.activeDocument.changes.subscribe(next => next && adopt(next));
    const stopAudit = core.setRepeatingTimer(clock, constants.auditPeriodMs, () => {
        const rejected = feed.lastRejected();
        if (rejected) {
            audit.recordRejectedDocument(rejected);
        }
        audit.recordSchedulerStatus(scheduler.status());
    });
    return {
        keyIndex: () => keyIndex,
        isLeaving: () => adopted !== undefined && isOutOfService(adopted.document, vmId),
        dispose() {
            stopAudit();
            subscription.unsubscribe();
        },
    };
}

// A VM that the document does not list yet serves callers, but owns no buckets or slots.
function isOutOfService(document: documents.FleetDocument, vmId: core.VmId): boolean {
    const vm = document.vms.find(candidate => candidate.id === vmId);
    const zone = document.zones.find(candidate => candidate.id === vm?.zone);
    return vm !== undefined && (vm.state !== "in-service" || zone?.state !== "in-service");
}
