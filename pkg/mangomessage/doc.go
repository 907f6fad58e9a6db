// Package mangomessage has the protobuf messages of mangopath and the clients and servers of its DRPC services. All but this
// file is generated from the schema files (.proto) in this folder.
//
// # Usage
//
// The messages are ordinary protobuf messages whose fields are named in Pascal case, in JSON too. They can be read and
// written with encoding/json:
//
//	line, err := json.Marshal(&mangomessage.Step{Call: "c1", Position: 3})
//
// Entry and the messages that contain it need protojson, since encoding/json does not support the oneof in Entry.
//
// Run `make generate` after a change of a schema file.
package mangomessage
