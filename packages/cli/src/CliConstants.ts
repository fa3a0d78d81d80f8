/** Exit codes of the command. */
export const exitCodes = {
    ok: 0,
    /** The command failed while it ran. */
    failed: 1,
    /** Wrong arguments, a missing file, bad JSON, or an invalid document or settings file. */
    invalid: 2,
    /** A URL did not answer, or did not answer as expected. */
    unavailable: 3,
} as const;

/** Time in ms in which an admin port must answer. */
export const requestTimeoutMs = 5_000;
export const defaultConsolePort = 8_700;
