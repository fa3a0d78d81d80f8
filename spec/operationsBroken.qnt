// Faulty variant: an owner that restarted or took over the key admits an unknown key immediately.
module operationsBroken {
    import operationsProtocol(REQUIRED_HISTORY = -1).* from "./operations"
}
