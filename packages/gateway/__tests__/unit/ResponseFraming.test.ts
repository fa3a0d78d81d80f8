import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import * as timers from "node:timers/promises";
import { readCompleteResponse } from "../../src/ResponseRelay.js";
import { connectionEnds, startRawUpstream } from "./RawUpstream.js";

/** Time in ms after which a response that has arrived whole counts as lost. */
const lostMs = 3_000;

// How the end of a body is known depends on the head; a wrong conclusion passes on a part, or loses a whole response.
describe("The end of a response", { timeout: 30_000 }, () => {
    let upstream: Awaited<ReturnType<typeof startRawUpstream>>;
    afterEach(() => upstream.close());

    /** Resolves with status and body, or why there is none. */
    async function exchange(method: string, response: string, end: keyof typeof connectionEnds): Promise<string> {
        upstream = await startRawUpstream({ response, endConnection: connectionEnds[end] });
        const result = await upstream.request(method, method === "POST" ? 100 : 0).response;
        if (result.isErr()) {
            return result.error.verdict;
        }
        const body = await Promise.race([
            readCompleteResponse(result.value),
            timers.setTimeout(lostMs, undefined, { ref: false }),
        ]);
        return body === undefined
            ? "lost"
            : body.isErr()
            ? body.error
            : `${result.value.statusCode} ${body.value.toString()}`;
    }

    describe("that is neither in chunks nor has a length", () => {
        ["identity", "Identity"].forEach(encoding =>
            it(`is the end of its connection, with the encoding ${encoding}`, async () => {
                const response = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${encoding}\r\n\r\npart`;
                assert.equal(await exchange("POST", response, "reset with the last bytes"), "broken");
                upstream.close();
                assert.equal(await exchange("POST", response, "reset after the last bytes"), "broken");
                upstream.close();
                assert.equal(await exchange("POST", response, "ended"), "200 part");
            })
        );
    });

    describe("in an encoding that is not undone here", () => {
        ["gzip", "chunked, gzip", "gzip, chunked", "chunked, chunked", "x"].forEach(encoding =>
            (["ended", "reset with the last bytes"] as const).forEach(end =>
                it(`fails the attempt as possibly run (${encoding}, ${end})`, async () => {
                    const response = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${encoding}\r\n\r\n4\r\npart\r\n0\r\n\r\n`;
                    assert.equal(await exchange("POST", response, end), "may-have-run");
                })
            )
        );
    });

    describe("in another version of the protocol", () => {
        ["HTTP/0.9", "HTTP/2.0"].forEach(version =>
            it(`fails the attempt as possibly run (${version})`, async () => {
                const response = `${version} 200 OK\r\nContent-Length: 4\r\n\r\npart`;
                assert.equal(await exchange("POST", response, "kept open"), "may-have-run");
            })
        );
    });

    describe("that has no body", () => {
        const cases = [
            ["POST", "204"],
            ["GET", "304"],
            ["HEAD", "200"],
        ] as const;
        cases.forEach(([method, status]) =>
            (["kept open", "ended", "reset after the last bytes"] as const).forEach(end =>
                it(`is the end of its head (${status} to ${method}, ${end})`, async () => {
                    assert.equal(await exchange(method, `HTTP/1.1 ${status} X\r\n\r\n`, end), `${status} `);
                })
            )
        );
    });
});
