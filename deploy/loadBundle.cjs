"use strict";
const { createHash } = require("node:crypto");
const fs = require("node:fs");
const Module = require("node:module");
const path = require("node:path");
const vm = require("node:vm");

const bundleName = "daemon.cjs";
const cacheName = "daemon.cache";
const runtime = `Node.js ${process.version} with V8 ${process.versions.v8} for ${process.arch}`;

function digestOf(bytes) {
    return createHash("sha256").update(bytes).digest("hex");
}

function readVerified(file, digest) {
    try {
        const bytes = fs.readFileSync(file);
        return digestOf(bytes) === digest ? { bytes } : { failure: `${path.basename(file)}: damaged or of another build` };
    }
    catch (error) {
        return { failure: String(error) };
    }
}

/** States what a build consists of, after its code cache was written by this Node.js. */
function describeBuild(folder) {
    const digestOfFile = name => digestOf(fs.readFileSync(path.join(folder, name)));
    return { bundleDigest: digestOfFile(bundleName), cacheDigest: digestOfFile(cacheName), runtime };
}

/** Runs a bundle. V8 compares only the head and the length of a code cache, and ends the process if the rest is damaged. */
function runBundle(folder, source, cachedData) {
    const filename = path.join(folder, bundleName);
    const script = new vm.Script(Module.wrap(source.toString("utf8")), { filename, cachedData });
    const loaded = { exports: {} };
    script.runInThisContext()(loaded.exports, Module.createRequire(filename), loaded, filename, folder);
    return { bundle: loaded.exports, script };
}

/**
 * Loads the daemon's bundle. `failure` says why it cannot be used, `cacheFailure` why it was loaded without its code cache.
 *
 * @param build the description of the build that the folder must hold.
 */
function loadBundle(folder, build) {
    const { bytes: source, failure } = readVerified(path.join(folder, bundleName), build.bundleDigest);
    if (failure !== undefined) {
        return { failure };
    }
    const { bytes: cachedData, failure: cacheFailure } = build.runtime === runtime
        ? readVerified(path.join(folder, cacheName), build.cacheDigest)
        : { failure: `written by ${build.runtime}, not by ${runtime}` };
    const { bundle, script } = runBundle(folder, source, cachedData);
    return {
        bundle,
        cacheFailure: script.cachedDataRejected ? "written by a Node.js with other flags" : cacheFailure,
    };
}

module.exports = { bundleName, cacheName, describeBuild, loadBundle, runBundle };
