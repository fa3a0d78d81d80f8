import type * as demo from "@peridotloft/demo";
import * as assert from "node:assert/strict";
import { control, type Received, send } from "./TestClient.js";

/** An operation that must run at most once; its body is unique. */
export interface Operation {
    readonly body: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** One request of a caller for an operation. */
export interface Attempt {
    readonly operation: Operation;
    /** Number of executions at the service before the request was sent. */
    readonly executionsBefore: number;
    /** Undefined when the connection failed before a complete response. */
    readonly response: Received | undefined;
}

/** Callers that resend operations to several routers concurrently until they are stopped. */
export interface Callers {
    /** Waits for every caller's last request and returns all attempts. */
    stop(): Promise<readonly Attempt[]>;
}

const resendPeriodMs = 150;

/** Creates operations of both kinds: with an idempotency key, and with a ticket of each router. */
export async function createOperations(
    name: string,
    keys: number,
    routers: readonly demo.StartedProcess[],
): Promise<Operation[]> {
    const withKeys = Array.from({ length: keys }, (_, index) => ({
        body: `${name}-key-${index}`,
        headers: { "idempotency-key": `${name}-${index}` },
    }));
    const withTickets = await Promise.all(routers.map(async ({ listen, name: router }) => {
        const issued = await send(listen, "/v1/operations");
        assert.equal(issued.statusCode, 201);
        const { ticket } = JSON.parse(issued.text) as { ticket: string; };
        return { body: `${name}-ticket-${router}`, headers: { "operation-ticket": ticket } };
    }));
    return [...withKeys, ...withTickets];
}

/** Number of executions at the service by body. */
export async function executionsAt(service: string): Promise<Readonly<Record<string, number>>> {
    const { executions } = await control<{ executions: Record<string, number>; }>(service, "/admin/executions");
    return executions;
}

/** Starts one caller for each operation and router. A router's address is read before each request. */
export function startCallers(
    operations: readonly Operation[],
    routers: readonly (() => string)[],
    service: string,
): Callers {
    const attempts: Attempt[] = [];
    let stopped = false;
    const call = async (operation: Operation, listen: () => string): Promise<void> => {
        do {
            const executionsBefore = (await executionsAt(service))[operation.body] ?? 0;
            const received = await send(listen(), "/holds", operation).catch(() => undefined);
            attempts.push({
                operation,
                executionsBefore,
                response: received?.complete === true ? received : undefined,
            });
            await new Promise(resolve => setTimeout(resolve, resendPeriodMs));
        }
        while (!stopped);
    };
    const running = operations.flatMap(operation => routers.map(listen => call(operation, listen)));
    return {
        async stop() {
            stopped = true;
            await Promise.all(running);
            return attempts;
        },
    };
}

/** The verdict of a response; undefined without a complete response. */
export function verdictOf({ response }: Attempt): string | undefined {
    return response?.headers["x-peridotloft-verdict"] as string | undefined;
}

/** Checks that no operation ran twice and that every verdict agrees with the executions at the service. */
export function checkAtMostOnce(
    operations: readonly Operation[],
    attempts: readonly Attempt[],
    executions: Readonly<Record<string, number>>,
): void {
    operations.forEach(operation => {
        const { body } = operation;
        const count = executions[body] ?? 0;
        assert.ok(count <= 1, `${body} ran ${count} times`);
        const own = attempts.filter(attempt => attempt.operation === operation && attempt.response !== undefined);
        const ran = own.filter(attempt => verdictOf(attempt) === "ran");
        if (ran.length > 0) {
            assert.equal(count, 1, `verdict 'ran' for ${body}, which did not run`);
        }
        ran.forEach(({ response }) =>
            assert.equal(response?.text, ran[0]?.response?.text, `responses to ${body} differ`)
        );
        own.filter(attempt => verdictOf(attempt) === "not-run").forEach(({ executionsBefore, response }) =>
            assert.equal(executionsBefore, 0, `a false not-run for ${body}: ${response?.text}`)
        );
        own.forEach(attempt =>
            assert.match(verdictOf(attempt) ?? "none", /^(ran|not-run|may-have-run)$/, attempt.response?.text)
        );
        if (own.length > 0 && own.every(attempt => verdictOf(attempt) === "not-run")) {
            const hasUnknownOutcome = attempts.some(attempt =>
                attempt.operation === operation && attempt.response === undefined
            );
            assert.ok(hasUnknownOutcome || count === 0, `${body} ran although every response said not-run`);
        }
    });
}
