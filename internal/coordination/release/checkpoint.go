package release

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// checkpointKeyPrefix returns the key prefix of a checkpoint's parts.
func checkpointKeyPrefix(version state.ReleaseVersion) string {
	return fmt.Sprintf("%s%d/", objects.PrefixCheckpoints, version)
}

// splitCheckpoint divides a release into parts of about CheckpointPartSize
// bytes.
func splitCheckpoint(release *state.Release) []objects.Checkpoint {
	part := *release
	part.Services = nil
	var parts []objects.Checkpoint
	size := 0
	for _, service := range release.Services {
		length := len(encode(service))
		if size > 0 && size+length > CheckpointPartSize {
			parts = append(parts, objects.Checkpoint{Release: part})
			part.Services = nil
			part.Customers = nil
			size = 0
		}
		part.Services = append(part.Services, service)
		size += length
	}
	parts = append(parts, objects.Checkpoint{Release: part})
	for i := range parts {
		parts[i].Version = release.Version
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

// writeCheckpoint writes a checkpoint when one is due: first the parts, one at
// a time, then the head that names the checkpoint. Each write is idempotent.
func (m *Machine) writeCheckpoint(now time.Time) {
	due := m.head.Version >= m.head.Checkpoint+CheckpointInterval
	if !due || m.head.Pending != nil || m.headVersion != m.knownHead.ObjectVersion || m.Version() != m.head.Version {
		return
	}
	purpose := fmt.Sprintf("checkpoint %d", m.head.Version)
	rank := hostIndex(m.members.coordinators(purpose), m.settings.Self.ID)
	if rank < 0 || m.coordinator.headWriteInFlight || now.Sub(m.headChangedAt) < time.Duration(rank)*TakeoverInterval {
		return
	}
	for _, part := range splitCheckpoint(m.current) {
		key := fmt.Sprintf("%s%d", checkpointKeyPrefix(part.Version), part.Part)
		if m.coordinator.writtenParts[key] {
			continue
		}
		m.call(now, objects.Call{Verb: objects.VerbPut, Key: key, Value: encode(part)})
		return
	}
	next := m.head
	next.Checkpoint = m.head.Version
	m.writeHead(now, next)
}

// readCheckpoint lists the parts of the newest checkpoint.
func (m *Machine) readCheckpoint(now time.Time) {
	if m.head.Checkpoint == 0 {
		return
	}
	m.call(now, objects.Call{Verb: objects.VerbList, Key: checkpointKeyPrefix(m.head.Checkpoint)})
}

// handleCheckpointOutcome records a written part and continues, or installs the
// release of a listed checkpoint.
func (m *Machine) handleCheckpointOutcome(now time.Time, call objects.Call, outcome objects.Outcome) {
	if call.Verb == objects.VerbPut {
		m.coordinator.writtenParts[call.Key] = true
		m.writeCheckpoint(now)
		return
	}
	var parts []objects.Checkpoint
	for _, object := range outcome.Page.Objects {
		var part objects.Checkpoint
		if err := json.Unmarshal(object.Value, &part); err != nil {
			m.log("release_checkpoint_invalid", err.Error())
			return
		}
		parts = append(parts, part)
	}
	if whole := objects.AssembleCheckpoint(parts); whole != nil {
		m.install(now, whole)
	}
}
