// Faulty variant: a round suffices although one VM did not reply.
module documentCombinedBroken {
    import documentProtocol(REQUIRED_REPLIES = 3, COUNT_STARTING = false, ROUND_REPLIES = 4, ROLLING_RESTARTS = false).* from "./document"
}
