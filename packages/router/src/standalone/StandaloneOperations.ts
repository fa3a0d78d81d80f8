import type * as core from "@peridotloft/core";
import type * as idempotency from "@peridotloft/idempotency";
import type * as platform from "@peridotloft/platform";
import { err, type Result } from "neverthrow";
import { createHash, randomUUID } from "node:crypto";

type Outcome = Result<idempotency.OperationResponse, idempotency.OperationRefusal>;

interface Operation {
    readonly digest: string;
    readonly outcome: Promise<Outcome>;
}

const defaultWindowMs = 120_000;

/** Remembers the operations of this VM alone; stands in for `idempotency`. */
export function createStandaloneOperations(
    execute: idempotency.ExecuteOperation,
    inForce: core.SnapshotCell<platform.DocumentInForce | undefined>,
    clock: core.Clock,
): idempotency.OperationStore {
    const operations = new Map<string, Operation>();
    const tickets = new Map<string, core.CustomerId>();
    const windowMs = () => inForce.read()?.document.fleet.idempotencyWindowMs ?? defaultWindowMs;

    const refuse = (kind: idempotency.OperationRefusal["kind"], message: string): Promise<Outcome> =>
        Promise.resolve(err({ verdict: "not-run", kind, message, statusCode: 422 }));

    return {
        async run(token, customer, request) {
            if (token.kind === "ticket" && tickets.get(token.ticket) !== customer) {
                return refuse("invalid-token", "the ticket was not issued here");
            }
            const id = JSON.stringify([customer, token]);
            const digest = createHash("sha256").update(JSON.stringify([request.route, request.target]))
                .update(request.body).digest("hex");
            const known = operations.get(id);
            if (known) {
                return known.digest === digest
                    ? known.outcome
                    : refuse("different-request", "the token was used for a different request");
            }
            const outcome = execute(customer, request, { mayStart: () => true });
            operations.set(id, { digest, outcome });
            clock.setTimer(windowMs(), () => operations.delete(id));
            const result = await outcome;
            if (result.isErr() && result.error.verdict === "not-run") {
                operations.delete(id);
            }
            return result;
        },
        issueTicket(customer) {
            const ticket = randomUUID();
            tickets.set(ticket, customer);
            clock.setTimer(windowMs(), () => tickets.delete(ticket));
            return { ticket, lifetimeMs: windowMs() };
        },
        status: () => ({ operations: operations.size, storedBytes: 0 }),
        dispose: () => undefined,
    };
}
