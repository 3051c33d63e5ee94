package tomldoc

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	allowedName     = "1 to 63 letters, digits, '-', '_' or '.'"
	allowedAddrPort = "IP:port, such as 192.0.2.1:6080"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// Name returns a required name, or "" if it is missing or not allowed.
func (t *Table) Name(key string) string {
	text, ok := t.text(key, true, allowedName)
	if ok && !namePattern.MatchString(text) {
		t.Report(key, "is not allowed; allowed: "+allowedName)
		return ""
	}
	return text
}

// Names returns an optional array of names without those that are not allowed.
func (t *Table) Names(key string) []string {
	const allowed = "an array of names of " + allowedName
	return parseStrings(t, key, allowed, func(text string) (string, bool) {
		return text, namePattern.MatchString(text)
	})
}

// parseStrings parses each string of an optional array. Elements that are not
// strings, or for which parse returns false, are reported and left out.
func parseStrings[T any](t *Table, key, allowed string, parse func(text string) (T, bool)) []T {
	value, present := t.readValue(key, false, allowed)
	if !present {
		return nil
	}
	texts, ok := value.([]any)
	if !ok {
		t.Report(key, "is not allowed; allowed: "+allowed)
		return nil
	}
	values := make([]T, 0, len(texts))
	for _, item := range texts {
		text, isText := item.(string)
		value, isAllowed := parse(text)
		if !isText || !isAllowed {
			t.Report(key, "is not allowed; allowed: "+allowed)
			continue
		}
		values = append(values, value)
	}
	return values
}

// Text returns an optional string, or the default.
func (t *Table) Text(key, fallback string) string {
	text, ok := t.text(key, false, "a string")
	if !ok {
		return fallback
	}
	return text
}

// RequiredText returns a required string; allowed describes the permitted
// values in issues.
func (t *Table) RequiredText(key, allowed string) string {
	text, _ := t.text(key, true, allowed)
	return text
}

func (t *Table) text(key string, required bool, allowed string) (string, bool) {
	value, present := t.readValue(key, required, allowed)
	if !present {
		return "", false
	}
	text, ok := value.(string)
	if !ok {
		t.Report(key, "must be a string; allowed: "+allowed)
	}
	return text, ok
}

// OneOf returns an optional string that must be one of choices, or the default.
func (t *Table) OneOf(key, fallback string, choices ...string) string {
	allowed := strings.Join(choices, ", ")
	text, ok := t.text(key, false, allowed)
	if !ok {
		return fallback
	}
	if !slices.Contains(choices, text) {
		t.Report(key, "is not allowed; allowed: "+allowed)
		return fallback
	}
	return text
}

// Integer returns an optional whole number from low to high, or the default.
func (t *Table) Integer(key string, fallback, low, high int64) int64 {
	return t.integer(key, false, fallback, low, high)
}

// Float returns an optional number from low to high, or the default.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	value, present := t.readValue(key, false, allowed)
	if !present {
		return fallback
	}
	number, ok := value.(float64)
	if whole, isWhole := value.(int64); isWhole {
		number, ok = float64(whole), true
	}
	if !ok || number < low || number > high {
		t.Report(key, "is not allowed; allowed: "+allowed)
		return fallback
	}
	return number
}

// RequiredInteger returns a required whole number from low to high.
func (t *Table) RequiredInteger(key string, low, high int64) int64 {
	return t.integer(key, true, 0, low, high)
}

func (t *Table) integer(key string, required bool, fallback, low, high int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	value, present := t.readValue(key, required, allowed)
	if !present {
		return fallback
	}
	number, ok := value.(int64)
	if !ok || number < low || number > high {
		t.Report(key, "is not allowed; allowed: "+allowed)
		return fallback
	}
	return number
}

// Bool returns an optional boolean, or the default.
func (t *Table) Bool(key string, fallback bool) bool {
	value, present := t.readValue(key, false, "true or false")
	if !present {
		return fallback
	}
	flag, ok := value.(bool)
	if !ok {
		t.Report(key, "is not allowed; allowed: true or false")
		return fallback
	}
	return flag
}

// Duration returns an optional duration from low to high, or the default.
func (t *Table) Duration(key string, fallback, low, high time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration from %s to %s, such as \"30s\"", low, high)
	text, ok := t.text(key, false, allowed)
	if !ok {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		t.Report(key, "is not allowed; allowed: "+allowed)
		return fallback
	}
	return duration
}

// AddrPort returns a required IP address with a port other than 0.
func (t *Table) AddrPort(key string) netip.AddrPort {
	text, ok := t.text(key, true, allowedAddrPort)
	if !ok {
		return netip.AddrPort{}
	}
	address, ok := parseAddrPort(text)
	if !ok {
		t.Report(key, "is not allowed; allowed: "+allowedAddrPort)
	}
	return address
}

// AddrPorts returns an optional array of IP addresses with ports other than 0.
func (t *Table) AddrPorts(key string) []netip.AddrPort {
	return parseStrings(t, key, "an array, each "+allowedAddrPort, parseAddrPort)
}

// parseAddrPort parses an IP address with a port; ok is false for other texts
// and for port 0.
func parseAddrPort(text string) (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, false
	}
	return address, true
}
