package publsh_test

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/config"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/publsh"
	"github.com/marigoldscale/marigoldscale/internal/stand"
)

var _ = Describe("Fetch", func() {
	It("refuses a part or a head that does not match its digest", func() {
		store := stand.NewStore(now)
		ctx := context.Background()
		p := publsh.NewPublisher(store, now, noSleep)
		_, err := p.Publish(ctx, publsh.Request{Change: publsh.Tree{Files: []config.File{file("m.toml", models)}}, Nonce: "n"})
		Expect(err).NotTo(HaveOccurred())
		head, _, err := publsh.CurrentHead(ctx, store)
		Expect(err).NotTo(HaveOccurred())

		other := head
		other.Digest = strings.Repeat("0", 64)
		_, err = publsh.Fetch(ctx, store, other)
		Expect(err).To(MatchError(ContainSubstring("but its head says 000")))

		key := plat.PartPrefix + plat.Key(head.Files[0].Digest)
		part, err := store.Get(ctx, plat.ClassConfig, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Put(ctx, plat.ClassConfig, key, []byte("# other"), part.Version)
		Expect(err).NotTo(HaveOccurred())
		_, err = publsh.Fetch(ctx, store, head)
		Expect(err).To(MatchError(ContainSubstring(`file "m.toml" does not have its digest`)))
	})

	It("reads each part once across generations", func() {
		store := stand.NewStore(now)
		ctx := context.Background()
		p := publsh.NewPublisher(store, now, noSleep)
		reader := publsh.NewReader(store)
		reads := 0
		for i, weight := range []string{"1", "2", "3"} {
			files := []config.File{file("m.toml", models), team("a", weight)}
			_, err := p.Publish(ctx, publsh.Request{Change: publsh.Tree{Files: files}, Nonce: weight})
			Expect(err).NotTo(HaveOccurred())
			head, _, err := publsh.CurrentHead(ctx, store)
			Expect(err).NotTo(HaveOccurred())
			before := store.Calls(stand.KindGet)
			c, err := reader.Fetch(ctx, head)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Teams["a"].Weight).To(Equal(i + 1))
			reads += store.Calls(stand.KindGet) - before
		}
		Expect(reads).To(Equal(4), "two files for the first generation, one for each later one")
	})
})
