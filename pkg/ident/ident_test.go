package ident_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/pkg/ident"
)

func TestIdent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ident")
}

var _ = DescribeTable("round trip of a release through JSON",
	func(r ident.Release) {
		text, err := json.Marshal(map[ident.Release]ident.Release{r: r})
		Expect(err).NotTo(HaveOccurred())
		var decoded map[ident.Release]ident.Release
		Expect(json.Unmarshal(text, &decoded)).To(Succeed())
		Expect(decoded).To(HaveKeyWithValue(r, r))
	},
	Entry("of a model", ident.Release{Model: "condor", Version: "2"}),
	Entry("of a plain service's endpoint, which has no release", ident.Release{}),
)
