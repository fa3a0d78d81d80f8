import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { HeaderList } from "./HeaderUtils.js";
import { type RequestFailure, unwrittenFailure } from "./RequestFailure.js";
import * as constants from "./RouterConstants.js";

/** A request whose body has been read, with its customer and pool. */
export interface PreparedRequest {
    readonly id: core.RequestId;
    readonly customer: core.CustomerId;
    readonly pool: documents.Pool;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Hash of customer, route and body; identifies requests with the same content. */
    readonly fingerprint: string;
    readonly cost: CostRule;
}

export type CostRule =
    /** The route's fixed cost. */
    | { readonly kind: "fixed"; readonly cost: number; }
    /** Prompt and completion tokens. */
    | { readonly kind: "tokens"; readonly promptTokens: number; readonly maxTokens: number; };

interface ChatFields {
    readonly model: string;
    readonly maxTokens: number;
}

const fingerprintHexDigits = 32;

export function fingerprintOf(customer: core.CustomerId, route: string, body: Uint8Array): string {
    return createHash("sha256")
        .update(JSON.stringify([customer, route]))
        .update(body)
        .digest("hex")
        .slice(0, fingerprintHexDigits);
}

/** Upper bound of a request's cost, in cost units; used for admission. */
export function maxCostOf(rule: CostRule): number {
    return rule.kind === "fixed" ? rule.cost : rule.promptTokens + rule.maxTokens;
}

/** Determines the pool of a chat request and its cost rule. Fails with `invalid-request` or `unknown-model`. */
export function resolveChatRequest(
    document: documents.FleetDocument,
    body: Buffer,
): Result<{ readonly pool: documents.Pool; readonly cost: CostRule; }, RequestFailure> {
    return parseChatFields(body).andThen(chat => {
        const pool = documents.findPoolOfModel(document, chat.model);
        const promptTokens = Math.ceil(body.length / constants.bytesPerToken);
        return pool
            ? ok({ pool, cost: { kind: "tokens", promptTokens, maxTokens: chat.maxTokens } as const })
            : err(unwrittenFailure("unknown-model", { message: `no pool serves the model '${chat.model}'` }));
    });
}

function parseChatFields(body: Buffer): Result<ChatFields, RequestFailure> {
    const invalid = (message: string) => err(unwrittenFailure("invalid-request", { message }));
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch {
        return invalid("the body is not JSON");
    }
    const fields = (typeof value === "object" && value ? value : {}) as Record<string, unknown>;
    if (typeof fields["model"] !== "string") {
        return invalid("model: must be a string");
    }
    const maxTokens = fields["max_completion_tokens"] ?? fields["max_tokens"] ?? constants.defaultMaxTokens;
    if (typeof maxTokens !== "number" || !Number.isFinite(maxTokens) || maxTokens < 1) {
        return invalid("max_tokens: must be a positive number");
    }
    return ok({ model: fields["model"], maxTokens });
}
