import * as keys from "@peridotloft/keys";
import { text as readText } from "node:stream/consumers";
import { exitCodes } from "./CliConstants.js";
import { type CommandOutput, fail, succeed } from "./CommandOutput.js";

/**
 * Prints the hash of an API key for the document's `keys[].sha256`.
 * The key is read from standard input, so that it does not appear in the process list.
 */
export async function hashKey(generate: boolean): Promise<CommandOutput> {
    if (generate) {
        const key = keys.generateKey();
        return { ...succeed(keys.hashKey(key)), errors: [`new key, shown once: ${key}`] };
    }
    const key = (await readText(process.stdin)).trim();
    return /^\S+$/.test(key)
        ? succeed(keys.hashKey(key))
        : fail(exitCodes.invalid, ["standard input must contain one key without spaces; use --generate for a new one"]);
}
