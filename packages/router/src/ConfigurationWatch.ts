import * as core from "@peridotloft/core";
import * as keys from "@peridotloft/keys";
import type * as platform from "@peridotloft/platform";
import type { AuditTrail } from "./AuditTrail.js";
import type { InFlightRequests } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import * as constants from "./RouterConstants.js";
import type { UpstreamContext } from "./RouterContext.js";

/** Puts each new document into force in the router and records what changes. */
export interface ConfigurationWatch {
    /** Index of the keys of the document in force; finds none before the first document. */
    keyIndex(): keys.KeyIndex;
    dispose(): void;
}

export function createConfigurationWatch(
    context: UpstreamContext,
    inFlight: InFlightRequests,
    audit: AuditTrail,
): ConfigurationWatch {
    const { clock, feed, scheduler, connections, metrics } = context;
    let keyIndex: keys.KeyIndex = { find: () => undefined };
    let adopted: platform.DocumentInForce | undefined;

    function adopt(next: platform.DocumentInForce): void {
        const { document } = next;
        keyIndex = keys.createKeyIndex(document);
        metrics.count(metricNames.withdrawn, inFlight.endWithdrawn(document));
        connections.retain(document.pools.flatMap(pool => pool.upstreams));
        audit.noteDocument(adopted?.document, document);
        adopted = next;
    }

    const subscription = feed.inForce.changes.subscribe(next => next && adopt(next));
    const stopAudit = core.setRepeatingTimer(clock, constants.auditPeriodMs, () => {
        const rejected = feed.lastRejected();
        if (rejected) {
            audit.noteRejected(rejected);
        }
        audit.noteScheduler(scheduler.status());
    });
    return {
        keyIndex: () => keyIndex,
        dispose() {
            stopAudit();
            subscription.unsubscribe();
        },
    };
}
