import type * as core from "@peridotloft/core";
import type * as net from "node:net";
import type { ReturnedRequest } from "../CallerConnections.js";
import type { ReturnedConnection } from "./RelayedPair.js";

/** Connections that this VM accepted and another one served until it released them or was lost. */
export interface RelayReturns {
    /**
     * Serves a connection. One without an unanswered request is closed if none arrives within 2 s: when its VM drains, callers that send one
     * until then are told of the close.
     */
    takeBack(returned: ReturnedConnection): void;
    /** Records a response of another VM. */
    recordAnswered(): void;
}

export interface RelayReturnsOptions {
    readonly clock: core.Clock;
    /** Serves a connection. What has been read of its unanswered requests has been put back. */
    readonly serve: (caller: net.Socket, returned: ReturnedRequest) => void;
}

/**
 * Requests that may be run again at once although a lost VM may have run them, and how many more for each response of the others. The VMs of
 * a zone together stay below the number of repeated requests that the platform allows; callers get a 502 for the rest.
 */
const maxReruns = 8;
const rerunsPerResponse = 0.1;
/** Time in ms for a request to arrive on a connection without one, after which it is closed. */
const idleMs = 2_000;

export function createRelayReturns({ clock, serve }: RelayReturnsOptions): RelayReturns {
    let reruns = maxReruns;

    function tryRunAgain(): boolean {
        const mayRunAgain = reruns >= 1;
        reruns -= mayRunAgain ? 1 : 0;
        return mayRunAgain;
    }

    function takeBack({ caller, unansweredBytes, mayHaveRun, waitedMs }: ReturnedConnection): void {
        const serveWith = (bytes: Buffer): void => {
            caller.unshift(bytes);
            serve(caller, { waitedMs, mayHaveRun, tryRunAgain });
        };
        if (unansweredBytes.length > 0) {
            serveWith(unansweredBytes);
            return;
        }
        let isWaiting = true;
        const onEnded = (): void => void caller.destroy();
        const onData = (bytes: Buffer): void => {
            caller.pause();
            stopWaiting();
            serveWith(bytes);
        };
        // The second callback runs after the sockets have been polled.
        const closeIfWaiting = (): void => void (isWaiting && caller.destroy());
        const cancelTimer = clock.setTimer(idleMs, () => setImmediate(() => setImmediate(closeIfWaiting)));
        const stopWaiting = (): void => {
            cancelTimer();
            caller.off("data", onData).off("end", onEnded).off("error", onEnded).off("close", stopWaiting);
            isWaiting = false;
        };
        caller.on("data", onData).on("end", onEnded).on("error", onEnded).on("close", stopWaiting).resume();
    }

    return {
        takeBack,
        recordAnswered: () => reruns = Math.min(maxReruns, reruns + rerunsPerResponse),
    };
}
