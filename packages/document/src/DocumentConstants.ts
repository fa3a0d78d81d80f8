/** Maximum size of a document in bytes; the configuration service stores values of up to 1 MB. */
export const maxDocumentBytes = 1_000_000;
/** Default in ms of the times in which an upstream must begin and continue its response. */
export const defaultUpstreamTimeoutMs = 10_000;
export const maxVms = 1_000;
export const maxCustomers = 10_000;
export const maxKeys = 50_000;
