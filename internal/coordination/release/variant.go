package release

// Variant breaks one rule on purpose. Tests use it to show that their checks
// notice; the daemon always runs VariantSound.
type Variant uint8

// Variants.
const (
	// VariantCorrect keeps every rule.
	VariantCorrect Variant = iota
	// VariantAcceptAfterAnyDomain accepts once a single domain has staged the note.
	VariantAcceptAfterAnyDomain
	// VariantVersionDecreases adopts whatever release a peer speaks of.
	VariantVersionDecreases
	// VariantSeparateRefusals refuses in an object of its own, apart from the head.
	VariantSeparateRefusals
	// VariantUnconditionalWrite updates the head whatever it has become since.
	VariantUnconditionalWrite
)

// prefixSeparateRefusals precedes the note id in VariantTwoObjects.
const prefixSeparateRefusals = "release/refused/"

// SetVariant makes a running machine break a rule, or none.
func (m *Machine) SetVariant(variant Variant) { m.settings.Variant = variant }
