import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Calls `onClosed` once when a response has ended or its connection has closed. Node.js does not report the close of a connection
 * to responses that wait behind another one on it.
 */
export function onceResponseClosed(response: http.ServerResponse, onClosed: () => void): void {
    const { socket } = response.req;
    let isClosed = false;
    const close = (): void => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        response.off("close", close);
        socket.off("close", close);
        onClosed();
    };
    // One listener per pipelined request.
    socket.setMaxListeners(0);
    response.once("close", close);
    socket.once("close", close);
}

/** Which side closed a connection before its response was complete, and how. */
export interface ConnectionClose {
    readonly closedBy: "caller" | "vm";
    /** Code of the error, `closed` for an orderly close, or `destroyed` if this process closed it without an error. */
    readonly cause: string;
}

/** Call it once the connection has closed. */
export function connectionCloseOf({ errored, readableEnded }: net.Socket): ConnectionClose {
    const { code, syscall } = (errored ?? {}) as NodeJS.ErrnoException;
    // Errors of the system are the connection's, others the HTTP parser's.
    const closedBy = readableEnded || syscall !== undefined ? "caller" : "vm";
    return { closedBy, cause: code ?? errored?.message ?? (readableEnded ? "closed" : "destroyed") };
}
