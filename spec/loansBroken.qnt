// Faulty variant: a restarted lender accrues tokens immediately, while loans of its previous incarnation can still be
// spent.
module loansBroken {
    import loansProtocol(RESTART_WAIT = 0).* from "./loans"
}
