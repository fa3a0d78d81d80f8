import { findHeader } from "./HeaderUtils.js";
import type { RequestFailure } from "./RequestFailure.js";
import type { UpstreamResponse } from "./UpstreamCall.js";

/** The failure that status and headers of a response indicate; undefined if the response is relayed to the caller. */
export function failureOfHead(response: Pick<UpstreamResponse, "statusCode" | "headers">): RequestFailure | undefined {
    if (response.statusCode === 503 && findHeader(response.headers, "x-not-run") === "1") {
        return { kind: "refused-before-running", written: true };
    }
    return response.statusCode === 503 || response.statusCode === 429
        ? { kind: "overloaded", written: true }
        : undefined;
}
