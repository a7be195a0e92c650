package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20
	// maxReadDelay is how long a sound endpoint may take to read what it was sent: it may
	// fall silent for a second or so.
	maxReadDelay = 1500 * time.Millisecond
)

// WindowBudget limits the attempts beyond the first of each request to a share
// of the requests in a sliding window, plus a fixed number. The whole allowance
// of a window may be used at once, for a crash that fails many requests after a
// time with few retries. It is safe for concurrent use.
type WindowBudget struct {
	lock         sync.Mutex
	share        ident.Share
	startShare   ident.Share // instead of share, until settled
	settled      time.Time   // from then on share and extra are allowed
	extra        float64
	bucketLength time.Duration
	start        time.Time         // origin of the bucket numbers, not aligned to the time of day
	buckets      []bucket          // ring buffer; one bucket and maxReadDelay more than the window
	newest       int64             // number of the newest bucket
	reserved     float64           // fraction of the gain that is left unused, see Pool
	reservedTill time.Time         // when reserved no longer counts
	tellTill     time.Time         // until when Report asks for its result to be told
	unknownTill  time.Time         // until when other routers' debts may be unknown
	told         [toldUses]float64 // gains as last told to other routers, newest first
	withheld     int64             // attempts that were denied only for the reserve
}

// toldUses is the number of reports in which a router's gain counts as not yet used: that
// many are sent until the answer to the first has come from the root of the feeds.
const toldUses = 4

// bucket holds the numbers of first attempts and retries in one part of a window, how many
// of the retries were second opinions, how many were sent and are not known to have been
// read, and the least extra that was in force during it. Window is the number of first
// attempts in the window that ended with it.
type bucket struct{ first, retries, opinions, unread, extra, window float64 }

// NewWindowBudget returns a budget that allows share of the first attempts, plus
// extra, in any window of the given length.
func NewWindowBudget(share ident.Share, extra float64, length time.Duration) *WindowBudget {
	bucketLength := max(length/windowBuckets, minBucketLength)
	late := (maxReadDelay + bucketLength - 1) / bucketLength
	return &WindowBudget{share: share, extra: extra, bucketLength: bucketLength, buckets: make([]bucket, windowBuckets+1+late)}
}

// minBucketLength bounds the number of buckets.
const minBucketLength = time.Millisecond

// limitUntil allows only share of the first attempts, and nothing beyond, until settled.
// Second opinions are allowed as ever: they follow answers, so that they come at a steady
// rate and not in a burst as retries of failed requests do.
func (w *WindowBudget) limitUntil(settled time.Time, share ident.Share) {
	w.settled, w.startShare = settled, share
}

// SetExtra changes the number of attempts allowed beyond the share, since routers have
// joined or left that have a part in it. A greater number is allowed once a whole window
// and maxReadDelay have passed, since the routers that left may have used their part.
func (w *WindowBudget) SetExtra(now time.Time, extra float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.extra = extra
	b := w.current(now)
	b.extra = min(b.extra, extra)
}

// RecordFirst records a first attempt.
func (w *WindowBudget) RecordFirst(now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current(now).first++
}

// Allow reports whether one more attempt is allowed, and counts it if so.
func (w *WindowBudget) Allow(now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	newest, sum := w.current(now), w.sum()
	used, allowed := sum.retries, float64(w.share)*sum.first+sum.extra
	if now.Before(w.settled) {
		used, allowed = max(0, sum.retries-sum.opinions), float64(w.startShare)*sum.first
	}
	fraction := w.reservedFraction(now)
	if now.Before(w.unknownTill) {
		fraction = 1
	}
	if used+1 > allowed || !w.leavesReserve(now, sum, allowed, fraction) {
		return false
	}
	newest.retries++
	return true
}

// AllowOpinion reports whether a request that has an answer may be sent once more, to a
// larger model, and counts the attempt if so. Reserve is the share of the window's
// allowance that the attempt must leave unused, for requests that failed.
func (w *WindowBudget) AllowOpinion(now time.Time, reserve ident.Share) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	newest, sum := w.current(now), w.sum()
	allowed := (float64(w.share)*sum.first + sum.extra) * (1 - float64(reserve))
	if sum.retries+1 > allowed || !w.leavesReserve(now, sum, allowed, w.reservedFraction(now)) {
		return false
	}
	newest.retries++
	newest.opinions++
	return true
}

// Report returns what has been used in the window, and whether it is to be told to other
// routers. Use that can't become a debt is not told, once that has been told for a window.
func (w *WindowBudget) Report(now time.Time) (u Use, tell bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current(now)
	sum := w.sum()
	if sum.retries > sum.extra || w.reservedFraction(now) > 0 {
		w.tellTill = now.Add(w.bucketLength * windowBuckets)
	}
	u = Use{Requests: sum.first, Repeats: sum.retries, Gain: w.gain(now, sum)}
	copy(w.told[1:], w.told[:])
	w.told[0] = u.Gain
	return u, now.Before(w.tellTill)
}

// SetReserve sets the fraction of the gain that is left unused until a time, see Pool.
func (w *WindowBudget) SetReserve(fraction float64, till time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.reserved, w.reservedTill = fraction, till
}

// SetUnknown records that other routers' debts may be unknown until a time, since the
// router is lost that told of them. Retries then use no gain; second opinions do, see limitUntil.
func (w *WindowBudget) SetUnknown(till time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.unknownTill = till
}

