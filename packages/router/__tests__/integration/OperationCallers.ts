import type * as demo from "@peridotloft/demo";
import * as assert from "node:assert/strict";
import { control, type Received, send } from "./TestClient.js";

/** A piece of work that must run at most once; its body is unique. */
export interface Operation {
    readonly body: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** One request of a caller for an operation. */
export interface Attempt {
    readonly operation: Operation;
    /** Executions at the service before the request was sent. */
    readonly executionsBefore: number;
    /** Undefined when the connection failed before a complete answer. */
    readonly answer: Received | undefined;
}

/** Callers that resend operations to several routers at once until they are stopped. */
export interface Callers {
    /** Lets every caller finish its last request and returns all attempts. */
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

/** Executions at the counting service by body. */
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
            attempts.push({ operation, executionsBefore, answer: received?.complete === true ? received : undefined });
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

/** The verdict of an answer; undefined without a complete answer. */
export function verdictOf({ answer }: Attempt): string | undefined {
    return answer?.headers["x-peridotloft-verdict"] as string | undefined;
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
        const own = attempts.filter(attempt => attempt.operation === operation && attempt.answer !== undefined);
        const ran = own.filter(attempt => verdictOf(attempt) === "ran");
        if (ran.length > 0) {
            assert.equal(count, 1, `'ran' was answered for ${body}, which did not run`);
        }
        ran.forEach(({ answer }) => assert.equal(answer?.text, ran[0]?.answer?.text, `answers of ${body} differ`));
        own.filter(attempt => verdictOf(attempt) === "not-run").forEach(({ executionsBefore, answer }) =>
            assert.equal(executionsBefore, 0, `a false not-run for ${body}: ${answer?.text}`)
        );
        own.forEach(attempt =>
            assert.match(verdictOf(attempt) ?? "none", /^(ran|not-run|may-have-run)$/, attempt.answer?.text)
        );
        if (own.length > 0 && own.every(attempt => verdictOf(attempt) === "not-run")) {
            const lost = attempts.some(attempt => attempt.operation === operation && attempt.answer === undefined);
            assert.ok(lost || count === 0, `${body} ran although every answer said not-run`);
        }
    });
}
