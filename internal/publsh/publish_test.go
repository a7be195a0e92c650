package publsh_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/stand"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

const models = `[zone.sur]
region = "lima"
[model.condor]
price = 1000
quality = 0.9
default = "v1"
versions = ["v1", "v2"]
`

var (
	epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	v2    = ident.Release{Model: "condor", Version: "v2"}
)

func now() time.Time { return epoch }

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func file(path, text string) config.File {
	return config.File{Path: path, Text: []byte(text)}
}

func team(name string, weight string) config.File {
	return file(name+".toml", "[team."+name+"]\nweight = "+weight+"\n")
}

// outage is a platform that is unavailable after a number of calls.
type outage struct {
	plat.Platform
	calls, limit int
}

func (o *outage) unavailable() bool {
	o.calls++
	return o.calls > o.limit
}

func (o *outage) Get(ctx context.Context, class plat.Class, key plat.Key) (plat.Object, error) {
	if o.unavailable() {
		return plat.Object{}, plat.ErrUnavailable
	}
	return o.Platform.Get(ctx, class, key)
}

func (o *outage) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	if o.unavailable() {
		return 0, plat.ErrUnavailable
	}
	return o.Platform.Put(ctx, class, key, value, expect)
}

// interleaved is a platform that calls the next hook before each write of the
// head. If the hook returns an error, Put returns that error in place of writing.
type interleaved struct {
	plat.Platform
	hooks []func(write func()) error
}

func (i *interleaved) Put(ctx context.Context, class plat.Class, key plat.Key, value []byte, expect plat.Version) (plat.Version, error) {
	if key == plat.HeadKey && len(i.hooks) > 0 {
		hook := i.hooks[0]
		i.hooks = i.hooks[1:]
		write := func() { _, _ = i.Platform.Put(ctx, class, key, value, expect) }
		if err := hook(write); err != nil {
			return 0, err
		}
	}
	return i.Platform.Put(ctx, class, key, value, expect)
}

