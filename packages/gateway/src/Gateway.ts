import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type { Result } from "neverthrow";
import * as http from "node:http";
import * as net from "node:net";
import { acceptBacklog } from "./AcceptQueueMonitor.js";
import { createBodyMemory } from "./BodyMemory.js";
import { type AcceptWait, createCallerConnections } from "./CallerConnections.js";
import { closeIdleAfterPoll } from "./CallerResponse.js";
import { createClientErrors } from "./ClientError.js";
import { CoalescedMessage } from "./CoalescedMessage.js";
import { createConnectionAccounts, type Door } from "./ConnectionAccounts.js";
import { refuseConnection, type RefusedConnection } from "./ConnectionRefusal.js";
import { drainServer } from "./Drain.js";
import { createEntryReport } from "./EntryReport.js";
import { createFreshness } from "./Freshness.js";
import type { GatewayContext } from "./GatewayContext.js";
import type { GatewaySettings } from "./GatewaySettings.js";
import type { ConnectionVerdict } from "./OverloadGuard.js";
import { createOverloadRetryChooser } from "./OverloadRetry.js";
import { parseInParts } from "./ParsedParts.js";
import { createPipelineLimit } from "./PipelineLimit.js";
import { createRefusalReport } from "./RefusalReport.js";
import { createZoneRelay } from "./relay/ZoneRelay.js";
import { createRequestHandler } from "./RequestExchange.js";
import { createResponseMemory } from "./ResponseMemory.js";

/** A running gateway. */
export interface Gateway {
    /**
     * Listens on all addresses in order, on that for callers last; fails with the address that cannot be bound.
     *
     * @param bindOthers binds the other addresses of the process, without which it cannot serve callers.
     */
    start(bindOthers?: readonly (() => Promise<Result<void, string>>)[]): Promise<Result<void, string>>;
    /**
     * Turns readiness off, waits for the requests in flight and closes the gateway. Resolves when all have finished, or when
     * the grace period has ended and the others have been aborted and logged.
     *
     * @param sinceMs time in ms on the clock from which the grace period runs; by default now.
     */
    drain(sinceMs?: number): Promise<void>;
    isReady(): boolean;
    /** Processor time in cores that this VM can spare for connections that other VMs pass on; 0 if it takes none. */
    spareCores(): number;
    /** Bounds what the connections to another server of the process hold, together with those to its own. */
    watchConnections(server: http.Server, door: Door): void;
    /** What its callers make it hold: bytes reserved, and numbers of requests and connections. */
    readHolders(): telemetry.LogFields;
    /** Closes all servers and connections immediately and aborts the requests in flight. */
    close(): void;
}

/** Maximum size of request headers in bytes; the platform's configurations state the same limit. */
const maxHeaderBytes = 16_384;
/** Number of names and values of headers from which Node.js drops further headers. */
const maxRawHeaders = 2_000;
/** Timeouts in ms that apply until a configuration is known. */
const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
/** Interval in ms at which Node.js checks the header timeout. */
const timeoutCheckIntervalMs = 500;
/** Time in ms after the grace period in which a predecessor that has been killed releases its addresses. */
const addressReleaseMs = 2_000;
const connectionOutcomes = { serve: "served", refuse: "refused", flush: "flushed" } as const;

