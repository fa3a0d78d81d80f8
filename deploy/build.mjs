// Bundles the gateway into a folder of its own below target/gateway/builds: the daemon as one script with a code cache, and the
// program with its command line, whose code is split into separate files. Then it replaces launch.cjs and gateway.mjs, each in
// one step, which start the daemon and the program of this build. A process that starts meanwhile finds the files of one build.
import * as esbuild from "esbuild";
import { execFileSync } from "node:child_process";
import { randomUUID } from "node:crypto";
import * as fs from "node:fs";
import * as path from "node:path";
import { describeBuild } from "./loadBundle.cjs";

/** The folder that deploy/system.toml names, or that of the first argument. */
const target = process.argv[2] ?? "target/gateway";
const builds = path.join(target, "builds");
const name = randomUUID();
const folder = path.join(builds, name);
const programs = ["launch.cjs", "gateway.mjs"];
/** Time for which a build that was replaced, or that is not complete, is kept. */
const keptMs = 15 * 60_000;
const options = { bundle: true, platform: "node", target: "node20", minifySyntax: true };

/** Replaces a program in one step. */
function publish(program, content) {
    const file = path.join(folder, `${program}.new`);
    fs.writeFileSync(file, content, { flush: true });
    fs.renameSync(file, path.join(target, program));
}

/** Writes a file or a folder to the disk. */
function flush(file) {
    const descriptor = fs.openSync(file, "r");
    fs.fsyncSync(descriptor);
    fs.closeSync(descriptor);
}

/** Folders of the builds that the programs start. */
function currentBuilds() {
    return programs.map(program => path.join(target, program))
        .filter(file => fs.existsSync(file))
        .map(file => path.join(builds, /builds\/([\w-]+)/.exec(fs.readFileSync(file, "utf8"))?.[1] ?? ""))
        .filter(build => fs.existsSync(build));
}

fs.mkdirSync(folder, { recursive: true });
await esbuild.build({
    ...options,
    entryPoints: { daemon: "platform/dist/src/StartDaemon.js" },
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    format: "cjs",
});
// V8 accepts a code cache only with the flags with which it was written.
const flags = /^run = "node (.*?)(\S+\.cjs)"$/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";
execFileSync(process.execPath, [...flags.split(" ").filter(flag => flag !== ""), "deploy/writeCodeCache.cjs", folder]);

await esbuild.build({
    ...options,
    entryPoints: { gateway: "platform/dist/src/main.js" },
    outdir: folder,
    outExtension: { ".js": ".mjs" },
    splitting: true,
    format: "esm",
    // Bundled CommonJS dependencies call require for built-in Node.js modules.
    banner: {
        js: "import{createRequire as __createRequire}from'node:module';const require=__createRequire(import.meta.url);",
    },
});
const launcher = await esbuild.build({
    ...options,
    entryPoints: ["deploy/launch.cjs"],
    define: { BUILD: JSON.stringify({ folder: `builds/${name}`, ...describeBuild(folder) }) },
    write: false,
});

// A program must not survive a loss of power that its build does not survive.
[...fs.readdirSync(folder).map(file => path.join(folder, file)), folder, builds].forEach(flush);
// The time for which the replaced builds are kept begins now.
currentBuilds().forEach(build => fs.utimesSync(build, new Date(), new Date()));
publish("launch.cjs", launcher.outputFiles[0].contents);
publish("gateway.mjs", `import "./builds/${name}/gateway.mjs";\n`);

const current = new Set(currentBuilds());
fs.readdirSync(builds)
    .map(build => path.join(builds, build))
    .filter(build => !current.has(build))
    .filter(build => Date.now() - (fs.statSync(build, { throwIfNoEntry: false })?.mtimeMs ?? 0) > keptMs)
    .forEach(build => fs.rmSync(build, { recursive: true, force: true }));
