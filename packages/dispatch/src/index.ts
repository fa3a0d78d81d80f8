export * from "./Dispatcher.js";
export * from "./FleetView.js";
export * from "./Job.js";
