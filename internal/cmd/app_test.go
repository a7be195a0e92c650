package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/cmd"
	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/input"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/shard"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/internal/status"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const exampleTree = "../config/testdata/lima"

// fakeRouter is a fake admin API that reports the published generation as in
// force at once, except on the configured number of lagging peers.
type fakeRouter struct {
	mutex        sync.Mutex
	store        *stand.Store
	laggingPeers int           // number of peers that stay at generation 0
	peerSilence  time.Duration // since the last heartbeat of these peers
	withdrawals  []status.WithdrawRequest
}

func (r *fakeRouter) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply := func(code int, body any) {
		w.WriteHeader(code)
		_ = json.NewEncoder(w).Encode(body)
	}
	switch q.URL.Path {
	case "/v1/status":
		head, _, err := publsh.CurrentHead(q.Context(), r.store)
		if err != nil || head.Generation == 0 {
			reply(http.StatusServiceUnavailable, status.ErrorResponse{Error: "no configuration"})
			return
		}
		at := time.Unix(1000, 0)
		s := status.Status{Self: "r1", At: at, StaleAfter: 4 * time.Second, Routers: []status.Router{{ID: "r1", Zone: "lima-sur", Generation: head.Generation, Serving: true}}}
		for _, w := range r.withdrawals {
			s.Withdrawn = append(s.Withdrawn, status.WithdrawnEntry{Release: w.Release, Reason: w.Reason, By: w.By})
		}
		for range r.laggingPeers {
			s.Routers = append(s.Routers, status.Router{ID: "r2", Zone: "lima-norte", LastSeen: at.Add(-r.peerSilence)})
		}
		reply(http.StatusOK, s)
	case "/v1/withdraw":
		var request status.WithdrawRequest
		_ = json.NewDecoder(q.Body).Decode(&request)
		r.withdrawals = append(r.withdrawals, request)
		reply(http.StatusOK, status.WithdrawReply{Routers: []ident.RouterID{"r1"}})
	case "/v1/explain":
		choice := status.Choice{Release: "condor@v3", Endpoint: "condor-1", Verdict: status.VerdictChosen, Reason: "least wait"}
		reply(http.StatusOK, status.Explanation{Chosen: &choice, Choices: []status.Choice{choice}})
	}
}

