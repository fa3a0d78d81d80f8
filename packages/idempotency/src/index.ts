export { createOperationStore, type OperationStoreOptions } from "./createOperationStore.js";
export * from "./OperationConstants.js";
export { defaultPolicy, type OperationPolicy } from "./OperationPolicy.js";
export * from "./OperationStore.js";
