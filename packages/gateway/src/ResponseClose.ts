import type * as http from "node:http";

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
