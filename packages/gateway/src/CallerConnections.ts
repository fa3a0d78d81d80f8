import type * as http from "node:http";
import type * as net from "node:net";
import { onceResponseClosed } from "./ResponseClose.js";

/** The open connections of callers and the responses in flight on them. */
export interface CallerConnections {
    /**
     * Records an accepted connection, whether its requests are served or refused.
     *
     * @param wait for how long it has waited to be accepted.
     */
    recordAccepted(socket: net.Socket, wait?: AcceptWait): void;
    /** Records a connection that this VM serves now and another one served before. */
    recordReturned(socket: net.Socket, returned: ReturnedRequest): void;
    /** Whether another VM served a connection before. */
    isReturned(socket: net.Socket): boolean;
    /** What is known of the request of a response from the VM that served its connection before; undefined if none did. */
    returnedRequest(response: http.ServerResponse): ReturnedRequest | undefined;
    /** For how long the connection of a response waited to be accepted; not at all if the response is not the first on it. */
    acceptWait(response: http.ServerResponse): AcceptWait;
    /** @param onClosed called once the response has ended or its connection has closed. */
    recordRequest(response: http.ServerResponse, onClosed?: () => void): void;
    /**
     * Resolves once the responses to all earlier requests on the connection have ended, or the connection has closed; undefined if
     * none is open.
     */
    earlierResponses(response: http.ServerResponse): Promise<void> | undefined;
    /** Records that all of a response has been handed to its connection. */
    recordEnded(response: http.ServerResponse): void;
    /** Whether no earlier request has arrived on the connection of a response. */
    isFirst(response: http.ServerResponse): boolean;
    /** Whether no later request has arrived on the connection of a response. */
    isLatest(response: http.ServerResponse): boolean;
    /** Closes the connection of a response after it, and serves no later request on the connection. */
    closeAfter(response: http.ServerResponse): void;
    /** Whether a request after which its connection is closed has arrived in full, so that nothing behind it is parsed. */
    hasLastArrived(socket: net.Socket): boolean;
    /**
     * Whether a connection is closed after the responses so far, as the latest one states or will state. No later request on it is
     * served.
     */
    isClosing(socket: net.Socket): boolean;
    /** The response to the request that arrived last on a connection. */
    latestOn(socket: net.Socket): http.ServerResponse | undefined;
    /** Responses in flight on a connection, in the order of their requests. */
    inFlightOn(socket: net.Socket): readonly http.ServerResponse[];
    /** Number of responses that have not been written to the kernel in full. */
    inFlightCount(): number;
    /** Whether a response has ended and the kernel has not accepted all of it. */
    hasUnsentResponses(): boolean;
    /** Whether a connection stays open only until its caller has received the last response. */
    hasClosing(): boolean;
    /** Number of open connections on which bytes have arrived. */
    openCount(): number;
    /** Number of connections accepted so far. */
    acceptedCount(): number;
}

/** For how long a connection has waited to be accepted. */
export interface AcceptWait {
    /** Time in ms that another connection waited which was accepted shortly before. */
    readonly waitMs: number;
    /** Time in ms for which it has waited at least. */
    readonly minWaitMs: number;
}

const noWait: AcceptWait = { waitMs: 0, minWaitMs: 0 };

/** The first request on a connection that another VM served before. */
export interface ReturnedRequest {
    /** Time in ms for which it has waited for a response. */
    readonly waitedMs: number;
    /** Whether it may have run. */
    readonly mayHaveRun: boolean;
    /** Takes one from the number of requests that may be run again; false if there is none. */
    tryRunAgain(): boolean;
}

/** The place of a response on its connection. */
interface Turn {
    readonly earlier: Promise<void> | undefined;
    end(): void;
}

export function createCallerConnections(): CallerConnections {
    const sockets = new Set<net.Socket>();
    let acceptedCount = 0;
    const inFlight = new Set<http.ServerResponse>();
    const lastRequests = new WeakMap<net.Socket, http.IncomingMessage>();
    const latestResponses = new WeakMap<net.Socket, http.ServerResponse>();
    const firstResponses = new WeakSet<http.ServerResponse>();
    const acceptWaits = new WeakMap<net.Socket, AcceptWait>();
    const returnedRequests = new WeakMap<net.Socket, ReturnedRequest>();
    const turns = new WeakMap<http.ServerResponse, Turn>();
    /** Resolve once all responses on a connection have ended; missing while none is open. */
    const openResponses = new WeakMap<net.Socket, Promise<void>>();

    function takeTurn(response: http.ServerResponse): Turn {
        const { socket } = response.req;
        const earlier = openResponses.get(socket);
        let end: () => void = () => undefined;
        const ended = new Promise<void>(resolve => end = resolve);
        const allEnded = earlier ? earlier.then(() => ended) : ended;
        openResponses.set(socket, allEnded);
        void allEnded.then(() => {
            if (openResponses.get(socket) === allEnded) {
                openResponses.delete(socket);
            }
        });
        return { earlier, end };
    }

    return {
        recordAccepted(socket, wait = noWait) {
            acceptedCount++;
            acceptWaits.set(socket, wait);
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        },
        recordRequest(response, onClosed) {
            inFlight.add(response);
            if (!latestResponses.has(response.req.socket)) {
                firstResponses.add(response);
            }
            latestResponses.set(response.req.socket, response);
            const turn = takeTurn(response);
            turns.set(response, turn);
            onceResponseClosed(response, () => {
                inFlight.delete(response);
                turn.end();
                onClosed?.();
            });
        },
        earlierResponses: response => turns.get(response)?.earlier,
        recordEnded: response => turns.get(response)?.end(),
        isFirst: response => firstResponses.has(response),
        recordReturned(socket, returned) {
            acceptWaits.delete(socket);
            returnedRequests.set(socket, returned);
        },
        isReturned: socket => returnedRequests.has(socket),
        returnedRequest(response) {
            const returned = returnedRequests.get(response.req.socket);
            // The lost VM may have ended the response to the first request, and begun with those that were sent ahead.
            return returned?.mayHaveRun || firstResponses.has(response) ? returned : undefined;
        },
        acceptWait: response =>
            (firstResponses.has(response) ? acceptWaits.get(response.req.socket) : undefined) ?? noWait,
        isLatest: response => latestResponses.get(response.req.socket) === response,
        closeAfter(response) {
            response.shouldKeepAlive = false;
            lastRequests.set(response.req.socket, response.req);
        },
        hasLastArrived: socket => lastRequests.get(socket)?.complete === true,
        isClosing(socket) {
            const latest = latestResponses.get(socket);
            return !socket.writable || lastRequests.has(socket)
                || (latest !== undefined && latest.headersSent && !latest.shouldKeepAlive);
        },
        latestOn: socket => latestResponses.get(socket),
        inFlightOn: socket => [...inFlight].filter(({ req }) => req.socket === socket),
        inFlightCount: () => inFlight.size,
        hasUnsentResponses: () => [...inFlight].some(({ writableEnded }) => writableEnded),
        hasClosing: () =>
            [...sockets].some(({ writableEnded, destroyed }) => writableEnded && !destroyed)
            // A response that begins before its request has arrived in full is a refusal.
            || [...inFlight].some(({ headersSent, req }) => headersSent && !req.complete),
        openCount: () => [...sockets].filter(({ destroyed, bytesRead }) => !destroyed && bytesRead > 0).length,
        acceptedCount: () => acceptedCount,
    };
}
