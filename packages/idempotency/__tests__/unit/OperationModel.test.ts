import type * as core from "@peridotloft/core";
import * as fc from "fast-check";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as idempotency from "../../src/index.js";
import * as fixture from "./OperationFixture.js";

const seed = Number(process.env["PERIDOTLOFT_SEED"] ?? 0x0de1);
const vmCount = 4;

/** Expected state of a token. */
interface TokenModel {
    readonly firstSentMs: number;
    readonly body: string;
    ran: boolean;
    responseText?: string;
    /** Whether an earlier refusal was `may-have-run`; after it only another `may-have-run` or a response is allowed. */
    uncertain: boolean;
}

interface Model {
    readonly tokens: Map<string, TokenModel>;
    /** Time in ms of the last fault. */
    undisturbedSinceMs: number;
    connected: boolean;
}

interface Real {
    readonly fleet: ReturnType<typeof fixture.createFleet>;
    readonly tickets: Map<string, string>;
    readonly runs: Map<string, number>;
    readonly faults: { notRun: boolean; };
}

/** Whether the operation must be served: no fault since a whole window before its first attempt. */
const mustServe = (model: Model, firstSentMs: number): boolean =>
    model.connected && firstSentMs - model.undisturbedSinceMs > fixture.windowMs + idempotency.maxAttemptAgeMs;

class SendCommand implements fc.AsyncCommand<Model, Real> {
    constructor(
        readonly kind: "key" | "ticket",
        readonly index: number,
        readonly vm: number,
        readonly body: string,
        readonly notRun: boolean,
    ) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, real: Real): Promise<void> {
        const { fleet } = real;
        const nowMs = fleet.clock.nowMs();
        // Keys are resent within one window, tickets also after their expiry.
        const usableMs = this.kind === "key" ? fixture.windowMs : 3 * fixture.windowMs;
        const name = `${this.kind} ${this.index} of ${Math.floor(nowMs / usableMs)}`;
        const known = model.tokens.get(name);
        real.faults.notRun = this.notRun;
        const outcome = await fleet.run(fleet.ids[this.vm]!, this.tokenOf(name, real), `${name}/${this.body}`);
        const token = known ?? { firstSentMs: nowMs, body: this.body, ran: false, uncertain: false };
        const ran = (real.runs.get(name) ?? 0) > 0;
        this.checkOutcome(outcome, model, token, ran);
        if (token.body === this.body) {
            token.ran = ran;
        }
        token.uncertain ||= outcome.isErr() && outcome.error.verdict === "may-have-run";
        model.tokens.set(name, token);
        assert.ok((real.runs.get(name) ?? 0) <= 1, `${name} ran twice`);
    }

    private tokenOf(name: string, real: Real): idempotency.OperationToken {
        if (this.kind === "key") {
            return fixture.keyToken(name);
        }
        const issuer = real.fleet.storeOf(real.fleet.ids[this.index % vmCount]!);
        const ticket = real.tickets.get(name) ?? issuer.issueTicket(fixture.north).ticket;
        real.tickets.set(name, ticket);
        return fixture.ticketToken(ticket);
    }

    private checkOutcome(outcome: fixture.Outcome, model: Model, token: TokenModel, ran: boolean): void {
        const text = fixture.summaryOf(outcome);
        if (outcome.isOk()) {
            token.responseText ??= text;
            assert.equal(text, token.responseText, "a resend gets the same response");
            assert.equal(this.body, token.body, "another body gets no response");
            return;
        }
        if (outcome.error.verdict === "not-run" && outcome.error.kind !== "different-request") {
            assert.ok(!ran, `${text} for an operation that ran`);
        }
        if (this.kind === "key" && !token.uncertain && mustServe(model, token.firstSentMs)) {
            const expected = token.body === this.body ? "not-run failed 503" : "not-run different-request 422";
            assert.ok(text === expected && (!token.ran || token.body !== this.body), `${text} without any fault`);
        }
    }

    toString(): string {
        return `send(${this.kind} ${this.index}, vm-${this.vm}, ${this.body}${this.notRun ? ", no slot" : ""})`;
    }
}

