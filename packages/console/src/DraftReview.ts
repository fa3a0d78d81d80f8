import * as documents from "@peridotloft/document";

/** Result of validating a draft and comparing it with the loaded document. */
export interface DraftReview {
    /** Validation errors; empty if the draft can be submitted. */
    readonly errors: readonly documents.DocumentError[];
    /** Changes since the loaded document as text; empty if the draft has errors. */
    readonly changes: readonly string[];
    /** JSON text of the draft for publication; undefined if the draft has errors. */
    readonly text: string | undefined;
}

/** Validates a draft with the validator that the router uses and compares it with the loaded document. */
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
