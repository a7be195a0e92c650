package poison_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldscale/marigoldscale/internal/poison"
)

func TestBodyPartsAreTheMessagesButTheLast(t *testing.T) {
	g := NewWithT(t)
	parts := poison.BodyParts([]byte(`{"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"},{"role":"user","content":"c"}]}`))
	g.Expect(parts).To(HaveLen(2))
	g.Expect(parts[0]).NotTo(Equal(parts[1]))
	same := poison.BodyParts([]byte(`{"messages":[{"content":"a", "role":"system"},{"role":"user","content":"z"}],"temperature":1}`))
	g.Expect(same).To(Equal(parts[:1]))
	for _, body := range []string{`{"messages":[{"content":"a"}]}`, `{"messages":[]}`, `{"messages":7}`, `not JSON`, ``} {
		g.Expect(poison.BodyParts([]byte(body))).To(BeEmpty(), body)
	}
}
