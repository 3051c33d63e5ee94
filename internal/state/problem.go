package state

import "fmt"

// ProblemCode classifies what is wrong with a release note.
type ProblemCode string

// Problem codes.
const (
	ProblemBase                ProblemCode = "wrong_base"
	ProblemEmpty               ProblemCode = "no_change"
	ProblemUnknown             ProblemCode = "unknown"
	ProblemDuplicate           ProblemCode = "duplicate"
	ProblemAddressTaken        ProblemCode = "address_taken"
	ProblemInUse               ProblemCode = "still_in_use"
	ProblemNoTarget            ProblemCode = "no_target_left"
	ProblemNoDomain            ProblemCode = "no_domain_left"
	ProblemInvalidWeight       ProblemCode = "invalid_weight"
	ProblemForwardingModeFixed ProblemCode = "way_fixed"
)

// Problem is one reason why a note cannot be applied to a release.
type Problem struct {
	Code ProblemCode
	// Field is the part of the note, as "add.target".
	Field string
	// ID names the item that the field is about.
	ID string
	// Detail says what was expected.
	Detail string
}

// String returns the problem as one line for an operator.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: %s (%s)", p.Field, p.ID, p.Detail, p.Code)
}
