import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { ServerResponse } from "node:http";
import type { FailureKind } from "./RequestFailure.js";

/** Why a request was ended before its answer. */
export type EndReason = "caller-left" | "key-withdrawn";

/** One caller's request while it is in flight. */
export interface InFlightRequest {
    /** Aborted with an `EndReason` when the caller leaves or its key is withdrawn. */
    readonly signal: AbortSignal;
    close(): void;
}

/** The requests in flight of this VM, so that withdrawn keys end theirs. */
export interface InFlightRequests {
    open(response: ServerResponse): InFlightRequest & { setKey(key: documents.ApiKey): void; };
    /** Counts work that has no caller on this VM as in flight; returns a function that ends it. */
    track(): () => void;
    /** Ends the requests whose key the document no longer contains; returns how many. */
    endWithdrawn(document: documents.FleetDocument): number;
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

    function add(): Entry {
        const entry: Entry = { controller: new AbortController(), key: undefined };
        entries.add(entry);
        return entry;
    }

    return {
        track() {
            const entry = add();
            return () => remove(entry);
        },
        open(response) {
            const entry = add();
            response.once("close", () => {
                if (!response.writableFinished) {
                    end(entry, "caller-left");
                }
            });
            return {
                signal: entry.controller.signal,
                setKey: key => entry.key = key,
                close: () => remove(entry),
            };
        },
        endWithdrawn(document) {
            const valid = new Set(document.keys.map(identityOf));
            const withdrawn = [...entries].filter(entry => entry.key && !valid.has(identityOf(entry.key)));
            withdrawn.forEach(entry => end(entry, "key-withdrawn"));
            return withdrawn.length;
        },
        count: () => entries.size,
        whenEmpty: () => entries.size === 0 ? Promise.resolve() : new Promise<void>(resolve => waiters.add(resolve)),
    };
}

function end(entry: Entry, reason: EndReason): void {
    entry.controller.abort(reason);
}

// A key that moved to another customer no longer stands for the customer whose request this is.
function identityOf(key: documents.ApiKey): string {
    return `${key.sha256}/${key.customer}`;
}

/** The failure that an aborted request counts as. */
export function abortKind(signal: AbortSignal): FailureKind & EndReason {
    core.invariant(signal.aborted, "the signal is aborted");
    return signal.reason === "key-withdrawn" ? "key-withdrawn" : "caller-left";
}
