// One token bucket with loans (docs/design.md, section 4.2): over any window, at most burst + accrual is spent.
//
// Time is discrete, the rate is one token per step of time. Messages are delivered at any time, also repeatedly or never.
module loansProtocol {
    /// Time after a restart in which the lender neither holds nor accrues tokens.
    const RESTART_WAIT: int

    pure val BURST = 3
    pure val LIFETIME = 2
    pure val MARGIN = 1
    pure val MAX_REQUESTS = 4

    type Request = { id: int, sentAt: int }
    /// `number` is the lender's own: a repeated request gets a second loan, which the report of the first must not match.
    /// `expires` is the borrower's limit, counted from its request.
    type Loan = { request: int, number: int, incarnation: int, amount: int, expires: int }
    type Lent = { number: int, amount: int, until: int }
    type Report = { number: int, incarnation: int, returned: int }
    type State = {
        now: int,
        incarnation: int,
        granted: int,
        tokens: int,
        frozenUntil: int,
        lent: Set[Lent],
        requests: Set[Request],
        loans: Set[Loan],
        seen: Set[int],
        held: Set[Loan],
        reports: Set[Report],
        // Times at which one token was spent, in order.
        spent: List[int],
    }

    var s: State

    pure def outstanding(st: State): int = st.lent.fold(0, (sum, l) => sum + l.amount)

    /// Time passes: loans that are not reported count as spent after their lifetime, then one token accrues.
    pure def ticked(st: State): State = {
        val now = st.now + 1
        val lent = st.lent.filter(l => l.until > now)
        val later = { ...st, now: now, lent: lent }
        val accrues = now > st.frozenUntil and later.tokens + outstanding(later) < BURST
        { ...later, tokens: if (accrues) later.tokens + 1 else later.tokens }
    }

    pure def lend(st: State, wanted: Request, amount: int): State = {
        ...st,
        granted: st.granted + 1,
        tokens: st.tokens - amount,
        lent: st.lent.union(Set({ number: st.granted, amount: amount, until: st.now + LIFETIME + MARGIN })),
        loans: st.loans.union(Set({
            request: wanted.id,
            number: st.granted,
            incarnation: st.incarnation,
            amount: amount,
            expires: wanted.sentAt + LIFETIME,
        })),
    }

    /// A repeated loan message is ignored.
    pure def received(st: State, loan: Loan): State =
        if (st.seen.contains(loan.request)) st
        else { ...st, seen: st.seen.union(Set(loan.request)), held: st.held.union(Set(loan)) }

    /// A repeated report finds no outstanding loan and is ignored, as is one of an earlier incarnation.
    pure def settled(st: State, sent: Report): State =
        if (sent.incarnation == st.incarnation and st.lent.exists(l => l.number == sent.number))
            { ...st, lent: st.lent.filter(l => l.number != sent.number), tokens: st.tokens + sent.returned }
        else st

    action init = s' = {
        now: 0,
        incarnation: 0,
        granted: 0,
        tokens: BURST,
        frozenUntil: 0,
        lent: Set(),
        requests: Set(),
        loans: Set(),
        seen: Set(),
        held: Set(),
        reports: Set(),
        spent: [],
    }

    action tick = s' = ticked(s)

    action request = all {
        s.requests.size() < MAX_REQUESTS,
        s' = { ...s, requests: s.requests.union(Set({ id: s.requests.size(), sentAt: s.now })) },
    }

    action grant = {
        nondet wanted = s.requests.oneOf()
        nondet amount = 1.to(BURST).oneOf()
        all { amount <= s.tokens, s' = lend(s, wanted, amount) }
    }

    action receive = {
        nondet loan = s.loans.oneOf()
        s' = received(s, loan)
    }

    action spendOwn = all { s.tokens > 0, s' = { ...s, tokens: s.tokens - 1, spent: s.spent.append(s.now) } }

    action spendLoan = {
        nondet loan = s.held.oneOf()
        val rest = { ...loan, amount: loan.amount - 1 }
        all {
            loan.amount > 0 and s.now < loan.expires,
            s' = {
                ...s,
                held: s.held.exclude(Set(loan)).union(Set(rest)),
                spent: s.spent.append(s.now),
            },
        }
    }

    action report = {
        nondet loan = s.held.oneOf()
        val sent = { number: loan.number, incarnation: loan.incarnation, returned: loan.amount }
        s' = { ...s, held: s.held.exclude(Set(loan)), reports: s.reports.union(Set(sent)) }
    }

    action settle = {
        nondet sent = s.reports.oneOf()
        s' = settled(s, sent)
    }

    action restart = s' = {
        ...s,
        incarnation: s.incarnation + 1,
        tokens: 0,
        lent: Set(),
        frozenUntil: s.now + RESTART_WAIT,
    }

    action step = any { tick, request, grant, receive, spendOwn, spendLoan, spendLoan, report, settle, restart }

    /// For each earlier spending, what was spent from then until the last one.
    val withinRate = s.spent.indices().forall(i => {
        val last = s.spent.nth(s.spent.length() - 1)
        s.spent.length() - i <= BURST + last - s.spent.nth(i)
    })
    val withinBurst = s.tokens + outstanding(s) <= BURST
    val safe = withinRate and withinBurst
}

module loans {
    import loansProtocol(RESTART_WAIT = 3).*
}