class FaultCommand implements fc.AsyncCommand<Model, Real> {
    constructor(readonly name: "restart" | "cut" | "heal" | "wait", readonly vm: number, readonly amount: number) {}

    check(): boolean {
        return true;
    }

    async run(model: Model, { fleet }: Real): Promise<void> {
        const id = fleet.ids[this.vm]!;
        const actions = {
            restart: () => fleet.restart(id),
            cut: () => fleet.network.partitionOneWay(id, fleet.ids[this.amount % vmCount]!),
            heal: () => fleet.network.heal(),
            wait: () => undefined,
        };
        actions[this.name]();
        model.connected = this.name === "heal" || (model.connected && this.name !== "cut");
        if (this.name !== "wait") {
            model.undisturbedSinceMs = fleet.clock.nowMs();
        }
        await fleet.clock.advance(this.name === "wait" ? this.amount : 1);
    }

    toString(): string {
        return `${this.name}(vm-${this.vm}, ${this.amount})`;
    }
}

function createReal(policy: Partial<idempotency.OperationPolicy>): Real {
    const runs = new Map<string, number>();
    const faults = { notRun: false };
    const execute: idempotency.ExecuteOperation = async (_customer: core.CustomerId, request) => {
        if (faults.notRun) {
            return err({ verdict: "not-run", kind: "failed", message: "no slot", statusCode: 503 });
        }
        const body = Buffer.from(request.body).toString();
        const name = body.split("/")[0]!;
        runs.set(name, (runs.get(name) ?? 0) + 1);
        return ok(fixture.responseOf(`response ${runs.get(name)} to ${body}`));
    };
    return { fleet: fixture.createFleet({ vms: vmCount, seed: 7, execute, policy }), tickets: new Map(), runs, faults };
}

const vm = fc.nat({ max: vmCount - 1 });
const commands = fc.commands([
    fc.tuple(
        fc.constantFrom("key" as const, "ticket" as const),
        fc.nat({ max: 5 }),
        vm,
        fc.boolean(),
        fc.nat({ max: 5 }),
    )
        .map(([kind, index, via, usual, chance]) =>
            new SendCommand(kind, index, via, usual || chance > 0 ? "body" : "other body", chance === 5)
        ),
    fc.tuple(vm, fc.nat({ max: vmCount - 1 }), fc.constantFrom("restart" as const, "cut" as const, "heal" as const))
        .map(([target, other, name]) => new FaultCommand(name, target, other)),
    fc.oneof(fc.integer({ min: 1, max: fixture.windowMs / 4 }), fc.constant(2 * fixture.windowMs))
        .map(waitMs => new FaultCommand("wait", 0, waitMs)),
], { maxCommands: 60, size: "max" });

async function checkModel(policy: Partial<idempotency.OperationPolicy>): Promise<void> {
    await fc.assert(
        fc.asyncProperty(commands, async generated => {
            const real = createReal(policy);
            await real.fleet.warmUp();
            const model: Model = { tokens: new Map(), undisturbedSinceMs: -1, connected: true };
            await fc.asyncModelRun(() => ({ model, real }), generated);
            real.fleet.ids.forEach(id => real.fleet.storeOf(id).dispose());
        }),
        { seed, numRuns: 60, endOnFailure: true },
    );
}

describe("OperationStore compared with a model", () => {
    it(`agrees with the model; repeat with PERIDOTLOFT_SEED=${seed} node scripts/run-tests.mjs OperationModel`, () =>
        checkModel({}));

    it("detects an owner that treats its records as complete after a restart", () =>
        assert.rejects(
            checkModel({ coversHistory: () => true }),
            (error: Error) => /ran twice|for an operation that ran/.test(String(error.cause)),
        ));
});
