package state

import "fmt"

// ProblemCode classifies an error in a release note.
type ProblemCode string

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
	// Field is the part of the note, for instance "add.target".
	Field string
	// ID is the identifier of the item in that part of the note.
	ID string
	// Detail describes the error or what is required.
	Detail string
}

// String formats the problem as one line for operators.
func (p Problem) String() string {
	return fmt.Sprintf("%s %q: %s (%s)", p.Field, p.ID, p.Detail, p.Code)
}
