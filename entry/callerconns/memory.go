package callerconns

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"

	"crocusfold.dev/core/memorybudget"
)

// ErrNoMemory means that a request gets no memory: it was not run.
var ErrNoMemory = errors.New("the instance has no memory for the request")

// Reason is why a connection was closed or a request was refused. It is a label of metrics.
type Reason string

// The reasons for which connections are closed or requests refused.
const (
	// TooManyConnections and MemoryNeeded close connections that wait for their caller.
	TooManyConnections Reason = "too-many-connections"
	MemoryNeeded       Reason = "memory-needed"
	// MemoryFull refuses a request.
	MemoryFull Reason = "memory-full"
	// HeadTooLarge refuses a request whose head exceeds the limit.
	HeadTooLarge Reason = "head-too-large"
	// Unread closes a connection whose caller does not read.
	Unread Reason = "unread"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{TooManyConnections, MemoryNeeded, MemoryFull, HeadTooLarge, Unread}
}

const (
	// sweepPause is the pause between two searches for connections to close, while others wait.
	sweepPause = 100 * time.Millisecond
	// reportInterval is the least time between two log lines about closed connections.
	reportInterval = 5 * time.Second
)

// Memory shares the memory of an instance among the connections of callers. The zero value
// does not limit anything. It is safe for concurrent use.
type Memory struct {
	Logger log.Logger
	// OnEnd, if set, is called for each connection that is closed and each request that is
	// refused.
	OnEnd func(Reason)

	mu       sync.Mutex
	budget   memorybudget.Budget
	accounts map[*memorybudget.Holder]*Account
	sweeping bool
	ends     map[Reason]int
	largest  int64
	reported time.Time
}

// Account is what one connection holds. A nil Account has no limits.
type Account struct {
	memory *Memory
	holder *memorybudget.Holder
	// evict closes the connection.
	evict func(Reason)
	// granted is sent the result of waiting.
	granted chan bool
}

// SetLimits replaces the limits.
func (m *Memory) SetLimits(l memorybudget.Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetLimits(l)
}

// Usage returns the bytes that are held by cause, the number of connections, and how many of
// these wait for memory.
func (m *Memory) Usage() (held map[string]int64, connections, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held = map[string]int64{}
	for _, c := range []memorybudget.Cause{memorybudget.Connection, memorybudget.Head, memorybudget.Body, memorybudget.Response} {
		held[c.String()] = m.budget.Held(c)
	}
	return held, m.budget.Connections(), m.budget.Waiting()
}

// open adds a connection. It closes another one, or the new one, if there are too many.
func (m *Memory) open(evict func(Reason)) *Account {
	m.mu.Lock()
	h, worst := m.budget.Open(time.Now())
	a := &Account{memory: m, holder: h, evict: evict, granted: make(chan bool, 1)}
	if m.accounts == nil {
		m.accounts = map[*memorybudget.Holder]*Account{}
	}
	m.accounts[h] = a
	var victim *Account
	if worst != nil {
		victim = m.accounts[worst]
	}
	m.mu.Unlock()
	if victim != nil {
		victim.end(TooManyConnections)
	}
	return a
}

// end closes the connection and records why.
func (a *Account) end(r Reason) {
	a.memory.record(r, a)
	a.evict(r)
}

// record counts a closed connection or a refused request, and logs them from time to time.
func (m *Memory) record(r Reason, a *Account) {
	if m.OnEnd != nil {
		m.OnEnd(r)
	}
	now := time.Now()
	m.mu.Lock()
	if m.ends == nil {
		m.ends = map[Reason]int{}
	}
	m.ends[r]++
	m.largest = max(m.largest, a.holder.Held())
	report := m.Logger != nil && now.Sub(m.reported) >= reportInterval
	if !report {
		m.mu.Unlock()
		return
	}
	fields := []any{"msg", "Closed connections of callers, or refused their requests.", "reason", r, "largest-bytes", m.largest,
		"connections", m.budget.Connections(), "waiting", m.budget.Waiting()}
	for reason, n := range m.ends {
		fields = append(fields, string(reason), n)
	}
	m.ends, m.largest, m.reported = nil, 0, now
	m.mu.Unlock()
	_ = m.Logger.Log(fields...)
}

