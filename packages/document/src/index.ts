export * from "./DocumentConstants.js";
export * from "./DocumentDiff.js";
export * from "./DocumentTransition.js";
export * from "./DocumentUtils.js";
export * from "./DocumentValidator.js";
export * from "./DocumentWarnings.js";
export * from "./FleetDocument.js";
