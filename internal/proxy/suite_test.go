package proxy_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPass(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}
