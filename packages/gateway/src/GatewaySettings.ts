import type * as core from "@peridotloft/core";

/** An IPv4 address and a port. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

/** What a gateway process needs to know at its start. */
export interface GatewaySettings {
    readonly vm: core.VmId;
    readonly zone: core.ZoneId;
    /** Where callers connect. */
    readonly entry: Endpoint;
    /** Where the platform's balancer asks whether this VM takes connections. */
    readonly readiness: Endpoint;
    readonly readinessPath: string;
    readonly metrics: Endpoint;
    /** Time in ms from the signal to stop until the process is killed. */
    readonly stopGraceMs: number;
    /** Time in ms within which a withdrawn key must stop working. */
    readonly keyWithdrawalMs: number;
    /** Time in ms within which a new configuration must be in force. */
    readonly configApplyMs: number;
}
