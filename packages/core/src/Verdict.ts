/**
 * Whether a request may have run at an upstream.
 *
 * - `not-run`: provably no upstream ran it, so a retry is safe.
 * - `may-have-run`: an upstream may have run it.
 * - `ran`: an upstream returned a complete response.
 */
export type Verdict = "not-run" | "may-have-run" | "ran";

/** Whether a request with this verdict may be sent to another upstream. */
export function mayRetry(verdict: Verdict, idempotent: boolean): boolean {
    return verdict === "not-run" || (verdict === "may-have-run" && idempotent);
}
