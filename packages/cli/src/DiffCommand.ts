import * as documents from "@peridotloft/document";
import { Result } from "neverthrow";
import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail } from "./CommandOutput.js";
import { describeChanges } from "./DiffWords.js";
import { formatError, readDocumentFile } from "./DocumentFile.js";

/** Prints what changes from one document file to the next, and whether the one may follow the other. */
export function diff(oldFile: string, newFile: string): CommandOutput {
    return Result.combineWithAllErrors([readDocumentFile(oldFile), readDocumentFile(newFile)]).match(
        ([before, after]) => compare(before, after, newFile),
        errors => fail(exitCodes.invalid, errors.flat()),
    );
}

function compare(
    before: documents.FleetDocument | undefined,
    after: documents.FleetDocument | undefined,
    newFile: string,
): CommandOutput {
    if (!before || !after) {
        return fail(exitCodes.failed, ["two documents are needed"]);
    }
    const changes = describeChanges(before, after);
    const heading = `version ${before.version} -> ${after.version}: ${changes.length} change(s)`;
    const faults = documents.checkTransition(before, after).map(error => formatError(newFile, error));
    return {
        exitCode: faults.length > 0 ? exitCodes.invalid : exitCodes.ok,
        text: [heading, ...changes.map(change => `- ${change}`)].join("\n"),
        errors: faults,
    };
}
