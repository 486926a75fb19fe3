package entry

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"marjoramstack/internal/limiter"
	"marjoramstack/internal/placer"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/document"
)

const (
	goodWorker   = `{"id":"w1","kind":"worker","zone":"z","address":"10.0.0.1:80","processors":8,"memory-mb":8000}`
	goodEndpoint = `{"id":"e1","kind":"endpoint","zone":"z","address":"10.0.0.2:80","slots":8}`
)

// oddVMs are entries of the list of VMs that describe no VM to use.
func oddVMs(t testing.TB) []string {
	odd := []string{
		`null`, `7`, `[]`, `{}`, `{"id":7}`, strings.Repeat("[", 500) + strings.Repeat("]", 500),
		`{"id":"","kind":"worker","address":"10.0.0.3:80"}`,
		`{"id":"e1"}`, `{"id":"w1","kind":"worker","zone":"z","address":"10.0.0.9:80","processors":9}`,
	}
	with := func(good, old, new string) {
		value := strings.Replace(good, old, new, 1)
		assert.Assert(t, value != good)
		odd = append(odd, strings.Replace(value, `"id":"`, `"id":"odd`, 1))
	}
	for _, number := range []string{"9223372036854775807", "92233720368547758070", "1e400", "-1", `"8"`, "4294967296"} {
		with(goodWorker, `"processors":8`, `"processors":`+number)
		with(goodWorker, `8000`, number)
		with(goodWorker, `8000`, `1,"accelerators":`+number)
		with(goodEndpoint, `"slots":8`, `"slots":`+number)
		with(goodEndpoint, `"slots":8`, `"connections":`+number)
	}
	for _, address := range []string{"", "h:80", "10.0.0.1:0", "10.0.0.1:65536", "0.0.0.0:80", "[fe80::1%eth0]:80", "10.0.0.1:80/x"} {
		with(goodWorker, "10.0.0.1:80", address)
	}
	return odd
}

// setFleet gives a fleetCache the list of VMs, and returns what it lists and logs.
func setFleet(t testing.TB, vms ...string) (*fleetCache, string) {
	lines := &strings.Builder{}
	f := newFleetCache(nil, slog.New(slog.NewTextHandler(lines, nil)))
	var fleet platform.Fleet
	assert.NilError(t, json.Unmarshal([]byte(`{"vms":[`+strings.Join(vms, ",")+`]}`), &fleet))
	f.set(fleet, "")
	f.set(fleet, "")
	return f, lines.String()
}

func listed(f *fleetCache) []string {
	ids := []string{}
	fleet, _ := f.current()
	for _, vm := range fleet.VMs {
		ids = append(ids, vm.ID)
	}
	return ids
}

// TestOddVM guards against an entry VM that ends, hangs or gets no list of VMs any more
// because of one entry of the list, and against a log line each time the list is read.
func TestOddVM(t *testing.T) {
	for _, odd := range oddVMs(t) {
		f, lines := setFleet(t, goodWorker, odd, goodEndpoint)
		assert.Check(t, is.DeepEqual(listed(f), []string{"w1", "e1"}), "%.90s", odd)
		assert.Check(t, is.Equal(strings.Count(lines, "vm-ignored"), 1), "%.90s", odd)
	}
}

// FuzzFleet checks that any entry of the list of VMs costs only itself, and that the
// placer and the limiter can use what is listed.
func FuzzFleet(f *testing.F) {
	for _, odd := range oddVMs(f) {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, odd []byte) {
		if !json.Valid(odd) {
			return
		}
		cache, _ := setFleet(t, goodWorker, string(odd), goodEndpoint)
		ids := listed(cache)
		assert.Assert(t, len(ids) == 2 || len(ids) == 3)
		assert.Equal(t, ids[0]+ids[len(ids)-1], "w1e1")
		fleet, _ := cache.current()
		index := placer.New(nil)
		sharer := limiter.NewSharer("vm-1")
		sharer.Join(nil)
		for _, vm := range fleet.VMs {
			size := document.Size{Processors: vm.Processors, Memory: vm.Memory, Accelerators: vm.Accelerators}
			index.Set(placer.Host{ID: vm.ID, Total: size, Free: size})
			sharer.Slots(0, vm.ID, vm.Slots)
		}
	})
}
