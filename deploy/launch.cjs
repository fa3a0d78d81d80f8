// Starts the daemon from its bundle, with the code that V8 compiled when the bundle was built. Compiling is a large part of a start.
"use strict";
// Before the settings watcher is installed, SIGHUP must not terminate the process.
process.on("SIGHUP", () => undefined);
const { loadBundle } = require("./loadBundle.cjs");

const { bundle, cacheFailure } = loadBundle(__dirname);
if (cacheFailure !== undefined) {
    process.stdout.write(`${JSON.stringify({ level: "warn", event: "code-cache-unused", reason: cacheFailure })}\n`);
}
void bundle.startDaemon();
