package input

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
)

// AcceptedName describes what IsName accepts.
const AcceptedName = "1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsName reports whether text is a valid name of a team, model, zone or other
// configured object.
func IsName(text string) bool {
	return namePattern.MatchString(text)
}

// IsAddress reports whether text has the form host:port. Port 0, for any free
// port, is valid.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsURL reports whether text is an http or https URL.
func IsURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// AnyText returns true: every text is valid.
func AnyText(string) bool {
	return true
}
