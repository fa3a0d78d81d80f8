import type * as core from "@peridotloft/core";
import { err, ok, type Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import * as messages from "./OperationMessages.js";
import type { OperationPolicy } from "./OperationPolicy.js";
import * as refusals from "./OperationRefusals.js";
import type { OperationRefusal, OperationRequest, OperationToken } from "./OperationStore.js";
import type { OperationOutcome } from "./OperationTable.js";

export interface OperationForwarderOptions {
    readonly clock: core.Clock;
    readonly endpoint: core.PeerTransport;
    readonly policy: OperationPolicy;
    /** Timeout in ms of a forwarded operation of this route. */
    timeoutMsOf(route: core.RouteId): number;
}

/** An attempt to forward to the VM that owns the operation. */
export interface OutgoingAttempt {
    readonly owner: core.VmId;
    /** Incarnation that a ticket names; undefined for keys. */
    readonly incarnation: number | undefined;
    readonly customer: core.CustomerId;
    readonly token: OperationToken;
    readonly request: OperationRequest;
    /** Time in ms on this VM's clock at which the attempt arrived. */
    readonly receivedMs: number;
}

/** Forwards attempts to the VMs that own the operations. */
export interface OperationForwarder {
    forward(attempt: OutgoingAttempt): Promise<OperationOutcome>;
}

export function createOperationForwarder(options: OperationForwarderOptions): OperationForwarder {
    const { clock, policy } = options;

    const callOwner = async (
        owner: core.VmId,
        payload: Uint8Array,
        timeoutMs: number,
    ): Promise<Result<messages.OwnerReply, OperationRefusal>> => {
        const result = await options.endpoint.call(owner, constants.sliceName, payload, timeoutMs);
        if (result.isErr()) {
            const verdict = policy.verdictOfPeerError(result.error);
            return err(refusals.ownerUnreachable(owner, verdict, result.error.message));
        }
        const reply = messages.decodeReply(result.value);
        return reply ? ok(reply) : err(refusals.ownerUnreachable(owner, "may-have-run", "malformed reply"));
    };

    // A new stamp for each forward lets the owner compute the attempt's age on its own clock, however long the forward takes.
    const requestStamp = async (attempt: OutgoingAttempt): Promise<Result<messages.Stamp, OperationRefusal>> => {
        const reply = await callOwner(attempt.owner, messages.encodeStampRequest(), constants.stampTimeoutMs);
        return reply.andThen(value => {
            if (value.kind !== "stamp") {
                return err(refusals.ownerUnreachable(attempt.owner, "may-have-run", "unexpected reply"));
            }
            return attempt.incarnation === undefined || attempt.incarnation === value.stamp.incarnation
                ? ok(value.stamp)
                : err(refusals.restartedIssuer(attempt.owner));
        });
    };

    const sendAttempt = (attempt: OutgoingAttempt, stamp: messages.Stamp): Promise<
        Result<messages.OwnerReply, OperationRefusal>
    > => {
        const ageMs = clock.nowMs() - attempt.receivedMs;
        const payload = messages.encodeForward({ ...attempt, stamp, ageMs });
        return callOwner(attempt.owner, payload, options.timeoutMsOf(attempt.request.route));
    };

    const forwardWithHops = async (attempt: OutgoingAttempt, hopsLeft: number): Promise<OperationOutcome> => {
        if (hopsLeft === 0) {
            return err(refusals.unknownHistory("the VMs do not yet agree which of them owns the operation"));
        }
        const stamp = await requestStamp(attempt);
        if (stamp.isErr()) {
            return err(stamp.error);
        }
        const reply = await sendAttempt(attempt, stamp.value);
        if (reply.isErr()) {
            return err(reply.error);
        }
        switch (reply.value.kind) {
            case "outcome":
                return reply.value.outcome;
            case "redirect":
                return forwardWithHops({ ...attempt, owner: reply.value.owner }, hopsLeft - 1);
            case "stamp":
                return err(refusals.ownerUnreachable(attempt.owner, "may-have-run", "unexpected reply"));
        }
    };

    return { forward: attempt => forwardWithHops(attempt, constants.maxForwardHops) };
}
