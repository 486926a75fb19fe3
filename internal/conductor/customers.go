package conductor

import (
	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

const (
	// customerInterval is how often the state of customers is reported, maxCustomerLines and
	// maxCustomerGauges for how many of them.
	customerInterval  = 5 * clock.Second
	maxCustomerLines  = 10
	maxCustomerGauges = 50
)

// reportCustomers logs the state of the customers that wait, and updates their metrics.
func (t *tenure) reportCustomers(now clock.Time) {
	if now.Sub(t.lastCustomers) < customerInterval {
		return
	}
	t.lastCustomers = now
	sums := t.planner.Customers(now, maxCustomerGauges)
	present := map[string]bool{}
	for i, c := range sums {
		present[c.Name] = true
		t.gaugeCustomer(c)
		if i < maxCustomerLines && c.Waiting > 0 {
			t.logCustomer(c)
		}
	}
	for name := range t.c.gauged {
		if !present[name] {
			t.gaugeCustomer(planner.CustomerSummary{Name: name})
		}
	}
}

// gaugeCustomer updates the metrics of a customer, unless as many others have some.
func (t *tenure) gaugeCustomer(c planner.CustomerSummary) {
	if !t.c.gauged[c.Name] && len(t.c.gauged) >= maxCustomerGauges {
		return
	}
	t.c.gauged[c.Name] = true
	scope := t.c.opts.Scope.Tagged(map[string]string{"customer": c.Name})
	scope.Gauge("customer_tasks_waiting").Update(float64(c.Waiting))
	scope.Gauge("customer_tasks_waiting_for_quota").Update(float64(c.QuotaWaits))
	scope.Gauge("customer_processors_used").Update(float64(c.Used.Processors))
	scope.Gauge("customer_jobs_above_rate").Update(float64(c.AboveRate))
}

func (t *tenure) logCustomer(c planner.CustomerSummary) {
	t.c.opts.Log.Info("customer",
		"customer", c.Name,
		"jobs", c.Jobs,
		"above-rate", c.AboveRate,
		"waiting", c.Waiting,
		"waiting-for-quota", c.QuotaWaits,
		"processors", c.Used.Processors,
		"processors-held", c.Held.Processors,
		"processors-unread", c.Unread.Processors,
		"processors-limit", c.Cap.Processors,
		"memory-mb", c.Used.Memory,
		"memory-limit-mb", c.Cap.Memory,
		"weight", c.Weight,
		"epoch", t.head.Epoch,
	)
}
