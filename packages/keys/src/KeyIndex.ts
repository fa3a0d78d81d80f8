import type * as documents from "@peridotloft/document";
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

/** Finds the document's entry for an API key. Stores only hashes of keys. */
export interface KeyIndex {
    find(apiKey: string): documents.ApiKey | undefined;
}

const keyPrefix = "pl-";
const keyBytes = 32;

/** Returns the SHA-256 of an API key in 64 lower-case hex digits, as it is stored in the document. */
export function hashKey(apiKey: string): string {
    return createHash("sha256").update(apiKey).digest("hex");
}

/** Generates an API key with 256 random bits. Only its hash belongs in the document. */
export function generateKey(): string {
    return keyPrefix + randomBytes(keyBytes).toString("base64url");
}

/** Creates the index of one version of the document. Each version needs a new index. */
export function createKeyIndex(document: documents.FleetDocument): KeyIndex {
    const entries = new Map(document.keys.map(key => [key.sha256, key]));
    return {
        find(apiKey) {
            const hash = hashKey(apiKey);
            const entry = entries.get(hash);
            return entry && areHashesEqual(entry.sha256, hash) ? entry : undefined;
        },
    };
}

function areHashesEqual(left: string, right: string): boolean {
    return timingSafeEqual(Buffer.from(left, "hex"), Buffer.from(right, "hex"));
}
