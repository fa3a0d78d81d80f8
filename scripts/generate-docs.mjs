// Generates the tables between the region markers of docs/OPERATIONS.md: the fields of the document and of the settings
// from their zod schemas, and the refusals from the router's failure rules.
// Usage: node scripts/generate-docs.mjs [--check]   --check writes nothing and fails if the page is out of date.
import { readFileSync, writeFileSync } from "node:fs";
import * as z from "zod";
import { fleetDocumentSchema } from "../packages/document/dist/src/index.js";
import { settingsSchema } from "../packages/router/dist/src/index.js";
import { failureRules } from "../packages/router/dist/src/RequestFailure.js";

const pagePath = "docs/OPERATIONS.md";
const schemas = { document: fleetDocumentSchema, settings: settingsSchema };

// Descriptions of fields whose schema has none.
const fallbackDescriptions = {
    "settings.vmId": "Name of this VM, as in the document's `vms`.",
    "settings.zone": "Availability zone that this VM is in.",
    "settings.seedPeers[].vmId": "Name of the VM.",
    "settings.seedPeers[].address": "Its address for other VMs.",
    "settings.peerSecret":
        "Secret that all VMs share; it authenticates messages between VMs and signs operation tickets.",
    "settings.entry.maxBodyBytes": "Largest request body.",
    "settings.entry.maxHeaderBytes": "Largest size of a request's headers.",
    "settings.entry.headersTimeoutMs": "Time in which a caller must send the headers.",
    "settings.entry.requestTimeoutMs": "Time in which a caller must send the whole request.",
};

const unitPatterns = [
    [/CostPerS$/, "cost units/s"],
    [/(^c|C)ost$/, "cost units"],
    [/Ms$/, "ms"],
    [/Bytes$/, "bytes"],
    [/[sS]lots$|^maxQueued$/, "requests"],
];

/** Lists the leaf fields under a JSON schema with their paths. */
function fieldsOf(schema, path) {
    const required = new Set(schema.required ?? []);
    return Object.entries(schema.properties).flatMap(([name, field]) => {
        const fieldPath = path === "" ? name : `${path}.${name}`;
        if (field.properties) {
            return fieldsOf(field, fieldPath);
        }
        if (field.items?.properties) {
            return fieldsOf(field.items, `${fieldPath}[]`);
        }
        return [{ name, path: fieldPath, field, isRequired: required.has(name) }];
    });
}

function typeOf(field) {
    if (field.enum) {
        return field.enum.map(value => `\`${value}\``).join(", ");
    }
    if (field.type === "array") {
        return `list of ${typeOf(field.items)}`;
    }
    const name = field.format === "uri"
        ? "URL"
        : { integer: "integer", number: "number", boolean: "boolean" }[field.type];
    return [name ?? "text", numericRangeOf(field)].filter(part => part !== "").join(" ");
}

function numericRangeOf(field) {
    const maximum = field.maximum === Number.MAX_SAFE_INTEGER ? undefined : field.maximum;
    if (field.exclusiveMinimum !== undefined) {
        return maximum === undefined
            ? `above ${field.exclusiveMinimum}`
            : `above ${field.exclusiveMinimum}, up to ${maximum}`;
    }
    if (field.minimum === undefined) {
        return "";
    }
    return maximum === undefined ? `from ${field.minimum}` : `${field.minimum} to ${maximum}`;
}

function defaultOf({ field, isRequired }) {
    if (field.default !== undefined) {
        return `\`${JSON.stringify(field.default)}\``;
    }
    return isRequired ? "required" : "none";
}

function descriptionOf(region, { path, field }) {
    const description = field.description ?? fallbackDescriptions[`${region}.${path}`];
    if (description === undefined) {
        throw new Error(`field ${path} of the ${region} has no description: add .describe() to its schema`);
    }
    return description;
}

function unitOf(name) {
    return unitPatterns.find(([pattern]) => pattern.test(name))?.[1] ?? "";
}

function fieldTableOf(region) {
    const fields = fieldsOf(z.toJSONSchema(schemas[region], { io: "input" }), "");
    const rows = fields.map(entry =>
        `| ${
            [
                `\`${entry.path}\``,
                typeOf(entry.field),
                unitOf(entry.name),
                defaultOf(entry),
                descriptionOf(region, entry),
            ]
                .join(" | ")
        } |`
    );
    return ["| field | type | unit | default | meaning |", "|---|---|---|---|---|", ...rows].join("\n");
}

function refusalTable() {
    const rows = Object.entries(failureRules).map(([code, { statusCode, verdict, retryAfterMs, message }]) => {
        const verdicts = verdict === "not-run"
            ? "`not-run`"
            : "`may-have-run` if any of it was written, else `not-run`";
        return `| \`${code}\` | ${statusCode} | ${verdicts} | ${
            retryAfterMs === undefined ? "no" : "yes"
        } | ${message} |`;
    });
    return ["| code | status | verdict | `Retry-After` | meaning |", "|---|---|---|---|---|", ...rows].join("\n");
}

const tables = {
    refusals: refusalTable,
    document: () => fieldTableOf("document"),
    settings: () => fieldTableOf("settings"),
};

function replaceRegion(text, region) {
    const begin = `<!-- generated by scripts/generate-docs.mjs: ${region} -->`;
    const end = `<!-- end: ${region} -->`;
    const beginIndex = text.indexOf(begin);
    const endIndex = text.indexOf(end);
    if (beginIndex < 0 || endIndex < beginIndex) {
        throw new Error(`${pagePath} has no markers for the region ${region}`);
    }
    return `${text.slice(0, beginIndex + begin.length)}\n\n${tables[region]()}\n\n${text.slice(endIndex)}`;
}

const current = readFileSync(pagePath, "utf8");
const generated = Object.keys(tables).reduce(replaceRegion, current);
if (generated === current) {
    console.log(`${pagePath} is up to date`);
}
else if (process.argv.includes("--check")) {
    console.error(`${pagePath} is out of date: run node scripts/generate-docs.mjs`);
    process.exitCode = 1;
}
else {
    writeFileSync(pagePath, generated);
    console.log(`${pagePath} written`);
}
