package message

import "oleanderdale.org/core/id"

// configTypes are numbered 20 to 29.
var configTypes = map[Kind]Message{
	20: VersionRequest{},
	21: VersionChange{},
	22: VersionSnapshot{},
}

// VersionRequest asks for the configuration changes after version Have.
type VersionRequest struct {
	Have id.ConfigVersion `cbor:"1,keyasint"`
}

// VersionChange carries one configuration change.
type VersionChange struct {
	Version id.ConfigVersion `cbor:"1,keyasint"`
	Change  []byte           `cbor:"2,keyasint"`
}

// VersionSnapshot carries a full configuration, for an instance that needs changes
// older than those its peer still has.
type VersionSnapshot struct {
	Version  id.ConfigVersion `cbor:"1,keyasint"`
	Snapshot []byte           `cbor:"2,keyasint"`
}

func (VersionRequest) message()  {}
func (VersionChange) message()   {}
func (VersionSnapshot) message() {}
