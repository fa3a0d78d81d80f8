// Faulty variant: a round suffices although one VM did not answer.
module documentCombinedBroken {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = false, ROUND_ANSWERS = 4, ROLLING_RESTARTS = false).* from "./document"
}
