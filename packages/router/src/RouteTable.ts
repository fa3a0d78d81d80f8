import type * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { type RequestFailure, unwrittenFailure } from "./RequestFailure.js";

/** The endpoint or route that a request's method and path select. */
export type Target =
    | { readonly kind: "chat"; }
    | { readonly kind: "models"; }
    | { readonly kind: "operations"; }
    | { readonly kind: "route"; readonly route: documents.Route; readonly pool: documents.Pool; };

const fixedTargets = new Map<string, { readonly method: string; readonly target: Target; }>([
    ["/v1/chat/completions", { method: "POST", target: { kind: "chat" } }],
    ["/v1/models", { method: "GET", target: { kind: "models" } }],
    ["/v1/operations", { method: "POST", target: { kind: "operations" } }],
]);

/** Finds the target of a request; `path` excludes the query. Fails with `unknown-route` or `method-not-allowed`. */
export function findTarget(
    document: documents.FleetDocument,
    method: string,
    path: string,
): Result<Target, RequestFailure> {
    const fixed = fixedTargets.get(path);
    if (fixed) {
        return fixed.method === method ? ok(fixed.target) : err(unwrittenFailure("method-not-allowed"));
    }
    const routes = document.routes.filter(route => route.path === path);
    const route = routes.find(candidate => candidate.method === method);
    const pool = document.pools.find(candidate => candidate.id === route?.pool);
    if (!route || !pool) {
        return err(unwrittenFailure(routes.length > 0 ? "method-not-allowed" : "unknown-route"));
    }
    return ok({ kind: "route", route, pool });
}
