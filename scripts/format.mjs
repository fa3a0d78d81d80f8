// Formats the sources with dprint's TypeScript plugin, as configured in dprint.json. The plugin runs in Node.js: the native
// program of dprint requires a newer C library than some supported machines have.
// Usage: node scripts/format.mjs [--check]
import { createContext } from "@dprint/formatter";
import * as fs from "node:fs";
import * as path from "node:path";

const isCheck = process.argv.includes("--check");
const root = path.join(import.meta.dirname, "..");
const skippedDirectories = new Set(["node_modules", "dist"]);
/** As in the `includes` of dprint.json, which editors use. */
const sources = [
    { directory: "packages", pattern: /\.(ts|mjs)$/ },
    { directory: "platform", pattern: /\.ts$/ },
    { directory: "scripts", pattern: /\.mjs$/ },
];
const generatedPattern = /_pb\.ts$/;

function filesIn(directory, pattern) {
    return fs.readdirSync(directory, { withFileTypes: true }).flatMap(entry => {
        const file = path.join(directory, entry.name);
        if (entry.isDirectory()) {
            return skippedDirectories.has(entry.name) ? [] : filesIn(file, pattern);
        }
        return pattern.test(entry.name) && !generatedPattern.test(entry.name) ? [file] : [];
    });
}

const settings = JSON.parse(fs.readFileSync(path.join(root, "dprint.json"), "utf8"));
const { typescript, lineWidth, indentWidth, newLineKind } = settings;
const context = createContext({ lineWidth, indentWidth, newLineKind });
context.addPlugin(fs.readFileSync(path.join(root, "node_modules/@dprint/typescript/plugin.wasm")), typescript);
const diagnostics = context.getConfigDiagnostics();
if (diagnostics.length > 0) {
    diagnostics.forEach(({ propertyName, message }) => console.error(`dprint.json: ${propertyName}: ${message}`));
    process.exit(1);
}

const files = [
    ...sources.flatMap(({ directory, pattern }) => filesIn(path.join(root, directory), pattern)),
    ...fs.readdirSync(root).filter(name => name.endsWith(".mjs")).map(name => path.join(root, name)),
];
const changed = files.filter(file => {
    const fileText = fs.readFileSync(file, "utf8");
    const formatted = context.formatText({ filePath: file, fileText });
    if (formatted === fileText) {
        return false;
    }
    if (!isCheck) {
        fs.writeFileSync(file, formatted);
    }
    return true;
});
changed.forEach(file => console.log(`${isCheck ? "not formatted" : "formatted"}: ${path.relative(root, file)}`));
console.log(`${files.length} files, ${changed.length} ${isCheck ? "not formatted" : "formatted"}`);
process.exit(isCheck && changed.length > 0 ? 1 : 0);
