export * from "./OperationStore.js";
