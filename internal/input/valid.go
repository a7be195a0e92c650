package input

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
)

// AcceptedName says in words what IsName accepts.
const AcceptedName = "1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit"

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsName tells whether a text can name a team, a model, a zone and the like.
func IsName(text string) bool {
	return name.MatchString(text)
}

// IsAddress tells whether a text is host:port; port 0 stands for a free one.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// IsURL tells whether a text is an http or https URL.
func IsURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Any accepts every text.
func Any(string) bool {
	return true
}
