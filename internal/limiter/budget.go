package limiter

// Budget bounds extra load: retries and hedges may be at most a share of the
// requests that came in, with a small reserve so that a quiet class can still
// retry. It is not safe for concurrent use.
type Budget struct {
	perRequest float64
	most       float64
	tokens     float64
}

// NewBudget returns a Budget that earns share tokens with each request and
// saves at most reserve of them.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{
		perRequest: share,
		most:       reserve,
		tokens:     reserve,
	}
}

// Earn counts a request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.perRequest, b.most) }

// Spend takes a token for an extra attempt. It reports false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
