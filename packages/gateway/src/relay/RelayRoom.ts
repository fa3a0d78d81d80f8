import type * as core from "@peridotloft/core";
import { targetUtilization } from "./RelayShare.js";

/** The processor time that this VM can spare for connections of other VMs. */
export interface RelayRoom {
    /** Processor time in cores, less what the connections taken lately will need. */
    spareCores(): number;
    /** Takes a connection if there is room. */
    tryTake(): boolean;
}

export interface RelayRoomOptions {
    readonly clock: core.Clock;
    /** Processor time in cores that this process gets. */
    readonly cores: number;
    readonly utilization: () => number;
    /** Whether this VM is ready and serves all its own callers. */
    readonly isOpen: () => boolean;
}

/** Processor time in ms of a core that the first requests of a connection need. */
const connectionCostMs = 4;
/** Time in ms after which the utilization shows the connections that were taken. */
const settlingMs = 300;
/** Processor time in cores for which a connection that was taken just now counts. */
export const connectionCores = connectionCostMs / settlingMs;

export function createRelayRoom({ clock, cores, utilization, isOpen }: RelayRoomOptions): RelayRoom {
    let takenCores = 0;
    let takenMs = clock.nowMs();

    /** What was taken counts less and less, since the utilization includes it. */
    function decayTaken(): void {
        const nowMs = clock.nowMs();
        takenCores *= Math.exp((takenMs - nowMs) / settlingMs);
        takenMs = nowMs;
    }

    function spareCores(): number {
        decayTaken();
        return isOpen() ? Math.max(0, (targetUtilization - utilization()) * cores - takenCores) : 0;
    }

    return {
        spareCores,
        tryTake() {
            if (spareCores() <= 0) {
                return false;
            }
            takenCores += connectionCores;
            return true;
        },
    };
}
