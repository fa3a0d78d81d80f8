import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { describeChanges } from "./ChangeDescription.js";
import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail } from "./CommandOutput.js";
import { formatChanges } from "./DiffCommand.js";
import { formatError, parseDocumentFile, readDocumentFile } from "./DocumentFile.js";

export interface ValidateOptions {
    readonly file: string;
    /** The published document: a file, or the base URL of the configuration service. */
    readonly against: string | undefined;
    /** Whether warnings count as errors in the exit code. */
    readonly strict: boolean;
    readonly json: boolean;
}

type Fleet = documents.FleetDocument;

/** What is wrong with a document: routers reject one with an `error` and accept one with a `warning`. */
interface Finding extends documents.DocumentError {
    readonly level: "error" | "warning";
}

interface Report {
    readonly findings: readonly Finding[];
    /** The document; undefined if it is invalid. */
    readonly document: Fleet | undefined;
    readonly published: Fleet | undefined;
}

/** Checks a document file before it is published, and compares it with the published document if that is given. */
export async function validate(options: ValidateOptions): Promise<CommandOutput> {
    const published = options.against === undefined ? ok(undefined) : await readPublished(options.against);
    return published.match(
        document => formatReport(checkFile(options.file, document), options),
        output => output,
    );
}

async function readPublished(against: string): Promise<Result<Fleet, CommandOutput>> {
    if (!/^https?:/.test(against)) {
        return readDocumentFile(against).mapErr(errors => fail(exitCodes.invalid, errors));
    }
    if (!URL.canParse(against)) {
        return err(fail(exitCodes.invalid, [`${against}: is not a URL`]));
    }
    const { fetchDocument } = await import("@peridotloft/console");
    const text = await fetchDocument(against);
    return text.mapErr(message => [message])
        .andThen(content =>
            documents.parseDocument(content).mapErr(errors => errors.map(error => formatError(against, error)))
        )
        .mapErr(errors => fail(exitCodes.unavailable, errors));
}

function checkFile(file: string, published: Fleet | undefined): Report {
    return parseDocumentFile(file).match<Report>(
        document => {
            const errors = published ? documents.checkTransition(published, document) : [];
            const warnings = documents.findWarnings(document);
            return {
                document,
                published,
                findings: [...withLevel("error", errors), ...withLevel("warning", warnings)],
            };
        },
        errors => ({ document: undefined, published, findings: withLevel("error", errors) }),
    );
}

const withLevel = (level: Finding["level"], found: readonly documents.DocumentError[]): Finding[] =>
    found.map(({ path, message }) => ({ level, path, message }));

function formatReport(report: Report, { file, strict, json }: ValidateOptions): CommandOutput {
    const { findings } = report;
    const isAccepted = strict ? findings.length === 0 : findings.every(({ level }) => level === "warning");
    const exitCode = isAccepted ? exitCodes.ok : exitCodes.invalid;
    return json
        ? { exitCode, text: JSON.stringify(toJson(report, file)), errors: [] }
        : { exitCode, text: formatText(report, file), errors: findings.map(finding => formatFinding(file, finding)) };
}

function toJson({ document, findings, published }: Report, file: string) {
    return {
        file,
        version: document?.version,
        isValid: findings.every(({ level }) => level === "warning"),
        findings,
        ...(document && published
            ? { publishedVersion: published.version, changes: listChanges(published, document) }
            : {}),
    };
}

function listChanges(before: Fleet, after: Fleet) {
    const descriptions = describeChanges(before, after);
    return documents.diffDocuments(before, after).map((change, index) => ({
        ...change,
        description: descriptions[index],
    }));
}

/** The outcome and the changes; empty for an invalid document. */
function formatText({ document, findings, published }: Report, file: string): string {
    if (!document) {
        return "";
    }
    const warnings = findings.filter(({ level }) => level === "warning").length;
    const suffix = warnings > 0 ? `, with ${warnings} warning(s)` : "";
    const isValid = warnings === findings.length;
    return [
        ...(isValid ? [`${file}: version ${document.version} is valid${suffix}`] : []),
        ...(published ? [formatChanges(published, document)] : []),
    ].join("\n");
}

function formatFinding(file: string, { level, path, message }: Finding): string {
    return formatError(file, { path, message: level === "warning" ? `warning: ${message}` : message });
}
