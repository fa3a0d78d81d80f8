import * as core from "@peridotloft/core";
import type * as net from "node:net";
import type { ReturnedRequest } from "../CallerConnections.js";
import type { ReturnedConnection } from "./RelayedPair.js";

/** Connections that this VM accepted and another one served until it released them or was lost. */
export interface RelayReturns {
    /**
     * Serves a connection. One without an unanswered request is closed instead, unless a request arrives in this turn of the event
     * loop: its caller opens another one.
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
        let hasArrived = false;
        const onError = (): void => void caller.destroy();
        const onData = (bytes: Buffer): void => {
            hasArrived = true;
            caller.pause();
            caller.off("data", onData).off("error", onError);
            serveWith(bytes);
        };
        const closeUnlessArrived = (): void => {
            if (!hasArrived) {
                caller.off("data", onData);
                core.closeGracefully(caller, clock);
            }
        };
        caller.on("error", onError).on("data", onData).resume();
        // The second callback runs after the sockets have been polled.
        setImmediate(() => setImmediate(closeUnlessArrived));
    }

    return {
        takeBack,
        recordAnswered: () => reruns = Math.min(maxReruns, reruns + rerunsPerResponse),
    };
}
