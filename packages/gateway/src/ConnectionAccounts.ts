import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import type * as http from "node:http";
import type * as net from "node:net";
import { type BudgetedConnection, createConnectionBudget, type EndedConnection } from "./ConnectionBudget.js";
import { parseInParts } from "./ParsedParts.js";
import { onceResponseClosed } from "./ResponseClose.js";

/** A port of this process: that of callers, or one of those for the platform and other VMs. */
export type Door = "entry" | "readiness" | "metrics" | "relay";

/** Accounts of what the connections to all servers of a process hold. */
export interface ConnectionAccounts {
    /** Opens the account of a connection. Returns false if there is no place for it: it has been closed then. */
    open(socket: net.Socket, door: Door): boolean;
    /** Counts the requests of a server, and drops those of connections that have been ended. */
    watchRequests(server: http.Server): void;
    /** Opens an account for each connection to a server, and counts its requests. */
    watch(server: http.Server, door: Door): void;
    /** Records the bytes that are reserved now for the body of a request. */
    recordBody(request: http.IncomingMessage, bytes: number): void;
    /**
     * Records that another VM serves a connection, whose requests this one does not see.
     *
     * @param isAwaited whether a request awaits an answer; undefined once this VM serves the connection.
     */
    recordRelayed(socket: net.Socket, isAwaited: (() => boolean) | undefined): void;
    /** Estimated bytes that all connections hold apart from bodies and passed-on responses. */
    heldBytes(): number;
    dispose(): void;
}

export interface ConnectionAccountsOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** Bytes that all connections may hold apart from bodies and passed-on responses. */
    readonly maxBytes: number;
    readonly maxConnections: number;
}

/**
 * Open requests from which a connection is ended. Callers may send some ahead; the platform and other VMs wait for each response.
 */
const maxOpenRequests: Readonly<Record<Door, number>> = { entry: 48, readiness: 4, metrics: 4, relay: 4 };
/** Share of the connections that callers may open; the rest is left to the platform and other VMs. */
const callerConnectionsShare = 0.9;
/** Size in bytes up to which Node.js reads a head. */
const maxHeadBytes = 16 * 1024;
/** Interval in ms at which buffers are counted. */
const checkIntervalMs = 1_000;

interface Account extends BudgetedConnection {
    addRequest(response: http.ServerResponse): void;
    removeRequest(response: http.ServerResponse): void;
    recordBody(request: http.IncomingMessage, bytes: number): void;
    recordRelayed(isAwaited: (() => boolean) | undefined): void;
}

export function createConnectionAccounts(options: ConnectionAccountsOptions): ConnectionAccounts {
    const { clock, log, metrics, maxBytes, maxConnections } = options;
    const budget = createConnectionBudget({ clock, maxBytes });
    /** Accounts of the connections that have neither closed nor been ended. */
    const accounts = new WeakMap<net.Socket, Account>();
    const stopChecks = core.setRepeatingTimer(clock, checkIntervalMs, budget.updateAll);
    const removeGauges = [
        metrics.registerGauge(
            "connection_memory_bytes",
            "Estimated bytes that connections hold apart from bodies and passed-on responses.",
            budget.heldBytes,
        ),
        metrics.registerGauge(
            "connection_memory_limit_bytes",
            "Bytes that connections may hold together apart from bodies and passed-on responses.",
            () => maxBytes,
        ),
    ];

    function open(socket: net.Socket, door: Door): boolean {
        const bounds = {
            maxOpenRequests: maxOpenRequests[door],
            maxConnections: door === "entry" ? Math.floor(maxConnections * callerConnectionsShare) : maxConnections,
        };
        const account = createAccount(socket, door, clock, bounds, ended => {
            accounts.delete(socket);
            metrics.count("connectionsEnded", { door, bound: ended.bound });
            log.failure("connection-ended", { door, ...ended, maxBytes, maxConnections: bounds.maxConnections });
            socket.destroy();
        });
        accounts.set(socket, account);
        socket.once("close", () => {
            accounts.delete(socket);
            budget.remove(account);
        });
        budget.add(account);
        return accounts.has(socket);
    }

    /** Returns whether the connection of a request is still open after the request has been counted. */
    function tryAddRequest(response: http.ServerResponse): boolean {
        const { socket } = response.req;
        const account = accounts.get(socket);
        if (!account) {
            return false;
        }
        account.addRequest(response);
        onceResponseClosed(response, () => {
            account.removeRequest(response);
            budget.update(account);
        });
        budget.update(account);
        return accounts.has(socket);
    }

    function watchRequests(server: http.Server): void {
        const listeners = server.listeners("request") as http.RequestListener[];
        server.removeAllListeners("request");
        server.on("request", (request: http.IncomingMessage, response: http.ServerResponse) => {
            if (tryAddRequest(response)) {
                listeners.forEach(listener => listener.call(server, request, response));
            }
        });
    }

    return {
        open,
        watchRequests,
        watch(server, door) {
            server.prependListener("connection", (socket: net.Socket) => open(socket, door));
            server.on("connection", parseInParts);
            watchRequests(server);
        },
        recordBody: (request, bytes) => accounts.get(request.socket)?.recordBody(request, bytes),
        recordRelayed: (socket, isAwaited) => accounts.get(socket)?.recordRelayed(isAwaited),
        heldBytes: budget.heldBytes,
        dispose() {
            stopChecks();
            removeGauges.forEach(remove => remove());
        },
    };
}

