import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createBodyReader } from "./BodyReader.js";
import { type CallerResponse, createCallerResponse } from "./CallerResponse.js";
import { pairHeaders } from "./HeaderUtils.js";
import { abortReasonOf } from "./InFlightRequests.js";
import { metricNames } from "./Metrics.js";
import { fingerprintOf, type PreparedRequest, resolveChatRequest } from "./PreparedRequest.js";
import { executeRequest } from "./RequestExecution.js";
import { refusalOf, type RequestFailure, unwrittenFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";
import type { RouterContext } from "./RouterContext.js";
import { findTarget, type Target } from "./RouteTable.js";

type InFlight = ReturnType<RouterContext["inFlight"]["add"]>;

/** Creates the handler of callers' requests. Every request gets exactly one response. */
export function createRequestHandler(context: RouterContext) {
    const bodyReader = createBodyReader();

    async function handle(request: IncomingMessage, caller: CallerResponse, inFlight: InFlight): Promise<void> {
        const earlierVerdict = verdictOfEarlierRequests(request);
        const refuse = (failure: RequestFailure): void => caller.refuse(refusalOf(failure, earlierVerdict));
        const document = context.feed.activeDocument.read()?.document;
        if (!document || !context.feed.isReady()) {
            return refuse(unwrittenFailure("not-ready"));
        }
        const authenticated = authenticateRequest(context, document, request);
        if (authenticated.isErr()) {
            return refuse(authenticated.error);
        }
        const { target, key } = authenticated.value;
        if (key) {
            inFlight.setKey(key);
        }
        if (target.kind === "models") {
            return caller.sendJson(200, listModels(document));
        }
        const body = await bodyReader.read(request, context.entry.maxBodyBytes);
        if (body.isErr()) {
            return refuse(body.error);
        }
        try {
            // The key may have been withdrawn while the body was being read.
            if (inFlight.signal.aborted) {
                return refuse(unwrittenFailure(abortReasonOf(inFlight.signal)));
            }
            if (target.kind === "operations") {
                return issueTicket(context, caller, key);
            }
            const prepared = prepareRequest(document, request, caller.requestId, target, key, body.value.bytes);
            await prepared.match(
                value => executeRequest(context, value, target, key !== undefined, caller, inFlight.signal),
                failure => Promise.resolve(refuse(failure)),
            );
        }
        finally {
            body.value.release();
        }
    }

    return (request: IncomingMessage, response: ServerResponse): void => {
        const startMs = context.clock.nowMs();
        const inFlight = context.inFlight.add(response);
        const requestId = core.requestId(randomUUID());
        const caller = createCallerResponse(
            requestId,
            response,
            inFlight.signal,
            context.closesConnections,
            context.clock,
        );
        response.once("close", () => {
            inFlight.close();
            recordRequestMetrics(context, response, startMs);
        });
        handle(request, caller, inFlight).catch((error: unknown) => {
            context.logger.error("request failed unexpectedly", { requestId, error: String(error) });
            caller.refuse(refusalOf({ kind: "internal", written: true }));
        });
    };
}

/** With a token, an earlier request may have run the operation through another VM or before a restart of this VM. */
function verdictOfEarlierRequests({ headers }: IncomingMessage): core.Verdict {
    const hasToken = headers["operation-ticket"] !== undefined || headers["idempotency-key"] !== undefined;
    return hasToken ? "may-have-run" : "not-run";
}

interface AuthenticatedRequest {
    readonly target: Target;
    /** The document's entry for the caller's key; undefined on open routes without a valid key. */
    readonly key: documents.ApiKey | undefined;
}

function authenticateRequest(
    context: RouterContext,
    document: documents.FleetDocument,
    request: IncomingMessage,
): Result<AuthenticatedRequest, RequestFailure> {
    return findTarget(document, request.method ?? "", pathOf(request)).andThen(target => {
        const apiKey = apiKeyOf(request);
        const key = apiKey === undefined ? undefined : context.keyIndex().find(apiKey);
        const isOpen = target.kind === "route" && target.route.open;
        return key || isOpen
            ? ok({ target, key })
            : err(unwrittenFailure(apiKey === undefined ? "missing-key" : "unknown-key"));
    });
}

function pathOf(request: IncomingMessage): string {
    return (request.url ?? "/").split("?", 1)[0] ?? "/";
}

function apiKeyOf(request: IncomingMessage): string | undefined {
    const bearer = /^bearer +(\S+) *$/i.exec(request.headers.authorization ?? "")?.[1];
    const header = request.headers["x-api-key"];
    return bearer ?? (typeof header === "string" ? header : undefined);
}

function listModels(document: documents.FleetDocument) {
    const data = document.pools
        .filter(pool => pool.kind === "engine")
        .flatMap(pool => pool.models.map(id => ({ id, object: "model", created: 0, owned_by: pool.id })));
    return { object: "list", data };
}

function issueTicket(context: RouterContext, caller: CallerResponse, key: documents.ApiKey | undefined): void {
    core.invariant(key, "the operations endpoint requires a key");
    const { ticket, lifetimeMs } = context.services.operations.issueTicket(key.customer);
    caller.sendJson(201, { ticket, lifetime_ms: lifetimeMs });
}

function prepareRequest(
    document: documents.FleetDocument,
    request: IncomingMessage,
    id: core.RequestId,
    target: Extract<Target, { kind: "chat" | "route"; }>,
    key: documents.ApiKey | undefined,
    body: Buffer,
): Result<PreparedRequest, RequestFailure> {
    const customer = key?.customer ?? core.customerId(constants.anonymousCustomer);
    const poolAndCost = target.kind === "chat"
        ? resolveChatRequest(document, body)
        : ok({ pool: target.pool, cost: { kind: "fixed", cost: target.route.cost } as const });
    return poolAndCost.map(({ pool, cost }) => ({
        id,
        customer,
        pool,
        method: request.method ?? "",
        target: request.url ?? "/",
        headers: pairHeaders(request.rawHeaders),
        body,
        fingerprint: fingerprintOf(customer, target.kind === "chat" ? "chat" : target.route.id, body),
        cost,
    }));
}

function recordRequestMetrics(context: RouterContext, response: ServerResponse, startMs: number): void {
    const verdict = response.getHeader("x-peridotloft-verdict");
    context.metrics.count(metricNames.requests, 1, {
        status: response.headersSent ? String(response.statusCode) : "none",
        verdict: typeof verdict === "string" ? verdict : response.writableFinished ? "ran" : "may-have-run",
    });
    context.metrics.histogram(metricNames.requestMs, context.clock.nowMs() - startMs);
}
