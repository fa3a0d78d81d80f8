import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import * as http from "node:http";
import type * as net from "node:net";

/** Connection pools of the upstreams. */
export interface UpstreamConnections {
    /**
     * Returns the HTTP agent of an upstream.
     *
     * @param recentOnly true for requests that cannot be retried. They reuse only recently used connections, since an
     * upstream may close an idle connection just as a request is written to it.
     */
    agentOf(upstream: catalog.Upstream, recentOnly: boolean): http.Agent;
    /** Closes the idle connections to an upstream. */
    closeIdle(upstream: catalog.Upstream): void;
    /** Closes all idle connections, since a device on the path may have dropped their state. At most once a second. */
    closeAllIdle(): void;
    dispose(): void;
}

/** Idle time in ms after which a connection is closed; upstreams may close idle connections without notice. */
const maxIdleMs = 4_000;
/** The same for requests that cannot be retried. */
const maxRecentIdleMs = 500;
/** The same if the upstream announces no idle timeout: it may have one of less than a second, which it cannot announce. */
const maxUnannouncedIdleMs = 500;
/** The agents' own timeout in ms, in place of which Node.js sets the one that an upstream announces. */
const unannouncedTimeoutMs = 2 ** 31 - 1;
/** Time in ms by which a connection is closed before the idle timeout that the upstream announces. */
const idleMarginMs = 700;
/** Delay in ms of TCP keep-alive probes on open connections. */
const keepAliveDelayMs = 1_000;

/** Minimum interval in ms at which all idle connections are closed, so that not every slow response costs connections. */
const closeAllIntervalMs = 1_000;

export function createUpstreamConnections(
    catalogCell: core.SnapshotCell<catalog.CatalogSnapshot>,
    clock: core.Clock,
): UpstreamConnections {
    /** By `c` for agents that reuse only recently used connections, else `n`, followed by the key of the upstream. */
    const agents = new Map<string, http.Agent>();
    let closedAllMs = Number.NEGATIVE_INFINITY;
    const keyOf = ({ id, host, port }: catalog.Upstream): string => `${id}/${host}:${port}`;
    const subscription = catalogCell.changes.subscribe(({ upstreams }) => {
        const currentKeys = new Set([...upstreams.values()].map(keyOf));
        [...agents.keys()].filter(key => !currentKeys.has(key.slice(1))).forEach(key => {
            // Requests in flight keep their connections; only idle connections are closed.
            closeIdle(agents.get(key));
            agents.delete(key);
        });
    });

    return {
        agentOf(upstream, recentOnly) {
            const key = `${recentOnly ? "c" : "n"}${keyOf(upstream)}`;
            const agent = agents.get(key) ?? new UpstreamAgent(clock, recentOnly ? maxRecentIdleMs : maxIdleMs);
            agents.set(key, agent);
            return agent;
        },
        closeIdle(upstream) {
            ["c", "n"].forEach(prefix => closeIdle(agents.get(prefix + keyOf(upstream))));
        },
        closeAllIdle() {
            if (clock.nowMs() - closedAllMs >= closeAllIntervalMs) {
                closedAllMs = clock.nowMs();
                agents.forEach(closeIdle);
            }
        },
        dispose() {
            subscription.unsubscribe();
            agents.forEach(agent => agent.destroy());
        },
    };
}

/** An agent whose requests use one connection, one after the other, for as long as the upstream keeps it open. */
export function createSingleConnectionAgent(clock: core.Clock): http.Agent {
    return new UpstreamAgent(clock, maxRecentIdleMs, 1);
}

/** An agent that closes idle connections on unexpected data and before the idle timeout that the upstream announces. */
class UpstreamAgent extends http.Agent {
    private readonly idleDataListeners = new WeakMap<net.Socket, () => void>();
    /** Times in ms at which idle connections are closed. */
    private readonly idleUntilMs = new WeakMap<net.Socket, number>();

    constructor(
        private readonly clock: core.Clock,
        private readonly idleMs: number,
        maxSockets = Number.POSITIVE_INFINITY,
    ) {
        super({
            keepAlive: true,
            scheduling: "lifo",
            timeout: unannouncedTimeoutMs,
            keepAliveMsecs: keepAliveDelayMs,
            maxSockets,
        });
    }

    override keepSocketAlive(socket: net.Socket): boolean {
        const isReusable = (super.keepSocketAlive as (socket: net.Socket) => unknown)(socket) !== false;
        if (!isReusable) {
            return false;
        }
        const idleMs = this.maxIdleMs(socket.timeout ?? unannouncedTimeoutMs);
        if (idleMs <= 0) {
            return false;
        }
        socket.setTimeout(idleMs);
        this.idleUntilMs.set(socket, this.clock.nowMs() + idleMs);
        const onIdleData = (): void => void socket.destroy();
        this.idleDataListeners.set(socket, onIdleData);
        socket.once("data", onIdleData);
        return true;
    }

    private maxIdleMs(announcedIdleMs: number): number {
        if (announcedIdleMs === unannouncedTimeoutMs) {
            return Math.min(this.idleMs, maxUnannouncedIdleMs);
        }
        return announcedIdleMs < this.idleMs ? announcedIdleMs - idleMarginMs : this.idleMs;
    }

    /** Assigns a connection to a request; Node.js calls it for each. It is missing in the types of `http.Agent`. */
    addRequest(...args: unknown[]): void {
        this.closeExpired();
        (http.Agent.prototype as unknown as { addRequest(...values: unknown[]): void; }).addRequest.apply(this, args);
    }

    /** Closes connections whose idle time has passed in the current turn of the event loop, so that no timer has closed them. */
    private closeExpired(): void {
        const nowMs = this.clock.nowMs();
        const isExpired = (socket: net.Socket): boolean =>
            nowMs >= (this.idleUntilMs.get(socket) ?? Number.POSITIVE_INFINITY);
        Object.values(this.freeSockets).forEach(sockets => {
            const expired = sockets?.filter(isExpired) ?? [];
            // Node.js would use a connection that is being closed.
            sockets?.splice(0, sockets.length, ...sockets.filter(socket => !isExpired(socket)));
            expired.forEach(socket => socket.destroy());
        });
    }

    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        const onIdleData = this.idleDataListeners.get(socket);
        if (onIdleData) {
            socket.removeListener("data", onIdleData);
            this.idleDataListeners.delete(socket);
        }
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}

function closeIdle(agent: http.Agent | undefined): void {
    Object.values(agent?.freeSockets ?? {}).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
}
