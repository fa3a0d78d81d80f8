import type * as core from "@peridotloft/core";
import { ok, type Result } from "neverthrow";

export interface FakePlatformResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}

export type FakePlatformGet = (
    url: string,
    maxBytes: number,
    signal: AbortSignal,
) => Promise<Result<FakePlatformResponse, string>>;

/** An in-process configuration service with fault injection. */
export interface FakePlatform {
    /** Publishes a document and completes every pending watch. */
    publish(version: number, text: string): void;
    /** Returns this document for every call from now on, whatever version the caller has, as a stale replica might. */
    serveStale(version: number, text: string): void;
    setVms(vms: readonly { readonly id: string; readonly state: "live" | "leaving"; }[]): void;
    /**
     * Sets how calls end from now on: as usual (`normal`), with status 503 (`down`) or 429 (`limit`), or never
     * (`unresponsive`). Applies to calls of `vm`; without it, to calls of all VMs, and replaces the modes set for single
     * VMs. The mode also applies to pending watches: one that would end while its VM has the mode `unresponsive` stays
     * pending until a later document is published.
     */
    setResponseMode(mode: "normal" | "down" | "limit" | "unresponsive", vm?: core.VmId): void;
    /** The GET function of one VM. */
    httpGetOf(vm: core.VmId): FakePlatformGet;
    calls(): number;
    /** Bytes of all documents sent so far. */
    bytesSent(): number;
}

interface Watch {
    readonly vm: core.VmId;
    readonly after: number;
    readonly finish: () => void;
}

const responseDelayMs = 3;
const statusByMode = { normal: 200, down: 503, limit: 429, unresponsive: 0 } as const;

export function createFakePlatform(clock: core.Clock): FakePlatform {
    let version = 0;
    let text = "";
    let vmList = "{\"vms\":[]}";
    let calls = 0;
    let bytesSent = 0;
    let isStale = false;
    let defaultMode: keyof typeof statusByMode = "normal";
    const modeByVm = new Map<core.VmId, keyof typeof statusByMode>();
    const watches = new Set<Watch>();
    const modeOf = (vm: core.VmId): keyof typeof statusByMode => modeByVm.get(vm) ?? defaultMode;

    const documentResponse = (after: number): FakePlatformResponse => {
        if (isStale) {
            return { status: 200, headers: {}, body: text };
        }
        const newer = version > after;
        bytesSent += newer ? text.length : 0;
        const headers = { "x-document-version": String(version) };
        return newer ? { status: 200, headers, body: text } : { status: 304, headers, body: "" };
    };
    const watch = (vm: core.VmId, after: number, waitMs: number): Promise<FakePlatformResponse> =>
        new Promise(resolve => {
            const finish = (): void => {
                const status = statusByMode[modeOf(vm)];
                if (status !== 0) {
                    watches.delete(entry);
                    cancel();
                    resolve(status === 200 ? documentResponse(after) : { status, headers: {}, body: "" });
                }
            };
            const entry = { vm, after, finish };
            const cancel = clock.setTimer(waitMs, finish);
            watches.add(entry);
        });
    const respond = (vm: core.VmId, url: URL): Promise<FakePlatformResponse> => {
        const status = statusByMode[modeOf(vm)];
        if (status === 0) {
            return new Promise(() => undefined);
        }
        if (status !== 200) {
            return Promise.resolve({ status, headers: {}, body: "" });
        }
        if (url.pathname === "/v1/vms") {
            return Promise.resolve({ status, headers: {}, body: vmList });
        }
        const after = Number(url.searchParams.get("after") ?? 0);
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        return waitMs > 0 && version <= after && !isStale
            ? watch(vm, after, waitMs)
            : Promise.resolve(documentResponse(after));
    };
    const delayed = (): Promise<void> => new Promise(resolve => clock.setTimer(responseDelayMs, resolve));

    return {
        publish(nextVersion, nextText) {
            version = nextVersion;
            text = nextText;
            isStale = false;
            [...watches].filter(({ after }) => after < version).forEach(({ finish }) => finish());
        },
        serveStale(otherVersion, otherText) {
            version = otherVersion;
            text = otherText;
            isStale = true;
        },
        setVms(vms) {
            vmList = JSON.stringify({ vms });
        },
        setResponseMode(mode, vm) {
            if (vm === undefined) {
                defaultMode = mode;
                modeByVm.clear();
            }
            else {
                modeByVm.set(vm, mode);
            }
        },
        httpGetOf: vm => async url => {
            calls++;
            await delayed();
            const result = await respond(vm, new URL(url));
            await delayed();
            return ok(result);
        },
        calls: () => calls,
        bytesSent: () => bytesSent,
    };
}
