import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import * as z from "zod";
import * as constants from "./RouterConstants.js";

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and a port");

const seedPeerSchema = z.strictObject({
    vmId: z.string().min(1).transform(core.vmId),
    address,
});

/** Limits on the resources that one caller can occupy. */
const entrySchema = z.strictObject({
    maxBodyBytes: z.int().min(1).default(constants.maxBodyBytes),
    maxHeaderBytes: z.int().min(1_024).default(constants.maxHeaderBytes),
    headersTimeoutMs: z.int().min(100).default(constants.headersTimeoutMs),
    requestTimeoutMs: z.int().min(100).default(constants.requestTimeoutMs),
});

/** Schema of a router's settings file. Port 0 selects a free port. */
export const settingsSchema = z.strictObject({
    vmId: z.string().min(1).transform(core.vmId),
    zone: z.string().min(1).transform(core.zoneId),
    listen: address.describe("Address for callers."),
    peerListen: address.describe("Address for other VMs."),
    adminListen: address.describe("Address for health checks, status and audit trail."),
    platformUrls: z.array(z.url({ protocol: /^http$/ })).min(1).describe("Base URLs of the configuration service."),
    seedPeers: z.array(seedPeerSchema).default([]).describe(
        "VMs from which the document is requested while the configuration service is down.",
    ),
    peerSecret: z.string().min(16, "must have at least 16 characters"),
    statsd: address.optional().describe("Address that receives StatsD metrics over UDP."),
    entry: entrySchema.prefault({}),
});

export type Settings = z.output<typeof settingsSchema>;
/** The JSON form, in which fields with a default are optional. */
export type SettingsInput = z.input<typeof settingsSchema>;
export type EntrySettings = Settings["entry"];

/** Validates settings parsed from JSON. The error lists every invalid field with its path. */
export function parseSettings(value: unknown): Result<Settings, readonly documents.DocumentError[]> {
    const parsed = settingsSchema.safeParse(value);
    return parsed.success
        ? ok(parsed.data)
        : err(
            parsed.error.issues.map(issue => ({ path: documents.formatPath(issue.path), message: issue.message })),
        );
}

/** Reads and validates a settings file. An unreadable or malformed file yields one error with an empty path. */
export function readSettings(file: string): Result<Settings, readonly documents.DocumentError[]> {
    try {
        return parseSettings(JSON.parse(readFileSync(file, "utf8")));
    }
    catch (error) {
        return err([{ path: "", message: `cannot read '${file}': ${(error as Error).message}` }]);
    }
}

/** Splits `127.0.0.1:8080` into host and port. */
export function parseAddress(text: string): { readonly host: string; readonly port: number; } {
    const separator = text.lastIndexOf(":");
    return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}
