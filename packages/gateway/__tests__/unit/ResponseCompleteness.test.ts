import { ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { CallerResponse } from "../../src/CallerResponse.js";
import { createEventSplitter } from "../../src/EventSplitter.js";
import { readCompleteResponse, relayStream } from "../../src/ResponseRelay.js";
import type { BufferMemory } from "../../src/WholeBody.js";
import { connectionEnds, startRawUpstream } from "./RawUpstream.js";

const part = "id: 1\ndata: x\n\n";
const headOf = (...headers: readonly string[]): string => ["HTTP/1.1 200 OK", ...headers, "\r\n"].join("\r\n");

/** Larger than what the kernel buffers of a connection on loopback, so that the upload cannot end before the response. */
const largeBytes = 12_000_000;
const repetitions = 5;

// An upstream that breaks off must not make the part that it has sent look like a whole response.
describe("A response that breaks off", { timeout: 60_000 }, () => {
    let upstream: Awaited<ReturnType<typeof startRawUpstream>>;
    afterEach(() => upstream.close());

    const bodies = [
        ["without a length", headOf(), part],
        ["without a length, whose connection is to be closed", headOf("Connection: close"), part],
        ["of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", part],
        ["shorter than its length", headOf("Content-Length: 1000"), part],
        ["without the last chunk", headOf("Transfer-Encoding: chunked"), `f\r\n${part}\r\n`],
    ] as const;
    const resets = ["reset with the last bytes", "reset after the last bytes"] as const;
    const uploads = [["no", 0], ["a small", 100], ["a large", largeBytes]] as const;

    bodies.forEach(([body, head, bytes]) =>
        describe(body, () => {
            resets.forEach(end =>
                uploads.forEach(([upload, uploadBytes]) =>
                    ["a new", "a reused"].forEach(connection =>
                        it(`is not whole if ${connection} connection is ${end}, with ${upload} upload`, async () => {
                            const results = await repeat(async () => {
                                upstream = await startRawUpstream({
                                    response: head + bytes,
                                    endConnection: connectionEnds[end],
                                    answersFirst: connection === "a reused",
                                });
                                if (connection === "a reused") {
                                    await readWhole("GET", 0);
                                    await nextTurns();
                                }
                                return readWhole(uploadBytes > 0 ? "POST" : "GET", uploadBytes);
                            });
                            assert.deepEqual(new Set(results), new Set(["broken"]));
                        })
                    )
                )
            );
        })
    );

    it("is not whole if it is reset while it waits for memory", async () => {
        upstream = await startRawUpstream({
            response: headOf() + part,
            endConnection: connectionEnds["reset with the last bytes"],
        });
        const memory: BufferMemory = {
            undeclaredSizes: [1_000],
            grow: () => new Promise(resolve => setTimeout(() => resolve(ok(undefined)), 50)),
            shrinkTo: () => undefined,
            release: () => undefined,
        };
        assert.equal(await readWhole("POST", 100, memory), "broken");
    });

    resets.forEach(end =>
        uploads.forEach(([upload, uploadBytes]) =>
            it(`does not end its stream as complete if it is ${end}, with ${upload} upload`, async () => {
                const results = await repeat(async () => {
                    upstream = await startRawUpstream({
                        response: headOf() + part,
                        endConnection: connectionEnds[end],
                    });
                    return relay(uploadBytes);
                });
                assert.deepEqual(new Set(results.map(({ outcome }) => outcome)), new Set(["broken"]));
                assert.ok(results.every(({ hasEnded }) => !hasEnded));
            })
        )
    );

    it("is whole without a length if its connection ends without a reset", async () => {
        upstream = await startRawUpstream({ response: headOf() + part, endConnection: connectionEnds.ended });
        assert.equal(await readWhole("POST", 100), part);
    });

    /** Resolves with the body, or why it was not read. */
    async function readWhole(method: string, uploadBytes: number, memory?: BufferMemory): Promise<string> {
        const attempt = upstream.request(method, uploadBytes);
        const response = await attempt.response;
        if (response.isErr()) {
            return response.error.verdict === "may-have-run" ? "broken" : response.error.cause;
        }
        const body = await readCompleteResponse(response.value, memory);
        return body.isOk() ? body.value.toString() : body.error;
    }

    /** Relays a response as a stream; the connection may break before its head is read. */
    async function relay(uploadBytes: number) {
        const attempt = upstream.request("POST", uploadBytes);
        const response = await attempt.response;
        let hasEnded = false;
        const callerResponse = {
            hasBegun: () => true,
            hasEnded: () => hasEnded,
            write: () => true,
            end: () => void (hasEnded = true),
        } as unknown as CallerResponse;
        if (response.isErr()) {
            return { outcome: "broken", hasEnded };
        }
        const stream = relayStream(response.value, createEventSplitter(), {
            callerResponse,
            begin: () => undefined,
            onFirstEvent: () => undefined,
            stallWatch: undefined,
        });
        return { outcome: await stream.outcome, hasEnded };
    }

    /** Repeats an exchange, since a reset may arrive with the last bytes or after them. */
    async function repeat<T>(exchange: () => Promise<T>): Promise<T[]> {
        const results: T[] = [];
        while (results.length < repetitions) {
            results.push(await exchange());
            upstream.close();
        }
        return results;
    }
});

const nextTurns = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5));
