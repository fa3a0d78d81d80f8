import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";
import { beforeEach, describe, it } from "node:test";
import { createPipelineLimit, maxOpenPerConnection, type PipelineLimit } from "../../src/PipelineLimit.js";

describe("PipelineLimit", () => {
    let limit: PipelineLimit;
    let turnEnds: (() => void)[];
    beforeEach(() => {
        turnEnds = [];
        limit = createPipelineLimit({
            log: testing.createRecordingLog(),
            maxWaiting: 10_000,
            onTurnEnd: callback => void turnEnds.push(callback),
        });
    });

    const endTurn = (): void => turnEnds.splice(0).forEach(callback => callback());

    /** Opens as many requests on a connection as pause it. Returns the connection and a function that ends all of them. */
    function fillConnection() {
        const socket = new stream.Duplex({ read: () => undefined }) as net.Socket;
        const responses = Array.from({ length: maxOpenPerConnection }, () => {
            const response = Object.assign(new EventEmitter(), { req: { socket } });
            limit.tryAdd(response as unknown as http.ServerResponse);
            return response;
        });
        return { socket, endAll: (): void => responses.forEach(response => void response.emit("close")) };
    }

    it("reads from one of the connections that sent requests ahead in each turn, so that new callers need not wait for all", () => {
        const connections = Array.from({ length: 5 }, fillConnection);
        const countPaused = (): number => connections.filter(({ socket }) => limit.isPaused(socket)).length;
        assert.equal(countPaused(), 5);
        connections.forEach(({ endAll }) => endAll());
        const pausedAfterTurns = Array.from({ length: 6 }, () => (endTurn(), countPaused()));
        assert.deepEqual(pausedAfterTurns, [4, 3, 2, 1, 0, 0]);
        connections.forEach(({ socket }) => assert.equal(socket.isPaused(), false));
        assert.equal(turnEnds.length, 0);
    });

    it("gives the turn of a connection that was closed to the next one", () => {
        const [closed, open] = [fillConnection(), fillConnection()];
        [closed, open].forEach(({ endAll }) => endAll());
        closed.socket.destroy();
        endTurn();
        assert.equal(limit.isPaused(open.socket), false);
    });

    it("does not let the HTTP server resume a connection before its turn", () => {
        const [first, second] = [fillConnection(), fillConnection()];
        [first, second].forEach(({ endAll }) => endAll());
        endTurn();
        second.socket.resume();
        assert.equal(second.socket.isPaused(), true);
        endTurn();
        assert.equal(second.socket.isPaused(), false);
    });
});
