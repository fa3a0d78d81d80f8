import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import * as http from "node:http";
import type * as net from "node:net";

/** Kept connections to upstreams. */
export interface UpstreamConnections {
    /**
     * The agent of an upstream.
     *
     * @param careful for requests that cannot be repeated: they reuse only connections that were used just before,
     * since an upstream may close an idle one at the same moment.
     */
    agentOf(upstream: catalog.Upstream, careful: boolean): http.Agent;
    /** Closes the idle connections to an upstream. */
    discard(upstream: catalog.Upstream): void;
    /** Closes all idle connections, since something on the path may have lost track of them. At most once a second. */
    discardAll(): void;
    dispose(): void;
}

/** Idle time in ms after which a connection is closed; upstreams may close idle ones without notice. */
const maxIdleMs = 4_000;
/** The same for requests that cannot be repeated. */
const maxCarefulIdleMs = 500;
/** Time in ms before the upstream's own idle limit at which a connection is closed here. */
const idleMarginMs = 700;
/** Delay in ms of TCP keep-alive probes on open connections. */
const keepAliveDelayMs = 1_000;

/** Time in ms between two closings of all idle connections; slow answers alone must not cost a connection each. */
const discardAllPauseMs = 1_000;

export function createUpstreamConnections(
    catalogCell: core.SnapshotCell<catalog.CatalogSnapshot>,
    clock: core.Clock,
): UpstreamConnections {
    const agents = new Map<string, http.Agent>();
    let discardedAllMs = Number.NEGATIVE_INFINITY;
    const keyOf = ({ id, host, port }: catalog.Upstream): string => `${id}/${host}:${port}`;
    const subscription = catalogCell.changes.subscribe(({ upstreams }) => {
        const live = new Set([...upstreams.values()].map(keyOf));
        [...agents.keys()].filter(key => !live.has(key.slice(1))).forEach(key => {
            // Requests in flight keep their connections; idle ones are of no more use.
            closeIdle(agents.get(key));
            agents.delete(key);
        });
    });

    return {
        agentOf(upstream, careful) {
            const key = `${careful ? "c" : "n"}${keyOf(upstream)}`;
            const agent = agents.get(key) ?? new UpstreamAgent(careful ? maxCarefulIdleMs : maxIdleMs);
            agents.set(key, agent);
            return agent;
        },
        discard(upstream) {
            ["c", "n"].forEach(prefix => closeIdle(agents.get(prefix + keyOf(upstream))));
        },
        discardAll() {
            if (clock.nowMs() - discardedAllMs >= discardAllPauseMs) {
                discardedAllMs = clock.nowMs();
                agents.forEach(closeIdle);
            }
        },
        dispose() {
            subscription.unsubscribe();
            agents.forEach(agent => agent.destroy());
        },
    };
}

/** An agent whose idle connections are closed when the upstream sends on them, or before it closes them itself. */
class UpstreamAgent extends http.Agent {
    private readonly dropOnData = new WeakMap<net.Socket, () => void>();

    constructor(private readonly idleMs: number) {
        super({ keepAlive: true, scheduling: "lifo", timeout: idleMs, keepAliveMsecs: keepAliveDelayMs });
    }

    override keepSocketAlive(socket: net.Socket): boolean {
        const keeps = (super.keepSocketAlive as (socket: net.Socket) => unknown)(socket) !== false;
        if (!keeps) {
            return false;
        }
        const hintMs = socket.timeout ?? this.idleMs;
        const idleMs = hintMs < this.idleMs ? hintMs - idleMarginMs : this.idleMs;
        if (idleMs <= 0) {
            return false;
        }
        socket.setTimeout(idleMs);
        const drop = (): void => void socket.destroy();
        this.dropOnData.set(socket, drop);
        socket.once("data", drop);
        return true;
    }

    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        const drop = this.dropOnData.get(socket);
        if (drop) {
            socket.removeListener("data", drop);
            this.dropOnData.delete(socket);
        }
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}

function closeIdle(agent: http.Agent | undefined): void {
    Object.values(agent?.freeSockets ?? {}).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
}
