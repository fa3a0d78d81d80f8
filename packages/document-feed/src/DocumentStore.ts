import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import type { DocumentInForce, RejectedDocument } from "./DocumentFeed.js";
import type { PatchHistory, PatchStep } from "./PatchHistory.js";

/** A text and where it came from. */
export interface OfferedText {
    readonly text: string;
    readonly source: string;
    /** The steps that led to the text from the one in force, if a peer sent steps. */
    readonly steps?: readonly PatchStep[];
}

/** Holds the document in force. */
export interface DocumentStore {
    readonly inForce: core.SnapshotCell<DocumentInForce | undefined>;
    readonly history: PatchHistory;
    /** Validates a text; an invalid one is recorded as rejected. */
    parse(offered: OfferedText): Result<DocumentInForce, RejectedDocument>;
    /** Puts a document in force if it is newer than the one in force; says whether it is in force now. */
    adopt(candidate: DocumentInForce, offered: OfferedText): boolean;
    reject(source: string, errors: readonly documents.DocumentError[]): RejectedDocument;
    lastRejected(): RejectedDocument | undefined;
}

const maxReported = 1_000;

export interface DocumentStoreOptions {
    readonly clock: core.Clock;
    readonly history: PatchHistory;
    readonly isNewer: (candidateVersion: number, currentVersion: number) => boolean;
    readonly onAdopted: (adopted: DocumentInForce) => void;
}

export function createDocumentStore({ clock, history, isNewer, onAdopted }: DocumentStoreOptions): DocumentStore {
    const inForce = core.createSnapshotCell<DocumentInForce | undefined>(undefined);
    let rejected: RejectedDocument | undefined;

    // A source that repeats a refused document is reported once, and again after the next version.
    const reported = new Map<string, RejectedDocument>();

    const reject = (source: string, errors: readonly documents.DocumentError[]): RejectedDocument => {
        const key = JSON.stringify([source, errors]);
        const known = reported.get(key);
        if (known) {
            return known;
        }
        rejected = { source, errors, wallMs: clock.wallMs() };
        if (reported.size < maxReported) {
            reported.set(key, rejected);
        }
        return rejected;
    };
    return {
        inForce,
        history,
        reject,
        parse: ({ text, source }) =>
            documents.parseDocument(text).match(
                document => ok({ document, text, digest: documents.digestOf(text) }),
                errors => err(reject(source, errors)),
            ),
        adopt(candidate, { source, steps }) {
            const current = inForce.read();
            if (current && current.document.version === candidate.document.version) {
                if (current.digest !== candidate.digest) {
                    reject(source, [sameVersionError(current, candidate.digest)]);
                }
                return current.digest === candidate.digest;
            }
            if (current && !isNewer(candidate.document.version, current.document.version)) {
                return false;
            }
            if (current) {
                history.add(current, candidate, steps);
            }
            reported.clear();
            inForce.update(() => candidate);
            onAdopted(candidate);
            return true;
        },
        lastRejected: () => rejected,
    };
}

/** The fault of a document that has the version of the one in force and another text. */
export function sameVersionError(current: DocumentInForce, digest: string): documents.DocumentError {
    const { version } = current.document;
    const message = `${version} is in force with digest ${current.digest.slice(0, 16)}, got ${digest.slice(0, 16)}`;
    return { path: "version", message };
}
