import type * as core from "@peridotloft/core";
import { ok, type Result } from "neverthrow";

export interface FakePlatformAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}

export type FakePlatformGet = (
    url: string,
    maxBytes: number,
    signal: AbortSignal,
) => Promise<Result<FakePlatformAnswer, string>>;

/** A configuration service within the test process, with its faults. */
export interface FakePlatform {
    /** Publishes a text; every waiting watch is answered. */
    publish(version: number, text: string): void;
    /** Answers every call with this text from now on, whatever version it asks for, as a stale replica might. */
    serve(version: number, text: string): void;
    setVms(vms: readonly { readonly id: string; readonly state: "live" | "leaving"; }[]): void;
    /**
     * How calls of a VM are treated from now on: answered, refused with a status, or never answered. Without `vm`, of
     * all VMs. `silent` also holds the watches that are already waiting.
     */
    treat(how: "answer" | "down" | "limit" | "silent", vm?: core.VmId): void;
    /** The GET function of one VM. */
    getOf(vm: core.VmId): FakePlatformGet;
    calls(): number;
    /** Bytes of the texts that were sent. */
    bytesSent(): number;
}

interface Watch {
    readonly vm: core.VmId;
    readonly after: number;
    readonly finish: () => void;
}

const answerDelayMs = 3;
const statusOf = { answer: 200, down: 503, limit: 429, silent: 0 } as const;

export function createFakePlatform(clock: core.Clock): FakePlatform {
    let version = 0;
    let text = "";
    let vmList = "{\"vms\":[]}";
    let calls = 0;
    let bytesSent = 0;
    let stale = false;
    let treatment: keyof typeof statusOf = "answer";
    const treatments = new Map<core.VmId, keyof typeof statusOf>();
    const watches = new Set<Watch>();
    const treatmentOf = (vm: core.VmId): keyof typeof statusOf => treatments.get(vm) ?? treatment;

    const document = (after: number): FakePlatformAnswer => {
        if (stale) {
            return { status: 200, headers: {}, body: text };
        }
        const newer = version > after;
        bytesSent += newer ? text.length : 0;
        const headers = { "x-document-version": String(version) };
        return newer ? { status: 200, headers, body: text } : { status: 304, headers, body: "" };
    };
    const watch = (vm: core.VmId, after: number, waitMs: number): Promise<FakePlatformAnswer> =>
        new Promise(resolve => {
            const finish = (): void => {
                const status = statusOf[treatmentOf(vm)];
                if (status !== 0) {
                    watches.delete(entry);
                    cancel();
                    resolve(status === 200 ? document(after) : { status, headers: {}, body: "" });
                }
            };
            const entry = { vm, after, finish };
            const cancel = clock.setTimer(waitMs, finish);
            watches.add(entry);
        });
    const answer = (vm: core.VmId, url: URL): Promise<FakePlatformAnswer> => {
        const status = statusOf[treatmentOf(vm)];
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
        return waitMs > 0 && version <= after && !stale ? watch(vm, after, waitMs) : Promise.resolve(document(after));
    };
    const delayed = (): Promise<void> => new Promise(resolve => clock.setTimer(answerDelayMs, resolve));

    return {
        publish(nextVersion, nextText) {
            version = nextVersion;
            text = nextText;
            stale = false;
            [...watches].filter(({ after }) => after < version).forEach(({ finish }) => finish());
        },
        serve(otherVersion, otherText) {
            version = otherVersion;
            text = otherText;
            stale = true;
        },
        setVms(vms) {
            vmList = JSON.stringify({ vms });
        },
        treat(how, vm) {
            if (vm === undefined) {
                treatment = how;
                treatments.clear();
            }
            else {
                treatments.set(vm, how);
            }
        },
        getOf: vm => async url => {
            calls++;
            await delayed();
            const result = await answer(vm, new URL(url));
            await delayed();
            return ok(result);
        },
        calls: () => calls,
        bytesSent: () => bytesSent,
    };
}