export function createGateway(dependencies: GatewayContext, onDrainStarted: (sinceMs: number) => void): Gateway {
    const context = { ...dependencies, clock: core.createPolledClock(dependencies.clock) };
    const { settings, clock, follower, acceptQueue, log, metrics } = context;
    const freshness = createFreshness(follower, settings);
    const callerConnections = createCallerConnections();
    const pipelineLimit = createPipelineLimit({ log, maxWaiting: settings.maxPipelinedRequests });
    const clientErrors = createClientErrors(callerConnections, pipelineLimit.isPaused, clock, log);
    let isClosed = false;
    const unknownExpectations = new WeakSet<http.IncomingMessage>();
    const refusalReport = createRefusalReport(context);
    const entryReport = createEntryReport({ ...context, connections: callerConnections });
    const chooseRetry = createOverloadRetryChooser(context);
    const bodyMemory = createBodyMemory({
        clock,
        random: context.random,
        maxBytes: settings.maxBodyMemoryBytes,
    });
    const responseMemory = createResponseMemory({
        clock,
        random: context.random,
        maxBytes: settings.maxResponseMemoryBytes,
    });
    const accounts = createConnectionAccounts({
        clock,
        log,
        metrics,
        maxBytes: settings.maxConnectionMemoryBytes,
        maxConnections: settings.maxConnections,
    });
    const requestHandler = createRequestHandler({
        context,
        freshness,
        connections: callerConnections,
        // The caller of a returned connection opens another one, which a VM with room may serve.
        closesAfterResponse: socket =>
            clientErrors.hasFailed(socket) || callerConnections.isReturned(socket)
            || zoneRelay?.closesAfterResponse(socket) === true,
        refusalReport,
        entryReport,
        chooseRetry,
        bodyMemory,
        recordBody: accounts.recordBody,
        responseMemory,
        hasUnknownExpectation: request => unknownExpectations.has(request),
    });
    const callerServer = http.createServer({
        IncomingMessage: CoalescedMessage,
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: defaultHeaderTimeoutMs,
        requestTimeout: 0,
        keepAliveTimeout: defaultIdleTimeoutMs,
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        noDelay: true,
    }, (request, response) => {
        if (callerConnections.isClosing(request.socket) || !pipelineLimit.tryAdd(response)) {
            // Served, it would run, and its response be lost with the connection (RFC 9112, section 9.6).
            const { requestId } = context.codec.readRequestHead(request.rawHeaders);
            log.failure("request-after-close", { requestId, bytesRead: request.socket.bytesRead });
            request.resume();
            return;
        }
        if (mayHaveUpgrade(request)) {
            callerConnections.closeAfter(response);
        }
        callerConnections.recordRequest(response, () => zoneRelay?.recordResponseClosed(request.socket));
        requestHandler.handle(request, response);
    });
    // Without a listener, Node.js answers it itself and keeps the connection open.
    callerServer.on("checkExpectation", (request: http.IncomingMessage, response: http.ServerResponse) => {
        unknownExpectations.add(request);
        callerServer.emit("request", request, response);
    });
    callerServer.on("clientError", (error, socket) => clientErrors.handle(error, socket as net.Socket));
    closeIdleAfterPoll(callerServer, socket => zoneRelay?.release(socket) === true);
    const serveConnection = refuseConnectionsUnderOverload(callerServer);
    const zoneRelay = createZoneRelay({
        context,
        acceptWait,
        connections: callerConnections,
        isReady,
        serve(socket, wait) {
            if (accounts.open(socket, "entry")) {
                callerConnections.recordAccepted(socket, wait);
                serveConnection(socket);
            }
        },
        recordRelayed: accounts.recordRelayed,
        serveReturned(caller, returned) {
            callerConnections.recordReturned(caller, returned);
            serveConnection(caller);
            caller.resume();
        },
    });
    accounts.watchRequests(callerServer);
    const removeGauges = [
        metrics.registerGauge(
            "accept_queue_wait_seconds",
            "Upper bound on the time that connections wait until they are accepted.",
            () => acceptQueue.longestWaitMs() / 1_000,
        ),
        metrics.registerGauge(
            "body_memory_bytes",
            "Bytes reserved for the bodies of requests.",
            bodyMemory.reservedBytes,
        ),
        metrics.registerGauge(
            "body_memory_limit_bytes",
            "Bytes that the bodies of all requests may hold together.",
            () => bodyMemory.maxBytes,
        ),
        metrics.registerGauge("bodies_waiting", "Bodies that wait for memory.", bodyMemory.waitingCount),
        metrics.registerGauge(
            "response_memory_bytes",
            "Bytes reserved for responses that are read whole, and for the first bytes of those that are awaited.",
            responseMemory.reservedBytes,
        ),
        metrics.registerGauge(
            "response_memory_limit_bytes",
            "Bytes that the responses that are read whole may hold together.",
            () => responseMemory.maxBytes,
        ),
        metrics.registerGauge(
            "pipelined_requests",
            "Requests that wait behind others on their connections.",
            pipelineLimit.waitingCount,
        ),
        metrics.registerGauge(
            "responses_waiting",
            "Requests and responses that wait for memory.",
            responseMemory.waitingCount,
        ),
    ];
    const readinessServer = http.createServer((request, response) => {
        request.resume();
        response.writeHead(request.url === settings.readinessPath ? (isReady() ? 200 : 503) : 404).end();
    });
    const metricsServer = http.createServer((request, response) => {
        request.resume();
        metrics.render().then(
            text => response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" }).end(text),
            (error: unknown) => {
                log.state("metrics-failed", { error: String(error) });
                response.writeHead(500).end();
            },
        );
    });
    accounts.watch(readinessServer, "readiness");
    accounts.watch(metricsServer, "metrics");
    const subscription = follower.snapshot.changes.subscribe(({ activeConfig: active }) => {
        if (active) {
            callerServer.headersTimeout = active.config.limits.headerTimeoutMs;
            callerServer.keepAliveTimeout = active.config.limits.idleTimeoutMs;
        }
    });

    /** Returns a function that serves a connection. */
    function refuseConnectionsUnderOverload(server: http.Server): (socket: net.Socket) => void {
        const defaultListeners = server.listeners("connection") as ((socket: net.Socket) => void)[];
        server.removeAllListeners("connection");
        server.on("connection", (socket: net.Socket) => {
            acceptQueue.recordAccepted();
            if (context.acceptQueueProbe.tryEnd(socket) || !accounts.open(socket, "entry")) {
                return;
            }
            callerConnections.recordAccepted(socket, acceptWait());
            const onNotTaken = (isTooLate: boolean): void => {
                const verdict = isTooLate ? "refuse" : context.overload.judgeConnection();
                // Node.js has read from it while other VMs were asked, so its caller gets an answer.
                handleConnection(socket, verdict === "flush" ? "refuse" : verdict);
            };
            if (zoneRelay?.tryPassOn(socket, onNotTaken)) {
                metrics.count("connections", { outcome: "relayed" });
            }
            else {
                handleConnection(socket, context.overload.judgeConnection());
            }
        });
        return serveConnection;

        function serveConnection(socket: net.Socket): void {
            // The HTTP server calls this after the last response.
            socket.destroySoon = () => core.closeGracefully(socket, clock);
            defaultListeners.forEach(listener => listener.call(server, socket));
            parseInParts(socket, discardBehindLast(socket));
        }

        function handleConnection(socket: net.Socket, verdict: ConnectionVerdict): void {
            metrics.count("connections", { outcome: connectionOutcomes[verdict] });
            refusalReport.recordConnection(verdict);
            entryReport.recordConnection(verdict);
            if (verdict === "serve") {
                serveConnection(socket);
                return;
            }
            if (verdict === "flush") {
                logFlushed(socket);
                socket.resetAndDestroy();
                flushAcceptQueue();
                return;
            }
            refuseConnection(socket, {
                clock,
                log,
                codec: context.codec,
                maxHeaderBytes,
                chooseRetry,
                onRefused: recordRefusedConnection,
            });
        }
    }

    /** Discards what arrives behind the last request that is served on a connection, and logs it once. */
    function discardBehindLast(socket: net.Socket): (bytes: Buffer) => boolean {
        let hasDiscarded = false;
        return ({ length }) => {
            if (!callerConnections.hasLastArrived(socket)) {
                return false;
            }
            if (!hasDiscarded) {
                hasDiscarded = true;
                log.failure("bytes-after-upgrade", { bytes: length, bytesRead: socket.bytesRead });
            }
            return true;
        };
    }

    /** Logs a connection that is closed unread, with the waits that are believed: that of its queue, and its bounds. */
    function logFlushed({ remoteAddress, remotePort }: net.Socket): void {
        log.failure("connection-closed-unread", {
            outcome: "flushed",
            caller: `${remoteAddress}:${remotePort}`,
            waitMs: Math.round(acceptQueue.waitMs()),
            longestWaitMs: Math.round(acceptQueue.longestWaitMs()),
            probedWaitMs: roundedOrUndefined(context.acceptQueueProbe.waitMs()),
            acceptedWhileBusy: acceptQueue.acceptedWhileBusy(),
            utilization: context.overload.utilization(),
            drainMs: roundedOrUndefined(context.drainElapsedMs()),
        });
    }

    /** For how long the connection accepted last has waited, as far as it is measured and not only bounded. */
    function acceptWait(): AcceptWait {
        const longestWaitMs = acceptQueue.longestWaitMs();
        return {
            waitMs: Math.min(longestWaitMs, context.acceptQueueProbe.waitMs() ?? 0),
            minWaitMs: Math.min(longestWaitMs, context.acceptQueueProbe.minWaitMs()),
        };
    }

    /** Closes the listening socket, so that the kernel resets the connections that wait there, and listens again. */
    function flushAcceptQueue(): void {
        if (!callerServer.listening) {
            return;
        }
        // Unlike the method of HTTP servers, this one leaves open connections untouched.
        net.Server.prototype.close.call(callerServer);
        acceptQueue.recordFlushed();
        void listenAgain();
    }

    const listenForCallers = () => core.listen(callerServer, { ...settings.entry, backlog: acceptBacklog });

    async function listenAgain(): Promise<void> {
        await core.bindAddress(
            { clock, log, isTemporary: () => true, isCancelled: () => isClosed },
            listenForCallers,
        );
        if (isClosed) {
            callerServer.close();
        }
    }

    function recordRefusedConnection({ requestId, refusal, retry, heldMs, isAbandoned }: RefusedConnection): void {
        const { reason, statusCode, retryAfterMs } = refusal;
        const { knownPeers, freePeers, oldestLoadMs } = retry;
        acceptQueue.recordRefused(isAbandoned);
        refusalReport.recordOverloadRetry(retry);
        metrics.count("requests", { kind: "unknown", outcome: String(statusCode) });
        metrics.count("refusals", { reason });
        log.failure("request-refused", {
            requestId,
            reason,
            statusCode,
            retryAfterMs,
            heldMs: Math.round(heldMs),
            isAbandoned,
            knownPeers,
            freePeers,
            oldestLoadMs,
            atConnection: true,
        });
    }

    function isReady(): boolean {
        return context.drainElapsedMs() === undefined && follower.isComplete()
            && follower.snapshot.read().activeConfig !== undefined && freshness.acceptsKeysWithoutConfirming()
            && !context.overload.isOverloaded() && callerServer.listening;
    }

    function close(): void {
        isClosed = true;
        subscription.unsubscribe();
        zoneRelay?.close();
        removeGauges.forEach(remove => remove());
        accounts.dispose();
        refusalReport.dispose();
        entryReport.dispose();
        [callerServer, readinessServer, metricsServer].forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    return {
        isReady,
        spareCores: () => zoneRelay?.spareCores() ?? 0,
        watchConnections: accounts.watch,
        readHolders: () => ({
            bodyBytes: bodyMemory.reservedBytes(),
            responseBytes: responseMemory.reservedBytes(),
            connectionBytes: accounts.heldBytes(),
            pipelinedRequests: pipelineLimit.waitingCount(),
            openConnections: callerConnections.openCount(),
            openResponses: callerConnections.inFlightCount(),
        }),
        start(bindOthers = []) {
            const wait = createAddressWait(settings, clock, log);
            return core.bindInOrder([
                () => core.bindAddress(wait, () => core.listen(readinessServer, settings.readiness)),
                () => core.bindAddress(wait, () => core.listen(metricsServer, settings.metrics)),
                ...bindOthers,
                ...zoneRelay ? [() => core.bindAddress(wait, zoneRelay.listen)] : [],
                () => core.bindAddress(wait, listenForCallers),
            ]);
        },
        async drain(sinceMs = clock.nowMs()) {
            onDrainStarted(sinceMs);
            zoneRelay?.drain();
            await drainServer({
                clock,
                sinceMs,
                log,
                stopGraceMs: settings.stopGraceMs,
                server: callerServer,
                connections: callerConnections,
                acceptQueue,
                endWaitingRequests() {
                    requestHandler.endWaitingRequests();
                    zoneRelay?.endWaiting();
                },
                relayedInFlightCount: () => zoneRelay?.inFlightCount() ?? 0,
                close,
            });
        },
        close,
    };
}

/**
 * Whether a request may ask for another protocol. The parser of Node.js drops the rest of the bytes in which such a request ends, even if
 * it is served as HTTP/1.1, so that what arrives later may be part of a body.
 */
const mayHaveUpgrade = ({ headers, rawHeaders }: http.IncomingMessage): boolean =>
    headers.upgrade !== undefined || rawHeaders.length >= maxRawHeaders;

const roundedOrUndefined = (value: number | undefined): number | undefined =>
    value === undefined ? undefined : Math.round(value);

/** The wait for addresses at a start, which may be held as long as a predecessor drains. */
export function createAddressWait(
    { stopGraceMs }: Pick<GatewaySettings, "stopGraceMs">,
    clock: core.Clock,
    log: core.AddressWait["log"],
): core.AddressWait {
    return { clock, log, untilMs: clock.nowMs() + stopGraceMs + addressReleaseMs };
}
