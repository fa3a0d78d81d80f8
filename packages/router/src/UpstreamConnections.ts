import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import * as constants from "./RouterConstants.js";

/** Keep-alive connections to each upstream. One connection carries one request at a time. */
export interface UpstreamConnections {
    agentOf(upstream: documents.Upstream): Agent;
    /** Gives up the idle connections to an upstream; requests that run keep theirs until they end. */
    discard(upstream: documents.Upstream): void;
    /** Gives up the connections to upstreams that are no longer listed. */
    retain(upstreams: readonly documents.Upstream[]): void;
    dispose(): void;
}

export function createUpstreamConnections(): UpstreamConnections {
    const entries = new Map<core.UpstreamId, { readonly url: string; readonly agent: UpstreamAgent; }>();

    function remove(id: core.UpstreamId): void {
        entries.get(id)?.agent.retire();
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

    // Bytes on an idle connection belong to no request. Left unread, the next request would take them for its answer.
    override keepSocketAlive(socket: Socket): boolean {
        socket.on("data", closeOnUnexpectedBytes);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.removeListener("data", closeOnUnexpectedBytes);
        super.reuseSocket(socket, request);
    }

    /** Closes idle connections, now and when running requests end. `destroy` would also cut running requests. */
    retire(): void {
        this.maxFreeSockets = 0;
        Object.values(this.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
    }
}
