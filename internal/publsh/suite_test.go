package publsh_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPublsh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Publsh Suite")
}
