import type * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import murmurhash from "murmurhash";

/** Names a customer of a pool in 32 bits. Both sides derive the keys from the document. */
export interface TotalKeys {
    /** Undefined for a customer that the document does not name. */
    keyOf(pool: core.PoolId, customer: core.CustomerId): number | undefined;
    /** Undefined for a key of a document that this VM does not hold yet. */
    find(key: number): { readonly pool: core.PoolId; readonly customer: core.CustomerId; } | undefined;
}

type Name = Exclude<ReturnType<TotalKeys["find"]>, undefined>;

export function createTotalKeys(document: documents.FleetDocument): TotalKeys {
    const names = new Map<number, Name>();
    const keys = new Map<string, number>();
    const customers = document.customers.map(customer => customer.id).sort();
    document.pools.map(pool => pool.id).sort().forEach(pool =>
        customers.forEach(customer => {
            const text = `${pool}/${customer}`;
            let seed = 0;
            // Two names with the same hash get different keys, in the same way on every VM.
            while (names.has(murmurhash.v3(text, seed))) {
                seed++;
            }
            const key = murmurhash.v3(text, seed);
            names.set(key, { pool, customer });
            keys.set(text, key);
        })
    );
    return {
        keyOf: (pool, customer) => keys.get(`${pool}/${customer}`),
        find: key => names.get(key),
    };
}