// gain returns the part of the allowance that is unused and follows from more requests
// than were in the least of the windows that ended within the last one.
func (w *WindowBudget) gain(now time.Time, sum bucket) float64 {
	if now.Before(w.settled) {
		return 0
	}
	least := sum.first
	for number := w.newest - windowBuckets; number < w.newest; number++ {
		least = min(least, w.bucket(number).window)
	}
	return max(0, min(float64(w.share)*(sum.first-least), float64(w.share)*sum.first+sum.extra-sum.retries))
}

// leavesReserve reports whether one more attempt, of those allowed, leaves the fraction of
// the gain unused. What was used since the gain was last told is not known where the
// fraction was determined.
func (w *WindowBudget) leavesReserve(now time.Time, sum bucket, allowed, fraction float64) bool {
	if fraction <= 0 || now.Before(w.settled) {
		return true
	}
	if sum.retries+1 <= allowed-fraction*max(w.gain(now, sum), slices.Max(w.told[:])) {
		return true
	}
	w.withheld++
	return false
}

// reservedFraction returns the fraction of the gain that is left for known debts.
func (w *WindowBudget) reservedFraction(now time.Time) float64 {
	if !now.Before(w.reservedTill) {
		return 0
	}
	return w.reserved
}

// TakeWithheld returns the number of attempts that were denied only for the debts of other
// routers since it was last called.
func (w *WindowBudget) TakeWithheld() int64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	n := w.withheld
	w.withheld = 0
	return n
}

// Counted returns the number of attempts that count at a time, and how many of them no
// endpoint is known to have read.
func (w *WindowBudget) Counted(now time.Time) (retries, unread int64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current(now)
	for i := range w.buckets {
		unread += int64(w.buckets[i].unread)
	}
	return int64(w.sum().retries), unread
}

// sum returns the numbers of the window. Retries count longer that may have been read since
// the window began.
func (w *WindowBudget) sum() bucket {
	sum := bucket{extra: w.extra}
	for number := w.newest - windowBuckets; number <= w.newest; number++ {
		b := w.bucket(number)
		sum.first += b.first
		sum.retries += b.retries
		sum.opinions += b.opinions
	}
	for i := range w.buckets {
		sum.extra = min(sum.extra, w.buckets[i].extra)
	}
	sum.first -= w.bucket(w.newest - windowBuckets).first // has only partly left the window
	for number := w.newest + 1 - int64(len(w.buckets)); number < w.newest-windowBuckets; number++ {
		sum.retries += w.bucket(number).unread
	}
	return sum
}

// Sent counts an attempt that was allowed at one time as of the time at which it is sent.
// A process that was stopped in between sends in one window what it had decided in another.
func (w *WindowBudget) Sent(allowed, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.sent(allowed, now)
}

// SentUnread is Sent for an attempt that counts for maxReadDelay longer than the window, until
// it is read. Second opinions need not: few are sent while endpoints are silent, since they
// follow answers.
func (w *WindowBudget) SentUnread(allowed, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if newest := w.sent(allowed, now); newest.retries > newest.unread {
		newest.unread++
	}
}

// sent moves an attempt to the newest bucket, and returns that.
func (w *WindowBudget) sent(allowed, now time.Time) *bucket {
	newest := w.current(now)
	number := min(w.number(allowed), w.newest)
	if !w.holds(number) {
		newest.retries++
		return newest
	}
	if b := w.bucket(number); b.retries-b.unread >= 1 {
		b.retries--
		newest.retries++
	}
	return newest
}

// Read counts an attempt that was sent at one time as of the time at which its endpoint is
// known to have read it.
func (w *WindowBudget) Read(sent, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.current(now)
	number := min(w.number(sent), w.newest)
	if !w.holds(number) {
		return
	}
	b := w.bucket(number)
	if b.unread < 1 || b.retries < 1 {
		return
	}
	b.unread--
	b.retries--
	w.bucket(min(w.number(sent.Add(maxReadDelay)), w.newest)).retries++
}

// number returns the number of the bucket of a time.
func (w *WindowBudget) number(at time.Time) int64 { return int64(at.Sub(w.start) / w.bucketLength) }

// holds reports whether there is a bucket of a number, up to the newest.
func (w *WindowBudget) holds(number int64) bool {
	return number >= 0 && w.newest-number < int64(len(w.buckets))
}

// bucket returns the bucket of a number. Numbers before the first have an empty one.
func (w *WindowBudget) bucket(number int64) *bucket {
	n := int64(len(w.buckets))
	return &w.buckets[(number%n+n)%n]
}

// current returns the bucket of now, and resets those that have left the ring buffer.
// If the clock goes back, the newest bucket is used.
func (w *WindowBudget) current(now time.Time) *bucket {
	if w.start.IsZero() {
		w.start = now
		w.reset()
	}
	number := max(w.number(now), w.newest)
	if number-w.newest >= int64(len(w.buckets)) {
		w.reset()
		w.newest = number
	}
	for w.newest < number {
		w.bucket(w.newest).window = w.sum().first
		w.newest++
		*w.bucket(w.newest) = bucket{extra: w.extra}
	}
	return w.bucket(number)
}

func (w *WindowBudget) reset() {
	for i := range w.buckets {
		w.buckets[i] = bucket{extra: w.extra}
	}
}
