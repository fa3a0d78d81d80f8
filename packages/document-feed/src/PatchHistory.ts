import * as documents from "@peridotloft/document";
import type { DocumentInForce } from "./DocumentFeed.js";
import { applyJson, diffJson, type JsonPatch } from "./JsonPatch.js";
import * as constants from "./PlatformConstants.js";

/** The patch between two consecutive active texts. */
export interface PatchStep {
    readonly fromDigest: string;
    readonly toDigest: string;
    readonly patch: JsonPatch;
    /** Indentation of the resulting text in spaces. */
    readonly indent: number;
}

/** The latest patches between the active documents of this VM, which are sent to peers instead of full documents. */
export interface PatchHistory {
    /** Records that `after` replaced `before`. `received` holds the patches if a peer sent `after` as patches. */
    add(before: DocumentInForce, after: DocumentInForce, received?: readonly PatchStep[]): void;
    /** Returns the patches from the text with this digest to the active one; undefined if that text is not in the history. */
    stepsFrom(digest: string): readonly PatchStep[] | undefined;
}

/** Keeps at most {@link constants.maxPatches} patches with a total of {@link constants.maxPatchBytes} bytes. */
export function createPatchHistory(): PatchHistory {
    let steps: { readonly step: PatchStep; readonly bytes: number; }[] = [];
    return {
        add(before, after, received) {
            const added = received ?? createStep(before, after);
            if (added === undefined) {
                steps = [];
                return;
            }
            steps = dropOldest([...steps, ...added.map(step => ({ step, bytes: JSON.stringify(step).length }))]);
        },
        stepsFrom(digest) {
            const start = steps.findIndex(({ step }) => step.fromDigest === digest);
            return start < 0 ? undefined : steps.slice(start).map(({ step }) => step);
        },
    };
}

function dropOldest<T extends { readonly bytes: number; }>(steps: readonly T[]): T[] {
    const recent = steps.slice(-constants.maxPatches);
    let bytes = 0;
    const keptCount = [...recent].reverse().findIndex(({ bytes: size }) => (bytes += size) > constants.maxPatchBytes);
    return keptCount < 0 ? recent : recent.slice(recent.length - keptCount);
}

// A patch is sent to peers only if it reproduces the published text exactly, so it is applied here first.
function createStep(before: DocumentInForce, after: DocumentInForce): PatchStep[] | undefined {
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
export function applySteps(text: string, steps: readonly PatchStep[], digest: string): string | undefined {
    const indent = steps.at(-1)?.indent ?? 0;
    const value = steps.reduce<unknown>((current, step) => applyJson(current, step.patch), JSON.parse(text));
    const result = JSON.stringify(value, undefined, indent);
    return result !== undefined && documents.digestOf(result) === digest ? result : undefined;
}
