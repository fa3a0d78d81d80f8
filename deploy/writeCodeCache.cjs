// Writes the code cache of the daemon's bundle: node FLAGS deploy/writeCodeCache.cjs FOLDER. V8 accepts it only with the same flags.
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const { bundleName, cacheName, runBundle } = require("./loadBundle.cjs");

const folder = path.resolve(process.argv[2]);
const { script } = runBundle(folder, fs.readFileSync(path.join(folder, bundleName)));
fs.writeFileSync(path.join(folder, cacheName), script.createCachedData());
