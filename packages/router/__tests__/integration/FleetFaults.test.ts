import * as demo from "@peridotloft/demo";
import * as assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import {
    type Attempt,
    checkAtMostOnce,
    createOperations,
    executionsAt,
    type Operation,
    startCallers,
    verdictOf,
} from "./OperationCallers.js";
import { control, eventually, send } from "./TestClient.js";

// Longer than the resends of a test, since a key may run again after the window.
const idempotencyWindowMs = 6_000;
const executionMs = 300;
const keysPerTest = 8;
// Three times the loan lifetime of the demo fleet.
const pauseMs = 1_500;

describe("a fleet whose callers resend non-idempotent operations", () => {
    let fleet: demo.Fleet;
    let service: string;
    let routers: demo.StartedProcess[];

    const addresses = () => routers.map((_, index) => () => routers[index]!.listen);
    const awaitOneRun = (operations: readonly Operation[]) =>
        eventually("an operation with a ticket of each router runs", async () => {
            const executions = await executionsAt(service);
            return operations.slice(keysPerTest).every(({ body }) => executions[body] === 1);
        });
    const uncertain = (attempts: readonly Attempt[], header: string) =>
        attempts.filter(attempt =>
            verdictOf(attempt) === "may-have-run" && attempt.operation.headers[header] !== undefined
        );

    before(async () => {
        fleet = await demo.startFleet({
            zones: ["a", "b"],
            routers: 3,
            engines: 1,
            services: 1,
            idempotencyWindowMs,
        });
        routers = [...fleet.routers];
        service = fleet.services[0]!.listen;
        await Promise.all(
            routers.flatMap(({ listen }, router) =>
                Array.from({ length: 12 }, (_, index) => send(listen, "/holds", { body: `warm-up-${router}-${index}` }))
            ),
        );
        await control(service, "/admin/delay", "PUT", { delayMs: executionMs });
    });

    after(() => fleet?.stop());

    it("runs no operation twice when the owner is paused for longer than a loan's lifetime", async () => {
        const paused = routers[1]!;
        const operations = await createOperations("pause", keysPerTest, routers);
        const callers = startCallers(operations, addresses(), service);
        await awaitOneRun(operations);
        paused.child.kill("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        paused.child.kill("SIGCONT");
        await eventually(
            "the resumed router responds",
            async () => (await send(paused.listen, "/holds", operations[0]!)).statusCode === 201,
        );
        const attempts = await callers.stop();
        const executions = await executionsAt(service);
        checkAtMostOnce(operations, attempts, executions);
        assert.deepEqual(operations.filter(({ body }) => executions[body] !== 1), [], "every operation ran once");
    });

    it("runs no operation twice when the owner is killed and restarts without state", async () => {
        const killed = routers[0]!;
        const operations = await createOperations("kill", keysPerTest, routers);
        const callers = startCallers(operations, addresses(), service);
        await awaitOneRun(operations);
        killed.child.kill("SIGKILL");
        assert.equal(await killed.exited, "SIGKILL");
        routers[0] = await fleet.startRouter(0);
        await demo.waitUntilReady(routers[0]);
        // The restarted owner refuses operations of its earlier incarnation with `may-have-run`, as it has no record of them.
        await eventually("the restarted owner responds", async () => {
            const { statusCode, headers } = await send(routers[0]!.listen, "/holds", operations[keysPerTest]!);
            return statusCode === 410 && headers["x-peridotloft-verdict"] === "may-have-run";
        });
        const attempts = await callers.stop();
        checkAtMostOnce(operations, attempts, await executionsAt(service));
        assert.ok(uncertain(attempts, "operation-ticket").length > 0, "an operation of the killed router is uncertain");
        assert.ok(uncertain(attempts, "idempotency-key").length > 0, "a key of the killed router is uncertain");
    });
});
