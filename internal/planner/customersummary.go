package planner

import (
	"cmp"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// CustomerSummary is the state of one customer in a few numbers. Processors are in thousandths.
type CustomerSummary struct {
	Name string
	// Jobs are not finished. AboveRate of them were submitted above the agreed rate.
	Jobs      int
	AboveRate int
	// Waiting are the tasks ready to start, QuotaWaits those of them that wait for the quota.
	Waiting    int
	QuotaWaits int
	// Used is what may be running, Held what is kept for tasks that run again, Unread what an
	// earlier owner may have started. Cap is the limit of each resource, 0 for none.
	Used   document.Size
	Held   document.Size
	Unread document.Size
	Cap    document.Size
	Weight int
}

// Customers returns the state of at most the given number of customers with unfinished jobs,
// those with the most waiting tasks first.
func (p *Planner) Customers(now clock.Time, limit int) []CustomerSummary {
	if len(p.customers) == 0 {
		return nil
	}
	byName := map[string]*CustomerSummary{}
	for _, j := range p.activeJobs {
		if j.customer == nil {
			continue
		}
		sum := byName[j.spec.Customer]
		if sum == nil {
			sum = j.customer.summary(j.spec.Customer)
			byName[j.spec.Customer] = sum
		}
		sum.add(now, j)
	}
	var sums []CustomerSummary
	for _, sum := range byName {
		sums = append(sums, *sum)
	}
	slices.SortFunc(sums, func(a, b CustomerSummary) int {
		return cmp.Or(b.Waiting-a.Waiting, cmp.Compare(a.Name, b.Name))
	})
	return sums[:min(len(sums), limit)]
}

func (c *customer) summary(name string) *CustomerSummary {
	return &CustomerSummary{
		Name:   name,
		Used:   c.used,
		Held:   c.held,
		Unread: c.unread,
		Cap:    c.terms.Cap,
		Weight: c.terms.Weight,
	}
}

func (s *CustomerSummary) add(now clock.Time, j *job) {
	s.Jobs++
	if j.aboveRate {
		s.AboveRate++
	}
	if j.idle == 0 {
		return
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.unmetDependencies > 0 || st.idle == 0 || o.scheduledAt.After(now) {
				continue
			}
			s.Waiting += st.idle
			if st.lastWaitReason == waitQuota {
				s.QuotaWaits += st.idle
			}
		}
	}
}
