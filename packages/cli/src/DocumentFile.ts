import * as documents from "@peridotloft/document";
import { err, type Result } from "neverthrow";
import { readFileSync } from "node:fs";

/** Reads and validates a document file. Each error is one line that states the file and the path of the field. */
export function readDocumentFile(file: string): Result<documents.FleetDocument, readonly string[]> {
    return parseDocumentFile(file).mapErr(errors => errors.map(error => formatError(file, error)));
}

export function parseDocumentFile(file: string): Result<documents.FleetDocument, readonly documents.DocumentError[]> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return err([{ path: "", message: `cannot be read: ${(error as Error).message}` }]);
    }
    return documents.parseDocument(text);
}

export function formatError(file: string, { path, message }: documents.DocumentError): string {
    return path === "" ? `${file}: ${message}` : `${file}: ${path}: ${message}`;
}
