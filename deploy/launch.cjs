// Starts the daemon from its bundle, with the code that V8 compiled when the bundle was built. Compiling is a large part of a start.
"use strict";
const { ignoreSignalsWhileLoading } = require("../platform/dist/src/IgnoredSignals.js");

ignoreSignalsWhileLoading();
const path = require("node:path");
const { loadBundle } = require("./loadBundle.cjs");

function writeEvent(level, event, details) {
    process.stdout.write(`${JSON.stringify({ level, event, ...details })}\n`);
}

// build.mjs replaces BUILD by the description of the build.
const { bundle, failure, cacheFailure } = loadBundle(path.join(__dirname, BUILD.folder), BUILD);
if (cacheFailure !== undefined) {
    writeEvent("warn", "code-cache-unused", { reason: cacheFailure });
}
if (failure === undefined) {
    void bundle.startDaemon();
}
else {
    writeEvent("info", "start-failed", { error: failure });
    process.exitCode = 1;
}
