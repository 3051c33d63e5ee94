package release

// Variant breaks one rule of the protocol on purpose, so that tests can show
// that their checks detect it. The daemon always runs VariantCorrect.
type Variant uint8

// Variants.
const (
	// VariantCorrect breaks no rule.
	VariantCorrect Variant = iota
	// VariantAcceptAfterAnyDomain accepts a note once a single domain has staged
	// it.
	VariantAcceptAfterAnyDomain
	// VariantVersionDecreases adopts any release that a peer runs, older ones
	// included.
	VariantVersionDecreases
	// VariantSeparateRefusals records a refusal in an object of its own instead
	// of in the head.
	VariantSeparateRefusals
	// VariantUnconditionalWrite retries an update of the head after a conflict,
	// overwriting the change of another coordinator.
	VariantUnconditionalWrite
)

// prefixSeparateRefusals precedes the note ID in the keys of
// VariantSeparateRefusals.
const prefixSeparateRefusals = "release/refused/"

// SetVariant changes the variant of a running machine.
func (m *Machine) SetVariant(variant Variant) { m.settings.Variant = variant }
