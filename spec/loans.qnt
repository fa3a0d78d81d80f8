// One token bucket that lends tokens (docs/design.md, section 4.2): within any interval, at most the burst plus the
// accrued tokens are spent.
//
// Time is discrete, and one token accrues per time step. A message is delivered at any time, repeatedly or never.
module loansProtocol {
    /// Time after a restart during which the lender has no tokens and accrues none.
    const RESTART_WAIT: int

    pure val BURST = 3
    pure val LOAN_LIFETIME = 2
    pure val EXPIRY_MARGIN = 1
    pure val MAX_REQUESTS = 4

    type Request = { id: int, sentAt: int }
    /// The lender assigns `number`: a repeated request gets a second loan, which a report on the first must not match.
    /// `expires` is the time up to which the borrower spends the loan, counted from its request.
    type Loan = { request: int, number: int, incarnation: int, amount: int, expires: int }
    type OutstandingLoan = { number: int, amount: int, until: int }
    type Report = { number: int, incarnation: int, unspent: int }
    type State = {
        now: int,
        incarnation: int,
        loansGranted: int,
        tokens: int,
        // Time after which a restarted lender accrues tokens.
        accruesAfter: int,
        outstandingLoans: Set[OutstandingLoan],
        requests: Set[Request],
        // Loan messages that were sent; each can be delivered repeatedly.
        loanMessages: Set[Loan],
        // Requests for which the borrower has received a loan.
        receivedRequests: Set[int],
        // Loans that the borrower can spend.
        heldLoans: Set[Loan],
        reports: Set[Report],
        // Times at which one token was spent, in order.
        spent: List[int],
    }

    var s: State

    pure def outstandingTokens(st: State): int = st.outstandingLoans.fold(0, (sum, l) => sum + l.amount)

    /// Advances the time. Loans without a report count as spent when they expire, then one token accrues.
    pure def afterTick(st: State): State = {
        val now = st.now + 1
        val outstandingLoans = st.outstandingLoans.filter(l => l.until > now)
        val later = { ...st, now: now, outstandingLoans: outstandingLoans }
        val accrues = now > st.accruesAfter and later.tokens + outstandingTokens(later) < BURST
        { ...later, tokens: if (accrues) later.tokens + 1 else later.tokens }
    }

    pure def afterLending(st: State, wanted: Request, amount: int): State = {
        ...st,
        loansGranted: st.loansGranted + 1,
        tokens: st.tokens - amount,
        outstandingLoans: st.outstandingLoans.union(Set({
            number: st.loansGranted,
            amount: amount,
            until: st.now + LOAN_LIFETIME + EXPIRY_MARGIN,
        })),
        loanMessages: st.loanMessages.union(Set({
            request: wanted.id,
            number: st.loansGranted,
            incarnation: st.incarnation,
            amount: amount,
            expires: wanted.sentAt + LOAN_LIFETIME,
        })),
    }

    /// The borrower ignores a repeated loan message.
    pure def afterLoanReceipt(st: State, loan: Loan): State =
        if (st.receivedRequests.contains(loan.request)) st
        else {
            ...st,
            receivedRequests: st.receivedRequests.union(Set(loan.request)),
            heldLoans: st.heldLoans.union(Set(loan)),
        }

    /// The lender ignores a repeated report, which matches no outstanding loan, and a report on a loan of an earlier
    /// incarnation.
    pure def afterReport(st: State, sent: Report): State =
        if (sent.incarnation == st.incarnation and st.outstandingLoans.exists(l => l.number == sent.number))
            {
                ...st,
                outstandingLoans: st.outstandingLoans.filter(l => l.number != sent.number),
                tokens: st.tokens + sent.unspent,
            }
        else st

    action init = s' = {
        now: 0,
        incarnation: 0,
        loansGranted: 0,
        tokens: BURST,
        accruesAfter: 0,
        outstandingLoans: Set(),
        requests: Set(),
        loanMessages: Set(),
        receivedRequests: Set(),
        heldLoans: Set(),
        reports: Set(),
        spent: [],
    }

    action tick = s' = afterTick(s)

    action request = all {
        s.requests.size() < MAX_REQUESTS,
        s' = { ...s, requests: s.requests.union(Set({ id: s.requests.size(), sentAt: s.now })) },
    }

    action grant = {
        nondet wanted = s.requests.oneOf()
        nondet amount = 1.to(BURST).oneOf()
        all { amount <= s.tokens, s' = afterLending(s, wanted, amount) }
    }

    action receive = {
        nondet loan = s.loanMessages.oneOf()
        s' = afterLoanReceipt(s, loan)
    }

    action spendOwnToken = all { s.tokens > 0, s' = { ...s, tokens: s.tokens - 1, spent: s.spent.append(s.now) } }

    action spendLoanToken = {
        nondet loan = s.heldLoans.oneOf()
        val remainder = { ...loan, amount: loan.amount - 1 }
        all {
            loan.amount > 0 and s.now < loan.expires,
            s' = {
                ...s,
                heldLoans: s.heldLoans.exclude(Set(loan)).union(Set(remainder)),
                spent: s.spent.append(s.now),
            },
        }
    }

    action report = {
        nondet loan = s.heldLoans.oneOf()
        val sent = { number: loan.number, incarnation: loan.incarnation, unspent: loan.amount }
        s' = { ...s, heldLoans: s.heldLoans.exclude(Set(loan)), reports: s.reports.union(Set(sent)) }
    }

    action settle = {
        nondet sent = s.reports.oneOf()
        s' = afterReport(s, sent)
    }

    action restart = s' = {
        ...s,
        incarnation: s.incarnation + 1,
        tokens: 0,
        outstandingLoans: Set(),
        accruesAfter: s.now + RESTART_WAIT,
    }

    action step =
        any { tick, request, grant, receive, spendOwnToken, spendLoanToken, spendLoanToken, report, settle, restart }

    /// Compares the tokens spent from each spending to the last one, both included, with the bound for that interval.
    val withinRate = s.spent.indices().forall(i => {
        val last = s.spent.nth(s.spent.length() - 1)
        s.spent.length() - i <= BURST + last - s.spent.nth(i)
    })
    val withinBurst = s.tokens + outstandingTokens(s) <= BURST
    val safe = withinRate and withinBurst
}

module loans {
    import loansProtocol(RESTART_WAIT = 3).*
}
