import * as assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { connectionEnds, startRawUpstream } from "./RawUpstream.js";

const body = "Content-Length: 2\r\n\r\nok";

/** By what they are, bytes that are no final response. */
const invalidHeads = {
    "status 000": `HTTP/1.1 000 X\r\n${body}`,
    "status 0": `HTTP/1.1 0 X\r\n${body}`,
    "status 99": `HTTP/1.1 99 X\r\n${body}`,
    "status 099": `HTTP/1.1 099 X\r\n${body}`,
    "status 600": `HTTP/1.1 600 X\r\n${body}`,
    "status 999": `HTTP/1.1 999 X\r\n${body}`,
    "status 2000": `HTTP/1.1 2000 X\r\n${body}`,
    "a negative status": `HTTP/1.1 -200 X\r\n${body}`,
    "a status that is not a number": `HTTP/1.1 2x0 X\r\n${body}`,
    "a status line without a status": `HTTP/1.1 OK\r\n${body}`,
    "a status line that ends with the version": `HTTP/1.1\r\n${body}`,
    "a change of protocol": "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
    "a change of protocol without its name": "HTTP/1.1 101 X\r\n\r\nok",
    "a body after an interim response": `HTTP/1.1 100 X\r\n${body}`,
    "a body without a head": "<html>ok</html>\r\n",
    "another protocol": `ICY 200 OK\r\n${body}`,
} as const;

/** By what they are, bytes that are the beginning of a response at most. */
const unfinishedHeads = {
    "nothing": "",
    "part of a status line": "HTTP/1.1 20",
    "part of a head": "HTTP/1.1 200 OK\r\nContent-Le",
    "an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
    "several interim responses": "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 199 X\r\n\r\n",
} as const;

// An upstream in trouble must not make its caller take such bytes for a response, nor for the statement that nothing has run.
describe("An attempt", { timeout: 30_000 }, () => {
    let upstream: Awaited<ReturnType<typeof startRawUpstream>>;
    afterEach(() => upstream.close());

    async function expectFailure(response: string, end: keyof typeof connectionEnds, uploadBytes: number) {
        upstream = await startRawUpstream({ response, endConnection: connectionEnds[end] });
        const result = await upstream.request("POST", uploadBytes).response;
        assert.ok(result.isErr(), "taken for a response");
        assert.deepEqual([result.error.verdict, result.error.outcome], ["may-have-run", "broken"]);
    }

    Object.entries(invalidHeads).forEach(([name, response]) =>
        (["kept open", "ended", "reset with the last bytes"] as const).forEach(end =>
            it(`fails as possibly run on ${name}, whose connection is ${end}`, async () => {
                await expectFailure(response, end, 100);
                upstream.close();
                await expectFailure(response, end, 12_000_000);
            })
        )
    );

    Object.entries(unfinishedHeads).forEach(([name, response]) =>
        (["ended", "reset with the last bytes"] as const).forEach(end =>
            it(`fails as possibly run on ${name}, whose connection is ${end}`, () => expectFailure(response, end, 100))
        )
    );

    it("takes the response that follows an interim one", async () => {
        upstream = await startRawUpstream({
            response: `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 X\r\n${body}`,
            endConnection: connectionEnds["kept open"],
        });
        const result = await upstream.request("POST", 100).response;
        assert.equal(result.isOk() && result.value.statusCode, 201);
    });
});
