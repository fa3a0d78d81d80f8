import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { type AcceptQueueMonitor, minAcceptedWhileBusy } from "../AcceptQueueMonitor.js";
import { readPatienceMs } from "../CallerPatience.js";
import type { OverloadGuard } from "../OverloadGuard.js";

/** Decides which new connections are passed on to other VMs, ahead of the load at which this VM has to refuse some. */
export interface RelayShare {
    /** Decides on a connection that was accepted just now. */
    passesOn(): boolean;
    /**
     * Decides whether an open connection is closed after the response that begins now. Its caller opens another one, which is passed
     * on: a VM whose open connections alone take its processor time gets no relief by passing on new ones.
     */
    closesOpen(): boolean;
    /** Share of new connections that is passed on, 0 to 1. */
    current(): number;
    dispose(): void;
}

export interface RelayShareOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly random: core.Random;
    readonly utilization: OverloadGuard["utilization"];
    readonly acceptQueue: Pick<AcceptQueueMonitor, "waitMs" | "acceptedWhileBusy">;
    /** Number of other VMs that have room for relayed connections. */
    readonly peersWithRoom: () => number;
}

/** Utilization of the event loop from which the share rises. It is below that from which connections are refused. */
const highUtilization = 0.8;
/** Utilization below which the share falls, and up to which a VM takes connections of others. */
export const targetUtilization = 0.65;
const intervalMs = 100;
/** Change of the share per interval: it reaches 1 in 0.5 s and falls to 0 in 2.5 s. */
const increase = 0.2;
const decrease = 0.04;
/**
 * Share of the responses with which open connections are closed. Closing many at once would fill the accept queue with those that
 * replace them.
 */
const closedShare = 0.2;
/** Wait in ms in the accept queue from which all connections are passed on: a fraction of what latency objectives leave to a VM. */
const minWaitMs = 30;

export function createRelayShare(options: RelayShareOptions): RelayShare {
    const { clock, log, random, utilization, acceptQueue, peersWithRoom } = options;
    let share = 0;

    const isQueueing = (): boolean =>
        acceptQueue.waitMs() >= minWaitMs && acceptQueue.acceptedWhileBusy() >= minAcceptedWhileBusy;

    function setShare(next: number): void {
        if (share === 0 !== (next === 0)) {
            log.state(next > 0 ? "entry-relay-started" : "entry-relay-ended", {
                utilization: utilization(),
                acceptWaitMs: Math.round(acceptQueue.waitMs()),
                peersWithRoom: peersWithRoom(),
            });
        }
        share = next;
    }

    const dispose = core.setRepeatingTimer(clock, intervalMs, () => {
        if (share === 0 && (utilization() < highUtilization || peersWithRoom() === 0)) {
            return;
        }
        if (utilization() >= highUtilization) {
            setShare(Math.min(1, share + increase));
        }
        else if (utilization() < targetUtilization) {
            setShare(Math.max(0, share - decrease));
        }
    });

    return {
        passesOn() {
            if (acceptQueue.waitMs() >= readPatienceMs) {
                return false;
            }
            return isQueueing() || (share > 0 && random() < share);
        },
        closesOpen: () =>
            share >= 1 && utilization() >= highUtilization && peersWithRoom() > 0 && random() < closedShare,
        current: () => share,
        dispose,
    };
}
