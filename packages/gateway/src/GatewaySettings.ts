import type * as core from "@peridotloft/core";

/** An IPv4 address and a port. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

/** How connections are passed on between the VMs of a zone. */
export interface RelaySettings {
    /** Address for connections that other VMs pass on. All VMs use the same port. */
    readonly endpoint: Endpoint;
    /** Processor time in cores that the process gets. */
    readonly cores: number;
}

/** Settings with which a gateway process starts. */
export interface GatewaySettings {
    readonly vm: core.VmId;
    readonly zone: core.ZoneId;
    /** Address to which callers connect. */
    readonly entry: Endpoint;
    /** Address at which the platform's load balancer probes readiness. */
    readonly readiness: Endpoint;
    readonly readinessPath: string;
    readonly metrics: Endpoint;
    /** Time in ms from the stop signal until the process is killed. */
    readonly stopGraceMs: number;
    /** Time in ms within which a withdrawn key must stop working. */
    readonly keyWithdrawalMs: number;
    /** Time in ms within which a new configuration must take effect. */
    readonly configApplyMs: number;
    /** Memory in bytes that the process may use. */
    readonly maxMemoryBytes: number;
    /** Bytes that the bodies of all requests may hold together. */
    readonly maxBodyMemoryBytes: number;
    /** Bytes that the responses that are read whole may hold together. */
    readonly maxResponseMemoryBytes: number;
    /** Number of requests that may wait behind others on their connections. */
    readonly maxPipelinedRequests: number;
    /** Without it, connections are neither passed on to other VMs nor taken from them. */
    readonly relay?: RelaySettings | undefined;
    /** Bytes that the connections to all ports may hold together, apart from bodies and passed-on responses. */
    readonly maxConnectionMemoryBytes: number;
    /** Number of connections to all ports that may be open. */
    readonly maxConnections: number;
}
