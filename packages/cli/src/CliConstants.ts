/** Exit codes of the command. */
export const exitCodes = {
    ok: 0,
    /** The command failed. */
    failed: 1,
    /** Invalid arguments, a missing file, invalid JSON, or an invalid document or settings file. */
    invalid: 2,
    /** A URL did not respond, or not as expected. */
    unavailable: 3,
} as const;

/** Timeout in ms of a request to an admin port. */
export const requestTimeoutMs = 5_000;
export const defaultConsolePort = 8_700;
