declare const brand: unique symbol;

/** A branded string that only its own constructor function returns, so that ids of different types cannot be confused. */
export type Branded<Name extends string> = string & { readonly [brand]: Name; };

/** Id of a VM, stable across restarts and replacements of the machine. */
export type VmId = Branded<"VmId">;
export type ZoneId = Branded<"ZoneId">;
export type CustomerId = Branded<"CustomerId">;
export type KeyId = Branded<"KeyId">;
export type PoolId = Branded<"PoolId">;
export type UpstreamId = Branded<"UpstreamId">;
export type RouteId = Branded<"RouteId">;
export type RequestId = Branded<"RequestId">;

export const vmId = (value: string): VmId => value as VmId;
export const zoneId = (value: string): ZoneId => value as ZoneId;
export const customerId = (value: string): CustomerId => value as CustomerId;
export const keyId = (value: string): KeyId => value as KeyId;
export const poolId = (value: string): PoolId => value as PoolId;
export const upstreamId = (value: string): UpstreamId => value as UpstreamId;
export const routeId = (value: string): RouteId => value as RouteId;
export const requestId = (value: string): RequestId => value as RequestId;
