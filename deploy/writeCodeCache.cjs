// Writes the code cache of the daemon's bundle: node FLAGS deploy/writeCodeCache.cjs FOLDER. V8 accepts it only with the same flags.
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const { cacheName, loadBundle } = require("./loadBundle.cjs");

const [folder] = process.argv.slice(2);
fs.rmSync(path.join(folder, cacheName), { force: true });
const { script } = loadBundle(path.resolve(folder));
fs.writeFileSync(path.join(folder, cacheName), script.createCachedData());