var _ = Describe("the command line", func() {
	var (
		store *stand.Store
		fake  *fakeRouter
		admin *httptest.Server
		out   *bytes.Buffer
		errs  *bytes.Buffer
		stdin string
		bills []shard.Bill
		now   time.Time // advanced by Sleep

		waitDeadline time.Time // at which Sleep reports that the wait has timed out
	)

	run := func(args ...string) int {
		out, errs = &bytes.Buffer{}, &bytes.Buffer{}
		deps := cmd.DefaultDeps("1.2.3")
		deps.Out, deps.Err, deps.In, deps.User = out, errs, strings.NewReader(stdin), "rosa"
		deps.Now = func() time.Time { return now }
		deps.Sleep = func(ctx context.Context, delay time.Duration) error {
			now = now.Add(delay)
			if now.After(waitDeadline) {
				return context.DeadlineExceeded
			}
			return ctx.Err()
		}
		deps.Platform = func(string, *http.Client) plat.Platform { return store }
		deps.Bills = func(context.Context, plat.Platform) ([]shard.Bill, error) { return bills, nil }
		return cmd.New(deps).Run(context.Background(), append([]string{"--platform", "http://p", "--admin", admin.URL}, args...))
	}
	current := func() *publsh.Result {
		head, _, err := publsh.CurrentHead(context.Background(), store)
		Expect(err).NotTo(HaveOccurred())
		return &publsh.Result{Generation: head.Generation, Digest: head.Digest}
	}

	BeforeEach(func() {
		now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		waitDeadline = now.Add(time.Minute)
		stdin, bills = "", nil
		store = stand.NewStore(func() time.Time { return now })
		fake = &fakeRouter{store: store}
		admin = httptest.NewServer(fake)
		DeferCleanup(admin.Close)
	})

	It("checks a tree offline", func() {
		Expect(run("check", exampleTree)).To(Equal(0))
		Expect(out.String()).To(Equal("6 files are valid: 10 teams, 2 models, 1 services, 1 roll-outs, 3 zones, 13 endpoints\n"))
	})

	It("reports every problem of a tree with exit code 2", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "x.marigold.toml"), []byte("[team.a]\nweight = 0\nodd = 1"), 0o600)).To(Succeed())
		Expect(run("check", dir)).To(Equal(2))
		Expect(errs.String()).To(ContainSubstring("x.marigold.toml:2: team.a.weight"))
		Expect(errs.String()).To(ContainSubstring("x.marigold.toml:3: team.a.odd"))
		Expect(run("--json", "check", dir)).To(Equal(2))
		var failure struct {
			Exit     int
			Problems config.Problems
		}
		Expect(json.Unmarshal(out.Bytes(), &failure)).To(Succeed())
		Expect(failure.Problems).To(HaveLen(2))
		Expect(failure.Exit).To(Equal(2))
	})

	It("shows the differences, publishes, and changes nothing the second time", func() {
		Expect(run("publish", "--dry-run", exampleTree)).To(Equal(0))
		Expect(errs.String()).To(ContainSubstring("+ zone.lima-sur.region = \"lima\""))
		Expect(current().Generation).To(BeZero())
		Expect(run("publish", exampleTree)).To(Equal(0), errs)
		Expect(errs.String()).To(ContainSubstring("generation 1 is in force on every router"))
		Expect(run("--json", "publish", exampleTree)).To(Equal(0))
		Expect(out.String()).To(ContainSubstring(`"generation": 1`))
		Expect(out.String()).To(ContainSubstring(`"everywhere": true`))
		Expect(errs.String()).To(BeEmpty(), "no progress is printed with --json")
	})

	It("exits with 4 and names the lagging routers", func() {
		fake.laggingPeers = 1
		waitDeadline = now.Add(time.Second)
		Expect(run("publish", exampleTree)).To(Equal(4))
		Expect(errs.String()).To(ContainSubstring("not yet in force on 1 of 2 routers: r2 (zone lima-norte, generation 0)"))
		waitDeadline = now.Add(time.Second)
		Expect(run("publish", "--wait", "0", exampleTree)).To(Equal(0))
	})

	It("does not wait for a router whose observation has expired, but names it", func() {
		fake.laggingPeers = 1
		fake.peerSilence = 8 * time.Second
		waitDeadline = now.Add(time.Second)
		Expect(run("publish", exampleTree)).To(Equal(4), "twice times.stale has not passed")
		fake.peerSilence++
		waitDeadline = now.Add(time.Second)
		Expect(run("publish", exampleTree)).To(Equal(0))
		Expect(errs.String()).To(ContainSubstring("not waited for, since no router receives its heartbeats: r2"))
	})

	It("names a router that the platform lists, but of which no router receives heartbeats", func() {
		Expect(store.Announce(context.Background(), plat.ClassStatus, plat.Instance{ID: "r9"})).To(Succeed())
		Expect(run("publish", exampleTree)).To(Equal(0))
		Expect(errs.String()).To(ContainSubstring("not waited for, since no router receives its heartbeats: r9"))
	})

	It("counts a named router without a configuration as lagging", func() {
		empty := httptest.NewServer(&fakeRouter{store: stand.NewStore(time.Now)})
		DeferCleanup(empty.Close)
		waitDeadline = now.Add(time.Second)
		Expect(run("--admin", empty.URL, "publish", exampleTree)).To(Equal(4))
		Expect(errs.String()).To(ContainSubstring(empty.URL))
	})

	It("exits with 1 if a change is refused, 3 if the platform or the routers are unreachable, 2 on invalid flags", func() {
		Expect(run("publish", exampleTree)).To(Equal(0))
		Expect(run("zone", "out", "lima-este")).To(Equal(1))
		Expect(errs.String()).To(ContainSubstring(`zone "lima-este" is not declared; accepted: lima-centro, lima-norte, lima-sur`))
		Expect(run("publish", "--expect", "7", exampleTree)).To(Equal(1))
		store.SetFaults(stand.StoreFaults{Down: true})
		Expect(run("zone", "out", "lima-sur")).To(Equal(3))
		admin.Close()
		Expect(run("status")).To(Equal(3))
		Expect(run("frob")).To(Equal(2))
		Expect(run("publish", "--restore", "condor", exampleTree)).To(Equal(2))
		Expect(run("explain", "--team", "ledger")).To(Equal(2))
		Expect(run("--platform", "p:", "bills")).To(Equal(2))
		Expect(run("--settings", "nowhere.toml", "bills")).To(Equal(2))
	})

	It("changes zones and roll-outs and keeps the operators' files", func() {
		Expect(run("publish", exampleTree)).To(Equal(0))
		for i, args := range [][]string{
			{"zone", "out", "lima-sur"},
			{"rollout", "start", "condor@v4"},
			{"rollout", "pause", "condor"},
			{"rollout", "resume", "condor"},
			{"rollout", "abort", "condor"},
			{"zone", "in", "lima-sur"},
		} {
			Expect(run(args...)).To(Equal(0), "%v: %s", args, errs)
			Expect(current().Generation).To(Equal(ident.Generation(i + 2)))
		}
		Expect(run("rollout", "pause", "quena")).To(Equal(1))
		Expect(run("--json", "zone", "in", "lima-sur")).To(Equal(0))
		Expect(out.String()).NotTo(ContainSubstring("null"), "lists in JSON are empty, not null")
		head, _, err := publsh.CurrentHead(context.Background(), store)
		Expect(err).NotTo(HaveOccurred())
		c, err := publsh.Fetch(context.Background(), store, head)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Rollouts["condor"].Aborted).To(BeTrue())
		Expect(c.Zones["lima-sur"].Out).To(BeFalse())
	})

	It("withdraws at the routers first and then in the configuration", func() {
		Expect(run("publish", exampleTree)).To(Equal(0))
		Expect(run("withdraw", "condor@v3", "--reason", "wrong totals")).To(Equal(1))
		Expect(fake.withdrawals).To(HaveLen(1))
		Expect(errs.String()).To(ContainSubstring("the configuration does not record it"))
		Expect(errs.String()).To(ContainSubstring("name another by --default"))
		Expect(run("withdraw", "condor@v3", "--reason", "wrong totals", "--default", "v4")).To(Equal(0), errs)
		Expect(run("publish", exampleTree)).To(Equal(0), errs)
		Expect(current().Generation).To(Equal(ident.Generation(2)), "publishing does not undo the withdrawal")
		Expect(run("publish", "--restore", "condor@v3", exampleTree)).To(Equal(0), errs)
		Expect(errs.String()).To(ContainSubstring("condor@v3 stays withdrawn by rosa (wrong totals); publish it under a new version name"))
	})

	It("sums bills by team and item", func() {
		bill := func(team, request, version string, cost ident.Micros) shard.Bill {
			return shard.Bill{
				Key: ident.RequestKey{Team: ident.TeamID(team), Request: ident.RequestID(request)}, Cost: cost, At: now,
				Release: ident.Release{Model: "condor", Version: ident.VersionID(version)}, Prompt: 10, Answer: 5,
			}
		}
		bills = []shard.Bill{bill("ledger", "1", "v3", 1_500_000), bill("ledger", "2", "v3", 7), bill("care", "1", "v4", 1)}
		Expect(run("bills")).To(Equal(0))
		Expect(out.String()).To(MatchRegexp(`care +condor@v4 +1 +10 +5 +0\.000001\nledger +condor@v3 +2 +20 +10 +1\.500007\n`))
		Expect(run("bills", "--team", "care", "--each")).To(Equal(0))
		Expect(strings.Count(out.String(), "\n")).To(Equal(2))
		Expect(run("bills", "--since", "2026-01-03T00:00:00Z", "--json")).To(Equal(0))
		Expect(out.String()).To(Equal("[]\n"))
	})

	It("generates keys whose hashes are valid in files", func() {
		Expect(run("--json", "keys", "new")).To(Equal(0))
		var pair struct{ Key, Hash string }
		Expect(json.Unmarshal(out.Bytes(), &pair)).To(Succeed())
		stdin = pair.Key + "\n"
		Expect(run("keys", "hash")).To(Equal(0))
		Expect(out.String()).To(Equal(pair.Hash + "\n"))
		_, problems := config.Load([]config.File{{Path: "a", Text: []byte("[team.a]\nkeys = [\"" + pair.Hash + "\"]")}})
		Expect(problems).To(BeEmpty())
		stdin = ""
		Expect(run("keys", "hash")).To(Equal(2))
	})

	It("prints status and explanations as tables", func() {
		Expect(run("publish", exampleTree)).To(Equal(0))
		Expect(run("status")).To(Equal(0))
		Expect(out.String()).To(MatchRegexp(`r1 +lima-sur +1 +never +yes +no +never`))
		Expect(run("explain", "--team", "ledger", "--model", "condor")).To(Equal(0))
		Expect(out.String()).To(MatchRegexp(`chosen +condor@v3 +condor-1 +least wait`))
	})

	It("prints help with examples for every command", func() {
		for _, name := range []string{"check", "publish", "status", "explain", "withdraw", "rollout", "zone", "bills", "keys"} {
			Expect(run(name, "--help")).To(Equal(0))
			Expect(out.String()).To(ContainSubstring("  marigoldscale "+name), name)
		}
		Expect(run("--version")).To(Equal(0))
		Expect(out.String()).To(Equal("1.2.3\n"))
	})

	It("has a manual page that is up to date; go run ./man/gen writes it", func() {
		page, err := os.ReadFile("../../man/marigoldscale.1")
		Expect(err).NotTo(HaveOccurred())
		var want bytes.Buffer
		Expect(cmd.New(cmd.DefaultDeps("")).WriteManPage(&want)).To(Succeed())
		Expect(string(page)).To(Equal(want.String()))
	})

	It("has every key of its settings in the configuration reference", func() {
		page, err := os.ReadFile("../../docs/CONFIG.md")
		Expect(err).NotTo(HaveOccurred())
		for _, key := range input.DescribeKeys(cmd.SettingsFields()) {
			Expect(string(page)).To(ContainSubstring(key.MarkdownRow()), key.Name)
		}
	})
})
