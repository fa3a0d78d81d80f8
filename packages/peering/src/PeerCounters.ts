/** Counters of a VM's traffic with other VMs since its start. */
export interface PeerCounters {
    callsSent: number;
    callsOk: number;
    callsFailed: number;
    callsRefused: number;
    callsTimedOut: number;
    callsUnreachable: number;
    /** Replies whose MAC was wrong. */
    repliesUnauthentic: number;
    received: number;
    handled: number;
    refusedMac: number;
    refusedReceiver: number;
    refusedOldIncarnation: number;
    /** Envelopes addressed to another run of this VM. */
    refusedOtherRun: number;
    refusedReplay: number;
    refusedSize: number;
    refusedSlice: number;
    connectionsOpened: number;
    /** Connections closed because a ping was not acknowledged. */
    connectionsDead: number;
}

export function createPeerCounters(): PeerCounters {
    return {
        callsSent: 0,
        callsOk: 0,
        callsFailed: 0,
        callsRefused: 0,
        callsTimedOut: 0,
        callsUnreachable: 0,
        repliesUnauthentic: 0,
        received: 0,
        handled: 0,
        refusedMac: 0,
        refusedReceiver: 0,
        refusedOldIncarnation: 0,
        refusedOtherRun: 0,
        refusedReplay: 0,
        refusedSize: 0,
        refusedSlice: 0,
        connectionsOpened: 0,
        connectionsDead: 0,
    };
}
