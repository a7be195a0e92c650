package world_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/paths"
	"github.com/marigoldscale/marigoldscale/internal/plat"
	"github.com/marigoldscale/marigoldscale/internal/world"
	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

var _ = Describe("A configuration of a generation that is not higher", func() {
	// written is a configuration with one route, of a prefix, that was stored at a revision.
	written := func(generation ident.Generation, prefix string, era plat.Era, counter uint64) world.ConfigChanged {
		r := &paths.Route{ID: "r", Host: "a", Prefix: prefix}
		return world.ConfigChanged{
			Config: paths.New(generation, []*paths.Route{r}, nil, paths.Open{}, paths.Limits{}), Revision: plat.NewVersion(era, counter),
		}
	}
	listed := func(x world.ConfigChanged) world.ConfigChanged {
		x.Rewound = true
		return x
	}
	var w *world.State
	prefixAt := func(s float64) string {
		w.Expire(at(s))
		for _, prefix := range []string{"/a/", "/b/", "/c/"} {
			if _, ok := w.View().Config.Match("a", prefix); ok {
				return prefix
			}
		}
		return ""
	}

	BeforeEach(func() {
		w = world.New(world.Settings{})
		w.Step(at(0), written(5, "/a/", 0, 10))
		w.Step(at(1), written(8, "/b/", 0, 20))
	})

	DescribeTable("in the same era", func(x world.ConfigChanged, want string) {
		w.Step(at(2), x)
		Expect(prefixAt(9)).To(Equal(want))
	},
		Entry("is not in force if it was executed late", written(7, "/c/", 0, 21), "/b/"),
		Entry("takes the place of the same generation", written(8, "/c/", 0, 21), "/c/"),
		Entry("is not in force if it was stored before", written(8, "/c/", 0, 19), "/b/"),
	)

	DescribeTable("in a later era", func(x world.ConfigChanged) {
		w.Step(at(2), listed(written(5, "/a/", 1, 10)))
		w.Step(at(3), x)
		Expect(prefixAt(3)).To(Equal("/c/"))
	},
		Entry("is in force once it is written, if it is lower", written(6, "/c/", 1, 11)),
		Entry("is in force once it is written, if it is the same", written(8, "/c/", 1, 11)),
	)

	It("is not in force as the older copy of the store has it, if it was before", func() {
		w.Step(at(2), listed(written(5, "/a/", 1, 10)))
		Expect(prefixAt(60)).To(Equal("/b/"))
	})

	It("is in force after a while if it was found after the return of the store", func() {
		w.Step(at(2), listed(written(6, "/c/", 1, 11)))
		Expect(prefixAt(3.4)).To(Equal("/b/"))
		Expect(prefixAt(3.6)).To(Equal("/c/"))
	})

	It("is not in force if the operator writes the lost one again meanwhile", func() {
		w.Step(at(2), listed(written(6, "/c/", 1, 11)))
		w.Step(at(3), written(8, "/b/", 1, 12))
		Expect(prefixAt(9)).To(Equal("/b/"))
		w.Step(at(10), written(7, "/c/", 1, 13))
		Expect(prefixAt(19)).To(Equal("/b/"))
	})

	It("is remembered by its content", func() {
		w.Step(at(2), listed(written(5, "/c/", 1, 10)))
		Expect(prefixAt(2 + (1600 * time.Millisecond).Seconds())).To(Equal("/c/"))
	})
})
