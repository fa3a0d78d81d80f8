import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import type { ActiveDocument, RejectedDocument } from "./DocumentFeed.js";
import type { DocumentPatch, PatchHistory } from "./PatchHistory.js";

/** The text of a document and its source. */
export interface ReceivedText {
    readonly text: string;
    readonly source: string;
    /** The patches that produced the text from the active one, if a peer sent patches. */
    readonly patches?: readonly DocumentPatch[];
}

/** Holds the active document. */
export interface DocumentStore {
    readonly activeDocument: core.SnapshotCell<ActiveDocument | undefined>;
    readonly history: PatchHistory;
    /** Validates a text; records an invalid one as rejected. */
    parse(received: ReceivedText): Result<ActiveDocument, RejectedDocument>;
    /** Adopts a document if it is newer than the active one. Returns whether it is active now. */
    adopt(candidate: ActiveDocument, received: ReceivedText): boolean;
    reject(source: string, errors: readonly documents.DocumentError[]): RejectedDocument;
    lastRejected(): RejectedDocument | undefined;
}

const maxReportedErrors = 1_000;

export interface DocumentStoreOptions {
    readonly clock: core.Clock;
    readonly history: PatchHistory;
    readonly isNewer: (candidateVersion: number, currentVersion: number) => boolean;
    readonly onAdopted: (adopted: ActiveDocument) => void;
}

export function createDocumentStore({ clock, history, isNewer, onAdopted }: DocumentStoreOptions): DocumentStore {
    const activeDocument = core.createSnapshotCell<ActiveDocument | undefined>(undefined);
    let rejected: RejectedDocument | undefined;

    // An error that a source repeats is reported once, and again after the next version becomes active.
    const reported = new Map<string, RejectedDocument>();

    const reject = (source: string, errors: readonly documents.DocumentError[]): RejectedDocument => {
        const key = JSON.stringify([source, errors]);
        const known = reported.get(key);
        if (known) {
            return known;
        }
        rejected = { source, errors, wallMs: clock.wallMs() };
        if (reported.size < maxReportedErrors) {
            reported.set(key, rejected);
        }
        return rejected;
    };
    return {
        activeDocument,
        history,
        reject,
        parse: ({ text, source }) =>
            documents.parseDocument(text).match(
                document => ok({ document, text, digest: documents.digestOf(text) }),
                errors => err(reject(source, errors)),
            ),
        adopt(candidate, { source, patches }) {
            const current = activeDocument.read();
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
                history.add(current, candidate, patches);
            }
            reported.clear();
            activeDocument.update(() => candidate);
            onAdopted(candidate);
            return true;
        },
        lastRejected: () => rejected,
    };
}

/** Creates the error for a document with the active version but a different text. */
export function sameVersionError(current: ActiveDocument, digest: string): documents.DocumentError {
    const { version } = current.document;
    const message = `${version} is active with digest ${current.digest.slice(0, 16)}, got ${digest.slice(0, 16)}`;
    return { path: "version", message };
}
