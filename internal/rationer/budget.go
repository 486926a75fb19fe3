package rationer

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"marjoramstack/pkg/result"
)

// Budget bounds the memory for request bodies. It is safe for concurrent use.
type Budget struct {
	limit    int64
	decoding sync.Mutex

	mu       sync.Mutex
	used     int64
	largest  int64 // of used so far
	released *sync.Cond
	bodies   map[*Body]bool
	givenUp  int // bodies given up for others
	refused  int // bodies for which there was no memory
}

// Body is a request body that counts against a Budget until it is closed.
type Body struct {
	budget *Budget
	data   []byte
	size   int64
	// arriving is true until the body has been read. stop makes reading it fail.
	arriving bool
	givenUp  bool
	stop     func()
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{
		limit:  limit,
		bodies: map[*Body]bool{},
	}
	b.released = sync.NewCond(&b.mu)
	return b
}

// firstBytes is the memory that a body takes at first. Most fit.
const firstBytes = 2048

// Read reads the body of a request, of at most limit bytes. The caller closes the result. Errors
// are of type *result.Fault: TooLarge, Busy if there is no memory for it, MalformedRequest if it
// can't be read. A request with an error has not been carried out.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // what follows is not read
		return nil, tooLarge(limit)
	}
	controller := http.NewResponseController(w)
	body := &Body{
		budget:   b,
		arriving: true,
		stop: func() {
			// A writer without deadlines has no client that could stop sending.
			_ = controller.SetReadDeadline(time.Unix(1, 0))
		},
	}
	b.add(body)
	if err := body.read(http.MaxBytesReader(w, r.Body, limit), limit, r.ContentLength); err != nil {
		body.Close()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return result.New(result.TooLarge, "body: expected at most %d bytes", limit)
}

var errBusy = result.New(result.Busy, "no memory for the body")

// read reads from the client until the end of the body. length is -1 if it is not known.
func (body *Body) read(from io.Reader, limit, length int64) error {
	for {
		if len(body.data) == cap(body.data) && int64(len(body.data)) != length {
			if err := body.grow(limit, length); err != nil {
				return err
			}
		}
		n, err := from.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(body.data)) < length:
			return body.fault(io.ErrUnexpectedEOF, limit)
		case errors.Is(err, io.EOF) || err == nil && int64(len(body.data)) == length:
			return body.arrived()
		case err != nil:
			return body.fault(err, limit)
		}
	}
}

// grow doubles the memory of the body, up to its stated length.
func (body *Body) grow(limit, length int64) error {
	size := max(firstBytes, 2*int64(cap(body.data)))
	if length >= 0 {
		size = min(size, length)
	}
	size = min(size, limit+1)
	// Both copies exist for a moment.
	if !body.resize(size + int64(cap(body.data))) {
		return errBusy
	}
	data := make([]byte, len(body.data), size)
	copy(data, body.data)
	body.data = data
	body.resize(size)
	return nil
}

func (body *Body) fault(err error, limit int64) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	if body.givenUp {
		return errBusy
	}
	return result.New(result.MalformedRequest, "body: %v", err)
}

// arrived notes that the body has been read, so that it is not given up any more.
func (body *Body) arrived() error {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	if body.givenUp {
		return errBusy
	}
	body.arriving = false
	return nil
}

// Decode decodes the body from JSON. One body at a time is decoded, which bounds the memory for
// that. The error is that of encoding/json.
func (body *Body) Decode(into any) error {
	body.budget.decoding.Lock()
	defer body.budget.decoding.Unlock()
	return json.Unmarshal(body.data, into)
}

// Bytes returns the body. It must not be used after Close or Expand.
func (body *Body) Bytes() []byte { return body.data }

// Expand makes the request count with size bytes from now on, in place of those of the body,
// which is dropped. It returns a *result.Fault with code Busy if there is no memory for that.
func (body *Body) Expand(size int64) error {
	if !body.resize(size) {
		return errBusy
	}
	body.data = nil
	return nil
}

// Close returns the memory to the budget. Further calls do nothing.
func (body *Body) Close() {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bodies[body] {
		return
	}
	delete(b.bodies, body)
	b.used -= body.size
	body.data = nil
	b.released.Broadcast()
}

func (b *Budget) add(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[body] = true
}

// resize changes what the body takes. It gives up larger bodies that are still arriving if that
// is more than is left, and waits for their memory. It returns false if there are none, or this
// body has been given up itself. The only body of all gets any size.
func (body *Body) resize(size int64) bool {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case body.givenUp:
			return false
		case b.used-body.size+size <= b.limit, size <= body.size, len(b.bodies) == 1:
			b.used += size - body.size
			body.size = size
			b.largest = max(b.largest, b.used)
			return true
		case !b.giveUpFor(body):
			b.refused++
			return false
		}
		b.released.Wait()
	}
}

// giveUpFor gives up the largest body that is still arriving and is at least as large as another
// one, unless one is on its way out already. It returns false if there is none.
func (b *Budget) giveUpFor(body *Body) bool {
	var victim *Body
	for other := range b.bodies {
		if other == body || !other.arriving || other.size == 0 || other.size < body.size {
			continue
		}
		if other.givenUp {
			return true
		}
		if victim == nil || other.size > victim.size {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	victim.givenUp = true
	victim.stop()
	b.givenUp++
	return true
}
