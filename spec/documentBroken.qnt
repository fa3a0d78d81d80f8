// Faulty variant: a starting VM adopts the platform's version without querying its peers.
module documentBroken {
    import documentProtocol(REQUIRED_REPLIES = 1, COUNT_STARTING = true, ROUND_REPLIES = 6, ROLLING_RESTARTS = true).* from "./document"
}
