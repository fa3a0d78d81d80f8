// Bundles the gateway under target/. What only the command line needs goes into files of its own, so that a start reads
// and loads only what it uses.
import * as esbuild from "esbuild";
import { rmSync } from "node:fs";

rmSync("target/gateway", { recursive: true, force: true });
await esbuild.build({
    entryPoints: { gateway: "platform/dist/src/main.js" },
    outdir: "target/gateway",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    // CommonJS dependencies call require for Node's own modules.
    banner: {
        js: "import{createRequire as __createRequire}from'node:module';const require=__createRequire(import.meta.url);",
    },
});
