package message

import "oleanderdale.org/core/id"

// configTypes are numbered 20 to 29.
var configTypes = map[Kind]Message{
	20: VersionRequest{},
	21: VersionChange{},
	22: VersionSnapshot{},
}

// VersionAsk asks for the changes after Have.
type VersionRequest struct {
	Have id.ConfigVersion `cbor:"1,keyasint"`
}

// VersionChange carries one configuration change.
type VersionChange struct {
	Version id.ConfigVersion `cbor:"1,keyasint"`
	Change  []byte           `cbor:"2,keyasint"`
}

// VersionSnapshot carries a whole configuration, for an instance that is too
// far behind for the changes its peer still holds.
type VersionSnapshot struct {
	Version  id.ConfigVersion `cbor:"1,keyasint"`
	Snapshot []byte           `cbor:"2,keyasint"`
}

func (VersionRequest) message()  {}
func (VersionChange) message()   {}
func (VersionSnapshot) message() {}
