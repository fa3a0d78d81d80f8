import * as documents from "@peridotloft/document";

/** What the console shows about a draft. */
export interface DraftReview {
    /** Faults at their fields; empty when the draft may be submitted. */
    readonly errors: readonly documents.DocumentError[];
    /** Differences from the loaded document, in words; empty while the draft has errors. */
    readonly changes: readonly string[];
    /** The draft as it would be published; undefined while it has errors. */
    readonly text: string | undefined;
}

/** Validates a draft with the router's own validator and compares it with the loaded document. */
export function reviewDraft(draft: unknown, loaded: unknown): DraftReview {
    const text = JSON.stringify(draft, undefined, 2) ?? "";
    const parsed = documents.parseDocument(text);
    if (parsed.isErr()) {
        return { errors: parsed.error, changes: [], text: undefined };
    }
    const before = documents.validateDocument(loaded);
    if (before.isErr()) {
        return { errors: [], changes: ["This is the first document."], text };
    }
    const errors = documents.checkTransition(before.value, parsed.value);
    if (errors.length > 0) {
        return { errors, changes: [], text: undefined };
    }
    return {
        errors: [],
        changes: documents.diffDocuments(before.value, parsed.value).map(documents.describeChange),
        text,
    };
}
