import type * as telemetry from "@peridotloft/telemetry";
import type * as http from "node:http";
import * as net from "node:net";
import { onceResponseClosed } from "./ResponseClose.js";

/** Bounds the requests that wait behind unfinished responses on their connections. */
export interface PipelineLimit {
    /**
     * Records a request. While many are open on its connection, or in all, nothing more is read from the connection. Returns false if
     * many are open on both: the connection has been closed then, and the request must not be served.
     */
    tryAdd(response: http.ServerResponse): boolean;
    /** Whether reading from a connection is paused. */
    isPaused(socket: net.Socket): boolean;
    /** Number of requests that wait behind others on their connections. */
    waitingCount(): number;
}

export interface PipelineLimitOptions {
    readonly log: telemetry.EventLog;
    /** Number of waiting requests from which a connection with two open ones is not read, until one is left. */
    readonly maxWaiting: number;
    /** Calls back after the sockets have been polled once more. */
    readonly onTurnEnd?: (callback: () => void) => void;
}

/** Number of open requests from which a connection is not read, until half of them have ended. */
export const maxOpenPerConnection = 16;

interface Pipeline {
    readonly socket: net.Socket;
    openCount: number;
    /** Whether the connection is read; a resumable one is from its turn on. */
    state: "read" | "paused" | "resumable";
}

export function createPipelineLimit(
    { log, maxWaiting, onTurnEnd = callback => setImmediate(() => setImmediate(callback)) }: PipelineLimitOptions,
): PipelineLimit {
    const pipelines = new WeakMap<net.Socket, Pipeline>();
    /** Resumable connections, in the order of their turns. */
    const resumable: Pipeline[] = [];
    let waitingCount = 0;

    function pause(pipeline: Pipeline): void {
        const { socket } = pipeline;
        pipeline.state = "paused";
        socket.pause();
        // The HTTP server resumes the connection at the end of each request.
        socket.resume = () => socket;
    }

    function resumeInTurn(pipeline: Pipeline): void {
        pipeline.state = "resumable";
        if (resumable.push(pipeline) === 1) {
            onTurnEnd(resumeNext);
        }
    }

    /** Resumes one connection in each turn of the event loop, in which Node.js accepts no more than one new connection either. */
    function resumeNext(): void {
        let next = resumable.shift();
        while (next?.socket.destroyed) {
            next = resumable.shift();
        }
        if (resumable.length > 0) {
            onTurnEnd(resumeNext);
        }
        if (next) {
            next.state = "read";
            next.socket.resume = net.Socket.prototype.resume;
            next.socket.resume();
        }
    }

    function remove(pipeline: Pipeline): void {
        pipeline.openCount--;
        if (pipeline.openCount > 0) {
            waitingCount--;
        }
        const resumedAt = waitingCount < maxWaiting ? maxOpenPerConnection / 2 : 1;
        if (pipeline.state === "paused" && pipeline.openCount <= resumedAt) {
            resumeInTurn(pipeline);
        }
    }

    return {
        tryAdd(response) {
            const { socket } = response.req;
            const pipeline = pipelines.get(socket) ?? { socket, openCount: 0, state: "read" };
            pipelines.set(socket, pipeline);
            const isWaiting = pipeline.openCount > 0;
            const isFull = waitingCount >= maxWaiting;
            if (isFull && pipeline.openCount >= maxOpenPerConnection) {
                log.failure("pipelined-requests-refused", {
                    open: pipeline.openCount,
                    waiting: waitingCount,
                    maxWaiting,
                    bytesRead: socket.bytesRead,
                });
                socket.destroy();
                return false;
            }
            pipeline.openCount++;
            waitingCount += isWaiting ? 1 : 0;
            onceResponseClosed(response, () => remove(pipeline));
            if (pipeline.state === "read" && pipeline.openCount >= (isFull ? 2 : maxOpenPerConnection)) {
                pause(pipeline);
            }
            return true;
        },
        isPaused: socket => (pipelines.get(socket)?.state ?? "read") !== "read",
        waitingCount: () => waitingCount,
    };
}
