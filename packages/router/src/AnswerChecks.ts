import { findHeader } from "./HeaderUtils.js";
import type { RequestFailure } from "./RequestFailure.js";
import type { UpstreamAnswer } from "./UpstreamCall.js";

/** The failure that an answer's head stands for; undefined if the answer is to be passed on. */
export function failureOfHead(answer: Pick<UpstreamAnswer, "statusCode" | "headers">): RequestFailure | undefined {
    if (answer.statusCode === 503 && findHeader(answer.headers, "x-not-run") === "1") {
        return { kind: "refused-before-running", written: true };
    }
    return answer.statusCode === 503 || answer.statusCode === 429 ? { kind: "overloaded", written: true } : undefined;
}
