import * as documents from "@peridotloft/document";
import type { DocumentInForce } from "./DocumentFeed.js";
import { applyJson, diffJson, type JsonPatch } from "./JsonPatch.js";
import * as constants from "./PlatformConstants.js";

/** One step between two texts that were in force one after the other. */
export interface PatchStep {
    readonly fromDigest: string;
    readonly toDigest: string;
    readonly patch: JsonPatch;
    /** Indentation of the text that the step leads to. */
    readonly indent: number;
}

/** The last steps between the documents that this VM had in force, so that peers need not send whole documents. */
export interface PatchHistory {
    /** Records that `after` replaced `before`. `received` are the steps that led there, if it came as steps. */
    add(before: DocumentInForce, after: DocumentInForce, received?: readonly PatchStep[]): void;
    /** The steps from the text with this digest to the current one; undefined when they are not known. */
    stepsFrom(digest: string): readonly PatchStep[] | undefined;
}

/** Keeps at most {@link constants.maxPatches} steps of at most {@link constants.maxPatchBytes} bytes together. */
export function createPatchHistory(): PatchHistory {
    let steps: { readonly step: PatchStep; readonly bytes: number; }[] = [];
    return {
        add(before, after, received) {
            const added = received ?? createStep(before, after);
            if (added === undefined) {
                steps = [];
                return;
            }
            steps = trim([...steps, ...added.map(step => ({ step, bytes: JSON.stringify(step).length }))]);
        },
        stepsFrom(digest) {
            const start = steps.findIndex(({ step }) => step.fromDigest === digest);
            return start < 0 ? undefined : steps.slice(start).map(({ step }) => step);
        },
    };
}

function trim<T extends { readonly bytes: number; }>(steps: readonly T[]): T[] {
    const recent = steps.slice(-constants.maxPatches);
    let bytes = 0;
    const kept = [...recent].reverse().findIndex(({ bytes: size }) => (bytes += size) > constants.maxPatchBytes);
    return kept < 0 ? recent : recent.slice(recent.length - kept);
}

// A step is offered to peers only if it gives exactly the published text, so the result is tried out first.
function createStep(before: DocumentInForce, after: DocumentInForce): PatchStep[] | undefined {
    const indent = indentOf(after.text);
    const old: unknown = JSON.parse(before.text);
    const patch = diffJson(old, JSON.parse(after.text)) ?? { o: {} };
    const rebuilt = JSON.stringify(applyJson(old, patch), undefined, indent);
    return rebuilt === after.text
        ? [{ fromDigest: before.digest, toDigest: after.digest, patch, indent }]
        : undefined;
}

function indentOf(text: string): number {
    return /^\{\n( +)"/.exec(text)?.[1]?.length ?? 0;
}

/** Applies steps to a text; undefined when the result is not the text with the expected digest. */
export function applySteps(text: string, steps: readonly PatchStep[], digest: string): string | undefined {
    const indent = steps.at(-1)?.indent ?? 0;
    const value = steps.reduce<unknown>((current, step) => applyJson(current, step.patch), JSON.parse(text));
    const result = JSON.stringify(value, undefined, indent);
    return result !== undefined && documents.digestOf(result) === digest ? result : undefined;
}
