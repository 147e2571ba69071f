// Package setting checks the settings of a process before it starts, so that an
// invalid one is reported in a single line. Start from [Check].
package setting

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
)

// Error reports a setting that cannot be used.
type Error struct {
	// Flag is the name of the command-line flag, with its dashes.
	Flag string
	// Value is the given value.
	Value string
	// Reason says what is expected.
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Flag, e.Value, e.Reason)
}

// Check returns the first error that is not nil, or nil.
func Check(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Address checks that the value is an IP number and a port.
func Address(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &Error{flag, value, "must be an IP number and a port, such as 10.0.0.1:8090"}
	}
	return nil
}

// URL checks that the value is an HTTP URL without a path.
func URL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || (u.Path != "" && u.Path != "/") {
		return &Error{flag, value, "must be a URL without a path, such as http://10.0.0.1:8500"}
	}
	return nil
}

// Within checks that the value is in the closed interval of low and high.
func Within[T cmp.Ordered](flag string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &Error{flag, fmt.Sprint(value), fmt.Sprintf("must be from %v to %v", low, high)}
}

// File checks that the value is a file that can be read.
func File(flag, value string) error {
	f, err := os.Open(value) // #nosec G304 -- the path is a setting of the operator
	if err != nil {
		return &Error{flag, value, "must be a file that can be read"}
	}
	return f.Close()
}
