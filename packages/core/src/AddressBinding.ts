import { err, ok, type Result } from "neverthrow";
import type * as net from "node:net";
import type { Clock } from "./Clock.js";

/** An address of this machine that could not be bound. */
export interface BindFailure {
    /** IP address and port. */
    readonly address: string;
    /** Code of the system's error, such as `EADDRINUSE`; undefined if it has none. */
    readonly code: string | undefined;
    readonly error: string;
}

/** Describes a failure to bind an address. */
export function createBindFailure(host: string, port: number, error: NodeJS.ErrnoException): BindFailure {
    return { address: `${host}:${port}`, code: error.code, error: String(error) };
}

/** Listens on an address. After a failure, it may be called again for the server. */
export function listen(
    server: net.Server,
    options: { readonly host: string; readonly port: number; readonly backlog?: number; },
): Promise<Result<void, BindFailure>> {
    return new Promise(resolve => {
        const onListening = (): void => {
            server.off("error", onError);
            resolve(ok(undefined));
        };
        const onError = (error: Error): void => {
            server.off("listening", onListening);
            resolve(err(createBindFailure(options.host, options.port, error)));
        };
        server.once("error", onError).once("listening", onListening).listen({ ...options });
    });
}

/** How long and for which failures an address is tried again. */
export interface AddressWait {
    readonly clock: Clock;
    readonly log: { state(event: string, fields: Readonly<Record<string, string | number | undefined>>): void; };
    /** Time in ms on the clock at which the wait ends; without it, it has no bound. */
    readonly untilMs?: number;
    /** Whether a failure may pass, as that of an address in use. By default its code decides. */
    readonly isTemporary?: (failure: BindFailure) => boolean;
    /** Whether the address is no longer needed. */
    readonly isCancelled?: () => boolean;
}

/** Codes of failures that pass once another process has released what it holds, or the machine has been set up. */
const temporaryCodes: ReadonlySet<string> = new Set([
    "EADDRINUSE",
    "EADDRNOTAVAIL",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
]);
/** Interval in ms at which an address is tried again. */
const retryIntervalMs = 50;

/**
 * Binds an address. While another process holds it, such as a predecessor that drains, it is tried again. Logs the begin and
 * the end of a wait. Fails with the address and the reason.
 *
 * @param tryBind tries once.
 */
export async function bindAddress(
    wait: AddressWait,
    tryBind: () => Promise<Result<void, BindFailure>>,
): Promise<Result<void, string>> {
    const {
        clock,
        log,
        untilMs = Number.POSITIVE_INFINITY,
        isTemporary = hasTemporaryCode,
        isCancelled = () => false,
    } = wait;
    const startedMs = clock.nowMs();
    let bound = await tryBind();
    let awaited: string | undefined;
    while (bound.isErr() && isTemporary(bound.error) && !isCancelled() && clock.nowMs() < untilMs) {
        if (awaited === undefined) {
            const { address, error } = bound.error;
            awaited = address;
            const maxWaitMs = untilMs === Number.POSITIVE_INFINITY ? undefined : Math.round(untilMs - startedMs);
            log.state("address-awaited", { address, error, maxWaitMs });
        }
        await new Promise<void>(resolve => clock.setTimer(retryIntervalMs, resolve));
        bound = await tryBind();
    }
    const waitedMs = Math.round(clock.nowMs() - startedMs);
    if (bound.isErr()) {
        const { address, error } = bound.error;
        return err(`${address}: ${error}${awaited === undefined ? "" : `, for ${waitedMs} ms`}`);
    }
    if (awaited !== undefined) {
        log.state("address-bound", { address: awaited, waitedMs });
    }
    return ok(undefined);
}

function hasTemporaryCode({ code }: BindFailure): boolean {
    return code !== undefined && temporaryCodes.has(code);
}

/**
 * Binds addresses one after the other, up to the first that fails. Of processes that start on the same addresses in the same
 * order, only one gets the first, and the others hold none; otherwise each could wait for an address of another one.
 */
export async function bindInOrder(
    bindings: readonly (() => Promise<Result<void, string>>)[],
): Promise<Result<void, string>> {
    for (const bind of bindings) {
        const bound = await bind();
        if (bound.isErr()) {
            return bound;
        }
    }
    return ok(undefined);
}
