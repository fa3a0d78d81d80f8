import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import * as constants from "./RouterConstants.js";

/** Pools of keep-alive connections, one per upstream. A connection carries one request at a time. */
export interface UpstreamConnections {
    agentOf(upstream: documents.Upstream): Agent;
    /** Closes the idle connections to an upstream; those in use are closed when their requests end. */
    discard(upstream: documents.Upstream): void;
    /** Closes the idle connections to all upstreams that are not listed or whose URL differs, as `discard` does. */
    retain(upstreams: readonly documents.Upstream[]): void;
    dispose(): void;
}

export function createUpstreamConnections(): UpstreamConnections {
    const entries = new Map<core.UpstreamId, { readonly url: string; readonly agent: UpstreamAgent; }>();

    function remove(id: core.UpstreamId): void {
        entries.get(id)?.agent.closeIdleSockets();
        entries.delete(id);
    }

    return {
        agentOf(upstream) {
            const entry = entries.get(upstream.id);
            if (entry?.url === upstream.url) {
                return entry.agent;
            }
            remove(upstream.id);
            const agent = new UpstreamAgent();
            entries.set(upstream.id, { url: upstream.url, agent });
            return agent;
        },
        discard: upstream => remove(upstream.id),
        retain(upstreams) {
            const listed = new Map(upstreams.map(upstream => [upstream.id, upstream.url]));
            [...entries].filter(([id, entry]) => listed.get(id) !== entry.url).forEach(([id]) => remove(id));
        },
        dispose: () => [...entries.keys()].forEach(remove),
    };
}

function closeOnUnexpectedBytes(this: Socket): void {
    this.destroy();
}

class UpstreamAgent extends Agent {
    constructor() {
        super({ keepAlive: true, timeout: constants.upstreamIdleTimeoutMs, scheduling: "lifo" });
    }

    // Bytes on an idle connection belong to no request. If they stayed unread, the next request would take them for its
    // response.
    override keepSocketAlive(socket: Socket): boolean {
        socket.on("data", closeOnUnexpectedBytes);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.removeListener("data", closeOnUnexpectedBytes);
        super.reuseSocket(socket, request);
    }

    /** Closes idle connections now and others when their requests end. `destroy` would also abort requests in flight. */
    closeIdleSockets(): void {
        this.maxFreeSockets = 0;
        Object.values(this.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
    }
}
