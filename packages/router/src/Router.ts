import * as core from "@peridotloft/core";
import type { Server } from "node:http";
import { createAdminServer } from "./AdminServer.js";
import { createAuditTrail } from "./AuditTrail.js";
import { createConfigurationWatch } from "./ConfigurationWatch.js";
import { closeIdle, createEntryServer, listen, stopListening } from "./EntryServer.js";
import { createInFlightRequests, type InFlightRequests } from "./InFlightRequests.js";
import type { Logger } from "./Logging.js";
import { createMetrics } from "./Metrics.js";
import { createRequestHandler } from "./RequestHandler.js";
import { assembleServices, type AssemblyInput } from "./RouterAssembly.js";
import * as constants from "./RouterConstants.js";
import type { RouterServices } from "./RouterContext.js";
import type { Settings } from "./Settings.js";
import { createUpstreamConnections } from "./UpstreamConnections.js";

/** A running router. The addresses are the bound ones. */
export interface RunningRouter {
    readonly listen: string;
    readonly adminListen: string;
    /** Stops accepting connections and resolves when every request in flight has ended. */
    drain(): Promise<void>;
    /** Stops immediately; requests in flight are aborted. */
    dispose(): void;
}

/** Starts a router. If it cannot listen on its addresses within 10 s, releases all resources and rejects. */
export async function runRouter(
    settings: Settings,
    logger: Logger,
    assemble: (input: AssemblyInput) => RouterServices = assembleServices,
): Promise<RunningRouter> {
    let isDraining = false;
    const clock = core.createSystemClock();
    const metrics = createMetrics(settings.statsd);
    const connections = createUpstreamConnections();
    const inFlight = createInFlightRequests();
    const audit = createAuditTrail(clock, logger);
    const services = assemble({ settings, clock, connections, metrics, logger, track: inFlight.track });
    const { feed, scheduler } = services;
    const upstreamContext = { clock, feed, scheduler, connections, metrics };
    const configuration = createConfigurationWatch(settings.vmId, upstreamContext, inFlight, audit);
    const handler = createRequestHandler({
        ...upstreamContext,
        services,
        inFlight,
        entry: settings.entry,
        logger,
        keyIndex: configuration.keyIndex,
        closesConnections: () => isDraining || configuration.isLeaving(),
    });
    const entry = createEntryServer(settings.entry, (request, response) => {
        // A response that started before the drain has announced keep-alive, so its connection is closed here.
        response.once("close", () => isDraining && closeIdle(entry));
        handler(request, response);
    });
    const isReady = () => entry.listening && feed.isReady() && !isDraining && !configuration.isLeaving();
    const admin = createAdminServer({
        isReady,
        status: () => ({
            vm: settings.vmId,
            zone: settings.zone,
            ready: isReady(),
            draining: isDraining,
            leaving: configuration.isLeaving(),
            requestsInFlight: inFlight.count(),
            ...describeServices(services),
        }),
        audit: audit.entries,
    });

    function dispose(): void {
        isDraining = true;
        configuration.dispose();
        services.dispose();
        connections.dispose();
        metrics.dispose();
        [entry, admin].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    try {
        const wait: core.AddressWait = {
            clock,
            log: { state: (event, fields) => logger.info(event, fields) },
            untilMs: clock.nowMs() + constants.addressWaitMs,
        };
        const adminListen = await listen(admin, settings.adminListen, wait);
        await services.start(wait);
        const entryListen = await listen(entry, settings.listen, wait);
        return {
            listen: entryListen,
            adminListen,
            drain() {
                isDraining = true;
                return drainRequests(entry, inFlight);
            },
            dispose,
        };
    }
    catch (error) {
        dispose();
        throw error;
    }
}

async function drainRequests(entry: Server, inFlight: InFlightRequests): Promise<void> {
    const closed = stopListening(entry).then(() => true);
    // Node enforces no timeouts after `close`, so an idle connection could stay open indefinitely.
    const idlePeriod = () => new Promise<false>(resolve => setTimeout(() => resolve(false), constants.drainIdleMs));
    do {
        await inFlight.whenEmpty();
    }
    while (!await Promise.race([closed, idlePeriod()]) && inFlight.count() > 0);
    await inFlight.whenEmpty();
}

function describeServices({ feed, limiter, scheduler, operations, peers }: RouterServices) {
    const current = feed.activeDocument.read();
    return {
        document: { version: current?.document.version, digest: current?.digest, lastRejected: feed.lastRejected() },
        peers: peers(),
        limiter: limiter.status(),
        scheduler: scheduler.status(),
        operations: operations.status(),
    };
}
