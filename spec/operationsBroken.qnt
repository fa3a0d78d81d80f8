// Broken variant: an owner that restarted or took the key over admits an unknown key at once.
module operationsBroken {
    import operationsProtocol(REQUIRED_MEMORY = -1).* from "./operations"
}
