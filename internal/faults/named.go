package faults

// named are tests that carry no labels: plain Go tests, and specs of packages
// that know nothing of the matrix.
var named = []Proof{
	{
		Package: "flow", Name: "TestRandomFaults",
		Faults: []Fault{"endpoint-crashed", "endpoint-cut", "two"},
		Steps:  []Step{"dispatch", "first", "middle", "final"},
		Holds:  []Promise{"answer", "refusal", "once", "bill"},
	},
	{
		Package: "flow", Name: "TestRandomFaults",
		Faults: []Fault{"pool-out", "poison", "endpoint-cold"},
		Steps:  []Step{"choose"},
	},
	{
		Package: "flow", Name: "TestRandomFaults",
		Faults: []Fault{"frames-late", "frames-doubled", "frames-reordered"},
		Steps:  []Step{"first", "middle", "final", "reply"},
	},
	{
		Package: "flow", Name: "TestRandomFaults",
		Faults: []Fault{"platform-down"},
		Steps:  []Step{"claim", "bill", "reply"},
	},
}
