package plat_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plat")
}
