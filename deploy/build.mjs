// Bundles the gateway into target/gateway. Code that only the command line needs is split into separate files, so that
// the gateway starts without loading it.
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
    // Bundled CommonJS dependencies call require for built-in Node.js modules.
    banner: {
        js: "import{createRequire as __createRequire}from'node:module';const require=__createRequire(import.meta.url);",
    },
});