var _ = Describe("Publish", func() {
	var store *stand.Store
	ctx := context.Background()

	publish := func(by string, change publsh.Change) (publsh.Result, error) {
		return publsh.NewPublisher(store, now, noSleep).Publish(ctx, publsh.Request{Change: change, Operator: by, Nonce: by})
	}
	head := func() plat.Head {
		h, _, err := publsh.CurrentHead(ctx, store)
		Expect(err).NotTo(HaveOccurred())
		return h
	}

	mustPublish := func(by string, change publsh.Change) {
		_, err := publish(by, change)
		Expect(err).NotTo(HaveOccurred())
	}
	publishWithHooks := func(change publsh.Change, hooks ...func(func()) error) (publsh.Result, error) {
		p := publsh.NewPublisher(&interleaved{Platform: store, hooks: hooks}, now, noSleep)
		return p.Publish(ctx, publsh.Request{Change: change, Operator: "luis", Nonce: "luis"})
	}

	BeforeEach(func() {
		store = stand.NewStore(now)
		result, err := publish("rosa", publsh.Tree{Files: []config.File{file("m.toml", models), team("a", "1")}})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Generation).To(Equal(ident.Generation(1)))
		Expect(result.Changed).To(Equal([]string{"a.toml", "m.toml"}))
	})

	It("publishes a configuration that a reader can load", func() {
		c, err := publsh.Fetch(ctx, store, head())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Generation).To(Equal(ident.Generation(1)))
		Expect(c.Digest).To(Equal(head().Digest))
		Expect(c.Teams).To(HaveKey(ident.TeamID("a")))
		Expect(head().By).To(Equal("rosa"))
		Expect(head().At).To(Equal(epoch))
	})

	It("publishes nothing when the files are unchanged", func() {
		result, err := publish("luis", publsh.Tree{Files: []config.File{file("m.toml", models)}})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Changed).To(BeEmpty())
		Expect(result.Kept).To(Equal([]string{"a.toml"}))
		Expect(head().Generation).To(Equal(ident.Generation(1)))
	})

	It("removes files only with Prune, and only under Prefix", func() {
		_, err := publish("luis", publsh.Tree{Files: []config.File{file("x/m.toml", "")}, Prefix: "x/", Prune: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(head().Files).To(HaveLen(3))
		_, err = publish("ana", publsh.Tree{Files: []config.File{file("m.toml", models)}, Prune: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(head().Files).To(HaveLen(1))
	})

	It("refuses an invalid configuration and changes nothing", func() {
		_, err := publish("luis", publsh.Tree{Files: []config.File{file("b.toml", "[team.b]\nmodels = [\"puma\"]")}})
		var invalid *publsh.InvalidError
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Problems[0].File).To(Equal("b.toml"))
		_, err = publish("luis", publsh.Tree{Files: []config.File{file(config.OverlayPath, "")}})
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(head().Generation).To(Equal(ident.Generation(1)))
	})

	It("keeps the old head when interrupted at any call, and can be repeated", func() {
		change := publsh.Tree{Files: []config.File{team("b", "1"), team("c", "1")}}
		for limit := 0; ; limit++ {
			Expect(limit).To(BeNumerically("<", 20))
			platform := &outage{Platform: store, limit: limit}
			p := publsh.NewPublisher(platform, now, noSleep)
			_, err := p.Publish(ctx, publsh.Request{Change: change, Operator: "luis", Nonce: "luis"})
			if err == nil {
				Expect(limit).To(BeNumerically(">=", 5)) // reads of the head and a published part, writes of two parts and the head
				break
			}
			Expect(errors.Is(err, plat.ErrUnavailable)).To(BeTrue())
			Expect(head().Generation).To(Equal(ident.Generation(1)))
		}
		Expect(head().Generation).To(Equal(ident.Generation(2)))
	})

	It("fails when the platform does not respond for several seconds", func() {
		store.SetFaults(stand.StoreFaults{Down: true})
		current := epoch
		clock := func() time.Time { current = current.Add(6 * time.Second); return current }
		_, err := publsh.NewPublisher(store, clock, noSleep).Publish(ctx, publsh.Request{Change: publsh.Tree{}, Nonce: "n"})
		Expect(errors.Is(err, plat.ErrUnavailable)).To(BeTrue())
		Expect(current.Sub(epoch)).To(BeNumerically("<=", 20*time.Second), "calls of 6 s, and a timeout of 5 s")
	})

	It("recognizes its own write by the nonce when the reply is lost", func() {
		store.SetFaults(stand.StoreFaults{LostReplies: 1000})
		result, err := publish("luis", publsh.Tree{Files: []config.File{team("b", "1")}})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Generation).To(Equal(ident.Generation(2)))
		Expect(result.Changed).To(Equal([]string{"b.toml"}))
		Expect(head().Generation).To(Equal(ident.Generation(2)))
	})

	It("fails when the current generation is not the expected one", func() {
		p := publsh.NewPublisher(store, now, noSleep)
		_, err := p.Publish(ctx, publsh.Request{Change: publsh.Tree{}, Nonce: "n", Expect: 7})
		Expect(err).To(MatchError(ContainSubstring("generation 1 by rosa at 2026-01-02T03:04:05Z is in force, not the expected 7")))
	})

	DescribeTable("merges a concurrent change or reports a conflict", func(change, concurrent publsh.Change, want string) {
		result, err := publishWithHooks(change, func(func()) error { mustPublish("eva", concurrent); return nil })
		if want != "" {
			Expect(err).To(MatchError(ContainSubstring(want)))
			Expect(head().Generation).To(Equal(ident.Generation(2)))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Generation).To(Equal(ident.Generation(3)))
		_, err = publsh.Fetch(ctx, store, head())
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("in another file", publsh.Tree{Files: []config.File{team("b", "1")}}, publsh.Tree{Files: []config.File{team("c", "1")}}, ""),
		Entry("in the same file", publsh.Tree{Files: []config.File{team("a", "2")}}, publsh.Tree{Files: []config.File{team("a", "3")}},
			"this change of a.toml conflicts with generation 2 by eva at 2026-01-02T03:04:05Z, which changed a.toml since generation 1"),
		Entry("in a file that is removed", publsh.Tree{Files: []config.File{file("m.toml", models)}, Prune: true}, publsh.Tree{Files: []config.File{team("a", "3")}},
			"this change of a.toml conflicts with generation 2 by eva"),
		Entry("valid alone, invalid together", publsh.Tree{Files: []config.File{file("b.toml", "[team.x]\nweight = 1")}}, publsh.Tree{Files: []config.File{file("c.toml", "[team.x]\nweight = 2")}},
			"c.toml:2: team.x.weight: already defined in b.toml:2"),
		Entry("in another key of the overlay", publsh.Edit{Settings: []config.Setting{config.SetZoneOut("sur", true)}}, publsh.Edit{Settings: []config.Setting{config.StartRollout(v2)}}, ""),
		Entry("in the same key of the overlay", publsh.Edit{Settings: []config.Setting{config.SetZoneOut("sur", true)}}, publsh.Edit{Settings: []config.Setting{config.SetZoneOut("sur", false)}},
			"this change of out.sur conflicts with generation 2 by eva at 2026-01-02T03:04:05Z, which changed out.sur since generation 1"),
	)

	It("does not overwrite a later change when the reply to its own write is lost", func() {
		loseReply := func(write func()) error {
			write()
			mustPublish("eva", publsh.Tree{Files: []config.File{team("a", "1")}}) // the original content
			return plat.ErrUncertain
		}
		_, err := publishWithHooks(publsh.Tree{Files: []config.File{team("a", "2")}}, loseReply)
		Expect(err).To(MatchError(ContainSubstring("generation 3 of eva replaced generation 1 while the answer to this change of a.toml was lost")))
		Expect(head().Generation).To(Equal(ident.Generation(3)))
	})

	It("retries once it is certain that its write had no effect", func() {
		first := func(func()) error {
			mustPublish("eva", publsh.Tree{Files: []config.File{team("b", "1")}})
			return plat.ErrUncertain
		}
		second := func(func()) error {
			mustPublish("ana", publsh.Tree{Files: []config.File{team("c", "1")}})
			mustPublish("ida", publsh.Tree{Files: []config.File{team("d", "1")}})
			return nil
		}
		result, err := publishWithHooks(publsh.Tree{Files: []config.File{team("a", "2")}}, first, second)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Generation).To(Equal(ident.Generation(5)))
	})

	It("does not write a published part again", func() {
		before := store.Calls(stand.KindPut)
		mustPublish("eva", publsh.Tree{Files: []config.File{file("m.toml", models), team("a", "2")}})
		Expect(store.Calls(stand.KindPut)-before).To(Equal(2), "one part and the head")
	})

	Describe("withdrawals", func() {
		withdrawn := strings.Replace(models, "versions", "withdrawn = [\"v2\"]\nversions", 1)
		without := strings.Replace(models, `, "v2"`, "", 1)

		BeforeEach(func() {
			_, err := publish("luis", publsh.Tree{Files: []config.File{file("m.toml", withdrawn)}})
			Expect(err).NotTo(HaveOccurred())
		})

		It("are not undone without an explicit restore", func() {
			_, err := publish("ana", publsh.Tree{Files: []config.File{file("m.toml", models)}})
			Expect(err).To(MatchError(ContainSubstring("withdrawn condor@v2 would be used again; keep it under withdrawn, or allow it by --restore condor@v2")))
			_, err = publish("eva", publsh.Tree{Files: []config.File{file("m.toml", models)}, Restore: []ident.Release{v2}})
			Expect(err).NotTo(HaveOccurred())
			c, err := publsh.Fetch(ctx, store, head())
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Models["condor"].IsActive("v2")).To(BeTrue())
		})

		It("persist after the version is removed from its model", func() {
			_, err := publish("ana", publsh.Tree{Files: []config.File{file("m.toml", without)}})
			Expect(err).NotTo(HaveOccurred())
			_, err = publish("eva", publsh.Tree{Files: []config.File{file("m.toml", models)}})
			Expect(err).NotTo(HaveOccurred())
			c, err := publsh.Fetch(ctx, store, head())
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Models["condor"].IsActive("v2")).To(BeFalse())
			_, err = publish("ida", publsh.Tree{Files: []config.File{file("m.toml", models)}, Restore: []ident.Release{v2}})
			Expect(err).NotTo(HaveOccurred())
			c, err = publsh.Fetch(ctx, store, head())
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Models["condor"].IsActive("v2")).To(BeTrue())
		})
	})

	Describe("edits", func() {
		edit := func(settings ...config.Setting) publsh.Edit { return publsh.Edit{Settings: settings} }

		It("change one key and none of the operators' files", func() {
			_, err := publish("luis", edit(config.SetZoneOut("sur", true)))
			Expect(err).NotTo(HaveOccurred())
			c, err := publsh.Fetch(ctx, store, head())
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Zones["sur"].Out).To(BeTrue())
			_, err = publish("ana", publsh.Tree{Files: []config.File{file("m.toml", models)}, Prune: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(head().Files).To(HaveLen(2), "the overlay stays through a prune")
		})

		It("refuse undeclared objects", func() {
			for _, s := range []config.Setting{config.SetZoneOut("norte", true), config.SetHold("condor", config.HoldPaused), config.WithdrawRelease(ident.Release{Model: "condor", Version: "v9"}, "x")} {
				_, err := publish("luis"+s.Key(), edit(s))
				var invalid *publsh.InvalidError
				Expect(errors.As(err, &invalid)).To(BeTrue(), s.Key())
			}
		})

		It("are overridden by a later change of the operators' file", func() {
			_, err := publish("luis", edit(config.SetZoneOut("sur", false)))
			Expect(err).NotTo(HaveOccurred())
			out := strings.Replace(models, "[zone.sur]", "[zone.sur]\nout = true", 1)
			_, err = publish("ana", publsh.Tree{Files: []config.File{file("m.toml", out)}})
			Expect(err).NotTo(HaveOccurred())
			c, err := publsh.Fetch(ctx, store, head())
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Zones["sur"].Out).To(BeTrue())
		})

		It("are removed when a tree removes their object", func() {
			_, err := publish("luis", edit(config.SetZoneOut("sur", true)))
			Expect(err).NotTo(HaveOccurred())
			_, err = publish("ana", publsh.Tree{Files: []config.File{file("m.toml", strings.ReplaceAll(models, "sur", "norte"))}})
			Expect(err).NotTo(HaveOccurred())
		})
	})
})
