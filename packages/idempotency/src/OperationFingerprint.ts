import { createHash } from "node:crypto";
import type { OperationRequest } from "./OperationStore.js";

/**
 * SHA-256 over route, method, target and body.
 * Headers are excluded, because resends differ in tracing and date headers.
 */
export function fingerprintOf(request: OperationRequest): Uint8Array {
    const hash = createHash("sha256");
    // JSON separates the fields unambiguously.
    hash.update(JSON.stringify([request.route, request.method, request.target]));
    hash.update(request.body);
    return hash.digest();
}
