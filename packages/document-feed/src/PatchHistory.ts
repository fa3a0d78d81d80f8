import * as documents from "@peridotloft/document";
import type { ActiveDocument } from "./DocumentFeed.js";
import { applyJson, diffJson, type JsonPatch } from "./JsonPatch.js";
import * as constants from "./PlatformConstants.js";

/** The patch between the texts of two consecutive active documents. */
export interface DocumentPatch {
    readonly fromDigest: string;
    readonly toDigest: string;
    readonly patch: JsonPatch;
    /** Indentation of the resulting text in spaces. */
    readonly indent: number;
}

/** The latest patches between the active documents of this VM, which are sent to peers instead of full documents. */
export interface PatchHistory {
    /** Records that `after` replaced `before`. `received` holds the patches if a peer sent `after` as patches. */
    add(before: ActiveDocument, after: ActiveDocument, received?: readonly DocumentPatch[]): void;
    /** Returns the patches from the text with this digest to the active one; undefined if the text is unknown. */
    patchesFrom(digest: string): readonly DocumentPatch[] | undefined;
}

/** Keeps at most {@link constants.maxPatches} patches with a total of {@link constants.maxPatchBytes} bytes. */
export function createPatchHistory(): PatchHistory {
    let patches: { readonly documentPatch: DocumentPatch; readonly bytes: number; }[] = [];
    return {
        add(before, after, received) {
            const added = received ?? createPatch(before, after);
            if (added === undefined) {
                patches = [];
                return;
            }
            patches = dropOldest([
                ...patches,
                ...added.map(documentPatch => ({ documentPatch, bytes: JSON.stringify(documentPatch).length })),
            ]);
        },
        patchesFrom(digest) {
            const start = patches.findIndex(({ documentPatch }) => documentPatch.fromDigest === digest);
            return start < 0 ? undefined : patches.slice(start).map(({ documentPatch }) => documentPatch);
        },
    };
}

function dropOldest<T extends { readonly bytes: number; }>(patches: readonly T[]): T[] {
    const recent = patches.slice(-constants.maxPatches);
    let bytes = 0;
    const keptCount = [...recent].reverse().findIndex(({ bytes: size }) => (bytes += size) > constants.maxPatchBytes);
    return keptCount < 0 ? recent : recent.slice(recent.length - keptCount);
}

// A patch is sent to peers only if it reproduces the published text exactly, so it is applied here first.
function createPatch(before: ActiveDocument, after: ActiveDocument): DocumentPatch[] | undefined {
    const indent = indentOf(after.text);
    const beforeValue: unknown = JSON.parse(before.text);
    const patch = diffJson(beforeValue, JSON.parse(after.text)) ?? { o: {} };
    const reproduced = JSON.stringify(applyJson(beforeValue, patch), undefined, indent);
    return reproduced === after.text
        ? [{ fromDigest: before.digest, toDigest: after.digest, patch, indent }]
        : undefined;
}

function indentOf(text: string): number {
    return /^\{\n( +)"/.exec(text)?.[1]?.length ?? 0;
}

/** Applies patches to a text; returns undefined if the result does not have the expected digest. */
export function applyPatches(text: string, patches: readonly DocumentPatch[], digest: string): string | undefined {
    const indent = patches.at(-1)?.indent ?? 0;
    const value = patches.reduce<unknown>(
        (current, documentPatch) => applyJson(current, documentPatch.patch),
        JSON.parse(text),
    );
    const result = JSON.stringify(value, undefined, indent);
    return result !== undefined && documents.digestOf(result) === digest ? result : undefined;
}
