import type { Result } from "neverthrow";
import type { VmId } from "./Ids.js";
import type { Verdict } from "./Verdict.js";

/** Why a call to another VM failed. */
export interface PeerError {
    /**
     * - `unreachable`: the message was certainly not delivered.
     * - `timeout`: no reply before the timeout; the message may have been handled.
     * - `refused`: the peer rejected the message (authentication, unknown slice) and did not handle it.
     * - `failed`: the peer's handler returned an error.
     */
    readonly kind: "unreachable" | "timeout" | "refused" | "failed";
    readonly message: string;
}

/**
 * Handles messages of one slice from other VMs. A slice is the part of the traffic between VMs that belongs to one
 * component. The error text of a failed result is returned to the sender.
 */
export type SliceHandler = (from: VmId, payload: Uint8Array) => Promise<Result<Uint8Array, string>>;

/** Sends messages to other VMs. Never throws or rejects. */
export interface PeerTransport {
    call(to: VmId, slice: string, payload: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, PeerError>>;
}

/** The endpoint of one VM in the traffic between VMs. */
export interface PeerEndpoint extends PeerTransport {
    /** Registers the handler of a slice; returns a function that removes it. */
    registerSlice(slice: string, handler: SliceHandler): () => void;
}

/** Whether the peer may have handled a message whose call failed with this error. */
export function verdictOfPeerError(error: PeerError): Verdict {
    return error.kind === "unreachable" || error.kind === "refused" ? "not-run" : "may-have-run";
}
