// Package mangomessage holds the messages and settings of mangopath, generated from the schema files beside it.
//
// # Usage
//
// Messages are ordinary protobuf messages whose fields are in Pascal case. The JSON form of every message is read and
// written with encoding/json, which uses the same names:
//
//	line, err := json.Marshal(&mangomessage.Step{Call: "c1", Position: 3})
//
// Run `make generate` after a change of a schema file.
package mangomessage
