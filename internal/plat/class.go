package plat

// String returns the name of the class in metrics and errors.
func (c Class) String() string {
	switch c {
	case ClassClaim:
		return "claim"
	case ClassConfig:
		return "config"
	case ClassBill:
		return "bill"
	case ClassStatus:
		return "status"
	default:
		return "unknown"
	}
}