// close removes the connection.
func (a *Account) close() {
	a.memory.update(func(b *memorybudget.Budget) { b.Close(a.holder) })
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	delete(a.memory.accounts, a.holder)
}

// update changes the budget and gives what has become free to those that wait.
func (m *Memory) update(change func(*memorybudget.Budget)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.budget)
	if m.budget.Waiting() > 0 {
		m.grant(time.Now())
	}
}

// grant wakes those whose memory was granted. The caller holds the lock.
func (m *Memory) grant(now time.Time) {
	for _, h := range m.budget.Grant(now) {
		m.accounts[h].granted <- true
	}
}

// SetPhase records whom the connection waits for.
func (a *Account) SetPhase(p memorybudget.Phase) {
	if a == nil {
		return
	}
	var now time.Time
	if p != memorybudget.Serving {
		now = time.Now()
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.SetPhase(now, a.holder, p)
}

// endRequest releases what the request held. The connection is idle from now on.
func (a *Account) endRequest() {
	now := time.Now()
	a.memory.update(func(b *memorybudget.Budget) {
		b.Release(a.holder, memorybudget.Head)
		b.Release(a.holder, memorybudget.Body)
		b.Release(a.holder, memorybudget.Response)
		b.SetPhase(now, a.holder, memorybudget.Idle)
	})
}

// Release returns what the connection holds for a cause.
func (a *Account) Release(c memorybudget.Cause) {
	if a != nil {
		a.memory.update(func(b *memorybudget.Budget) { b.Release(a.holder, c) })
	}
}

// Charge records memory that the connection has already.
func (a *Account) Charge(c memorybudget.Cause, bytes int64) {
	if a == nil {
		return
	}
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.budget.Charge(a.holder, c, bytes)
}

// Reserve asks for memory and waits for it until done is closed. The connection must not be
// read meanwhile. It returns how long it waited, and ErrNoMemory if there is none.
func (a *Account) Reserve(done <-chan struct{}, c memorybudget.Cause, bytes int64) (time.Duration, error) {
	if a == nil || bytes == 0 {
		return 0, nil
	}
	m := a.memory
	m.mu.Lock()
	if m.budget.Try(a.holder, c, bytes) {
		m.mu.Unlock()
		return 0, nil
	}
	now := time.Now()
	decision := m.budget.Reserve(now, a.holder, c, bytes)
	if _, ok := decision.(memorybudget.Wait); ok && !m.sweeping {
		m.sweeping = true
		time.AfterFunc(sweepPause, m.sweep)
	}
	m.mu.Unlock()
	switch decision.(type) {
	case memorybudget.Granted:
		return 0, nil
	case memorybudget.Refused:
		m.record(MemoryFull, a)
		return 0, ErrNoMemory
	}
	granted := false
	select {
	case granted = <-a.granted:
	case <-done:
		m.update(func(b *memorybudget.Budget) { b.Abandon(a.holder) })
		select {
		case granted = <-a.granted:
		default:
		}
	}
	if !granted {
		m.record(MemoryFull, a)
		return time.Since(now), ErrNoMemory
	}
	return time.Since(now), nil
}

// sweep closes connections and refuses requests while any waits for memory.
func (m *Memory) sweep() {
	m.mu.Lock()
	now := time.Now()
	closed, refused := m.budget.Sweep(now)
	var victims []*Account
	for _, h := range closed {
		victims = append(victims, m.accounts[h])
	}
	for _, h := range refused {
		m.accounts[h].granted <- false
	}
	m.grant(now)
	m.sweeping = m.budget.Waiting() > 0
	if m.sweeping {
		time.AfterFunc(sweepPause, m.sweep)
	}
	m.mu.Unlock()
	for _, a := range victims {
		a.end(MemoryNeeded)
	}
}
