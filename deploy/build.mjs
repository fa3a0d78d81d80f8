// Bundles the gateway into one file under target/, so that a start reads one file and loads only what it uses.
import * as esbuild from "esbuild";

await esbuild.build({
    entryPoints: ["platform/dist/src/main.js"],
    outfile: "target/gateway.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    // CommonJS dependencies call require for Node's own modules.
    banner: { js: "import{createRequire}from'module';const require=createRequire(import.meta.url);" },
});
