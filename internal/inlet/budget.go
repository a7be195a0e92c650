package inlet

import (
	"net/netip"
	"sync"
	"time"
)

// Class is a kind of memory, by which part of a Budget stays free of it.
type Class int

// The classes of memory.
const (
	// Conns is the memory of connections. It leaves half of the budget to what is sent on
	// them.
	Conns Class = iota
	// Large is memory for long heads and bodies. It leaves an eighth to ordinary requests.
	Large
	// Small is memory for ordinary requests. It leaves a thirty-second to responses.
	Small
	// Response is memory for what has been requested already.
	Response
)

const (
	// connsDivisor, largeDivisor and smallDivisor are the parts of the budget that stay
	// free of each class: one in so many.
	connsDivisor = 2
	largeDivisor = 8
	smallDivisor = 32
	// addressShare bounds what one address holds to so many times what is free after it,
	// two thirds of the budget: callers may all come through one load balancer.
	addressShare = 2
	// connCost is the memory of a connection: its goroutine's stack, the buffers of
	// net/http, and those of an ordinary request.
	connCost = 24 << 10
	// linesPerCore is the number of lines of long heads that are read in a second for each
	// core. A line takes about 1 us, so that they take a tenth of the processor.
	linesPerCore = 100_000
	// lineBurst is the number of such lines that are read at once, those of eight heads of
	// 64 KB with the shortest fields.
	lineBurst = 8 * 22_000
)

// Budget bounds the memory of all that callers make a router hold, for load in which
// callers that stay within each limit together exceed the memory of the machine. It is
// safe for concurrent use.
type Budget struct {
	limit    int64 // bytes
	maxConns int   // 0 for no bound

	lock      sync.Mutex
	used      int64
	connBytes int64
	conns     int
	addresses map[netip.Addr]addressUse
	lineRate  float64 // lines of long heads a second
	lines     float64 // that may be read now
	linesAt   time.Time
}

// addressUse is what the connections of one address hold.
type addressUse struct {
	bytes int64
	conns int
}

// NewBudget returns a Budget of limit bytes and a number of connections, 0 for any, for a
// router that may use a number of processor cores.
func NewBudget(limit int64, maxConns int, cores float64) *Budget {
	return &Budget{limit: limit, maxConns: maxConns, addresses: map[netip.Addr]addressUse{}, lineRate: cores * linesPerCore, lines: lineBurst}
}

// takeLines takes the processor time for lines of a long head. It reports false if there
// have been too many lately.
func (b *Budget) takeLines(now time.Time, n int) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.lines = min(lineBurst, b.lines+now.Sub(b.linesAt).Seconds()*b.lineRate)
	b.linesAt = now
	if b.lines < float64(n) {
		return false
	}
	b.lines -= float64(n)
	return true
}

// Used returns the bytes and the connections in use.
func (b *Budget) Used() (bytes int64, conns int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.used, b.conns
}

// Account is what one connection holds of a Budget.
type Account struct {
	budget  *Budget
	address netip.Addr
	held    int64 // guarded by budget.lock
}

// Open takes the memory of a new connection. It returns nil if that is not left.
func (b *Budget) Open(address netip.Addr) *Account {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := &Account{budget: b, address: address}
	if !b.fits(a, connCost, Conns) {
		return nil
	}
	b.addConn(a, 1)
	return a
}

// fits decides whether n more bytes of a class are granted. The lock is held.
func (b *Budget) fits(a *Account, n int64, class Class) bool {
	free := b.limit - b.used - n
	switch class {
	case Conns:
		left := b.limit - b.limit/connsDivisor - b.connBytes - n
		if b.maxConns > 0 {
			left = min(left, int64(b.maxConns-b.conns-1)*connCost)
		}
		return left >= 0 && free >= b.limit/smallDivisor && int64(b.addresses[a.address].conns)*connCost <= addressShare*left
	case Large:
		return free >= b.limit/largeDivisor && a.held+n <= free && b.addresses[a.address].bytes+n <= addressShare*free
	case Small:
		return free >= b.limit/smallDivisor
	default:
		return free >= 0
	}
}

// add adds bytes to what an account holds. The lock is held.
func (b *Budget) add(a *Account, n int64) {
	b.used += n
	a.held += n
	x := b.addresses[a.address]
	x.bytes += n
	b.setAddress(a.address, x)
}

// addConn adds a connection of an account, or removes it if n is -1. The lock is held.
func (b *Budget) addConn(a *Account, n int) {
	b.conns += n
	b.connBytes += int64(n) * connCost
	b.add(a, int64(n)*connCost)
	x := b.addresses[a.address]
	x.conns += n
	b.setAddress(a.address, x)
}

func (b *Budget) setAddress(address netip.Addr, x addressUse) {
	if x == (addressUse{}) {
		delete(b.addresses, address)
		return
	}
	b.addresses[address] = x
}

// Take takes n bytes of a class. It reports false if they are not left to the connection.
func (a *Account) Take(n int64, class Class) bool {
	b := a.budget
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.fits(a, n, class) {
		return false
	}
	b.add(a, n)
	return true
}

// Give gives n bytes back.
func (a *Account) Give(n int64) {
	if n == 0 {
		return
	}
	a.budget.lock.Lock()
	defer a.budget.lock.Unlock()
	a.budget.add(a, -n)
}

// closeConn gives the memory of the connection itself back.
func (a *Account) closeConn() {
	a.budget.lock.Lock()
	defer a.budget.lock.Unlock()
	a.budget.addConn(a, -1)
}

// TakeResponse takes n bytes for a response. It reports false if they are not left.
// Negative n gives back.
func (b *Budget) TakeResponse(n int64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if n > 0 && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// ForceResponse counts n bytes of a response that is not to fail for its size.
func (b *Budget) ForceResponse(n int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.used += n
}
