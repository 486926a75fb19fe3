package limiter

// Budget is a token bucket that limits the load added by retries and hedges to a
// share of the incoming requests. A small reserve lets a class with little
// traffic retry too. It is not safe for concurrent use.
type Budget struct {
	perRequest float64
	maxTokens  float64
	tokens     float64
}

// NewBudget returns a Budget that gains share tokens per request, holds at most
// reserve tokens, and starts full.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{
		perRequest: share,
		maxTokens:  reserve,
		tokens:     reserve,
	}
}

// Earn adds the tokens for one incoming request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.perRequest, b.maxTokens) }

// Spend takes one token for an extra attempt. It returns false, and takes
// nothing, if less than one token is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
