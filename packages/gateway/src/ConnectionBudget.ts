import type * as core from "@peridotloft/core";

/** What a connection holds now. */
export interface ConnectionHolding {
    /** Requests whose responses have not been handed to the kernel in full. */
    readonly openRequests: number;
    /** Bytes of heads, and of responses that this process makes itself, that are in its buffers. */
    readonly bufferedBytes: number;
    /** Bytes reserved for bodies, which have a memory of their own. They count in the order of ending only. */
    readonly bodyBytes: number;
    /** Whether the rest of a head or body, or the taking of a response, is awaited from the client. */
    readonly awaitsClient: boolean;
    /** Time in ms at which bytes arrived or were taken last. */
    readonly progressMs: number;
}

/** The bound for which a connection is ended: its open requests, what all connections may hold, or how many there may be. */
export type ConnectionBound = "open-requests" | "process-memory" | "connections";

/** A connection that is ended, and why. */
export interface EndedConnection {
    readonly bound: ConnectionBound;
    /** Bytes that it holds apart from bodies, and that all connections hold. */
    readonly heldBytes: number;
    readonly totalBytes: number;
    readonly bodyBytes: number;
    readonly openRequests: number;
    readonly awaitsClient: boolean;
    /** Time in ms since its last progress. */
    readonly stalledMs: number;
    /** Number of connections, itself included. */
    readonly connections: number;
}

export interface BudgetedConnection {
    readonly maxOpenRequests: number;
    /** Number of connections, itself included, up to which there is a place for it. */
    readonly maxConnections: number;
    readonly readHolding: () => ConnectionHolding;
    readonly end: (ended: EndedConnection) => void;
}

/**
 * Bounds what the connections of a process hold, on whichever port. Those that hold most and progress least are ended first. A
 * connection whose only request is being served is not ended for what others hold.
 */
export interface ConnectionBudget {
    readonly maxBytes: number;
    heldBytes(): number;
    connectionCount(): number;
    /** Adds a connection; it may be ended at once if there is no place for it. */
    add(connection: BudgetedConnection): void;
    /** Counts a connection anew; call it when it holds more, or less. */
    update(connection: BudgetedConnection): void;
    remove(connection: BudgetedConnection): void;
    /** Counts all connections anew. */
    updateAll(): void;
}

export interface ConnectionBudgetOptions {
    readonly clock: core.Clock;
    /** Bytes that all connections may hold apart from bodies. */
    readonly maxBytes: number;
}

/** Bytes of a connection without a request, and of an open request with its response and its place in the parser. */
export const idleConnectionBytes = 4 * 1024;
export const openRequestBytes = 24 * 1024;
/** Bytes up to which a connection counts as that of an ordinary client: one request in progress, with the head of another. */
const ordinaryBytes = idleConnectionBytes + openRequestBytes + 16 * 1024;
/** Time in ms without progress from which a client is not waited for while others need what its connection holds. */
const stalledMs = 1_000;
/** Time in ms until all connections are compared again when none could be ended. */
const fruitlessPauseMs = 50;

/** Bytes that a connection holds apart from bodies. */
export function heldBytesOf({ openRequests, bufferedBytes }: ConnectionHolding): number {
    return idleConnectionBytes + openRequests * openRequestBytes + bufferedBytes;
}

/** What a connection may be ended for, in this order; an `active` one is not ended. */
type Standing = "holds-much" | "stalled" | "idle" | "active";

function standingOf(holding: ConnectionHolding, nowMs: number): Standing {
    if (heldBytesOf(holding) > ordinaryBytes) {
        return "holds-much";
    }
    if (holding.awaitsClient) {
        return nowMs - holding.progressMs >= stalledMs ? "stalled" : "active";
    }
    return holding.openRequests === 0 ? "idle" : "active";
}

const order: Readonly<Record<Standing, number>> = { "holds-much": 2, "stalled": 1, "idle": 0, "active": -1 };

