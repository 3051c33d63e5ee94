package release

// Variant breaks one rule on purpose. Tests use it to show that their checks
// notice; the daemon always runs VariantSound.
type Variant uint8

// Variants.
const (
	// VariantSound keeps every rule.
	VariantSound Variant = iota
	// VariantAnyDomain accepts once a single domain has staged the note.
	VariantAnyDomain
	// VariantVersionFalls adopts whatever release a peer speaks of.
	VariantVersionFalls
	// VariantTwoObjects refuses in an object of its own, apart from the head.
	VariantTwoObjects
	// VariantUnconditional updates the head whatever it has become since.
	VariantUnconditional
)

// keyRefusedApart precedes the note id in VariantTwoObjects.
const keyRefusedApart = "release/refused/"

// SetVariant makes a running machine break a rule, or none.
func (m *Machine) SetVariant(variant Variant) { m.settings.Variant = variant }
