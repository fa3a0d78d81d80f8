import * as core from "@peridotloft/core";
import type * as document from "@peridotloft/document";
import type * as ownership from "@peridotloft/ownership";
import { err, ok, type Result } from "neverthrow";
import * as constants from "./OperationConstants.js";
import { createOperationForwarder } from "./OperationForwarder.js";
import { identifyOperation, type OperationIdentity } from "./OperationIdentity.js";
import * as messages from "./OperationMessages.js";
import { createOperationOwner } from "./OperationOwner.js";
import { defaultPolicy, type OperationPolicy } from "./OperationPolicy.js";
import * as refusals from "./OperationRefusals.js";
import type { ExecuteOperation, OperationRequest, OperationStore, OperationToken } from "./OperationStore.js";
import { createOperationTable, type OperationOutcome } from "./OperationTable.js";
import { signTicket } from "./OperationTicket.js";
import { createPauseDetector } from "./PauseDetector.js";

export interface OperationStoreOptions {
    readonly self: core.VmId;
    /** Identifies this run of the VM. Must differ from that of every earlier run. */
    readonly incarnation: number;
    readonly clock: core.Clock;
    /** Returns unpredictable bytes for operation ids, such as `randomBytes` of `node:crypto`. */
    readonly randomBytes: (count: number) => Uint8Array;
    readonly endpoint: core.PeerEndpoint;
    readonly ownership: ownership.Ownership;
    /** The active document. */
    readonly document: { read(): document.FleetDocument; };
    /** Secret shared by the VMs, with which tickets are signed. */
    readonly secret: string;
    readonly execute: ExecuteOperation;
    /** Bound in bytes of all operations with their responses. */
    readonly maxStoredBytes: number;
    /** Share of the bound that one customer may use, in (0, 1]; 0.5 by default. */
    readonly maxCustomerShare?: number;
    /** Replaces individual rules; for tests. */
    readonly policy?: Partial<OperationPolicy>;
}

/** Creates the operation store of one VM and registers its handler for messages from other VMs. */
export function createOperationStore(options: OperationStoreOptions): OperationStore {
    const { self, incarnation, clock, secret } = options;
    const policy = { ...defaultPolicy, ...options.policy };
    const table = createOperationTable({
        maxStoredBytes: options.maxStoredBytes,
        maxCustomerBytes: options.maxStoredBytes * (options.maxCustomerShare ?? constants.maxCustomerShare),
    });
    const pauses = createPauseDetector(clock);
    const owner = createOperationOwner({ ...options, policy, table });
    const forwarder = createOperationForwarder({
        clock,
        endpoint: options.endpoint,
        policy,
        timeoutMsOf: route => deadlineMsOf(options.document.read(), route) + constants.forwardMarginMs,
    });

    const runIdentified = async (
        identity: OperationIdentity,
        token: OperationToken,
        customer: core.CustomerId,
        request: OperationRequest,
    ): Promise<OperationOutcome> => {
        const receivedMs = clock.nowMs() - pauses.recentPauseMs();
        const decision = owner.decide({ identity, customer, request, earliestArrivalMs: receivedMs });
        if (decision.kind === "outcome") {
            return decision.outcome;
        }
        const ticketIncarnation = identity.kind === "ticket" ? identity.ticket.incarnation : undefined;
        return forwarder.forward({
            owner: decision.owner,
            incarnation: ticketIncarnation,
            customer,
            token,
            request,
            receivedMs,
        });
    };

    const decideForwarded = async (attempt: messages.ForwardedAttempt): Promise<messages.OwnerReply> => {
        const { token, customer, request, stamp } = attempt;
        if (stamp.incarnation !== incarnation) {
            const reason = "the VM that owns the operation restarted while the request was on its way";
            return { kind: "outcome", outcome: err(refusals.unknownHistory(reason)) };
        }
        const identity = identifyOperation(token, customer, secret);
        if (identity.isErr()) {
            return { kind: "outcome", outcome: err(identity.error) };
        }
        const earliestArrivalMs = stamp.timeMs - attempt.ageMs;
        const decision = owner.decide({ identity: identity.value, customer, request, earliestArrivalMs });
        return decision.kind === "redirect" ? decision : { kind: "outcome", outcome: await decision.outcome };
    };

    const handleMessage = async (_from: core.VmId, payload: Uint8Array): Promise<Result<Uint8Array, string>> => {
        const request = messages.decodeRequest(payload);
        switch (request?.kind) {
            case "stamp":
                return ok(messages.encodeReply({ kind: "stamp", stamp: { incarnation, timeMs: clock.nowMs() } }));
            case "forward":
                return ok(messages.encodeReply(await decideForwarded(request.attempt)));
            default:
                return err("malformed message");
        }
    };

    const unregisterSlice = options.endpoint.registerSlice(constants.sliceName, handleMessage);
    const stopRemoval = core.setRepeatingTimer(
        clock,
        constants.expiryCheckPeriodMs,
        () => table.dropExpired(clock.nowMs()),
    );

    return {
        async run(token, customer, request) {
            const identity = identifyOperation(token, customer, secret);
            return identity.isErr()
                ? err(identity.error)
                : runIdentified(identity.value, token, customer, request);
        },
        issueTicket(customer) {
            const lifetimeMs = options.document.read().fleet.idempotencyWindowMs;
            const operationId = Buffer.from(options.randomBytes(constants.operationIdBytes)).toString("hex");
            const expiresMs = clock.nowMs() + lifetimeMs;
            return {
                ticket: signTicket({ vm: self, incarnation, customer, operationId, expiresMs }, secret),
                lifetimeMs,
            };
        },
        status: () => table.status(),
        dispose() {
            unregisterSlice();
            stopRemoval();
            pauses.dispose();
        },
    };
}

function deadlineMsOf(fleet: document.FleetDocument, id: core.RouteId): number {
    const route = fleet.routes.find(candidate => candidate.id === id);
    const pool = fleet.pools.find(candidate => candidate.id === route?.pool);
    return pool?.deadlineMs ?? constants.defaultDeadlineMs;
}
