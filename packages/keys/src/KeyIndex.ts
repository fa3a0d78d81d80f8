import type * as documents from "@peridotloft/document";

/** Finds the document's entry of an API key. Holds hashes only. */
export interface KeyIndex {
    find(apiKey: string): documents.ApiKey | undefined;
}
