import * as core from "@peridotloft/core";
import * as keys from "@peridotloft/keys";
import type * as platform from "@peridotloft/platform";
import { createAdminServer } from "./AdminServer.js";
import { createAuditTrail } from "./AuditTrail.js";
import { closeIdle, createEntryServer, listen, stopListening } from "./EntryServer.js";
import { createInFlightRequests } from "./InFlightRequests.js";
import type { Logger } from "./Logging.js";
import { createMetrics, metricNames } from "./Metrics.js";
import { createRequestHandler } from "./RequestHandler.js";
import { assembleServices, type AssemblyInput } from "./RouterAssembly.js";
import * as constants from "./RouterConstants.js";
import type { RouterContext, RouterServices } from "./RouterContext.js";
import type { Settings } from "./Settings.js";
import { createUpstreamConnections } from "./UpstreamConnections.js";

/** A running router. Addresses are those actually listened on. */
export interface RunningRouter {
    readonly listen: string;
    readonly adminListen: string;
    /** Stops taking requests and resolves when every request in flight has ended. */
    drain(): Promise<void>;
    dispose(): Promise<void>;
}

/** Starts a router. Rejects when it cannot listen on its addresses. */
export async function runRouter(
    settings: Settings,
    logger: Logger,
    assemble: (input: AssemblyInput) => RouterServices = assembleServices,
): Promise<RunningRouter> {
    const clock = core.createSystemClock();
    const metrics = createMetrics(settings.statsd);
    const connections = createUpstreamConnections();
    const inFlight = createInFlightRequests();
    const audit = createAuditTrail(clock, logger);
    const services = assemble({ settings, clock, connections, metrics, logger, track: inFlight.track });
    const { feed, scheduler } = services;
    let draining = false;
    let keyIndex: keys.KeyIndex = { find: () => undefined };

    function adopt(before: platform.DocumentInForce | undefined, after: platform.DocumentInForce): void {
        keyIndex = keys.createKeyIndex(after.document);
        connections.retain(after.document.pools.flatMap(pool => pool.upstreams));
        metrics.count(metricNames.withdrawn, inFlight.endWithdrawn(after.document));
        audit.noteDocument(before?.document, after.document);
    }

    let adopted: platform.DocumentInForce | undefined;
    const subscription = feed.inForce.changes.subscribe(next => {
        if (next) {
            adopt(adopted, next);
            adopted = next;
        }
    });
    const stopAudit = core.setRepeatingTimer(clock, constants.auditPeriodMs, () => {
        const rejected = feed.lastRejected();
        if (rejected) {
            audit.noteRejected(rejected);
        }
        audit.noteScheduler(scheduler.status());
    });

    const context: RouterContext = {
        services,
        clock,
        feed,
        scheduler,
        connections,
        metrics,
        inFlight,
        entry: settings.entry,
        logger,
        keyIndex: () => keyIndex,
        isDraining: () => draining,
    };
    const handler = createRequestHandler(context);
    const entry = createEntryServer(settings.entry, (request, response) => {
        response.once("close", () => draining && closeIdle(entry));
        handler(request, response);
    });
    const admin = createAdminServer({
        isReady: () => feed.isReady() && !draining,
        status: () => ({
            vm: settings.vmId,
            zone: settings.zone,
            ready: feed.isReady() && !draining,
            draining,
            document: describeDocument(feed),
            requestsInFlight: inFlight.count(),
            limiter: services.limiter.status(),
            scheduler: scheduler.status(),
            operations: services.operations.status(),
        }),
        audit: () => audit.entries(),
    });

    feed.start();
    const adminListen = await listen(admin, settings.adminListen);
    const entryListen = await listen(entry, settings.listen);
    return {
        listen: entryListen,
        adminListen,
        async drain() {
            draining = true;
            const closed = stopListening(entry).then(() => true);
            // Node checks no timeouts after `close`, so a connection without a request could stay open for ever.
            const quiet = () => new Promise<false>(resolve => setTimeout(() => resolve(false), constants.drainQuietMs));
            do {
                await inFlight.whenEmpty();
            }
            while (!await Promise.race([closed, quiet()]) && inFlight.count() > 0);
            await inFlight.whenEmpty();
        },
        async dispose() {
            draining = true;
            stopAudit();
            subscription.unsubscribe();
            services.dispose();
            connections.dispose();
            metrics.dispose();
            entry.close();
            entry.closeAllConnections();
            admin.close();
            admin.closeAllConnections();
        },
    };
}

function describeDocument(feed: platform.DocumentFeed) {
    const current = feed.inForce.read();
    return { version: current?.document.version, digest: current?.digest, lastRejected: feed.lastRejected() };
}
