import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { ServerResponse } from "node:http";
import type { FailureKind } from "./RequestFailure.js";

/** Why a request was aborted. */
export type AbortReason = "caller-left" | "key-withdrawn";

/** One request of a caller that is in flight. */
export interface InFlightRequest {
    /** Aborted with an `AbortReason` when the caller disconnects or its key is withdrawn. */
    readonly signal: AbortSignal;
    close(): void;
}

/** Tracks the requests in flight on this VM, for draining and for aborting those of withdrawn keys. */
export interface InFlightRequests {
    add(response: ServerResponse): InFlightRequest & { setKey(key: documents.ApiKey): void; };
    /** Counts work without a connected caller as in flight; returns a function that ends the tracking. */
    track(): () => void;
    /** Aborts the requests whose key the document no longer contains; returns their number. */
    abortWithdrawn(document: documents.FleetDocument): number;
    count(): number;
    /** Resolves when no request is in flight. */
    whenEmpty(): Promise<void>;
}

interface Entry {
    readonly controller: AbortController;
    key: documents.ApiKey | undefined;
}

export function createInFlightRequests(): InFlightRequests {
    const entries = new Set<Entry>();
    const waiters = new Set<() => void>();

    function remove(entry: Entry): void {
        entries.delete(entry);
        if (entries.size === 0) {
            waiters.forEach(resolve => resolve());
            waiters.clear();
        }
    }

    function addEntry(): Entry {
        const entry: Entry = { controller: new AbortController(), key: undefined };
        entries.add(entry);
        return entry;
    }

    return {
        track() {
            const entry = addEntry();
            return () => remove(entry);
        },
        add(response) {
            const entry = addEntry();
            response.once("close", () => {
                if (!response.writableFinished) {
                    abort(entry, "caller-left");
                }
            });
            return {
                signal: entry.controller.signal,
                setKey: key => entry.key = key,
                close: () => remove(entry),
            };
        },
        abortWithdrawn(document) {
            const valid = new Set(document.keys.map(identityOf));
            const withdrawn = [...entries].filter(entry => entry.key && !valid.has(identityOf(entry.key)));
            withdrawn.forEach(entry => abort(entry, "key-withdrawn"));
            return withdrawn.length;
        },
        count: () => entries.size,
        whenEmpty: () => entries.size === 0 ? Promise.resolve() : new Promise<void>(resolve => waiters.add(resolve)),
    };
}

function abort(entry: Entry, reason: AbortReason): void {
    entry.controller.abort(reason);
}

// A key that was reassigned to another customer counts as withdrawn for the requests of the previous one.
function identityOf(key: documents.ApiKey): string {
    return `${key.sha256}/${key.customer}`;
}

/** The reason for which a request was aborted. */
export function abortReasonOf(signal: AbortSignal): FailureKind & AbortReason {
    core.invariant(signal.aborted, "the signal is aborted");
    return signal.reason === "key-withdrawn" ? "key-withdrawn" : "caller-left";
}
