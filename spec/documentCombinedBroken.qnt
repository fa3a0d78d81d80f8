// Broken variant: a round that missed one VM suffices.
module documentCombinedBroken {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = false, ROUND_ANSWERS = 4, ORDERLY_RESTARTS = false).* from "./document"
}