/** How early a connection is ended: those of a larger rank first, and of equal rank those of a larger weight. */
export interface EndOrder {
    readonly rank: number;
    /** Bytes held, bodies included, multiplied by the time in s since the last progress and one. */
    readonly weight: number;
}

export function endOrderOf(holding: ConnectionHolding, nowMs: number): EndOrder {
    const waitedS = Math.max(0, nowMs - holding.progressMs) / 1_000;
    return {
        rank: order[standingOf(holding, nowMs)],
        weight: (heldBytesOf(holding) + holding.bodyBytes) * (1 + waitedS),
    };
}

/** The first to end of those with `minRank` at least. */
function firstToEnd(
    connections: Iterable<BudgetedConnection>,
    nowMs: number,
    minRank: number,
): BudgetedConnection | undefined {
    let first: BudgetedConnection | undefined;
    let firstOrder: EndOrder = { rank: minRank, weight: -1 };
    for (const connection of connections) {
        const order = endOrderOf(connection.readHolding(), nowMs);
        if (order.rank > firstOrder.rank || (order.rank === firstOrder.rank && order.weight > firstOrder.weight)) {
            first = connection;
            firstOrder = order;
        }
    }
    return first;
}

export function createConnectionBudget({ clock, maxBytes }: ConnectionBudgetOptions): ConnectionBudget {
    const heldBytes = new Map<BudgetedConnection, number>();
    let totalBytes = 0;
    let fruitlessUntilMs = Number.NEGATIVE_INFINITY;

    function record(connection: BudgetedConnection, holding: ConnectionHolding): void {
        const bytes = heldBytesOf(holding);
        totalBytes += bytes - (heldBytes.get(connection) ?? 0);
        heldBytes.set(connection, bytes);
    }

    function remove(connection: BudgetedConnection): void {
        totalBytes -= heldBytes.get(connection) ?? 0;
        heldBytes.delete(connection);
    }

    function end(connection: BudgetedConnection, bound: ConnectionBound): void {
        const holding = connection.readHolding();
        const { bodyBytes, openRequests, awaitsClient, progressMs } = holding;
        const ended = {
            bound,
            heldBytes: heldBytesOf(holding),
            totalBytes,
            bodyBytes,
            openRequests,
            awaitsClient,
            stalledMs: Math.round(Math.max(0, clock.nowMs() - progressMs)),
            connections: heldBytes.size,
        };
        remove(connection);
        connection.end(ended);
    }

    /** Ends connections that hold something until the others are within the bound, or only ordinary ones are left. */
    function endUntilWithinBound(): void {
        const nowMs = clock.nowMs();
        while (totalBytes > maxBytes && nowMs >= fruitlessUntilMs) {
            // An idle connection holds too little to make room.
            const first = firstToEnd(heldBytes.keys(), nowMs, order.stalled);
            if (first) {
                end(first, "process-memory");
            }
            else {
                fruitlessUntilMs = nowMs + fruitlessPauseMs;
            }
        }
    }

    function update(connection: BudgetedConnection): void {
        if (!heldBytes.has(connection)) {
            return;
        }
        const holding = connection.readHolding();
        record(connection, holding);
        if (holding.openRequests > connection.maxOpenRequests) {
            end(connection, "open-requests");
        }
        endUntilWithinBound();
    }

    return {
        maxBytes,
        heldBytes: () => totalBytes,
        connectionCount: () => heldBytes.size,
        add(connection) {
            if (heldBytes.size >= connection.maxConnections) {
                const first = firstToEnd(heldBytes.keys(), clock.nowMs(), order.idle);
                if (first) {
                    end(first, "connections");
                }
                else {
                    end(connection, "connections");
                    return;
                }
            }
            record(connection, connection.readHolding());
            endUntilWithinBound();
        },
        update,
        remove,
        updateAll: () => [...heldBytes.keys()].forEach(update),
    };
}
