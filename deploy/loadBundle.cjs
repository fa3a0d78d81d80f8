"use strict";
const fs = require("node:fs");
const Module = require("node:module");
const path = require("node:path");
const vm = require("node:vm");

const bundleName = "daemon.cjs";
const cacheName = "daemon.cache";

function readCache(folder) {
    try {
        return { cachedData: fs.readFileSync(path.join(folder, cacheName)) };
    }
    catch (error) {
        return { cacheFailure: String(error) };
    }
}

/**
 * Loads the daemon's bundle. A code cache that is missing, damaged or of another version of Node.js is not used, and `cacheFailure`
 * says why.
 */
function loadBundle(folder) {
    const filename = path.join(folder, bundleName);
    const { cachedData, cacheFailure } = readCache(folder);
    const script = new vm.Script(Module.wrap(fs.readFileSync(filename, "utf8")), { filename, cachedData });
    const loaded = { exports: {} };
    script.runInThisContext()(loaded.exports, Module.createRequire(filename), loaded, filename, folder);
    return {
        bundle: loaded.exports,
        script,
        cacheFailure: cachedData && script.cachedDataRejected ? "rejected by this version of Node.js" : cacheFailure,
    };
}

module.exports = { cacheName, loadBundle };
