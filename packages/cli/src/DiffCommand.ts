import * as documents from "@peridotloft/document";
import { Result } from "neverthrow";
import { describeChanges } from "./ChangeDescription.js";
import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail } from "./CommandOutput.js";
import { formatError, readDocumentFile } from "./DocumentFile.js";

/** Prints the changes between two document files, and an error if the new one is not a valid successor of the old one. */
export function diff(oldFile: string, newFile: string): CommandOutput {
    return Result.combineWithAllErrors([readDocumentFile(oldFile), readDocumentFile(newFile)]).match(
        ([oldDocument, newDocument]) => compareDocuments(oldDocument, newDocument, newFile),
        errors => fail(exitCodes.invalid, errors.flat()),
    );
}

function compareDocuments(
    oldDocument: documents.FleetDocument | undefined,
    newDocument: documents.FleetDocument | undefined,
    newFile: string,
): CommandOutput {
    if (!oldDocument || !newDocument) {
        return fail(exitCodes.failed, ["two documents are needed"]);
    }
    const transitionErrors = documents.checkTransition(oldDocument, newDocument).map(error =>
        formatError(newFile, error)
    );
    return {
        exitCode: transitionErrors.length > 0 ? exitCodes.invalid : exitCodes.ok,
        text: formatChanges(oldDocument, newDocument),
        errors: transitionErrors,
    };
}

/** Lists the changes between two documents, one a line. */
export function formatChanges(before: documents.FleetDocument, after: documents.FleetDocument): string {
    const changes = describeChanges(before, after);
    const heading = `version ${before.version} -> ${after.version}: ${changes.length} change(s)`;
    return [heading, ...changes.map(change => `- ${change}`)].join("\n");
}