function createAccount(
    socket: net.Socket,
    door: Door,
    clock: core.Clock,
    bounds: Pick<Account, "maxOpenRequests" | "maxConnections">,
    end: (ended: EndedConnection) => void,
): Account {
    const openResponses = new Set<http.ServerResponse>();
    const bodyBytes = new Map<http.IncomingMessage, number>();
    let progressMs = clock.nowMs();
    let receivedBytes = 0;
    let takenBytes = 0;
    /** Bytes that had been received when the last request was added or removed. */
    let requestEndBytes = 0;
    let isRelayedAwaited: (() => boolean) | undefined;

    function recordProgress(unsentBytes: number): void {
        const latestTakenBytes = socket.bytesWritten - unsentBytes;
        if (socket.bytesRead !== receivedBytes || latestTakenBytes > takenBytes) {
            receivedBytes = socket.bytesRead;
            takenBytes = latestTakenBytes;
            progressMs = clock.nowMs();
        }
    }

    function recordRequest(): void {
        requestEndBytes = socket.bytesRead;
        progressMs = clock.nowMs();
    }

    return {
        ...bounds,
        end,
        addRequest(response) {
            openResponses.add(response);
            recordRequest();
        },
        removeRequest(response) {
            openResponses.delete(response);
            bodyBytes.delete(response.req);
            recordRequest();
        },
        recordBody: (request, bytes) => void bodyBytes.set(request, bytes),
        recordRelayed(isAwaited) {
            isRelayedAwaited = isAwaited;
            recordRequest();
        },
        readHolding() {
            const unsentBytes = socket.writableLength + sumOf(openResponses, queuedBytesOf);
            recordProgress(unsentBytes);
            if (isRelayedAwaited) {
                return {
                    openRequests: isRelayedAwaited() ? 1 : 0,
                    bufferedBytes: socket.readableLength,
                    bodyBytes: 0,
                    awaitsClient: unsentBytes > 0,
                    progressMs,
                };
            }
            const headBytes = openResponses.size === 0
                ? Math.min(maxHeadBytes, socket.bytesRead - requestEndBytes)
                : 0;
            return {
                openRequests: openResponses.size,
                // What callers have not taken of responses counts in the memory for responses.
                bufferedBytes: socket.readableLength + headBytes + (door === "entry" ? 0 : unsentBytes),
                bodyBytes: sumOf(bodyBytes.values(), bytes => bytes),
                awaitsClient: headBytes > 0 || unsentBytes > 0 || [...openResponses].some(({ req }) => !req.complete),
                progressMs,
            };
        },
    };
}

/** Bytes of a response that waits behind others on its connection; those of the first one are in the socket. */
const queuedBytesOf = (response: http.ServerResponse): number => response.socket ? 0 : response.writableLength;

const sumOf = <T>(values: Iterable<T>, valueOf: (value: T) => number): number =>
    [...values].reduce((sum, value) => sum + valueOf(value), 0);
