// Broken variant: a starting VM trusts the platform without hearing from its peers.
module documentBroken {
    import documentProtocol(REQUIRED_ANSWERS = 1, COUNT_STARTING = true, ROUND_ANSWERS = 6, ORDERLY_RESTARTS = true).* from "./document"
}
